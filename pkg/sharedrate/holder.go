package sharedrate

import (
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Holder is a VM's side: its share, its commitment to leave it to a coordinator, and the token buckets for the requests that the VM
// places without the broker. It is safe for concurrent use.
//
// Invariant: the VM uses its share only from the end of its commitment until the end of its grant, on a clock that counts the time
// during which the VM is suspended.
type Holder struct {
	process   int64
	allowance Allowance

	mu sync.Mutex
	// coordinator is the term whose offers count, stamp its newest one and returned the newest one that was returned.
	coordinator     uint64
	stamp, returned int64
	// fraction was granted by the offer grantedBy and serial until grantEnd.
	fraction  float64
	grantedBy uint64
	serial    uint32
	grantEnd  clock.Instant
	// lentTo is the term to which the share is committed until lentUntil.
	lentTo    uint64
	lentUntil clock.Instant
	// quietSince is when the last token was taken here, or when the process was started. Earlier processes had ended then.
	quietSince clock.Instant
	supply     supply
	local      buckets
}

// NewHolder returns a holder without a share. process is when the VM's process was started, in nanoseconds.
func NewHolder(process int64, a Allowance, now clock.Instant) *Holder {
	h := &Holder{process: process, allowance: a, quietSince: now, supply: newSupply(now)}
	h.local = newBuckets(&h.supply, 0, func(l Limit, level float64) float64 { return a.localBurst(l) * level })
	return h
}

// Process returns when the VM's process was started, in nanoseconds.
func (h *Holder) Process() int64 {
	return h.process
}

// QuietSince returns since when no process of the VM has taken a token of its own share.
func (h *Holder) QuietSince() clock.Instant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quietSince
}

// Offer records an offer of the coordinator that the VM is connected to. It reports whether it is the first one, which should be
// answered at once: until then the broker can't use the share.
func (h *Holder) Offer(o Offer, now clock.Instant) (first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	if o.Coordinator != h.coordinator {
		h.coordinator, h.stamp, h.returned, first = o.Coordinator, 0, 0, true
	}
	h.stamp = max(h.stamp, o.Stamp)
	if o.Serial == 0 || o.Process != h.process {
		return first
	}
	h.grantEnd = clock.Instant(o.Echo).Add(GrantTime)
	h.fraction, h.grantedBy, h.serial = o.Fraction, o.Coordinator, o.Serial
	h.supply.set(h.level())
	return first
}

// Disconnected records that the link to the coordinator has ended. The VM returns none of its stamps any more.
func (h *Holder) Disconnected() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coordinator, h.stamp, h.returned = 0, 0, 0
}

// Surrender ends the VM's use of its share, because the VM becomes the coordinator. It returns the share and until when it is lent to
// the predecessor. A coordinator holds none, so that none is lost together with the ledger.
func (h *Holder) Surrender(now clock.Instant) (float64, clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	fraction := h.fraction
	if now >= h.grantEnd {
		fraction = 0
	}
	h.fraction, h.grantedBy, h.serial, h.grantEnd = 0, 0, 0, now
	h.supply.set(0)
	return fraction, h.lentUntil
}

// Answer returns what to send to the coordinator, and commits the share to it. It returns false if no offer has come from it.
func (h *Holder) Answer(now clock.Instant) (Answer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.coordinator == 0 {
		return Answer{}, false
	}
	h.advance(now)
	a := Answer{Process: h.process, Stamp: int64(now), QuietMs: max(0, now.Sub(h.quietSince).Milliseconds())}
	if h.lentTo == h.coordinator || now >= h.lentUntil {
		a.Coordinator, a.Echo = h.coordinator, h.stamp
		h.lend(now)
	}
	if left := h.grantEnd.Sub(now); left > 0 {
		// The coordinator must not count less than what is left.
		a.Fraction, a.GrantedBy, a.Serial, a.LeftMs = h.fraction, h.grantedBy, h.serial, left.Milliseconds()+1
	}
	return a, true
}

// lend commits the share to the coordinator. The commitment counts from the first return of a stamp, which arrived before that.
func (h *Holder) lend(now clock.Instant) {
	if h.stamp == h.returned {
		return
	}
	h.returned, h.lentTo, h.lentUntil = h.stamp, h.coordinator, now.Add(lentOnVM())
	h.supply.set(0)
}

// level returns the usable fraction at the supply's time.
func (h *Holder) level() float64 {
	if h.supply.at < h.lentUntil || h.supply.at >= h.grantEnd {
		return 0
	}
	return h.fraction
}

// advance accounts for the time until now, with the ends of the commitment and the grant.
func (h *Holder) advance(now clock.Instant) {
	for _, at := range [...]clock.Instant{min(h.lentUntil, h.grantEnd), max(h.lentUntil, h.grantEnd), now} {
		if at > now || at < h.supply.at {
			continue
		}
		h.supply.advance(at)
		h.supply.set(h.level())
	}
}

// Lent reports whether the share is committed to a coordinator, so that only its broker can place requests with a limit.
func (h *Holder) Lent(now clock.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now < h.lentUntil
}

// Take takes the token of a request that this VM places without the broker, or returns when the caller should return.
func (h *Holder) Take(name string, l Limit, now clock.Instant) (Verdict, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	if h.supply.level <= 0 || h.local.capacity(l, h.supply.level) < 1 {
		return NoShare, h.noShareTime(now)
	}
	e := h.local.get(name, l)
	if e.tokens < 1 {
		return OverLimit, h.local.refuse(e, now)
	}
	e.tokens--
	e.taken++
	h.quietSince = now
	return Granted, 0
}

// MaxSendDelay is the longest time between taking a token and sending the request.
func (h *Holder) MaxSendDelay() time.Duration {
	return h.allowance.MaxSendDelay()
}

// noShareTime returns when a caller should return that was refused because this VM can use no share.
func (h *Holder) noShareTime(now clock.Instant) time.Duration {
	if left := h.lentUntil.Sub(now); left > 0 && now < h.grantEnd {
		return max(left, minRetryTime)
	}
	return noShareRetryTime
}

// Return gives back the token of a request that wasn't sent.
func (h *Holder) Return(name string, l Limit, now clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	e := h.local.get(name, l)
	e.tokens = min(e.tokens+1, h.local.capacity(l, h.supply.level))
	e.taken--
}

// HolderState is the state of a Holder as shown to operators. Share is a fraction, times are in milliseconds.
type HolderState struct {
	Share       float64 `json:"share"`
	GrantLeftMs int64   `json:"grant_left_ms"`
	LentLeftMs  int64   `json:"lent_left_ms"`
	// Uses are the organisations with the least tokens left for requests that were placed without the broker.
	Uses []Use `json:"organisations,omitempty"`
}

// State returns the state with at most count organisations.
func (h *Holder) State(count int, now clock.Instant) HolderState {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	return HolderState{Share: h.fraction, GrantLeftMs: max(0, h.grantEnd.Sub(now).Milliseconds()), LentLeftMs: max(0, h.lentUntil.Sub(now).Milliseconds()),
		Uses: h.local.top(count)}
}
