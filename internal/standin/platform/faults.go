package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// DownMode tells how an outage looks to clients.
type DownMode string

const (
	// DownReset closes the connection without an answer.
	DownReset DownMode = "reset"
	// DownHang never answers.
	DownHang DownMode = "hang"
	// DownError answers with the service's internal error.
	DownError DownMode = "error"
)

// maxHang bounds a request that is never answered, so that a client without a time-out doesn't leak it.
const maxHang = 60 * time.Second

// Faults describe how a front misbehaves.
type Faults struct {
	// Down makes every operation fail without effect.
	Down     bool     `json:"down"`
	DownMode DownMode `json:"down_mode,omitempty"`
	// SlowMillis delays every operation before its effect.
	SlowMillis int64 `json:"slow_ms"`
	// LoseReplies is the number of coming writes that take effect and whose connection is closed without an answer.
	LoseReplies int `json:"lose_replies"`
	// ApplyLateCount is the number of coming writes that are never answered and are applied ApplyLateMillis later, under
	// their original condition.
	ApplyLateMillis int64 `json:"apply_late_ms"`
	ApplyLateCount  int   `json:"apply_late_count"`
}

type faultState struct {
	mu     sync.Mutex
	faults Faults
}

// SetFaults replaces the faults.
func (f *Front) SetFaults(faults Faults) {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	f.faults.faults = faults
}

// Faults returns the current faults with the remaining counts.
func (f *Front) Faults() Faults {
	f.faults.mu.Lock()
	defer f.faults.mu.Unlock()
	return f.faults.faults
}

// writeFate is what happens to one write.
type writeFate int

const (
	fateNormal writeFate = iota
	fateLoseReply
	fateApplyLate
)

// takeWriteFate uses up one of the counted write faults.
func (s *faultState) takeWriteFate() (writeFate, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ApplyLateCount > 0 {
		s.faults.ApplyLateCount--
		return fateApplyLate, time.Duration(s.faults.ApplyLateMillis) * time.Millisecond
	}
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return fateLoseReply, 0
	}
	return fateNormal, 0
}

// admit applies outage and slowness. It returns false if the request has been dealt with.
func (f *Front) admit(w http.ResponseWriter, r *http.Request, internalError func(http.ResponseWriter)) bool {
	faults := f.Faults()
	if faults.SlowMillis > 0 && !wait(r, time.Duration(faults.SlowMillis)*time.Millisecond) {
		dropConnection()
	}
	if !faults.Down {
		return true
	}
	switch faults.DownMode {
	case DownHang:
		wait(r, maxHang)
		dropConnection()
	case DownError:
		internalError(w)
	default:
		dropConnection()
	}
	return false
}

// executeWrite runs a write under the front's write faults. apply is the effect under the write's own condition, reply
// sends its result.
func (f *Front) executeWrite(r *http.Request, apply func() bool, reply func(applied bool)) {
	fate, delay := f.faults.takeWriteFate()
	switch fate {
	case fateApplyLate:
		f.platform.count(func(c *Counts) { c.LateWrites++ })
		time.AfterFunc(delay, func() { apply() })
		wait(r, delay+maxHang)
		dropConnection()
	case fateLoseReply:
		f.platform.count(func(c *Counts) { c.LostReplies++ })
		apply()
		dropConnection()
	default:
		reply(apply())
	}
}

// wait returns false if the client went away first.
func wait(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (f *Front) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.SetFaults(faults)
	writeJSON(w, faults)
}

func (f *Front) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.Faults())
}
