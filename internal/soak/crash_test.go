package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/internal/child"
	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// crashTestTime is how long a request that crashes its targets is sent repeatedly.
	crashTestTime = 15 * time.Second
	// maxOrderCrashes is the number of targets that such an order may crash: three, and those that execute a copy of it at the time of the
	// third crash. Each VM gets one copy at a time. For a read the limit is three, since all copies go to the owner of its key.
	maxOrderCrashes = 3 + crashVMs - 1
	maxReadCrashes  = 3
	crashVMs        = 4
	// keyFailoverBound is the time in which the keys of a lost owner must be served again.
	keyFailoverBound = 4 * time.Second
	// lostPerCrash is the number of other requests that may be lost with each crash: a target executes four requests at a time, one of which
	// caused the crash.
	lostPerCrash = 3
	// quarantineSpreadTime is the time after the last crash in which all VMs must have quarantined the request. refusalBound is the time in
	// which they must refuse it from then on.
	quarantineSpreadTime = time.Second
	refusalBound         = 300 * time.Millisecond
)

func buildEntry(t *testing.T, dir string) string {
	t.Helper()
	binary := filepath.Join(dir, "blentry")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/blentry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	return binary
}

// startCrashRun starts entry processes and targets. The targets have no proxies in front of them, because a crashed target must refuse
// connections.
func startCrashRun(t *testing.T, targets int, arguments ...string) *run {
	t.Helper()
	return startGracefulRun(t, targets, 0, arguments...)
}

// startGracefulRun is like startCrashRun, with another grace period of the entry processes if it isn't 0.
func startGracefulRun(t *testing.T, targets int, grace time.Duration, arguments ...string) *run {
	t.Helper()
	dir := t.ArtifactDir()
	r := &run{Options: Options{
		Binary: buildEntry(t, dir), Seed: 1, VMs: crashVMs, Targets: targets, FirstPort: freePorts(t, crashVMs*portsPerVM), LogDir: dir, Arguments: arguments,
	}, version: 7}
	var err error
	if r.deployment, err = standin.Start(targets, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.deployment.Close)
	r.deployment.ShutdownGrace = cmp.Or(grace, r.deployment.ShutdownGrace)
	r.checker = newCallerChecker(r.deployment.Checker)
	r.supervisor = &child.Supervisor{LogDir: dir}
	t.Cleanup(r.closeLinks)
	t.Cleanup(r.supervisor.KillAll)
	for i := range r.VMs {
		if err := r.addVM(i); err != nil {
			t.Fatal(err)
		}
	}
	wait(t.Context(), settleTime)
	return r
}

// outcomeCounts counts requests by outcome.
type outcomeCounts struct {
	sent, served, notRun atomic.Int64
	mu                   sync.Mutex
	// lateRefusals are the times at which requests were sent that were refused later than refusalBound.
	lateRefusals []time.Time
}

func (c *outcomeCounts) record(x exchange) {
	c.sent.Add(1)
	switch {
	case x.err == nil && x.status == http.StatusOK:
		c.served.Add(1)
	case x.err == nil && notRun(x.status):
		c.notRun.Add(1)
		if x.answeredAt.Sub(x.sentAt) > refusalBound {
			c.mu.Lock()
			c.lateRefusals = append(c.lateRefusals, x.sentAt)
			c.mu.Unlock()
		}
	}
}

// lateRefusalsSince counts the requests that were sent after the given time and refused late.
func (c *outcomeCounts) lateRefusalsSince(from time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, sent := range c.lateRefusals {
		if sent.After(from) {
			n++
		}
	}
	return n
}

// senders numbers the calls of sendRepeatedly. The address of the HTTP client isn't unique: once a client was collected, a later one had its
// address, and requests had the IDs of orders that had run. All IDs have the same length, on which the body depends, and so the fingerprint of
// a request that is sent again.
var senders atomic.Int64

// sendRepeatedly sends requests to a VM one after another until the context ends.
func (r *run) sendRepeatedly(ctx context.Context, vm int, pause time.Duration, c *outcomeCounts, path func(n int) (path string, key int), order bool) {
	client, sender := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}, senders.Add(1)
	for n := 0; ctx.Err() == nil; n++ {
		x := exchange{id: fmt.Sprintf("%06d-%05d", sender, n), vm: vm, order: order}
		var key int
		x.path, key = path(n)
		r.send(ctx, client, &x, key, clientTimeout)
		if ctx.Err() == nil {
			c.record(x)
			r.checker.checkExchange(x)
		}
		wait(ctx, pause)
	}
}

// Guards against a request that crashes every target that executes it: as it is resent through all VMs, it would crash one target after
// another, and the other requests to its service would not be served.
func TestCrashingRequestReachesFewTargets(t *testing.T) {
	for _, c := range []struct {
		name, prefix string
		order        bool
	}{{"keyed reads", standin.PathRead, false}, {"orders", standin.PathOrder, true}} {
		t.Run(c.name, func(t *testing.T) {
			const targets = 6
			r := startCrashRun(t, targets)
			ctx, stop := context.WithTimeout(t.Context(), crashTestTime)
			defer stop()
			crashingPath := c.prefix + standin.PathCrash + "1"
			var otherCounts, crashingCounts outcomeCounts
			var group sync.WaitGroup
			for vm := range r.VMs {
				group.Go(func() {
					r.sendRepeatedly(ctx, vm, crashInterval, &crashingCounts, func(int) (string, int) { return crashingPath, 4711 }, c.order)
				})
				for i := range 2 {
					group.Go(func() {
						r.sendRepeatedly(ctx, vm, 10*time.Millisecond, &otherCounts, func(n int) (string, int) {
							return fmt.Sprintf("%s%d-%d-%d", c.prefix, vm, i, n), (n*7919 + vm*1000 + i) % keyCount
						}, c.order)
					})
				}
			}
			group.Wait()
			wait(t.Context(), lateRunTime)
			crashes := r.deployment.Checker.Crashes(crashingPath)
			late := crashingCounts.lateRefusalsSince(r.deployment.Checker.LastCrash(crashingPath).Add(quarantineSpreadTime))
			t.Logf("%d crashes, at seconds %.2f; sent %d times, refused as not run %d times, %d times late; other requests: %d of %d served",
				len(crashes), crashes, crashingCounts.sent.Load(), crashingCounts.notRun.Load(), late, otherCounts.served.Load(), otherCounts.sent.Load())
			maxCrashes, lost := maxOrderCrashes, float64(len(crashes)*lostPerCrash)
			if !c.order {
				maxCrashes = maxReadCrashes
				// Owners that crashed earlier haven't regained keys yet, so that each of the others owns more keys.
				for i := range crashes {
					lost += float64(otherCounts.sent.Load()) * keyFailoverBound.Seconds() / crashTestTime.Seconds() / float64(targets-i)
				}
			}
			if len(crashes) < 3 || len(crashes) > maxCrashes {
				t.Errorf("the request has crashed %d targets", len(crashes))
			}
			if n := float64(otherCounts.sent.Load() - otherCounts.served.Load()); n > lost {
				t.Errorf("%.0f other requests aren't served, want at most %.0f", n, lost)
			}
			if late > 0 {
				t.Errorf("the request is refused late %d times", late)
			}
			for i, text := range r.checker.allViolations() {
				if i < 5 {
					t.Error(text)
				}
			}
		})
	}
}

// Guards against a quarantine that is lost with the processes that knew it, so that the request crashes targets again. The test kills
// first the coordinator, then all processes at once.
func TestQuarantineOutlivesProcesses(t *testing.T) {
	r := startCrashRun(t, 6)
	crashingPath := standin.PathOrder + standin.PathCrash + "1"
	path := func(int) (string, int) { return crashingPath, 0 }
	sendFor := func(d time.Duration) int {
		ctx, stop := context.WithTimeout(t.Context(), d)
		defer stop()
		var c outcomeCounts
		var group sync.WaitGroup
		for vm := range r.VMs {
			group.Go(func() { r.sendRepeatedly(ctx, vm, crashInterval, &c, path, true) })
		}
		group.Wait()
		return len(r.deployment.Checker.Crashes(crashingPath))
	}
	// The quarantine is stored within the first two seconds.
	initial := sendFor(2 * time.Second)
	if initial < 3 || initial > maxOrderCrashes {
		t.Errorf("the request has crashed %d targets", initial)
	}
	for _, v := range r.vms[:1] {
		if err := r.kill(v); err != nil {
			t.Fatal(err)
		}
	}
	afterOne := sendFor(6 * time.Second)
	for _, v := range r.vms {
		if err := r.kill(v); err != nil {
			t.Fatal(err)
		}
	}
	afterAll := sendFor(10 * time.Second)
	t.Logf("%d crashes, %d after the loss of a VM, %d after the loss of all: at seconds %.2f", initial, afterOne, afterAll, r.deployment.Checker.Crashes(crashingPath))
	if afterOne != initial || afterAll != initial {
		t.Error("the request crashes targets again")
	}
	for _, text := range r.deployment.Checker.Violations() {
		t.Error(text)
	}
}
