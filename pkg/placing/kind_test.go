package placing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// recordDecisions plays one load of two kinds, with reports, slow targets and failures, on targets with and without keys. It returns all
// decisions.
func recordDecisions(t *testing.T, objectives [2]time.Duration, configure ...func(*Broker)) []string {
	h := newHarness(t, 6, 2)
	for _, f := range configure {
		f(h.b)
	}
	var routes []*inventory.Route
	for i, objective := range objectives {
		routes = append(routes, &inventory.Route{Priority: i, Objective: objective, PoolWeights: []inventory.PoolWeight{{Pool: "plain", Weight: 1}, {Pool: "keyed", Weight: 1}}})
	}
	h.cfg = inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "plain", ColdRate: 2.5}, {Name: "keyed", Keyed: true, ColdRate: 2.5}}, routes)
	h.update()
	random := rand.New(rand.NewPCG(7, 8))
	o := &overloadSim{harness: h, random: random}
	var decisions []string
	for range 4000 {
		rank, pool, work := random.IntN(2), []string{"plain", "keyed"}[random.IntN(2)], time.Duration(60+random.IntN(400))*time.Millisecond
		report := &Report{Running: 1 + random.IntN(2), Slots: 2, Pace: 1 + random.Float64()}
		result := []Result{Answered, Answered, Answered, Answered, TargetError, Failed, Abandoned}[random.IntN(7)]
		o.after(time.Duration(random.Int64N(int64(60*time.Second))), func() {
			h.seq++
			seq := h.seq
			a := PlacementRequest{VM: "vm", Domain: "a", Region: "r", Seq: seq, Pool: pool, Priority: rank, Objective: 700 * time.Millisecond, TimeLeft: 2 * time.Second}
			h.b.Place(a, func(v Decision) {
				decisions = append(decisions, fmt.Sprint(seq, h.now, v.Target, v.Reason, v.Expected))
				if v.Target != "" {
					o.after(work, func() { h.b.Done("vm", seq, work, result, report, h.now) })
				}
			}, h.now)
		})
	}
	o.run(65 * time.Second)
	// The order of the queues isn't defined.
	slices.Sort(decisions)
	return decisions
}

// Guards against a deployment whose kinds have similar objectives being served otherwise than with one estimate for all requests: it
// served less with estimates by kind.
func TestSimilarObjectivesAreDecidedAsWithOneEstimate(t *testing.T) {
	single := recordDecisions(t, [2]time.Duration{})
	if len(single) != 4000 {
		t.Fatalf("%d decisions", len(single))
	}
	if similar := recordDecisions(t, [2]time.Duration{500 * time.Millisecond, 999 * time.Millisecond}); !slices.Equal(single, similar) {
		t.Error("decisions differ although the objectives are similar")
	}
	if mixed := recordDecisions(t, [2]time.Duration{500 * time.Millisecond, time.Second}); slices.Equal(single, mixed) {
		t.Error("the load doesn't show whether kinds are distinguished")
	}
}

// Guards against distinguishing kinds because of fast requests that take almost none of a pool's work, such as those that operators send to
// new routes: the forecasts for all others became longer, and more of them were refused.
func TestKindWithoutWorkIsNotDistinguished(t *testing.T) {
	for _, c := range []struct {
		work          float64
		distinguished bool
	}{{0.03, false}, {3, true}} {
		p := &poolKinds{}
		p.setObjectives(map[int]time.Duration{0: time.Second, 1: 300 * time.Millisecond})
		for i := range 400 {
			if i%8 == 0 {
				p.record(0, c.work)
				continue
			}
			p.record(1, 1)
		}
		if p.distinguished != c.distinguished || (p.factor(1) != 1) != c.distinguished {
			t.Errorf("one request of eight with the work %v: distinguished %v, factor of the others %v", c.work, p.distinguished, p.factor(1))
		}
	}
}

// Guards against estimates that need long to be learned, are distorted by the slowest requests, or depend on the mix of kinds, so that
// targets seem to differ in speed and key owners in capacity.
func TestKindsAndSpeedsAreLearned(t *testing.T) {
	for seed := range uint64(5) {
		h := newHarness(t, 3, 4)
		h.configureKinds([]*workKind{{priority: 0, objective: 300 * time.Millisecond}, {priority: 1, objective: 1500 * time.Millisecond}})
		random := rand.New(rand.NewPCG(seed, 9))
		// The first target gets mostly short requests, the second mostly long ones. The organisation's priority must not matter.
		answer := func(target string, shortShare, speed float64) {
			l, p, work := h.b.loads[target], permit{rank: rankOf(7*256 + 1)}, 520*time.Millisecond
			if random.Float64() < shortShare {
				p.rank, work = rankOf(3*256), 82*time.Millisecond
			}
			work = time.Duration(float64(work) * (0.5 + random.Float64()) / speed)
			if random.Float64() < 0.03 {
				work *= 7
			}
			h.b.recordEnd(p, l, work, Answered, nil, h.now)
		}
		mean := func(target string) float64 {
			sum := 0.0
			for range 1000 {
				answer("k0", 0.8, 1)
				answer("k1", 0.2, 1)
				answer("k2", 0.5, 0.6)
				sum += h.b.loads[target].serviceTime.Seconds()
			}
			return sum / 1000
		}
		for range 20 {
			answer("k0", 0.8, 1)
			answer("k1", 0.2, 1)
		}
		ratio := func() float64 { return h.b.kinds["keyed"].factor(0) / h.b.kinds["keyed"].factor(1) }
		if r := ratio(); r < 0.08 || r > 0.32 {
			t.Errorf("seed %d: after 40 answers, short requests are taken to need %.2f of the time of long ones, they need 0.16", seed, r)
		}
		mean("k0")
		if r := ratio(); math.Abs(r-0.158) > 0.04 {
			t.Errorf("seed %d: short requests are taken to need %.3f of the time of long ones, they need 0.158", seed, r)
		}
		// Half of all answers are short: the mean request takes 301 ms, with the slowest 355 ms.
		first, second, slow := mean("k0"), mean("k1"), mean("k2")
		if first/second < 0.85 || first/second > 1.15 || slow/second < 1.45 || slow/second > 1.9 || second < 0.3 || second > 0.41 {
			t.Errorf("seed %d: service times %.3f, %.3f and %.3f s of targets with the speeds 1, 1 and 0.6", seed, first, second, slow)
		}
	}
}

// Guards against forecasts that vary although all requests of a pool are of one kind.
func TestOnlyKindOfPoolHasNoFactor(t *testing.T) {
	p := &poolKinds{}
	for i := range 100 {
		p.record(3, float64(i%7))
	}
	if f := p.factor(3); f != 1 {
		t.Errorf("the only kind has the factor %v", f)
	}
}
