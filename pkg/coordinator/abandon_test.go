package coordinator

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
)

// Guards against two holders of a key, and against a role that nobody takes, after coordinators have met unexpected errors and
// dropped what they were about to do, at any moment and beside all other faults of the model.
func TestAbandonedRolesAreTakenOver(t *testing.T) {
	for seed := range *seeds {
		w := newWorld(t, 1000+seed, 3, 6)
		w.runFor(5 * time.Second)
		for range 15 {
			w.disturb()
			w.runFor(time.Duration(w.r.IntN(1500)) * time.Millisecond)
			for _, n := range w.nodes {
				if n.alive && w.r.IntN(3) == 0 {
					failingTick(w, n)
					w.run(n, n.inc, n.c.Abandon())
				}
			}
			w.runFor(time.Duration(w.r.IntN(1500)) * time.Millisecond)
		}
		w.runFor(25 * time.Second)
		if share := w.served(); share < 1 {
			t.Errorf("seed %d: only %.2f of the keys are served 25 s after the last fault", seed, share)
		}
	}
}

// failingTick is a tick that ends in an unexpected error somewhere; its effects are lost.
func failingTick(w *world, n *node) {
	defer func() { _ = recover() }()
	until := w.r.IntN(8)
	step := func() {
		if until--; until < 0 {
			panic("planted")
		}
	}
	view := View{
		Snapshot: w.snapshot(),
		Load:     func(string) keyrange.Load { step(); return w.load() },
		Capacity: func(t *inventory.Target) float64 { step(); return float64(t.Slots) },
	}
	w.run(n, n.inc, n.c.Tick(w.now, view, true))
}
