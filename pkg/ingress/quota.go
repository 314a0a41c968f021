package ingress

import (
	"context"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

// minQuotaRetryAfter is the minimum Retry-After of a refusal because of a quota. Times from the broker are rounded down to
// milliseconds, which quotaRounding makes up for.
const (
	minQuotaRetryAfter = 50 * time.Millisecond
	quotaRounding      = time.Millisecond
)

// maxLateDecisions is the number of placements of one attempt that may come too late for their tokens. The broker is slow then: asking it
// more often makes it slower and uses up the quota.
const maxLateDecisions = 3

func quotaRetryAfter(wait time.Duration) time.Duration {
	return max(wait+quotaRounding, minQuotaRetryAfter)
}

// placeInTime returns the target of the next attempt. A token of the quota counts for the time at which it was taken, so that a request
// that was held up since then, for example because the VM was suspended, needs another one.
func (c *call) placeInTime(ctx context.Context, retry bool) (*inventory.Target, error) {
	for late := 1; ; late++ {
		c.sendBy = 0
		target, err := c.place(ctx, retry)
		if err != nil || !c.tokenExpired() {
			return target, err
		}
		c.withdraw(target)
		if ctx.Err() != nil || late == maxLateDecisions {
			return nil, c.placementError(placing.Choice{Reason: placing.ReasonOverload})
		}
	}
}

// tokenExpired reports whether the token of the current attempt is too old.
func (c *call) tokenExpired() bool {
	return c.pastSendBy(c.sendBy)
}

// pastSendBy reports whether the time is over until which an attempt with a token may be sent.
func (c *call) pastSendBy(sendBy clock.Instant) bool {
	return sendBy != 0 && c.Clock.Now() > sendBy
}

// beforeInstant returns a function that reports whether an attempt may still be sent whose token is valid until sendBy, nil if it has none.
func (c *call) beforeInstant(sendBy clock.Instant) func() bool {
	if sendBy == 0 {
		return nil
	}
	return func() bool { return c.Clock.Now() <= sendBy }
}

// withdraw gives back the place of an attempt that isn't made.
func (c *call) withdraw(target *inventory.Target) {
	if c.placement != nil {
		c.withdrawPlacement()
		return
	}
	c.Suspects.End(c.run, placing.Abandoned.QuarantineOutcome(), c.Clock.Now())
	c.Balancer.Done(target.ID, 0, placing.Abandoned, nil, c.Clock.Now())
}

// withdrawPlacement gives back the place that the broker has reserved, and the tokens of the quota.
func (c *call) withdrawPlacement() {
	c.placement.Withdraw()
	c.placement = nil
}

// quota returns the quota of the request's organisation, and whether this VM counts the request under it.
func (c *call) quota() (sharedrate.Limit, bool) {
	if c.organisation == nil || c.Quota == nil {
		return sharedrate.Limit{}, false
	}
	l := sharedrate.Limit{Rate: c.organisation.Rate, Burst: c.organisation.Burst}
	return l, l.Limited()
}

// takeQuota takes a token of this VM's own share for a request that is placed without the broker.
func (c *call) takeQuota() error {
	l, limited := c.quota()
	if !limited {
		return nil
	}
	now := c.Clock.Now()
	verdict, wait := c.Quota.Take(c.organisation.Name, l, now)
	if reason := placing.QuotaReason(verdict); reason != "" {
		return c.placementError(placing.Choice{Reason: reason, Expected: wait})
	}
	c.sendBy = now.Add(c.Quota.MaxSendDelay())
	return nil
}

// returnQuota gives back the token of a request for which there is no target.
func (c *call) returnQuota() {
	if l, limited := c.quota(); limited {
		c.Quota.Return(c.organisation.Name, l, c.Clock.Now())
	}
}
