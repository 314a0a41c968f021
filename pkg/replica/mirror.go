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

// maxRemovals bounds the removals that are remembered for each table, at about 80 bytes each, and those that are reported at once.
const maxRemovals = 1024

// Removal states that the row with a key has been removed from a table: any version of it up to the given one is obsolete. A row that is
// written again has a higher version.
type Removal struct {
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"r"`
}

// Table is the copy of one table.
type Table struct {
	Version uint64
	Rows    map[string]rowstore.Row
	// revision counts the changes of Version and Rows.
	revision uint64
	// relayedRows are the rows of the VM that relays the table, or nil until it has sent the whole table. Relayed changes apply
	// to these rows, even while this VM has read a newer version itself.
	relayedRows map[string]rowstore.Row
	// keptMissing is set if rows that are missing from the store were kept after an outage. Later changes don't report these
	// rows as removed again.
	keptMissing bool
	// removed holds the versions of the Removals by key, and removedKeys the keys in the order in which they were added.
	removed     map[string]uint64
	removedKeys []string
	// unreported are the removals seen in this VM's own reads that TakeRemovals hasn't returned.
	unreported []Removal
	// expiring is set if the rows expire by themselves, as their writers know.
	expiring bool
	// newer reports whether a row, which the store may have lost, is newer than the one that the store has now. It is nil if rows are
	// never compared by their content.
	newer func(known, stored rowstore.Row) bool
	// restored holds what this VM knew when the store was restored.
	restored restoredRows
}

// Mirror is the copy of several tables. It isn't safe for concurrent use.
type Mirror struct {
	tables map[string]*Table
	// store is when the store answered, as far as this VM knows; ownReads is the same for this VM's own reads of tables whose rows expire.
	store    availability
	ownReads availability
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{tables: map[string]*Table{}}
}

// MarkExpiring declares that the rows of a table expire by themselves unless their writers renew them.
func (m *Mirror) MarkExpiring(table string) {
	m.table(table).expiring = true
}

// KeepNewer sets a function that reports whether a known row is newer by its content than the one that a restored store has. The stored row
// has no key if it is missing. Such known rows are kept.
func (m *Mirror) KeepNewer(table string, newer func(known, stored rowstore.Row) bool) {
	m.table(table).newer = newer
}

// Rows returns a table's rows by key. The caller must not change them.
func (m *Mirror) Rows(table string) map[string]rowstore.Row {
	return m.table(table).Rows
}

// Version returns the version of the store that the copy of a table corresponds to, or 0 if there is no copy.
func (m *Mirror) Version(table string) uint64 {
	return m.table(table).Version
}

// Revision returns a number that changes whenever the rows or the version of a table change.
func (m *Mirror) Revision(table string) uint64 {
	return m.table(table).revision
}

func (m *Mirror) table(name string) *Table {
	t := m.tables[name]
	if t == nil {
		t = &Table{Rows: map[string]rowstore.Row{}, removed: map[string]uint64{}}
		m.tables[name] = t
	}
	return t
}

// NoteAvailable records a span in which the store answered this VM or another one. A gap that it closes doesn't count as an outage.
func (m *Mirror) NoteAvailable(s Span) {
	m.store.note(s)
}

// OwnReads returns the newest span in which this VM has read tables whose rows expire, and false if it hasn't read any.
func (m *Mirror) OwnReads() (Span, bool) {
	return m.ownReads.last()
}

// inGrace reports whether registrations that expired during an outage of the store may still come back.
func (m *Mirror) inGrace(now clock.Instant) bool {
	return m.store.afterOutage(now, missingRowGrace)
}

// NeedsFullRead reports whether the whole table must be read to find out which rows are missing.
func (m *Mirror) NeedsFullRead(name string, now clock.Instant) bool {
	t := m.table(name)
	return t.keptMissing && !m.inGrace(now) && !t.restored.held(now)
}

// Replace replaces a table by one read from the store. It reports whether a row has changed. expires means that the rows expire
// by themselves, so rows that are missing after an outage are kept for a while. Versions older than the copy are ignored.
func (m *Mirror) Replace(name string, snapshot rowstore.TableSnapshot, expires bool, now clock.Instant) bool {
	t := m.table(name)
	if snapshot.Version < t.Version {
		return false
	}
	m.noteRead(expires, now)
	rows := make(map[string]rowstore.Row, len(snapshot.Rows))
	for _, r := range snapshot.Rows {
		rows[r.Key] = r
	}
	t.enterEra(snapshot.Version, rows, now)
	t.keptMissing = false
	keep := expires && m.inGrace(now)
	for key, r := range t.Rows {
		if _, ok := rows[key]; ok || t.restored.holds(key, now) {
			continue
		}
		if keep && !t.isRemoved(r) {
			rows[key], t.keptMissing = r, true
			continue
		}
		m.noteOwnRemoval(t, Removal{key, snapshot.Version}, expires, now)
	}
	// Another VM may already have seen a later removal.
	return t.set(snapshot.Version, rows, now)
}

// noteRead records that this VM has read the store.
func (m *Mirror) noteRead(expires bool, now clock.Instant) {
	if expires {
		m.store.note(Span{now, now})
		m.ownReads.note(Span{now, now})
	}
}

// ApplyChanges applies changes read from the store. It reports whether a row has changed. Rows that are removed right after an
// outage are kept until the whole table is read.
func (m *Mirror) ApplyChanges(name string, changes rowstore.Changes, expires bool, now clock.Instant) bool {
	t := m.table(name)
	m.noteRead(expires, now)
	if changes.Version < t.Version {
		return false
	}
	keep := expires && m.inGrace(now)
	var removed []string
	for _, key := range changes.Removed {
		r, ok := t.Rows[key]
		if t.restored.holds(key, now) || keep && (!ok || !t.isRemoved(r)) {
			t.keptMissing = true
			continue
		}
		removed = append(removed, key)
		if ok {
			m.noteOwnRemoval(t, Removal{key, r.Version}, expires, now)
		}
	}
	return m.Apply(Delta{Table: name, Version: changes.Version, Rows: changes.Rows, Removed: removed}, now)
}

// ApplyRemovals removes rows that other VMs have seen removed from the store while it was available. It reports whether there were any.
func (m *Mirror) ApplyRemovals(name string, removals []Removal, now clock.Instant) bool {
	t := m.table(name)
	for _, r := range removals {
		t.noteRemoval(r)
	}
	return t.set(t.Version, t.Rows, now)
}

// TakeRemovals returns the removals that this VM has seen in its own reads while the store was available, each once.
func (m *Mirror) TakeRemovals(name string) []Removal {
	t := m.table(name)
	removals := t.unreported
	t.unreported = nil
	return removals
}

// set replaces the rows and the version. Rows that are known to have been removed are omitted, and rows that a restored store has lost are
// kept. It reports whether a row has changed.
func (t *Table) set(version uint64, rows map[string]rowstore.Row, now clock.Instant) bool {
	rows = t.withoutRemoved(t.withNewer(version, t.withRestored(rows, now)))
	changed := !SameVersions(t.Rows, rows)
	if changed || version != t.Version {
		t.revision++
	}
	t.Version, t.Rows = version, rows
	return changed
}

// isRemoved reports whether a row is known to have been removed.
func (t *Table) isRemoved(r rowstore.Row) bool {
	version, ok := t.removed[r.Key]
	return ok && r.Version <= version
}

// noteOwnRemoval records a removal that this VM has read from the store. It is reported to other VMs only if the row can't have expired in
// an outage that this VM doesn't know of, because it has just started.
func (m *Mirror) noteOwnRemoval(t *Table, r Removal, expires bool, now clock.Instant) {
	newest, _ := m.store.last()
	if !t.noteRemoval(r) || !expires || now < newest.From.Add(missingRowGrace) {
		return
	}
	t.unreported = append(t.unreported, r)
	t.unreported = t.unreported[max(0, len(t.unreported)-maxRemovals):]
}

// noteRemoval records a removal. It returns false if it is known.
func (t *Table) noteRemoval(r Removal) bool {
	known, ok := t.removed[r.Key]
	if ok && known >= r.Version {
		return false
	}
	t.removed[r.Key] = r.Version
	if ok {
		return true
	}
	t.removedKeys = append(t.removedKeys, r.Key)
	if len(t.removedKeys) > maxRemovals {
		delete(t.removed, t.removedKeys[0])
		t.removedKeys = t.removedKeys[1:]
	}
	return true
}

// withoutRemoved returns the rows without those that are known to have been removed. It returns the same map if there are none.
func (t *Table) withoutRemoved(rows map[string]rowstore.Row) map[string]rowstore.Row {
	copied := false
	for key := range t.removed {
		r, ok := rows[key]
		if !ok || !t.isRemoved(r) {
			continue
		}
		if !copied {
			rows, copied = maps.Clone(rows), true
		}
		delete(rows, key)
	}
	return rows
}

// SameVersions reports whether two tables have the same rows in the same versions.
func SameVersions(a, b map[string]rowstore.Row) bool {
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
func (m *Mirror) Apply(d Delta, now clock.Instant) bool {
	t := m.table(d.Table)
	if d.Version < t.Version {
		return false
	}
	if d.Empty() {
		t.enterEra(d.Version, t.Rows, now)
		t.set(d.Version, t.Rows, now)
		return false
	}
	rows := d.applyTo(t.Rows)
	t.enterEra(d.Version, rows, now)
	t.noteDropped(t.Rows, d.Removed)
	t.set(d.Version, rows, now)
	return true
}

// noteDropped records the removal of rows by the VM that relays the table. Without it, another relaying VM that has missed the removal
// would bring the rows back.
func (t *Table) noteDropped(rows map[string]rowstore.Row, removed []string) {
	for _, key := range removed {
		if r, ok := rows[key]; ok {
			t.noteRemoval(Removal{key, r.Version})
		}
	}
}

// ResetRelayed discards the rows received from the VM that relayed the tables so far. The next one begins with the whole
// tables.
func (m *Mirror) ResetRelayed() {
	for _, t := range m.tables {
		t.relayedRows = nil
	}
}

// ApplyRelayed applies a delta received from the VM that relays the tables. It reports whether a row has changed. While this
// VM's own copy is newer, its rows are kept; once the relaying VM has caught up, its rows replace them all, except for those that this
// VM knows to have been removed: the relaying VM keeps missing rows for a while if it takes a partition between itself and the store for
// an outage. Applying its changes to this VM's own rows instead would lose rows that were missing in this VM's read, such as
// registrations that expired during an outage of the store and came back later.
func (m *Mirror) ApplyRelayed(d Delta, now clock.Instant) bool {
	t := m.table(d.Table)
	switch {
	case d.Full:
		t.relayedRows = d.applyTo(nil)
	case t.relayedRows == nil && d.Empty():
		return false
	case t.relayedRows == nil:
		return m.Apply(d, now)
	case !d.Empty():
		t.noteDropped(t.relayedRows, d.Removed)
		t.relayedRows = d.applyTo(t.relayedRows)
	}
	if d.Version < t.Version {
		return t.takeNewer(d.Version, t.relayedRows, now)
	}
	t.enterEra(d.Version, t.relayedRows, now)
	t.relayedRows = t.withoutRemoved(t.relayedRows)
	return t.set(d.Version, t.relayedRows, now)
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
