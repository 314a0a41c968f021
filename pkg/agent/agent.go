// Package agent is a router's side of control. It finds the controller of its cell, keeps the router's lease, applies the
// roster rule while the controller can't be reached, and publishes snapshots of configuration and tables.
//
// One goroutine owns the state; all others send it typed messages and read atomic snapshots.
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
	// tickInterval is the resolution of everything that is done at intervals.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds a call. It is shorter than the lease, so that another controller can be tried before the end.
	callTimeout = 400 * time.Millisecond
	// refreshPause is the least time between two fetches of a table from the same address for Refresh.
	refreshPause = 10 * time.Millisecond
)

// errStopped means that the agent doesn't run any more.
var errStopped = errors.New("the agent has stopped")

// Transport sends calls to other processes; *peer.Client implements it.
type Transport interface {
	Call(ctx context.Context, addr string, t wire.Type, request any, replyType wire.Type, reply any) error
}

// Server receives calls; *peer.Server implements it.
type Server interface {
	HandleCall(t wire.Type, h func(ctx context.Context, from string, frame wire.Frame) (wire.Type, any, error))
}

// Peer is another VM.
type Peer struct {
	VM   string
	Cell string
	// Router and Controller are addresses; empty if the VM doesn't run one.
	Router     string
	Controller string
}

// Options are what the agent needs.
type Options struct {
	Cell string
	// Self is this router.
	Self wire.Member
	// Controller is the address of the own VM's controller candidate; empty if there is none.
	Controller string
	Peers      []Peer
	Clock      clock.Clock
	Transport  Transport
	Holdings   exchange.Holdings
	Log        *event.Logger
}

// NewIncarnation returns a random incarnation for a process.
func NewIncarnation() wire.Incarnation {
	return wire.Incarnation(rand.Uint64() | 1)
}

// Agent runs the state.
type Agent struct {
	o     Options
	state *state

	messages chan message
	stopped  chan struct{}

	published atomic.Pointer[published]
	// holding and entry are the ends of the two kinds of authority.
	holding atomic.Int64
	entry   atomic.Int64

	// reachable tells whether the controller has granted a lease lately.
	reachable atomic.Bool
	members   atomic.Pointer[[]wire.Member]

	refreshMu sync.Mutex
	refreshed map[refreshKey]clock.Instant
}

// published is a snapshot with a channel that is closed when the next one replaces it.
type published struct {
	view *exchange.View
	// tables are the tables as received; the view hides groups that this router has dropped.
	tables     map[string]*topology.Table
	configBody []byte
	replaced   chan struct{}
}

type refreshKey struct {
	cell    string
	address string
}

// message is handled by the goroutine that owns the state.
type message interface {
	handle(a *Agent, now clock.Instant)
}

// New returns an agent. Run starts it.
func New(o Options) *Agent {
	if o.Log == nil {
		o.Log = event.Discard()
	}
	a := &Agent{
		o:         o,
		state:     newState(o),
		messages:  make(chan message, 64),
		stopped:   make(chan struct{}),
		refreshed: map[refreshKey]clock.Instant{},
	}
	a.published.Store(&published{replaced: make(chan struct{})})
	return a
}

// Register sets the handlers of the calls that the agent answers.
func (a *Agent) Register(s Server) {
	s.HandleCall(wire.TypeWitness, func(ctx context.Context, _ string, frame wire.Frame) (wire.Type, any, error) {
		reply, err := ask(ctx, a, frame, (*state).witness)
		return wire.TypeWitnessReply, reply, err
	})
	s.HandleCall(wire.TypeAnnounceTerm, func(ctx context.Context, _ string, frame wire.Frame) (wire.Type, any, error) {
		reply, err := ask(ctx, a, frame, (*state).announced)
		return wire.TypeAnnounceTermReply, reply, err
	})
	s.HandleCall(wire.TypeFetchConfig, a.fetchConfig)
	s.HandleCall(wire.TypeFetchTable, a.fetchTable)
}

// question is a call that the state answers.
type question[Q, R any] struct {
	request Q
	answer  func(s *state, now clock.Instant, request *Q) R
	reply   chan R
}

func (q *question[Q, R]) handle(a *Agent, now clock.Instant) {
	q.reply <- q.answer(a.state, now, &q.request)
}

func ask[Q, R any](ctx context.Context, a *Agent, frame wire.Frame, answer func(s *state, now clock.Instant, request *Q) R) (R, error) {
	var none R
	q := &question[Q, R]{answer: answer, reply: make(chan R, 1)}
	if err := frame.Decode(&q.request); err != nil {
		return none, err
	}
	if err := a.send(ctx, q); err != nil {
		return none, err
	}
	select {
	case r := <-q.reply:
		return r, nil
	case <-a.stopped:
		return none, errStopped
	case <-ctx.Done():
		return none, ctx.Err()
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

// Run owns the state until the context ends.
func (a *Agent) Run(ctx context.Context) {
	defer close(a.stopped)
	tick := a.o.Clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			tick = a.o.Clock.After(tickInterval)
		case <-a.o.Holdings.Changed():
			a.state.urgent = true
		case m := <-a.messages:
			now := a.o.Clock.Now()
			a.state.checkLapse(now)
			m.handle(a, now)
		}
		a.step(ctx)
	}
}

// step lets time pass, publishes what has changed and starts the calls that are due.
func (a *Agent) step(ctx context.Context) {
	a.state.tick(a.o.Clock.Now())
	a.publish()
	for _, c := range a.state.takeCalls() {
		go a.call(ctx, c)
	}
}

// publish makes changes visible: first the authority that has ended, then the snapshot, then the authority that began.
func (a *Agent) publish() {
	s := a.state
	a.holding.Store(int64(min(clock.Instant(a.holding.Load()), s.holdingEnd())))
	if s.dirty {
		s.dirty = false
		a.publishView()
	}
	a.holding.Store(int64(s.holdingEnd()))
	a.entry.Store(int64(s.entryEnd()))
	a.reachable.Store(s.reachable(a.o.Clock.Now()))
	if s.rosterChanged {
		s.rosterChanged = false
		members := s.rule.Members()
		a.members.Store(&members)
	}
}

// Members returns the other routers of the cell's recorded rosters.
func (a *Agent) Members() []wire.Member {
	members := a.members.Load()
	if members == nil {
		return nil
	}
	return *members
}

// ControllerReachable tells whether the controller has granted a lease within the last heartbeats.
func (a *Agent) ControllerReachable() bool {
	return a.reachable.Load()
}

func (a *Agent) publishView() {
	next := &published{tables: a.state.copyTables(), configBody: a.state.configBody, replaced: make(chan struct{})}
	if a.state.config != nil {
		next.view = a.state.view()
		a.o.Holdings.Apply(next.view)
	}
	old := a.published.Swap(next)
	close(old.replaced)
}

func (a *Agent) call(ctx context.Context, c call) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replyType, reply := c.reply()
	c.asked = a.o.Clock.Now()
	err := a.o.Transport.Call(callCtx, c.address, c.t, c.request, replyType, reply)
	// The agent has stopped if the answer can't be delivered.
	_ = a.send(ctx, &answered{call: c, reply: reply, err: err})
}

// answered is the outcome of a call.
type answered struct {
	call  call
	reply any
	err   error
}

func (m *answered) handle(a *Agent, now clock.Instant) {
	a.state.onAnswer(now, m.call, m.reply, m.err)
}

// View implements exchange.Views.
func (a *Agent) View() *exchange.View {
	return a.published.Load().view
}

// ValidUntil implements exchange.Authority for what the router holds: its lease or the roster rule, whichever ends later.
func (a *Agent) ValidUntil() clock.Instant {
	return clock.Instant(a.holding.Load())
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
	return clock.Instant(e.a.entry.Load())
}

// Refresh implements dispatch.Tables. The table is fetched from the address that has just refused a request, because its
// router knows why, and from the controller by a heartbeat.
func (a *Agent) Refresh(ctx context.Context, cell string, have topology.Version, address string) bool {
	if a.newer(cell, have) {
		return true
	}
	if a.mayRefresh(cell, address) {
		// Without the message the next heartbeat brings the table.
		_ = a.send(ctx, &refresh{cell: cell, address: address})
	}
	for {
		p := a.published.Load()
		if a.newer(cell, have) {
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

func (a *Agent) newer(cell string, have topology.Version) bool {
	t := a.published.Load().tables[cell]
	return t != nil && have.Less(t.Version)
}

// mayRefresh limits the fetches that many requests cause together.
func (a *Agent) mayRefresh(cell, address string) bool {
	a.refreshMu.Lock()
	defer a.refreshMu.Unlock()
	now := a.o.Clock.Now()
	key := refreshKey{cell: cell, address: address}
	if last, ok := a.refreshed[key]; ok && now.Sub(last) < refreshPause {
		return false
	}
	a.refreshed[key] = now
	return true
}

type refresh struct {
	cell    string
	address string
}

func (m *refresh) handle(a *Agent, _ clock.Instant) {
	a.state.refresh(m.cell, m.address)
}

// SetPeers replaces the peers by those of the settings and the platform's list of VMs.
func (a *Agent) SetPeers(ctx context.Context, peers []Peer) {
	// The agent has stopped if the message can't be delivered.
	_ = a.send(ctx, &setPeers{peers: peers})
}

type setPeers struct {
	peers []Peer
}

func (m *setPeers) handle(a *Agent, _ clock.Instant) {
	a.state.peers = m.peers
}

// Leave tells the controller that the router leaves, and returns once its groups have been given back and the table shows
// it, or when the context ends.
func (a *Agent) Leave(ctx context.Context) error {
	for {
		p := a.published.Load()
		q := &leave{done: make(chan bool, 1)}
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
		case <-a.o.Clock.After(tickInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type leave struct {
	done chan bool
}

func (m *leave) handle(a *Agent, now clock.Instant) {
	m.done <- a.state.leave(now, a.o.Holdings.Report())
}

// Dump returns the state for the admin endpoint.
func (a *Agent) Dump(ctx context.Context) any {
	q := &dump{reply: make(chan Dump, 1)}
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

type dump struct {
	reply chan Dump
}

func (m *dump) handle(a *Agent, now clock.Instant) {
	m.reply <- a.state.dump(now)
}

// parseConfig decodes a configuration and checks that it is the announced version.
func parseConfig(version uint64, body []byte) (*config.Config, error) {
	cfg, findings := config.Parse(body, "configuration")
	if err := findings.Err(); err != nil {
		return nil, err
	}
	if cfg.Version != version {
		return nil, errors.New("the configuration has another version than announced")
	}
	return cfg, nil
}
