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

// Guards against a route, a body or an outcome that gets lost between caller and target, with local and remote gateways.
func TestServes(t *testing.T) {
	w := newWorld(t, 2, echo)
	large := strings.Repeat("0123456789abcdef", 20_000)
	for _, n := range w.routers {
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

// Guards against an answer that breaks half-way and reaches the caller as a clean end.
func TestTruncatedAnswer(t *testing.T) {
	const length = 300_000
	w := newWorld(t, 2, func(rw http.ResponseWriter, r *http.Request) {
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
	for i, n := range w.routers {
		for _, path := range []string{"/archivio/broken", "/archivio/broken-announced", "/stato/broken"} {
			response := send(t, "GET", n.url(path), "")
			got, err := io.ReadAll(response.Body)
			if err == nil {
				t.Errorf("router %d, %s: %d bytes and a clean end", i, path, len(got))
			}
		}
	}
}

// Guards against reading or inviting the body of a request that is bound to another region.
func TestRegionGuardBeforeBody(t *testing.T) {
	w := newWorld(t, 1, echo)
	before := w.hits.Load()
	c, err := net.Dial("tcp", w.routers[0].CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	head := "POST /palermo/x HTTP/1.1\r\nHost: r\r\nContent-Length: 1000000\r\nExpect: 100-continue\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		t.Fatal(err)
	}
	// The client sends no byte of the body; an invitation would be a 100.
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
	if w.hits.Load() != before {
		t.Error("a target was reached")
	}
}

// Guards against a non-idempotent request that is sent to a target twice after a byte of it left.
func TestOrderIsNotResent(t *testing.T) {
	var orders atomic.Int64
	w := newWorld(t, 2, func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ordini" {
			orders.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		}
	})
	for i, n := range w.routers {
		for k := range 4 {
			before := orders.Load()
			key := fmt.Sprintf("order-%d-%d", i, k)
			// Equal orders would be quarantined after the second crash.
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

// Guards against bodies of the wrong length that reach a target, and against a caller that waits for the answer.
func TestBodyShorterThanAnnounced(t *testing.T) {
	w := newWorld(t, 1, echo)
	before := w.hits.Load()
	c, err := net.Dial("tcp", w.routers[0].CallerAddress())
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
	if w.hits.Load() != before {
		t.Error("a target was reached")
	}
}

// Guards against a router that serves although it is cut off alone.
func TestLoneRouterRefuses(t *testing.T) {
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
	if err != nil || drop(ready) != http.StatusServiceUnavailable {
		t.Errorf("readiness: %v", err)
	}
	live, err := http.Get("http://" + n.AdminAddress() + "/livez")
	if err != nil || drop(live) != http.StatusOK {
		t.Errorf("liveness: %v", err)
	}
	n.stop()
	if err := <-n.done; err != nil {
		t.Errorf("a router without groups ends with %v", err)
	}
}

// Guards against a configuration that doesn't come into force, or that goes back.
func TestConfigurationFollowsStore(t *testing.T) {
	w := newWorld(t, 2, echo)
	next := *w.cfg
	next.Version = 2
	next.Routes = next.Routes[:1]
	w.apply(&next)
	w.eventually("version 2 in force everywhere", func() bool {
		return w.routers[0].Agent().View().Config.Version == 2 && w.routers[1].Agent().View().Config.Version == 2
	})
	for _, n := range w.routers {
		if response := send(t, "GET", n.url("/stato/x"), ""); response.StatusCode != http.StatusNotFound {
			t.Errorf("a removed route answers %d", response.StatusCode)
		}
	}
}

// load sends requests until it is stopped and counts those that failed.
type load struct {
	stop           chan struct{}
	wait           sync.WaitGroup
	sent, failures atomic.Int64
	first          atomic.Pointer[string]
}

// start runs callers against the router that next returns, as a balancer does. Connections are kept alive.
func (l *load) start(callers int, next func() *node, request func(i int64) *http.Request) {
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

func (l *load) check(response *http.Response, err error) {
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

func (l *load) end(t *testing.T) {
	close(l.stop)
	l.wait.Wait()
	t.Logf("%d requests, %d failures", l.sent.Load(), l.failures.Load())
	if l.failures.Load() > 0 {
		t.Errorf("%d of %d requests failed, the first with: %s", l.failures.Load(), l.sent.Load(), *l.first.Load())
	}
}

// Guards against a graceful stop that cuts a request: short requests of all kinds and a long upload, while the balancer
// learns of the end late.
func TestGracefulStopCutsNoRequest(t *testing.T) {
	w := newWorld(t, 3, func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(rw, len(body))
	})
	leaving := w.routers[w.gatewayOf("stato/catania-a/0")]
	ready := func(n *node) bool { return !n.draining.Load() }
	var turn atomic.Int64
	// The balancer sees readiness with a lag below the settings' 200 ms.
	var seen sync.Map
	balancer := func() *node {
		for {
			n := w.routers[int(turn.Add(1))%len(w.routers)]
			if ready(n) {
				return n
			}
			first, _ := seen.LoadOrStore(n, time.Now())
			if time.Since(first.(time.Time)) < 100*time.Millisecond {
				return n
			}
		}
	}
	l := &load{}
	l.start(16, balancer, func(i int64) *http.Request {
		path := []string{"/archivio/x", fmt.Sprintf("/stato/%d", i), "/ordini"}[i%3]
		r, err := http.NewRequest("POST", path, strings.NewReader("body"))
		if err != nil {
			panic(err)
		}
		r.Header.Set("Idempotency-Key", fmt.Sprint(i))
		return r
	})
	// Cold targets ramp up with the load first; the upload takes one slot of them for long.
	w.eventually("some load", func() bool { return l.sent.Load() > 500 })
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
	w.eventually("load during the upload", func() bool { return l.sent.Load() > at+300 })
	leaving.stop()
	w.eventually("the callers' listener closed", func() bool {
		c, err := net.Dial("tcp", leaving.CallerAddress())
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	if _, err := writer.Write(make([]byte, 100_000)); err != nil {
		t.Errorf("the upload was cut: %v", err)
	}
	_ = writer.Close()
	if got := <-uploaded; got != "200 200000 <nil>" {
		t.Errorf("upload: %s", got)
	}
	if err := <-leaving.done; err != nil {
		t.Errorf("the router ended with %v", err)
	}
	at = l.sent.Load()
	w.eventually("load after the stop", func() bool { return l.sent.Load() > at+300 })
	l.end(t)
}

// loseRouter ends the gateway of a keyed group as a lost VM does, and calls refused for each refusal until the group is
// served again.
func loseRouter(t *testing.T, refused func(response *http.Response, status int, took time.Duration)) {
	w := newWorld(t, 3, echo)
	lost := w.gatewayOf("stato/catania-a/0")
	key := 0
	for w.owner(fmt.Sprint(key)) != "stato-1" {
		key++
	}
	entry := w.routers[(lost+1)%3]
	w.routers[lost].kill()
	w.eventually("the key is served again", func() bool {
		began := time.Now()
		response, err := http.Get(entry.url(fmt.Sprintf("/stato/%d", key)))
		if err != nil {
			t.Fatal(err)
		}
		status := drop(response)
		if status == http.StatusOK {
			return true
		}
		refused(response, status, time.Since(began))
		return false
	})
}

// Guards against callers that are told a wrong outcome while a lost router's groups have no gateway, and against groups that
// stay lost.
func TestLostRouter(t *testing.T) {
	loseRouter(t, func(response *http.Response, status int, _ time.Duration) {
		outcome := response.Header.Get(problem.HeaderOutcome)
		noRetry := response.Header.Get("Retry-After") == "" && status == http.StatusServiceUnavailable
		if outcome == string(problem.Ran) || noRetry {
			t.Errorf("%d: outcome %s, headers %v", status, outcome, response.Header)
		}
	})
}

// Guards against callers that are held until their deadline while a lost router's groups have no gateway.
func TestLostRouterAnswersAtOnce(t *testing.T) {
	loseRouter(t, func(_ *http.Response, status int, took time.Duration) {
		if took > 1500*time.Millisecond {
			t.Errorf("refused with %d after %v", status, took)
		}
	})
}

// Guards against an outage of controller and store that stops routers which can still see each other, and against routers
// that go on when they can't.
func TestControllerAndStoreLost(t *testing.T) {
	w := newWorld(t, 3, echo)
	w.stopController()
	w.store.SetDown(true)
	end := time.Now().Add(4 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		response := send(t, "GET", w.routers[i%3].url(fmt.Sprintf("/stato/%d", i)), "")
		if status := drop(response); status != http.StatusOK {
			t.Fatalf("status %d without controller and store", status)
		}
	}
	w.routers[1].kill()
	w.routers[2].kill()
	w.eventually("the last router refuses", func() bool {
		response := send(t, "GET", w.routers[0].url("/archivio/x"), "")
		return drop(response) == http.StatusServiceUnavailable && response.Header.Get(problem.HeaderOutcome) == string(problem.NotRun)
	})
}

// Guards against parts of a streamed answer that are held back, and against a stream that outlives its deadline unnoticed.
func TestStreamedAnswer(t *testing.T) {
	proceed := make(chan struct{})
	w := newWorld(t, 2, func(rw http.ResponseWriter, r *http.Request) {
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
	for _, n := range w.routers {
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
			t.Errorf("%q and a clean end after the deadline", got)
		}
	}
}

// Guards against a stalled upload that holds a router's resources beyond the deadline.
func TestStalledUpload(t *testing.T) {
	w := newWorld(t, 1, echo)
	c, err := net.Dial("tcp", w.routers[0].CallerAddress())
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

// Guards against a connection that serves no request any more after one request on it has met its deadline.
func TestConnectionAfterDeadline(t *testing.T) {
	w := newWorld(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "stalled") {
			<-r.Context().Done()
		}
	})
	for _, body := range []string{"", "body"} {
		// The gateway may refuse further requests at once, because it takes the target for frozen.
		w.eventually("a request meets its deadline", func() bool {
			late := send(t, "POST", w.routers[0].url("/archivio/stalled"), body, "Request-Timeout-Ms", "100")
			return drop(late) == http.StatusGatewayTimeout
		})
		w.eventually("the next request is served", func() bool {
			next := send(t, "POST", w.routers[0].url("/archivio/x"), body)
			status := drop(next)
			if status != http.StatusOK && status != http.StatusServiceUnavailable {
				t.Fatalf("status %d after another request's deadline", status)
			}
			return status == http.StatusOK
		})
	}
}

// Guards against HTTP/2 callers that are refused, and against connections that HTTP/1.1 callers can't use again.
func TestProtocols(t *testing.T) {
	w := newWorld(t, 2, echo)
	for _, http2 := range []bool{false, true} {
		protocols := &http.Protocols{}
		protocols.SetHTTP1(!http2)
		protocols.SetUnencryptedHTTP2(http2)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		var local []string
		for i := range 5 {
			r, err := http.NewRequest("POST", w.routers[0].url("/archivio/x"), strings.NewReader("body"))
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

// Guards against an answer to HEAD that is taken for a broken transfer.
func TestHead(t *testing.T) {
	w := newWorld(t, 2, func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodHead {
			rw.Header().Set("Content-Length", "1234")
		}
	})
	for _, n := range w.routers {
		response := send(t, "HEAD", n.url("/archivio/x"), "")
		if response.StatusCode != http.StatusOK || response.ContentLength != 1234 {
			t.Errorf("%d, length %d", response.StatusCode, response.ContentLength)
		}
	}
}
