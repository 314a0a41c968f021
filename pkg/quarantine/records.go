package quarantine

import (
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

const (
	// crashLimit is the number of targets that a request may crash before it is refused.
	crashLimit = 3
	// suspicion is how long a crash is remembered without another one. It is that of Table.
	suspicion = SuspectTTL
	// firstQuarantine is how long a request is refused after it has crashed crashLimit targets. Each further crash doubles it, up to
	// longestQuarantine: a request that callers send without end then crashes one target an hour.
	firstQuarantine   = time.Minute
	longestQuarantine = time.Hour
	// mostShared bounds the records in one message or row, about 50 bytes each.
	mostShared = 512
)

// Record is what VMs tell each other about a request. Breaks are merged as a set, so that it doesn't matter how often or in which
// order records arrive.
type Record struct {
	// ID is one half of a Fingerprint.
	ID uint64 `msgpack:"i" json:"id"`
	// Breaks name the target lives that have ended under the request since it last succeeded.
	Breaks []uint64 `msgpack:"b,omitempty" json:"breaks"`
	// Withdrawn name lives that were among them by mistake.
	Withdrawn []uint64 `msgpack:"w,omitempty" json:"withdrawn,omitempty"`
	// ForMs is how much longer the request is refused, in milliseconds; 0 if it isn't.
	ForMs int64 `msgpack:"f,omitempty" json:"for_ms"`
	// Strikes counts how often it was quarantined.
	Strikes int `msgpack:"s,omitempty" json:"strikes"`
	// Cleared tells that it has succeeded.
	Cleared bool `msgpack:"c,omitempty" json:"cleared,omitempty"`
}

// record is the state of a suspect.
type record struct {
	breaks  []uint64
	strikes int
	// withdrawn are the lives that the other VMs don't know to be removed.
	withdrawn []uint64
	// until is the end of the quarantine; zero if the request was never refused.
	until clock.Instant
	// expires is when the record is dropped.
	expires clock.Instant
}

// addBreak notes that a target's life ended under the request. It tells whether the request is quarantined by that.
func (r *record) addBreak(life uint64, now clock.Instant) bool {
	if slices.Contains(r.breaks, life) {
		return false
	}
	if len(r.breaks) >= crashLimit {
		// The last quarantine has ended; only the newest crashes count.
		r.breaks = r.breaks[1:]
	}
	r.breaks = append(r.breaks, life)
	r.expires = max(r.expires, now.Add(suspicion))
	if len(r.breaks) < crashLimit {
		return false
	}
	r.punish(now)
	return true
}

func (r *record) punish(now clock.Instant) {
	span := min(firstQuarantine<<min(r.strikes, 10), longestQuarantine)
	r.strikes++
	r.until = max(r.until, now.Add(span))
	// After the quarantine the next crash counts at once.
	r.expires = max(r.expires, r.until.Add(longestQuarantine))
}

// removeBreak takes a break back that was none.
func (r *record) removeBreak(life uint64) {
	before := len(r.breaks)
	r.breaks = slices.DeleteFunc(r.breaks, func(b uint64) bool { return b == life })
	if before >= crashLimit && len(r.breaks) < crashLimit {
		r.until, r.strikes = 0, max(0, r.strikes-1)
	}
}

func (r *record) shared(id uint64, now clock.Instant) Record {
	return Record{ID: id, Breaks: slices.Clone(r.breaks), ForMs: max(0, r.until.Sub(now).Milliseconds()), Strikes: r.strikes}
}

// live returns a record, nil if there is none.
func (t *Tracker) live(id uint64, now clock.Instant) *record {
	r := t.records[id]
	if r != nil && now >= r.expires {
		delete(t.records, id)
		return nil
	}
	return r
}

// record returns a record, a new one if there is none.
func (t *Tracker) record(id uint64, now clock.Instant) *record {
	if r := t.live(id, now); r != nil {
		return r
	}
	if len(t.records) >= MaxEntries {
		t.evictRecord()
	}
	r := &record{expires: now.Add(suspicion)}
	t.records[id] = r
	return r
}

// evictRecord drops the record that ends first, a quarantined one only if there is no other.
func (t *Tracker) evictRecord() {
	var victim uint64
	var least *record
	for id, r := range t.records {
		if least == nil || r.lessWorth(least) {
			victim, least = id, r
		}
	}
	delete(t.records, victim)
}

// lessWorth orders records for eviction.
func (r *record) lessWorth(o *record) bool {
	if refused := r.strikes > 0; refused != (o.strikes > 0) {
		return !refused
	}
	return r.expires < o.expires
}

// News returns the records that have changed since the last call.
func (t *Tracker) News(now clock.Instant) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changed) == 0 {
		return nil
	}
	list := make([]Record, 0, len(t.changed))
	for id := range t.changed {
		if r := t.live(id, now); r != nil {
			told := r.shared(id, now)
			told.Withdrawn, r.withdrawn = r.withdrawn, nil
			list = append(list, told)
		} else {
			list = append(list, Record{ID: id, Cleared: true})
		}
	}
	clear(t.changed)
	return list[:min(len(list), mostShared)]
}

// All returns the records, those of quarantined requests first.
func (t *Tracker) All(now clock.Instant) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Record
	for id, r := range t.records {
		if now < r.expires {
			list = append(list, r.shared(id, now))
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return int(b.ForMs - a.ForMs) })
	return list[:min(len(list), mostShared)]
}

// Quarantined returns the records of requests that are or have been refused, which are worth storing.
func (t *Tracker) Quarantined(now clock.Instant) []Record {
	return slices.DeleteFunc(t.All(now), func(r Record) bool { return r.Strikes == 0 })
}

// Merge takes in what another VM has told.
func (t *Tracker) Merge(list []Record, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, told := range list {
		t.merge(told, now)
	}
	t.count()
}

func (t *Tracker) merge(told Record, now clock.Instant) {
	if told.ID == 0 {
		return
	}
	if told.Cleared {
		if r := t.live(told.ID, now); r != nil && now >= r.until {
			t.forget(told.ID)
		}
		return
	}
	for _, life := range told.Withdrawn[:min(len(told.Withdrawn), mostWithdrawn)] {
		t.withdraw(told.ID, life, now)
	}
	if len(told.Breaks) == 0 && told.Strikes == 0 {
		return
	}
	r := t.record(told.ID, now)
	before, strikes := len(r.breaks), r.strikes
	for _, life := range told.Breaks[:min(len(told.Breaks), crashLimit)] {
		if len(r.breaks) < crashLimit && !slices.Contains(r.breaks, life) && !t.withdrawn.has(told.ID^life, now) {
			r.breaks = append(r.breaks, life)
		}
	}
	r.strikes = max(r.strikes, told.Strikes)
	refused := min(time.Duration(told.ForMs)*time.Millisecond, longestQuarantine)
	if until := now.Add(refused); refused > 0 && until > r.until.Add(toldSlack) {
		r.until = until
	}
	if len(r.breaks) >= crashLimit && r.strikes == 0 {
		r.punish(now)
	}
	r.expires = max(r.expires, r.until.Add(longestQuarantine))
	if len(r.breaks) != before || r.strikes != strikes {
		t.changed[told.ID] = true
	}
	if r.strikes != strikes {
		t.note(Event{Kind: EventQuarantined, Content: told.ID, Crashes: len(r.breaks), For: r.until.Sub(now)})
	}
}

// withdraw removes a life from a record, for good: a VM that hasn't heard may still tell of it.
func (t *Tracker) withdraw(id, life uint64, now clock.Instant) {
	t.withdrawn.add(id^life, now.Add(suspicion))
	r := t.live(id, now)
	if r == nil || !slices.Contains(r.breaks, life) {
		return
	}
	r.removeBreak(life)
	if len(r.withdrawn) < mostWithdrawn {
		r.withdrawn = append(r.withdrawn, life)
	}
	t.changed[id] = true
	if len(r.breaks) == 0 && r.strikes == 0 {
		t.forget(id)
	}
}

// mostWithdrawn bounds the withdrawn lives in one record.
const mostWithdrawn = 8

// toldSlack is how much longer a quarantine must be than the known one to take its place; messages take a moment.
const toldSlack = time.Second

func (t *Tracker) forget(id uint64) {
	delete(t.records, id)
	t.changed[id] = true
}
