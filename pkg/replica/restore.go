package replica

import (
	"maps"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// restoredGrace is how long after a restore of the store the operator and the targets are given to write again what it has lost.
const restoredGrace = 5 * time.Second

// restoredRows are the rows that a VM knew when it first saw a table in a new era of the store.
type restoredRows struct {
	until clock.Instant
	// rows are those that were not written again since, by key.
	rows map[string]restoredRow
}

// restoredRow is a row from before a restore, and the version of the row that the restored store has in its place, 0 if it is missing.
type restoredRow struct {
	known  rowstore.Row
	stored uint64
}

// held reports whether rows from before the restore may still be held.
func (r *restoredRows) held(now clock.Instant) bool {
	return len(r.rows) > 0 && now < r.until
}

// holds reports whether the row with a key is held.
func (r *restoredRows) holds(key string, now clock.Instant) bool {
	_, ok := r.rows[key]
	return ok && now < r.until
}

// enterEra records the known rows if a version is of a later era than the copy, whose rows are then those of a restored store. Of a table
// whose writers renew their rows, it records all; of another one those that are missing, since the stored ones may be new. A row that was
// known to have been removed and has reappeared is ignored until its writer renews it.
func (t *Table) enterEra(version uint64, stored map[string]rowstore.Row, now clock.Instant) {
	if rowstore.Era(version) <= rowstore.Era(t.Version) || t.Version == 0 {
		return
	}
	t.restored = restoredRows{until: now.Add(restoredGrace), rows: make(map[string]restoredRow, len(t.Rows))}
	for key, r := range t.Rows {
		if _, ok := stored[key]; ok && !t.expiring {
			continue
		}
		t.restored.rows[key] = restoredRow{known: r, stored: stored[key].Version}
	}
	if !t.expiring {
		return
	}
	for key := range t.removed {
		r, reappeared := stored[key]
		if _, known := t.Rows[key]; reappeared && !known {
			t.removed[key] = max(t.removed[key], r.Version)
		}
	}
}

// withRestored returns the rows with those from before a restore in place of those that were not written again since.
func (t *Table) withRestored(rows map[string]rowstore.Row, now clock.Instant) map[string]rowstore.Row {
	if !t.restored.held(now) {
		t.restored = restoredRows{}
		return rows
	}
	rows = maps.Clone(rows)
	for key, r := range t.restored.rows {
		current, ok := rows[key]
		if ok && current.Version > r.stored && current.Version != r.known.Version {
			delete(t.restored.rows, key)
			continue
		}
		rows[key], t.keptMissing = r.known, true
	}
	return rows
}

// withNewer returns the rows with the known ones in place of those of a restored store that are older by their content.
func (t *Table) withNewer(version uint64, rows map[string]rowstore.Row) map[string]rowstore.Row {
	if t.newer == nil || rowstore.Era(version) == 0 {
		return rows
	}
	copied := false
	for key, known := range t.Rows {
		if stored := rows[key]; stored.Version == known.Version || !t.newer(known, stored) {
			continue
		}
		if !copied {
			rows, copied = maps.Clone(rows), true
		}
		rows[key] = known
	}
	return rows
}

// takeNewer takes those of the relayed rows, from a VM that doesn't know the current era, that are newer by their content than the known
// ones. It reports whether there were any.
func (t *Table) takeNewer(version uint64, relayed map[string]rowstore.Row, now clock.Instant) bool {
	if t.newer == nil || rowstore.Era(version) >= rowstore.Era(t.Version) {
		return false
	}
	rows := maps.Clone(t.Rows)
	for key, r := range relayed {
		if current := rows[key]; r.Version != current.Version && t.newer(r, current) {
			rows[key] = r
		}
	}
	return t.set(t.Version, rows, now)
}
