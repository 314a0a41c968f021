package controller

import (
	"errors"
	"fmt"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/store"
)

// rowRetryInterval is the delay before an unanswered or refused operation on a row is retried.
const rowRetryInterval = 250 * time.Millisecond

// outcome is what a store result means for the pending write of a row.
type outcome int

const (
	// outcomeNone means that no write was pending, or that its outcome isn't known yet.
	outcomeNone outcome = iota
	// outcomeApplied means that the pending write took effect and is still the newest one.
	outcomeApplied
	// outcomeLost means that another writer has changed the row.
	outcomeLost
)

// row is a row of the store with at most one pending write.
//
// Invariant: a write keeps its value, condition and token until its outcome is known. A lost reply is resolved by
// reading the row: if the revision is unchanged, the write may be repeated under the same condition; otherwise the
// token identifies the write that took effect. If the first attempt takes effect late, the condition of the second
// one fails, and the token identifies the same write.
type row struct {
	key     string
	loaded  bool
	current store.Row
	// reading and writing report whether an effect is outstanding.
	reading bool
	writing bool
	pending *rowWrite
	// resolved is the last write that a read has shown to have taken effect.
	resolved *rowWrite
	retryAt  clock.Instant
}

type rowWrite struct {
	value    []byte
	expected store.Revision
	token    string
	// firstIssuedAt is the instant before the first attempt. The write took effect after it.
	firstIssuedAt clock.Instant
	// needsRead reports whether the row must be read before the next attempt.
	needsRead bool
}

func (r *row) idle() bool {
	return r.pending == nil && !r.reading && !r.writing
}

// read issues a read of the row unless one is outstanding.
func (r *row) read(s *State, now clock.Instant) {
	if r.reading {
		return
	}
	r.reading = true
	s.emit(ReadRow{Key: r.key, IssuedAt: now})
}

// put starts a write conditional on the known revision.
func (r *row) put(s *State, now clock.Instant, value []byte) {
	s.tokens++
	token := fmt.Sprintf("%s-%x-%d", s.options.VM, s.options.Incarnation, s.tokens)
	r.pending = &rowWrite{value: value, expected: r.current.Revision, token: token, firstIssuedAt: now}
	r.attempt(s, now)
}

func (r *row) attempt(s *State, now clock.Instant) {
	r.writing = true
	s.writes++
	s.emit(WriteRow{Key: r.key, Value: r.pending.value, Expected: r.pending.expected, Token: r.pending.token, IssuedAt: now})
}

// tick retries the pending write if its last attempt had no conclusive result.
func (r *row) tick(s *State, now clock.Instant) {
	if r.pending == nil || r.reading || r.writing || now < r.retryAt {
		return
	}
	if r.pending.needsRead {
		r.read(s, now)
		return
	}
	r.attempt(s, now)
}

// onRead processes the result of a read. A row that doesn't exist counts as loaded with revision 0.
func (r *row) onRead(now clock.Instant, res RowRead) outcome {
	r.reading = false
	if res.Err != nil && !errors.Is(res.Err, store.ErrNotFound) {
		r.retryAt = now.Add(rowRetryInterval)
		return outcomeNone
	}
	// A result overtaken by a newer one is dropped: revisions only increase.
	if r.loaded && res.Row.Revision < r.current.Revision {
		return outcomeNone
	}
	r.loaded = true
	r.current = res.Row
	return r.resolvePending()
}

func (r *row) resolvePending() outcome {
	w := r.pending
	if w == nil {
		return outcomeNone
	}
	if r.current.Revision == w.expected {
		w.needsRead = false
		return outcomeNone
	}
	r.pending = nil
	if r.current.Revision == w.expected+1 && r.current.Token == w.token {
		r.resolved = w
		return outcomeApplied
	}
	return outcomeLost
}

// onWritten processes the result of a write.
func (r *row) onWritten(now clock.Instant, res RowWritten) outcome {
	r.writing = false
	if r.pending == nil || r.pending.token != res.Token {
		return outcomeNone
	}
	switch {
	case res.Err == nil:
		r.current = store.Row{Key: r.key, Value: r.pending.value, Revision: res.Revision, Token: res.Token}
		r.loaded = true
		r.pending = nil
		return outcomeApplied
	case errors.Is(res.Err, store.ErrUnavailable):
		// The attempt had no effect and may be repeated, unless an earlier one is unresolved.
		r.retryAt = now.Add(rowRetryInterval)
		return outcomeNone
	default:
		// A conflict is resolved by reading too: an earlier attempt with the same token may have caused it.
		r.pending.needsRead = true
		if errors.Is(res.Err, store.ErrConflict) {
			r.retryAt = now
		} else {
			r.retryAt = now.Add(rowRetryInterval)
		}
		return outcomeNone
	}
}
