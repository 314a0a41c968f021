// Package quarantine keeps the fingerprints of requests that were in flight when a target crashed, and refuses those that crash
// one target after another. Tracker is for entry processes, which see many requests at a target at once. Table is for gateways,
// which give a suspect a target of its own.
package quarantine

import (
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// SuspectTTL is how long a suspect is remembered without another crash.
	SuspectTTL = 5 * time.Minute
	// QuarantineTTL is how long a request stays quarantined, since callers may keep sending it.
	QuarantineTTL = 30 * time.Minute
	// MaxEntries bounds the entries of a Table and the records of a Tracker, of about 100 bytes each.
	MaxEntries = 4096
	// crashesToQuarantine is the number of targets that a request may crash before it is quarantined.
	crashesToQuarantine = 2
	// harmlessLimit bounds the number of fingerprints known to be harmless.
	harmlessLimit = 4096
	// harmlessTTL is how long a request is considered harmless after a successful run.
	harmlessTTL = time.Minute
)

// Verdict tells how a request must be handled.
type Verdict int

const (
	// Clear requests are handled without restrictions.
	Clear Verdict = iota
	// Suspected requests run alone at a target, one copy at a time.
	Suspected
	// Quarantined requests are refused.
	Quarantined
)

type entry struct {
	// local counts the crashes seen by this router, remote is the highest count that another router has reported.
	local, remote int
	quarantined   bool
	running       bool
	expires       clock.Instant
}

func (e *entry) crashes() int {
	return e.local + e.remote
}

// Table holds the suspects known to a router. It is safe for concurrent use.
type Table struct {
	clock clock.Clock

	mu       sync.Mutex
	entries  map[uint64]*entry
	harmless *expiringSet
}

// NewTable returns an empty table.
func NewTable(c clock.Clock) *Table {
	return &Table{
		clock:    c,
		entries:  make(map[uint64]*entry),
		harmless: newExpiringSet(harmlessLimit),
	}
}

// Verdict returns how the request with a fingerprint must be handled. Fingerprint 0 is always clear.
func (t *Table) Verdict(fingerprint uint64) Verdict {
	if fingerprint == 0 {
		return Clear
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(fingerprint)
}

func (t *Table) verdict(fingerprint uint64) Verdict {
	e := t.live(fingerprint)
	switch {
	case e == nil:
		return Clear
	case e.quarantined:
		return Quarantined
	default:
		return Suspected
	}
}

func (t *Table) live(fingerprint uint64) *entry {
	e := t.entries[fingerprint]
	if e == nil {
		return nil
	}
	if t.clock.Now() >= e.expires && !e.running {
		delete(t.entries, fingerprint)
		return nil
	}
	return e
}

// Begin reserves the single permitted run of a suspect. It returns false while another run is in progress or if the request is
// quarantined.
func (t *Table) Begin(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.live(fingerprint)
	if e == nil {
		return true
	}
	if e.running || e.quarantined {
		return false
	}
	e.running = true
	return true
}

// End releases the run of a suspect.
func (t *Table) End(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[fingerprint]; e != nil {
		e.running = false
	}
}

// RecordCrash records the crash of a target with the given fingerprints in flight and returns the suspects to report to other
// routers. alone means that a suspect had the target to itself. Otherwise, requests that have succeeded within harmlessTTL aren't
// suspected, because a request that crashes targets crashes every target that runs it.
func (t *Table) RecordCrash(fingerprints []uint64, alone bool) []wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var suspects []wire.Suspect
	for _, fingerprint := range fingerprints {
		if fingerprint == 0 || !alone && t.harmless.has(fingerprint, t.clock.Now()) {
			continue
		}
		suspects = append(suspects, t.crash(fingerprint))
	}
	return suspects
}

func (t *Table) crash(fingerprint uint64) wire.Suspect {
	e := t.live(fingerprint)
	if e == nil {
		e = t.add(fingerprint)
	}
	e.local++
	t.updateEntry(e)
	return t.toWire(fingerprint, e)
}

// updateEntry quarantines an entry with too many crashes and extends its expiry.
func (t *Table) updateEntry(e *entry) {
	e.quarantined = e.quarantined || e.crashes() >= crashesToQuarantine
	ttl := SuspectTTL
	if e.quarantined {
		ttl = QuarantineTTL
	}
	e.expires = max(e.expires, t.clock.Now().Add(ttl))
}

func (t *Table) add(fingerprint uint64) *entry {
	if len(t.entries) >= MaxEntries {
		t.evict()
	}
	e := &entry{}
	t.entries[fingerprint] = e
	return e
}

// evict removes the entry that expires first; quarantined ones only if there are no others.
func (t *Table) evict() {
	var victim uint64
	var oldest *entry
	for fingerprint, e := range t.entries {
		if oldest == nil || evictBefore(e, oldest) {
			victim, oldest = fingerprint, e
		}
	}
	delete(t.entries, victim)
}

func evictBefore(a, b *entry) bool {
	if a.quarantined != b.quarantined {
		return b.quarantined
	}
	return a.expires < b.expires
}

func (t *Table) toWire(fingerprint uint64, e *entry) wire.Suspect {
	return wire.Suspect{
		Fingerprint: fingerprint,
		Crashes:     e.crashes(),
		Quarantined: e.quarantined,
		TTLMillis:   e.expires.Sub(t.clock.Now()).Milliseconds(),
	}
}

// RecordSuccess records a successful run. It returns true if the fingerprint was a suspect and is now cleared, which must be
// reported to other routers.
func (t *Table) RecordSuccess(fingerprint uint64) bool {
	if fingerprint == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.harmless.add(fingerprint, t.clock.Now().Add(harmlessTTL))
	e := t.live(fingerprint)
	if e == nil || e.quarantined {
		return false
	}
	delete(t.entries, fingerprint)
	return true
}

// Merge adds the suspects that another router has reported. A suspect with no crashes has been cleared there.
func (t *Table) Merge(suspects []wire.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range suspects {
		t.merge(s)
	}
}

func (t *Table) merge(s wire.Suspect) {
	e := t.live(s.Fingerprint)
	if s.Crashes <= 0 {
		if e != nil && !e.quarantined {
			delete(t.entries, s.Fingerprint)
		}
		return
	}
	if e == nil {
		e = t.add(s.Fingerprint)
	}
	e.remote = max(e.remote, s.Crashes)
	e.quarantined = e.quarantined || s.Quarantined
	t.updateEntry(e)
	if reported := time.Duration(s.TTLMillis) * time.Millisecond; !e.quarantined {
		e.expires = min(e.expires, t.clock.Now().Add(min(reported, SuspectTTL)))
	}
}

// Cleared returns the report that a suspect was cleared.
func Cleared(fingerprint uint64) wire.Suspect {
	return wire.Suspect{Fingerprint: fingerprint}
}

// List returns all entries that haven't expired.
func (t *Table) List() []wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspects := make([]wire.Suspect, 0, len(t.entries))
	for fingerprint := range t.entries {
		if e := t.live(fingerprint); e != nil {
			suspects = append(suspects, t.toWire(fingerprint, e))
		}
	}
	return suspects
}
