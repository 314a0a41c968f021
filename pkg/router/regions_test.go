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

// newRegions runs two cells with a router each. Targets of both regions serve the keyed pool rete and the orders pool posta,
// and answer with the name of their region.
func newRegions(t *testing.T) (w *world, regions []string) {
	t.Helper()
	regions = []string{"catania", "palermo"}
	w = &world{t: t, store: memstore.New(), log: event.Discard()}
	w.cfg = w.config(echo)
	for _, name := range []string{"rete", "posta"} {
		pool := w.cfg.Pools[1]
		pool.Name, pool.Targets = name, nil
		for _, region := range regions {
			address := w.target(func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, region) })
			pool.Targets = append(pool.Targets, config.Target{ID: name + "-" + region, Address: address, Domain: region + "-a"})
		}
		route := w.cfg.Routes[2]
		route.Name, route.PathPrefix, route.Pool = name, "/"+name, name
		if name == "rete" {
			pool.Keyed, pool.SlicesPerTarget, pool.MovesPerMinute = true, 4, 60
			route.Idempotent, route.Key = true, config.KeySource{Place: config.KeyInPath, Segment: 1}
		}
		w.cfg.Pools = append(w.cfg.Pools, pool)
		w.cfg.Routes = append(w.cfg.Routes, route)
	}
	w.cfg.Tenants = []config.Tenant{{Name: "siculo", HomeRegions: []string{"palermo"}}}
	w.apply(w.cfg)
	var listeners []net.Listener
	for i, region := range regions {
		l := w.listen()
		listeners = append(listeners, l)
		w.peers = append(w.peers, settings.Peer{VM: "vm-c-" + region, Controller: l.Addr().String(), Cell: region})
		w.peers = append(w.peers, settings.Peer{VM: fmt.Sprintf("vm-%d", i), Router: w.freeAddress(), Cell: region})
	}
	for i, region := range regions {
		w.controllerOf(region, listeners[i])
		w.routers = append(w.routers, w.startIn(region, region+"-a", w.peers[2*i+1]))
	}
	return w, regions
}

func (w *world) text(method, url string, headers ...string) (int, string) {
	response := send(w.t, method, url, "", headers...)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// Guards against keys and orders that depend on the router which accepts them, against bound requests that leave their
// region, and against tables of other cells that don't arrive.
func TestTwoRegions(t *testing.T) {
	w, regions := newRegions(t)
	w.eventually("both cells serve each other's keys", func() bool {
		for _, n := range w.routers {
			for i := range 16 {
				if status, _ := w.text("GET", n.url(fmt.Sprintf("/rete/%d", i))); status != http.StatusOK {
					return false
				}
			}
		}
		return true
	})
	seen := map[string]int{}
	for i := range 40 {
		_, first := w.text("GET", w.routers[0].url(fmt.Sprintf("/rete/%d", i)))
		_, second := w.text("GET", w.routers[1].url(fmt.Sprintf("/rete/%d", i)))
		if first != second {
			t.Errorf("key %d is served in %s and in %s", i, first, second)
		}
		seen[first]++
		url := fmt.Sprintf("/rete/%d", i)
		if status, region := w.text("GET", w.routers[1].url(url), "Bronzelever-Tenant", "siculo"); status != http.StatusOK || region != "palermo" {
			t.Errorf("bound key %d: %d, %s", i, status, region)
		}
	}
	for _, region := range regions {
		if seen[region] == 0 {
			t.Errorf("keys by region: %v", seen)
		}
	}
	status, body := w.text("GET", w.routers[0].url("/rete/1"), "Bronzelever-Tenant", "siculo")
	if status != http.StatusMisdirectedRequest || !strings.Contains(body, "https://palermo.example") {
		t.Errorf("bound request in another region: %d %s", status, body)
	}
	for i := range 20 {
		key := fmt.Sprintf("posta-%d", i)
		before := w.hits.Load()
		w.eventually("the order's home group answers", func() bool {
			status, _ := w.text("POST", w.routers[0].url("/posta"), "Idempotency-Key", key)
			return status == http.StatusOK
		})
		if status, _ := w.text("POST", w.routers[1].url("/posta"), "Idempotency-Key", key); status != http.StatusOK || w.hits.Load() != before+1 {
			t.Errorf("%s: status %d for the repeat, ran %d times", key, status, w.hits.Load()-before)
		}
	}
}

// Guards against a region that is cut off and takes the keys of the other one over, or holds their callers.
func TestRegionCutOff(t *testing.T) {
	w, _ := newRegions(t)
	key := ""
	w.eventually("a key of palermo is served from catania", func() bool {
		for i := range 16 {
			key = fmt.Sprintf("/rete/%d", i)
			if status, region := w.text("GET", w.routers[0].url(key)); status == http.StatusOK && region == "palermo" {
				return true
			}
		}
		return false
	})
	w.routers[1].kill()
	for range 5 {
		response := send(t, "GET", w.routers[0].url(key), "")
		outcome := response.Header.Get(problem.HeaderOutcome)
		if status := drop(response); status != http.StatusServiceUnavailable || outcome != string(problem.NotRun) || response.Header.Get("Retry-After") == "" {
			t.Errorf("status %d, outcome %s", status, outcome)
		}
	}
}
