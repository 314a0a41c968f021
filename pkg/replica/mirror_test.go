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
	if m.ApplyRelayed(Delta{Table: "servers", Version: 10, Full: true, Rows: []rowstore.Row{row("a", 5), row("b", 6)}}) || len(m.Rows("servers")) != 1 {
		t.Errorf("older table was applied: %v", m.Rows("servers"))
	}
	if m.ApplyRelayed(Delta{Table: "servers", Version: 15, Rows: []rowstore.Row{row("c", 15)}}) {
		t.Error("older change was applied")
	}
	// The coordinator reports that it has caught up, without a change.
	if !m.ApplyRelayed(Delta{Table: "servers", Version: 21}) || len(m.Rows("servers")) != 3 {
		t.Errorf("after catching up, rows are %v", m.Rows("servers"))
	}
	if m.ApplyRelayed(Delta{Table: "servers", Version: 22}) || m.Version("servers") != 22 {
		t.Error("version without changes changed rows or was not recorded")
	}
	if !m.ApplyRelayed(Delta{Table: "servers", Version: 23, Removed: []string{"c"}}) || len(m.Rows("servers")) != 2 {
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
	if m.Replace("t", newSnapshot(4, "a", "b"), false, now) || m.Apply(Delta{Table: "t", Version: 4, Removed: []string{"a"}}) {
		t.Fatal("older version was applied")
	}
	if !m.Apply(Delta{Table: "t", Version: 6, Rows: []rowstore.Row{{Key: "b"}}, Removed: []string{"a"}}) {
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
		m.NoteRelayedRead("t", graceEnd.Add(-outageThreshold/2))
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
	m.NoteRelayedRead("t", now.Add(-outageThreshold/2))
	if m.ApplyChanges("t", rowstore.Changes{Version: 5, Removed: []string{"a"}}, true, now); len(m.Rows("t")) != 0 {
		t.Error("removal was delayed as after an outage")
	}
}
