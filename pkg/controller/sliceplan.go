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

// targets returns the targets of a pool with what their gateways say about them.
func (l *leadership) targets(p *pool) []placement.Target {
	targets := placement.Targets(l.s.cfg, p.cfg, l.s.o.Region)
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

// targetStates returns what the holder of each target's group has reported. Reports of former holders don't count.
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

// plan changes next where owners are gone: all slices of lost targets at once, those of targets that are out or leaving
// in steps. It returns whether anything changed.
func (l *leadership) plan(now clock.Instant, p *pool, next []SliceRecord, targets []placement.Target) bool {
	moves := l.evacuate(now, p, targets, false)
	if len(moves) == 0 {
		return p.revive(next, targets) || p.anyPromoted() || l.refreshDue(now, p) && p.refreshSuccessors(next, targets)
	}
	lost := map[string]bool{}
	for _, t := range targets {
		lost[t.ID] = t.Lost
	}
	budget := 0
	if now >= p.nextStep {
		budget = (len(p.slices) + stepShare - 1) / stepShare
	}
	moved := 0
	for _, m := range moves {
		i := indexLow(next, m.Low)
		if !lost[next[i].Owner] {
			if budget == 0 {
				continue
			}
			budget--
			p.nextStep = now.Add(stepInterval)
		}
		moveRecord(&next[i], m.To)
		moved++
	}
	if moved > 0 {
		p.refreshSuccessors(next, targets)
	}
	return moved > 0
}

// revive gives a new epoch to the slices that were released by their gateway because of a loss that has passed.
func (p *pool) revive(next []SliceRecord, targets []placement.Target) bool {
	available := map[string]bool{}
	for _, t := range targets {
		available[t.ID] = t.Available
	}
	changed := false
	for i, sl := range p.slices {
		if sl.idle && available[sl.Owner] {
			next[i].Epoch += placement.EpochStep
			changed = true
		}
	}
	return changed
}

// refreshDue tells whether the successors are to be checked. Successors matter at the next loss only, and the check looks
// at every slice.
func (l *leadership) refreshDue(now clock.Instant, p *pool) bool {
	if now < p.nextRefresh {
		return false
	}
	p.nextRefresh = now.Add(refreshInterval)
	return true
}

// moveRecord gives a slice a new owner. The epoch skips those reserved for the successors, which may be in use.
func moveRecord(rec *SliceRecord, to string) {
	rec.Former = addFormer(rec.Former, Former{Owner: rec.Owner, Epoch: rec.Epoch})
	rec.Former = slices.DeleteFunc(rec.Former, func(f Former) bool { return f.Owner == to })
	rec.Owner = to
	rec.Epoch += placement.EpochStep
}

func indexLow(all []SliceRecord, low uint64) int {
	return slices.IndexFunc(all, func(r SliceRecord) bool { return r.Low == low })
}

func (p *pool) view() []topology.Slice {
	out := make([]topology.Slice, len(p.slices))
	for i, sl := range p.slices {
		out[i] = sl.topology(p.name)
	}
	return out
}

// refreshSuccessors records valid successors.
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

// promote hands lost slices to their recorded successors while the store is down. The epoch is the reserved one, so that
// every process that knows the record derives the same owner from it.
func (l *leadership) promote(now clock.Instant, p *pool, targets []placement.Target) {
	promoted := 0
	for _, m := range l.evacuate(now, p, targets, true) {
		i := slices.IndexFunc(p.slices, func(sl *slice) bool { return sl.Low == m.Low })
		sl := p.slices[i]
		if sl.promoted {
			// The reserved epochs are used up or under way; the rest waits for the store.
			continue
		}
		sl.reassign(m.To, sl.Epoch+1+topology.Epoch(m.Successor))
		sl.promoted = true
		promoted++
	}
	if promoted > 0 {
		l.dirty = true
		for _, r := range l.routers {
			l.reviewReports(now, r, p)
		}
		l.s.o.Log.Emit(event.SuccessorsPromoted, "pool", p.name, "slices", promoted)
	}
}

// adoptPromotions takes over what earlier controllers promoted without the store, from the tables that routers had. A
// promotion was published only after a majority of each roster had a table that shows its epoch, so that the tables of at
// least half of each roster show every promotion that can be in use.
func (l *leadership) adoptPromotions() {
	var tables []*topology.Table
	for _, t := range l.routerTables {
		if t != nil && t.Cell == l.s.o.Cell {
			tables = append(tables, t)
		}
	}
	slices.SortFunc(tables, func(a, b *topology.Table) int {
		return cmp.Or(cmp.Compare(a.Version.Term, b.Version.Term), cmp.Compare(a.Version.Sequence, b.Version.Sequence))
	})
	for _, t := range tables {
		for _, shown := range t.Slices {
			l.adoptShown(shown)
		}
	}
}

// renewHidden gives a new epoch to the slices that the first table of the term will hide. A gateway that has released a
// slice takes it up again only under a new epoch.
//
// all renews every slice: promotions may be unknown.
func (p *pool) renewHidden(all bool) {
	for _, sl := range p.slices {
		if all || sl.visible() == "" {
			sl.Epoch += placement.EpochStep
			sl.promoted = true
		}
	}
}

func (l *leadership) adoptShown(shown topology.Slice) {
	p, ok := l.pools[shown.Pool]
	if !ok {
		return
	}
	for _, sl := range p.slices {
		if shown.Low <= sl.High && sl.Low <= shown.High {
			sl.adoptShown(shown)
		}
	}
}
