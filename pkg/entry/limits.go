package entry

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
	"github.com/bronzelever/bronzelever/pkg/replica"
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

// handlePeerRateLimit records the rate limit that a target has named in the answer to a grant or a release.
func (c *Control) handlePeerRateLimit(peer keygrant.Endpoint, n ratelimit.Notice, duration time.Duration) {
	if t := c.registeredPeer(peer); t != nil {
		now := c.clock.Now()
		c.limits.Observe(t.Incarnation(), n, now.Add(-duration), now)
	}
}

// fleetPeakTime is how long VMs that were lost still count when the rate limits of targets are divided: they may be cut off and send
// their share.
const fleetPeakTime = 10 * time.Second

// peakHold is the highest of the values of the last fleetPeakTime.
type peakHold struct {
	value int
	at    clock.Instant
}

func (p *peakHold) add(value int, now clock.Instant) {
	if value >= p.value || now.Sub(p.at) > fleetPeakTime {
		p.value, p.at = value, now
	}
}

// divideLimits divides the rate limits of targets among the broker and the VMs that place their requests themselves.
func (c *Control) divideLimits(now clock.Instant, leading bool) {
	row, _ := c.coordinator.Leader()
	connected := len(c.followers) + 1
	if leading {
		c.limits.ExpireSilent(now)
		c.fleetPeak.add(connected, now)
		c.placer.broker.SetConnectedVMs(connected, max(c.fleetPeak.value, row.VMs))
	}
	c.balancer.SetFleetSize(max(c.fleetPeak.value, row.VMs))
}

// setBackend sets which broker places this VM's requests.
func (c *Control) setBackend(leading bool, link *replica.Link) {
	c.placer.setBackend(leading, link)
	c.noteBrokerConnected(leading)
}

// noteBrokerConnected tells the balancer whether a broker uses this VM's share of the rate limits. A new connection over which nothing
// has come yet may lead nowhere.
func (c *Control) noteBrokerConnected(leading bool) {
	c.balancer.SetBrokerConnected(leading || c.link != nil && c.leaderConfirmed)
}
