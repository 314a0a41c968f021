// Package lease does the arithmetic of leases between two clocks whose rates differ by at most clock.MaxDrift.
//
// Invariant: for one lease, the holder's end comes before the grantor's end in real time. The holder counts from before it
// asked, the grantor from after it answered, and the grantor adds the drift.
package lease

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

const (
	// TTL is the lease of a router. A heartbeat every 250 ms leaves room for three lost ones.
	TTL = 1200 * time.Millisecond
	// GrantTTL is the life of a grant at a target.
	GrantTTL = 1000 * time.Millisecond
)

// HolderEnd returns the end of a lease on the holder's clock, which read asked before the request was sent.
func HolderEnd(asked clock.Instant, ttl time.Duration) clock.Instant {
	return asked.Add(ttl)
}

// GrantorEnd returns the instant on the grantor's clock from which on no holder considers the lease valid. answered is
// read after the answer was decided.
func GrantorEnd(answered clock.Instant, ttl time.Duration) clock.Instant {
	return answered.Add(clock.WithDrift(ttl))
}

// Clamp shortens a lease so that it doesn't outlast the authority of its grantor. It returns 0 once the authority has
// ended.
func Clamp(ttl time.Duration, now, authorityEnd clock.Instant) time.Duration {
	return max(0, min(ttl, authorityEnd.Sub(now)))
}

// Holder is the lease of one process.
type Holder struct {
	end clock.Instant
}

// Extend records a granted lease. A late answer to an older request never shortens the lease.
func (h *Holder) Extend(asked clock.Instant, ttl time.Duration) {
	h.end = max(h.end, HolderEnd(asked, ttl))
}

// Drop ends the lease.
func (h *Holder) Drop() {
	h.end = 0
}

// End returns the end of the lease; it may have passed.
func (h *Holder) End() clock.Instant {
	return h.end
}

// Valid tells whether the lease holds at an instant.
func (h *Holder) Valid(now clock.Instant) bool {
	return now < h.end
}
