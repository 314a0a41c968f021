package controller

import (
	"encoding/json"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
	"github.com/bronzelever/bronzelever/pkg/witness"
)

const (
	// announceInterval is the delay before the term is announced again to a member that hasn't accepted it.
	announceInterval = 250 * time.Millisecond
	// settledAnnounceInterval replaces announceInterval once the cell is settled, when nothing depends on the
	// acceptance.
	settledAnnounceInterval = 2 * time.Second
	witnessInterval         = witness.Interval
	// confirmationDelay is how long a controller that half of the rosters hasn't accepted waits before it looks for
	// an operator's confirmation. Routers that only needed time to find the controller have accepted long before.
	confirmationDelay = 5 * time.Second
	// witnessLeadTime is how long before the end of the store's authority the members are queried. It leaves time for
	// two rounds.
	witnessLeadTime = 3 * witnessInterval
)

// identity identifies a router process.
type identity struct {
	vm          string
	incarnation wire.Incarnation
}

func identityOf(m wire.Member) identity {
	return identity{vm: m.VM, incarnation: m.Incarnation}
}

// router is the controller's state of a router process.
type router struct {
	member wire.Member
	// firstSeen and lastSeen are the times of the first and the last heartbeat or accepted announcement; lastSeen is
	// 0 before the first one.
	firstSeen, lastSeen clock.Instant
	silent              bool
	leaving             bool
	configVersion       uint64
	rosterVersion       uint64
	tableVersion        topology.Version
	// leaseEnd is the instant from which the router has no lease of this term.
	leaseEnd clock.Instant
	held     map[topology.GroupID]wire.HeldGroup
	targets  []wire.TargetReport
	// reports are the slice reports of the newest heartbeat, made with table reportTableVersion.
	reports            []wire.SliceReport
	reportTableVersion topology.Version
}

func (r *router) live(now clock.Instant) bool {
	return r.lastSeen != 0 && now.Sub(r.lastSeen) < silentAfter
}

// leadership is the state of the active controller during one term.
type leadership struct {
	s     *State
	term  uint64
	since clock.Instant
	// storeUntil is the end of the authority granted by the last renewal in the store.
	storeUntil clock.Instant
	// authorityExpired reports whether authority has ended. Authority may return: if the store or the roster confirms
	// it later, no other controller can have taken the term.
	authorityExpired bool
	rule             *witness.Rule
	// acceptance counts the members that have accepted the term.
	acceptance *witness.Acceptance
	// routerTables are the tables of former terms that routers had, by process; a nil value means that the router had
	// none.
	routerTables map[identity]*topology.Table
	// collected reports whether the cell's state is known as far as possible. Nothing is published before.
	collected bool
	// settled reports whether no unreported group can have a holder. Between collected and settled, unreported groups
	// of pools whose targets don't check grants stay blocked.
	settled bool
	// confirmation is the table version as of which an operator has confirmed that no silent router process runs.
	confirmation topology.Version
	confirmRow   row
	nextConfirm  clock.Instant

	routers map[identity]*router
	groups  map[topology.GroupID]*group
	pools   map[string]*pool
	// groupEpochs counts the group epochs issued in the term.
	groupEpochs uint64

	table        *topology.Table
	sequence     uint64
	tableChanged bool

	// membersVersion is the first roster version that contains the current members.
	membersVersion uint64
	// rosterVersion is the roster version in force.
	rosterVersion uint64
	nextRoster    clock.Instant

	nextRenew, nextAnnounce, nextWitness, nextGroupMove clock.Instant
}

func (s *State) newLeadership(now clock.Instant) *leadership {
	l := &leadership{
		s:              s,
		term:           s.termRecord.Term,
		since:          now,
		rule:           witness.NewRule(wire.Member{}),
		acceptance:     witness.NewAcceptance(s.termRecord.Roster, s.termRecord.Previous),
		routerTables:   map[identity]*topology.Table{},
		routers:        map[identity]*router{},
		groups:         map[topology.GroupID]*group{},
		pools:          map[string]*pool{},
		membersVersion: s.termRecord.Roster.Version,
		nextRenew:      now.Add(renewInterval),
		confirmRow:     row{key: ConfirmationKey(s.options.Cell)},
		nextConfirm:    now.Add(confirmationDelay),
	}
	l.rule.SetRosters(s.termRecord.Roster, s.termRecord.Previous)
	s.nextHead = now
	if s.cfg != nil {
		l.applyConfig()
	}
	return l
}

func (l *leadership) ensureRouter(m wire.Member) *router {
	r, ok := l.routers[identityOf(m)]
	if !ok {
		r = &router{member: m, held: map[topology.GroupID]wire.HeldGroup{}}
		l.routers[identityOf(m)] = r
	}
	return r
}

// tickLeader runs the periodic work of the active controller. Store reads and renewals continue after the authority
// has ended, because they may restore it; everything else requires authority.
func (s *State) tickLeader(now clock.Instant) {
	l := s.lead
	if s.stopping {
		s.releaseTerm(now)
		return
	}
	s.renew(now)
	s.readHead(now)
	s.queryWitnesses(now)
	if !l.checkAuthority(now) {
		return
	}
	s.announce(now)
	s.fetchOtherTables(now)
	if l.configCurrent() {
		l.tickPools(now)
	}
	if !l.tryCollect(now) {
		return
	}
	l.expireRouters(now)
	l.tickRoster(now)
	l.tickGroups(now)
	l.publish(now)
}

func (l *leadership) checkAuthority(now clock.Instant) bool {
	valid := now < l.s.authority(now)
	if valid == l.authorityExpired {
		l.authorityExpired = !valid
		if l.authorityExpired {
			l.s.options.Log.Emit(event.AuthorityExpired, "term", l.term)
		} else {
			l.s.options.Log.Emit(event.AuthorityRegained, "term", l.term)
		}
	}
	return valid
}

// position returns the newest term, table and configuration that a roster member may know and still confirm this
// controller.
func (s *State) position() witness.Position {
	p := witness.Position{Term: s.lead.term, Config: s.configVersion()}
	if s.lead.table != nil {
		p.Table = s.lead.table.Version
	} else {
		p.Table = topology.Version{Term: s.lead.term}
	}
	return p
}

// tryCollect sets collected once the cell's state is known, and reports whether it is; see trySettle. This also
// requires the current configuration and the slices as claimed from the store.
//
// If half of the rosters can't be reached because more routers than tolerated were lost together, the pools whose
// targets check grants still recover once the leases have ended: their targets refuse the older group epoch.
//
// Crash points: a controller that stops before this point has changed nothing but the term and the terms of the pool
// rows.
func (l *leadership) tryCollect(now clock.Instant) bool {
	if !l.configCurrent() || !l.allPoolsClaimed() {
		return l.collected
	}
	l.trySettle(now)
	if l.collected {
		return true
	}
	if !l.settled && now < lease.GrantorEnd(l.since, confirmationDelay) {
		return false
	}
	l.adoptPromotions()
	for _, p := range l.pools {
		p.renewHiddenEpochs(!l.settled)
	}
	fresh := len(l.acceptance.Members()) == 0
	for _, g := range l.groups {
		if g.state == groupFree && !fresh {
			g.holderGoneAt = now
		}
	}
	l.collected = true
	l.tableChanged = true
	l.s.options.Log.Emit(event.CellCollected, "term", l.term, "routers", len(l.routers), "settled", l.settled)
	return true
}

// trySettle sets settled once no unreported group can have a holder: at least half of each roster has accepted the
// term, and either every member has, or the leases of the others have ended. The tables of the accepting routers are
// needed too, because they show successors promoted during a store outage. Alternatively, an operator confirms that
// no router process from before the term runs any more.
func (l *leadership) trySettle(now clock.Instant) {
	if l.settled {
		return
	}
	half, ok := l.acceptance.HalfAcceptedAt()
	accepted := ok && !l.anyTableMissing() && (l.acceptance.All() || now >= lease.GrantorEnd(half, lease.TTL))
	if !accepted && l.confirmation.Term != l.term {
		l.readConfirmation(now)
		return
	}
	l.settled = true
	if !l.collected {
		return
	}
	// Routers that have reported meanwhile were adopted as holders; the other groups can't have a holder.
	for _, g := range l.groups {
		if g.state == groupFree {
			g.holderGoneAt = now
		}
	}
	l.s.options.Log.Emit(event.CellCollected, "term", l.term, "routers", len(l.routers), "settled", true)
}

// blocked reports whether a free group may still have an unknown holder.
func (l *leadership) blocked(id topology.GroupID) bool {
	return !l.settled && !l.grantsChecked(id)
}

// readConfirmation reads the operator's confirmation, at most once per renewInterval.
func (l *leadership) readConfirmation(now clock.Instant) {
	if now < l.nextConfirm {
		return
	}
	l.nextConfirm = now.Add(renewInterval)
	l.confirmRow.read(l.s, now)
}

func (s *State) onConfirmationRead(res RowRead) {
	if s.lead == nil {
		return
	}
	s.lead.confirmRow.reading = false
	if res.Err != nil {
		return
	}
	var c Confirmation
	if err := json.Unmarshal(res.Row.Value, &c); err != nil {
		s.options.Log.Emit(event.RecordInvalid, "key", res.Key, "error", err.Error())
		return
	}
	if c.Term == s.lead.term {
		s.lead.confirmation = topology.Version{Term: c.Term, Sequence: c.Sequence}
	}
}

// tableMissing reports whether the table of a member is still needed and not known.
func (l *leadership) tableMissing(m wire.Member) bool {
	_, ok := l.routerTables[identityOf(m)]
	return !ok && !l.collected
}

// anyTableMissing reports whether the known tables don't cover at least half of each roster yet.
func (l *leadership) anyTableMissing() bool {
	known := witness.NewAcceptance(l.s.termRecord.Roster, l.s.termRecord.Previous)
	for _, m := range known.Members() {
		if !l.tableMissing(m) {
			known.Accept(m, 0)
		}
	}
	_, ok := known.HalfAcceptedAt()
	return !ok
}

func (l *leadership) onRouterTable(m wire.Member, table *topology.Table) {
	l.routerTables[identityOf(m)] = table
}
