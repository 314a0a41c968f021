package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
)

// newWaitingCoordinator returns a coordinator with one slice per target; the tests use 400. Each slice waits for a lost owner,
// which still has a call without an outcome.
func newWaitingCoordinator(targets int) (*Coordinator, clock.Instant) {
	now := clock.Instant(time.Minute)
	c := New(Identity{VM: "n0"})
	c.leading, c.leaseEnd, c.priorGrantsEnd = true, now.Add(LeaseTTL), now.Add(FinalGrantTTL)
	pool := &poolState{name: "p", table: &keyrange.Table{}, grants: map[int64]*grantState{}}
	var list []*inventory.Target
	for i := range targets {
		address := fmt.Sprintf("10.0.0.1:%d", i)
		list = append(list, &inventory.Target{ID: fmt.Sprintf("t%d", i), Pool: "p", Address: address, Started: 10_000})
		lost := incarnation{fmt.Sprintf("lost%d", i), 1}
		c.addresses[lost] = fmt.Sprintf("10.0.0.2:%d", i)
		c.calls = append(c.calls, &grantCall{pool: "p", owner: lost, from: i, to: i, end: now.Add(time.Hour)})
		pool.table.Slices = append(pool.table.Slices, keyrange.Slice{
			From: i, To: i, Owner: list[i].ID, OwnerStarted: 10_000, Fence: int64(i), Previous: lost.id, PreviousStarted: 1, PreviousFence: -1,
		})
		pool.grants[int64(i)] = &grantState{previousEnd: now.Add(time.Hour), releaseInFlight: true}
	}
	c.pools["p"] = pool
	cfg := inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "p", Keyed: true}}, nil)
	c.view.Snapshot = inventory.NewSnapshot(cfg, list, nil)
	return c, now
}

// Guards against a coordinator that is permanently busy after the loss of many owners. Each outcome of a call makes it examine
// all waiting slices. When it compared each of them with all outstanding calls and all targets, one pass took 1.6 ms.
func TestAdvanceCostWithWaitingSlices(t *testing.T) {
	const slices = 400
	c, now := newWaitingCoordinator(slices)
	c.Advance(now)
	if c.comparisons > 4*slices {
		t.Errorf("%d waiting slices cost %d comparisons", slices, c.comparisons)
	}
}

func BenchmarkAdvanceWithWaitingSlices(b *testing.B) {
	c, now := newWaitingCoordinator(400)
	for b.Loop() {
		c.Advance(now)
	}
}
