package keygrant

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
)

type testDialect struct{}

func (testDialect) GrantRequest(Grant) (string, []byte, error) { return "/grant", []byte("{}"), nil }
func (testDialect) ReleaseRequest(Grant) (string, []byte, error) {
	return "/release", []byte("{}"), nil
}
func (testDialect) SetTargetHeader(h http.Header, target string) { h.Set("T-Target", target) }
func (testDialect) HandoverToken(h http.Header) string           { return h.Get("T-Handover") }
func (testDialect) RateLimit(_ int, h http.Header) ratelimit.Notice {
	if h.Get("T-Limit") == "" {
		return ratelimit.Notice{}
	}
	return ratelimit.Notice{Kind: ratelimit.Named, Rate: 2}
}

func (testDialect) Leaving(_ int, h http.Header) bool { return h.Get("T-Leaving") != "" }

// Guards against wrong outcomes of calls: only a response from the target proves that a call succeeded or was refused.
func TestGrantAndReleaseOutcomes(t *testing.T) {
	status := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("T-Target") != "t1" {
			t.Errorf("the call names target %q", r.Header.Get("T-Target"))
		}
		w.Header().Set("T-Handover", "token")
		w.WriteHeader(<-status)
	}))
	defer server.Close()
	client, to := NewClient(testDialect{}), Endpoint{ID: "t1", Address: server.Listener.Addr().String()}
	for code, want := range map[int]error{
		http.StatusOK: nil, http.StatusConflict: ErrFenced, http.StatusMisdirectedRequest: ErrWrongTarget, http.StatusInternalServerError: ErrOutcomeUnknown,
	} {
		status <- code
		if _, err := client.Grant(t.Context(), to, Grant{}, 0); !errors.Is(err, want) {
			t.Errorf("status %d: %v", code, err)
		}
	}
	status <- http.StatusOK
	if token, err := client.Release(t.Context(), to, Grant{}); token != "token" || err != nil {
		t.Errorf("release: %q, %v", token, err)
	}
	server.Close()
	if _, err := client.Grant(t.Context(), to, Grant{}, 0); !errors.Is(err, ErrUnsent) && !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("grant to a target that is gone: %v", err)
	}
}

// Guards against grants and releases whose bytes aren't counted, or that carry a field which no target needs.
func TestGrantAndReleaseBytesAreCounted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if agent := r.Header.Get("User-Agent"); agent != "" {
			t.Errorf("%s names the program %q", r.URL.Path, agent)
		}
	}))
	defer server.Close()
	var counter interregion.Counter
	client, to := NewClient(testDialect{}), Endpoint{ID: "t1", Address: server.Listener.Addr().String()}
	client.Flow = func(Endpoint) *interregion.Flow { return counter.Flow(interregion.Grants) }
	before := interregion.Volume{}
	for name, call := range map[string]func() error{
		"grant":   func() error { _, err := client.Grant(t.Context(), to, Grant{}, 0); return err },
		"release": func() error { _, err := client.Release(t.Context(), to, Grant{}); return err },
	} {
		if err := call(); err != nil {
			t.Fatal(err)
		}
		after := counter.Total(interregion.Grants)
		if sent, received := after.Sent-before.Sent, after.Received-before.Received; sent < 50 || sent > 250 || received < 15 || received > 200 {
			t.Errorf("%s: %d bytes sent and %d received", name, sent, received)
		}
		before = after
	}
}

// Guards against a notice that a target is leaving which is missed in the response to a grant or a release, whatever its status.
func TestEveryResponseReportsLeavingTarget(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("T-Leaving", "1")
		w.WriteHeader(http.StatusConflict)
	}))
	defer server.Close()
	client, to := NewClient(testDialect{}), Endpoint{ID: "t1", Address: server.Listener.Addr().String()}
	var notified []Endpoint
	client.OnLeaving = func(p Endpoint) { notified = append(notified, p) }
	_, granted := client.Grant(t.Context(), to, Grant{}, 0)
	_, released := client.Release(t.Context(), to, Grant{})
	if len(notified) != 2 || notified[0] != to || notified[1] != to {
		t.Errorf("notified of %v after grant error %v and release error %v", notified, granted, released)
	}
}

// Guards against a rate limit that is missed in the response to a grant or a release, and against one that such a response withdraws.
func TestResponsesReportRateLimit(t *testing.T) {
	var limited atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limited.Load() {
			w.Header().Set("T-Limit", "2")
		}
	}))
	defer server.Close()
	client, to := NewClient(testDialect{}), Endpoint{ID: "t1", Address: server.Listener.Addr().String()}
	reported := 0
	client.OnRateLimit = func(p Endpoint, n ratelimit.Notice, _ time.Duration) {
		if p != to || n.Rate != 2 {
			t.Errorf("%+v of %v", n, p)
		}
		reported++
	}
	for _, limit := range []bool{true, false} {
		limited.Store(limit)
		if _, err := client.Grant(t.Context(), to, Grant{}, 0); err != nil {
			t.Error(err)
		}
		if _, err := client.Release(t.Context(), to, Grant{}); err != nil {
			t.Error(err)
		}
	}
	if reported != 2 {
		t.Errorf("%d limits are reported", reported)
	}
}

// Guards against a grant that is delivered seconds after it timed out. Such a grant reached the former owner of keys when a
// partition between failure domains healed. Resetting the connection drops the data that the kernel still holds.
func TestTimedOutGrantResetsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		if _, err := http.ReadRequest(reader); err != nil {
			ended <- err
			return
		}
		for err == nil {
			_, err = reader.ReadByte()
		}
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := NewClient(testDialect{}).Grant(ctx, Endpoint{ID: "t1", Address: l.Addr().String()}, Grant{}, 0); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("grant: %v", err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection was not closed")
	}
}

// restartableTarget is a target that can be restarted at the same address.
type restartableTarget struct {
	address  string
	server   *http.Server
	requests atomic.Int64
}

func (r *restartableTarget) start(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { r.requests.Add(1) })}
	go func() { _ = r.server.Serve(l) }()
}

// Guards against a grant that reaches the next incarnation of a target over a new connection, although its fence belongs to the
// former one.
func TestGrantIsNotSentOnNewConnection(t *testing.T) {
	target := &restartableTarget{address: "127.0.0.1:0"}
	target.start(t)
	client, to := NewClient(testDialect{}), Endpoint{ID: "t1", Address: target.address}
	first, err := client.Grant(t.Context(), to, Grant{}, 0)
	if err != nil || first == 0 {
		t.Fatalf("connection %d, %v", first, err)
	}
	if again, err := client.Grant(t.Context(), to, Grant{}, first); err != nil || again != first {
		t.Fatalf("connection %d, %v", again, err)
	}
	if err := target.server.Close(); err != nil {
		t.Fatal(err)
	}
	target.start(t)
	before := target.requests.Load()
	if _, err := client.Grant(t.Context(), to, Grant{}, first); !errors.Is(err, ErrDisconnected) && !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("grant to the former incarnation: %v", err)
	}
	if _, err := client.Grant(t.Context(), to, Grant{}, first); !errors.Is(err, ErrDisconnected) {
		t.Errorf("second grant to the former incarnation: %v", err)
	}
	if n := target.requests.Load() - before; n != 0 {
		t.Errorf("the new incarnation received %d grants meant for the former one", n)
	}
	second, err := client.Grant(t.Context(), to, Grant{}, 0)
	if err != nil || second == first {
		t.Errorf("the connection to the new incarnation has ID %d, %v", second, err)
	}
	if _, err := client.Grant(t.Context(), to, Grant{}, first); !errors.Is(err, ErrDisconnected) {
		t.Errorf("grant to the former incarnation after a grant to the new one: %v", err)
	}
}

// Guards against connections to all targets that stay open after another VM has become the coordinator.
func TestIdleConnectionsAreClosed(t *testing.T) {
	target := &restartableTarget{address: "127.0.0.1:0"}
	target.start(t)
	client, to := NewClient(testDialect{}), Endpoint{ID: "t1", Address: target.address}
	first, err := client.Grant(t.Context(), to, Grant{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	client.sessions.get(to).closeIdle()
	if _, err := client.Grant(t.Context(), to, Grant{}, first); !errors.Is(err, ErrDisconnected) {
		t.Errorf("grant on a connection that was closed as idle: %v", err)
	}
	client.sessions.mu.Lock()
	defer client.sessions.mu.Unlock()
	if n := len(client.sessions.byTarget); n > 1 {
		t.Errorf("%d sessions", n)
	}
}

// Guards against endless responses to grants and releases. A faulty target may send data until the caller closes the connection.
func TestEndlessResponsesAreAborted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var sent atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				block := make([]byte, 32<<10)
				for {
					n, err := c.Write(block)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	client, to := NewClient(testDialect{}), Endpoint{ID: "t1", Address: l.Addr().String()}
	begun := time.Now()
	if _, err := client.Grant(t.Context(), to, Grant{}, 0); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("grant: %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if _, err := client.Release(ctx, to, Grant{}); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("release: %v", err)
	}
	if took := time.Since(begun); took > grantTimeout {
		t.Errorf("two calls took %v", took)
	}
	// The socket buffers of both sides hold a few MB in addition to what is read.
	if n := sent.Load(); n > 16<<20 {
		t.Errorf("the target could send %d bytes", n)
	}
}

// Guards against a release that seems to have succeeded because the target has written its answer to an earlier release twice: the keys
// would be granted to another target while this one is still working on them.
func TestRepeatedAnswerDoesNotEndLaterRelease(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	answer := "HTTP/1.1 200 OK\r\nT-Handover: first\r\nContent-Length: 0\r\n\r\n"
	var connections atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			first := connections.Add(1) == 1
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !first {
						// The work on the keys of the second release ends with the target.
						return
					}
					_, _ = c.Write([]byte(answer))
				}
			}()
		}
	}()
	client, to := NewClient(testDialect{}), Endpoint{ID: "t1", Address: l.Addr().String()}
	if token, err := client.Release(t.Context(), to, Grant{}); token != "first" || err != nil {
		t.Fatalf("first release: %q, %v", token, err)
	}
	if token, err := client.Release(t.Context(), to, Grant{}); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("second release: %q, %v", token, err)
	}
}

// Guards against a call that seems to have succeeded although the target stopped in the middle of the head of its answer and closed.
func TestTruncatedAnswerHasUnknownOutcome(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nT-Handover: token\r\nContent-Length: 0\r\n\r\n"
	for cut := range len(answer) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, answer[:cut])
				}
				_ = c.Close()
			}
		}()
		client, to := NewClient(testDialect{}), Endpoint{ID: "t1", Address: l.Addr().String()}
		if _, err := client.Grant(t.Context(), to, Grant{}, 0); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("grant answered with %q: %v", answer[:cut], err)
		}
		if _, err := client.Release(t.Context(), to, Grant{}); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("release answered with %q: %v", answer[:cut], err)
		}
		_ = l.Close()
	}
}

// serveRaw answers each request on each connection with a text and counts the connections.
func serveRaw(t *testing.T, answer string) (address string, connections *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	connections = new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return l.Addr().String(), connections
}

// Guards against a status that isn't one of HTTP and is taken for an outcome, and against a connection that is used after it: what follows
// would be taken for the answer to the next grant.
func TestInvalidStatusHasUnknownOutcome(t *testing.T) {
	for _, code := range []string{"000", "099", "600"} {
		address, connections := serveRaw(t, "HTTP/1.1 "+code+" X\r\nT-Leaving: 1\r\nT-Handover: crafted\r\nContent-Length: 0\r\n\r\n")
		client, to := NewClient(testDialect{}), Endpoint{ID: "t1", Address: address}
		client.OnLeaving = func(Endpoint) { t.Errorf("status %s: the header fields were used", code) }
		for range 2 {
			if _, err := client.Grant(t.Context(), to, Grant{}, 0); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("grant answered with status %s: %v", code, err)
			}
		}
		if token, err := client.Release(t.Context(), to, Grant{}); !errors.Is(err, ErrOutcomeUnknown) || token != "" {
			t.Errorf("release answered with status %s: %q, %v", code, token, err)
		}
		if n := connections.Load(); n != 3 {
			t.Errorf("status %s: %d connections for three calls", code, n)
		}
	}
}

// Guards against an informational response that is taken for the answer to a grant, so that the real one answers the next grant.
func TestInformationalResponsesPrecedeAnswer(t *testing.T) {
	address, _ := serveRaw(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
	client, to := NewClient(testDialect{}), Endpoint{ID: "t1", Address: address}
	for range 2 {
		if _, err := client.Grant(t.Context(), to, Grant{}, 0); !errors.Is(err, ErrFenced) {
			t.Errorf("grant: %v", err)
		}
	}
}
