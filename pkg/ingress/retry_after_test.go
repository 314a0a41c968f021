package ingress

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestRetryAfterIsHonored checks that a VM sends nothing to a target that has asked it to back off, with and without keys, and
// that callers get a Retry-After at once instead of waiting. Back-offs that can't be parsed or are very long are bounded.
func TestRetryAfterIsHonored(t *testing.T) {
	for _, c := range []struct {
		backoff string
		// least and most bound how many of ten requests reach the target.
		least, most int
	}{{"1.5", 1, 2}, {"unreadable", 1, 2}, {"3600", 1, 2}} {
		for _, path := range []string{"/order/a", "/keyed-order/a"} {
			target := newScriptedTarget(t, func(_ int, r *http.Request, conn net.Conn) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nT-Id: %s\r\nT-Not-Run: 1\r\nT-Closed: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"), c.backoff)
			})
			s := newTestServer(t, target)
			for range 10 {
				start := time.Now()
				resp := s.send(t, "POST", path, "", "T-Key", "7")
				retryAfter, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
				if resp.status != 503 || err != nil || retryAfter <= 0 || time.Since(start) > time.Second {
					t.Errorf("%s, back-off %q: got status %d after %v with Retry-After %q", path, c.backoff, resp.status, time.Since(start), resp.header.Get("Retry-After"))
				}
			}
			if n := target.count(); n < c.least || n > c.most {
				t.Errorf("%s, back-off %q: target got %d requests", path, c.backoff, n)
			}
		}
	}
}
