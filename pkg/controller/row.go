package controller

import (
	"errors"
	"fmt"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/store"
)

// rowRetry is the pause before an unanswered or refused operation on a row is tried again.
const rowRetry = 250 * time.Millisecond

// outcome tells what an answer means for the write of a row.
type outcome int

const (
	// outcomeNone: no write was pending, or it isn't decided yet.
	outcomeNone outcome = iota
	// outcomeApplied: the pending write took effect and is still the newest one.
	outcomeApplied
	// outcomeLost: the row has another revision, written by somebody else.
	outcomeLost
)

// row is a row of the store with at most one write pending.
//
// Invariant: a write keeps its value, condition and token until its outcome is known. A lost reply is resolved by reading:
// the unchanged revision permits to write again under the same condition; the token tells whose write took effect. If the
// first attempt takes effect late, the condition of the second one fails, and the token shows the same write.
type row struct {
	key    string
	loaded bool
	now    store.Row
	// reading and writing tell that an effect is on its way.
	reading bool
	writing bool
	write   *rowWrite
	// resolved is the last write that was found to have taken effect by reading.
	resolved *rowWrite
	retryAt  clock.Instant
}

type rowWrite struct {
	value    []byte
	expected store.Revision
	token    string
	// firstAsked is the instant before the first attempt. The write took effect after it.
	firstAsked clock.Instant
	// resolve tells that the row must be read before the next attempt.
	resolve bool
}

func (r *row) idle() bool {
	return r.write == nil && !r.reading && !r.writing
}

// read asks for the row unless a read is on its way.
func (r *row) read(s *State, now clock.Instant) {
	if r.reading {
		return
	}
	r.reading = true
	s.emit(ReadRow{Key: r.key, Asked: now})
}

// put starts a write on top of the known revision.
func (r *row) put(s *State, now clock.Instant, value []byte) {
	s.tokens++
	token := fmt.Sprintf("%s-%x-%d", s.o.VM, s.o.Incarnation, s.tokens)
	r.write = &rowWrite{value: value, expected: r.now.Revision, token: token, firstAsked: now}
	r.attempt(s, now)
}

func (r *row) attempt(s *State, now clock.Instant) {
	r.writing = true
	s.writes++
	s.emit(WriteRow{Key: r.key, Value: r.write.value, Expected: r.write.expected, Token: r.write.token, Asked: now})
}

// tick retries what was not answered.
func (r *row) tick(s *State, now clock.Instant) {
	if r.write == nil || r.reading || r.writing || now < r.retryAt {
		return
	}
	if r.write.resolve {
		r.read(s, now)
		return
	}
	r.attempt(s, now)
}

// onRead takes in the answer to a read. A row that doesn't exist counts as loaded with revision 0.
func (r *row) onRead(now clock.Instant, res RowRead) outcome {
	r.reading = false
	if res.Err != nil && !errors.Is(res.Err, store.ErrNotFound) {
		r.retryAt = now.Add(rowRetry)
		return outcomeNone
	}
	// An answer that was overtaken by a newer one is dropped: revisions only grow.
	if r.loaded && res.Row.Revision < r.now.Revision {
		return outcomeNone
	}
	r.loaded = true
	r.now = res.Row
	return r.resolve()
}

func (r *row) resolve() outcome {
	w := r.write
	if w == nil {
		return outcomeNone
	}
	if r.now.Revision == w.expected {
		w.resolve = false
		return outcomeNone
	}
	r.write = nil
	if r.now.Revision == w.expected+1 && r.now.Token == w.token {
		r.resolved = w
		return outcomeApplied
	}
	return outcomeLost
}

// onWritten takes in the answer to a write.
func (r *row) onWritten(now clock.Instant, res RowWritten) outcome {
	r.writing = false
	if r.write == nil || r.write.token != res.Token {
		return outcomeNone
	}
	switch {
	case res.Err == nil:
		r.now = store.Row{Key: r.key, Value: r.write.value, Revision: res.Revision, Token: res.Token}
		r.loaded = true
		r.write = nil
		return outcomeApplied
	case errors.Is(res.Err, store.ErrUnavailable):
		// Without effect; the same attempt may be repeated, unless an earlier one is unresolved.
		r.retryAt = now.Add(rowRetry)
		return outcomeNone
	default:
		// Also a conflict is resolved by reading: an earlier attempt with the same token may have caused it.
		r.write.resolve = true
		if errors.Is(res.Err, store.ErrConflict) {
			r.retryAt = now
		} else {
			r.retryAt = now.Add(rowRetry)
		}
		return outcomeNone
	}
}
