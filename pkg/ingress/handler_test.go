package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
)

// testDialect is a Dialect with header names of its own.
type testDialect struct{}

func (testDialect) ReadRequest(h http.Header) (RequestMeta, error) {
	m := RequestMeta{ID: h.Get("T-Id"), Key: NoKey, RemainingTimeout: 2 * time.Second}
	if k := h.Get("T-Key"); k != "" {
		m.Key, _ = strconv.Atoi(k)
	}
	if w := h.Get("T-Wait"); w != "" {
		ms, err := strconv.Atoi(w)
		if err != nil {
			return m, err
		}
		m.RemainingTimeout = time.Duration(ms) * time.Millisecond
	}
	return m, nil
}
func (testDialect) RequestID(h http.Header) string { return h.Get("T-Id") }
func (testDialect) SetRequestHeaders(h http.Header, target string, left time.Duration) {
	h.Set("T-Target", target)
	h.Set("T-Left", strconv.FormatInt(left.Milliseconds(), 10))
}
func (testDialect) Credentials(h http.Header) []string { return h.Values("T-Credential") }
func (testDialect) SetOrganisation(h http.Header, name string) {
	h.Del("T-Credential")
	h.Del("T-Organisation")
	if name != "" {
		h.Set("T-Organisation", name)
	}
}
func (testDialect) SetResponseID(h http.Header, id string) { h.Set("T-Id", id) }
func (testDialect) ReadResponse(status int, h http.Header) ResponseMeta {
	seconds, err := strconv.ParseFloat(h.Get("T-Closed"), 64)
	meta := ResponseMeta{RetryAfter: time.Duration(seconds * float64(time.Second)), RetryAfterInvalid: h.Get("T-Closed") != "" && err != nil, ID: h.Get("T-Id"), NotRun: h.Get("T-Not-Run") != "", Leaving: h.Get("T-Leaving") != "", Signed: h.Get("T-Signed") != ""}
	if text := h.Get("T-Limit"); text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		meta.RateLimit = ratelimit.Notice{Kind: ratelimit.Named, Rate: rate}
		if err != nil {
			meta.RateLimit = ratelimit.Notice{Kind: ratelimit.Unreadable}
		}
	}
	return meta
}

// localOnlyPlacer is a Placer without a VM to ask, so that the handler places all requests locally.
type localOnlyPlacer struct{}

func (localOnlyPlacer) Place(context.Context, placing.PlacementRequest) (Placement, placing.Decision, bool) {
	return nil, placing.Decision{}, false
}

type fakeState struct {
	view    atomic.Pointer[View]
	mu      sync.Mutex
	leaving []inventory.Incarnation
}

func (f *fakeState) Current() *View           { return f.view.Load() }
func (f *fakeState) RecordKeyUse(string, int) {}
func (f *fakeState) RecordTargetLeaving(life inventory.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, life)
}

// scriptedTarget is a target that handles each request with a function that writes to the connection.
type scriptedTarget struct {
	address     string
	connections atomic.Int32
	mu          sync.Mutex
	seen        []*http.Request
	bodies      []string
}

func newScriptedTarget(t *testing.T, respond func(n int, r *http.Request, c net.Conn)) *scriptedTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedTarget{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(c, respond)
		}
	}()
	return s
}

func (s *scriptedTarget) serve(c net.Conn, respond func(int, *http.Request, net.Conn)) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.seen = append(s.seen, r)
		s.bodies = append(s.bodies, string(body))
		n := len(s.seen)
		s.mu.Unlock()
		respond(n, r, c)
	}
}

// requests returns the requests received so far.
func (s *scriptedTarget) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.seen)
}

func (s *scriptedTarget) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

func respondOK(r *http.Request, c net.Conn) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("T-Id"))
}

// testServer serves callers' requests with a Handler.
type testServer struct {
	*httptest.Server
	state   *fakeState
	handler *Handler
	ids     atomic.Int64
	log     logBuffer
}

func newTestServer(t *testing.T, targets ...*scriptedTarget) *testServer {
	pools := []*inventory.Pool{{Name: "p"}, {Name: "k", Keyed: true}}
	routes := []*inventory.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, MaxAttempts: 2, PoolWeights: []inventory.PoolWeight{{Pool: "p", Weight: 1}}, Objective: time.Second},
		{Name: "order", Host: "h", Prefix: "/order/", MaxAttempts: 2, PoolWeights: []inventory.PoolWeight{{Pool: "p", Weight: 1}}, Objective: time.Second},
		{Name: "short", Host: "h", Prefix: "/short/", Idempotent: true, MaxAttempts: 2, Timeout: 400 * time.Millisecond, PoolWeights: []inventory.PoolWeight{{Pool: "p", Weight: 1}}},
		{Name: "key", Host: "h", Prefix: "/key/", Idempotent: true, MaxAttempts: 2, PoolWeights: []inventory.PoolWeight{{Pool: "k", Weight: 1}}},
		{Name: "keyed-order", Host: "h", Prefix: "/keyed-order/", MaxAttempts: 2, PoolWeights: []inventory.PoolWeight{{Pool: "k", Weight: 1}}},
		{Name: "home", Host: "h", Prefix: "/home/", Idempotent: true, MaxAttempts: 2, HomeRegions: []string{"south"}, PoolWeights: []inventory.PoolWeight{{Pool: "p", Weight: 1}}},
	}
	cfg := inventory.NewConfiguration(1, inventory.Limits{BodyBytes: 4 << 20}, pools, routes)
	var list []*inventory.Target
	for i, target := range targets {
		list = append(list, &inventory.Target{ID: fmt.Sprintf("t%d", i), Pool: "p", Address: target.address, Domain: "n1", Slots: 4, Started: 1})
		list = append(list, &inventory.Target{ID: fmt.Sprintf("k%d", i), Pool: "k", Address: target.address, Domain: "n1", Slots: 4, Started: 1})
	}
	snapshot := inventory.NewSnapshot(cfg, list, nil)
	regions := map[string]string{"n1": "north", "s1": "south"}
	balancer := placing.NewBalancer("n1", "north", regions)
	limits := ratelimit.NewTracker()
	balancer.UseLimits(limits, "vm")
	balancer.Update(snapshot, clock.Boottime{}.Now())
	s := &testServer{state: &fakeState{}}
	s.state.view.Store(&View{Snapshot: snapshot, Changed: make(chan struct{}), ReceivedAt: time.Now(),
		Routes: map[string][]coordinator.Route{"k": {{From: 0, To: 99, Owner: "k0"}, {From: 100, To: 65535, Owner: "k0", Pending: true, ReadyIn: 5000}}}})
	s.handler = NewHandler(Options{
		Dialect: testDialect{}, State: s.state, Placer: localOnlyPlacer{}, Balancer: balancer, Limits: limits,
		Budget: placing.NewLocalBudget(0.2, 600, 10*time.Second), Clock: clock.Boottime{}, Log: event.NewLogger(&s.log, log.InfoLevel),
		Metrics: NewMetrics(tally.NoopScope), RegionOf: regions, MaxBufferedBodyBytes: 8 << 20,
	})
	s.Server = httptest.NewServer(s.handler)
	t.Cleanup(s.Close)
	return s
}

// logged returns the handler's log output.
func (s *testServer) logged() string {
	text, err := io.ReadAll(s.log.reader())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

type callerResponse struct {
	status int
	header http.Header
	body   string
}

func (s *testServer) send(t *testing.T, method, path, body string, header ...string) callerResponse {
	t.Helper()
	r, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("T-Id", fmt.Sprintf("id-%d", s.ids.Add(1)))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return callerResponse{response.StatusCode, response.Header, string(content)}
}

// TestNonIdempotentRequestIsNotRetriedAfterReset checks that an order is sent only once if the target resets the connection,
// and that its caller isn't told that it was not executed: after a reset the outcome is unknown.
func TestNonIdempotentRequestIsNotRetriedAfterReset(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, _ *http.Request, c net.Conn) { _ = c.Close() })
	s := newTestServer(t, target)
	if resp := s.send(t, "POST", "/order/1", "x"); resp.status != http.StatusBadGateway {
		t.Errorf("status %d", resp.status)
	}
	if n := target.count(); n != 1 {
		t.Errorf("request reached the target %d times, want 1", n)
	}
}

// TestIdempotentRequestIsRetriedAfterReset checks that an idempotent request doesn't fail while another target can serve it.
func TestIdempotentRequestIsRetriedAfterReset(t *testing.T) {
	bad := newScriptedTarget(t, func(_ int, _ *http.Request, c net.Conn) { _ = c.Close() })
	ok := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) })
	s := newTestServer(t, bad, ok)
	for range 10 {
		if resp := s.send(t, "GET", "/read/1", ""); resp.status != http.StatusOK || resp.body != "ok" {
			t.Fatalf("%+v", resp)
		}
	}
}

// TestRefusedRequestIsRetried checks that an order is sent to another target, unchanged, if the first one states that it did
// not execute it.
func TestRefusedRequestIsRetried(t *testing.T) {
	refuse := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nT-Id: %s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"))
	})
	ok := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) })
	s := newTestServer(t, refuse, ok)
	for range 5 {
		if resp := s.send(t, "POST", "/order/1?q=%20a", "the body"); resp.status != http.StatusOK {
			t.Fatalf("%+v", resp)
		}
	}
	for i, r := range ok.seen {
		if ok.bodies[i] != "the body" || r.RequestURI != "/order/1?q=%20a" || r.Host != "h" || r.Header.Get("T-Target") == "" {
			t.Errorf("target got body %q, URI %s, host %s, header %v", ok.bodies[i], r.RequestURI, r.Host, r.Header)
		}
	}
}

// TestRefusalByAllTargetsReturnsRetryAfter checks that an order which no target has executed is refused with a Retry-After.
func TestRefusalByAllTargetsReturnsRetryAfter(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nT-Id: %s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"))
	})
	s := newTestServer(t, target)
	resp := s.send(t, "POST", "/order/1", "x")
	if resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" || resp.header.Get("T-Id") == "" {
		t.Errorf("%+v", resp)
	}
}

// TestMismatchedResponseIsSkipped checks that a caller never gets the response to another request: a superfluous response on
// the connection is skipped.
func TestMismatchedResponseIsSkipped(t *testing.T) {
	target := newScriptedTarget(t, func(n int, r *http.Request, c net.Conn) {
		if n%2 == 0 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Signed: 1\r\nContent-Length: 5\r\n\r\nwrong")
		}
		respondOK(r, c)
	})
	s := newTestServer(t, target)
	for range 10 {
		if resp := s.send(t, "POST", "/order/1", "x"); resp.status != http.StatusOK || resp.body != "ok" {
			t.Fatalf("%+v", resp)
		}
	}
}

// TestInvalidResponsesAreNotForwarded checks that a caller gets no successful response that isn't signed by a target, is
// truncated or has a content encoding.
func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	for name, text := range map[string]string{
		"unsigned":  "HTTP/1.1 200 OK\r\nT-Id: %s\r\nContent-Length: 2\r\n\r\nok",
		"truncated": "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: 20\r\n\r\nok",
		"encoded":   "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"not HTTP":  "BANANA %s\r\n\r\n",
	} {
		target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
			_, _ = fmt.Fprintf(c, text, r.Header.Get("T-Id"))
			_ = c.Close()
		})
		s := newTestServer(t, target)
		if resp := s.send(t, "POST", "/order/1", "x"); resp.status != http.StatusBadGateway || target.count() != 1 {
			t.Errorf("%s: got %+v, sent %d times", name, resp, target.count())
		}
	}
}

// TestRouteTimeoutClosesTargetConnection checks that a request ends at the timeout of its route and that the target's
// connection is closed then, so that the target stops working on it.
func TestRouteTimeoutClosesTargetConnection(t *testing.T) {
	closed := make(chan struct{})
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		buffer := make([]byte, 1)
		if _, err := c.Read(buffer); err != nil {
			close(closed)
		}
	})
	s := newTestServer(t, target)
	start := time.Now()
	resp := s.send(t, "GET", "/short/1", "")
	if elapsed := time.Since(start); resp.status != http.StatusGatewayTimeout || elapsed > 650*time.Millisecond {
		t.Errorf("%+v after %v", resp, elapsed)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("target's connection was not closed")
	}
}

// TestRequestsEndAtShutdownDeadline checks that requests get a response before the process exits. A request that arrived 2.4 s
// after the start of the shutdown, with a timeout of 4 s, was cut off when the grace period of 6 s ended.
func TestRequestsEndAtShutdownDeadline(t *testing.T) {
	silent := newScriptedTarget(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
	s := newTestServer(t, silent)
	start, grace := time.Now(), 300*time.Millisecond
	running := make(chan callerResponse, 1)
	go func() { running <- s.send(t, "GET", "/read/a", "", "T-Wait", "5000") }()
	for silent.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.handler.BeginShutdown(start.Add(grace))
	late := s.send(t, "POST", "/order/a", "x", "T-Wait", "5000")
	for name, r := range map[string]callerResponse{"before the shutdown": <-running, "during the shutdown": late} {
		if r.status != http.StatusGatewayTimeout {
			t.Errorf("request that arrived %s got status %d", name, r.status)
		}
	}
	if elapsed := time.Since(start); elapsed < grace || elapsed > 2*time.Second {
		t.Errorf("requests ended after %v, shutdown deadline was %v", elapsed, grace)
	}
}

// TestConnectionsAreReused checks that requests to a target share a connection, including after chunked responses.
func TestConnectionsAreReused(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", r.Header.Get("T-Id"))
	})
	s := newTestServer(t, target)
	for range 10 {
		if resp := s.send(t, "GET", "/read/1", ""); resp.body != "ok" {
			t.Fatalf("%+v", resp)
		}
	}
	if n := target.connections.Load(); n != 1 {
		t.Errorf("%d connections for 10 requests", n)
	}
}

// TestCancelledContextGetsErrorStatus checks that a caller gets an error status whatever ended its request. If the handler
// wrote nothing, net/http would send a 200.
func TestCancelledContextGetsErrorStatus(t *testing.T) {
	s := newTestServer(t, newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) }))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := httptest.NewRequestWithContext(ctx, "POST", "/order/1", strings.NewReader("x"))
	r.Host = "h"
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d", w.Code)
	}
}

// TestErrorResponses checks the statuses that the handler itself decides: valid requests must not be rejected, requests without
// a route must not succeed, and no request may be served outside its home regions.
func TestErrorResponses(t *testing.T) {
	s := newTestServer(t, newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) }))
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/nowhere/", "", http.StatusNotFound}, {"/key/1", "", http.StatusBadRequest}, {"/key/1", "7", http.StatusOK},
		{"/key/1", "700", http.StatusServiceUnavailable}, {"/home/1", "", http.StatusServiceUnavailable},
	} {
		resp := s.send(t, "GET", c.path, "", "T-Key", c.key)
		if resp.status != c.status {
			t.Errorf("%s with key %q: %+v", c.path, c.key, resp)
		}
		if resp.status == http.StatusServiceUnavailable && resp.header.Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After", c.path)
		}
	}
	s.state.view.Store(&View{Changed: make(chan struct{})})
	if resp := s.send(t, "GET", "/read/1", ""); resp.status != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: %+v", resp)
	}
	if resp := s.send(t, "POST", "/order/1", strings.Repeat("x", 100)); resp.status != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: %+v", resp)
	}
}

// TestLargeBodies checks that a large body reaches the target unchanged and that a body over the size limit is rejected.
func TestLargeBodies(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) })
	s := newTestServer(t, target)
	body := strings.Repeat("0123456789abcdef", 3<<16)
	if resp := s.send(t, "POST", "/order/1", body); resp.status != http.StatusOK {
		t.Fatalf("%+v", resp)
	}
	if target.bodies[0] != body {
		t.Errorf("target got %d of %d bytes, or changed ones", len(target.bodies[0]), len(body))
	}
	if resp := s.send(t, "POST", "/order/1", body+body); resp.status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d for a body over the limit", resp.status)
	}
}

// TestPoolSelectorFollowsWeights checks that each pool of a route gets the share of requests that its weight specifies.
func TestPoolSelectorFollowsWeights(t *testing.T) {
	s := poolSelector{routes: map[string]*weightedRoundRobin{}}
	r := &inventory.Route{Name: "r", PoolWeights: []inventory.PoolWeight{{Pool: "a", Weight: 70}, {Pool: "b", Weight: 25}, {Pool: "c", Weight: 5}, {Pool: "d"}}}
	count := map[string]int{}
	for range 1000 {
		count[s.choose(r)]++
	}
	if count["a"] != 700 || count["b"] != 250 || count["c"] != 50 {
		t.Errorf("%v", count)
	}
}

// panickingPlacer is a Placer that panics.
type panickingPlacer struct{}

func (panickingPlacer) Place(context.Context, placing.PlacementRequest) (Placement, placing.Decision, bool) {
	panic("test panic")
}
