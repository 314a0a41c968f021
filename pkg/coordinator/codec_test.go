package coordinator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/keyrange"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// largeTable returns a table with the given number of slices, whose owners have IDs and start times like those of real targets.
func largeTable(slices int) *keyrange.Table {
	r := rand.New(rand.NewPCG(1, 2))
	var members []keyrange.Member
	for range slices {
		members = append(members, keyrange.Member{ID: fmt.Sprintf("i-%010x", r.Int64N(1<<40)), Started: 1_790_000_000_000 + r.Int64N(5000), MayReceive: true, MayKeep: true})
	}
	return keyrange.InitialTable("stato-nastri", 1, members)
}

// Guards against tables that don't fit into a row of the store: a table of 1,667 targets has 100 KB, and a row at most 64 KiB.
func TestLargeTablesFitIntoRow(t *testing.T) {
	for _, slices := range []int{20, 250, 1700, 2000} {
		table := largeTable(slices)
		value, err := encodeTable(table)
		if err != nil || len(value) > maxStoredTableBytes {
			t.Fatalf("%d slices: %d bytes, %v", slices, len(value), err)
		}
		got, err := decodeTable(value)
		if err != nil || !reflect.DeepEqual(got, table) {
			t.Errorf("%d slices: the decoded table differs from the encoded one: %v", slices, err)
		}
		if _, err := decodeTable(value[:len(value)/2]); err == nil {
			t.Errorf("%d slices: a truncated row was decoded without an error", slices)
		}
	}
	if _, err := encodeTable(largeTable(20_000)); !errors.Is(err, errTableTooLarge) {
		t.Errorf("encoding a table that is too large for a row: %v", err)
	}
}

// Guards against a coordinator that loses its lease because the store refuses a table. Each renewal was sent in the same
// transaction as the table and was refused with it.
func TestLeaseIsRenewedWithoutRefusedTable(t *testing.T) {
	c, now := newFirstTableCoordinator()
	c.known, c.version, c.leaseEnd = true, 5, now.Add(LeaseTTL)
	delete(c.view.Snapshot.Targets, "t0")
	c.view.Snapshot.Pools["p"] = c.view.Snapshot.Pools["p"][1:]
	renewed := 0
	for end := now.Add(LeaseTTL); now < end; now = now.Add(50 * time.Millisecond) {
		for _, e := range c.Tick(now, c.view, false) {
			commit, ok := e.(Commit)
			if !ok {
				continue
			}
			if len(commit.Transaction.Puts) > 1 {
				c.Committed(0, rowstore.ErrRefused, now)
				continue
			}
			renewed++
			c.Committed(c.version+1, nil, now)
		}
	}
	if renewed == 0 || !c.Leading(now) {
		t.Errorf("the lease was renewed %d times; leading: %v", renewed, c.Leading(now))
	}
}
