package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// trackerHarness runs requests at targets, each with an incarnation of its own.
type trackerHarness struct {
	*Tracker
	now clock.Instant
	seq uint64
}

func newTrackerHarness() *trackerHarness {
	return &trackerHarness{Tracker: NewTracker(), now: clock.Instant(time.Hour)}
}

func (h *trackerHarness) begin(f Fingerprint, incarnation inventory.Incarnation) RunID {
	h.seq++
	h.Begin(RunID{"vm", h.seq}, f, incarnation, h.now)
	return RunID{"vm", h.seq}
}

// run runs one request at an incarnation of its own.
func (h *trackerHarness) run(f Fingerprint, outcome Outcome) {
	id := h.begin(f, inventory.Incarnation{Target: fmt.Sprint("t", h.seq)})
	h.now = h.now.Add(100 * time.Millisecond)
	h.End(id, outcome, h.now)
}

func (h *trackerHarness) verdict(f Fingerprint) Verdict {
	v, _ := h.Verdict(f, h.now)
	return v
}

func fingerprintOf(name string) Fingerprint {
	return Request{URI: name, Caller: "c"}.Fingerprint()
}

// Guards against a request that crashes a fourth target, against a quarantine that never ends, and against one that isn't longer
// after the next crash.
func TestThirdCrashQuarantines(t *testing.T) {
	h, bad := newTrackerHarness(), fingerprintOf("bad")
	for i := range crashLimit {
		if v := h.verdict(bad); v == Quarantined {
			t.Fatalf("refused after %d crashes", i)
		}
		h.run(bad, ConnectionLost)
	}
	v, first := h.Verdict(bad, h.now)
	if v != Quarantined || first != firstQuarantine {
		t.Fatalf("%v for %v after the third crash", v, first)
	}
	h.now = h.now.Add(first)
	if v := h.verdict(bad); v != Suspected {
		t.Fatalf("%v after the quarantine", v)
	}
	h.run(bad, ConnectionLost)
	if v, second := h.Verdict(bad, h.now); v != Quarantined || second != 2*first {
		t.Errorf("%v for %v after the next crash", v, second)
	}
	h.now = h.now.Add(2 * first)
	h.run(bad, Served)
	if v := h.verdict(bad); v != Clear {
		t.Errorf("%v after a success", v)
	}
}

// Guards against a request that stays suspected although it has succeeded, or although only its answers were lost.
func TestSuccessAndLiveTargetsClear(t *testing.T) {
	h, good, lost := newTrackerHarness(), fingerprintOf("good"), fingerprintOf("lost")
	h.run(good, ConnectionLost)
	if v := h.verdict(good); v != Suspected {
		t.Fatalf("%v after a crash", v)
	}
	h.run(good, Served)
	if v := h.verdict(good); v != Clear {
		t.Errorf("%v after a success", v)
	}
	for range 2 * crashLimit {
		incarnation := inventory.Incarnation{Target: fmt.Sprint("t", h.seq)}
		h.End(h.begin(lost, incarnation), ConnectionLost, h.now)
		h.now = h.now.Add(50 * time.Millisecond)
		id := h.begin(fingerprintOf("other"), incarnation)
		h.now = h.now.Add(50 * time.Millisecond)
		h.End(id, Served, h.now)
	}
	if v := h.verdict(lost); v != Clear {
		t.Errorf("%v although each target answered after its connection was lost", v)
	}
}

// Guards against mistaking the next incarnation of a target under the same ID for the crashed one, and its answers for proof that
// there was no crash.
func TestNextIncarnationProvesNothing(t *testing.T) {
	h, bad := newTrackerHarness(), fingerprintOf("bad")
	incarnation := inventory.Incarnation{Target: "t", Started: 1}
	h.End(h.begin(bad, incarnation), ConnectionLost, h.now)
	h.now = h.now.Add(2 * time.Second)
	// The registration of the next incarnation isn't known yet.
	h.End(h.begin(fingerprintOf("other"), incarnation), Served, h.now)
	if v := h.verdict(bad); v != Suspected {
		t.Errorf("%v after the next incarnation has answered", v)
	}
}

// Guards against counting a crash once for each connection that is lost with the target.
func TestIncarnationCountsOnce(t *testing.T) {
	h, bad := newTrackerHarness(), fingerprintOf("bad")
	incarnation := inventory.Incarnation{Target: "t"}
	for range 2 * crashLimit {
		h.End(h.begin(bad, incarnation), ConnectionLost, h.now)
		h.now = h.now.Add(time.Millisecond)
	}
	if v := h.verdict(bad); v != Suspected {
		t.Errorf("%v after one crash", v)
	}
}

// Guards against refusing a harmless request because another caller's request for the same content crashes targets.
func TestOtherCallersAreServed(t *testing.T) {
	h := newTrackerHarness()
	bad, good := Request{URI: "a", Caller: "bad"}.Fingerprint(), Request{URI: "a", Caller: "good"}.Fingerprint()
	for range crashLimit {
		h.run(good, Served)
		h.run(bad, ConnectionLost)
	}
	if v := h.verdict(bad); v != Quarantined {
		t.Errorf("%v for the caller whose requests crash targets", v)
	}
	if v := h.verdict(good); v != Clear {
		t.Errorf("%v for another caller", v)
	}
}

// Guards against records that count twice when VMs exchange them, that don't reach a VM, or that come back after a success.
func TestRecordsAreMerged(t *testing.T) {
	a, b, bad := newTrackerHarness(), newTrackerHarness(), fingerprintOf("bad")
	a.run(bad, ConnectionLost)
	a.run(bad, ConnectionLost)
	news := a.Changes(a.now)
	b.Merge(news, b.now)
	b.Merge(news, b.now)
	b.Merge(a.Records(a.now), b.now)
	if v := b.verdict(bad); v != Suspected {
		t.Fatalf("%v after two crashes elsewhere", v)
	}
	a.run(bad, ConnectionLost)
	b.Merge(a.Changes(a.now), b.now)
	if v, left := b.Verdict(bad, b.now); v != Quarantined || left > firstQuarantine || left < firstQuarantine-time.Second {
		t.Fatalf("%v for %v after three crashes elsewhere", v, left)
	}
	// A crash that was recorded by mistake is withdrawn everywhere, even if another VM sends the old record again.
	e, f, lost := newTrackerHarness(), newTrackerHarness(), fingerprintOf("lost")
	e.run(lost, ConnectionLost)
	f.Merge(e.Changes(e.now), f.now)
	stale := f.Records(f.now)
	incarnation := inventory.Incarnation{Target: "last"}
	e.End(e.begin(lost, incarnation), ConnectionLost, e.now)
	f.Merge(e.Changes(e.now), f.now)
	e.now = e.now.Add(20 * time.Millisecond)
	other := e.begin(fingerprintOf("other"), incarnation)
	e.now = e.now.Add(100 * time.Millisecond)
	e.End(other, Served, e.now)
	f.Merge(e.Changes(e.now), f.now)
	e.Merge(stale, e.now)
	for name, h := range map[string]*trackerHarness{"that withdrew the crash": e, "that was informed": f} {
		if n := h.crashCount(lost, h.now); n != 1 {
			t.Errorf("the VM %s counts %d crashes instead of 1", name, n)
		}
	}
	c, d, good := newTrackerHarness(), newTrackerHarness(), fingerprintOf("good")
	c.run(good, ConnectionLost)
	d.Merge(c.Changes(c.now), d.now)
	c.run(good, Served)
	d.Merge(c.Changes(c.now), d.now)
	if v := d.verdict(good); v != Clear {
		t.Errorf("%v after a success elsewhere", v)
	}
}

// Guards against storing an unbounded number of records received from other VMs.
func TestRecordsAreBounded(t *testing.T) {
	h := newTrackerHarness()
	for i := range 3 * MaxEntries {
		h.Merge([]Record{{ID: uint64(i + 1), Crashed: []uint64{1, 2, 3, 4, 5}, RemainingMs: 1 << 60, QuarantineCount: 1 << 40}}, h.now)
	}
	if n := len(h.records); n > MaxEntries {
		t.Errorf("%d records", n)
	}
	if n := len(h.Records(h.now)); n > maxSharedRecords {
		t.Errorf("%d records are sent", n)
	}
	for id, r := range h.records {
		if len(r.crashed) > crashLimit || r.until.Sub(h.now) > longestQuarantine {
			t.Errorf("record %d: %d crashes, refused for %v", id, len(r.crashed), r.until.Sub(h.now))
		}
	}
}

// Guards against a request that crashes one target after another when they fall silent instead of closing their connections. The
// registration may be removed before the request is given up.
func TestSilentCrashesQuarantine(t *testing.T) {
	for _, removedFirst := range []bool{false, true} {
		h, bad := newTrackerHarness(), fingerprintOf("bad")
		for i := range crashLimit {
			if v := h.verdict(bad); v == Quarantined {
				t.Fatalf("refused after %d crashes", i)
			}
			incarnation := inventory.Incarnation{Target: fmt.Sprint("t", i)}
			id := h.begin(bad, incarnation)
			steps := []func(){func() { h.End(id, Unanswered, h.now) }, func() { h.TargetRemoved(incarnation, false, h.now) }}
			if removedFirst {
				steps[0], steps[1] = steps[1], steps[0]
			}
			for _, step := range steps {
				h.now = h.now.Add(1500 * time.Millisecond)
				step()
			}
		}
		if v := h.verdict(bad); v != Quarantined {
			t.Errorf("removed first: %v: %v after %d crashes", removedFirst, v, crashLimit)
		}
	}
}

// Guards against a request that isn't refused before the end of its long deadline, although its target was silent for long when its
// registration went, and against suspecting a request that runs at a target which leaves without notice and answers others.
func TestRunsAtSilentTargetsAreSuspectedOnRemoval(t *testing.T) {
	for _, answers := range []bool{false, true} {
		h, bad := newTrackerHarness(), fingerprintOf("bad")
		for i := range crashLimit {
			incarnation := inventory.Incarnation{Target: fmt.Sprint("t", i)}
			h.begin(bad, incarnation)
			h.now = h.now.Add(2 * time.Second)
			if answers {
				h.End(h.begin(fingerprintOf("other"), incarnation), Served, h.now)
			}
			h.TargetRemoved(incarnation, false, h.now)
		}
		if v := h.verdict(bad); (v == Clear) != answers || (v == Quarantined) == answers {
			t.Errorf("answers others: %v: %v", answers, v)
		}
	}
}

// Guards against a request that crashes its targets amid long answers and isn't refused, because the beginning of an answer counts as a
// success. A complete answer clears it.
func TestBrokenBodiesQuarantine(t *testing.T) {
	h, bad := newTrackerHarness(), fingerprintOf("bad")
	answer := func(complete bool) {
		incarnation := inventory.Incarnation{Target: fmt.Sprint("t", h.seq)}
		h.End(h.begin(bad, incarnation), PartlyServed, h.now)
		h.BodyEnded(bad, incarnation, complete, h.now)
		h.now = h.now.Add(3 * time.Second)
		h.TargetRemoved(incarnation, false, h.now)
	}
	answer(false)
	if v := h.verdict(bad); v != Suspected {
		t.Errorf("%v after a broken answer", v)
	}
	answer(true)
	if v := h.verdict(bad); v != Clear {
		t.Errorf("%v after a complete answer", v)
	}
	for range crashLimit {
		answer(false)
	}
	if v := h.verdict(bad); v != Quarantined {
		t.Errorf("%v after %d broken answers", v, crashLimit)
	}
}

// Guards against a request that is suspected although its target hasn't crashed: the target answered other requests afterwards, had
// announced that it leaves, or went long after.
func TestUnansweredRequestsOfLiveTargetsAreNotSuspected(t *testing.T) {
	for name, end := range map[string]func(h *trackerHarness, incarnation inventory.Incarnation){
		"answered": func(h *trackerHarness, incarnation inventory.Incarnation) {
			h.End(h.begin(fingerprintOf("other"), incarnation), Served, h.now)
			h.TargetRemoved(incarnation, false, h.now)
		},
		"announced": func(h *trackerHarness, incarnation inventory.Incarnation) {
			h.TargetRemoved(incarnation, true, h.now)
		},
		"long after": func(h *trackerHarness, incarnation inventory.Incarnation) {
			h.now = h.now.Add(silenceTTL + time.Second)
			h.TargetRemoved(incarnation, false, h.now)
		},
	} {
		h, slow := newTrackerHarness(), fingerprintOf("slow")
		for range 2 * crashLimit {
			incarnation := inventory.Incarnation{Target: fmt.Sprint("t", h.seq)}
			h.End(h.begin(slow, incarnation), Unanswered, h.now)
			h.now = h.now.Add(time.Second)
			end(h, incarnation)
		}
		if v := h.verdict(slow); v != Clear {
			t.Errorf("%s: %v", name, v)
		}
	}
}
