package ingress

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestLateRequestsAreRefused guards against a request that is sent to a target although the process stops accepting requests, and against
// one in progress that is refused then.
func TestLateRequestsAreRefused(t *testing.T) {
	target, gate := newGatedTarget(t)
	s := newTestServer(t, target)
	s.handler.BeginShutdown(time.Now().Add(5 * time.Second))
	p := dialPipelined(t, s.Listener.Addr().String())
	p.get("/order/1")
	awaitCount(t, target, 1)
	s.handler.StopAccepting()
	refused := s.send(t, "POST", "/order/2", "x")
	if refused.status != http.StatusServiceUnavailable || refused.header.Get("Retry-After") == "" {
		t.Errorf("a late request gets %d, Retry-After %q", refused.status, refused.header.Get("Retry-After"))
	}
	staysAt(t, target, 1)
	close(gate)
	p.expect("/order/1", true)
}

// TestRequestOfClosedConnectionIsNotSent guards against a request that runs although its connection was closed as idle between the read of
// its head and the call of the handler.
func TestRequestOfClosedConnectionIsNotSent(t *testing.T) {
	target, _ := newGatedTarget(t)
	s := newTestServer(t, target)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := &callerConn{Conn: near, handler: s.handler}
	_ = conn.Close()
	r := httptest.NewRequest(http.MethodPost, "http://h/order/2", http.NoBody)
	r = r.WithContext(s.handler.ConnContext(r.Context(), conn))
	defer func() {
		if err, _ := recover().(error); !errors.Is(err, http.ErrAbortHandler) {
			t.Errorf("the handler ends with %v", err)
		}
		staysAt(t, target, 0)
	}()
	s.handler.ServeHTTP(httptest.NewRecorder(), r)
}
