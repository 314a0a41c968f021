package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// load keeps n requests offered until the context ends.
func (f *fixture) load(ctx context.Context, wg *sync.WaitGroup, n int, limit time.Duration) {
	for range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				_, _, _ = f.do(within(f.tb, limit), newRequest(http.MethodGet, "/status/k"), "")
			}
		})
	}
}

// Guards against more load than a cold target bears, at the first start and after a target has turned cold without
// warning, and against a target that stays limited after it has warmed up.
func TestColdTargetGetsOneRequestAtATime(t *testing.T) {
	o := defaultPool(3)
	for i := range o.settings {
		o.settings[i].Slots = 4
		o.settings[i].Cold = true
		o.settings[i].WarmAfter = 10
		o.settings[i].Shed = false
	}
	o.pool.Slots = 4
	f := newFixture(t, o)
	f.apply()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	f.load(ctx, &wg, 16, time.Second)
	eventually(t, "all targets are warm", func() bool {
		for _, r := range f.gateway.Report().Targets {
			if r.Limit != 4 {
				return false
			}
		}
		return true
	})
	cancel()
	wg.Wait()
	for _, b := range f.backends {
		if s := b.Summary(); s.MaxExecutingCold > 1 {
			t.Errorf("%s executed %d requests at once while cold", b.id, s.MaxExecutingCold)
		}
	}
}

// Guards against a target that turns cold without warning and keeps its full load.
func TestUnexplainedSlownessMarksTheTargetCold(t *testing.T) {
	o := defaultPool(3)
	f := newFixture(t, o)
	f.apply()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	f.load(ctx, &wg, 8, time.Second)
	limit := func(target string) int {
		for _, r := range f.gateway.Report().Targets {
			if r.Target == target {
				return r.Limit
			}
		}
		return 0
	}
	eventually(t, "t0 is warm", func() bool { return limit("t0") == 2 })
	s := f.backends[0].Settings()
	s.Cold = true
	s.ColdFactor = 20
	s.WarmAfter = 3
	f.backends[0].Change(s)
	eventually(t, "t0 is limited", func() bool { return limit("t0") == 1 })
	eventually(t, "t0 is warm again", func() bool { return limit("t0") == 2 })
	cancel()
	wg.Wait()
}

// Guards against a target that announces its leave or sheds load and still gets new work while others are free.
func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	o := defaultPool(2)
	o.settings[0].Draining = true
	f := newFixture(t, o)
	f.apply()
	eventually(t, "the leave is noticed", func() bool {
		for _, r := range f.gateway.Report().Targets {
			if r.Target == "t0" && r.State == wire.TargetDraining {
				return true
			}
		}
		return false
	})
	before := f.backends[0].Summary().Executed
	for range 20 {
		if _, _, err := f.do(within(t, time.Second), newRequest(http.MethodGet, "/status/k"), ""); err != nil {
			t.Error(err)
		}
	}
	if n := f.backends[0].Summary().Executed - before; n != 0 {
		t.Errorf("the leaving target got %d requests", n)
	}
}

// Guards against requests that wait although their deadline can't be met, and against a refusal without a time to come
// back.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	o := defaultPool(1)
	o.settings[0].ServiceMillis = 100
	f := newFixture(t, o)
	f.apply()
	for range 3 {
		if _, _, err := f.do(within(t, time.Second), newRequest(http.MethodGet, "/status/k"), ""); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	f.load(ctx, &wg, 4, 5*time.Second)
	eventually(t, "requests wait", func() bool { return f.queued() >= 3 })
	started := time.Now()
	_, _, err := f.do(within(t, 150*time.Millisecond), newRequest(http.MethodGet, "/status/k"), "")
	wantRefusal(t, err, problem.CodeOverload, problem.NotRun)
	if took := time.Since(started); took > 100*time.Millisecond {
		t.Errorf("refused after %v", took)
	}
	if refusal := err.(*problem.Error); refusal.RetryAfter < minRetryAfter {
		t.Errorf("Retry-After is %v", refusal.RetryAfter)
	}
	cancel()
	wg.Wait()
}

func (f *fixture) queued() int {
	g := f.group()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queued
}

// Guards against a queue that keeps a light request in front of a heavy one, or grows beyond its limit.
func TestQueueKeepsHeavyRequests(t *testing.T) {
	o := defaultPool(1)
	o.pool.QueueLimit = 2
	o.settings[0].ServiceMillis = 200
	f := newFixture(t, o)
	f.apply()
	results := make(chan error, 3)
	send := func(weight int) {
		r := newRequest(http.MethodGet, "/status/k")
		r.Weight = weight
		_, _, err := f.do(within(t, 3*time.Second), r, "")
		results <- err
	}
	go send(1)
	eventually(t, "the target is busy", func() bool { return f.backends[0].Summary().Executing == 1 })
	go send(1)
	eventually(t, "one waits", func() bool { return f.queued() == 1 })
	go send(2)
	eventually(t, "two wait", func() bool { return f.queued() == 2 })
	r := newRequest(http.MethodGet, "/status/k")
	r.Weight = 5
	_, _, err := f.do(within(t, 3*time.Second), r, "")
	if err != nil {
		t.Errorf("the heaviest request was refused: %v", err)
	}
	refused := 0
	for range 3 {
		if err := <-results; err != nil {
			wantRefusal(t, err, problem.CodeOverload, problem.NotRun)
			refused++
		}
	}
	if refused != 1 {
		t.Errorf("%d requests were refused", refused)
	}
}

// Guards against a target that gets no request any more because earlier ones took longer than the deadlines of later ones.
func TestFreeSlotIsUsedAfterTimeOuts(t *testing.T) {
	o := defaultPool(1)
	f := newFixture(t, o)
	f.apply()
	s := f.backends[0].Settings()
	s.ServiceMillis = 500
	s.IgnoreDeadline = true
	f.backends[0].Change(s)
	for range 5 {
		_, _, err := f.do(within(t, 60*time.Millisecond), newRequest(http.MethodGet, "/status/k"), "")
		if outcomeOf(err) != problem.Unknown {
			t.Errorf("answered with %v", err)
		}
		f.idle()
	}
	s.ServiceMillis = 2
	f.backends[0].Change(s)
	if _, _, err := f.do(within(t, 60*time.Millisecond), newRequest(http.MethodGet, "/status/k"), ""); err != nil {
		t.Errorf("the target is fast again: %v", err)
	}
}

// Guards against a request that is held until its deadline while no target takes work.
func TestWaitEndsLongBeforeTheDeadline(t *testing.T) {
	o := defaultPool(1)
	o.epoch = topology.NewGroupEpoch(2, 1)
	o.pool.MaxDeadline = 700
	f := newFixture(t, o)
	f.apply()
	g := f.group()
	for _, limit := range []time.Duration{500 * time.Millisecond, 700 * time.Millisecond} {
		// The takeover wait ends shortly before the request's deadline.
		g.mu.Lock()
		g.notBefore = g.clock.Now().Add(limit - 20*time.Millisecond)
		g.mu.Unlock()
		started := time.Now()
		request := newRequest(http.MethodGet, "/status/k")
		// Requests that another group may serve are refused before they queue.
		request.Idempotent = false
		_, _, err := f.do(within(t, limit), request, "")
		wantRefusal(t, err, problem.CodeOverload, problem.NotRun)
		if took := time.Since(started); took > limit/2+2*tick {
			t.Errorf("refused after %v of %v", took, limit)
		}
	}
}
