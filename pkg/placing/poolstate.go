package placing

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// poolState is the state of the targets that some waiting requests may use, at one moment. All requests of a queue share it,
// since inspecting all targets for each request took more than one core with 140 targets in a pool.
type poolState struct {
	targets []*load
	// minServiceTime is the shortest average service time of all targets.
	minServiceTime time.Duration
	// fastest, freeSlots and throughput are the input of a forecast: the shortest current service time, the number of free slots,
	// and the number of requests that the targets serve each second.
	fastest    time.Duration
	freeSlots  int
	throughput float64
	// slots is the number of slots of the targets that aren't cold.
	slots int
	// limited reports whether rate limits, not slots, determine how many requests the targets can get. limitWait is the time until one
	// of the limits permits another request.
	limited   bool
	limitWait time.Duration
	// available reports whether any target can get a request now.
	available bool
	// domains holds the best target of each failure domain. Besides the target's own latency, its cost for a request depends on
	// the failure domain only.
	domains []domainState
	// slowest is the longest latency of a target without queueing, including its penalty.
	slowest time.Duration
	// view is the view with which the state was computed, and preferred the state of the targets worth waiting for. It is nil until
	// preferredState needs it.
	view      targetView
	preferred *poolState
	// regions is nil until computeRegions sets it. queuedUntil is the number of requests at the head of the queue that are included in the
	// queued work of the regions.
	regions     []regionState
	queuedUntil int
}

// domainState is the part of a poolState for one failure domain.
type domainState struct {
	name string
	// freeTarget is the target with a free slot and the lowest expected latency, freeLatency; nil if no target has a free slot.
	freeTarget  *load
	freeLatency time.Duration
	// minLatency is the lowest expected latency of all targets, with a free slot or not.
	minLatency time.Duration
}

// stateFor returns the state of the targets that a waiting request may use.
func (b *Broker) stateFor(w *waiter, now clock.Instant) *poolState {
	return b.computeState(b.eligibleTargets(w, now), now, b.viewFor(w, w.backedOff, now))
}

// viewFor returns which targets may get a waiting request and when, with or without the backoffs of its VM.
func (b *Broker) viewFor(w *waiter, backedOff bool, now clock.Instant) targetView {
	view := targetView{isFree: func(l *load) bool { return b.isFree(l, now) }}
	if w.suspected {
		// A suspect isn't placed beside another one, so that a crash shows which of them caused it.
		view.isFree = func(l *load) bool { return b.isFree(l, now) && !b.suspects.HasSuspect(l.target.Incarnation()) }
	}
	view.notBefore = func(l *load) clock.Instant { return l.notBefore }
	if backedOff {
		view.notBefore = func(l *load) clock.Instant { return max(l.notBefore, b.backoffs.until(l.target.Incarnation(), w.vmID)) }
	}
	return view
}

// targetView tells for some waiting requests whether a target has a free slot, and until when it gets no requests.
type targetView struct {
	isFree    func(*load) bool
	notBefore func(*load) clock.Instant
}

// computeState returns the state of the given targets.
func (b *Broker) computeState(candidates []*load, now clock.Instant, view targetView) *poolState {
	b.inspectedTargets += len(candidates)
	b.limits.refresh(b.loads, now)
	ps := &poolState{targets: candidates, minServiceTime: infinite, fastest: infinite, limited: len(candidates) > 0, limitWait: infinite, view: view}
	for _, l := range candidates {
		hasSlot, until := view.isFree(l), view.notBefore(l)
		limit := &l.limit
		if limit.limited {
			limit.refill(b.share, now)
			ps.limitWait = min(ps.limitWait, limit.nextIn(b.share))
		}
		ps.limited = ps.limited && limit.binds(l.target.Slots-l.busy(now))
		hasSlot = hasSlot && !limit.spent()
		ps.minServiceTime = min(ps.minServiceTime, l.serviceTime)
		service, penalty := l.currentServiceTime(now), l.penalty()
		ps.slowest = max(ps.slowest, service+penalty)
		if now >= until && !limit.spent() && (now >= l.coldUntil || b.coldTokenAvailable(l, now)) {
			ps.addTarget(l, l.expectedLatency(now)+penalty, hasSlot)
		}
		if now < l.coldUntil {
			ps.throughput += limit.capRate(b.coldRate(l), b.share)
			if b.coldTokenAvailable(l, now) && hasSlot {
				ps.freeSlots++
				ps.available = ps.available || now >= until
			}
			ps.fastest = min(ps.fastest, service)
			continue
		}
		blocked := until.Sub(now)
		if blocked > 0 {
			service += blocked
		}
		ps.throughput += limit.capRate(float64(l.target.Slots)/service.Seconds(), b.share)
		ps.slots += l.target.Slots
		ps.freeSlots += limit.capSlots(max(0, l.target.Slots-l.busy(now)))
		ps.available = ps.available || blocked <= 0 && hasSlot
		ps.fastest = min(ps.fastest, service)
	}
	return ps
}

// preferredState returns the state of the targets that a request takes as soon as they have a free slot: those whose own latency is at most
// slowTargetFactor times the best. The slots of the others must not count in the forecast of a request that declines them: it would wait
// for the few that are left as if all were free. If there are no others, it returns ps itself.
func (b *Broker) preferredState(ps *poolState, now clock.Instant) *poolState {
	if ps.preferred != nil {
		return ps.preferred
	}
	ps.preferred = ps
	fastest := ps.minLatency()
	if ps.slowest <= slowTargetFactor*fastest {
		return ps
	}
	var targets []*load
	for _, l := range ps.targets {
		if l.currentServiceTime(now)+l.penalty() <= slowTargetFactor*fastest {
			targets = append(targets, l)
		}
	}
	ps.preferred = b.computeState(targets, now, ps.view)
	return ps.preferred
}

// minLatency returns the lowest expected latency of all targets.
func (ps *poolState) minLatency() time.Duration {
	lowest := infinite
	for i := range ps.domains {
		lowest = min(lowest, ps.domains[i].minLatency)
	}
	return lowest
}

// minUsefulTime is the minimum time before its deadline at which a request is worth sending.
func (ps *poolState) minUsefulTime(w *waiter) time.Duration {
	if ps.minServiceTime == infinite {
		return w.scaled(time.Duration(minServiceShare * float64(initialServiceTime)))
	}
	return w.scaled(time.Duration(minServiceShare * float64(ps.minServiceTime)))
}

// addTarget adds a target with its expected latency to its failure domain.
func (ps *poolState) addTarget(l *load, latency time.Duration, hasSlot bool) {
	i := slices.IndexFunc(ps.domains, func(d domainState) bool { return d.name == l.target.Domain })
	if i < 0 {
		i = len(ps.domains)
		ps.domains = append(ps.domains, domainState{name: l.target.Domain, freeLatency: infinite, minLatency: infinite})
	}
	d := &ps.domains[i]
	d.minLatency = min(d.minLatency, latency)
	if hasSlot && latency < d.freeLatency {
		d.freeTarget, d.freeLatency = l, latency
	}
}

// stateCache holds the pool states of one pass over a queue. They are valid until a request is placed.
type stateCache struct {
	b       *Broker
	now     clock.Instant
	entries []stateCacheEntry
}

type stateCacheEntry struct {
	regionsKey string
	state      *poolState
}

// get returns the pool state for a waiting request. Suspects and requests that avoid targets have one of their own.
func (c *stateCache) get(w *waiter) *poolState {
	if w.needsOwnState() {
		return c.b.stateFor(w, c.now)
	}
	for _, e := range c.entries {
		if e.regionsKey == w.regionsKey {
			return e.state
		}
	}
	ps := c.b.computeState(c.b.eligibleTargets(w, c.now), c.now, c.b.viewFor(w, false, c.now))
	c.entries = append(c.entries, stateCacheEntry{w.regionsKey, ps})
	return ps
}

func (c *stateCache) invalidate() {
	c.entries = c.entries[:0]
}

// targetSetID identifies the targets of a pool that requests with the same home regions may use.
type targetSetID struct {
	pool       string
	regionsKey string
}

func joinRegions(regions []string) string {
	return strings.Join(regions, " ")
}

// targetSet returns the targets of a pool that requests with the same home regions may use. It is cached until the snapshot
// changes.
func (b *Broker) targetSet(w *waiter) []*load {
	id := targetSetID{w.Pool, w.regionsKey}
	if list, ok := b.targetSets[id]; ok {
		return list
	}
	var list []*load
	for _, t := range b.snapshot.Pools[w.Pool] {
		if b.snapshot.Available(t) && b.mayServe(w, t.ID) {
			list = append(list, b.loads[t.ID])
		}
	}
	b.targetSets[id] = list
	return list
}

// eligibleTargets returns the targets that may serve a waiting request.
func (b *Broker) eligibleTargets(w *waiter, now clock.Instant) []*load {
	if b.keyed(w.Pool) {
		l := b.loads[w.owner.Target]
		if w.owner.Pending || slices.Contains(w.Avoid, w.owner.Target) || !b.mayServe(w, w.owner.Target) || !b.snapshot.ServesKeys(l.target, now) {
			return nil
		}
		return []*load{l}
	}
	list := b.targetSet(w)
	if len(w.Avoid) == 0 {
		return list
	}
	var rest []*load
	for _, l := range list {
		if !slices.Contains(w.Avoid, l.target.ID) {
			rest = append(rest, l)
		}
	}
	return rest
}

// mayServe reports whether a target's failure domain is in service and in one of the request's home regions.
func (b *Broker) mayServe(w *waiter, target string) bool {
	l := b.loads[target]
	if l == nil || b.snapshot.DomainsOut[l.target.Domain] {
		return false
	}
	return len(w.AllowedRegions) == 0 || slices.Contains(w.AllowedRegions, b.regionOf[l.target.Domain])
}

// forecast estimates the time until a request is answered that has the given number of others ahead of it, with the given work, 1 being
// a request with the mean service time.
func (ps *poolState) forecast(w *waiter, ahead int, work float64) (time.Duration, Reason) {
	if w.owner.Pending {
		return w.owner.Wait + initialServiceTime, ReasonKeyPending
	}
	if len(ps.targets) == 0 {
		return infinite, ReasonNoTarget
	}
	free := w.usableSlots(ps.freeSlots)
	if ahead < free || ps.throughput <= 0 {
		return w.scaled(ps.fastest), ReasonOverload
	}
	if ps.limited {
		return w.scaled(ps.fastest) + ps.limitWait + secondsToDuration(float64(ahead-free)/ps.throughput), ReasonTargetLimit
	}
	mean := 1.0
	if ahead > 0 {
		mean = work / float64(ahead)
	}
	wait := (float64(ahead-free)*mean + 1) / ps.throughput
	return w.scaled(ps.fastest) + time.Duration(math.Min(wait, infinite.Seconds())*float64(time.Second)), ReasonOverload
}

// refusal returns the decision for a request that is forecast to be answered too late.
func (ps *poolState) refusal(w *waiter, latency time.Duration, reason Reason) Decision {
	if reason == ReasonTargetLimit {
		// The caller needs to know when there is room for its request, not when it would be answered.
		latency -= w.scaled(ps.fastest)
	}
	return Decision{Reason: reason, Expected: latency}
}
