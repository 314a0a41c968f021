package idempotency

import (
	"context"
	"net/http"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// Filter sets Exchange.IdempotencyKey for non-idempotent routes.
type Filter struct{}

// Handle implements filter.Filter.
func (*Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	if x.Route.Idempotent {
		return next(ctx, x)
	}
	key, ok := filter.SingleHeaderValue(x.Request.Header, filter.HeaderIdempotencyKey)
	if !ok {
		return nil, filter.BadRequest("conflicting " + filter.HeaderIdempotencyKey + " headers")
	}
	if key == "" {
		detail := "the route isn't idempotent and needs the header " + filter.HeaderIdempotencyKey
		return nil, problem.New(http.StatusBadRequest, problem.CodeNoIdempotency, problem.NotRun, detail)
	}
	if len(key) > maxKeyBytes {
		return nil, filter.BadRequest(filter.HeaderIdempotencyKey + " is longer than 255 bytes")
	}
	x.IdempotencyKey = key
	return next(ctx, x)
}
