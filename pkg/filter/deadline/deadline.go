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

// fallback applies where neither route nor pool has a deadline.
const fallback = 30 * time.Second

// errTimeout means that the header isn't a whole positive number of milliseconds.
var errTimeout = errors.New("not a positive number of milliseconds")

// Filter gives the context its deadline. The deadline holds until the body of the answer has been sent, so the filter
// doesn't cancel the context when the rest of the chain returns; the caller of the chain does.
type Filter struct{}

// Handle implements filter.Filter.
func (*Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	limit := bound(x.Route, x.Pool)
	asked, err := requested(x.Request)
	if err != nil {
		return nil, filter.BadRequest(filter.HeaderTimeout + ": " + err.Error())
	}
	if asked > 0 {
		limit = min(limit, asked)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	stop := func() bool { return false }
	if x.Interrupt != nil {
		stop = context.AfterFunc(ctx, x.Interrupt)
	}
	end := func() {
		stop()
		cancel()
	}
	response, nextErr := next(ctx, x)
	if nextErr != nil {
		end()
		return nil, nextErr
	}
	response.Body = filter.OnClose(response.Body, end)
	return response, nil
}

// bound returns the shortest configured deadline.
func bound(route *config.Route, pool *config.Pool) time.Duration {
	limit := fallback
	if d := route.Deadline.Duration(); d > 0 {
		limit = d
	}
	if d := pool.MaxDeadline.Duration(); d > 0 {
		limit = min(limit, d)
	}
	return limit
}

// requested returns the caller's time-out, 0 if it sets none.
func requested(r *http.Request) (time.Duration, error) {
	text, ok := filter.Single(r.Header, filter.HeaderTimeout)
	if !ok {
		return 0, errors.New("conflicting values")
	}
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 {
		return 0, errTimeout
	}
	return time.Duration(ms) * time.Millisecond, nil
}
