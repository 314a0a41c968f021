package ingress

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
)

var errAttemptPanicked = errors.New("panic during an attempt")

// asyncAttempt is an attempt on a goroutine of its own.
type asyncAttempt struct {
	*targetAttempt
	cancel context.CancelFunc
	// done is closed when the goroutine has ended. Until then, no other goroutine accesses the fields of targetAttempt.
	done chan struct{}
	// hedge is set for the second attempt. reason tells why it was not sent, in which case targetAttempt is nil, and firstReason why it
	// wasn't when it was asked for first, empty if that was this time.
	hedge               bool
	reason, firstReason placing.HedgeReason
	// recorded is set once the end of the attempt is recorded.
	recorded bool
}

// sendHedged sends the request like send. If the response takes unusually long, it sends the request to a second target, too, and
// returns the attempt that counts.
func (c *call) sendHedged(ctx context.Context, t *inventory.Target) (*inventory.Target, result) {
	if c.Hedger == nil || c.hedgeDecided {
		return t, c.send(ctx, t).result
	}
	c.hedgeDecided = true
	delay, reason := c.Hedger.Begin(c.hedgeRequest(1), c.Clock.Now())
	if reason != placing.HedgeSent {
		c.Metrics.recordHedgeNotSent(reason)
		s := c.send(ctx, t)
		c.observeLatency(s)
		return t, s.result
	}
	first := c.sendAsync(ctx, c.newAttempt(t))
	for asked, again := 1, true; again && !first.endsWithin(delay); asked++ {
		hedge, refusal := c.startHedge(ctx, t)
		if hedge != nil {
			hedge.firstReason = reason
			if counts, r, ended := c.awaitBoth(first, hedge); ended {
				return counts, r
			}
			refusal = hedge.reason
		}
		reason = cmp.Or(reason, refusal)
		if delay, again = placing.NextAsk(refusal, asked, delay); again {
			c.Metrics.recordHedgeRefused(refusal)
		}
	}
	<-first.done
	if reason != placing.HedgeSent {
		c.Metrics.recordHedgeNotSent(reason)
	}
	c.recordFirstEnd(first)
	return t, first.result
}

// endsWithin waits until the attempt has ended, at most for the given time, and reports whether it has.
func (f *asyncAttempt) endsWithin(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.done:
		return true
	case <-timer.C:
		return false
	}
}

// hedgeRequest describes the request with the given number of attempts in flight.
func (c *call) hedgeRequest(inFlight int) placing.HedgeRequest {
	return placing.HedgeRequest{
		Route: c.route.Name, Idempotent: c.route.Idempotent, Keyed: c.pool.Keyed, Replayable: c.body.rest == nil,
		Attempts: c.attempts + inFlight, MaxAttempts: c.route.MaxAttempts, TimeLeft: time.Until(c.deadline),
	}
}

// sendAsync runs an attempt on a goroutine of its own.
func (c *call) sendAsync(ctx context.Context, s *targetAttempt) *asyncAttempt {
	f := &asyncAttempt{targetAttempt: s, done: make(chan struct{})}
	ctx, f.cancel = context.WithCancel(ctx)
	c.asyncAttempts = append(c.asyncAttempts, f)
	go func() {
		defer close(f.done)
		f.exchange(ctx, c.Handler, c.deadline)
	}()
	return f
}

// exchange is targetAttempt.exchange for a goroutine of its own.
func (f *asyncAttempt) exchange(ctx context.Context, h *Handler, deadline time.Time) {
	// Replaced by the result, unless the exchange panics.
	f.result = result{outcome: unknown, cause: errAttemptPanicked}
	defer h.Log.RecoverPanic("attempt")
	f.targetAttempt.exchange(ctx, h, deadline)
}

// startHedge has a second target selected and sends the request to it, on a goroutine of its own. The response to the first attempt
// doesn't wait for the selection. It returns nil and the reason if no second attempt is permitted.
func (c *call) startHedge(ctx context.Context, first *inventory.Target) (*asyncAttempt, placing.HedgeReason) {
	reason := c.Hedger.Admit(c.hedgeRequest(1), c.Clock.Now())
	if reason != placing.HedgeSent {
		return nil, reason
	}
	f := &asyncAttempt{done: make(chan struct{}), hedge: true, reason: placing.HedgeUndecided}
	request := c.upstreamRequest()
	// The first attempt modifies its body.
	request.body = &requestBody{buffered: c.body.buffered, length: c.body.length}
	place := c.placementRequest(true).AsHedge(first.ID)
	ctx, f.cancel = context.WithCancel(ctx)
	c.asyncAttempts = append(c.asyncAttempts, f)
	go func() {
		defer close(f.done)
		defer c.Log.RecoverPanic("hedge")
		f.targetAttempt, f.reason = c.placeHedge(ctx, place, request)
		if f.targetAttempt != nil {
			f.exchange(ctx, c.Handler, c.deadline)
		}
	}()
	return f, reason
}

// placeHedge asks the broker for a second target. It runs beside the goroutine of the call and accesses only what that one leaves
// unchanged. Without the broker no hedge is sent, since this VM doesn't know what the others send to the targets.
func (c *call) placeHedge(ctx context.Context, a placing.PlacementRequest, request *upstreamRequest) (s *targetAttempt, reason placing.HedgeReason) {
	defer func() { c.Hedger.Place(s != nil, c.Clock.Now()) }()
	decisionCtx, cancel := context.WithTimeout(ctx, placing.HedgeDecisionTime)
	defer cancel()
	placement, decision, ok := c.Placer.Place(decisionCtx, a)
	switch {
	case !ok:
		return nil, placing.HedgeNoBroker
	case decision.Target == "" && ctx.Err() != nil:
		return nil, placing.HedgeAnswered
	case decision.Target == "" && decisionCtx.Err() != nil:
		return nil, placing.HedgeUndecided
	case decision.Target == "":
		return nil, placing.HedgeReasonFor(decision.Reason)
	}
	t := c.usableTarget(decision.Target)
	backoffLeft := c.Balancer.BackoffLeft(decision.Target, c.Clock.Now())
	if t == nil || backoffLeft > 0 || t.ID == a.Avoid[len(a.Avoid)-1] {
		placement.Done(0, placing.Abandoned, &placing.Report{ClosedFor: backoffLeft})
		return nil, placing.HedgeNoFreeSlot
	}
	if ctx.Err() != nil {
		placement.Done(0, placing.Abandoned, nil)
		return nil, placing.HedgeAnswered
	}
	if c.pastSendBy(decision.SendBy) {
		placement.Done(0, placing.Abandoned, nil)
		return nil, placing.HedgeUndecided
	}
	request.mayBegin = c.beforeInstant(decision.SendBy)
	return &targetAttempt{target: t, request: request, placement: placement}, placing.HedgeSent
}

// awaitBoth waits for two attempts and returns the one that counts: the first one that is answered, which ends the other one. An attempt
// that fails leaves the other one to go on, as its retry or as if it had been the only one. ended is false if the hedge wasn't sent while
// the first attempt goes on.
func (c *call) awaitBoth(first, hedge *asyncAttempt) (counts *inventory.Target, r result, ended bool) {
	var winner *asyncAttempt
	select {
	case <-first.done:
		if c.acceptable(first) {
			winner = first
			c.cancelLoser(hedge)
		}
		c.recordFirstEnd(first)
		<-hedge.done
		c.recordHedgeEnd(hedge)
	case <-hedge.done:
		if hedge.targetAttempt == nil {
			return nil, result{}, false
		}
		if c.acceptable(hedge) {
			winner = hedge
			c.cancelLoser(first)
		}
		c.recordHedgeEnd(hedge)
		<-first.done
		c.recordFirstEnd(first)
	}
	switch {
	case hedge.targetAttempt == nil:
		counts, r = first.target, first.result
	case winner == hedge || winner == nil && !c.acceptable(first) && hedge.result.outcome != unsent:
		counts, r = c.conclude(hedge, first, c.acceptable(hedge))
	default:
		counts, r = c.conclude(first, hedge, false)
	}
	return counts, r, true
}

// acceptable reports whether an attempt that has ended was answered in a way that ends the request.
func (c *call) acceptable(f *asyncAttempt) bool {
	return f.targetAttempt != nil && f.result.outcome == answered && !c.shouldRetry(f.result.response)
}

// cancelLoser resets the connection of the attempt that doesn't count and waits until it is reset. That takes no longer than closing a
// socket. Only then is the slot at its target released.
func (c *call) cancelLoser(f *asyncAttempt) {
	f.cancel()
	<-f.done
	if f.targetAttempt == nil {
		return
	}
	c.sender.discard(f.result.response)
	switch f.result.outcome {
	case answered, notRun:
	case unsent:
		f.result = result{outcome: unsent, cause: context.Canceled}
	default:
		f.result = result{outcome: cancelled, cause: context.Canceled}
	}
}

// recordFirstEnd records the end of the first attempt.
func (c *call) recordFirstEnd(first *asyncAttempt) {
	c.observeLatency(first.targetAttempt)
	c.finish(first.targetAttempt)
}

// recordHedgeEnd records the end of the second attempt, if it was sent.
func (c *call) recordHedgeEnd(f *asyncAttempt) {
	if f.targetAttempt == nil {
		c.Metrics.recordHedgeNotSent(cmp.Or(f.firstReason, f.reason))
		return
	}
	_, limited := c.Limits.Rate(f.target.Incarnation())
	c.Metrics.recordPlacement(true, true, limited)
	c.Metrics.recordHedge()
	c.finish(f.targetAttempt)
	f.recorded = true
}

// conclude ends the attempt that doesn't count and returns the other one.
func (c *call) conclude(counts, other *asyncAttempt, hedgeWon bool) (*inventory.Target, result) {
	if !errors.Is(other.result.cause, context.Canceled) && !c.acceptable(other) {
		c.logFailedAttempt(other.target, other.result)
	}
	c.sender.discard(other.result.response)
	c.avoidTarget(other.target)
	c.lastTarget = counts.target.ID
	if hedgeWon {
		c.Metrics.recordHedgeWon()
	}
	c.Log.Emit(event.RequestHedged, "request", c.meta.ID, "route", c.route.Name, "target", counts.target.ID, "other", other.target.ID,
		"outcome", counts.result.outcome.String(), "other_outcome", other.result.outcome.String(), "won", hedgeWon,
		"ms", counts.elapsed.Milliseconds(), "other_ms", other.elapsed.Milliseconds())
	return counts.target, counts.result
}

// observeLatency records how long the first attempt took, or at least would have taken.
func (c *call) observeLatency(s *targetAttempt) {
	switch r := s.result; {
	case !c.route.Idempotent || c.pool.Keyed:
	case r.outcome == answered && !c.shouldRetry(r.response):
		c.Hedger.Observe(c.route.Name, s.elapsed, true, c.Clock.Now())
	case r.outcome == cancelled || r.outcome == expired:
		c.Hedger.Observe(c.route.Name, s.elapsed, false, c.Clock.Now())
	}
}
