package gateway

import (
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// keyedOptions describes a keyed pool with n targets.
func keyedOptions(n int, checked bool) fixtureOptions {
	o := defaultPool(n)
	o.pool.Keyed = true
	o.pool.GrantsChecked = checked
	for i := range o.settings {
		o.settings[i].Fenced = checked
	}
	return o
}

const halfRange = uint64(math.MaxUint64 / 2)

// splitInTwo gives the lower half of the hash space to t0 and the upper half to t1.
func (f *fixture) splitInTwo() {
	f.table.Slices = []topology.Slice{
		{Pool: testPool, Low: 0, High: halfRange, Owner: "t0", Epoch: 1, Successors: []string{"t1"}},
		{Pool: testPool, Low: halfRange + 1, High: math.MaxUint64, Owner: "t1", Epoch: 1, Successors: []string{"t0"}},
	}
}

func keyedRequest(hash uint64, epoch topology.Epoch) *wire.Request {
	r := newRequest(http.MethodGet, "/status/k")
	r.Keyed = true
	r.KeyHash = hash
	r.SliceEpoch = epoch
	return r
}

// sliceState returns the reported state of the slice that starts at low.
func (f *fixture) sliceState(low uint64) (wire.SliceState, string) {
	for _, s := range f.gateway.Report().Slices {
		if s.Low == low {
			return s.State, s.Owner
		}
	}
	return "", ""
}

// Guards against work at a target whose slots may still be used by requests of a holder that was lost, and against
// callers that wait for the end of that time instead of being told when to come back.
func TestUnplannedTakeoverWaitsForTheLongestDeadline(t *testing.T) {
	o := defaultPool(1)
	c := clock.NewVirtual(clock.Instant(time.Hour))
	o.clock = c
	o.epoch = topology.NewGroupEpoch(2, 1)
	f := newFixture(t, o)
	f.apply()
	_, _, err := f.do(within(t, 200*time.Millisecond), newRequest(http.MethodGet, "/status/k"), "")
	wantRefusal(t, err, problem.CodeNoOwner, problem.NotRun)
	c.Advance(f.pool.MaxDeadline.Duration())
	_, _, err = f.do(within(t, 20*time.Millisecond), newRequest(http.MethodGet, "/status/k"), "")
	if outcomeOf(err) != problem.NotRun {
		t.Errorf("within the drift of the clocks: %v", err)
	}
	c.Advance(clock.WithDrift(f.pool.MaxDeadline.Duration()) - f.pool.MaxDeadline.Duration())
	status, _, err := f.do(within(t, time.Second), newRequest(http.MethodGet, "/status/k"), "")
	if err != nil || status != http.StatusOK {
		t.Errorf("after the wait: status %d, error %v", status, err)
	}
}

// Guards against a first start that waits although the table proves that nobody held the groups before, and against a
// proof from a table with regranted groups.
func TestNeverHeld(t *testing.T) {
	table := func(epochs ...topology.Epoch) *topology.Table {
		t := &topology.Table{}
		for _, e := range epochs {
			t.Groups = append(t.Groups, topology.Group{Epoch: e})
		}
		return t
	}
	e := topology.NewGroupEpoch
	cases := []struct {
		table *topology.Table
		held  bool
	}{
		{table(e(1, 1), e(1, 2), 0), true},
		{table(e(1, 1), e(1, 3)), false},
		{table(e(2, 1), e(2, 2)), false},
		{table(e(1, 1), e(1, 1)), false},
	}
	for i, c := range cases {
		if got := neverHeld(c.table, c.table.Groups[0].Epoch); got != c.held {
			t.Errorf("case %d: %v", i, got)
		}
	}
}

// Guards against requests for a key at a target that doesn't own it, and against a request routed by a newer table.
func TestKeyedRequestsGoToTheOwner(t *testing.T) {
	for _, checked := range []bool{false, true} {
		f := newFixture(t, keyedOptions(2, checked))
		f.splitInTwo()
		f.apply()
		for _, hash := range []uint64{0, halfRange, halfRange + 1, math.MaxUint64} {
			if _, _, err := f.do(within(t, time.Second), keyedRequest(hash, 1), ""); err != nil {
				t.Errorf("checked %v, hash %d: %v", checked, hash, err)
			}
		}
		for i, b := range f.backends {
			if n := b.Summary().Executed; n != 2 {
				t.Errorf("checked %v: target %d executed %d requests", checked, i, n)
			}
		}
		_, _, err := f.do(within(t, time.Second), keyedRequest(0, 2), "")
		wantRefusal(t, err, problem.CodeStaleOwnership, problem.NotRun)
	}
}

// Guards against two owners of a key during a planned move: the release must not be reported while a request is in flight
// or while the former owner may believe in its grant, and the new owner must not run anything before.
func TestMoveHasOneOwnerAtATime(t *testing.T) {
	for _, checked := range []bool{false, true} {
		o := keyedOptions(2, checked)
		o.settings[0].ServiceMillis = 100
		o.settings[1].ServiceMillis = 1
		f := newFixture(t, o)
		f.splitInTwo()
		f.apply()
		var wg sync.WaitGroup
		var stop atomic.Bool
		for range 4 {
			wg.Go(func() {
				for !stop.Load() {
					_, _, _ = f.do(within(t, time.Second), keyedRequest(0, 1), "")
					time.Sleep(time.Millisecond)
				}
			})
		}
		eventually(t, "a request is at the owner", func() bool { return f.backends[0].Summary().Executing > 0 })
		f.table.Slices[0].Owner = "t1"
		f.table.Slices[0].Epoch = 4
		f.apply()
		eventually(t, "the new owner executes", func() bool { return f.backends[1].Summary().Executed > 0 })
		stop.Store(true)
		wg.Wait()
		f.idle()
		f.checkDisjoint(0)
	}
}

// checkDisjoint fails the test if two targets executed requests of a key hash at overlapping times.
func (f *fixture) checkDisjoint(hash uint64) {
	f.tb.Helper()
	type span struct {
		owner      string
		start, end clock.Instant
	}
	var spans []span
	for _, b := range f.backends {
		for _, e := range b.executions() {
			if !f.pool.GrantsChecked || e.KeyHash == hash {
				spans = append(spans, span{b.id, e.Start, e.End})
			}
		}
	}
	for i, a := range spans {
		for _, b := range spans[:i] {
			if a.owner != b.owner && a.start < b.end && b.start < a.end {
				f.tb.Errorf("%s and %s executed requests of one key at the same time", a.owner, b.owner)
				return
			}
		}
	}
}

// Guards against a lost target whose slices are never released, and against a release that is reported twice or while
// the target may still believe in its grant.
func TestLostTargetReleasesItsSlices(t *testing.T) {
	for _, checked := range []bool{false, true} {
		f := newFixture(t, keyedOptions(2, checked))
		f.splitInTwo()
		f.apply()
		if _, _, err := f.do(within(t, time.Second), keyedRequest(0, 1), ""); err != nil {
			t.Fatal(err)
		}
		stopped := time.Now()
		_ = f.backends[0].server.Close()
		_, _, err := f.do(within(t, time.Second), keyedRequest(0, 1), "")
		if outcome := outcomeOf(err); outcome == "" || outcome == problem.Ran {
			t.Errorf("answered with %v", err)
		}
		eventually(t, "the slice is released", func() bool {
			_, _, _ = f.do(within(t, time.Second), keyedRequest(0, 1), "")
			state, owner := f.sliceState(0)
			return state == wire.SliceReleased && owner == "t0"
		})
		if took := time.Since(stopped); checked && took < grantTTL-grantInterval {
			t.Errorf("released %v after the loss; the grant was valid longer", took)
		}
		if state, _ := f.sliceState(halfRange + 1); state != "" {
			t.Errorf("the other target's slice is reported as %q", state)
		}
		if _, _, err := f.do(within(t, time.Second), keyedRequest(math.MaxUint64, 1), ""); err != nil {
			t.Errorf("the other target's keys are not served: %v", err)
		}
	}
}

// Guards against keys without an owner while the controller can't be reached, and against a promotion that is reported
// as a release too, which would let the controller give the keys to somebody else.
func TestPromotionWithoutController(t *testing.T) {
	for _, checked := range []bool{false, true} {
		o := keyedOptions(2, checked)
		o.reachable = func() bool { return false }
		f := newFixture(t, o)
		f.splitInTwo()
		f.apply()
		if _, _, err := f.do(within(t, time.Second), keyedRequest(0, 1), ""); err != nil {
			t.Fatal(err)
		}
		stopped := time.Now()
		_ = f.backends[0].server.Close()
		eventually(t, "the successor serves the key", func() bool {
			_, _, err := f.do(within(t, time.Second), keyedRequest(0, 1), "")
			return err == nil
		})
		t.Logf("checked %v: served again after %v", checked, time.Since(stopped))
		promoted := 0
		for _, s := range f.gateway.Report().Slices {
			switch {
			case s.State == wire.SlicePromoted && s.Owner == "t1" && s.Epoch == 2:
				promoted++
			default:
				t.Errorf("unexpected report %+v", s)
			}
		}
		if promoted != 1 {
			t.Errorf("%d promotions are reported", promoted)
		}
		f.table.Slices[0].Owner = "t1"
		f.table.Slices[0].Epoch = 2
		f.apply()
		if _, _, err := f.do(within(t, time.Second), keyedRequest(0, 2), ""); err != nil {
			t.Errorf("after the controller has recorded the promotion: %v", err)
		}
		if n := len(f.gateway.Report().Slices); n != 0 {
			t.Errorf("%d slices are still reported", n)
		}
	}
}

// Guards against a gateway that goes on after a target has told it that a newer holder exists.
func TestNewerHolderAtTheTargetStopsTheGroup(t *testing.T) {
	f := newFixture(t, keyedOptions(2, true))
	f.splitInTwo()
	f.apply()
	if _, _, err := f.do(within(t, time.Second), keyedRequest(0, 1), ""); err != nil {
		t.Fatal(err)
	}
	newer := defaultPool(0)
	newer.pool = f.pool
	g := newGroup(f.gateway, testGroup, topology.NewGroupEpoch(9, 1), f.pool)
	other := newTarget(g, f.pool.Targets[0])
	g.renewGrant(other)
	eventually(t, "the group refuses", func() bool {
		_, _, err := f.do(within(t, time.Second), keyedRequest(math.MaxUint64, 1), "")
		return outcomeOf(err) == problem.NotRun
	})
}

// Guards against grants and reports that outlive the group.
func TestReleaseRevokesGrants(t *testing.T) {
	f := newFixture(t, keyedOptions(2, true))
	f.splitInTwo()
	f.apply()
	if _, _, err := f.do(within(t, time.Second), keyedRequest(0, 1), ""); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if err := f.gateway.Release(within(t, 3*time.Second)); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(started); took > grantTTL {
		t.Errorf("the release took %v: the grants were outwaited instead of revoked", took)
	}
	if state := f.holdState(); state != wire.HoldReleased {
		t.Errorf("state %q", state)
	}
}

// Guards against a frozen target whose slices are released late or never, and against keys that stay without an owner after
// the target has come back and got them under a new epoch.
func TestFrozenTargetReleasesAndResumes(t *testing.T) {
	for _, checked := range []bool{false, true} {
		o := keyedOptions(2, checked)
		o.pool.MaxDeadline = 500
		f := newFixture(t, o)
		f.splitInTwo()
		f.apply()
		if _, _, err := f.do(within(t, time.Second), keyedRequest(0, 1), ""); err != nil {
			t.Fatal(err)
		}
		frozen := time.Now()
		s := f.backends[0].Settings()
		s.Frozen = true
		f.backends[0].Change(s)
		eventually(t, "the slice is released", func() bool {
			_, _, _ = f.do(within(t, 100*time.Millisecond), keyedRequest(0, 1), "")
			state, owner := f.sliceState(0)
			return state == wire.SliceReleased && owner == "t0"
		})
		took := time.Since(frozen)
		t.Logf("checked %v: released %v after the freeze", checked, took)
		if took > 2*time.Second {
			t.Errorf("checked %v: released %v after the freeze", checked, took)
		}
		s.Frozen = false
		f.backends[0].Change(s)
		eventually(t, "the target is reported as back", func() bool {
			for _, r := range f.gateway.Report().Targets {
				if r.Target == "t0" {
					return r.State != wire.TargetLost
				}
			}
			return false
		})
		// The controller gives the slice to the returned target under a new epoch.
		f.table.Slices[0].Epoch = 4
		f.apply()
		eventually(t, "the key is served again", func() bool {
			_, _, err := f.do(within(t, 100*time.Millisecond), keyedRequest(0, 4), "")
			return err == nil
		})
		if n := len(f.gateway.Report().Slices); n != 0 {
			t.Errorf("%d slices are still reported", n)
		}
	}
}

// Guards against a slice that is served again under an epoch whose release was reported: the controller may have given it to
// another target.
func TestReleasedSliceStaysReleased(t *testing.T) {
	f := newFixture(t, keyedOptions(2, false))
	f.splitInTwo()
	f.apply()
	g := f.group()
	g.mu.Lock()
	g.markLost(g.targets[0])
	released := g.slices[0].phase == sliceReleased
	g.recover(g.targets[0])
	phase := g.slices[0].phase
	g.mu.Unlock()
	if !released || phase != sliceReleased {
		t.Errorf("released %v, phase %d after the return", released, phase)
	}
	f.table.Slices[0].Owner = "t1"
	f.table.Slices[0].Epoch = 4
	f.apply()
	if _, _, err := f.do(within(t, time.Second), keyedRequest(0, 4), ""); err != nil {
		t.Errorf("the new owner does not serve: %v", err)
	}
}

// Guards against keys that stay without an owner after the only target that may own them has come back, while no controller
// can give them a new epoch.
func TestReturnedTargetServesWithoutController(t *testing.T) {
	o := keyedOptions(1, false)
	o.reachable = func() bool { return false }
	f := newFixture(t, o)
	f.table.Slices = []topology.Slice{{Pool: testPool, High: math.MaxUint64, Owner: "t0", Epoch: 1}}
	f.apply()
	g := f.group()
	g.mu.Lock()
	g.markLost(g.targets[0])
	g.mu.Unlock()
	if n := len(f.gateway.Report().Slices); n != 0 {
		t.Errorf("%d slices are reported although nobody can act on it", n)
	}
	eventually(t, "the key is served again", func() bool {
		_, _, err := f.do(within(t, 100*time.Millisecond), keyedRequest(0, 1), "")
		return err == nil
	})
}

// Guards against a checked pool without keys whose targets refuse everything for want of a grant.
func TestCheckedPoolWithoutKeys(t *testing.T) {
	o := defaultPool(2)
	o.pool.GrantsChecked = true
	for i := range o.settings {
		o.settings[i].Fenced = true
	}
	f := newFixture(t, o)
	f.apply()
	for range 10 {
		if status, _, err := f.do(within(t, time.Second), newRequest(http.MethodGet, "/status/k"), ""); err != nil || status != http.StatusOK {
			t.Fatalf("status %d, error %v", status, err)
		}
	}
}
