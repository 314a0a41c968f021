package controller

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// storeTimeout bounds one store operation. A write that takes longer counts as ambiguous.
	storeTimeout = time.Second
	// callTimeout bounds one call of a router or another controller. It is longer than the latency between regions by
	// far, and short enough that a frozen router doesn't delay the next round.
	callTimeout = 400 * time.Millisecond
	inboxSize   = 256
)

// errStopped means that the controller's goroutine has ended.
var errStopped = errors.New("the controller has stopped")

// Caller sends calls to routers and other controllers.
type Caller interface {
	Call(ctx context.Context, addr string, t wire.Type, request any, replyType wire.Type, reply any) error
}

// Registrar accepts handlers of calls.
type Registrar interface {
	HandleCall(t wire.Type, h func(ctx context.Context, from string, frame wire.Frame) (wire.Type, any, error))
}

// Controller runs a State: Run's goroutine owns it, all others send messages.
type Controller struct {
	clock  clock.Clock
	store  store.Store
	caller Caller
	scope  tally.Scope
	state  *State
	inbox  chan message
	done   chan struct{}
}

// message is handled by the goroutine that owns the state.
type message interface {
	handle(c *Controller, now clock.Instant)
}

// NewController returns a controller. Run starts it.
func NewController(o Options, clk clock.Clock, st store.Store, caller Caller, scope tally.Scope) *Controller {
	return &Controller{
		clock:  clk,
		store:  st,
		caller: caller,
		scope:  scope,
		state:  New(o, clk.Now()),
		inbox:  make(chan message, inboxSize),
		done:   make(chan struct{}),
	}
}

// Run owns the state until the context ends. Before it returns after Stop, the term has been released if the store
// answered in time.
func (c *Controller) Run(ctx context.Context) {
	defer close(c.done)
	tick := c.clock.After(TickInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.inbox:
			m.handle(c, c.clock.Now())
		case <-tick:
			c.state.Tick(c.clock.Now())
			c.report()
			tick = c.clock.After(TickInterval)
		}
		c.execute(ctx)
	}
}

// send passes a message to the owner of the state.
func (c *Controller) send(ctx context.Context, m message) error {
	select {
	case c.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errStopped
	}
}

func (c *Controller) execute(ctx context.Context) {
	for _, e := range c.state.Effects() {
		go c.perform(ctx, e)
	}
}

type resultMessage struct{ result Result }

func (m resultMessage) handle(c *Controller, now clock.Instant) {
	c.state.Handle(now, m.result)
}

func (c *Controller) perform(ctx context.Context, e Effect) {
	// The send fails only when the owner of the state has ended.
	_ = c.send(ctx, resultMessage{result: c.result(ctx, e)})
}

func (c *Controller) result(ctx context.Context, e Effect) Result {
	if call, ok := e.(Call); ok {
		return c.call(ctx, call)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch e := e.(type) {
	case ReadRow:
		row, err := c.store.Get(ctx, e.Key)
		return RowRead{ReadRow: e, Row: row, Err: err}
	case WriteRow:
		revision, err := c.store.Put(ctx, e.Key, e.Value, e.Expected, e.Token)
		return RowWritten{WriteRow: e, Revision: revision, Err: err}
	case ReadObject:
		body, err := c.store.GetObject(ctx, e.Key)
		return ObjectRead{ReadObject: e, Body: body, Err: err}
	default:
		return nil
	}
}

func (c *Controller) call(ctx context.Context, e Call) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replyType, reply := NewReply(e.Type)
	err := c.caller.Call(ctx, e.Address, e.Type, e.Request, replyType, reply)
	return Called{Call: e, Reply: reply, Err: err}
}

// Register adds the handlers of the controller's calls.
func (c *Controller) Register(server Registrar) {
	handle(c, server, wire.TypeHeartbeat, wire.TypeHeartbeatReply, (*State).Heartbeat)
	handle(c, server, wire.TypeStatus, wire.TypeStatusReply, func(s *State, now clock.Instant, _ *wire.Status) *wire.StatusReply {
		return s.Status(now)
	})
	handle(c, server, wire.TypeFetchTable, wire.TypeTableReply, (*State).FetchTable)
	handle(c, server, wire.TypeFetchConfig, wire.TypeConfigReply, func(s *State, _ clock.Instant, m *wire.FetchConfig) *wire.ConfigReply {
		return s.FetchConfig(m)
	})
}

// request is a call that the owner of the state answers.
type request[Q, R any] struct {
	ask    *Q
	answer func(s *State, now clock.Instant, ask *Q) *R
	reply  chan *R
}

func (m request[Q, R]) handle(c *Controller, now clock.Instant) {
	m.reply <- m.answer(c.state, now, m.ask)
}

func handle[Q, R any](c *Controller, server Registrar, t, replyType wire.Type, answer func(*State, clock.Instant, *Q) *R) {
	server.HandleCall(t, func(ctx context.Context, _ string, frame wire.Frame) (wire.Type, any, error) {
		ask := new(Q)
		if err := frame.Decode(ask); err != nil {
			return 0, nil, err
		}
		reply, err := askOwner(ctx, c, ask, answer)
		return replyType, reply, err
	})
}

func askOwner[Q, R any](ctx context.Context, c *Controller, ask *Q, answer func(*State, clock.Instant, *Q) *R) (*R, error) {
	m := request[Q, R]{ask: ask, answer: answer, reply: make(chan *R, 1)}
	if err := c.send(ctx, m); err != nil {
		return nil, err
	}
	select {
	case reply := <-m.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, errStopped
	}
}

// Stop gives up the term on purpose. It returns once the term row is marked as released, so that a candidate takes over
// at its next read, or when the context ends.
func (c *Controller) Stop(ctx context.Context) error {
	begin := func(s *State, now clock.Instant, _ *wire.Status) *bool {
		s.Stop(now)
		stopped := s.Stopped()
		return &stopped
	}
	for {
		stopped, err := askOwner(ctx, c, &wire.Status{}, begin)
		if err != nil {
			return err
		}
		if *stopped {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.clock.After(TickInterval):
		}
	}
}

// Ready implements admin.Source. A candidate is ready as soon as it runs.
func (c *Controller) Ready() error {
	select {
	case <-c.done:
		return errStopped
	default:
		return nil
	}
}

// Dump implements admin.Source.
func (c *Controller) Dump() any {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	dump, err := askOwner(ctx, c, &wire.Status{}, func(s *State, now clock.Instant, _ *wire.Status) *Dump {
		return s.Dump(now)
	})
	if err != nil {
		return map[string]string{"error": err.Error()}
	}
	return dump
}

// report updates the metrics.
func (c *Controller) report() {
	now := c.clock.Now()
	s := c.state
	c.scope.Gauge("term").Update(float64(s.record.Term))
	c.scope.Gauge("active").Update(boolGauge(s.lead != nil && now < s.authority(now)))
	c.scope.Gauge("store_down").Update(boolGauge(s.storeDown))
	c.scope.Gauge("config_version").Update(float64(s.configVersion()))
	c.scope.Counter("store_reads").Inc(int64(s.reads - s.reportedReads))
	c.scope.Counter("store_writes").Inc(int64(s.writes - s.reportedWrites))
	s.reportedReads, s.reportedWrites = s.reads, s.writes
	if s.lead != nil {
		c.scope.Gauge("routers").Update(float64(len(s.lead.candidates(now))))
		c.scope.Gauge("table_sequence").Update(float64(s.lead.sequence))
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
