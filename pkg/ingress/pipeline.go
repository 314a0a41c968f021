package ingress

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// aheadPollInterval is the time between checks of what shutdown waits for.
const aheadPollInterval = 5 * time.Millisecond

// aheadCall is the handling of a pipelined request before the responses to the earlier requests of its connection have been written. It
// is the http.ResponseWriter of the handling, which waits at the response header until the response's turn.
type aheadCall struct {
	conn   *callerConn
	ctx    context.Context
	cancel context.CancelCauseFunc
	header http.Header
	// turn is closed when w is set.
	turn chan struct{}
	// done is closed when the handling has ended. aborted is then set if the response is incomplete.
	done    chan struct{}
	aborted bool
	// unused is set if the caller disconnected, or the result was dropped, before the response's turn.
	unused bool

	mu            sync.Mutex
	w             http.ResponseWriter
	writeDeadline time.Time
}

// beginAhead begins to handle a request that was read ahead. It returns nil if the request may not be handled ahead.
func (h *Handler) beginAhead(ctx context.Context, conn *callerConn, r *aheadRequest) *aheadCall {
	if h.stopping.Load() || !h.isIdempotent(r.request) || !h.reserveAhead() {
		h.Metrics.recordAhead(false)
		return nil
	}
	h.Metrics.recordAhead(true)
	a := &aheadCall{conn: conn, header: http.Header{}, turn: make(chan struct{}), done: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	go a.run(h, r)
	return a
}

// reserveAhead counts another request that is handled ahead, unless the memory for responses has no room for it. Each of them counts with
// bufferStep besides what is buffered, since its response may take that much even once the limit is reached.
func (h *Handler) reserveAhead() bool {
	before := h.aheadCalls.Add(1) - 1
	if h.sender.memory.held.Load()+before*bufferStep < h.sender.memory.limit {
		return true
	}
	h.aheadCalls.Add(-1)
	return false
}

// isIdempotent reports whether the route of a request is known and idempotent.
func (h *Handler) isIdempotent(r *http.Request) bool {
	view := h.State.Current()
	if view.Snapshot == nil || view.Snapshot.Configuration == nil {
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := view.Snapshot.Configuration.Match(r.Host, path)
	return route != nil && route.Idempotent
}

func (a *aheadCall) run(h *Handler, r *aheadRequest) {
	defer h.aheadCalls.Add(-1)
	defer close(a.done)
	defer a.cancel(nil)
	a.aborted = true
	c := &call{Handler: h, w: a, r: r.request.WithContext(a.ctx), start: r.arrived, conn: a.conn, ahead: a}
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			h.Log.LogPanic("request handled ahead", v)
		}
		if a.unused && !a.dropped() {
			c.logDisconnect()
		}
	}()
	h.handle(c)
	a.aborted = false
}

// deliver writes the response as soon as it is available. It returns after the response.
func (a *aheadCall) deliver(w http.ResponseWriter, r *http.Request) {
	stop := context.AfterFunc(r.Context(), func() { a.cancel(errCallerGone) })
	defer stop()
	a.mu.Lock()
	a.w = w
	if !a.writeDeadline.IsZero() {
		// The turn may come after the request's own deadline. A write that fails would break the connection for the requests behind it.
		// The response writers of tests don't support deadlines.
		_ = http.NewResponseController(w).SetWriteDeadline(latest(a.writeDeadline, time.Now().Add(writeGrace)))
	}
	a.mu.Unlock()
	close(a.turn)
	<-a.done
	if a.aborted {
		panic(http.ErrAbortHandler)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Header implements http.ResponseWriter.
func (a *aheadCall) Header() http.Header {
	return a.header
}

// awaitTurn waits until the earlier responses have been written. If the result isn't needed any more, it ends the handling.
func (a *aheadCall) awaitTurn() {
	select {
	case <-a.turn:
	case <-a.ctx.Done():
		select {
		case <-a.turn:
		default:
			a.unused = true
			panic(http.ErrAbortHandler)
		}
	}
}

// WriteHeader implements http.ResponseWriter.
func (a *aheadCall) WriteHeader(status int) {
	a.awaitTurn()
	if a.conn.handler.stopping.Load() && a.conn.mayClose() {
		a.header.Set("Connection", "close")
	}
	header := a.w.Header()
	clear(header)
	maps.Copy(header, a.header)
	a.w.WriteHeader(status)
}

// Write implements http.ResponseWriter. WriteHeader has returned before.
func (a *aheadCall) Write(p []byte) (int, error) {
	return a.w.Write(p)
}

// SetWriteDeadline is used by http.ResponseController.
func (a *aheadCall) SetWriteDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeDeadline = t
	if a.w == nil {
		return nil
	}
	return http.NewResponseController(a.w).SetWriteDeadline(t)
}

// Unwrap is used by http.ResponseController.
func (a *aheadCall) Unwrap() http.ResponseWriter {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.w
}

// dropped reports whether the result isn't used, in which case the request is handled again and counted then.
func (a *aheadCall) dropped() bool {
	return errors.Is(context.Cause(a.ctx), errAheadDropped)
}

// closesConn reports whether the response has to close the connection because the process stops. For a request that is handled ahead
// this is decided when its turn has come.
func (c *call) closesConn() bool {
	return c.stopping.Load() && c.ahead == nil && (c.conn == nil || c.conn.mayClose())
}

// AwaitAhead waits until the requests that are handled ahead have been answered. During shutdown no more are begun.
func (h *Handler) AwaitAhead(ctx context.Context) {
	awaitZero(ctx, &h.aheadCalls)
}

// AwaitCallers waits until the callers have read the ends of the last responses on their connections. It is used after the http.Server has
// closed all connections, since the kernel resets those from which bytes are unread when the process exits.
func (h *Handler) AwaitCallers(ctx context.Context) {
	awaitZero(ctx, &h.lingering)
}

func awaitZero(ctx context.Context, n *atomic.Int64) {
	ticker := time.NewTicker(aheadPollInterval)
	defer ticker.Stop()
	for n.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
