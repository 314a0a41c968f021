package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/settings"
)

// Guards against a route, body or outcome that is lost between caller and target, with local and remote gateways.
func TestServesThroughLocalAndRemoteGateways(t *testing.T) {
	tc := newTestCluster(t, 2, echo)
	large := strings.Repeat("0123456789abcdef", 20_000)
	for _, n := range tc.routers {
		for path, body := range map[string]string{"/archivio/x": large, "/stato/key-1": "small", "/archivio/empty": ""} {
			response := send(t, "POST", n.url(path), body, "X-Request-Id", "id-1")
			got, err := io.ReadAll(response.Body)
			if err != nil || string(got) != body || response.StatusCode != http.StatusOK {
				t.Errorf("%s: %d, %d bytes, %v", path, response.StatusCode, len(got), err)
			}
			if response.Header.Get(problem.HeaderOutcome) != string(problem.Ran) || response.Header.Get("X-Request-Id") != "id-1" {
				t.Errorf("%s: headers %v", path, response.Header)
			}
		}
	}
}

// Guards against a response that is truncated at the target but reaches the caller as a complete one.
func TestTruncatedResponse(t *testing.T) {
	const length = 300_000
	tc := newTestCluster(t, 2, func(rw http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "broken") {
			return
		}
		if strings.Contains(r.URL.Path, "announced") {
			rw.Header().Set("Content-Length", fmt.Sprint(length))
		}
		_, _ = rw.Write(make([]byte, length/2))
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	})
	for i, n := range tc.routers {
		for _, path := range []string{"/archivio/broken", "/archivio/broken-announced", "/stato/broken"} {
			response := send(t, "GET", n.url(path), "")
			got, err := io.ReadAll(response.Body)
			if err == nil {
				t.Errorf("router %d, %s: %d bytes and no error", i, path, len(got))
			}
		}
	}
}

// Guards against reading the body of a request whose home region is another one, or asking for it with 100 Continue.
func TestRegionGuardBeforeBody(t *testing.T) {
	tc := newTestCluster(t, 1, echo)
	before := tc.targetRequests.Load()
	c, err := net.Dial("tcp", tc.routers[0].CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	head := "POST /palermo/x HTTP/1.1\r\nHost: r\r\nContent-Length: 1000000\r\nExpect: 100-continue\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		t.Fatal(err)
	}
	// The client sends no byte of the body; a router that asked for it would respond with 100 first.
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusMisdirectedRequest || !strings.Contains(string(body), "https://palermo.example") {
		t.Errorf("%d %s", response.StatusCode, body)
	}
	if response.Header.Get("Bronzelever-Home-Regions") != "palermo" || response.Header.Get(problem.HeaderOutcome) != string(problem.NotRun) {
		t.Errorf("headers %v", response.Header)
	}
	if tc.targetRequests.Load() != before {
		t.Error("a target was reached")
	}
}

// Guards against a non-idempotent request that is sent to a target again once a byte of it has been sent.
func TestOrderIsNotResent(t *testing.T) {
	var orders atomic.Int64
	tc := newTestCluster(t, 2, func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ordini" {
			orders.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		}
	})
	for i, n := range tc.routers {
		for k := range 4 {
			before := orders.Load()
			key := fmt.Sprintf("order-%d-%d", i, k)
			// Identical orders would be quarantined after the second crash.
			response := send(t, "POST", n.url("/ordini"), key, "Idempotency-Key", key)
			if orders.Load()-before > 1 {
				t.Fatalf("%s reached targets %d times", key, orders.Load()-before)
			}
			outcome := response.Header.Get(problem.HeaderOutcome)
			if response.StatusCode < 500 || orders.Load() != before && outcome != string(problem.Unknown) {
				t.Errorf("%s: %d, outcome %s", key, response.StatusCode, outcome)
			}
		}
	}
	if orders.Load() == 0 {
		t.Error("no order reached a target")
	}
}

// Guards against a body shorter than its Content-Length that reaches a target, and against a caller that gets no response
// then.
func TestBodyShorterThanContentLength(t *testing.T) {
	tc := newTestCluster(t, 1, echo)
	before := tc.targetRequests.Load()
	c, err := net.Dial("tcp", tc.routers[0].CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /ordini HTTP/1.1\r\nHost: r\r\nIdempotency-Key: k\r\nContent-Length: 10\r\n\r\nshort")
	_ = c.(*net.TCPConn).CloseWrite()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusBadRequest || response.Header.Get(problem.HeaderOutcome) != string(problem.NotRun) {
		t.Errorf("%d, headers %v", response.StatusCode, response.Header)
	}
	if tc.targetRequests.Load() != before {
		t.Error("a target was reached")
	}
}

// Guards against a router that serves requests although it can reach neither other routers nor a controller.
func TestIsolatedRouterRefuses(t *testing.T) {
	s := settings.Router{
		Identity:     settings.Identity{VM: "vm-0", Cell: "catania", Region: "catania", Domain: "catania-a"},
		CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		Peers: []settings.Peer{{VM: "vm-1", Router: "127.0.0.1:9", Controller: "127.0.0.1:9", Cell: "catania"}},
		Drain: settings.Drain{TimeoutMillis: 1000},
	}
	n := startRouter(t, s, event.Discard())
	response := send(t, "GET", n.url("/archivio/x"), "")
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(problem.HeaderOutcome) != string(problem.NotRun) || response.Header.Get("Retry-After") == "" {
		t.Errorf("%d, headers %v", response.StatusCode, response.Header)
	}
	ready, err := http.Get("http://" + n.AdminAddress() + "/readyz")
	if err != nil || discardBody(ready) != http.StatusServiceUnavailable {
		t.Errorf("readiness: %v", err)
	}
	live, err := http.Get("http://" + n.AdminAddress() + "/livez")
	if err != nil || discardBody(live) != http.StatusOK {
		t.Errorf("liveness: %v", err)
	}
	n.stop()
	if err := <-n.done; err != nil {
		t.Errorf("Run of a router without groups returned %v", err)
	}
}

// Guards against a new configuration that doesn't take effect on every router, or that is replaced by the previous one again.
func TestConfigurationFollowsStore(t *testing.T) {
	tc := newTestCluster(t, 2, echo)
	next := *tc.cfg
	next.Version = 2
	next.Routes = next.Routes[:1]
	tc.applyConfig(&next)
	tc.eventually("version 2 in force everywhere", func() bool {
		return tc.routers[0].Agent().View().Config.Version == 2 && tc.routers[1].Agent().View().Config.Version == 2
	})
	for _, n := range tc.routers {
		if response := send(t, "GET", n.url("/stato/x"), ""); response.StatusCode != http.StatusNotFound {
			t.Errorf("a removed route responds with %d", response.StatusCode)
		}
	}
}

// loadGenerator sends requests until it is stopped and counts those that failed.
type loadGenerator struct {
	stop           chan struct{}
	wait           sync.WaitGroup
	sent, failures atomic.Int64
	first          atomic.Pointer[string]
}

// start starts concurrent callers. They send each request to the router that next returns, as a balancer does, and reuse
// connections.
func (l *loadGenerator) start(callers int, next func() *node, request func(i int64) *http.Request) {
	l.stop = make(chan struct{})
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	for range callers {
		l.wait.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				i := l.sent.Add(1)
				r := request(i)
				r.URL.Scheme = "http"
				r.URL.Host = next().CallerAddress()
				l.check(transport.RoundTrip(r))
			}
		})
	}
}

func (l *loadGenerator) check(response *http.Response, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	} else {
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			text = fmt.Sprintf("%d %s %v", response.StatusCode, body, err)
		}
	}
	if text != "" {
		l.failures.Add(1)
		l.first.CompareAndSwap(nil, &text)
	}
}

func (l *loadGenerator) end(t *testing.T) {
	close(l.stop)
	l.wait.Wait()
	t.Logf("%d requests, %d failures", l.sent.Load(), l.failures.Load())
	if l.failures.Load() > 0 {
		t.Errorf("%d of %d requests failed, the first with: %s", l.failures.Load(), l.sent.Load(), *l.first.Load())
	}
}

// Guards against a graceful shutdown that aborts a request: short requests of all kinds and a long upload, while the balancer
// notices the shutdown with a delay.
func TestGracefulShutdownAbortsNoRequest(t *testing.T) {
	tc := newTestCluster(t, 3, func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(rw, len(body))
	})
	leaving := tc.routers[tc.gatewayOf("stato/catania-a/0")]
	ready := func(n *node) bool { return !n.draining.Load() }
	var turn atomic.Int64
	// The balancer notices a change of readiness after 100 ms, which is less than the 200 ms of the settings.
	var seen sync.Map
	balancer := func() *node {
		for {
			n := tc.routers[int(turn.Add(1))%len(tc.routers)]
			if ready(n) {
				return n
			}
			first, _ := seen.LoadOrStore(n, time.Now())
			if time.Since(first.(time.Time)) < 100*time.Millisecond {
				return n
			}
		}
	}
	l := &loadGenerator{}
	l.start(16, balancer, func(i int64) *http.Request {
		path := []string{"/archivio/x", fmt.Sprintf("/stato/%d", i), "/ordini"}[i%3]
		r, err := http.NewRequest("POST", path, strings.NewReader("body"))
		if err != nil {
			panic(err)
		}
		r.Header.Set("Idempotency-Key", fmt.Sprint(i))
		return r
	})
	// Targets start cold, and their concurrency grows with the load; the upload occupies one slot for a long time.
	tc.eventually("some load", func() bool { return l.sent.Load() > 500 })
	upload, writer := io.Pipe()
	uploaded := make(chan string, 1)
	go func() {
		response, err := http.Post(leaving.url("/archivio/upload"), "", upload)
		if err != nil {
			uploaded <- err.Error()
			return
		}
		body, err := io.ReadAll(response.Body)
		uploaded <- fmt.Sprintf("%d %s %v", response.StatusCode, body, err)
	}()
	if _, err := writer.Write(make([]byte, 100_000)); err != nil {
		t.Fatal(err)
	}
	at := l.sent.Load()
	tc.eventually("load during the upload", func() bool { return l.sent.Load() > at+300 })
	leaving.stop()
	tc.eventually("the callers' listener closed", func() bool {
		c, err := net.Dial("tcp", leaving.CallerAddress())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	if _, err := writer.Write(make([]byte, 100_000)); err != nil {
		t.Errorf("the upload was aborted: %v", err)
	}
	_ = writer.Close()
	if got := <-uploaded; got != "200 200000 <nil>" {
		t.Errorf("upload: %s", got)
	}
	if err := <-leaving.done; err != nil {
		t.Errorf("Run returned %v", err)
	}
	at = l.sent.Load()
	tc.eventually("load after the stop", func() bool { return l.sent.Load() > at+300 })
	l.end(t)
}

// killGateway stops the gateway of a keyed group without a shutdown, as the loss of its VM would, and calls refused for each
// refused request until the group is served again.
func killGateway(t *testing.T, refused func(response *http.Response, status int, took time.Duration)) {
	tc := newTestCluster(t, 3, echo)
	lost := tc.gatewayOf("stato/catania-a/0")
	key := 0
	for tc.owner(fmt.Sprint(key)) != "stato-1" {
		key++
	}
	entry := tc.routers[(lost+1)%3]
	tc.routers[lost].kill()
	tc.eventually("the key is served again", func() bool {
		began := time.Now()
		response, err := http.Get(entry.url(fmt.Sprintf("/stato/%d", key)))
		if err != nil {
			t.Fatal(err)
		}
		status := discardBody(response)
		if status == http.StatusOK {
			return true
		}
		refused(response, status, time.Since(began))
		return false
	})
}

// Guards against responses with a wrong outcome while the groups of a lost router have no gateway, and against groups that
// aren't served again.
func TestLostRouter(t *testing.T) {
	killGateway(t, func(response *http.Response, status int, _ time.Duration) {
		outcome := response.Header.Get(problem.HeaderOutcome)
		noRetry := response.Header.Get("Retry-After") == "" && status == http.StatusServiceUnavailable
		if outcome == string(problem.Ran) || noRetry {
			t.Errorf("%d: outcome %s, headers %v", status, outcome, response.Header)
		}
	})
}

// Guards against requests that wait until their deadline while the groups of a lost router have no gateway.
func TestLostRouterRefusesWithoutDelay(t *testing.T) {
	killGateway(t, func(_ *http.Response, status int, took time.Duration) {
		if took > 1500*time.Millisecond {
			t.Errorf("refused with %d after %v", status, took)
		}
	})
}

// Guards against routers that stop serving during an outage of controller and store although they still reach each other,
// and against a router that continues to serve when it reaches no other one.
func TestControllerAndStoreLost(t *testing.T) {
	tc := newTestCluster(t, 3, echo)
	tc.stopController()
	tc.store.SetDown(true)
	end := time.Now().Add(4 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		response := send(t, "GET", tc.routers[i%3].url(fmt.Sprintf("/stato/%d", i)), "")
		if status := discardBody(response); status != http.StatusOK {
			t.Fatalf("status %d without controller and store", status)
		}
	}
	tc.routers[1].kill()
	tc.routers[2].kill()
	tc.eventually("the last router refuses", func() bool {
		response := send(t, "GET", tc.routers[0].url("/archivio/x"), "")
		return discardBody(response) == http.StatusServiceUnavailable && response.Header.Get(problem.HeaderOutcome) == string(problem.NotRun)
	})
}

// Guards against parts of a streamed response that aren't forwarded at once, and against a stream that is cut off at its
// deadline but looks complete to the caller.
func TestStreamedResponse(t *testing.T) {
	proceed := make(chan struct{})
	tc := newTestCluster(t, 2, func(rw http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "stream") {
			return
		}
		for _, part := range []string{"one", "two"} {
			_, _ = io.WriteString(rw, part)
			_ = http.NewResponseController(rw).Flush()
			select {
			case <-proceed:
			case <-r.Context().Done():
				return
			}
		}
	})
	for _, n := range tc.routers {
		response := send(t, "GET", n.url("/archivio/stream"), "")
		buf := make([]byte, 3)
		for _, want := range []string{"one", "two"} {
			if _, err := io.ReadFull(response.Body, buf); err != nil || string(buf) != want {
				t.Fatalf("%q, %v", buf, err)
			}
			proceed <- struct{}{}
		}
		if rest, err := io.ReadAll(response.Body); len(rest) > 0 || err != nil {
			t.Errorf("%q, %v", rest, err)
		}
		stalled := send(t, "GET", n.url("/archivio/stream"), "", "Request-Timeout-Ms", "300")
		if got, err := io.ReadAll(stalled.Body); err == nil {
			t.Errorf("%q and no error after the deadline", got)
		}
	}
}

// Guards against a stalled upload that occupies a router's resources beyond the deadline.
func TestStalledUpload(t *testing.T) {
	tc := newTestCluster(t, 1, echo)
	c, err := net.Dial("tcp", tc.routers[0].CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /archivio/x HTTP/1.1\r\nHost: r\r\nRequest-Timeout-Ms: 200\r\nContent-Length: 10\r\n\r\nshort")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusGatewayTimeout || response.Header.Get(problem.HeaderOutcome) != string(problem.NotRun) {
		t.Errorf("%d, headers %v", response.StatusCode, response.Header)
	}
}

// Guards against a connection that can't serve further requests after a request on it has exceeded its deadline.
func TestConnectionAfterDeadline(t *testing.T) {
	tc := newTestCluster(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "stalled") {
			<-r.Context().Done()
		}
	})
	for _, body := range []string{"", "body"} {
		// The gateway may refuse further requests immediately, because it considers the target frozen.
		tc.eventually("a request exceeds its deadline", func() bool {
			late := send(t, "POST", tc.routers[0].url("/archivio/stalled"), body, "Request-Timeout-Ms", "100")
			return discardBody(late) == http.StatusGatewayTimeout
		})
		tc.eventually("the next request is served", func() bool {
			next := send(t, "POST", tc.routers[0].url("/archivio/x"), body)
			status := discardBody(next)
			if status != http.StatusOK && status != http.StatusServiceUnavailable {
				t.Fatalf("status %d after another request's deadline", status)
			}
			return status == http.StatusOK
		})
	}
}

// Guards against HTTP/2 callers that are refused, and against connections that HTTP/1.1 callers can't reuse.
func TestProtocols(t *testing.T) {
	tc := newTestCluster(t, 2, echo)
	for _, http2 := range []bool{false, true} {
		protocols := &http.Protocols{}
		protocols.SetHTTP1(!http2)
		protocols.SetUnencryptedHTTP2(http2)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		var local []string
		for i := range 5 {
			r, err := http.NewRequest("POST", tc.routers[0].url("/archivio/x"), strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { local = append(local, i.Conn.LocalAddr().String()) }}
			response, err := client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if string(body) != "body" || err != nil || response.ProtoMajor != 1 != http2 {
				t.Errorf("request %d: %s, %q, %v", i, response.Proto, body, err)
			}
		}
		if len(slices.Compact(local)) != 1 {
			t.Errorf("HTTP/2 %v: connections %v", http2, local)
		}
	}
}

// Guards against a response to HEAD that is treated as truncated because it has no body.
func TestHeadRequest(t *testing.T) {
	tc := newTestCluster(t, 2, func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodHead {
			rw.Header().Set("Content-Length", "1234")
		}
	})
	for _, n := range tc.routers {
		response := send(t, "HEAD", n.url("/archivio/x"), "")
		if response.StatusCode != http.StatusOK || response.ContentLength != 1234 {
			t.Errorf("%d, length %d", response.StatusCode, response.ContentLength)
		}
	}
}
