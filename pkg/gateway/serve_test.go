package gateway

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Guards against a request that doesn't reach a target, or an answer that doesn't come back complete.
func TestServesRequest(t *testing.T) {
	f := newFixture(t, defaultPool(2))
	f.apply()
	status, body, err := f.do(within(t, 2*time.Second), newRequest(http.MethodGet, "/status/k?x=1"), "")
	if err != nil || status != http.StatusOK || body == "" {
		t.Fatalf("status %d, body %q, error %v", status, body, err)
	}
	status, _, err = f.do(within(t, 2*time.Second), newRequest(http.MethodPost, "/photos"), string(make([]byte, 300000)))
	if err != nil || status != http.StatusOK {
		t.Fatalf("status %d, error %v", status, err)
	}
}

// Guards against more requests in execution at a target than its slots, under random load with cancelled and late
// requests. The count is the target's own.
func TestSlotsNeverExceeded(t *testing.T) {
	o := defaultPool(4)
	for i := range o.settings {
		o.settings[i].Shed = false
		o.settings[i].ServiceMillis = 4
		o.settings[i].Spread = 0.9
	}
	f := newFixture(t, o)
	f.apply()
	f.warm()
	random := rand.New(rand.NewPCG(1, 2))
	var wg sync.WaitGroup
	for range 600 {
		limit := time.Duration(1+random.IntN(40)) * time.Millisecond
		wg.Go(func() {
			_, _, _ = f.do(within(t, limit), newRequest(http.MethodGet, "/status/k"), "")
		})
		time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
	}
	wg.Wait()
	for _, b := range f.backends {
		s := b.Summary()
		if s.MaxExecuting > s.Slots {
			t.Errorf("%s executed %d requests at once with %d slots", b.id, s.MaxExecuting, s.Slots)
		}
		if s.Executed == 0 {
			t.Errorf("%s executed nothing", b.id)
		}
	}
}

// Guards against requests sent with the authority or epoch of a former holder.
func TestRefusesWithoutAuthority(t *testing.T) {
	f := newFixture(t, defaultPool(1))
	f.apply()
	f.authority.set(0)
	_, _, err := f.do(within(t, time.Second), newRequest(http.MethodGet, "/status/k"), "")
	wantRefusal(t, err, problem.CodeNoAuthority, problem.NotRun)
	f.authority.set(1 << 62)
	newer := newRequest(http.MethodGet, "/status/k")
	newer.GroupEpoch = topology.NewGroupEpoch(1, 2)
	_, _, err = f.do(within(t, time.Second), newer, "")
	wantRefusal(t, err, problem.CodeStaleOwnership, problem.NotRun)
	if n := f.backends[0].Summary().Executed; n != 0 {
		t.Errorf("the target executed %d requests", n)
	}
}

func wantRefusal(t *testing.T, err error, code problem.Code, outcome problem.Outcome) {
	t.Helper()
	var refusal *problem.Error
	if !errors.As(err, &refusal) {
		t.Fatalf("error %v is no refusal", err)
	}
	if refusal.Code != code || refusal.Outcome != outcome {
		t.Fatalf("refused with %v; want %s, %s", refusal, code, outcome)
	}
}

// Guards against a hand-over that interrupts a request, or that is reported as released while one is in flight.
func TestGiveUpWaitsForRequestsInFlight(t *testing.T) {
	o := defaultPool(1)
	o.settings[0].ServiceMillis = 150
	f := newFixture(t, o)
	f.apply()
	result := make(chan error, 1)
	go func() {
		_, _, err := f.do(within(t, 2*time.Second), newRequest(http.MethodGet, "/status/k"), "")
		result <- err
	}()
	eventually(t, "the request is at the target", func() bool { return f.backends[0].Summary().Executing == 1 })
	f.table.Groups[0].Gateway = ""
	f.apply()
	if state := f.holdState(); state != wire.HoldDraining {
		t.Errorf("state %q while a request is in flight", state)
	}
	if err := <-result; err != nil {
		t.Errorf("the request was interrupted: %v", err)
	}
	eventually(t, "the group is released", func() bool { return f.holdState() == wire.HoldReleased })
	_, _, err := f.do(within(t, time.Second), newRequest(http.MethodGet, "/status/k"), "")
	wantRefusal(t, err, problem.CodeStaleOwnership, problem.NotRun)
}

func (f *fixture) holdState() wire.HoldState {
	for _, held := range f.gateway.Report().Held {
		if held.Group == testGroup {
			return held.State
		}
	}
	return ""
}
