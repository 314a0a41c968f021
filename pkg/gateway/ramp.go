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
	// unprovenSteps multiplies successesPerStep while no reference latency is known.
	unprovenSteps = 4
)

// ramp limits the concurrency of one target. It starts at 1 and grows with successes at normal latency.
type ramp struct {
	limit int
	// slots is the highest limit, bears what the target bears while it is cold.
	slots, bears int
	successes    int
	slowRun      int
	// latency is the smoothed in-band latency; 0 before the first answer.
	latency time.Duration
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

// chill makes the target cold again.
func (r *ramp) chill() {
	r.limit = 1
	r.successes = 0
	r.slowRun = 0
}

// reference returns the latency that counts as normal: the higher of the target's own and its group's median, 0 if
// neither is known.
func (r *ramp) reference(median time.Duration) time.Duration {
	return max(r.normal, median)
}

func slowBound(reference time.Duration) time.Duration {
	return slowFactor*reference + latencyNoise
}

// success records an answer. It returns false if the answers have become unexplainedly slow, which means that the target
// has turned cold.
func (r *ramp) success(latency, median time.Duration) bool {
	r.observe(latency)
	reference := r.reference(median)
	if reference > 0 && latency > slowBound(reference) {
		return r.slowAnswer()
	}
	r.slowRun = 0
	r.successes++
	r.grow(reference)
	return true
}

func (r *ramp) slowAnswer() bool {
	r.successes = 0
	r.slowRun++
	if r.slowRun < coldAfterSlow {
		return true
	}
	r.slowRun = 0
	if r.limit == 1 {
		return true
	}
	r.chill()
	return false
}

func (r *ramp) grow(reference time.Duration) {
	if r.warm() {
		// Follows slow changes of the request mix only.
		r.normal = smooth(r.normal, r.latency, latencyWeight/4)
		return
	}
	needed := successesPerStep
	if reference == 0 && r.limit >= r.bears {
		needed *= unprovenSteps
	}
	if r.successes < needed {
		return
	}
	r.successes = 0
	r.limit++
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
