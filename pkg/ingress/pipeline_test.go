package ingress

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// pipelinedCaller writes requests to a connection and reads the responses.
type pipelinedCaller struct {
	net.Conn
	t       *testing.T
	reader  *bufio.Reader
	methods []string
}

func dialPipelined(t *testing.T, address string) *pipelinedCaller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &pipelinedCaller{Conn: c, t: t, reader: bufio.NewReader(c)}
}

// get writes GET requests for the paths at once.
func (p *pipelinedCaller) get(paths ...string) {
	p.t.Helper()
	var text strings.Builder
	for _, path := range paths {
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: h\r\nT-Id: %s\r\nT-Wait: 5000\r\n\r\n", path, path)
		p.methods = append(p.methods, "GET")
	}
	if _, err := io.WriteString(p, text.String()); err != nil {
		p.t.Fatal(err)
	}
}

// read returns the next response as text, without the Date, or the error that ended the connection.
func (p *pipelinedCaller) read() (string, error) {
	response, err := http.ReadResponse(p.reader, &http.Request{Method: p.methods[0]})
	if err != nil {
		return "", err
	}
	p.methods = p.methods[1:]
	body, err := io.ReadAll(response.Body)
	response.Header.Del("Date")
	var header bytes.Buffer
	_ = response.Header.Write(&header)
	return fmt.Sprintf("%d close=%v length=%d\n%s\n%s", response.StatusCode, response.Close, response.ContentLength, header.String(), body), err
}

// expect checks that the next response is that to a path.
func (p *pipelinedCaller) expect(path string, closes bool) {
	p.t.Helper()
	text, err := p.read()
	if err != nil || !strings.HasPrefix(text, fmt.Sprintf("200 close=%v ", closes)) || !strings.HasSuffix(text, "\nGET "+path+" ") {
		p.t.Errorf("response to %s: %q, %v", path, text, err)
	}
}

// respondEcho responds with the method, the URI and the body of the request.
func respondEcho(r *http.Request, body string, c net.Conn) {
	text := r.Method + " " + r.RequestURI + " " + body
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: %d\r\n\r\n", r.Header.Get("T-Id"), len(text))
	if r.Method != http.MethodHead {
		_, _ = io.WriteString(c, text)
	}
}

// newGatedTarget returns a target that responds to paths that end with /1 once the gate is closed, and to everything else at once.
func newGatedTarget(t *testing.T) (target *scriptedTarget, gate chan struct{}) {
	gate = make(chan struct{})
	target = newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		if strings.HasSuffix(r.RequestURI, "/1") {
			<-gate
		}
		respondEcho(r, "", c)
	})
	return target, gate
}

func awaitCount(t *testing.T, target *scriptedTarget, want int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); target.count() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("target got %d requests, want %d", target.count(), want)
		}
	}
}

// staysAt checks that a target gets no further request for a moment.
func staysAt(t *testing.T, target *scriptedTarget, want int) {
	t.Helper()
	time.Sleep(60 * time.Millisecond)
	if n := target.count(); n != want {
		t.Errorf("target got %d requests, want %d", n, want)
	}
}

// TestPipelinedRequestsRunConcurrently guards against a pipelined request that waits for the whole duration of the one before it, and
// against more than maxAhead requests ahead, out of order or lost.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	target, gate := newGatedTarget(t)
	s := newTestServer(t, target)
	p := dialPipelined(t, s.Listener.Addr().String())
	p.get("/read/1")
	var paths []string
	for i := range maxAhead + 4 {
		paths = append(paths, "/read/"+strconv.Itoa(i+2))
	}
	p.get(paths...)
	awaitCount(t, target, 1+maxAhead)
	staysAt(t, target, 1+maxAhead)
	close(gate)
	for _, path := range append([]string{"/read/1"}, paths...) {
		p.expect(path, false)
	}
	if n := target.count(); n != len(paths)+1 {
		t.Errorf("target got %d requests, want %d", n, len(paths)+1)
	}
}

// TestRequestsThatMustWaitAreNotBegunAhead guards against a request that runs before its turn although its route, the request before it or
// the memory for responses doesn't permit it, and checks that its time counts from its arrival all the same.
func TestRequestsThatMustWaitAreNotBegunAhead(t *testing.T) {
	for name, tc := range map[string]struct {
		first  string
		behind []string
		full   bool
	}{
		"first route isn't idempotent":          {first: "/order/1", behind: []string{"/read/2"}},
		"route that isn't idempotent":           {behind: []string{"/order/2"}},
		"behind a route that isn't idempotent":  {behind: []string{"/order/2", "/read/3"}},
		"no memory left":                        {behind: []string{"/read/2"}, full: true},
		"unknown route, then one that is known": {behind: []string{"/order/x", "/read/3"}},
	} {
		t.Run(name, func(t *testing.T) {
			target, gate := newGatedTarget(t)
			s := newTestServer(t, target)
			if tc.full {
				s.handler.sender.memory.held.Store(s.handler.sender.memory.limit)
			}
			p := dialPipelined(t, s.Listener.Addr().String())
			first := cmp.Or(tc.first, "/read/1")
			p.get(append([]string{first}, tc.behind...)...)
			awaitCount(t, target, 1)
			time.Sleep(100 * time.Millisecond)
			staysAt(t, target, 1)
			close(gate)
			p.expect(first, false)
			for _, path := range tc.behind {
				p.expect(path, false)
			}
			left, err := strconv.Atoi(target.requests()[1].Header.Get("T-Left"))
			if err != nil || left > 4900 {
				t.Errorf("second request had %d ms left (%v) after waiting for 160 ms of 5,000", left, err)
			}
		})
	}
}

// TestDisconnectCancelsRequestsAhead guards against requests that go on at the targets after their caller has gone.
func TestDisconnectCancelsRequestsAhead(t *testing.T) {
	ended := make(chan string, 8)
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, err := c.Read(make([]byte, 1))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			ended <- "still wanted: " + r.RequestURI
			return
		}
		ended <- "cancelled"
	})
	s := newTestServer(t, target)
	p := dialPipelined(t, s.Listener.Addr().String())
	p.get("/read/1", "/read/2", "/read/3")
	awaitCount(t, target, 3)
	_ = p.Close()
	for range 3 {
		if got := <-ended; got != "cancelled" {
			t.Error(got)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s.handler.AwaitAhead(ctx)
	// The first request isn't handled ahead, so it may end later.
	for ctx.Err() == nil && strings.Count(s.logged(), "caller disconnected") < 3 {
		time.Sleep(time.Millisecond)
	}
	if n := strings.Count(s.logged(), "caller disconnected"); n != 3 {
		t.Errorf("%d disconnects logged, log:\n%s", n, s.logged())
	}
}

// TestStopAnswersRequestsAhead guards against a stop that closes a connection before the requests that were begun ahead have been
// answered, or that forwards a request behind the response that closes the connection.
func TestStopAnswersRequestsAhead(t *testing.T) {
	target, gate := newGatedTarget(t)
	s := newTestServer(t, target)
	p := dialPipelined(t, s.Listener.Addr().String())
	p.get("/read/1", "/read/2", "/read/3")
	awaitCount(t, target, 3)
	s.handler.BeginShutdown(time.Now().Add(5 * time.Second))
	p.get("/read/4", "/read/5")
	staysAt(t, target, 3)
	close(gate)
	p.expect("/read/1", false)
	p.expect("/read/2", false)
	p.expect("/read/3", true)
	if text, err := p.read(); !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) {
		t.Errorf("after the last response: %q, %v", text, err)
	}
	s.handler.AwaitAhead(t.Context())
	staysAt(t, target, 3)
}

// TestClosingResponseReachesCallerWithUnreadRequests guards against a connection that is reset while the end of its last response is still
// on its way, because a further request of the caller is unread. A planned stop cut about 30 responses in each of 8 runs.
func TestClosingResponseReachesCallerWithUnreadRequests(t *testing.T) {
	content := strings.Repeat("0123456789abcdef", 30_000)
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("T-Id"), len(content), content)
	})
	s := newTestServer(t, target)
	s.handler.BeginShutdown(time.Now().Add(5 * time.Second))
	for range 10 {
		p := dialPipelined(t, s.Listener.Addr().String())
		p.get("/read/1", "/order/2")
		awaitCount(t, target, 1)
		time.Sleep(20 * time.Millisecond)
		if _, err := io.WriteString(p, "POST /order/3 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+content[:100_000]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		text, err := p.read()
		if err != nil || !strings.HasSuffix(text, content) {
			t.Errorf("response has %d bytes: %v", len(text), err)
		}
		_ = p.Close()
	}
	s.handler.AwaitCallers(t.Context())
}

// TestLateTurnKeepsConnection guards against a response whose turn comes after the request's own deadline and that breaks the connection for
// the requests behind it. A response that isn't buffered as a whole can't be completed any more, and is replaced by an error.
func TestLateTurnKeepsConnection(t *testing.T) {
	gate := make(chan struct{})
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		switch r.RequestURI {
		case "/read/1":
			<-gate
		case "/read/large":
			content := strings.Repeat("x", 3*maxBufferedResponse)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("T-Id"), len(content), content)
			return
		}
		respondEcho(r, "", c)
	})
	s := newTestServer(t, target)
	p := dialPipelined(t, s.Listener.Addr().String())
	p.get("/read/1")
	for _, path := range []string{"/read/2", "/read/large"} {
		_, _ = fmt.Fprintf(p, "GET %s HTTP/1.1\r\nHost: h\r\nT-Id: %s\r\nT-Wait: 400\r\n\r\n", path, path)
		p.methods = append(p.methods, "GET")
	}
	p.get("/read/3")
	awaitCount(t, target, 4)
	time.Sleep(400*time.Millisecond + writeGrace)
	close(gate)
	p.expect("/read/1", false)
	p.expect("/read/2", false)
	if text, err := p.read(); err != nil || !strings.HasPrefix(text, "504 close=false length=0") {
		t.Errorf("%.80q, %v", text, err)
	}
	p.expect("/read/3", false)
}

// TestLargeResponsesAhead checks that a response that is larger than the buffer waits for its turn and arrives complete.
func TestLargeResponsesAhead(t *testing.T) {
	content := strings.Repeat("0123456789abcdef", 3*maxBufferedResponse/16)
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		if r.RequestURI == "/read/1" {
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("T-Id"), len(content), content)
	})
	s := newTestServer(t, target)
	p := dialPipelined(t, s.Listener.Addr().String())
	p.get("/read/1", "/read/2", "/read/3")
	awaitCount(t, target, 3)
	for range 3 {
		if text, err := p.read(); err != nil || !strings.HasSuffix(text, "\n"+content) {
			t.Errorf("response has %d bytes: %v", len(text), err)
		}
	}
	for deadline := time.Now().Add(time.Second); s.handler.sender.memory.held.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are counted as buffered after the last response", s.handler.sender.memory.held.Load())
		}
	}
}

// TestDifferenceDropsResultsAhead guards against a result that is given to another request than the one it was made for.
func TestDifferenceDropsResultsAhead(t *testing.T) {
	s := newTestServer(t)
	request := func(path, id string) *http.Request {
		r := httptest.NewRequest("GET", path, nil)
		r.Header.Set("T-Id", id)
		return r
	}
	for _, other := range []*http.Request{request("/read/2", "a"), request("/read/1", "b")} {
		c := &callerConn{handler: s.handler}
		for range 2 {
			a := &aheadCall{}
			a.ctx, a.cancel = context.WithCancelCause(t.Context())
			c.queue = append(c.queue, &aheadRequest{request: request("/read/1", "a"), call: a})
		}
		calls := []*aheadCall{c.queue[0].call, c.queue[1].call}
		c.current, c.queue = c.queue[0], c.queue[1:]
		if c.take(other) != nil || !c.plain || !calls[0].dropped() || !calls[1].dropped() {
			t.Errorf("result was taken for %s %s", other.RequestURI, other.Header.Get("T-Id"))
		}
	}
}

// randomRequests returns a random sequence of requests and their methods. Bodies and field values contain the text of requests.
func randomRequests(rng *rand.Rand) (text []byte, methods []string) {
	const smuggled = "GET /read/smuggled HTTP/1.1\r\nHost: h\r\nT-Id: s\r\n\r\n"
	var b bytes.Buffer
	for i := range 3 + rng.IntN(14) {
		route := []string{"read", "read", "read", "order", "none"}[rng.IntN(5)]
		method, extra, body := "GET", "", ""
		switch rng.IntN(14) {
		case 0:
			method = "HEAD"
		case 1, 2:
			method, body = "POST", strings.Repeat(smuggled, rng.IntN(3))
			extra = fmt.Sprintf("Content-Length: %d\r\n", len(body))
		case 3:
			extra = "X-Text: GET /read/smuggled HTTP/1.1\r\n"
		case 4:
			method = "DELETE"
		case 5:
			extra, body = "Content-Length: 0\r\n", ""
		}
		if i > 5 && rng.IntN(10) == 0 {
			method, extra, body = "POST", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled)
		}
		fmt.Fprintf(&b, "%s /%s/%d HTTP/1.1\r\nHost: h\r\nT-Id: id-%d\r\nT-Wait: 8000\r\n%s\r\n%s", method, route, i, i, extra, body)
		methods = append(methods, method)
	}
	return b.Bytes(), methods
}

// TestPipelineMatchesPlainServer compares random pipelined requests with a server that handles them one after the other. It guards against
// responses out of order, lost, duplicated or changed, and against requests that are read from bodies or header fields.
func TestPipelineMatchesPlainServer(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 1))
			text, methods := randomRequests(rng)
			tested, reference := newSlowEcho(t), newSlowEcho(t)
			s, plain := newTestServer(t, tested), newTestServer(t, reference)
			direct := httptest.NewServer(plain.handler)
			t.Cleanup(direct.Close)
			compareConnections(t, rng, text, methods, s.Listener.Addr().String(), direct.Listener.Addr().String())
			seen := map[string]int{}
			for _, r := range tested.requests() {
				seen[r.Method+r.RequestURI+r.Header.Get("T-Id")]++
			}
			for _, r := range reference.requests() {
				seen[r.Method+r.RequestURI+r.Header.Get("T-Id")]--
			}
			for request, n := range seen {
				if n != 0 {
					t.Errorf("%s reached the target %+d times more than without pipelining", request, n)
				}
			}
		})
	}
}

// newSlowEcho returns a target that echoes requests after 0 to 4 ms.
func newSlowEcho(t *testing.T) *scriptedTarget {
	var s *scriptedTarget
	s = newScriptedTarget(t, func(n int, r *http.Request, c net.Conn) {
		time.Sleep(time.Duration(n*7%5) * time.Millisecond)
		s.mu.Lock()
		body := s.bodies[n-1]
		s.mu.Unlock()
		respondEcho(r, body, c)
	})
	return s
}

// compareConnections sends the same text to two servers, to the first in random pieces, and compares the responses.
func compareConnections(t *testing.T, rng *rand.Rand, text []byte, methods []string, tested, reference string) {
	p, q := dialPipelined(t, tested), dialPipelined(t, reference)
	p.methods, q.methods = methods, methods
	pieces := [][]byte{}
	for rest := text; len(rest) > 0; {
		n := min(len(rest), 1+rng.IntN(1+rng.IntN(2000)))
		pieces, rest = append(pieces, rest[:n]), rest[n:]
	}
	go func() {
		for i, piece := range pieces {
			_, _ = p.Write(piece)
			if i%4 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}()
	go func() { _, _ = q.Write(text) }()
	for i := range methods {
		got, err := p.read()
		want, wantErr := q.read()
		if got != want || (err == nil) != (wantErr == nil) {
			t.Errorf("response %d: %q, %v; without pipelining %q, %v", i, got, err, want, wantErr)
			return
		}
		if err != nil {
			return
		}
	}
}

// FuzzRecogniseHead compares the head recogniser with net/http: where both accept a request, they must agree on where it ends. Otherwise
// a request could be smuggled past one of them.
func FuzzRecogniseHead(f *testing.F) {
	for _, seed := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "HEAD /a?b=c HTTP/1.1\r\nHost: h:80\r\nContent-Length: 0\r\n\r\nGET",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nConnection: Keep-Alive\r\n\r\nabc", "GET /a HTTP/1.1\r\nHost: h\r\n\tfolded: x\r\n\r\n",
		"GET /a HTTP/1.1\nHost: h\n\n", "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
		"GET /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\rX: y\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		head, state := recogniseHead(data)
		for cut := range min(len(data), 64) {
			if partial, s := recogniseHead(data[:cut]); s == headComplete && (state != headComplete || partial != head) {
				t.Fatalf("%q is complete, but more bytes change it", data[:cut])
			}
		}
		if state != headComplete {
			return
		}
		source := bytes.NewReader(data)
		reader := bufio.NewReader(source)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if consumed := len(data) - source.Len() - reader.Buffered(); consumed != head.length || r.ContentLength != head.bodyLength {
			t.Errorf("%q: head of %d bytes and body of %d, net/http: %d and %d", data, head.length, head.bodyLength, consumed, r.ContentLength)
		}
		if safe := isSafe(r.Method) && r.ContentLength == 0; safe != head.safe || r.Close || len(r.TransferEncoding) > 0 || r.Header.Get("Expect") != "" {
			t.Errorf("%q: safe %v, net/http: %+v", data, head.safe, r)
		}
	})
}

// TestReadAheadIsBounded guards against a caller that makes a connection hold any number of requests, and against requests that are lost
// when no more is read ahead.
func TestReadAheadIsBounded(t *testing.T) {
	target, gate := newGatedTarget(t)
	s := newTestServer(t, target)
	p := dialPipelined(t, s.Listener.Addr().String())
	p.get("/read/1")
	awaitCount(t, target, 1)
	paths := []string{}
	for i := range 200 {
		paths = append(paths, "/read/"+strings.Repeat("x", 400)+strconv.Itoa(i+2)+".")
	}
	p.get(paths...)
	conn := <-s.conns
	held := func() int {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.pending)
	}
	for deadline := time.Now().Add(5 * time.Second); held() < maxAheadBytes-1 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if n := held(); n < maxAheadBytes-1 || n > maxAheadBytes {
		t.Errorf("%d bytes are held, want %d or one that net/http has taken less", n, maxAheadBytes)
	}
	close(gate)
	p.expect("/read/1", false)
	for _, path := range paths {
		p.expect(path, false)
	}
}

// TestNothingIsReadAfterClose guards against a request that arrives after its idle connection was closed and that runs although no response
// to it can be sent any more.
func TestNothingIsReadAfterClose(t *testing.T) {
	target, _ := newGatedTarget(t)
	s := newTestServer(t, target)
	p := dialPipelined(t, s.Listener.Addr().String())
	p.get("/order/2")
	p.expect("/order/2", false)
	conn := <-s.conns
	// net/http waits for the next request when the connection is closed, as http.Server.Shutdown and the search for idle connections do.
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
	p.get("/order/3")
	staysAt(t, target, 1)
	_ = p.Close()
	s.handler.AwaitCallers(t.Context())
}

// TestRecognisedRequestsAreBounded guards against a caller whose requests, small as they are, are all parsed and held at once.
func TestRecognisedRequestsAreBounded(t *testing.T) {
	target, gate := newGatedTarget(t)
	s := newTestServer(t, target)
	p := dialPipelined(t, s.Listener.Addr().String())
	p.get("/read/1")
	awaitCount(t, target, 1)
	const count, request = 1400, "GET /read/2 HTTP/1.1\r\nHost: h\r\nT-Id: 2\r\n\r\n"
	if _, err := io.WriteString(p, strings.Repeat(request, count)); err != nil {
		t.Fatal(err)
	}
	conn := <-s.conns
	held := func() (size, requests int) {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.pending), len(conn.queue)
	}
	size, requests := held()
	for deadline := time.Now().Add(5 * time.Second); size < count*len(request) && time.Now().Before(deadline); size, requests = held() {
		time.Sleep(time.Millisecond)
	}
	if size != count*len(request) || requests > maxAhead {
		t.Errorf("%d bytes and %d requests are held, want %d and at most %d", size, requests, count*len(request), maxAhead)
	}
	close(gate)
	p.expect("/read/1", false)
	for range count {
		p.methods = append(p.methods, "GET")
		p.expect("/read/2", false)
	}
}

// TestRequestsAheadAreBoundedByMemory guards against requests that are all begun while no response has arrived, and whose responses then
// take more memory than permitted: each may take bufferStep once the limit is reached.
func TestRequestsAheadAreBoundedByMemory(t *testing.T) {
	target, gate := newGatedTarget(t)
	s := newTestServer(t, target)
	s.handler.sender.memory.limit = 4 * bufferStep
	var callers []*pipelinedCaller
	for range 3 {
		p := dialPipelined(t, s.Listener.Addr().String())
		p.get("/read/1")
		callers = append(callers, p)
	}
	awaitCount(t, target, len(callers))
	for _, p := range callers {
		p.get("/read/2", "/read/3", "/read/4")
	}
	awaitCount(t, target, len(callers)+4)
	staysAt(t, target, len(callers)+4)
	close(gate)
	for _, p := range callers {
		for i := range 4 {
			p.expect("/read/"+strconv.Itoa(i+1), false)
		}
	}
}

// TestReadAheadCountsAsMemory guards against connections that hold 64 KB each although the memory for responses is used up, and against bytes
// that stay counted.
func TestReadAheadCountsAsMemory(t *testing.T) {
	target, gate := newGatedTarget(t)
	s := newTestServer(t, target)
	memory := &s.handler.sender.memory
	memory.limit = 20 << 10
	p := dialPipelined(t, s.Listener.Addr().String())
	p.get("/read/1")
	awaitCount(t, target, 1)
	const count = 150
	for i := range count {
		p.get("/order/" + strings.Repeat("x", 400) + strconv.Itoa(i+2) + ".")
	}
	for deadline := time.Now().Add(5 * time.Second); memory.held.Load() < memory.limit && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	if held := memory.held.Load(); held < memory.limit || held > memory.limit+2*bufferStep {
		t.Errorf("%d bytes are counted, want %d and at most one response more", held, memory.limit)
	}
	conn := <-s.conns
	conn.mu.Lock()
	if n := len(conn.pending); n > int(memory.limit)+aheadReadBytes {
		t.Errorf("%d bytes are held, want %d and at most one read more", n, memory.limit)
	}
	conn.mu.Unlock()
	close(gate)
	p.expect("/read/1", false)
	for i := range count {
		p.expect("/order/"+strings.Repeat("x", 400)+strconv.Itoa(i+2)+".", false)
	}
	p.get("/read/1", "/order/2")
	p.expect("/read/1", false)
	_ = p.Close()
	for deadline := time.Now().Add(5 * time.Second); memory.held.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are counted after the end of the connection", memory.held.Load())
		}
	}
}
