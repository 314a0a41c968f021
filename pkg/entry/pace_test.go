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

// setClock is a clock that a test sets.
type setClock struct{ now clock.Instant }

func (s *setClock) Now() clock.Instant                       { return s.now }
func (s *setClock) After(time.Duration) <-chan clock.Instant { return nil }

// countingStore counts reads. It holds the coordinator's row, or refuses.
type countingStore struct {
	calls   atomic.Int64
	refuses func(vm int) bool
	row     []byte
}

// view is the store as one VM sees it.
type storeView struct {
	*countingStore
	vm int
}

func (s storeView) List(_ context.Context, table string) (rowstore.Page, error) {
	s.calls.Add(1)
	if s.refuses(s.vm) {
		return rowstore.Page{}, rowstore.ErrRefused
	}
	page := rowstore.Page{Version: 1}
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

// fleet is many VMs under a virtual clock.
type fleet struct {
	clock setClock
	store *countingStore
	vms   []*Control
	heard func(at time.Duration) (coordinator, distributor bool)
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{clock: setClock{clock.Instant(time.Hour)}, store: &countingStore{refuses: func(int) bool { return false }}}
	for i := range fleetDomains * fleetPerDomain {
		name := fmt.Sprintf("vm-%d", i)
		c := NewControl(ControlOptions{
			Settings: Settings{VM: name, IP: "127.0.0.1", Domain: fmt.Sprint(i % fleetDomains), Region: "r", FirstPort: 1 + i, CoreShare: 0.16, LinkMbps: 20},
			Store:    storeView{f.store, i}, Decoder: rowDecoder{}, Tables: Tables{Operator: "op", Targets: "servers"}, Clock: &f.clock,
			Log: event.Discard(), Balancer: placing.NewBalancer("d", "r", nil), Budget: placing.NewBrokerBudget(0.2, 60, 10*time.Second), OnView: func(*inventory.Snapshot) {},
		})
		c.ctx, c.startedAt = t.Context(), f.clock.now
		f.vms = append(f.vms, c)
	}
	return f
}

// settle gives all VMs the tables, a coordinator, and distributors in each domain.
func (f *fleet) settle() {
	for i, c := range f.vms {
		c.snapshot, c.vms, c.link = inventory.NewSnapshot(nil, nil, nil), len(f.vms), &replica.Link{}
		if i < fleetDomains {
			c.subscribers[&replica.Follower{}] = true
			continue
		}
		c.source = tableSource{address: "127.0.0.1:1", link: &replica.Link{}}
	}
}

// run plays a time and returns the calls of the store in it. Distributors pass their own tables on.
func (f *fleet) run(span time.Duration) int64 {
	before := f.store.calls.Load()
	begun := f.clock.now
	for ; f.clock.now.Sub(begun) < span; f.clock.now = f.clock.now.Add(followerTick) {
		now := f.clock.now
		leader, distributor := f.heard(now.Sub(begun))
		for i, c := range f.vms {
			c.link = nil
			if leader {
				c.link, c.heardAt = &replica.Link{}, now
			}
			if distributor && c.source.link != nil {
				c.source.heardAt = now
				head := f.vms[i%fleetDomains]
				c.relayFreshAt = max(c.relayFreshAt, head.freshAt, head.relayFreshAt)
			}
			if leader {
				c.relayFreshAt = now
			}
			c.poll(now, false)
			for len(c.polling) > 0 {
				(<-c.events)()
				for table, going := range c.polling {
					if !going {
						delete(c.polling, table)
					}
				}
			}
		}
	}
	return f.store.calls.Load() - before
}

// mostCalls is the goal for a day on which the store is down for 8 s and all processes are killed then. Half of it is for the
// outage, half for the start.
const mostCalls = 3000

// Guards against calls of the store that grow with the number of VMs: 295 VMs made 29,387 on such a day.
func TestStoreCallsDontGrowWithTheVMs(t *testing.T) {
	const vms = fleetDomains * fleetPerDomain
	always := func(time.Duration) (bool, bool) { return true, true }
	lost := func(at time.Duration) (bool, bool) { return at < 3*time.Second, true }
	for _, c := range []struct {
		name    string
		refuses func(vm int) bool
		heard   func(time.Duration) (bool, bool)
		span    time.Duration
		most    int64
	}{
		{"a calm day", func(int) bool { return false }, always, 10 * time.Second, 0},
		{"the store is down, the coordinator's lease ends after 3 s", func(int) bool { return true }, lost, 8 * time.Second, mostCalls / 2},
		{"the store refuses a third of the VMs", func(vm int) bool { return vm%3 == 0 }, always, 9 * time.Second, 0},
		{"the store refuses a third, the coordinator is lost", func(vm int) bool { return vm%3 == 0 }, lost, 9 * time.Second, mostCalls / 2},
		{"the coordinator is lost", func(int) bool { return false }, lost, 7 * time.Second, mostCalls / 2},
	} {
		f := newFleet(t)
		f.settle()
		f.store.refuses, f.heard = c.refuses, c.heard
		if calls := f.run(c.span); calls > c.most {
			t.Errorf("%s: %d VMs make %d calls in %v, the most is %d", c.name, vms, calls, c.span, c.most)
		} else {
			t.Logf("%s: %d calls in %v", c.name, calls, c.span)
		}
	}
}

// Guards against a start of all VMs at once that overruns the store, with a coordinator's row from before and without, and while the
// store is down.
func TestStartOfAllVMsMakesFewCalls(t *testing.T) {
	const vms = fleetDomains * fleetPerDomain
	row, err := msgpack.Marshal(coordinator.Leader{VM: "former", Address: "127.0.0.1:9", Fleet: coordinator.Fleet{VMs: vms}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		row     []byte
		refuses bool
		// leads is when the VMs hear from a coordinator. The strong VMs read first, and one leads 2 s after the start if the store
		// answers and no former coordinator's lease holds.
		leads time.Duration
	}{
		{"with a row", row, false, time.Hour}, {"without a row", nil, false, 2 * time.Second}, {"without the store", nil, true, time.Hour},
	} {
		f := newFleet(t)
		f.store.row = c.row
		f.store.refuses = func(int) bool { return c.refuses }
		f.heard = func(at time.Duration) (bool, bool) { return at >= c.leads, false }
		for _, vm := range f.vms {
			vm.nextPoll[coordinator.Table] = f.clock.now.Add(firstRead(vm.ownWeakness()))
		}
		calls := f.run(4 * time.Second)
		if calls > mostCalls/2 {
			t.Errorf("%s: %d calls in 4 s, the most is %d", c.name, calls, mostCalls/2)
		}
		t.Logf("%s: %d calls in 4 s", c.name, calls)
	}
}

// Guards against a row that loses what it tells about the VMs: those that start take their distributor from it.
func TestRowTellsAboutTheFleet(t *testing.T) {
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
	f.heard = func(time.Duration) (bool, bool) { return false, false }
	f.vms[0].settings.Advertise = address
	f.run(time.Second)
	if c := f.vms[0]; c.fleetSize() != 40 || c.source.address != "" {
		t.Errorf("the distributor itself knows of %d VMs and turns to %q", c.fleetSize(), c.source.address)
	}
	if c := f.vms[fleetDomains]; c.fleetSize() != 40 || c.source.address != address {
		t.Errorf("a VM knows of %d VMs and turns to %q", c.fleetSize(), c.source.address)
	}
	if c := f.vms[1]; c.source.address != "" {
		t.Errorf("a VM of another domain turns to %q", c.source.address)
	}
}

// Guards against a new coordinator that still leaves the reading of the tables to others: after all processes of 12 VMs were killed, it
// read them up to 4.2 s after its start, and nothing was served until then.
func TestNewCoordinatorReadsAtOnce(t *testing.T) {
	f := newFleet(t)
	c := f.vms[0]
	for _, table := range []string{"op", "servers"} {
		c.nextPoll[table] = f.clock.now.Add(guidedRest(3 * time.Second))
	}
	c.noteLeading(true)
	c.poll(f.clock.now, true)
	if !c.polling["op"] || !c.polling["servers"] {
		t.Errorf("it reads %v", c.polling)
	}
}

// Guards against VMs of a small fleet that wait to read the tables after a start, although the coordinator's row tells how few they are.
func TestSmallFleetReadsSoonAfterAStart(t *testing.T) {
	row, err := msgpack.Marshal(coordinator.Leader{VM: "former", Address: "127.0.0.1:9", Fleet: coordinator.Fleet{VMs: 12}})
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(t)
	f.vms = f.vms[:12]
	f.store.row = row
	f.heard = func(time.Duration) (bool, bool) { return false, false }
	for _, c := range f.vms {
		c.nextPoll[coordinator.Table] = f.clock.now.Add(firstRead(c.ownWeakness()))
	}
	f.run(startGrace + 2*followerTick)
	for _, c := range f.vms {
		if c.reads["op"] == 0 || c.reads["servers"] == 0 {
			t.Errorf("%s has not read the tables", c.settings.VM)
		}
	}
}
