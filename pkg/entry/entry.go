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
	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/metric"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

const (
	// requestBodyMemoryShare is the share of MemoryBytes that request bodies of callers may take.
	requestBodyMemoryShare = 0.25
	// responseMemoryShare is the share of MemoryBytes that responses of targets may take.
	responseMemoryShare = 0.15
	// memoryLimitShare is the share of MemoryBytes that is set as the soft limit of the garbage collector, above which
	// it runs more often.
	memoryLimitShare = 0.7
	// HeaderTimeout limits the time for reading request headers. No configuration permits more than a few seconds.
	HeaderTimeout = 5 * time.Second
	// MaxHeaderBytes limits the size of request headers before a configuration is known.
	MaxHeaderBytes = 64 << 10
	// drainAcceptTime is how long connections and requests are accepted after the request to stop, at most half of the grace period. The
	// load balancer polls readiness once per second and removes a VM after two failed polls.
	drainAcceptTime = 3 * time.Second
	// shutdownReserve is the part of the grace period that is kept in reserve, so that the process exits before it is
	// killed.
	shutdownReserve = 600 * time.Millisecond
	// responseFlushTime is the time that is left for writing the last responses before the reserve begins.
	responseFlushTime = 300 * time.Millisecond
	// idleTimeoutSlack is added to the idle timeout of callers before a connection is closed.
	idleTimeoutSlack = time.Second
	// idleSweepInterval is the time between searches for idle connections.
	idleSweepInterval = time.Second
	// interRegionLogInterval is the time between log lines with the bytes sent to and received from other regions.
	interRegionLogInterval = 5 * time.Second
)

// Protocol is implemented by the adapter of the platform.
type Protocol interface {
	ingress.Dialect
	keygrant.Dialect
}

// Options holds the settings and dependencies of a process.
type Options struct {
	Settings  Settings
	Store     rowstore.Store
	Decoder   Decoder
	Tables    Tables
	Protocol  Protocol
	ReadyPath string
	Log       *event.Logger
	// Reload receives a value when the settings may have changed. It is nil if they can't change.
	Reload <-chan struct{}
	// InterRegion counts the bytes between regions. The store's client adds those of its calls. If it is nil, Run uses one of its own.
	InterRegion *interregion.Counter
	// CheckSettings reads the settings again and returns an error if they are invalid.
	CheckSettings func() error
}

// process is the running process of an entry VM.
type process struct {
	Options
	control *Control
	handler *ingress.Handler
	hedger  *placing.Hedger
	callers *http.Server
	idle    idleConns
	quotas  quotaMetrics
	// interRegion are the metrics of InterRegion, which was last logged at interRegionLogged.
	interRegion       *interregion.Metrics
	interRegionLogged time.Time
	stopping          chan struct{}
	// callerListener accepts the connections of callers. served receives the error that ended serving them.
	callerListener net.Listener
	served         chan error
}

// Run serves until the context is done, then shuts down gracefully.
func Run(ctx context.Context, o Options) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(o.Settings.MemoryBytes) * memoryLimitShare))
	registry := metric.NewRegistry("bronzelever")
	defer func() { _ = registry.Close() }()
	p := newProcess(o, registry)
	listeners, err := listen(o.Settings)
	if err != nil {
		return err
	}
	o.Log.Emit(event.EntryListening, "callers", o.Settings.CallerListenAddress, "ready", o.Settings.ReadyListenAddress,
		"relay", listeners.relay.Addr().String(), "region", o.Settings.Region, "domain", o.Settings.Domain)
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	// Stop, on this goroutine, must not read the context while Run sets it.
	p.control.ctx = runCtx
	wg.Go(func() { p.control.Run(runCtx, listeners.relay) })
	p.serveInternal(listeners, registry)
	p.callerListener, p.served = listeners.callers, make(chan error, 1)
	go func() { p.served <- p.callers.Serve(p.handler.WrapListener(p.callerListener)) }()
	go p.watch(runCtx)
	select {
	case <-ctx.Done():
	case err := <-p.served:
		return err
	}
	p.shutDown()
	cancel()
	wg.Wait()
	o.Log.Emit(event.EntryStopped)
	return nil
}

func newProcess(o Options, registry *metric.Registry) *process {
	suspects, limits := quarantine.NewTracker(), ratelimit.NewTracker()
	localBudget := placing.NewLocalBudget(o.Settings.RetryRatio, o.Settings.RetryExtra, o.Settings.RetryWindow)
	balancer := placing.NewBalancer(o.Settings.Domain, o.Settings.Region, o.Settings.RegionOf)
	balancer.UseLimits(limits, o.Settings.VM)
	quota := sharedrate.NewHolder(time.Now().UnixNano(), o.Settings.quotaAllowance(), clock.Boottime{}.Now())
	if o.InterRegion == nil {
		o.InterRegion = &interregion.Counter{}
	}
	p := &process{Options: o, interRegion: interregion.NewMetrics(registry.Scope(), o.InterRegion), interRegionLogged: time.Now(),
		hedger: placing.NewHedger(o.Settings.HedgeExtraShare), stopping: make(chan struct{}), quotas: newQuotaMetrics(registry.Scope()),
		idle: idleConns{since: map[net.Conn]time.Time{}}}
	p.control = NewControl(ControlOptions{
		Settings: o.Settings, Store: o.Store, Decoder: o.Decoder, Tables: o.Tables, Grants: keygrant.NewClient(o.Protocol),
		Clock: clock.Boottime{}, Log: o.Log, Balancer: balancer, Suspects: suspects, Limits: limits,
		BrokerBudget: placing.NewBrokerBudget(o.Settings.RetryRatio, o.Settings.RetryExtra, o.Settings.RetryWindow),
		LocalBudget:  localBudget,
		Quota:        quota,
		InterRegion:  o.InterRegion,
		EraGauge:     registry.Scope().Gauge(storeEraMetric),
		StartupGauge: registry.Scope().Gauge(startupMetric),
		Incarnation:  strconv.FormatInt(time.Now().UnixNano(), 36),
		OnSnapshot:   func(s *inventory.Snapshot) { p.handler.PruneConnections(s) },
	})
	p.control.placer.broker.RecordForecastErrors(registry.Scope())
	p.control.placer.broker.CountCrossings(registry.Scope())
	p.control.placer.broker.SetValueAdmission(o.Settings.AdmitByValue)
	p.handler = ingress.NewHandler(ingress.Options{
		Dialect: o.Protocol, State: p.control, Placer: p.control.placer, Balancer: balancer,
		Budget: localBudget, Suspects: suspects, Limits: limits, Quota: quota, Hedger: p.hedger,
		Clock: clock.Boottime{}, Log: o.Log, Metrics: ingress.NewMetrics(registry.Scope()), RegionOf: o.Settings.RegionOf,
		Region: o.Settings.Region, InterRegion: o.InterRegion,
		ConfigurationAge:         p.control.ConfigurationAge,
		MaxConfigurationAge:      o.Settings.MaxConfigurationAge,
		MaxBufferedBodyBytes:     int64(float64(o.Settings.MemoryBytes) * requestBodyMemoryShare),
		MaxBufferedResponseBytes: int64(float64(o.Settings.MemoryBytes) * responseMemoryShare),
	})
	p.callers = &http.Server{
		Handler: p.handler, ReadHeaderTimeout: HeaderTimeout, MaxHeaderBytes: MaxHeaderBytes, ErrorLog: o.Log.HTTPLog(),
		ConnState: p.idle.track, ConnContext: p.handler.ConnContext,
	}
	return p
}

// listeners holds the listening sockets of a process.
type listeners struct {
	callers, ready, relay, metrics net.Listener
}

func listen(s Settings) (*listeners, error) {
	var l listeners
	addresses := []struct {
		to      *net.Listener
		address string
	}{
		{&l.callers, s.CallerListenAddress}, {&l.ready, s.ReadyListenAddress},
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

// serveInternal serves readiness, metrics, the state dump and profiles.
func (p *process) serveInternal(l *listeners, registry *metric.Registry) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+p.ReadyPath, p.serveReady)
	internal := http.NewServeMux()
	internal.Handle("GET /metrics", registry.Handler())
	internal.HandleFunc("GET /dump", p.serveDump)
	internal.HandleFunc("GET /debug/pprof/", pprof.Index)
	internal.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	for listener, mux := range map[net.Listener]*http.ServeMux{l.ready: ready, l.metrics: internal} {
		server := &http.Server{Handler: mux, ReadHeaderTimeout: HeaderTimeout, MaxHeaderBytes: MaxHeaderBytes, ErrorLog: p.Log.HTTPLog()}
		go func() {
			if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
				p.Log.Emit(event.MetricsFailed, "error", err.Error())
			}
		}()
	}
}

// ready reports whether this VM can route every request of its configuration.
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

// watch closes idle connections and handles changes of the settings until the context is done.
func (p *process) watch(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Reload:
			p.reload()
		case <-ticker.C:
			p.quotas.record(p.control.quotaDump(0))
			p.recordInterRegion()
			if s := p.control.Current().Snapshot; s != nil && s.Configuration != nil && s.Configuration.Limits.IdleTimeout > 0 {
				p.idle.sweep(s.Configuration.Limits.IdleTimeout + idleTimeoutSlack)
			}
		}
	}
}

// recordInterRegion updates the metrics of the bytes between regions, and logs them if the settings say so.
func (p *process) recordInterRegion() {
	p.interRegion.Record()
	if p.Settings.LogInterRegionBytes && time.Since(p.interRegionLogged) >= interRegionLogInterval {
		p.interRegionLogged = time.Now()
		p.Log.Emit(event.InterRegionBytes, p.InterRegion.Fields()...)
	}
}

// reload validates the changed settings. They take effect at the next start, because all settings are fixed while the
// process runs.
func (p *process) reload() {
	if err := p.CheckSettings(); err != nil {
		p.Log.Emit(event.SettingsRejected, "error", err.Error())
		return
	}
	p.Log.Emit(event.SettingsReloaded)
}

// shutDown ends the process without interrupting requests. The VM first reports that it isn't ready, so that the load
// balancer sends it no new connections. Then it takes no more requests, and those in progress are awaited until the reserve of the
// grace period begins.
func (p *process) shutDown() {
	started := time.Now()
	p.Log.Emit(event.EntryStopping, "grace_ms", p.Settings.ShutdownGrace.Milliseconds())
	close(p.stopping)
	deadline := started.Add(p.Settings.ShutdownGrace - shutdownReserve)
	acceptTime := min(drainAcceptTime, p.Settings.ShutdownGrace/2)
	p.handler.BeginShutdown(deadline.Add(-responseFlushTime))
	p.control.Stop(acceptTime)
	time.Sleep(time.Until(started.Add(acceptTime)))
	p.stopAccepting()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	// http.Server closes connections after their next response, even if requests behind it are being handled ahead.
	p.handler.AwaitAhead(ctx)
	if err := p.callers.Shutdown(ctx); err != nil {
		p.Log.Emit(event.RouterDrainFailed, "error", err.Error())
	}
	p.handler.AwaitCallers(ctx)
}

// stopAccepting ends the acceptance of connections and requests. A request that came later might not be answered before the process
// ends. http.Server.Shutdown does the same, but only after AwaitAhead.
func (p *process) stopAccepting() {
	p.handler.StopAccepting()
	if err := p.callerListener.Close(); err != nil {
		p.Log.Emit(event.RouterDrainFailed, "error", err.Error())
	}
	<-p.served
	p.idle.sweep(0)
}

// idleConns tracks the connections of callers that have no request in progress, including those that have carried none yet.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func (i *idleConns) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// sweep closes the connections that have been idle for the limit or longer.
func (i *idleConns) sweep(limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if time.Since(since) >= limit {
			_ = c.Close()
			delete(i.since, c)
		}
	}
}
