package placing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// workKind is a kind of request in mixedSim.
type workKind struct {
	priority            int
	work                time.Duration
	objective, timeLeft time.Duration
	perSecond           float64

	sent, refused, onTime int
}

// configureKinds gives the pool "keyed" one route for each kind of request.
func (h *harness) configureKinds(kinds []*workKind) {
	var routes []*inventory.Route
	for _, k := range kinds {
		routes = append(routes, &inventory.Route{Priority: k.priority, Objective: k.objective, PoolWeights: []inventory.PoolWeight{{Pool: "keyed", Weight: 1}}})
	}
	h.cfg = inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "keyed", Keyed: true, ColdRate: 2.5}}, routes)
	h.update()
}

// playMixed sends kinds of requests to one key owner, at random times, for 5 minutes.
func (h *harness) playMixed(kinds []*workKind) {
	random := rand.New(rand.NewPCG(5, 6))
	ends := map[clock.Instant][]func(){}
	for until := h.now.Add(5 * time.Minute); h.now < until; h.now = h.now.Add(time.Millisecond) {
		for _, end := range ends[h.now] {
			end()
		}
		delete(ends, h.now)
		for _, k := range kinds {
			if random.Float64() < k.perSecond/1000 {
				h.sendWork(k, random, ends)
			}
		}
		if (h.now/clock.Instant(time.Millisecond))%50 == 0 {
			h.b.Tick(h.now)
		}
	}
}

func (h *harness) sendWork(k *workKind, random *rand.Rand, ends map[clock.Instant][]func()) {
	h.seq++
	seq, start := h.seq, h.now
	k.sent++
	work := time.Duration(float64(k.work) * (0.5 + random.Float64())).Truncate(time.Millisecond)
	a := PlacementRequest{VM: "vm", Domain: "a", Region: "r", Seq: seq, Pool: "keyed", Priority: k.priority, Objective: k.objective, TimeLeft: k.timeLeft}
	h.b.Place(a, func(v Decision) {
		if v.Target == "" {
			k.refused++
			return
		}
		if h.now.Sub(start)+work <= k.objective {
			k.onTime++
		}
		end := h.now.Add(work)
		ends[end] = append(ends[end], func() { h.b.Done("vm", seq, work, Answered, nil, h.now) })
	}, h.now)
}

// Guards against refusing short urgent requests because the forecast for them counts with the service time of long ones in the same pool:
// hsinmao-gw-grown refused 2,875 of 5,055 on a quiet day.
func TestShortRequestsAreForecastByTheirOwnWork(t *testing.T) {
	h := newHarness(t, 1, 4)
	short := &workKind{priority: 0, work: 82 * time.Millisecond, objective: 300 * time.Millisecond, timeLeft: time.Second, perSecond: 4}
	long := &workKind{priority: 1, work: 520 * time.Millisecond, objective: 1500 * time.Millisecond, timeLeft: 4 * time.Second, perSecond: 6}
	kinds := []*workKind{short, long}
	h.configureKinds(kinds)
	h.playMixed(kinds)
	for name, k := range map[string]*workKind{"short": short, "long": long} {
		t.Logf("%s: %d sent, %d refused, %d on time", name, k.sent, k.refused, k.onTime)
		if k.refused*50 > k.sent {
			t.Errorf("%d of %d %s requests are refused although half of the slots are idle", k.refused, k.sent, name)
		}
		if k.onTime*10 < k.sent*9 {
			t.Errorf("%d of %d %s requests are answered on time", k.onTime, k.sent, name)
		}
	}
}
