package quarantine

import (
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

const (
	// crashLimit is the number of targets that a request may crash before it is refused.
	crashLimit = 3
	// recordTTL is how long a crash is remembered without another one. It is the same as for Table.
	recordTTL = SuspectTTL
	// firstQuarantine is how long a request is refused after it has crashed crashLimit targets. Each further crash doubles the
	// time, up to longestQuarantine: a request that callers send all the time then crashes one target an hour.
	firstQuarantine   = time.Minute
	longestQuarantine = time.Hour
	// maxSharedRecords bounds the records in one message or row, of about 50 bytes each.
	maxSharedRecords = 512
)

// Record is the state of a request that VMs exchange. Crashed is merged as a set, so that records may arrive repeatedly and in
// any order.
type Record struct {
	// ID is one of the two hashes of a Fingerprint.
	ID uint64 `msgpack:"i" json:"id"`
	// Crashed holds the hashes of the target incarnations that crashed while running the request since it last succeeded.
	Crashed []uint64 `msgpack:"b,omitempty" json:"breaks"`
	// Withdrawn holds the hashes of incarnations that were added to Crashed by mistake.
	Withdrawn []uint64 `msgpack:"w,omitempty" json:"withdrawn,omitempty"`
	// RemainingMs is the remaining time for which the request is refused, in milliseconds; 0 if it isn't refused.
	RemainingMs int64 `msgpack:"f,omitempty" json:"for_ms"`
	// QuarantineCount is the number of times that the request was quarantined.
	QuarantineCount int `msgpack:"s,omitempty" json:"strikes"`
	// Cleared means that the request has succeeded.
	Cleared bool `msgpack:"c,omitempty" json:"cleared,omitempty"`
}

// record is the state of a suspect.
type record struct {
	crashed         []uint64
	quarantineCount int
	// withdrawn holds the removed incarnations that haven't been sent to the other VMs yet.
	withdrawn []uint64
	// until is the end of the quarantine; zero if the request was never refused.
	until clock.Instant
	// expires is when the record is dropped.
	expires clock.Instant
}

// addCrash records that a target crashed while running the request. It returns true if that starts a quarantine.
func (r *record) addCrash(incarnation uint64, now clock.Instant) bool {
	if slices.Contains(r.crashed, incarnation) {
		return false
	}
	if len(r.crashed) >= crashLimit {
		// The previous quarantine has ended; only the newest crashes count.
		r.crashed = r.crashed[1:]
	}
	r.crashed = append(r.crashed, incarnation)
	r.expires = max(r.expires, now.Add(recordTTL))
	if len(r.crashed) < crashLimit {
		return false
	}
	r.startQuarantine(now)
	return true
}

func (r *record) startQuarantine(now clock.Instant) {
	span := min(firstQuarantine<<min(r.quarantineCount, 10), longestQuarantine)
	r.quarantineCount++
	r.until = max(r.until, now.Add(span))
	// After the quarantine, a single crash starts the next one.
	r.expires = max(r.expires, r.until.Add(longestQuarantine))
}

// removeCrash removes a crash that was attributed by mistake.
func (r *record) removeCrash(incarnation uint64) {
	before := len(r.crashed)
	r.crashed = slices.DeleteFunc(r.crashed, func(b uint64) bool { return b == incarnation })
	if before >= crashLimit && len(r.crashed) < crashLimit {
		r.until, r.quarantineCount = 0, max(0, r.quarantineCount-1)
	}
}

func (r *record) export(id uint64, now clock.Instant) Record {
	return Record{ID: id, Crashed: slices.Clone(r.crashed), RemainingMs: max(0, r.until.Sub(now).Milliseconds()), QuarantineCount: r.quarantineCount}
}

// live returns the record of an ID, nil if there is none or it has expired.
func (t *Tracker) live(id uint64, now clock.Instant) *record {
	r := t.records[id]
	if r != nil && now >= r.expires {
		delete(t.records, id)
		return nil
	}
	return r
}

// record returns the record of an ID, and creates it if there is none.
func (t *Tracker) record(id uint64, now clock.Instant) *record {
	if r := t.live(id, now); r != nil {
		return r
	}
	if len(t.records) >= MaxEntries {
		t.evictRecord()
	}
	r := &record{expires: now.Add(recordTTL)}
	t.records[id] = r
	return r
}

// evictRecord drops the record that expires first; records of requests that have been quarantined only if there are no others.
func (t *Tracker) evictRecord() {
	var victim uint64
	var first *record
	for id, r := range t.records {
		if first == nil || r.evictBefore(first) {
			victim, first = id, r
		}
	}
	delete(t.records, victim)
}

// evictBefore reports whether a record is evicted before another one.
func (r *record) evictBefore(other *record) bool {
	if refused := r.quarantineCount > 0; refused != (other.quarantineCount > 0) {
		return !refused
	}
	return r.expires < other.expires
}

// Changes returns the records that have changed since the last call.
func (t *Tracker) Changes(now clock.Instant) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changed) == 0 {
		return nil
	}
	list := make([]Record, 0, len(t.changed))
	for id := range t.changed {
		if r := t.live(id, now); r != nil {
			sent := r.export(id, now)
			sent.Withdrawn, r.withdrawn = r.withdrawn, nil
			list = append(list, sent)
		} else {
			list = append(list, Record{ID: id, Cleared: true})
		}
	}
	clear(t.changed)
	return list[:min(len(list), maxSharedRecords)]
}

// Records returns the records, those with the longest remaining quarantine first.
func (t *Tracker) Records(now clock.Instant) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Record
	for id, r := range t.records {
		if now < r.expires {
			list = append(list, r.export(id, now))
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return int(b.RemainingMs - a.RemainingMs) })
	return list[:min(len(list), maxSharedRecords)]
}

// Quarantined returns the records of requests that are or have been refused. They are stored.
func (t *Tracker) Quarantined(now clock.Instant) []Record {
	return slices.DeleteFunc(t.Records(now), func(r Record) bool { return r.QuarantineCount == 0 })
}

// Merge adds the records of another VM.
func (t *Tracker) Merge(list []Record, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, received := range list {
		t.merge(received, now)
	}
	t.updateRecordCount()
}

func (t *Tracker) merge(received Record, now clock.Instant) {
	if received.ID == 0 {
		return
	}
	if received.Cleared {
		if r := t.live(received.ID, now); r != nil && now >= r.until {
			t.forget(received.ID)
		}
		return
	}
	for _, incarnation := range received.Withdrawn[:min(len(received.Withdrawn), maxWithdrawn)] {
		t.withdraw(received.ID, incarnation, now)
	}
	if len(received.Crashed) == 0 && received.QuarantineCount == 0 {
		return
	}
	r := t.record(received.ID, now)
	before, quarantineCount := len(r.crashed), r.quarantineCount
	for _, incarnation := range received.Crashed[:min(len(received.Crashed), crashLimit)] {
		if len(r.crashed) < crashLimit && !slices.Contains(r.crashed, incarnation) && !t.withdrawn.has(received.ID^incarnation, now) {
			r.crashed = append(r.crashed, incarnation)
		}
	}
	r.quarantineCount = max(r.quarantineCount, received.QuarantineCount)
	refused := min(time.Duration(received.RemainingMs)*time.Millisecond, longestQuarantine)
	if until := now.Add(refused); refused > 0 && until > r.until.Add(quarantineSlack) {
		r.until = until
	}
	if len(r.crashed) >= crashLimit && r.quarantineCount == 0 {
		r.startQuarantine(now)
	}
	r.expires = max(r.expires, r.until.Add(longestQuarantine))
	if len(r.crashed) != before || r.quarantineCount != quarantineCount {
		t.changed[received.ID] = true
	}
	if r.quarantineCount != quarantineCount {
		t.addEvent(Event{Kind: EventQuarantined, Content: received.ID, Crashes: len(r.crashed), RefusedFor: r.until.Sub(now)})
	}
}

// withdraw removes an incarnation from a record and remembers the removal, since VMs that don't know of it yet may still send the
// old record.
func (t *Tracker) withdraw(id, incarnation uint64, now clock.Instant) {
	t.withdrawn.add(id^incarnation, now.Add(recordTTL))
	r := t.live(id, now)
	if r == nil || !slices.Contains(r.crashed, incarnation) {
		return
	}
	r.removeCrash(incarnation)
	if len(r.withdrawn) < maxWithdrawn {
		r.withdrawn = append(r.withdrawn, incarnation)
	}
	t.changed[id] = true
	if len(r.crashed) == 0 && r.quarantineCount == 0 {
		t.forget(id)
	}
}

// maxWithdrawn bounds the withdrawn incarnations in one record.
const maxWithdrawn = 8

// quarantineSlack is the minimum by which a received quarantine must exceed the known one to replace it. It covers the time that
// messages take.
const quarantineSlack = time.Second

func (t *Tracker) forget(id uint64) {
	delete(t.records, id)
	t.changed[id] = true
}
