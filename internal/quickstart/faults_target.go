package quickstart

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/operator"
)

const (
	freezeTime = 3 * time.Second
	// crashRepeats is how often a caller sends a request that crashes targets.
	crashRepeats = 10
	crashPause   = 300 * time.Millisecond
	// ordersAfterwards is enough for every group to be the home of some.
	ordersAfterwards = 16
	// maxCrashed bounds the targets lost to one request.
	maxCrashed = 2
	// crashMarker in a request ends the target stand-in that runs it.
	crashMarker = "crash-target"
)

// orderPool returns the pool of the route that isn't idempotent.
func (f *faultRun) orderPool() *config.Pool {
	return f.poolOf(func(r *config.Route) bool { return !r.Idempotent })
}

// bundlePool returns the pool of the bundles.
func (f *faultRun) bundlePool() *config.Pool {
	return f.poolOf(func(r *config.Route) bool { return strings.HasPrefix(r.PathPrefix, "/photos") })
}

func (f *faultRun) poolOf(match func(*config.Route) bool) *config.Pool {
	for i := range f.config.Routes {
		if match(&f.config.Routes[i]) {
			pool, _ := f.config.Pool(f.config.Routes[i].Pool)
			return pool
		}
	}
	return &config.Pool{}
}

// control changes settings of a target stand-in.
func (f *faultRun) control(t config.Target, settings string) error {
	return f.putJSON("http://"+controlAddress(t.Address)+"/control", json.RawMessage(settings))
}

func (f *faultRun) controlPool(pool *config.Pool, settings string) error {
	for _, t := range pool.Targets {
		if err := f.control(t, settings); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// crashTargets sends requests that end each target that runs them, each of them several times.
func crashTargets(ctx context.Context, f *faultRun) error {
	keyed, _ := f.keyedPool()
	keys := f.allKeys()
	for _, c := range []struct {
		name string
		pool *config.Pool
		call call
	}{
		{"order", f.orderPool(), call{method: http.MethodPost, path: "/orders", order: crashMarker, body: crashMarker}},
		{"keyed read", keyed, call{method: http.MethodGet, path: "/status/" + crashMarker}},
		{"bundle", f.bundlePool(), call{method: http.MethodGet, path: "/photos/" + crashMarker + "?bytes=1000"}},
	} {
		for i := range crashRepeats {
			c.call.base = f.urls[i%len(f.urls)]
			c.call.id = fmt.Sprintf("%s-%d", c.name, i)
			c.call.id = strings.ReplaceAll(c.call.id, " ", "-")
			s := f.callers.send(ctx, c.call)
			f.report.note(fmt.Sprintf("%s, sending %d", c.name, i+1), fmt.Sprintf("%d %s", s.status, s.outcome))
			time.Sleep(crashPause)
		}
		atMost(f.report, "targets lost to the same "+c.name, f.lost(c.pool), maxCrashed, "")
	}
	f.report.step("all keys are served", f.waitKeys(keys))
	var served atomic.Int64
	var sent sync.WaitGroup
	for i := range ordersAfterwards {
		sent.Go(func() {
			if f.callers.orderUntilAnswered(ctx, fmt.Sprintf("order-after-crashes-%d", i), f.urls) {
				served.Add(1)
			}
		})
	}
	sent.Wait()
	f.report.add(outcome{name: "other orders are answered", measured: fmt.Sprint(served.Load()), bound: fmt.Sprint(ordersAfterwards),
		ok: served.Load() == ordersAfterwards})
	return nil
}

// lost counts the targets of a pool that have ended.
func (f *faultRun) lost(pool *config.Pool) int {
	n := 0
	for _, t := range pool.Targets {
		if !f.targets[t.ID].Running() {
			n++
		}
	}
	return n
}

// freezeAndRestart freezes a keyed target for a while, and restarts other targets cold without an announcement.
func freezeAndRestart(ctx context.Context, f *faultRun) error {
	pool, ok := f.keyedPool()
	if !ok {
		return trace.NotFound("no keyed pool in the configuration")
	}
	frozen := pool.Targets[0]
	keys := f.prober.keysByOwner()[frozen.ID]
	if err := f.control(frozen, `{"frozen":true}`); err != nil {
		return trace.Wrap(err)
	}
	begin := time.Now()
	thawed := make(chan error, 1)
	time.AfterFunc(freezeTime, func() { thawed <- f.control(frozen, `{"frozen":false}`) })
	again := f.prober.servedAgain(ctx, keys)
	atMost(f.report, "keys of the frozen target served again", milliseconds(again), maxServedAgain, "ms")
	if err := <-thawed; err != nil {
		return trace.Wrap(err)
	}
	f.report.note("target frozen for", time.Since(begin).Round(time.Millisecond).String())
	time.Sleep(settleTime)
	for _, p := range []*config.Pool{pool, f.orderPool(), f.bundlePool()} {
		cold := p.Targets[len(p.Targets)-1]
		f.collector.Collect(ctx)
		f.targets[cold.ID].Kill()
		if err := f.startTarget(*p, cold, true); err != nil {
			return trace.Wrap(err)
		}
		time.Sleep(settleTime)
	}
	return trace.Wrap(f.waitRecovered(ctx))
}

// leaveTargets lets targets announce that they drain, and takes others out.
func leaveTargets(ctx context.Context, f *faultRun) error {
	keyed, _ := f.keyedPool()
	for _, pool := range []*config.Pool{keyed, f.orderPool()} {
		draining, out := pool.Targets[0], pool.Targets[len(pool.Targets)-1]
		begin := clock.Boottime{}.Now()
		if err := f.control(draining, `{"draining":true}`); err != nil {
			return trace.Wrap(err)
		}
		if err := f.judgeLeft(pool.Name+": time until the draining target got no new work", draining, begin); err != nil {
			return trace.Wrap(err)
		}
		begin = clock.Boottime{}.Now()
		result := f.takeOut(ctx, operator.Target, out.ID)
		f.report.add(outcome{name: pool.Name + ": target taken out", measured: string(result.Outcome), bound: string(operator.Accepted),
			ok: result.Outcome == operator.Accepted})
		if err := f.judgeLeft(pool.Name+": time until the target taken out got no new work", out, begin); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (f *faultRun) judgeLeft(name string, t config.Target, begin clock.Instant) error {
	time.Sleep(2 * settleTime)
	record, err := f.record(t)
	if err != nil {
		return trace.Wrap(err)
	}
	atMost(f.report, name, milliseconds(max(0, record.Summary.LastStart.Sub(begin))), maxDomainOut, "ms")
	return nil
}

// homeCase is a request that is bound to a region.
type homeCase struct {
	name string
	call call
	home int
}

// keepHomeRegions sends requests that are bound to a region through entry VMs of both regions.
func keepHomeRegions(ctx context.Context, f *faultRun) error {
	cases := f.homeCases()
	refused, named, answered, sent := 0, 0, 0, 0
	for i := range 10 {
		for _, c := range cases {
			home := f.config.Regions[c.home].Name
			c.call.id = fmt.Sprintf("home-%s-%d", c.name, i)
			c.call.path = strings.ReplaceAll(c.call.path, "SECRET", fmt.Sprintf("%s-%d", secretOf(c.home), i))
			c.call.body = secretOf(c.home)
			if c.call.order != "" {
				c.call.order = fmt.Sprintf("%s-%d", secretOf(c.home), i)
			}
			c.call.base = f.urls[1-c.home]
			away := f.callers.send(ctx, c.call)
			if away.status == http.StatusMisdirectedRequest {
				refused++
			} else {
				f.report.note("example", away.String())
			}
			if strings.Contains(away.body, home) {
				named++
			}
			c.call.base = f.urls[c.home]
			if s := f.callers.send(ctx, c.call); s.status == http.StatusOK {
				answered++
			} else {
				f.report.note("example", s.String())
			}
			sent++
		}
	}
	for _, o := range []struct {
		name string
		n    int
	}{{"refused with 421 outside the home region", refused}, {"refusals that name the home region", named}, {"answered in the home region", answered}} {
		f.report.add(outcome{name: o.name, measured: fmt.Sprint(o.n), bound: fmt.Sprint(sent), ok: o.n == sent})
	}
	f.collector.Collect(ctx)
	atMost(f.report, "executions outside the home region", f.executedOutside(cases), 0, "")
	return trace.Wrap(f.searchSecrets())
}

// secretOf is part of keys, bodies and idempotency keys that must not be found outside their region.
func secretOf(home int) string {
	return fmt.Sprintf("home-secret-%d", home)
}

func (f *faultRun) homeCases() []homeCase {
	var cases []homeCase
	for _, route := range f.config.Routes {
		if len(route.HomeRegions) == 0 {
			continue
		}
		cases = append(cases, homeCase{"route", call{method: http.MethodPost, path: route.PathPrefix}, f.regionIndex(route.HomeRegions[0])})
	}
	for _, tenant := range f.config.Tenants {
		if len(tenant.HomeRegions) == 0 {
			continue
		}
		home := f.regionIndex(tenant.HomeRegions[0])
		cases = append(cases,
			homeCase{"tenant-read", call{method: http.MethodGet, path: "/status/SECRET", tenant: tenant.Name}, home},
			homeCase{"tenant-order", call{method: http.MethodPost, path: "/orders", tenant: tenant.Name, order: "SECRET"}, home})
	}
	return cases
}

func (f *faultRun) regionIndex(name string) int {
	return max(0, slices.IndexFunc(f.config.Regions, func(r config.Region) bool { return r.Name == name }))
}

// executedOutside counts executions of bound requests on targets outside their home region.
func (f *faultRun) executedOutside(cases []homeCase) int {
	homes := map[string]int{}
	for _, c := range cases {
		homes["home-"+c.name+"-"] = c.home
	}
	n := 0
	for _, record := range f.collector.Records() {
		region := f.regionOfTarget(record.Summary.Target)
		for _, e := range record.Executions {
			for prefix, home := range homes {
				if strings.HasPrefix(e.RequestID, prefix) && region != home {
					n++
				}
			}
		}
	}
	return n
}

func (f *faultRun) regionOfTarget(id string) int {
	for _, t := range f.targetsIn("") {
		if t.ID == id {
			return f.regionIndex(f.config.RegionOf(t.Domain))
		}
	}
	return -1
}
