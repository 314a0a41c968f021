package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/pkg/config"
)

const (
	slowTargets = 20
	// slowRate is 0.4 of the capacity of 20 targets with 2 slots and 20 ms, so that 16 targets have room for it.
	slowRate     = 800
	slowFactor   = 10
	slowPhase    = 10 * time.Second
	slowRecovery = 3 * time.Second
	// directPhase is shorter, because choices that don't learn from answers have nothing to adapt to.
	directPhase = 4 * time.Second
	// directTimeout is also the longest deadline of the pool behind the router.
	directTimeout = 2 * time.Second

	maxSlowRatio = 1.3
	maxExtraLoad = 0.05
)

var slowCounts = []int{1, 2, 4}

func slowConfig() *config.Config {
	cfg := oneRegion()
	pool := poolOf(cfg, "status", 0, slowTargets)
	cfg.Pools = []config.Pool{pool}
	cfg.Routes = []config.Route{reads(&pool)}
	return cfg
}

// slow measures unkeyed idempotent requests while some targets are 10 times slower. The slowed targets are spread evenly
// over the pool.
func (r *runner) slow(ctx context.Context) error {
	cfg := slowConfig()
	d, err := r.deploy(ctx, spec{config: cfg, vms: 4, targetArgs: []string{"--service-ms", "20"}})
	if err != nil {
		return trace.Wrap(err)
	}
	defer d.close()
	client := newClient(256)
	defer client.CloseIdleConnections()
	routed := func(n int) error { return getKey(client, d.vms[n%len(d.vms)].callerURL(), n) }
	if _, err := sendAtRate(ctx, slowRate, slowRecovery, routed); err != nil {
		return trace.Wrap(err, "warm-up")
	}
	if err := r.slowPhases(ctx, d, "router", slowPhase, slowRecovery, true, routed); err != nil {
		return trace.Wrap(err)
	}
	// The targets queue for the direct calls: nobody else does.
	if err := d.controlAll(`{"wait_limit": 1000}`); err != nil {
		return trace.Wrap(err)
	}
	direct := newClient(100)
	direct.Timeout = directTimeout
	defer direct.CloseIdleConnections()
	for _, policy := range []struct {
		name string
		pick picker
	}{{"random choice, no hedging", randomChoice()}, {"least outstanding, no hedging", leastOutstanding()}} {
		var failed atomic.Int64
		send := func(int) error {
			i, done := policy.pick()
			defer done()
			// A request that times out counts with the time-out as its latency.
			if getKey(direct, "http://"+cfg.Pools[0].Targets[i].Address, i) != nil {
				failed.Add(1)
			}
			return nil
		}
		if err := r.slowPhases(ctx, d, policy.name, directPhase, time.Second, false, send); err != nil {
			return trace.Wrap(err)
		}
		r.report.note(policy.name+": requests that timed out", "%d", failed.Load())
	}
	return nil
}

// slowPhases compares phases with slowed targets with a phase without before and another one after them.
func (r *runner) slowPhases(ctx context.Context, d *deployment, name string, phase, recovery time.Duration, bound bool, send func(int) error) error {
	type result struct {
		sample
		extra  float64
		failed int
	}
	measure := func(slowed int) (result, error) {
		if err := d.slowDown(slowed); err != nil {
			return result{}, trace.Wrap(err)
		}
		before, err := d.executed()
		if err != nil {
			return result{}, trace.Wrap(err)
		}
		s, failed, lastErr := countAtRate(ctx, slowRate, phase, send)
		if len(s) == 0 || ctx.Err() != nil {
			return result{}, trace.Wrap(errors.Join(lastErr, ctx.Err()), "%d slowed", slowed)
		}
		// Attempts that lost may still run.
		pause(ctx, 300*time.Millisecond)
		after, err := d.executed()
		if err != nil {
			return result{}, trace.Wrap(err)
		}
		if err := d.slowDown(0); err != nil {
			return result{}, trace.Wrap(err)
		}
		// Failures in the recovery count in no phase.
		_, _, _ = countAtRate(ctx, slowRate, recovery, send)
		return result{sample: s, extra: float64(after-before)/float64(len(s)) - 1, failed: failed}, nil
	}
	var results []result
	for _, slowed := range []int{0, 1, 2, 4, 0} {
		res, err := measure(slowed)
		if err != nil {
			return trace.Wrap(err)
		}
		results = append(results, res)
	}
	last := len(results) - 1
	r.report.note(name+": unslowed p99 / p99.9 before", "%v / %v", results[0].at(0.99), results[0].at(0.999))
	r.report.note(name+": unslowed p99 / p99.9 after", "%v / %v", results[last].at(0.99), results[last].at(0.999))
	// The smaller one is the stricter base: other work on the machine only makes a phase slower.
	base99 := min(results[0].at(0.99), results[last].at(0.99))
	base999 := min(results[0].at(0.999), results[last].at(0.999))
	for i, slowed := range slowCounts {
		res := results[i+1]
		title := fmt.Sprintf("%s, %d of %d slow: ", name, slowed, slowTargets)
		p99 := float64(res.at(0.99)) / float64(base99)
		if bound {
			r.report.atMost(title+"p99 against unslowed", p99, maxSlowRatio, "times")
			r.report.atMost(title+"extra load", res.extra, maxExtraLoad, "")
			r.report.atMost(title+"refused requests", float64(res.failed), 0, "")
		} else {
			r.report.note(title+"p99 against unslowed", "%.2f times", p99)
		}
		r.report.note(title+"p99.9 against unslowed", "%.2f times", float64(res.at(0.999))/float64(base999))
	}
	return nil
}

// slowDown slows the given number of targets and no others.
func (d *deployment) slowDown(slowed int) error {
	targets := d.config.Pools[0].Targets
	for i := range targets {
		factor := 1
		if slowed > 0 && i%(len(targets)/slowed) == 0 {
			factor = slowFactor
		}
		if err := d.control(&targets[i], fmt.Sprintf(`{"slow_factor": %d}`, factor)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (d *deployment) controlAll(change string) error {
	for i := range d.config.Pools {
		for n := range d.config.Pools[i].Targets {
			if err := d.control(&d.config.Pools[i].Targets[n], change); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

// picker chooses a target for one request; done must be called at its end.
type picker func() (target int, done func())

func randomChoice() picker {
	return func() (int, func()) { return rand.IntN(slowTargets), func() {} }
}

// leastOutstanding chooses a random one of the targets with the fewest requests in flight. It sees all requests, as no
// single entry VM of several could.
func leastOutstanding() picker {
	var mu sync.Mutex
	outstanding := make([]int, slowTargets)
	return func() (int, func()) {
		mu.Lock()
		defer mu.Unlock()
		best, offset := 0, rand.IntN(slowTargets)
		for i := range outstanding {
			n := (i + offset) % slowTargets
			if i == 0 || outstanding[n] < outstanding[best] {
				best = n
			}
		}
		outstanding[best]++
		return best, func() {
			mu.Lock()
			defer mu.Unlock()
			outstanding[best]--
		}
	}
}
