package placing

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

const (
	// kindWeight is the steady weight of a new sample in the estimate of a kind's work. Before, it is 1/n, so that a new broker has
	// useful estimates after some tens of answers.
	kindWeight = 0.01
	// kindShareWeight is the steady weight of a new sample in the share of a kind among the answers of its pool.
	kindShareWeight = 0.002
	// minKindSample and maxKindSample bound a sample relative to the estimate of its kind. In some deployments 3% of the requests take
	// 7 times as long as usual, as often with one kind as with another.
	minKindSample, maxKindSample = 0.1, 3
	// kindLearningSamples is the number of first samples of a kind for which the bounds are wider by the factor kindLearningBound,
	// since the estimate is still close to the prior.
	kindLearningSamples = 8
	kindLearningBound   = 5
	// minWorkShare is the part of the work of a pool that each of two kinds must take for the kinds to be distinguished, and
	// minWorkShareKept the part from which on they remain so. Operators send fast requests with an objective of their own to new
	// routes: in small deployments a tenth of all requests, but less than 1% of the work. Distinguishing them made the forecasts of all
	// others longer, and more were refused.
	minWorkShare, minWorkShareKept = 0.03, 0.015
	// minPoolSamples is the number of answers of a pool before which its kinds aren't distinguished.
	minPoolSamples = 10
	// kindRankMask selects the priority of the route in the priority of a request. Above it is the priority of the organisation.
	kindRankMask = 0xff
)

// kindRank identifies the kind of a request within its pool: the priority of its route. Requests carry no other property of the route.
type kindRank uint8

func rankOf(priority int) kindRank {
	return kindRank(priority & kindRankMask)
}

// kindEstimate is what is known about one kind of request of a pool.
type kindEstimate struct {
	rank kindRank
	// work is the mean service time relative to the service time of the target.
	work    float64
	samples int
	// share is the part that the kind has among the latest answers of the pool.
	share float64
}

// poolKinds estimates how long the kinds of requests of one pool take, relative to the mean of all its requests.
type poolKinds struct {
	// list holds the kinds that were answered. A pool has few.
	list    []*kindEstimate
	samples int
	// mean is the mean work of the pool's requests, by which the work of each kind is divided.
	mean float64
	// objectives holds the shortest objective of each kind in the configuration.
	objectives map[kindRank]time.Duration
	// distinguished reports whether the estimates are used. Until then the pool is served with one service time for all requests.
	distinguished bool
}

func (p *poolKinds) setObjectives(byPriority map[int]time.Duration) {
	p.objectives = make(map[kindRank]time.Duration, len(byPriority))
	for priority, objective := range byPriority {
		p.objectives[rankOf(priority)] = objective
	}
}

// updateDistinguished determines whether two kinds with clearly different objectives take a part of the pool's work each.
func (p *poolKinds) updateDistinguished() {
	threshold := minWorkShare
	if p.distinguished {
		threshold = minWorkShareKept
	}
	p.distinguished = false
	if p.samples < minPoolSamples {
		return
	}
	for i, a := range p.list {
		for _, b := range p.list[:i] {
			if min(a.share*a.work, b.share*b.work) >= threshold*p.mean && inventory.ObjectivesDiffer(p.objectives[a.rank], p.objectives[b.rank]) {
				p.distinguished = true
			}
		}
	}
}

func (p *poolKinds) find(rank kindRank) *kindEstimate {
	for _, k := range p.list {
		if k.rank == rank {
			return k
		}
	}
	return nil
}

// factor returns the service time of a kind relative to the mean of the pool: 1 for a kind that isn't known, and while kinds aren't
// distinguished.
func (p *poolKinds) factor(rank kindRank) float64 {
	if p == nil || !p.distinguished {
		return 1
	}
	if k := p.find(rank); k != nil {
		return k.work / p.mean
	}
	return 1
}

// record adds the service time of an answered request relative to the service time of its target.
func (p *poolKinds) record(rank kindRank, relative float64) {
	k := p.find(rank)
	if k == nil {
		k = &kindEstimate{rank: rank, work: 1}
		if len(p.list) > 0 {
			k.work = p.mean
		}
		p.list = append(p.list, k)
	}
	bound := 1.0
	if k.samples < kindLearningSamples {
		bound = kindLearningBound
	}
	relative = min(max(relative, minKindSample/bound*k.work), maxKindSample*bound*k.work)
	k.samples++
	// The prior counts as one sample.
	k.work += max(kindWeight, 1/float64(k.samples+1)) * (relative - k.work)
	p.samples++
	weight := max(kindShareWeight, 1/float64(p.samples))
	for _, other := range p.list {
		other.share -= weight * other.share
	}
	k.share += weight
	p.updateMean()
	p.updateDistinguished()
}

func (p *poolKinds) updateMean() {
	sum, weight := 0.0, 0.0
	for _, k := range p.list {
		sum += k.share * k.work
		weight += k.share
	}
	p.mean = sum / weight
}

// kinds holds the estimates of all pools that serve requests with clearly different objectives. In other pools one service time for all
// requests is used: objectives and limits on queueing suit it there.
type kinds map[string]*poolKinds

// kindsOf returns the estimates of a pool whose routes have clearly different objectives, nil for another pool.
func (b *Broker) kindsOf(pool string) *poolKinds {
	if p := b.kinds[pool]; p != nil {
		return p
	}
	if !b.snapshot.Configuration.MixedObjectives(pool) {
		return nil
	}
	p := &poolKinds{}
	p.setObjectives(b.snapshot.Configuration.KindObjectives(pool))
	b.kinds[pool] = p
	return p
}

// distinguishesKinds reports whether the kinds of requests of a pool are distinguished.
func (b *Broker) distinguishesKinds(pool string) bool {
	p := b.kindsOf(pool)
	return p != nil && p.distinguished
}

// updateKinds applies the objectives of a new configuration. It drops the estimates of pools whose objectives don't differ any more: the
// service times of their targets become those of other requests.
func (b *Broker) updateKinds() {
	for pool, p := range b.kinds {
		if b.snapshot == nil || b.snapshot.Configuration == nil || !b.snapshot.Configuration.MixedObjectives(pool) {
			delete(b.kinds, pool)
			continue
		}
		p.setObjectives(b.snapshot.Configuration.KindObjectives(pool))
	}
}

// recordEnd records the end of a request at a target. Its duration is divided by the factor of its kind, so that the service time of the
// target doesn't depend on which kinds it gets.
func (b *Broker) recordEnd(p permit, l *load, elapsed time.Duration, result Result, report *Report, now clock.Instant) {
	var pool *poolKinds
	if b.snapshot != nil && b.snapshot.Configuration != nil {
		pool = b.kindsOf(l.target.Pool)
	}
	if pool == nil {
		l.recordResult(elapsed, result, report, now)
		return
	}
	before, measured := l.serviceTime, l.measured
	l.recordResult(time.Duration(float64(elapsed)/pool.factor(p.rank)), result, report, now)
	if result.hasAnswer() && measured {
		pool.record(p.rank, l.serviceSample(elapsed, now)/float64(before))
	}
}

// workAhead returns the work of the first requests of a queue, 1 being a request with the mean service time.
func workAhead(queue []*waiter, count int) float64 {
	sum := 0.0
	for _, w := range queue[:count] {
		sum += w.factor
	}
	return sum
}

// scaled returns a duration of the mean request for a waiting request.
func (w *waiter) scaled(d time.Duration) time.Duration {
	if w.factor == 1 {
		return d
	}
	return time.Duration(w.factor * float64(d))
}
