package ingress

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// slowConn is a connection that accepts the given numbers of bytes. A write that isn't accepted completely ends at its deadline.
type slowConn struct {
	net.Conn
	accepts   []int
	deadlines []time.Time
}

func (c *slowConn) SetWriteDeadline(t time.Time) error {
	c.deadlines = append(c.deadlines, t)
	return nil
}

func (c *slowConn) Write(p []byte) (int, error) {
	n := min(c.accepts[0], len(p))
	c.accepts = c.accepts[1:]
	if n < len(p) {
		return n, os.ErrDeadlineExceeded
	}
	return n, nil
}

// TestWriteDeadlineFollowsProgress guards against a caller that reads nothing and holds a response for as long as its deadline permits, and
// against a caller that reads slowly and is disconnected all the same.
func TestWriteDeadlineFollowsProgress(t *testing.T) {
	s := newTestServer(t)
	for _, tc := range []struct {
		name     string
		accepts  []int
		deadline time.Duration
		written  int
		failed   bool
	}{
		{"reads everything", []int{writeChunkBytes, writeChunkBytes, 100}, 0, 2*writeChunkBytes + 100, false},
		{"reads slowly", []int{10, 10, 10, writeChunkBytes, writeChunkBytes, writeChunkBytes}, 0, 2*writeChunkBytes + 100, false},
		{"stops reading", []int{writeChunkBytes, 10, 0}, 0, writeChunkBytes + 10, true},
		{"reads slowly beyond the request's deadline", []int{10}, -time.Second, 10, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			slow := &slowConn{accepts: tc.accepts}
			c := &callerConn{Conn: slow, handler: s.handler}
			if tc.deadline != 0 {
				_ = c.SetWriteDeadline(time.Now().Add(tc.deadline))
			}
			n, err := c.Write(make([]byte, 2*writeChunkBytes+100))
			if n != tc.written || errors.Is(err, os.ErrDeadlineExceeded) != tc.failed {
				t.Errorf("wrote %d bytes: %v", n, err)
			}
			for _, d := range slow.deadlines {
				if left := time.Until(d); left > writeStallTimeout+writeDeadlineSlack || tc.deadline != 0 && left > 0 {
					t.Errorf("a part may take %v", left)
				}
			}
		})
	}
}

// TestStalledUploadEndsAtDeadline guards against a caller that stops in the middle of a large body and holds its connection and a megabyte of
// the body beyond its deadline. net/http interrupts the read of the body when the handler returns, which has to work through callerConn.
func TestStalledUploadEndsAtDeadline(t *testing.T) {
	s := newTestServer(t, newScriptedTarget(t, func(_ int, r *http.Request, c net.Conn) { respondOK(r, c) }))
	p := dialPipelined(t, s.Listener.Addr().String())
	p.methods = []string{"POST", "POST"}
	_, _ = fmt.Fprintf(p, "POST /order/1 HTTP/1.1\r\nHost: h\r\nT-Id: a\r\nT-Wait: 1500\r\nContent-Length: %d\r\n\r\n", 3<<20)
	_, _ = p.Write(make([]byte, 2<<20))
	_ = p.SetReadDeadline(time.Now().Add(3 * time.Second))
	if text, err := p.read(); err != nil || !strings.HasPrefix(text, "504 close=true") {
		t.Errorf("%q, %v", text, err)
	}
	if text, err := p.read(); errors.Is(err, os.ErrDeadlineExceeded) || err == nil {
		t.Errorf("the connection stays open: %q, %v", text, err)
	}
}
