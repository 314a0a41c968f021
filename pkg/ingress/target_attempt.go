package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
)

// targetAttempt is one attempt of a request at a target. While exchange runs, possibly on a goroutine of its own, no other goroutine accesses
// its fields. Everything else happens on the goroutine of the call.
type targetAttempt struct {
	target  *inventory.Target
	request *upstreamRequest
	// placement is the place reserved for the attempt. It is nil if the request was placed locally; run then identifies the attempt.
	placement Placement
	run       quarantine.RunID
	sentAt    time.Time
	// sentInstant is sentAt on the clock of the call.
	sentInstant clock.Instant
	elapsed     time.Duration
	result      result
}

// newAttempt prepares an attempt at a target on which the request has been placed. The attempt takes over the call's placement.
func (c *call) newAttempt(t *inventory.Target) *targetAttempt {
	s := &targetAttempt{target: t, request: c.upstreamRequest(), placement: c.placement, run: c.run}
	s.request.mayBegin = c.beforeInstant(c.sendBy)
	s.request.flow = c.interRegionFlow(t)
	c.placement, c.run = nil, quarantine.RunID{}
	c.unfinished = append(c.unfinished, s)
	c.lastTarget = t.ID
	return s
}

// interRegionFlow returns where the bytes of an attempt at a target are counted, nil unless the target is in another region.
func (c *call) interRegionFlow(t *inventory.Target) *interregion.Flow {
	if region := c.RegionOf[t.Domain]; region == "" || c.Region == "" || region == c.Region {
		return nil
	}
	switch {
	case c.attempts > 0 || len(c.unfinished) > 0:
		return c.InterRegion.Flow(interregion.Retries)
	case c.pool.Keyed:
		return c.InterRegion.Flow(interregion.KeyedRequests)
	case len(c.allowedRegions) > 0:
		return c.InterRegion.Flow(interregion.HomeRequests)
	default:
		return c.InterRegion.Flow(interregion.OtherRequests)
	}
}

func (c *call) upstreamRequest() *upstreamRequest {
	header := make(http.Header, len(c.r.Header)+2)
	copyHeaders(header, c.r.Header)
	c.setOrganisation(header)
	return &upstreamRequest{
		method: c.r.Method, uri: c.uri(), host: c.r.Host, header: header, id: c.meta.ID, body: c.body, idempotent: c.route.Idempotent,
		usedConns: slices.Clip(c.usedConns),
	}
}

// exchange sends the request and waits for the response.
func (s *targetAttempt) exchange(ctx context.Context, h *Handler, deadline time.Time) {
	s.sentAt, s.sentInstant = time.Now(), h.Clock.Now()
	s.result = h.sender.exchange(ctx, s.target.ID, s.target.Address, s.request, deadline)
	s.elapsed = time.Since(s.sentAt)
}

// send sends the request to a target on which it has been placed.
func (c *call) send(ctx context.Context, t *inventory.Target) *targetAttempt {
	s := c.newAttempt(t)
	s.exchange(ctx, c.Handler, c.deadline)
	c.finish(s)
	return s
}

// finish records the end of an attempt and releases its slot.
func (c *call) finish(s *targetAttempt) {
	r := s.result
	for _, conn := range s.request.usedConns {
		if !slices.Contains(c.usedConns, conn) {
			c.usedConns = append(c.usedConns, conn)
		}
	}
	if r.outcome != unsent {
		c.attempts++
	}
	if r.response != nil {
		r.response.incarnation = s.target.Incarnation()
	}
	c.mayHaveRun = c.mayHaveRun || r.outcome != unsent && r.outcome != notRun
	c.recordRateLimit(s.target, r, s.sentInstant)
	c.finishAttempt(s)
	c.unfinished = slices.DeleteFunc(c.unfinished, func(other *targetAttempt) bool { return other == s })
}

// releaseUnfinished ends the attempts that are unfinished after a panic. They may have run: the response must not claim that the request was
// not executed.
func (c *call) releaseUnfinished() {
	for _, f := range c.asyncAttempts {
		f.cancel()
		<-f.done
		if f.targetAttempt != nil && f.hedge && !f.recorded {
			c.unfinished = append(c.unfinished, f.targetAttempt)
		}
	}
	for _, s := range c.unfinished {
		c.mayHaveRun = true
		c.sender.discard(s.result.response)
		if s.placement != nil {
			s.placement.Done(0, placing.Abandoned, nil)
		}
		c.Suspects.Drop(s.run)
	}
	c.unfinished = nil
}
