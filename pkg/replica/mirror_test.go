package replica

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

func page(version uint64, keys ...string) rowstore.Page {
	p := rowstore.Page{Version: version}
	for _, k := range keys {
		p.Rows = append(p.Rows, rowstore.Row{Table: "t", Key: k, Value: []byte(k), Version: 1})
	}
	return p
}

// Guards against a VM that misses a target for good: it had read the store right after the registrations lapsed with it, a newer version
// than that of the coordinator, which still had them all, and the coordinator's later changes don't tell of those that came back
// as they were.
func TestRelayedTableIsTakenWholeOnceItIsNewer(t *testing.T) {
	row := func(key string, version uint64) rowstore.Row {
		return rowstore.Row{Table: "servers", Key: key, Version: version}
	}
	m := NewMirror()
	m.Replace("servers", rowstore.Page{Version: 20, Rows: []rowstore.Row{row("a", 20)}}, true, 0)
	if m.Relay(Delta{Table: "servers", Version: 10, Full: true, Rows: []rowstore.Row{row("a", 5), row("b", 6)}}) || len(m.Rows("servers")) != 1 {
		t.Errorf("an older table is taken: %v", m.Rows("servers"))
	}
	if m.Relay(Delta{Table: "servers", Version: 15, Rows: []rowstore.Row{row("c", 15)}}) {
		t.Error("an older change is taken")
	}
	// The coordinator tells that it has caught up, without a change.
	if !m.Relay(Delta{Table: "servers", Version: 21}) || len(m.Rows("servers")) != 3 {
		t.Errorf("the VM has %v", m.Rows("servers"))
	}
	if m.Relay(Delta{Table: "servers", Version: 22}) || m.Version("servers") != 22 {
		t.Error("a version alone changes rows, or isn't noted")
	}
	if !m.Relay(Delta{Table: "servers", Version: 23, Gone: []string{"c"}}) || len(m.Rows("servers")) != 2 {
		t.Errorf("after a removal the VM has %v", m.Rows("servers"))
	}
}

// Guards against registrations that are dropped because they expired while the store was away.
func TestRegistrationsSurviveAnOutage(t *testing.T) {
	m, now := NewMirror(), clock.Instant(time.Second)
	m.Replace("t", page(1, "a", "b"), true, now)
	now = now.Add(5 * time.Second)
	m.Replace("t", page(2, "a"), true, now)
	if len(m.Rows("t")) != 2 {
		t.Fatalf("rows %v right after the outage", m.Rows("t"))
	}
	for range 6 {
		now = now.Add(400 * time.Millisecond)
		m.Replace("t", page(3, "a"), true, now)
	}
	if len(m.Rows("t")) != 1 {
		t.Fatalf("rows %v 2.4 s after the store's return", m.Rows("t"))
	}
	m.Replace("t", page(4), true, now.Add(400*time.Millisecond))
	if len(m.Rows("t")) != 0 {
		t.Fatal("a target that left on a calm day is still believed")
	}
}

// Guards against the same for changes: a row that is gone after an outage stays until a whole read.
func TestChangesAfterAnOutage(t *testing.T) {
	m, now := NewMirror(), clock.Instant(time.Second)
	m.Replace("t", page(1, "a", "b"), true, now)
	now = now.Add(5 * time.Second)
	m.Change("t", rowstore.Changes{Version: 2, Gone: []string{"b"}}, true, now)
	if len(m.Rows("t")) != 2 {
		t.Fatalf("rows %v right after the outage", m.Rows("t"))
	}
	now = now.Add(3 * time.Second / 2)
	m.Change("t", rowstore.Changes{Version: 3}, true, now)
	now = now.Add(time.Second)
	m.Replace("t", page(3, "a"), true, now)
	m.Change("t", rowstore.Changes{Version: 4, Gone: []string{"a"}}, true, now.Add(400*time.Millisecond))
	if len(m.Rows("t")) != 0 {
		t.Fatalf("rows %v", m.Rows("t"))
	}
}

// Guards against knowledge that goes back when an older copy arrives later.
func TestOlderCopiesAreIgnored(t *testing.T) {
	m, now := NewMirror(), clock.Instant(time.Second)
	m.Replace("t", page(5, "a"), false, now)
	if m.Replace("t", page(4, "a", "b"), false, now) || m.Apply(Delta{Table: "t", Version: 4, Gone: []string{"a"}}) {
		t.Fatal("an older copy is taken in")
	}
	if !m.Apply(Delta{Table: "t", Version: 6, Rows: []rowstore.Row{{Key: "b"}}, Gone: []string{"a"}}) {
		t.Fatal("a newer change is ignored")
	}
	if _, ok := m.Rows("t")["b"]; !ok || len(m.Rows("t")) != 1 {
		t.Fatalf("rows %v", m.Rows("t"))
	}
}

// Guards against heartbeats that are relayed to all VMs, and against changes that aren't.
func TestDiffLeavesOutWhatMeansTheSame(t *testing.T) {
	old := map[string]rowstore.Row{"a": {Key: "a", Version: 1, Value: []byte("x1")}, "b": {Key: "b", Version: 1, Value: []byte("y1")}, "c": {Key: "c", Version: 1}}
	current := map[string]rowstore.Row{"a": {Key: "a", Version: 2, Value: []byte("x2")}, "b": {Key: "b", Version: 2, Value: []byte("z1")}}
	d := Diff("t", 2, old, current, func(a, b rowstore.Row) bool { return a.Value[0] == b.Value[0] })
	if len(d.Rows) != 1 || d.Rows[0].Key != "b" || len(d.Gone) != 1 || d.Gone[0] != "c" {
		t.Errorf("%+v", d)
	}
}

// Guards against tables that change on their way to a VM that connects.
func TestPackedDeltasComeBack(t *testing.T) {
	deltas := []Delta{FullDelta("t", 7, map[string]rowstore.Row{"a": {Table: "t", Key: "a", Value: []byte("x"), Version: 3}}), {Table: "u", Version: 8, Gone: []string{"b"}}}
	packed, err := Pack(deltas)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Unpack(packed)
	if err != nil || !reflect.DeepEqual(got, deltas) {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := Unpack(packed[:len(packed)/2]); err == nil {
		t.Error("half of a message is accepted")
	}
}

// Guards against a large configuration that fills the links to all VMs: with 1,440 routes more, grants to the other region were
// delivered a second late.
func TestLargeChangesArePacked(t *testing.T) {
	var value []byte
	for i := range 1440 {
		value = fmt.Appendf(value, `{"path":"/some/route/%d/","service":"archive","timeout_ms":4000,"methods":["GET","POST"]},`, i)
	}
	change := []Delta{{Table: "op", Version: 9, Rows: []rowstore.Row{{Table: "op", Key: "config", Version: 9, Value: value}}}}
	plain, packed, err := Shrink(change)
	if err != nil || plain != nil || len(packed)*5 > len(value) {
		t.Errorf("%d bytes become %d, %d deltas stay plain, %v", len(value), len(packed), len(plain), err)
	}
	if got, err := Unpack(packed); err != nil || !reflect.DeepEqual(got, change) {
		t.Errorf("the change doesn't come back: %v", err)
	}
	small := []Delta{{Table: "servers", Version: 9, Gone: []string{"a"}}}
	if plain, packed, err := Shrink(small); err != nil || packed != nil || !reflect.DeepEqual(plain, small) {
		t.Errorf("a small change becomes %v and %d bytes, %v", plain, len(packed), err)
	}
}

// Guards against targets that are used for seconds after they have left, because their removal was told right after an outage
// and later changes don't repeat it: a request reached one 3465 ms after its announcement.
func TestRemovalsAfterAnOutageNeedAWholeRead(t *testing.T) {
	now := clock.Instant(time.Minute)
	rows := []rowstore.Row{{Key: "a", Version: 1}, {Key: "b", Version: 1}}
	for name, read := range map[string]func(m *Mirror){
		"changes": func(m *Mirror) { m.Change("t", rowstore.Changes{Version: 5, Gone: []string{"a"}}, true, now) },
		"a whole read": func(m *Mirror) {
			m.Replace("t", rowstore.Page{Version: 5, Rows: rows[1:]}, true, now)
		},
	} {
		m := NewMirror()
		m.Replace("t", rowstore.Page{Version: 4, Rows: rows}, true, now.Add(-2*outage))
		read(m)
		if len(m.Rows("t")) != 2 {
			t.Errorf("%s: a row is dropped right after an outage", name)
		}
		if m.NeedsWhole("t", now) {
			t.Errorf("%s: a whole read is asked for while rows are kept in any case", name)
		}
		later := now.Add(returnGrace)
		if !m.NeedsWhole("t", later) {
			t.Errorf("%s: no whole read is asked for afterwards", name)
		}
		m.Relayed("t", later.Add(-outage/2))
		m.Replace("t", rowstore.Page{Version: 6, Rows: rows[1:]}, true, later)
		if m.NeedsWhole("t", later) || len(m.Rows("t")) != 1 {
			t.Errorf("%s: %d rows after the whole read", name, len(m.Rows("t")))
		}
	}
}

// Guards against a VM that takes the time in which it relied on the coordinator for an outage of the store.
func TestRelayedTablesAreNoOutage(t *testing.T) {
	now := clock.Instant(time.Minute)
	m := NewMirror()
	m.Replace("t", rowstore.Page{Version: 4, Rows: []rowstore.Row{{Key: "a", Version: 1}}}, true, now.Add(-time.Minute/2))
	m.Relayed("t", now.Add(-outage/2))
	if m.Change("t", rowstore.Changes{Version: 5, Gone: []string{"a"}}, true, now); len(m.Rows("t")) != 0 {
		t.Error("a removal is held back as if the store had been away")
	}
}
