package router

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/agent"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/controller"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/metric"
	"github.com/bronzelever/bronzelever/pkg/peer"
	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/store/memstore"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

const waitTimeout = 20 * time.Second

// testCluster consists of a controller, routers and targets on loopback addresses, and an in-memory store. It has one cell
// unless newTwoRegionCluster started it.
type testCluster struct {
	t       testing.TB
	store   *memstore.Store
	cfg     *config.Config
	peers   []settings.Peer
	routers []*node
	log     *event.Logger
	// stopController stops the controller without a shutdown, as the loss of its VM would.
	stopController func()
	// lastFailure describes the last probe that failed.
	lastFailure string
	// targetRequests counts the requests that reached targets.
	targetRequests atomic.Int64
}

// node is a running router.
type node struct {
	*Router
	stop context.CancelFunc
	done chan error
}

// handlerFunc handles a request at a target.
type handlerFunc func(w http.ResponseWriter, r *http.Request)

// echo responds with the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(r.ContentLength))
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, r.Body)
}

func newTestCluster(t testing.TB, routers int, h handlerFunc) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, store: memstore.New(), log: event.Discard()}
	if os.Getenv("BL_LOG") != "" {
		tc.log = event.NewLogger(os.Stderr, event.ProcessStarted.Level)
	}
	tc.cfg = tc.config(h)
	tc.applyConfig(tc.cfg)
	listener := tc.listen()
	tc.peers = []settings.Peer{{VM: "vm-c-catania", Controller: listener.Addr().String(), Cell: "catania"}}
	tc.startController(listener)
	for i := range routers {
		tc.peers = append(tc.peers, settings.Peer{VM: fmt.Sprintf("vm-%d", i), Router: tc.freeAddress(), Cell: "catania"})
	}
	for i := range routers {
		tc.routers = append(tc.routers, tc.start(i))
	}
	waitFor(t, "every group has a gateway that serves it", tc.allAssigned, func() string { return tc.lastFailure })
	return tc
}

func (tc *testCluster) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tc.t.Fatal(err)
	}
	return l
}

// addresses counts the addresses handed out by freeAddress.
var addresses atomic.Uint32

// freeAddress returns an unused address that other processes don't take: its host is used by this test process only, and its
// port is outside the range of outgoing connections. Ports that had only been probed as free were taken by other tests.
func (tc *testCluster) freeAddress() string {
	const port = 20073
	pid := os.Getpid()
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 100+pid%100, pid/100%256, 1+n%250, port+n/250)
}

// startTarget starts a target; its service paths are handled by h.
func (tc *testCluster) startTarget(h handlerFunc) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, `{"status": "ok"}`)
	})
	mux.HandleFunc("GET /load", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, `{"in_flight": 0, "slots": 64}`)
	})
	mux.HandleFunc("/", func(rw http.ResponseWriter, r *http.Request) {
		tc.targetRequests.Add(1)
		rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		h(rw, r)
	})
	l := tc.listen()
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	tc.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func (tc *testCluster) config(h handlerFunc) *config.Config {
	pool := func(name string) config.Pool {
		return config.Pool{
			Name: name, Slots: 64, Connections: 128, ColdConcurrency: 64, QueueLimit: 1000, MaxDeadline: 3_000, RepeatWindow: 60_000,
			Targets: []config.Target{
				{ID: name + "-1", Address: tc.startTarget(h), Domain: "catania-a"},
				{ID: name + "-2", Address: tc.startTarget(h), Domain: "catania-b"},
			},
		}
	}
	keyed := pool("stato")
	keyed.Keyed, keyed.SlicesPerTarget, keyed.MovesPerMinute = true, 4, 60
	route := func(name, path string, idempotent bool) config.Route {
		return config.Route{Name: name, PathPrefix: path, Methods: []string{"GET", "POST", "HEAD"}, Pool: name, Class: name, Weight: 1,
			Idempotent: idempotent, Deadline: 10_000, MaxBodyBytes: 128 << 20}
	}
	keyedRoute := route("stato", "/stato", true)
	keyedRoute.Key = config.KeySource{Place: config.KeyInPath, Segment: 1}
	boundRoute := route("archivio", "/palermo", true)
	boundRoute.Name, boundRoute.HomeRegions = "palermo", []string{"palermo"}
	multiRegionPool := pool("archivio")
	multiRegionPool.Targets = append(multiRegionPool.Targets, config.Target{ID: "archivio-3", Address: "127.0.0.1:9", Domain: "palermo-a"})
	return &config.Config{
		Version: 1,
		Regions: []config.Region{
			{Name: "catania", Domains: []string{"catania-a", "catania-b"}, CallerURL: "https://catania.example"},
			{Name: "palermo", Domains: []string{"palermo-a"}, CallerURL: "https://palermo.example"},
		},
		Pools:              []config.Pool{multiRegionPool, pool("ordini"), keyed},
		Routes:             []config.Route{route("archivio", "/archivio", true), boundRoute, route("ordini", "/ordini", false), keyedRoute},
		LinkBytesPerSecond: 1 << 20,
	}
}

// applyConfig writes a configuration to the store, as blctl does.
func (tc *testCluster) applyConfig(cfg *config.Config) {
	tc.t.Helper()
	body, err := config.Marshal(cfg)
	if err != nil {
		tc.t.Fatal(err)
	}
	if _, findings := config.Parse(body, "test"); findings.Err() != nil {
		tc.t.Fatalf("the test's configuration is invalid:\n%v", findings)
	}
	ctx := context.Background()
	if err := tc.store.CreateObject(ctx, fmt.Sprintf("config/%d", cfg.Version), body); err != nil {
		tc.t.Fatal(err)
	}
	row, _ := tc.store.Get(ctx, "config/head")
	head, err := json.Marshal(controller.ConfigHead{Version: cfg.Version})
	if err != nil {
		tc.t.Fatal(err)
	}
	if _, err := tc.store.Put(ctx, "config/head", head, row.Revision, fmt.Sprint(cfg.Version)); err != nil {
		tc.t.Fatal(err)
	}
}

func (tc *testCluster) startController(l net.Listener) {
	tc.stopController = tc.startControllerOf("catania", l)
}

// startControllerOf starts the controller of a cell and returns a function that stops it without a shutdown, as the loss of
// its VM would.
func (tc *testCluster) startControllerOf(cell string, l net.Listener) func() {
	options := controller.Options{
		VM: "vm-c-" + cell, Cell: cell, Region: cell, Domain: cell + "-a", Address: l.Addr().String(), Incarnation: 1,
		Log: tc.log, Parse: config.Parse,
	}
	for _, p := range tc.peers {
		if p.Controller != "" && p.Cell != cell {
			options.Peers = append(options.Peers, controller.Peer{VM: p.VM, Cell: p.Cell, Address: p.Controller})
		}
	}
	client := peer.NewClient(options.VM)
	c := controller.NewController(options, clock.Boottime{}, tc.store, client, tally.NoopScope)
	server := peer.NewServer(options.VM)
	c.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	go func() { _ = server.Serve(l) }()
	stop := sync.OnceFunc(func() {
		cancel()
		client.Close()
		ended, cancelShutdown := context.WithCancel(context.Background())
		cancelShutdown()
		_ = server.Shutdown(ended)
	})
	tc.t.Cleanup(stop)
	return stop
}

// start starts the i-th router.
func (tc *testCluster) start(i int) *node {
	return tc.startInCell("catania", []string{"catania-a", "catania-b"}[i%2], tc.peers[i+1])
}

func (tc *testCluster) startInCell(cell, domain string, own settings.Peer) *node {
	s := settings.Router{
		Identity:     settings.Identity{VM: own.VM, Cell: cell, Region: cell, Domain: domain},
		CallerListen: "127.0.0.1:0",
		PeerListen:   own.Router,
		AdminListen:  "127.0.0.1:0",
		Peers:        tc.peers,
		Drain:        settings.Drain{BalancerLagMillis: 200, TimeoutMillis: 10_000},
	}
	return startRouter(tc.t, s, tc.log)
}

func startRouter(t testing.TB, s settings.Router, log *event.Logger) *node {
	t.Helper()
	registry := metric.NewRegistry("test")
	r, err := New(Options{Settings: s, Clock: clock.Boottime{}, Log: log, Metrics: registry})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Router: r, stop: cancel, done: make(chan error, 1)}
	go func() { n.done <- r.Run(ctx) }()
	t.Cleanup(func() {
		n.kill()
		_ = registry.Close()
	})
	return n
}

// kill stops a router without a graceful shutdown, as the loss of its VM would.
func (n *node) kill() {
	n.abort()
	_ = n.callerServer.Close()
	_ = n.adminServer.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.peerServer.Shutdown(ended)
	n.stop()
}

func (n *node) url(path string) string {
	return "http://" + n.CallerAddress() + path
}

// eventually waits for a condition and fails the test after waitTimeout.
func (tc *testCluster) eventually(what string, condition func() bool) {
	tc.t.Helper()
	waitFor(tc.t, what, condition, func() string { return "" })
}

func waitFor(t testing.TB, what string, condition func() bool, details func() string) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s %s", what, details())
		}
	}
}

// allAssigned reports whether every router knows gateways for all groups of the cell and owners for all slices, and whether
// all groups serve.
func (tc *testCluster) allAssigned() bool {
	for _, n := range tc.routers {
		v := n.Agent().View()
		if v == nil || v.Tables["catania"] == nil || len(v.Tables["catania"].Slices) == 0 {
			return false
		}
		for _, g := range v.Tables["catania"].Groups {
			if g.Gateway == "" {
				return false
			}
		}
		for _, s := range v.Tables["catania"].Slices {
			if s.Owner == "" {
				return false
			}
		}
	}
	return tc.serving()
}

// gatewaysInOwnDomain reports whether the gateway of every group of the cell is a router in the group's own domain, so that no
// group is about to be moved. Routers are assigned to the two domains alternately.
func (tc *testCluster) gatewaysInOwnDomain() bool {
	domains := []string{"catania-a", "catania-b"}
	for _, n := range tc.routers {
		for _, g := range n.Agent().View().Tables["catania"].Groups {
			at := slices.IndexFunc(tc.peers[1:], func(p settings.Peer) bool { return p.VM == g.Gateway })
			if at < 0 || domains[at%2] != g.ID.Domain() {
				return false
			}
		}
	}
	return tc.allAssigned()
}

// serving reports whether every group responds through every router.
func (tc *testCluster) serving() bool {
	for _, n := range tc.routers {
		for i := range 8 {
			for _, path := range []string{"/stato/", "/archivio/", "/ordini/"} {
				if !tc.probe(n.url(path + fmt.Sprint(i))) {
					return false
				}
			}
		}
	}
	return true
}

// probes numbers the probes, so that each has its own idempotency key and body.
var probes atomic.Int64

func (tc *testCluster) probe(url string) bool {
	id := fmt.Sprintf("probe-%d", probes.Add(1))
	r, err := http.NewRequest("POST", url, strings.NewReader(id))
	if err != nil {
		tc.t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", id)
	began := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		tc.lastFailure = err.Error()
		return false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		tc.lastFailure = fmt.Sprintf("%s after %v: %d %s %v", url, time.Since(began), response.StatusCode, body, err)
		if os.Getenv("BL_LOG") != "" {
			tc.t.Log(time.Now(), tc.lastFailure)
		}
		return false
	}
	return true
}

func discardBody(r *http.Response) int {
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

// gatewayOf returns the index of the router that is the gateway of a group, or -1.
func (tc *testCluster) gatewayOf(group topology.GroupID) int {
	v := tc.routers[0].Agent().View()
	g, _ := v.Tables["catania"].Group(group)
	for i := range tc.routers {
		if g != nil && g.Gateway == fmt.Sprintf("vm-%d", i) {
			return i
		}
	}
	return -1
}

func send(t testing.TB, method, url, body string, headers ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

var _ agent.Transport = (*peer.Client)(nil)

// owner returns the target that owns a key of the pool stato.
func (tc *testCluster) owner(key string) string {
	table := tc.routers[0].Agent().View().Tables["catania"]
	slice, ok := table.Slice("stato", topology.KeyHash("stato", "", key))
	if !ok {
		return ""
	}
	return slice.Owner
}
