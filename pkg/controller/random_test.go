package controller

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/witness"
)

const (
	// seedVariable repeats a run with the seed that a failed one printed.
	seedVariable = "BRONZELEVER_SEED"
	defaultSeed  = 20261204
)

func parameters(t *testing.T, runs int) *gopter.TestParameters {
	seed := int64(defaultSeed)
	if text := os.Getenv(seedVariable); text != "" {
		var err error
		if seed, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %d (set %s to repeat)", seed, seedVariable)
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = runs
	p.MaxShrinkCount = 0
	return p
}

// chaos injects one random fault or repair.
func (w *world) chaos(version *uint64) {
	router := w.routers[w.rng.Intn(len(w.routers))]
	other := w.routers[w.rng.Intn(len(w.routers))]
	cand := w.cands[w.rng.Intn(len(w.cands))]
	kind := w.rng.Intn(20)
	w.tell("fault %d: %s %s %s", kind, router.name, other.name, cand.name)
	switch kind {
	case 0:
		w.cut[router.name+"|"+cand.name] = true
	case 1:
		w.cut[cand.name+"|store"] = true
	case 2:
		w.cut[router.name+"|"+other.name] = true
	case 3:
		w.cut[router.name] = true
	case 4, 5:
		w.cut = map[string]bool{}
	case 6:
		w.pause(&router.process)
	case 7:
		w.pause(&cand.process)
	case 8:
		w.store.SetDown(true)
	case 9, 10:
		w.store.SetDown(false)
	case 11:
		w.store.LoseReplies(1 + w.rng.Intn(3))
	case 12:
		w.store.DelayWrites(1 + w.rng.Intn(3))
		w.after(time.Duration(w.rng.Int63n(int64(8*time.Second))), nil, w.store.ReleaseDelayed)
	case 13:
		target := w.cfg.Pools[0].Targets[w.rng.Intn(len(w.cfg.Pools[0].Targets))].ID
		if len(w.lost) < 2 {
			w.lost[target] = true
			w.after(5*time.Second, nil, func() { delete(w.lost, target) })
		}
	case 14:
		*version++
		next := testConfig(*version, len(w.cfg.Pools[0].Targets))
		if w.rng.Intn(2) == 0 {
			next.Out.Domains = []string{"north-b"}
		}
		// An operator's change goes through in the end.
		w.store.SetDown(false)
		w.store.LoseReplies(0)
		w.store.DelayWrites(0)
		w.putConfig(next)
	case 15:
		w.restart(router)
	case 16:
		cand.state.Stop(cand.clock(w))
		w.replace(cand)
	case 17:
		cand.dead = true
		w.replace(cand)
	case 19:
		w.hotKey = w.rng.Uint64()
	case 18:
		router.leaving = true
		w.after(3*time.Second, nil, func() { w.restart(router) })
	}
}

func (w *world) pause(p *process) {
	if p.paused || p.dead {
		return
	}
	p.paused = true
	w.after(time.Duration(w.rng.Int63n(int64(7*time.Second))), nil, func() {
		p.paused = false
		held := p.held
		p.held = nil
		for _, run := range held {
			w.after(0, p, run)
		}
	})
}

// restart replaces a router process by another one of the same VM.
func (w *world) restart(r *fakeRouter) {
	if r.dead {
		return
	}
	w.kill(r)
	w.addRouter(r.name, r.member.Domain)
}

func (w *world) replace(old *candidate) {
	for i, c := range w.cands {
		if c == old {
			w.addCandidate(old.name)
			w.cands[i] = w.cands[len(w.cands)-1]
			w.cands = w.cands[:len(w.cands)-1]
			return
		}
	}
}

// history follows the published assignments.
type history struct {
	epoch map[uint64]topology.Epoch
	owner map[uint64]string
	table map[*topology.Table]bool
	last  topology.Version
}

func newHistory() *history {
	return &history{epoch: map[uint64]topology.Epoch{}, owner: map[uint64]string{}, table: map[*topology.Table]bool{}}
}

// follow checks that a published assignment is only replaced by a newer one.
func (h *history) follow(w *world) {
	s := w.leader()
	if s == nil || s.lead.table == nil || h.table[s.lead.table] {
		return
	}
	h.table[s.lead.table] = true
	if s.lead.table.Version.Less(h.last) {
		return
	}
	h.last = s.lead.table.Version
	for _, sl := range s.lead.table.Slices {
		if sl.Owner == "" {
			continue
		}
		if sl.Epoch < h.epoch[sl.Low] || sl.Epoch == h.epoch[sl.Low] && sl.Owner != h.owner[sl.Low] {
			w.fail("slice %d: assignment %s/%d replaced by %s/%d", sl.Low, h.owner[sl.Low], h.epoch[sl.Low], sl.Owner, sl.Epoch)
		}
		h.epoch[sl.Low], h.owner[sl.Low] = sl.Epoch, sl.Owner
	}
}

// heal ends every fault.
func (w *world) heal() {
	w.cut = map[string]bool{}
	w.lost = map[string]bool{}
	w.store.SetDown(false)
	w.store.LoseReplies(0)
	w.store.DelayWrites(0)
	w.store.ReleaseDelayed()
}

// storm runs a world under random faults until one violates an invariant or the time is over.
func storm(seed int64, routers int, story io.Writer) *world {
	w := newToldWorld(seed, routers, testConfig(1, 8), story)
	h := newHistory()
	version := uint64(1)
	for w.now < 90*time.Second && w.violation == "" {
		w.run(time.Duration(w.rng.Int63n(int64(300 * time.Millisecond))))
		h.follow(w)
		if w.now > 4*time.Second && w.rng.Intn(4) == 0 {
			w.chaos(&version)
		}
	}
	return w
}

// recovery is the bound for a cell to serve everything again after all faults have ended: a stale term, collection,
// a change of roster in two steps, leases and the moves that were put off.
const recovery = 30 * time.Second

// TestOneHolder guards against two valid holders of a group, two owners that execute requests of one slice, a published
// assignment that is lost, and a configuration that goes back, under random faults, and against cells that don't serve
// again after them. Where more routers than tolerated were lost, an operator confirms that no former process runs.
func TestOneHolder(t *testing.T) {
	confirmations := 0
	properties := gopter.NewProperties(parameters(t, runs()))
	properties.Property("one holder, surviving assignments, recovery", prop.ForAll(func(seed int64, routers int) string {
		w := storm(seed, routers, nil)
		w.heal()
		d, ok := w.await(recovery, w.complete)
		if !ok && w.violation == "" && w.blocked() {
			confirmations++
			w.confirm()
			d, ok = w.await(recovery, w.complete)
		}
		if w.violation == "" && ok {
			return ""
		}
		return fmt.Sprintf("world %q: %s; complete %v after %v: %s", fmt.Sprint(seed, routers), w.violation, ok, d, w.describe())
	}, gen.Int64(), gen.IntRange(2, 8)))
	properties.TestingRun(t)
	t.Logf("%d cells needed an operator's confirmation", confirmations)
}

// blocked tells whether the cell waits for routers that are lost.
func (w *world) blocked() bool {
	s := w.leader()
	if s == nil {
		return false
	}

	known := witness.NewAcceptance(s.record.Roster, s.record.Previous)
	for _, r := range w.routers {
		if !r.dead {
			known.Accept(r.member, 0)
		}
	}
	_, half := known.Half()
	return !half
}

// confirm writes the operator's confirmation for the present term.
func (w *world) confirm() {
	key := ConfirmKey("north")
	row, _ := w.store.Get(context.Background(), key)
	c := Confirmation{Term: w.leader().lead.term, Sequence: w.leader().lead.sequence}
	if _, err := w.store.Put(context.Background(), key, encode(c), row.Revision, fmt.Sprint("confirm", c)); err != nil {
		panic(err)
	}
}

// runs is the number of worlds per run; BRONZELEVER_RUNS raises it for long runs.
func runs() int {
	if n, err := strconv.Atoi(os.Getenv("BRONZELEVER_RUNS")); err == nil {
		return n
	}
	return 20
}
