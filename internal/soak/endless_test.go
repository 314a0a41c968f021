package soak

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/internal/child"
	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// endlessTime is how long targets send endless responses of each kind.
	endlessTime = 2500 * time.Millisecond
	// endlessCallers is the number of concurrent callers of the VM with reads, and of those with orders. Unbounded buffering of the responses
	// to the reads would take 32 MB a second each.
	endlessCallers = 12
	// vmMemoryBytes is the memory above which a VM's process is killed, as its settings file says.
	vmMemoryBytes = 284 << 20
	// memorySampleInterval is the time between measurements of the memory of the processes.
	memorySampleInterval = 50 * time.Millisecond
	// minServedDuringEndless is the share of the orders that must be served while a third of their targets send endless responses.
	// Each order runs at one target, and some of those that reach a faulty one fail.
	minServedDuringEndless = 0.5
)

// peakMemory measures the memory of processes until stop is closed and returns the highest value of any.
func peakMemory(processes []*child.Process, stop <-chan struct{}) int64 {
	peak := int64(0)
	for {
		for _, p := range processes {
			peak = max(peak, p.ResidentBytes())
		}
		select {
		case <-stop:
			return peak
		case <-time.After(memorySampleInterval):
		}
	}
}

// Guards against a VM that runs out of memory because targets answer requests and grants with heads or bodies that don't end, and against
// losing the requests of other callers to it. All keyed targets are faulty, so that nothing diverts the reads.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	r := startCrashRun(t, 6)
	var processes []*child.Process
	for _, v := range r.vms {
		processes = append(processes, v.process)
	}
	stop, peak := make(chan struct{}), make(chan int64, 1)
	go func() { peak <- peakMemory(processes, stop) }()
	var orders, reads outcomeCounts
	for kind := standin.EndlessNone + 1; kind < standin.EndlessKinds; kind++ {
		for i, target := range r.deployment.Targets() {
			if target.Keyed || i/2%3 == 0 {
				target.Endless.Store(int32(kind))
			}
			if target.Keyed && i/2%3 == 0 {
				target.EndlessGrants.Store(int32(kind))
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
		var group sync.WaitGroup
		for i := range endlessCallers {
			group.Go(func() {
				r.sendRepeatedly(ctx, 0, 0, &reads, func(n int) (string, int) {
					return fmt.Sprintf("%s%d-%d-%d", standin.PathRead, kind, i, n), (i*4099 + n*7919) % keyCount
				}, false)
			})
			group.Go(func() {
				r.sendRepeatedly(ctx, 0, 10*time.Millisecond, &orders, func(n int) (string, int) { return fmt.Sprintf("%s%d-%d-%d", standin.PathOrder, kind, i, n), 0 }, true)
			})
		}
		group.Wait()
		cancel()
	}
	close(stop)
	highest := <-peak
	t.Logf("%d MB at most; orders %d of %d served, reads %d of %d", highest>>20, orders.served.Load(), orders.sent.Load(), reads.served.Load(), reads.sent.Load())
	if highest > vmMemoryBytes {
		t.Errorf("a process took %d MB", highest>>20)
	}
	for _, p := range processes {
		if !p.Running() {
			t.Errorf("process %d has ended", p.PID())
		}
	}
	if served, sent := orders.served.Load(), orders.sent.Load(); float64(served) < minServedDuringEndless*float64(sent) {
		t.Errorf("%d of %d orders are served", served, sent)
	}
	r.reportViolations(t)
}
