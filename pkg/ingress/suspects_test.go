package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
)

// TestCrashingRequestIsRefusedWithoutABroker checks that a VM without a coordinator stops sending a request that crashes each
// target it reaches, before its response or amid it. The error must not claim that a request was not executed right after it was, and must carry a Retry-After.
func TestCrashingRequestIsRefusedWithoutABroker(t *testing.T) {
	partial := func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Signed: 1\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("T-Id"))
	}
	for _, c := range []struct {
		method, path string
		// sent is what a target sends before it crashes.
		sent func(*http.Request) string
		// statuses are those of successive sends. Each GET is tried at up to two targets.
		statuses []int
		runs     int
	}{
		{"POST", "/order/", nil, []int{502, 502, 502, 503, 503}, 3},
		{"GET", "/read/", nil, []int{502, 502, 503}, 3},
		{"POST", "/order/", partial, []int{502, 502, 502, 503, 503}, 3},
		{"GET", "/read/", partial, []int{502, 502, 503}, 3},
	} {
		crashOnBad := func(_ int, r *http.Request, conn net.Conn) {
			if r.URL.Path == "/order/bad" || r.URL.Path == "/read/bad" {
				if c.sent != nil {
					_, _ = io.WriteString(conn, c.sent(r))
				}
				_ = conn.Close()
				return
			}
			respondOK(r, conn)
		}
		var targets []*scriptedTarget
		for range 6 {
			targets = append(targets, newScriptedTarget(t, crashOnBad))
		}
		s := newTestServer(t, targets...)
		for i, want := range c.statuses {
			resp := s.send(t, c.method, c.path+"bad", "")
			if resp.status != want {
				t.Errorf("%s: send %d got status %d, want %d", c.path, i, resp.status, want)
			}
			if seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64); want == 503 && (err != nil || seconds < 30 || seconds > 60) {
				t.Errorf("%s: Retry-After is %q, want 30 to 60 seconds", c.path, resp.header.Get("Retry-After"))
			}
		}
		if resp := s.send(t, c.method, c.path+"other", ""); resp.status != 200 {
			t.Errorf("%s: another request got status %d", c.path, resp.status)
		}
		runs := 0
		for _, target := range targets {
			for _, r := range target.requests() {
				if r.URL.Path == c.path+"bad" {
					runs++
				}
			}
		}
		if runs != c.runs {
			t.Errorf("%s: the request reached %d targets, want %d", c.path, runs, c.runs)
		}
	}
}
