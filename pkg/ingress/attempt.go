package ingress

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
	"github.com/bronzelever/bronzelever/pkg/targetconn"
)

const (
	// maxUnsentAttempts bounds the attempts that end before a byte is sent. They count neither towards the route's attempts nor
	// towards the retry budget.
	maxUnsentAttempts = 4
	// maxViewWait is how long a request waits for a newer view after a target has refused its key.
	maxViewWait = 250 * time.Millisecond
)

// attempt places and sends the request until a target responds or no further attempt is worthwhile.
func (c *call) attempt(ctx context.Context) error {
	c.Budget.AddAttempt(c.pool.Name, c.Clock.Now())
	unsentCount := 0
	for retry := false; ; retry = true {
		target, err := c.placeInTime(ctx, retry)
		if err != nil {
			return err
		}
		_, limited := c.Limits.Rate(target.Incarnation())
		c.Metrics.recordPlacement(retry && c.attempts > 0, c.placement != nil, limited)
		target, result := c.sendHedged(ctx, target)
		if result.outcome == answered && !c.shouldRetry(result.response) {
			defer c.sender.discard(result.response)
			c.forwardResponse(result.response)
			return nil
		}
		c.logFailedAttempt(target, result)
		next := placing.NextStep(placing.Attempt{
			Outcome: placingOutcome(result.outcome), Idempotent: c.route.Idempotent, Attempts: c.attempts,
			MaxAttempts: c.route.MaxAttempts, Replayable: c.body.replayable(), Unsent: unsentCount, MaxUnsent: maxUnsentAttempts,
			TimeLeft: time.Until(c.deadline), UsualServiceTime: c.Balancer.ServiceTime(target.ID),
		})
		if next == placing.GiveUp {
			defer c.sender.discard(result.response)
			return c.giveUp(result)
		}
		c.sender.discard(result.response)
		if result.outcome == unsent {
			unsentCount++
		}
		c.prepareRetry(ctx, target, result)
	}
}

func placingOutcome(result outcome) placing.Outcome {
	switch result {
	case notRun:
		return placing.NotRun
	case unsent:
		return placing.Unsent
	case expired:
		return placing.Expired
	case answered:
		return placing.FailedAnswer
	default:
		return placing.Unknown
	}
}

// shouldRetry reports whether an idempotent request should be sent to another target because this one responded with a server
// error. A gateway timeout is not retried.
func (c *call) shouldRetry(resp *targetResponse) bool {
	return c.route.Idempotent && !c.pool.Keyed && resp.rest == nil && resp.status >= http.StatusInternalServerError &&
		resp.status != http.StatusGatewayTimeout
}

// giveUp ends the request after the last attempt: it forwards the target's response, if there is one, or returns an error.
func (c *call) giveUp(r result) error {
	if r.outcome == answered {
		c.forwardResponse(r.response)
		return nil
	}
	if r.outcome == expired || time.Until(c.deadline) <= 0 && c.mayHaveRun {
		return &statusError{http.StatusGatewayTimeout, "deadline", 0}
	}
	if c.mayHaveRun {
		return &statusError{http.StatusBadGateway, "target-failed", 0}
	}
	return &statusError{http.StatusServiceUnavailable, "target-" + r.outcome.String(), c.retryAfter(0)}
}

func (c *call) retryAfter(expected time.Duration) time.Duration {
	left := time.Until(c.deadline)
	if c.meta.RemainingTimeout > 0 {
		// The caller waits longer than the route's timeout, which applies to a single try.
		left = max(left, c.meta.RemainingTimeout-time.Since(c.start))
	}
	return placing.RetryAfter(expected, left)
}

// prepareRetry excludes the last target from the next attempt or, in a keyed pool, waits for a newer view.
func (c *call) prepareRetry(ctx context.Context, target *inventory.Target, r result) {
	if errors.Is(r.cause, errTokenExpired) {
		// The connection to the target has been established meanwhile.
		return
	}
	if !c.pool.Keyed {
		c.avoidTarget(target)
		return
	}
	if r.outcome == notRun || r.outcome == unsent {
		c.awaitViewChange(ctx, c.State.Current(), maxViewWait)
	}
}

// avoidTarget excludes a target from further attempts.
func (c *call) avoidTarget(target *inventory.Target) {
	if c.avoid == nil {
		c.avoid = map[string]bool{}
	}
	c.avoid[target.ID] = true
}

func (c *call) awaitViewChange(ctx context.Context, view *View, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-view.Changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// place returns the target of the next attempt.
func (c *call) place(ctx context.Context, retry bool) (*inventory.Target, error) {
	retry = retry && c.attempts > 0
	for {
		placement, decision, ok := c.Placer.Place(ctx, c.placementRequest(retry))
		if !ok {
			break
		}
		if decision.Target == "" {
			return nil, c.placementError(placing.Choice{Reason: decision.Reason, Expected: decision.Expected})
		}
		c.placement, c.sendBy = placement, decision.SendBy
		t := c.usableTarget(decision.Target)
		if t != nil {
			backoffLeft := c.Balancer.BackoffLeft(t.ID, c.Clock.Now())
			if backoffLeft == 0 {
				return t, nil
			}
			// The broker has changed, and the target has sent its back-off to this VM only.
			c.releasePlacement(0, placing.Abandoned, &placing.Report{ClosedFor: backoffLeft})
			continue
		}
		// One of the two VMs has outdated information about the target.
		if c.sendBy != 0 {
			c.withdrawPlacement()
		} else {
			c.releasePlacement(0, placing.Abandoned, nil)
		}
		c.awaitViewChange(ctx, c.State.Current(), maxViewWait)
		if ctx.Err() != nil {
			return nil, c.placementError(placing.Choice{Reason: placing.ReasonNoTarget})
		}
	}
	if retry && !c.Budget.TakeRetry(c.pool.Name, c.Clock.Now()) {
		return nil, c.placementError(placing.Choice{Reason: placing.ReasonRetryBudget})
	}
	return c.placeLocally(ctx)
}

// usableTarget returns the target with the given ID, or nil if according to this VM's view it can't serve the request.
func (c *call) usableTarget(id string) *inventory.Target {
	s := c.State.Current().Snapshot
	t := s.Targets[id]
	switch {
	case t == nil || !c.allowsRegion(c.RegionOf[t.Domain]):
		return nil
	case c.pool.Keyed && !s.ServesKeys(t, c.Clock.Now()):
		return nil
	case !c.pool.Keyed && !s.Available(t):
		return nil
	}
	return t
}

func (c *call) placementRequest(retry bool) placing.PlacementRequest {
	a := placing.PlacementRequest{
		Pool: c.pool.Name, Key: c.meta.Key, Priority: inventory.RequestPriority(c.organisation, c.route), TimeLeft: time.Until(c.deadline), BodyBytes: c.body.size(),
		AllowedRegions: c.allowedRegions, Retry: retry, Objective: c.objective(), Fingerprint: c.fingerprint,
		Organisation: c.organisationName(),
	}
	_, a.Limited = c.quota()
	for id := range c.avoid {
		a.Avoid = append(a.Avoid, id)
	}
	return a
}

// objective returns the time that is left until the response counts as late.
func (c *call) objective() time.Duration {
	return c.route.Objective - c.sinceFirstTry - time.Since(c.start)
}

// releasePlacement gives back the place that the broker has reserved, if there is one.
func (c *call) releasePlacement(elapsed time.Duration, ending placing.Result, report *placing.Report) {
	if c.placement != nil {
		c.placement.Done(elapsed, ending, report)
		c.placement = nil
	}
}

// placeLocally places the request with only the information of this VM.
func (c *call) placeLocally(ctx context.Context) (*inventory.Target, error) {
	if c.pool.Keyed {
		c.State.RecordKeyUse(c.pool.Name, c.meta.Key)
	}
	for {
		view := c.State.Current()
		candidates, wait, err := c.candidates(view)
		if err != nil {
			return nil, err
		}
		if wait > 0 {
			if c.worthWaiting(wait) {
				c.awaitViewChange(ctx, view, min(time.Until(c.deadline), 2*wait))
				if ctx.Err() == nil {
					continue
				}
			}
			return nil, c.placementError(placing.Choice{Reason: placing.ReasonKeyPending, Expected: wait})
		}
		if candidates, err = c.admitSuspect(candidates); err != nil {
			return nil, err
		}
		if err := c.takeQuota(); err != nil {
			return nil, err
		}
		choice := c.Balancer.Choose(placing.Criteria{
			Candidates: candidates, Avoid: c.avoid, BodyBytes: c.body.size(), TimeLeft: time.Until(c.deadline), Objective: c.objective(),
		}, c.Clock.Now())
		if choice.Target == nil {
			c.returnQuota()
			return nil, c.placementError(choice)
		}
		c.run = quarantine.RunID{Seq: c.localRuns.Add(1)}
		c.Suspects.Begin(c.run, c.fingerprint, choice.Target.Incarnation(), c.Clock.Now())
		return choice.Target, nil
	}
}

// admitSuspect restricts the candidates of a request that is suspected of crashing targets. Without the broker this VM doesn't
// know what the other VMs send, so it sends only one copy of the request at a time, and not to a target that is running another
// suspect.
func (c *call) admitSuspect(candidates []*inventory.Target) ([]*inventory.Target, error) {
	verdict, remaining := c.Suspects.Verdict(c.fingerprint, c.Clock.Now())
	switch {
	case verdict == quarantine.Clear:
		return candidates, nil
	case verdict == quarantine.Quarantined:
		return nil, c.placementError(placing.Choice{Reason: placing.ReasonQuarantined, Expected: remaining})
	case c.Suspects.CopyInFlight(c.fingerprint, c.Clock.Now()):
		return nil, c.placementError(placing.Choice{Reason: placing.ReasonSuspected})
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(t *inventory.Target) bool { return c.Suspects.HasSuspect(t.Incarnation()) }), nil
}

// worthWaiting reports whether the request should wait for its key to get an owner.
func (c *call) worthWaiting(wait time.Duration) bool {
	left := time.Until(c.deadline)
	return wait < left*2/3 && wait < time.Second
}

// placementError returns the error for a request for which no target is available.
func (c *call) placementError(choice placing.Choice) error {
	if c.r.Context().Err() != nil {
		return c.r.Context().Err()
	}
	if c.mayHaveRun {
		return &statusError{http.StatusBadGateway, string(choice.Reason), 0}
	}
	if choice.Reason == placing.ReasonQuarantined {
		return &statusError{http.StatusServiceUnavailable, string(choice.Reason), choice.Expected}
	}
	if choice.Reason == placing.ReasonQuota {
		return &statusError{http.StatusTooManyRequests, string(choice.Reason), quotaRetryAfter(choice.Expected)}
	}
	if choice.Reason == placing.ReasonNoShare {
		return &statusError{http.StatusServiceUnavailable, string(choice.Reason), quotaRetryAfter(choice.Expected)}
	}
	if choice.Reason == placing.ReasonTargetLimit {
		return &statusError{http.StatusServiceUnavailable, string(choice.Reason), placing.RetryAfterLimit(choice.Expected)}
	}
	return &statusError{http.StatusServiceUnavailable, string(choice.Reason), c.retryAfter(choice.Expected)}
}

// candidates returns the targets that may serve the request, or how long its key is expected to remain without an owner.
func (c *call) candidates(view *View) ([]*inventory.Target, time.Duration, error) {
	if c.pool.Keyed {
		return c.ownerCandidates(view)
	}
	var list []*inventory.Target
	for _, t := range view.Snapshot.Pools[c.pool.Name] {
		if view.Snapshot.Available(t) && c.allowsRegion(c.RegionOf[t.Domain]) {
			list = append(list, t)
		}
	}
	return list, 0, nil
}

// unknownOwnerWait is the assumed wait for the owner of a key that has no route or whose owner can't be used.
const unknownOwnerWait = 300 * time.Millisecond

func (c *call) ownerCandidates(view *View) ([]*inventory.Target, time.Duration, error) {
	routes := view.Routes[c.pool.Name]
	route, ok := coordinator.FindRoute(routes, c.meta.Key)
	if !ok {
		return nil, unknownOwnerWait, nil
	}
	if route.Pending {
		return nil, pendingWait(route, view.ReceivedAt), nil
	}
	t := view.Snapshot.Targets[route.Owner]
	if t == nil || !view.Snapshot.ServesKeys(t, c.Clock.Now()) {
		return nil, unknownOwnerWait, nil
	}
	if !c.allowsRegion(c.RegionOf[t.Domain]) {
		return nil, 0, &statusError{http.StatusServiceUnavailable, "owner-outside-home", c.retryAfter(0)}
	}
	return []*inventory.Target{t}, 0, nil
}

func pendingWait(r coordinator.Route, receivedAt time.Time) time.Duration {
	remaining := time.Duration(r.ReadyIn)*time.Millisecond - time.Since(receivedAt)
	return max(remaining, 100*time.Millisecond)
}

// recordRateLimit records what a response says about the target's rate limit. A response that refuses the request as misdirected
// may come from another target.
func (c *call) recordRateLimit(t *inventory.Target, r result, sent clock.Instant) {
	if r.outcome != answered && r.outcome != notRun || r.response.status == http.StatusMisdirectedRequest {
		return
	}
	notice := r.response.meta.RateLimit
	c.Limits.Observe(t.Incarnation(), notice, sent, c.Clock.Now())
	if notice.Kind == ratelimit.Absent {
		return
	}
	c.Metrics.recordRateLimit(notice.Kind == ratelimit.Unreadable)
	if notice.Kind == ratelimit.Unreadable {
		c.Log.Emit(event.TargetLimitInvalid, "target", t.ID, "request", c.meta.ID)
	}
}

// finishAttempt reports the end of an attempt to the balancer, the broker and the metrics.
func (c *call) finishAttempt(s *targetAttempt) {
	t, r, elapsed := s.target, s.result, s.elapsed
	if r.response != nil && r.response.meta.Leaving {
		c.State.RecordTargetLeaving(t.Incarnation())
	}
	report := c.targetReport(t, r)
	ending := placing.Failed
	switch {
	case r.connectionLost():
		ending = placing.ConnectionLost
	case r.outcome == answered && r.response.status >= http.StatusInternalServerError:
		ending = placing.TargetError
	case r.outcome == answered && r.response.rest != nil:
		ending = placing.PartlyAnswered
	case r.outcome == answered:
		ending = placing.Answered
	case r.outcome == notRun && r.response.status == http.StatusMisdirectedRequest:
		// The target doesn't own the key, which says nothing about its load.
		ending = placing.Abandoned
		elapsed = 0
	case r.outcome == notRun:
		ending = placing.Refused
	case r.outcome == expired:
		ending = placing.Unanswered
	case errors.Is(r.cause, context.Canceled) || errors.Is(r.cause, context.DeadlineExceeded):
		ending = placing.Abandoned
	case errors.Is(r.cause, errTokenExpired):
		// This says nothing about the target.
		ending = placing.Abandoned
		elapsed = 0
	case errors.Is(r.cause, errUnsigned) || errors.Is(r.cause, errWrongRequestID) || errors.Is(r.cause, errContentEncoding) ||
		errors.Is(r.cause, targetconn.ErrInvalidStatus):
		// A malformed response doesn't mean that the target is down.
		ending = placing.Abandoned
		elapsed = 0
	}
	if s.placement == nil {
		c.Suspects.End(s.run, ending.QuarantineOutcome(), c.Clock.Now())
		c.Balancer.Done(t.ID, elapsed, ending, report, c.Clock.Now())
	} else if errors.Is(r.cause, errTokenExpired) {
		s.placement.Withdraw()
	} else {
		c.Balancer.RecordResult(t.ID, elapsed, ending, report, c.Clock.Now())
		s.placement.Done(elapsed, ending, report)
	}
	c.Metrics.recordAttempt(r.outcome, elapsed)
}

// targetReport returns what the target has reported about its load and back-off, or nil if it reported nothing.
func (c *call) targetReport(t *inventory.Target, r result) *placing.Report {
	if r.response == nil {
		return nil
	}
	var report placing.Report
	if r.response.meta.HasLoad {
		report = r.response.meta.Load
	}
	report.ClosedFor = backoff(r.response.meta)
	report.RateLimit = r.response.meta.RateLimit
	if report.ClosedFor > 0 {
		c.Metrics.recordBackoff(r.response.meta.RetryAfterInvalid)
		c.Log.Emit(event.TargetBackoffRequested, "target", t.ID, "for_ms", report.ClosedFor.Milliseconds(), "unclear", r.response.meta.RetryAfterInvalid,
			"request", c.meta.ID)
	}
	if report == (placing.Report{}) {
		return nil
	}
	return &report
}

const (
	// invalidRetryAfterBackoff is the back-off if the target's Retry-After can't be parsed.
	invalidRetryAfterBackoff = time.Second
	// maxBackoff bounds the back-off that a target can ask for. A target that wants no requests for longer than this is
	// expected to shut down.
	maxBackoff = 5 * time.Minute
)

// backoff returns how long this VM must send nothing to the target, or 0 if the target asks for no back-off.
func backoff(m ResponseMeta) time.Duration {
	if m.RetryAfterInvalid {
		return invalidRetryAfterBackoff
	}
	return min(max(0, m.RetryAfter), maxBackoff)
}

func (c *call) logFailedAttempt(t *inventory.Target, r result) {
	cause := ""
	if r.cause != nil {
		cause = r.cause.Error()
	}
	if isLimitError(r.cause) {
		c.Metrics.recordLimitExceeded()
		c.Log.Emit(event.TargetLimitExceeded, "request", c.meta.ID, "target", t.ID, "cause", cause)
	}
	status := 0
	if r.response != nil {
		status = r.response.status
	}
	c.Log.Emit(event.AttemptFailed, "request", c.meta.ID, "route", c.route.Name, "target", t.ID, "started", t.Started, "attempt", c.attempts,
		"outcome", r.outcome.String(), "status", status, "cause", cause, "broken", r.connectionLost(),
		"content", strconv.FormatUint(c.fingerprint.Content, 16), "left_ms", time.Until(c.deadline).Milliseconds())
}
