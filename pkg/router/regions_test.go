package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/store/memstore"
)

// newTwoRegionCluster starts two cells with one router each. Targets of both regions serve the keyed pool rete and the pool
// posta for non-idempotent orders, and respond with the name of their region.
func newTwoRegionCluster(t *testing.T) (tc *testCluster, regions []string) {
	t.Helper()
	regions = []string{"catania", "palermo"}
	tc = &testCluster{t: t, store: memstore.New(), log: event.Discard()}
	tc.cfg = tc.config(echo)
	for _, name := range []string{"rete", "posta"} {
		pool := tc.cfg.Pools[1]
		pool.Name, pool.Targets = name, nil
		for _, region := range regions {
			address := tc.startTarget(func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, region) })
			pool.Targets = append(pool.Targets, config.Target{ID: name + "-" + region, Address: address, Domain: region + "-a"})
		}
		route := tc.cfg.Routes[2]
		route.Name, route.PathPrefix, route.Pool = name, "/"+name, name
		if name == "rete" {
			pool.Keyed, pool.SlicesPerTarget, pool.MovesPerMinute = true, 4, 60
			route.Idempotent, route.Key = true, config.KeySource{Place: config.KeyInPath, Segment: 1}
		}
		tc.cfg.Pools = append(tc.cfg.Pools, pool)
		tc.cfg.Routes = append(tc.cfg.Routes, route)
	}
	tc.cfg.Tenants = []config.Tenant{{Name: "siculo", HomeRegions: []string{"palermo"}}}
	tc.applyConfig(tc.cfg)
	var listeners []net.Listener
	for i, region := range regions {
		l := tc.listen()
		listeners = append(listeners, l)
		tc.peers = append(tc.peers, settings.Peer{VM: "vm-c-" + region, Controller: l.Addr().String(), Cell: region})
		tc.peers = append(tc.peers, settings.Peer{VM: fmt.Sprintf("vm-%d", i), Router: tc.freeAddress(), Cell: region})
	}
	for i, region := range regions {
		tc.startControllerOf(region, listeners[i])
		tc.routers = append(tc.routers, tc.startInCell(region, region+"-a", tc.peers[2*i+1]))
	}
	return tc, regions
}

func (tc *testCluster) fetchText(method, url string, headers ...string) (int, string) {
	response := send(tc.t, method, url, "", headers...)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		tc.t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// Guards against keys and orders that are assigned differently depending on the router that accepts them, against requests
// that leave the home regions of their tenant, and against tables of other cells that aren't received.
func TestTwoRegions(t *testing.T) {
	tc, regions := newTwoRegionCluster(t)
	tc.eventually("both cells serve each other's keys", func() bool {
		for _, n := range tc.routers {
			for i := range 16 {
				if status, _ := tc.fetchText("GET", n.url(fmt.Sprintf("/rete/%d", i))); status != http.StatusOK {
					return false
				}
			}
		}
		return true
	})
	seen := map[string]int{}
	for i := range 40 {
		_, first := tc.fetchText("GET", tc.routers[0].url(fmt.Sprintf("/rete/%d", i)))
		_, second := tc.fetchText("GET", tc.routers[1].url(fmt.Sprintf("/rete/%d", i)))
		if first != second {
			t.Errorf("key %d is served in %s and in %s", i, first, second)
		}
		seen[first]++
		url := fmt.Sprintf("/rete/%d", i)
		if status, region := tc.fetchText("GET", tc.routers[1].url(url), "Bronzelever-Tenant", "siculo"); status != http.StatusOK || region != "palermo" {
			t.Errorf("key %d of a tenant with a home region: %d, %s", i, status, region)
		}
	}
	for _, region := range regions {
		if seen[region] == 0 {
			t.Errorf("keys by region: %v", seen)
		}
	}
	status, body := tc.fetchText("GET", tc.routers[0].url("/rete/1"), "Bronzelever-Tenant", "siculo")
	if status != http.StatusMisdirectedRequest || !strings.Contains(body, "https://palermo.example") {
		t.Errorf("request outside its home region: %d %s", status, body)
	}
	for i := range 20 {
		key := fmt.Sprintf("posta-%d", i)
		before := tc.targetRequests.Load()
		tc.eventually("the order's home group responds", func() bool {
			status, _ := tc.fetchText("POST", tc.routers[0].url("/posta"), "Idempotency-Key", key)
			return status == http.StatusOK
		})
		if status, _ := tc.fetchText("POST", tc.routers[1].url("/posta"), "Idempotency-Key", key); status != http.StatusOK || tc.targetRequests.Load() != before+1 {
			t.Errorf("%s: status %d for the repeat, ran %d times", key, status, tc.targetRequests.Load()-before)
		}
	}
}

// Guards against a region that loses contact with another one and takes over its keys, or lets requests for them wait.
func TestIsolatedRegion(t *testing.T) {
	tc, _ := newTwoRegionCluster(t)
	key := ""
	tc.eventually("a key of palermo is served from catania", func() bool {
		for i := range 16 {
			key = fmt.Sprintf("/rete/%d", i)
			if status, region := tc.fetchText("GET", tc.routers[0].url(key)); status == http.StatusOK && region == "palermo" {
				return true
			}
		}
		return false
	})
	tc.routers[1].kill()
	for range 5 {
		response := send(t, "GET", tc.routers[0].url(key), "")
		outcome := response.Header.Get(problem.HeaderOutcome)
		if status := discardBody(response); status != http.StatusServiceUnavailable || outcome != string(problem.NotRun) || response.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, outcome %s", status, outcome)
		}
	}
}
