package placing

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// A request counts as one that can be on time if its objective leaves room for the work of most requests of its kind. Kinds differ in how
// far their work varies: with a fixed 1.25 mean service times, a quarter of the answers of a kind with widely varying work were late that
// were admitted as on time.
const (
	// onTimeShare is the share of the requests of a kind whose work fits into the room.
	onTimeShare = 0.85
	// spreadStep and spreadLearningStep are the steps of the estimate, in mean service times, after and during the first
	// spreadLearningSamples answers.
	spreadStep, spreadLearningStep = 0.02, 0.05
	spreadLearningSamples          = 100
	// maxOnTimeFactor bounds the room in mean service times.
	maxOnTimeFactor = 3
)

// spreadKey identifies the requests of one priority in a pool.
type spreadKey struct {
	pool string
	rank kindRank
}

// workSpread estimates the quantile onTimeShare of the work of a kind, in its mean service times at the target that answered.
type workSpread struct {
	quantile float64
	samples  int
}

func (s *workSpread) record(relative float64) {
	step := spreadStep
	if s.samples < spreadLearningSamples {
		step = spreadLearningStep
	}
	s.samples++
	if relative <= s.quantile {
		s.quantile -= step * (1 - onTimeShare)
	} else {
		s.quantile += step * onTimeShare
	}
	s.quantile = min(max(s.quantile, 0), maxOnTimeFactor)
}

// recordSpread records the service time of an answered request at its target. Key owners are left out: for them, the room lowers the value.
func (b *Broker) recordSpread(p permit, l *load, elapsed time.Duration, now clock.Instant) {
	if b.spreads == nil || !b.admitsByValue() || b.snapshot == nil || b.snapshot.Configuration == nil || b.keyed(l.target.Pool) {
		return
	}
	id := spreadKey{l.target.Pool, p.rank}
	s := b.spreads[id]
	if s == nil {
		s = &workSpread{quantile: onTimeServiceFactor}
		b.spreads[id] = s
	}
	mean := b.kindsOf(id.pool).factor(id.rank) * float64(l.serviceTime)
	s.record(l.serviceSample(elapsed, now) / mean)
}

// onTimeFactor returns how many mean service times must be left to the objective when a request is placed for it to count as one that can be
// answered on time.
func (b *Broker) onTimeFactor(w *waiter) float64 {
	if s := b.spreads[spreadKey{w.Pool, rankOf(w.Priority)}]; s != nil {
		return max(onTimeServiceFactor, s.quantile)
	}
	return onTimeServiceFactor
}

// pruneSpreads drops the estimates of pools that the configuration doesn't have any more.
func (b *Broker) pruneSpreads(c *inventory.Configuration) {
	for id := range b.spreads {
		if c == nil || c.Pools[id.pool] == nil {
			delete(b.spreads, id)
		}
	}
}
