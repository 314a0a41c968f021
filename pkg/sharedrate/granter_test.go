package sharedrate

import (
	"math"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// ledger is a coordinator with two VMs that hold half of everything each, and lend it.
type ledger struct {
	g   *Granter
	now clock.Instant
}

func newLedger() *ledger {
	l := &ledger{now: clock.Instant(time.Hour)}
	l.g = NewGranter(GranterOptions{Coordinator: 1, Allowance: DefaultAllowance}, l.now)
	stored := Holders{Names: []uint32{HashName("a"), HashName("b")}, MaxShare: 0.5}
	l.g.SetAuthority(l.now.Add(time.Hour), stored, l.now)
	for range 3 {
		l.exchange("a", 1)
		l.exchange("b", 1)
		l.now = l.now.Add(100 * time.Millisecond)
	}
	return l
}

// exchange sends an offer to a VM and gets the answer.
func (l *ledger) exchange(vm string, process int64) {
	o := l.g.Offer(vm, l.now)
	a := Answer{Process: process, Stamp: int64(l.now), Coordinator: 1, Echo: o.Stamp}
	if o.Process == process {
		a.Fraction, a.GrantedBy, a.Serial, a.LeftMs = o.Fraction, 1, o.Serial, 1000
	}
	l.g.Answer(vm, a, l.now)
}

// run lets time pass while VM a reports.
func (l *ledger) run(d time.Duration) {
	for end := l.now.Add(d); l.now < end; l.now = l.now.Add(100 * time.Millisecond) {
		l.exchange("a", 1)
	}
}

func (l *ledger) checkLevel(t *testing.T, when string, want float64) {
	t.Helper()
	if got := l.g.Level(l.now); math.Abs(got-want) > 1e-6 {
		t.Errorf("%s, the broker may use %v, want %v", when, got, want)
	}
}

// Guards against the share of a VM that disappeared being used before its grant has ended, or never again.
func TestShareOfLostVMIsKept(t *testing.T) {
	l := newLedger()
	l.checkLevel(t, "while both VMs lend", 1)
	l.run(1500 * time.Millisecond)
	l.checkLevel(t, "after a VM was lost", 0.5)
	l.run(28 * time.Second)
	l.checkLevel(t, "before the grant's end", 0.5)
	l.run(2 * time.Second)
	l.checkLevel(t, "after the grant's end", 1)
}

// Guards against a share that is freed by a new process while another coordinator may still use it, and one that isn't freed.
func TestNewProcessFreesShare(t *testing.T) {
	l := newLedger()
	l.exchange("b", 2)
	l.checkLevel(t, "after a restart within the commitment", 1)
	l = newLedger()
	l.run(2 * time.Second)
	l.exchange("b", 2)
	l.checkLevel(t, "after a restart beyond the commitment", 0.5)
	l.run(1300 * time.Millisecond)
	l.checkLevel(t, "1.3 s later", 1)
	if o := l.g.Offer("b", l.now); o.Process == 1 {
		t.Error("the offer is for the ended process")
	}
}

// Guards against a new coordinator that waits although nobody can use the quotas, and against one that doesn't wait although the
// predecessor's process may still run.
func TestEndedPredecessorIsNotWaitedFor(t *testing.T) {
	now := clock.Instant(time.Hour)
	for name, step := range map[string]struct {
		broker    int64
		vm        string
		connects  string
		process   int64
		atOnce    float64
		connected float64
	}{
		"later process of the predecessor's VM takes over": {10, "p", "b", 11, 0.5, 1},
		"later process of the predecessor's VM connects":   {10, "c", "p", 11, 0, 1},
		"the predecessor connects":                         {10, "c", "p", 10, 0, 0},
		"another VM connects":                              {10, "c", "b", 11, 0, 0},
		"recent predecessor":                               {RecentBroker, "p", "b", 11, 0, 0},
		"row of an earlier version":                        {0, "p", "b", 11, 0, 0},
	} {
		inherited := Holders{Names: []uint32{HashName("b")}, MaxShare: 0.5, Broker: step.broker}
		if step.connects == "p" {
			inherited.Names[0] = HashName("p")
		}
		l := &ledger{now: now, g: NewGranter(GranterOptions{Coordinator: 1, Allowance: DefaultAllowance, Inherited: inherited, VM: step.vm, Process: 20, Predecessor: "p"}, now)}
		l.g.SetAuthority(now.Add(time.Hour), Holders{}, now)
		l.checkLevel(t, name+": at once", step.atOnce)
		l.exchange(step.connects, step.process)
		l.checkLevel(t, name+": once connected", step.connected)
		l.now = now.Add(1300 * time.Millisecond)
		l.checkLevel(t, name+": 1.3 s later", 1)
	}
}

// Guards against coordinators that follow each other soon and that may each use the tokens that a new one begins with. The row of an
// earlier version doesn't tell when its writer began.
func TestRecentPredecessorLeavesNoInitialTokens(t *testing.T) {
	for former, want := range map[struct {
		vm     string
		broker int64
	}]Verdict{{"", 0}: Granted, {"p", 0}: OverLimit, {"p", 10}: Granted, {"p", RecentBroker}: OverLimit} {
		l := &ledger{now: clock.Instant(time.Hour)}
		l.g = NewGranter(GranterOptions{Coordinator: 1, Allowance: DefaultAllowance, Inherited: Holders{Broker: former.broker}, Predecessor: former.vm, Process: 20}, l.now)
		l.g.SetAuthority(l.now.Add(time.Hour), Holders{}, l.now)
		if v, _ := l.g.Admit("o", Limit{1, 1}, true, l.now); v != want {
			t.Errorf("predecessor %+v: the first request gets %v, want %v", former, v, want)
		}
		if h := l.g.Holders(l.now.Add(7 * time.Second)); h.Broker != RecentBroker {
			t.Errorf("the coordinator names its process %d within a window of its takeover", h.Broker)
		}
		if h := l.g.Holders(l.now.Add(8 * time.Second)); h.Broker != 20 {
			t.Errorf("8 s after its takeover the coordinator stores %d instead of its process", h.Broker)
		}
	}
}

// Guards against buckets that begin with fewer tokens than were gained while nobody could use the quotas, or with more than the time
// allows that each VM tells.
func TestIdleTimeGivesTokens(t *testing.T) {
	now, used := clock.Instant(time.Hour), Limit{20, 20}
	l := &ledger{now: now, g: NewGranter(GranterOptions{Coordinator: 1, Allowance: DefaultAllowance, VM: "p", Process: 20, Predecessor: "p",
		Inherited: Holders{Names: []uint32{HashName("b"), HashName("c")}, MaxShare: 0.25, Broker: 10}, QuietSince: now.Add(-time.Second)}, now)}
	l.g.SetAuthority(now.Add(time.Hour), Holders{}, now)
	check := func(when, name string, limit Limit, want int) {
		t.Helper()
		n := 0
		for v := Granted; v == Granted; {
			if v, _ = l.g.Admit(name, limit, false, now); v == Granted {
				n++
			}
		}
		if n != want {
			t.Errorf("%s: %d requests of %+v are admitted at once, want %d", when, n, limit, want)
		}
	}
	check("half of all, idle for 1 s", "kept", used, 10)
	check("half of all, a limit with less than 3 tokens in 1 s", "small", Limit{1, 100}, 3)
	l.g.Answer("b", Answer{Process: 30, Stamp: 1, Coordinator: 1, QuietMs: 607}, now)
	check("a quarter more, idle for 0.6 s", "kept", used, 3)
	check("a quarter more, idle for 0.6 s", "new", used, 13)
	l.g.Answer("c", Answer{Process: 1, Stamp: 1, Coordinator: 1, Echo: int64(now), Fraction: 0.25, GrantedBy: 9, Serial: 1, LeftMs: 1000, QuietMs: 405}, now)
	check("a quarter that is lent, unused for 0.4 s", "kept", used, 2)
	check("a changed limit", "kept", Limit{30, 30}, 0)
	l.g.Answer("c", Answer{Process: 2, Stamp: 2, Coordinator: 1, Echo: int64(now), QuietMs: 1000}, now)
	check("a later process of a VM that was counted", "kept", Limit{30, 30}, 0)
}

// Guards against a share that counts as idle although this coordinator has used it until the VM's process ended.
func TestShareThatWasLentIsNotIdle(t *testing.T) {
	now, limit := clock.Instant(time.Hour), Limit{20, 20}
	inherited := Holders{Names: []uint32{HashName("p")}, MaxShare: 1, Broker: 10}
	l := &ledger{now: now, g: NewGranter(GranterOptions{Coordinator: 1, Allowance: DefaultAllowance, VM: "c", Process: 20, Predecessor: "p", Inherited: inherited}, now)}
	l.g.SetAuthority(now.Add(time.Hour), inherited, now)
	for range 30 {
		l.exchange("p", 10)
		l.now = l.now.Add(100 * time.Millisecond)
	}
	l.now = l.now.Add(900 * time.Millisecond)
	l.checkLevel(t, "while the VM lends", 1)
	for v := Granted; v == Granted; {
		v, _ = l.g.Admit("o", limit, false, l.now)
	}
	l.g.Answer("p", Answer{Process: 11, Stamp: 1, QuietMs: 900}, l.now)
	if v, _ := l.g.Admit("o", limit, false, l.now); v != OverLimit {
		t.Error("the tokens of a share that was in use are available a second time")
	}
}

// Guards against a share that counts as idle because of a late answer, and that the VM uses itself until it lends the share later.
func TestLateAnswerLeavesShareUncounted(t *testing.T) {
	now, limit := clock.Instant(time.Hour), Limit{20, 20}
	g := NewGranter(GranterOptions{Coordinator: 1, Allowance: DefaultAllowance, VM: "p", Process: 20, Predecessor: "p",
		Inherited: Holders{Names: []uint32{HashName("b")}, MaxShare: 0.5, Broker: 10}, QuietSince: now.Add(-2 * time.Second)}, now)
	g.SetAuthority(now.Add(time.Hour), Holders{}, now)
	a := Answer{Process: 1, Stamp: 1, Coordinator: 1, Echo: int64(now.Add(-LendTime)), Fraction: 0.5, GrantedBy: 9, Serial: 1, LeftMs: 1000, QuietMs: 2000}
	g.Answer("b", a, now)
	a.Stamp, a.Echo, a.QuietMs = 2, int64(now), 0
	g.Answer("b", a, now)
	if level := g.Level(now); level != 1 {
		t.Fatalf("the broker may use %v, want 1", level)
	}
	n := 0
	for v := Granted; v == Granted; n++ {
		v, _ = g.Admit("o", limit, false, now)
	}
	if n-1 != 10 {
		t.Errorf("%d requests are admitted at once, want 10 for the half that was idle", n-1)
	}
}

// Guards against a VM that doesn't tell that it has just taken a token.
func TestQuietTimeEndsWithEachToken(t *testing.T) {
	now := clock.Instant(time.Hour)
	h := NewHolder(1, DefaultAllowance, now)
	h.Offer(Offer{Coordinator: 1, Stamp: 1, Process: 1, Echo: int64(now), Serial: 1, Fraction: 1}, now)
	h.Disconnected()
	now = now.Add(2 * time.Second)
	if v, _ := h.Take("o", Limit{20, 20}, now); v != Granted {
		t.Fatal(v)
	}
	now = now.Add(500 * time.Millisecond)
	h.Offer(Offer{Coordinator: 2, Stamp: 1}, now)
	if a, _ := h.Answer(now); a.QuietMs != 500 {
		t.Errorf("the VM reports %d ms without a token, want 500", a.QuietMs)
	}
}

// Guards against a coordinator whose lease has ended and that still uses or renews shares.
func TestEndedLeaseEndsUse(t *testing.T) {
	l := newLedger()
	l.g.SetAuthority(l.now.Add(time.Second), Holders{}, l.now)
	l.now = l.now.Add(time.Second)
	l.exchange("a", 1)
	l.checkLevel(t, "after the lease's end", 0)
	if o := l.g.Offer("a", l.now); o.Serial != 0 {
		t.Errorf("the offer renews a grant: %+v", o)
	}
}

// Guards against a burst that returns with a fraction that was away for a moment: it may have been used elsewhere.
func TestFractionThatReturnsBringsNoTokens(t *testing.T) {
	l, limit := newLedger(), Limit{Rate: 1, Burst: 100}
	l.g.supply.gained += 1000
	take := func(name string) (n int) {
		for {
			if v, _ := l.g.Admit(name, limit, false, l.now); v != Granted {
				return n
			}
			n++
		}
	}
	if n := take("early"); n != 100 {
		t.Errorf("%d requests admitted at once, want the burst of 100", n)
	}
	l.g.Admit("kept", limit, false, l.now)
	l.run(1500 * time.Millisecond)
	l.exchange("b", 1)
	l.checkLevel(t, "after the VM's return", 1)
	for _, name := range []string{"kept", "new"} {
		if n := take(name); n < 50 || n > 52 {
			t.Errorf("%s: %d requests admitted at once, want half of the burst", name, n)
		}
	}
}

// Guards against a limit that is raised and at once has the tokens of the time before, and one that is lowered and keeps its tokens.
func TestChangedLimit(t *testing.T) {
	l := newLedger()
	admit := func(rate, burst float64) bool {
		v, _ := l.g.Admit("o", Limit{rate, burst}, false, l.now)
		return v == Granted
	}
	for admit(1, 3) {
	}
	l.run(500 * time.Millisecond)
	if admit(100, 100) {
		t.Error("a raised limit permits a request at once")
	}
	l.run(time.Second)
	n := 0
	for admit(5, 5) {
		n++
	}
	if n > 5 {
		t.Errorf("a lowered limit permits %d requests at once, want 5", n)
	}
}
