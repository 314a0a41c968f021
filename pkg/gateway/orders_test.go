package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

func newOrder(key string, fingerprint uint64) *wire.Request {
	r := newRequest(http.MethodPost, "/orders")
	r.Tenant = "tenant"
	r.IdempotencyKey = key
	r.Fingerprint = fingerprint
	return r
}

// runs counts the executions of an order at all targets.
func (f *fixture) runs(key string) int {
	n := 0
	for _, b := range f.backends {
		for _, e := range b.executions() {
			if e.OrderKey == key {
				n++
			}
		}
	}
	return n
}

// Guards against a second execution of an order whose caller sends it again, at the same time and later, with deadlines
// that end before, during and after the execution.
func TestOrdersRunAtMostOnceUnderResends(t *testing.T) {
	f := newFixture(t, defaultPool(4))
	f.apply()
	f.warm()
	random := rand.New(rand.NewPCG(3, 4))
	const orders = 60
	var wg sync.WaitGroup
	for i := range orders {
		key := fmt.Sprintf("order-%d", i)
		for range 4 {
			limit := time.Duration(1+random.IntN(25)) * time.Millisecond
			delay := time.Duration(random.IntN(20)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(delay)
				_, _, _ = f.do(within(t, limit), newOrder(key, 1), "body")
			})
		}
	}
	wg.Wait()
	executed := 0
	for i := range orders {
		n := f.runs(fmt.Sprintf("order-%d", i))
		if n > 1 {
			t.Errorf("order %d ran %d times", i, n)
		}
		executed += n
	}
	if executed == 0 {
		t.Error("no order ran")
	}
}

// Guards against "not run" for an order that a target has executed.
func TestNotRunIsNeverFalse(t *testing.T) {
	o := defaultPool(3)
	o.pool.QueueLimit = 4
	f := newFixture(t, o)
	f.apply()
	random := rand.New(rand.NewPCG(5, 6))
	var mu sync.Mutex
	notRun := map[string]bool{}
	var wg sync.WaitGroup
	for i := range 400 {
		key := fmt.Sprintf("order-%d", i)
		limit := time.Duration(random.IntN(12000)) * time.Microsecond
		wg.Go(func() {
			_, _, err := f.do(within(t, limit), newOrder(key, 1), "body")
			if outcomeOf(err) == problem.NotRun {
				mu.Lock()
				notRun[key] = true
				mu.Unlock()
			}
		})
		time.Sleep(time.Duration(random.IntN(400)) * time.Microsecond)
	}
	wg.Wait()
	f.idle()
	for key := range notRun {
		if n := f.runs(key); n > 0 {
			t.Errorf("%s was answered \"not run\" and ran %d times", key, n)
		}
	}
	if len(notRun) == 0 {
		t.Error("no order was refused; the test shows nothing")
	}
}

// idle waits until no slot is in use.
func (f *fixture) idle() {
	f.tb.Helper()
	g := f.group()
	eventually(f.tb, "no request is in flight", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.inFlight() == 0
	})
}

// Guards against a repeat that runs an order again after its target has crashed, and against an outcome other than
// "unknown".
func TestOrderOfACrashedTargetIsUnknown(t *testing.T) {
	f := newFixture(t, defaultPool(3))
	f.apply()
	poison := newOrder("order", 9)
	_, _, err := f.do(within(t, time.Second), poison, "crash-target")
	wantRefusal(t, err, problem.CodeTargetFailed, problem.Unknown)
	for range 3 {
		_, _, err = f.do(within(t, time.Second), newOrder("order", 9), "crash-target")
		if outcomeOf(err) != problem.Unknown {
			t.Errorf("the repeat was answered with %v", err)
		}
	}
	if n := f.crashed(); n != 1 {
		t.Errorf("%d targets crashed", n)
	}
}

func (f *fixture) crashed() int {
	n := 0
	for _, b := range f.backends {
		if b.crashes.Load() > 0 {
			n++
		}
	}
	return n
}

// Guards against a request that takes down more than two targets, against innocent requests that stay suspects, and
// against an answer before the other routers know the suspects.
func TestPoisonCostsAtMostTwoTargets(t *testing.T) {
	o := defaultPool(5)
	f := newFixture(t, o)
	f.apply()
	f.warm()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				r := newRequest(http.MethodGet, "/status/innocent")
				r.Fingerprint = uint64(100 + i)
				_, _, _ = f.do(within(t, 300*time.Millisecond), r, "")
			}
		})
	}
	var refusal error
	for range 10 {
		r := newRequest(http.MethodGet, "/status/crash-target")
		r.Fingerprint = 9
		_, _, refusal = f.do(within(t, time.Second), r, "")
		if outcomeOf(refusal) == problem.Unknown && f.cell.told(9) == 0 {
			t.Error("the caller was answered before the other routers knew the suspect")
		}
	}
	wantRefusal(t, refusal, problem.CodeQuarantined, problem.NotRun)
	if n := f.crashed(); n != 2 {
		t.Errorf("%d targets crashed", n)
	}
	eventually(t, "the innocent requests are cleared", func() bool {
		for i := range 4 {
			if f.gateway.suspects.Verdict(uint64(100+i)) != quarantine.Clear {
				return false
			}
		}
		return true
	})
	cancel()
	wg.Wait()
}

// told returns how often the cell was told about a crash of a fingerprint.
func (c *fakeCell) told(fingerprint uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.suspects {
		for _, s := range m.Suspects {
			if s.Fingerprint == fingerprint && s.Crashes > 0 {
				n++
			}
		}
	}
	return n
}

// Guards against a group that is released while an order is between its claim and the end of its execution: the next holder would get
// the claim and answer that the order may have run, although it was refused.
func TestGroupIsNotReleasedDuringClaim(t *testing.T) {
	f := newFixture(t, defaultPool(1))
	f.apply()
	f.warm()
	g := (*f.gateway.groups.Load())[testGroup]
	if !g.beginClaim() {
		t.Fatal("an active group refuses an order")
	}
	g.giveUp()
	if g.isReleased() {
		t.Error("the group is released during a claim")
	}
	if _, _, err := f.do(within(t, time.Second), newOrder("order", 1), "body"); outcomeOf(err) != problem.NotRun || f.runs("order") > 0 {
		t.Errorf("an order to a group that is being given up gets %v and ran %d times", err, f.runs("order"))
	}
	g.endClaim()
	eventually(t, "the group is released", g.isReleased)
}
