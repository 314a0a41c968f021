package entry

import (
	"net"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// VMs must not miss the targets: a new coordinator that had read the configuration, but not yet the targets at the same
// version of the store, kept the packed tables without targets for all VMs that connected later.
func TestPackedTablesFollowEachRead(t *testing.T) {
	const version = 1446
	c := &Control{tables: Tables{Operator: "op", Targets: "servers"}, mirror: replica.NewMirror()}
	now := clock.Instant(time.Minute)
	read := func(table string) {
		page := rowstore.TableSnapshot{Version: version, Rows: []rowstore.Row{{Table: table, Key: "a", Version: 7}}}
		c.mirror.Replace(table, page, false, now)
	}
	for i, table := range []string{c.tables.Operator, c.tables.Targets} {
		read(table)
		deltas, err := replica.Unpack(c.packFullTables())
		if err != nil {
			t.Fatal(err)
		}
		rows := 0
		for _, d := range deltas {
			rows += len(d.Rows)
		}
		if rows != i+1 {
			t.Errorf("%d rows are sent after the read of %s, want %d", rows, table, i+1)
		}
	}
}

// VMs that are cut off from the store must not keep connecting to a former coordinator: 29 of 84 VMs placed requests on
// their own for 9 s.
func TestFormerCoordinatorRedirects(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	former := &Control{clock: clock.Boottime{}, coordinator: coordinator.New(coordinator.Identity{VM: "a"}), settings: Settings{VM: "a"}}
	want := coordinator.Notice{VM: "b", Incarnation: "1", Address: "10.0.0.2:7000", Version: 9}
	announced := make(chan struct{})
	go func() {
		_ = replica.Serve(l, replica.Events{
			Joined: former.handleJoin, Left: func(*replica.Follower) {},
			Leader: func(n coordinator.Notice) { former.coordinator.HandleNotice(n, former.clock.Now()); close(announced) },
		})
	}()
	if err := replica.Announce(t.Context(), l.Addr().String(), replica.Report{VM: "b", Leader: &want}); err != nil {
		t.Fatal(err)
	}
	<-announced
	got := make(chan *coordinator.Notice, 1)
	_, err = replica.Follow(t.Context(), l.Addr().String(), replica.Report{VM: "c"}, replica.Receiver{
		Connected: func(*replica.Link) {}, Update: func(_ *replica.Link, u replica.Update) { got <- u.Leader },
	})
	if err == nil {
		t.Error("Follow of a VM that doesn't lead returned no error")
	}
	select {
	case n := <-got:
		if n == nil || *n != want {
			t.Errorf("the VM received the notice %+v", n)
		}
	default:
		t.Error("the VM received no notice")
	}
}

// A coordinator must not give up its role because the link to another region is congested, and must give it up if its
// own processor is overloaded.
func TestOnlySameRegionVMsShowSlowDecisions(t *testing.T) {
	for _, c := range []struct {
		name                    string
		sameRegion, otherRegion time.Duration
		slow                    bool
	}{
		{"congested link between the regions", 5 * time.Millisecond, time.Second, false},
		{"overloaded processor", time.Second, time.Second, true},
	} {
		control := &Control{settings: Settings{Region: "r"}, followers: map[*replica.Follower]bool{}}
		for i := range 20 {
			f := &replica.Follower{Region: "r", PlaceDelay: c.sameRegion}
			if i%4 != 0 {
				f.Region, f.PlaceDelay = "s", c.otherRegion
			}
			control.followers[f] = true
		}
		if control.decisionsSlow() != c.slow {
			t.Errorf("%s: decisions are slow: %v", c.name, control.decisionsSlow())
		}
	}
}

// Weak VMs must not take the role before strong ones, and equally strong VMs must not be delayed.
func TestElectionDelayFavorsStrongVMs(t *testing.T) {
	strong := &Control{settings: Settings{CPUShare: 0.8, LinkMbps: 200}}
	weak := &Control{settings: Settings{CPUShare: 0.16, LinkMbps: 10}}
	strong.minElectionDelay, weak.minElectionDelay = strong.baseElectionDelay(), strong.baseElectionDelay()
	if strong.electionDelay() != 0 || weak.electionDelay() < time.Second {
		t.Errorf("the election delay is %v for a strong VM, %v for a weak one", strong.electionDelay(), weak.electionDelay())
	}
}

// After a restart, VMs must not all read whole tables although the coordinator sends them.
func TestConnectedProcessDefersStartupReads(t *testing.T) {
	now := clock.Instant(time.Minute)
	c := &Control{startedAt: now.Add(-2 * startupReadGrace)}
	if c.expectsRelayedTables(now) {
		t.Error("a process without a coordinator expects relayed tables")
	}
	c.link, c.coordinatorHeardAt = &replica.Link{}, now
	if !c.expectsRelayedTables(now) {
		t.Error("a process with a coordinator doesn't expect relayed tables")
	}
	if c.expectsRelayedTables(now.Add(connectedReadGrace)) {
		t.Error("a process that gets no tables from the coordinator still expects them")
	}
}

// A VM must not dial without a delay because other VMs name a coordinator that it already knows.
func TestOnlyNewerNoticeClearsDialDelay(t *testing.T) {
	c := &Control{clock: clock.Boottime{}, coordinator: coordinator.New(coordinator.Identity{VM: "a"}), settings: Settings{VM: "a"}}
	notBefore := c.clock.Now().Add(redialInterval)
	for _, step := range []struct {
		version uint64
		cleared bool
	}{{9, true}, {9, false}, {8, false}, {10, true}} {
		c.nextDial = notBefore
		c.applyNotice(coordinator.Notice{VM: "b", Incarnation: "1", Address: "10.0.0.2:7000", Version: step.version})
		if (c.nextDial == 0) != step.cleared {
			t.Errorf("version %d: delay cleared: %v", step.version, c.nextDial == 0)
		}
	}
}
