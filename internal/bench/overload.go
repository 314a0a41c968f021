package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/internal/load"
	"github.com/bronzelever/bronzelever/pkg/config"
)

const (
	overloadTargets  = 20
	overloadSlots    = 2
	overloadService  = 40 * time.Millisecond
	overloadDeadline = 800 * time.Millisecond
	overloadPhase    = 10 * time.Second
	overloadWarmUp   = 5 * time.Second
	capacityPhase    = 4 * time.Second
	// heavyWeight is the class weight of half of the requests; the others weigh 1.
	heavyWeight = 5

	minGoodput = 0.9
)

func overloadConfig() *config.Config {
	cfg := oneRegion()
	pool := poolOf(cfg, "mixed", 0, overloadTargets)
	pool.MaxDeadline = config.Milliseconds(overloadDeadline.Milliseconds())
	cfg.Pools = []config.Pool{pool}
	cfg.Routes = []config.Route{reads(&pool), downloads(&pool, heavyWeight)}
	return cfg
}

// overload offers twice the capacity, half of it with weight 5 and half with weight 1, and compares what is answered with
// what the targets answer to one direct request per slot at a time.
func (r *runner) overload(ctx context.Context) error {
	cfg := overloadConfig()
	service := fmt.Sprint(overloadService.Milliseconds())
	d, err := r.deploy(ctx, spec{config: cfg, vms: 4, targetArgs: []string{"--service-ms", service}})
	if err != nil {
		return trace.Wrap(err)
	}
	defer d.close()
	nominal := overloadTargets * overloadSlots / overloadService.Seconds()
	if _, err := load.Run(ctx, d.mixedLoad(nominal/2, overloadWarmUp)); err != nil {
		return trace.Wrap(err, "warm-up")
	}
	result, err := load.Run(ctx, d.mixedLoad(2*nominal, overloadPhase))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := r.printSlots(d); err != nil {
		return trace.Wrap(err)
	}
	for _, counter := range []string{"gateway_refused_by_estimate", "gateway_refused_queue_full"} {
		n, err := d.counter("bronzelever_" + counter)
		if err != nil {
			return trace.Wrap(err)
		}
		r.report.note(counter, "%d", n)
	}
	client := newClient(overloadSlots)
	defer client.CloseIdleConnections()
	capacity := sendInLoops(ctx, overloadTargets*overloadSlots, capacityPhase, func(worker int) error {
		return getKey(client, "http://"+cfg.Pools[0].Targets[worker%overloadTargets].Address, worker)
	})
	answered, offered := 0, 0
	for i := range result.Classes {
		c := &result.Classes[i]
		answered += c.Answered
		offered += c.Sent + c.Dropped
		r.report.note(c.Name+": sent / answered / not run / unknown / wrong", "%d / %d / %d / %d / %d",
			c.Sent, c.Answered, c.RefusedNotRun, c.Unknown+c.Failed+c.Unreachable, c.Wrong)
		r.report.note(c.Name+": p50 / p99", "%v / %v", c.Latency.P50, c.Latency.P99)
		r.report.note(c.Name+": statuses", "%v", c.Statuses)
	}
	seconds := result.Duration.Seconds()
	heavy, _ := result.Class("heavy")
	// The heavy requests alone fill the capacity or nearly so; light ones take what they leave.
	heavyOffered := float64(heavy.Sent+heavy.Dropped) / seconds
	possible := min(heavyOffered, capacity)*heavyWeight + max(0, capacity-heavyOffered)
	r.report.note("capacity by direct calls / nominal", "%.0f/s / %.0f/s", capacity, nominal)
	r.report.note("offered against capacity", "%.2f times", float64(offered)/seconds/capacity)
	r.report.atLeast("answered requests against capacity", float64(answered)/seconds/capacity, minGoodput, "")
	r.report.atLeast("weighted goodput against the best possible", result.Goodput()/possible, minGoodput, "")
	return nil
}

// mixedLoad sends both classes at half the rate each.
func (d *deployment) mixedLoad(rate float64, duration time.Duration) load.Config {
	var urls []string
	for _, v := range d.vms {
		urls = append(urls, v.callerURL())
	}
	return load.Config{
		URLs: urls,
		Classes: []load.Class{
			{Name: "light", Kind: load.Read, Rate: rate / 2, Weight: 1, Timeout: overloadDeadline},
			{Name: "heavy", Kind: load.Download, Rate: rate / 2, Weight: heavyWeight, BundleBytes: 64, Timeout: overloadDeadline},
		},
		Duration: duration,
		Seed:     1,
	}
}

// printSlots reports what the targets counted. Requests beyond the slots are shed, so that only those offered show an
// excess.
func (r *runner) printSlots(d *deployment) error {
	all, err := d.summaries()
	if err != nil {
		return trace.Wrap(err)
	}
	executing, offered, shed := 0, 0, 0
	for i := range all {
		executing = max(executing, all[i].MaxExecuting)
		offered = max(offered, all[i].MaxOffered)
		shed += all[i].Refused.Shed
	}
	r.report.atMost("slots in use at a target", float64(executing), overloadSlots, "")
	r.report.atMost("requests offered to a target at once", float64(offered), overloadSlots, "")
	r.report.atMost("requests shed by targets", float64(shed), 0, "")
	return nil
}
