package controller

import (
	"slices"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
	"github.com/bronzelever/bronzelever/pkg/witness"
)

// publish makes a new table if anything changed. Revocations and releases count from the first table that shows them.
func (l *leadership) publish(now clock.Instant) {
	for _, p := range l.pools {
		l.dirty = l.dirty || p.becameVisible(l.table)
	}
	if !l.dirty {
		return
	}
	l.dirty = false
	l.sequence++
	version := topology.Version{Term: l.term, Sequence: l.sequence}
	table := &topology.Table{Cell: l.s.o.Cell, Version: version}
	for _, g := range l.groups {
		if len(g.info.Targets) > 0 {
			table.Groups = append(table.Groups, l.showGroup(g, version))
		} else {
			l.hideGroup(g, version)
		}
	}
	for _, p := range l.pools {
		for _, sl := range p.slices {
			table.Slices = append(table.Slices, l.showSlice(p, sl, version))
		}
	}
	table.Sort()
	l.table = table
	for _, r := range l.routers {
		l.noteTable(now, r)
	}
}

func (l *leadership) showGroup(g *group, version topology.Version) topology.Group {
	shown := topology.Group{ID: g.info.ID, Targets: g.info.Targets, Epoch: g.epoch}
	if g.state == groupHeld {
		if g.shown == (topology.Version{}) {
			g.shown = version
		}
		shown.Gateway = g.holder.vm
		shown.Clean = g.clean
		shown.GatewayIncarnation = uint64(g.holder.incarnation)
		if r := l.routers[g.holder]; r != nil {
			shown.GatewayAddress = r.member.Address
		}
		return shown
	}
	l.hideGroup(g, version)
	return shown
}

// hideGroup notes the first table that doesn't show the holder.
func (l *leadership) hideGroup(g *group, version topology.Version) {
	if g.state == groupRevoking && g.fence == (topology.Version{}) {
		g.fence = version
		g.known = witness.NewAcceptance(l.s.record.Roster, l.s.record.Previous)
	}
}

func (l *leadership) showSlice(p *pool, sl *slice, version topology.Version) topology.Slice {
	if sl.fence == (topology.Version{}) {
		sl.fence = version
		if sl.promoted {
			sl.known = witness.NewAcceptance(l.s.record.Roster, l.s.record.Previous)
		}
	}
	shown := sl.topology(p.name)
	shown.Owner = sl.visible()
	sl.open = shown.Owner != ""
	if shown.Owner == "" {
		// Names the coming owner first, so that a successor of this controller finds a promotion in the tables of routers.
		shown.Successors = append([]string{sl.Owner}, without(sl.Successors, sl.Owner)...)
	}
	return shown
}

func without(all []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == id })
}

// becameVisible tells whether a slice shows another owner now than in the published table.
func (p *pool) becameVisible(table *topology.Table) bool {
	if table == nil {
		return true
	}
	for _, sl := range p.slices {
		shown, ok := table.Slice(p.name, sl.Low)
		if !ok || shown.Owner != sl.visible() || shown.Epoch != sl.Epoch {
			return true
		}
	}
	return false
}

// Status answers a request for the view of the cell.
func (s *State) Status(now clock.Instant) *wire.StatusReply {
	reply := &wire.StatusReply{Cell: s.o.Cell, Term: s.record.Term, ConfigVersion: s.configVersion(), StoreDown: s.storeDown}
	if !s.record.Released {
		reply.Leader = s.record.Address
	}
	l := s.lead
	if l == nil || now >= s.authority(now) || s.stopping {
		return reply
	}
	reply.Active = true
	reply.Table = l.table
	for _, r := range l.routers {
		if r.lastSeen == 0 {
			continue
		}
		reply.Members = append(reply.Members, wire.MemberStatus{Member: r.member, ConfigVersion: r.configVersion,
			AgeMillis: now.Sub(r.lastSeen).Milliseconds(), Leaving: r.leaving, Targets: r.targets})
	}
	sortMembers(reply.Members)
	return reply
}
