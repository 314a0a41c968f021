// Package lease computes lease expiry on two clocks whose rates differ by at most clock.MaxDrift.
//
// Invariant: in real time, a lease expires at its holder no later than at its grantor. The holder starts the TTL before it
// sends the request. The grantor starts it after it has decided on the reply, and adds the maximum drift.
package lease

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

const (
	// TTL is the duration of a router's lease. With a heartbeat every 250 ms, a router keeps its lease if three heartbeats in
	// a row are lost.
	TTL = 1200 * time.Millisecond
	// GrantTTL is the lifetime of a grant at a target.
	GrantTTL = 1000 * time.Millisecond
)

// HolderEnd returns the expiry of a lease on the holder's clock. requestedAt must be read before the request is sent.
func HolderEnd(requestedAt clock.Instant, ttl time.Duration) clock.Instant {
	return requestedAt.Add(ttl)
}

// GrantorEnd returns the instant on the grantor's clock from which no holder considers the lease valid. decidedAt must be
// read after the grantor has decided on the reply.
func GrantorEnd(decidedAt clock.Instant, ttl time.Duration) clock.Instant {
	return decidedAt.Add(clock.WithDrift(ttl))
}

// Clamp limits ttl so that the lease does not outlast the grantor's authority, which ends at authorityEnd. It returns 0 once
// the authority has ended.
func Clamp(ttl time.Duration, now, authorityEnd clock.Instant) time.Duration {
	return max(0, min(ttl, authorityEnd.Sub(now)))
}

// Holder tracks a lease on the side of the process that holds it. The zero value holds no lease.
type Holder struct {
	end clock.Instant
}

// Extend records a granted lease that was requested at requestedAt. A late reply to an older request never shortens the
// lease.
func (h *Holder) Extend(requestedAt clock.Instant, ttl time.Duration) {
	h.end = max(h.end, HolderEnd(requestedAt, ttl))
}

// Drop ends the lease immediately.
func (h *Holder) Drop() {
	h.end = 0
}

// End returns the instant at which the lease expires, which may be in the past.
func (h *Holder) End() clock.Instant {
	return h.end
}

// Valid reports whether the lease has not expired at now.
func (h *Holder) Valid(now clock.Instant) bool {
	return now < h.end
}
