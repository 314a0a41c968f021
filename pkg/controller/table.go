package controller

import (
	"slices"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
	"github.com/bronzelever/bronzelever/pkg/witness"
)

// publish creates a new table if anything has changed. Grants, revocations and slice assignments count from the first
// table that shows them.
func (l *leadership) publish(now clock.Instant) {
	for _, p := range l.pools {
		l.tableChanged = l.tableChanged || p.differsFrom(l.table)
	}
	if !l.tableChanged {
		return
	}
	l.tableChanged = false
	l.sequence++
	version := topology.Version{Term: l.term, Sequence: l.sequence}
	table := &topology.Table{Cell: l.s.options.Cell, Version: version}
	for _, g := range l.groups {
		if len(g.info.Targets) > 0 {
			table.Groups = append(table.Groups, l.publishGroup(g, version))
		} else {
			l.recordRevocation(g, version)
		}
	}
	for _, p := range l.pools {
		for _, sl := range p.slices {
			table.Slices = append(table.Slices, l.publishSlice(p, sl, version))
		}
	}
	table.Sort()
	l.table = table
	for _, r := range l.routers {
		l.recordTable(now, r)
	}
}

func (l *leadership) publishGroup(g *group, version topology.Version) topology.Group {
	shown := topology.Group{ID: g.info.ID, Targets: g.info.Targets, Epoch: g.epoch}
	if g.state == groupHeld {
		if g.grantVersion == (topology.Version{}) {
			g.grantVersion = version
		}
		shown.Gateway = g.holder.vm
		shown.Clean = g.clean
		shown.GatewayIncarnation = uint64(g.holder.incarnation)
		if r := l.routers[g.holder]; r != nil {
			shown.GatewayAddress = r.member.Address
		}
		return shown
	}
	l.recordRevocation(g, version)
	return shown
}

// recordRevocation records the first table that doesn't show the holder of a revoked group.
func (l *leadership) recordRevocation(g *group, version topology.Version) {
	if g.state == groupRevoking && g.revocationVersion == (topology.Version{}) {
		g.revocationVersion = version
		g.revocationAcks = witness.NewAcceptance(l.s.termRecord.Roster, l.s.termRecord.Previous)
	}
}

func (l *leadership) publishSlice(p *pool, sl *slice, version topology.Version) topology.Slice {
	if sl.publishedVersion == (topology.Version{}) {
		sl.publishedVersion = version
		if sl.promoted {
			sl.publishedAcks = witness.NewAcceptance(l.s.termRecord.Roster, l.s.termRecord.Previous)
		}
	}
	shown := sl.placementSlice(p.name)
	shown.Owner = sl.visibleOwner()
	sl.ownerPublished = shown.Owner != ""
	if shown.Owner == "" {
		// The next owner comes first, so that the next controller finds a promotion in the tables of routers.
		shown.Successors = append([]string{sl.Owner}, withoutID(sl.Successors, sl.Owner)...)
	}
	return shown
}

func withoutID(all []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(s string) bool { return s == id })
}

// differsFrom reports whether a slice of the pool has an owner or epoch other than in the published table.
func (p *pool) differsFrom(table *topology.Table) bool {
	if table == nil {
		return true
	}
	for _, sl := range p.slices {
		shown, ok := table.Slice(p.name, sl.Low)
		if !ok || shown.Owner != sl.visibleOwner() || shown.Epoch != sl.Epoch {
			return true
		}
	}
	return false
}

// Status returns the controller's view of the cell. Table and members are included only while the controller is
// active.
func (s *State) Status(now clock.Instant) *wire.StatusReply {
	reply := &wire.StatusReply{Cell: s.options.Cell, Term: s.termRecord.Term, ConfigVersion: s.configVersion(), StoreDown: s.storeDown}
	if !s.termRecord.Released {
		reply.Leader = s.termRecord.Address
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
