package placing

import (
	"math"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// repeats plays budgets that are asked for repeats all the time, and counts those of each window.
type repeats struct {
	ratio, extra float64
	window       time.Duration
	firsts, done []clock.Instant
	// most and bound are those of the worst window.
	most, bound float64
}

func (r *repeats) take(now clock.Instant, b *Budget) {
	if !b.Repeat("p", now) {
		return
	}
	r.done = append(r.done, now)
	since := func(list []clock.Instant) (n float64) {
		for i := len(list) - 1; i >= 0 && now.Sub(list[i]) < r.window; i-- {
			n++
		}
		return n
	}
	if n, bound := since(r.done), r.ratio*since(r.firsts)+r.extra; n-bound > r.most-r.bound {
		r.most, r.bound = n, bound
	}
}

// Guards against repeats beyond the bound of a service while the coordinator's role passes from VM to VM and all VMs restart: each
// budget was full when it began, so that their number multiplied the bound.
func TestBudgetHoldsOverTakeoversAndRestarts(t *testing.T) {
	for _, c := range []struct {
		vms   int
		extra float64
	}{{12, 60}, {295, 630}} {
		r := &repeats{ratio: 0.2, extra: c.extra, window: 10 * time.Second, bound: math.Inf(1)}
		brokers := make([]*Budget, 3)
		for i := range brokers {
			brokers[i] = NewBrokerBudget(r.ratio, r.extra, r.window)
		}
		locals := make([]*Budget, c.vms)
		start := func(i int) {
			locals[i] = NewLocalBudget(r.ratio, r.extra, r.window)
			locals[i].Divide(c.vms)
		}
		for i := range locals {
			start(i)
		}
		leading := 0
		for ms := 0; ms < 60_000; ms += 50 {
			now := clock.Instant(time.Duration(ms) * time.Millisecond)
			if ms%1500 == 0 {
				brokers[leading].Reset()
				leading = (leading + 1) % len(brokers)
			}
			if ms > 20_000 && ms%100 == 0 {
				start(ms / 100 % c.vms)
			}
			if ms%200 == 0 {
				r.firsts = append(r.firsts, now)
				brokers[leading].First("p", now)
				locals[ms/200%c.vms].First("p", now)
			}
			// Nothing fails at first, so that all budgets fill up.
			if ms < 15_000 {
				continue
			}
			for range 5 {
				r.take(now, brokers[leading])
			}
			for _, b := range locals {
				r.take(now, b)
			}
		}
		t.Logf("%d VMs: at most %.0f repeats in %v, the bound is %.0f", c.vms, r.most, r.window, r.bound)
		if r.most > r.bound {
			t.Errorf("%d VMs: the bound is exceeded", c.vms)
		}
	}
}

// Guards against a budget that permits no repeat at all on a quiet service.
func TestQuietServicesMayRepeat(t *testing.T) {
	broker, local := NewBrokerBudget(0.2, 60, 10*time.Second), NewLocalBudget(0.2, 60, 10*time.Second)
	for name, b := range map[string]*Budget{"broker": broker, "local": local} {
		b.First("p", 0)
		if now := clock.Instant(30 * time.Second); !b.Repeat("p", now) {
			t.Errorf("the %s permits no repeat after 30 s", name)
		}
	}
}
