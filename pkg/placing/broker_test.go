package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
)

// bench is a broker with targets under a virtual clock.
type bench struct {
	t      *testing.T
	b      *Broker
	now    clock.Instant
	seq    uint64
	owner  string
	slots  int
	cfg    *inventory.Configuration
	target []*inventory.Target
}

func newBench(t *testing.T, targets, slots int) *bench {
	x := &bench{t: t, now: clock.Instant(time.Second), slots: slots}
	x.cfg = inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{
		{Name: "plain", ColdRate: 2.5}, {Name: "keyed", Keyed: true, ColdRate: 2.5},
	}, nil)
	for i := range targets {
		x.target = append(x.target, &inventory.Target{ID: fmt.Sprintf("t%d", i), Pool: "plain", Domain: "a", Slots: slots, Started: 1})
		x.target = append(x.target, &inventory.Target{ID: fmt.Sprintf("k%d", i), Pool: "keyed", Domain: "a", Slots: slots, Started: 1})
	}
	x.owner = "k0"
	x.b = NewBroker(map[string]string{"a": "r", "b": "s"}, NewBrokerBudget(0.2, 60, 10*time.Second), quarantine.NewTracker(), func(string, int) {})
	x.update()
	return x
}

func (x *bench) update() {
	x.b.Update(inventory.NewSnapshot(x.cfg, x.target, map[string]bool{}), func(string, int) Owner { return Owner{Target: x.owner} }, x.now)
}

// ask returns the verdict, nil while the request waits.
func (x *bench) ask(a Ask) (uint64, *Verdict) {
	x.seq++
	a.VM, a.Domain, a.Region, a.Seq = "vm", "a", "r", x.seq
	if a.Objective == 0 {
		a.Objective = 600 * time.Millisecond
	}
	if a.Left == 0 {
		a.Left = 1500 * time.Millisecond
	}
	verdict := new(Verdict)
	answered := false
	x.b.Place(a, func(v Verdict) { *verdict, answered = v, true }, x.now)
	if !answered {
		return x.seq, nil
	}
	return x.seq, verdict
}

// Guards against VMs that overrun some targets while others are idle.
func TestRequestsFillAllTargets(t *testing.T) {
	x := newBench(t, 4, 2)
	count := map[string]int{}
	for range 8 {
		_, v := x.ask(Ask{Pool: "plain"})
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

// Guards against places that are lost when requests end, are cancelled or their VM is gone.
func TestPlacesComeBack(t *testing.T) {
	x := newBench(t, 1, 1)
	for round := range 50 {
		first, v := x.ask(Ask{Pool: "plain"})
		if v == nil || v.Target == "" {
			t.Fatalf("round %d: no place: %v", round, v)
		}
		switch round % 3 {
		case 0:
			x.b.Done("vm", first, 100*time.Millisecond, Answered, nil, x.now)
		case 1:
			x.b.Cancel("vm", first, x.now)
		case 2:
			x.b.Lost("vm", x.now)
		}
		x.now = x.now.Add(time.Second)
	}
}

// Guards against a burst that lets all requests miss their objective: what can't be answered in time is refused at once.
func TestBurstIsRefusedEarly(t *testing.T) {
	x := newBench(t, 1, 2)
	placed, waiting, refused := 0, 0, 0
	for range 100 {
		switch _, v := x.ask(Ask{Pool: "keyed", Key: 7}); {
		case v == nil:
			waiting++
		case v.Target != "":
			placed++
		default:
			refused++
			if v.Reason != ReasonFull || v.Expected == 0 {
				t.Fatalf("refusal %+v", v)
			}
		}
	}
	if placed != 3 || waiting == 0 || waiting > 8 {
		t.Errorf("%d placed, %d waiting, %d refused", placed, waiting, refused)
	}
}

// Guards against urgent requests that wait behind less urgent ones, and against a caller that gives up first but goes last.
func TestOrderOfWaiters(t *testing.T) {
	x := newBench(t, 1, 1)
	var holders []uint64
	for range 2 {
		seq, _ := x.ask(Ask{Pool: "keyed"})
		holders = append(holders, seq)
	}
	order := []string{}
	wait := func(name string, priority int, left time.Duration) {
		x.seq++
		x.b.Place(Ask{VM: "vm", Domain: "a", Region: "r", Seq: x.seq, Pool: "keyed", Priority: priority, Left: left, Objective: 2 * time.Second},
			func(v Verdict) { order = append(order, name) }, x.now)
	}
	wait("late", 2, 3*time.Second)
	wait("soon", 2, 2*time.Second)
	wait("urgent", 1, 3*time.Second)
	for i := 0; i < 3; i++ {
		x.b.Done("vm", holders[0], 200*time.Millisecond, Answered, nil, x.now)
		if len(order) != i+1 {
			t.Fatalf("%d placed after %d ends", len(order), i+1)
		}
		holders[0] = x.seq - 2 + map[string]uint64{"late": 0, "soon": 1, "urgent": 2}[order[i]]
	}
	if fmt.Sprint(order) != "[urgent soon late]" {
		t.Errorf("order %v", order)
	}
}

// Guards against cold targets that get more than they bear, for any arrivals.
func TestColdTargetsGetLittle(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 3))
		x := newBench(t, 1, 2)
		cold := *x.target[0]
		cold.ColdFor = 20 * time.Second
		x.target[0] = &cold
		x.update()
		var sent []clock.Instant
		for range 400 {
			x.now = x.now.Add(time.Duration(r.IntN(60)) * time.Millisecond)
			x.b.Tick(x.now)
			seq, v := x.ask(Ask{Pool: "plain"})
			if v != nil && v.Target != "" {
				sent = append(sent, x.now)
				x.b.Done("vm", seq, 50*time.Millisecond, Answered, nil, x.now)
			} else if v == nil {
				x.b.Cancel("vm", seq, x.now)
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
				t.Fatalf("seed %d: %d requests within a second for a target that bears 2.5", seed, n)
			}
		}
		if len(sent) < 5 {
			t.Fatalf("seed %d: the cold target got only %d requests", seed, len(sent))
		}
	}
}

// Guards against requests in another region than their homes, and in failure domains that are out of service.
func TestHomesAndDomainsBind(t *testing.T) {
	x := newBench(t, 2, 4)
	x.target[2].Domain = "b"
	x.update()
	for range 3 {
		if _, v := x.ask(Ask{Pool: "plain", Homes: []string{"s"}}); v == nil || v.Target != "t1" {
			t.Fatalf("verdict %+v", v)
		}
	}
	x.b.Update(inventory.NewSnapshot(x.cfg, x.target, map[string]bool{"b": true}), func(string, int) Owner { return Owner{Target: "k0"} }, x.now)
	if _, v := x.ask(Ask{Pool: "plain", Homes: []string{"s"}}); v == nil || v.Target != "" || v.Reason != ReasonNone {
		t.Fatalf("verdict %+v", v)
	}
}

// Guards against a fast target behind which all wait while a usual one is idle.
func TestFreeTargetIsUsed(t *testing.T) {
	x := newBench(t, 2, 1)
	for range 20 {
		seq, v := x.ask(Ask{Pool: "plain", Avoid: []string{"t1"}})
		x.b.Done("vm", seq, 80*time.Millisecond, Answered, nil, x.now)
		if v == nil || v.Target != "t0" {
			t.Fatalf("verdict %+v", v)
		}
	}
	targets := map[string]int{}
	for range 4 {
		if _, v := x.ask(Ask{Pool: "plain"}); v != nil {
			targets[v.Target]++
		}
	}
	if targets["t1"] == 0 {
		t.Errorf("the idle target gets nothing: %v", targets)
	}
}

// Guards against requests for a key without an owner that never hear again, or go to the former owner.
func TestPendingKeysWaitForTheirOwner(t *testing.T) {
	x := newBench(t, 2, 2)
	pending := func(string, int) Owner { return Owner{Pending: true, Wait: 200 * time.Millisecond} }
	x.b.Update(inventory.NewSnapshot(x.cfg, x.target, nil), pending, x.now)
	var got *Verdict
	x.b.Place(Ask{VM: "vm", Seq: 1000, Pool: "keyed", Left: 1500 * time.Millisecond, Objective: 600 * time.Millisecond},
		func(v Verdict) { got = &v }, x.now)
	if got != nil {
		t.Fatalf("verdict %+v for a key without an owner", got)
	}
	x.owner = "k1"
	x.update()
	if got == nil || got.Target != "k1" {
		t.Fatalf("verdict %+v after the key has got its owner", got)
	}
	x.b.Update(inventory.NewSnapshot(x.cfg, x.target, nil), func(string, int) Owner { return Owner{Pending: true, Wait: 3 * time.Second} }, x.now)
	if _, v := x.ask(Ask{Pool: "keyed"}); v == nil || v.Reason != ReasonPending {
		t.Fatalf("verdict %+v for a key that stays without an owner for 3 s", v)
	}
}

// Guards against more repeats than the bound allows within any window, by the broker and 12 VMs together.
func TestRepeatsStayWithinTheBound(t *testing.T) {
	const ratio, extra, window = 0.2, 60.0, 10 * time.Second
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 9))
		budgets := []*Budget{NewBrokerBudget(ratio, extra, window)}
		for range 12 {
			budgets = append(budgets, NewLocalBudget(ratio, extra, window))
		}
		var firsts, repeats []clock.Instant
		now := clock.Instant(time.Second)
		for range 6000 {
			now = now.Add(time.Duration(r.IntN(10)) * time.Millisecond)
			b := budgets[r.IntN(len(budgets))]
			if r.IntN(3) == 0 {
				b.First("p", now)
				firsts = append(firsts, now)
			}
			if b.Repeat("p", now) {
				repeats = append(repeats, now)
			}
		}
		for _, start := range repeats {
			n, m := 0, 0
			for _, at := range repeats {
				if at >= start && at < start.Add(window) {
					n++
				}
			}
			for _, at := range firsts {
				if at >= start && at < start.Add(window) {
					m++
				}
			}
			if float64(n) > ratio*float64(m)+extra {
				t.Fatalf("seed %d: %d repeats for %d requests", seed, n, m)
			}
		}
	}
}

// Guards against a repeat of a request that may have run, and against repeats that come too late to help.
func TestNextStep(t *testing.T) {
	base := Attempt{Idempotent: true, Attempts: 1, MaxAttempts: 2, Repeatable: true, MaxUnsent: 4, Left: time.Second, Usual: 200 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(*Attempt)
		want   Step
	}{
		{"an idempotent request after an unknown outcome", func(a *Attempt) { a.Outcome = Unknown }, Repeat},
		{"an order after an unknown outcome", func(a *Attempt) { a.Outcome, a.Idempotent = Unknown, false }, GiveUp},
		{"an order after a failed answer", func(a *Attempt) { a.Outcome, a.Idempotent = FailedAnswer, false }, GiveUp},
		{"an order that was refused", func(a *Attempt) { a.Outcome, a.Idempotent = NotRun, false }, Repeat},
		{"an order that was never sent", func(a *Attempt) { a.Outcome, a.Idempotent = Unsent, false }, Repeat},
		{"a body that can't be sent again", func(a *Attempt) { a.Repeatable = false }, GiveUp},
		{"too many attempts", func(a *Attempt) { a.Attempts = 2 }, GiveUp},
		{"too little time", func(a *Attempt) { a.Left = 50 * time.Millisecond }, GiveUp},
		{"after the deadline", func(a *Attempt) { a.Outcome = Expired }, GiveUp},
	} {
		a := base
		c.change(&a)
		if got := NextStep(a); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against callers that return together, or too late to be served.
func TestRetryAfterIsSpread(t *testing.T) {
	low, high := time.Hour, time.Duration(0)
	for range 1000 {
		d := RetryAfter(time.Second, 1500*time.Millisecond)
		low, high = min(low, d), max(high, d)
	}
	if high-low < 100*time.Millisecond || high > 600*time.Millisecond || low < 50*time.Millisecond {
		t.Errorf("from %v to %v", low, high)
	}
}

// Guards against work that grows with the product of waiters and targets: with 140 targets and a full queue the coordinator
// needed more than a core, fell silent, and all VMs placed requests on their own.
func TestLongQueuesCostLittle(t *testing.T) {
	const targets, waiters = 140, 400
	x := newBench(t, targets, 4)
	var running []uint64
	for range targets * 4 {
		seq, v := x.ask(Ask{Pool: "plain", Left: 10 * time.Second, Homes: []string{"r"}})
		if v == nil || v.Target == "" {
			t.Fatalf("no place: %v", v)
		}
		running = append(running, seq)
	}
	for range waiters {
		if _, v := x.ask(Ask{Pool: "plain", Left: 10 * time.Second, Homes: []string{"r"}}); v != nil {
			t.Fatalf("a request doesn't wait: %v", v)
		}
	}
	x.b.surveyed = 0
	x.b.Done("vm", running[0], 200*time.Millisecond, Answered, nil, x.now)
	// The pool is looked at before the place is given away, to choose it, and after.
	if x.b.surveyed > 3*targets {
		t.Errorf("a free place costs a look at %d targets; the pool has %d", x.b.surveyed, targets)
	}
	x.b.surveyed = 0
	x.b.Tick(x.now)
	if x.b.surveyed > 3*targets {
		t.Errorf("a tick costs a look at %d targets; the pool has %d", x.b.surveyed, targets)
	}
}

// Guards against places at slow targets that stay idle while a queue is long, and that each waiter looks at in vain: with them,
// an ask cost 0.5 ms, and the coordinator of a site with 140 targets in a pool was busy all the time.
func TestSlowTargetsServeLongQueues(t *testing.T) {
	const targets, waiters = 60, 450
	x := newBench(t, targets, 1)
	slow := x.b.loads["t7"]
	slow.service = 1300 * time.Millisecond
	for i := range targets - 1 {
		if _, v := x.ask(Ask{Pool: "plain", Left: 10 * time.Second}); v == nil || v.Target == "t7" {
			t.Fatalf("request %d goes to the slow target or waits: %v", i, v)
		}
	}
	if _, v := x.ask(Ask{Pool: "plain", Left: 10 * time.Second}); v != nil {
		t.Errorf("a request that can have a fast target soon doesn't wait: %v", v)
	}
	x.b.surveyed = 0
	for range waiters {
		x.ask(Ask{Pool: "plain", Left: 10 * time.Second})
	}
	if slow.inFlight == 0 {
		t.Error("the slow target is idle although the last waiter would wait longer for another one")
	}
	if x.b.surveyed > 4*targets*waiters {
		t.Errorf("an ask costs a look at %d targets; the pool has %d", x.b.surveyed/waiters, targets)
	}
}

// Guards against waiters of one kind that keep those of another from their free targets.
func TestFullHomesDontBlockOthers(t *testing.T) {
	x := newBench(t, 1, 1)
	x.target = append(x.target, &inventory.Target{ID: "t9", Pool: "plain", Domain: "b", Slots: 1, Started: 1})
	x.update()
	if _, v := x.ask(Ask{Pool: "plain", Homes: []string{"r"}}); v == nil || v.Target != "t0" {
		t.Fatalf("the first request: %v", v)
	}
	if _, v := x.ask(Ask{Pool: "plain", Homes: []string{"r"}}); v != nil {
		t.Fatalf("the second request doesn't wait: %v", v)
	}
	if _, v := x.ask(Ask{Pool: "plain", Homes: []string{"s"}}); v == nil || v.Target != "t9" {
		t.Errorf("a request with other homes: %v", v)
	}
	if _, v := x.ask(Ask{Pool: "plain", Homes: []string{"r", "s"}, Avoid: []string{"t9"}}); v != nil {
		t.Errorf("a request that avoids the only free target: %v", v)
	}
}
