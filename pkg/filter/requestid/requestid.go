package requestid

import (
	"context"
	"crypto/rand"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
)

// maxLength bounds an ID chosen by the caller.
const maxLength = 128

// Filter sets Exchange.ID and returns it in the answer.
type Filter struct{}

// Handle implements filter.Filter.
func (*Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	id, ok := filter.Single(x.Request.Header, filter.HeaderRequestID)
	if !ok || !valid(id) {
		id = rand.Text()
	}
	x.ID = id
	x.Header.Set(filter.HeaderRequestID, id)
	return next(ctx, x)
}

// valid tells whether an ID consists of printable ASCII characters without spaces, so that it is safe in logs.
func valid(id string) bool {
	if id == "" || len(id) > maxLength {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}
