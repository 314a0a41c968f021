package placing

import (
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
)

const (
	// extraPlace is the number of requests beyond its slots that a busy owner gets, so that no slot is idle while an answer and
	// the next request are on their way. Targets of other pools get none: a request is better off with the next free one.
	extraPlace = 1
	// permitSlack is how long after its deadline a permit is taken to be over without a word from its VM.
	permitSlack = 500 * time.Millisecond
	// maxWaiters bounds the requests that wait for one queue.
	maxWaiters = 512
	// coldBurst is the number of requests that a cold target gets at once.
	coldBurst = 1
	// minUseful is the part of the usual service time below which a request isn't worth sending.
	minUseful = 0.9
	// slowFactor is how many times longer than the best target's a free target's answer may take before waiting is better.
	slowFactor = 3
	// patience is the part of the remaining time in which a request must be likely to be answered. A request that is refused
	// instead may come back, and one that waits in vain can't.
	patience = 0.5
	// forecastSlack is added to a forecast, since requests that come later may go first.
	forecastSlack = 1.1
)

// Ask is a request that looks for a target.
type Ask struct {
	VM     string
	Domain string
	Region string
	// Seq names the ask among those of its VM.
	Seq  uint64
	Pool string
	// Key is the request's key; it counts in keyed pools only.
	Key int
	// Priority is the route's rank; 0 is the highest.
	Priority int
	// Objective is the latency from now on within which an answer has its full worth.
	Objective time.Duration
	// Left is the time until the caller gets its last answer.
	Left time.Duration
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// Homes are the regions that may serve the request; empty permits all.
	Homes []string
	// Avoid are targets that have failed the request.
	Avoid []string
	// Repeat tells that the request was sent to a target before.
	Repeat bool
	// Fingerprint is the same for all sendings of the request.
	Fingerprint quarantine.Fingerprint
}

// Verdict answers an ask: a target, or the reason why there is none.
type Verdict struct {
	Target   string
	Reason   Reason
	Expected time.Duration
}

// Owner is the answer of an OwnerOf function.
type Owner struct {
	Target string
	// Pending tells that nobody has the key, for about Wait.
	Pending bool
	Wait    time.Duration
}

// permit is a request at a target.
type permit struct {
	target string
	end    clock.Instant
}

// Broker places the requests of all VMs with exact knowledge of each target's places. It answers the loads in which VMs that
// don't know of each other would overrun some targets and leave others idle: bursts, hot keys, slow and cold targets. It is
// safe for concurrent use.
type Broker struct {
	regionOf map[string]string

	mu       sync.Mutex
	snapshot *inventory.Snapshot
	ownerOf  func(pool string, key int) Owner
	loads    map[string]*load
	cold     map[string]*allowance
	queues   map[bucketID][]*waiter
	waiting  map[askID]*waiter
	permits  map[askID]permit
	closings closings
	budget   *Budget
	suspects *quarantine.Tracker
	used     func(pool string, key int)
	// groups keeps the targets that waiters may use until the snapshot changes.
	groups map[groupID][]*load
	// surveyed counts the targets that were looked at.
	surveyed int
}

// NewBroker returns a broker. used is called with each requested key.
func NewBroker(regionOf map[string]string, budget *Budget, suspects *quarantine.Tracker, used func(pool string, key int)) *Broker {
	return &Broker{
		regionOf: regionOf, budget: budget, suspects: suspects, used: used, loads: map[string]*load{}, cold: map[string]*allowance{},
		queues: map[bucketID][]*waiter{}, waiting: map[askID]*waiter{}, permits: map[askID]permit{},
		closings: newClosings(),
	}
}

// Update takes in the registered targets and the owners of keys.
func (b *Broker) Update(s *inventory.Snapshot, ownerOf func(pool string, key int) Owner, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.snapshot, b.ownerOf, b.groups = s, ownerOf, map[groupID][]*load{}
	updateLoads(b.loads, s, now)
	for _, w := range b.waiting {
		b.leave(w)
		b.enqueue(w)
	}
	b.dispatchAll(now)
}

// Reset forgets all permits and refuses all waiters: another VM places the requests.
func (b *Broker) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.waiting {
		w.reply(Verdict{Reason: ReasonMoved})
	}
	b.queues, b.waiting, b.permits = map[bucketID][]*waiter{}, map[askID]*waiter{}, map[askID]permit{}
	b.loads, b.groups = map[string]*load{}, map[groupID][]*load{}
	b.suspects.Forget()
	b.budget.Reset()
	b.closings = newClosings()
}

// Place queues an ask. reply is called once, possibly before Place returns, and must not block.
func (b *Broker) Place(a Ask, reply func(Verdict), now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.snapshot == nil || b.snapshot.Configuration == nil {
		reply(Verdict{Reason: ReasonNone})
		return
	}
	verdict, refusedFor := b.suspects.Verdict(a.Fingerprint, now)
	if verdict == quarantine.Quarantined {
		reply(Verdict{Reason: ReasonQuarantined, Expected: refusedFor})
		return
	}
	if !a.Repeat {
		b.budget.First(a.Pool, now)
		if b.keyed(a.Pool) {
			b.used(a.Pool, a.Key)
		}
	} else if !b.budget.Repeat(a.Pool, now) {
		reply(Verdict{Reason: ReasonBudget})
		return
	}
	w := &waiter{Ask: a, deadline: now.Add(a.Left), objectiveEnd: now.Add(a.Objective), reply: reply, homes: homesKey(a.Homes)}
	w.suspected = verdict == quarantine.Suspected
	w.machine = machineOf(w.VM)
	w.closed = b.closings.concern(w.machine, now)
	b.enqueue(w)
	m := b.surveyFor(w, now)
	if now.Add(m.useful()) > w.objectiveEnd {
		w.late = true
		b.leave(w)
		b.enqueue(w)
	}
	finish, reason := b.outlook(w, m)
	if !w.late && finish > a.Objective {
		// It goes behind those that can still meet theirs.
		w.late = true
		b.leave(w)
		b.enqueue(w)
		finish, reason = b.outlook(w, m)
	}
	if finish > time.Duration(patience*float64(a.Left)) || len(b.queues[w.bucket]) > maxWaiters {
		b.leave(w)
		reply(Verdict{Reason: reason, Expected: finish})
		return
	}
	b.waiting[askID{a.VM, a.Seq}] = w
	pass := markets{b: b, now: now}
	if !w.special() && !w.closed {
		pass.known = append(pass.known, knownMarket{w.homes, m})
	}
	b.serve(w.bucket, pass)
}

func (b *Broker) keyed(pool string) bool {
	p := b.snapshot.Configuration.Pools[pool]
	return p != nil && p.Keyed
}

// busy returns the places in use, as far as they are known.
func (l *load) busy(now clock.Instant) int {
	return l.inFlight + int(l.othersNow(now)+0.5)
}

// dispatch sends the waiters of a queue for which there is a place.
func (b *Broker) dispatch(id bucketID, now clock.Instant) {
	b.serve(id, markets{b: b, now: now})
}

// serve sends the waiters of a queue for which there is a place, with what the pass knows already.
func (b *Broker) serve(id bucketID, pass markets) {
	now := pass.now
	for i := 0; i < len(b.queues[id]); {
		w := b.queues[id][i]
		verdict, refusedFor := b.suspects.Verdict(w.Fingerprint, now)
		if verdict == quarantine.Quarantined {
			b.settle(w, Verdict{Reason: ReasonQuarantined, Expected: refusedFor})
			continue
		}
		w.suspected = verdict == quarantine.Suspected
		w.closed = b.closings.concern(w.machine, now)
		m := pass.of(w)
		if left := w.deadline.Sub(now); left < m.useful() {
			b.settle(w, Verdict{Reason: ReasonFull, Expected: m.useful()})
			continue
		}
		if !m.place || w.suspected && b.suspects.Busy(w.Fingerprint, now) {
			i++
			continue
		}
		o := b.bestFree(w, m, now)
		if w.closed && o.load != nil && now < b.closings.until(o.load.target.Life(), w.machine) {
			// The survey that the waiters share doesn't know what each VM was told. Surveys for each of them cost too much.
			m = b.surveyFor(w, now)
			o = b.bestFree(w, m, now)
		}
		if o.load == nil || !o.worthIt(w, m, i) {
			i++
			continue
		}
		b.assign(w, o.load, now)
		pass.taken()
	}
}

// offer is the target with a place that is likely to answer a waiter first.
type offer struct {
	load *load
	// rank is the score with the preference for near targets. It decides between places, the score whether to take one.
	rank  time.Duration
	score time.Duration
	// fastest is the best score of all targets, whether they have a place or not.
	fastest time.Duration
}

// worthIt tells whether a waiter with the given number of others before it had better take the place than wait. A slow target
// is left to those that would wait longer for another one: a queue whose first waiter refused it kept its places idle.
func (o offer) worthIt(w *waiter, m *market, ahead int) bool {
	if o.score <= slowFactor*o.fastest {
		return true
	}
	wait, _ := m.forecast(w, ahead)
	return o.score <= wait
}

// bestFree returns the best place for a waiter; its target is nil if there is none.
func (b *Broker) bestFree(w *waiter, m *market, now clock.Instant) offer {
	best := offer{rank: impossible, score: impossible, fastest: impossible}
	objective := w.objectiveEnd.Sub(now)
	for i := range m.domains {
		d := &m.domains[i]
		way := distance(b.regionOf, w.Domain, w.Region, d.name, w.BodyBytes)
		best.fastest = min(best.fastest, d.fastestIn+way)
		if d.free == nil {
			continue
		}
		score := d.freeIn + way
		if rank := score + preference(b.regionOf, w.Domain, w.Region, d.name, objective); rank < best.rank {
			best.load, best.rank, best.score = d.free, rank, score
		}
	}
	return best
}

func (b *Broker) hasPlace(l *load, now clock.Instant) bool {
	limit := l.target.Slots
	if now >= l.coldUntil && b.keyed(l.target.Pool) {
		limit += extraPlace
	}
	return l.busy(now) < b.closings.limit(l.target.Life(), limit, now)
}

func (b *Broker) coldReady(l *load, now clock.Instant) bool {
	return b.coldTokens(l, now).tokens >= 1
}

func (b *Broker) coldTokens(l *load, now clock.Instant) *allowance {
	a := b.cold[l.target.ID]
	if a == nil {
		a = &allowance{tokens: coldBurst, at: now}
		b.cold[l.target.ID] = a
	}
	a.tokens = min(coldBurst, a.tokens+b.coldRate(l)*now.Sub(a.at).Seconds())
	a.at = now
	return a
}

func (b *Broker) assign(w *waiter, l *load, now clock.Instant) {
	if now < l.coldUntil {
		b.coldTokens(l, now).tokens--
	}
	l.inFlight++
	b.permits[askID{w.VM, w.Seq}] = permit{target: l.target.ID, end: w.deadline.Add(permitSlack)}
	b.suspects.Begin(quarantine.Run{VM: w.VM, Seq: w.Seq}, w.Fingerprint, l.target.Life(), now)
	b.settle(w, Verdict{Target: l.target.ID, Expected: l.expected(now)})
}

// settle ends the wait.
func (b *Broker) settle(w *waiter, v Verdict) {
	b.leave(w)
	delete(b.waiting, askID{w.VM, w.Seq})
	w.reply(v)
}

// Cancel withdraws an ask; a permit that it has got ends.
func (b *Broker) Cancel(vm string, seq uint64, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := askID{vm, seq}
	if w := b.waiting[id]; w != nil {
		b.leave(w)
		delete(b.waiting, id)
		return
	}
	if l := b.end(id); l != nil {
		b.dispatchTarget(l, now)
	}
}

// end gives a permit's place back. It returns the load of its target, nil if there is none.
func (b *Broker) end(id askID) *load {
	p, ok := b.permits[id]
	if !ok {
		return nil
	}
	delete(b.permits, id)
	b.suspects.Drop(quarantine.Run{VM: id.vm, Seq: id.seq})
	l := b.loads[p.target]
	if l != nil {
		l.inFlight = max(0, l.inFlight-1)
	}
	return l
}

// dispatchTarget sends waiters that a target can take.
func (b *Broker) dispatchTarget(l *load, now clock.Instant) {
	if b.snapshot == nil || b.snapshot.Configuration == nil {
		return
	}
	id := bucketID{pool: l.target.Pool}
	if b.keyed(id.pool) {
		id.owner = l.target.ID
	}
	b.dispatch(id, now)
}

// Done takes in how a permitted request ended.
func (b *Broker) Done(vm string, seq uint64, elapsed time.Duration, how Ending, report *Report, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.End(quarantine.Run{VM: vm, Seq: seq}, how.Fate(), now)
	if l := b.end(askID{vm, seq}); l != nil {
		if report != nil && report.ClosedFor > 0 {
			b.closings.add(l.target.Life(), machineOf(vm), now.Add(report.ClosedFor), l.inFlight, now)
		}
		l.note(elapsed, how, report, now)
		b.dispatchTarget(l, now)
	}
}

// Lost ends all asks and permits of a VM.
func (b *Broker) Lost(vm string, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, w := range b.waiting {
		if id.vm == vm {
			b.leave(w)
			delete(b.waiting, id)
		}
	}
	for id := range b.permits {
		if id.vm == vm {
			b.end(id)
		}
	}
	b.dispatchAll(now)
}

// Tick does what time brings: ends of permits, of pauses and of waits.
func (b *Broker) Tick(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.permits {
		if now > p.end {
			b.end(id)
		}
	}
	b.closings.prune(now)
	b.dispatchAll(now)
	b.refuseHopeless(now)
}

func (b *Broker) dispatchAll(now clock.Instant) {
	if b.snapshot == nil || b.snapshot.Configuration == nil {
		return
	}
	ids := make([]bucketID, 0, len(b.queues))
	for id := range b.queues {
		ids = append(ids, id)
	}
	for _, id := range ids {
		b.dispatch(id, now)
	}
}

// Service returns the smoothed service time of a target, if any was measured.
func (b *Broker) Service(id string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	if l == nil || !l.measured {
		return 0, false
	}
	return time.Duration(float64(l.service)), true
}
