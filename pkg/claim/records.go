// Package claim makes sure that an order runs at most once: the gateway of the order's home group claims its idempotency
// key before the order runs, and one other router mirrors the claim.
package claim

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// MaxRecords bounds the claims of one group. Beyond it new orders are refused: a claim within the repeat window is
	// never forgotten.
	MaxRecords = 32768
	// MaxBodyBytes is the largest answer that is kept for repeats.
	MaxBodyBytes = 16 << 10
	// maxBodiesBytes bounds the answers kept for one group.
	maxBodiesBytes = 4 << 20
	sweepInterval  = time.Second
)

// Key returns the key of a claim.
func Key(tenant, idempotencyKey string) string {
	return tenant + "\x00" + idempotencyKey
}

// Answer is the recorded answer of an order that ran.
type Answer struct {
	Status  int
	Headers []wire.Header
	Body    []byte
	// Kept is false if the answer was too large to be kept.
	Kept bool
}

// record is one claim.
type record struct {
	state       wire.ClaimState
	fingerprint uint64
	answer      Answer
	claimedAt   clock.Instant
	// expires is 0 while the order runs.
	expires clock.Instant
}

// records are the claims of one group. The owner synchronizes access.
type records struct {
	byKey  map[string]*record
	bodies int
	swept  clock.Instant
}

func newRecords() *records {
	return &records{byKey: make(map[string]*record)}
}

// sweep drops expired claims at most once per sweepInterval.
func (r *records) sweep(now clock.Instant) {
	if now.Sub(r.swept) < sweepInterval {
		return
	}
	r.swept = now
	for key, c := range r.byKey {
		if c.expired(now) {
			r.remove(key, c)
		}
	}
}

func (c *record) expired(now clock.Instant) bool {
	return c.expires != 0 && now >= c.expires
}

func (r *records) remove(key string, c *record) {
	r.bodies -= len(c.answer.Body)
	delete(r.byKey, key)
}

// free removes a claim unless its order has been settled.
func (r *records) free(key string) {
	if c := r.byKey[key]; c != nil && c.state == wire.ClaimRunning {
		r.remove(key, c)
	}
}

func (r *records) get(key string, now clock.Instant) *record {
	c := r.byKey[key]
	if c != nil && c.expired(now) {
		r.remove(key, c)
		return nil
	}
	return c
}

// keep stores an answer, without its body if the group keeps too many bytes already.
func (r *records) keep(c *record, a Answer) {
	if len(a.Body) > MaxBodyBytes || r.bodies+len(a.Body) > maxBodiesBytes {
		a = Answer{Status: a.Status}
	}
	r.bodies += len(a.Body) - len(c.answer.Body)
	c.answer = a
}

// export returns the message form of a claim.
func (c *record) export(key string, now clock.Instant) wire.Claim {
	m := wire.Claim{
		Key:         key,
		State:       c.state,
		Fingerprint: c.fingerprint,
		Status:      c.answer.Status,
		AgeMillis:   now.Sub(c.claimedAt).Milliseconds(),
	}
	if c.answer.Kept {
		m.Headers = c.answer.Headers
		m.Body = c.answer.Body
		if m.Body == nil {
			m.Body = []byte{}
		}
	}
	return m
}

// merge stores a received claim. A running claim doesn't replace a settled one.
func (r *records) merge(m *wire.Claim, window time.Duration, now clock.Instant) bool {
	c := r.byKey[m.Key]
	if c == nil && len(r.byKey) >= MaxRecords {
		return false
	}
	if c == nil {
		c = &record{}
		r.byKey[m.Key] = c
	}
	if c.state == wire.ClaimDone && m.State != wire.ClaimDone {
		return true
	}
	c.state = m.State
	c.fingerprint = m.Fingerprint
	// Ages were measured on another clock; the claim is kept a little longer rather than shorter.
	c.claimedAt = now.Add(-time.Duration(m.AgeMillis) * time.Millisecond)
	c.expires = now.Add(clock.WithDrift(window))
	if m.State == wire.ClaimDone {
		r.keep(c, Answer{Status: m.Status, Headers: m.Headers, Body: m.Body, Kept: m.Body != nil})
	}
	return true
}

func (r *records) exportAll(now clock.Instant) []wire.Claim {
	claims := make([]wire.Claim, 0, len(r.byKey))
	for key, c := range r.byKey {
		if !c.expired(now) {
			claims = append(claims, c.export(key, now))
		}
	}
	return claims
}
