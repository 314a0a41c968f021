package entry

import (
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// logLimits logs the targets whose rate limit has changed, and drops limits that are no longer needed.
func (c *Control) logLimits(now clock.Instant) {
	c.limits.Prune(func(i inventory.Incarnation) bool {
		t := c.registered()[i.Target]
		return t != nil && t.Incarnation() == i
	}, now)
	for _, r := range c.limits.TakeLogEntries(now) {
		if r.Limited {
			c.log.Emit(event.TargetLimitNamed, "target", r.Incarnation.Target, "started", r.Incarnation.Started, "per_second", r.Rate)
			continue
		}
		c.log.Emit(event.TargetLimitWithdrawn, "target", r.Incarnation.Target, "started", r.Incarnation.Started)
	}
}
