package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/ingress"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/metric"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

const (
	// heldBodiesShare is the part of the memory that callers' bodies may take.
	heldBodiesShare = 0.25
	// heldAnswersShare is the part of the memory that targets' answers may take.
	heldAnswersShare = 0.15
	// memoryShare is the part of the memory at which the garbage collector works harder.
	memoryShare = 0.7
	// headerTimeout bounds the reading of a request's head; no configuration permits more than a few seconds.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request's head before a configuration is known.
	maxHeaderBytes = 64 << 10
	// acceptAfterStop is how long new connections are accepted after the request to stop. The balancer polls the readiness
	// once a second and takes a VM out after two misses.
	acceptAfterStop = 3 * time.Second
	// stopReserve is kept of the grace period, so that the process ends by itself.
	stopReserve = 600 * time.Millisecond
	// lastAnswers is the time for the last answers to be written before that.
	lastAnswers = 300 * time.Millisecond
	// idleSlack is added to the callers' idle time-out before a connection is closed.
	idleSlack = time.Second
	// idleSweep is the time between searches for idle connections.
	idleSweep = time.Second
)

// Protocol is what the platform's adapter provides.
type Protocol interface {
	ingress.Dialect
	keygrant.Dialect
}

// Options are what a process works with.
type Options struct {
	Settings  Settings
	Store     rowstore.Store
	Decoder   Decoder
	Tables    Tables
	Protocol  Protocol
	ReadyPath string
	Log       *event.Logger
	// Reload is called when the settings may have changed; nil channel if they can't.
	Reload <-chan struct{}
	// CheckSettings reads the settings again.
	CheckSettings func() error
}

// process is the running entry VM.
type process struct {
	Options
	control  *Control
	handler  *ingress.Handler
	callers  *http.Server
	idle     idleConns
	stopping chan struct{}
}

// Run serves until the context ends, then shuts down gracefully.
func Run(ctx context.Context, o Options) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(o.Settings.MemoryBytes) * memoryShare))
	registry := metric.NewRegistry("bronzelever")
	defer func() { _ = registry.Close() }()
	p := newProcess(o, registry)
	listeners, err := listen(o.Settings)
	if err != nil {
		return err
	}
	o.Log.Emit(event.EntryListening, "callers", o.Settings.ListenCallers, "ready", o.Settings.ListenReady,
		"relay", listeners.relay.Addr().String(), "region", o.Settings.Region, "domain", o.Settings.Domain)
	running, end := context.WithCancel(context.Background())
	defer end()
	var group sync.WaitGroup
	group.Go(func() { p.control.Run(running, listeners.relay) })
	p.serveInternal(listeners, registry)
	failed := make(chan error, 1)
	go func() { failed <- p.callers.Serve(listeners.callers) }()
	go p.watch(running)
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	p.shutDown()
	end()
	group.Wait()
	o.Log.Emit(event.EntryStopped)
	return nil
}

func newProcess(o Options, registry *metric.Registry) *process {
	suspects := quarantine.NewTracker()
	localBudget := placing.NewLocalBudget(o.Settings.RepeatRatio, o.Settings.RepeatExtra, o.Settings.RepeatWindow)
	balancer := placing.NewBalancer(o.Settings.Domain, o.Settings.Region, o.Settings.RegionOf)
	p := &process{Options: o, stopping: make(chan struct{}), idle: idleConns{since: map[net.Conn]time.Time{}}}
	p.control = NewControl(ControlOptions{
		Settings: o.Settings, Store: o.Store, Decoder: o.Decoder, Tables: o.Tables, Grants: keygrant.NewClient(o.Protocol),
		Clock: clock.Boottime{}, Log: o.Log, Balancer: balancer, Suspects: suspects,
		Budget:      placing.NewBrokerBudget(o.Settings.RepeatRatio, o.Settings.RepeatExtra, o.Settings.RepeatWindow),
		LocalBudget: localBudget,
		Incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		OnView:      func(s *inventory.Snapshot) { p.handler.Retain(s) },
	})
	p.handler = ingress.NewHandler(ingress.Options{
		Dialect: o.Protocol, Knowledge: p.control, Placer: p.control.placer, Balancer: balancer,
		Budget: localBudget, Suspects: suspects,
		Clock: clock.Boottime{}, Log: o.Log, Metrics: ingress.NewMetrics(registry.Scope()), RegionOf: o.Settings.RegionOf,
		MaxHeldBodies:  int64(float64(o.Settings.MemoryBytes) * heldBodiesShare),
		MaxHeldAnswers: int64(float64(o.Settings.MemoryBytes) * heldAnswersShare),
	})
	p.callers = &http.Server{
		Handler: p.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: o.Log.HTTPLog(),
		ConnState: p.idle.note,
	}
	return p
}

// listeners are the sockets of a process.
type listeners struct {
	callers, ready, relay, metrics net.Listener
}

func listen(s Settings) (*listeners, error) {
	var l listeners
	addresses := []struct {
		to      *net.Listener
		address string
	}{
		{&l.callers, s.ListenCallers}, {&l.ready, s.ListenReady},
		{&l.relay, net.JoinHostPort(s.IP, fmt.Sprint(s.FirstPort))},
		{&l.metrics, net.JoinHostPort(s.IP, fmt.Sprint(s.FirstPort+1))},
	}
	for _, a := range addresses {
		opened, err := net.Listen("tcp", a.address)
		if err != nil {
			return nil, err
		}
		*a.to = opened
	}
	return &l, nil
}

// serveInternal serves readiness, metrics, the dump and profiles.
func (p *process) serveInternal(l *listeners, registry *metric.Registry) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+p.ReadyPath, p.serveReady)
	internal := http.NewServeMux()
	internal.Handle("GET /metrics", registry.Handler())
	internal.HandleFunc("GET /dump", p.serveDump)
	internal.HandleFunc("GET /debug/pprof/", pprof.Index)
	internal.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	for listener, mux := range map[net.Listener]*http.ServeMux{l.ready: ready, l.metrics: internal} {
		server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: p.Log.HTTPLog()}
		go func() {
			if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
				p.Log.Emit(event.MetricsFailed, "error", err.Error())
			}
		}()
	}
}

// ready tells whether this VM can route every request of its configuration.
func (p *process) ready() bool {
	select {
	case <-p.stopping:
		return false
	default:
	}
	view := p.control.Current()
	if view.Snapshot == nil || view.Snapshot.Configuration == nil {
		return false
	}
	for name, pool := range view.Snapshot.Configuration.Pools {
		if pool.Keyed && len(view.Routes[name]) == 0 {
			return false
		}
	}
	return true
}

func (p *process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// watch closes idle connections and notes changes of the settings.
func (p *process) watch(ctx context.Context) {
	ticker := time.NewTicker(idleSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Reload:
			p.reload()
		case <-ticker.C:
			if s := p.control.Current().Snapshot; s != nil && s.Configuration != nil && s.Configuration.Limits.IdleTimeout > 0 {
				p.idle.sweep(s.Configuration.Limits.IdleTimeout + idleSlack)
			}
		}
	}
}

// reload checks the changed settings. All of them are fixed while the process runs, so the next start uses them.
func (p *process) reload() {
	if err := p.CheckSettings(); err != nil {
		p.Log.Emit(event.SettingsRejected, "error", err.Error())
		return
	}
	p.Log.Emit(event.SettingsReloaded)
}

// shutDown ends the process without cutting a request: first the balancer sends nothing new, then connections that become
// idle are closed, and requests in progress are awaited.
func (p *process) shutDown() {
	begun := time.Now()
	p.Log.Emit(event.EntryStopping, "grace_ms", p.Settings.ShutdownGrace.Milliseconds())
	close(p.stopping)
	end := begun.Add(p.Settings.ShutdownGrace - stopReserve)
	p.handler.Stopping(end.Add(-lastAnswers))
	p.control.Stop(acceptAfterStop)
	time.Sleep(time.Until(begun.Add(acceptAfterStop)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := p.callers.Shutdown(ctx); err != nil {
		p.Log.Emit(event.RouterDrainFailed, "error", err.Error())
	}
}

// idleConns tracks callers' connections without a request.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func (i *idleConns) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// sweep closes connections that have been idle for too long.
func (i *idleConns) sweep(bound time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if time.Since(since) > bound {
			_ = c.Close()
			delete(i.since, c)
		}
	}
}
