package ingress

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
)

const (
	// maxUnsent bounds the attempts that end before a byte is sent; they use neither attempts nor budget.
	maxUnsent = 4
	// keyRetryWait is how long a request waits for a newer view after a target refused its key.
	keyRetryWait = 250 * time.Millisecond
)

// attempt places and sends the request until it is answered or must be given up.
func (c *call) attempt(ctx context.Context) error {
	c.Budget.First(c.pool.Name, c.Clock.Now())
	unsentCount := 0
	for repeat := false; ; repeat = true {
		target, err := c.place(ctx, repeat)
		if err != nil {
			return err
		}
		c.Metrics.placed(repeat && c.attempts > 0, c.placement != nil)
		result := c.send(ctx, target)
		if result.outcome == answered && !c.worthRepeating(result.answer) {
			defer c.sender.drop(result.answer)
			c.deliver(result.answer)
			return nil
		}
		c.logAttempt(target, result)
		next := placing.NextStep(placing.Attempt{
			Outcome: resultKind(result.outcome), Idempotent: c.route.Idempotent, Attempts: c.attempts,
			MaxAttempts: c.route.MaxAttempts, Repeatable: c.body.repeatable(), Unsent: unsentCount, MaxUnsent: maxUnsent,
			Left: time.Until(c.deadline), Usual: c.Balancer.Service(target.ID),
		})
		if next == placing.GiveUp {
			defer c.sender.drop(result.answer)
			return c.giveUp(result)
		}
		c.sender.drop(result.answer)
		if result.outcome == unsent {
			unsentCount++
		}
		c.prepareRepeat(ctx, target, result)
	}
}

func resultKind(o outcome) placing.Outcome {
	switch o {
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

// worthRepeating tells whether another target may do better than this one's answer.
func (c *call) worthRepeating(a *answer) bool {
	return c.route.Idempotent && !c.pool.Keyed && a.rest == nil && a.status >= http.StatusInternalServerError &&
		a.status != http.StatusGatewayTimeout
}

// giveUp returns the final answer after the last attempt.
func (c *call) giveUp(r result) error {
	if r.outcome == answered {
		c.deliver(r.answer)
		return nil
	}
	if r.outcome == expired || time.Until(c.deadline) <= 0 && c.mayHaveRun {
		return &refusal{http.StatusGatewayTimeout, "deadline", 0}
	}
	if c.mayHaveRun {
		return &refusal{http.StatusBadGateway, "target-failed", 0}
	}
	return &refusal{http.StatusServiceUnavailable, "target-" + r.outcome.String(), c.retryAfter(0)}
}

func (c *call) retryAfter(expected time.Duration) time.Duration {
	left := time.Until(c.deadline)
	if c.meta.Wait > 0 {
		// The caller waits longer than the route's time-out allows one try to take.
		left = max(left, c.meta.Wait-time.Since(c.start))
	}
	return placing.RetryAfter(expected, left)
}

// prepareRepeat makes the next attempt see what the last one has shown.
func (c *call) prepareRepeat(ctx context.Context, target *inventory.Target, r result) {
	if !c.pool.Keyed {
		if c.avoid == nil {
			c.avoid = map[string]bool{}
		}
		c.avoid[target.ID] = true
		return
	}
	if r.outcome == notRun || r.outcome == unsent {
		c.awaitChange(ctx, c.Knowledge.Current(), keyRetryWait)
	}
}

func (c *call) awaitChange(ctx context.Context, view *View, bound time.Duration) {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-view.Changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// place returns the target of the next attempt.
func (c *call) place(ctx context.Context, repeat bool) (*inventory.Target, error) {
	repeat = repeat && c.attempts > 0
	for {
		placement, verdict, ok := c.Placer.Place(ctx, c.ask(repeat))
		if !ok {
			break
		}
		if verdict.Target == "" {
			return nil, c.unplaced(placing.Choice{Reason: verdict.Reason, Expected: verdict.Expected})
		}
		c.placement = placement
		t := c.usable(verdict.Target)
		if t != nil {
			closed := c.Balancer.ClosedFor(t.ID, c.Clock.Now())
			if closed == 0 {
				return t, nil
			}
			// The broker is a new one, and the target has told this VM only.
			c.settlePlace(0, placing.Abandoned, &placing.Report{ClosedFor: closed})
			continue
		}
		// One of both VMs has older knowledge about the target.
		c.settlePlace(0, placing.Abandoned, nil)
		c.awaitChange(ctx, c.Knowledge.Current(), keyRetryWait)
		if ctx.Err() != nil {
			return nil, c.unplaced(placing.Choice{Reason: placing.ReasonNone})
		}
	}
	if repeat && !c.Budget.Repeat(c.pool.Name, c.Clock.Now()) {
		return nil, c.unplaced(placing.Choice{Reason: placing.ReasonBudget})
	}
	return c.placeLocally(ctx)
}

// usable returns a target if this VM, too, knows that it may get the request.
func (c *call) usable(id string) *inventory.Target {
	s := c.Knowledge.Current().Snapshot
	t := s.Targets[id]
	switch {
	case t == nil || !c.route.Allows(c.RegionOf[t.Domain]):
		return nil
	case c.pool.Keyed && !s.Serves(t, c.Clock.Now()):
		return nil
	case !c.pool.Keyed && !s.Open(t):
		return nil
	}
	return t
}

func (c *call) ask(repeat bool) placing.Ask {
	a := placing.Ask{
		Pool: c.pool.Name, Key: c.meta.Key, Priority: c.route.Priority, Left: time.Until(c.deadline), BodyBytes: c.body.size(),
		Homes: c.route.HomeRegions, Repeat: repeat, Objective: c.objective(), Fingerprint: c.fingerprint,
	}
	for id := range c.avoid {
		a.Avoid = append(a.Avoid, id)
	}
	return a
}

// objective is the time until the latency counts as late.
func (c *call) objective() time.Duration {
	return c.route.Objective - c.age - time.Since(c.start)
}

// settlePlace gives a place back that the coordinator has given.
func (c *call) settlePlace(elapsed time.Duration, how placing.Ending, report *placing.Report) {
	if c.placement != nil {
		c.placement.Done(elapsed, how, report)
		c.placement = nil
	}
}

// placeLocally places a request with what this VM knows alone.
func (c *call) placeLocally(ctx context.Context) (*inventory.Target, error) {
	if c.pool.Keyed {
		c.Knowledge.KeyUsed(c.pool.Name, c.meta.Key)
	}
	for {
		view := c.Knowledge.Current()
		candidates, wait, err := c.candidates(view)
		if err != nil {
			return nil, err
		}
		if wait > 0 {
			if c.mayWait(wait) {
				c.awaitChange(ctx, view, min(time.Until(c.deadline), 2*wait))
				if ctx.Err() == nil {
					continue
				}
			}
			return nil, c.unplaced(placing.Choice{Reason: placing.ReasonPending, Expected: wait})
		}
		if candidates, err = c.admit(candidates); err != nil {
			return nil, err
		}
		choice := c.Balancer.Choose(placing.Need{
			Candidates: candidates, Avoid: c.avoid, BodyBytes: c.body.size(), Left: time.Until(c.deadline), Objective: c.objective(),
		}, c.Clock.Now())
		if choice.Target == nil {
			return nil, c.unplaced(choice)
		}
		c.run = quarantine.Run{Seq: c.runs.Add(1)}
		c.Suspects.Begin(c.run, c.fingerprint, choice.Target.Life(), c.Clock.Now())
		return choice.Target, nil
	}
}

// admit returns the candidates that a request may use that may have crashed a target. Without the broker nobody knows what the
// other VMs send, so that a suspect runs in one copy here and not beside another one.
func (c *call) admit(candidates []*inventory.Target) ([]*inventory.Target, error) {
	verdict, left := c.Suspects.Verdict(c.fingerprint, c.Clock.Now())
	switch {
	case verdict == quarantine.Clear:
		return candidates, nil
	case verdict == quarantine.Quarantined:
		return nil, c.unplaced(placing.Choice{Reason: placing.ReasonQuarantined, Expected: left})
	case c.Suspects.Busy(c.fingerprint, c.Clock.Now()):
		return nil, c.unplaced(placing.Choice{Reason: placing.ReasonSuspected})
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(t *inventory.Target) bool { return c.Suspects.SuspectAt(t.Life()) }), nil
}

// mayWait tells whether a key that gets its owner soon is worth waiting for.
func (c *call) mayWait(wait time.Duration) bool {
	left := time.Until(c.deadline)
	return wait < left*2/3 && wait < time.Second
}

// unplaced returns the answer of a request that no target can serve now.
func (c *call) unplaced(choice placing.Choice) error {
	if c.r.Context().Err() != nil {
		return c.r.Context().Err()
	}
	if c.mayHaveRun {
		return &refusal{http.StatusBadGateway, string(choice.Reason), 0}
	}
	if choice.Reason == placing.ReasonQuarantined {
		return &refusal{http.StatusServiceUnavailable, string(choice.Reason), choice.Expected}
	}
	return &refusal{http.StatusServiceUnavailable, string(choice.Reason), c.retryAfter(choice.Expected)}
}

// candidates returns the targets that may run the request, or how long its key has no owner yet.
func (c *call) candidates(view *View) ([]*inventory.Target, time.Duration, error) {
	if c.pool.Keyed {
		return c.owner(view)
	}
	var list []*inventory.Target
	for _, t := range view.Snapshot.Pools[c.pool.Name] {
		if view.Snapshot.Open(t) && c.route.Allows(c.RegionOf[t.Domain]) {
			list = append(list, t)
		}
	}
	return list, 0, nil
}

// ownerUnknownWait is how long a key without any route is waited for.
const ownerUnknownWait = 300 * time.Millisecond

func (c *call) owner(view *View) ([]*inventory.Target, time.Duration, error) {
	routes := view.Routes[c.pool.Name]
	route, ok := coordinator.FindRoute(routes, c.meta.Key)
	if !ok {
		return nil, ownerUnknownWait, nil
	}
	if route.Pending {
		return nil, pendingFor(route, view.Taken), nil
	}
	t := view.Snapshot.Targets[route.Owner]
	if t == nil || !view.Snapshot.Serves(t, c.Clock.Now()) {
		return nil, ownerUnknownWait, nil
	}
	if !c.route.Allows(c.RegionOf[t.Domain]) {
		return nil, 0, &refusal{http.StatusServiceUnavailable, "owner-outside-home", c.retryAfter(0)}
	}
	return []*inventory.Target{t}, 0, nil
}

func pendingFor(r coordinator.Route, taken time.Time) time.Duration {
	left := time.Duration(r.ReadyIn)*time.Millisecond - time.Since(taken)
	return max(left, 100*time.Millisecond)
}

// send makes one attempt. The place at the target is reserved.
func (c *call) send(ctx context.Context, t *inventory.Target) result {
	header := make(http.Header, len(c.r.Header)+2)
	copyHeaders(header, c.r.Header)
	request := &upstreamRequest{
		method: c.r.Method, uri: c.uri(), host: c.r.Host, header: header, id: c.meta.ID, body: c.body, idempotent: c.route.Idempotent,
		carriers: c.carriers,
	}
	c.lastTarget = t.ID
	begun := time.Now()
	before := c.mayHaveRun
	// An unexpected error on the way must not be answered with "not run".
	c.mayHaveRun = true
	r := c.sender.exchange(ctx, t.ID, t.Address, request, c.deadline)
	c.carriers = request.carriers
	if r.outcome != unsent {
		c.attempts++
	}
	c.mayHaveRun = before || r.outcome == unknown || r.outcome == expired || r.outcome == answered
	c.settle(t, r, time.Since(begun))
	return r
}

// settle tells the balancer how the attempt ended.
func (c *call) settle(t *inventory.Target, r result, elapsed time.Duration) {
	if r.answer != nil && r.answer.meta.Leaving {
		c.Knowledge.TargetLeaves(t.Life())
	}
	report := c.reportOf(t, r)
	ending := placing.Failed
	switch {
	case r.broken():
		ending = placing.Broken
	case r.outcome == answered && r.answer.status >= http.StatusInternalServerError:
		ending = placing.Erred
	case r.outcome == answered:
		ending = placing.Answered
	case r.outcome == notRun && r.answer.status == http.StatusMisdirectedRequest:
		// The target doesn't have the key, which says nothing about its load.
		ending = placing.Abandoned
		elapsed = 0
	case r.outcome == notRun:
		ending = placing.Refused
	case r.outcome == expired || errors.Is(r.cause, context.Canceled) || errors.Is(r.cause, context.DeadlineExceeded):
		ending = placing.Abandoned
	case errors.Is(r.cause, errUnsigned) || errors.Is(r.cause, errCrossed) || errors.Is(r.cause, errEncoded):
		// A faulty answer doesn't mean that the target is down.
		ending = placing.Abandoned
		elapsed = 0
	}
	if c.placement == nil {
		c.Suspects.End(c.run, ending.Fate(), c.Clock.Now())
		c.Balancer.Done(t.ID, elapsed, ending, report, c.Clock.Now())
	} else {
		c.Balancer.Seen(t.ID, elapsed, ending, report, c.Clock.Now())
		c.settlePlace(elapsed, ending, report)
	}
	c.Metrics.attempt(r.outcome, elapsed)
}

// reportOf returns what the target has said of itself, nil if nothing.
func (c *call) reportOf(t *inventory.Target, r result) *placing.Report {
	if r.answer == nil {
		return nil
	}
	var report placing.Report
	if r.answer.meta.HasLoad {
		report = r.answer.meta.Load
	}
	report.ClosedFor = closedFor(r.answer.meta)
	if report.ClosedFor > 0 {
		c.Metrics.closed(r.answer.meta.ClosedUnclear)
		c.Log.Emit(event.TargetClosed, "target", t.ID, "for_ms", report.ClosedFor.Milliseconds(), "unclear", r.answer.meta.ClosedUnclear,
			"request", c.meta.ID)
	}
	if report == (placing.Report{}) {
		return nil
	}
	return &report
}

const (
	// unclearClosing is how long a target gets nothing that has told a time that can't be read.
	unclearClosing = time.Second
	// longestClosing bounds what a target can ask for: one that wants nothing for longer leaves.
	longestClosing = 5 * time.Minute
)

// closedFor returns how long the target wants nothing from this VM, 0 if it doesn't say.
func closedFor(m AnswerMeta) time.Duration {
	if m.ClosedUnclear {
		return unclearClosing
	}
	return min(max(0, m.ClosedFor), longestClosing)
}

func (c *call) logAttempt(t *inventory.Target, r result) {
	cause := ""
	if r.cause != nil {
		cause = r.cause.Error()
	}
	if boundBroken(r.cause) {
		c.Metrics.boundBroken()
		c.Log.Emit(event.TargetBoundBroken, "request", c.meta.ID, "target", t.ID, "cause", cause)
	}
	status := 0
	if r.answer != nil {
		status = r.answer.status
	}
	c.Log.Emit(event.AttemptFailed, "request", c.meta.ID, "route", c.route.Name, "target", t.ID, "started", t.Started, "attempt", c.attempts,
		"outcome", r.outcome.String(), "status", status, "cause", cause, "broken", r.broken(),
		"content", strconv.FormatUint(c.fingerprint.Content, 16), "left_ms", time.Until(c.deadline).Milliseconds())
}
