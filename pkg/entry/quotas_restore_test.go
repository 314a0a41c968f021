package entry

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

// takeOverInEra lets a VM read a coordinator's row from a store of the given era, of which the row's writer knew era 0, and take over once
// the lease has ended. It returns the row that the VM writes.
func takeOverInEra(t *testing.T, c *Control, now *manualClock, era uint64, row *coordinator.Leader) coordinator.Leader {
	t.Helper()
	page := rowstore.TableSnapshot{Version: rowstore.Version(era, 9)}
	if row != nil {
		value, err := msgpack.Marshal(row)
		if err != nil {
			t.Fatal(err)
		}
		page.Rows = []rowstore.Row{{Table: coordinator.Table, Key: coordinator.KeyLeader, Value: value, Version: rowstore.Version(era, 9)}}
	}
	c.handlePage(coordinator.Table, page, nil, now.now)
	for range 100 {
		now.now = now.now.Add(100 * time.Millisecond)
		for _, e := range c.coordinator.Tick(now.now, c.coordinatorView(now.now), true) {
			commit, ok := e.(coordinator.Commit)
			if !ok {
				continue
			}
			var written coordinator.Leader
			if err := msgpack.Unmarshal(commit.Transaction.Puts[0].Value, &written); err != nil {
				t.Fatal(err)
			}
			c.runEffects(c.coordinator.Committed(rowstore.Version(era, 10), nil, now.now))
			c.setLeading(true)
			return written
		}
	}
	t.Fatal("the VM has not taken over")
	return coordinator.Leader{}
}

// Guards against a coordinator that uses or grants quotas that other VMs may hold, because the store was restored from a copy of the
// coordinator's row that names too few holders or was written before there were any, and against one that keeps quotas unused otherwise.
func TestTakeoverFromRestoredRowLeavesUnknownSharesUnused(t *testing.T) {
	known := &coordinator.Leader{VM: "b", Address: "b:1", Renewal: 7, Fleet: coordinator.Fleet{VMs: 3, ShareHolders: packNames([]uint32{sharedrate.HashName("b")}), MaxShare: 0.25}}
	empty := &coordinator.Leader{VM: "b", Address: "b:1", Renewal: 7}
	for name, step := range map[string]struct {
		era     uint64
		row     *coordinator.Leader
		rate    float64
		unknown float64
	}{
		"not restored":                        {0, known, 40, 0.25},
		"not restored, no holders":            {0, empty, 40, 0},
		"new deployment":                      {0, nil, 40, 0},
		"restored":                            {1, known, 40, 1},
		"restored, no holders":                {1, empty, 40, 1},
		"restored, no quotas":                 {1, empty, 0, 0},
		"new deployment, store restored once": {1, nil, 40, 0},
	} {
		now := &manualClock{clock.Instant(time.Hour)}
		c := quotaControl(t, "a", now, step.rate)
		written := takeOverInEra(t, c, now, step.era, step.row)
		if s := c.placer.broker.QuotaState(0, now.now); s.Unknown != step.unknown {
			t.Errorf("%s: %v of the quotas are unknown, want %v", name, s.Unknown, step.unknown)
		}
		// The next coordinator must be as careful.
		if h := holdersOf(written.Fleet); float64(len(h.Names))*h.MaxShare != step.unknown {
			t.Errorf("%s: the row that is written names %d holders of at most %v", name, len(h.Names), h.MaxShare)
		}
		now.now = now.now.Add(sharedrate.GrantTime * 11 / 10)
		if s := c.placer.broker.QuotaState(0, now.now); s.Unknown != 0 {
			t.Errorf("%s: %v of the quotas are unknown after all grants have ended", name, s.Unknown)
		}
	}
}

// Guards against quotas that stay unused although a later process of the coordinator's VM takes over, against a row that names the
// predecessor's process for the new coordinator's, against a restored row that is trusted, and against a machine that replaces another one
// under the same name and takes it for ended while it still runs.
func TestLaterProcessOfCoordinatorsVMUsesQuotasAtOnce(t *testing.T) {
	holders := coordinator.Fleet{VMs: 3, ShareHolders: packNames([]uint32{sharedrate.HashName("c")}), MaxShare: 0.25, Broker: 7}
	for name, step := range map[string]struct {
		vm, address string
		era         uint64
		usable      float64
	}{
		"same VM": {"a", "", 0, 0.75}, "another VM": {"b", "", 0, 0}, "same VM, restored": {"a", "", 1, 0},
		"another machine of the same name": {"a", "192.0.2.9:1", 0, 0},
	} {
		now := &manualClock{clock.Instant(time.Hour)}
		c := quotaControl(t, "a", now, 40)
		if step.address == "" {
			step.address = c.relayAddress()
		}
		written := takeOverInEra(t, c, now, step.era, &coordinator.Leader{VM: step.vm, Incarnation: "0", Address: step.address, Renewal: 7, Fleet: holders})
		if s := c.placer.broker.QuotaState(0, now.now); s.Usable != step.usable {
			t.Errorf("%s: %v of the quotas are usable at once, want %v", name, s.Usable, step.usable)
		}
		if written.Broker != sharedrate.RecentBroker {
			t.Errorf("%s: the takeover writes the broker's process %d", name, written.Broker)
		}
	}
}

// Guards against a coordinator whose lease lapses and is then renewed, and that uses the quotas again as if only the former coordinator had
// used them.
func TestLapsedLeaseProvesNothingAboutOwnUse(t *testing.T) {
	now := &manualClock{clock.Instant(time.Hour)}
	c := quotaControl(t, "a", now, 40)
	holders := coordinator.Fleet{VMs: 3, ShareHolders: packNames([]uint32{sharedrate.HashName("c")}), MaxShare: 0.25, Broker: 7}
	takeOverInEra(t, c, now, 0, &coordinator.Leader{VM: "a", Incarnation: "0", Address: c.relayAddress(), Renewal: 7, Fleet: holders})
	lapse := now.now.Add(coordinator.LeaseTTL)
	now.now = now.now.Add(2 * time.Second)
	c.coordinator.Tick(now.now, c.coordinatorView(now.now), true)
	now.now = lapse
	c.setLeading(c.coordinator.Leading(now.now))
	if c.wasLeading {
		t.Fatal("the lease hasn't lapsed")
	}
	c.coordinator.Committed(rowstore.Version(0, 11), nil, now.now)
	c.setLeading(c.coordinator.Leading(now.now))
	if s := c.placer.broker.QuotaState(0, now.now); s == nil || s.PredecessorEnded || s.Usable != 0 {
		t.Errorf("after the lapse, the ledger is %+v, want nothing usable", s)
	}
}

// Guards against a machine that connects under the former coordinator's name and that is taken for a later process of the same machine.
func TestConnectingVMProvesEndFromSameAddressOnly(t *testing.T) {
	holders := coordinator.Fleet{VMs: 3, ShareHolders: packNames([]uint32{sharedrate.HashName("c")}), MaxShare: 0.25, Broker: 7}
	for address, want := range map[string]bool{"b:1": true, "b:2": false} {
		now := &manualClock{clock.Instant(time.Hour)}
		c := quotaControl(t, "a", now, 40)
		takeOverInEra(t, c, now, 0, &coordinator.Leader{VM: "b", Incarnation: "0", Address: "b:1", Renewal: 7, Fleet: holders})
		c.recordQuotaAnswer(&replica.Follower{VM: "b", Address: address}, replica.Report{Quota: &sharedrate.Answer{Process: 8, Stamp: 1}})
		if s := c.placer.broker.QuotaState(0, now.now); s.PredecessorEnded != want {
			t.Errorf("a later process at %s proves the end of that at b:1: %v, want %v", address, s.PredecessorEnded, want)
		}
	}
}
