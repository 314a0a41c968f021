package entry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// manualClock is a clock that is set by a test.
type manualClock struct{ now clock.Instant }

func (s *manualClock) Now() clock.Instant                       { return s.now }
func (s *manualClock) After(time.Duration) <-chan clock.Instant { return nil }

// countingStore counts calls. It holds the coordinator's row, and may refuse calls.
type countingStore struct {
	calls   atomic.Int64
	refuses func(vm int) bool
	row     []byte
}

// storeView is the store as one VM sees it.
type storeView struct {
	*countingStore
	vm int
}

func (s storeView) List(_ context.Context, table string) (rowstore.TableSnapshot, error) {
	s.calls.Add(1)
	if s.refuses(s.vm) {
		return rowstore.TableSnapshot{}, rowstore.ErrRefused
	}
	page := rowstore.TableSnapshot{Version: 1}
	if table == coordinator.Table && s.row != nil {
		page.Rows = []rowstore.Row{{Table: table, Key: coordinator.KeyLeader, Value: s.row, Version: 1}}
	}
	return page, nil
}

func (s storeView) Changes(ctx context.Context, table string, _ uint64) (rowstore.Changes, error) {
	_, err := s.List(ctx, table)
	return rowstore.Changes{Version: 1}, err
}

func (storeView) Commit(context.Context, rowstore.Transaction) (uint64, error) {
	return 0, rowstore.ErrRefused
}

const (
	fleetDomains   = 8
	fleetPerDomain = 37
)

// fleet simulates many VMs with a manual clock.
type fleet struct {
	clock     manualClock
	store     *countingStore
	vms       []*Control
	reachable func(at time.Duration) (coordinator, distributor bool)
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{clock: manualClock{clock.Instant(time.Hour)}, store: &countingStore{refuses: func(int) bool { return false }}}
	for i := range fleetDomains * fleetPerDomain {
		name := fmt.Sprintf("vm-%d", i)
		c := NewControl(ControlOptions{
			Settings: Settings{VM: name, IP: "127.0.0.1", Domain: fmt.Sprint(i % fleetDomains), Region: "r", FirstPort: 1 + i, CPUShare: 0.16, LinkMbps: 20},
			Store:    storeView{f.store, i}, Decoder: rowDecoder{}, Tables: Tables{Operator: "op", Targets: "servers"}, Clock: &f.clock,
			Log: event.Discard(), Balancer: placing.NewBalancer("d", "r", nil), BrokerBudget: placing.NewBrokerBudget(0.2, 60, 10*time.Second), OnSnapshot: func(*inventory.Snapshot) {},
		})
		c.ctx, c.startedAt = t.Context(), f.clock.now
		f.vms = append(f.vms, c)
	}
	return f
}

// setSteadyState gives all VMs the tables and a coordinator, and distributors to each failure domain.
func (f *fleet) setSteadyState() {
	for i, c := range f.vms {
		c.snapshot, c.vmCount, c.link = inventory.NewSnapshot(nil, nil, nil), len(f.vms), &replica.Link{}
		if i < fleetDomains {
			c.subscribers[&replica.Follower{}] = true
			continue
		}
		c.source = tableSource{address: "127.0.0.1:1", link: &replica.Link{}}
	}
}

// run simulates a period and returns the number of store calls in it. Distributors relay their own tables.
func (f *fleet) run(span time.Duration) int64 {
	before := f.store.calls.Load()
	started := f.clock.now
	for ; f.clock.now.Sub(started) < span; f.clock.now = f.clock.now.Add(followerTickInterval) {
		now := f.clock.now
		leader, distributor := f.reachable(now.Sub(started))
		for i, c := range f.vms {
			c.link = nil
			if leader {
				c.link, c.coordinatorHeardAt = &replica.Link{}, now
			}
			if distributor && c.source.link != nil {
				c.source.heardAt = now
				distributorVM := f.vms[i%fleetDomains]
				c.relayedFreshAt = max(c.relayedFreshAt, distributorVM.readFreshAt, distributorVM.relayedFreshAt)
			}
			if leader {
				c.relayedFreshAt = now
			}
			c.startDueReads(now, false)
			for len(c.reading) > 0 {
				(<-c.events)()
				for table, inFlight := range c.reading {
					if !inFlight {
						delete(c.reading, table)
					}
				}
			}
		}
	}
	return f.store.calls.Load() - before
}

// maxStoreCalls is the limit for a test run in which the store is down for 8 s and all processes are then killed. Half
// of it is for the outage, half for the start.
const maxStoreCalls = 3000

// Store calls must not grow with the number of VMs: 295 VMs made 29,387 calls in such a test run.
func TestStoreCallsDoNotGrowWithFleet(t *testing.T) {
	const vms = fleetDomains * fleetPerDomain
	always := func(time.Duration) (bool, bool) { return true, true }
	lost := func(at time.Duration) (bool, bool) { return at < 3*time.Second, true }
	for _, c := range []struct {
		name      string
		refuses   func(vm int) bool
		reachable func(time.Duration) (bool, bool)
		span      time.Duration
		maxCalls  int64
	}{
		{"no failure", func(int) bool { return false }, always, 10 * time.Second, 0},
		{"the store is down and the coordinator's lease ends after 3 s", func(int) bool { return true }, lost, 8 * time.Second, maxStoreCalls / 2},
		{"the store refuses a third of the VMs", func(vm int) bool { return vm%3 == 0 }, always, 9 * time.Second, 0},
		{"the store refuses a third of the VMs and the coordinator is lost", func(vm int) bool { return vm%3 == 0 }, lost, 9 * time.Second, maxStoreCalls / 2},
		{"the coordinator is lost", func(int) bool { return false }, lost, 7 * time.Second, maxStoreCalls / 2},
	} {
		f := newFleet(t)
		f.setSteadyState()
		f.store.refuses, f.reachable = c.refuses, c.reachable
		if calls := f.run(c.span); calls > c.maxCalls {
			t.Errorf("%s: %d VMs make %d calls in %v, want at most %d", c.name, vms, calls, c.span, c.maxCalls)
		} else {
			t.Logf("%s: %d calls in %v", c.name, calls, c.span)
		}
	}
}

// A start of all VMs at once must not overload the store: with the row of a former coordinator, without one, and while
// the store is down.
func TestFleetStartMakesFewStoreCalls(t *testing.T) {
	const vms = fleetDomains * fleetPerDomain
	row, err := msgpack.Marshal(coordinator.Leader{VM: "former", Address: "127.0.0.1:9", Fleet: coordinator.Fleet{VMs: vms}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		row     []byte
		refuses bool
		// leads is when the VMs first hear from a coordinator. The strong VMs read first, and one of them leads 2 s
		// after the start if the store answers and no lease of a former coordinator holds.
		leads time.Duration
	}{
		{"with a stored row", row, false, time.Hour}, {"without a stored row", nil, false, 2 * time.Second}, {"store is down", nil, true, time.Hour},
	} {
		f := newFleet(t)
		f.store.row = c.row
		f.store.refuses = func(int) bool { return c.refuses }
		f.reachable = func(at time.Duration) (bool, bool) { return at >= c.leads, false }
		for _, vm := range f.vms {
			vm.nextRead[coordinator.Table] = f.clock.now.Add(firstReadDelay(vm.baseElectionDelay()))
			vm.awaitsQuarantine = true
		}
		calls := f.run(4 * time.Second)
		if calls > maxStoreCalls/2 {
			t.Errorf("%s: %d calls in 4 s, want at most %d", c.name, calls, maxStoreCalls/2)
		}
		t.Logf("%s: %d calls in 4 s", c.name, calls)
	}
}

// The coordinator's row must not lose its data about the fleet, because VMs that start take their distributor from it.
func TestVMLearnsFleetFromCoordinatorRow(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	address := l.Addr().String()
	want := coordinator.Leader{VM: "a", Address: "127.0.0.1:9", Fleet: coordinator.Fleet{VMs: 40, Distributors: map[string]string{"0": address}}}
	row, err := msgpack.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(t)
	f.store.row = row
	f.reachable = func(time.Duration) (bool, bool) { return false, false }
	f.vms[0].settings.AdvertiseAddress = address
	f.run(time.Second)
	if c := f.vms[0]; c.fleetSize() != 40 || c.source.address != "" {
		t.Errorf("the distributor knows of %d VMs and uses distributor %q", c.fleetSize(), c.source.address)
	}
	if c := f.vms[fleetDomains]; c.fleetSize() != 40 || c.source.address != address {
		t.Errorf("a VM of the distributor's domain knows of %d VMs and uses distributor %q", c.fleetSize(), c.source.address)
	}
	if c := f.vms[1]; c.source.address != "" {
		t.Errorf("a VM of another domain uses distributor %q", c.source.address)
	}
}

// A new coordinator must not leave reading the tables to others. After all processes of 12 VMs were killed, the
// coordinator read them up to 4.2 s after its start, and nothing was served until then.
func TestNewCoordinatorReadsImmediately(t *testing.T) {
	f := newFleet(t)
	c := f.vms[0]
	for _, table := range []string{"op", "servers"} {
		c.nextRead[table] = f.clock.now.Add(subscriberReadDelay(3 * time.Second))
	}
	c.setLeading(true)
	c.startDueReads(f.clock.now, true)
	if !c.reading["op"] || !c.reading["servers"] {
		t.Errorf("tables being read are %v, want op and servers", c.reading)
	}
}

// The VMs of a small fleet must not delay reading the tables after a start, since the coordinator's row shows how few
// they are.
func TestSmallFleetReadsSoonAfterStart(t *testing.T) {
	row, err := msgpack.Marshal(coordinator.Leader{VM: "former", Address: "127.0.0.1:9", Fleet: coordinator.Fleet{VMs: 12}})
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(t)
	f.vms = f.vms[:12]
	f.store.row = row
	f.reachable = func(time.Duration) (bool, bool) { return false, false }
	for _, c := range f.vms {
		c.nextRead[coordinator.Table] = f.clock.now.Add(firstReadDelay(c.baseElectionDelay()))
	}
	f.run(startupReadGrace + 2*followerTickInterval)
	for _, c := range f.vms {
		if c.readCounts["op"] == 0 || c.readCounts["servers"] == 0 {
			t.Errorf("%s has not read the tables", c.settings.VM)
		}
	}
}
