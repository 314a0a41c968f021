package keygrant

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

type testDialect struct{}

func (testDialect) GrantRequest(Grant) (string, []byte, error) { return "/grant", []byte("{}"), nil }
func (testDialect) ReleaseRequest(Grant) (string, []byte, error) {
	return "/release", []byte("{}"), nil
}
func (testDialect) StampTarget(h http.Header, target string) { h.Set("T-Target", target) }
func (testDialect) HandoverOf(h http.Header) string          { return h.Get("T-Handover") }
func (testDialect) Leaving(_ int, h http.Header) bool        { return h.Get("T-Leaving") != "" }

// Guards against outcomes of calls that are told wrongly: only an answer proves one.
func TestOutcomes(t *testing.T) {
	status := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("T-Target") != "t1" {
			t.Errorf("the call is for %q", r.Header.Get("T-Target"))
		}
		w.Header().Set("T-Handover", "token")
		w.WriteHeader(<-status)
	}))
	defer server.Close()
	client, peer := NewClient(testDialect{}), Peer{ID: "t1", Address: server.Listener.Addr().String()}
	for code, want := range map[int]error{
		http.StatusOK: nil, http.StatusConflict: ErrFenced, http.StatusMisdirectedRequest: ErrElsewhere, http.StatusInternalServerError: ErrUnknown,
	} {
		status <- code
		if _, err := client.Grant(t.Context(), peer, Grant{}, 0); !errors.Is(err, want) {
			t.Errorf("status %d: %v", code, err)
		}
	}
	status <- http.StatusOK
	if token, err := client.Release(t.Context(), peer, Grant{}); token != "token" || err != nil {
		t.Errorf("release: %q, %v", token, err)
	}
	server.Close()
	if _, err := client.Grant(t.Context(), peer, Grant{}, 0); !errors.Is(err, ErrUnsent) && !errors.Is(err, ErrUnknown) {
		t.Errorf("a target that is gone: %v", err)
	}
}

// Guards against the word that a target leaves which is overheard in the answer to a grant or a release, whatever its outcome.
func TestAnswersTellThatATargetLeaves(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("T-Leaving", "1")
		w.WriteHeader(http.StatusConflict)
	}))
	defer server.Close()
	client, peer := NewClient(testDialect{}), Peer{ID: "t1", Address: server.Listener.Addr().String()}
	var heard []Peer
	client.OnLeaving = func(p Peer) { heard = append(heard, p) }
	_, granted := client.Grant(t.Context(), peer, Grant{}, 0)
	_, released := client.Release(t.Context(), peer, Grant{})
	if len(heard) != 2 || heard[0] != peer || heard[1] != peer {
		t.Errorf("heard %v, after %v and %v", heard, granted, released)
	}
}

// Guards against a grant that is delivered seconds after it was given up: it went to the former owner of keys when a partition
// between failure domains healed. A reset drops what the kernel still holds.
func TestGivenUpCallsAreReset(t *testing.T) {
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
	if _, err := NewClient(testDialect{}).Grant(ctx, Peer{ID: "t1", Address: l.Addr().String()}, Grant{}, 0); !errors.Is(err, ErrUnknown) {
		t.Errorf("grant: %v", err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection ends with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection doesn't end")
	}
}

// restartable is a target that can start again at its address.
type restartable struct {
	address string
	server  *http.Server
	served  atomic.Int64
}

func (r *restartable) start(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { r.served.Add(1) })}
	go func() { _ = r.server.Serve(l) }()
}

// Guards against a grant that reaches the next life of a target over a new connection, though its fence belongs to the former.
func TestGrantsStayOnTheirConnection(t *testing.T) {
	target := &restartable{address: "127.0.0.1:0"}
	target.start(t)
	client, peer := NewClient(testDialect{}), Peer{ID: "t1", Address: target.address}
	first, err := client.Grant(t.Context(), peer, Grant{}, 0)
	if err != nil || first == 0 {
		t.Fatalf("connection %d, %v", first, err)
	}
	if again, err := client.Grant(t.Context(), peer, Grant{}, first); err != nil || again != first {
		t.Fatalf("connection %d, %v", again, err)
	}
	if err := target.server.Close(); err != nil {
		t.Fatal(err)
	}
	target.start(t)
	before := target.served.Load()
	if _, err := client.Grant(t.Context(), peer, Grant{}, first); !errors.Is(err, ErrDisconnected) && !errors.Is(err, ErrUnknown) {
		t.Errorf("a grant of the former life: %v", err)
	}
	if _, err := client.Grant(t.Context(), peer, Grant{}, first); !errors.Is(err, ErrDisconnected) {
		t.Errorf("a second grant of the former life: %v", err)
	}
	if n := target.served.Load() - before; n != 0 {
		t.Errorf("the next life got %d grants of the former", n)
	}
	second, err := client.Grant(t.Context(), peer, Grant{}, 0)
	if err != nil || second == first {
		t.Errorf("the connection to the next life has number %d, %v", second, err)
	}
	if _, err := client.Grant(t.Context(), peer, Grant{}, first); !errors.Is(err, ErrDisconnected) {
		t.Errorf("a grant of the former life after the next one's: %v", err)
	}
}

// Guards against connections that stay open to all targets after the coordinator's role has moved to another VM.
func TestIdleConnectionsEnd(t *testing.T) {
	target := &restartable{address: "127.0.0.1:0"}
	target.start(t)
	client, peer := NewClient(testDialect{}), Peer{ID: "t1", Address: target.address}
	first, err := client.Grant(t.Context(), peer, Grant{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	client.sessions.of(peer).expire()
	if _, err := client.Grant(t.Context(), peer, Grant{}, first); !errors.Is(err, ErrDisconnected) {
		t.Errorf("a grant on a connection that was idle: %v", err)
	}
	client.sessions.mu.Lock()
	defer client.sessions.mu.Unlock()
	if n := len(client.sessions.byPeer); n > 1 {
		t.Errorf("%d sessions", n)
	}
}

// Guards against answers to grants and releases that don't end: a target in trouble may send bytes until the caller closes.
func TestEndlessAnswersAreCutOff(t *testing.T) {
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
	client, peer := NewClient(testDialect{}), Peer{ID: "t1", Address: l.Addr().String()}
	begun := time.Now()
	if _, err := client.Grant(t.Context(), peer, Grant{}, 0); !errors.Is(err, ErrUnknown) {
		t.Errorf("grant: %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	if _, err := client.Release(ctx, peer, Grant{}); !errors.Is(err, ErrUnknown) {
		t.Errorf("release: %v", err)
	}
	if took := time.Since(begun); took > callTimeout {
		t.Errorf("two calls took %v", took)
	}
	// Sockets of both sides hold a few MB beside what is read.
	if n := sent.Load(); n > 16<<20 {
		t.Errorf("%d bytes were taken in", n)
	}
}
