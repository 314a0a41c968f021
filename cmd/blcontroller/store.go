package main

import (
	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/store/dynamo"
)

// openStore connects to the platform's table service and object store.
func openStore(s settings.Store, scope tally.Scope) (store.Store, error) {
	return dynamo.New(s, scope)
}
