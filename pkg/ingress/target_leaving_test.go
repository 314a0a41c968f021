package ingress

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// TestLeavingIsReadFromEveryResponse checks that the announcement of a target's shutdown is read from every kind of response,
// not only from successful ones.
func TestLeavingIsReadFromEveryResponse(t *testing.T) {
	respond := func(status, header string) func(int, *http.Request, net.Conn) {
		return func(_ int, r *http.Request, c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nT-Id: %s\r\nT-Leaving: 1\r\n%sContent-Length: 0\r\n\r\n", status, r.Header.Get("T-Id"), header)
		}
	}
	for name, a := range map[string]func(int, *http.Request, net.Conn){
		"success": respond("200 OK", "T-Signed: 1\r\n"), "failure": respond("500 Error", "T-Signed: 1\r\n"),
		"refusal": respond("503 Busy", "T-Not-Run: 1\r\n"), "unsigned": respond("502 Bad", ""),
	} {
		for _, path := range []string{"/order/a", "/keyed-order/a"} {
			s := newTestServer(t, newScriptedTarget(t, a))
			s.send(t, "POST", path, "", "T-Key", "7")
			s.state.mu.Lock()
			recorded := s.state.leaving
			s.state.mu.Unlock()
			if len(recorded) == 0 || recorded[0].Started != 1 {
				t.Errorf("%s to %s: targets recorded as leaving: %v", name, path, recorded)
			}
		}
	}
}
