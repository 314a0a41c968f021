package soak

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

var hedgeMetric = regexp.MustCompile(`(?m)^bronzelever_requests_(hedges|hedges_won)(?:\{\})? (\d+)$`)

// hedges returns how many second copies a VM has sent and how many of them were answered first.
func (r *run) hedges(t *testing.T, vm int) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for _, m := range hedgeMetric.FindAllSubmatch(r.fetch(t, vm, "/metrics"), -1) {
		n, err := strconv.Atoi(string(m[2]))
		if err != nil {
			t.Fatal(err)
		}
		counts[string(m[1])] = n
	}
	return counts
}

// Guards, on running VMs with one broker, against hedges that aren't sent or don't help when a target stops answering, that exceed the set
// share, that run twice what must run once, or whose caller gets anything but one whole answer.
func TestHedgesAnswerForSilentTarget(t *testing.T) {
	const share = 0.1
	r := startCrashRun(t, 4, fmt.Sprint("--hedge-extra-share=", share))
	ctx, stop := context.WithCancel(t.Context())
	var group sync.WaitGroup
	counts := make([]outcomeCounts, r.VMs)
	send := func(vm int, pause time.Duration, path string, order bool) {
		group.Go(func() {
			r.sendRepeatedly(ctx, vm, pause, &counts[vm], func(int) (string, int) { return path, 0 }, order)
		})
	}
	for vm := range r.VMs {
		send(vm, 20*time.Millisecond, standin.VersionPath(7), false)
		send(vm, 20*time.Millisecond, standin.VersionPath(7), false)
		send(vm, 200*time.Millisecond, standin.PathOrder, true)
	}
	// The VMs learn the usual latency.
	wait(ctx, 4*time.Second)
	silent := r.deployment.Targets()[1]
	for range 4 {
		silent.Unresponsive.Store(true)
		wait(ctx, 300*time.Millisecond)
		silent.Unresponsive.Store(false)
		wait(ctx, 700*time.Millisecond)
	}
	stop()
	group.Wait()
	won := 0
	for vm := range r.VMs {
		n, sent := r.hedges(t, vm), counts[vm].sent.Load()
		t.Logf("VM %d: %d requests, %d served, %d hedges, %d won", vm, sent, counts[vm].served.Load(), n["hedges"], n["hedges_won"])
		if won += n["hedges_won"]; float64(n["hedges"]) > share*float64(sent) {
			t.Errorf("VM %d sent %d hedges for %d requests", vm, n["hedges"], sent)
		}
	}
	if won == 0 {
		t.Error("no hedge won")
	}
	for _, text := range r.checker.allViolations() {
		t.Error(text)
	}
}
