package replica

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// eraTable returns a table in an era, with the number and the value of each row.
func eraTable(era, number uint64, rows map[string]uint64, value string) rowstore.TableSnapshot {
	s := rowstore.TableSnapshot{Version: rowstore.Version(era, number)}
	for key, n := range rows {
		s.Rows = append(s.Rows, rowstore.Row{Table: "t", Key: key, Value: []byte(value), Version: rowstore.Version(era, n)})
	}
	return s
}

func checkRows(t *testing.T, step string, m *Mirror, want map[string]string) {
	t.Helper()
	got := map[string]string{}
	for key, r := range m.Rows("t") {
		got[key] = string(r.Value)
	}
	if !maps.Equal(got, want) {
		t.Errorf("%s: rows %v, want %v", step, got, want)
	}
}

// Guards against targets that vanish, come back after their removal, or change back to an earlier state because the store was restored:
// what the VM knew holds until the target renews its entry or 5 s have passed. Twice in a row, and both in a VM that reads the store and in
// one to which the table is relayed.
func TestRestoreDoesNotRevertTargets(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		m := NewMirror()
		m.MarkExpiring("t")
		now := clock.Instant(time.Minute)
		apply := func(s rowstore.TableSnapshot) {
			now = now.Add(time.Second)
			if relayed {
				m.ApplyRelayed(Delta{Table: "t", Version: s.Version, Full: true, Rows: s.Rows}, now)
				return
			}
			m.Replace("t", s, true, now)
		}
		apply(eraTable(0, 10, map[string]uint64{"stays": 5, "removed": 6}, "old"))
		if relayed {
			m.ApplyRelayed(Delta{Table: "t", Version: 15, Removed: []string{"removed"}}, now)
		}
		apply(eraTable(0, 20, map[string]uint64{"stays": 15, "lost": 16, "slow": 17}, "new"))
		checkRows(t, "before", m, map[string]string{"stays": "new", "lost": "new", "slow": "new"})
		apply(eraTable(1, 8, map[string]uint64{"stays": 5, "removed": 6, "slow": 7}, "old"))
		checkRows(t, "first restore", m, map[string]string{"stays": "new", "lost": "new", "slow": "new"})
		apply(eraTable(2, 8, map[string]uint64{"stays": 5, "removed": 6, "slow": 7}, "old"))
		checkRows(t, "second restore", m, map[string]string{"stays": "new", "lost": "new", "slow": "new"})
		late := eraTable(2, 12, map[string]uint64{"stays": 9, "slow": 7, "removed": 6, "added": 10}, "newest")
		apply(late)
		checkRows(t, "an entry is renewed", m, map[string]string{"stays": "newest", "lost": "new", "slow": "new", "added": "newest"})
		if !relayed && !m.NeedsFullRead("t", now.Add(restoredGrace)) {
			t.Error("the whole table isn't read after the grace period")
		}
		for range restoredGrace / time.Second {
			late.Version++
			apply(late)
		}
		checkRows(t, "after the grace period", m, map[string]string{"stays": "newest", "slow": "newest", "added": "newest"})
		apply(eraTable(2, 24, map[string]uint64{"stays": 9, "removed": 24}, "newest"))
		checkRows(t, "a removed target registers again", m, map[string]string{"stays": "newest", "removed": "newest"})
	}
}

// Guards against a failure domain that returns to service because the store was restored, and against a configuration that reverts, is
// relayed to a VM that starts, or delays a newer one.
func TestRestoreDoesNotRevertOperator(t *testing.T) {
	m := NewMirror()
	m.KeepNewer("t", func(known, stored rowstore.Row) bool {
		return known.Key == "config" && string(known.Value) > string(stored.Value)
	})
	now := clock.Instant(time.Minute)
	m.Replace("t", eraTable(0, 20, map[string]uint64{"config": 18, "out": 19}, "v2"), false, now)
	m.Replace("t", eraTable(1, 10, map[string]uint64{"config": 5, "withdrawn": 6}, "v1"), false, now)
	checkRows(t, "restored", m, map[string]string{"config": "v2", "out": "v2", "withdrawn": "v1"})
	starting := NewMirror()
	starting.ApplyRelayed(FullDelta("t", m.Version("t"), m.Rows("t")), now)
	checkRows(t, "VM that starts", starting, map[string]string{"config": "v2", "out": "v2", "withdrawn": "v1"})
	m.Replace("t", eraTable(2, 10, nil, ""), false, now.Add(time.Second))
	checkRows(t, "restored again", m, map[string]string{"config": "v2", "out": "v2", "withdrawn": "v1"})
	m.Replace("t", eraTable(2, 11, map[string]uint64{"config": 11}, "v3"), false, now.Add(2*time.Second))
	checkRows(t, "new configuration", m, map[string]string{"config": "v3", "out": "v2", "withdrawn": "v1"})
	m.Replace("t", eraTable(2, 12, map[string]uint64{"config": 11}, "v3"), false, now.Add(time.Second+restoredGrace))
	checkRows(t, "after the grace period", m, map[string]string{"config": "v3"})
}

// Guards against a VM that starts after a restore, reads the older configuration, and ignores the newer one that a VM relays which is cut off
// from the store and doesn't know the new era. Its other rows are older than those that were read.
func TestNewerConfigurationIsTakenFromEarlierEra(t *testing.T) {
	m := NewMirror()
	m.KeepNewer("t", func(known, stored rowstore.Row) bool {
		return known.Key == "config" && string(known.Value) > string(stored.Value)
	})
	now := clock.Instant(time.Minute)
	m.Replace("t", eraTable(1, 10, map[string]uint64{"config": 5, "out": 6}, "v1"), false, now)
	relayed := eraTable(0, 20, map[string]uint64{"config": 18, "out": 19, "withdrawn": 7}, "v2")
	if !m.ApplyRelayed(Delta{Table: "t", Version: relayed.Version, Full: true, Rows: relayed.Rows}, now) {
		t.Error("no change is reported")
	}
	want := map[string]string{"config": "v2", "out": "v1"}
	checkRows(t, "relayed", m, want)
	if m.Version("t") != rowstore.Version(1, 10) || m.ApplyRelayed(Delta{Table: "t", Version: relayed.Version}, now) {
		t.Errorf("version %d, or a change without one", m.Version("t"))
	}
	m.Replace("t", eraTable(1, 11, map[string]uint64{"config": 5, "out": 6}, "v1"), false, now)
	checkRows(t, "read again", m, want)
	m.Replace("t", eraTable(1, 12, map[string]uint64{"config": 12, "out": 6}, "v3"), false, now)
	m.ApplyRelayed(Delta{Table: "t", Version: relayed.Version}, now)
	checkRows(t, "next configuration", m, map[string]string{"config": "v3", "out": "v3"})
}

// Guards against a remembered removal that hides an entry of a later era, and against one of an earlier era that is reported by another VM.
func TestRemovalsOfEarlierErasDontApply(t *testing.T) {
	m := NewMirror()
	m.MarkExpiring("t")
	m.Replace("t", eraTable(1, 10, map[string]uint64{"a": 5}, "new"), true, clock.Instant(time.Minute))
	m.ApplyRemovals("t", []Removal{{"a", 1_000_000}}, clock.Instant(time.Minute))
	if keys := slices.Collect(maps.Keys(m.Rows("t"))); len(keys) != 1 {
		t.Errorf("rows %v", keys)
	}
}
