package entry

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/ingress"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// rowDecoder takes each row for a target.
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
		Budget: placing.NewBrokerBudget(0.2, 60, 10*time.Second), OnView: func(*inventory.Snapshot) {},
	})
	c.ctx, c.startedAt = t.Context(), c.clock.Now()
	return c
}

// runUntil runs the controls' events and ticks until a condition holds.
func runUntil(t *testing.T, what string, holds func() bool, controls ...*Control) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !holds(); {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
		for _, c := range controls {
			select {
			case f := <-c.events:
				f()
			case <-time.After(time.Millisecond):
			}
			now := c.clock.Now()
			c.checkDistributor(now)
			c.report(now, false)
			c.distribute(now)
		}
	}
}

func serve(t *testing.T, c *Control) (address string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go c.serveRelay(l)
	stop = func() { _ = l.Close() }
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// read lets a control read rows of the targets' table.
func read(c *Control, version uint64, keys ...string) {
	page := rowstore.Page{Version: version}
	for _, key := range keys {
		page.Rows = append(page.Rows, rowstore.Row{Table: "servers", Key: key, Version: version})
	}
	c.polled("servers", page, nil, c.clock.Now())
}

func has(c *Control, keys ...string) bool {
	rows := c.mirror.Rows("servers")
	return len(rows) == len(keys) && !slices.ContainsFunc(keys, func(key string) bool { return rows[key].Key == "" })
}

// Guards against a VM that doesn't get the tables and their changes through the distributor of its region, or the coordinator's
// routes.
func TestDistributorPassesTablesAndRoutesOn(t *testing.T) {
	distributor, vm := testControl(t, "a"), testControl(t, "b")
	address, _ := serve(t, distributor)
	read(distributor, 1, "t1", "t2")
	distributor.takeRoutes(replica.Update{AllRoutes: true, Routes: map[string][]coordinator.Route{"p": {{From: 0, To: 65535, Owner: "t1"}}}})
	vm.useDistributor(address, vm.clock.Now())
	runUntil(t, "the VM has the tables", func() bool { return has(vm, "t1", "t2") }, distributor, vm)
	if now := vm.clock.Now(); !vm.tablesRelayed(now) || vm.coordinatorHeard(now) {
		t.Error("the VM doesn't take the distributor's tables for recent ones")
	}
	read(distributor, 2, "t2", "t3")
	distributor.takeRoutes(replica.Update{Routes: map[string][]coordinator.Route{"p": {{From: 0, To: 65535, Owner: "t3"}}}})
	runUntil(t, "the VM has the changes", func() bool { return has(vm, "t2", "t3") }, distributor, vm)
	runUntil(t, "the VM has the routes", func() bool {
		r, ok := coordinator.FindRoute(vm.relayed["p"], 5)
		return ok && r.Owner == "t3"
	}, distributor, vm)
}

// Guards against tables that cross the link to a VM which has a distributor, and against a VM that takes the coordinator's sign of
// life for recent tables.
func TestCoordinatorSendsNoTablesBesideADistributor(t *testing.T) {
	vm := testControl(t, "b")
	vm.link = &replica.Link{}
	vm.updated(vm.link, replica.Update{Distributor: "127.0.0.1:1", StoreAge: 0})
	if vm.source.address != "127.0.0.1:1" || vm.relayFreshAt != 0 {
		t.Errorf("the VM turns to %q, its tables are as of %v", vm.source.address, vm.relayFreshAt)
	}
	vm.updated(vm.link, replica.Update{Deltas: []replica.Delta{{Table: "servers", Version: 3, Full: true, Rows: []rowstore.Row{{Table: "servers", Key: "t1", Version: 3}}}}})
	if vm.source.address != "" || !has(vm, "t1") {
		t.Errorf("the VM still turns to %q although the coordinator sends the tables", vm.source.address)
	}
}

// Guards against a VM that keeps the tables of a distributor that is gone.
func TestSilentDistributorIsLeft(t *testing.T) {
	distributor, vm := testControl(t, "a"), testControl(t, "b")
	address, stop := serve(t, distributor)
	read(distributor, 1, "t1")
	vm.useDistributor(address, vm.clock.Now())
	runUntil(t, "the VM has the tables", func() bool { return has(vm, "t1") }, distributor, vm)
	stop()
	runUntil(t, "the VM leaves the distributor", func() bool { return vm.source.address == "" }, vm)
	now := vm.clock.Now()
	if vm.useDistributor(address, now); vm.source.address != "" {
		t.Error("the VM turns to the silent distributor at once")
	}
	if vm.useDistributor(address, now.Add(distributorPause)); vm.source.address != address {
		t.Error("the VM never tries the distributor again")
	}
	vm.leaveDistributor()
}

// Guards against VMs that know no newer configuration for seconds because their distributor neither reads the store nor hears the
// coordinator, but goes on sending signs of life. One that is as old as the coordinator's tables is kept: nobody has newer ones.
func TestDistributorThatIsBehindIsLeft(t *testing.T) {
	for _, c := range []struct {
		behind time.Duration
		heard  bool
		left   bool
	}{{2 * time.Second, true, true}, {time.Second, true, false}, {2 * time.Second, false, false}} {
		vm := testControl(t, "b")
		vm.settings.ConfigApply = 3 * time.Second
		now := vm.clock.Now()
		vm.source = tableSource{address: "10.0.0.1:1", link: &replica.Link{}, heardAt: now}
		vm.relayFreshAt, vm.leaderFreshAt = now.Add(-c.behind-time.Second), now.Add(-time.Second)
		if c.heard {
			vm.link, vm.heardAt = quietLink(t), now
		}
		vm.checkDistributor(now)
		if left := vm.source.address == ""; left != c.left {
			t.Errorf("%v behind, coordinator heard: %v: left: %v", c.behind, c.heard, left)
		}
	}
}

// quietLink returns a link to a peer that sends nothing.
func quietLink(t *testing.T) *replica.Link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	linked := make(chan *replica.Link, 1)
	go func() {
		_, _ = replica.Follow(t.Context(), l.Addr().String(), replica.Report{VM: "b"}, replica.Receiver{
			Linked: func(k *replica.Link) { linked <- k }, Update: func(*replica.Link, replica.Update) {},
		})
	}()
	return <-linked
}

// Guards against a VM that leaves the reading to its distributor for longer than a change may take: the rest was up to 3.7 s, after
// which the tables were up to 4.7 s old.
func TestRestsEndBeforeChangesAreDue(t *testing.T) {
	for _, apply := range []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second} {
		for range 200 {
			if rest := guidedRest(apply); rest+maxStoreAge+readReserve > apply {
				t.Fatalf("a VM rests for %v although changes must be in force within %v", rest, apply)
			}
		}
	}
}

// Guards against a target that had left being used again after a restart: a VM that knows newer tables than the distributor that it
// turns to keeps them.
func TestOlderTablesOfADistributorAreIgnored(t *testing.T) {
	distributor, vm := testControl(t, "a"), testControl(t, "b")
	address, _ := serve(t, distributor)
	read(distributor, 3, "t1", "left")
	read(vm, 5, "t1")
	vm.useDistributor(address, vm.clock.Now())
	runUntil(t, "the VM hears from the distributor", func() bool { return vm.relayFreshAt > 0 }, distributor, vm)
	if !has(vm, "t1") {
		t.Errorf("the VM knows %v", vm.mirror.Rows("servers"))
	}
	read(distributor, 6, "t1", "t2")
	runUntil(t, "the VM has newer changes", func() bool { return has(vm, "t1", "t2") }, distributor, vm)
}

var _ ingress.Knowledge = (*Control)(nil)
