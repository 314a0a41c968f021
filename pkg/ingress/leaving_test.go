package ingress

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// Guards against a target's word that it leaves which is overheard in an answer of another kind than a success.
func TestAllAnswersTellThatATargetLeaves(t *testing.T) {
	answer := func(status, header string) func(int, *http.Request, net.Conn) {
		return func(_ int, r *http.Request, c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nT-Id: %s\r\nT-Leaving: 1\r\n%sContent-Length: 0\r\n\r\n", status, r.Header.Get("T-Id"), header)
		}
	}
	for name, a := range map[string]func(int, *http.Request, net.Conn){
		"success": answer("200 OK", "T-Signed: 1\r\n"), "failure": answer("500 Error", "T-Signed: 1\r\n"),
		"refusal": answer("503 Busy", "T-Not-Run: 1\r\n"), "unsigned": answer("502 Bad", ""),
	} {
		for _, path := range []string{"/order/a", "/keyed-order/a"} {
			f := newFront(t, newScriptedTarget(t, a))
			f.send(t, "POST", path, "", "T-Key", "7")
			f.knowledge.mu.Lock()
			heard := f.knowledge.leaving
			f.knowledge.mu.Unlock()
			if len(heard) == 0 || heard[0].Started != 1 {
				t.Errorf("%s to %s: heard %v", name, path, heard)
			}
		}
	}
}
