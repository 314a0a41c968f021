package main

import (
	"errors"

	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/store"
)

// openStore connects to the platform's services.
func openStore(settings.Store) (store.Store, error) {
	return nil, errors.New("the store implementation is not part of this build yet")
}
