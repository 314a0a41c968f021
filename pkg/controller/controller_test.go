package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// testConfig is a cell with two failure domains, a keyed pool and a plain one.
func testConfig(version uint64, targets int) *config.Config {
	cfg := &config.Config{Version: version, LinkBytesPerSecond: 1 << 20,
		Regions: []config.Region{{Name: "north", Domains: []string{"north-a", "north-b"}}}}
	keyed := config.Pool{Name: "keyed", Keyed: true, Slots: 2, Connections: 20, ColdConcurrency: 1, QueueLimit: 10,
		MaxDeadline: 1000, SlicesPerTarget: 4, MovesPerMinute: 30, RepeatWindow: 60000}
	plain := config.Pool{Name: "plain", Slots: 2, Connections: 20, ColdConcurrency: 1, QueueLimit: 10, MaxDeadline: 1000,
		RepeatWindow: 60000}
	for i := range targets {
		domain := cfg.Regions[0].Domains[i%2]
		keyed.Targets = append(keyed.Targets, config.Target{ID: fmt.Sprintf("k%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 20000+i), Domain: domain})
		plain.Targets = append(plain.Targets, config.Target{ID: fmt.Sprintf("p%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 21000+i), Domain: domain})
	}
	cfg.Pools = []config.Pool{keyed, plain}
	cfg.Routes = []config.Route{
		{Name: "k", PathPrefix: "/k", Methods: []string{"GET"}, Pool: "keyed", Class: "k", Weight: 1, Idempotent: true,
			Key: config.KeySource{Place: config.KeyInHeader, Name: "X-Key"}, Deadline: 1000, MaxBodyBytes: 1000},
		{Name: "p", PathPrefix: "/p", Methods: []string{"GET"}, Pool: "plain", Class: "p", Weight: 1, Idempotent: true, Deadline: 1000, MaxBodyBytes: 1000},
	}
	return cfg
}

func mustComplete(t *testing.T, w *world, limit time.Duration) time.Duration {
	t.Helper()
	d, ok := w.await(limit, w.complete)
	if w.violation != "" {
		t.Fatal(w.violation)
	}
	if !ok {
		t.Fatalf("cell not complete after %v: %s", d, w.describe())
	}
	return d
}

// TestColdStart guards against a cell that never starts to serve.
func TestColdStart(t *testing.T) {
	w := newWorld(1, 6, testConfig(1, 8))
	t.Logf("complete after %v", mustComplete(t, w, 10*time.Second))
}

// TestRouterLoss guards against groups that stay without a gateway after their router is lost.
func TestRouterLoss(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		w := newWorld(2, 6, testConfig(1, 8))
		mustComplete(t, w, 10*time.Second)
		w.run(5 * time.Second)
		if storeDown {
			w.store.SetDown(true)
			w.run(20 * time.Second)
		}
		w.kill(w.routers[0])
		w.run(10 * time.Millisecond)
		d := mustComplete(t, w, 10*time.Second)
		t.Logf("store down %v: complete %v after the loss of a router", storeDown, d)
		if d > 4*time.Second {
			t.Errorf("failover took %v, bound 4s", d)
		}
	}
}

// TestHalfLost guards against a cell that stops when a failure domain with half of the routers and the controller are
// lost together.
func TestHalfLost(t *testing.T) {
	w := newWorld(3, 6, testConfig(1, 8))
	mustComplete(t, w, 10*time.Second)
	w.run(5 * time.Second)
	for i := 0; i < 6; i += 2 {
		w.kill(w.routers[i])
	}
	for _, c := range w.cands {
		if c.state == w.leader() {
			c.dead = true
			break
		}
	}
	w.run(10 * time.Millisecond)
	t.Logf("complete %v after the loss", mustComplete(t, w, 20*time.Second))
}

// TestControllerStop guards against a planned stop that leaves the cell without a controller until the term is stale.
func TestControllerStop(t *testing.T) {
	w := newWorld(4, 6, testConfig(1, 8))
	mustComplete(t, w, 10*time.Second)
	w.run(5 * time.Second)
	old := w.leader()
	for _, c := range w.cands {
		if c.state == old {
			old.Stop(c.clock(w))
		}
	}
	d, ok := w.await(10*time.Second, func() bool { return w.leader() != nil && w.leader().lead.collected })
	if !ok || w.violation != "" {
		t.Fatal("no successor", w.violation)
	}
	t.Logf("successor active after %v", d)
	if d > 2*time.Second {
		t.Errorf("hand-over took %v", d)
	}
	for _, r := range w.routers {
		if r.lapseCount > 0 {
			t.Errorf("%s dropped its groups during the hand-over", r.name)
		}
	}
}

// TestControllerLoss guards against routers that lose their groups because their controller is lost.
func TestControllerLoss(t *testing.T) {
	w := newWorld(5, 6, testConfig(1, 8))
	mustComplete(t, w, 10*time.Second)
	w.run(5 * time.Second)
	for _, c := range w.cands {
		if c.state == w.leader() {
			c.dead = true
			break
		}
	}
	d, ok := w.await(20*time.Second, func() bool { return w.leader() != nil && w.leader().lead.collected })
	if !ok || w.violation != "" {
		t.Fatal("no successor", w.violation)
	}
	t.Logf("successor active after %v", d)
	for _, r := range w.routers {
		if r.lapseCount > 0 {
			t.Errorf("%s dropped its groups", r.name)
		}
	}
}

// TestTargetLoss guards against keys that stay with a lost target, with the store reachable and not.
func TestTargetLoss(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		w := newWorld(6, 6, testConfig(1, 8))
		mustComplete(t, w, 10*time.Second)
		w.run(5 * time.Second)
		if storeDown {
			w.store.SetDown(true)
			w.run(20 * time.Second)
		}
		w.lost["k0"] = true
		d := mustComplete(t, w, 10*time.Second)
		t.Logf("store down %v: complete %v after the loss of a target was known", storeDown, d)
		if d > 4*time.Second {
			t.Errorf("took %v, bound 4s", d)
		}
		w.store.SetDown(false)
		w.run(10 * time.Second)
		for _, sl := range w.leader().lead.pools["keyed"].slices {
			if sl.promoted {
				t.Errorf("slice %d is not in the store", sl.Low)
			}
		}
	}
}

// TestDomainOut guards against slices that stay in a failure domain that is out, and against a return that fails.
func TestDomainOut(t *testing.T) {
	w := newWorld(7, 6, testConfig(1, 8))
	mustComplete(t, w, 10*time.Second)
	w.run(5 * time.Second)
	out := testConfig(2, 8)
	out.Out.Domains = []string{"north-b"}
	w.putConfig(out)
	left := func() bool {
		for _, sl := range w.leader().lead.table.Slices {
			for _, target := range out.Pools[0].Targets {
				if target.Domain == "north-b" && (sl.Owner == target.ID || sl.Owner == "") {
					return false
				}
			}
		}
		return w.leader().configVersion() == 2
	}
	d, ok := w.await(10*time.Second, left)
	if !ok || w.violation != "" {
		t.Fatal("slices stay in the failure domain", w.violation)
	}
	t.Logf("no slice in the failure domain %v after the change", d)
	if d > 2*time.Second {
		t.Errorf("took %v, bound 2s", d)
	}
}

// TestVMOut guards against groups that stay with a gateway that is taken out of service.
func TestVMOut(t *testing.T) {
	w := newWorld(8, 6, testConfig(1, 8))
	mustComplete(t, w, 10*time.Second)
	w.run(5 * time.Second)
	out := testConfig(2, 8)
	for _, r := range w.routers {
		if len(r.groups) > 0 {
			out.Out.VMs = []string{r.name}
		}
	}
	w.putConfig(out)
	gone := func() bool {
		r := w.router(out.Out.VMs[0])
		return w.leader().configVersion() == 2 && len(r.groups) == 0 && w.complete()
	}
	d, ok := w.await(10*time.Second, gone)
	if !ok || w.violation != "" {
		t.Fatal("groups stay with the gateway", w.violation)
	}
	t.Logf("groups elsewhere %v after the change", d)
	if d > 2*time.Second {
		t.Errorf("took %v, bound 2s", d)
	}
}

// TestClampedLease guards against leases that outlast the authority of a controller that is cut off from the store: its
// last lease to a router that only it can reach must end before the successor grants that router's groups.
func TestClampedLease(t *testing.T) {
	for seed := range int64(20) {
		w := newWorld(100+seed, 4, testConfig(1, 8))
		mustComplete(t, w, 10*time.Second)
		w.run(5*time.Second + time.Duration(seed)*50*time.Millisecond)
		old := w.leadingCandidate()
		lone := w.routers[0]
		w.cut[old.name+"|store"] = true
		for _, r := range w.routers[1:] {
			w.cut[lone.name+"|"+r.name] = true
		}
		for _, c := range w.cands {
			if c != old {
				w.cut[lone.name+"|"+c.name] = true
			}
		}
		if d, ok := w.await(15*time.Second, func() bool { return w.others(lone) }); !ok || w.violation != "" {
			t.Fatalf("seed %d: groups of the lone router not granted again after %v: %s", seed, d, w.violation)
		}
	}
}

// others tells whether routers other than one hold every group.
func (w *world) others(lone *fakeRouter) bool {
	held := map[topology.GroupID]bool{}
	for _, r := range w.routers {
		for id := range r.groups {
			if r != lone && r.valid() {
				held[id] = true
			}
		}
	}
	return len(held) == 4 && len(lone.groups) == 0
}

// TestRosterConfirmed guards against a previous roster that is dropped while holders don't know the new one. All holders
// are cut off from the controller but not from each other, and a larger number of new routers comes: the holders keep their
// groups by the roster that they know, so that nobody else may get them.
func TestRosterConfirmed(t *testing.T) {
	for seed := range int64(5) {
		w := newWorld(300+seed, 3, testConfig(1, 8))
		mustComplete(t, w, 10*time.Second)
		w.run(5 * time.Second)
		for _, r := range w.routers {
			for _, c := range w.cands {
				w.cut[r.name+"|"+c.name] = true
			}
		}
		holders := w.routers[:3]
		for i := range 6 {
			w.addRouter(fmt.Sprintf("new%d", i), "north-a")
		}
		w.run(15 * time.Second)
		for _, r := range holders {
			if r.lapseCount > 0 {
				t.Errorf("seed %d: %s lost its groups", seed, r.name)
			}
		}
		w.heal()
		mustComplete(t, w, recovery)
	}
}

// TestPromotionSurvives guards against a promotion without the store that the next controller doesn't know. The
// controller promotes while only the gateway of the promoted owners can still reach it, and is lost; then the store comes
// back, and the configuration takes the promoted owners out, so that the next controller chooses others.
func TestPromotionSurvives(t *testing.T) {
	for seed := range int64(20) {
		w := newWorld(200+seed, 6, slowConfig(1))
		mustComplete(t, w, 10*time.Second)
		w.run(8 * time.Second)
		w.store.SetDown(true)
		w.run(5 * time.Second)
		old := w.leadingCandidate()
		for _, target := range w.cfg.Pools[0].Targets {
			w.lost[target.ID] = target.Domain == "north-b"
		}
		w.await(5*time.Second, func() bool { return promotedShown(old.state) })
		for _, r := range w.routers {
			w.isolate(r, old, r.groups["keyed/north-a/0"] != nil)
		}
		w.run(500 * time.Millisecond)
		old.dead = true
		w.store.SetDown(false)
		out := slowConfig(2)
		out.Out.Targets = []string{"k0", "k2"}
		w.putConfig(out)
		w.run(8 * time.Second)
		w.heal()
		mustComplete(t, w, recovery)
	}
}

// isolate leaves a router only the old controller, or takes the old controller from it.
func (w *world) isolate(r *fakeRouter, old *candidate, alone bool) {
	if !alone {
		w.cut[r.name+"|"+old.name] = true
		return
	}
	for _, other := range w.routers {
		w.cut[r.name+"|"+other.name] = other != r
	}
	for _, c := range w.cands {
		w.cut[r.name+"|"+c.name] = c != old
	}
}

// slowConfig has requests that may run for 4 s.
func slowConfig(version uint64) *config.Config {
	cfg := testConfig(version, 8)
	cfg.Pools[0].MaxDeadline = 4000
	return cfg
}

// promotedShown tells whether the controller's table shows an owner with a reserved epoch.
func promotedShown(s *State) bool {
	for _, sl := range s.lead.table.Slices {
		if sl.Owner != "" && sl.Epoch%placement.EpochStep != 1 {
			return true
		}
	}
	return false
}
