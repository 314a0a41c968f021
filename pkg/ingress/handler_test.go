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
)

// testDialect uses header names of its own.
type testDialect struct{}

func (testDialect) ReadRequest(h http.Header) (Meta, error) {
	m := Meta{ID: h.Get("T-Id"), Key: NoKey, Wait: 2 * time.Second}
	if k := h.Get("T-Key"); k != "" {
		m.Key, _ = strconv.Atoi(k)
	}
	if w := h.Get("T-Wait"); w != "" {
		ms, err := strconv.Atoi(w)
		if err != nil {
			return m, err
		}
		m.Wait = time.Duration(ms) * time.Millisecond
	}
	return m, nil
}
func (testDialect) RequestID(h http.Header) string { return h.Get("T-Id") }
func (testDialect) StampRequest(h http.Header, target string, left time.Duration) {
	h.Set("T-Target", target)
	h.Set("T-Left", strconv.FormatInt(left.Milliseconds(), 10))
}
func (testDialect) StampAnswer(h http.Header, id string) { h.Set("T-Id", id) }
func (testDialect) ReadAnswer(status int, h http.Header) AnswerMeta {
	seconds, err := strconv.ParseFloat(h.Get("T-Closed"), 64)
	return AnswerMeta{ClosedFor: time.Duration(seconds * float64(time.Second)), ClosedUnclear: h.Get("T-Closed") != "" && err != nil, ID: h.Get("T-Id"), NotRun: h.Get("T-Not-Run") != "", Leaving: h.Get("T-Leaving") != "", Signed: h.Get("T-Signed") != ""}
}

// nobody places no request, so that the handler places all locally.
type nobody struct{}

func (nobody) Place(context.Context, placing.Ask) (Placement, placing.Verdict, bool) {
	return nil, placing.Verdict{}, false
}

type fixedView struct {
	view    atomic.Pointer[View]
	mu      sync.Mutex
	leaving []inventory.Life
}

func (f *fixedView) Current() *View      { return f.view.Load() }
func (f *fixedView) KeyUsed(string, int) {}
func (f *fixedView) TargetLeaves(life inventory.Life) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, life)
}

// scriptedTarget answers each request by a function that writes to the connection.
type scriptedTarget struct {
	address     string
	connections atomic.Int32
	mu          sync.Mutex
	seen        []*http.Request
	bodies      []string
}

func newScriptedTarget(t *testing.T, answer func(n int, r *http.Request, c net.Conn)) *scriptedTarget {
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
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *scriptedTarget) serve(c net.Conn, answer func(int, *http.Request, net.Conn)) {
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
		answer(n, r, c)
	}
}

// requests returns the requests that have arrived.
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

func good(r *http.Request, c net.Conn) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("T-Id"))
}

// front is a handler with its targets.
type front struct {
	*httptest.Server
	knowledge *fixedView
	handler   *Handler
	ids       atomic.Int64
	log       logText
}

func newFront(t *testing.T, targets ...*scriptedTarget) *front {
	pools := []*inventory.Pool{{Name: "p"}, {Name: "k", Keyed: true}}
	routes := []*inventory.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, MaxAttempts: 2, Shares: []inventory.Share{{Pool: "p", Weight: 1}}, Objective: time.Second},
		{Name: "order", Host: "h", Prefix: "/order/", MaxAttempts: 2, Shares: []inventory.Share{{Pool: "p", Weight: 1}}, Objective: time.Second},
		{Name: "short", Host: "h", Prefix: "/short/", Idempotent: true, MaxAttempts: 2, Timeout: 400 * time.Millisecond, Shares: []inventory.Share{{Pool: "p", Weight: 1}}},
		{Name: "key", Host: "h", Prefix: "/key/", Idempotent: true, MaxAttempts: 2, Shares: []inventory.Share{{Pool: "k", Weight: 1}}},
		{Name: "keyed-order", Host: "h", Prefix: "/keyed-order/", MaxAttempts: 2, Shares: []inventory.Share{{Pool: "k", Weight: 1}}},
		{Name: "home", Host: "h", Prefix: "/home/", Idempotent: true, MaxAttempts: 2, HomeRegions: []string{"south"}, Shares: []inventory.Share{{Pool: "p", Weight: 1}}},
	}
	cfg := inventory.NewConfiguration(1, inventory.Limits{BodyBytes: 4 << 20}, pools, routes)
	var list []*inventory.Target
	for i, s := range targets {
		list = append(list, &inventory.Target{ID: fmt.Sprintf("t%d", i), Pool: "p", Address: s.address, Domain: "n1", Slots: 4, Started: 1})
		list = append(list, &inventory.Target{ID: fmt.Sprintf("k%d", i), Pool: "k", Address: s.address, Domain: "n1", Slots: 4, Started: 1})
	}
	snapshot := inventory.NewSnapshot(cfg, list, nil)
	regions := map[string]string{"n1": "north", "s1": "south"}
	balancer := placing.NewBalancer("n1", "north", regions)
	balancer.Update(snapshot, clock.Boottime{}.Now())
	f := &front{knowledge: &fixedView{}}
	f.knowledge.view.Store(&View{Snapshot: snapshot, Changed: make(chan struct{}), Taken: time.Now(),
		Routes: map[string][]coordinator.Route{"k": {{From: 0, To: 99, Owner: "k0"}, {From: 100, To: 65535, Owner: "k0", Pending: true, ReadyIn: 5000}}}})
	f.handler = NewHandler(Options{
		Dialect: testDialect{}, Knowledge: f.knowledge, Placer: nobody{}, Balancer: balancer,
		Budget: placing.NewLocalBudget(0.2, 600, 10*time.Second), Clock: clock.Boottime{}, Log: event.NewLogger(&f.log, log.InfoLevel),
		Metrics: NewMetrics(tally.NoopScope), RegionOf: regions, MaxHeldBodies: 8 << 20,
	})
	f.Server = httptest.NewServer(f.handler)
	t.Cleanup(f.Close)
	return f
}

// logged returns what the handler has logged.
func (f *front) logged() string {
	text, err := io.ReadAll(f.log.reader())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (f *front) send(t *testing.T, method, path, body string, header ...string) reply {
	t.Helper()
	r, err := http.NewRequest(method, f.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("T-Id", fmt.Sprintf("id-%d", f.ids.Add(1)))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{response.StatusCode, response.Header, string(text)}
}

// Guards against orders that run twice or are told not to have run: after a reset nobody knows.
func TestOrderIsSentOnceAfterAReset(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, _ *http.Request, c net.Conn) { _ = c.Close() })
	f := newFront(t, target)
	if got := f.send(t, "POST", "/order/1", "x"); got.status != http.StatusBadGateway {
		t.Errorf("status %d", got.status)
	}
	if n := target.count(); n != 1 {
		t.Errorf("the order reached a target %d times", n)
	}
}

// Guards against idempotent requests that fail although another target could serve them.
func TestReadIsSentAgainAfterAReset(t *testing.T) {
	bad := newScriptedTarget(t, func(_ int, _ *http.Request, c net.Conn) { _ = c.Close() })
	ok := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { good(r, c) })
	f := newFront(t, bad, ok)
	for range 10 {
		if got := f.send(t, "GET", "/read/1", ""); got.status != http.StatusOK || got.body != "ok" {
			t.Fatalf("%+v", got)
		}
	}
}

// Guards against orders that fail although the target stated that it did not run them, and against changed bodies.
func TestRefusedOrderIsSentAgain(t *testing.T) {
	refuse := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nT-Id: %s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"))
	})
	ok := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { good(r, c) })
	f := newFront(t, refuse, ok)
	for range 5 {
		if got := f.send(t, "POST", "/order/1?q=%20a", "the body"); got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
	}
	for i, r := range ok.seen {
		if ok.bodies[i] != "the body" || r.RequestURI != "/order/1?q=%20a" || r.Host != "h" || r.Header.Get("T-Target") == "" {
			t.Errorf("the target got %q, %s, %s, %v", ok.bodies[i], r.RequestURI, r.Host, r.Header)
		}
	}
}

// Guards against a refusal that isn't true: an order is refused with a time to come back only if no target ran it.
func TestRefusalIsTrue(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nT-Id: %s\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"))
	})
	f := newFront(t, target)
	got := f.send(t, "POST", "/order/1", "x")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || got.header.Get("T-Id") == "" {
		t.Errorf("%+v", got)
	}
}

// Guards against answers of other requests: an extra answer that waits on the connection is skipped.
func TestCrossedAnswerIsSkipped(t *testing.T) {
	target := newScriptedTarget(t, func(n int, r *http.Request, c net.Conn) {
		if n%2 == 0 {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: other\r\nT-Signed: 1\r\nContent-Length: 5\r\n\r\nwrong")
		}
		good(r, c)
	})
	f := newFront(t, target)
	for range 10 {
		if got := f.send(t, "POST", "/order/1", "x"); got.status != http.StatusOK || got.body != "ok" {
			t.Fatalf("%+v", got)
		}
	}
}

// Guards against successes that no target has signed, and against bodies that are cut or encoded.
func TestSpoiltAnswersAreNotPassedOn(t *testing.T) {
	for name, text := range map[string]string{
		"unsigned":  "HTTP/1.1 200 OK\r\nT-Id: %s\r\nContent-Length: 2\r\n\r\nok",
		"cut":       "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: 20\r\n\r\nok",
		"encoded":   "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"no answer": "BANANA %s\r\n\r\n",
	} {
		target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
			_, _ = fmt.Fprintf(c, text, r.Header.Get("T-Id"))
			_ = c.Close()
		})
		f := newFront(t, target)
		if got := f.send(t, "POST", "/order/1", "x"); got.status != http.StatusBadGateway || target.count() != 1 {
			t.Errorf("%s: %+v after %d sends", name, got, target.count())
		}
	}
}

// Guards against answers that come after the route's time-out, and against targets that work on nobody's request.
func TestTimeoutEndsTheRequest(t *testing.T) {
	closed := make(chan struct{})
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		one := make([]byte, 1)
		if _, err := c.Read(one); err != nil {
			close(closed)
		}
	})
	f := newFront(t, target)
	begun := time.Now()
	got := f.send(t, "GET", "/short/1", "")
	if took := time.Since(begun); got.status != http.StatusGatewayTimeout || took > 650*time.Millisecond {
		t.Errorf("%+v after %v", got, took)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the target isn't told that nobody waits")
	}
}

// Guards against requests that get no answer because the process ends first: one that came 2.4 s after the request to stop, with a
// time-out of 4 s, was cut when the grace period of 6 s ended.
func TestRequestsEndBeforeTheProcess(t *testing.T) {
	silent := newScriptedTarget(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
	f := newFront(t, silent)
	begun, end := time.Now(), 300*time.Millisecond
	running := make(chan reply, 1)
	go func() { running <- f.send(t, "GET", "/read/a", "", "T-Wait", "5000") }()
	for silent.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.handler.Stopping(begun.Add(end))
	late := f.send(t, "POST", "/order/a", "x", "T-Wait", "5000")
	for name, r := range map[string]reply{"before the request to stop": <-running, "after it": late} {
		if r.status != http.StatusGatewayTimeout {
			t.Errorf("a request that came %s gets %d", name, r.status)
		}
	}
	if took := time.Since(begun); took < end || took > 2*time.Second {
		t.Errorf("the answers took %v; the process ends after %v", took, end)
	}
}

// Guards against connections that are opened anew for each request, also after answers in chunks.
func TestConnectionsAreKept(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", r.Header.Get("T-Id"))
	})
	f := newFront(t, target)
	for range 10 {
		if got := f.send(t, "GET", "/read/1", ""); got.body != "ok" {
			t.Fatalf("%+v", got)
		}
	}
	if n := target.connections.Load(); n != 1 {
		t.Errorf("%d connections for 10 requests", n)
	}
}

// Guards against a silent success: whatever ends a request, its caller gets a status.
func TestEndedContextIsAnswered(t *testing.T) {
	f := newFront(t, newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { good(r, c) }))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := httptest.NewRequestWithContext(ctx, "POST", "/order/1", strings.NewReader("x"))
	r.Host = "h"
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d", w.Code)
	}
}

// Guards against refusals of proper requests, successes without a route, and requests outside their homes.
func TestOwnAnswers(t *testing.T) {
	f := newFront(t, newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { good(r, c) }))
	for _, c := range []struct {
		path, key string
		status    int
	}{
		{"/nowhere/", "", http.StatusNotFound}, {"/key/1", "", http.StatusBadRequest}, {"/key/1", "7", http.StatusOK},
		{"/key/1", "700", http.StatusServiceUnavailable}, {"/home/1", "", http.StatusServiceUnavailable},
	} {
		got := f.send(t, "GET", c.path, "", "T-Key", c.key)
		if got.status != c.status {
			t.Errorf("%s with key %q: %+v", c.path, c.key, got)
		}
		if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "" {
			t.Errorf("%s: no time to come back", c.path)
		}
	}
	f.knowledge.view.Store(&View{Changed: make(chan struct{})})
	if got := f.send(t, "GET", "/read/1", ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: %+v", got)
	}
	if got := f.send(t, "POST", "/order/1", strings.Repeat("x", 100)); got.status != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: %+v", got)
	}
}

// Guards against bodies that grow without bound or arrive changed.
func TestLargeBodies(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { good(r, c) })
	f := newFront(t, target)
	body := strings.Repeat("0123456789abcdef", 3<<16)
	if got := f.send(t, "POST", "/order/1", body); got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	if target.bodies[0] != body {
		t.Errorf("the target got %d of %d bytes", len(target.bodies[0]), len(body))
	}
	if got := f.send(t, "POST", "/order/1", body+body); got.status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d for a body over the limit", got.status)
	}
}

// Guards against pools whose part of a route's requests is off its weight.
func TestSharesFollowTheirWeights(t *testing.T) {
	s := splitter{routes: map[string]*rotation{}}
	r := &inventory.Route{Name: "r", Shares: []inventory.Share{{Pool: "a", Weight: 70}, {Pool: "b", Weight: 25}, {Pool: "c", Weight: 5}, {Pool: "d"}}}
	count := map[string]int{}
	for range 1000 {
		count[s.choose(r)]++
	}
	if count["a"] != 700 || count["b"] != 250 || count["c"] != 50 {
		t.Errorf("%v", count)
	}
}

// panickingPlacer stands for an unexpected error.
type panickingPlacer struct{}

func (panickingPlacer) Place(context.Context, placing.Ask) (Placement, placing.Verdict, bool) {
	panic("planted")
}
