package requestid

import (
	"context"
	"crypto/rand"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
)

// maxIDBytes is the maximum length of an ID chosen by the caller.
const maxIDBytes = 128

// Filter sets Exchange.ID and adds it to the response header.
type Filter struct{}

// Handle implements filter.Filter.
func (*Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	id, ok := filter.SingleHeaderValue(x.Request.Header, filter.HeaderRequestID)
	if !ok || !validID(id) {
		id = rand.Text()
	}
	x.ID = id
	x.Header.Set(filter.HeaderRequestID, id)
	return next(ctx, x)
}

// validID reports whether an ID is not too long and consists of printable ASCII characters without spaces, so that it is
// safe to log.
func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}
