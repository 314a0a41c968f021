package peer

import (
	"bytes"
	"context"
	"errors"
	"hash/crc32"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const testTimeout = 10 * time.Second

type handlerFunc func(ctx context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error)

func (f handlerFunc) Handle(ctx context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error) {
	return f(ctx, request, body)
}

func newResponse(body io.Reader, length int64) *exchange.Response {
	return &exchange.Response{Head: wire.Response{Status: 200, ContentLength: length}, Body: io.NopCloser(body)}
}

func echo(_ context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error) {
	return newResponse(body, request.ContentLength), nil
}

// countingListener counts the accepted connections.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

func listen(t *testing.T) *countingListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &countingListener{Listener: l}
}

func serve(t *testing.T, s *Server) *countingListener {
	t.Helper()
	l := listen(t)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		if err := s.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return l
}

func newServer(h handlerFunc) *Server {
	s := NewServer("server")
	s.HandleRequests(h)
	s.HandleCall(wire.TypeFetchConfig, func(_ context.Context, from string, frame wire.Frame) (wire.Type, any, error) {
		var m wire.FetchConfig
		if err := frame.Decode(&m); err != nil {
			return 0, nil, err
		}
		if m.Version == 0 {
			return 0, nil, problem.New(400, problem.CodeBadRequest, problem.NotRun, "no version")
		}
		return wire.TypeConfigReply, wire.ConfigReply{Version: m.Version, Body: []byte(from)}, nil
	})
	return s
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func newClient(t *testing.T) *Client {
	t.Helper()
	c := NewClient("client")
	t.Cleanup(c.Close)
	return c
}

func outcome(t *testing.T, err error) problem.Outcome {
	t.Helper()
	var p *problem.Error
	if !errors.As(err, &p) {
		t.Fatalf("error %v is not a *problem.Error", err)
	}
	return p.Outcome
}

func fetch(ctx context.Context, c *Client, addr string, version uint64) (wire.ConfigReply, error) {
	var reply wire.ConfigReply
	err := c.Call(ctx, addr, wire.TypeFetchConfig, wire.FetchConfig{Version: version}, wire.TypeConfigReply, &reply)
	return reply, err
}

// Guards against calls that lose the caller's name or the code of an error, or don't reuse the connection after an error.
func TestCall(t *testing.T) {
	l := serve(t, newServer(echo))
	ctx, c := testContext(t), newClient(t)
	reply, err := fetch(ctx, c, l.Addr().String(), 4)
	if err != nil || reply.Version != 4 || string(reply.Body) != "client" {
		t.Fatalf("reply %+v, %v", reply, err)
	}
	_, err = fetch(ctx, c, l.Addr().String(), 0)
	var refused *RemoteError
	if !errors.As(err, &refused) || refused.Code != string(problem.CodeBadRequest) {
		t.Fatalf("error %v", err)
	}
	if _, err := fetch(ctx, c, l.Addr().String(), 5); err != nil {
		t.Fatal(err)
	}
	if n := l.accepted.Load(); n != 1 {
		t.Errorf("%d connections for three calls", n)
	}
}

// pattern is a reader of n bytes whose content differs from zeros and from a shifted copy of itself.
type pattern struct {
	n   int64
	pos int64
}

func (p *pattern) Read(b []byte) (int, error) {
	if p.pos == p.n {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), p.n-p.pos))
	for i := range n {
		offset := p.pos + int64(i)
		b[i] = byte(offset ^ offset>>8 ^ offset>>16)
	}
	p.pos += int64(n)
	return n, nil
}

func checksum(r io.Reader) (uint32, int64, error) {
	h := crc32.NewIEEE()
	n, err := io.Copy(h, r)
	return h.Sum32(), n, err
}

// Guards against bodies that arrive altered or truncated, and against connections that aren't reused.
func TestExchangeBodies(t *testing.T) {
	l := serve(t, newServer(echo))
	ctx, c := testContext(t), newClient(t)
	for _, size := range []int64{0, 1, wire.BodyChunkBytes - 1, wire.BodyChunkBytes, wire.BodyChunkBytes + 1, 5 << 20} {
		for _, announced := range []int64{size, -1} {
			response, err := c.Handler(l.Addr().String()).Handle(ctx, &wire.Request{ID: "a", ContentLength: announced}, &pattern{n: size})
			if err != nil {
				t.Fatal(err)
			}
			got, n, err := checksum(response.Body)
			want, _, _ := checksum(&pattern{n: size})
			if err != nil || n != size || got != want {
				t.Errorf("%d bytes, announced %d: got %d bytes, checksum %x, want %x, %v", size, announced, n, got, want, err)
			}
			_ = response.Body.Close()
		}
	}
	if n := l.accepted.Load(); n > 3 {
		t.Errorf("%d connections for sequential exchanges", n)
	}
}

// slowConn returns from Write some time after the data was sent.
type slowConn struct {
	net.Conn
	delay time.Duration
}

func (c slowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(c.delay)
	return n, err
}

// Guards against closing a connection whose request was sent whole because the answer ended before the sender noticed.
func TestConnectionIsReusedAfterQuickAnswer(t *testing.T) {
	l := serve(t, newServer(echo))
	ctx, c := testContext(t), newClient(t)
	send := func() {
		t.Helper()
		response, err := c.Handler(l.Addr().String()).Handle(ctx, &wire.Request{ID: "a", ContentLength: -1}, &pattern{n: 1})
		if err != nil {
			t.Fatal(err)
		}
		if _, n, err := checksum(response.Body); n != 1 || err != nil {
			t.Errorf("%d bytes, %v", n, err)
		}
		_ = response.Body.Close()
	}
	send()
	for _, conns := range c.idle {
		for _, i := range conns {
			i.conn.Conn = slowConn{i.conn.Conn, uploadSettleTime / 5}
		}
	}
	send()
	send()
	if n := l.accepted.Load(); n != 1 {
		t.Errorf("%d connections for sequential exchanges", n)
	}
}

// Guards against losing a small in-memory body, which is sent in one write with the head.
func TestExchangeSmallBody(t *testing.T) {
	l := serve(t, newServer(echo))
	ctx, c := testContext(t), newClient(t)
	for range 3 {
		response, err := c.Handler(l.Addr().String()).Handle(ctx, &wire.Request{ID: "a", ContentLength: 5}, bytes.NewReader([]byte("hello")))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		if err != nil || string(got) != "hello" || response.Head.ID != "a" {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if n := l.accepted.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// Guards against treating the missing body of a response to HEAD as an interrupted transfer.
func TestHeadResponse(t *testing.T) {
	l := serve(t, newServer(func(context.Context, *wire.Request, io.Reader) (*exchange.Response, error) {
		return newResponse(strings.NewReader(""), 1234), nil
	}))
	c := newClient(t)
	response, err := c.Handler(l.Addr().String()).Handle(testContext(t), &wire.Request{ID: "a", Method: "HEAD"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, n, err := checksum(response.Body); n != 0 || err != nil || response.Head.ContentLength != 1234 {
		t.Errorf("%d bytes, %v, length %d", n, err, response.Head.ContentLength)
	}
}

// Guards against delivering a response of the wrong length, or one that was interrupted, as if it were complete.
func TestTruncatedResponse(t *testing.T) {
	for _, size := range []int64{100, 100 << 10} {
		broken := func(context.Context, *wire.Request, io.Reader) (*exchange.Response, error) {
			return newResponse(io.MultiReader(&pattern{n: size / 2}, brokenReader{}), size), nil
		}
		short := func(context.Context, *wire.Request, io.Reader) (*exchange.Response, error) {
			return newResponse(&pattern{n: size / 2}, size), nil
		}
		long := func(context.Context, *wire.Request, io.Reader) (*exchange.Response, error) {
			return newResponse(&pattern{n: size + 1}, size), nil
		}
		for name, h := range map[string]handlerFunc{"broken": broken, "short": short, "long": long} {
			l := serve(t, newServer(h))
			c := newClient(t)
			response, err := c.Handler(l.Addr().String()).Handle(testContext(t), &wire.Request{ID: "a"}, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, _, err := checksum(response.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%s, %d bytes: %v", name, size, err)
			}
			if len(c.idle[l.Addr().String()]) != 0 {
				t.Errorf("%s: the connection of a broken exchange is pooled", name)
			}
		}
	}
}

// Guards against passing an upload of the wrong length, or one that was interrupted, to the handler as if it were
// complete.
func TestTruncatedUpload(t *testing.T) {
	seen := make(chan error, 1)
	l := serve(t, newServer(func(_ context.Context, _ *wire.Request, body io.Reader) (*exchange.Response, error) {
		_, _, err := checksum(body)
		seen <- err
		return nil, problem.New(400, problem.CodeBadRequest, problem.NotRun, "incomplete")
	}))
	ctx, c := testContext(t), newClient(t)
	bodies := map[string]io.Reader{
		"broken": io.MultiReader(&pattern{n: 50}, brokenReader{}),
		"short":  &pattern{n: 50},
		"long":   &pattern{n: 101},
	}
	for name, body := range bodies {
		_, err := c.Handler(l.Addr().String()).Handle(ctx, &wire.Request{ID: "a", ContentLength: 100}, body)
		if outcome(t, err) != problem.NotRun {
			t.Errorf("%s: %v", name, err)
		}
		if err := <-seen; !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: the handler saw %v", name, err)
		}
		if len(c.idle[l.Addr().String()]) != 0 {
			t.Errorf("%s: the connection of a broken exchange is pooled", name)
		}
	}
}

// Guards against delivering a response that belongs to another request.
func TestMismatchedResponseID(t *testing.T) {
	l := serve(t, newServer(func(context.Context, *wire.Request, io.Reader) (*exchange.Response, error) {
		r := newResponse(strings.NewReader("x"), 1)
		r.Head.ID = "other"
		return r, nil
	}))
	c := newClient(t)
	_, err := c.Handler(l.Addr().String()).Handle(testContext(t), &wire.Request{ID: "a"}, nil)
	if outcome(t, err) != problem.Unknown {
		t.Fatal(err)
	}
	if len(c.idle[l.Addr().String()]) != 0 {
		t.Error("the connection with the mismatched response is pooled")
	}
}

// Guards against delivering a response whose status isn't that of a final response, such as 000, and against using its connection again.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []int{0, 100, 199, 600, -200} {
		l := serve(t, newServer(func(context.Context, *wire.Request, io.Reader) (*exchange.Response, error) {
			r := newResponse(strings.NewReader("x"), 1)
			r.Head.Status = status
			return r, nil
		}))
		c := newClient(t)
		_, err := c.Handler(l.Addr().String()).Handle(testContext(t), &wire.Request{ID: "a"}, nil)
		if outcome(t, err) != problem.Unknown {
			t.Errorf("status %d: %v", status, err)
		}
		if len(c.idle[l.Addr().String()]) != 0 {
			t.Errorf("the connection with status %d is pooled", status)
		}
	}
}

// Guards against mistaking the late response of a cancelled exchange for the response to the next request, and against a
// handler that keeps running after its caller has cancelled the request.
func TestCancelClosesConnection(t *testing.T) {
	started := make(chan struct{})
	cancelled := make(chan struct{})
	l := serve(t, newServer(func(ctx context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error) {
		if request.ID == "fast" {
			return echo(ctx, request, body)
		}
		close(started)
		<-ctx.Done()
		close(cancelled)
		return newResponse(strings.NewReader("late"), 4), nil
	}))
	c := newClient(t)
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-started
		cancel()
	}()
	_, err := c.Handler(l.Addr().String()).Handle(ctx, &wire.Request{ID: "slow", ContentLength: 4}, bytes.NewReader([]byte("body")))
	if outcome(t, err) != problem.Unknown {
		t.Fatal(err)
	}
	<-cancelled
	response, err := c.Handler(l.Addr().String()).Handle(testContext(t), &wire.Request{ID: "fast", ContentLength: 5}, strings.NewReader("right"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(response.Body); err != nil || string(got) != "right" {
		t.Errorf("got %q, %v", got, err)
	}
	if n := l.accepted.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

// Guards against reporting an unknown outcome for a request that never left this process.
func TestDialFailureIsNotRun(t *testing.T) {
	l := listen(t)
	addr := l.Addr().String()
	_ = l.Close()
	_, err := newClient(t).Handler(addr).Handle(testContext(t), &wire.Request{ID: "a"}, nil)
	if outcome(t, err) != problem.NotRun {
		t.Error(err)
	}
	if _, err := fetch(testContext(t), newClient(t), addr, 1); outcome(t, err) != problem.NotRun {
		t.Error(err)
	}
}

// Guards against reporting "not run" for a request whose connection broke after it was sent.
func TestBrokenConnectionIsUnknown(t *testing.T) {
	l := listen(t)
	defer func() { _ = l.Close() }()
	go func() {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		c := newConn(raw)
		_ = c.receiveHello(supportedVersions)
		_ = c.sendHello(supportedVersions, "server")
		_, _ = wire.ReadFrame(c.reader)
		_ = raw.Close()
	}()
	_, err := newClient(t).Handler(l.Addr().String()).Handle(testContext(t), &wire.Request{ID: "a"}, nil)
	if outcome(t, err) != problem.Unknown {
		t.Error(err)
	}
}

// Guards against sending a request on a pooled connection that the server has closed.
func TestStaleConnectionIsReplaced(t *testing.T) {
	first := newServer(echo)
	l := listen(t)
	addr := l.Addr().String()
	go func() { _ = first.Serve(l) }()
	c := newClient(t)
	if _, err := fetch(testContext(t), c, addr, 1); err != nil {
		t.Fatal(err)
	}
	if err := first.Shutdown(testContext(t)); err != nil {
		t.Fatal(err)
	}
	l2, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	second := newServer(echo)
	go func() { _ = second.Serve(l2) }()
	defer func() { _ = second.Shutdown(testContext(t)) }()
	response, err := c.Handler(addr).Handle(testContext(t), &wire.Request{ID: "a", ContentLength: 1}, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(response.Body); err != nil || string(got) != "x" {
		t.Errorf("%q, %v", got, err)
	}
	c.Close()
}

// Guards against reporting an unknown outcome for a request that is followed by the announcement of closing. The server
// processes nothing after that announcement.
func TestClosingAnnouncementIsNotRun(t *testing.T) {
	l := listen(t)
	defer func() { _ = l.Close() }()
	go func() {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		c := newConn(raw)
		_ = c.receiveHello(supportedVersions)
		_ = c.sendHello(supportedVersions, "server")
		_, _ = wire.ReadFrame(c.reader)
		_ = c.send(wire.TypeError, wire.Error{Code: codeClosing})
		_ = raw.Close()
	}()
	_, err := newClient(t).Handler(l.Addr().String()).Handle(testContext(t), &wire.Request{ID: "a"}, nil)
	if outcome(t, err) != problem.NotRun {
		t.Error(err)
	}
}

// Guards against a shutdown that interrupts exchanges in flight or waits for idle connections.
func TestShutdownFinishesExchanges(t *testing.T) {
	started := make(chan struct{})
	proceed := make(chan struct{})
	s := newServer(func(ctx context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error) {
		close(started)
		<-proceed
		return echo(ctx, request, body)
	})
	l := listen(t)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	ctx, c := testContext(t), newClient(t)
	if _, err := fetch(ctx, c, l.Addr().String(), 1); err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		response, err := c.Handler(l.Addr().String()).Handle(ctx, &wire.Request{ID: "a", ContentLength: 1 << 20}, &pattern{n: 1 << 20})
		if err == nil {
			_, _, err = checksum(response.Body)
		}
		result <- err
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(ctx) }()
	if err := <-served; err != nil {
		t.Errorf("serve: %v", err)
	}
	close(proceed)
	if err := <-result; err != nil {
		t.Errorf("exchange in flight: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// Guards against losing a response that the handler sends while the client is still uploading.
func TestEarlyRefusalOfLargeUpload(t *testing.T) {
	l := serve(t, newServer(func(context.Context, *wire.Request, io.Reader) (*exchange.Response, error) {
		return nil, problem.New(503, problem.CodeOverload, problem.NotRun, "queue full").After(time.Second)
	}))
	for range 20 {
		_, err := newClient(t).Handler(l.Addr().String()).Handle(testContext(t), &wire.Request{ID: "a", ContentLength: -1}, &pattern{n: 64 << 20})
		var p *problem.Error
		if !errors.As(err, &p) || p.Code != problem.CodeOverload || p.RetryAfter != time.Second {
			t.Fatalf("error %v", err)
		}
	}
}

// Guards against a handler that waits past its deadline for a client whose upload has stalled.
func TestDeadlineEndsStalledUpload(t *testing.T) {
	seen := make(chan error, 1)
	l := serve(t, newServer(func(_ context.Context, _ *wire.Request, body io.Reader) (*exchange.Response, error) {
		_, _, err := checksum(body)
		seen <- err
		return nil, problem.New(400, problem.CodeBadRequest, problem.NotRun, "incomplete")
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	stalled, w := io.Pipe()
	defer func() { _ = w.Close() }()
	_, err := newClient(t).Handler(l.Addr().String()).Handle(ctx, &wire.Request{ID: "a", ContentLength: -1}, stalled)
	if err == nil {
		t.Error("a stalled upload was answered")
	}
	if err := <-seen; !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the handler saw %v", err)
	}
}

// Guards against adjacent releases that can't communicate, and against communication between releases that have no
// protocol version in common.
func TestVersionNegotiation(t *testing.T) {
	cases := []struct {
		server, client versions
		common         uint8
	}{
		{versions{1, 1}, versions{1, 2}, 1},
		{versions{1, 2}, versions{1, 1}, 1},
		{versions{1, 2}, versions{2, 3}, 2},
		{versions{1, 1}, versions{2, 3}, 0},
		{versions{2, 3}, versions{1, 1}, 0},
	}
	for _, tc := range cases {
		seen := make(chan uint8, 1)
		s := newServer(echo)
		s.versions = tc.server
		s.HandleCall(wire.TypeWitness, func(_ context.Context, _ string, frame wire.Frame) (wire.Type, any, error) {
			seen <- frame.Version
			return wire.TypeWitnessReply, wire.WitnessReply{Term: 3}, nil
		})
		l := serve(t, s)
		c := newClient(t)
		c.versions = tc.client
		var reply wire.WitnessReply
		err := c.Call(testContext(t), l.Addr().String(), wire.TypeWitness, wire.Witness{}, wire.TypeWitnessReply, &reply)
		if tc.common == 0 {
			if err == nil || outcome(t, err) != problem.NotRun {
				t.Errorf("%+v: %v", tc, err)
			}
			continue
		}
		if err != nil || reply.Term != 3 {
			t.Errorf("%+v: %+v, %v", tc, reply, err)
			continue
		}
		if v := <-seen; v != tc.common {
			t.Errorf("%+v: version %d was used", tc, v)
		}
	}
}
