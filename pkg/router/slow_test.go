package router

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/store/memstore"
)

// newUnkeyedPoolCluster starts a cell with three routers and adds an unkeyed pool of 20 targets with 2 slots each, whose
// service time serviceTime returns.
func newUnkeyedPoolCluster(t *testing.T, serviceTime func(target int) time.Duration) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, store: memstore.New(), log: event.Discard()}
	tc.cfg = tc.config(echo)
	pool := tc.cfg.Pools[0]
	pool.Name, pool.Targets, pool.Slots, pool.ColdConcurrency = "ricerca", nil, 2, 1
	for i := range 20 {
		address := tc.startTarget(func(rw http.ResponseWriter, _ *http.Request) {
			time.Sleep(serviceTime(i))
			_, _ = fmt.Fprint(rw, i)
		})
		domain := []string{"catania-a", "catania-b"}[i%2]
		pool.Targets = append(pool.Targets, config.Target{ID: fmt.Sprintf("ricerca-%d", i), Address: address, Domain: domain})
	}
	route := tc.cfg.Routes[0]
	route.Name, route.PathPrefix, route.Pool = "ricerca", "/ricerca", "ricerca"
	tc.cfg.Pools = append(tc.cfg.Pools, pool)
	tc.cfg.Routes = append(tc.cfg.Routes, route)
	tc.applyConfig(tc.cfg)
	l := tc.listen()
	tc.peers = []settings.Peer{{VM: "vm-c-catania", Controller: l.Addr().String(), Cell: "catania"}}
	tc.startController(l)
	for i := range 3 {
		tc.peers = append(tc.peers, settings.Peer{VM: fmt.Sprintf("vm-%d", i), Router: tc.freeAddress(), Cell: "catania"})
	}
	for i := range 3 {
		tc.routers = append(tc.routers, tc.start(i))
	}
	tc.eventually("the pool serves through every router", func() bool {
		for _, n := range tc.routers {
			if !tc.probe(n.url("/ricerca/x")) {
				return false
			}
		}
		return true
	})
	return tc
}

// measureSecondHalf sends requests at a fixed rate through all routers and returns the sorted latencies of the second half.
func (tc *testCluster) measureSecondHalf(perSecond, requests int) []time.Duration {
	latencies := make([]time.Duration, requests)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	var wait sync.WaitGroup
	var failures atomic.Int64
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := range latencies {
		<-ticker.C
		url := tc.routers[i%len(tc.routers)].url("/ricerca/x")
		wait.Go(func() {
			began := time.Now()
			response, err := client.Get(url)
			if err != nil || discardBody(response) != http.StatusOK {
				failures.Add(1)
			}
			latencies[i] = time.Since(began)
		})
	}
	wait.Wait()
	if n := failures.Load(); n > 0 {
		tc.t.Errorf("%d of %d requests failed", n, requests)
	}
	half := slices.Clone(latencies[requests/2:])
	slices.Sort(half)
	return half
}

// Guards against slow targets that raise the tail latency: with 1, 2 and 4 of 20 targets 10 times slower, p99 is at most 1.3 times
// that without slow ones, and at most 5% more requests reach targets. It needs a quiet machine and runs only if BL_LATENCY is
// set.
func TestTailLatencyWithSlowTargets(t *testing.T) {
	if os.Getenv("BL_LATENCY") == "" {
		t.Skip("set BL_LATENCY=1 on a quiet machine")
	}
	const normal = 20 * time.Millisecond
	var slow atomic.Int64
	tc := newUnkeyedPoolCluster(t, func(target int) time.Duration {
		if int64(target) < slow.Load() {
			return 10 * normal
		}
		return normal
	})
	const rate, requests = 800, 8000
	tc.measureSecondHalf(rate, requests)
	base := tc.measureSecondHalf(rate, requests)
	t.Logf("no slow target: p50 %v p99 %v", p50(base), p99(base))
	for _, n := range []int64{1, 2, 4} {
		slow.Store(n)
		before := tc.targetRequests.Load()
		l := tc.measureSecondHalf(rate, requests)
		extra := float64(tc.targetRequests.Load()-before)/requests - 1
		t.Logf("%d slow targets: p50 %v p99 %v (%.2f times), extra load %.1f%%", n, p50(l), p99(l), float64(p99(l))/float64(p99(base)), 100*extra)
		if p99(l) > p99(base)*13/10 || extra > 0.05 {
			t.Errorf("%d slow targets: p99 %v against %v, extra load %.1f%%", n, p99(l), p99(base), 100*extra)
		}
	}
}
