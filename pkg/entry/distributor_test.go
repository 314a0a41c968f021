package entry

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/ingress"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// rowDecoder decodes each row as a target.
type rowDecoder struct{}

func (rowDecoder) Configuration(map[string]rowstore.Row) (*inventory.Configuration, error) {
	return inventory.NewConfiguration(1, inventory.Limits{}, nil, nil), nil
}

func (rowDecoder) DomainsOut(map[string]rowstore.Row) map[string]bool { return nil }

func (rowDecoder) Target(r rowstore.Row) (*inventory.Target, error) {
	return &inventory.Target{ID: r.Key}, nil
}

// testControl returns a control that isn't running.
func testControl(t *testing.T, vm string) *Control {
	c := NewControl(ControlOptions{
		Settings: Settings{VM: vm, Region: "far"}, Decoder: rowDecoder{}, Tables: Tables{Operator: "op", Targets: "servers"},
		Clock: clock.Boottime{}, Log: event.Discard(), Balancer: placing.NewBalancer("d", "far", nil),
		BrokerBudget: placing.NewBrokerBudget(0.2, 60, 10*time.Second), OnSnapshot: func(*inventory.Snapshot) {},
	})
	c.ctx, c.startedAt = t.Context(), c.clock.Now()
	return c
}

// runUntil runs the events and the periodic work of the controls until a condition holds.
func runUntil(t *testing.T, condition string, holds func() bool, controls ...*Control) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !holds(); {
		if time.Now().After(deadline) {
			t.Fatalf("timed out: %s", condition)
		}
		for _, c := range controls {
			select {
			case f := <-c.events:
				f()
			case <-time.After(time.Millisecond):
			}
			now := c.clock.Now()
			c.checkDistributor(now)
			c.sendReport(now, false)
			c.publishToSubscribers(now)
		}
	}
}

func startRelay(t *testing.T, c *Control) (address string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go c.serveRelay(l)
	stop = func() { _ = l.Close() }
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// readTargets makes a control read rows of the targets' table.
func readTargets(c *Control, version uint64, keys ...string) {
	page := rowstore.TableSnapshot{Version: version}
	for _, key := range keys {
		page.Rows = append(page.Rows, rowstore.Row{Table: "servers", Key: key, Version: version})
	}
	c.handlePage("servers", page, nil, c.clock.Now())
}

func hasTargets(c *Control, keys ...string) bool {
	rows := c.mirror.Rows("servers")
	return len(rows) == len(keys) && !slices.ContainsFunc(keys, func(key string) bool { return rows[key].Key == "" })
}

// A VM must get the tables, their changes and the coordinator's routes through the distributor of its region.
func TestDistributorForwardsTablesAndRoutes(t *testing.T) {
	distributor, vm := testControl(t, "a"), testControl(t, "b")
	address, _ := startRelay(t, distributor)
	readTargets(distributor, 1, "t1", "t2")
	distributor.applyRoutes(replica.Update{AllRoutes: true, Routes: map[string][]coordinator.Route{"p": {{From: 0, To: 65535, Owner: "t1"}}}})
	vm.useDistributor(address, vm.clock.Now())
	runUntil(t, "the VM has the tables", func() bool { return hasTargets(vm, "t1", "t2") }, distributor, vm)
	if now := vm.clock.Now(); !vm.relayedTablesFresh(now) || vm.coordinatorConnected(now) {
		t.Error("the distributor's tables don't count as recent, or the coordinator counts as connected")
	}
	readTargets(distributor, 2, "t2", "t3")
	distributor.applyRoutes(replica.Update{Routes: map[string][]coordinator.Route{"p": {{From: 0, To: 65535, Owner: "t3"}}}})
	runUntil(t, "the VM has the changes", func() bool { return hasTargets(vm, "t2", "t3") }, distributor, vm)
	runUntil(t, "the VM has the routes", func() bool {
		r, ok := coordinator.FindRoute(vm.relayedRoutes["p"], 5)
		return ok && r.Owner == "t3"
	}, distributor, vm)
}

// The tables must not cross the link from the coordinator to a VM that has a distributor, and the VM must not take the
// coordinator's heartbeat for recent tables. It leaves the distributor once the coordinator sends the tables itself.
func TestUpdateSelectsTableSource(t *testing.T) {
	vm := testControl(t, "b")
	vm.link = &replica.Link{}
	vm.handleCoordinatorUpdate(vm.link, replica.Update{Distributor: "127.0.0.1:1", StoreAge: 0})
	if vm.source.address != "127.0.0.1:1" || vm.relayedFreshAt != 0 {
		t.Errorf("the VM uses distributor %q, its relayed tables are as of %v", vm.source.address, vm.relayedFreshAt)
	}
	vm.handleCoordinatorUpdate(vm.link, replica.Update{Deltas: []replica.Delta{{Table: "servers", Version: 3, Full: true, Rows: []rowstore.Row{{Table: "servers", Key: "t1", Version: 3}}}}})
	if vm.source.address != "" || !hasTargets(vm, "t1") {
		t.Errorf("the VM still uses distributor %q although the coordinator sends the tables", vm.source.address)
	}
}

// A VM must not keep using a distributor that is gone.
func TestSilentDistributorIsDropped(t *testing.T) {
	distributor, vm := testControl(t, "a"), testControl(t, "b")
	address, stop := startRelay(t, distributor)
	readTargets(distributor, 1, "t1")
	vm.useDistributor(address, vm.clock.Now())
	runUntil(t, "the VM has the tables", func() bool { return hasTargets(vm, "t1") }, distributor, vm)
	stop()
	runUntil(t, "the VM drops the distributor", func() bool { return vm.source.address == "" }, vm)
	now := vm.clock.Now()
	if vm.useDistributor(address, now); vm.source.address != "" {
		t.Error("the VM uses the silent distributor again immediately")
	}
	if vm.useDistributor(address, now.Add(distributorRetryDelay)); vm.source.address != address {
		t.Error("the VM doesn't use the distributor again after the delay")
	}
	vm.leaveDistributor()
}

// A VM must drop a distributor that keeps sending heartbeats but neither reads the store nor hears from the
// coordinator. Such VMs didn't know a newer configuration for seconds. A distributor whose tables are as old as the
// coordinator's is kept, because no VM has newer ones.
func TestLaggingDistributorIsDropped(t *testing.T) {
	for _, c := range []struct {
		lag       time.Duration
		connected bool
		dropped   bool
	}{{2 * time.Second, true, true}, {time.Second, true, false}, {2 * time.Second, false, false}} {
		vm := testControl(t, "b")
		vm.settings.MaxConfigApplyTime = 3 * time.Second
		vm.snapshot = inventory.NewSnapshot(nil, nil, nil)
		now := vm.clock.Now()
		vm.source = tableSource{address: "10.0.0.1:1", link: &replica.Link{}, heardAt: now}
		vm.relayedFreshAt, vm.coordinatorFreshAt = now.Add(-c.lag-time.Second), now.Add(-time.Second)
		if c.connected {
			vm.link, vm.coordinatorHeardAt = silentLink(t), now
		}
		vm.checkDistributor(now)
		if dropped := vm.source.address == ""; dropped != c.dropped {
			t.Errorf("lag %v, coordinator connected: %v: distributor dropped: %v", c.lag, c.connected, dropped)
		}
	}
}

// A VM that is starting must not take a distributor that it has just connected to for one that lags, since it has no relayed
// tables yet. It must leave one that sends no tables while the coordinator could send them.
func TestStartingVMWaitsForFirstTables(t *testing.T) {
	vm := testControl(t, "b")
	vm.settings.MaxConfigApplyTime = 3 * time.Second
	now := vm.clock.Now()
	vm.source = tableSource{address: "10.0.0.1:1", link: &replica.Link{}, heardAt: now, linkedAt: now}
	vm.link, vm.coordinatorHeardAt, vm.coordinatorFreshAt = silentLink(t), now, now
	for _, snapshot := range []*inventory.Snapshot{inventory.NewSnapshot(nil, nil, nil), nil} {
		vm.snapshot = snapshot
		if vm.checkDistributor(now.Add(followerTickInterval)); vm.source.address == "" {
			t.Fatalf("the VM drops the distributor before its first update, with tables of its own: %v", snapshot != nil)
		}
	}
	if vm.checkDistributor(now.Add(startupTablesTimeout)); vm.source.address == "" {
		t.Error("the VM drops the distributor before it could send the tables")
	}
	if vm.checkDistributor(now.Add(startupTablesTimeout + followerTickInterval)); vm.source.address != "" {
		t.Error("the VM keeps a distributor that sends no tables")
	}
}

// silentLink returns a link to a peer that sends nothing.
func silentLink(t *testing.T) *replica.Link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	linked := make(chan *replica.Link, 1)
	go func() {
		_, _ = replica.Follow(t.Context(), l.Addr().String(), replica.Report{VM: "b"}, replica.Receiver{
			Connected: func(k *replica.Link) { linked <- k }, Update: func(*replica.Link, replica.Update) {},
		})
	}()
	return <-linked
}

// A VM must not leave reading to its distributor for longer than a change may take: the delay was up to 3.7 s, after
// which the tables were up to 4.7 s old.
func TestSubscriberReadDelayIsBounded(t *testing.T) {
	for _, applyTime := range []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second} {
		for range 200 {
			if delay := subscriberReadDelay(applyTime); delay+maxRelayedAge+readReserve > applyTime {
				t.Fatalf("a VM doesn't read for %v although changes must be in force within %v", delay, applyTime)
			}
		}
	}
}

// A VM that knows newer tables than its distributor must keep them. Otherwise a target that had left was used again
// after a restart.
func TestOlderDistributorTablesAreIgnored(t *testing.T) {
	distributor, vm := testControl(t, "a"), testControl(t, "b")
	address, _ := startRelay(t, distributor)
	readTargets(distributor, 3, "t1", "left")
	readTargets(vm, 5, "t1")
	vm.useDistributor(address, vm.clock.Now())
	runUntil(t, "the VM hears from the distributor", func() bool { return vm.relayedFreshAt > 0 }, distributor, vm)
	if !hasTargets(vm, "t1") {
		t.Errorf("the rows of the VM are %v", vm.mirror.Rows("servers"))
	}
	readTargets(distributor, 6, "t1", "t2")
	runUntil(t, "the VM has newer changes", func() bool { return hasTargets(vm, "t1", "t2") }, distributor, vm)
}

var _ ingress.State = (*Control)(nil)

// While the store takes 380 ms to answer, a VM that starts must not read the tables before its distributor can have read and sent them: all
// VMs of a fleet would add their reads to those that the store already answers late.
func TestStartingVMWaitsForDistributorOfSlowStore(t *testing.T) {
	const slowRead = 380 * time.Millisecond
	for _, connected := range []bool{false, true} {
		now := &manualClock{now: clock.Instant(time.Minute)}
		c := clockedControl(t, "a", now)
		c.startedAt = now.now
		c.dial = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		value, err := msgpack.Marshal(coordinator.Leader{VM: "b", Address: "127.0.0.1:9", Fleet: coordinator.Fleet{VMs: 84, Distributors: map[string]string{c.settings.Domain: "127.0.0.1:8"}}})
		if err != nil {
			t.Fatal(err)
		}
		now.now = c.startedAt.Add(100*time.Millisecond + slowRead)
		c.handlePage(coordinator.Table, rowstore.TableSnapshot{Version: 9, Rows: []rowstore.Row{{Table: coordinator.Table, Key: coordinator.KeyLeader, Value: value, Version: 9}}}, nil, c.startedAt)
		if !c.expectsRelayedTables(now.now) {
			t.Errorf("the VM doesn't wait for its distributor after it has read which VM that is")
		}
		if connected {
			c.source.link = &replica.Link{}
			if now.now = now.now.Add(slowRead); !c.expectsRelayedTables(now.now) {
				t.Errorf("the VM doesn't wait for the tables although its distributor is still reading them")
			}
		}
		if now.now = now.now.Add(distributorReadGrace); c.expectsRelayedTables(now.now) {
			t.Errorf("connected: %v; the VM keeps waiting for a distributor that sends no tables", connected)
		}
		c.leaveDistributor()
	}
}
