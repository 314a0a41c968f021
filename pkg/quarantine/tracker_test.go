package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// trial plays runs at targets, each life of which is new.
type trial struct {
	*Tracker
	now clock.Instant
	seq uint64
}

func newTrial() *trial {
	return &trial{Tracker: NewTracker(), now: clock.Instant(time.Hour)}
}

func (x *trial) begin(f Fingerprint, life inventory.Life) Run {
	x.seq++
	x.Begin(Run{"vm", x.seq}, f, life, x.now)
	return Run{"vm", x.seq}
}

// run plays one request at a life of its own.
func (x *trial) run(f Fingerprint, how Ending) {
	id := x.begin(f, inventory.Life{Target: fmt.Sprint("t", x.seq)})
	x.now = x.now.Add(100 * time.Millisecond)
	x.End(id, how, x.now)
}

func (x *trial) verdict(f Fingerprint) Verdict {
	v, _ := x.Verdict(f, x.now)
	return v
}

func named(name string) Fingerprint {
	return Request{URI: name, Caller: "c"}.Fingerprint()
}

// Guards against a request that crashes a fourth target, and against a quarantine without end, or one that is as short after the
// next crash.
func TestThirdCrashQuarantines(t *testing.T) {
	x, bad := newTrial(), named("bad")
	for i := range crashLimit {
		if v := x.verdict(bad); v == Quarantined {
			t.Fatalf("refused after %d crashes", i)
		}
		x.run(bad, Broken)
	}
	v, first := x.Verdict(bad, x.now)
	if v != Quarantined || first != firstQuarantine {
		t.Fatalf("%v for %v after the third crash", v, first)
	}
	x.now = x.now.Add(first)
	if v := x.verdict(bad); v != Suspected {
		t.Fatalf("%v after the quarantine", v)
	}
	x.run(bad, Broken)
	if v, second := x.Verdict(bad, x.now); v != Quarantined || second != 2*first {
		t.Errorf("%v for %v after the next crash", v, second)
	}
	x.now = x.now.Add(2 * first)
	x.run(bad, Served)
	if v := x.verdict(bad); v != Clear {
		t.Errorf("%v after a success", v)
	}
}

// Guards against a request that is suspected although a success shows that it is harmless, or because its answer was lost.
func TestSuccessAndLivingTargetsClear(t *testing.T) {
	x, good, lost := newTrial(), named("good"), named("lost")
	x.run(good, Broken)
	if v := x.verdict(good); v != Suspected {
		t.Fatalf("%v after a crash", v)
	}
	x.run(good, Served)
	if v := x.verdict(good); v != Clear {
		t.Errorf("%v after a success", v)
	}
	for range 2 * crashLimit {
		life := inventory.Life{Target: fmt.Sprint("t", x.seq)}
		x.End(x.begin(lost, life), Broken, x.now)
		x.now = x.now.Add(50 * time.Millisecond)
		id := x.begin(named("other"), life)
		x.now = x.now.Add(50 * time.Millisecond)
		x.End(id, Served, x.now)
	}
	if v := x.verdict(lost); v != Clear {
		t.Errorf("%v although each target answered after its connection had ended", v)
	}
}

// Guards against the next life of a target under the same ID that is taken for the one that crashed, and its answers for a proof
// that there was no crash.
func TestNextLifeProvesNothing(t *testing.T) {
	x, bad := newTrial(), named("bad")
	life := inventory.Life{Target: "t", Started: 1}
	x.End(x.begin(bad, life), Broken, x.now)
	x.now = x.now.Add(2 * time.Second)
	// The registration of the next life isn't known yet.
	x.End(x.begin(named("other"), life), Served, x.now)
	if v := x.verdict(bad); v != Suspected {
		t.Errorf("%v after the next life has answered", v)
	}
}

// Guards against a crash that counts for each connection that ends with the target.
func TestLifeCountsOnce(t *testing.T) {
	x, bad := newTrial(), named("bad")
	life := inventory.Life{Target: "t"}
	for range 2 * crashLimit {
		x.End(x.begin(bad, life), Broken, x.now)
		x.now = x.now.Add(time.Millisecond)
	}
	if v := x.verdict(bad); v != Suspected {
		t.Errorf("%v after one crash", v)
	}
}

// Guards against callers whose harmless request is refused because another caller's request for the same content crashes targets.
func TestOtherCallersOfTheContentAreServed(t *testing.T) {
	x := newTrial()
	bad, good := Request{URI: "a", Caller: "bad"}.Fingerprint(), Request{URI: "a", Caller: "good"}.Fingerprint()
	for range crashLimit {
		x.run(good, Served)
		x.run(bad, Broken)
	}
	if v := x.verdict(bad); v != Quarantined {
		t.Errorf("%v for the caller whose requests crash targets", v)
	}
	if v := x.verdict(good); v != Clear {
		t.Errorf("%v for another caller", v)
	}
}

// Guards against records that count twice when VMs tell each other, that don't reach a VM, or that come back after a success.
func TestRecordsSpread(t *testing.T) {
	a, b, bad := newTrial(), newTrial(), named("bad")
	a.run(bad, Broken)
	a.run(bad, Broken)
	news := a.News(a.now)
	b.Merge(news, b.now)
	b.Merge(news, b.now)
	b.Merge(a.All(a.now), b.now)
	if v := b.verdict(bad); v != Suspected {
		t.Fatalf("%v after two crashes elsewhere", v)
	}
	a.run(bad, Broken)
	b.Merge(a.News(a.now), b.now)
	if v, left := b.Verdict(bad, b.now); v != Quarantined || left > firstQuarantine || left < firstQuarantine-time.Second {
		t.Fatalf("%v for %v after three crashes elsewhere", v, left)
	}
	// A crash that was none is taken back everywhere, also if another VM tells of it once more.
	e, f, lost := newTrial(), newTrial(), named("lost")
	e.run(lost, Broken)
	f.Merge(e.News(e.now), f.now)
	stale := f.All(f.now)
	life := inventory.Life{Target: "last"}
	e.End(e.begin(lost, life), Broken, e.now)
	f.Merge(e.News(e.now), f.now)
	e.now = e.now.Add(20 * time.Millisecond)
	other := e.begin(named("other"), life)
	e.now = e.now.Add(100 * time.Millisecond)
	e.End(other, Served, e.now)
	f.Merge(e.News(e.now), f.now)
	e.Merge(stale, e.now)
	for name, x := range map[string]*trial{"that found out": e, "that was told": f} {
		if n := x.crashCount(lost, x.now); n != 1 {
			t.Errorf("the VM %s counts %d crashes instead of 1", name, n)
		}
	}
	c, d, good := newTrial(), newTrial(), named("good")
	c.run(good, Broken)
	d.Merge(c.News(c.now), d.now)
	c.run(good, Served)
	d.Merge(c.News(c.now), d.now)
	if v := d.verdict(good); v != Clear {
		t.Errorf("%v after a success elsewhere", v)
	}
}

// Guards against records of VMs that are taken in without a bound.
func TestRecordsAreBounded(t *testing.T) {
	x := newTrial()
	for i := range 3 * MaxEntries {
		x.Merge([]Record{{ID: uint64(i + 1), Breaks: []uint64{1, 2, 3, 4, 5}, ForMs: 1 << 60, Strikes: 1 << 40}}, x.now)
	}
	if n := len(x.records); n > MaxEntries {
		t.Errorf("%d records", n)
	}
	if n := len(x.All(x.now)); n > mostShared {
		t.Errorf("%d records are sent", n)
	}
	for id, r := range x.records {
		if len(r.breaks) > crashLimit || r.until.Sub(x.now) > longestQuarantine {
			t.Errorf("record %d: %d crashes, refused for %v", id, len(r.breaks), r.until.Sub(x.now))
		}
	}
}
