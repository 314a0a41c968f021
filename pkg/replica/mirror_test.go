package replica

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

func newSnapshot(version uint64, keys ...string) rowstore.TableSnapshot {
	p := rowstore.TableSnapshot{Version: version}
	for _, k := range keys {
		p.Rows = append(p.Rows, rowstore.Row{Table: "t", Key: k, Value: []byte(k), Version: 1})
	}
	return p
}

// TestRelayedTableReplacesOwnReadOnceNewer checks that a VM doesn't miss a target for good. The VM had read the store right
// after an outage had let the registrations expire, at a newer version than the coordinator, which still had them all. The
// coordinator's later changes don't contain registrations that came back unchanged.
func TestRelayedTableReplacesOwnReadOnceNewer(t *testing.T) {
	row := func(key string, version uint64) rowstore.Row {
		return rowstore.Row{Table: "servers", Key: key, Version: version}
	}
	m := NewMirror()
	m.Replace("servers", rowstore.TableSnapshot{Version: 20, Rows: []rowstore.Row{row("a", 20)}}, true, 0)
	if m.ApplyRelayed(Delta{Table: "servers", Version: 10, Full: true, Rows: []rowstore.Row{row("a", 5), row("b", 6)}}, 0) || len(m.Rows("servers")) != 1 {
		t.Errorf("older table was applied: %v", m.Rows("servers"))
	}
	if m.ApplyRelayed(Delta{Table: "servers", Version: 15, Rows: []rowstore.Row{row("c", 15)}}, 0) {
		t.Error("older change was applied")
	}
	// The coordinator reports that it has caught up, without a change.
	if !m.ApplyRelayed(Delta{Table: "servers", Version: 21}, 0) || len(m.Rows("servers")) != 3 {
		t.Errorf("after catching up, rows are %v", m.Rows("servers"))
	}
	if m.ApplyRelayed(Delta{Table: "servers", Version: 22}, 0) || m.Version("servers") != 22 {
		t.Error("version without changes changed rows or was not recorded")
	}
	if !m.ApplyRelayed(Delta{Table: "servers", Version: 23, Removed: []string{"c"}}, 0) || len(m.Rows("servers")) != 2 {
		t.Errorf("after a removal, rows are %v", m.Rows("servers"))
	}
}

// TestMissingRowsAreKeptAfterOutage checks that registrations aren't dropped because they expired during an outage of the
// store.
func TestMissingRowsAreKeptAfterOutage(t *testing.T) {
	m, now := NewMirror(), clock.Instant(time.Second)
	m.Replace("t", newSnapshot(1, "a", "b"), true, now)
	now = now.Add(5 * time.Second)
	m.Replace("t", newSnapshot(2, "a"), true, now)
	if len(m.Rows("t")) != 2 {
		t.Fatalf("rows %v right after the outage", m.Rows("t"))
	}
	for range 6 {
		now = now.Add(400 * time.Millisecond)
		m.Replace("t", newSnapshot(3, "a"), true, now)
	}
	if len(m.Rows("t")) != 1 {
		t.Fatalf("rows %v 2.4 s after the end of the outage", m.Rows("t"))
	}
	m.Replace("t", newSnapshot(4), true, now.Add(400*time.Millisecond))
	if len(m.Rows("t")) != 0 {
		t.Fatal("row removed long after the outage was kept")
	}
}

// TestRemovedRowsAreKeptAfterOutage checks the same for changes: a row that is reported as removed after an outage is kept
// until a read of the whole table.
func TestRemovedRowsAreKeptAfterOutage(t *testing.T) {
	m, now := NewMirror(), clock.Instant(time.Second)
	m.Replace("t", newSnapshot(1, "a", "b"), true, now)
	now = now.Add(5 * time.Second)
	m.ApplyChanges("t", rowstore.Changes{Version: 2, Removed: []string{"b"}}, true, now)
	if len(m.Rows("t")) != 2 {
		t.Fatalf("rows %v right after the outage", m.Rows("t"))
	}
	now = now.Add(3 * time.Second / 2)
	m.ApplyChanges("t", rowstore.Changes{Version: 3}, true, now)
	now = now.Add(time.Second)
	m.Replace("t", newSnapshot(3, "a"), true, now)
	m.ApplyChanges("t", rowstore.Changes{Version: 4, Removed: []string{"a"}}, true, now.Add(400*time.Millisecond))
	if len(m.Rows("t")) != 0 {
		t.Fatalf("rows %v", m.Rows("t"))
	}
}

// TestOlderVersionsAreIgnored checks that an older version that arrives late doesn't replace a newer one.
func TestOlderVersionsAreIgnored(t *testing.T) {
	m, now := NewMirror(), clock.Instant(time.Second)
	m.Replace("t", newSnapshot(5, "a"), false, now)
	if m.Replace("t", newSnapshot(4, "a", "b"), false, now) || m.Apply(Delta{Table: "t", Version: 4, Removed: []string{"a"}}, 0) {
		t.Fatal("older version was applied")
	}
	if !m.Apply(Delta{Table: "t", Version: 6, Rows: []rowstore.Row{{Key: "b"}}, Removed: []string{"a"}}, 0) {
		t.Fatal("newer change was ignored")
	}
	if _, ok := m.Rows("t")["b"]; !ok || len(m.Rows("t")) != 1 {
		t.Fatalf("rows %v", m.Rows("t"))
	}
}

// TestDiffOmitsEquivalentRows checks that mere heartbeats aren't relayed to all VMs, and that changes are.
func TestDiffOmitsEquivalentRows(t *testing.T) {
	old := map[string]rowstore.Row{"a": {Key: "a", Version: 1, Value: []byte("x1")}, "b": {Key: "b", Version: 1, Value: []byte("y1")}, "c": {Key: "c", Version: 1}}
	current := map[string]rowstore.Row{"a": {Key: "a", Version: 2, Value: []byte("x2")}, "b": {Key: "b", Version: 2, Value: []byte("z1")}}
	d := Diff("t", 2, old, current, func(a, b rowstore.Row) bool { return a.Value[0] == b.Value[0] })
	if len(d.Rows) != 1 || d.Rows[0].Key != "b" || len(d.Removed) != 1 || d.Removed[0] != "c" {
		t.Errorf("%+v", d)
	}
}

// TestPackRoundTrip checks that packed tables reach a VM unchanged.
func TestPackRoundTrip(t *testing.T) {
	deltas := []Delta{FullDelta("t", 7, map[string]rowstore.Row{"a": {Table: "t", Key: "a", Value: []byte("x"), Version: 3}}), {Table: "u", Version: 8, Removed: []string{"b"}}}
	packed, err := Pack(deltas)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Unpack(packed)
	if err != nil || !reflect.DeepEqual(got, deltas) {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := Unpack(packed[:len(packed)/2]); err == nil {
		t.Error("truncated deltas were accepted")
	}
}

// TestLargeChangesArePacked checks that a large configuration is compressed. With 1,440 additional routes, an uncompressed one
// filled the links to all VMs and delayed grants to the other region by a second.
func TestLargeChangesArePacked(t *testing.T) {
	var value []byte
	for i := range 1440 {
		value = fmt.Appendf(value, `{"path":"/some/route/%d/","service":"archive","timeout_ms":4000,"methods":["GET","POST"]},`, i)
	}
	change := []Delta{{Table: "op", Version: 9, Rows: []rowstore.Row{{Table: "op", Key: "config", Version: 9, Value: value}}}}
	plain, packed, err := PackLarge(change)
	if err != nil || plain != nil || len(packed)*5 > len(value) {
		t.Errorf("%d bytes were packed into %d, %d deltas are unpacked, error %v", len(value), len(packed), len(plain), err)
	}
	if got, err := Unpack(packed); err != nil || !reflect.DeepEqual(got, change) {
		t.Errorf("unpacked change differs, error %v", err)
	}
	small := []Delta{{Table: "servers", Version: 9, Removed: []string{"a"}}}
	if plain, packed, err := PackLarge(small); err != nil || packed != nil || !reflect.DeepEqual(plain, small) {
		t.Errorf("small change became %v and %d packed bytes, error %v", plain, len(packed), err)
	}
}

// TestRemovalsAfterOutageNeedFullRead checks that a target isn't used for seconds after it has shut down. This happened when
// its removal was reported right after an outage, because later changes don't repeat it: a request reached such a target 3465
// ms after the announcement.
func TestRemovalsAfterOutageNeedFullRead(t *testing.T) {
	now := clock.Instant(time.Minute)
	rows := []rowstore.Row{{Key: "a", Version: 1}, {Key: "b", Version: 1}}
	for name, read := range map[string]func(m *Mirror){
		"changes": func(m *Mirror) { m.ApplyChanges("t", rowstore.Changes{Version: 5, Removed: []string{"a"}}, true, now) },
		"full read": func(m *Mirror) {
			m.Replace("t", rowstore.TableSnapshot{Version: 5, Rows: rows[1:]}, true, now)
		},
	} {
		m := NewMirror()
		m.Replace("t", rowstore.TableSnapshot{Version: 4, Rows: rows}, true, now.Add(-2*outageThreshold))
		read(m)
		if len(m.Rows("t")) != 2 {
			t.Errorf("%s: row was dropped right after an outage", name)
		}
		if m.NeedsFullRead("t", now) {
			t.Errorf("%s: full read is requested while missing rows are kept anyway", name)
		}
		graceEnd := now.Add(missingRowGrace)
		if !m.NeedsFullRead("t", graceEnd) {
			t.Errorf("%s: no full read is requested after the grace period", name)
		}
		m.NoteAvailable(Span{graceEnd.Add(-outageThreshold / 2), graceEnd.Add(-outageThreshold / 2)})
		m.Replace("t", rowstore.TableSnapshot{Version: 6, Rows: rows[1:]}, true, graceEnd)
		if m.NeedsFullRead("t", graceEnd) || len(m.Rows("t")) != 1 {
			t.Errorf("%s: %d rows after the full read, want 1", name, len(m.Rows("t")))
		}
	}
}

// TestRelayedReadsPreventOutage checks that a VM doesn't mistake the time during which it relied on the coordinator for an
// outage of the store.
func TestRelayedReadsPreventOutage(t *testing.T) {
	now := clock.Instant(time.Minute)
	m := NewMirror()
	m.Replace("t", rowstore.TableSnapshot{Version: 4, Rows: []rowstore.Row{{Key: "a", Version: 1}}}, true, now.Add(-time.Minute/2))
	for at := now.Add(-time.Minute / 2); at < now.Add(-outageThreshold/2); at = at.Add(300 * time.Millisecond) {
		m.NoteAvailable(Span{at, at})
	}
	if m.ApplyChanges("t", rowstore.Changes{Version: 5, Removed: []string{"a"}}, true, now); len(m.Rows("t")) != 0 {
		t.Error("removal was delayed as after an outage")
	}
}

// TestPartitionFromStoreIsNoOutage checks that a coordinator that is partitioned from the store doesn't keep targets that have left
// meanwhile. It took the gap in its own reads for an outage, kept their registrations for 2.2 s and brought them back on all VMs: requests
// reached targets later than 2 s after their removal.
func TestPartitionFromStoreIsNoOutage(t *testing.T) {
	start := clock.Instant(time.Minute)
	healed := start.Add(1900 * time.Millisecond)
	before := rowstore.TableSnapshot{Version: 4, Rows: []rowstore.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}}
	after := rowstore.TableSnapshot{Version: 9, Rows: before.Rows[:1]}
	for _, tc := range []struct {
		name   string
		report func(m *Mirror)
		rows   int
	}{
		{"no other VM reads the store", func(*Mirror) {}, 2},
		{"another VM reads the store all the time", func(m *Mirror) {
			m.NoteAvailable(Span{start.Add(1100 * time.Millisecond), start.Add(1500 * time.Millisecond)})
		}, 1},
		{"another VM reads the store at the end", func(m *Mirror) { m.NoteAvailable(Span{healed, healed}) }, 2},
		{"another VM has seen the removal", func(m *Mirror) { m.ApplyRemovals("t", []Removal{{"b", 7}}, 0) }, 1},
		{"another VM has seen the removal of an earlier row", func(m *Mirror) { m.ApplyRemovals("t", []Removal{{"b", 1}}, 0) }, 2},
	} {
		m := NewMirror()
		m.Replace("t", before, true, start)
		tc.report(m)
		m.Replace("t", after, true, healed)
		if len(m.Rows("t")) != tc.rows {
			t.Errorf("%s: %d rows after the partition, want %d", tc.name, len(m.Rows("t")), tc.rows)
		}
	}
}

// TestLateReportEndsGrace checks that missing registrations are no longer kept once a report shows that there was no outage.
func TestLateReportEndsGrace(t *testing.T) {
	start := clock.Instant(time.Minute)
	healed := start.Add(3 * time.Second)
	m := NewMirror()
	m.Replace("t", newSnapshot(1, "a", "b"), true, start)
	m.Replace("t", newSnapshot(2, "a"), true, healed)
	if m.NeedsFullRead("t", healed) {
		t.Fatal("a full read is requested right after what looks like an outage")
	}
	m.NoteAvailable(Span{start.Add(time.Second), healed.Add(-time.Second)})
	if !m.NeedsFullRead("t", healed) {
		t.Error("no full read is requested although the store was available")
	}
	if m.Replace("t", newSnapshot(2, "a"), true, healed); len(m.Rows("t")) != 1 {
		t.Errorf("rows %v", m.Rows("t"))
	}
}

// TestRelayedTableDoesNotRestoreRemovedRows checks that a VM which has seen that a target is gone doesn't take it back from a coordinator
// that has missed it. Once the target is registered again, it is used.
func TestRelayedTableDoesNotRestoreRemovedRows(t *testing.T) {
	row := func(key string, version uint64) rowstore.Row {
		return rowstore.Row{Table: "t", Key: key, Version: version}
	}
	both := []rowstore.Row{row("a", 1), row("b", 2)}
	now := clock.Instant(time.Minute)
	for name, remove := range map[string]func(m *Mirror){
		"own read":    func(m *Mirror) { m.Replace("t", rowstore.TableSnapshot{Version: 7, Rows: both[:1]}, true, now) },
		"own changes": func(m *Mirror) { m.ApplyChanges("t", rowstore.Changes{Version: 7, Removed: []string{"b"}}, true, now) },
		"relayed":     func(m *Mirror) { m.ApplyRelayed(Delta{Table: "t", Version: 7, Removed: []string{"b"}}, 0) },
	} {
		m := NewMirror()
		m.ApplyRelayed(Delta{Table: "t", Version: 4, Full: true, Rows: both}, 0)
		remove(m)
		m.ApplyRelayed(Delta{Table: "t", Version: 8}, 0)
		if _, ok := m.Rows("t")["b"]; ok {
			t.Errorf("%s: a heartbeat restores the removed row", name)
		}
		m.ResetRelayed()
		m.ApplyRelayed(Delta{Table: "t", Version: 9, Full: true, Rows: both}, 0)
		if _, ok := m.Rows("t")["b"]; ok || len(m.Rows("t")) != 1 {
			t.Errorf("%s: a whole table restores the removed row: %v", name, m.Rows("t"))
		}
		m.ApplyRelayed(Delta{Table: "t", Version: 12, Rows: []rowstore.Row{row("b", 11)}}, 0)
		if len(m.Rows("t")) != 2 {
			t.Errorf("%s: the row that was written again is missing: %v", name, m.Rows("t"))
		}
	}
}

// TestNewProcessReportsNoRemovals checks that a process which has just started, and so can't know of an outage, doesn't make other VMs
// drop registrations that expired during it.
func TestNewProcessReportsNoRemovals(t *testing.T) {
	m, now := NewMirror(), clock.Instant(time.Minute)
	m.ApplyRelayed(Delta{Table: "t", Version: 4, Full: true, Rows: newSnapshot(4, "a", "b", "c").Rows}, 0)
	m.Replace("t", newSnapshot(5, "a", "b"), true, now)
	if r := m.TakeRemovals("t"); len(r) != 0 {
		t.Errorf("a new process reports %v", r)
	}
	for at := now; at < now.Add(missingRowGrace); at = at.Add(outageThreshold) {
		m.NoteAvailable(Span{at, at})
	}
	m.Replace("t", newSnapshot(6, "a"), true, now.Add(missingRowGrace))
	if r := m.TakeRemovals("t"); !reflect.DeepEqual(r, []Removal{{"b", 6}}) {
		t.Errorf("reported removals are %v", r)
	}
}

// TestRemovalsAreBounded checks that targets which come and go for years don't fill the memory.
func TestRemovalsAreBounded(t *testing.T) {
	m := NewMirror()
	for i := range 3 * maxRemovals {
		m.ApplyRemovals("t", []Removal{{fmt.Sprint(i), 1}}, 0)
	}
	if table := m.table("t"); len(table.removed) != maxRemovals || len(table.removedKeys) != maxRemovals {
		t.Errorf("%d removals of %d keys are remembered", len(table.removed), len(table.removedKeys))
	}
}
