package placing

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// workID identifies requests that are expected to take similar time: those of one priority in one pool. The load pattern is a pool that
// serves short urgent requests and long ones. With one service time for all, a forecast for a short request is several times too
// long, and it is refused although it would be answered in time.
type workID struct {
	pool     string
	priority int
}

const (
	// workFactorWeight is the weight of a new sample in the moving averages of work factors.
	workFactorWeight = 0.01
	// minWorkSample and maxWorkSample bound a sample relative to the mean, so that a single outlier has little effect.
	minWorkSample, maxWorkSample = 0.05, 20
)

// workFactors holds how much longer or shorter than the mean of their pool requests take.
type workFactors struct {
	byID map[workID]float64
	// mean is the same average for all requests of a pool, by which each is divided. So the only kind of a pool has the factor 1.
	mean map[string]float64
}

func newWorkFactors() workFactors {
	return workFactors{byID: map[workID]float64{}, mean: map[string]float64{}}
}

func averageOrOne(average float64) float64 {
	if average > 0 {
		return average
	}
	return 1
}

// of returns the factor of a kind of request, 1 if it isn't known.
func (f *workFactors) of(id workID) float64 {
	return averageOrOne(f.byID[id]) / averageOrOne(f.mean[id.pool])
}

// record adds the service time of an answered request relative to the mean service time of its target.
func (f *workFactors) record(id workID, relative float64) {
	sample := min(max(relative, minWorkSample), maxWorkSample)
	f.byID[id] = average(f.byID[id], sample)
	f.mean[id.pool] = average(f.mean[id.pool], sample)
}

func average(old, sample float64) float64 {
	return (1-workFactorWeight)*averageOrOne(old) + workFactorWeight*sample
}

// minUsefulTime is the minimum time before its deadline at which a waiting request is worth sending.
func (b *Broker) minUsefulTime(w *waiter, ps *poolState) time.Duration {
	return time.Duration(w.workFactor * float64(ps.minUsefulTime()))
}

// serviceTime returns the shortest expected service time of a waiting request.
func (ps *poolState) serviceTime(w *waiter) time.Duration {
	return time.Duration(w.workFactor * float64(ps.fastest))
}

// recordWork records how long a request took at a target. It returns the time that a request with the mean service time would have taken,
// so that the target's service time doesn't depend on the requests that it gets.
func (b *Broker) recordWork(id workID, l *load, elapsed time.Duration, result Result, now clock.Instant) time.Duration {
	factor := b.workFactors.of(id)
	if result == Answered && l.measured {
		b.workFactors.record(id, l.serviceSample(elapsed, now)/float64(l.serviceTime))
	}
	return time.Duration(float64(elapsed) / factor)
}
