package controller

import (
	"cmp"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// reportedTargets returns the targets of a pool, with the states reported by their gateways applied.
func (l *leadership) reportedTargets(p *pool) []placement.Target {
	targets := placement.Targets(l.s.cfg, p.cfg, l.s.options.Region)
	state := l.targetStates()
	for i := range targets {
		switch state[targets[i].ID] {
		case wire.TargetLost:
			targets[i].Lost = true
			targets[i].Available = false
		case wire.TargetDraining:
			targets[i].Available = false
		}
	}
	return targets
}

// targetStates returns the target states reported by the holder of each target's group. Reports of former holders are
// ignored.
func (l *leadership) targetStates() map[string]wire.TargetState {
	states := map[string]wire.TargetState{}
	for _, g := range l.groups {
		r := l.routers[g.holder]
		if g.state != groupHeld || r == nil {
			continue
		}
		for _, t := range r.targets {
			if slices.Contains(g.info.Targets, t.Target) {
				states[t.Target] = t.State
			}
		}
	}
	return states
}

// planChanges updates next where owners are gone: all slices of lost targets at once, those of targets that are out
// of service or leaving in steps. It reports whether a write is needed.
func (l *leadership) planChanges(now clock.Instant, p *pool, next []SliceRecord, targets []placement.Target) bool {
	moves := l.evacuate(now, p, targets, false)
	if len(moves) == 0 {
		return p.renewReleasedEpochs(next, targets) || p.hasPromoted() || l.successorCheckDue(now, p) && p.refreshSuccessors(next, targets)
	}
	lost := map[string]bool{}
	for _, t := range targets {
		lost[t.ID] = t.Lost
	}
	budget := 0
	if now >= p.nextEvacuation {
		budget = (len(p.slices) + evacuationDivisor - 1) / evacuationDivisor
	}
	moved := 0
	for _, m := range moves {
		i := indexByLow(next, m.Low)
		if !lost[next[i].Owner] {
			if budget == 0 {
				continue
			}
			budget--
			p.nextEvacuation = now.Add(evacuationInterval)
		}
		reassignRecord(&next[i], m.To)
		moved++
	}
	if moved > 0 {
		p.refreshSuccessors(next, targets)
	}
	return moved > 0
}

// renewReleasedEpochs raises the epoch of slices that their gateway released because their target was lost, if that
// target is available again.
func (p *pool) renewReleasedEpochs(next []SliceRecord, targets []placement.Target) bool {
	available := map[string]bool{}
	for _, t := range targets {
		available[t.ID] = t.Available
	}
	changed := false
	for i, sl := range p.slices {
		if sl.ownerReleased && available[sl.Owner] {
			next[i].Epoch += placement.EpochStep
			changed = true
		}
	}
	return changed
}

// successorCheckDue reports whether the successors are to be checked. Checks are rate-limited, because successors
// matter only at the next loss, and a check visits every slice.
func (l *leadership) successorCheckDue(now clock.Instant, p *pool) bool {
	if now < p.nextSuccessorCheck {
		return false
	}
	p.nextSuccessorCheck = now.Add(successorCheckInterval)
	return true
}

// reassignRecord gives a slice a new owner. The new epoch skips those reserved for the successors, which may be in
// use.
func reassignRecord(rec *SliceRecord, to string) {
	rec.Former = appendFormer(rec.Former, FormerOwner{Owner: rec.Owner, Epoch: rec.Epoch})
	rec.Former = slices.DeleteFunc(rec.Former, func(f FormerOwner) bool { return f.Owner == to })
	rec.Owner = to
	rec.Epoch += placement.EpochStep
}

func indexByLow(all []SliceRecord, low uint64) int {
	return slices.IndexFunc(all, func(r SliceRecord) bool { return r.Low == low })
}

func (p *pool) placementSlices() []topology.Slice {
	out := make([]topology.Slice, len(p.slices))
	for i, sl := range p.slices {
		out[i] = sl.placementSlice(p.name)
	}
	return out
}

// refreshSuccessors updates the successors in next to valid ones. It reports whether anything changed.
func (p *pool) refreshSuccessors(next []SliceRecord, targets []placement.Target) bool {
	view := make([]topology.Slice, len(next))
	for i, r := range next {
		view[i] = topology.Slice{Pool: p.name, Low: r.Low, High: r.High, Owner: r.Owner, Epoch: r.Epoch, Successors: r.Successors}
	}
	if !placement.AssignSuccessors(view, targets) {
		return false
	}
	changed := false
	for i := range next {
		if slices.Equal(next[i].Successors, view[i].Successors) {
			continue
		}
		next[i].Successors = view[i].Successors
		changed = true
	}
	return changed
}

// promoteSuccessors assigns the slices of lost targets to their recorded successors while the store is down. It uses
// the reserved epoch, so that every process that knows the record derives the same owner from it.
func (l *leadership) promoteSuccessors(now clock.Instant, p *pool, targets []placement.Target) {
	promoted := 0
	for _, m := range l.evacuate(now, p, targets, true) {
		i := slices.IndexFunc(p.slices, func(sl *slice) bool { return sl.Low == m.Low })
		sl := p.slices[i]
		if sl.promoted {
			// The assignment isn't in the store yet: its reserved epochs are used up or in use. A further change
			// waits for the store.
			continue
		}
		sl.reassign(m.To, sl.Epoch+1+topology.Epoch(m.Successor))
		sl.promoted = true
		promoted++
	}
	if promoted > 0 {
		l.tableChanged = true
		for _, r := range l.routers {
			l.applyReports(now, r, p)
		}
		l.s.options.Log.Emit(event.SuccessorsPromoted, "pool", p.name, "slices", promoted)
	}
}

// adoptPromotions adopts the promotions that earlier controllers made without the store, from the tables that routers
// had. A promotion was published only after a majority of each roster had a table that shows its epoch, so the tables
// of at least half of each roster show every promotion that can be in use.
func (l *leadership) adoptPromotions() {
	var tables []*topology.Table
	for _, t := range l.routerTables {
		if t != nil && t.Cell == l.s.options.Cell {
			tables = append(tables, t)
		}
	}
	slices.SortFunc(tables, func(a, b *topology.Table) int {
		return cmp.Or(cmp.Compare(a.Version.Term, b.Version.Term), cmp.Compare(a.Version.Sequence, b.Version.Sequence))
	})
	for _, t := range tables {
		for _, shown := range t.Slices {
			l.adoptPublished(shown)
		}
	}
}

// renewHiddenEpochs raises the epoch of the slices without an owner in the first table of the term, because a gateway
// that has released a slice takes it up again only under a new epoch.
//
// If every is true, all slices are raised, because promotions may be unknown.
func (p *pool) renewHiddenEpochs(every bool) {
	for _, sl := range p.slices {
		if every || sl.visibleOwner() == "" {
			sl.Epoch += placement.EpochStep
			sl.promoted = true
		}
	}
}

func (l *leadership) adoptPublished(shown topology.Slice) {
	p, ok := l.pools[shown.Pool]
	if !ok {
		return
	}
	for _, sl := range p.slices {
		if shown.Low <= sl.High && sl.Low <= shown.High {
			sl.adoptPublished(shown)
		}
	}
}
