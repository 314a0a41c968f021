package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// placeFrom asks for a target on behalf of a VM. reply gets the decision at once or later.
func (h *harness) placeFrom(vm string, a PlacementRequest, reply func(Decision)) uint64 {
	h.seq++
	a.VM, a.Domain, a.Region, a.Seq, a.Objective, a.TimeLeft = vm, "a", "r", h.seq, 600*time.Millisecond, 1500*time.Millisecond
	h.b.Place(a, reply, h.now)
	return h.seq
}

// refuseWithRetryAfter lets the only target of a pool refuse a request of a VM and ask it to send nothing for a time.
func (h *harness) refuseWithRetryAfter(vm string, a PlacementRequest, retryAfter time.Duration) {
	h.t.Helper()
	var got Decision
	seq := h.placeFrom(vm, a, func(v Decision) { got = v })
	if got.Target == "" {
		h.t.Fatalf("request of %s not placed: %+v", vm, got)
	}
	h.b.Done(vm, seq, time.Millisecond, Refused, &Report{ClosedFor: retryAfter}, h.now)
	h.now = h.now.Add(refusalBackoff)
	h.b.Tick(h.now)
}

// Guards against sending requests of a VM to a target that has asked it to send nothing, also after the VM reconnects, and
// against callers that wait for such a target beyond their deadline instead of being refused at once. Other VMs are served, and
// so is this one after the time has passed.
func TestRefusedVMBacksOff(t *testing.T) {
	for _, pool := range []string{"plain", "keyed"} {
		h := newHarness(t, 1, 4)
		h.refuseWithRetryAfter("vm1#1", PlacementRequest{Pool: pool}, 5*time.Second)
		var first, other *Decision
		h.placeFrom("vm1#2", PlacementRequest{Pool: pool}, func(v Decision) { first = &v })
		h.placeFrom("vm2#1", PlacementRequest{Pool: pool}, func(v Decision) { other = &v })
		if first == nil || first.Target != "" || first.Expected < 4*time.Second {
			t.Errorf("%s: the VM that was refused gets %+v", pool, first)
		}
		if other == nil || other.Target == "" {
			t.Errorf("%s: another VM gets %+v", pool, other)
		}
		h.now = h.now.Add(5 * time.Second)
		h.b.Tick(h.now)
		var after *Decision
		h.placeFrom("vm1#2", PlacementRequest{Pool: pool}, func(v Decision) { after = &v })
		if after == nil || after.Target == "" {
			t.Errorf("%s: the VM gets %+v after its backoff", pool, after)
		}
	}
}

// Guards against refusing a request although the backoff of its target ends soon.
func TestRequestWaitsForShortBackoff(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.refuseWithRetryAfter("vm1", PlacementRequest{Pool: "keyed"}, 300*time.Millisecond)
	var got *Decision
	h.placeFrom("vm1", PlacementRequest{Pool: "keyed"}, func(v Decision) { got = &v })
	if got != nil {
		t.Fatalf("the request gets %+v at once", *got)
	}
	h.now = h.now.Add(300 * time.Millisecond)
	h.b.Tick(h.now)
	if got == nil || got.Target == "" {
		t.Errorf("the request gets %+v after the backoff", got)
	}
}

// sheddingSim simulates a pool of three targets and 300 VMs. The targets run two requests at a time and refuse more.
type sheddingSim struct {
	*harness
	// retryAfter is the backoff that the targets ask for; 0 for none.
	retryAfter time.Duration
	runs       []shedRun
	placed     []shedRun
	refused    int
	served     int
}

type shedRun struct {
	vm     string
	seq    uint64
	target string
	ends   clock.Instant
}

const (
	shedVMs         = 300
	shedServiceTime = 100 * time.Millisecond
)

func (h *sheddingSim) play(d time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for until := h.now.Add(d); h.now < until; h.now = h.now.Add(5 * time.Millisecond) {
		r := shedRun{vm: fmt.Sprintf("vm%d", random.IntN(shedVMs)), seq: h.seq + 1}
		h.placeFrom(r.vm, PlacementRequest{Pool: "plain"}, func(v Decision) {
			if r.target = v.Target; r.target != "" {
				h.placed = append(h.placed, r)
			}
		})
		h.arrive()
		h.finish()
		h.b.Tick(h.now)
	}
}

// arrive lets the targets start or refuse the placed requests.
func (h *sheddingSim) arrive() {
	placed := h.placed
	h.placed = nil
	for _, r := range placed {
		busy := 0
		for _, other := range h.runs {
			if other.target == r.target {
				busy++
			}
		}
		if busy < 2 {
			r.ends = h.now.Add(shedServiceTime)
			h.runs = append(h.runs, r)
			continue
		}
		h.refused++
		h.b.Done(r.vm, r.seq, time.Millisecond, Refused, &Report{ClosedFor: h.retryAfter}, h.now)
	}
}

func (h *sheddingSim) finish() {
	var left []shedRun
	for _, r := range h.runs {
		if h.now < r.ends {
			left = append(left, r)
			continue
		}
		h.served++
		h.b.Done(r.vm, r.seq, shedServiceTime, Answered, nil, h.now)
	}
	h.runs = left
}

// Guards against an overloaded target that refuses a request of each of hundreds of VMs before all of them back off.
func TestBackoffLimitsRefusals(t *testing.T) {
	var with, without sheddingSim
	with.harness, with.retryAfter = newHarness(t, 3, 8), 2*time.Second
	without.harness = newHarness(t, 3, 8)
	with.play(10 * time.Second)
	without.play(10 * time.Second)
	t.Logf("refused in 10 s: %d, %d without backoff; served: %d and %d", with.refused, without.refused, with.served, without.served)
	if with.refused*10 > without.refused {
		t.Errorf("%d requests are refused, %d without backoff", with.refused, without.refused)
	}
	if with.served < without.served {
		t.Errorf("%d requests are served, %d without backoff", with.served, without.served)
	}
}

// Guards against a broker that inspects all targets for each waiting request after some targets have refused VMs: with hundreds
// of VMs and targets this took more than its processor.
func TestQueueCostDuringBackoff(t *testing.T) {
	const targets, waiters = 200, 200
	h := newHarness(t, targets, 1)
	for i := range targets {
		// Each target has a request in flight and has refused a VM.
		h.placeFrom("busy", PlacementRequest{Pool: "plain"}, func(Decision) {})
		h.b.backoffs.add(inventory.Incarnation{Target: fmt.Sprint("t", i), Started: 1}, fmt.Sprint("vm", i), h.now.Add(time.Minute), 1, h.now)
	}
	for i := range waiters {
		h.placeFrom(fmt.Sprint("vm", i), PlacementRequest{Pool: "plain"}, func(Decision) {})
	}
	before := h.b.inspectedTargets
	h.b.Tick(h.now)
	if n := h.b.inspectedTargets - before; n > 10*targets {
		t.Errorf("a pass over %d waiting requests inspects %d targets", waiters, n)
	}
}
