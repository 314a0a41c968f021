package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// shedPause is how long a target gets no new work after it has refused some.
	shedPause = 100 * time.Millisecond
	// brokenPause is how long a target whose connection broke gets no new work unless it answers a health poll before. A
	// process that is ending may still accept a connection; the broken request would count as a second crash.
	brokenPause = 300 * time.Millisecond
	// keyedDrainGrace is how long the owner of slices still serves them after it has announced its leave: the slices need
	// about a second to move, and 2 s is the bound for new work at a leaving target.
	keyedDrainGrace = 1500 * time.Millisecond
)

// ticket is the use of one slot.
type ticket struct {
	target  *target
	slice   *heldSlice
	waiter  *waiter
	keyHash uint64
	started clock.Instant
	// answered is set once the answer's head has arrived.
	answered bool
	released bool
	// ending tells that the exchange is over and only the target's close is awaited, which takes about one round trip.
	ending bool
	// report is the crash of the target that has been counted for the request, nil if there is none.
	report *crashReport
}

// retryAfter spreads the return of refused callers over [d, 2d).
func retryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + rand.N(d)
}

func refuse(status int, code problem.Code, detail string, retry time.Duration) *problem.Error {
	return problem.New(status, code, problem.NotRun, detail).After(retryAfter(retry))
}

// admit waits for a slot. A refusal is always "not run".
func (g *group) admit(ctx context.Context, request *wire.Request, w *waiter) (*ticket, error) {
	if err := g.enqueue(request, w); err != nil {
		return nil, err
	}
	select {
	case err := <-w.granted:
		return w.ticket, err
	case <-ctx.Done():
	}
	if g.withdraw(w) {
		return nil, deadlineNotRun()
	}
	// The waiter has been served at the same time.
	if err := <-w.granted; err != nil {
		return nil, err
	}
	g.release(w.ticket)
	return nil, deadlineNotRun()
}

func (g *group) enqueue(request *wire.Request, w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.accepts(); err != nil {
		return err
	}
	if err := g.refuseWhileClosed(request); err != nil {
		return err
	}
	if request.Keyed {
		if err := g.locate(request, w); err != nil {
			return err
		}
	}
	q := g.queueOf(w)
	if err := g.fits(q, w); err != nil {
		return err
	}
	q.insert(w)
	g.queued++
	g.pump()
	return g.bound(w)
}

func (g *group) queueOf(w *waiter) *queue {
	if w.target != nil {
		return &w.target.queue
	}
	return &g.shared
}

// fits refuses a request whose deadline cannot be met.
func (g *group) fits(q *queue, w *waiter) error {
	wait, latency := g.estimate(q, w)
	w.patience = time.Now().Add(time.Until(w.deadline) / 2)
	if !w.unmeetable(wait, latency) {
		return nil
	}
	g.metrics.refusedEstimate.Inc(1)
	return refuse(http.StatusServiceUnavailable, problem.CodeOverload,
		"the deadline cannot be met: the queue takes too long", wait)
}

// refuseUnmeetable answers the waiters whose deadlines can't be met any more, so that none is held until its deadline.
func (g *group) refuseUnmeetable(q *queue) {
	for i := 0; i < len(q.waiters); {
		w := q.waiters[i]
		wait, latency := g.estimateAt(w, i)
		if !w.unmeetable(wait, latency) {
			i++
			continue
		}
		q.removeAt(i)
		g.queued--
		g.unreserve(w)
		g.metrics.refusedEstimate.Inc(1)
		w.granted <- refuse(http.StatusServiceUnavailable, problem.CodeOverload,
			"the deadline cannot be met: the queue takes too long", wait)
	}
}

// estimate returns the expected wait for a slot and the expected latency after it.
func (g *group) estimate(q *queue, w *waiter) (wait, latency time.Duration) {
	return g.estimateAt(w, q.rank(w))
}

// estimateAt is the estimate for a waiter with a number of others ahead.
func (g *group) estimateAt(w *waiter, ahead int) (wait, latency time.Duration) {
	now := g.clock.Now()
	free, limit := 0, 0
	latency = time.Duration(0)
	for _, t := range g.targets {
		if w.target != nil && w.target != t || !t.open(now) {
			continue
		}
		free += t.freeSoon(now)
		limit += t.limit()
		if latency == 0 || t.ramp.latency < latency {
			latency = t.ramp.latency
		}
	}
	if median := medianLatency(g.targets); w.target == nil {
		latency = median
	}
	if now < g.notBefore && !g.asking {
		wait = g.notBefore.Sub(now)
	}
	if free > ahead || limit == 0 {
		return wait, latency
	}
	return wait + latency*time.Duration(ahead-free+1)/time.Duration(limit), latency
}

// bound keeps the queue within its limit; the waiter of the lowest rank is refused. It returns an error if that is w.
func (g *group) bound(w *waiter) error {
	if g.queued <= max(1, g.pool.QueueLimit) {
		return nil
	}
	victim := g.lowest()
	wait, _ := g.estimate(g.queueOf(victim), victim)
	g.drop(victim)
	g.metrics.refusedFull.Inc(1)
	refusal := refuse(http.StatusServiceUnavailable, problem.CodeOverload, "the queue is full", wait)
	if victim == w {
		return refusal
	}
	victim.granted <- refusal
	return nil
}

func (g *group) lowest() *waiter {
	lowest := g.shared.last()
	for _, t := range g.targets {
		last := t.queue.last()
		if last != nil && (lowest == nil || lowest.before(last)) {
			lowest = last
		}
	}
	return lowest
}

// drop takes a waiter out of its queue. It returns false if the waiter isn't queued any more.
func (g *group) drop(w *waiter) bool {
	if !g.queueOf(w).remove(w) {
		return false
	}
	g.queued--
	g.unreserve(w)
	return true
}

// unreserve ends the reservation of a suspect that doesn't wait any more.
func (g *group) unreserve(w *waiter) {
	for _, t := range g.targets {
		if t.alone == w {
			t.alone = nil
		}
	}
}

// withdraw takes back a waiter whose caller has left.
func (g *group) withdraw(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.drop(w) {
		return false
	}
	g.pump()
	return true
}

// refuseAll answers every waiter of a queue.
func (g *group) refuseAll(q *queue, refusal *problem.Error) {
	for _, w := range q.waiters {
		g.queued--
		g.unreserve(w)
		w.granted <- refusal
	}
	q.waiters = nil
}

// pump gives free slots to waiters.
func (g *group) pump() {
	now := g.clock.Now()
	if g.state != wire.HoldActive || !g.startable(now) || !g.gateway.authorized(now) {
		return
	}
	for _, t := range g.targets {
		g.pumpKeyed(t, now)
	}
	g.pumpShared(now)
}

func (g *group) pumpKeyed(t *target, now clock.Instant) {
	for i := 0; i < len(t.queue.waiters); {
		w := t.queue.waiters[i]
		if g.servable(w, t, now) {
			t.queue.removeAt(i)
			g.grantSlot(w, t, now)
			continue
		}
		i++
	}
}

// servable tells whether a keyed waiter can run now.
func (g *group) servable(w *waiter, t *target, now clock.Instant) bool {
	if !w.slice.usable(now) {
		return false
	}
	if !w.alone {
		return t.free(now) > 0
	}
	return g.reserve(w, t, now)
}

// reserve keeps a target free for a suspect and tells whether it is idle now.
func (g *group) reserve(w *waiter, t *target, now clock.Instant) bool {
	if !t.open(now) || t.alone != nil && t.alone != w {
		return false
	}
	t.alone = w
	return len(t.tickets) == 0
}

func (g *group) pumpShared(now clock.Instant) {
	if len(g.shared.waiters) == 0 {
		return
	}
	c := chooser{now: now, median: medianLatency(g.targets), targets: g.targets, granted: g.granted}
	for i := 0; i < len(g.shared.waiters); {
		w := g.shared.waiters[i]
		t := g.pick(&c, w, now)
		if t == nil {
			i++
			c.ahead = i
			continue
		}
		g.shared.removeAt(i)
		g.grantSlot(w, t, now)
		c.granted = g.granted
	}
}

func (g *group) pick(c *chooser, w *waiter, now clock.Instant) *target {
	if !w.alone {
		return g.choose(c, w)
	}
	for _, t := range g.targets {
		if t.alone == w && t.open(now) {
			if len(t.tickets) == 0 {
				return t
			}
			return nil
		}
	}
	t := c.chooseAlone(w)
	if t != nil && g.reserve(w, t, now) {
		return t
	}
	return nil
}

func (g *group) grantSlot(w *waiter, t *target, now clock.Instant) {
	g.queued--
	k := &ticket{target: t, slice: w.slice, waiter: w, started: now}
	t.tickets[k] = struct{}{}
	if w.slice != nil {
		w.slice.running++
	}
	g.granted++
	t.triedAt = now
	t.triedGrant = g.granted
	w.ticket = k
	w.granted <- nil
}

// release frees a slot. The target works on nothing for it any more.
func (g *group) release(k *ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if k.released {
		return
	}
	k.released = true
	delete(k.target.tickets, k)
	if k.slice != nil {
		k.slice.running--
	}
	if k.target.alone == k.waiter {
		k.target.alone = nil
	}
	g.settle()
	g.pump()
}
