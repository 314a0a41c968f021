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
	// crashTTL is how long a crash is remembered, so that the other connections that end with it aren't taken for another crash.
	crashTTL = 30 * time.Second
	// aliveFrom and aliveUntil bound the time after a lost connection in which an answer shows that the target didn't crash.
	// Earlier answers may have been sent before the crash, and later ones by the next incarnation; targets take more than a
	// second to start.
	aliveFrom  = 150 * time.Millisecond
	aliveUntil = time.Second
	// maxEvents bounds the events that wait to be logged.
	maxEvents = 64
)

func hashIncarnation(l inventory.Incarnation) uint64 {
	d := xxhash.New()
	writePart(d, l.Target)
	writeNumber(d, l.Started)
	return max(d.Sum64(), 1)
}

// RunID identifies an attempt at a target.
type RunID struct {
	VM  string
	Seq uint64
}

// Outcome tells how a run ended.
type Outcome int

const (
	// Served means that the target answered the request, successfully or with an error of its own.
	Served Outcome = iota
	// Refused means that the target stated that it didn't run the request.
	Refused
	// ConnectionLost means that the connection was lost before a complete answer arrived.
	ConnectionLost
	// Unknown means that the end of the run says nothing about the target.
	Unknown
	// Unanswered means that the run was ended before a complete answer arrived, while its connection was open.
	Unanswered
	// PartlyServed means that a part of the answer arrived. BodyEnded records how the rest ends.
	PartlyServed
)

// EventKind is the kind of an Event.
type EventKind int

const (
	// EventCrash means that a connection to a target was lost before an answer, which may be a crash.
	EventCrash EventKind = iota
	// EventAlive means that the target has answered since, so that it hadn't crashed.
	EventAlive
	// EventQuarantined means that a request is refused from now on.
	EventQuarantined
	// EventSilentCrash means that a target is gone without notice after it had left requests unanswered.
	EventSilentCrash
)

// Event is a change that is reported to the operator.
type Event struct {
	Kind EventKind
	// Incarnation is set for EventCrash, EventSilentCrash and EventAlive. InFlight and Suspects are the number of requests in
	// flight at an EventCrash and the number of those suspected.
	Incarnation        inventory.Incarnation
	InFlight, Suspects int
	// Content, Crashes and RefusedFor are set for EventQuarantined. Content is the hash of the content and the caller if only
	// requests of this caller are refused.
	Content    uint64
	Crashes    int
	RefusedFor time.Duration
}

// Tracker finds the requests that crash their targets, among all that are in flight there. Otherwise a request that callers send
// again and again through all VMs would crash one target after another.
//
// When connections to a target are lost before a complete answer, the requests in flight there are suspected. A suspect runs in one copy
// at a time and isn't placed beside another suspect, so that the next crash shows which one caused it; a request that merely ran
// at the same time is cleared by its next success. After the third crash the request is refused for a time, and its crashes are
// no longer counted against the other requests. A target that answers after its connections were lost hasn't crashed, so lost
// answers don't count. A target that crashes without closing its connections is recognised by its removed registration: see
// TargetRemoved.
//
// Invariants: an incarnation of a target counts at most once against a request. A request is refused only if it crashed
// crashLimit incarnations without a success in between, or was refused before. Tracker does no I/O and is safe for concurrent
// use.
type Tracker struct {
	mu      sync.Mutex
	records map[uint64]*record
	// recordCount is the number of records. It can be read without the lock, since usually there are none.
	recordCount atomic.Int64
	runs        map[RunID]*activeRun
	runsAt      map[inventory.Incarnation]map[*activeRun]bool
	// copies counts the runs in flight of each ID.
	copies map[uint64]int
	// crashes holds the incarnations that appear to have crashed.
	crashes map[inventory.Incarnation]*crash
	// silent holds the runs that each incarnation has left unanswered since its last answer, answeredAt when that was, and removed when
	// the registrations of incarnations were removed without notice.
	silent     map[inventory.Incarnation][]silentRun
	answeredAt map[inventory.Incarnation]clock.Instant
	removed    map[inventory.Incarnation]clock.Instant
	harmless   *expiringSet
	// withdrawn holds IDs combined with the incarnations that were counted against them by mistake.
	withdrawn *expiringSet
	changed   map[uint64]bool
	events    []Event
}

// activeRun is a run in flight.
type activeRun struct {
	fingerprint Fingerprint
	incarnation inventory.Incarnation
	startedAt   clock.Instant
	// suspected means that the request had crashes recorded when the run began.
	suspected bool
}

// crash is the crash of an incarnation.
type crash struct {
	at         clock.Instant
	attributed []uint64
}

// NewTracker returns a tracker without records.
func NewTracker() *Tracker {
	return &Tracker{
		records: map[uint64]*record{}, runs: map[RunID]*activeRun{}, runsAt: map[inventory.Incarnation]map[*activeRun]bool{}, copies: map[uint64]int{}, crashes: map[inventory.Incarnation]*crash{},
		silent: map[inventory.Incarnation][]silentRun{}, answeredAt: map[inventory.Incarnation]clock.Instant{}, removed: map[inventory.Incarnation]clock.Instant{},
		harmless: newExpiringSet(harmlessLimit), withdrawn: newExpiringSet(MaxEntries), changed: map[uint64]bool{},
	}
}

// updateRecordCount publishes the number of records.
func (t *Tracker) updateRecordCount() {
	t.recordCount.Store(int64(len(t.records)))
}

// Verdict returns how a request must be handled, and for how much longer it is refused.
func (t *Tracker) Verdict(f Fingerprint, now clock.Instant) (Verdict, time.Duration) {
	if t.recordCount.Load() == 0 || f.ByCaller == 0 {
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

// crashCount returns the number of incarnations that crashed while running a request since it last succeeded.
func (t *Tracker) crashCount(f Fingerprint, now clock.Instant) int {
	n := 0
	for _, id := range []uint64{f.Content, f.ByCaller} {
		if r := t.live(id, now); r != nil {
			n = max(n, len(r.crashed))
		}
	}
	return n
}

// Begin records that a request is sent to a target.
func (t *Tracker) Begin(id RunID, f Fingerprint, incarnation inventory.Incarnation, now clock.Instant) {
	if f.ByCaller == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeRun(id)
	r := &activeRun{fingerprint: f, incarnation: incarnation, startedAt: now, suspected: t.crashCount(f, now) > 0}
	t.runs[id] = r
	if t.runsAt[incarnation] == nil {
		t.runsAt[incarnation] = map[*activeRun]bool{}
	}
	t.runsAt[incarnation][r] = true
	t.copies[f.Content]++
	t.copies[f.ByCaller]++
}

func (t *Tracker) removeRun(id RunID) *activeRun {
	r := t.runs[id]
	if r == nil {
		return nil
	}
	delete(t.runs, id)
	for _, hash := range []uint64{r.fingerprint.Content, r.fingerprint.ByCaller} {
		if t.copies[hash]--; t.copies[hash] == 0 {
			delete(t.copies, hash)
		}
	}
	delete(t.runsAt[r.incarnation], r)
	if len(t.runsAt[r.incarnation]) == 0 {
		delete(t.runsAt, r.incarnation)
	}
	return r
}

// End records how a run ended.
func (t *Tracker) End(id RunID, outcome Outcome, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateRecordCount()
	if r := t.runs[id]; r != nil && outcome == ConnectionLost {
		t.connectionLost(r, now)
	}
	r := t.removeRun(id)
	if r == nil {
		return
	}
	switch outcome {
	case Served:
		t.succeeded(r.fingerprint, now)
		t.answered(r, now)
	case Refused, PartlyServed:
		t.answered(r, now)
	case Unanswered:
		t.unanswered(r, now)
	case ConnectionLost, Unknown:
	}
}

// Drop removes a run whose end isn't known.
func (t *Tracker) Drop(id RunID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeRun(id)
}

// DropRuns drops all runs, because another VM tracks them from now on.
func (t *Tracker) DropRuns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.runs)
	clear(t.runsAt)
	clear(t.copies)
	clear(t.silent)
	clear(t.answeredAt)
}

// CopyInFlight reports whether another copy of a request is in flight.
func (t *Tracker) CopyInFlight(f Fingerprint, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copies[f.ByCaller] > 0 || t.copies[f.Content] > 0 && t.live(f.Content, now) != nil
}

// HasSuspect reports whether a request that was sent as a suspect is in flight at a target incarnation.
func (t *Tracker) HasSuspect(incarnation inventory.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.runsAt[incarnation] {
		if r.suspected {
			return true
		}
	}
	return false
}

// connectionLost records that a run's connection was lost before an answer. The first one of an incarnation determines the
// requests to which the crash is attributed. Later ones add only requests that were sent since, because the first may have been a
// lost answer.
func (t *Tracker) connectionLost(r *activeRun, now clock.Instant) {
	c := t.crashes[r.incarnation]
	if c != nil && now.Sub(c.at) < crashTTL {
		if r.startedAt > c.at {
			t.attributeToInFlight(c, r.incarnation, c.at, now)
		}
		return
	}
	t.pruneCrashes(now)
	c = &crash{at: now}
	t.crashes[r.incarnation] = c
	inFlight, suspected := len(t.runsAt[r.incarnation]), t.attributeToInFlight(c, r.incarnation, -1, now)
	t.addEvent(Event{Kind: EventCrash, Incarnation: r.incarnation, InFlight: inFlight, Suspects: suspected})
}

// attributeToInFlight attributes a crash to the requests in flight at the incarnation that were sent after the given time. It
// returns their number.
func (t *Tracker) attributeToInFlight(c *crash, incarnation inventory.Incarnation, since, now clock.Instant) int {
	var list []Fingerprint
	for other := range t.runsAt[incarnation] {
		if other.startedAt > since && !slices.Contains(list, other.fingerprint) {
			list = append(list, other.fingerprint)
			c.attributed = append(c.attributed, t.attributableIDs(other.fingerprint, now)...)
		}
	}
	for _, f := range list {
		t.attribute(t.attributableIDs(f, now), hashIncarnation(incarnation), now)
	}
	return len(list)
}

// attributableIDs returns the IDs to which a crash is attributed. If the content has recently succeeded, possibly for another
// caller, the crash is attributed only to the content together with this caller.
func (t *Tracker) attributableIDs(f Fingerprint, now clock.Instant) []uint64 {
	if t.harmless.has(f.Content, now) {
		return []uint64{f.ByCaller}
	}
	return []uint64{f.Content, f.ByCaller}
}

// attribute records a crash of an incarnation for the IDs of a request.
func (t *Tracker) attribute(ids []uint64, incarnation uint64, now clock.Instant) {
	refused, crashes, span := false, 0, time.Duration(0)
	for _, id := range ids {
		record := t.record(id, now)
		t.changed[id] = true
		refused = record.addCrash(incarnation, now) || refused
		crashes, span = len(record.crashed), record.until.Sub(now)
	}
	if refused {
		t.addEvent(Event{Kind: EventQuarantined, Content: ids[0], Crashes: crashes, RefusedFor: span})
		t.clearOthers(ids, now)
	}
}

// clearOthers withdraws the crashes caused by a quarantined request from the other requests that were in flight.
func (t *Tracker) clearOthers(ids []uint64, now clock.Instant) {
	for incarnation, c := range t.crashes {
		if !slices.ContainsFunc(c.attributed, func(id uint64) bool { return slices.Contains(ids, id) }) {
			continue
		}
		for _, id := range c.attributed {
			if !slices.Contains(ids, id) {
				t.withdraw(id, hashIncarnation(incarnation), now)
			}
		}
	}
}

func (t *Tracker) pruneCrashes(now clock.Instant) {
	for incarnation, c := range t.crashes {
		if now.Sub(c.at) >= crashTTL {
			delete(t.crashes, incarnation)
		}
	}
}

// answered withdraws a crash if the target answers after it: the connection was lost for another reason.
func (t *Tracker) answered(r *activeRun, now clock.Instant) {
	delete(t.silent, r.incarnation)
	t.answeredAt[r.incarnation] = now
	c := t.crashes[r.incarnation]
	if c == nil {
		return
	}
	since := now.Sub(c.at)
	if since > aliveUntil || since < aliveFrom && r.startedAt <= c.at {
		return
	}
	delete(t.crashes, r.incarnation)
	for _, id := range c.attributed {
		t.withdraw(id, hashIncarnation(r.incarnation), now)
	}
	t.addEvent(Event{Kind: EventAlive, Incarnation: r.incarnation})
}

// succeeded clears a request that a target has answered.
func (t *Tracker) succeeded(f Fingerprint, now clock.Instant) {
	t.harmless.add(f.Content, now.Add(harmlessTTL))
	if len(t.records) == 0 {
		return
	}
	for _, id := range []uint64{f.Content, f.ByCaller} {
		// A copy that was sent before the quarantine says nothing about later copies.
		if r := t.live(id, now); r != nil && now >= r.until {
			t.forget(id)
		}
	}
}

func (t *Tracker) addEvent(e Event) {
	if len(t.events) < maxEvents {
		t.events = append(t.events, e)
	}
}

// TakeEvents returns and removes the events since the last call.
func (t *Tracker) TakeEvents() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := t.events
	t.events = nil
	return events
}
