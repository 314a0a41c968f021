package target

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// DefaultRecordLimit is the number of executions that a record holds; about 0.7 MB.
const DefaultRecordLimit = 4096

// Target is a stand-in back end.
type Target struct {
	clock   clock.Clock
	started clock.Instant
	// exit ends the process when a request crashes it.
	exit func()
	gate gate

	mu       sync.Mutex
	settings Settings
	random   *rand.Rand
	grant    grant
	active   map[*execution]struct{}
	waiting  []*waiter
	// handedOver counts slots that were given to waiters which haven't started yet.
	handedOver int
	// offered counts requests that execute or wait.
	offered   int
	successes int
	log       *log
	orders    orders
	summary   Summary
	report    report
}

// New returns a target. exit is called when a request crashes the target.
func New(s Settings, recordLimit int, exit func()) *Target {
	c := clock.Boottime{}
	t := &Target{
		clock:   c,
		started: c.Now(),
		exit:    exit,
		random:  rand.New(rand.NewPCG(s.Seed, 0)),
		active:  map[*execution]struct{}{},
		log:     newLog(recordLimit),
		orders:  orders{runs: map[string]int{}},
	}
	t.Change(s)
	return t
}

// Settings returns the present settings.
func (t *Target) Settings() Settings {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settings
}

// Change replaces the settings. Settings.Cold is the present state: it ends by itself once enough requests have succeeded.
func (t *Target) Change(s Settings) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.change(s)
}

func (t *Target) change(s Settings) {
	if s.Cold && !t.settings.Cold {
		t.successes = 0
	}
	t.settings = s
	t.gate.set(s.Frozen)
	t.handOver()
}

// Handler serves the interface of the target, the services and the control interface.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /bronzelever/grants", t.putGrants)
	mux.HandleFunc("GET /health", t.getHealth)
	mux.HandleFunc("GET /load", t.getLoad)
	mux.HandleFunc("GET /status/{key}", t.getStatus)
	mux.HandleFunc("POST /orders", t.postOrder)
	mux.HandleFunc("POST /photos", t.postPhoto)
	mux.HandleFunc("POST /photos/{name}", t.postPhoto)
	mux.HandleFunc("GET /photos/{name}", t.getPhoto)
	t.handleControl(mux)
	return mux
}

// ControlHandler serves only the control interface, for a listener whose connections don't count.
func (t *Target) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	t.handleControl(mux)
	return mux
}

func (t *Target) handleControl(mux *http.ServeMux) {
	mux.HandleFunc("PUT /control", t.putControl)
	mux.HandleFunc("GET /control", t.getControl)
	mux.HandleFunc("GET /record", t.getRecord)
}

func (t *Target) putControl(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	merged, err := t.settings.merge(body)
	if err == nil {
		t.change(merged)
	}
	t.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.getControl(w, r)
}

func (t *Target) getControl(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.Settings())
}

func (t *Target) hasMarker(s string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.settings.CrashMarker != "" && strings.Contains(s, t.settings.CrashMarker)
}

// waitThawed waits while the target is frozen. It returns false if the client went away first.
func (t *Target) waitThawed(r *http.Request) bool {
	t.gate.wait()
	return r.Context().Err() == nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client is gone.
	_ = json.NewEncoder(w).Encode(v)
}

// gate blocks its callers while it is shut.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shut == (g.open != nil) {
		return
	}
	if shut {
		g.open = make(chan struct{})
		return
	}
	close(g.open)
	g.open = nil
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if open != nil {
		<-open
	}
}
