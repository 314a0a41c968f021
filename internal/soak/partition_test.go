package soak

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// partitionTime is how long the coordinator can't reach the store: longer than the gap after which an outage is assumed, and shorter
	// than its lease.
	partitionTime = 1900 * time.Millisecond
	// servesOnTime is how much longer than drainBound a target that leaves goes on serving.
	servesOnTime    = 1200 * time.Millisecond
	partitionRounds = 3
)

// leader returns the VM that the coordinator's row names.
func (r *run) leader(t *testing.T) *vm {
	t.Helper()
	row := r.deployment.Store.OwnRow(coordinator.Table, coordinator.KeyLeader)
	for _, v := range r.vms {
		if bytes.Contains(row, fmt.Appendf(nil, "front-%d", v.index)) {
			return v
		}
	}
	t.Fatal("no VM has become the coordinator")
	return nil
}

// Guards against targets that are used again after they have left, because the coordinator was partitioned from the store when their
// registration was removed. The other VMs, which callers use here, could read the store all the time.
func TestPartitionOfCoordinatorDoesNotRestoreTargets(t *testing.T) {
	r := startCrashRun(t, 6)
	for range partitionRounds {
		leader := r.leader(t)
		ctx, stop := context.WithCancel(t.Context())
		var counts outcomeCounts
		var group sync.WaitGroup
		for _, v := range r.vms {
			if v == leader {
				continue
			}
			group.Go(func() {
				path := func(n int) (string, int) { return fmt.Sprintf("%s%d-%d", standin.PathOrder, v.index, n), 0 }
				r.sendRepeatedly(ctx, v.index, 20*time.Millisecond, &counts, path, true)
			})
		}
		wait(ctx, time.Second)
		leaving := r.registeredOrderTarget(t)
		leader.storeLink.Set(Impairment{Refuse: true})
		leader.storeLink.Reset()
		began := time.Now()
		wait(ctx, 100*time.Millisecond)
		leaving.Unregister()
		r.deployment.Checker.ForbidAfter(time.Now().Add(drainBound), leaving.ID)
		wait(ctx, time.Until(began.Add(partitionTime)))
		leader.storeLink.Set(Impairment{})
		wait(ctx, drainBound+servesOnTime)
		stop()
		group.Wait()
		if served, sent := counts.served.Load(), counts.sent.Load(); served < sent*9/10 {
			t.Errorf("%d of %d orders are served", served, sent)
		}
	}
	r.reportViolations(t)
}

// registeredOrderTarget returns a target of orders that hasn't left.
func (r *run) registeredOrderTarget(t *testing.T) *standin.Target {
	t.Helper()
	for _, target := range r.deployment.Targets() {
		if !target.Keyed && !target.Unregistered.Load() {
			return target
		}
	}
	t.Fatal("all targets have left")
	return nil
}
