package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// readAheadFrames is the number of frames that are read before the handler consumes them. It has room for a small body
	// and its End frame, so that the reader notices when a client disconnects while its request waits in a queue.
	readAheadFrames = 2
	// drainTimeout limits the wait for the rest of a body that the handler didn't read.
	drainTimeout = 2 * time.Second
	// closingLinger limits the wait for requests that were already on the way when the server announced closing. The
	// one-way latency is at most 8 ms. The limit is needed because a client doesn't immediately close an idle connection.
	closingLinger = 250 * time.Millisecond
	// writeGrace is the time after a request's deadline during which its response may still be written.
	writeGrace = time.Second
)

// CallHandler handles a call and returns the type and content of the reply. from is the name of the calling process's VM.
type CallHandler func(ctx context.Context, from string, frame wire.Frame) (wire.Type, any, error)

// Server accepts connections and serves the calls and requests that arrive on them.
type Server struct {
	vm             string
	versions       versions
	callHandlers   map[wire.Type]CallHandler
	requestHandler exchange.Handler

	// closing is closed by Shutdown.
	closing chan struct{}

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	stopped   bool
	active    sync.WaitGroup
}

// NewServer returns a server that identifies itself by the name of its VM.
func NewServer(vm string) *Server {
	return &Server{
		vm:           vm,
		versions:     supportedVersions,
		callHandlers: map[wire.Type]CallHandler{},
		closing:      make(chan struct{}),
		listeners:    map[net.Listener]struct{}{},
		conns:        map[*conn]struct{}{},
	}
}

// HandleCall registers the handler of a message type. It must not be called after Serve.
func (s *Server) HandleCall(t wire.Type, h func(ctx context.Context, from string, frame wire.Frame) (wire.Type, any, error)) {
	s.callHandlers[t] = h
}

// HandleRequests registers the handler of requests. It must not be called after Serve.
func (s *Server) HandleRequests(h exchange.Handler) {
	s.requestHandler = h
}

// Serve accepts connections until Shutdown is called, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		_ = l.Close()
		return nil
	}
	for {
		raw, err := l.Accept()
		if err != nil {
			return s.acceptError(err)
		}
		c := newConn(raw)
		if !s.addConn(c) {
			_ = raw.Close()
			return nil
		}
		go func() {
			defer s.removeConn(c)
			s.serveConn(c)
		}()
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) acceptError(err error) error {
	select {
	case <-s.closing:
		return nil
	default:
		return err
	}
}

func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.conns[c] = struct{}{}
	s.active.Add(1)
	return true
}

func (s *Server) removeConn(c *conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.active.Done()
}

// Shutdown stops accepting connections, closes idle connections and waits for the exchanges in flight. If the context is
// done first, it closes their connections and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.closeConns()
	<-done
	return ctx.Err()
}

func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	close(s.closing)
	for l := range s.listeners {
		_ = l.Close()
	}
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// inboundFrame is a received frame with the pooled buffer that holds its payload, if any.
type inboundFrame struct {
	frame  wire.Frame
	buffer *[]byte
}

func (i inboundFrame) free() {
	if i.buffer != nil {
		chunkPool.Put(i.buffer)
	}
}

// serverConn is a connection after the handshake. It reads ahead, so that the exchange is cancelled when the client
// disconnects.
type serverConn struct {
	*conn
	server *Server
	frames chan inboundFrame
	ctx    context.Context
	cancel context.CancelFunc
}

func (s *Server) serveConn(c *conn) {
	if err := s.handshake(c); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	sc := &serverConn{conn: c, server: s, frames: make(chan inboundFrame, readAheadFrames), ctx: ctx, cancel: cancel}
	read := make(chan struct{})
	go func() {
		defer close(read)
		sc.readFrames()
	}()
	sc.serve()
	cancel()
	_ = c.Close()
	<-read
}

func (s *Server) handshake(c *conn) error {
	_ = c.SetDeadline(time.Now().Add(helloTimeout))
	if err := c.receiveHello(s.versions); err != nil {
		if errors.Is(err, errNoCommonVersion) {
			c.version = s.versions.low
			_ = c.send(wire.TypeError, wire.Error{Code: codeVersion, Message: err.Error()})
		}
		return err
	}
	if err := c.sendHello(s.versions, s.vm); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// readFrames queues the received frames until the connection ends, and then cancels the exchange in flight.
func (c *serverConn) readFrames() {
	defer close(c.frames)
	defer c.cancel()
	for {
		var in inboundFrame
		var err error
		in.frame, err = wire.ReadFrameInto(c.reader, func(n int) []byte {
			if n > chunkBytes {
				return make([]byte, n)
			}
			in.buffer = chunkPool.Get().(*[]byte)
			return (*in.buffer)[:n]
		})
		if err != nil {
			in.free()
			return
		}
		select {
		case c.frames <- in:
		case <-c.ctx.Done():
			in.free()
			return
		}
	}
}

// serve runs the exchanges of a connection one after the other. Only this goroutine chooses between starting an exchange
// and announcing that the connection is closing, and it starts no exchange after the announcement.
func (c *serverConn) serve() {
	for {
		select {
		case <-c.server.closing:
			c.announceClosing()
			return
		default:
		}
		select {
		case in, ok := <-c.frames:
			if !ok || !c.dispatch(in) {
				return
			}
		case <-c.server.closing:
			c.announceClosing()
			return
		}
	}
}

// announceClosing tells the client that no further requests are processed, and discards the frames that were already on
// the way. Closing the connection with unread data would reset it, and the announcement could be lost.
func (c *serverConn) announceClosing() {
	_ = c.SetDeadline(time.Now().Add(closingLinger))
	if err := c.send(wire.TypeError, wire.Error{Code: codeClosing, Message: "the server closes this connection"}); err != nil {
		return
	}
	if tcp, ok := c.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	for in := range c.frames {
		in.free()
	}
}

// dispatch runs one exchange and reports whether the connection can be used for another one.
func (c *serverConn) dispatch(in inboundFrame) bool {
	if in.frame.Type == wire.TypeRequest {
		return c.serveRequest(in)
	}
	defer in.free()
	handler, ok := c.server.callHandlers[in.frame.Type]
	if !ok {
		message := fmt.Sprintf("frame type %d has no handler", in.frame.Type)
		return c.send(wire.TypeError, wire.Error{Code: codeUnsupported, Message: message}) == nil
	}
	t, reply, err := handler(c.ctx, c.remote, in.frame)
	if err != nil {
		return c.send(wire.TypeError, callError(err)) == nil
	}
	return c.send(t, reply) == nil
}

func callError(err error) wire.Error {
	var p *problem.Error
	if errors.As(err, &p) {
		return wire.Error{Code: string(p.Code), Message: p.Detail}
	}
	return wire.Error{Code: codeInternal, Message: err.Error()}
}

func (c *serverConn) serveRequest(in inboundFrame) bool {
	var request wire.Request
	err := in.frame.Decode(&request)
	in.free()
	if err != nil || c.server.requestHandler == nil {
		_ = c.send(wire.TypeError, wire.Error{Code: codeUnsupported, Message: "the request can't be handled here"})
		return false
	}
	ctx, cancel := c.requestContext(&request)
	defer cancel()
	body := &serverBody{conn: c, ctx: ctx, length: request.ContentLength}
	ok := c.respond(ctx, &request, body)
	_ = c.SetWriteDeadline(time.Time{})
	return ok && body.drain()
}

func (c *serverConn) requestContext(request *wire.Request) (context.Context, context.CancelFunc) {
	if request.DeadlineMicros <= 0 {
		return context.WithCancel(c.ctx)
	}
	d := time.Duration(request.DeadlineMicros) * time.Microsecond
	_ = c.SetWriteDeadline(time.Now().Add(d + writeGrace))
	return context.WithTimeout(c.ctx, d)
}

// respond runs the handler and sends its response. It reports whether the response was sent completely.
func (c *serverConn) respond(ctx context.Context, request *wire.Request, body io.Reader) bool {
	response, err := c.server.requestHandler.Handle(ctx, request, body)
	if err != nil {
		return c.sendSmallResponse(errorResponseHead(request, err), nil) == nil
	}
	defer func() { _ = response.Body.Close() }()
	if response.Head.ID == "" {
		response.Head.ID = request.ID
	}
	length := bodyLength(request, &response.Head)
	if response.Head.Code != "" {
		return c.sendSmallResponse(&response.Head, nil) == nil
	}
	if length >= 0 && length <= wire.BodyChunkBytes {
		return c.respondSmall(response, int(length))
	}
	if err := c.send(wire.TypeResponse, &response.Head); err != nil {
		return false
	}
	complete, err := c.sendBody(response.Body, length)
	return complete && err == nil
}

// respondSmall sends a small response in one write, which saves the client two wake-ups.
func (c *serverConn) respondSmall(response *exchange.Response, length int) bool {
	chunk := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(chunk)
	// Reading one byte more than announced detects a body that is too long.
	n, err := io.ReadFull(response.Body, (*chunk)[:length+1])
	if n == length && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) {
		return c.sendSmallResponse(&response.Head, (*chunk)[:n]) == nil
	}
	if err := c.send(wire.TypeResponse, &response.Head); err != nil {
		return false
	}
	_, _ = c.sendBody(io.MultiReader(bytes.NewReader((*chunk)[:min(n, length)]), brokenReader{}), -1)
	return false
}

// brokenReader is an empty body that ends with io.ErrUnexpectedEOF, which marks it as incomplete.
type brokenReader struct{}

// Read implements io.Reader.
func (brokenReader) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}

func (c *serverConn) sendSmallResponse(head *wire.Response, data []byte) error {
	chunk := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(chunk)
	buf, err := wire.AppendMessage((*chunk)[:0], c.version, wire.TypeResponse, head)
	if err != nil {
		return err
	}
	_, err = c.Write(appendSmallBody(buf, c.version, data))
	return err
}

func errorResponseHead(request *wire.Request, err error) *wire.Response {
	var p *problem.Error
	if !errors.As(err, &p) {
		p = problem.New(502, problem.CodeTargetFailed, problem.Unknown, err.Error())
	}
	return &wire.Response{
		ID:               request.ID,
		Status:           p.Status,
		Outcome:          string(p.Outcome),
		Code:             string(p.Code),
		Detail:           p.Detail,
		RetryAfterMillis: p.RetryAfter.Milliseconds(),
	}
}

// serverBody is the body of an incoming request. A goroutine that outlives the handler may still read it, as
// http.Transport does; reads after the end of the exchange return the final error.
type serverBody struct {
	conn *serverConn
	// ctx cancels reads that wait for the client.
	ctx    context.Context
	length int64

	mu       sync.Mutex
	received int64
	current  inboundFrame
	data     []byte
	done     error
}

// Read implements io.Reader. An incomplete body ends with io.ErrUnexpectedEOF.
func (b *serverBody) Read(p []byte) (int, error) {
	return b.read(b.ctx, p)
}

func (b *serverBody) read(ctx context.Context, p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.data) == 0 && b.done == nil {
		b.next(ctx)
	}
	if len(b.data) == 0 {
		return 0, b.done
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

func (b *serverBody) next(ctx context.Context) {
	b.current.free()
	b.current = inboundFrame{}
	select {
	case in, ok := <-b.conn.frames:
		b.done = io.ErrUnexpectedEOF
		if ok {
			b.done = b.acceptFrame(in)
		}
	case <-ctx.Done():
		b.done = io.ErrUnexpectedEOF
	}
}

func (b *serverBody) acceptFrame(in inboundFrame) error {
	switch in.frame.Type {
	case wire.TypeBody:
		data, err := in.frame.BodyData()
		b.received += int64(len(data))
		if err != nil || b.length >= 0 && b.received > b.length {
			in.free()
			return io.ErrUnexpectedEOF
		}
		b.current = in
		b.data = data
		return nil
	case wire.TypeEnd:
		complete := in.frame.IsComplete() && (b.length < 0 || b.received == b.length)
		in.free()
		if complete {
			return io.EOF
		}
	}
	return io.ErrUnexpectedEOF
}

// isComplete reports whether the End frame of a complete body has been processed or is already queued, as it is for most
// requests without a body. It doesn't wait for frames.
func (b *serverBody) isComplete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done == nil && len(b.data) == 0 {
		select {
		case in, ok := <-b.conn.frames:
			b.current.free()
			b.current = inboundFrame{}
			b.done = io.ErrUnexpectedEOF
			if ok {
				b.done = b.acceptFrame(in)
			}
		default:
		}
	}
	return errors.Is(b.done, io.EOF)
}

// drain discards the part of the body that the handler didn't read, and reports whether the body was complete.
func (b *serverBody) drain() bool {
	if b.isComplete() {
		return true
	}
	ctx, cancel := context.WithTimeout(b.conn.ctx, drainTimeout)
	defer cancel()
	chunk := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(chunk)
	for {
		if _, err := b.read(ctx, *chunk); err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}
