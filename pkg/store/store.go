// Package store is the narrow interface to the platform's table service and object store. Every write is conditional.
package store

import (
	"context"
	"errors"
)

var (
	// ErrNotFound means that the row or object doesn't exist.
	ErrNotFound = errors.New("not found in the store")
	// ErrConflict means that the condition didn't hold; the write had no effect.
	ErrConflict = errors.New("the row has another revision")
	// ErrAmbiguous means that no reply arrived: the write may have taken effect, or may take effect later.
	ErrAmbiguous = errors.New("the outcome of the write is unknown")
	// ErrUnavailable means that the store refused or couldn't be reached; the operation had no effect.
	ErrUnavailable = errors.New("the store is unavailable")
)

// Revision counts the writes of a row. The first write makes it 1; 0 means that the row doesn't exist.
type Revision uint64

// Row is a value with its revision and the token of the writer that produced it.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
	Token    string
}

// Table is the transactional table service.
type Table interface {
	// Get reads a row with strong consistency.
	Get(ctx context.Context, key string) (Row, error)
	// Put replaces a row if its revision is still the expected one. token identifies this write when its outcome has to be
	// resolved later.
	Put(ctx context.Context, key string, value []byte, expected Revision, token string) (Revision, error)
}

// Objects is the object store. Objects never change.
type Objects interface {
	// GetObject reads an object.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// CreateObject writes an object that doesn't exist yet; ErrConflict if it does.
	CreateObject(ctx context.Context, key string, body []byte) error
}

// Store combines both services.
type Store interface {
	Table
	Objects
}
