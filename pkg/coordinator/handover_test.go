package coordinator

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// leader returns the node that leads, or nil if there is none.
func (s *simulation) leader() *node {
	for _, n := range s.nodes {
		if n.alive && n.c.Leading(s.now) {
			return n
		}
	}
	return nil
}

// Guards against two holders of a key after two changes of the role in a row: a coordinator that has taken over from a lost one released
// the role as clean, so its successor didn't wait for the unanswered grants of the lost one, which took effect late.
func TestNoKeyHasTwoHoldersAfterSuccessiveHandovers(t *testing.T) {
	for seed := range *seeds {
		sim := newSimulation(t, seed, 3, 6)
		sim.runFor(5 * time.Second)
		lost := sim.leader()
		if lost == nil {
			t.Fatalf("seed %d: no coordinator after 5 s", seed)
		}
		// Long enough for the target to be taken for lost and its keys to be moved.
		sim.lateRate, sim.lossTarget = 1, "t2"
		sim.runFor(time.Duration(2000+sim.rng.IntN(1000)) * time.Millisecond)
		lost.alive = false
		sim.lossTarget = ""
		sim.runFor(200 * time.Millisecond)
		sim.startNode(lost)
		for range 2 {
			for sim.leader() == nil {
				sim.runFor(10 * time.Millisecond)
			}
			sim.runFor(time.Duration(sim.rng.IntN(400)) * time.Millisecond)
			if n := sim.leader(); n != nil {
				sim.stopNode(n, n.incarnation)
			}
			sim.runFor(200 * time.Millisecond)
		}
		sim.runFor(20 * time.Second)
		if !sim.allServedSoon() {
			t.Errorf("seed %d: only %.2f of the keys are served 20 s after the last change of the role", seed, sim.servedShare())
		}
	}
}

// Guards against two holders of a key, and against keys that stay unserved, when coordinators are stopped one after the other amid all
// other faults.
func TestNoKeyHasTwoHoldersWithPlannedStops(t *testing.T) {
	for seed := range *seeds {
		sim := newSimulation(t, seed, 3, 6)
		sim.runFor(5 * time.Second)
		for range 15 {
			if n := sim.leader(); n != nil && sim.rng.IntN(2) == 0 {
				sim.stopNode(n, n.incarnation)
			} else {
				sim.injectFault()
			}
			sim.runFor(time.Duration(sim.rng.IntN(2000)) * time.Millisecond)
		}
		sim.runFor(25 * time.Second)
		if !sim.allServedSoon() {
			t.Errorf("seed %d: only %.2f of the keys are served 25 s after the last fault", seed, sim.servedShare())
		}
	}
}

// Guards against a release of a move of an earlier coordinator with a fence below those that the previous owner may have got from it in
// later epochs: such a grant that takes effect late would undo the release.
func TestInheritedMoveIsReleasedWithHighestFence(t *testing.T) {
	now := clock.Instant(time.Minute)
	cfg := inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "p", Keyed: true}}, nil)
	c := New(Identity{VM: "a", Incarnation: "1"})
	c.storedTables["p"] = &keyrange.Table{Pool: "p", NextFence: 3, Slices: []keyrange.Slice{
		{From: 0, To: keyrange.MaxKey, Fence: 2, Owner: "t1", OwnerStarted: 1, Previous: "t0", PreviousStarted: 1, PreviousFence: 1},
	}}
	c.startTerm(now, 0)
	c.leaseEnd = now.Add(LeaseTTL)
	c.view.Snapshot = inventory.NewSnapshot(cfg, []*inventory.Target{
		{ID: "t0", Pool: "p", Address: "a0", Started: 1}, {ID: "t1", Pool: "p", Address: "a1", Started: 1},
	}, nil)
	c.recordAddresses()
	for _, e := range c.Advance(now) {
		if r, ok := e.(SendRelease); ok {
			if want := wireFence(2, 0) - 1; r.Grant.Fence != want {
				t.Errorf("the release has fence %d, want %d", r.Grant.Fence, want)
			}
			return
		}
	}
	t.Error("the keys aren't released")
}

// Guards against a successor that waits for the grants of earlier coordinators for longer than its predecessor would have: keys that move
// from a target that doesn't answer would stay unserved for longer with each change of the coordinator. It also guards against one that
// waits too short.
func TestSuccessorWaitsForRestOfPriorGrants(t *testing.T) {
	now := clock.Instant(time.Minute)
	whole := latestGrantEnd(now, FinalGrantTTL).Sub(now)
	for name, tc := range map[string]struct {
		prior    time.Duration
		calls    []*grantCall
		min, max time.Duration
	}{
		"nothing outstanding":          {-time.Second, nil, 0, 0},
		"earlier grants":               {3 * time.Second, nil, 3 * time.Second, 3100 * time.Millisecond},
		"own call with unknown effect": {time.Second, []*grantCall{{end: now.Add(4 * time.Second)}}, 4 * time.Second, 4100 * time.Millisecond},
		"own call in flight":           {-time.Second, []*grantCall{{end: now.Add(time.Second), inFlight: true}}, whole, whole},
	} {
		c := New(Identity{VM: "a", Incarnation: "1"})
		c.leading, c.priorGrantsEnd, c.calls = true, now.Add(tc.prior), tc.calls
		p, err := c.newCommit(nil, c.newRelease(now))
		if err != nil {
			t.Fatal(err)
		}
		row := p.tx.Puts[0]
		row.Version = rowstore.Version(0, 8)
		next := New(Identity{VM: "b", Incarnation: "1"})
		if err := next.observeRow(rowstore.TableSnapshot{Version: row.Version, Rows: []rowstore.Row{row}}, now); err != nil {
			t.Fatal(err)
		}
		if wait := next.maxPriorGrants(); wait < tc.min || wait > tc.max {
			t.Errorf("%s: the successor waits %v, want %v to %v", name, wait, tc.min, tc.max)
		}
	}
}
