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
	// framesAhead is the number of frames read before the handler asks for them. A small body and its End fit, so that
	// the reader notices a client that goes away while its request waits in a queue.
	framesAhead = 2
	// drainTimeout bounds the wait for the rest of a body that the handler didn't want.
	drainTimeout = 2 * time.Second
	// closingLinger bounds the wait for requests that crossed the announcement of closing; one-way latency is at most
	// 8 ms. A client whose connection is idle doesn't close it at once.
	closingLinger = 250 * time.Millisecond
	// writeGrace is added to a request's deadline for writing its answer.
	writeGrace = time.Second
)

// CallHandler answers a call. from is the VM of the caller.
type CallHandler func(ctx context.Context, from string, frame wire.Frame) (wire.Type, any, error)

// Server accepts calls and exchanges.
type Server struct {
	vm       string
	versions versions
	calls    map[wire.Type]CallHandler
	requests exchange.Handler

	// closing is closed by Shutdown.
	closing chan struct{}

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	stopped   bool
	active    sync.WaitGroup
}

// NewServer returns a server that introduces itself with the name of its VM.
func NewServer(vm string) *Server {
	return &Server{
		vm:        vm,
		versions:  ownVersions,
		calls:     map[wire.Type]CallHandler{},
		closing:   make(chan struct{}),
		listeners: map[net.Listener]struct{}{},
		conns:     map[*conn]struct{}{},
	}
}

// HandleCall registers the handler of a message type. All handlers are registered before Serve.
func (s *Server) HandleCall(t wire.Type, h func(ctx context.Context, from string, frame wire.Frame) (wire.Type, any, error)) {
	s.calls[t] = h
}

// HandleRequests registers the handler of exchanges.
func (s *Server) HandleRequests(h exchange.Handler) {
	s.requests = h
}

// Serve accepts connections until Shutdown is called; it returns nil then.
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

// Shutdown stops accepting, closes idle connections and waits for the exchanges in flight. When the context ends first,
// it breaks them and returns the context's error.
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

// inbound is a frame with the buffer that holds its payload.
type inbound struct {
	frame  wire.Frame
	buffer *[]byte
}

func (i inbound) free() {
	if i.buffer != nil {
		chunks.Put(i.buffer)
	}
}

// serverConn reads ahead on its connection, so that a client that goes away cancels the exchange.
type serverConn struct {
	*conn
	server *Server
	frames chan inbound
	ctx    context.Context
	cancel context.CancelFunc
}

func (s *Server) serveConn(c *conn) {
	if err := s.hello(c); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	sc := &serverConn{conn: c, server: s, frames: make(chan inbound, framesAhead), ctx: ctx, cancel: cancel}
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

func (s *Server) hello(c *conn) error {
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

// readFrames passes frames on until the connection breaks; then it cancels the exchange in flight.
func (c *serverConn) readFrames() {
	defer close(c.frames)
	defer c.cancel()
	for {
		var in inbound
		var err error
		in.frame, err = wire.ReadFrameInto(c.reader, func(n int) []byte {
			if n > chunkBytes {
				return make([]byte, n)
			}
			in.buffer = chunks.Get().(*[]byte)
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

// serve runs one exchange after the other. Only this goroutine decides between starting an exchange and announcing the
// end of the connection; it starts nothing after the announcement.
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

// announceClosing tells the client that nothing further is processed, and discards what crosses the announcement.
// Closing with unread data would reset the connection, and the announcement could get lost.
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

// dispatch runs one exchange and tells whether the connection can carry another one.
func (c *serverConn) dispatch(in inbound) bool {
	if in.frame.Type == wire.TypeRequest {
		return c.serveRequest(in)
	}
	defer in.free()
	handler, ok := c.server.calls[in.frame.Type]
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

func (c *serverConn) serveRequest(in inbound) bool {
	var request wire.Request
	err := in.frame.Decode(&request)
	in.free()
	if err != nil || c.server.requests == nil {
		_ = c.send(wire.TypeError, wire.Error{Code: codeUnsupported, Message: "the request can't be handled here"})
		return false
	}
	ctx, cancel := c.requestContext(&request)
	defer cancel()
	body := &serverBody{conn: c, ctx: ctx, length: request.ContentLength}
	ok := c.answer(ctx, &request, body)
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

// answer runs the handler and sends its answer. It tells whether the answer was sent completely.
func (c *serverConn) answer(ctx context.Context, request *wire.Request, body io.Reader) bool {
	response, err := c.server.requests.Handle(ctx, request, body)
	if err != nil {
		return c.sendSmall(refusalHead(request, err), nil) == nil
	}
	defer func() { _ = response.Body.Close() }()
	if response.Head.ID == "" {
		response.Head.ID = request.ID
	}
	length := bodyLength(request, &response.Head)
	if response.Head.Code != "" {
		return c.sendSmall(&response.Head, nil) == nil
	}
	if length >= 0 && length <= wire.BodyChunkBytes {
		return c.answerSmall(response, int(length))
	}
	if err := c.send(wire.TypeResponse, &response.Head); err != nil {
		return false
	}
	complete, err := c.sendBody(response.Body, length)
	return complete && err == nil
}

// answerSmall sends a short answer in one write, which saves the client two wake-ups.
func (c *serverConn) answerSmall(response *exchange.Response, length int) bool {
	chunk := chunks.Get().(*[]byte)
	defer chunks.Put(chunk)
	// One more byte than announced detects a body that is too long.
	n, err := io.ReadFull(response.Body, (*chunk)[:length+1])
	if n == length && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) {
		return c.sendSmall(&response.Head, (*chunk)[:n]) == nil
	}
	if err := c.send(wire.TypeResponse, &response.Head); err != nil {
		return false
	}
	_, _ = c.sendBody(io.MultiReader(bytes.NewReader((*chunk)[:min(n, length)]), brokenReader{}), -1)
	return false
}

// brokenReader ends a body as incomplete.
type brokenReader struct{}

// Read implements io.Reader.
func (brokenReader) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}

func (c *serverConn) sendSmall(head *wire.Response, data []byte) error {
	chunk := chunks.Get().(*[]byte)
	defer chunks.Put(chunk)
	buf, err := wire.AppendMessage((*chunk)[:0], c.version, wire.TypeResponse, head)
	if err != nil {
		return err
	}
	_, err = c.Write(appendSmallBody(buf, c.version, data))
	return err
}

func refusalHead(request *wire.Request, err error) *wire.Response {
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

// serverBody is the body of a request as it arrives. It may be read by a goroutine that outlives the handler's answer, as
// http.Transport does; reads after the exchange return its end.
type serverBody struct {
	conn *serverConn
	// ctx ends reads that wait for the client.
	ctx    context.Context
	length int64

	mu       sync.Mutex
	received int64
	current  inbound
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
	b.current = inbound{}
	select {
	case in, ok := <-b.conn.frames:
		b.done = io.ErrUnexpectedEOF
		if ok {
			b.done = b.take(in)
		}
	case <-ctx.Done():
		b.done = io.ErrUnexpectedEOF
	}
}

func (b *serverBody) take(in inbound) error {
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

// ended tells whether the End of a complete body has been taken or has arrived already, as that of most requests without
// body has.
func (b *serverBody) ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.done == nil && len(b.data) == 0 {
		select {
		case in, ok := <-b.conn.frames:
			b.current.free()
			b.current = inbound{}
			b.done = io.ErrUnexpectedEOF
			if ok {
				b.done = b.take(in)
			}
		default:
		}
	}
	return errors.Is(b.done, io.EOF)
}

// drain discards what the handler left unread and tells whether the body was complete.
func (b *serverBody) drain() bool {
	if b.ended() {
		return true
	}
	ctx, cancel := context.WithTimeout(b.conn.ctx, drainTimeout)
	defer cancel()
	chunk := chunks.Get().(*[]byte)
	defer chunks.Put(chunk)
	for {
		if _, err := b.read(ctx, *chunk); err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}
