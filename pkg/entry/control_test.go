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

// logCapture stores log output.
type logCapture struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logCapture) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logCapture) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// panickingDecoder panics on the configuration and on the row with the key "bad".
type panickingDecoder struct{}

func (panickingDecoder) Configuration(map[string]rowstore.Row) (*inventory.Configuration, error) {
	panic("test panic")
}

func (panickingDecoder) DomainsOut(map[string]rowstore.Row) map[string]bool { return nil }

func (panickingDecoder) Target(r rowstore.Row) (*inventory.Target, error) {
	if r.Key == "bad" {
		panic("test panic")
	}
	return &inventory.Target{ID: r.Key}, nil
}

// isolatedControl returns the control state of a VM without connections to other VMs.
func isolatedControl(t *testing.T, store rowstore.Store, out *logCapture) *Control {
	t.Helper()
	settings := Settings{VM: "vm", IP: "127.0.0.1", Domain: "d", Region: "r", RegionOf: map[string]string{"d": "r"}, FirstPort: 1}
	return NewControl(ControlOptions{
		Settings: settings, Store: store, Decoder: panickingDecoder{}, Tables: Tables{Operator: "op", Targets: "servers"},
		Grants: keygrant.NewClient(nil), Clock: clock.Boottime{}, Log: event.NewLogger(out, log.InfoLevel),
		Balancer: placing.NewBalancer("d", "r", settings.RegionOf), BrokerBudget: placing.NewBrokerBudget(0.2, 10, 10*time.Second), Incarnation: "1",
		OnSnapshot: func(*inventory.Snapshot) {},
	})
}

// A panic while one row is decoded must neither end the process nor hide the other rows.
func TestDecoderPanicSkipsOnlyOneRow(t *testing.T) {
	var out logCapture
	c := isolatedControl(t, nil, &out)
	page := rowstore.TableSnapshot{Version: 5}
	for i, key := range []string{"a", "bad", "z"} {
		page.Rows = append(page.Rows, rowstore.Row{Table: "servers", Key: key, Version: uint64(i + 1)})
	}
	c.mirror.Replace("servers", page, false, c.clock.Now())
	c.rebuildSnapshot()
	if len(c.snapshot.Targets) != 2 {
		t.Errorf("targets are %v, want 2", c.snapshot.Targets)
	}
	if !strings.Contains(out.String(), "event=846") {
		t.Error("the log doesn't contain the event for a recovered panic")
	}
}

// A panic in the control goroutine must neither end the process nor leave this VM a coordinator with incomplete state.
func TestControlSurvivesPanic(t *testing.T) {
	var out logCapture
	c := isolatedControl(t, unavailableStore{}, &out)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		c.Run(t.Context(), l)
		close(stopped)
	}()
	for c.Current() == nil || !runsEventsAfter(c, func() { panic("test panic") }) {
		t.Fatal("the control goroutine stopped after a panic")
	}
	if !strings.Contains(out.String(), "place=control") {
		t.Error("the log doesn't contain the panic of the control goroutine")
	}
	paused := make(chan bool, 1)
	c.events <- func() { paused <- !c.isCandidate(c.clock.Now()) }
	if !<-paused {
		t.Error("the VM is still a candidate after a panic")
	}
}

// runsEventsAfter reports whether the control goroutine still runs events after f.
func runsEventsAfter(c *Control, f func()) bool {
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

// unavailableStore refuses all calls.
type unavailableStore struct{}

func (unavailableStore) List(context.Context, string) (rowstore.TableSnapshot, error) {
	return rowstore.TableSnapshot{}, rowstore.ErrRefused
}

func (unavailableStore) Changes(context.Context, string, uint64) (rowstore.Changes, error) {
	return rowstore.Changes{}, rowstore.ErrRefused
}

func (unavailableStore) Commit(context.Context, rowstore.Transaction) (uint64, error) {
	return 0, rowstore.ErrRefused
}
