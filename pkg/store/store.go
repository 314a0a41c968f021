// Package store defines the interface to the platform's table service and object store. All writes are conditional.
package store

import (
	"context"
	"errors"
)

var (
	// ErrNotFound is returned when the row or object doesn't exist.
	ErrNotFound = errors.New("not found in the store")
	// ErrConflict is returned when the condition of a write doesn't hold. The write had no effect.
	ErrConflict = errors.New("the write condition is not met")
	// ErrAmbiguous is returned when the outcome of a write is unknown, for example because no reply arrived. The write may
	// have taken effect already or may still do so.
	ErrAmbiguous = errors.New("the outcome of the write is unknown")
	// ErrUnavailable is returned when the store rejected the operation or couldn't be reached. The operation had no effect.
	ErrUnavailable = errors.New("the store is unavailable")
)

// Revision counts the writes of a row. The first write makes it 1; 0 means that the row doesn't exist.
type Revision uint64

// Row is a value with its revision and the token attribute set by the write that produced it.
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
	// Put writes a row if its current revision equals expected, and returns the new revision. The token is stored with the
	// row, so that a write with an unknown outcome can be identified later.
	Put(ctx context.Context, key string, value []byte, expected Revision, token string) (Revision, error)
}

// Objects is the object store. Objects are immutable.
type Objects interface {
	// GetObject reads an object.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// CreateObject writes a new object. It returns ErrConflict if the key already exists.
	CreateObject(ctx context.Context, key string, body []byte) error
}

// Store combines the table service and the object store.
type Store interface {
	Table
	Objects
}
