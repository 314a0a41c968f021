package coordinator

import (
	"errors"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
)

// sliceGrant returns the grant of a slice with a fence and a lifetime.
func sliceGrant(s *keyrange.Slice, fence int64, ttl time.Duration) keygrant.Grant {
	return keygrant.Grant{From: s.From, To: s.To, Fence: fence, TTL: ttl}
}

// ErrLeaseEnded is the outcome of a call that was not sent because the lease had ended.
var ErrLeaseEnded = errors.New("the coordinator's lease ended before the call was sent")

// Granted processes the outcome of a grant and the connection over which it was sent.
func (c *Coordinator) Granted(id, connection int64, err error, now clock.Instant) []Effect {
	i := slices.IndexFunc(c.calls, func(call *grantCall) bool { return call.id == id })
	if i < 0 {
		return nil
	}
	call := c.calls[i]
	call.inFlight = false
	if errors.Is(err, keygrant.ErrOutcomeUnknown) {
		// Only a call without a response may still take effect. Its grant counts from its arrival, which may have been at any
		// time until now.
		call.end = latestGrantEnd(now, call.ttl)
	} else {
		c.calls = slices.Delete(c.calls, i, i+1)
	}
	if !errors.Is(err, ErrLeaseEnded) && !errors.Is(err, keygrant.ErrDisconnected) {
		c.recordHealth(call, err, now)
	}
	p := c.pools[call.pool]
	if p == nil || p.table == nil {
		return c.takeEffects()
	}
	if err == nil {
		p.extendPreviousGrant(call, now)
	}
	g := p.grants[call.fence]
	if g == nil {
		return c.takeEffects()
	}
	part := g.part(call.from)
	part.inFlight = false
	g.inFlight--
	if err == nil {
		if call.epoch == g.epoch {
			g.connection = connection
		}
		c.recordGrant(p, g, part, call, now)
		return c.takeEffects()
	}
	part.nextSend = now.Add(retryInterval)
	if call.epoch == g.epoch {
		g.grantFailed(err)
	}
	if errors.Is(err, keygrant.ErrDisconnected) {
		part.nextSend = now
	}
	if errors.Is(err, keygrant.ErrFenced) {
		c.log(event.SliceFenced, "pool", p.name, "from", call.from, "to", call.to, "owner", call.owner.id, "fence", call.fence)
	}
	return c.takeEffects()
}

// grantFailed decides whether a slice needs a new fence after a failed grant.
func (g *grantState) grantFailed(err error) {
	switch {
	case errors.Is(err, ErrLeaseEnded):
	case errors.Is(err, keygrant.ErrFenced):
		g.stale = true
	case (errors.Is(err, keygrant.ErrUnsent) || errors.Is(err, keygrant.ErrWrongTarget)) && g.connection == 0:
		// The fence is unused: nobody has acknowledged it, and no call without a response may have delivered it.
	default:
		g.nextEpoch()
	}
}

// nextEpoch gives the slice a new fence on the wire without a write to the store.
func (g *grantState) nextEpoch() {
	g.connection = 0
	if g.epoch++; g.epoch == epochsPerFence-1 {
		g.stale = true
	}
}

// recordHealth updates the health of a grant's target from the outcome of the grant.
func (c *Coordinator) recordHealth(call *grantCall, err error, now clock.Instant) {
	h := c.health[call.owner]
	if h == nil {
		h = &targetHealth{}
		c.health[call.owner] = h
	}
	if err == nil || errors.Is(err, keygrant.ErrFenced) {
		h.recordAnswer(now)
		return
	}
	wasLost := h.lost(now)
	h.recordFailure(now)
	if !wasLost && h.lost(now) {
		c.lossCounts[call.owner.id]++
		c.log(event.TargetLost, "target", call.owner.id, "failures", h.failures, "error", err.Error())
	}
}

// recordGrant updates the state of a slice after a successful grant.
func (c *Coordinator) recordGrant(p *poolState, g *grantState, part *sendSchedule, call *grantCall, now clock.Instant) {
	g.end, g.confirmed = max(g.end, latestGrantEnd(now, call.ttl)), g.confirmed || !g.split
	part.nextSend = call.sent.Add(grantInterval)
	if g.ready {
		return
	}
	g.ready, g.inherited = true, false
	c.revision++
	p.needsCleanup = true
	c.log(event.SliceGranted, "pool", p.name, "from", call.from, "to", call.to, "owner", call.owner.id, "fence", call.fence,
		"after_ms", now.Sub(g.movedAt).Milliseconds())
}

// extendPreviousGrant records that a grant which was in flight when its keys were moved has renewed them for the previous owner.
func (p *poolState) extendPreviousGrant(call *grantCall, now clock.Instant) {
	for i := range p.table.Slices {
		s := &p.table.Slices[i]
		if g := p.grants[s.Fence]; s.Fence != call.fence && !g.ready && call.overlaps(p.name, previousIncarnation(s), s.From, s.To) {
			g.previousEnd = max(g.previousEnd, latestGrantEnd(now, call.ttl))
		}
	}
}

// Released processes the outcome of a release.
func (c *Coordinator) Released(ref SliceRef, handover string, err error, now clock.Instant) []Effect {
	p := c.pools[ref.id.pool]
	if p == nil {
		return nil
	}
	g := p.grants[ref.id.fence]
	if g == nil {
		return nil
	}
	g.releaseInFlight = false
	if err != nil {
		g.nextRelease = now.Add(retryInterval)
		return c.takeEffects()
	}
	g.released, g.handover = true, handover
	c.revision++
	c.log(event.KeysReleased, "pool", p.name, "from", ref.id.from, "fence", ref.id.fence, "after_ms", now.Sub(g.movedAt).Milliseconds())
	return c.takeEffects()
}

// dropExpiredCalls removes the calls that can no longer take effect.
func (c *Coordinator) dropExpiredCalls(now clock.Instant) {
	c.calls = slices.DeleteFunc(c.calls, func(call *grantCall) bool { return !call.inFlight && now >= call.end })
}
