package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
)

// hedgeTest is a server whose broker places first attempts at t0 and hedges at t1.
type hedgeTest struct {
	*testServer
	t       *testing.T
	targets [2]*scriptedTarget
	// begun is closed when a target gets its first request, reset when its connection ends before it has answered, and released when its
	// slot is released.
	begun, reset, released [2]chan struct{}
	scope                  tally.TestScope
	// refuse is the reason for which hedges are refused, if any: all of them, or the first ones if refusals isn't 0.
	refuse   placing.Reason
	refusals int
	// sendBy is until when hedges may be sent, 0 if there is no such time.
	sendBy clock.Instant
	mu     sync.Mutex
	asked  []placing.PlacementRequest
	ended  map[string]placing.Result
}

// hedgeTestDelay is the 95th percentile of the latencies that the hedger of a hedgeTest knows.
const hedgeTestDelay = 30 * time.Millisecond

func newHedgeTest(t *testing.T, respond ...func(h *hedgeTest, r *http.Request, c net.Conn)) *hedgeTest {
	h := &hedgeTest{t: t, scope: tally.NewTestScope("", nil), ended: map[string]placing.Result{}}
	for i := range respond {
		h.begun[i], h.reset[i], h.released[i] = make(chan struct{}), make(chan struct{}), make(chan struct{})
		h.targets[i] = newScriptedTarget(t, func(n int, r *http.Request, c net.Conn) {
			if n == 1 {
				close(h.begun[i])
			}
			respond[i](h, r, c)
		})
	}
	h.testServer = newTestServer(t, h.targets[:]...)
	h.handler.Placer, h.handler.Metrics = h, NewMetrics(h.scope)
	h.handler.Hedger = placing.NewHedger(placing.MaxHedgeExtraShare)
	past := h.handler.Clock.Now().Add(-time.Second)
	for range 100 {
		h.handler.Hedger.Begin(placing.HedgeRequest{Route: "read", Idempotent: true, Replayable: true, MaxAttempts: 2}, past)
		h.handler.Hedger.Observe("read", hedgeTestDelay, true, past)
	}
	return h
}

// Place implements Placer.
func (h *hedgeTest) Place(_ context.Context, a placing.PlacementRequest) (Placement, placing.Decision, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked = append(h.asked, a)
	if !a.Hedge {
		return hedgeTestPlacement{h, 0}, placing.Decision{Target: strings.Replace(a.Pool, "p", "t", 1) + "0"}, true
	}
	if h.refuse != "" && (h.refusals == 0 || len(h.asked) <= 1+h.refusals) {
		return nil, placing.Decision{Reason: h.refuse}, true
	}
	return hedgeTestPlacement{h, 1}, placing.Decision{Target: "t1", SendBy: h.sendBy}, true
}

type hedgeTestPlacement struct {
	h      *hedgeTest
	target int
}

// Withdraw implements Placement. Only requests with a quota are withdrawn.
func (p hedgeTestPlacement) Withdraw() {}

// Done implements Placement. The slot of a cancelled attempt must not be released before its connection is reset.
func (p hedgeTestPlacement) Done(_ time.Duration, ending placing.Result, _ *placing.Report) {
	if ending == placing.Abandoned || ending == placing.Unanswered {
		await(p.h.t, p.h.reset[p.target], "connection is not reset when its slot is released")
	}
	p.h.mu.Lock()
	defer p.h.mu.Unlock()
	name := fmt.Sprint("t", p.target)
	if _, ok := p.h.ended[name]; ok {
		p.h.t.Errorf("the end of the attempt at %s is reported twice", name)
		return
	}
	close(p.h.released[p.target])
	p.h.ended[name] = ending
}

// counted returns the value of a counter of the requests' metrics.
func (h *hedgeTest) counted(name string) int64 {
	if c, ok := h.scope.Snapshot().Counters()["requests."+name]; ok {
		return c.Value()
	}
	return 0
}

func await(t *testing.T, done <-chan struct{}, failure string) {
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error(failure)
	}
}

// Steps of the targets' scripts. hang waits until the router resets the connection.
func hang(target int) func(*hedgeTest, *http.Request, net.Conn) {
	return func(h *hedgeTest, _ *http.Request, c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		close(h.reset[target])
	}
}

func answer(_ *hedgeTest, r *http.Request, c net.Conn) { respondOK(r, c) }

// after waits until a target has got the request.
func after(target int, then func(*hedgeTest, *http.Request, net.Conn)) func(*hedgeTest, *http.Request, net.Conn) {
	return func(h *hedgeTest, r *http.Request, c net.Conn) {
		await(h.t, h.begun[target], "request does not reach the other target")
		then(h, r, c)
	}
}

// afterEnd waits until the end of the attempt at the other target is reported.
func afterEnd(target int, then func(*hedgeTest, *http.Request, net.Conn)) func(*hedgeTest, *http.Request, net.Conn) {
	return func(h *hedgeTest, r *http.Request, c net.Conn) {
		await(h.t, h.released[target], "slot of the other target is not released")
		then(h, r, c)
	}
}

func crash(_ *hedgeTest, _ *http.Request, c net.Conn) { _ = c.Close() }

const streamedBytes = maxBufferedResponse + 300<<10

func answerStreamed(_ *hedgeTest, r *http.Request, c net.Conn) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("T-Id"), streamedBytes, strings.Repeat("s", streamedBytes))
}

func fail(_ *hedgeTest, r *http.Request, c net.Conn) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 500 Error\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: 2\r\n\r\nno", r.Header.Get("T-Id"))
}

// TestHedgedRequests guards against callers that get no answer or another attempt's, attempts that go on after the other one was
// answered, slots that are released before the connection is reset, and ends of attempts that are misreported to broker and metrics.
func TestHedgedRequests(t *testing.T) {
	type script = func(*hedgeTest, *http.Request, net.Conn)
	for _, test := range []struct {
		name          string
		first, second script
		status, bytes int
		ended         [2]placing.Result
		won           int64
	}{
		{"hedge wins", hang(0), answer, 200, 2, [2]placing.Result{placing.Abandoned, placing.Answered}, 1},
		{"hedge wins with a streamed response", hang(0), answerStreamed, 200, streamedBytes, [2]placing.Result{placing.Abandoned, placing.PartlyAnswered}, 1},
		{"first wins", after(1, answer), hang(1), 200, 2, [2]placing.Result{placing.Answered, placing.Abandoned}, 0},
		{"first crashes while the hedge runs", after(1, crash), afterEnd(0, answer), 200, 2, [2]placing.Result{placing.ConnectionLost, placing.Answered}, 1},
		{"first fails while the hedge runs", after(1, fail), afterEnd(0, answer), 200, 2, [2]placing.Result{placing.TargetError, placing.Answered}, 1},
		{"hedge crashes", afterEnd(1, answer), crash, 200, 2, [2]placing.Result{placing.Answered, placing.ConnectionLost}, 0},
		{"both crash", after(1, crash), crash, 502, 0, [2]placing.Result{placing.ConnectionLost, placing.ConnectionLost}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHedgeTest(t, test.first, test.second)
			response := h.send(t, "GET", "/read/a", "")
			if response.status != test.status || len(response.body) != test.bytes {
				t.Errorf("status %d with %d bytes", response.status, len(response.body))
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.ended["t0"] != test.ended[0] || h.ended["t1"] != test.ended[1] || len(h.ended) != 2 {
				t.Errorf("attempts ended %v, want %v", h.ended, test.ended)
			}
			if a := h.asked; len(a) != 2 || a[0].Hedge || !a[1].Retry || len(a[1].Avoid) != 1 || a[1].Avoid[0] != "t0" {
				t.Errorf("broker was asked %+v", a)
			}
			if h.targets[0].count() != 1 || h.targets[1].count() != 1 || h.counted("hedges+") != 1 || h.counted("hedges_won+") != test.won {
				t.Errorf("sent %d and %d times; %d hedges, %d won", h.targets[0].count(), h.targets[1].count(), h.counted("hedges+"), h.counted("hedges_won+"))
			}
			if held := h.handler.sender.memory.held.Load(); held != 0 {
				t.Errorf("%d bytes of responses are held", held)
			}
		})
	}
}

// TestRequestsThatAreNotHedged guards against a second copy of a request that must not run twice, whose pool is divided by key, whose
// body can't be sent again or whose hedge the broker refuses. All wait for longer than the delay.
func TestRequestsThatAreNotHedged(t *testing.T) {
	slow := func(h *hedgeTest, r *http.Request, c net.Conn) {
		timer := time.NewTimer(3 * hedgeTestDelay)
		defer timer.Stop()
		<-timer.C
		respondOK(r, c)
	}
	for _, test := range []struct {
		method, path, body string
		refuse             placing.Reason
		reason             placing.HedgeReason
	}{
		{"POST", "/order/a", "x", "", placing.HedgeNotIdempotent},
		{"GET", "/key/a", "", "", placing.HedgeKeyed},
		{"POST", "/read/a", strings.Repeat("x", maxBufferedBody+1), "", placing.HedgeNotReplayable},
		{"GET", "/read/a", "", placing.ReasonOverload, placing.HedgeNoFreeSlot},
		{"GET", "/read/a", "", placing.ReasonRetryBudget, placing.HedgeRetryBudget},
	} {
		h := newHedgeTest(t, slow, answer)
		h.refuse = test.refuse
		if r := h.send(t, test.method, test.path, test.body, "T-Key", "7"); r.status != http.StatusOK {
			t.Errorf("%s: status %d", test.reason, r.status)
		}
		if n := h.counted("hedges_not_sent+reason=" + string(test.reason)); n != 1 || h.targets[1].count() != 0 {
			t.Errorf("%s counted %d times; %d hedges", test.reason, n, h.targets[1].count())
		}
	}
}

// TestRefusedHedgeIsAskedForAgain guards against a request that waits for a target that has stopped responding until its deadline because
// no slot was free at the moment when its hedge was asked for.
func TestRefusedHedgeIsAskedForAgain(t *testing.T) {
	h := newHedgeTest(t, hang(0), answer)
	h.refuse, h.refusals = placing.ReasonOverload, 2
	if r := h.send(t, "GET", "/read/a", ""); r.status != http.StatusOK {
		t.Errorf("status %d", r.status)
	}
	refused := h.counted("hedges_refused+reason=" + string(placing.HedgeNoFreeSlot))
	if len(h.asked) != 4 || refused != 2 || h.counted("hedges_won+") != 1 || h.ended["t0"] != placing.Abandoned {
		t.Errorf("broker was asked %d times; %d refusals, attempts ended %v", len(h.asked), refused, h.ended)
	}
}

// TestHedgeNeedsValidToken guards against a hedge that is sent although its token of the organisation's quota is too old, for example
// because the VM was suspended.
func TestHedgeNeedsValidToken(t *testing.T) {
	h := newHedgeTest(t, func(h *hedgeTest, r *http.Request, c net.Conn) {
		await(h.t, h.released[1], "place of the hedge is not given back")
		respondOK(r, c)
	}, answer)
	// A hedge that is given back was never sent, so no connection is reset.
	close(h.reset[1])
	h.sendBy = 1
	if r := h.send(t, "GET", "/read/a", ""); r.status != http.StatusOK {
		t.Errorf("status %d", r.status)
	}
	if h.targets[1].count() != 0 || h.ended["t1"] != placing.Abandoned {
		t.Errorf("hedge was sent %d times, its placement ended %v", h.targets[1].count(), h.ended["t1"])
	}
}

// TestCallerDisconnectEndsBothAttempts guards against an attempt that goes on for a caller that has left.
func TestCallerDisconnectEndsBothAttempts(t *testing.T) {
	h := newHedgeTest(t, hang(0), hang(1))
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, h.URL+"/read/a", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("T-Id", "1")
	go func() {
		await(t, h.begun[1], "request is not hedged")
		cancel()
	}()
	if _, err := http.DefaultClient.Do(r); !errors.Is(err, context.Canceled) {
		t.Fatalf("caller got %v", err)
	}
	for i := range h.reset {
		await(t, h.reset[i], fmt.Sprint("connection to t", i, " is not reset"))
	}
	// Close waits until the handler has ended.
	h.Close()
	if h.ended["t0"] != placing.Unanswered || h.ended["t1"] != placing.Unanswered || len(h.ended) != 2 {
		t.Errorf("attempts ended %v", h.ended)
	}
}

// panickingState panics when a target leaves.
type panickingState struct{ *fakeState }

func (panickingState) RecordTargetLeaving(inventory.Incarnation) { panic("test panic") }

// TestPanicEndsBothAttempts guards against slots that are leaked, and against a response that claims that the request has not run, if
// the call panics while it has two attempts.
func TestPanicEndsBothAttempts(t *testing.T) {
	h := newHedgeTest(t, hang(0), func(h *hedgeTest, r *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nT-Leaving: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"))
		close(h.reset[1])
	})
	h.handler.State = panickingState{h.state}
	if r := h.send(t, "GET", "/read/a", ""); r.status != http.StatusBadGateway {
		t.Errorf("status %d", r.status)
	}
	if len(h.ended) != 2 {
		t.Errorf("attempts ended %v", h.ended)
	}
}
