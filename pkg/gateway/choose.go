package gateway

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// A slow target gets a request now and then although faster ones exist, so that its recovery is noticed.
const (
	// slowTryRequests is the number of requests of the group between two tries: one slow target in a group of five then
	// gets 0.1% of the requests, which leaves the 99th percentile alone.
	slowTryRequests = 1000
	// slowTryMin and slowTryMax bound the time between two tries.
	slowTryMin = time.Second
	slowTryMax = 30 * time.Second
)

// chooser picks targets for unkeyed requests at one instant.
type chooser struct {
	now     clock.Instant
	median  time.Duration
	targets []*target
	// ahead is the number of waiters that come first and wait as well.
	ahead int
	// granted counts the requests that the group has sent to targets.
	granted int64
}

// choose returns the best target for a waiter, nil if it should wait. Targets without a slow sign come first, by expected
// latency and load. A slow target is used only if waiting for a faster one is likely to take longer.
func (c *chooser) choose(w *waiter) *target {
	best := c.best(w, false)
	if best != nil {
		return best
	}
	slow := c.best(w, true)
	if slow == nil {
		return nil
	}
	if c.waitForFast(w) < slow.expected(c.now) {
		return nil
	}
	return slow
}

func (c *chooser) best(w *waiter, slow bool) *target {
	var best *target
	bestScore := 0.0
	for _, t := range c.targets {
		if t.free(c.now) == 0 || w.avoid[t] || c.slow(t) != slow {
			continue
		}
		score := c.score(t)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

// score estimates the time to an answer; a loaded target is charged for what it already runs.
func (c *chooser) score(t *target) float64 {
	expected := max(t.expected(c.now), c.median/2, time.Microsecond)
	return float64(expected) * float64(len(t.tickets)+1) / float64(t.limit())
}

// slow tells whether a target answers much later than its group. Now and then it may be tried again.
func (c *chooser) slow(t *target) bool {
	if c.median == 0 {
		return false
	}
	if t.oldest(c.now) > slowBound(c.median) {
		return true
	}
	if t.ramp.latency <= slowBound(c.median) {
		return false
	}
	since := c.now.Sub(t.triedAt)
	due := since >= slowTryMax || since >= slowTryMin && c.granted-t.triedGrant >= slowTryRequests
	return !due
}

// waitForFast estimates how long a waiter waits for a target that isn't slow.
func (c *chooser) waitForFast(w *waiter) time.Duration {
	slots := 0
	for _, t := range c.targets {
		if t.open(c.now) && t.alone == nil && !w.avoid[t] && !c.slow(t) {
			slots += t.limit()
		}
	}
	if slots == 0 {
		return time.Duration(1<<63 - 1)
	}
	return c.median * time.Duration(c.ahead+slots) / time.Duration(slots)
}

// chooseAlone returns a target for a suspect, which runs alone: an idle one, else the one with the least in flight, which
// then gets no new work until it is idle.
func (c *chooser) chooseAlone(w *waiter) *target {
	var best *target
	for _, t := range c.targets {
		if !t.open(c.now) || t.alone != nil || w.avoid[t] {
			continue
		}
		if best == nil || len(t.tickets) < len(best.tickets) {
			best = t
		}
	}
	return best
}
