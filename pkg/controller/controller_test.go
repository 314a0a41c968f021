package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// testConfig returns the configuration of a cell with two failure domains, a keyed pool and a plain one.
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

func requireComplete(t *testing.T, sim *simulation, limit time.Duration) time.Duration {
	t.Helper()
	d, ok := sim.runUntil(limit, sim.complete)
	if sim.violation != "" {
		t.Fatal(sim.violation)
	}
	if !ok {
		t.Fatalf("cell not complete after %v: %s", d, sim.describe())
	}
	return d
}

// TestColdStart guards against a cell that never begins to serve after an initial start.
func TestColdStart(t *testing.T) {
	sim := newSimulation(1, 6, testConfig(1, 8))
	t.Logf("complete after %v", requireComplete(t, sim, 10*time.Second))
}

// TestRouterLoss guards against groups that stay without a gateway after their router is lost, with the store
// reachable and unreachable.
func TestRouterLoss(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		sim := newSimulation(2, 6, testConfig(1, 8))
		requireComplete(t, sim, 10*time.Second)
		sim.run(5 * time.Second)
		if storeDown {
			sim.store.SetDown(true)
			sim.run(20 * time.Second)
		}
		sim.killRouter(sim.routers[0])
		sim.run(10 * time.Millisecond)
		d := requireComplete(t, sim, 10*time.Second)
		t.Logf("store down %v: complete %v after the loss of a router", storeDown, d)
		if d > 4*time.Second {
			t.Errorf("failover took %v, bound 4s", d)
		}
	}
}

// TestDomainAndControllerLoss guards against a cell that stops serving when the controller and a failure domain with
// half of the routers are lost together.
func TestDomainAndControllerLoss(t *testing.T) {
	sim := newSimulation(3, 6, testConfig(1, 8))
	requireComplete(t, sim, 10*time.Second)
	sim.run(5 * time.Second)
	for i := 0; i < 6; i += 2 {
		sim.killRouter(sim.routers[i])
	}
	for _, c := range sim.candidates {
		if c.state == sim.leader() {
			c.dead = true
			break
		}
	}
	sim.run(10 * time.Millisecond)
	t.Logf("complete %v after the loss", requireComplete(t, sim, 20*time.Second))
}

// TestControllerStop guards against a planned stop that leaves the cell without a controller until the term is stale.
func TestControllerStop(t *testing.T) {
	sim := newSimulation(4, 6, testConfig(1, 8))
	requireComplete(t, sim, 10*time.Second)
	sim.run(5 * time.Second)
	old := sim.leader()
	for _, c := range sim.candidates {
		if c.state == old {
			old.Stop(c.clock(sim))
		}
	}
	d, ok := sim.runUntil(10*time.Second, func() bool { return sim.leader() != nil && sim.leader().lead.collected })
	if !ok || sim.violation != "" {
		t.Fatal("no successor", sim.violation)
	}
	t.Logf("successor active after %v", d)
	if d > 2*time.Second {
		t.Errorf("handover took %v", d)
	}
	for _, r := range sim.routers {
		if r.expiryCount > 0 {
			t.Errorf("%s dropped its groups during the handover", r.name)
		}
	}
}

// TestControllerLoss guards against routers that lose their groups because their controller is lost.
func TestControllerLoss(t *testing.T) {
	sim := newSimulation(5, 6, testConfig(1, 8))
	requireComplete(t, sim, 10*time.Second)
	sim.run(5 * time.Second)
	for _, c := range sim.candidates {
		if c.state == sim.leader() {
			c.dead = true
			break
		}
	}
	d, ok := sim.runUntil(20*time.Second, func() bool { return sim.leader() != nil && sim.leader().lead.collected })
	if !ok || sim.violation != "" {
		t.Fatal("no successor", sim.violation)
	}
	t.Logf("successor active after %v", d)
	for _, r := range sim.routers {
		if r.expiryCount > 0 {
			t.Errorf("%s dropped its groups", r.name)
		}
	}
}

// TestTargetLoss guards against keys that stay with a lost target, with the store reachable and unreachable.
func TestTargetLoss(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		sim := newSimulation(6, 6, testConfig(1, 8))
		requireComplete(t, sim, 10*time.Second)
		sim.run(5 * time.Second)
		if storeDown {
			sim.store.SetDown(true)
			sim.run(20 * time.Second)
		}
		sim.lostTargets["k0"] = true
		d := requireComplete(t, sim, 10*time.Second)
		t.Logf("store down %v: complete %v after the loss of a target was known", storeDown, d)
		if d > 4*time.Second {
			t.Errorf("took %v, bound 4s", d)
		}
		sim.store.SetDown(false)
		sim.run(10 * time.Second)
		for _, sl := range sim.leader().lead.pools["keyed"].slices {
			if sl.promoted {
				t.Errorf("slice %d is not in the store", sl.Low)
			}
		}
	}
}

// TestDomainOutOfService guards against slices that stay in a failure domain that operators have taken out of
// service.
func TestDomainOutOfService(t *testing.T) {
	sim := newSimulation(7, 6, testConfig(1, 8))
	requireComplete(t, sim, 10*time.Second)
	sim.run(5 * time.Second)
	out := testConfig(2, 8)
	out.Out.Domains = []string{"north-b"}
	sim.putConfig(out)
	left := func() bool {
		for _, sl := range sim.leader().lead.table.Slices {
			for _, target := range out.Pools[0].Targets {
				if target.Domain == "north-b" && (sl.Owner == target.ID || sl.Owner == "") {
					return false
				}
			}
		}
		return sim.leader().configVersion() == 2
	}
	d, ok := sim.runUntil(10*time.Second, left)
	if !ok || sim.violation != "" {
		t.Fatal("slices stay in the failure domain", sim.violation)
	}
	t.Logf("no slice in the failure domain %v after the change", d)
	if d > 2*time.Second {
		t.Errorf("took %v, bound 2s", d)
	}
}

// TestVMOutOfService guards against groups that stay with a gateway whose VM operators have taken out of service.
func TestVMOutOfService(t *testing.T) {
	sim := newSimulation(8, 6, testConfig(1, 8))
	requireComplete(t, sim, 10*time.Second)
	sim.run(5 * time.Second)
	out := testConfig(2, 8)
	for _, r := range sim.routers {
		if len(r.groups) > 0 {
			out.Out.VMs = []string{r.name}
		}
	}
	sim.putConfig(out)
	gone := func() bool {
		r := sim.router(out.Out.VMs[0])
		return sim.leader().configVersion() == 2 && len(r.groups) == 0 && sim.complete()
	}
	d, ok := sim.runUntil(10*time.Second, gone)
	if !ok || sim.violation != "" {
		t.Fatal("groups stay with the gateway", sim.violation)
	}
	t.Logf("groups elsewhere %v after the change", d)
	if d > 2*time.Second {
		t.Errorf("took %v, bound 2s", d)
	}
}

// TestLeaseEndsWithAuthority guards against leases that outlast the authority of a controller that is disconnected
// from the store: its last lease to a router that only it can reach must end before the successor grants that
// router's groups.
func TestLeaseEndsWithAuthority(t *testing.T) {
	for seed := range int64(20) {
		sim := newSimulation(100+seed, 4, testConfig(1, 8))
		requireComplete(t, sim, 10*time.Second)
		sim.run(5*time.Second + time.Duration(seed)*50*time.Millisecond)
		old := sim.leadingCandidate()
		isolated := sim.routers[0]
		sim.disconnected[old.name+"|store"] = true
		for _, r := range sim.routers[1:] {
			sim.disconnected[isolated.name+"|"+r.name] = true
		}
		for _, c := range sim.candidates {
			if c != old {
				sim.disconnected[isolated.name+"|"+c.name] = true
			}
		}
		if d, ok := sim.runUntil(15*time.Second, func() bool { return sim.heldByOthers(isolated) }); !ok || sim.violation != "" {
			t.Fatalf("seed %d: groups of the isolated router not granted again after %v: %s", seed, d, sim.violation)
		}
	}
}

// heldByOthers reports whether routers other than the given one hold every group.
func (sim *simulation) heldByOthers(excluded *fakeRouter) bool {
	held := map[topology.GroupID]bool{}
	for _, r := range sim.routers {
		for id := range r.groups {
			if r != excluded && r.hasAuthority() {
				held[id] = true
			}
		}
	}
	return len(held) == 4 && len(excluded.groups) == 0
}

// TestPreviousRosterKeptUntilConfirmed guards against a previous roster that is dropped while holders don't know the
// new one. All holders are disconnected from the controller but not from each other, and a larger number of new
// routers joins. The holders keep their groups by the roster that they know, so no other router may get them.
func TestPreviousRosterKeptUntilConfirmed(t *testing.T) {
	for seed := range int64(5) {
		sim := newSimulation(300+seed, 3, testConfig(1, 8))
		requireComplete(t, sim, 10*time.Second)
		sim.run(5 * time.Second)
		for _, r := range sim.routers {
			for _, c := range sim.candidates {
				sim.disconnected[r.name+"|"+c.name] = true
			}
		}
		holders := sim.routers[:3]
		for i := range 6 {
			sim.addRouter(fmt.Sprintf("new%d", i), "north-a")
		}
		sim.run(15 * time.Second)
		for _, r := range holders {
			if r.expiryCount > 0 {
				t.Errorf("seed %d: %s lost its groups", seed, r.name)
			}
		}
		sim.clearFaults()
		requireComplete(t, sim, recoveryBound)
	}
}

// TestPromotionSurvivesControllerLoss guards against a promotion without the store that the next controller doesn't
// know. The controller promotes successors while only the gateway of the promoted owners can reach it, and is lost.
// Then the store returns, and the configuration takes the promoted owners out of service, so that the next controller
// chooses others.
func TestPromotionSurvivesControllerLoss(t *testing.T) {
	for seed := range int64(20) {
		sim := newSimulation(200+seed, 6, longDeadlineConfig(1))
		requireComplete(t, sim, 10*time.Second)
		sim.run(8 * time.Second)
		sim.store.SetDown(true)
		sim.run(5 * time.Second)
		old := sim.leadingCandidate()
		for _, target := range sim.cfg.Pools[0].Targets {
			sim.lostTargets[target.ID] = target.Domain == "north-b"
		}
		sim.runUntil(5*time.Second, func() bool { return promotionPublished(old.state) })
		for _, r := range sim.routers {
			sim.restrictLinks(r, old, r.groups["keyed/north-a/0"] != nil)
		}
		sim.run(500 * time.Millisecond)
		old.dead = true
		sim.store.SetDown(false)
		out := longDeadlineConfig(2)
		out.Out.Targets = []string{"k0", "k2"}
		sim.putConfig(out)
		sim.run(8 * time.Second)
		sim.clearFaults()
		requireComplete(t, sim, recoveryBound)
	}
}

// restrictLinks leaves a router connected only to the old controller, or disconnects it only from that controller.
func (sim *simulation) restrictLinks(r *fakeRouter, old *candidate, onlyOld bool) {
	if !onlyOld {
		sim.disconnected[r.name+"|"+old.name] = true
		return
	}
	for _, other := range sim.routers {
		sim.disconnected[r.name+"|"+other.name] = other != r
	}
	for _, c := range sim.candidates {
		sim.disconnected[r.name+"|"+c.name] = c != old
	}
}

// longDeadlineConfig returns a configuration in which keyed requests may run for 4 s.
func longDeadlineConfig(version uint64) *config.Config {
	cfg := testConfig(version, 8)
	cfg.Pools[0].MaxDeadline = 4000
	return cfg
}

// promotionPublished reports whether the controller's table shows an owner with a reserved epoch.
func promotionPublished(s *State) bool {
	for _, sl := range s.lead.table.Slices {
		if sl.Owner != "" && sl.Epoch%placement.EpochStep != 1 {
			return true
		}
	}
	return false
}
