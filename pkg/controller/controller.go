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
	// storeTimeout bounds one store operation. The outcome of a write that exceeds it is ambiguous.
	storeTimeout = time.Second
	// callTimeout bounds one call to a router or another controller. It is far longer than the latency between
	// regions, and short enough that a frozen router doesn't delay the next round of calls.
	callTimeout = 400 * time.Millisecond
	inboxSize   = 256
)

// errStopped is returned once Run has ended.
var errStopped = errors.New("the controller has stopped")

// Caller sends calls to routers and other controllers.
type Caller interface {
	Call(ctx context.Context, addr string, t wire.Type, request any, replyType wire.Type, reply any) error
}

// Registrar registers call handlers by message type.
type Registrar interface {
	HandleCall(t wire.Type, h func(ctx context.Context, from string, frame wire.Frame) (wire.Type, any, error))
}

// Controller runs a State. The goroutine of Run owns the State; all other goroutines send it messages.
type Controller struct {
	clock  clock.Clock
	store  store.Store
	caller Caller
	scope  tally.Scope
	state  *State
	inbox  chan message
	done   chan struct{}
}

// message is a unit of work for the goroutine that owns the state.
type message interface {
	handle(c *Controller, now clock.Instant)
}

// NewController returns a controller that does nothing until Run is called.
func NewController(options Options, clk clock.Clock, st store.Store, caller Caller, scope tally.Scope) *Controller {
	return &Controller{
		clock:  clk,
		store:  st,
		caller: caller,
		scope:  scope,
		state:  New(options, clk.Now()),
		inbox:  make(chan message, inboxSize),
		done:   make(chan struct{}),
	}
}

// Run owns the state until the context ends. It doesn't release the term itself: call Stop before ending the context,
// and the term is released if the store responds in time.
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

// send queues a message for the goroutine that owns the state.
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
	// send fails only if the context or Run has ended; nobody needs the result then.
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
	return CallResult{Call: e, Reply: reply, Err: err}
}

// Register registers the handlers of the calls that the controller serves.
func (c *Controller) Register(server Registrar) {
	handle(c, server, wire.TypeHeartbeat, wire.TypeHeartbeatReply, (*State).Heartbeat)
	handle(c, server, wire.TypeStatus, wire.TypeStatusReply, func(s *State, now clock.Instant, _ *wire.Status) *wire.StatusReply {
		return s.Status(now)
	})
	handle(c, server, wire.TypeFetchTable, wire.TypeTableReply, (*State).FetchTable)
	handle(c, server, wire.TypeFetchConfig, wire.TypeConfigReply, func(s *State, _ clock.Instant, fetch *wire.FetchConfig) *wire.ConfigReply {
		return s.FetchConfig(fetch)
	})
}

// request is a call that the goroutine owning the state answers.
type request[Q, R any] struct {
	query  *Q
	answer func(s *State, now clock.Instant, ask *Q) *R
	reply  chan *R
}

func (m request[Q, R]) handle(c *Controller, now clock.Instant) {
	m.reply <- m.answer(c.state, now, m.query)
}

func handle[Q, R any](c *Controller, server Registrar, t, replyType wire.Type, answer func(*State, clock.Instant, *Q) *R) {
	server.HandleCall(t, func(ctx context.Context, _ string, frame wire.Frame) (wire.Type, any, error) {
		query := new(Q)
		if err := frame.Decode(query); err != nil {
			return 0, nil, err
		}
		reply, err := callOwner(ctx, c, query, answer)
		return replyType, reply, err
	})
}

func callOwner[Q, R any](ctx context.Context, c *Controller, query *Q, answer func(*State, clock.Instant, *Q) *R) (*R, error) {
	m := request[Q, R]{query: query, answer: answer, reply: make(chan *R, 1)}
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

// Stop releases the term. It returns once the term row is marked as released, so that a candidate takes over at its
// next read, or when the context ends.
func (c *Controller) Stop(ctx context.Context) error {
	begin := func(s *State, now clock.Instant, _ *wire.Status) *bool {
		s.Stop(now)
		stopped := s.Stopped()
		return &stopped
	}
	for {
		stopped, err := callOwner(ctx, c, &wire.Status{}, begin)
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
	dump, err := callOwner(ctx, c, &wire.Status{}, func(s *State, now clock.Instant, _ *wire.Status) *Dump {
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
	c.scope.Gauge("term").Update(float64(s.termRecord.Term))
	c.scope.Gauge("active").Update(boolToGauge(s.lead != nil && now < s.authority(now)))
	c.scope.Gauge("store_down").Update(boolToGauge(s.storeDown))
	c.scope.Gauge("config_version").Update(float64(s.configVersion()))
	c.scope.Counter("store_reads").Inc(int64(s.reads - s.reportedReads))
	c.scope.Counter("store_writes").Inc(int64(s.writes - s.reportedWrites))
	s.reportedReads, s.reportedWrites = s.reads, s.writes
	if s.lead != nil {
		c.scope.Gauge("routers").Update(float64(len(s.lead.eligibleRouters(now))))
		c.scope.Gauge("table_sequence").Update(float64(s.lead.sequence))
	}
}

func boolToGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
