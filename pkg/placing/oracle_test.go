package placing

import (
	"slices"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// oracle places the recorded requests of a replay with knowledge of all arrivals, of their work and of the speeds of targets, without
// messages: those with the highest value for the time they take come first, each at the earliest time that earns most. It doesn't search
// for the optimum, so a broker that knew all could earn more.
type oracle struct {
	*replay
	// taken holds the executions of each slot in the order of time.
	taken [][]execution
}

type execution struct{ from, to clock.Instant }

// value returns what the oracle earns. Targets have the given mean slowdown of their machines, as the oracle doesn't place requests around
// the slow periods.
func (o *oracle) value(slowdown float64) float64 {
	o.taken = make([][]execution, o.spec.targets*o.spec.slots)
	work := func(q *replayRequest) time.Duration {
		return time.Duration(float64(q.work) * slowdown / o.targets[q.owner].speed)
	}
	density := func(q *replayRequest) float64 { return q.kind.onTimeValue / work(q).Seconds() }
	order := slices.Clone(o.requests)
	slices.SortFunc(order, func(a, b *replayRequest) int {
		if density(a) > density(b) {
			return -1
		}
		return 1
	})
	total := 0.0
	for _, q := range order {
		switch {
		case o.execute(q, work(q), q.kind.objective):
			total += q.kind.onTimeValue
		case o.execute(q, work(q), q.kind.deadline):
			total += q.kind.lateValue
		}
	}
	return total
}

// execute reserves the earliest time in the slots of the owner within which a request is answered in the given time.
func (o *oracle) execute(q *replayRequest, work, within time.Duration) bool {
	best, bestSlot, bestAt := q.at.Add(within-work), -1, 0
	first := q.owner * o.spec.slots
	for slot := first; slot < first+o.spec.slots; slot++ {
		from := q.at
		for i := 0; from <= best; i++ {
			if i == len(o.taken[slot]) || from.Add(work) <= o.taken[slot][i].from {
				best, bestSlot, bestAt = from, slot, i
				break
			}
			from = max(from, o.taken[slot][i].to)
		}
	}
	if bestSlot < 0 {
		return false
	}
	o.taken[bestSlot] = slices.Insert(o.taken[bestSlot], bestAt, execution{best, best.Add(work)})
	return true
}

// Shows how far placing is from what perfect knowledge permits. No aim is stated for it; the test guards against estimates by kind that bring
// the broker no closer to the oracle.
func TestBrokerComparedWithOracle(t *testing.T) {
	// A fifth of the machines are slowed threefold at a time.
	const slowdown = 1 + slowMachineShare*(slowMachineFactor-1)
	var before, after, best, all float64
	for seed := range uint64(4) {
		spec := finderSpec(seed)
		r := newReplay(spec)
		best += (&oracle{replay: r}).value(slowdown)
		after += r.play()
		for _, k := range r.kinds {
			all += float64(k.sent) * k.onTimeValue
		}
		spec.single = true
		before += newReplay(spec).play()
	}
	t.Logf("finder: all on time %.0f, oracle %.0f, one service time %.0f (%.3f), broker %.0f (%.3f)", all, best, before, before/best, after, after/best)
	if after <= before || best < after {
		t.Errorf("the broker earns %.3f of what an oracle earns, %.3f with one service time", after/best, before/best)
	}
}
