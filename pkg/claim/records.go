// Package claim ensures that a non-idempotent request is executed at most once. The gateway of the request's home group
// claims its idempotency key before the request is executed, and another router stores a copy of the claim as its mirror.
package claim

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// MaxRecords is the maximum number of claims of one group. Further requests are refused, because a claim must not be
	// evicted within its repeat window.
	MaxRecords = 32768
	// MaxBodyBytes is the size of the largest response body that is recorded for repeated requests.
	MaxBodyBytes = 16 << 10
	// maxTotalBodyBytes is the maximum total size of the response bodies recorded for one group.
	maxTotalBodyBytes = 4 << 20
	sweepInterval     = time.Second
)

// Key returns the key of a claim, which consists of the tenant and the idempotency key.
func Key(tenant, idempotencyKey string) string {
	return tenant + "\x00" + idempotencyKey
}

// Answer is the recorded response to a request that was executed.
type Answer struct {
	Status  int
	Headers []wire.Header
	Body    []byte
	// Kept reports whether the headers and the body are recorded. It is false if the response was too large.
	Kept bool
}

// record is a claim and, once it is settled, its outcome.
type record struct {
	state       wire.ClaimState
	fingerprint uint64
	answer      Answer
	claimedAt   clock.Instant
	// expires is 0 while the request is being executed. Claims received from another router always have an expiry.
	expires clock.Instant
}

// records stores the claims of one group. The caller must synchronize access.
type records struct {
	byKey map[string]*record
	// bodyBytes is the total size of the recorded response bodies in bytes.
	bodyBytes int
	lastSweep clock.Instant
}

func newRecords() *records {
	return &records{byKey: make(map[string]*record)}
}

// sweep deletes expired claims, at most once per sweepInterval.
func (r *records) sweep(now clock.Instant) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
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
	r.bodyBytes -= len(c.answer.Body)
	delete(r.byKey, key)
}

// free removes a claim unless it has been settled.
func (r *records) free(key string) {
	if c := r.byKey[key]; c != nil && c.state == wire.ClaimRunning {
		r.remove(key, c)
	}
}

// get returns the claim of a key, or nil if there is none or it has expired.
func (r *records) get(key string, now clock.Instant) *record {
	c := r.byKey[key]
	if c != nil && c.expired(now) {
		r.remove(key, c)
		return nil
	}
	return c
}

// setAnswer records a response. It records only the status if the body is too large or the group would exceed
// maxTotalBodyBytes.
func (r *records) setAnswer(c *record, a Answer) {
	if len(a.Body) > MaxBodyBytes || r.bodyBytes+len(a.Body) > maxTotalBodyBytes {
		a = Answer{Status: a.Status}
	}
	r.bodyBytes += len(a.Body) - len(c.answer.Body)
	c.answer = a
}

// export converts a claim to its wire format.
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

// merge stores a received claim and reports whether there was room for it. A claim in the state wire.ClaimDone is
// replaced only by another one in that state.
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
	// The age was measured on another clock, so the window is extended by the maximum drift. This keeps the claim slightly
	// too long rather than too short.
	c.claimedAt = now.Add(-time.Duration(m.AgeMillis) * time.Millisecond)
	c.expires = now.Add(clock.WithDrift(window))
	if m.State == wire.ClaimDone {
		r.setAnswer(c, Answer{Status: m.Status, Headers: m.Headers, Body: m.Body, Kept: m.Body != nil})
	}
	return true
}

// exportAll converts all claims that have not expired.
func (r *records) exportAll(now clock.Instant) []wire.Claim {
	claims := make([]wire.Claim, 0, len(r.byKey))
	for key, c := range r.byKey {
		if !c.expired(now) {
			claims = append(claims, c.export(key, now))
		}
	}
	return claims
}
