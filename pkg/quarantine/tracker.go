package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

const (
	// crashMemory is how long the end of a target's life is remembered, so that the other connections that end with it aren't taken
	// for another crash.
	crashMemory = 30 * time.Second
	// aliveFrom and aliveUntil bound the time after a broken connection in which an answer of the target shows that it didn't crash.
	// Earlier ones may have been sent before the crash, and later ones by the next life; targets take more than a second to start.
	aliveFrom  = 150 * time.Millisecond
	aliveUntil = time.Second
	// mostEvents bounds the events that wait to be logged.
	mostEvents = 64
)

func hashLife(l inventory.Life) uint64 {
	d := xxhash.New()
	writePart(d, l.Target)
	writeNumber(d, l.Started)
	return max(d.Sum64(), 1)
}

// Run names an attempt at a target.
type Run struct {
	VM  string
	Seq uint64
}

// Ending tells how a run ended.
type Ending int

const (
	// Served means that the target answered the request, with success or a failure of its own.
	Served Ending = iota
	// Refused means that the target said that it didn't run the request.
	Refused
	// Broken means that the connection ended before an answer.
	Broken
	// Unknown tells nothing about the target.
	Unknown
)

// EventKind is a kind of event.
type EventKind int

const (
	// EventCrash means that connections to a target ended before an answer.
	EventCrash EventKind = iota
	// EventAlive means that the target has answered since, so that it hadn't crashed.
	EventAlive
	// EventQuarantined means that a request is refused from now on.
	EventQuarantined
)

// Event is something that an operator may want to know.
type Event struct {
	Kind EventKind
	// Life is set with EventCrash and EventAlive, with the number of requests that were in flight and of those blamed.
	Life             inventory.Life
	InFlight, Blamed int
	// Content, Crashes and For are set with EventQuarantined. Content stands for the content together with the caller if only this
	// caller's requests are refused.
	Content uint64
	Crashes int
	For     time.Duration
}

// Tracker finds the requests that crash the targets that run them, out of all that are in flight there. It answers the load of a
// request that callers send again and again through all VMs, each time to a target that is still up.
//
// When connections to a target end before an answer, the requests in flight there are suspected. A suspect runs in one copy at a time
// and alone among suspects at its target, so that the next crash shows which one it was; one that merely ran beside is cleared by
// its next success. With the third crash the request is refused for a time, and the crashes that it was part of are taken off the
// others. A target that answers after its connections ended hasn't crashed, so that lost answers count for nothing.
//
// Invariants: a life of a target counts at most once against a request; a request is refused only if it broke crashLimit lives
// without a success in between, or was refused before. It does no I/O and is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[uint64]*record
	// known is the number of records, readable without the lock: on most days there is none.
	known  atomic.Int64
	runs   map[Run]*running
	atLife map[inventory.Life]map[*running]bool
	// copies counts the runs of each ID.
	copies map[uint64]int
	// crashes are the lives that have ended, as far as connections show.
	crashes map[inventory.Life]*crash
	proven  *recent
	// withdrawn are IDs combined with lives that were counted by mistake.
	withdrawn *recent
	changed   map[uint64]bool
	events    []Event
}

// running is a run in flight.
type running struct {
	fingerprint Fingerprint
	life        inventory.Life
	begun       clock.Instant
	// suspected tells that the request had a record when the run began.
	suspected bool
}

// crash is the end of a life.
type crash struct {
	at     clock.Instant
	blamed []uint64
}

// NewTracker returns a tracker without records.
func NewTracker() *Tracker {
	return &Tracker{
		records: map[uint64]*record{}, runs: map[Run]*running{}, atLife: map[inventory.Life]map[*running]bool{}, copies: map[uint64]int{}, crashes: map[inventory.Life]*crash{},
		proven: newRecent(provenLimit), withdrawn: newRecent(MaxEntries), changed: map[uint64]bool{},
	}
}

// count publishes the number of records.
func (t *Tracker) count() {
	t.known.Store(int64(len(t.records)))
}

// Verdict tells how a request has to be treated, and for how much longer it is refused.
func (t *Tracker) Verdict(f Fingerprint, now clock.Instant) (Verdict, time.Duration) {
	if t.known.Load() == 0 || f.ByCaller == 0 {
		return Clear, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict, left := Clear, time.Duration(0)
	for _, id := range []uint64{f.Content, f.ByCaller} {
		switch r := t.live(id, now); {
		case r == nil:
		case now < r.until:
			verdict, left = Quarantined, max(left, r.until.Sub(now))
		default:
			verdict = max(verdict, Suspected)
		}
	}
	return verdict, left
}

// crashCount is the number of lives that ended under a request since it last succeeded.
func (t *Tracker) crashCount(f Fingerprint, now clock.Instant) int {
	n := 0
	for _, id := range []uint64{f.Content, f.ByCaller} {
		if r := t.live(id, now); r != nil {
			n = max(n, len(r.breaks))
		}
	}
	return n
}

// Begin notes that a request is sent to a target.
func (t *Tracker) Begin(id Run, f Fingerprint, life inventory.Life, now clock.Instant) {
	if f.ByCaller == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(id)
	r := &running{fingerprint: f, life: life, begun: now, suspected: t.crashCount(f, now) > 0}
	t.runs[id] = r
	if t.atLife[life] == nil {
		t.atLife[life] = map[*running]bool{}
	}
	t.atLife[life][r] = true
	t.copies[f.Content]++
	t.copies[f.ByCaller]++
}

func (t *Tracker) end(id Run) *running {
	r := t.runs[id]
	if r == nil {
		return nil
	}
	delete(t.runs, id)
	for _, half := range []uint64{r.fingerprint.Content, r.fingerprint.ByCaller} {
		if t.copies[half]--; t.copies[half] == 0 {
			delete(t.copies, half)
		}
	}
	delete(t.atLife[r.life], r)
	if len(t.atLife[r.life]) == 0 {
		delete(t.atLife, r.life)
	}
	return r
}

// End notes how a run ended.
func (t *Tracker) End(id Run, how Ending, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.count()
	if r := t.runs[id]; r != nil && how == Broken {
		t.broken(r, now)
	}
	r := t.end(id)
	if r == nil {
		return
	}
	switch how {
	case Served:
		t.succeeded(r.fingerprint, now)
		t.answered(r, now)
	case Refused:
		t.answered(r, now)
	case Broken, Unknown:
	}
}

// Drop forgets a run whose end isn't known.
func (t *Tracker) Drop(id Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(id)
}

// Forget drops all runs: another VM notes them from now on.
func (t *Tracker) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.runs)
	clear(t.atLife)
	clear(t.copies)
}

// Busy tells whether another copy of a request is in flight.
func (t *Tracker) Busy(f Fingerprint, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copies[f.ByCaller] > 0 || t.copies[f.Content] > 0 && t.live(f.Content, now) != nil
}

// SuspectAt tells whether a request that was sent as a suspect is in flight at a target's life.
func (t *Tracker) SuspectAt(life inventory.Life) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.atLife[life] {
		if r.suspected {
			return true
		}
	}
	return false
}

// broken notes that a run's connection has ended before an answer. The first one of a life decides whom the crash is blamed on, and
// later ones add only requests that were sent since: the first may have been a lost answer.
func (t *Tracker) broken(r *running, now clock.Instant) {
	c := t.crashes[r.life]
	if c != nil && now.Sub(c.at) < crashMemory {
		if r.begun > c.at {
			t.accuse(c, r.life, c.at, now)
		}
		return
	}
	t.pruneCrashes(now)
	c = &crash{at: now}
	t.crashes[r.life] = c
	inFlight, suspected := len(t.atLife[r.life]), t.accuse(c, r.life, -1, now)
	t.note(Event{Kind: EventCrash, Life: r.life, InFlight: inFlight, Blamed: suspected})
}

// accuse blames a crash on the requests that were sent to the life after a moment and are in flight there. It returns their number.
func (t *Tracker) accuse(c *crash, life inventory.Life, since, now clock.Instant) int {
	var list []Fingerprint
	for other := range t.atLife[life] {
		if other.begun > since && !slices.Contains(list, other.fingerprint) {
			list = append(list, other.fingerprint)
			c.blamed = append(c.blamed, t.blamable(other.fingerprint, now)...)
		}
	}
	for _, f := range list {
		t.blame(t.blamable(f, now), hashLife(life), now)
	}
	return len(list)
}

// blamable returns the IDs under which a request is blamed for a crash. Content that another caller's request has shown to be
// harmless is only blamed together with this caller.
func (t *Tracker) blamable(f Fingerprint, now clock.Instant) []uint64 {
	if t.proven.has(f.Content, now) {
		return []uint64{f.ByCaller}
	}
	return []uint64{f.Content, f.ByCaller}
}

// blame notes that a life ended under a request.
func (t *Tracker) blame(ids []uint64, life uint64, now clock.Instant) {
	refused, crashes, span := false, 0, time.Duration(0)
	for _, id := range ids {
		record := t.record(id, now)
		t.changed[id] = true
		refused = record.addBreak(life, now) || refused
		crashes, span = len(record.breaks), record.until.Sub(now)
	}
	if refused {
		t.note(Event{Kind: EventQuarantined, Content: ids[0], Crashes: crashes, For: span})
		t.explain(ids, now)
	}
}

// explain takes the crashes that a refused request has caused off the other requests that ran beside it.
func (t *Tracker) explain(ids []uint64, now clock.Instant) {
	for life, c := range t.crashes {
		if !slices.ContainsFunc(c.blamed, func(id uint64) bool { return slices.Contains(ids, id) }) {
			continue
		}
		for _, id := range c.blamed {
			if !slices.Contains(ids, id) {
				t.withdraw(id, hashLife(life), now)
			}
		}
	}
}

func (t *Tracker) pruneCrashes(now clock.Instant) {
	for life, c := range t.crashes {
		if now.Sub(c.at) >= crashMemory {
			delete(t.crashes, life)
		}
	}
}

// answered takes a crash back if the target answers after it: the connection ended for another reason.
func (t *Tracker) answered(r *running, now clock.Instant) {
	c := t.crashes[r.life]
	if c == nil {
		return
	}
	since := now.Sub(c.at)
	if since > aliveUntil || since < aliveFrom && r.begun <= c.at {
		return
	}
	delete(t.crashes, r.life)
	for _, id := range c.blamed {
		t.withdraw(id, hashLife(r.life), now)
	}
	t.note(Event{Kind: EventAlive, Life: r.life})
}

// succeeded clears a request that a target has answered.
func (t *Tracker) succeeded(f Fingerprint, now clock.Instant) {
	t.proven.add(f.Content, now.Add(provenTTL))
	if len(t.records) == 0 {
		return
	}
	for _, id := range []uint64{f.Content, f.ByCaller} {
		// A copy that was sent before the quarantine says nothing about the later ones.
		if r := t.live(id, now); r != nil && now >= r.until {
			t.forget(id)
		}
	}
}

func (t *Tracker) note(e Event) {
	if len(t.events) < mostEvents {
		t.events = append(t.events, e)
	}
}

// Events returns what has happened since the last call.
func (t *Tracker) Events() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := t.events
	t.events = nil
	return events
}
