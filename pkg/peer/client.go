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
	"time"

	"golang.org/x/sys/unix"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// maxIdlePerAddress bounds the pooled connections to one server.
	maxIdlePerAddress = 256
	// idleTimeout closes pooled connections that nobody uses.
	idleTimeout = 60 * time.Second
	// sweepInterval is the time between searches for dead and expired connections, also to addresses that are gone.
	sweepInterval = 5 * time.Second
	// dialTimeout bounds a connection attempt; within a data centre one takes about 1 ms.
	dialTimeout = time.Second
	// maxClosingRetries bounds the attempts of a call whose server keeps closing connections.
	maxClosingRetries = 3
)

// errClosing means that the server closed the connection without reading the request.
var errClosing = errors.New("the server closed the idle connection")

// errClientClosed means that Close was called.
var errClientClosed = errors.New("the peer client is closed")

// Client sends calls and exchanges to servers.
type Client struct {
	vm       string
	versions versions

	mu     sync.Mutex
	idle   map[string][]idleConn
	swept  time.Time
	closed bool
}

type idleConn struct {
	conn  *conn
	since time.Time
}

// NewClient returns a client that introduces itself with the name of its VM.
func NewClient(vm string) *Client {
	return &Client{vm: vm, versions: ownVersions, idle: map[string][]idleConn{}}
}

// Close closes the idle connections. Exchanges in flight end by themselves.
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

// get returns a pooled connection that is alive, or a new one.
func (c *Client) get(ctx context.Context, addr string) (*conn, error) {
	for {
		pooled, err := c.takeIdle(addr)
		if err != nil {
			return nil, err
		}
		if pooled == nil {
			return c.dial(ctx, addr)
		}
		if quiet(pooled) {
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

// put returns a connection after a complete exchange.
func (c *Client) put(addr string, conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[addr]) >= maxIdlePerAddress {
		_ = conn.Close()
		return
	}
	now := time.Now()
	c.idle[addr] = append(c.idle[addr], idleConn{conn: conn, since: now})
	if now.Sub(c.swept) > sweepInterval {
		c.swept = now
		c.sweep(now)
	}
}

// sweep closes connections that have expired or that the server has closed.
func (c *Client) sweep(now time.Time) {
	for addr, conns := range c.idle {
		kept := conns[:0]
		for _, i := range conns {
			if now.Sub(i.since) <= idleTimeout && quiet(i.conn) {
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

// quiet tells whether nothing has arrived on an idle connection: neither data nor its end.
func quiet(c *conn) bool {
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
		return nil, fmt.Errorf("hello with %s: %w", addr, err)
	}
	_ = raw.SetDeadline(time.Time{})
	return conn, nil
}

// Call sends a message and decodes the reply. It returns a *RemoteError if the other side's handler refused, else a
// *problem.Error whose outcome tells whether the call may have been processed.
func (c *Client) Call(ctx context.Context, addr string, t wire.Type, request any, replyType wire.Type, reply any) error {
	for attempt := 0; ; attempt++ {
		err := c.callOnce(ctx, addr, t, request, replyType, reply)
		if errors.Is(err, errClosing) && attempt < maxClosingRetries {
			continue
		}
		if errors.Is(err, errClosing) {
			return notRun(err)
		}
		return err
	}
}

func (c *Client) callOnce(ctx context.Context, addr string, t wire.Type, request any, replyType wire.Type, reply any) error {
	conn, err := c.get(ctx, addr)
	if err != nil {
		return notRun(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	frame, err := conn.roundTrip(t, request)
	alive := stop()
	if err != nil {
		_ = conn.Close()
		return conn.failure(ctx, err)
	}
	if alive {
		c.put(addr, conn)
	}
	if frame.Type == wire.TypeError {
		return remoteError(frame)
	}
	if frame.Type != replyType {
		return unknown(ctx, fmt.Errorf("frame type %d instead of %d", frame.Type, replyType))
	}
	if err := frame.Decode(reply); err != nil {
		return unknown(ctx, err)
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
	if closing(frame) {
		return wire.Frame{}, errClosing
	}
	return frame, nil
}

func closing(frame wire.Frame) bool {
	if frame.Type != wire.TypeError {
		return false
	}
	var e wire.Error
	return frame.Decode(&e) == nil && e.Code == codeClosing
}

// failure turns a transport error into one with an outcome. The result wraps errClosing as it is, so that calls can be
// sent again.
func (c *conn) failure(ctx context.Context, err error) error {
	if errors.Is(err, errClosing) {
		return err
	}
	if c.sent == 0 {
		return notRun(err)
	}
	return unknown(ctx, err)
}

// Handler returns the handler that executes requests at the server of an address.
func (c *Client) Handler(addr string) exchange.Handler {
	return &remote{client: c, addr: addr}
}

type remote struct {
	client *Client
	addr   string
}

// Handle implements exchange.Handler.
func (r *remote) Handle(ctx context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error) {
	conn, err := r.client.get(ctx, r.addr)
	if err != nil {
		return nil, notRun(err)
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

// clientExchange is one exchange on a connection. It is also the body of its answer.
type clientExchange struct {
	client *Client
	addr   string
	conn   *conn
	stop   func() bool
	// uploaded receives whether the whole request body was sent.
	uploaded chan bool

	// mu guards what follows: Close may be called while another goroutine reads.
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
			return nil, notRun(err)
		}
		return nil, unknown(ctx, err)
	}
	frame, err := wire.ReadFrame(x.conn.reader)
	if err != nil {
		return nil, unknown(ctx, err)
	}
	if closing(frame) {
		return nil, notRun(errClosing)
	}
	return x.accept(ctx, request, frame)
}

// start sends the request. A body that is in memory goes out with the head in one write; any other body is sent by a
// goroutine, because the answer may begin before the body ends.
func (x *clientExchange) start(ctx context.Context, request *wire.Request, body io.Reader) error {
	head := *request
	if deadline, ok := ctx.Deadline(); ok {
		head.DeadlineMicros = max(time.Until(deadline).Microseconds(), 1)
	}
	x.conn.sent = 0
	x.uploaded = make(chan bool, 1)
	chunk := chunks.Get().(*[]byte)
	defer chunks.Put(chunk)
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
		complete, err := x.conn.sendBody(body, head.ContentLength)
		x.uploaded <- complete && err == nil
	}()
	return nil
}

// smallBody returns a body that is already in memory and fits in one chunk.
func smallBody(body io.Reader, length int64) ([]byte, bool) {
	if body == nil || body == http.NoBody || length == 0 {
		return nil, true
	}
	r, ok := body.(*bytes.Reader)
	if !ok || r.Len() > wire.BodyChunkBytes || length >= 0 && int64(r.Len()) != length {
		return nil, false
	}
	data := make([]byte, r.Len())
	// Reading from memory doesn't fail.
	_, _ = io.ReadFull(r, data)
	return data, true
}

func (x *clientExchange) accept(ctx context.Context, request *wire.Request, frame wire.Frame) (*exchange.Response, error) {
	if frame.Type == wire.TypeError {
		return nil, unknown(ctx, remoteError(frame))
	}
	if frame.Type != wire.TypeResponse {
		return nil, unknown(ctx, fmt.Errorf("frame type %d instead of Response", frame.Type))
	}
	var head wire.Response
	if err := frame.Decode(&head); err != nil {
		return nil, unknown(ctx, err)
	}
	if head.ID != request.ID {
		return nil, unknown(ctx, errors.New("the answer belongs to another request"))
	}
	x.length = bodyLength(request, &head)
	if head.Code != "" {
		// The connection can be used again if End follows.
		x.length = -1
		_, _ = io.Copy(io.Discard, x)
		_ = x.Close()
		return nil, refusal(&head)
	}
	return &exchange.Response{Head: head, Body: x}, nil
}

func refusal(head *wire.Response) *problem.Error {
	e := problem.New(head.Status, problem.Code(head.Code), problem.Outcome(head.Outcome), head.Detail)
	return e.After(time.Duration(head.RetryAfterMillis) * time.Millisecond)
}

// Read implements io.Reader. A transfer that broke ends with io.ErrUnexpectedEOF.
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

// next reads the next frame of the answer.
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
		x.chunk = chunks.Get().(*[]byte)
	}
	return (*x.chunk)[:n]
}

// finish ends the exchange. The connection is pooled only if both bodies are complete and nothing cancelled the exchange.
func (x *clientExchange) finish(complete bool) {
	if x.done != nil {
		return
	}
	x.done = io.ErrUnexpectedEOF
	if complete {
		x.done = io.EOF
	}
	uploaded := false
	select {
	case uploaded = <-x.uploaded:
	default:
	}
	if x.stop() && complete && uploaded {
		x.client.put(x.addr, x.conn)
	} else {
		_ = x.conn.Close()
	}
	if x.chunk != nil && len(x.data) == 0 {
		chunks.Put(x.chunk)
		x.chunk = nil
	}
}

// abort ends an exchange without an answer.
func (x *clientExchange) abort() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.finish(false)
}

// Close implements io.Closer. Closing before the end of the answer cancels the exchange.
func (x *clientExchange) Close() error {
	if !x.mu.TryLock() {
		// A reader is blocked; closing the connection ends it.
		_ = x.conn.Close()
		x.mu.Lock()
	}
	defer x.mu.Unlock()
	x.data = nil
	x.finish(false)
	return nil
}
