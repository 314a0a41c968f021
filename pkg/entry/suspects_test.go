package entry

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// singleRowStore is a store with one row. Its calls fail while down is set.
type singleRowStore struct {
	mu  sync.Mutex
	row rowstore.Row
	// missing is the version that stands for the missing row.
	missing uint64
	down    bool
	calls   int
}

var errDown = errors.New("down")

func (s *singleRowStore) List(context.Context, string) (rowstore.TableSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return rowstore.TableSnapshot{}, errDown
	}
	if s.row.Version == 0 {
		return rowstore.TableSnapshot{Version: s.missing}, nil
	}
	return rowstore.TableSnapshot{Rows: []rowstore.Row{s.row}, Version: s.row.Version}, nil
}

func (s *singleRowStore) Changes(context.Context, string, uint64) (rowstore.Changes, error) {
	return rowstore.Changes{}, errDown
}

func (s *singleRowStore) Commit(_ context.Context, tx rowstore.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.down:
		return 0, rowstore.ErrUnknown
	case tx.Expected[0].Version != max(s.row.Version, s.missing):
		return 0, rowstore.ErrConflict
	}
	s.row = tx.Puts[0]
	s.row.Version = tx.Expected[0].Version + 1
	return s.row.Version, nil
}

// crashThreeTimes makes a tracker record a request that crashed a target three times, and returns its fingerprint.
func crashThreeTimes(t *quarantine.Tracker, now clock.Instant) quarantine.Fingerprint {
	f := quarantine.Request{URI: "/bad", Caller: "c"}.Fingerprint()
	for i := range 3 {
		run := quarantine.RunID{VM: "vm", Seq: uint64(i)}
		t.Begin(run, f, inventory.Incarnation{Target: "t", Started: int64(i)}, now)
		t.End(run, quarantine.ConnectionLost, now)
	}
	return f
}

// runSuspectSync runs the synchronization several times without the delay between calls.
func runSuspectSync(c *Control) {
	for range 10 {
		c.storedSuspects.nextCall = 0
		c.syncSuspects(c.clock.Now(), true)
		if c.storedSuspects.callInFlight {
			(<-c.events)()
		}
	}
}

// Requests that crash targets must stay refused after the loss of all VMs, when no VM is left to inform the new
// processes. Store calls may fail in between, and no call may be made while nothing changes.
func TestQuarantineSurvivesLossOfAllVMs(t *testing.T) {
	store := &singleRowStore{}
	control := func() *Control {
		c := testControl(t, "a")
		c.store = store
		return c
	}
	first := control()
	runSuspectSync(first)
	f := crashThreeTimes(first.suspects, first.clock.Now())
	store.down = true
	runSuspectSync(first)
	store.down = false
	runSuspectSync(first)
	before := store.calls
	runSuspectSync(first)
	if store.calls != before {
		t.Errorf("%d store calls although nothing has changed", store.calls-before)
	}
	second := control()
	runSuspectSync(second)
	if v, left := second.suspects.Verdict(f, second.clock.Now()); v != quarantine.Quarantined || left <= 0 {
		t.Errorf("verdict is %v for %v after the loss of all VMs, want Quarantined", v, left)
	}
}

// A quarantine must not last longer because the time of day went back, and the time since it was stored must shorten
// it.
func TestStoredQuarantineElapses(t *testing.T) {
	at := time.UnixMilli(1_000_000)
	value, err := encodeSuspects([]quarantine.Record{{ID: 1, RemainingMs: 60_000, QuarantineCount: 1}}, at)
	if err != nil {
		t.Fatal(err)
	}
	for shift, want := range map[time.Duration]int64{0: 60_000, 20 * time.Second: 40_000, time.Hour: 0, -time.Hour: 60_000} {
		list, err := decodeSuspects(value, at.Add(shift))
		if err != nil || len(list) != 1 || list[0].RemainingMs != want {
			t.Errorf("after %v: %+v, %v", shift, list, err)
		}
	}
	if _, err := decodeSuspects([]byte("?"), at); err == nil {
		t.Error("an invalid row is decoded without an error")
	}
}

// A VM that starts must serve nothing before it knows the stored records of refused requests, also if its source is a VM of an earlier
// version, which doesn't state that it knows them. It must serve without them if the store refuses to give them.
func TestStartingVMReadsQuarantineOfSilentSource(t *testing.T) {
	for _, refused := range []bool{false, true} {
		f := newFleet(t)
		f.store.refuses = func(int) bool { return refused }
		c, start := f.vms[0], f.clock.now
		c.awaitsQuarantine, c.snapshot = true, inventory.NewSnapshot(nil, nil, nil)
		c.mergeSuspects(replica.Update{}, start)
		c.refreshView()
		if c.awaitQuarantine(start); c.Current().Snapshot != nil || c.reading[suspectsTable] {
			t.Fatal("the VM serves at once, or doesn't wait for its source")
		}
		if c.awaitQuarantine(start.Add(quarantineGrace)); !c.reading[suspectsTable] {
			t.Fatal("the VM doesn't read the records")
		}
		(<-c.events)()
		if served := c.Current().Snapshot != nil; served == refused {
			t.Errorf("read refused: %v; the VM serves: %v", refused, served)
		}
		if c.awaitQuarantine(start.Add(quarantineTimeout)); c.Current().Snapshot == nil {
			t.Error("the VM never serves")
		}
	}
}

// A VM that serves although the store has refused it the records of refused requests must not state that it knows them, since VMs that
// start then wouldn't read them. Until it learns them, it must not send all its records with each update: hundreds of VMs would get an update
// with each change of a route.
func TestVMWithoutStoredQuarantineDoesNotClaimIt(t *testing.T) {
	f := newFleet(t)
	f.store.refuses = func(int) bool { return true }
	c := f.vms[0]
	now := c.clock.Now()
	c.awaitsQuarantine, c.snapshot = true, inventory.NewSnapshot(nil, nil, nil)
	c.awaitQuarantine(now)
	c.awaitQuarantine(now.Add(quarantineGrace))
	(<-c.events)()
	c.awaitQuarantine(now.Add(quarantineTimeout))
	if c.Current().Snapshot == nil {
		t.Fatal("the VM doesn't serve")
	}
	follower := &replica.Follower{}
	for _, known := range []bool{false, true} {
		if known {
			c.mergeSuspects(replica.Update{QuarantineKnown: true}, now)
		}
		if !c.suspectsDue(follower) {
			t.Errorf("records known: %v; they aren't sent", known)
		}
		var u replica.Update
		if c.addAllSuspects(follower, &u, now); u.QuarantineKnown != known {
			t.Errorf("records known: %v; the update states %v", known, u.QuarantineKnown)
		}
		if c.suspectsDue(follower) {
			t.Errorf("records known: %v; they are sent again with each update", known)
		}
	}
}

// A fleet must not read the records at the same moment, nor again and again, if the VMs that relay the tables can't read them.
func TestFleetSpreadsReadsOfQuarantine(t *testing.T) {
	f := newFleet(t)
	f.store.refuses = func(int) bool { return true }
	start, most := f.clock.now, int64(0)
	for ; f.clock.now.Sub(start) < quarantineTimeout; f.clock.now = f.clock.now.Add(startupTickInterval) {
		before := f.store.calls.Load()
		for _, c := range f.vms {
			c.awaitsQuarantine = c.awaitsQuarantine || f.clock.now == start
			c.snapshot, c.vmCount = inventory.NewSnapshot(nil, nil, nil), len(f.vms)
			if c.awaitQuarantine(f.clock.now); c.reading[suspectsTable] {
				(<-c.events)()
			}
		}
		most = max(most, f.store.calls.Load()-before)
	}
	vms := int64(len(f.vms))
	if calls := f.store.calls.Load(); calls == 0 || calls > vms {
		t.Errorf("%d VMs make %d reads, want one each at most", vms, calls)
	}
	if most > vms/4 {
		t.Errorf("%d of %d VMs read within one tick", most, vms)
	}
}

// A VM that is paused between the tables and the records must not serve without the records when it continues, since the store hasn't refused
// them.
func TestPausedVMReadsQuarantineBeforeItServes(t *testing.T) {
	c := newFleet(t).vms[0]
	now := c.clock.Now()
	c.awaitsQuarantine, c.snapshot = true, inventory.NewSnapshot(nil, nil, nil)
	c.awaitQuarantine(now)
	if c.awaitQuarantine(now.Add(10 * quarantineTimeout)); c.Current().Snapshot != nil || !c.reading[suspectsTable] {
		t.Fatal("the VM serves without having tried to read the records")
	}
	if (<-c.events)(); c.Current().Snapshot == nil {
		t.Error("the VM doesn't serve although it has read the records")
	}
}
