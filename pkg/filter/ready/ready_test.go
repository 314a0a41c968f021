package ready

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter/filtertest"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

type fixed struct {
	until clock.Instant
	view  *exchange.View
}

func (f fixed) ValidUntil() clock.Instant { return f.until }
func (f fixed) View() *exchange.View      { return f.view }

// Guards against serving with a configuration that may be outdated, or without any.
func TestAuthority(t *testing.T) {
	clk := clock.NewVirtual(clock.Instant(time.Hour))
	now := clk.Now()
	x := filtertest.Exchange(t, "GET", "/plain", nil)
	f := fixed{until: now.Add(time.Second), view: x.View}
	x.View = nil
	filtertest.Passed(t, New(clk, f, f), x)
	if x.View != f.view {
		t.Error("the snapshot is not set")
	}
	clk.Advance(time.Second)
	p := filtertest.Refused(t, New(clk, f, f), x)
	if p.Code != problem.CodeNoAuthority || p.RetryAfter <= 0 {
		t.Errorf("%v, retry after %v", p, p.RetryAfter)
	}
	f = fixed{until: now.Add(time.Hour)}
	if p := filtertest.Refused(t, New(clk, f, f), x); p.Code != problem.CodeNoAuthority {
		t.Error(p)
	}
}
