package main

import (
	"errors"

	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/store"
)

// openStore connects to the platform's table service and object store.
func openStore(settings.Store) (store.Store, error) {
	return nil, errors.New("this build has no client of the platform's store")
}
