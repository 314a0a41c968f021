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

// Guards against a target that works on a request whose caller has left: its connection must end at once.
func TestTargetsOfCallersThatLeftStop(t *testing.T) {
	began, ended := make(chan bool, 1), make(chan time.Time, 1)
	target := newScriptedTarget(t, func(_ int, _ *http.Request, c net.Conn) {
		began <- true
		_, _ = c.Read(make([]byte, 1))
		ended <- time.Now()
	})
	f := newFront(t, target)
	ctx, leave := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.URL+"/read/a", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("T-Id", "1")
	go func() {
		<-began
		leave()
	}()
	if _, err := http.DefaultClient.Do(r); !errors.Is(err, context.Canceled) {
		t.Fatalf("the caller gets %v", err)
	}
	left := time.Now()
	select {
	case at := <-ended:
		if at.Sub(left) > 500*time.Millisecond {
			t.Errorf("the target works on for %v", at.Sub(left))
		}
	case <-time.After(time.Second):
		t.Error("the target's connection stays open")
	}
	if n := target.count(); n != 1 {
		t.Errorf("the request is sent %d times", n)
	}
}

// Guards against a target that is handed more time than its caller waits, also when the request is sent a second time late.
func TestTargetsGetTheTimeThatIsLeft(t *testing.T) {
	const wait = 1000
	answer := func(_ int, _ *http.Request, c net.Conn) {
		time.Sleep(300 * time.Millisecond)
		_ = c.Close()
	}
	one, two := newScriptedTarget(t, answer), newScriptedTarget(t, answer)
	f := newFront(t, one, two)
	f.send(t, "GET", "/read/a", "", "T-Wait", strconv.Itoa(wait))
	var handed []int
	for _, target := range []*scriptedTarget{one, two} {
		for _, r := range target.requests() {
			left, err := strconv.Atoi(r.Header.Get("T-Left"))
			if err != nil {
				t.Errorf("a target is handed %q", r.Header.Get("T-Left"))
			}
			handed = append(handed, left)
		}
	}
	if len(handed) != 2 || max(handed[0], handed[1]) > wait || min(handed[0], handed[1]) > wait-300 {
		t.Errorf("the targets are handed %v of %d ms, the second one after 300 ms", handed, wait)
	}
}
