package entry

import (
	"strconv"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// operatorDecoder decodes a configuration that consists of its version, and failure domains whose rows bear their names.
type operatorDecoder struct{ rowDecoder }

func (operatorDecoder) Configuration(rows map[string]rowstore.Row) (*inventory.Configuration, error) {
	row, ok := rows["config"]
	if !ok {
		return nil, nil
	}
	version, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return nil, err
	}
	return inventory.NewConfiguration(version, inventory.Limits{}, nil, nil), nil
}

func (operatorDecoder) DomainsOut(rows map[string]rowstore.Row) map[string]bool {
	out := map[string]bool{}
	for key := range rows {
		out[key] = key != "config"
	}
	delete(out, "config")
	return out
}

func operatorPage(era, number uint64, config string, domainsOut ...string) rowstore.TableSnapshot {
	version := rowstore.Version(era, number)
	page := rowstore.TableSnapshot{Version: version}
	if config != "" {
		page.Rows = append(page.Rows, rowstore.Row{Table: "op", Key: "config", Value: []byte(config), Version: version})
	}
	for _, key := range domainsOut {
		page.Rows = append(page.Rows, rowstore.Row{Table: "op", Key: key, Version: version})
	}
	return page
}

// Guards against a VM that goes back to an older configuration or returns a failure domain to service because the store was restored, on
// its own or by relaying what the store has to a VM that starts; and against one that doesn't apply what the operator writes then.
func TestConfigurationNeverRevertsOnRestore(t *testing.T) {
	now := &manualClock{now: clock.Instant(time.Minute)}
	c, starting := clockedControl(t, "a", now), clockedControl(t, "b", now)
	c.decoder, starting.decoder = operatorDecoder{}, operatorDecoder{}
	for _, step := range []struct {
		name   string
		page   rowstore.TableSnapshot
		want   uint64
		domain bool
	}{
		{"configured", operatorPage(0, 90, "8", "zone"), 8, true},
		{"restored", operatorPage(1, 50, "7"), 8, true},
		{"restored again, without any row", operatorPage(2, 40, ""), 8, true},
		{"written again by the operator", operatorPage(2, 60, "8", "zone"), 8, true},
		{"next configuration", operatorPage(2, 61, "9"), 9, false},
	} {
		now.now = now.now.Add(time.Second)
		c.handlePage("op", step.page, nil, now.now)
		if c.config.Version != step.want || c.snapshot.DomainsOut["zone"] != step.domain {
			t.Errorf("%s: configuration %d is in force, domain out: %v", step.name, c.config.Version, c.snapshot.DomainsOut["zone"])
		}
		starting.mirror, starting.config, starting.configRowVersion = replica.NewMirror(), nil, 0
		if err := starting.applyTables(replica.Update{Deltas: []replica.Delta{replica.FullDelta("op", c.mirror.Version("op"), c.mirror.Rows("op"))}}, now.now); err != nil {
			t.Fatal(err)
		}
		if starting.config.Version != step.want || starting.snapshot.DomainsOut["zone"] != step.domain {
			t.Errorf("%s: a VM that starts has configuration %d, domain out: %v", step.name, starting.config.Version, starting.snapshot.DomainsOut["zone"])
		}
	}
	if c.storeEra.Load() != 2 {
		t.Errorf("the VM knows era %d", c.storeEra.Load())
	}
}

// Guards against a VM that starts after a restore, reads the older configuration and another row that the operator wrote later, and
// doesn't put the newer configuration into force that is relayed to it, whose row has a lower version than that other row. The relaying VM
// knows the new era or is cut off from the store.
func TestNewerConfigurationIsTakenAfterOwnRead(t *testing.T) {
	for _, relayedEra := range []uint64{0, 1} {
		now := &manualClock{now: clock.Instant(time.Minute)}
		relaying, c := clockedControl(t, "a", now), clockedControl(t, "b", now)
		relaying.decoder, c.decoder = operatorDecoder{}, operatorDecoder{}
		restored := operatorPage(1, 50, "7", "zone")
		relaying.handlePage("op", operatorPage(0, 90, "8", "zone"), nil, now.now)
		if relayedEra == 1 {
			relaying.handlePage("op", restored, nil, now.now)
		}
		c.handlePage("op", restored, nil, now.now)
		if err := c.applyTables(replica.Update{Deltas: []replica.Delta{replica.FullDelta("op", relaying.mirror.Version("op"), relaying.mirror.Rows("op"))}}, now.now); err != nil {
			t.Fatal(err)
		}
		if c.config.Version != 8 {
			t.Errorf("relayed in era %d: configuration %d is in force", relayedEra, c.config.Version)
		}
	}
}

// Guards against records of crashing requests that are gone after the next loss of all VMs because a restore has lost them, twice.
func TestQuarantineIsStoredAgainAfterRestore(t *testing.T) {
	store := &singleRowStore{}
	c := testControl(t, "a")
	c.store = store
	runSuspectSync(c)
	crashThreeTimes(c.suspects, c.clock.Now())
	runSuspectSync(c)
	for era := range uint64(3) {
		if era > 0 {
			store.row, store.missing = rowstore.Row{}, rowstore.Version(era, 0)
			c.storeEra.Store(era)
			runSuspectSync(c)
		}
		if rowstore.Era(store.row.Version) != era || rowstore.Number(store.row.Version) == 0 {
			t.Errorf("era %d: the stored row has version %d of era %d", era, rowstore.Number(store.row.Version), rowstore.Era(store.row.Version))
		}
	}
}

// Guards against a VM without a coordinator that sends requests to the owners of a restored table although it knows those that the
// coordinator has sent since.
func TestKnownOwnersOutlastRestoredTable(t *testing.T) {
	now := &manualClock{now: clock.Instant(time.Minute)}
	c := clockedControl(t, "a", now)
	c.config = inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "p", Keyed: true}}, nil)
	c.applyRoutes(replica.Update{AllRoutes: true, Routes: map[string][]coordinator.Route{"p": {{From: 0, To: 65535, Owner: "new"}}}})
	for _, step := range []struct {
		era, rowEra uint64
		owner       string
	}{{1, 0, "new"}, {2, 1, "new"}, {2, 2, "old"}} {
		table := keyrange.InitialTable("p", 1, []keyrange.Member{{ID: "old", MayReceive: true}})
		page := rowstore.TableSnapshot{Version: rowstore.Version(step.era, step.rowEra+9)}
		for key, content := range map[string]any{coordinator.KeyLeader: coordinator.Leader{VM: "b", Address: "b:1", Era: step.rowEra}, coordinator.KeySlicesPrefix + "p": table} {
			value, err := msgpack.Marshal(content)
			if err != nil {
				t.Fatal(err)
			}
			page.Rows = append(page.Rows, rowstore.Row{Table: coordinator.Table, Key: key, Value: value, Version: rowstore.Version(step.era, step.rowEra+9)})
		}
		c.handlePage(coordinator.Table, page, nil, now.now)
		if r, ok := coordinator.FindRoute(c.Current().Routes["p"], 5); !ok || r.Owner != step.owner {
			t.Errorf("row of era %d in era %d: the owner is %q", step.rowEra, step.era, r.Owner)
		}
	}
}

// Guards against a VM that starts after a restore and uses the older configuration in the store, although the coordinator, to which it
// connects a moment later, knows the newer one: a VM that the coordinator's row names, and one of a small fleet.
func TestStartingVMLeavesRestoredTablesToCoordinator(t *testing.T) {
	for _, era := range []uint64{0, 1} {
		for _, named := range []bool{false, true} {
			now := &manualClock{now: clock.Instant(time.Minute)}
			c := clockedControl(t, "a", now)
			c.startedAt = now.now
			fleet := coordinator.Fleet{VMs: 12}
			if named {
				fleet.Distributors = map[string]string{c.settings.Domain: c.relayAddress()}
			}
			value, err := msgpack.Marshal(coordinator.Leader{VM: "b", Address: "127.0.0.1:9", Era: era, Fleet: fleet})
			if err != nil {
				t.Fatal(err)
			}
			version := rowstore.Version(era, 9)
			now.now = now.now.Add(undistributedReadGrace)
			c.handlePage(coordinator.Table, rowstore.TableSnapshot{Version: version, Rows: []rowstore.Row{{Table: coordinator.Table, Key: coordinator.KeyLeader, Value: value, Version: version}}}, nil, now.now)
			if expects := c.expectsRelayedTables(now.now); expects != (era > 0) {
				t.Errorf("era %d, named: %v: the VM leaves reading the tables to the coordinator at first: %v", era, named, expects)
			}
			if c.expectsRelayedTables(now.now.Add(undistributedReadGrace)) {
				t.Errorf("era %d, named: %v: the VM doesn't read the tables although no coordinator answers", era, named)
			}
		}
	}
}
