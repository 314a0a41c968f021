package quarantine

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

func newTable() (*Table, *clock.Virtual) {
	c := clock.NewVirtual(1)
	return NewTable(c), c
}

// Guards against a request that crashes a third target.
func TestSecondCrashQuarantines(t *testing.T) {
	table, _ := newTable()
	table.RecordCrash([]uint64{1, 2}, false)
	if v := table.Verdict(1); v != Suspected {
		t.Fatalf("verdict %v after the first crash", v)
	}
	if !table.Begin(1) || table.Begin(1) {
		t.Fatal("a suspect must run in one copy at a time")
	}
	suspects := table.RecordCrash([]uint64{1}, true)
	table.End(1)
	if len(suspects) != 1 || !suspects[0].Quarantined || table.Verdict(1) != Quarantined {
		t.Fatalf("%+v after the second crash", suspects)
	}
	if table.RecordSuccess(1) || table.Verdict(1) != Quarantined {
		t.Error("a late success lifted the quarantine")
	}
	if !table.RecordSuccess(2) || table.Verdict(2) != Clear {
		t.Error("one successful run doesn't clear a harmless request")
	}
}

// Guards against counting two crashes at different routers as one, and against counting one crash twice.
func TestMergeCountsDistinctCrashes(t *testing.T) {
	a, _ := newTable()
	b, _ := newTable()
	first := a.RecordCrash([]uint64{1}, false)
	b.Merge(first)
	b.Merge(first)
	if v := b.Verdict(1); v != Suspected {
		t.Fatalf("verdict %v after one crash elsewhere", v)
	}
	second := b.RecordCrash([]uint64{1}, true)
	if b.Verdict(1) != Quarantined {
		t.Error("the crash at the other router was not counted")
	}
	a.Merge(second)
	if a.Verdict(1) != Quarantined {
		t.Error("the quarantine did not spread")
	}
	c, _ := newTable()
	c.RecordCrash([]uint64{1}, false)
	c.Merge(first)
	if c.Verdict(1) != Quarantined {
		t.Error("simultaneous crashes at two routers were counted as one")
	}
}

// Guards against quarantining a popular request that was in flight at several targets when a failure domain was lost.
func TestHarmlessRequestIsNotSuspectedWithOthers(t *testing.T) {
	table, c := newTable()
	table.RecordSuccess(7)
	table.RecordCrash([]uint64{7, 8}, false)
	if table.Verdict(7) != Clear || table.Verdict(8) != Suspected {
		t.Errorf("verdicts %v, %v", table.Verdict(7), table.Verdict(8))
	}
	c.Advance(harmlessTTL)
	table.RecordCrash([]uint64{7}, false)
	if table.Verdict(7) != Suspected {
		t.Error("an old success still counts")
	}
}

// Guards against a table that grows without bound or evicts quarantined requests first.
func TestTableIsBounded(t *testing.T) {
	table, c := newTable()
	table.RecordCrash([]uint64{1}, true)
	table.RecordCrash([]uint64{1}, true)
	for i := range uint64(MaxEntries + 200) {
		table.RecordCrash([]uint64{i + 10}, false)
	}
	if n := len(table.List()); n > MaxEntries {
		t.Errorf("%d entries", n)
	}
	if table.Verdict(1) != Quarantined {
		t.Error("the quarantined request was evicted before suspects")
	}
	c.Advance(SuspectTTL + time.Second)
	if table.Verdict(10+MaxEntries+199) != Clear {
		t.Error("a suspect did not expire")
	}
}
