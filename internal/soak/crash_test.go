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
	// crashTime is how long a request that crashes its targets is sent again and again, and crashPause the time between two
	// sendings to one VM.
	crashTime  = 15 * time.Second
	crashPause = 100 * time.Millisecond
	// mostCrashes is the number of targets that such a request may crash: three, and those at which a copy of it runs at the time of
	// the third crash. One copy is sent to each VM at a time.
	mostCrashes = 3 + crashVMs - 1
	crashVMs    = 4
	// crashServed is the share of the other requests of that service that must be served.
	crashServed = 0.9
	// refusalBound is the time in which a request that isn't sent to a target must be refused.
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
	r.judge = newJudge(r.deployment.Ledger)
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
	asked, served, notRun, slowRefusals atomic.Int64
}

func (c *tally) take(x exchange) {
	c.asked.Add(1)
	switch {
	case x.err == nil && x.status == http.StatusOK:
		c.served.Add(1)
	case x.err == nil && notRun(x.status):
		c.notRun.Add(1)
		if x.answered.Sub(x.sent) > refusalBound {
			c.slowRefusals.Add(1)
		}
	}
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
			r := startCrashRun(t, 6)
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
			crashes := r.deployment.Ledger.Crashes(crashing)
			t.Logf("%d crashes, at seconds %.2f; sent %d times, refused as not run %d times, %d of them late; others: %d of %d served",
				len(crashes), crashes, crashers.asked.Load(), crashers.notRun.Load(), crashers.slowRefusals.Load(), others.served.Load(), others.asked.Load())
			if len(crashes) > mostCrashes {
				t.Errorf("the request has crashed %d targets", len(crashes))
			}
			if share := float64(others.served.Load()) / float64(others.asked.Load()); share < crashServed {
				t.Errorf("%.0f%% of the other requests are served", 100*share)
			}
			if n := crashers.slowRefusals.Load(); n > 0 {
				t.Errorf("the request is refused late %d times", n)
			}
			for i, text := range r.judge.verdict() {
				if i < 5 {
					t.Error(text)
				}
			}
		})
	}
}
