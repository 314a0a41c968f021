// Package ratelimit tracks the rate limits that targets name in their responses: how many requests per second a target takes
// from all VMs together. It does no I/O.
package ratelimit

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

const (
	// MinRate is the rate in requests per second that applies to targets that name a lower one, or zero. A target withdraws its
	// limit in a response, so one that got no request could never do so.
	MinRate = 0.1
	// withdrawnRetention is how long a withdrawn limit is kept, so that all VMs hear of the withdrawal.
	withdrawnRetention = 10 * time.Second
	// unregisteredRetention is how long the limit of a target that isn't registered is kept. Registrations may be missing for
	// some seconds after an outage of the store.
	unregisteredRetention = time.Minute
	// silenceTimeout is the time without a response after which a limit no longer counts. A target that gets no requests, for example
	// because its keys have moved, can't withdraw it.
	silenceTimeout = 30 * time.Second
	// maxLimits bounds the recorded limits, which take about 150 bytes each.
	maxLimits = 16384
)

// Kind is the kind of a Notice.
type Kind uint8

const (
	// Absent means that the response names no limit, which withdraws an earlier one.
	Absent Kind = iota
	// Named means that the response names a limit.
	Named
	// Unreadable means that the response names a limit that can't be parsed. An earlier limit remains.
	Unreadable
)

// Notice is what a response says about the rate limit of its target.
type Notice struct {
	Kind Kind `msgpack:",omitempty"`
	// Rate is the limit in requests per second.
	Rate float64 `msgpack:",omitempty"`
}

// Record is the state of a limit in the form in which VMs exchange it. The ages are as of the time of sending.
type Record struct {
	Incarnation inventory.Incarnation `msgpack:"i" json:"incarnation"`
	// Limited is false if the limit was withdrawn.
	Limited bool    `msgpack:"l,omitempty" json:"limited"`
	Rate    float64 `msgpack:"r,omitempty" json:"per_second"`
	// EarliestAgeMs and LatestAgeMs bound how long ago the response was created that shows this state.
	EarliestAgeMs int64 `msgpack:"e" json:"earliest_age_ms"`
	LatestAgeMs   int64 `msgpack:"a" json:"latest_age_ms"`
}

// state is the newest known state of a target's limit.
type state struct {
	limited bool
	rate    float64
	// earliest and latest bound the time at which the response was created that shows this state: between the sending of the
	// request and the arrival of the response.
	earliest, latest clock.Instant
}

// stricterThan reports whether the state permits fewer requests than another one.
func (s state) stricterThan(other state) bool {
	return s.limited && (!other.limited || s.rate < other.rate)
}

// Tracker holds the limits of all targets. It is safe for concurrent use.
type Tracker struct {
	// limited is the number of limited targets, and version the number of changes. They let callers skip the lock.
	limited atomic.Int64
	version atomic.Uint64

	mu     sync.Mutex
	states map[inventory.Incarnation]state
	// unsent and unlogged are the targets whose state has changed since the last call of Changes or TakeLogEntries.
	unsent, unlogged map[inventory.Incarnation]bool
}

// NewTracker returns a tracker without any limits.
func NewTracker() *Tracker {
	return &Tracker{states: map[inventory.Incarnation]state{}, unsent: map[inventory.Incarnation]bool{}, unlogged: map[inventory.Incarnation]bool{}}
}

// Observe records what the response to a request says that was sent at the given time. sent may be earlier than the actual time
// and now later, for example if another VM has sent the request.
func (t *Tracker) Observe(incarnation inventory.Incarnation, n Notice, sent, now clock.Instant) {
	if n.Kind == Unreadable || n.Kind == Absent && t.limited.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(incarnation, state{limited: n.Kind == Named, rate: n.Rate, earliest: sent, latest: now})
}

// apply updates the state of a target. Responses may be learned of in another order than they were created. If the order of two
// states is unknown, the stricter one holds until a response that was certainly created later. The caller holds t.mu.
func (t *Tracker) apply(incarnation inventory.Incarnation, next state) {
	current, known := t.states[incarnation]
	switch {
	case !known:
		if !next.limited || len(t.states) >= maxLimits {
			return
		}
	case next.earliest >= current.latest:
	case next.latest <= current.earliest || current.stricterThan(next):
		return
	case !next.stricterThan(current):
		// Both states say the same.
		next.earliest, next.latest = max(next.earliest, current.earliest), max(next.latest, current.latest)
	}
	t.states[incarnation] = next
	if next.limited != current.limited || next.rate != current.rate {
		t.unsent[incarnation], t.unlogged[incarnation] = true, true
		t.countLimited()
	}
}

// countLimited updates limited and version after a change.
func (t *Tracker) countLimited() {
	n := int64(0)
	for _, s := range t.states {
		if s.limited {
			n++
		}
	}
	t.limited.Store(n)
	t.version.Add(1)
}

// Version changes with each change of a limit.
func (t *Tracker) Version() uint64 {
	return t.version.Load()
}

// Rate returns how many requests per second a target takes from all VMs together, at least MinRate. limited is false if the
// target has named no limit.
func (t *Tracker) Rate(incarnation inventory.Incarnation) (rate float64, limited bool) {
	if t.limited.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[incarnation]
	return max(s.rate, MinRate), s.limited
}

// Merge adds the states that another VM knows.
func (t *Tracker) Merge(records []Record, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		latest := now.Add(-time.Duration(max(0, r.LatestAgeMs)) * time.Millisecond)
		earliest := min(latest, now.Add(-time.Duration(r.EarliestAgeMs)*time.Millisecond))
		t.apply(r.Incarnation, state{limited: r.Limited, rate: max(0, r.Rate), earliest: earliest, latest: latest})
	}
}

// Records returns all states.
func (t *Tracker) Records(now clock.Instant) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Record, 0, len(t.states))
	for incarnation := range t.states {
		list = append(list, t.record(incarnation, now))
	}
	slices.SortFunc(list, compareRecords)
	return list
}

// Changes returns the states that have changed since the last call.
func (t *Tracker) Changes(now clock.Instant) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.takeChanged(t.unsent, now)
}

// TakeLogEntries returns the states that have changed since the last call.
func (t *Tracker) TakeLogEntries(now clock.Instant) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.takeChanged(t.unlogged, now)
}

func (t *Tracker) takeChanged(changed map[inventory.Incarnation]bool, now clock.Instant) []Record {
	var list []Record
	for incarnation := range changed {
		if _, known := t.states[incarnation]; known {
			list = append(list, t.record(incarnation, now))
		}
	}
	clear(changed)
	slices.SortFunc(list, compareRecords)
	return list
}

func (t *Tracker) record(incarnation inventory.Incarnation, now clock.Instant) Record {
	s := t.states[incarnation]
	return Record{Incarnation: incarnation, Limited: s.limited, Rate: s.rate, EarliestAgeMs: now.Sub(s.earliest).Milliseconds(),
		LatestAgeMs: now.Sub(s.latest).Milliseconds()}
}

func compareRecords(a, b Record) int {
	if a.Incarnation.Target != b.Incarnation.Target {
		if a.Incarnation.Target < b.Incarnation.Target {
			return -1
		}
		return 1
	}
	return int(a.Incarnation.Started - b.Incarnation.Started)
}

// ExpireSilent withdraws the limits of targets that have sent no response for silenceTimeout. Only the coordinator, which hears of the
// responses to all VMs, may call it.
func (t *Tracker) ExpireSilent(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation, s := range t.states {
		if s.limited && now.Sub(s.latest) > silenceTimeout {
			t.apply(incarnation, state{earliest: now, latest: now})
		}
	}
}

// Prune drops limits that were withdrawn some time ago and those of targets that have not been registered for some time.
func (t *Tracker) Prune(registered func(inventory.Incarnation) bool, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.states)
	for incarnation, s := range t.states {
		age := now.Sub(s.latest)
		if !s.limited && age > withdrawnRetention || age > unregisteredRetention && !registered(incarnation) {
			delete(t.states, incarnation)
		}
	}
	if len(t.states) != before {
		t.countLimited()
	}
}
