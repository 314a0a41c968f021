package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
)

// harness is a broker with targets on a virtual clock.
type harness struct {
	t      *testing.T
	b      *Broker
	now    clock.Instant
	seq    uint64
	owner  string
	slots  int
	cfg    *inventory.Configuration
	target []*inventory.Target
}

func newHarness(t *testing.T, targets, slots int) *harness {
	h := &harness{t: t, now: clock.Instant(time.Second), slots: slots}
	h.cfg = inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{
		{Name: "plain", ColdRate: 2.5}, {Name: "keyed", Keyed: true, ColdRate: 2.5},
	}, nil)
	for i := range targets {
		h.target = append(h.target, &inventory.Target{ID: fmt.Sprintf("t%d", i), Pool: "plain", Domain: "a", Slots: slots, Started: 1})
		h.target = append(h.target, &inventory.Target{ID: fmt.Sprintf("k%d", i), Pool: "keyed", Domain: "a", Slots: slots, Started: 1})
	}
	h.owner = "k0"
	h.b = NewBroker(map[string]string{"a": "r", "b": "s"}, NewBrokerBudget(0.2, 60, 10*time.Second), quarantine.NewTracker(), ratelimit.NewTracker(), func(string, int) {})
	h.update()
	return h
}

func (h *harness) update() {
	h.b.Update(inventory.NewSnapshot(h.cfg, h.target, map[string]bool{}), func(string, int) Owner { return Owner{Target: h.owner} }, h.now)
}

// place asks for a target. It returns the decision, nil while the request waits.
func (h *harness) place(a PlacementRequest) (uint64, *Decision) {
	h.seq++
	a.VM, a.Domain, a.Region, a.Seq = "vm", "a", "r", h.seq
	if a.Objective == 0 {
		a.Objective = 600 * time.Millisecond
	}
	if a.TimeLeft == 0 {
		a.TimeLeft = 1500 * time.Millisecond
	}
	decision := new(Decision)
	answered := false
	h.b.Place(a, func(v Decision) { *decision, answered = v, true }, h.now)
	if !answered {
		return h.seq, nil
	}
	return h.seq, decision
}

// Guards against requests that overload some targets while others are idle.
func TestRequestsSpreadOverAllTargets(t *testing.T) {
	h := newHarness(t, 4, 2)
	count := map[string]int{}
	for range 8 {
		_, v := h.place(PlacementRequest{Pool: "plain"})
		if v == nil || v.Target == "" {
			t.Fatalf("a request waits although there are free slots: %v", v)
		}
		count[v.Target]++
	}
	for id, n := range count {
		if n != 2 {
			t.Errorf("%s got %d of 8 requests", id, n)
		}
	}
}

// Guards against slots that are never released after requests end, are cancelled or their VM disconnects.
func TestSlotsAreReleased(t *testing.T) {
	h := newHarness(t, 1, 1)
	for round := range 50 {
		first, v := h.place(PlacementRequest{Pool: "plain"})
		if v == nil || v.Target == "" {
			t.Fatalf("round %d: not placed: %v", round, v)
		}
		switch round % 3 {
		case 0:
			h.b.Done("vm", first, 100*time.Millisecond, Answered, nil, h.now)
		case 1:
			h.b.Cancel("vm", first, h.now)
		case 2:
			h.b.RemoveVM("vm", h.now)
		}
		h.now = h.now.Add(time.Second)
	}
}

// Guards against a burst that makes all requests miss their objective: those that can't be answered in time are refused at once.
func TestBurstIsRefusedEarly(t *testing.T) {
	h := newHarness(t, 1, 2)
	placed, waiting, refused := 0, 0, 0
	for range 100 {
		switch _, v := h.place(PlacementRequest{Pool: "keyed", Key: 7}); {
		case v == nil:
			waiting++
		case v.Target != "":
			placed++
		default:
			refused++
			if v.Reason != ReasonOverload || v.Expected == 0 {
				t.Fatalf("refusal %+v", v)
			}
		}
	}
	if placed != 3 || waiting == 0 || waiting > 8 {
		t.Errorf("%d placed, %d waiting, %d refused", placed, waiting, refused)
	}
}

// Guards against urgent requests that wait behind less urgent ones, and against serving a caller late that gives up first.
func TestQueueOrder(t *testing.T) {
	h := newHarness(t, 1, 1)
	var holders []uint64
	for range 2 {
		seq, _ := h.place(PlacementRequest{Pool: "keyed"})
		holders = append(holders, seq)
	}
	order := []string{}
	wait := func(name string, priority int, left time.Duration) {
		h.seq++
		h.b.Place(PlacementRequest{VM: "vm", Domain: "a", Region: "r", Seq: h.seq, Pool: "keyed", Priority: priority, TimeLeft: left, Objective: 2 * time.Second},
			func(v Decision) { order = append(order, name) }, h.now)
	}
	wait("late", 2, 3*time.Second)
	wait("soon", 2, 2*time.Second)
	wait("urgent", 1, 3*time.Second)
	for i := 0; i < 3; i++ {
		h.b.Done("vm", holders[0], 200*time.Millisecond, Answered, nil, h.now)
		if len(order) != i+1 {
			t.Fatalf("%d requests placed after %d have ended", len(order), i+1)
		}
		holders[0] = h.seq - 2 + map[string]uint64{"late": 0, "soon": 1, "urgent": 2}[order[i]]
	}
	if fmt.Sprint(order) != "[urgent soon late]" {
		t.Errorf("order %v", order)
	}
}

// Guards against sending a cold target more requests than its cold rate allows, for random arrivals.
func TestColdTargetsAreRateLimited(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 3))
		h := newHarness(t, 1, 2)
		cold := *h.target[0]
		cold.WarmupLeft = 20 * time.Second
		h.target[0] = &cold
		h.update()
		var sent []clock.Instant
		for range 400 {
			h.now = h.now.Add(time.Duration(r.IntN(60)) * time.Millisecond)
			h.b.Tick(h.now)
			seq, v := h.place(PlacementRequest{Pool: "plain"})
			if v != nil && v.Target != "" {
				sent = append(sent, h.now)
				h.b.Done("vm", seq, 50*time.Millisecond, Answered, nil, h.now)
			} else if v == nil {
				h.b.Cancel("vm", seq, h.now)
			}
		}
		for i, at := range sent {
			n := 0
			for _, other := range sent[i:] {
				if other.Sub(at) < time.Second {
					n++
				}
			}
			if n > 4 {
				t.Fatalf("seed %d: %d requests within a second for a target with a cold rate of 2.5", seed, n)
			}
		}
		if len(sent) < 5 {
			t.Fatalf("seed %d: the cold target only got %d requests", seed, len(sent))
		}
	}
}

// Guards against requests served outside their home regions or in failure domains that are out of service.
func TestHomeRegionsAndOutOfServiceDomainsAreRespected(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.target[2].Domain = "b"
	h.update()
	for range 3 {
		if _, v := h.place(PlacementRequest{Pool: "plain", AllowedRegions: []string{"s"}}); v == nil || v.Target != "t1" {
			t.Fatalf("decision %+v", v)
		}
	}
	h.b.Update(inventory.NewSnapshot(h.cfg, h.target, map[string]bool{"b": true}), func(string, int) Owner { return Owner{Target: "k0"} }, h.now)
	if _, v := h.place(PlacementRequest{Pool: "plain", AllowedRegions: []string{"s"}}); v == nil || v.Target != "" || v.Reason != ReasonNoTarget {
		t.Fatalf("decision %+v", v)
	}
}

// Guards against placing all requests at a target known to be fast while another one is idle.
func TestIdleTargetIsUsed(t *testing.T) {
	h := newHarness(t, 2, 1)
	for range 20 {
		seq, v := h.place(PlacementRequest{Pool: "plain", Avoid: []string{"t1"}})
		h.b.Done("vm", seq, 80*time.Millisecond, Answered, nil, h.now)
		if v == nil || v.Target != "t0" {
			t.Fatalf("decision %+v", v)
		}
	}
	targets := map[string]int{}
	for range 4 {
		if _, v := h.place(PlacementRequest{Pool: "plain"}); v != nil {
			targets[v.Target]++
		}
	}
	if targets["t1"] == 0 {
		t.Errorf("the idle target gets no requests: %v", targets)
	}
}

// Guards against requests that get no reply while their key has no owner, or go to the former owner.
func TestPendingKeyWaitsForOwner(t *testing.T) {
	h := newHarness(t, 2, 2)
	pending := func(string, int) Owner { return Owner{Pending: true, Wait: 200 * time.Millisecond} }
	h.b.Update(inventory.NewSnapshot(h.cfg, h.target, nil), pending, h.now)
	var got *Decision
	h.b.Place(PlacementRequest{VM: "vm", Seq: 1000, Pool: "keyed", TimeLeft: 1500 * time.Millisecond, Objective: 600 * time.Millisecond},
		func(v Decision) { got = &v }, h.now)
	if got != nil {
		t.Fatalf("decision %+v for a key without an owner", got)
	}
	h.owner = "k1"
	h.update()
	if got == nil || got.Target != "k1" {
		t.Fatalf("decision %+v after the key got its owner", got)
	}
	h.b.Update(inventory.NewSnapshot(h.cfg, h.target, nil), func(string, int) Owner { return Owner{Pending: true, Wait: 3 * time.Second} }, h.now)
	if _, v := h.place(PlacementRequest{Pool: "keyed"}); v == nil || v.Reason != ReasonKeyPending {
		t.Fatalf("decision %+v for a key without an owner for 3 s", v)
	}
}

// Guards against more retries in any window than the budgets of the broker and 12 VMs together may allow.
func TestRetriesStayWithinBudgets(t *testing.T) {
	const ratio, extra, window = 0.2, 60.0, 10 * time.Second
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 9))
		budgets := []*RetryBudget{NewBrokerBudget(ratio, extra, window)}
		for range 12 {
			budgets = append(budgets, NewLocalBudget(ratio, extra, window))
		}
		var attempts, retries []clock.Instant
		now := clock.Instant(time.Second)
		for range 6000 {
			now = now.Add(time.Duration(r.IntN(10)) * time.Millisecond)
			b := budgets[r.IntN(len(budgets))]
			if r.IntN(3) == 0 {
				b.AddAttempt("p", now)
				attempts = append(attempts, now)
			}
			if b.TakeRetry("p", now) {
				retries = append(retries, now)
			}
		}
		for _, start := range retries {
			n, m := 0, 0
			for _, at := range retries {
				if at >= start && at < start.Add(window) {
					n++
				}
			}
			for _, at := range attempts {
				if at >= start && at < start.Add(window) {
					m++
				}
			}
			if float64(n) > ratio*float64(m)+extra {
				t.Fatalf("seed %d: %d retries for %d requests", seed, n, m)
			}
		}
	}
}

// Guards against retrying a request that may have run, and against retries that come too late to help.
func TestNextStep(t *testing.T) {
	base := Attempt{Idempotent: true, Attempts: 1, MaxAttempts: 2, Replayable: true, MaxUnsent: 4, TimeLeft: time.Second, UsualServiceTime: 200 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(*Attempt)
		want   Step
	}{
		{"an idempotent request after an unknown outcome", func(a *Attempt) { a.Outcome = Unknown }, Retry},
		{"an order after an unknown outcome", func(a *Attempt) { a.Outcome, a.Idempotent = Unknown, false }, GiveUp},
		{"an order after a failed answer", func(a *Attempt) { a.Outcome, a.Idempotent = FailedAnswer, false }, GiveUp},
		{"an order that was refused", func(a *Attempt) { a.Outcome, a.Idempotent = NotRun, false }, Retry},
		{"an order that was never sent", func(a *Attempt) { a.Outcome, a.Idempotent = Unsent, false }, Retry},
		{"a body that can't be replayed", func(a *Attempt) { a.Replayable = false }, GiveUp},
		{"too many attempts", func(a *Attempt) { a.Attempts = 2 }, GiveUp},
		{"too little time", func(a *Attempt) { a.TimeLeft = 50 * time.Millisecond }, GiveUp},
		{"after the deadline", func(a *Attempt) { a.Outcome = Expired }, GiveUp},
	} {
		a := base
		c.change(&a)
		if got := NextStep(a); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against refused callers that all retry at the same time, or too late to be served.
func TestRetryAfterHasJitter(t *testing.T) {
	low, high := time.Hour, time.Duration(0)
	for range 1000 {
		d := RetryAfter(time.Second, 1500*time.Millisecond)
		low, high = min(low, d), max(high, d)
	}
	if high-low < 100*time.Millisecond || high > 600*time.Millisecond || low < 50*time.Millisecond {
		t.Errorf("delays from %v to %v", low, high)
	}
}

// Guards against cost that grows with the product of waiting requests and targets. With 140 targets and a full queue, the
// coordinator needed more than one core and stopped responding, and all VMs placed requests on their own.
func TestLongQueueCost(t *testing.T) {
	const targets, waiters = 140, 400
	h := newHarness(t, targets, 4)
	var running []uint64
	for range targets * 4 {
		seq, v := h.place(PlacementRequest{Pool: "plain", TimeLeft: 10 * time.Second, AllowedRegions: []string{"r"}})
		if v == nil || v.Target == "" {
			t.Fatalf("not placed: %v", v)
		}
		running = append(running, seq)
	}
	for range waiters {
		if _, v := h.place(PlacementRequest{Pool: "plain", TimeLeft: 10 * time.Second, AllowedRegions: []string{"r"}}); v != nil {
			t.Fatalf("a request doesn't wait: %v", v)
		}
	}
	h.b.inspectedTargets = 0
	h.b.Done("vm", running[0], 200*time.Millisecond, Answered, nil, h.now)
	// The pool is inspected once to choose a target for a waiting request and once more after that request was placed.
	if h.b.inspectedTargets > 3*targets {
		t.Errorf("releasing a slot inspects %d targets; the pool has %d", h.b.inspectedTargets, targets)
	}
	h.b.inspectedTargets = 0
	h.b.Tick(h.now)
	if h.b.inspectedTargets > 3*targets {
		t.Errorf("a tick inspects %d targets; the pool has %d", h.b.inspectedTargets, targets)
	}
}

// Guards against slow targets that stay idle while a queue is long and are inspected in vain for each waiting request. This took
// 0.5 ms for each new request and kept the coordinator of a site with 140 targets in a pool fully busy.
func TestSlowTargetsServeLongQueues(t *testing.T) {
	const targets, waiters = 60, 450
	h := newHarness(t, targets, 1)
	slow := h.b.loads["t7"]
	slow.serviceTime = 1300 * time.Millisecond
	for i := range targets - 1 {
		if _, v := h.place(PlacementRequest{Pool: "plain", TimeLeft: 10 * time.Second}); v == nil || v.Target == "t7" {
			t.Fatalf("request %d goes to the slow target or waits: %v", i, v)
		}
	}
	if _, v := h.place(PlacementRequest{Pool: "plain", TimeLeft: 10 * time.Second}); v != nil {
		t.Errorf("a request doesn't wait although a fast target will be free soon: %v", v)
	}
	h.b.inspectedTargets = 0
	for range waiters {
		h.place(PlacementRequest{Pool: "plain", TimeLeft: 10 * time.Second})
	}
	if slow.inFlight == 0 {
		t.Error("the slow target is idle although the last request would wait longer for another one")
	}
	if h.b.inspectedTargets > 4*targets*waiters {
		t.Errorf("a new request inspects %d targets; the pool has %d", h.b.inspectedTargets/waiters, targets)
	}
}

// Guards against waiting requests that keep those with other home regions from their free targets.
func TestFullHomeRegionDoesNotBlockOthers(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.target = append(h.target, &inventory.Target{ID: "t9", Pool: "plain", Domain: "b", Slots: 1, Started: 1})
	h.update()
	if _, v := h.place(PlacementRequest{Pool: "plain", AllowedRegions: []string{"r"}}); v == nil || v.Target != "t0" {
		t.Fatalf("the first request: %v", v)
	}
	if _, v := h.place(PlacementRequest{Pool: "plain", AllowedRegions: []string{"r"}}); v != nil {
		t.Fatalf("the second request doesn't wait: %v", v)
	}
	if _, v := h.place(PlacementRequest{Pool: "plain", AllowedRegions: []string{"s"}}); v == nil || v.Target != "t9" {
		t.Errorf("a request with other homes: %v", v)
	}
	if _, v := h.place(PlacementRequest{Pool: "plain", AllowedRegions: []string{"r", "s"}, Avoid: []string{"t9"}}); v != nil {
		t.Errorf("a request that avoids the only free target: %v", v)
	}
}
