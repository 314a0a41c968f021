package main

import (
	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/store/dynamo"
)

// openStore connects to the platform's services. The metrics of a short command have no reader.
func openStore(s settings.Store) (store.Store, error) {
	return dynamo.New(s, tally.NoopScope)
}
