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

const worldTimeout = 20 * time.Second

// world is a cell with a controller, routers and targets on loopback, and a store in memory.
type world struct {
	t       testing.TB
	store   *memstore.Store
	cfg     *config.Config
	peers   []settings.Peer
	routers []*node
	log     *event.Logger
	// stopController ends the controller as a lost VM does.
	stopController func()
	// lastFailure is the last answer of a probe that failed.
	lastFailure string
	// hits counts the requests that reached targets.
	hits atomic.Int64
}

// node is a running router.
type node struct {
	*Router
	stop context.CancelFunc
	done chan error
}

// handlerFunc handles a request at a target.
type handlerFunc func(w http.ResponseWriter, r *http.Request)

// echo answers with the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(r.ContentLength))
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, r.Body)
}

func newWorld(t testing.TB, routers int, h handlerFunc) *world {
	t.Helper()
	w := &world{t: t, store: memstore.New(), log: event.Discard()}
	if os.Getenv("BL_LOG") != "" {
		w.log = event.NewLogger(os.Stderr, event.ProcessStarted.Level)
	}
	w.cfg = w.config(h)
	w.apply(w.cfg)
	listener := w.listen()
	w.peers = []settings.Peer{{VM: "vm-c-catania", Controller: listener.Addr().String(), Cell: "catania"}}
	w.controller(listener)
	for i := range routers {
		w.peers = append(w.peers, settings.Peer{VM: fmt.Sprintf("vm-%d", i), Router: w.freeAddress(), Cell: "catania"})
	}
	for i := range routers {
		w.routers = append(w.routers, w.start(i))
	}
	waitFor(t, "every group has a gateway that serves it", w.settled, func() string { return w.lastFailure })
	return w
}

func (w *world) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	return l
}

// addresses counts the addresses handed out by freeAddress.
var addresses atomic.Uint32

// freeAddress returns an address that is free now and stays so: its host is used by this test process only, and its port
// isn't in the range of outgoing connections. A port that was free a moment ago was taken by other tests.
func (w *world) freeAddress() string {
	const port = 20073
	pid := os.Getpid()
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 100+pid%100, pid/100%256, 1+n%250, port+n/250)
}

// target starts a target; its service paths are handled by h.
func (w *world) target(h handlerFunc) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, `{"status": "ok"}`)
	})
	mux.HandleFunc("GET /load", func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(rw, `{"in_flight": 0, "slots": 64}`)
	})
	mux.HandleFunc("/", func(rw http.ResponseWriter, r *http.Request) {
		w.hits.Add(1)
		rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		h(rw, r)
	})
	l := w.listen()
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	w.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func (w *world) config(h handlerFunc) *config.Config {
	pool := func(name string) config.Pool {
		return config.Pool{
			Name: name, Slots: 64, Connections: 128, ColdConcurrency: 64, QueueLimit: 1000, MaxDeadline: 3_000, RepeatWindow: 60_000,
			Targets: []config.Target{
				{ID: name + "-1", Address: w.target(h), Domain: "catania-a"},
				{ID: name + "-2", Address: w.target(h), Domain: "catania-b"},
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
	bound := route("archivio", "/palermo", true)
	bound.Name, bound.HomeRegions = "palermo", []string{"palermo"}
	elsewhere := pool("archivio")
	elsewhere.Targets = append(elsewhere.Targets, config.Target{ID: "archivio-3", Address: "127.0.0.1:9", Domain: "palermo-a"})
	return &config.Config{
		Version: 1,
		Regions: []config.Region{
			{Name: "catania", Domains: []string{"catania-a", "catania-b"}, CallerURL: "https://catania.example"},
			{Name: "palermo", Domains: []string{"palermo-a"}, CallerURL: "https://palermo.example"},
		},
		Pools:              []config.Pool{elsewhere, pool("ordini"), keyed},
		Routes:             []config.Route{route("archivio", "/archivio", true), bound, route("ordini", "/ordini", false), keyedRoute},
		LinkBytesPerSecond: 1 << 20,
	}
}

// apply writes a configuration to the store, as blctl does.
func (w *world) apply(cfg *config.Config) {
	w.t.Helper()
	body, err := config.Marshal(cfg)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, findings := config.Parse(body, "test"); findings.Err() != nil {
		w.t.Fatalf("the test's configuration is invalid:\n%v", findings)
	}
	ctx := context.Background()
	if err := w.store.CreateObject(ctx, fmt.Sprintf("config/%d", cfg.Version), body); err != nil {
		w.t.Fatal(err)
	}
	row, _ := w.store.Get(ctx, "config/head")
	head, err := json.Marshal(controller.ConfigHead{Version: cfg.Version})
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.store.Put(ctx, "config/head", head, row.Revision, fmt.Sprint(cfg.Version)); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) controller(l net.Listener) {
	w.stopController = w.controllerOf("catania", l)
}

// controllerOf runs the controller of a cell and returns what ends it as a lost VM does.
func (w *world) controllerOf(cell string, l net.Listener) func() {
	options := controller.Options{
		VM: "vm-c-" + cell, Cell: cell, Region: cell, Domain: cell + "-a", Address: l.Addr().String(), Incarnation: 1,
		Log: w.log, Parse: config.Parse,
	}
	for _, p := range w.peers {
		if p.Controller != "" && p.Cell != cell {
			options.Peers = append(options.Peers, controller.Peer{VM: p.VM, Cell: p.Cell, Address: p.Controller})
		}
	}
	client := peer.NewClient(options.VM)
	c := controller.NewController(options, clock.Boottime{}, w.store, client, tally.NoopScope)
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
	w.t.Cleanup(stop)
	return stop
}

// start runs the i-th router.
func (w *world) start(i int) *node {
	return w.startIn("catania", []string{"catania-a", "catania-b"}[i%2], w.peers[i+1])
}

func (w *world) startIn(cell, domain string, own settings.Peer) *node {
	s := settings.Router{
		Identity:     settings.Identity{VM: own.VM, Cell: cell, Region: cell, Domain: domain},
		CallerListen: "127.0.0.1:0",
		PeerListen:   own.Router,
		AdminListen:  "127.0.0.1:0",
		Peers:        w.peers,
		Drain:        settings.Drain{BalancerLagMillis: 200, TimeoutMillis: 10_000},
	}
	return startRouter(w.t, s, w.log)
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

// kill ends a router as a lost VM does.
func (n *node) kill() {
	n.abort()
	_ = n.http.Close()
	_ = n.admin.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.peers.Shutdown(ended)
	n.stop()
}

func (n *node) url(path string) string {
	return "http://" + n.CallerAddress() + path
}

// eventually waits for a condition.
func (w *world) eventually(what string, condition func() bool) {
	w.t.Helper()
	waitFor(w.t, what, condition, func() string { return "" })
}

func waitFor(t testing.TB, what string, condition func() bool, details func() string) {
	t.Helper()
	for deadline := time.Now().Add(worldTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s %s", what, details())
		}
	}
}

// settled tells whether every running router shows gateways for all groups of its cell and owners for all slices.
func (w *world) settled() bool {
	for _, n := range w.routers {
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
	return w.serving()
}

// placed tells whether every group of the cell is held by a router of its own domain, so that no group is about to be moved
// to a better place. Routers are numbered by turns over the two domains.
func (w *world) placed() bool {
	domains := []string{"catania-a", "catania-b"}
	for _, n := range w.routers {
		for _, g := range n.Agent().View().Tables["catania"].Groups {
			at := slices.IndexFunc(w.peers[1:], func(p settings.Peer) bool { return p.VM == g.Gateway })
			if at < 0 || domains[at%2] != g.ID.Domain() {
				return false
			}
		}
	}
	return w.settled()
}

// serving tells whether every group answers, through every router.
func (w *world) serving() bool {
	for _, n := range w.routers {
		for i := range 8 {
			for _, path := range []string{"/stato/", "/archivio/", "/ordini/"} {
				if !w.answers(n.url(path + fmt.Sprint(i))) {
					return false
				}
			}
		}
	}
	return true
}

// probes makes the orders of probes distinct.
var probes atomic.Int64

func (w *world) answers(url string) bool {
	id := fmt.Sprintf("probe-%d", probes.Add(1))
	r, err := http.NewRequest("POST", url, strings.NewReader(id))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", id)
	began := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		w.lastFailure = err.Error()
		return false
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		w.lastFailure = fmt.Sprintf("%s after %v: %d %s %v", url, time.Since(began), response.StatusCode, body, err)
		if os.Getenv("BL_LOG") != "" {
			w.t.Log(time.Now(), w.lastFailure)
		}
		return false
	}
	return true
}

func drop(r *http.Response) int {
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

// gatewayOf returns the index of the router that holds a group.
func (w *world) gatewayOf(group topology.GroupID) int {
	v := w.routers[0].Agent().View()
	g, _ := v.Tables["catania"].Group(group)
	for i := range w.routers {
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
func (w *world) owner(key string) string {
	table := w.routers[0].Agent().View().Tables["catania"]
	slice, ok := table.Slice("stato", topology.KeyHash("stato", "", key))
	if !ok {
		return ""
	}
	return slice.Owner
}
