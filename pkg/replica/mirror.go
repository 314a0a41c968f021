// Package replica keeps a VM's copy of the store's tables, which it reads itself or receives from the coordinator or a
// distributor.
package replica

import (
	"maps"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// missingRowGrace is how long a registration that is missing after an outage of the store is still considered valid. Live
// targets register again within two seconds of the store's recovery.
const missingRowGrace = 2200 * time.Millisecond

// outageThreshold is the time without a read of the store after which registrations may have expired only because the store was
// unavailable.
const outageThreshold = 1500 * time.Millisecond

// Table is the copy of one table.
type Table struct {
	Version uint64
	Rows    map[string]rowstore.Row
	// relayedRows are the rows of the VM that relays the table, or nil until it has sent the whole table. Relayed changes apply
	// to these rows, even while this VM has read a newer version itself.
	relayedRows map[string]rowstore.Row
	// readAt is when the table was last read from the store, by this VM or by the coordinator.
	readAt clock.Instant
	// keptMissing is set if rows that are missing from the store were kept after an outage. Later changes don't report these
	// rows as removed again.
	keptMissing bool
	// graceUntil is when the grace period after an outage ends, during which missing rows are kept.
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

// Rows returns a table's rows by key. The caller must not change them.
func (m *Mirror) Rows(table string) map[string]rowstore.Row {
	return m.table(table).Rows
}

// Version returns the version of the store that the copy of a table corresponds to, or 0 if there is no copy.
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

// NoteRelayedRead records that the coordinator read a table at the given time, so that the time until then doesn't count as an
// outage.
func (m *Mirror) NoteRelayedRead(name string, at clock.Instant) {
	t := m.table(name)
	t.readAt = max(t.readAt, at)
}

// NeedsFullRead reports whether the whole table must be read to find out which rows are missing.
func (m *Mirror) NeedsFullRead(name string, now clock.Instant) bool {
	t := m.table(name)
	return t.keptMissing && now >= t.graceUntil
}

// Replace replaces a table by one read from the store. It reports whether a row has changed. expires means that the rows expire
// by themselves, so rows that are missing after an outage are kept for a while. Versions older than the copy are ignored.
func (m *Mirror) Replace(name string, snapshot rowstore.TableSnapshot, expires bool, now clock.Instant) bool {
	t := m.table(name)
	if snapshot.Version < t.Version {
		return false
	}
	t.noteRead(expires, now)
	rows := make(map[string]rowstore.Row, len(snapshot.Rows))
	for _, r := range snapshot.Rows {
		rows[r.Key] = r
	}
	t.keptMissing = false
	if now < t.graceUntil {
		for key, r := range t.Rows {
			if _, ok := rows[key]; !ok {
				rows[key], t.keptMissing = r, true
			}
		}
	}
	changed := !sameVersions(t.Rows, rows)
	t.Version, t.Rows = snapshot.Version, rows
	return changed
}

// noteRead records a read of the store and starts the grace period if it is the first one after an outage.
func (t *Table) noteRead(expires bool, now clock.Instant) {
	if expires && t.readAt != 0 && now.Sub(t.readAt) > outageThreshold {
		t.graceUntil = now.Add(missingRowGrace)
	}
	t.readAt = now
}

// ApplyChanges applies changes read from the store. It reports whether a row has changed. Rows that are removed right after an
// outage are kept until the whole table is read.
func (m *Mirror) ApplyChanges(name string, changes rowstore.Changes, expires bool, now clock.Instant) bool {
	t := m.table(name)
	t.noteRead(expires, now)
	removed := changes.Removed
	if now < t.graceUntil {
		t.keptMissing = t.keptMissing || len(removed) > 0
		removed = nil
	}
	return m.Apply(Delta{Table: name, Version: changes.Version, Rows: changes.Rows, Removed: removed})
}

func sameVersions(a, b map[string]rowstore.Row) bool {
	if len(a) != len(b) {
		return false
	}
	for key, r := range a {
		if other, ok := b[key]; !ok || other.Version != r.Version {
			return false
		}
	}
	return true
}

// Delta contains the changes of a table up to a version of the store, or the whole table if Full is set.
type Delta struct {
	Table   string         `msgpack:"t"`
	Version uint64         `msgpack:"v"`
	Full    bool           `msgpack:"f,omitempty"`
	Rows    []rowstore.Row `msgpack:"r,omitempty"`
	Removed []string       `msgpack:"g,omitempty"`
}

// Empty reports whether the delta changes nothing.
func (d *Delta) Empty() bool {
	return len(d.Rows) == 0 && len(d.Removed) == 0 && !d.Full
}

// Apply applies a delta. It reports whether a row has changed. Deltas older than the copy are ignored.
func (m *Mirror) Apply(d Delta) bool {
	t := m.table(d.Table)
	if d.Version < t.Version {
		return false
	}
	t.Version = d.Version
	if d.Empty() {
		return false
	}
	t.Rows = d.applyTo(t.Rows)
	return true
}

// ResetRelayed discards the rows received from the VM that relayed the tables so far. The next one begins with the whole
// tables.
func (m *Mirror) ResetRelayed() {
	for _, t := range m.tables {
		t.relayedRows = nil
	}
}

// ApplyRelayed applies a delta received from the VM that relays the tables. It reports whether a row has changed. While this
// VM's own copy is newer, its rows are kept; once the relaying VM has caught up, its rows replace them all. Applying its
// changes to this VM's own rows instead would lose rows that were missing in this VM's read, such as registrations that expired
// during an outage of the store and came back later.
func (m *Mirror) ApplyRelayed(d Delta) bool {
	t := m.table(d.Table)
	switch {
	case d.Full:
		t.relayedRows = d.applyTo(nil)
	case t.relayedRows == nil && d.Empty():
		return false
	case t.relayedRows == nil:
		return m.Apply(d)
	case !d.Empty():
		t.relayedRows = d.applyTo(t.relayedRows)
	}
	if d.Version < t.Version {
		return false
	}
	changed := !sameVersions(t.Rows, t.relayedRows)
	t.Version, t.Rows = d.Version, t.relayedRows
	return changed
}

// applyTo returns a copy of the rows with the delta applied.
func (d *Delta) applyTo(old map[string]rowstore.Row) map[string]rowstore.Row {
	rows := make(map[string]rowstore.Row, len(old)+len(d.Rows))
	if !d.Full {
		maps.Copy(rows, old)
	}
	for _, r := range d.Rows {
		rows[r.Key] = r
	}
	for _, key := range d.Removed {
		delete(rows, key)
	}
	return rows
}

// Diff returns the changes from old to current. Rows with different versions are omitted if same reports that they mean the
// same.
func Diff(table string, version uint64, old, current map[string]rowstore.Row, same func(a, b rowstore.Row) bool) Delta {
	d := Delta{Table: table, Version: version}
	for key, r := range current {
		if previous, ok := old[key]; !ok || previous.Version != r.Version && !same(previous, r) {
			d.Rows = append(d.Rows, r)
		}
	}
	for key := range old {
		if _, ok := current[key]; !ok {
			d.Removed = append(d.Removed, key)
		}
	}
	return d
}

// FullDelta returns a delta that contains a whole table.
func FullDelta(table string, version uint64, rows map[string]rowstore.Row) Delta {
	d := Delta{Table: table, Version: version, Full: true}
	for _, r := range rows {
		d.Rows = append(d.Rows, r)
	}
	return d
}
