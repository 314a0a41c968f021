package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
	"github.com/bronzelever/bronzelever/pkg/witness"
)

const (
	// rosterInterval is the minimum time between two changes of the roster. It lets routers that start together be
	// added with one write.
	rosterInterval = 500 * time.Millisecond
	// rosterRetention is how long a silent router stays in the roster. A short outage must not shrink the roster,
	// because each returning router would cost two writes.
	rosterRetention = 10 * time.Second
	// routerRetention is how long the state of a silent router without groups is kept.
	routerRetention = time.Minute
	// maxRouters bounds the number of routers in a roster.
	maxRouters = 16
)

// Heartbeat processes a router's heartbeat and returns the reply. The router counts the lease in the reply from
// before it sent the heartbeat.
func (s *State) Heartbeat(now clock.Instant, hb *wire.Heartbeat) *wire.HeartbeatReply {
	l := s.lead
	if l == nil || s.stopping || hb.Cell != s.options.Cell || !l.checkAuthority(now) {
		return s.inactiveReply()
	}
	if hb.Term > l.term {
		s.stepDown(now)
		return s.inactiveReply()
	}
	r := l.ensureRouter(hb.Member)
	l.recordHeartbeat(now, r, hb)
	if hb.Term == l.term {
		l.acceptance.Accept(hb.Member, now)
	}
	s.adoptHeldGroups(now, r, hb.Held)
	l.onSliceReports(now, r, hb)
	l.onLoads(now, hb.Loads)
	return l.heartbeatReply(now, r, hb)
}

// inactiveReply returns the reply of a process that isn't the active controller.
func (s *State) inactiveReply() *wire.HeartbeatReply {
	reply := &wire.HeartbeatReply{Term: s.termRecord.Term, StoreDown: s.storeDown}
	if !s.termRecord.Released && s.termRecord.Holder != s.options.VM {
		reply.Leader = s.termRecord.Address
	}
	return reply
}

// recordHeartbeat updates the state of a router from its heartbeat. Versions only increase, because a delayed
// heartbeat may arrive after a newer one.
func (l *leadership) recordHeartbeat(now clock.Instant, r *router, hb *wire.Heartbeat) {
	if r.lastSeen == 0 {
		r.firstSeen = now
	}
	r.member = hb.Member
	r.lastSeen = now
	r.silent = false
	r.leaving = r.leaving || hb.Leaving
	r.configVersion = max(r.configVersion, hb.ConfigVersion)
	r.rosterVersion = max(r.rosterVersion, hb.RosterVersion)
	if r.tableVersion.Less(hb.TableVersion) {
		r.tableVersion = hb.TableVersion
	}
	r.targets = hb.Targets
	l.recordTable(now, r)
	l.s.fetchRouterConfig(now, r, hb.ConfigVersion)
}

func (l *leadership) heartbeatReply(now clock.Instant, r *router, hb *wire.Heartbeat) *wire.HeartbeatReply {
	ttl := lease.Clamp(lease.TTL, now, l.s.authority(now)).Truncate(time.Millisecond)
	r.leaseEnd = max(r.leaseEnd, lease.GrantorEnd(now, ttl))
	reply := &wire.HeartbeatReply{
		Active:        true,
		Leader:        l.s.options.Address,
		Term:          l.term,
		LeaseMillis:   ttl.Milliseconds(),
		ConfigVersion: l.advertisedConfig(),
		StoreDown:     l.s.storeDown,
		OtherTables:   l.s.newerTables(hb.OtherTables),
	}
	if l.table != nil && hb.TableVersion.Less(l.table.Version) {
		reply.Table = l.table
	}
	if hb.RosterVersion != l.s.termRecord.Roster.Version {
		roster := l.s.termRecord.Roster
		reply.Roster = &roster
		reply.Previous = l.s.termRecord.Previous
	}
	return reply
}

// newerTables returns the tables of other cells that are newer than the given versions, sorted by cell.
func (s *State) newerTables(have map[string]topology.Version) []*topology.Table {
	var out []*topology.Table
	for cell, t := range s.otherTables {
		if have[cell].Less(t.Version) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *topology.Table) int { return cmp.Compare(a.Cell, b.Cell) })
	return out
}

// expireRouters marks silent routers and removes those that no longer matter.
func (l *leadership) expireRouters(now clock.Instant) {
	for id, r := range l.routers {
		if r.lastSeen == 0 || r.live(now) {
			continue
		}
		if !r.silent {
			r.silent = true
			l.s.options.Log.Emit(event.RouterSilent, "router", id.vm)
		}
		if now.Sub(r.lastSeen) > routerRetention && !l.mayHold(id) && !l.inRosters(id) {
			delete(l.routers, id)
		}
	}
}

// mayHold reports whether a router may act for a group.
func (l *leadership) mayHold(id identity) bool {
	for _, g := range l.groups {
		if g.state != groupFree && g.holder == id {
			return true
		}
	}
	return false
}

func (l *leadership) inRosters(id identity) bool {
	for _, m := range witness.NewAcceptance(l.s.termRecord.Roster, l.s.termRecord.Previous).Members() {
		if identityOf(m) == id {
			return true
		}
	}
	return false
}

// tickRoster changes the recorded roster in two steps, each a write of the term row: first the new roster together
// with the previous one, then, once every possible holder has confirmed it, the new one alone. Between the steps,
// every decision needs both rosters. A controller that stops at any point therefore leaves a row that binds its
// successor to every roster that a holder may be using.
func (l *leadership) tickRoster(now clock.Instant) {
	if now < l.nextRoster || !l.s.termRow.idle() || !l.settled {
		return
	}
	record := l.s.termRecord
	if record.Previous != nil {
		if !l.rosterConfirmed() {
			return
		}
		record.Previous = nil
		// A new version with the same members tells the routers that the previous roster no longer applies.
		record.Roster.Version++
		l.writeRoster(now, record)
		return
	}
	members := l.desiredMembers(now)
	if sameMembers(members, record.Roster.Members) {
		return
	}
	if len(record.Roster.Members) == 0 && !l.firstRoutersReported(now) {
		return
	}
	old := record.Roster
	if len(old.Members) > 0 {
		record.Previous = &old
	}
	record.Roster = wire.Roster{Version: old.Version + 1, Members: members}
	l.writeRoster(now, record)
}

// firstRoutersReported reports whether the first routers have had time to report, so that the first roster doesn't
// contain only one.
func (l *leadership) firstRoutersReported(now clock.Instant) bool {
	for _, r := range l.routers {
		if r.lastSeen != 0 && now.Sub(r.firstSeen) >= rosterInterval {
			return true
		}
	}
	return false
}

func (l *leadership) writeRoster(now clock.Instant, record TermRecord) {
	l.nextRoster = now.Add(rosterInterval)
	l.nextRenew = now.Add(renewInterval)
	// Until the outcome is known, either roster may be the recorded one, so the controller itself is bound by both.
	previous := l.s.termRecord.Previous
	if previous == nil {
		old := l.s.termRecord.Roster
		previous = &old
	}
	l.rule.SetRosters(record.Roster, previous)
	l.s.termRow.put(l.s, now, mustMarshal(record))
}

// onRosterWritten puts the recorded rosters into force.
func (s *State) onRosterWritten(now clock.Instant) {
	l := s.lead
	l.rule.SetRosters(s.termRecord.Roster, s.termRecord.Previous)
	if s.termRecord.Roster.Version == l.rosterVersion {
		return
	}
	l.rosterVersion = s.termRecord.Roster.Version
	if s.termRecord.Previous != nil || l.membersVersion == 0 {
		l.membersVersion = s.termRecord.Roster.Version
	}
	s.options.Log.Emit(event.RosterChanged, "version", l.rosterVersion, "members", len(s.termRecord.Roster.Members),
		"previous", s.termRecord.Previous != nil)
	l.resetAcceptances(now)
}

// resetAcceptances restarts the acknowledgment counts under the changed rosters, then counts the table versions that
// routers have already reported.
func (l *leadership) resetAcceptances(now clock.Instant) {
	for _, g := range l.groups {
		if g.revocationAcks != nil {
			g.revocationAcks = witness.NewAcceptance(l.s.termRecord.Roster, l.s.termRecord.Previous)
		}
	}
	for _, p := range l.pools {
		p.resetAcceptances(l.s.termRecord)
	}
	for _, r := range l.routers {
		l.recordTable(now, r)
	}
}

// rosterConfirmed reports whether every router that may hold a group has confirmed the current roster.
func (l *leadership) rosterConfirmed() bool {
	for _, g := range l.groups {
		if g.state == groupFree {
			continue
		}
		r := l.routers[g.holder]
		if r == nil || r.rosterVersion < l.membersVersion {
			return false
		}
	}
	return true
}

// desiredMembers returns the members of the next roster: the live routers and the silent ones that may return or may
// hold a group, with one process per VM.
func (l *leadership) desiredMembers(now clock.Instant) []wire.Member {
	newest := map[string]*router{}
	for id, r := range l.routers {
		if !l.keepMember(now, id, r) {
			continue
		}
		if other, ok := newest[id.vm]; !ok || other.firstSeen < r.firstSeen {
			newest[id.vm] = r
		}
	}
	// A member that hasn't reported in this term stays until rosterRetention after the start of the term.
	for _, m := range l.s.termRecord.Roster.Members {
		if _, ok := newest[m.VM]; !ok && now.Sub(l.since) < rosterRetention {
			newest[m.VM] = &router{member: m}
		}
	}
	members := make([]wire.Member, 0, len(newest))
	for _, r := range newest {
		members = append(members, r.member)
	}
	slices.SortFunc(members, func(a, b wire.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members[:min(len(members), maxRouters)]
}

func (l *leadership) keepMember(now clock.Instant, id identity, r *router) bool {
	if l.mayHold(id) {
		return true
	}
	if r.lastSeen == 0 {
		return false
	}
	if r.leaving {
		return r.live(now)
	}
	return now.Sub(r.lastSeen) < rosterRetention
}

func sameMembers(a, b []wire.Member) bool {
	return slices.Equal(a, b)
}

func sortMembers(members []wire.MemberStatus) {
	slices.SortFunc(members, func(a, b wire.MemberStatus) int {
		return cmp.Or(cmp.Compare(a.Member.VM, b.Member.VM), cmp.Compare(a.Member.Incarnation, b.Member.Incarnation))
	})
}
