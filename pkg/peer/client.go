package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// maxIdlePerAddress limits the number of pooled connections to one server.
	maxIdlePerAddress = 256
	// idleTimeout is the time after which an unused pooled connection is closed.
	idleTimeout = 60 * time.Second
	// sweepInterval is the minimum time between two searches of the pool for dead and expired connections. A sweep covers
	// all addresses, so that connections to servers that no longer exist are closed too.
	sweepInterval = 5 * time.Second
	// dialTimeout limits a connection attempt. Within a data centre an attempt takes about 1 ms.
	dialTimeout = time.Second
	// uploadSettleTime is how long a connection waits for the end of a request body's last write after the answer has ended. The server
	// may answer before the write returns.
	uploadSettleTime = 50 * time.Millisecond
	// maxClosingRetries limits the retries of a call if the server keeps closing connections.
	maxClosingRetries = 3
)

// errClosing is returned if the server announced that it is closing the connection, and so did not process the request.
var errClosing = errors.New("the server closed the idle connection")

// errClientClosed is returned after Close has been called.
var errClientClosed = errors.New("the peer client is closed")

// Client sends calls and requests to servers over pooled connections.
type Client struct {
	vm       string
	versions versions

	mu        sync.Mutex
	idle      map[string][]idleConn
	lastSweep time.Time
	closed    bool
}

type idleConn struct {
	conn  *conn
	since time.Time
}

// NewClient returns a client that identifies itself by the name of its VM.
func NewClient(vm string) *Client {
	return &Client{vm: vm, versions: supportedVersions, idle: map[string][]idleConn{}}
}

// Close closes the idle connections. Exchanges in flight continue, and their connections are closed when they end.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conns := range c.idle {
		closeAll(conns)
	}
	c.idle = map[string][]idleConn{}
}

func closeAll(conns []idleConn) {
	for _, i := range conns {
		_ = i.conn.Close()
	}
}

// getConn returns a live pooled connection, or dials a new one.
func (c *Client) getConn(ctx context.Context, addr string) (*conn, error) {
	for {
		pooled, err := c.takeIdle(addr)
		if err != nil {
			return nil, err
		}
		if pooled == nil {
			return c.dial(ctx, addr)
		}
		if noPendingInput(pooled) {
			return pooled, nil
		}
		_ = pooled.Close()
	}
}

func (c *Client) takeIdle(addr string) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errClientClosed
	}
	conns := c.idle[addr]
	if len(conns) == 0 {
		return nil, nil
	}
	last := conns[len(conns)-1]
	c.idle[addr] = conns[:len(conns)-1]
	return last.conn, nil
}

// putConn returns a connection to the pool after a complete exchange.
func (c *Client) putConn(addr string, conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[addr]) >= maxIdlePerAddress {
		_ = conn.Close()
		return
	}
	now := time.Now()
	c.idle[addr] = append(c.idle[addr], idleConn{conn: conn, since: now})
	if now.Sub(c.lastSweep) > sweepInterval {
		c.lastSweep = now
		c.sweep(now)
	}
}

// sweep closes the pooled connections that have expired or that the server has closed.
func (c *Client) sweep(now time.Time) {
	for addr, conns := range c.idle {
		kept := conns[:0]
		for _, i := range conns {
			if now.Sub(i.since) <= idleTimeout && noPendingInput(i.conn) {
				kept = append(kept, i)
				continue
			}
			_ = i.conn.Close()
		}
		c.idle[addr] = kept
		if len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
}

// noPendingInput reports whether nothing has arrived on an idle connection, neither data nor end of stream.
func noPendingInput(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}

func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	conn := newConn(raw)
	_ = raw.SetDeadline(time.Now().Add(helloTimeout))
	err = conn.sendHello(c.versions, c.vm)
	if err == nil {
		err = conn.receiveHello(c.versions)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("handshake with %s: %w", addr, err)
	}
	_ = raw.SetDeadline(time.Time{})
	return conn, nil
}

// Call sends a message and decodes the reply. It returns a *RemoteError if the remote side returned an error. Any other
// error is a *problem.Error whose outcome states whether the call may have been processed.
func (c *Client) Call(ctx context.Context, addr string, t wire.Type, request any, replyType wire.Type, reply any) error {
	for attempt := 0; ; attempt++ {
		err := c.callOnce(ctx, addr, t, request, replyType, reply)
		if errors.Is(err, errClosing) && attempt < maxClosingRetries {
			continue
		}
		if errors.Is(err, errClosing) {
			return notRunError(err)
		}
		return err
	}
}

func (c *Client) callOnce(ctx context.Context, addr string, t wire.Type, request any, replyType wire.Type, reply any) error {
	conn, err := c.getConn(ctx, addr)
	if err != nil {
		return notRunError(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	frame, err := conn.roundTrip(t, request)
	alive := stop()
	if err != nil {
		_ = conn.Close()
		return conn.withOutcome(ctx, err)
	}
	if alive {
		c.putConn(addr, conn)
	}
	if frame.Type == wire.TypeError {
		return remoteError(frame)
	}
	if frame.Type != replyType {
		return unknownOutcomeError(ctx, fmt.Errorf("unexpected frame type %d, want %d", frame.Type, replyType))
	}
	if err := frame.Decode(reply); err != nil {
		return unknownOutcomeError(ctx, err)
	}
	return nil
}

func (c *conn) roundTrip(t wire.Type, request any) (wire.Frame, error) {
	c.sent = 0
	if err := c.send(t, request); err != nil {
		return wire.Frame{}, err
	}
	frame, err := wire.ReadFrame(c.reader)
	if err != nil {
		return wire.Frame{}, err
	}
	if isClosing(frame) {
		return wire.Frame{}, errClosing
	}
	return frame, nil
}

func isClosing(frame wire.Frame) bool {
	if frame.Type != wire.TypeError {
		return false
	}
	var e wire.Error
	return frame.Decode(&e) == nil && e.Code == codeClosing
}

// withOutcome converts a transport error into a *problem.Error with an outcome. It returns errClosing unchanged, so that
// Call can retry.
func (c *conn) withOutcome(ctx context.Context, err error) error {
	if errors.Is(err, errClosing) {
		return err
	}
	if c.sent == 0 {
		return notRunError(err)
	}
	return unknownOutcomeError(ctx, err)
}

// Handler returns a handler that executes requests on the server at an address.
func (c *Client) Handler(addr string) exchange.Handler {
	return &remoteHandler{client: c, addr: addr}
}

type remoteHandler struct {
	client *Client
	addr   string
}

// Handle implements exchange.Handler.
func (r *remoteHandler) Handle(ctx context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error) {
	conn, err := r.client.getConn(ctx, r.addr)
	if err != nil {
		return nil, notRunError(err)
	}
	x := &clientExchange{client: r.client, addr: r.addr, conn: conn}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, err := x.run(ctx, request, body)
	if err != nil {
		x.abort()
		return nil, err
	}
	return response, nil
}

// clientExchange is one exchange on a connection. It also serves as the body of the response.
type clientExchange struct {
	client *Client
	addr   string
	conn   *conn
	stop   func() bool
	// uploaded receives a value when the upload ends: true if the whole request body was sent.
	uploaded chan bool
	// bodyRead is set once the request body has been read to its end.
	bodyRead atomic.Bool

	// mu guards the fields below. Close may be called while another goroutine reads.
	mu       sync.Mutex
	chunk    *[]byte
	data     []byte
	length   int64
	received int64
	done     error
}

func (x *clientExchange) run(ctx context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error) {
	if err := x.start(ctx, request, body); err != nil {
		if x.conn.sent == 0 {
			return nil, notRunError(err)
		}
		return nil, unknownOutcomeError(ctx, err)
	}
	frame, err := wire.ReadFrame(x.conn.reader)
	if err != nil {
		return nil, unknownOutcomeError(ctx, err)
	}
	if isClosing(frame) {
		return nil, notRunError(errClosing)
	}
	return x.acceptResponse(ctx, request, frame)
}

// start sends the request. A small in-memory body is written together with the head. Any other body is sent by a separate
// goroutine, because the response may begin before the body ends.
func (x *clientExchange) start(ctx context.Context, request *wire.Request, body io.Reader) error {
	head := *request
	if deadline, ok := ctx.Deadline(); ok {
		head.DeadlineMicros = max(time.Until(deadline).Microseconds(), 1)
	}
	x.conn.sent = 0
	x.uploaded = make(chan bool, 1)
	chunk := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(chunk)
	buf, err := wire.AppendMessage((*chunk)[:0], x.conn.version, wire.TypeRequest, &head)
	if err != nil {
		return err
	}
	data, inMemory := smallBody(body, head.ContentLength)
	if inMemory {
		buf = appendSmallBody(buf, x.conn.version, data)
	}
	if _, err := x.conn.Write(buf); err != nil {
		return err
	}
	if inMemory {
		x.uploaded <- true
		return nil
	}
	go func() {
		complete, err := x.conn.sendBody(&endNotifier{body, &x.bodyRead}, head.ContentLength)
		x.uploaded <- complete && err == nil
	}()
	return nil
}

// endNotifier is a reader that reports its end.
type endNotifier struct {
	io.Reader
	ended *atomic.Bool
}

// Read implements io.Reader.
func (r *endNotifier) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.ended.Store(true)
	}
	return n, err
}

// smallBody returns the content of a body that is already in memory and fits in one chunk. It reports false for any other
// body, which it leaves unread.
func smallBody(body io.Reader, length int64) ([]byte, bool) {
	if body == nil || body == http.NoBody || length == 0 {
		return nil, true
	}
	r, ok := body.(*bytes.Reader)
	if !ok || r.Len() > wire.BodyChunkBytes || length >= 0 && int64(r.Len()) != length {
		return nil, false
	}
	data := make([]byte, r.Len())
	// Reading from memory can't fail.
	_, _ = io.ReadFull(r, data)
	return data, true
}

func (x *clientExchange) acceptResponse(ctx context.Context, request *wire.Request, frame wire.Frame) (*exchange.Response, error) {
	if frame.Type == wire.TypeError {
		return nil, unknownOutcomeError(ctx, remoteError(frame))
	}
	if frame.Type != wire.TypeResponse {
		return nil, unknownOutcomeError(ctx, fmt.Errorf("unexpected frame type %d, want Response", frame.Type))
	}
	var head wire.Response
	if err := frame.Decode(&head); err != nil {
		return nil, unknownOutcomeError(ctx, err)
	}
	if head.ID != request.ID {
		return nil, unknownOutcomeError(ctx, errors.New("the answer belongs to another request"))
	}
	if head.Status < http.StatusOK || head.Status > 599 {
		return nil, unknownOutcomeError(ctx, fmt.Errorf("invalid status code %d", head.Status))
	}
	x.length = bodyLength(request, &head)
	if head.Code != "" {
		// Read up to the End frame, after which the connection can be reused.
		x.length = -1
		_, _ = io.Copy(io.Discard, x)
		_ = x.Close()
		return nil, refusalError(&head)
	}
	return &exchange.Response{Head: head, Body: x}, nil
}

func refusalError(head *wire.Response) *problem.Error {
	e := problem.New(head.Status, problem.Code(head.Code), problem.Outcome(head.Outcome), head.Detail)
	return e.After(time.Duration(head.RetryAfterMillis) * time.Millisecond)
}

// Read implements io.Reader. An interrupted transfer ends with io.ErrUnexpectedEOF.
func (x *clientExchange) Read(p []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for len(x.data) == 0 && x.done == nil {
		x.next()
	}
	if len(x.data) == 0 {
		return 0, x.done
	}
	n := copy(p, x.data)
	x.data = x.data[n:]
	return n, nil
}

// next reads the next frame of the response.
func (x *clientExchange) next() {
	frame, err := wire.ReadFrameInto(x.conn.reader, x.alloc)
	if err != nil {
		x.finish(false)
		return
	}
	switch frame.Type {
	case wire.TypeBody:
		x.data, err = frame.BodyData()
		x.received += int64(len(x.data))
		if err != nil {
			x.finish(false)
		}
	case wire.TypeEnd:
		x.finish(frame.IsComplete() && (x.length < 0 || x.received == x.length))
	default:
		x.finish(false)
	}
}

func (x *clientExchange) alloc(n int) []byte {
	if n > chunkBytes {
		return make([]byte, n)
	}
	if x.chunk == nil {
		x.chunk = chunkPool.Get().(*[]byte)
	}
	return (*x.chunk)[:n]
}

// finish ends the exchange. It returns the connection to the pool only if both bodies are complete and the exchange was
// not cancelled; otherwise it closes the connection.
func (x *clientExchange) finish(complete bool) {
	if x.done != nil {
		return
	}
	x.done = io.ErrUnexpectedEOF
	if complete {
		x.done = io.EOF
	}
	if x.stop() && complete && x.uploadComplete() {
		x.client.putConn(x.addr, x.conn)
	} else {
		_ = x.conn.Close()
	}
	if x.chunk != nil && len(x.data) == 0 {
		chunkPool.Put(x.chunk)
		x.chunk = nil
	}
}

// uploadComplete reports whether the whole request body was sent. It waits for the last write if the body has been read to its end.
func (x *clientExchange) uploadComplete() bool {
	select {
	case uploaded := <-x.uploaded:
		return uploaded
	default:
	}
	if !x.bodyRead.Load() {
		return false
	}
	select {
	case uploaded := <-x.uploaded:
		return uploaded
	case <-time.After(uploadSettleTime):
		return false
	}
}

// abort ends an exchange that has no response.
func (x *clientExchange) abort() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.finish(false)
}

// Close implements io.Closer. Closing the body before its end cancels the exchange.
func (x *clientExchange) Close() error {
	if !x.mu.TryLock() {
		// Another goroutine may be blocked in Read. Closing the connection unblocks it.
		_ = x.conn.Close()
		x.mu.Lock()
	}
	defer x.mu.Unlock()
	x.data = nil
	x.finish(false)
	return nil
}
