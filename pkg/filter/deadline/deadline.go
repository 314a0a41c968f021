package deadline

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
)

// defaultDeadline is the deadline if neither the route nor the pool configures one.
const defaultDeadline = 30 * time.Second

// errInvalidTimeout is returned if the timeout header is not a positive integer of at most 32 bits.
var errInvalidTimeout = errors.New("not a positive number of milliseconds")

// Filter sets the deadline of the request context. The deadline also covers sending the response body, so after a
// successful response the context is canceled only when the chain's caller closes that body.
type Filter struct{}

// Handle implements filter.Filter.
func (*Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	limit := configuredDeadline(x.Route, x.Pool)
	timeout, err := callerTimeout(x.Request)
	if err != nil {
		return nil, filter.BadRequest(filter.HeaderTimeout + ": " + err.Error())
	}
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	stopInterrupt := func() bool { return false }
	if x.Interrupt != nil {
		stopInterrupt = context.AfterFunc(ctx, x.Interrupt)
	}
	release := func() {
		stopInterrupt()
		cancel()
	}
	response, nextErr := next(ctx, x)
	if nextErr != nil {
		release()
		return nil, nextErr
	}
	response.Body = filter.OnClose(response.Body, release)
	return response, nil
}

// configuredDeadline returns the shorter of the route's deadline and the pool's maximum deadline. defaultDeadline stands in
// for a missing route deadline.
func configuredDeadline(route *config.Route, pool *config.Pool) time.Duration {
	limit := defaultDeadline
	if d := route.Deadline.Duration(); d > 0 {
		limit = d
	}
	if d := pool.MaxDeadline.Duration(); d > 0 {
		limit = min(limit, d)
	}
	return limit
}

// callerTimeout returns the timeout that the caller requested in the header, or 0 if the header is absent.
func callerTimeout(r *http.Request) (time.Duration, error) {
	value, ok := filter.SingleHeaderValue(r.Header, filter.HeaderTimeout)
	if !ok {
		return 0, errors.New("conflicting values")
	}
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	if err != nil || ms == 0 {
		return 0, errInvalidTimeout
	}
	return time.Duration(ms) * time.Millisecond, nil
}
