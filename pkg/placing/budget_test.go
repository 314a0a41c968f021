package placing

import (
	"math"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// budgetUse requests retries from budgets all the time, and counts the retries granted in each window.
type budgetUse struct {
	ratio, extra      float64
	window            time.Duration
	attempts, granted []clock.Instant
	// most and bound are the retries and the limit of the worst window.
	most, bound float64
}

func (r *budgetUse) tryRetry(now clock.Instant, b *RetryBudget) {
	if !b.TakeRetry("p", now) {
		return
	}
	r.granted = append(r.granted, now)
	since := func(list []clock.Instant) (n float64) {
		for i := len(list) - 1; i >= 0 && now.Sub(list[i]) < r.window; i-- {
			n++
		}
		return n
	}
	if n, bound := since(r.granted), r.ratio*since(r.attempts)+r.extra; n-bound > r.most-r.bound {
		r.most, r.bound = n, bound
	}
}

// Guards against exceeding the limit of retries while the coordinator changes repeatedly and all VMs restart: when each budget
// started full, every new budget added to the limit.
func TestBudgetHoldsOverTakeoversAndRestarts(t *testing.T) {
	for _, c := range []struct {
		vms   int
		extra float64
	}{{12, 60}, {295, 630}} {
		r := &budgetUse{ratio: 0.2, extra: c.extra, window: 10 * time.Second, bound: math.Inf(1)}
		brokers := make([]*RetryBudget, 3)
		for i := range brokers {
			brokers[i] = NewBrokerBudget(r.ratio, r.extra, r.window)
		}
		locals := make([]*RetryBudget, c.vms)
		start := func(i int) {
			locals[i] = NewLocalBudget(r.ratio, r.extra, r.window)
			locals[i].SetVMCount(c.vms)
		}
		for i := range locals {
			start(i)
		}
		leader := 0
		for ms := 0; ms < 60_000; ms += 50 {
			now := clock.Instant(time.Duration(ms) * time.Millisecond)
			if ms%1500 == 0 {
				brokers[leader].Reset()
				leader = (leader + 1) % len(brokers)
			}
			if ms > 20_000 && ms%100 == 0 {
				start(ms / 100 % c.vms)
			}
			if ms%200 == 0 {
				r.attempts = append(r.attempts, now)
				brokers[leader].AddAttempt("p", now)
				locals[ms/200%c.vms].AddAttempt("p", now)
			}
			// Nothing fails at first, so that all budgets fill up.
			if ms < 15_000 {
				continue
			}
			for range 5 {
				r.tryRetry(now, brokers[leader])
			}
			for _, b := range locals {
				r.tryRetry(now, b)
			}
		}
		t.Logf("%d VMs: at most %.0f retries in %v, the limit is %.0f", c.vms, r.most, r.window, r.bound)
		if r.most > r.bound {
			t.Errorf("%d VMs: the limit is exceeded", c.vms)
		}
	}
}

// Guards against a budget that never allows a retry for a service with few requests.
func TestQuietServicesMayRetry(t *testing.T) {
	broker, local := NewBrokerBudget(0.2, 60, 10*time.Second), NewLocalBudget(0.2, 60, 10*time.Second)
	for name, b := range map[string]*RetryBudget{"broker": broker, "local": local} {
		b.AddAttempt("p", 0)
		if now := clock.Instant(30 * time.Second); !b.TakeRetry("p", now) {
			t.Errorf("the %s budget allows no retry after 30 s", name)
		}
	}
}
