package ingress

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// Guards against a target's rate limit that is missed in some kind of response, or taken from one that isn't the target's, and against
// callers that wait for a limit without room or are told to come back too early.
func TestRateLimitIsReadFromResponses(t *testing.T) {
	for _, c := range []struct {
		name, response string
		limited        bool
	}{
		{"success", "200 OK\r\nT-Signed: 1\r\nT-Limit: 0.2", true},
		{"failure", "500 Error\r\nT-Signed: 1\r\nT-Limit: 0.2", true},
		{"refusal", "503 Busy\r\nT-Not-Run: 1\r\nT-Limit: 0.2", true},
		{"misdirected", "421 Wrong\r\nT-Not-Run: 1\r\nT-Limit: 0.2", false},
		{"unsigned", "502 Bad\r\nT-Limit: 0.2", false},
		{"unreadable", "200 OK\r\nT-Signed: 1\r\nT-Limit: several", false},
	} {
		target := newScriptedTarget(t, func(_ int, r *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nT-Id: %s\r\nContent-Length: 0\r\n\r\n", c.response, r.Header.Get("T-Id"))
		})
		s := newTestServer(t, target)
		s.send(t, "POST", "/keyed-order/a", "", "T-Key", "7")
		incarnation := s.state.Current().Snapshot.Targets["k0"].Incarnation()
		if _, limited := s.handler.Limits.Rate(incarnation); limited != c.limited {
			t.Errorf("%s: the target counts as limited: %v", c.name, limited)
			continue
		}
		if !c.limited {
			continue
		}
		// Three quarters of 0.2 requests per second are one each 6.7 s, which may be due now.
		for range 3 {
			before, start := target.count(), time.Now()
			resp := s.send(t, "POST", "/keyed-order/a", "", "T-Key", "7")
			if target.count() > before && target.count() == 2 {
				continue
			}
			retryAfter, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
			if resp.status != 503 || target.count() > before || err != nil || retryAfter < 0.08 || retryAfter > 6.7*1.25 || time.Since(start) > 200*time.Millisecond {
				t.Errorf("%s: got status %d after %v with Retry-After %q, and the target %d requests", c.name, resp.status, time.Since(start), resp.header.Get("Retry-After"), target.count())
			}
		}
	}
}
