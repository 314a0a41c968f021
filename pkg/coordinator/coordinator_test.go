package coordinator

import (
	"errors"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// Guards against two holders of a key, and against fences that don't increase, under crashes, restarts, store partitions, lost
// responses and calls that are applied late. After the faults, all keys must be served again.
func TestNoKeyHasTwoHolders(t *testing.T) {
	for seed := range *seeds {
		sim := newSimulation(t, seed, 3, 6)
		sim.runFor(5 * time.Second)
		for range 15 {
			sim.injectFault()
			sim.runFor(time.Duration(sim.rng.IntN(3000)) * time.Millisecond)
		}
		sim.runFor(25 * time.Second)
		if share := sim.servedShare(); share < 1 {
			t.Errorf("seed %d: only %.2f of the keys are served 25 s after the last fault", seed, share)
		}
		if sim.grantCount == 0 {
			t.Errorf("seed %d: no key was granted", seed)
		}
	}
}

// Guards against a restarted target that is granted the fence of its former incarnation. This happens if a grant opens a new
// connection before the restart is known. Grants with an acknowledged fence are bound to the connection of the acknowledgement,
// which the simulation models. Each new connection may lead to the next incarnation.
func TestRestartedTargetGetsNewFence(t *testing.T) {
	for seed := range uint64(120) {
		sim := newSimulation(t, seed, 3, 6)
		sim.runFor(5 * time.Second)
		for range 15 {
			sim.injectFault()
			sim.runFor(time.Duration(sim.rng.IntN(3000)) * time.Millisecond)
		}
	}
}

// Guards against keys that have no owner for longer than 4.5 s after the loss of a target.
func TestKeysAreServedSoonAfterTargetLoss(t *testing.T) {
	sim := newSimulation(t, 3, 2, 5)
	sim.runFor(6 * time.Second)
	if sim.servedShare() != 1 {
		t.Fatal("not all keys are served before the loss")
	}
	sim.crash(sim.targets["t2"])
	sim.runFor(4500 * time.Millisecond)
	if share := sim.servedShare(); share != 1 {
		t.Errorf("%.2f of the keys are served 4.5 s after the loss", share)
	}
}

// Guards against grants that expire while the store is unavailable to all VMs for 9 s.
func TestKeysAreServedDuringStoreOutage(t *testing.T) {
	sim := newSimulation(t, 4, 3, 5)
	sim.runFor(6 * time.Second)
	sim.storeDown[""] = true
	sim.runFor(9 * time.Second)
	if share := sim.servedShare(); share != 1 {
		t.Errorf("%.2f of the keys are served after 9 s without the store", share)
	}
}

// Guards against two coordinators, and against a role that no VM takes over after the coordinator is gone.
func TestLeadershipOfLostCoordinatorIsTakenOver(t *testing.T) {
	sim := newSimulation(t, 5, 3, 4)
	sim.runFor(4 * time.Second)
	leaders := func() (list []*node) {
		for _, n := range sim.nodes {
			if n.alive && n.c.Leading(sim.now) {
				list = append(list, n)
			}
		}
		return list
	}
	first := leaders()
	if len(first) != 1 {
		t.Fatalf("%d coordinators", len(first))
	}
	first[0].alive = false
	sim.runFor(LeaseTTL + 2*time.Second)
	if second := leaders(); len(second) != 1 {
		t.Fatalf("%d coordinators after the loss of one", len(second))
	}
}

// Guards against a successor that waits for the lease to expire although the coordinator has released the role.
func TestReleasedLeadershipIsTakenOverQuickly(t *testing.T) {
	sim := newSimulation(t, 6, 2, 4)
	sim.runFor(4 * time.Second)
	for _, n := range sim.nodes {
		if !n.c.Leading(sim.now) {
			continue
		}
		for range 40 {
			if n.c.Stopped() {
				break
			}
			sim.runEffects(n, n.incarnation, n.c.Stop(sim.now, true))
			sim.runFor(20 * time.Millisecond)
		}
		if !n.c.Stopped() {
			t.Fatal("the role was not released")
		}
		n.alive = false
		break
	}
	sim.runFor(1500 * time.Millisecond)
	for _, n := range sim.nodes {
		if n.alive && n.c.Leading(sim.now) {
			return
		}
	}
	t.Error("no VM has taken over the role 1.5 s after its release")
}

// Guards against ErrLeaseEnded being counted as a failure of the target, and against a fence that is sent again after the
// incarnation that acknowledged it may have ended.
func TestFailedGrantGetsNewFence(t *testing.T) {
	for _, tc := range []struct {
		name       string
		connection int64
		err        error
		epoch      int64
		stale      bool
	}{
		{"not sent in time", 7, ErrLeaseEnded, 0, false},
		{"not sent after an acknowledgement", 7, errors.Join(keygrant.ErrUnsent), 1, false},
		{"not sent before an acknowledgement", 0, errors.Join(keygrant.ErrUnsent), 0, false},
		{"no response", 0, errors.Join(keygrant.ErrOutcomeUnknown), 1, false},
		{"no response after an acknowledgement", 7, errors.Join(keygrant.ErrOutcomeUnknown), 1, false},
		{"connection closed", 7, errors.Join(keygrant.ErrDisconnected), 1, false},
		{"higher fence seen by the target", 7, errors.Join(keygrant.ErrFenced), 0, true},
	} {
		g := &grantState{connection: tc.connection}
		g.grantFailed(tc.err)
		if g.epoch != tc.epoch || g.stale != tc.stale || g.epoch != 0 && g.connection != 0 {
			t.Errorf("%s: epoch %d, stale %v, connection %d", tc.name, g.epoch, g.stale, g.connection)
		}
	}
}

// Guards against epochs that overflow into the next stored fence.
func TestEpochsStayBelowNextFence(t *testing.T) {
	g := &grantState{}
	for range epochsPerFence {
		if !g.stale {
			g.grantFailed(keygrant.ErrOutcomeUnknown)
		}
	}
	if !g.stale || wireFence(4, g.epoch) >= wireFence(5, 0) {
		t.Errorf("after %d failures: stale %v, epoch %d", epochsPerFence, g.stale, g.epoch)
	}
}

// Guards against a second holder of keys when a target restarts at the same address. A grant to the former incarnation may have
// reached the new one, so the restart does not prove that the target holds no keys.
func TestRestartAtSameAddressDoesNotFreeKeys(t *testing.T) {
	for _, tc := range []struct {
		name, former, current string
		free                  bool
	}{
		{"same address", "a", "a", false},
		{"another address", "a", "b", true},
		{"unknown former address", "", "b", false},
	} {
		cfg := inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "p", Keyed: true}}, nil)
		coordinator := New(Identity{VM: "n0"})
		coordinator.view.Snapshot = inventory.NewSnapshot(cfg, []*inventory.Target{{ID: "t0", Pool: "p", Address: tc.current, Started: 2}}, nil)
		if tc.former != "" {
			coordinator.addresses[incarnation{"t0", 1}] = tc.former
		}
		now := clock.Instant(10 * time.Second)
		s := &keyrange.Slice{From: 0, To: 9, Owner: "t1", Previous: "t0", PreviousStarted: 1}
		g := &grantState{previousEnd: now.Add(time.Second)}
		if free := coordinator.previousOwnerGone(&poolState{name: "p"}, s, g, now); free != tc.free {
			t.Errorf("%s: the previous owner is gone: %v", tc.name, free)
		}
		g.released = true
		if !coordinator.previousOwnerGone(&poolState{name: "p"}, s, g, now) {
			t.Errorf("%s: the previous owner is not gone after the release", tc.name)
		}
	}
}

// Guards against keys that wait for the grants of a target although a later target at its address proves that it is gone. An
// earlier target at the address proves nothing, because its registration may outlast it. Nor does a registration of a pool that
// isn't configured: another writer's registration with the address of an owner made two targets hold the same keys for 3 s.
func TestLaterTargetAtSameAddressFreesKeys(t *testing.T) {
	configured := inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "p", Keyed: true}, {Name: "q"}}, nil)
	for _, tc := range []struct {
		name    string
		cfg     *inventory.Configuration
		pool    string
		address string
		started int64
		free    bool
	}{
		{"later target at the address", configured, "q", "a", 10_000, true},
		{"earlier target at the address", configured, "q", "a", 1_000, false},
		{"target that started at about the same time", configured, "q", "a", 5_500, false},
		{"later target at another address", configured, "q", "b", 10_000, false},
		{"later registration of an unknown pool", configured, "foreign", "a", 10_000, false},
		{"later registration while no configuration is known", nil, "foreign", "a", 10_000, false},
	} {
		coordinator := New(Identity{VM: "n0"})
		coordinator.view.Snapshot = inventory.NewSnapshot(tc.cfg, []*inventory.Target{{ID: "t9", Pool: tc.pool, Address: tc.address, Started: tc.started}}, nil)
		coordinator.addresses[incarnation{"t0", 5_000}] = "a"
		now := clock.Instant(10 * time.Second)
		coordinator.priorGrantsEnd = now.Add(time.Second)
		s := &keyrange.Slice{From: 0, To: 9, Owner: "t1", Previous: "t0", PreviousStarted: 5_000}
		g := &grantState{previousEnd: now.Add(time.Second)}
		if free := coordinator.previousOwnerGone(&poolState{name: "p"}, s, g, now); free != tc.free {
			t.Errorf("%s: the previous owner is gone: %v", tc.name, free)
		}
	}
}

// Guards against keys that aren't released by a leaving owner because a registration of another writer bears the owner's address:
// the release must be sent, and the next owner must wait for it.
func TestForeignRegistrationDoesNotPreventRelease(t *testing.T) {
	cfg := inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "p", Keyed: true}}, nil)
	coordinator := New(Identity{VM: "n0"})
	coordinator.view.Snapshot = inventory.NewSnapshot(cfg, []*inventory.Target{
		{ID: "t0", Pool: "p", Address: "a", Started: 5_000, Draining: true},
		{ID: "t9", Pool: "foreign", Address: "a", Started: 10_000},
	}, nil)
	coordinator.recordAddresses()
	now := clock.Instant(10 * time.Second)
	s := keyrange.Slice{From: 0, To: 9, Fence: 2, Owner: "t1", Previous: "t0", PreviousStarted: 5_000, PreviousFence: 1}
	p := &poolState{name: "p", table: &keyrange.Table{Slices: []keyrange.Slice{s}}, grants: map[int64]*grantState{2: {previousEnd: now.Add(time.Second)}}}
	coordinator.callsByOwner = map[incarnation][]*grantCall{}
	coordinator.advanceSlice(p, &p.table.Slices[0], now)
	var releases int
	for _, e := range coordinator.effects {
		if r, ok := e.(SendRelease); ok && r.From == (keygrant.Endpoint{ID: "t0", Address: "a"}) {
			releases++
		}
	}
	if g := p.grants[2]; releases != 1 || g.offered {
		t.Errorf("%d releases sent, keys offered to the next owner: %v", releases, g.offered)
	}
}

// Guards against a coordinator that is cut off from the store and does not learn of its successor, in which case the VMs that
// are cut off with it don't either. It also guards against a takeover based on a notice, without a read of the store.
func TestFormerCoordinatorLearnsOfSuccessor(t *testing.T) {
	sim := newSimulation(t, 8, 3, 4)
	sim.runFor(4 * time.Second)
	var former *node
	for _, n := range sim.nodes {
		if n.c.Leading(sim.now) {
			former = n
		}
	}
	sim.storeDown[former.name] = true
	sim.runFor(LeaseTTL + 3*time.Second)
	notice, known := former.c.Notice()
	if !known || notice.VM == former.name {
		t.Fatalf("the former coordinator knows %+v", notice)
	}
	if former.c.Leading(sim.now) {
		t.Error("the former coordinator is still leading")
	}
	for _, n := range sim.nodes {
		n.alive = n == former
	}
	sim.runFor(LeaseTTL + 3*time.Second)
	if former.c.Leading(sim.now) {
		t.Error("the role was taken over without a read of the store")
	}
}

// Guards against a VM with weak hardware that takes over a role right after its release, because it had seen the role vacant
// long before. At the next vacancy, such a VM became the coordinator of 295 VMs, and all processes were killed then.
func TestEachVacancyRestartsTakeoverDelay(t *testing.T) {
	l := leadership{self: Identity{VM: "weak"}, electionDelay: time.Second}
	now := clock.Instant(time.Minute)
	l.known, l.version, l.readVersion, l.row, l.versionSeenAt = true, 1, 1, Leader{VM: "a"}, now.Add(-time.Minute)
	if l.mayTakeOver(now) {
		t.Fatal("a VM with weak hardware takes over without a delay")
	}
	// Another VM takes over the role, renews its lease for a while and then releases the role.
	l.noteVersion(2, now.Add(100*time.Millisecond))
	l.noteVersion(3, now.Add(5*time.Second))
	value, err := msgpack.Marshal(Leader{VM: "b", Released: true})
	if err != nil {
		t.Fatal(err)
	}
	now = now.Add(10 * time.Second)
	if err := l.observeRow(rowstore.TableSnapshot{Version: 4, Rows: []rowstore.Row{{Key: KeyLeader, Value: value, Version: 4}}}, now); err != nil {
		t.Fatal(err)
	}
	if l.mayTakeOver(now) || l.mayTakeOver(now.Add(900*time.Millisecond)) {
		t.Error("a VM with weak hardware takes over before stronger ones have had a chance")
	}
	if !l.mayTakeOver(now.Add(1100 * time.Millisecond)) {
		t.Error("a VM with weak hardware never takes over")
	}
}

// After a loss of power of all VMs, nobody but the former coordinator's VM may take over before its lease ends, so its next process must not
// wait for stronger VMs. It must wait if the role was given up, if the row was restored, or if this process itself has lost the role.
func TestNextProcessOfCoordinatorTakesOverAtOnce(t *testing.T) {
	now := clock.Instant(time.Minute)
	for _, c := range []struct {
		name     string
		row      Leader
		restored bool
		atOnce   bool
	}{
		{"former process", Leader{VM: "a", Incarnation: "1"}, false, true},
		{"this process", Leader{VM: "a", Incarnation: "2"}, false, false},
		{"role given up", Leader{VM: "a", Incarnation: "1", Released: true}, false, false},
		{"restored row", Leader{VM: "a", Incarnation: "1"}, true, false},
		{"another VM", Leader{VM: "b", Incarnation: "1"}, false, false},
	} {
		l := leadership{self: Identity{VM: "a", Incarnation: "2"}, electionDelay: time.Second, storeLatency: 100 * time.Millisecond}
		l.known, l.version, l.readVersion, l.row, l.restored, l.versionSeenAt = true, 1, 1, c.row, c.restored, now
		if l.mayTakeOver(now) != c.atOnce {
			t.Errorf("%s: takes over at once: %v", c.name, !c.atOnce)
		}
	}
}

// A process that was paused while a later process of its VM took over must not take the later one for a process that has ended: both would
// then take the role from each other at once, again and again.
func TestPausedProcessDoesNotTakeRoleFromLaterProcess(t *testing.T) {
	now := clock.Instant(time.Minute)
	l := leadership{self: Identity{VM: "a", Incarnation: "1"}}
	observe := func(incarnation string, version uint64) {
		value, err := msgpack.Marshal(Leader{VM: "a", Incarnation: incarnation})
		if err != nil {
			t.Fatal(err)
		}
		if err := l.observeRow(rowstore.TableSnapshot{Version: version, Rows: []rowstore.Row{{Key: KeyLeader, Value: value, Version: version}}}, now); err != nil {
			t.Fatal(err)
		}
	}
	observe("0", 1)
	if !l.mayTakeOver(now) {
		t.Fatal("the row that this process has found at its start isn't vacant")
	}
	for version := uint64(2); version < 8; version++ {
		now = now.Add(renewInterval)
		observe("2", version)
		if l.mayTakeOver(now) || l.mayTakeOver(now.Add(LeaseTTL)) {
			t.Fatalf("the role is taken from a later process of the VM, which has written version %d", version)
		}
	}
	if now = now.Add(2 * LeaseTTL); !l.mayTakeOver(now) && !l.mayTakeOver(now.Add(time.Second)) {
		t.Error("the role isn't taken over after the lease of the later process has ended")
	}
}
