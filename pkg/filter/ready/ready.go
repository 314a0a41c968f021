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

// retryAfter is the mean time after which a refused caller should come back. Authority is renewed every 250 ms, and the
// load balancer needs about a second to choose another router.
const retryAfter = time.Second

// Filter sets Exchange.View.
type Filter struct {
	clock     clock.Clock
	authority exchange.Authority
	views     exchange.ViewSource
}

// Handle implements filter.Filter. Without authority the configuration may be outdated, including the home regions.
func (f *Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	view := f.views.View()
	if view == nil || view.Config == nil {
		return nil, refuse("the router has no configuration yet")
	}
	if f.clock.Now() >= f.authority.ValidUntil() {
		return nil, refuse("the router is cut off and its configuration may be outdated")
	}
	x.View = view
	return next(ctx, x)
}

func refuse(detail string) *problem.Error {
	after := retryAfter/2 + rand.N(retryAfter)
	return problem.New(http.StatusServiceUnavailable, problem.CodeNoAuthority, problem.NotRun, detail).After(after)
}
