package vmlist

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/internal/standin/platform"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
)

func startPlatform(t *testing.T) (*platform.Platform, *platform.Front, string) {
	t.Helper()
	p := platform.New(platform.Settings{})
	front := p.NewFront()
	server := httptest.NewServer(front)
	t.Cleanup(server.Close)
	return p, front, server.URL + "/vms"
}

// Guards against a list that is dropped or appears current while polls fail, and against reporting a VM that isn't in the
// list as anything but Unlisted.
func TestStalenessIsVisible(t *testing.T) {
	p, front, url := startPlatform(t)
	now := clock.NewVirtual(0)
	c := New(Options{URL: url, Clock: now})
	if c.Current() != nil {
		t.Error("Current returned a list before the first poll")
	}
	p.SetVMs([]platform.VM{{VM: "a", Cell: "x", Address: "10.0.0.1", State: platform.VMLive}, {VM: "b", Cell: "y", State: platform.VMLeaving}})
	if err := c.Poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	front.SetFaults(platform.Faults{Down: true})
	now.Advance(10 * time.Second)
	if err := c.Poll(context.Background()); err == nil {
		t.Error("poll succeeded while the platform is down")
	}
	list := c.Current()
	if list.Age(now.Now()) != 10*time.Second {
		t.Errorf("age %v, want 10 s", list.Age(now.Now()))
	}
	if list.State("a") != Live || list.State("b") != Leaving || list.State("c") != Unlisted {
		t.Errorf("list %+v", list)
	}
	if got := list.Cell("x"); len(got) != 1 || got[0].Address != "10.0.0.1" {
		t.Errorf("cell x: %+v", got)
	}
	front.SetFaults(platform.Faults{})
	if err := c.Poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	if age := c.Current().Age(now.Now()); age != 0 {
		t.Errorf("age %v after a successful poll", age)
	}
}

// Guards against an invalid or failed response that replaces a valid list.
func TestInvalidListsAreRejected(t *testing.T) {
	response := `[{"vm":"a","state":"live"}]`
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(response))
	}))
	defer server.Close()
	c := New(Options{URL: server.URL})
	if err := c.Poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, invalid := range []string{`[{"vm":"a"},{"vm":"a"}]`, `[{"vm":""}]`, `[{"vm":"a"`, `null`, `{"vm":"a"}`} {
		response = invalid
		if err := c.Poll(context.Background()); err == nil {
			t.Errorf("%s was accepted", invalid)
		}
	}
	response, status = `[]`, http.StatusInternalServerError
	if err := c.Poll(context.Background()); err == nil {
		t.Error("an error status was accepted")
	}
	if c.Current().State("a") != Live {
		t.Errorf("the valid list was replaced: %+v", c.Current())
	}
}

// Guards against full transfers of an unchanged list, which take 1.3 MB each with 12,000 VMs, and against a list whose age
// grows although polls confirm that it is unchanged.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	var fullTransfers atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"1"`)
		if r.Header.Get("If-None-Match") == `"1"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fullTransfers.Add(1)
		_, _ = w.Write([]byte(`[{"vm":"a","state":"live"}]`))
	}))
	defer server.Close()
	now := clock.NewVirtual(0)
	c := New(Options{URL: server.URL, Clock: now})
	for range 3 {
		now.Advance(time.Second)
		if err := c.Poll(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if fullTransfers.Load() != 1 || c.Current().Age(now.Now()) != 0 || c.Current().State("a") != Live {
		t.Errorf("%d full transfers, list %+v", fullTransfers.Load(), c.Current())
	}
}

// Guards against a stale list that isn't logged, and against logging on every poll.
func TestStalenessIsReportedOnce(t *testing.T) {
	p, front, url := startPlatform(t)
	var out bytes.Buffer
	scope := tally.NewTestScope("", nil)
	now := clock.NewVirtual(0)
	c := New(Options{URL: url, Clock: now, Log: event.NewLogger(&out, log.DebugLevel), Scope: scope})
	poll := func(times int) {
		for range times {
			c.reportStaleness(c.Poll(context.Background()))
			now.Advance(DefaultInterval)
		}
	}
	p.SetVMs([]platform.VM{{VM: "a", State: platform.VMLive}})
	poll(3)
	front.SetFaults(platform.Faults{Down: true})
	poll(20)
	if g := scope.Snapshot().Gauges()["vm_list_age_seconds+"]; g == nil || g.Value() != 10 {
		t.Errorf("gauge %+v, want 10 s", g)
	}
	front.SetFaults(platform.Faults{})
	poll(3)
	for _, d := range []event.Definition{event.VMListChanged, event.VMListUnavailable, event.VMListAvailable} {
		if n := strings.Count(out.String(), d.Text); n != 1 {
			t.Errorf("%q was logged %d times: %s", d.Text, n, out.String())
		}
	}
}

// Guards against a Run that stops after a failed poll or doesn't signal a changed list.
func TestRunContinuesAfterFailures(t *testing.T) {
	p, front, url := startPlatform(t)
	front.SetFaults(platform.Faults{Down: true})
	c := New(Options{URL: url, Interval: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(done)
	}()
	p.SetVMs([]platform.VM{{VM: "a", State: platform.VMLive}})
	front.SetFaults(platform.Faults{})
	waitUntil(t, "the list is known", func() bool { l := c.Current(); return l != nil && l.State("a") == Live })
	<-c.Changed()
	cancel()
	<-done
}

func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for condition: %s", condition)
		}
		time.Sleep(time.Millisecond)
	}
}
