package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
	"github.com/bronzelever/bronzelever/pkg/witness"
)

const (
	// groupMoveInterval is the least time between two planned moves of groups.
	groupMoveInterval = 2 * time.Second
	// missingAfter is how long a holder that has the table of its grant may fail to report the group.
	missingAfter = 600 * time.Millisecond
)

// groupState is the state of a group at the controller.
type groupState int

const (
	// groupFree: nobody holds the group.
	groupFree groupState = iota
	// groupHeld: the holder is published, or has reported the group after a change of term.
	groupHeld
	// groupRevoking: the holder isn't published any more, but may still act for the group.
	groupRevoking
)

// group is a target group.
//
// Invariant: holder may act for the group only in the states held and revoking. The state becomes free only by
// holderGone, and a free group has no holder in the cell.
type group struct {
	info   topology.Group
	state  groupState
	holder identity
	epoch  topology.Epoch
	// shown is the first table that shows the grant; zero while it isn't published.
	shown topology.Version
	// clean tells that no request of an earlier holder was running at the time of the grant.
	clean bool
	// missingSince is when the holder first failed to report a group that it must know of; 0 if it reports it.
	missingSince clock.Instant
	// fence is the first table without the holder; zero while it isn't published. known counts who has that table.
	fence     topology.Version
	known     *witness.Acceptance
	revokedAt clock.Instant
	// goneAt is when the last holder ended without a report: its requests may be running for the longest deadline.
	goneAt clock.Instant
}

// adoptHeld takes in what a router reports to hold.
func (s *State) adoptHeld(now clock.Instant, r *router, held []wire.HeldGroup) {
	l := s.lead
	r.held = make(map[topology.GroupID]wire.HeldGroup, len(held))
	for _, h := range held {
		// A router may report an older hold that it has released besides the present one.
		if old, ok := r.held[h.Group]; !ok || old.Epoch < h.Epoch {
			r.held[h.Group] = h
		}
		g, ok := l.groups[h.Group]
		if !ok && l.collected {
			// Not configured; the router gives the group up when it gets the table.
			continue
		}
		if !ok {
			g = &group{info: topology.Group{ID: h.Group}}
			l.groups[h.Group] = g
		}
		if h.State == wire.HoldReleased {
			l.onReleased(now, g, r, h)
			continue
		}
		l.adopt(g, r, h)
	}
}

// adopt records a holder from before the term. Within the term only this controller grants, and it raises the epoch each
// time, so that an older report can't replace a newer grant.
func (l *leadership) adopt(g *group, r *router, h wire.HeldGroup) {
	if l.collected && !l.blocked(h.Group) || h.Epoch <= g.epoch || h.Epoch >= topology.NewGroupEpoch(l.term, 0) {
		return
	}
	g.state = groupHeld
	g.holder = identityOf(r.member)
	g.epoch = h.Epoch
	l.dirty = true
}

// onReleased frees a group when its holder reports that nothing is in flight.
func (l *leadership) onReleased(now clock.Instant, g *group, r *router, h wire.HeldGroup) {
	if g.state == groupFree || g.holder != identityOf(r.member) || g.epoch != h.Epoch {
		return
	}
	if now >= l.quietAt(g) {
		l.releasedBy(g)
	}
	l.free(g)
}

// actsFor tells whether a router still says that it acts for a group under the present epoch.
func (r *router) actsFor(g *group) bool {
	h, ok := r.held[g.info.ID]
	return ok && h.Epoch == g.epoch && h.State != wire.HoldReleased
}

// releasedBy notes that the gateway of a group has nothing in flight any more: no former owner in the group executes
// requests. That holds for the slices whose change is published, because the next gateway sees it too.
func (l *leadership) releasedBy(g *group) {
	for _, p := range l.pools {
		for _, sl := range p.slices {
			if sl.fence != (topology.Version{}) {
				sl.release(g)
			}
		}
	}
}

func (l *leadership) free(g *group) {
	g.state = groupFree
	g.holder = identity{}
	g.shown, g.fence = topology.Version{}, topology.Version{}
	g.known = nil
	g.missingSince = 0
	l.dirty = true
	l.s.o.Log.Emit(event.GroupFreed, "group", string(g.info.ID), "epoch", uint64(g.epoch))
}

// revoke takes a group from its holder: the next table doesn't show it any more.
func (l *leadership) revoke(now clock.Instant, g *group, reason string) {
	if g.state != groupHeld {
		return
	}
	g.state = groupRevoking
	g.revokedAt = now
	g.fence = topology.Version{}
	g.known = nil
	l.dirty = true
	l.s.o.Log.Emit(event.GroupRevoked, "group", string(g.info.ID), "router", g.holder.vm, "reason", reason)
}

// tickGroups revokes, frees and grants groups.
func (l *leadership) tickGroups(now clock.Instant) {
	for _, id := range l.groupIDs() {
		g := l.groups[id]
		switch g.state {
		case groupHeld:
			l.checkHolder(now, g)
		case groupRevoking:
			if l.holderGone(now, g) {
				l.free(g)
			}
		case groupFree:
			if len(g.info.Targets) == 0 {
				delete(l.groups, id)
			}
		}
	}
	l.grantFree(now)
	l.rebalance(now)
}

// groupIDs returns the IDs in order, so that decisions can be replayed.
func (l *leadership) groupIDs() []topology.GroupID {
	ids := make([]topology.GroupID, 0, len(l.groups))
	for id := range l.groups {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (l *leadership) checkHolder(now clock.Instant, g *group) {
	r := l.routers[g.holder]
	switch {
	case r == nil || !r.live(now):
		l.revoke(now, g, "silent")
	case l.restarted(g.holder):
		l.revoke(now, g, "restarted")
	case l.mustLeave(now, g, r):
		l.revoke(now, g, "out of service")
	case r.leaving:
		l.revoke(now, g, "leaving")
	case len(g.info.Targets) == 0:
		l.revoke(now, g, "not configured")
	case l.missing(now, g, r):
		l.revoke(now, g, "not reported")
	}
}

// mustLeave tells whether operators have taken the gateway out of service. A group whose own failure domain is out too
// stays: it gets no new work anyway, and what is in flight ends where it is.
func (l *leadership) mustLeave(now clock.Instant, g *group, r *router) bool {
	if !l.routerOut(r.member) {
		return false
	}
	if l.s.cfg.DomainOut(g.info.ID.Domain()) && !slices.Contains(l.s.cfg.Out.VMs, r.member.VM) {
		return false
	}
	return slices.ContainsFunc(l.candidates(now), func(c placement.Router) bool { return !c.Out })
}

// restarted tells whether a newer process of the holder's VM has reported.
func (l *leadership) restarted(holder identity) bool {
	r := l.routers[holder]
	for id, other := range l.routers {
		if id.vm == holder.vm && id != holder && r != nil && other.firstSeen > r.lastSeen {
			return true
		}
	}
	return false
}

// missing tells whether a holder that knows of its grant doesn't report the group: it has lost its authority meanwhile
// and doesn't take the group up by itself again.
func (l *leadership) missing(now clock.Instant, g *group, r *router) bool {
	reported := r.actsFor(g)
	knows := g.shown != topology.Version{} && !r.table.Less(g.shown)
	if reported || !knows {
		g.missingSince = 0
		return false
	}
	if g.missingSince == 0 {
		g.missingSince = now
	}
	return now.Sub(g.missingSince) >= missingAfter
}

// holderGone tells whether the holder of a group that is being revoked can't act for it any more:
//   - it has the table without itself and reports the group no more, or
//   - its lease has ended, and so has any authority by the roster rule: at least half of each roster has known the table
//     for TTL, and doesn't confirm a router with an older table.
//
// For a pool whose targets check grants the second condition isn't needed, because the targets refuse the older group
// epoch. An operator's confirmation replaces it where half of a roster is lost.
func (l *leadership) holderGone(now clock.Instant, g *group) bool {
	if g.fence == (topology.Version{}) {
		return false
	}
	r := l.routers[g.holder]
	if r != nil && !r.table.Less(g.fence) && !r.actsFor(g) {
		// It lost its authority before, so that requests may be running.
		g.goneAt = now
		return true
	}
	if r != nil && now < r.leaseEnd {
		return false
	}
	known, ok := g.known.Half()
	if ok && now >= lease.GrantorEnd(known, lease.TTL) {
		g.goneAt = now
		return true
	}
	if r == nil || !r.live(now) {
		if now.Sub(g.revokedAt) > confirmAfter {
			l.readConfirmation(now)
		}
		if !l.confirmation.Less(g.fence) {
			g.goneAt = now
			return true
		}
	}
	if l.checked(g.info.ID) && now >= lease.GrantorEnd(l.silentSince(g), lease.TTL+lease.GrantTTL) {
		g.goneAt = now
		return true
	}
	return false
}

// silentSince returns when the holder of a group was last heard of in this term.
func (l *leadership) silentSince(g *group) clock.Instant {
	r := l.routers[g.holder]
	if r == nil || r.lastSeen == 0 {
		return l.since
	}
	return r.lastSeen
}

func (l *leadership) checked(id topology.GroupID) bool {
	p := l.poolOf(id)
	return p != nil && p.GrantsChecked
}

// poolOf returns the configuration of a group's pool, nil if there is none.
func (l *leadership) poolOf(id topology.GroupID) *config.Pool {
	if l.s.cfg == nil {
		return nil
	}
	p, ok := l.s.cfg.Pool(id.Pool())
	if !ok {
		return nil
	}
	return p
}

// noteTable records which tables a router knows.
func (l *leadership) noteTable(now clock.Instant, r *router) {
	for _, g := range l.groups {
		if g.known != nil && !r.table.Less(g.fence) {
			g.known.Accept(r.member, now)
		}
	}
	for _, p := range l.pools {
		p.noteTable(now, r)
	}
}

// candidates are the routers that may be granted a group: live, staying, recorded in the current roster with this
// incarnation, and knowing the rosters that bind them.
//
// While the cell isn't settled, only pools whose targets check grants are granted, and those need no roster: every live
// router will do.
//
// A new leader has no configuration until it has read the head; it can't tell who is out before that.
func (l *leadership) candidates(now clock.Instant) []placement.Router {
	if l.s.cfg == nil {
		return nil
	}
	var out []placement.Router
	if !l.settled {
		for _, r := range l.newestRouters(now) {
			out = append(out, placement.Router{VM: r.member.VM, Domain: r.member.Domain, Out: l.routerOut(r.member)})
		}
		return out
	}
	for _, m := range l.s.record.Roster.Members {
		r, ok := l.routers[identityOf(m)]
		if !ok || !r.live(now) || r.leaving || r.rosterVersion < l.rosterBase || l.rosterBase == 0 {
			continue
		}
		out = append(out, placement.Router{VM: m.VM, Domain: m.Domain, Out: l.routerOut(m)})
	}
	return out
}

func (l *leadership) routerOut(m wire.Member) bool {
	return l.s.cfg.DomainOut(m.Domain) || slices.Contains(l.s.cfg.Out.VMs, m.VM)
}

func (l *leadership) groupLoads() []placement.GroupLoad {
	var out []placement.GroupLoad
	for _, id := range l.groupIDs() {
		g := l.groups[id]
		if len(g.info.Targets) == 0 || g.state == groupFree && l.blocked(id) {
			continue
		}
		p := l.poolOf(id)
		load := placement.GroupLoad{ID: id, Keyed: p != nil && p.Keyed, Gateway: g.holder.vm}
		load.Fixed = g.state == groupRevoking
		out = append(out, load)
	}
	return out
}

func (l *leadership) grantFree(now clock.Instant) {
	for _, m := range l.assignGroups(now) {
		l.grant(now, l.groups[m.Group], m.To)
	}
}

func (l *leadership) grant(now clock.Instant, g *group, vm string) {
	r := l.process(now, vm)
	if g.state != groupFree || r == nil {
		return
	}
	l.epochs++
	g.state = groupHeld
	g.holder = identityOf(r.member)
	g.epoch = topology.NewGroupEpoch(l.term, l.epochs)
	g.shown = topology.Version{}
	g.missingSince = 0
	g.clean = g.goneAt == 0 || now >= g.goneAt.Add(clock.WithDrift(l.longest(g.info.ID)))
	l.dirty = true
	l.s.o.Log.Emit(event.GroupGranted, "group", string(g.info.ID), "router", vm, "epoch", uint64(g.epoch))
}

// newestRouters returns the newest live process of each VM that stays, sorted by VM.
func (l *leadership) newestRouters(now clock.Instant) []*router {
	newest := map[string]*router{}
	for id, r := range l.routers {
		old, ok := newest[id.vm]
		if r.live(now) && !r.leaving && (!ok || old.firstSeen < r.firstSeen) {
			newest[id.vm] = r
		}
	}
	return slices.SortedFunc(maps.Values(newest), func(a, b *router) int { return cmp.Compare(a.member.VM, b.member.VM) })
}

// process returns the router process of a VM that may be granted groups; see candidates.
func (l *leadership) process(now clock.Instant, vm string) *router {
	if !l.settled {
		all := l.newestRouters(now)
		i := slices.IndexFunc(all, func(r *router) bool { return r.member.VM == vm })
		if i < 0 {
			return nil
		}
		return all[i]
	}
	for _, m := range l.s.record.Roster.Members {
		if m.VM == vm {
			return l.routers[identityOf(m)]
		}
	}
	return nil
}

// rebalance moves one group to a better router when nothing else is going on.
func (l *leadership) rebalance(now clock.Instant) {
	if now < l.nextMove {
		return
	}
	for _, g := range l.groups {
		if g.state != groupHeld && len(g.info.Targets) > 0 {
			return
		}
	}
	move, ok := l.rebalanceGroup(now)
	if !ok {
		return
	}
	l.nextMove = now.Add(groupMoveInterval)
	l.revoke(now, l.groups[move.Group], "better placement")
}
