package placing

import (
	"maps"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// The load pattern is a pool with targets in two regions and a load that rises at different times in each. A request whose region has no
// free slot could run in the other one at once, but its bytes are billed, and in a region with a hundred slots one is released within some
// milliseconds.

// stayObjectiveShare is the part of the remaining time to its objective within which a request must be expected to be answered in its own
// region for it to wait there. The rest is for targets that are slower than the mean, and for requests that arrive later and are placed
// first. With 0.7, fewer requests cross, but more are late.
const stayObjectiveShare = 0.4

// crossings counts the requests that were placed in another region than that of their VM: borrowed if their own region has targets that
// may serve them, needed otherwise.
type crossings struct {
	borrowed, needed tally.Counter
}

// CountCrossings makes the broker count the requests that cross regions in counters of the given scope.
func (b *Broker) CountCrossings(scope tally.Scope) {
	counter := func(reason string) tally.Counter {
		return scope.SubScope("broker").Tagged(map[string]string{"reason": reason}).Counter("region_crossings")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crossings = &crossings{borrowed: counter("borrowed"), needed: counter("needed")}
}

// poolRegion identifies the targets of a pool in one region.
type poolRegion struct {
	pool, region string
}

// notePlaced records that a request is placed at a target.
func (b *Broker) notePlaced(w *waiter, l *load, now clock.Instant) {
	region := b.regionOf[l.target.Domain]
	b.lastPlaced[poolRegion{w.Pool, region}] = now
	if b.crossings == nil || region == w.Region {
		return
	}
	inRegion := func(other *load) bool { return b.regionOf[other.target.Domain] == w.Region }
	if b.keyed(w.Pool) || !slices.ContainsFunc(b.targetSet(w), inRegion) {
		b.crossings.needed.Inc(1)
		return
	}
	b.crossings.borrowed.Inc(1)
}

// pruneLastPlaced drops the entries of pools that have no targets any more.
func (b *Broker) pruneLastPlaced() {
	maps.DeleteFunc(b.lastPlaced, func(r poolRegion, _ clock.Instant) bool { return len(b.snapshot.Pools[r.pool]) == 0 })
}

// regionState is the part of a poolState for one region.
type regionState struct {
	name string
	// throughput is the number of requests that the targets serve each second, and slots the number of their slots.
	throughput float64
	slots      int
	// lastPlaced is when a request was last placed there.
	lastPlaced clock.Instant
	// queued is the work of the requests ahead in the queue that wait for this region, 1 being a request with the mean service time.
	queued float64
}

// region returns the state of a region.
func (ps *poolState) region(name string) *regionState {
	i := slices.IndexFunc(ps.regions, func(r regionState) bool { return r.name == name })
	if i < 0 {
		i = len(ps.regions)
		ps.regions = append(ps.regions, regionState{name: name})
	}
	return &ps.regions[i]
}

// computeRegions computes the states of the regions from the warm targets that may get requests now. Targets that requests decline because
// they are slow or fail don't count, as in preferredState: a request would wait for them and then cross.
func (b *Broker) computeRegions(ps *poolState, now clock.Instant) {
	b.inspectedTargets += len(ps.targets)
	limit := slowTargetFactor * ps.minLatency()
	ps.regions = make([]regionState, 0, 2)
	for _, l := range ps.targets {
		service := l.currentServiceTime(now)
		if now < l.coldUntil || now < ps.view.notBefore(l) || l.limit.spent() || service+l.penalty() > limit {
			continue
		}
		r := ps.region(b.regionOf[l.target.Domain])
		if r.slots == 0 {
			r.lastPlaced = b.lastPlaced[poolRegion{l.target.Pool, r.name}]
		}
		slots := b.backoffs.limit(l.target.Incarnation(), l.target.Slots, now)
		r.slots += slots
		r.throughput += l.limit.capRate(float64(slots)/service.Seconds(), b.share)
	}
}

// waitingRegion is the region whose slots a waiting request takes: its own one, unless it may not be served there.
func (w *waiter) waitingRegion() string {
	if len(w.AllowedRegions) == 0 || slices.Contains(w.AllowedRegions, w.Region) {
		return w.Region
	}
	return w.AllowedRegions[0]
}

// forecastBesideOthers returns the forecast for a new request that finds a free target in its own region although requests ahead of it
// wait: if those wait for another region, they have declined the target. Otherwise it returns infinite. Forecasts for the whole pool count
// them, and a request was refused in a region with free slots.
func (b *Broker) forecastBesideOthers(w *waiter, ps *poolState, now clock.Instant) time.Duration {
	if !b.admitsByValue() || b.keyed(w.Pool) {
		return infinite
	}
	queue := b.queues[w.queue]
	ahead := queue[:slices.Index(queue, w)]
	if len(ahead) == 0 || b.waitsForRegion(ahead, []string{w.Region}) {
		return infinite
	}
	c := b.bestCandidate(w, ps, now)
	if c.load == nil || b.regionOf[c.load.target.Domain] != w.Region || c.score > slowTargetFactor*c.fastest {
		return infinite
	}
	return time.Duration(forecastMargin * float64(w.scaled(c.load.expectedLatency(now))))
}

// waitsForRegion reports whether any of the waiting requests takes slots of the given regions. All do if requests don't wait for a region.
func (b *Broker) waitsForRegion(queue []*waiter, regions []string) bool {
	if !b.admitsByValue() {
		return len(queue) > 0
	}
	return slices.ContainsFunc(queue, func(w *waiter) bool { return slices.Contains(regions, w.waitingRegion()) })
}

// acceptedInRegion reports whether any target in the region of a request accepts requests from its VM. The pool state that requests share
// ignores the backoffs of individual VMs.
func (b *Broker) acceptedInRegion(w *waiter, ps *poolState, now clock.Instant) bool {
	return slices.ContainsFunc(ps.targets, func(l *load) bool {
		return b.regionOf[l.target.Domain] == w.Region && now >= b.backoffs.until(l.target.Incarnation(), w.vmID)
	})
}

// staysInRegion reports whether a request with the given others ahead of it waits for a slot in its own region instead of taking the free
// target in another one. It does so if the wait is shorter than the latency that is accepted to avoid the other region and leaves enough
// time, or if the answer is expected well within its objective. Otherwise it would be late, or refused under overload. Targets that hang
// release no slots; without the condition on the last placement, 0.005 of the value were lost when those of a region hung.
//
// A request that can meet its objective only in the other region crosses also if the wait is short. The wait is calculated anew at each
// decision: without this rule, a request that others overtook waited until its objective was missed.
func (b *Broker) staysInRegion(c candidate, w *waiter, ps *poolState, ahead []*waiter, now clock.Instant) bool {
	if b.regionOf[c.load.target.Domain] == w.Region || !b.admitsByValue() {
		return false
	}
	if ps.regions == nil {
		b.computeRegions(ps, now)
	}
	for ; ps.queuedUntil < len(ahead); ps.queuedUntil++ {
		other := ahead[ps.queuedUntil]
		ps.region(other.waitingRegion()).queued += other.factor
	}
	r := ps.region(w.Region)
	if r.throughput <= 0 || w.backedOff && !b.acceptedInRegion(w, ps, now) {
		return false
	}
	wait := secondsToDuration((r.queued + 1) / r.throughput)
	// The cost of sending the body says nothing about whether the targets hang.
	if now.Sub(r.lastPlaced) > wait+regionPenalty {
		return false
	}
	latency := wait + w.scaled(secondsToDuration(onTimeServiceFactor*float64(r.slots)/r.throughput))
	objective := min(w.objectiveEnd, w.deadline).Sub(now)
	if float64(latency) <= stayObjectiveShare*float64(objective) {
		return true
	}
	if latency > objective && w.scaled(c.load.expectedLatency(now)) <= objective {
		return false
	}
	penalty := distancePenalty(b.regionOf, w.Domain, w.Region, c.load.target.Domain, w.BodyBytes)
	return wait <= penalty && float64(latency) <= maxWaitShare*float64(w.deadline.Sub(now))
}
