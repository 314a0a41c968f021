package soak

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// limitTestTime is how long requests are sent to targets that name a rate limit.
	limitTestTime = 12 * time.Second
	// minLimitUse is the part of a limit that must be used while requests that only limited targets can serve are waiting, apart from the
	// time in which the limit becomes known.
	minLimitUse = 0.7
	// limitLearnTime is the time in which all VMs must count the requests to a target that has named its limit.
	limitLearnTime = 2 * time.Second
)

// limitLoad sends orders or reads through all VMs for limitTestTime, while fault runs. It returns the outcomes since limitLearnTime.
func (r *run) limitLoad(t *testing.T, prefix string, key func(n int) int, fault func(ctx context.Context)) *outcomeCounts {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), limitTestTime)
	defer stop()
	var first, counts outcomeCounts
	var group sync.WaitGroup
	for vm := range r.VMs {
		for i := range 3 {
			group.Go(func() {
				path := func(n int) (string, int) { return fmt.Sprintf("%s%d-%d-%d", prefix, vm, i, n), key(n) }
				learnCtx, learned := context.WithTimeout(ctx, limitLearnTime)
				defer learned()
				r.sendRepeatedly(learnCtx, vm, 10*time.Millisecond, &first, path, prefix == standin.PathOrder)
				r.sendRepeatedly(ctx, vm, 10*time.Millisecond, &counts, path, prefix == standin.PathOrder)
			})
		}
	}
	if fault != nil {
		group.Go(func() { fault(ctx) })
	}
	group.Wait()
	wait(t.Context(), lateRunTime)
	return &counts
}

func (r *run) reportViolations(t *testing.T) {
	t.Helper()
	for i, text := range r.checker.allViolations() {
		if i < 5 {
			t.Error(text)
		}
	}
}

// Guards against VMs that ignore the rate limit of one of several targets, or that count its requests each by itself. The other targets
// must serve what it doesn't take.
func TestRateLimitOfOneTargetIsKept(t *testing.T) {
	r := startCrashRun(t, 4)
	limited := r.deployment.Targets()[1]
	limited.SetRateLimit("2")
	counts := r.limitLoad(t, standin.PathOrder, func(int) int { return 0 }, nil)
	r.logLimitLoad(t, counts)
	if n, sent := counts.served.Load(), counts.sent.Load(); n < sent*99/100 {
		t.Errorf("%d of %d requests are served although three targets have no limit", n, sent)
	}
	r.reportViolations(t)
}

// Guards against a limit that is forgotten, or counted anew, when processes are killed one after another, among them the one that places
// the requests of all. What the limits don't permit must be refused at once, with the time at which there is room again.
func TestRateLimitIsKeptWhileVMsAreKilled(t *testing.T) {
	r := startCrashRun(t, 3)
	for _, target := range r.deployment.Targets() {
		target.SetRateLimit("3")
	}
	counts := r.limitLoad(t, standin.PathOrder, func(int) int { return 0 }, func(ctx context.Context) {
		for i := 0; wait(ctx, 2*time.Second); i++ {
			if err := r.kill(r.vms[i%r.VMs]); err != nil {
				t.Error(err)
			}
		}
	})
	r.logLimitLoad(t, counts)
	r.reportViolations(t)
}

// Guards against VMs that each use the whole limit once they can't reach the one that places the requests of all.
func TestRateLimitIsKeptWithoutBroker(t *testing.T) {
	r := startCrashRun(t, 3)
	for _, target := range r.deployment.Targets() {
		target.SetRateLimit("3")
	}
	counts := r.limitLoad(t, standin.PathOrder, func(int) int { return 0 }, func(ctx context.Context) {
		wait(ctx, limitLearnTime)
		for _, v := range r.vms {
			v.peerLink.Set(Impairment{Forward: true, Backward: true})
		}
	})
	r.logLimitLoad(t, counts)
	r.reportViolations(t)
}

func (r *run) logLimitLoad(t *testing.T, counts *outcomeCounts) {
	t.Helper()
	for _, target := range r.deployment.Targets() {
		if !target.Keyed {
			t.Logf("%s gets up to %d requests in 4 s", target.ID, r.deployment.Checker.MostInWindow(target.ID))
		}
	}
	t.Logf("%d of %d requests served", counts.served.Load(), counts.sent.Load())
}

// Guards against requests that pass the limit of the owner of their key, against a limit that isn't used up, and against callers that
// wait although the limit has no room for them.
func TestRateLimitOfKeyOwnerIsKept(t *testing.T) {
	r := startCrashRun(t, 1)
	owner := r.deployment.Targets()[0]
	owner.SetRateLimit("2")
	counts := r.limitLoad(t, standin.PathRead, func(int) int { return 4711 }, nil)
	served, want := counts.served.Load(), minLimitUse*2*(limitTestTime-limitLearnTime).Seconds()
	late := counts.lateRefusalsSince(time.Time{})
	t.Logf("%s gets up to %d requests in 4 s; %d of %d requests served, %d refused late", owner.ID, r.deployment.Checker.MostInWindow(owner.ID), served, counts.sent.Load(), late)
	if float64(served) < want {
		t.Errorf("%d requests are served, the limit permits %.0f", served, want/minLimitUse)
	}
	if late > 0 {
		t.Errorf("%d requests are refused late", late)
	}
	r.reportViolations(t)
}
