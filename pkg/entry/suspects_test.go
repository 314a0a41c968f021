package entry

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// oneRow is a store with one row, whose calls fail while down is set.
type oneRow struct {
	mu    sync.Mutex
	row   rowstore.Row
	down  bool
	calls int
}

var errDown = errors.New("down")

func (s *oneRow) List(context.Context, string) (rowstore.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return rowstore.Page{}, errDown
	}
	if s.row.Version == 0 {
		return rowstore.Page{}, nil
	}
	return rowstore.Page{Rows: []rowstore.Row{s.row}, Version: s.row.Version}, nil
}

func (s *oneRow) Changes(context.Context, string, uint64) (rowstore.Changes, error) {
	return rowstore.Changes{}, errDown
}

func (s *oneRow) Commit(_ context.Context, tx rowstore.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.down:
		return 0, rowstore.ErrUnknown
	case tx.Expected[0].Version != s.row.Version:
		return 0, rowstore.ErrConflict
	}
	s.row = tx.Puts[0]
	s.row.Version = tx.Expected[0].Version + 1
	return s.row.Version, nil
}

// crashing returns a request that has crashed three targets as a tracker knows it.
func crashing(t *quarantine.Tracker, now clock.Instant) quarantine.Fingerprint {
	f := quarantine.Request{URI: "/bad", Caller: "c"}.Fingerprint()
	for i := range 3 {
		run := quarantine.Run{VM: "vm", Seq: uint64(i)}
		t.Begin(run, f, inventory.Life{Target: "t", Started: int64(i)}, now)
		t.End(run, quarantine.Broken, now)
	}
	return f
}

// settleSuspects runs the synchronization for a while, with the time between calls cut short.
func settleSuspects(c *Control) {
	for range 10 {
		c.stored.next = 0
		c.syncSuspects(c.clock.Now(), true)
		if c.stored.calling {
			(<-c.events)()
		}
	}
}

// Guards against requests that crash targets again after all VMs were lost: nobody is left to tell the new processes. Calls of the
// store may fail on the way, and no call is made while nothing changes.
func TestQuarantineIsStored(t *testing.T) {
	store := &oneRow{}
	control := func() *Control {
		c := testControl(t, "a")
		c.store = store
		return c
	}
	first := control()
	settleSuspects(first)
	f := crashing(first.suspects, first.clock.Now())
	store.down = true
	settleSuspects(first)
	store.down = false
	settleSuspects(first)
	before := store.calls
	settleSuspects(first)
	if store.calls != before {
		t.Errorf("%d calls of the store without a change", store.calls-before)
	}
	second := control()
	settleSuspects(second)
	if v, left := second.suspects.Verdict(f, second.clock.Now()); v != quarantine.Quarantined || left <= 0 {
		t.Errorf("verdict %v for %v after the loss of all VMs", v, left)
	}
}

// Guards against a quarantine that lasts longer since the time of day went back, or that the time of its writing doesn't shorten.
func TestStoredQuarantineAges(t *testing.T) {
	at := time.UnixMilli(1_000_000)
	value, err := encodeSuspects([]quarantine.Record{{ID: 1, ForMs: 60_000, Strikes: 1}}, at)
	if err != nil {
		t.Fatal(err)
	}
	for shift, want := range map[time.Duration]int64{0: 60_000, 20 * time.Second: 40_000, time.Hour: 0, -time.Hour: 60_000} {
		list, err := decodeSuspects(value, at.Add(shift))
		if err != nil || len(list) != 1 || list[0].ForMs != want {
			t.Errorf("after %v: %+v, %v", shift, list, err)
		}
	}
	if _, err := decodeSuspects([]byte("?"), at); err == nil {
		t.Error("an unreadable row is taken for one")
	}
}
