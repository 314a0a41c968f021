// Package replica keeps a VM's copy of the store's tables, from its own reads or as relayed by the coordinator.
package replica

import (
	"maps"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// returnGrace is how long a registration that is missing after an outage of the store is still believed. Targets that live
// are registered again within two seconds of the store's return.
const returnGrace = 2200 * time.Millisecond

// outage is the time without a read after which registrations may have expired only because of the store.
const outage = 1500 * time.Millisecond

// Table is a copy of one table.
type Table struct {
	Version uint64
	Rows    map[string]rowstore.Row
	// relayed are the rows as the VM has them that passes them on; nil until it has sent all. Its changes refer to them, also while
	// this VM has read a newer version itself.
	relayed map[string]rowstore.Row
	// readAt is when the table was last read from the store, here or by the coordinator.
	readAt clock.Instant
	// kept tells that rows that are gone were kept after an outage. Later changes don't tell of them again.
	kept bool
	// graceUntil is when missing rows are believed to be gone after an outage.
	graceUntil clock.Instant
}

// Mirror is the copy of several tables. It isn't safe for concurrent use.
type Mirror struct {
	tables map[string]*Table
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{tables: map[string]*Table{}}
}

// Rows returns a table's rows by key. They must not be changed.
func (m *Mirror) Rows(table string) map[string]rowstore.Row {
	return m.table(table).Rows
}

// Version returns the version of the store that a table's copy is as of; 0 if there is none.
func (m *Mirror) Version(table string) uint64 {
	return m.table(table).Version
}

func (m *Mirror) table(name string) *Table {
	t := m.tables[name]
	if t == nil {
		t = &Table{Rows: map[string]rowstore.Row{}}
		m.tables[name] = t
	}
	return t
}

// Relayed notes that the coordinator has read a table at the given instant, so that there is no outage until then.
func (m *Mirror) Relayed(name string, at clock.Instant) {
	t := m.table(name)
	t.readAt = max(t.readAt, at)
}

// NeedsWhole tells whether only a read of the whole table shows which rows are gone.
func (m *Mirror) NeedsWhole(name string, now clock.Instant) bool {
	t := m.table(name)
	return t.kept && now >= t.graceUntil
}

// Replace takes in a table as read from the store. It returns whether a row has changed. lapses tells that the rows expire
// by themselves, so that rows missing after an outage are kept for a while.
func (m *Mirror) Replace(name string, page rowstore.Page, lapses bool, now clock.Instant) bool {
	t := m.table(name)
	if page.Version < t.Version {
		return false
	}
	t.read(lapses, now)
	rows := make(map[string]rowstore.Row, len(page.Rows))
	for _, r := range page.Rows {
		rows[r.Key] = r
	}
	t.kept = false
	if now < t.graceUntil {
		for key, r := range t.Rows {
			if _, ok := rows[key]; !ok {
				rows[key], t.kept = r, true
			}
		}
	}
	changed := !sameVersions(t.Rows, rows)
	t.Version, t.Rows = page.Version, rows
	return changed
}

// read notes a read of the store.
func (t *Table) read(lapses bool, now clock.Instant) {
	if lapses && t.readAt != 0 && now.Sub(t.readAt) > outage {
		t.graceUntil = now.Add(returnGrace)
	}
	t.readAt = now
}

// Change takes in changes as read from the store. It returns whether a row has changed. Rows that are gone right after an
// outage stay until a whole read shows that they are.
func (m *Mirror) Change(name string, c rowstore.Changes, lapses bool, now clock.Instant) bool {
	t := m.table(name)
	t.read(lapses, now)
	gone := c.Gone
	if now < t.graceUntil {
		t.kept = t.kept || len(gone) > 0
		gone = nil
	}
	return m.Apply(Delta{Table: name, Version: c.Version, Rows: c.Rows, Gone: gone})
}

func sameVersions(a, b map[string]rowstore.Row) bool {
	if len(a) != len(b) {
		return false
	}
	for key, r := range a {
		if o, ok := b[key]; !ok || o.Version != r.Version {
			return false
		}
	}
	return true
}

// Delta is what has changed in a table up to a version of the store.
type Delta struct {
	Table   string         `msgpack:"t"`
	Version uint64         `msgpack:"v"`
	Full    bool           `msgpack:"f,omitempty"`
	Rows    []rowstore.Row `msgpack:"r,omitempty"`
	Gone    []string       `msgpack:"g,omitempty"`
}

// Empty tells whether the delta changes nothing.
func (d *Delta) Empty() bool {
	return len(d.Rows) == 0 && len(d.Gone) == 0 && !d.Full
}

// Apply takes in a delta. Deltas older than the copy are ignored. It returns whether a row has changed.
func (m *Mirror) Apply(d Delta) bool {
	t := m.table(d.Table)
	if d.Version < t.Version {
		return false
	}
	t.Version = d.Version
	if d.Empty() {
		return false
	}
	t.Rows = d.patch(t.Rows)
	return true
}

// ForgetRelayed tells that another VM passes the tables on from now on, which begins with all rows.
func (m *Mirror) ForgetRelayed() {
	for _, t := range m.tables {
		t.relayed = nil
	}
}

// Relay takes in a delta of the VM that passes the tables on. It returns whether a row has changed. While this VM knows a newer
// version, its own rows stay; once the other one has caught up, all of that one's rows are taken. Patching the own rows with its
// changes would leave out what this VM's read lacked: registrations that had lapsed with the store and came back later.
func (m *Mirror) Relay(d Delta) bool {
	t := m.table(d.Table)
	switch {
	case d.Full:
		t.relayed = d.patch(nil)
	case t.relayed == nil && d.Empty():
		return false
	case t.relayed == nil:
		return m.Apply(d)
	case !d.Empty():
		t.relayed = d.patch(t.relayed)
	}
	if d.Version < t.Version {
		return false
	}
	changed := !sameVersions(t.Rows, t.relayed)
	t.Version, t.Rows = d.Version, t.relayed
	return changed
}

// patch returns a copy of the rows with the delta's changes.
func (d *Delta) patch(old map[string]rowstore.Row) map[string]rowstore.Row {
	rows := make(map[string]rowstore.Row, len(old)+len(d.Rows))
	if !d.Full {
		maps.Copy(rows, old)
	}
	for _, r := range d.Rows {
		rows[r.Key] = r
	}
	for _, key := range d.Gone {
		delete(rows, key)
	}
	return rows
}

// Diff returns the rows that differ in meaning between two copies of a table.
func Diff(table string, version uint64, old, current map[string]rowstore.Row, same func(a, b rowstore.Row) bool) Delta {
	d := Delta{Table: table, Version: version}
	for key, r := range current {
		if o, ok := old[key]; !ok || o.Version != r.Version && !same(o, r) {
			d.Rows = append(d.Rows, r)
		}
	}
	for key := range old {
		if _, ok := current[key]; !ok {
			d.Gone = append(d.Gone, key)
		}
	}
	return d
}

// FullDelta returns a whole table.
func FullDelta(table string, version uint64, rows map[string]rowstore.Row) Delta {
	d := Delta{Table: table, Version: version, Full: true}
	for _, r := range rows {
		d.Rows = append(d.Rows, r)
	}
	return d
}
