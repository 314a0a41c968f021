// Package router wires the processes' parts together: the callers' HTTP server with the filter chain, the peer server, the
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
	// readHeaderTimeout bounds the head of a request only, so that long uploads pass. The deadline of the route bounds
	// the rest.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxHeaderBytes leaves net/http room above the bound of inputcheck, which answers with a problem document.
	maxHeaderBytes = 2 * inputcheck.MaxHeaderBytes
	// handoverLinger is how long the peer server goes on after the groups have been released: a new gateway asks after
	// its next heartbeat, and holders of claims refresh their mirrors every second.
	handoverLinger = 1500 * time.Millisecond
	// dumpTimeout bounds the wait for a part of the state dump.
	dumpTimeout = time.Second
)

// ErrDrainTimeout means that a graceful shutdown ended while exchanges were in flight.
var ErrDrainTimeout = errors.New("graceful shutdown timed out with exchanges in flight")

// Gateway serves the groups that the router holds.
type Gateway interface {
	exchange.Handler
	exchange.LocalGateway
}

// Options are what the router needs beside its settings.
type Options struct {
	Settings settings.Router
	Clock    clock.Clock
	Log      *event.Logger
	Metrics  *metric.Registry
	// NewGateway builds the gateway; nil builds that of pkg/gateway.
	NewGateway func(r *Router) Gateway
}

// Router is one blrouter process.
type Router struct {
	o           Options
	incarnation wire.Incarnation
	agent       *agent.Agent
	gateway     Gateway
	client      *peer.Client
	peers       *peer.Server
	http        *http.Server
	admin       *http.Server
	draining    atomic.Bool
	// running ends with the process; abort ends it without a graceful shutdown.
	running context.Context
	abort   context.CancelFunc

	callerListener, peerListener, adminListener net.Listener
}

// New opens the listeners and builds the parts. Run starts them.
func New(o Options) (*Router, error) {
	r := &Router{o: o, incarnation: agent.NewIncarnation()}
	r.running, r.abort = context.WithCancel(context.Background())
	if err := r.listen(); err != nil {
		return nil, err
	}
	s := &o.Settings
	r.client = peer.NewClient(s.VM)
	r.peers = peer.NewServer(s.VM)
	holdings := &lateHoldings{}
	r.agent = agent.New(agent.Options{
		Cell:       s.Cell,
		Self:       r.member(),
		Controller: ownController(s),
		Peers:      settingsPeers(s),
		Clock:      o.Clock,
		Transport:  r.client,
		Gateway:    holdings,
		Log:        o.Log,
	})
	if o.NewGateway == nil {
		o.NewGateway = newGateway
	}
	r.gateway = o.NewGateway(r)
	holdings.LocalGateway = r.gateway
	r.agent.Register(r.peers)
	r.peers.HandleRequests(region.NewGuard(s.Region, r.agent, dispatch.NewGuard(r.agent, r.gateway)))
	if g, ok := r.gateway.(registrar); ok {
		g.Register(r.peers)
	}
	r.http = r.callerServer()
	r.admin = &http.Server{
		Handler:           admin.NewHandler(source{r}, o.Metrics.Handler()),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          o.Log.HTTPLog(),
	}
	return r, nil
}

// registrar is implemented by gateways that answer other routers' gateways.
type registrar interface {
	Register(s gateway.CallServer)
}

// lateHoldings breaks the cycle between the agent, which needs the holdings, and the gateway, which needs the agent's
// authority.
type lateHoldings struct {
	exchange.LocalGateway
}

func (r *Router) listen() error {
	s := &r.o.Settings
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

// CallerAddress returns the address for callers.
func (r *Router) CallerAddress() string {
	return r.callerListener.Addr().String()
}

// PeerAddress returns the address for other routers.
func (r *Router) PeerAddress() string {
	return r.peerListener.Addr().String()
}

// AdminAddress returns the address of the admin endpoints.
func (r *Router) AdminAddress() string {
	return r.adminListener.Addr().String()
}

// Agent returns the router's side of control.
func (r *Router) Agent() *agent.Agent {
	return r.agent
}

func (r *Router) member() wire.Member {
	s := &r.o.Settings
	return wire.Member{VM: s.VM, Incarnation: r.incarnation, Address: r.PeerAddress(), Domain: s.Domain}
}

func (r *Router) callerServer() *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           newCallers(r.chain(), r.o.Log, &r.draining, r.o.Metrics.Scope()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		ErrorLog:          r.o.Log.HTTPLog(),
	}
}

// chain returns the filters in their order. region stands before everything that reads a body.
func (r *Router) chain() filter.Next {
	return filter.Chain(
		requestid.New(),
		ready.New(r.o.Clock, r.agent.EntryAuthority(), r.agent),
		route.New(),
		region.New(r.o.Settings.Region),
		inputcheck.New(),
		deadline.New(),
		idempotency.New(),
		fingerprint.New(),
		dispatch.New(dispatch.Options{
			Region: r.o.Settings.Region,
			Tables: r.agent,
			Local:  r.gateway,
			Remote: r.client.Handler,
			Clock:  r.o.Clock,
			Scope:  r.o.Metrics.Scope(),
		}),
	)
}

// Run serves until the context ends, then shuts down gracefully. It returns nil after a shutdown that cut nothing,
// ErrDrainTimeout after one that did, and the cause if a listener fails.
func (r *Router) Run(ctx context.Context) error {
	running := r.running
	defer r.abort()
	failed := make(chan error, 3)
	serve := func(f func() error) {
		go func() {
			if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	go r.agent.Run(running)
	go r.watchVMs(running)
	serve(func() error { return r.peers.Serve(r.peerListener) })
	serve(func() error { return r.admin.Serve(r.adminListener) })
	serve(func() error { return r.http.Serve(r.callerListener) })
	r.o.Log.Emit(event.RouterListening, "callers", r.CallerAddress(), "peers", r.PeerAddress(), "admin", r.AdminAddress())
	select {
	case <-ctx.Done():
	case err := <-failed:
		r.o.Log.Emit(event.ListenerFailed, "error", err.Error())
		r.closeListeners()
		return err
	}
	return r.drain(running)
}

// drain shuts down without cutting a request. Readiness falls first, and the groups are given back while the balancer
// still sends callers here; every answer closes its connection meanwhile. Then the callers' listener closes, and last the
// peer server, which the former groups' exchanges and other routers' claims still use.
func (r *Router) drain(running context.Context) error {
	s := &r.o.Settings.Drain
	r.o.Log.Emit(event.ProcessDraining)
	r.draining.Store(true)
	left := make(chan error, 1)
	total := time.Duration(s.BalancerLagMillis+s.TimeoutMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(running, total)
	defer cancel()
	// Without a controller nobody takes the groups; half of the time is kept for the exchanges.
	leaveCtx, cancelLeave := context.WithTimeout(ctx, total/2)
	defer cancelLeave()
	go func() { left <- r.agent.Leave(leaveCtx) }()
	select {
	case <-r.o.Clock.After(time.Duration(s.BalancerLagMillis) * time.Millisecond):
	case <-ctx.Done():
	}
	r.step("callers")
	err := r.http.Shutdown(ctx)
	r.step("groups")
	if leaveErr := <-left; leaveErr != nil {
		r.o.Log.Emit(event.RouterDrainStep, "step", "groups not taken over", "error", leaveErr.Error())
	}
	err = errors.Join(err, r.gateway.Release(ctx))
	r.step("peers")
	// The new gateways ask this one whether its requests have ended, and those whose claims it has mirrored look for
	// another mirror.
	linger := handoverLinger
	if deadline, ok := ctx.Deadline(); ok {
		linger = min(linger, time.Until(deadline)/2)
	}
	select {
	case <-r.o.Clock.After(linger):
	case <-ctx.Done():
	}
	err = errors.Join(err, r.peers.Shutdown(ctx))
	r.client.Close()
	err = errors.Join(err, r.admin.Shutdown(ctx))
	if err != nil {
		r.o.Log.Emit(event.RouterDrainFailed, "error", err.Error())
		_ = r.http.Close()
		return ErrDrainTimeout
	}
	r.o.Log.Emit(event.ProcessStopped)
	return nil
}

func (r *Router) step(name string) {
	r.o.Log.Emit(event.RouterDrainStep, "step", name)
}

// source is what the admin endpoints show.
type source struct {
	r *Router
}

var (
	errDraining    = errors.New("draining")
	errNoConfig    = errors.New("no configuration")
	errNoAuthority = errors.New("no authority")
)

// Ready implements admin.Source.
func (s source) Ready() error {
	switch {
	case s.r.draining.Load():
		return errDraining
	case s.r.agent.View() == nil:
		return errNoConfig
	case s.r.o.Clock.Now() >= s.r.agent.EntryAuthority().ValidUntil():
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

// dumper is implemented by gateways with a state dump.
type dumper interface {
	Dump() any
}

// Dump implements admin.Source.
func (s source) Dump() any {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	d := Dump{
		VM:          s.r.o.Settings.VM,
		Cell:        s.r.o.Settings.Cell,
		Incarnation: s.r.incarnation,
		Draining:    s.r.draining.Load(),
		Agent:       s.r.agent.Dump(ctx),
	}
	if g, ok := s.r.gateway.(dumper); ok {
		d.Gateway = g.Dump()
	}
	return d
}
