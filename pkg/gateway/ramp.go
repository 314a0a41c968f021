package gateway

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of one answer in the smoothed latency.
	latencyWeight = 0.2
	// slowFactor is how many times the reference latency counts as slow.
	slowFactor = 3
	// latencyNoise is added to the slow bound: below it, scheduling noise outweighs the target's own time.
	latencyNoise = 3 * time.Millisecond
	// coldAfterSlow is the number of consecutive slow answers after which a target counts as cold.
	coldAfterSlow = 3
	// successesPerStep is the number of consecutive normal answers before the limit grows by one.
	successesPerStep = 4
	// unprovenPerStep is the number of answers before the limit grows while no reference latency is known: a target that
	// is still cold can't be told from a warm one then, except that it gets faster.
	unprovenPerStep = 32
	// settledShare is the share of its earlier latency that a target may lose and still count as settled.
	settledShare = 0.8
)

// medians are the median latencies of a group.
type medians struct {
	// current is the median of the smoothed latencies, normal the median of those of warm targets when they last were
	// warm. 0 means unknown.
	current, normal time.Duration
}

// ramp limits the concurrency of one target. It starts at 1 and grows with successes at normal latency.
type ramp struct {
	limit int
	// slots is the highest limit, bears what the target bears while it is cold.
	slots, bears int
	successes    int
	slowRun      int
	// latency is the smoothed in-band latency; 0 before the first answer.
	latency time.Duration
	// stepLatency is the smoothed latency when the count of successes last began.
	stepLatency time.Duration
	// normal is the smoothed latency when the target last was warm; 0 if it never was.
	normal time.Duration
}

func newRamp(slots, bears int) ramp {
	r := ramp{}
	r.resize(slots, bears)
	r.limit = 1
	return r
}

// resize applies a changed configuration.
func (r *ramp) resize(slots, bears int) {
	r.slots = max(1, slots)
	r.bears = min(max(1, bears), r.slots)
	r.limit = min(r.limit, r.slots)
}

// warm tells whether the target bears its full concurrency.
func (r *ramp) warm() bool {
	return r.limit >= r.slots
}

// markCold makes the target cold again.
func (r *ramp) markCold() {
	r.limit = 1
	r.successes = 0
	r.slowRun = 0
}

// reference returns the latency that counts as normal, 0 if none is known or if the whole group has become slower.
func (r *ramp) reference(m medians) time.Duration {
	reference := max(r.normal, m.normal)
	if reference > 0 && m.current > slowBound(reference) {
		return 0
	}
	return reference
}

func slowBound(reference time.Duration) time.Duration {
	return slowFactor*reference + latencyNoise
}

// success records an answer. It returns false if the answers have become unexplainedly slow, which means that the target
// has turned cold.
func (r *ramp) success(latency time.Duration, m medians) bool {
	r.observe(latency)
	if own := max(r.normal, m.normal); own > 0 && latency > slowBound(own) {
		return r.slowAnswer(m)
	}
	r.slowRun = 0
	r.grow(m)
	return true
}

func (r *ramp) slowAnswer(m medians) bool {
	r.slowRun++
	known := r.reference(m) > 0
	if r.slowRun >= coldAfterSlow && (r.warm() && r.limit > 1 || known && r.limit > r.bears) {
		r.markCold()
		return false
	}
	if known {
		r.growCold()
		return true
	}
	// The whole group is slow: it may be cold, or the requests have changed.
	r.grow(m)
	return true
}

// growCold raises the limit of a slow target up to what it bears while cold.
func (r *ramp) growCold() {
	if r.limit >= r.bears {
		r.successes = 0
		return
	}
	r.successes++
	r.step(successesPerStep)
}

func (r *ramp) grow(m medians) {
	reference := r.reference(m)
	if r.warm() {
		// Follows slow changes of the request mix only.
		r.normal = smooth(r.normal, r.latency, latencyWeight/4)
		return
	}
	if r.successes == 0 {
		r.stepLatency = r.latency
	}
	r.successes++
	if reference > 0 {
		r.step(successesPerStep)
		return
	}
	if float64(r.latency) < settledShare*float64(r.stepLatency) {
		r.successes = 0
		return
	}
	r.step(unprovenPerStep)
}

func (r *ramp) step(needed int) {
	if r.successes < needed {
		return
	}
	r.successes = 0
	r.limit++
	if r.warm() {
		r.normal = r.latency
	}
}

func (r *ramp) observe(latency time.Duration) {
	r.latency = smooth(r.latency, latency, latencyWeight)
}

func smooth(old, sample time.Duration, weight float64) time.Duration {
	if old == 0 {
		return sample
	}
	return time.Duration(math.Round(float64(old)*(1-weight) + float64(sample)*weight))
}
