// Package router assembles the blrouter process: the callers' HTTP server with the filter chain, the peer server, the
// gateway, the agent and the admin endpoints.
package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bronzelever/bronzelever/pkg/admin"
	"github.com/bronzelever/bronzelever/pkg/agent"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/filter/deadline"
	"github.com/bronzelever/bronzelever/pkg/filter/dispatch"
	"github.com/bronzelever/bronzelever/pkg/filter/fingerprint"
	"github.com/bronzelever/bronzelever/pkg/filter/idempotency"
	"github.com/bronzelever/bronzelever/pkg/filter/inputcheck"
	"github.com/bronzelever/bronzelever/pkg/filter/ready"
	"github.com/bronzelever/bronzelever/pkg/filter/region"
	"github.com/bronzelever/bronzelever/pkg/filter/requestid"
	"github.com/bronzelever/bronzelever/pkg/filter/route"
	"github.com/bronzelever/bronzelever/pkg/gateway"
	"github.com/bronzelever/bronzelever/pkg/metric"
	"github.com/bronzelever/bronzelever/pkg/peer"
	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// readHeaderTimeout limits only the request head, so that long uploads aren't cut off. The deadline of the route
	// limits the rest.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxHeaderBytes is above the limit of inputcheck, so that requests with too large a header reach inputcheck, which
	// responds with a problem document.
	maxHeaderBytes = 2 * inputcheck.MaxHeaderBytes
	// handoverDelay is how long the peer server keeps running after the groups have been released: a new gateway queries
	// it after its next heartbeat, and holders of claims refresh their mirrors every second.
	handoverDelay = 1500 * time.Millisecond
	// dumpTimeout limits how long a state dump waits for the agent's part.
	dumpTimeout = time.Second
)

// ErrDrainTimeout is returned if a graceful shutdown timed out while exchanges were in flight.
var ErrDrainTimeout = errors.New("graceful shutdown timed out with exchanges in flight")

// Gateway serves the groups whose gateway is this router.
type Gateway interface {
	exchange.Handler
	exchange.LocalGateway
}

// Options are the settings and dependencies of a Router.
type Options struct {
	Settings settings.Router
	Clock    clock.Clock
	Log      *event.Logger
	Metrics  *metric.Registry
	// NewGateway creates the gateway. If it is nil, the router uses the implementation of pkg/gateway.
	NewGateway func(r *Router) Gateway
}

// Router is one blrouter process.
type Router struct {
	options      Options
	incarnation  wire.Incarnation
	agent        *agent.Agent
	gateway      Gateway
	peerClient   *peer.Client
	peerServer   *peer.Server
	callerServer *http.Server
	adminServer  *http.Server
	draining     atomic.Bool
	// runCtx ends when Run returns; abort cancels it without a graceful shutdown.
	runCtx context.Context
	abort  context.CancelFunc

	callerListener, peerListener, adminListener net.Listener
}

// New opens the listeners and creates the components of the router. Run starts them.
func New(o Options) (*Router, error) {
	r := &Router{options: o, incarnation: agent.NewIncarnation()}
	r.runCtx, r.abort = context.WithCancel(context.Background())
	if err := r.listen(); err != nil {
		return nil, err
	}
	s := &o.Settings
	r.peerClient = peer.NewClient(s.VM)
	r.peerServer = peer.NewServer(s.VM)
	localGateway := &lateGateway{}
	r.agent = agent.New(agent.Options{
		Cell:       s.Cell,
		Self:       r.member(),
		Controller: localController(s),
		Peers:      peersFromSettings(s),
		Clock:      o.Clock,
		Transport:  r.peerClient,
		Gateway:    localGateway,
		Log:        o.Log,
	})
	if o.NewGateway == nil {
		o.NewGateway = newGateway
	}
	r.gateway = o.NewGateway(r)
	localGateway.LocalGateway = r.gateway
	r.agent.Register(r.peerServer)
	r.peerServer.HandleRequests(region.NewGuard(s.Region, r.agent, dispatch.NewGuard(r.agent, r.gateway)))
	if g, ok := r.gateway.(registrar); ok {
		g.Register(r.peerServer)
	}
	r.callerServer = r.newCallerServer()
	r.adminServer = &http.Server{
		Handler:           admin.NewHandler(adminSource{r}, o.Metrics.Handler()),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          o.Log.HTTPLog(),
	}
	return r, nil
}

// registrar is implemented by gateways that handle calls from other routers' gateways.
type registrar interface {
	Register(s gateway.CallServer)
}

// lateGateway is a placeholder for the gateway, which is set after the agent has been created. It breaks the dependency
// cycle between the agent, which needs the gateway, and the gateway, which needs the agent's authority.
type lateGateway struct {
	exchange.LocalGateway
}

func (r *Router) listen() error {
	s := &r.options.Settings
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{s.CallerListen, &r.callerListener},
		{s.PeerListen, &r.peerListener},
		{s.AdminListen, &r.adminListener},
	} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			r.closeListeners()
			return fmt.Errorf("listening: %w", err)
		}
		*l.listener = opened
	}
	return nil
}

func (r *Router) closeListeners() {
	for _, l := range []net.Listener{r.callerListener, r.peerListener, r.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// CallerAddress returns the address of the callers' listener.
func (r *Router) CallerAddress() string {
	return r.callerListener.Addr().String()
}

// PeerAddress returns the address of the listener for peers.
func (r *Router) PeerAddress() string {
	return r.peerListener.Addr().String()
}

// AdminAddress returns the address of the admin endpoints.
func (r *Router) AdminAddress() string {
	return r.adminListener.Addr().String()
}

// Agent returns the agent, which is the router's part of the control plane.
func (r *Router) Agent() *agent.Agent {
	return r.agent
}

func (r *Router) member() wire.Member {
	s := &r.options.Settings
	return wire.Member{VM: s.VM, Incarnation: r.incarnation, Address: r.PeerAddress(), Domain: s.Domain}
}

func (r *Router) newCallerServer() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           newCallerHandler(r.chain(), r.options.Log, &r.draining, r.options.Metrics.Scope()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		ErrorLog:          r.options.Log.HTTPLog(),
	}
}

// chain returns the filter chain. The region filter precedes every filter that reads a request body.
func (r *Router) chain() filter.Next {
	return filter.Chain(
		requestid.New(),
		ready.New(r.options.Clock, r.agent.EntryAuthority(), r.agent),
		route.New(),
		region.New(r.options.Settings.Region),
		inputcheck.New(),
		deadline.New(),
		idempotency.New(),
		fingerprint.New(),
		dispatch.New(dispatch.Options{
			Region: r.options.Settings.Region,
			Tables: r.agent,
			Local:  r.gateway,
			Remote: r.peerClient.Handler,
			Clock:  r.options.Clock,
			Scope:  r.options.Metrics.Scope(),
		}),
	)
}

// Run serves until the context is done, then shuts down gracefully. It returns nil if the shutdown completed in time,
// ErrDrainTimeout if it didn't, and the cause if a listener fails.
func (r *Router) Run(ctx context.Context) error {
	runCtx := r.runCtx
	defer r.abort()
	failed := make(chan error, 3)
	serve := func(f func() error) {
		go func() {
			if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	go r.agent.Run(runCtx)
	go r.pollVMList(runCtx)
	serve(func() error { return r.peerServer.Serve(r.peerListener) })
	serve(func() error { return r.adminServer.Serve(r.adminListener) })
	serve(func() error { return r.callerServer.Serve(r.callerListener) })
	r.options.Log.Emit(event.RouterListening, "callers", r.CallerAddress(), "peers", r.PeerAddress(), "admin", r.AdminAddress())
	select {
	case <-ctx.Done():
	case err := <-failed:
		r.options.Log.Emit(event.ListenerFailed, "error", err.Error())
		r.closeListeners()
		return err
	}
	return r.drain(runCtx)
}

// drain shuts down without aborting requests in flight. The readiness check fails first, and the groups are handed over
// while the balancer still sends callers here; meanwhile every response closes its connection. Then the callers' listener
// closes, and after it the peer server, which exchanges of the released groups and claims of other routers still use.
func (r *Router) drain(runCtx context.Context) error {
	s := &r.options.Settings.Drain
	r.options.Log.Emit(event.ProcessDraining)
	r.draining.Store(true)
	leaveResult := make(chan error, 1)
	total := time.Duration(s.BalancerLagMillis+s.TimeoutMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(runCtx, total)
	defer cancel()
	// Without a controller no router takes over the groups; half of the time is reserved for the exchanges in flight.
	leaveCtx, cancelLeave := context.WithTimeout(ctx, total/2)
	defer cancelLeave()
	go func() { leaveResult <- r.agent.Leave(leaveCtx) }()
	select {
	case <-r.options.Clock.After(time.Duration(s.BalancerLagMillis) * time.Millisecond):
	case <-ctx.Done():
	}
	r.logDrainStep("callers")
	err := r.callerServer.Shutdown(ctx)
	r.logDrainStep("groups")
	if leaveErr := <-leaveResult; leaveErr != nil {
		r.options.Log.Emit(event.RouterDrainStep, "step", "groups not taken over", "error", leaveErr.Error())
	}
	err = errors.Join(err, r.gateway.Release(ctx))
	r.logDrainStep("peers")
	// The new gateways query this one whether its requests have ended, and gateways whose claims it mirrors choose
	// another mirror.
	delay := handoverDelay
	if deadline, ok := ctx.Deadline(); ok {
		delay = min(delay, time.Until(deadline)/2)
	}
	select {
	case <-r.options.Clock.After(delay):
	case <-ctx.Done():
	}
	err = errors.Join(err, r.peerServer.Shutdown(ctx))
	r.peerClient.Close()
	err = errors.Join(err, r.adminServer.Shutdown(ctx))
	if err != nil {
		r.options.Log.Emit(event.RouterDrainFailed, "error", err.Error())
		_ = r.callerServer.Close()
		return ErrDrainTimeout
	}
	r.options.Log.Emit(event.ProcessStopped)
	return nil
}

func (r *Router) logDrainStep(name string) {
	r.options.Log.Emit(event.RouterDrainStep, "step", name)
}

// adminSource provides the data of the admin endpoints.
type adminSource struct {
	r *Router
}

var (
	errDraining    = errors.New("draining")
	errNoConfig    = errors.New("no configuration")
	errNoAuthority = errors.New("no authority")
)

// Ready implements admin.Source.
func (s adminSource) Ready() error {
	switch {
	case s.r.draining.Load():
		return errDraining
	case s.r.agent.View() == nil:
		return errNoConfig
	case s.r.options.Clock.Now() >= s.r.agent.EntryAuthority().ValidUntil():
		return errNoAuthority
	}
	return nil
}

// Dump is the state dump of a router.
type Dump struct {
	VM          string           `json:"vm"`
	Cell        string           `json:"cell"`
	Incarnation wire.Incarnation `json:"incarnation"`
	Draining    bool             `json:"draining"`
	Agent       any              `json:"agent"`
	Gateway     any              `json:"gateway,omitempty"`
}

// dumper is implemented by gateways that provide a state dump.
type dumper interface {
	Dump() any
}

// Dump implements admin.Source.
func (s adminSource) Dump() any {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	d := Dump{
		VM:          s.r.options.Settings.VM,
		Cell:        s.r.options.Settings.Cell,
		Incarnation: s.r.incarnation,
		Draining:    s.r.draining.Load(),
		Agent:       s.r.agent.Dump(ctx),
	}
	if g, ok := s.r.gateway.(dumper); ok {
		d.Gateway = g.Dump()
	}
	return d
}
