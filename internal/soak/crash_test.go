package soak

import (
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
	// crashTime is how long a request that crashes its targets is sent again and again.
	crashTime = 15 * time.Second
	// mostCrashes is the number of targets that such an order may crash: three, and those at which a copy of it runs at the time of the
	// third crash. One copy is sent to each VM at a time. All copies of a read go to the owner of its key.
	mostCrashes     = 3 + crashVMs - 1
	mostOwnersCrash = 3
	crashVMs        = 4
	// keyLoss is the time in which the keys of a lost owner must be served again.
	keyLoss = 4 * time.Second
	// besideCrash is the number of requests that a crash may cost beside the one that caused it: a target works on four at a time.
	besideCrash = 3
	// spreadTime is the time after the last crash in which all VMs must know the request, and refusalBound that in which they refuse it
	// from then on.
	spreadTime   = time.Second
	refusalBound = 300 * time.Millisecond
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

// startCrashRun starts entry processes and targets without proxies before the targets: a crashed target refuses connections.
func startCrashRun(t *testing.T, targets int) *run {
	t.Helper()
	dir := t.ArtifactDir()
	r := &run{Options: Options{
		Binary: buildEntry(t, dir), Seed: 1, VMs: crashVMs, Targets: targets, FirstPort: freePorts(t, crashVMs*portsPerVM), LogDir: dir,
	}, version: 7}
	var err error
	if r.deployment, err = standin.Start(targets, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.deployment.Close)
	r.judge = newJudge(r.deployment.Checker)
	r.supervisor = &child.Supervisor{LogDir: dir}
	t.Cleanup(r.closeLinks)
	t.Cleanup(r.supervisor.KillAll)
	for i := range r.VMs {
		if err := r.addVM(i); err != nil {
			t.Fatal(err)
		}
	}
	wait(t.Context(), settle)
	return r
}

// tally counts requests by what became of them.
type tally struct {
	asked, served, notRun atomic.Int64
	mu                    sync.Mutex
	// slow are the sending times of requests that were refused late.
	slow []time.Time
}

func (c *tally) take(x exchange) {
	c.asked.Add(1)
	switch {
	case x.err == nil && x.status == http.StatusOK:
		c.served.Add(1)
	case x.err == nil && notRun(x.status):
		c.notRun.Add(1)
		if x.answered.Sub(x.sent) > refusalBound {
			c.mu.Lock()
			c.slow = append(c.slow, x.sent)
			c.mu.Unlock()
		}
	}
}

// slowSince counts the requests that were sent after a moment and refused late.
func (c *tally) slowSince(from time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, sent := range c.slow {
		if sent.After(from) {
			n++
		}
	}
	return n
}

// sendOften sends requests to a VM one after another until the context ends.
func (r *run) sendOften(ctx context.Context, vm int, pause time.Duration, c *tally, path func(n int) (path string, key int), order bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for n := 0; ctx.Err() == nil; n++ {
		x := exchange{id: fmt.Sprintf("%p-%05d", client, n), vm: vm, order: order}
		var key int
		x.path, key = path(n)
		r.send(ctx, client, &x, key, patientWait)
		if ctx.Err() == nil {
			c.take(x)
			r.judge.take(x)
		}
		wait(ctx, pause)
	}
}

// Guards against a request that crashes each target that runs it and takes down one after the other as it is sent again through
// all VMs, while the other requests of its service aren't served.
func TestCrashingRequestReachesFewTargets(t *testing.T) {
	for _, c := range []struct {
		name, prefix string
		order        bool
	}{{"keyed reads", standin.PathRead, false}, {"orders", standin.PathOrder, true}} {
		t.Run(c.name, func(t *testing.T) {
			const targets = 6
			r := startCrashRun(t, targets)
			ctx, stop := context.WithTimeout(t.Context(), crashTime)
			defer stop()
			crashing := c.prefix + standin.PathCrash + "1"
			var others, crashers tally
			var group sync.WaitGroup
			for vm := range r.VMs {
				group.Go(func() {
					r.sendOften(ctx, vm, crashPause, &crashers, func(int) (string, int) { return crashing, 4711 }, c.order)
				})
				for i := range 2 {
					group.Go(func() {
						r.sendOften(ctx, vm, 10*time.Millisecond, &others, func(n int) (string, int) {
							return fmt.Sprintf("%s%d-%d-%d", c.prefix, vm, i, n), (n*7919 + vm*1000 + i) % keySpace
						}, c.order)
					})
				}
			}
			group.Wait()
			wait(t.Context(), lateRuns)
			crashes := r.deployment.Checker.Crashes(crashing)
			slow := crashers.slowSince(r.deployment.Checker.LastCrash(crashing).Add(spreadTime))
			t.Logf("%d crashes, at seconds %.2f; sent %d times, refused as not run %d times, %d times late; others: %d of %d served",
				len(crashes), crashes, crashers.asked.Load(), crashers.notRun.Load(), slow, others.served.Load(), others.asked.Load())
			most, lost := mostCrashes, float64(len(crashes)*besideCrash)
			if !c.order {
				most = mostOwnersCrash
				// The owners that have crashed before have no keys yet, so that the others have more of them.
				for i := range crashes {
					lost += float64(others.asked.Load()) * keyLoss.Seconds() / crashTime.Seconds() / float64(targets-i)
				}
			}
			if len(crashes) < 3 || len(crashes) > most {
				t.Errorf("the request has crashed %d targets", len(crashes))
			}
			if n := float64(others.asked.Load() - others.served.Load()); n > lost {
				t.Errorf("%.0f other requests aren't served, at most %.0f may be lost beside the crashes", n, lost)
			}
			if slow > 0 {
				t.Errorf("the request is refused late %d times", slow)
			}
			for i, text := range r.judge.verdict() {
				if i < 5 {
					t.Error(text)
				}
			}
		})
	}
}

// Guards against a request that crashes targets again after the processes that knew it are gone: first the coordinator, then all at
// once.
func TestQuarantineOutlivesProcesses(t *testing.T) {
	r := startCrashRun(t, 6)
	crashing := standin.PathOrder + standin.PathCrash + "1"
	path := func(int) (string, int) { return crashing, 0 }
	play := func(d time.Duration) int {
		ctx, stop := context.WithTimeout(t.Context(), d)
		defer stop()
		var c tally
		var group sync.WaitGroup
		for vm := range r.VMs {
			group.Go(func() { r.sendOften(ctx, vm, crashPause, &c, path, true) })
		}
		group.Wait()
		return len(r.deployment.Checker.Crashes(crashing))
	}
	// The quarantine is stored within the first play.
	before := play(2 * time.Second)
	if before < 3 || before > mostCrashes {
		t.Errorf("the request has crashed %d targets", before)
	}
	for _, v := range r.vms[:1] {
		if err := r.kill(v); err != nil {
			t.Fatal(err)
		}
	}
	afterOne := play(6 * time.Second)
	for _, v := range r.vms {
		if err := r.kill(v); err != nil {
			t.Fatal(err)
		}
	}
	afterAll := play(10 * time.Second)
	t.Logf("%d crashes, %d after the loss of a VM, %d after the loss of all: at seconds %.2f", before, afterOne, afterAll, r.deployment.Checker.Crashes(crashing))
	if afterOne != before || afterAll != before {
		t.Error("the request crashes targets again")
	}
	for _, text := range r.deployment.Checker.Violations() {
		t.Error(text)
	}
}
