package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/event"
)

const (
	// maxAhead bounds the requests of a connection that are handled ahead at the same time.
	maxAhead = 8
	// maxAheadBytes bounds the bytes of a connection that are read ahead.
	maxAheadBytes = 64 << 10
	// aheadReadBytes is the size of a read ahead.
	aheadReadBytes = 4 << 10
)

var (
	// errCallerGone is why the requests of a connection that has ended are cancelled.
	errCallerGone = errors.New("caller disconnected")
	// errAheadDropped is why a request that was handled ahead is cancelled if its result isn't used.
	errAheadDropped = errors.New("result of a request handled ahead is not used")
)

// connKey is the key of the callerConn in the context of a connection.
type connKey struct{}

// WrapListener returns a listener whose connections read pipelined requests ahead and disconnect callers that don't read.
func (h *Handler) WrapListener(l net.Listener) net.Listener {
	return &callerListener{l, h}
}

// ConnContext is the ConnContext of the http.Server that serves the listener returned by WrapListener.
func (h *Handler) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

type callerListener struct {
	net.Listener
	handler *Handler
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, handler: l.handler}, nil
}

// aheadRequest is a request that was read ahead.
type aheadRequest struct {
	request *http.Request
	arrived time.Time
	// left is the number of bytes that haven't been passed to net/http.
	left int
	// call is the handling of the request, or nil if it wasn't begun.
	call *aheadCall
	// refused is set if the request may not be handled ahead.
	refused bool
}

// callerConn is a connection of a caller. It passes requests to net/http one by one: the bytes behind a request are withheld until
// the request's handler has returned. net/http reads from the connection while a handler runs, to notice when the caller disconnects. The
// connection uses these reads to read ahead.
//
// net/http never reads concurrently, so the reading side has one goroutine at a time. mu guards what handlers use as well.
type callerConn struct {
	net.Conn
	handler *Handler

	mu sync.Mutex
	// readErr is the error that ended the reading side.
	readErr error
	// partialHead is the part of the current request's head that net/http has already received.
	partialHead []byte
	// bodyLeft is the number of bytes of the current request's body that net/http hasn't received.
	bodyLeft int64
	// handling is set from when the head of a request was passed to net/http until its handler returns.
	handling bool
	// plain is set once no more requests are recognised. All bytes behind those in queue are passed on as they come.
	plain bool
	// pending are the bytes that were read from the network and not passed to net/http.
	pending []byte
	// scanned is the number of bytes of pending that belong to queue.
	scanned int
	queue   []*aheadRequest
	// current is the request that net/http received last, if it was read ahead.
	current *aheadRequest
	// mayBegin is set while the requests behind the current one may be handled.
	mayBegin bool
	// closing is set once a response closes the connection.
	closing bool
	// aheadCtx is cancelled when the caller disconnects. It is nil until the first request is handled ahead.
	aheadCtx    context.Context
	cancelAhead context.CancelCauseFunc

	writeMu sync.Mutex
	// writeDeadline is the deadline that was set with SetWriteDeadline.
	writeDeadline time.Time
	// appliedWriteDeadline is the one that the network connection has.
	appliedWriteDeadline time.Time
	lastWrite            time.Time
	closeOnce            sync.Once
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		c.mu.Lock()
		if c.readErr != nil {
			defer c.mu.Unlock()
			return 0, c.readErr
		}
		if c.withholds() {
			c.recogniseAhead()
			c.beginAhead()
		}
		withhold := c.withholds()
		if !withhold {
			if n := c.passPending(p); n > 0 {
				c.mu.Unlock()
				return n, nil
			}
		}
		c.mu.Unlock()
		if withhold {
			if err := c.readAhead(); err != nil {
				return 0, err
			}
			continue
		}
		return c.readDirectly(p)
	}
}

// withholds reports whether the bytes that follow are withheld from net/http.
func (c *callerConn) withholds() bool {
	recognised := !c.plain || c.current != nil || len(c.queue) > 0
	return c.handling && c.bodyLeft == 0 && recognised && len(c.pending) < c.maxPending()
}

// maxPending returns the number of bytes above which nothing more is read ahead. They count towards the memory for responses. Once that is
// used up, little is read, so that disconnects are still noticed.
func (c *callerConn) maxPending() int {
	if memory := &c.handler.sender.memory; memory.held.Load() >= memory.limit {
		return aheadReadBytes
	}
	return maxAheadBytes
}

// keep appends bytes that were read from the network to pending.
func (c *callerConn) keep(data []byte) {
	if len(data) > 0 {
		c.pending = append(c.pending, data...)
		c.handler.sender.memory.held.Add(int64(len(data)))
	}
}

// drop removes the first n bytes of pending.
func (c *callerConn) drop(n int) {
	c.handler.sender.memory.held.Add(-int64(n))
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
}

// readDirectly reads into the buffer of net/http and keeps what belongs to later requests.
func (c *callerConn) readDirectly(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr != nil {
		// The connection was closed during the read. No response could be sent to what arrives from then on.
		return 0, c.readErr
	}
	if n == 0 {
		return 0, c.noteReadError(err)
	}
	passed := c.accept(p[:n])
	c.keep(p[passed:n])
	return passed, nil
}

// readAhead reads from the network while a handler runs. The first byte is read alone, so that connections on which nothing is
// pipelined need no buffer.
func (c *callerConn) readAhead() error {
	var first [1]byte
	buffer := first[:]
	c.mu.Lock()
	if len(c.pending) > 0 {
		buffer = make([]byte, min(aheadReadBytes, maxAheadBytes-len(c.pending)))
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr != nil {
		return c.readErr
	}
	c.keep(buffer[:n])
	if n > 0 {
		return nil
	}
	return c.noteReadError(err)
}

// noteReadError cancels what is handled ahead if the caller has disconnected. What the caller has sent before isn't handled.
func (c *callerConn) noteReadError(err error) error {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.readErr = err
	c.drop(len(c.pending))
	c.queue, c.scanned = nil, 0
	if c.cancelAhead != nil {
		c.cancelAhead(errCallerGone)
	}
	return err
}

// accept follows the bytes that net/http receives and returns how many of data belong to the current request.
func (c *callerConn) accept(data []byte) int {
	if c.plain {
		return len(data)
	}
	if c.bodyLeft > 0 {
		n := min(c.bodyLeft, int64(len(data)))
		c.bodyLeft -= n
		return int(n)
	}
	whole, prefix := data, len(c.partialHead)
	if prefix > 0 {
		c.partialHead = append(c.partialHead, data...)
		whole = c.partialHead
	}
	head, state := recogniseHead(whole)
	switch state {
	case headIncomplete:
		if prefix == 0 {
			c.partialHead = bytes.Clone(data)
		}
		return len(data)
	case headUnusual:
		c.plain, c.partialHead = true, nil
		return len(data)
	}
	c.partialHead = nil
	c.bodyLeft = head.bodyLength
	c.startHandling(nil)
	return head.length - prefix
}

// startHandling notes that net/http has received the head of a request.
func (c *callerConn) startHandling(r *aheadRequest) {
	c.handling = true
	c.current = r
	c.mayBegin = r != nil && r.call != nil
}

// passPending copies bytes that were read ahead to p, up to the end of a request.
func (c *callerConn) passPending(p []byte) int {
	if len(c.pending) == 0 {
		return 0
	}
	available := c.pending[:min(len(p), len(c.pending))]
	n := 0
	if len(c.queue) > 0 {
		next := c.queue[0]
		n = min(len(available), next.left)
		next.left -= n
		c.scanned -= n
		if next.left == 0 {
			c.queue = c.queue[1:]
			c.startHandling(next)
		}
	} else {
		n = c.accept(available)
	}
	copy(p, available[:n])
	c.drop(n)
	return n
}

// recogniseAhead recognises at most maxAhead requests in the bytes that were read ahead. It stops at the first that isn't a safe request.
func (c *callerConn) recogniseAhead() {
	for !c.plain && len(c.queue) < maxAhead && c.scanned < len(c.pending) {
		rest := c.pending[c.scanned:]
		head, state := recogniseHead(rest)
		if state == headIncomplete || state == headComplete && !head.safe {
			return
		}
		var request *http.Request
		err := errors.ErrUnsupported
		if state == headComplete {
			request, err = http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(rest[:head.length]), head.length))
		}
		if err != nil {
			c.plain = true
			return
		}
		request.RemoteAddr = c.RemoteAddr().String()
		c.queue = append(c.queue, &aheadRequest{request: request, arrived: time.Now(), left: head.length})
		c.scanned += head.length
	}
}

// beginAhead begins to handle the requests that were read ahead, in order, up to the first that may not be handled ahead.
func (c *callerConn) beginAhead() {
	if !c.mayBegin || c.closing {
		return
	}
	begun := 0
	for _, r := range c.queue {
		if r.call == nil {
			if r.refused || begun >= maxAhead {
				return
			}
			if c.aheadCtx == nil {
				c.aheadCtx, c.cancelAhead = context.WithCancelCause(context.Background())
			}
			if r.call = c.handler.beginAhead(c.aheadCtx, c, r); r.call == nil {
				r.refused = true
				return
			}
		}
		begun++
	}
}

// permitAhead permits the requests behind the current one to be handled. The handler calls it when it knows that the current one is
// safe and its route idempotent.
func (c *callerConn) permitAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling && c.bodyLeft == 0 {
		c.mayBegin = true
		c.beginAhead()
	}
}

// take returns what is known about the request that net/http has passed to the handler, or nil if it wasn't read ahead. If it differs
// from the one that was read ahead, all results are dropped and nothing more is read ahead.
func (c *callerConn) take(r *http.Request) *aheadRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.current
	if taken == nil {
		return nil
	}
	if sameRequest(taken.request, r) {
		return taken
	}
	c.plain = true
	for _, other := range append([]*aheadRequest{taken}, c.queue...) {
		if other.call != nil {
			other.call.cancel(errAheadDropped)
			other.call = nil
		}
		other.refused = true
	}
	c.handler.Metrics.recordAheadMismatch()
	c.handler.Log.Emit(event.PipelineMismatch)
	return nil
}

// sameRequest reports whether a request that was read ahead is the one that net/http has read.
func sameRequest(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Host == b.Host && b.ContentLength == 0 && len(b.TransferEncoding) == 0 &&
		maps.EqualFunc(a.Header, b.Header, slices.Equal)
}

// finish notes that the handler of the current request has returned.
func (c *callerConn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.mayBegin, c.current = false, false, nil
}

// mayClose reports whether the current response may close the connection, which is not so while requests behind it are handled ahead. If
// it may, nothing more is begun.
func (c *callerConn) mayClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.queue {
		if r.call != nil {
			return false
		}
	}
	c.closing = true
	return true
}

// SetReadDeadline implements net.Conn. Once the connection is closed, only linger sets the deadline, since net/http may still be about to
// clear it.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(c.readErr, net.ErrClosed) {
		return c.readErr
	}
	return c.Conn.SetReadDeadline(t)
}

// isClosed reports whether this side has closed the connection.
func (c *callerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Is(c.readErr, net.ErrClosed)
}

// endReading cancels what is handled ahead when the connection is closed.
func (c *callerConn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr == nil {
		_ = c.noteReadError(net.ErrClosed)
	}
	c.readErr = net.ErrClosed
	c.closing = true
}
