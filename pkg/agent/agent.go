// Package agent implements the control-plane client of a router. It discovers the controller of the router's cell, renews
// the router's lease, applies the roster rule while the controller is unreachable, and publishes snapshots of the
// configuration and the routing tables.
//
// One goroutine owns the state. All other goroutines send it typed messages and read atomic snapshots.
package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// tickInterval is the resolution of all periodic work.
	tickInterval = 50 * time.Millisecond
	// callTimeout limits the duration of a call. It is shorter than the lease, so that another controller can be tried
	// before the lease expires.
	callTimeout = 400 * time.Millisecond
	// minRefreshInterval is the minimum time between two table fetches from the same address on behalf of Refresh.
	minRefreshInterval = 10 * time.Millisecond
)

// errStopped is returned when the agent is no longer running.
var errStopped = errors.New("the agent has stopped")

// Transport sends calls to other processes. *peer.Client implements it.
type Transport interface {
	Call(ctx context.Context, addr string, t wire.Type, request any, replyType wire.Type, reply any) error
}

// Server receives calls. *peer.Server implements it.
type Server interface {
	HandleCall(t wire.Type, h func(ctx context.Context, from string, frame wire.Frame) (wire.Type, any, error))
}

// Peer describes another VM.
type Peer struct {
	VM   string
	Cell string
	// Router and Controller are the addresses of the VM's processes. An address is empty if the VM doesn't run that
	// process.
	Router     string
	Controller string
}

// Options holds the settings and dependencies of an Agent.
type Options struct {
	Cell string
	// Self identifies this router.
	Self wire.Member
	// Controller is the address of the controller candidate on the same VM, or empty if there is none.
	Controller string
	Peers      []Peer
	Clock      clock.Clock
	Transport  Transport
	Gateway    exchange.LocalGateway
	Log        *event.Logger
}

// NewIncarnation returns a random, nonzero incarnation for a process.
func NewIncarnation() wire.Incarnation {
	return wire.Incarnation(rand.Uint64() | 1)
}

// Agent runs the control loop of a router and gives concurrent access to its results.
type Agent struct {
	opts  Options
	state *state

	messages chan message
	stopped  chan struct{}

	published atomic.Pointer[snapshot]
	// holdingUntil and entryUntil are the instants at which the two kinds of authority expire.
	holdingUntil atomic.Int64
	entryUntil   atomic.Int64

	// controllerReachable reports whether the controller has granted a lease within the last two heartbeat intervals.
	controllerReachable atomic.Bool
	members             atomic.Pointer[[]wire.Member]

	refreshMu   sync.Mutex
	lastRefresh map[refreshKey]clock.Instant
}

// snapshot is the published state. Its channel is closed when the next snapshot replaces it.
type snapshot struct {
	view *exchange.View
	// tables holds the tables as received. In the view, groups that this router has dropped have no gateway.
	tables     map[string]*topology.Table
	configBody []byte
	replaced   chan struct{}
}

type refreshKey struct {
	cell    string
	address string
}

// message is an event that the goroutine owning the state handles.
type message interface {
	handle(a *Agent, now clock.Instant)
}

// New returns an agent. Call Run to start it.
func New(o Options) *Agent {
	if o.Log == nil {
		o.Log = event.Discard()
	}
	a := &Agent{
		opts:        o,
		state:       newState(o),
		messages:    make(chan message, 64),
		stopped:     make(chan struct{}),
		lastRefresh: map[refreshKey]clock.Instant{},
	}
	a.published.Store(&snapshot{replaced: make(chan struct{})})
	return a
}

// Register registers the handlers of the calls that the agent serves.
func (a *Agent) Register(s Server) {
	s.HandleCall(wire.TypeWitness, func(ctx context.Context, _ string, frame wire.Frame) (wire.Type, any, error) {
		reply, err := runOnState(ctx, a, frame, (*state).handleWitness)
		return wire.TypeWitnessReply, reply, err
	})
	s.HandleCall(wire.TypeAnnounceTerm, func(ctx context.Context, _ string, frame wire.Frame) (wire.Type, any, error) {
		reply, err := runOnState(ctx, a, frame, (*state).handleAnnounceTerm)
		return wire.TypeAnnounceTermReply, reply, err
	})
	s.HandleCall(wire.TypeFetchConfig, a.fetchConfig)
	s.HandleCall(wire.TypeFetchTable, a.fetchTable)
}

// stateRequest is an incoming call that is handled by the goroutine that owns the state.
type stateRequest[Q, R any] struct {
	request Q
	apply   func(s *state, now clock.Instant, request *Q) R
	reply   chan R
}

func (q *stateRequest[Q, R]) handle(a *Agent, now clock.Instant) {
	q.reply <- q.apply(a.state, now, &q.request)
}

// runOnState decodes a call, has the goroutine that owns the state apply it, and returns the reply.
func runOnState[Q, R any](ctx context.Context, a *Agent, frame wire.Frame, apply func(s *state, now clock.Instant, request *Q) R) (R, error) {
	var zero R
	q := &stateRequest[Q, R]{apply: apply, reply: make(chan R, 1)}
	if err := frame.Decode(&q.request); err != nil {
		return zero, err
	}
	if err := a.send(ctx, q); err != nil {
		return zero, err
	}
	select {
	case r := <-q.reply:
		return r, nil
	case <-a.stopped:
		return zero, errStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (a *Agent) send(ctx context.Context, m message) error {
	select {
	case a.messages <- m:
		return nil
	case <-a.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *Agent) fetchConfig(_ context.Context, _ string, frame wire.Frame) (wire.Type, any, error) {
	var request wire.FetchConfig
	if err := frame.Decode(&request); err != nil {
		return 0, nil, err
	}
	p := a.published.Load()
	if p.view == nil || p.view.Config.Version < request.Version {
		return wire.TypeConfigReply, wire.ConfigReply{}, nil
	}
	return wire.TypeConfigReply, wire.ConfigReply{Version: p.view.Config.Version, Body: p.configBody}, nil
}

func (a *Agent) fetchTable(_ context.Context, _ string, frame wire.Frame) (wire.Type, any, error) {
	var request wire.FetchTable
	if err := frame.Decode(&request); err != nil {
		return 0, nil, err
	}
	table := a.published.Load().tables[request.Cell]
	if table != nil && !request.Have.Less(table.Version) {
		table = nil
	}
	return wire.TypeTableReply, wire.TableReply{Table: table}, nil
}

// Run runs the control loop until the context is cancelled. Its goroutine owns the state.
func (a *Agent) Run(ctx context.Context) {
	defer close(a.stopped)
	tick := a.opts.Clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			tick = a.opts.Clock.After(tickInterval)
		case <-a.opts.Gateway.Changed():
			a.state.heartbeatUrgent = true
		case m := <-a.messages:
			now := a.opts.Clock.Now()
			a.state.checkAuthority(now)
			m.handle(a, now)
		}
		a.step(ctx)
	}
}

// step advances the state to the current time, publishes what has changed and starts the queued calls.
func (a *Agent) step(ctx context.Context) {
	a.state.tick(a.opts.Clock.Now())
	a.publish()
	for _, c := range a.state.takePendingCalls() {
		go a.call(ctx, c)
	}
}

// publish makes changes visible in this order: it first shortens the holding authority if its end has moved earlier, then
// publishes the snapshot, and then stores the current authority, including any that was gained.
func (a *Agent) publish() {
	s := a.state
	a.holdingUntil.Store(int64(min(clock.Instant(a.holdingUntil.Load()), s.holdingAuthorityEnd())))
	if s.dirty {
		s.dirty = false
		a.publishView()
	}
	a.holdingUntil.Store(int64(s.holdingAuthorityEnd()))
	a.entryUntil.Store(int64(s.entryAuthorityEnd()))
	a.controllerReachable.Store(s.controllerReachable(a.opts.Clock.Now()))
	if s.rosterChanged {
		s.rosterChanged = false
		members := s.rosterRule.Members()
		a.members.Store(&members)
	}
}

// Members returns the other routers in the rosters that the controller has sent for this cell.
func (a *Agent) Members() []wire.Member {
	members := a.members.Load()
	if members == nil {
		return nil
	}
	return *members
}

// ControllerReachable reports whether the controller has granted a lease within the last two heartbeat intervals.
func (a *Agent) ControllerReachable() bool {
	return a.controllerReachable.Load()
}

func (a *Agent) publishView() {
	next := &snapshot{tables: a.state.copyTables(), configBody: a.state.configBody, replaced: make(chan struct{})}
	if a.state.config != nil {
		next.view = a.state.view()
		a.opts.Gateway.Apply(next.view)
	}
	old := a.published.Swap(next)
	close(old.replaced)
}

func (a *Agent) call(ctx context.Context, c call) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replyType, reply := c.reply()
	c.sentAt = a.opts.Clock.Now()
	err := a.opts.Transport.Call(callCtx, c.address, c.t, c.request, replyType, reply)
	// An error means that the agent has stopped or is stopping, so the result isn't needed.
	_ = a.send(ctx, &callResult{call: c, reply: reply, err: err})
}

// callResult is the message that delivers the outcome of an outgoing call.
type callResult struct {
	call  call
	reply any
	err   error
}

func (m *callResult) handle(a *Agent, now clock.Instant) {
	a.state.handleResult(now, m.call, m.reply, m.err)
}

// View implements exchange.ViewSource.
func (a *Agent) View() *exchange.View {
	return a.published.Load().view
}

// ValidUntil implements exchange.Authority for the groups that the router holds. The authority comes from the lease or
// the roster rule, whichever ends later.
func (a *Agent) ValidUntil() clock.Instant {
	return clock.Instant(a.holdingUntil.Load())
}

// EntryAuthority returns the authority to accept callers' requests for any gateway.
func (a *Agent) EntryAuthority() exchange.Authority {
	return entryAuthority{a}
}

type entryAuthority struct {
	a *Agent
}

// ValidUntil implements exchange.Authority.
func (e entryAuthority) ValidUntil() clock.Instant {
	return clock.Instant(e.a.entryUntil.Load())
}

// Refresh implements dispatch.Tables. It fetches the table from the address that has just refused a request, because the
// router there knows the reason, and for the router's own cell also from the controller, by an immediate heartbeat.
func (a *Agent) Refresh(ctx context.Context, cell string, have topology.Version, address string) bool {
	if a.hasNewerTable(cell, have) {
		return true
	}
	if a.allowRefresh(cell, address) {
		// If the message isn't delivered, the next heartbeat still fetches the table.
		_ = a.send(ctx, &refreshMessage{cell: cell, address: address})
	}
	for {
		p := a.published.Load()
		if a.hasNewerTable(cell, have) {
			return true
		}
		select {
		case <-p.replaced:
		case <-ctx.Done():
			return false
		case <-a.stopped:
			return false
		}
	}
}

func (a *Agent) hasNewerTable(cell string, have topology.Version) bool {
	t := a.published.Load().tables[cell]
	return t != nil && have.Less(t.Version)
}

// allowRefresh limits the rate of fetches when many requests ask for the same table at once.
func (a *Agent) allowRefresh(cell, address string) bool {
	a.refreshMu.Lock()
	defer a.refreshMu.Unlock()
	now := a.opts.Clock.Now()
	key := refreshKey{cell: cell, address: address}
	if last, ok := a.lastRefresh[key]; ok && now.Sub(last) < minRefreshInterval {
		return false
	}
	a.lastRefresh[key] = now
	return true
}

// refreshMessage asks for a newer table of a cell.
type refreshMessage struct {
	cell    string
	address string
}

func (m *refreshMessage) handle(a *Agent, _ clock.Instant) {
	a.state.refresh(m.cell, m.address)
}

// SetPeers replaces the list of peers. The new list comes from the settings and the platform's list of VMs.
func (a *Agent) SetPeers(ctx context.Context, peers []Peer) {
	// An error means that the agent has stopped or the context is done, so the list isn't needed.
	_ = a.send(ctx, &setPeersMessage{peers: peers})
}

// setPeersMessage replaces the list of peers.
type setPeersMessage struct {
	peers []Peer
}

func (m *setPeersMessage) handle(a *Agent, _ clock.Instant) {
	a.state.peers = m.peers
}

// Leave tells the controller that the router is leaving. It returns when the router's groups have been released and the
// table no longer lists them for this router, or when the context is done.
func (a *Agent) Leave(ctx context.Context) error {
	for {
		p := a.published.Load()
		q := &leaveMessage{done: make(chan bool, 1)}
		if err := a.send(ctx, q); err != nil {
			return err
		}
		select {
		case done := <-q.done:
			if done {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-a.stopped:
			return errStopped
		}
		select {
		case <-p.replaced:
		case <-a.opts.Clock.After(tickInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// leaveMessage marks the router as leaving and asks whether it has released everything.
type leaveMessage struct {
	done chan bool
}

func (m *leaveMessage) handle(a *Agent, now clock.Instant) {
	m.done <- a.state.leave(now, a.opts.Gateway.Report())
}

// Dump returns the control state for the admin endpoint, or nil if the agent has stopped or the context is done.
func (a *Agent) Dump(ctx context.Context) any {
	q := &dumpMessage{reply: make(chan Dump, 1)}
	if err := a.send(ctx, q); err != nil {
		return nil
	}
	select {
	case d := <-q.reply:
		return d
	case <-ctx.Done():
		return nil
	case <-a.stopped:
		return nil
	}
}

// dumpMessage asks for the state dump.
type dumpMessage struct {
	reply chan Dump
}

func (m *dumpMessage) handle(a *Agent, now clock.Instant) {
	m.reply <- a.state.dump(now)
}

// parseConfig decodes a configuration and checks that it has the announced version.
func parseConfig(version uint64, body []byte) (*config.Config, error) {
	cfg, findings := config.Parse(body, "configuration")
	if err := findings.Err(); err != nil {
		return nil, err
	}
	if cfg.Version != version {
		return nil, errors.New("the configuration version differs from the announced version")
	}
	return cfg, nil
}
