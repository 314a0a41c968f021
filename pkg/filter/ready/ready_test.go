package ready

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter/filtertest"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

// stubRouter is an exchange.Authority and exchange.ViewSource with fixed results.
type stubRouter struct {
	until clock.Instant
	view  *exchange.View
}

func (s stubRouter) ValidUntil() clock.Instant { return s.until }
func (s stubRouter) View() *exchange.View      { return s.view }

// Guards against accepting requests after the authority has expired, when the configuration may be outdated, and against
// accepting them without a configuration.
func TestRejectsWithoutAuthorityOrConfig(t *testing.T) {
	clk := clock.NewVirtual(clock.Instant(time.Hour))
	now := clk.Now()
	x := filtertest.NewExchange(t, "GET", "/plain", nil)
	router := stubRouter{until: now.Add(time.Second), view: x.View}
	x.View = nil
	filtertest.MustPass(t, New(clk, router, router), x)
	if x.View != router.view {
		t.Error("Exchange.View is not the snapshot of the view source")
	}
	clk.Advance(time.Second)
	p := filtertest.MustRefuse(t, New(clk, router, router), x)
	if p.Code != problem.CodeNoAuthority || p.RetryAfter <= 0 {
		t.Errorf("%v, retry after %v", p, p.RetryAfter)
	}
	router = stubRouter{until: now.Add(time.Hour)}
	if p := filtertest.MustRefuse(t, New(clk, router, router), x); p.Code != problem.CodeNoAuthority {
		t.Error(p)
	}
}
