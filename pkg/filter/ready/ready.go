package ready

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

// meanRetryAfter is the mean of the randomized delay after which a rejected caller should retry. Authority is renewed every
// 250 ms, and the load balancer needs about a second to choose another router.
const meanRetryAfter = time.Second

// Filter sets Exchange.View.
type Filter struct {
	clock     clock.Clock
	authority exchange.Authority
	views     exchange.ViewSource
}

// Handle implements filter.Filter. It rejects requests once the authority has expired, because the configuration, including
// the home regions, may then be outdated.
func (f *Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	view := f.views.View()
	if view == nil || view.Config == nil {
		return nil, noAuthorityError("the router has no configuration yet")
	}
	if f.clock.Now() >= f.authority.ValidUntil() {
		return nil, noAuthorityError("the router is cut off and its configuration may be outdated")
	}
	x.View = view
	return next(ctx, x)
}

// noAuthorityError returns a 503 error with a random retry delay, so that rejected callers don't all retry at once.
func noAuthorityError(detail string) *problem.Error {
	delay := meanRetryAfter/2 + rand.N(meanRetryAfter)
	return problem.New(http.StatusServiceUnavailable, problem.CodeNoAuthority, problem.NotRun, detail).After(delay)
}
