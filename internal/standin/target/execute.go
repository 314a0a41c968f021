package target

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// request is what the target knows about a request before it executes it.
type request struct {
	id            string
	keyHash       uint64
	hasKeyHash    bool
	groupEpoch    uint64
	hasGroupEpoch bool
	sliceEpoch    uint64
	orderKey      string
	// deadline is 0 if the request has none.
	deadline clock.Instant
	crash    bool
}

func (t *Target) newRequest(r *http.Request, key string) *request {
	q := &request{id: r.Header.Get("X-Request-Id")}
	q.groupEpoch, q.hasGroupEpoch = headerNumber(r, headerGroupEpoch)
	q.sliceEpoch, _ = headerNumber(r, headerSliceEpoch)
	q.keyHash, q.hasKeyHash = headerNumber(r, headerKeyHash)
	if !q.hasKeyHash && key != "" {
		// Requests to unchecked targets carry no hash; the record needs one that is equal on all targets of the pool.
		q.keyHash = xxhash.Sum64String(r.Header.Get("Bronzelever-Tenant") + "\x00" + key)
	}
	if ms, ok := headerNumber(r, headerDeadline); ok {
		q.deadline = t.clock.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	q.crash = t.hasMarker(r.URL.Path) || t.hasMarker(r.Header.Get("Standin-Marker"))
	return q
}

// execution is a request in a slot.
type execution struct {
	request *request
	start   clock.Instant
	// coveredUntil is when the grant for the execution lapses unless it is renewed before.
	coveredUntil clock.Instant
	// orderRuns counts the executions of the request's order key here, this one included.
	orderRuns int
	// lost is closed when the grant is lost.
	lost  chan struct{}
	abort func()
	// ended is closed when the slot is free again.
	ended chan struct{}
}

// waiter waits for a slot.
type waiter struct {
	granted chan struct{}
}

// begin takes a slot, waits for one, or refuses.
func (t *Target) begin(ctx context.Context, q *request) (*execution, *refusal) {
	t.mu.Lock()
	t.offered++
	t.noteOffered()
	if ctx.Err() != nil {
		defer t.mu.Unlock()
		return nil, t.refuse(refusedLate)
	}
	if t.hasSlot() || !t.settings.Shed && len(t.waiting) >= t.settings.WaitLimit {
		defer t.mu.Unlock()
		return t.start(q)
	}
	if len(t.waiting) >= t.settings.WaitLimit {
		defer t.mu.Unlock()
		return nil, t.refuse(refusedShed)
	}
	w := &waiter{granted: make(chan struct{})}
	t.waiting = append(t.waiting, w)
	t.mu.Unlock()
	return t.await(ctx, q, w)
}

// await waits until a slot has been handed over, the deadline has passed or the caller has gone.
func (t *Target) await(ctx context.Context, q *request, w *waiter) (*execution, *refusal) {
	var deadline <-chan clock.Instant
	if q.deadline != 0 {
		deadline = t.clock.After(q.deadline.Sub(t.clock.Now()))
	}
	select {
	case <-w.granted:
	case <-deadline:
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.waiting {
		if t.waiting[i] == w {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return nil, t.refuse(refusedLate)
		}
	}
	t.handedOver--
	if ctx.Err() != nil {
		t.handOver()
		return nil, t.refuse(refusedLate)
	}
	x, why := t.start(q)
	if why != nil {
		t.handOver()
	}
	return x, why
}

func (t *Target) hasSlot() bool {
	// Waiters that were handed a slot but haven't started yet count as using it.
	return len(t.active)+t.handedOver < t.limit()
}

func (t *Target) limit() int {
	if t.settings.Cold {
		return t.settings.ColdSlots
	}
	return t.settings.Slots
}

func (t *Target) noteOffered() {
	t.summary.MaxOffered = max(t.summary.MaxOffered, t.offered)
	if t.settings.Cold {
		t.summary.MaxOfferedCold = max(t.summary.MaxOfferedCold, t.offered)
	}
}

// refuse counts a request that isn't executed. The caller holds the mutex.
func (t *Target) refuse(why *refusal) *refusal {
	t.offered--
	why.count(&t.summary.Refused)
	return why
}

// start begins the execution. Deadline and grant are checked here, at the last moment before any effect. The caller holds
// the mutex.
func (t *Target) start(q *request) (*execution, *refusal) {
	now := t.clock.Now()
	if q.deadline != 0 && now >= q.deadline && !t.settings.IgnoreDeadline {
		return nil, t.refuse(refusedLate)
	}
	if t.settings.Fenced {
		if why := t.grant.check(q, now); why != nil {
			return nil, t.refuse(why)
		}
	}
	lost := make(chan struct{})
	x := &execution{
		request:      q,
		start:        now,
		coveredUntil: t.grant.expires,
		lost:         lost,
		abort:        sync.OnceFunc(func() { close(lost) }),
		ended:        make(chan struct{}),
	}
	t.active[x] = struct{}{}
	if q.orderKey != "" {
		x.orderRuns = t.orders.add(q.orderKey)
	}
	t.summary.LastStart = now
	t.summary.MaxExecuting = max(t.summary.MaxExecuting, len(t.active))
	if t.settings.Cold {
		t.summary.MaxExecutingCold = max(t.summary.MaxExecutingCold, len(t.active))
	}
	return x, nil
}

// serviceTime draws the time that an execution takes.
func (t *Target) serviceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.settings
	ms := s.ServiceMillis * (1 + s.Spread*(2*t.random.Float64()-1))
	ms *= s.slow(t.clock.Now().Sub(t.started))
	if t.settings.Cold {
		ms *= s.ColdFactor
	}
	if n := len(t.active); n > t.limit() {
		ms *= float64(n) / float64(t.limit())
	}
	return millis(ms)
}

// work passes the service time. It returns the reason if the execution has to end early.
func (t *Target) work(ctx context.Context, x *execution) string {
	done := time.NewTimer(t.serviceTime())
	defer done.Stop()
	if x.request.crash {
		t.exit()
	}
	settings := t.Settings()
	var cancelled <-chan struct{}
	if !settings.IgnoreCancel {
		cancelled = ctx.Done()
	}
	var deadline <-chan clock.Instant
	if x.request.deadline != 0 && !settings.IgnoreDeadline {
		deadline = t.clock.After(x.request.deadline.Sub(t.clock.Now()))
	}
	reason := ""
	select {
	case <-done.C:
	case <-cancelled:
		reason = abortedCancel
	case <-deadline:
		reason = abortedDeadline
	case <-x.lost:
		reason = abortedFence
	}
	t.gate.wait()
	return t.stillAllowed(x, reason)
}

// stillAllowed checks deadline and grant again, since a frozen process passes both without noticing.
func (t *Target) stillAllowed(x *execution, reason string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if t.settings.Fenced && now >= x.coveredUntil {
		return abortedFence
	}
	if x.request.deadline != 0 && now >= x.request.deadline && !t.settings.IgnoreDeadline {
		return abortedDeadline
	}
	return reason
}

// guardTransfer breaks off the transfer of a bundle at the deadline or when the grant is lost, so that a peer that stopped
// sending or reading doesn't keep the slot.
func (t *Target) guardTransfer(w http.ResponseWriter, x *execution) {
	var deadline <-chan clock.Instant
	if x.request.deadline != 0 && !t.Settings().IgnoreDeadline {
		deadline = t.clock.After(x.request.deadline.Sub(t.clock.Now()))
	}
	go func() {
		select {
		case <-x.ended:
			return
		case <-deadline:
		case <-x.lost:
		}
		control := http.NewResponseController(w)
		// A time in the past ends the reads and writes in progress. Errors mean that the connection is closed already.
		_ = control.SetReadDeadline(time.Unix(1, 0))
		_ = control.SetWriteDeadline(time.Unix(1, 0))
	}()
}

// finish records the execution and frees the slot. It has to be called before the last byte of the answer is sent:
// the gateway may send the next request as soon as it has the answer.
func (t *Target) finish(x *execution, aborted string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.active, x)
	t.offered--
	t.log.add(Execution{
		RequestID:  x.request.id,
		KeyHash:    x.request.keyHash,
		GroupEpoch: x.request.groupEpoch,
		SliceEpoch: x.request.sliceEpoch,
		OrderKey:   x.request.orderKey,
		Start:      x.start,
		End:        t.effectEnd(x, aborted),
		Aborted:    aborted,
	})
	if aborted == "" {
		t.noteSuccess()
	}
	t.handOver()
	close(x.ended)
}

func (t *Target) effectEnd(x *execution, aborted string) clock.Instant {
	now := t.clock.Now()
	switch {
	case aborted == abortedDeadline:
		return min(now, x.request.deadline)
	case aborted == abortedFence:
		return min(now, x.coveredUntil)
	}
	return now
}

func (t *Target) noteSuccess() {
	if !t.settings.Cold {
		return
	}
	t.successes++
	if t.successes >= t.settings.WarmAfter {
		t.settings.Cold = false
	}
}

// handOver gives free slots to waiters.
func (t *Target) handOver() {
	for len(t.waiting) > 0 && t.hasSlot() {
		w := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.handedOver++
		close(w.granted)
	}
}
