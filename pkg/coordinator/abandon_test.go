package coordinator

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
)

// Guards against two holders of a key, and against a role that no VM takes over, after coordinators have dropped their effects
// because of unexpected errors. The errors occur at any time, together with all other faults of the simulation.
func TestAbandonedLeadershipIsTakenOver(t *testing.T) {
	for seed := range *seeds {
		sim := newSimulation(t, 1000+seed, 3, 6)
		sim.runFor(5 * time.Second)
		for range 15 {
			sim.injectFault()
			sim.runFor(time.Duration(sim.rng.IntN(1500)) * time.Millisecond)
			for _, n := range sim.nodes {
				if n.alive && sim.rng.IntN(3) == 0 {
					panickingTick(sim, n)
					sim.runEffects(n, n.incarnation, n.c.Abandon())
				}
			}
			sim.runFor(time.Duration(sim.rng.IntN(1500)) * time.Millisecond)
		}
		sim.runFor(25 * time.Second)
		if share := sim.servedShare(); share < 1 {
			t.Errorf("seed %d: only %.2f of the keys are served 25 s after the last fault", seed, share)
		}
	}
}

// panickingTick runs a tick that panics at a random point of its work, or not at all. The effects of a tick that panics are lost.
func panickingTick(sim *simulation, n *node) {
	defer func() { _ = recover() }()
	until := sim.rng.IntN(8)
	step := func() {
		if until--; until < 0 {
			panic("planted")
		}
	}
	view := View{
		Snapshot: sim.snapshot(),
		Load:     func(string) keyrange.Load { step(); return sim.load() },
		Capacity: func(t *inventory.Target) float64 { step(); return float64(t.Slots) },
	}
	sim.runEffects(n, n.incarnation, n.c.Tick(sim.now, view, true))
}
