package placing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// fairLoad is a load of organisations on one pool, with the work of each request.
type fairLoad struct {
	rates map[string]float64
	work  time.Duration
}

type fairEnd struct {
	at  clock.Instant
	seq uint64
}

type fairEnds []fairEnd

func (e fairEnds) Len() int           { return len(e) }
func (e fairEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e fairEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fairEnds) Push(x any)        { *e = append(*e, x.(fairEnd)) }
func (e *fairEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay runs the load for a period on a pool of the harness and returns how many requests of each organisation were answered within
// their objective. The same seed gives the same arrivals for each organisation, whatever the others send.
func (l fairLoad) replay(h *harness, period time.Duration, seed uint64) map[string]int {
	served, ends := map[string]int{}, fairEnds{}
	objective := 600 * time.Millisecond
	sources := map[string]*rand.Rand{}
	next := map[string]clock.Instant{}
	gap := func(name string) time.Duration {
		return time.Duration(sources[name].ExpFloat64() / l.rates[name] * float64(time.Second))
	}
	names := make([]string, 0, len(l.rates))
	for i := range len(l.rates) {
		name := fmt.Sprint("org", i)
		names = append(names, name)
		sources[name] = rand.New(rand.NewPCG(seed, uint64(i)))
		next[name] = h.now.Add(gap(name))
	}
	work := rand.New(rand.NewPCG(seed, 99))
	arrive := func(name string) {
		h.seq++
		arrived, seq := h.now, h.seq
		h.b.Place(PlacementRequest{VM: "vm", Domain: "a", Region: "r", Seq: seq, Pool: "plain", Organisation: name, Objective: objective, TimeLeft: 2*time.Second + time.Duration(seq)}, func(d Decision) {
			if d.Target == "" {
				return
			}
			end := h.now.Add(time.Duration((0.5 + work.Float64()) * float64(l.work)))
			heap.Push(&ends, fairEnd{end, seq})
			if end.Sub(arrived) <= objective {
				served[name]++
			}
		}, h.now)
	}
	for stop := h.now.Add(period); h.now < stop; h.now = h.now.Add(time.Millisecond) {
		for len(ends) > 0 && ends[0].at <= h.now {
			e := heap.Pop(&ends).(fairEnd)
			h.b.Done("vm", e.seq, l.work, Answered, nil, h.now)
		}
		for _, name := range names {
			for next[name] <= h.now {
				arrive(name)
				next[name] = next[name].Add(gap(name))
			}
		}
		if h.now%clock.Instant(50*time.Millisecond) == 0 {
			h.b.Tick(h.now)
		}
	}
	return served
}

// fairHarness returns a pool of 40 slots that serves 400 requests of 100 ms per second.
func fairHarness(t *testing.T, organised bool) *harness {
	h := newHarness(t, 20, 2)
	if organised {
		h.cfg.Organisations = map[string]*inventory.Organisation{"org0": {Name: "org0"}}
	}
	return h
}

// Guards against an organisation that sends 8 times its usual load and takes what the others need: they must lose less than 5% of what
// they get.
func TestOneOrganisationDoesNotCrowdOutTheOthers(t *testing.T) {
	for seed := range uint64(5) {
		usual := fairLoad{rates: map[string]float64{}, work: 100 * time.Millisecond}
		for i := range 10 {
			usual.rates[fmt.Sprint("org", i)] = 34
		}
		heavy := fairLoad{rates: map[string]float64{}, work: usual.work}
		for name, rate := range usual.rates {
			heavy.rates[name] = rate
		}
		heavy.rates["org0"] *= 8
		before := usual.replay(fairHarness(t, true), 20*time.Second, seed)
		after := heavy.replay(fairHarness(t, true), 20*time.Second, seed)
		unfair := heavy.replay(fairHarness(t, false), 20*time.Second, seed)
		others := func(served map[string]int) (n int) {
			for name, count := range served {
				if name != "org0" {
					n += count
				}
			}
			return n
		}
		loss := 1 - float64(others(after))/float64(others(before))
		t.Logf("seed %d: the others lose %.3f, %.3f without fair shares; org0 gets %d instead of %d", seed, loss, 1-float64(others(unfair))/float64(others(before)), after["org0"], before["org0"])
		if loss >= 0.05 {
			t.Errorf("seed %d: the others lose %.3f of what they get", seed, loss)
		}
		if total, all := others(after)+after["org0"], others(unfair)+unfair["org0"]; float64(total) < 0.95*float64(all) {
			t.Errorf("seed %d: %d requests are served in all, %d without fair shares", seed, total, all)
		}
	}
}

// Guards against decisions that change in deployments without organisations, or where there is only one, or none that is overloaded.
func TestFairSharesChangeNothingForOneOrganisation(t *testing.T) {
	load := fairLoad{rates: map[string]float64{"org0": 600}, work: 100 * time.Millisecond}
	one, none := load.replay(fairHarness(t, true), 10*time.Second, 1), load.replay(fairHarness(t, false), 10*time.Second, 1)
	if one["org0"] != none["org0"] {
		t.Errorf("%d requests served of one organisation, %d without organisations", one["org0"], none["org0"])
	}
}

// Guards against steps that remain after their requests, or that grow while requests are refused.
func TestStepsEndWithTheirQueue(t *testing.T) {
	h := fairHarness(t, true)
	fairLoad{rates: map[string]float64{"org0": 300, "org1": 300}, work: 100 * time.Millisecond}.replay(h, 5*time.Second, 1)
	for _, classes := range h.b.fair {
		for _, c := range classes {
			for name, next := range c.next {
				if next-c.step > maxQueueLength {
					t.Errorf("%s is %d steps ahead", name, next-c.step)
				}
			}
		}
	}
	h.b.RemoveVM("vm", h.now)
	if len(h.b.fair) != 0 {
		t.Errorf("%d queues have steps and no requests", len(h.b.fair))
	}
}

// Guards against a request that keeps its step after the steps of its queue have begun again. All later requests of all organisations would
// be placed before it.
func TestStepOfTheLastRequestBeginsAgain(t *testing.T) {
	h := fairHarness(t, true)
	var running []uint64
	place := func(organisation string) (decided func() bool) {
		h.seq++
		seq, placed := h.seq, false
		h.b.Place(PlacementRequest{VM: "vm", Seq: seq, Pool: "plain", Organisation: organisation, TimeLeft: time.Minute, Objective: time.Minute}, func(v Decision) {
			if v.Target != "" {
				running, placed = append(running, seq), true
			}
		}, h.now)
		return func() bool { return placed }
	}
	end := func() {
		h.now = h.now.Add(time.Millisecond)
		h.b.Done("vm", running[0], 100*time.Millisecond, Answered, nil, h.now)
		running = running[1:]
	}
	var last func() bool
	for last == nil || last() {
		last = place("org0")
	}
	for range 50 {
		last = place("org0")
	}
	for len(h.b.waiting) > 1 {
		end()
	}
	h.update()
	for range 5 {
		place("org1")
	}
	end()
	if !last() {
		t.Error("a request that has waited longest is overtaken by later ones of another organisation")
	}
}

// Guards against an organisation that is placed later in a queue because its requests were moved from there to another owner.
func TestMovedRequestsReturnTheirSteps(t *testing.T) {
	h := fairHarness(t, true)
	for _, organisation := range []string{"", "org0", "org1"} {
		for range 10 {
			key := 0
			if organisation == "org0" {
				key = 1
			}
			h.place(PlacementRequest{Pool: "keyed", Key: key, Organisation: organisation, Objective: time.Hour, TimeLeft: time.Hour})
		}
	}
	ownerOf := func(_ string, key int) Owner { return Owner{Target: []string{"k0", "k1"}[key]} }
	h.b.Update(inventory.NewSnapshot(h.cfg, h.target, map[string]bool{}), ownerOf, h.now)
	c := h.b.fair[queueID{pool: "keyed", owner: "k0"}][0]
	if c.next["org1"] != 10 || c.next["org0"] != 0 {
		t.Errorf("the next steps are %v, want 10 for org1 with 10 waiting requests and 0 for org0 with none", c.next)
	}
}
