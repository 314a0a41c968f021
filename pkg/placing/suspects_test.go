package placing

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/quarantine"
)

func fingerprintOf(name string) quarantine.Fingerprint {
	return quarantine.Request{URI: name, Caller: "c"}.Fingerprint()
}

// mustPlace returns the target of a request that must be placed at once.
func (h *harness) mustPlace(a PlacementRequest) (uint64, string) {
	h.t.Helper()
	seq, v := h.place(a)
	if v == nil || v.Target == "" {
		h.t.Fatalf("not placed: %+v", v)
	}
	return seq, v.Target
}

// crash ends a request with a crash of its target, which comes back as a new incarnation.
func (h *harness) crash(seq uint64, id string) {
	h.now = h.now.Add(20 * time.Millisecond)
	h.b.Done("vm", seq, 20*time.Millisecond, ConnectionLost, nil, h.now)
	for i, t := range h.target {
		if t.ID == id {
			next := *t
			next.Started++
			h.target[i] = &next
		}
	}
	h.update()
}

// Guards against several copies of a request that each crash a target although the first crash made it a suspect, and against
// copies that wait for a slot after the request was quarantined. Callers send the same request through all VMs again and again.
func TestSuspectsRunOneAtATime(t *testing.T) {
	for _, pool := range []string{"plain", "keyed"} {
		h := newHarness(t, 6, 4)
		a := PlacementRequest{Pool: pool, Fingerprint: fingerprintOf("bad")}
		for i := range 3 {
			seq, id := h.mustPlace(a)
			var waiting []*Decision
			if i > 0 {
				for range 3 {
					_, v := h.place(a)
					if v != nil {
						t.Fatalf("%s: a copy gets %+v while another one is running", pool, *v)
					}
					waiting = append(waiting, v)
				}
				for n := range uint64(len(waiting)) {
					h.b.Cancel("vm", h.seq-n, h.now)
				}
			}
			h.crash(seq, id)
		}
		_, v := h.place(a)
		if v == nil || v.Reason != ReasonQuarantined || v.Expected < 30*time.Second {
			t.Errorf("%s: decision %+v after three crashes", pool, v)
		}
		if h.mustPlace(PlacementRequest{Pool: pool, Fingerprint: fingerprintOf("other")}); t.Failed() {
			t.Errorf("%s: another request isn't served", pool)
		}
	}
}

// Guards against copies of a request that wait until their deadline although the request was quarantined in the meantime.
func TestQuarantineRefusesWaitingCopies(t *testing.T) {
	h := newHarness(t, 6, 4)
	a := PlacementRequest{Pool: "plain", Fingerprint: fingerprintOf("bad")}
	for range 2 {
		h.crash(h.mustPlace(a))
	}
	running, id := h.mustPlace(a)
	h.seq++
	a.VM, a.Seq, a.Domain, a.Region, a.Objective, a.TimeLeft = "vm", h.seq, "a", "r", time.Second, 3*time.Second
	var decision *Decision
	h.b.Place(a, func(v Decision) { decision = &v }, h.now)
	if decision != nil {
		t.Fatalf("a copy gets %+v while another one is running", *decision)
	}
	h.crash(running, id)
	if decision == nil || decision.Reason != ReasonQuarantined {
		t.Errorf("a waiting copy gets %+v after the third crash", decision)
	}
}

// Guards against two suspects at the same target, where the next crash doesn't show which of them caused it, and against other
// requests that wait because of them.
func TestSuspectsDontShareATarget(t *testing.T) {
	h := newHarness(t, 4, 4)
	// Two requests are in flight at the same target when it crashes.
	h.owner = "k0"
	h.update()
	one, _ := h.mustPlace(PlacementRequest{Pool: "keyed", Fingerprint: fingerprintOf("one")})
	two, _ := h.mustPlace(PlacementRequest{Pool: "keyed", Fingerprint: fingerprintOf("two")})
	h.crash(one, "k0")
	h.b.Done("vm", two, 20*time.Millisecond, ConnectionLost, nil, h.now)
	h.now = h.now.Add(time.Second)
	first, _ := h.mustPlace(PlacementRequest{Pool: "keyed", Fingerprint: fingerprintOf("one")})
	seq, v := h.place(PlacementRequest{Pool: "keyed", Fingerprint: fingerprintOf("two")})
	if v != nil {
		t.Fatalf("the second suspect gets %+v beside the first", *v)
	}
	h.mustPlace(PlacementRequest{Pool: "keyed", Fingerprint: fingerprintOf("other")})
	h.now = h.now.Add(50 * time.Millisecond)
	h.b.Done("vm", first, 50*time.Millisecond, Answered, nil, h.now)
	if _, waiting := h.b.waiting[requestID{"vm", seq}]; waiting {
		t.Error("the second suspect still waits after the first has been answered")
	}
}
