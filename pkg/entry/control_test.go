package entry

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// logText keeps what is logged.
type logText struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// panickingDecoder fails unexpectedly on the row named bad.
type panickingDecoder struct{}

func (panickingDecoder) Configuration(map[string]rowstore.Row) (*inventory.Configuration, error) {
	panic("planted")
}

func (panickingDecoder) DomainsOut(map[string]rowstore.Row) map[string]bool { return nil }

func (panickingDecoder) Target(r rowstore.Row) (*inventory.Target, error) {
	if r.Key == "bad" {
		panic("planted")
	}
	return &inventory.Target{ID: r.Key}, nil
}

// lonelyControl returns the control state of a VM that isn't connected to anything.
func lonelyControl(t *testing.T, store rowstore.Store, out *logText) *Control {
	t.Helper()
	settings := Settings{VM: "vm", IP: "127.0.0.1", Domain: "d", Region: "r", RegionOf: map[string]string{"d": "r"}, FirstPort: 1}
	return NewControl(ControlOptions{
		Settings: settings, Store: store, Decoder: panickingDecoder{}, Tables: Tables{Operator: "op", Targets: "servers"},
		Grants: keygrant.NewClient(nil), Clock: clock.Boottime{}, Log: event.NewLogger(out, log.InfoLevel),
		Balancer: placing.NewBalancer("d", "r", settings.RegionOf), Budget: placing.NewBrokerBudget(0.2, 10, 10*time.Second), Incarnation: "1",
		OnView: func(*inventory.Snapshot) {},
	})
}

// Guards against one row that takes the process down or hides all others.
func TestOneBadRowHidesNoOther(t *testing.T) {
	var out logText
	c := lonelyControl(t, nil, &out)
	page := rowstore.Page{Version: 5}
	for i, key := range []string{"a", "bad", "z"} {
		page.Rows = append(page.Rows, rowstore.Row{Table: "servers", Key: key, Version: uint64(i + 1)})
	}
	c.mirror.Replace("servers", page, false, c.clock.Now())
	c.rebuild()
	if len(c.snapshot.Targets) != 2 {
		t.Errorf("the targets are %v", c.snapshot.Targets)
	}
	if !strings.Contains(out.String(), "event=846") {
		t.Error("the log doesn't tell of the unexpected error")
	}
}

// Guards against an unexpected error of the control goroutine that ends the process or leaves a coordinator with half a state.
func TestControlGoesOnAfterAnUnexpectedError(t *testing.T) {
	var out logText
	c := lonelyControl(t, unavailableStore{}, &out)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		c.Run(t.Context(), l)
		close(stopped)
	}()
	for c.Current() == nil || !runsAfter(c, func() { panic("planted") }) {
		t.Fatal("the control goroutine doesn't go on")
	}
	if !strings.Contains(out.String(), "place=control") {
		t.Error("the log doesn't tell of the unexpected error")
	}
	bar := make(chan bool, 1)
	c.events <- func() { bar <- !c.candidate(c.clock.Now()) }
	if !<-bar {
		t.Error("the VM stays a candidate for the role")
	}
}

// runsAfter tells whether the control goroutine still works after f.
func runsAfter(c *Control, f func()) bool {
	done := make(chan struct{})
	c.events <- f
	c.events <- func() { close(done) }
	select {
	case <-done:
		return true
	case <-time.After(2 * time.Second):
		return false
	}
}

// unavailableStore answers no call.
type unavailableStore struct{}

func (unavailableStore) List(context.Context, string) (rowstore.Page, error) {
	return rowstore.Page{}, rowstore.ErrRefused
}

func (unavailableStore) Changes(context.Context, string, uint64) (rowstore.Changes, error) {
	return rowstore.Changes{}, rowstore.ErrRefused
}

func (unavailableStore) Commit(context.Context, rowstore.Transaction) (uint64, error) {
	return 0, rowstore.ErrRefused
}
