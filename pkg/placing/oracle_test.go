package placing

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// oracle places the recorded requests of a replay with knowledge of all arrivals, of their work and of the speeds and paces of targets, without
// messages. It tries several orders and doesn't search for the optimum, so a broker that knew all could earn more. Requests without a key
// stay in their region unless they earn more in the other one.
type oracle struct {
	*replay
	// taken holds the executions of each slot in the order of time.
	taken [][]execution
	// crossed is the number of requests that run in the other region.
	crossed int
}

type execution struct{ from, to clock.Instant }

// value returns what the oracle earns: with the requests with the highest value for the time they take first, in the order of arrival, or
// in the order of arrival with those that take several times as long as usual last.
func (o *oracle) value() float64 {
	density := func(q *replayRequest) float64 {
		if o.spec.keyed {
			return -q.kind.onTimeValue / o.work(q, q.owner, q.at).Seconds()
		}
		return -q.kind.onTimeValue / q.work.Seconds()
	}
	arrival := func(q *replayRequest) float64 { return float64(q.at) }
	slowestLast := func(q *replayRequest) float64 {
		if q.work > 2*q.kind.work {
			return float64(q.at) + float64(time.Hour)
		}
		return float64(q.at)
	}
	best, crossed := 0.0, 0
	for _, rank := range []func(*replayRequest) float64{density, arrival, slowestLast} {
		if total := o.place(rank); total > best {
			best, crossed = total, o.crossed
		}
	}
	o.crossed = crossed
	return best
}

// place places all requests in an order and returns the value of the answers.
func (o *oracle) place(rank func(*replayRequest) float64) float64 {
	o.taken, o.crossed = make([][]execution, o.spec.targets*o.spec.slots), 0
	order := slices.Clone(o.requests)
	slices.SortStableFunc(order, func(a, b *replayRequest) int { return cmp.Compare(rank(a), rank(b)) })
	total := 0.0
	for _, q := range order {
		switch {
		case o.execute(q, q.kind.objective, false) || o.execute(q, q.kind.objective, true):
			total += q.kind.onTimeValue
		case o.execute(q, q.kind.deadline, false) || o.execute(q, q.kind.deadline, true):
			total += q.kind.lateValue
		}
	}
	return total
}

// work returns how long a target takes for a request that starts at the given time. Requests with a key aren't placed around the periods in
// which machines are slow: for them, the mean counts.
func (o *oracle) work(q *replayRequest, target int, at clock.Instant) time.Duration {
	pace := 1.0
	if o.spec.keyed && o.spec.unequal {
		pace = 1 + slowMachineShare*(slowMachineFactor-1)
	} else if period := int(at.Sub(o.start) / slowMachinePeriod); period < len(o.paces) {
		pace = o.paces[period][target]
	}
	return time.Duration(float64(q.work) * pace / o.targets[target].speed)
}

// execute reserves a time within which a request is answered in the given time, at its owner, or at a target in its own or the other
// region. It prefers early answers and machines that aren't slow at the time.
func (o *oracle) execute(q *replayRequest, within time.Duration, cross bool) bool {
	var best execution
	bestSlot, bestAt, bestCost := -1, 0, time.Duration(0)
	for target, t := range o.targets {
		hop, crosses := o.hop(q, t)
		if crosses != cross || o.spec.keyed && target != q.owner {
			continue
		}
		if o.spec.keyed {
			hop = 0
		}
		for slot := target * o.spec.slots; slot < (target+1)*o.spec.slots; slot++ {
			taken, from, to := o.taken[slot], q.at.Add(hop), q.at.Add(within-hop)
			for i := sort.Search(len(taken), func(i int) bool { return taken[i].to > from }); from < to; {
				work := o.work(q, target, from)
				end := from.Add(work)
				fits := end <= to && (i == len(taken) || end <= taken[i].from)
				cost := end.Sub(q.at) + time.Duration(float64(work)*t.speed) - q.work
				if fits && (bestSlot < 0 || cost < bestCost) {
					best, bestSlot, bestAt, bestCost = execution{from, end}, slot, i, cost
				}
				// It may fit better after the next change of pace, or after the next execution.
				from = o.start.Add((from.Sub(o.start)/slowMachinePeriod + 1) * slowMachinePeriod)
				if i < len(taken) && from >= taken[i].from {
					from = taken[i].to
					i++
				}
			}
		}
	}
	if bestSlot < 0 {
		return false
	}
	if cross {
		o.crossed++
	}
	o.taken[bestSlot] = slices.Insert(o.taken[bestSlot], bestAt, best)
	return true
}

// crossingCost is what the bytes of a request that crosses regions cost, in parts of the mean value of an answer: 1.3 KB for each request
// cost about a tenth of the value of all.
const crossingCost = 0.1

// fourDomains spreads a load over four failure domains in two regions, with waves.
func fourDomains(specOf func(uint64) replaySpec, rate func(time.Duration) float64) func(uint64) replaySpec {
	return func(seed uint64) replaySpec {
		spec := specOf(seed)
		spec.targets, spec.domains, spec.wave, spec.rate = 40, 4, 0.55, rate
		return spec
	}
}

func constantly(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// Shows how far placing is from what perfect knowledge permits. No aim is stated for it; the test guards against estimates by kind, and
// against waiting for the own region, that bring the broker no closer to the oracle. "Before" is a broker that doesn't admit by value: it uses
// one service time for all kinds, and its requests cross regions as soon as their own one is full.
func TestBrokerComparedWithOracle(t *testing.T) {
	for name, load := range map[string]struct {
		specOf func(uint64) replaySpec
		seeds  uint64
	}{
		"finder":                      {finderSpec, 4},
		"vault, 4 domains, 1.6 times": {fourDomains(vaultSpec, constantly(1.6)), 1},
		"vault, 4 domains, bursts":    {fourDomains(vaultSpec, bursts(3)), 1},
		"stock, 4 domains, 1.6 times": {fourDomains(stockSpec, constantly(1.6)), 1},
		"seal, 4 domains, bursts":     {fourDomains(sealSpec, bursts(2)), 1},
	} {
		var before, after, best outcome
		for seed := range load.seeds {
			spec := load.specOf(seed)
			single := spec
			single.single = true
			before.add(newReplay(single))
			spec.configure = func(b *Broker) { b.SetValueAdmission(!spec.keyed) }
			r := newReplay(spec)
			o := &oracle{replay: r}
			best.value += o.value()
			best.crossed += o.crossed
			after.add(r)
			best.all, best.sent = after.all, after.sent
		}
		t.Logf("%s: all on time %.0f, oracle %v, before %v, broker %v, %.3f of the oracle", name, after.all, best, before, after, after.value/best.value)
		if after.net() <= before.net() || best.net() < after.net() {
			t.Errorf("%s: the broker earns %v, an oracle %v, before %v", name, after, best, before)
		}
	}
}

// outcome is the value of the answers of some replays.
type outcome struct {
	value, all    float64
	crossed, sent int
}

func (o *outcome) add(r *replay) {
	o.value += r.play()
	for _, k := range r.kinds {
		o.all += float64(k.sent) * k.onTimeValue
		o.sent += k.sent
		o.crossed += k.crossed
	}
}

// net returns the value without what the bytes between regions cost.
func (o outcome) net() float64 {
	return o.value - crossingCost*o.all*float64(o.crossed)/float64(o.sent)
}

func (o outcome) String() string {
	return fmt.Sprintf("%.0f (%.4f, %.3f cross)", o.value, o.value/o.all, float64(o.crossed)/float64(o.sent))
}
