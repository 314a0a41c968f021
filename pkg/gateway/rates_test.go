package gateway

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Guards against heartbeats that carry the rates of slices without requests for ever: at 4 routers in a cell these were
// 22 of 26 KB/s of a router's control traffic. And against a slice whose last rate stays with the controller.
func TestIdleSlicesLeaveTheReports(t *testing.T) {
	g := &group{slices: []*heldSlice{{Slice: topology.Slice{Pool: testPool}, phase: sliceActive}}}
	s := g.slices[0]
	s.rates.hit(1)
	now := g.rates.rolled
	step := func() {
		now = now.Add(rateInterval)
		g.rates.roll(g, now)
	}
	step()
	if loads := g.loads(now); len(loads) != 1 || loads[0].Rate != 1 {
		t.Fatalf("after a request: %+v", loads)
	}
	if loads := g.loads(now.Add(freshRates + time.Millisecond)); len(loads) != 0 {
		t.Errorf("rates are reported again: %+v", loads)
	}
	step()
	if loads := g.loads(now); len(loads) != 1 || loads[0].Rate != 0 {
		t.Errorf("a slice that became idle: %+v", loads)
	}
	for range idleReports {
		step()
	}
	if loads := g.loads(now); len(loads) != 0 {
		t.Errorf("an idle slice is still reported: %+v", loads)
	}
}
