package ingress

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// Guards against a VM that sends more requests to a target that has turned it away for a time, with keys and without, and against
// callers that aren't told at once when to come back. Times that can't be read or are very long are bounded.
func TestTargetThatTurnedTheVMAwayGetsNothing(t *testing.T) {
	for _, c := range []struct {
		closed string
		// least and most bound the target's requests out of ten sendings.
		least, most int
	}{{"1.5", 1, 2}, {"unreadable", 1, 2}, {"3600", 1, 2}} {
		for _, path := range []string{"/order/a", "/keyed-order/a"} {
			target := newScriptedTarget(t, func(_ int, r *http.Request, conn net.Conn) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nT-Id: %s\r\nT-Not-Run: 1\r\nT-Closed: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("T-Id"), c.closed)
			})
			f := newFront(t, target)
			for range 10 {
				begun := time.Now()
				got := f.send(t, "POST", path, "", "T-Key", "7")
				retry, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				if got.status != 503 || err != nil || retry <= 0 || time.Since(begun) > time.Second {
					t.Errorf("%s after %q: answered %d after %v, Retry-After %q", path, c.closed, got.status, time.Since(begun), got.header.Get("Retry-After"))
				}
			}
			if n := target.count(); n < c.least || n > c.most {
				t.Errorf("%s after %q: the target gets %d requests", path, c.closed, n)
			}
		}
	}
}
