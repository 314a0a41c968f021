package ingress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

// Guards against requests above a quota that reach a target, against a refusal for another reason that looks like the quota's, and against
// organisations without a quota that are refused. The VM has no broker.
func TestQuotaIsEnforcedWithoutABroker(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, r *http.Request, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Signed: 1\r\nT-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"))
	})
	s := newTestServer(t, target)
	o := s.organise(t).Organisations["org-1"]
	o.Rate, o.Burst = 2, 3
	now := clock.Boottime{}.Now()
	s.handler.Quota = sharedrate.NewHolder(1, sharedrate.Allowance{Window: 5 * time.Second, Over: 0.1}, now)
	get := func(credential string) (int, float64) {
		r := s.send(t, "GET", "/read/a", "", "T-Credential", credential)
		retryAfter, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		return r.status, retryAfter
	}
	if status, retryAfter := get(testCredential); status != 503 || retryAfter < 0.5 || target.count() != 0 {
		t.Errorf("without a share: got %d with Retry-After %v", status, retryAfter)
	}
	// The VM got its share a minute ago by its clock, so that it has all of the burst.
	s.handler.Quota = sharedrate.NewHolder(1, sharedrate.Allowance{Window: 5 * time.Second, Over: 0.1}, now.Add(-20*time.Second))
	s.handler.Quota.Offer(sharedrate.Offer{Coordinator: 1, Stamp: 1, Process: 1, Echo: int64(now), Serial: 1, Fraction: 1}, now.Add(-20*time.Second))
	for range 3 {
		if status, _ := get(testCredential); status != 200 {
			t.Errorf("within the burst: got %d", status)
		}
	}
	status, retryAfter := get(testCredential)
	if status != 429 || retryAfter < 0.05 || retryAfter > 0.6 || target.count() != 3 {
		t.Errorf("above the quota: got %d with Retry-After %v, and the target %d requests", status, retryAfter, target.count())
	}
	if status, _ := get("other"); status != 200 {
		t.Errorf("without a quota: got %d", status)
	}
}

// Guards against an attempt whose token was taken before the VM was suspended: it would count in another window.
func TestOldTokenIsNotUsed(t *testing.T) {
	s := newTestServer(t, newScriptedTarget(t, nil))
	c := &call{Handler: s.handler, sendBy: s.handler.Clock.Now().Add(-time.Millisecond)}
	if !c.tokenExpired() {
		t.Error("a token is used after its time")
	}
	if c.sendBy = 0; c.tokenExpired() {
		t.Error("a request without a quota has a token")
	}
	if got := quotaRetryAfter(placing.RetryAfterLimit(0)); got < minQuotaRetryAfter {
		t.Errorf("Retry-After is %v", got)
	}
}

// steppedClock is a clock that a test can advance.
type steppedClock struct {
	clock.Boottime
	ahead atomic.Int64
}

func (c *steppedClock) Now() clock.Instant {
	return c.Boottime.Now().Add(time.Duration(c.ahead.Load()))
}

// Guards against requests that are sent with a token that has become too old while a connection to the target was established: what is held
// up by the network for a second would be sent together with the requests of the next window.
func TestTokenIsCheckedAfterDialing(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, r *http.Request, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nT-Signed: 1\r\nT-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"))
	})
	s := newTestServer(t, target)
	o := s.organise(t).Organisations["org-1"]
	o.Rate, o.Burst = 1, 3
	stepped := &steppedClock{}
	s.handler.Clock = stepped
	now := stepped.Now()
	s.handler.Quota = sharedrate.NewHolder(1, sharedrate.DefaultAllowance, now.Add(-20*time.Second))
	s.handler.Quota.Offer(sharedrate.Offer{Coordinator: 1, Stamp: 1, Process: 1, Echo: int64(now), Serial: 1, Fraction: 1}, now.Add(-20*time.Second))
	s.handler.sender.pools.get("t0", target.address).Dialer.Control = func(string, string, syscall.RawConn) error {
		stepped.ahead.Add(int64(500 * time.Millisecond))
		return nil
	}
	if r := s.send(t, "GET", "/read/a", "", "T-Credential", testCredential); r.status != 200 || target.count() != 1 {
		t.Errorf("got %d, the target %d requests", r.status, target.count())
	}
	if uses := s.handler.Quota.State(1, stepped.Now()).Uses; len(uses) != 1 || uses[0].Taken != 2 {
		t.Errorf("use of the quota is %+v, want a second token for the request that was held up", uses)
	}
}

// lateBroker is a Placer whose decisions arrive when their tokens are too old.
type lateBroker struct{ asked, withdrawn atomic.Int32 }

func (l *lateBroker) Place(context.Context, placing.PlacementRequest) (Placement, placing.Decision, bool) {
	l.asked.Add(1)
	time.Sleep(time.Millisecond)
	return l, placing.Decision{Target: "t0", SendBy: 1}, true
}

func (l *lateBroker) Done(time.Duration, placing.Result, *placing.Report) {}

func (l *lateBroker) Withdraw() { l.withdrawn.Add(1) }

// Guards against requests that ask a slow broker again and again until their deadline, each time with a token of the quota that is lost.
func TestLateDecisionsAreNotRepeatedForever(t *testing.T) {
	target, broker := newScriptedTarget(t, nil), &lateBroker{}
	s := newTestServer(t, target)
	o := s.organise(t).Organisations["org-1"]
	o.Rate, o.Burst = 1, 3
	s.handler.Placer = broker
	r := s.send(t, "GET", "/read/a", "", "T-Credential", testCredential)
	if r.status != 503 || r.header.Get("Retry-After") == "" || target.count() != 0 {
		t.Errorf("got %d with Retry-After %q, the target %d requests", r.status, r.header.Get("Retry-After"), target.count())
	}
	if n := broker.asked.Load(); n > maxLateDecisions || broker.withdrawn.Load() != n {
		t.Errorf("the broker was asked %d times, and %d requests were withdrawn", n, broker.withdrawn.Load())
	}
}
