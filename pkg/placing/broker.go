package placing

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

const (
	// keyedExtraSlots is the number of requests beyond its slots that a key owner gets, so that no slot is idle while an answer
	// and the next request are in transit. Targets of other pools get none: there, the next target with a free slot serves a
	// request sooner.
	keyedExtraSlots = 1
	// permitGrace is how long after its deadline a permit is released if its VM hasn't reported the end of the request.
	permitGrace = 500 * time.Millisecond
	// maxQueueLength bounds the waiting requests of one queue.
	maxQueueLength = 512
	// coldBurst is the number of requests that a cold target may get at once.
	coldBurst = 1
	// minServiceShare is the part of the usual service time that must remain before the deadline for a request to be worth
	// sending.
	minServiceShare = 0.9
	// slowTargetFactor bounds the expected latency of a free target relative to the best target's. Above it, a request may wait
	// for a better target instead.
	slowTargetFactor = 3
	// maxWaitShare is the part of the remaining time within which a new request must be expected to be answered. A caller that is
	// refused early can retry; one whose request waits until the deadline can't.
	maxWaitShare = 0.5
	// forecastMargin is the factor applied to forecasts, since requests that arrive later may be placed first.
	forecastMargin = 1.1
)

// PlacementRequest is a request for which Broker selects a target.
type PlacementRequest struct {
	VM     string
	Domain string
	Region string
	// Seq identifies the request among those of its VM.
	Seq  uint64
	Pool string
	// Key is the request's key; it is used in keyed pools only.
	Key int
	// Organisation is the name of the organisation that sent the request, or empty if there is none.
	Organisation string
	// Limited reports whether the organisation has a quota according to the VM's configuration. The broker uses its own.
	Limited bool
	// Priority is the rank of the request, as returned by inventory.RequestPriority; 0 is the highest.
	Priority int
	// Objective is the remaining time within which an answer meets the latency objective.
	Objective time.Duration
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// BodyBytes is the size of the request body.
	BodyBytes int64
	// AllowedRegions are the regions that may serve the request; empty permits all.
	AllowedRegions []string
	// Avoid holds the IDs of the targets that have already failed the request.
	Avoid []string
	// Retry reports whether the request was sent to a target before.
	Retry bool
	// Hedge reports whether another attempt of the request is in flight, at a target in Avoid. Such a request is placed only if it
	// needn't wait.
	Hedge bool
	// Fingerprint is the same for all attempts of the request.
	Fingerprint quarantine.Fingerprint
}

// Decision is the result of a PlacementRequest: a target, or the reason why there is none. Without a target, Expected is the
// estimated wait, 0 if unknown.
type Decision struct {
	Target   string
	Reason   Reason
	Expected time.Duration
	// SendBy is the time on the VM's clock after which a request with a quota must not be sent any more, 0 if there is none.
	SendBy clock.Instant
}

// Owner is the owner of a key.
type Owner struct {
	Target string
	// Pending means that the key currently has no owner; it is expected to get one after Wait.
	Pending bool
	Wait    time.Duration
}

// permit is the reservation of a slot at a target.
type permit struct {
	target      string
	incarnation inventory.Incarnation
	// organisation is that of the request.
	organisation string
	rank         kindRank
	// forecastLeftMs is the part of the forecast at admission that remained at start.
	forecastLeftMs int32
	start, end     clock.Instant
}

// Broker places the requests of all VMs with exact knowledge of each target's free slots. VMs that place requests independently
// would overload some targets and leave others idle under bursts, hot keys, and slow or cold targets. It is safe for concurrent
// use.
type Broker struct {
	regionOf map[string]string

	mu          sync.Mutex
	snapshot    *inventory.Snapshot
	ownerOf     func(pool string, key int) Owner
	loads       map[string]*load
	coldBuckets map[string]*tokenBucket
	// since is when this broker began to place requests.
	since  clock.Instant
	limits limitReader
	// share is the part of the rates of targets that this broker may use.
	share float64
	// limitRefusals holds when a queue last refused a request because of rate limits.
	limitRefusals map[queueID]clock.Instant
	queues        map[queueID][]*waiter
	waiting       map[requestID]*waiter
	permits       map[requestID]permit
	backoffs      backoffs
	budget        *RetryBudget
	suspects      *quarantine.Tracker
	onKeyUsed     func(pool string, key int)
	kinds         kinds
	// forecastErrors is nil unless RecordForecastErrors was called.
	forecastErrors *forecastErrors
	// refusedWait is nil unless RecordForecastErrors was called.
	refusedWait tally.Histogram
	// crossings is nil unless CountCrossings was called.
	crossings *crossings
	// lastPlaced holds when a request was last placed in a region.
	lastPlaced map[poolRegion]clock.Instant
	// valueAdmission is set by SetValueAdmission.
	valueAdmission bool
	// quotas is the ledger of the organisations' quotas, nil unless this VM is the coordinator.
	quotas *sharedrate.Granter
	// deferred counts the waiting requests of each organisation that have a free target and wait until the quota permits to send them.
	deferred map[string]int
	// arrivals holds the rates of arriving work in deployments that admit by value.
	arrivals arrivals
	// fair divides queues among organisations.
	fair fairQueues
	// targetSets caches the targets for each pool and set of home regions until the snapshot changes.
	targetSets map[targetSetID][]*load
	// regionShares caches sharedTargets until the snapshot changes.
	regionShares map[regionPair]float64
	// inspectedTargets counts the targets inspected while computing pool states. Tests use it to bound the cost.
	inspectedTargets int
}

// NewBroker returns a broker. onKeyUsed is called with the key of each new request to a keyed pool.
func NewBroker(regionOf map[string]string, budget *RetryBudget, suspects *quarantine.Tracker, limits *ratelimit.Tracker, onKeyUsed func(pool string, key int)) *Broker {
	return &Broker{
		regionOf: regionOf, budget: budget, suspects: suspects, onKeyUsed: onKeyUsed, loads: map[string]*load{}, coldBuckets: map[string]*tokenBucket{},
		queues: map[queueID][]*waiter{}, waiting: map[requestID]*waiter{}, permits: map[requestID]permit{},
		backoffs: newBackoffs(), limits: limitReader{tracker: limits}, share: 1, limitRefusals: map[queueID]clock.Instant{}, kinds: kinds{},
		fair: fairQueues{}, deferred: map[string]int{}, arrivals: arrivals{}, lastPlaced: map[poolRegion]clock.Instant{},
	}
}

// Update replaces the registered targets and the owners of keys.
func (b *Broker) Update(s *inventory.Snapshot, ownerOf func(pool string, key int) Owner, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.snapshot, b.ownerOf, b.targetSets, b.regionShares = s, ownerOf, map[targetSetID][]*load{}, map[regionPair]float64{}
	if b.snapshot == nil {
		b.since = now
	}
	updateLoads(b.loads, s, now)
	b.pruneLastPlaced()
	b.limits.version = 0
	b.updateKinds()
	for _, w := range b.waiting {
		b.requeue(w)
	}
	b.dispatchAll(now)
}

// Reset drops all permits and refuses all waiting requests, because another VM has taken over the broker role.
func (b *Broker) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.waiting {
		w.reply(Decision{Reason: ReasonBrokerMoved})
	}
	b.fair, b.deferred, b.arrivals = fairQueues{}, map[string]int{}, arrivals{}
	b.queues, b.waiting, b.permits = map[queueID][]*waiter{}, map[requestID]*waiter{}, map[requestID]permit{}
	b.limits.version = 0
	b.snapshot, b.coldBuckets, b.quotas = nil, map[string]*tokenBucket{}, nil
	b.loads, b.targetSets, b.regionShares, b.kinds = map[string]*load{}, map[targetSetID][]*load{}, map[regionPair]float64{}, kinds{}
	b.lastPlaced = map[poolRegion]clock.Instant{}
	b.suspects.DropRuns()
	b.budget.Reset()
	b.backoffs = newBackoffs()
}

// Place queues a request. reply is called at most once, possibly before Place returns, and must not block.
func (b *Broker) Place(a PlacementRequest, reply func(Decision), now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.snapshot == nil || b.snapshot.Configuration == nil {
		reply(Decision{Reason: ReasonNoTarget})
		return
	}
	verdict, refusedFor := b.suspects.Verdict(a.Fingerprint, now)
	if verdict == quarantine.Quarantined {
		reply(Decision{Reason: ReasonQuarantined, Expected: refusedFor})
		return
	}
	if reason, wait := b.admitQuota(a, now); reason != "" {
		reply(Decision{Reason: reason, Expected: wait})
		return
	}
	if a.Hedge {
		w := b.newWaiter(a, verdict, reply, now)
		w.queue.pool = a.Pool
		if !b.placeHedge(w, verdict, now) {
			b.returnQuota(a, now)
		}
		return
	}
	if !a.Retry {
		b.budget.AddAttempt(a.Pool, now)
		if b.keyed(a.Pool) {
			b.onKeyUsed(a.Pool, a.Key)
		}
	} else if !b.budget.TakeRetry(a.Pool, now) {
		b.returnQuota(a, now)
		reply(Decision{Reason: ReasonRetryBudget})
		return
	}
	w := b.newWaiter(a, verdict, reply, now)
	b.enqueue(w)
	ps := b.stateFor(w, now)
	b.reserve(w, ps, now)
	latency, reason := b.admissionForecast(w, ps, now)
	inTime := latency <= b.maxLatency(w, ps, now) && !b.willBeOvertaken(w, ps, now)
	if inTime {
		b.makeRoom(w, ps, now)
	}
	if !inTime || len(b.queues[w.queue]) > maxQueueLength {
		b.returnStep(w)
		b.dequeue(w)
		b.returnQuota(a, now)
		b.noteLimitRefusal(w.queue, reason, now)
		reply(ps.refusal(w, latency, reason))
		return
	}
	w.setForecast(latency)
	b.noteArrival(w, now)
	b.waiting[requestID{a.VM, a.Seq}] = w
	cache := stateCache{b: b, now: now}
	if !w.needsOwnState() && !w.backedOff {
		cache.entries = append(cache.entries, stateCacheEntry{w.regionsKey, ps})
	}
	b.dispatchWith(w.queue, cache)
}

func (b *Broker) newWaiter(a PlacementRequest, verdict quarantine.Verdict, reply func(Decision), now clock.Instant) *waiter {
	w := &waiter{PlacementRequest: a, deadline: now.Add(a.TimeLeft), order: now.Add(a.TimeLeft), objectiveEnd: now.Add(a.Objective), reply: reply, regionsKey: joinRegions(a.AllowedRegions)}
	w.suspected = verdict == quarantine.Suspected
	w.factor = b.kindsOf(w.Pool).factor(rankOf(w.Priority))
	w.vmID = vmIDOf(w.VM)
	w.backedOff = b.backoffs.affects(w.vmID, now)
	return w
}

func (b *Broker) keyed(pool string) bool {
	p := b.snapshot.Configuration.Pools[pool]
	return p != nil && p.Keyed
}

// busy returns the number of requests at the target, as far as they are known.
func (l *load) busy(now clock.Instant) int {
	return l.inFlight + int(l.estimateOtherRequests(now)+0.5)
}

// resolve removes a request from its queue and replies to it.
func (b *Broker) resolve(w *waiter, v Decision) {
	b.undefer(w)
	b.dequeue(w)
	delete(b.waiting, requestID{w.VM, w.Seq})
	w.reply(v)
}

// Cancel withdraws a request that was not sent and releases its permit.
func (b *Broker) Cancel(vm string, seq uint64, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := requestID{vm, seq}
	if w := b.waiting[id]; w != nil {
		b.undefer(w)
		b.returnStep(w)
		b.dequeue(w)
		delete(b.waiting, id)
		b.returnQuota(w.PlacementRequest, now)
		return
	}
	if p, ok := b.permits[id]; ok {
		b.returnPlacedQuota(p.organisation, now)
	}
	if l := b.releasePermit(id); l != nil {
		b.dispatchTarget(l, now)
	}
}

// releasePermit releases the slot of a permit. It returns the load of its target, nil if there is none.
func (b *Broker) releasePermit(id requestID) *load {
	p, ok := b.permits[id]
	if !ok {
		return nil
	}
	delete(b.permits, id)
	b.suspects.Drop(quarantine.RunID{VM: id.vm, Seq: id.seq})
	l := b.loads[p.target]
	if l != nil {
		l.inFlight = max(0, l.inFlight-1)
	}
	return l
}

// Done releases the permit of a request and records its result and the target's report.
func (b *Broker) Done(vm string, seq uint64, elapsed time.Duration, result Result, report *Report, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.End(quarantine.RunID{VM: vm, Seq: seq}, result.QuarantineOutcome(), now)
	p, ok := b.permits[requestID{vm, seq}]
	if ok {
		b.recordRateLimit(p, result, report, now)
		b.recordForecastError(p, result, now)
	}
	if l := b.releasePermit(requestID{vm, seq}); l != nil {
		if report != nil && report.ClosedFor > 0 {
			b.backoffs.add(l.target.Incarnation(), vmIDOf(vm), now.Add(report.ClosedFor), l.inFlight, now)
		}
		b.recordEnd(p, l, elapsed, result, report, now)
		b.dispatchTarget(l, now)
	}
}

// RemoveVM drops all waiting requests and permits of a VM that has disconnected.
func (b *Broker) RemoveVM(vm string, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, w := range b.waiting {
		if id.vm == vm {
			b.undefer(w)
			b.returnStep(w)
			b.dequeue(w)
			delete(b.waiting, id)
			b.returnQuota(w.PlacementRequest, now)
		}
	}
	for id := range b.permits {
		if id.vm == vm {
			b.releasePermit(id)
		}
	}
	b.dispatchAll(now)
}

// Tick handles expired permits, backoffs that have ended and waiting requests that can't be served in time.
func (b *Broker) Tick(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.permits {
		if now > p.end {
			b.releasePermit(id)
		}
	}
	b.backoffs.prune(now)
	b.pruneLimitRefusals(now)
	b.arrivals.prune(now)
	b.dispatchAll(now)
	b.refuseUnservable(now)
}

// ServiceTime returns the moving average of a target's service time, and whether it was measured.
func (b *Broker) ServiceTime(id string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	if l == nil || !l.measured {
		return 0, false
	}
	return time.Duration(float64(l.serviceTime)), true
}
