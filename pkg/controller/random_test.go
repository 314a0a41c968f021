package controller

import (
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
	kind := w.rng.Intn(19)
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
	r.dead = true
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

// storm runs a world under random faults and returns the first violation.
func storm(seed int64, routers int, story io.Writer) string {
	w := newToldWorld(seed, routers, testConfig(1, 8), story)
	h := newHistory()
	version := uint64(1)
	for w.now < 60*time.Second && w.violation == "" {
		w.run(time.Duration(w.rng.Int63n(int64(300 * time.Millisecond))))
		h.follow(w)
		if w.now > 4*time.Second && w.rng.Intn(4) == 0 {
			w.chaos(&version)
		}
	}
	return w.violation
}

// TestOneHolder guards against two valid holders of a group, two owners that execute requests of one slice, a published
// assignment that is lost, and a configuration that goes back, under random faults.
func TestOneHolder(t *testing.T) {
	properties := gopter.NewProperties(parameters(t, runs(t)))
	properties.Property("one holder, surviving assignments", prop.ForAll(func(seed int64, routers int) string {
		if v := storm(seed, routers, nil); v != "" {
			return fmt.Sprintf("seed %d, %d routers: %s", seed, routers, v)
		}
		return ""
	}, gen.Int64(), gen.IntRange(2, 8)))
	properties.TestingRun(t)
}

func runs(t *testing.T) int {
	if testing.Short() {
		return 10
	}
	return 40
}
