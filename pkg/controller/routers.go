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
	// rosterInterval is the least time between two changes of the roster. It lets routers that start together enter
	// with one write.
	rosterInterval = 500 * time.Millisecond
	// rosterKeep is how long a silent router stays in the roster. A short outage must not shrink the roster, because
	// each router that returns then costs two writes.
	rosterKeep = 10 * time.Second
	// forgetAfter is how long a silent router without groups is remembered.
	forgetAfter = time.Minute
	// maxRouters bounds the routers of a cell.
	maxRouters = 16
)

// Heartbeat answers a router. The lease of the answer counts from before the router asked.
func (s *State) Heartbeat(now clock.Instant, hb *wire.Heartbeat) *wire.HeartbeatReply {
	l := s.lead
	if l == nil || s.stopping || hb.Cell != s.o.Cell || !l.checkAuthority(now) {
		return s.passive()
	}
	if hb.Term > l.term {
		s.depose(now)
		return s.passive()
	}
	r := l.routerOf(hb.Member)
	l.note(now, r, hb)
	if hb.Term == l.term {
		l.acceptance.Accept(hb.Member, now)
	}
	s.adoptHeld(now, r, hb.Held)
	l.onSliceReports(now, r, hb)
	l.onLoads(now, hb.Loads)
	return l.reply(now, r, hb)
}

// passive is the answer of a process that isn't the active controller.
func (s *State) passive() *wire.HeartbeatReply {
	reply := &wire.HeartbeatReply{Term: s.record.Term, StoreDown: s.storeDown}
	if !s.record.Released && s.record.Holder != s.o.VM {
		reply.Leader = s.record.Address
	}
	return reply
}

// note takes in what a heartbeat says about its router. Versions only grow, because a delayed heartbeat may arrive after
// a newer one.
func (l *leadership) note(now clock.Instant, r *router, hb *wire.Heartbeat) {
	if r.lastSeen == 0 {
		r.firstSeen = now
	}
	r.member = hb.Member
	r.lastSeen = now
	r.silent = false
	r.leaving = r.leaving || hb.Leaving
	r.configVersion = max(r.configVersion, hb.ConfigVersion)
	r.rosterVersion = max(r.rosterVersion, hb.RosterVersion)
	if r.table.Less(hb.TableVersion) {
		r.table = hb.TableVersion
	}
	r.targets = hb.Targets
	l.noteTable(now, r)
	l.s.wantConfig(now, r, hb.ConfigVersion)
}

func (l *leadership) reply(now clock.Instant, r *router, hb *wire.Heartbeat) *wire.HeartbeatReply {
	ttl := lease.Clamp(lease.TTL, now, l.s.authority(now)).Truncate(time.Millisecond)
	r.leaseEnd = max(r.leaseEnd, lease.GrantorEnd(now, ttl))
	reply := &wire.HeartbeatReply{
		Active:        true,
		Leader:        l.s.o.Address,
		Term:          l.term,
		LeaseMillis:   ttl.Milliseconds(),
		ConfigVersion: l.shownConfig(),
		StoreDown:     l.s.storeDown,
		OtherTables:   l.s.newerTables(hb.OtherTables),
	}
	if l.table != nil && hb.TableVersion.Less(l.table.Version) {
		reply.Table = l.table
	}
	if hb.RosterVersion != l.s.record.Roster.Version {
		roster := l.s.record.Roster
		reply.Roster = &roster
		reply.Previous = l.s.record.Previous
	}
	return reply
}

// newerTables returns the tables of other cells that are newer than the given versions.
func (s *State) newerTables(have map[string]topology.Version) []*topology.Table {
	var out []*topology.Table
	for cell, t := range s.others {
		if have[cell].Less(t.Version) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *topology.Table) int { return cmp.Compare(a.Cell, b.Cell) })
	return out
}

// tickRouters notices silent routers and forgets those that can't matter any more.
func (l *leadership) tickRouters(now clock.Instant) {
	for id, r := range l.routers {
		if r.lastSeen == 0 || r.live(now) {
			continue
		}
		if !r.silent {
			r.silent = true
			l.s.o.Log.Emit(event.RouterSilent, "router", id.vm)
		}
		if now.Sub(r.lastSeen) > forgetAfter && !l.mayHold(id) && !l.inRosters(id) {
			delete(l.routers, id)
		}
	}
}

// mayHold tells whether a router may act for a group.
func (l *leadership) mayHold(id identity) bool {
	for _, g := range l.groups {
		if g.state != groupFree && g.holder == id {
			return true
		}
	}
	return false
}

func (l *leadership) inRosters(id identity) bool {
	for _, m := range witness.NewAcceptance(l.s.record.Roster, l.s.record.Previous).Members() {
		if identityOf(m) == id {
			return true
		}
	}
	return false
}

// tickRoster changes the recorded roster in two steps, each a write of the term row: first the new roster with the
// previous one, then, once every possible holder has confirmed it, the new one alone. Between the steps every decision
// needs both rosters, so that a controller that stops at any point leaves a row that binds its successor to every roster
// that a holder may be using.
func (l *leadership) tickRoster(now clock.Instant) {
	if now < l.nextRoster || !l.s.term.idle() || !l.settled {
		return
	}
	record := l.s.record
	if record.Previous != nil {
		if !l.rosterConfirmed() {
			return
		}
		record.Previous = nil
		// A new version with the same members tells the routers that the previous roster is over.
		record.Roster.Version++
		l.writeRoster(now, record)
		return
	}
	members := l.desiredMembers(now)
	if sameMembers(members, record.Roster.Members) {
		return
	}
	if len(record.Roster.Members) == 0 && !l.reported(now) {
		return
	}
	old := record.Roster
	if len(old.Members) > 0 {
		record.Previous = &old
	}
	record.Roster = wire.Roster{Version: old.Version + 1, Members: members}
	l.writeRoster(now, record)
}

// reported tells whether the first routers have had time to report, so that the first roster doesn't hold only one.
func (l *leadership) reported(now clock.Instant) bool {
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
	// Until the outcome is known, the controller itself is bound by both rosters: either may be the recorded one.
	previous := l.s.record.Previous
	if previous == nil {
		old := l.s.record.Roster
		previous = &old
	}
	l.rule.SetRosters(record.Roster, previous)
	l.s.term.put(l.s, now, encode(record))
}

// onRosterWritten puts the recorded rosters into force.
func (s *State) onRosterWritten(now clock.Instant) {
	l := s.lead
	l.rule.SetRosters(s.record.Roster, s.record.Previous)
	if s.record.Roster.Version == l.rosterVersion {
		return
	}
	l.rosterVersion = s.record.Roster.Version
	if s.record.Previous != nil || l.rosterBase == 0 {
		l.rosterBase = s.record.Roster.Version
	}
	s.o.Log.Emit(event.RosterChanged, "version", l.rosterVersion, "members", len(s.record.Roster.Members),
		"previous", s.record.Previous != nil)
	l.recount(now)
}

// recount starts the counts of who knows what afresh under the changed rosters. What routers have reported is counted at
// once.
func (l *leadership) recount(now clock.Instant) {
	for _, g := range l.groups {
		if g.known != nil {
			g.known = witness.NewAcceptance(l.s.record.Roster, l.s.record.Previous)
		}
	}
	for _, p := range l.pools {
		p.recount(l.s.record)
	}
	for _, r := range l.routers {
		l.noteTable(now, r)
	}
}

// rosterConfirmed tells whether every router that may hold a group has confirmed the current roster.
func (l *leadership) rosterConfirmed() bool {
	for _, g := range l.groups {
		if g.state == groupFree {
			continue
		}
		r := l.routers[g.holder]
		if r == nil || r.rosterVersion < l.rosterBase {
			return false
		}
	}
	return true
}

// desiredMembers are the live routers, the silent ones that may come back or may hold a group, one process per VM.
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
	// A member that has not been heard of in this term stays while the term is young.
	for _, m := range l.s.record.Roster.Members {
		if _, ok := newest[m.VM]; !ok && now.Sub(l.since) < rosterKeep {
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
	return now.Sub(r.lastSeen) < rosterKeep
}

func sameMembers(a, b []wire.Member) bool {
	return slices.Equal(a, b)
}

func sortMembers(members []wire.MemberStatus) {
	slices.SortFunc(members, func(a, b wire.MemberStatus) int {
		return cmp.Or(cmp.Compare(a.Member.VM, b.Member.VM), cmp.Compare(a.Member.Incarnation, b.Member.Incarnation))
	})
}
