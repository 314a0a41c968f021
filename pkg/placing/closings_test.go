package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// askFrom is ask for a VM; reply gets the verdict now or later.
func (x *bench) askFrom(vm string, a Ask, reply func(Verdict)) uint64 {
	x.seq++
	a.VM, a.Domain, a.Region, a.Seq, a.Objective, a.Left = vm, "a", "r", x.seq, 600*time.Millisecond, 1500*time.Millisecond
	x.b.Place(a, reply, x.now)
	return x.seq
}

// closeTo lets the only target of a pool turn a VM away.
func (x *bench) closeTo(vm string, a Ask, span time.Duration) {
	x.t.Helper()
	var got Verdict
	seq := x.askFrom(vm, a, func(v Verdict) { got = v })
	if got.Target == "" {
		x.t.Fatalf("%s gets no place: %+v", vm, got)
	}
	x.b.Done(vm, seq, time.Millisecond, Refused, &Report{ClosedFor: span}, x.now)
	x.now = x.now.Add(refusedPause)
	x.b.Tick(x.now)
}

// Guards against requests of a VM that a target has turned away for a time, on a new connection too, and against callers that wait
// for such a target beyond their deadline instead of being refused at once. Other VMs are served, and when the time is over this one.
func TestTargetsGetNothingFromVMsTheyTurnedAway(t *testing.T) {
	for _, pool := range []string{"plain", "keyed"} {
		x := newBench(t, 1, 4)
		x.closeTo("vm1#1", Ask{Pool: pool}, 5*time.Second)
		var first, other *Verdict
		x.askFrom("vm1#2", Ask{Pool: pool}, func(v Verdict) { first = &v })
		x.askFrom("vm2#1", Ask{Pool: pool}, func(v Verdict) { other = &v })
		if first == nil || first.Target != "" || first.Expected < 4*time.Second {
			t.Errorf("%s: the VM that was turned away gets %+v", pool, first)
		}
		if other == nil || other.Target == "" {
			t.Errorf("%s: another VM gets %+v", pool, other)
		}
		x.now = x.now.Add(5 * time.Second)
		x.b.Tick(x.now)
		var after *Verdict
		x.askFrom("vm1#2", Ask{Pool: pool}, func(v Verdict) { after = &v })
		if after == nil || after.Target == "" {
			t.Errorf("%s: the VM gets %+v when the time is over", pool, after)
		}
	}
}

// Guards against a request that is refused although the time of its target is over soon.
func TestShortClosingsAreWaitedFor(t *testing.T) {
	x := newBench(t, 1, 4)
	x.closeTo("vm1", Ask{Pool: "keyed"}, 300*time.Millisecond)
	var got *Verdict
	x.askFrom("vm1", Ask{Pool: "keyed"}, func(v Verdict) { got = &v })
	if got != nil {
		t.Fatalf("the request gets %+v at once", *got)
	}
	x.now = x.now.Add(300 * time.Millisecond)
	x.b.Tick(x.now)
	if got == nil || got.Target == "" {
		t.Errorf("the request gets %+v when the time is over", got)
	}
}

// shedding is a pool of three targets and 300 VMs. The targets take two requests at a time and turn away what comes beyond.
type shedding struct {
	*bench
	// span is what the targets tell; 0 tells nothing.
	span    time.Duration
	runs    []shedRun
	placed  []shedRun
	refused int
	served  int
}

type shedRun struct {
	vm     string
	seq    uint64
	target string
	ends   clock.Instant
}

const (
	shedVMs  = 300
	shedWork = 100 * time.Millisecond
)

func (x *shedding) play(d time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for until := x.now.Add(d); x.now < until; x.now = x.now.Add(5 * time.Millisecond) {
		r := shedRun{vm: fmt.Sprintf("vm%d", random.IntN(shedVMs)), seq: x.seq + 1}
		x.askFrom(r.vm, Ask{Pool: "plain"}, func(v Verdict) {
			if r.target = v.Target; r.target != "" {
				x.placed = append(x.placed, r)
			}
		})
		x.arrive()
		x.finish()
		x.b.Tick(x.now)
	}
}

// arrive lets the targets begin with what was placed, or refuse it.
func (x *shedding) arrive() {
	placed := x.placed
	x.placed = nil
	for _, r := range placed {
		busy := 0
		for _, other := range x.runs {
			if other.target == r.target {
				busy++
			}
		}
		if busy < 2 {
			r.ends = x.now.Add(shedWork)
			x.runs = append(x.runs, r)
			continue
		}
		x.refused++
		x.b.Done(r.vm, r.seq, time.Millisecond, Refused, &Report{ClosedFor: x.span}, x.now)
	}
}

func (x *shedding) finish() {
	var left []shedRun
	for _, r := range x.runs {
		if x.now < r.ends {
			left = append(left, r)
			continue
		}
		x.served++
		x.b.Done(r.vm, r.seq, shedWork, Answered, nil, x.now)
	}
	x.runs = left
}

// Guards against hundreds of VMs that each learn from a refusal of their own that a target turns requests away.
func TestFewVMsAreTurnedAway(t *testing.T) {
	var with, without shedding
	with.bench, with.span = newBench(t, 3, 8), 2*time.Second
	without.bench = newBench(t, 3, 8)
	with.play(10 * time.Second)
	without.play(10 * time.Second)
	t.Logf("refused in 10 s: %d, %d if the target's word is ignored; served: %d and %d", with.refused, without.refused, with.served, without.served)
	if with.refused*10 > without.refused {
		t.Errorf("%d requests are refused, %d if the target's word is ignored", with.refused, without.refused)
	}
	if with.served < without.served {
		t.Errorf("%d requests are served, %d if the target's word is ignored", with.served, without.served)
	}
}

// Guards against a broker that looks at all targets for each waiter once some targets have turned VMs away: on a day with hundreds of
// VMs and targets that took more than its processor.
func TestWaitersCostLittleWhileTargetsShed(t *testing.T) {
	const targets, waiters = 200, 200
	x := newBench(t, targets, 1)
	for i := range targets {
		// Each target works on something and has turned a VM away.
		x.askFrom("busy", Ask{Pool: "plain"}, func(Verdict) {})
		x.b.closings.add(inventory.Life{Target: fmt.Sprint("t", i), Started: 1}, fmt.Sprint("vm", i), x.now.Add(time.Minute), 1, x.now)
	}
	for i := range waiters {
		x.askFrom(fmt.Sprint("vm", i), Ask{Pool: "plain"}, func(Verdict) {})
	}
	before := x.b.surveyed
	x.b.Tick(x.now)
	if n := x.b.surveyed - before; n > 10*targets {
		t.Errorf("a pass over %d waiters looks at %d targets", waiters, n)
	}
}
