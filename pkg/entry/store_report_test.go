package entry

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// clockedControl returns a control with a clock that the test sets.
func clockedControl(t *testing.T, vm string, now *manualClock) *Control {
	c := NewControl(ControlOptions{
		Settings: Settings{VM: vm, Region: "far"}, Decoder: rowDecoder{}, Tables: Tables{Operator: "op", Targets: "servers"},
		Clock: now, Log: event.Discard(), Balancer: placing.NewBalancer("d", "far", nil),
		BrokerBudget: placing.NewBrokerBudget(0.2, 60, 10*time.Second), OnSnapshot: func(*inventory.Snapshot) {},
	})
	c.ctx, c.startedAt = t.Context(), now.Now()
	return c
}

// rowsAt returns a table with rows written at version 1, as heartbeats don't change them.
func rowsAt(version uint64, keys ...string) rowstore.TableSnapshot {
	page := rowstore.TableSnapshot{Version: version}
	for _, key := range keys {
		page.Rows = append(page.Rows, rowstore.Row{Table: "servers", Key: key, Version: 1})
	}
	return page
}

// reportToCoordinator passes a follower's report about the store to the coordinator, as sendReport and serveRelay do.
func reportToCoordinator(follower, coordinator *Control) {
	var r replica.Report
	follower.addStoreReport(&r, follower.clock.Now())
	coordinator.handleStoreReport(r)
}

// Guards against a coordinator that, after a partition between itself and the store, brings back on all VMs a target that has left
// meanwhile: its own broker must stop using the target as soon as another VM has seen the removal, and it must not keep the registration
// once it reads the store again.
func TestCoordinatorLearnsOfRemovalsDuringPartition(t *testing.T) {
	now := &manualClock{now: clock.Instant(time.Minute)}
	leader, follower := clockedControl(t, "a", now), clockedControl(t, "b", now)
	for range 20 {
		now.now = now.now.Add(400 * time.Millisecond)
		leader.handlePage("servers", rowsAt(5, "t1", "t2"), nil, now.now)
		follower.mirror.NoteAvailable(replica.Span{From: now.now, To: now.now})
	}
	follower.mirror.ApplyRelayed(replica.FullDelta("servers", 5, leader.mirror.Rows("servers")), 0)
	lastRead := now.now
	// The follower reads the store itself once the coordinator's tables are older than maxRelayedAge.
	for now.now = lastRead.Add(maxRelayedAge); now.now < lastRead.Add(1900*time.Millisecond); now.now = now.now.Add(baseReadInterval) {
		follower.handlePage("servers", rowsAt(7, "t1"), nil, now.now)
		reportToCoordinator(follower, leader)
		if !hasTargets(leader, "t1") || leader.snapshot.Targets["t2"] != nil {
			t.Fatalf("the coordinator still uses the target %v after the follower has seen its removal", now.now.Sub(lastRead))
		}
	}
	leader.tableDeltas()
	now.now = lastRead.Add(1900 * time.Millisecond)
	leader.handlePage("servers", rowsAt(8, "t1"), nil, now.now)
	if !hasTargets(leader, "t1") {
		t.Errorf("after the partition the coordinator has %v", leader.mirror.Rows("servers"))
	}
	follower.mirror.ApplyRelayed(replica.Delta{Table: "servers", Version: 9}, 0)
	if !hasTargets(follower, "t1") {
		t.Errorf("the follower takes the target back: %v", follower.mirror.Rows("servers"))
	}
	var again replica.Report
	if follower.addStoreReport(&again, now.now); again.StoreSeen != nil || len(again.Removed) > 0 {
		t.Errorf("the follower reports again, without a read: %+v", again)
	}
}

// Guards against a removal that the coordinator learns of from another VM but doesn't relay, since the version of its table hasn't
// changed.
func TestReportedRemovalIsRelayed(t *testing.T) {
	now := &manualClock{now: clock.Instant(time.Minute)}
	leader := clockedControl(t, "a", now)
	leader.handlePage("servers", rowsAt(5, "t1", "t2"), nil, now.now)
	leader.tableDeltas()
	whole := leader.packFullTables()
	leader.handleStoreReport(replica.Report{Removed: []replica.Removal{{Key: "t2", Version: 7}}})
	deltas := leader.tableDeltas()
	if len(deltas) != 1 || len(deltas[0].Removed) != 1 || deltas[0].Removed[0] != "t2" {
		t.Errorf("relayed changes are %+v", deltas)
	}
	if string(leader.packFullTables()) == string(whole) {
		t.Error("a VM that connects gets the removed target")
	}
}

// Guards against registrations that expired in a real outage of the store and are dropped because another VM has read the store just
// before the coordinator does.
func TestOutageIsSeenThroughReports(t *testing.T) {
	now := &manualClock{now: clock.Instant(time.Minute)}
	leader, follower := clockedControl(t, "a", now), clockedControl(t, "b", now)
	for _, c := range []*Control{leader, follower} {
		c.handlePage("servers", rowsAt(5, "t1", "t2"), nil, now.now)
	}
	now.now = now.now.Add(5 * time.Second)
	follower.handlePage("servers", rowsAt(6, "t1"), nil, now.now)
	reportToCoordinator(follower, leader)
	now.now = now.now.Add(200 * time.Millisecond)
	leader.handlePage("servers", rowsAt(6, "t1"), nil, now.now)
	if !hasTargets(leader, "t1", "t2") || !hasTargets(follower, "t1", "t2") {
		t.Errorf("after the outage the coordinator has %v, the other VM %v", leader.mirror.Rows("servers"), follower.mirror.Rows("servers"))
	}
}
