package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestCallerDisconnectClosesTargetConnection checks that a target doesn't go on working on a request whose caller has
// disconnected: its connection must be closed at once.
func TestCallerDisconnectClosesTargetConnection(t *testing.T) {
	started, ended := make(chan bool, 1), make(chan time.Time, 1)
	target := newScriptedTarget(t, func(_ int, _ *http.Request, c net.Conn) {
		started <- true
		_, _ = c.Read(make([]byte, 1))
		ended <- time.Now()
	})
	s := newTestServer(t, target)
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+"/read/a", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("T-Id", "1")
	go func() {
		<-started
		cancel()
	}()
	if _, err := http.DefaultClient.Do(r); !errors.Is(err, context.Canceled) {
		t.Fatalf("caller got error %v, want context.Canceled", err)
	}
	cancelledAt := time.Now()
	select {
	case at := <-ended:
		if at.Sub(cancelledAt) > 500*time.Millisecond {
			t.Errorf("connection was closed %v after the caller disconnected", at.Sub(cancelledAt))
		}
	case <-time.After(time.Second):
		t.Error("target's connection was not closed")
	}
	if n := target.count(); n != 1 {
		t.Errorf("request was sent %d times, want 1", n)
	}
}

// TestTargetsGetRemainingTimeout checks that no target gets a longer timeout than the caller has left, including after a late
// retry.
func TestTargetsGetRemainingTimeout(t *testing.T) {
	const timeout = 1000
	disconnect := func(_ int, _ *http.Request, c net.Conn) {
		time.Sleep(300 * time.Millisecond)
		_ = c.Close()
	}
	one, two := newScriptedTarget(t, disconnect), newScriptedTarget(t, disconnect)
	s := newTestServer(t, one, two)
	s.send(t, "GET", "/read/a", "", "T-Wait", strconv.Itoa(timeout))
	var timeouts []int
	for _, target := range []*scriptedTarget{one, two} {
		for _, r := range target.requests() {
			left, err := strconv.Atoi(r.Header.Get("T-Left"))
			if err != nil {
				t.Errorf("target got timeout %q", r.Header.Get("T-Left"))
			}
			timeouts = append(timeouts, left)
		}
	}
	if len(timeouts) != 2 || max(timeouts[0], timeouts[1]) > timeout || min(timeouts[0], timeouts[1]) > timeout-300 {
		t.Errorf("targets got timeouts %v of %d ms, the second one 300 ms later", timeouts, timeout)
	}
}
