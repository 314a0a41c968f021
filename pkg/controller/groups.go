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
	// groupMoveInterval is the minimum time between two planned moves of groups.
	groupMoveInterval = 2 * time.Second
	// unreportedTimeout is how long a holder that has the table with its grant may fail to report the group before
	// the group is revoked.
	unreportedTimeout = 600 * time.Millisecond
)

// groupState is the controller's state of a group.
type groupState int

const (
	// groupFree means that no router holds the group.
	groupFree groupState = iota
	// groupHeld means that the holder is published or about to be, or has reported the group after a change of term.
	groupHeld
	// groupRevoking means that the holder is no longer published, but may still act for the group.
	groupRevoking
)

// group is a target group.
//
// Invariant: holder may act for the group only in the states held and revoking. A group becomes free only when its
// holder reports the release or holderGone is true, and a free group has no holder in the cell.
type group struct {
	info   topology.Group
	state  groupState
	holder identity
	epoch  topology.Epoch
	// grantVersion is the first table that shows the grant; zero until it is published.
	grantVersion topology.Version
	// clean reports whether no request of an earlier holder was running at the time of the grant.
	clean bool
	// unreportedSince is when the holder first failed to report a group that it must know of; 0 while it reports the
	// group.
	unreportedSince clock.Instant
	// revocationVersion is the first table without the holder; zero until it is published. revocationAcks counts the
	// routers that have that table.
	revocationVersion topology.Version
	revocationAcks    *witness.Acceptance
	revokedAt         clock.Instant
	// holderGoneAt is when the last holder ended without a report. Its requests may still run for up to the longest
	// deadline.
	holderGoneAt clock.Instant
}

// adoptHeldGroups processes the groups that a router reports as held.
func (s *State) adoptHeldGroups(now clock.Instant, r *router, held []wire.HeldGroup) {
	l := s.lead
	r.held = make(map[topology.GroupID]wire.HeldGroup, len(held))
	for _, h := range held {
		// A router may report, besides its current hold, an older one that it has released.
		if old, ok := r.held[h.Group]; !ok || old.Epoch < h.Epoch {
			r.held[h.Group] = h
		}
		g, ok := l.groups[h.Group]
		if !ok && l.collected {
			// Not configured; the router gives up the group when it receives the table.
			continue
		}
		if !ok {
			g = &group{info: topology.Group{ID: h.Group}}
			l.groups[h.Group] = g
		}
		if h.State == wire.HoldReleased {
			l.onGroupReleased(now, g, r, h)
			continue
		}
		l.adoptHolder(g, r, h)
	}
}

// adoptHolder records a holder from before the term. Within the term, only this controller grants, and it raises the
// epoch with each grant, so an older report can't replace a newer grant.
func (l *leadership) adoptHolder(g *group, r *router, h wire.HeldGroup) {
	if l.collected && !l.blocked(h.Group) || h.Epoch <= g.epoch || h.Epoch >= topology.NewGroupEpoch(l.term, 0) {
		return
	}
	g.state = groupHeld
	g.holder = identityOf(r.member)
	g.epoch = h.Epoch
	l.tableChanged = true
}

// onGroupReleased frees a group when its holder reports that no requests are in flight.
func (l *leadership) onGroupReleased(now clock.Instant, g *group, r *router, h wire.HeldGroup) {
	if g.state == groupFree || g.holder != identityOf(r.member) || g.epoch != h.Epoch {
		return
	}
	if now >= l.requestsEndedAt(g) {
		l.releaseFormerOwners(g)
	}
	l.freeGroup(g)
}

// reportsActive reports whether a router still claims to act for a group under the current epoch.
func (r *router) reportsActive(g *group) bool {
	h, ok := r.held[g.info.ID]
	return ok && h.Epoch == g.epoch && h.State != wire.HoldReleased
}

// releaseFormerOwners records that the gateway of a group has no requests in flight, so that no former owner in the
// group executes requests. This holds for slices whose change is published, because the next gateway sees the change
// too.
func (l *leadership) releaseFormerOwners(g *group) {
	for _, p := range l.pools {
		for _, sl := range p.slices {
			if sl.publishedVersion != (topology.Version{}) {
				sl.releaseFormer(g)
			}
		}
	}
}

func (l *leadership) freeGroup(g *group) {
	g.state = groupFree
	g.holder = identity{}
	g.grantVersion, g.revocationVersion = topology.Version{}, topology.Version{}
	g.revocationAcks = nil
	g.unreportedSince = 0
	l.tableChanged = true
	l.s.options.Log.Emit(event.GroupFreed, "group", string(g.info.ID), "epoch", uint64(g.epoch))
}

// revokeGroup revokes a group from its holder: the next table no longer shows the holder.
func (l *leadership) revokeGroup(now clock.Instant, g *group, reason string) {
	if g.state != groupHeld {
		return
	}
	g.state = groupRevoking
	g.revokedAt = now
	g.revocationVersion = topology.Version{}
	g.revocationAcks = nil
	l.tableChanged = true
	l.s.options.Log.Emit(event.GroupRevoked, "group", string(g.info.ID), "router", g.holder.vm, "reason", reason)
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
				l.freeGroup(g)
			}
		case groupFree:
			if len(g.info.Targets) == 0 {
				delete(l.groups, id)
			}
		}
	}
	l.grantFreeGroups(now)
	l.tickGroupMove(now)
}

// groupIDs returns the group IDs in sorted order, so that decisions can be replayed.
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
		l.revokeGroup(now, g, "silent")
	case l.processRestarted(g.holder):
		l.revokeGroup(now, g, "restarted")
	case l.mustMoveAway(now, g, r):
		l.revokeGroup(now, g, "out of service")
	case r.leaving:
		l.revokeGroup(now, g, "leaving")
	case len(g.info.Targets) == 0:
		l.revokeGroup(now, g, "not configured")
	case l.groupUnreported(now, g, r):
		l.revokeGroup(now, g, "not reported")
	}
}

// mustMoveAway reports whether a group must move because operators have taken its gateway out of service. A group
// whose own failure domain is out too stays unless the gateway's VM itself is out: it gets no new work anyway, and
// its requests in flight end where they are. A group also stays while no router in service is eligible.
func (l *leadership) mustMoveAway(now clock.Instant, g *group, r *router) bool {
	if !l.outOfService(r.member) {
		return false
	}
	if l.s.cfg.DomainOut(g.info.ID.Domain()) && !slices.Contains(l.s.cfg.Out.VMs, r.member.VM) {
		return false
	}
	return slices.ContainsFunc(l.eligibleRouters(now), func(c placement.Router) bool { return !c.Out })
}

// processRestarted reports whether a newer process on the holder's VM has reported since the holder last did.
func (l *leadership) processRestarted(holder identity) bool {
	r := l.routers[holder]
	for id, other := range l.routers {
		if id.vm == holder.vm && id != holder && r != nil && other.firstSeen > r.lastSeen {
			return true
		}
	}
	return false
}

// groupUnreported reports whether a holder that knows of its grant has failed to report the group for
// unreportedTimeout. Such a holder has lost its authority meanwhile and doesn't take up the group again by itself.
func (l *leadership) groupUnreported(now clock.Instant, g *group, r *router) bool {
	reported := r.reportsActive(g)
	knows := g.grantVersion != topology.Version{} && !r.tableVersion.Less(g.grantVersion)
	if reported || !knows {
		g.unreportedSince = 0
		return false
	}
	if g.unreportedSince == 0 {
		g.unreportedSince = now
	}
	return now.Sub(g.unreportedSince) >= unreportedTimeout
}

// holderGone reports whether the holder of a group that is being revoked can no longer act for it:
//   - it has the table without itself and no longer reports the group, or
//   - its lease has ended, and so has any authority by the roster rule: at least half of each roster has known the
//     table for TTL, and doesn't confirm a router with an older table.
//
// Where half of a roster is lost, an operator's confirmation replaces the roster rule. For a pool whose targets check
// grants, it is enough that the holder's lease and grants have expired since it was last heard of, because the
// targets refuse the older group epoch.
func (l *leadership) holderGone(now clock.Instant, g *group) bool {
	if g.revocationVersion == (topology.Version{}) {
		return false
	}
	r := l.routers[g.holder]
	if r != nil && !r.tableVersion.Less(g.revocationVersion) && !r.reportsActive(g) {
		// The holder lost its authority earlier without a report, so its requests may still be running.
		g.holderGoneAt = now
		return true
	}
	if r != nil && now < r.leaseEnd {
		return false
	}
	known, ok := g.revocationAcks.HalfAcceptedAt()
	if ok && now >= lease.GrantorEnd(known, lease.TTL) {
		g.holderGoneAt = now
		return true
	}
	if r == nil || !r.live(now) {
		if now.Sub(g.revokedAt) > confirmationDelay {
			l.readConfirmation(now)
		}
		if !l.confirmation.Less(g.revocationVersion) {
			g.holderGoneAt = now
			return true
		}
	}
	if l.grantsChecked(g.info.ID) && now >= lease.GrantorEnd(l.holderLastSeen(g), lease.TTL+lease.GrantTTL) {
		g.holderGoneAt = now
		return true
	}
	return false
}

// holderLastSeen returns when the holder of a group was last heard of in this term, or the start of the term.
func (l *leadership) holderLastSeen(g *group) clock.Instant {
	r := l.routers[g.holder]
	if r == nil || r.lastSeen == 0 {
		return l.since
	}
	return r.lastSeen
}

func (l *leadership) grantsChecked(id topology.GroupID) bool {
	p := l.poolOf(id)
	return p != nil && p.GrantsChecked
}

// poolOf returns the configuration of a group's pool, or nil if the pool isn't configured.
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

// recordTable counts a router as having the table version that it reports.
func (l *leadership) recordTable(now clock.Instant, r *router) {
	for _, g := range l.groups {
		if g.revocationAcks != nil && !r.tableVersion.Less(g.revocationVersion) {
			g.revocationAcks.Accept(r.member, now)
		}
	}
	for _, p := range l.pools {
		p.recordTable(now, r)
	}
}

// eligibleRouters returns the routers that may be granted a group: live, not leaving, recorded in the current roster
// with this incarnation, and knowing the rosters that bind them.
//
// Until the cell is settled, only groups of pools whose targets check grants are granted. Those don't depend on the
// roster, so every live router is eligible.
//
// A new leader has no configuration until it has read the head row and can't tell which routers are out of service,
// so it returns none.
func (l *leadership) eligibleRouters(now clock.Instant) []placement.Router {
	if l.s.cfg == nil {
		return nil
	}
	var out []placement.Router
	if !l.settled {
		for _, r := range l.newestRouters(now) {
			out = append(out, placement.Router{VM: r.member.VM, Domain: r.member.Domain, Out: l.outOfService(r.member)})
		}
		return out
	}
	for _, m := range l.s.termRecord.Roster.Members {
		r, ok := l.routers[identityOf(m)]
		if !ok || !r.live(now) || r.leaving || r.rosterVersion < l.membersVersion || l.membersVersion == 0 {
			continue
		}
		out = append(out, placement.Router{VM: m.VM, Domain: m.Domain, Out: l.outOfService(m)})
	}
	return out
}

func (l *leadership) outOfService(m wire.Member) bool {
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

func (l *leadership) grantFreeGroups(now clock.Instant) {
	for _, m := range l.assignGroups(now) {
		l.grantGroup(now, l.groups[m.Group], m.To)
	}
}

func (l *leadership) grantGroup(now clock.Instant, g *group, vm string) {
	r := l.eligibleProcess(now, vm)
	if g.state != groupFree || r == nil {
		return
	}
	l.groupEpochs++
	g.state = groupHeld
	g.holder = identityOf(r.member)
	g.epoch = topology.NewGroupEpoch(l.term, l.groupEpochs)
	g.grantVersion = topology.Version{}
	g.unreportedSince = 0
	g.clean = g.holderGoneAt == 0 || now >= g.holderGoneAt.Add(clock.WithDrift(l.maxDeadline(g.info.ID)))
	l.tableChanged = true
	l.s.options.Log.Emit(event.GroupGranted, "group", string(g.info.ID), "router", vm, "epoch", uint64(g.epoch))
}

// newestRouters returns the newest live process of each VM that isn't leaving, sorted by VM.
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

// eligibleProcess returns the router process of a VM to which a group is granted, or nil; see eligibleRouters.
func (l *leadership) eligibleProcess(now clock.Instant, vm string) *router {
	if !l.settled {
		all := l.newestRouters(now)
		i := slices.IndexFunc(all, func(r *router) bool { return r.member.VM == vm })
		if i < 0 {
			return nil
		}
		return all[i]
	}
	for _, m := range l.s.termRecord.Roster.Members {
		if m.VM == vm {
			return l.routers[identityOf(m)]
		}
	}
	return nil
}

// tickGroupMove moves one group to a better router if every configured group is held.
func (l *leadership) tickGroupMove(now clock.Instant) {
	if now < l.nextGroupMove {
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
	l.nextGroupMove = now.Add(groupMoveInterval)
	l.revokeGroup(now, l.groups[move.Group], "better placement")
}
