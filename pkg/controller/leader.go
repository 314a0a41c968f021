package controller

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
	"github.com/bronzelever/bronzelever/pkg/witness"
)

const (
	// announceInterval is the pause before a member that hasn't accepted the term is asked again.
	announceInterval = 250 * time.Millisecond
	witnessInterval  = witness.Interval
	// witnessLead is how long before the end of the store's authority the members are asked. Two rounds fit in.
	witnessLead = 3 * witnessInterval
)

// identity is a router process.
type identity struct {
	vm          string
	incarnation wire.Incarnation
}

func identityOf(m wire.Member) identity {
	return identity{vm: m.VM, incarnation: m.Incarnation}
}

// router is a router process as seen by the controller.
type router struct {
	member wire.Member
	// firstSeen and lastSeen are the times of heartbeats; lastSeen is 0 before the first one.
	firstSeen, lastSeen clock.Instant
	silent              bool
	leaving             bool
	configVersion       uint64
	rosterVersion       uint64
	table               topology.Version
	// leaseEnd is the instant from which on the router has no lease of this term.
	leaseEnd clock.Instant
	held     map[topology.GroupID]wire.Held
	targets  []wire.TargetReport
	// reports are the slice reports of the newest heartbeat, made with table reportTable.
	reports     []wire.SliceReport
	reportTable topology.Version
}

func (r *router) live(now clock.Instant) bool {
	return r.lastSeen != 0 && now.Sub(r.lastSeen) < silentAfter
}

// leadership is the state of the active controller during one term.
type leadership struct {
	s     *State
	term  uint64
	since clock.Instant
	// storeUntil is the end of the authority by the last renewal.
	storeUntil clock.Instant
	// lapsed tells that authority has ended. It may come back, because nobody else can have taken the term if the store
	// or the roster says so later.
	lapsed bool
	rule   *witness.Rule
	// acceptance counts who has accepted the term.
	acceptance *witness.Acceptance
	// routerTables are the tables of former terms that routers had, by member; nil values mean "has none".
	routerTables map[identity]*topology.Table
	// collected tells that no unreported group or slice can have a holder. Nothing is published before.
	collected bool

	routers map[identity]*router
	groups  map[topology.GroupID]*group
	pools   map[string]*pool
	// epochs counts the group epochs of the term.
	epochs uint64

	table    *topology.Table
	sequence uint64
	dirty    bool

	// rosterBase is the version since which the current members are recorded.
	rosterBase uint64
	// rosterVersion is the version in force.
	rosterVersion uint64
	nextRoster    clock.Instant

	nextRenew, nextAnnounce, nextWitness, nextMove clock.Instant
}

func (s *State) newLeadership(now clock.Instant) *leadership {
	l := &leadership{
		s:            s,
		term:         s.record.Term,
		since:        now,
		rule:         witness.NewRule(wire.Member{}),
		acceptance:   witness.NewAcceptance(s.record.Roster, s.record.Previous),
		routerTables: map[identity]*topology.Table{},
		routers:      map[identity]*router{},
		groups:       map[topology.GroupID]*group{},
		pools:        map[string]*pool{},
		rosterBase:   s.record.Roster.Version,
		nextRenew:    now.Add(renewInterval),
	}
	l.rule.SetRosters(s.record.Roster, s.record.Previous)
	s.nextHead = now
	if s.cfg != nil {
		l.configure()
	}
	return l
}

func (l *leadership) routerOf(m wire.Member) *router {
	r, ok := l.routers[identityOf(m)]
	if !ok {
		r = &router{member: m, held: map[topology.GroupID]wire.Held{}}
		l.routers[identityOf(m)] = r
	}
	return r
}

// tickLeader does what is due. Store reads and renewals go on after the authority has ended, because they may bring it
// back; everything else needs authority.
func (s *State) tickLeader(now clock.Instant) {
	l := s.lead
	if s.stopping {
		s.release(now)
		return
	}
	s.renew(now)
	s.readHead(now)
	s.askWitnesses(now)
	if !l.checkAuthority(now) {
		return
	}
	s.announce(now)
	s.fetchOthers(now)
	if l.configCurrent() {
		l.tickPools(now)
	}
	if !l.collect(now) {
		return
	}
	l.tickRouters(now)
	l.tickRoster(now)
	l.tickGroups(now)
	l.publish(now)
}

func (l *leadership) checkAuthority(now clock.Instant) bool {
	valid := now < l.s.authority(now)
	if valid == l.lapsed {
		l.lapsed = !valid
		if l.lapsed {
			l.s.o.Log.Emit(event.AuthorityLapsed, "term", l.term)
		} else {
			l.s.o.Log.Emit(event.AuthorityRegained, "term", l.term)
		}
	}
	return valid
}

// position is what a member of the roster must not exceed to confirm this controller.
func (s *State) position() witness.Position {
	p := witness.Position{Term: s.lead.term, Config: s.configVersion()}
	if s.lead.table != nil {
		p.Table = s.lead.table.Version
	} else {
		p.Table = topology.Version{Term: s.lead.term}
	}
	return p
}

// collect tells whether the cell's state is known: at least half of each roster has accepted the term, and either every
// member has, or the leases of those that haven't are over. It also needs the configuration, the slices as claimed from
// the store, and the tables that the accepting routers had, because those show successors promoted during an outage.
//
// Crash points: a controller that stops before this point has changed nothing but the term and the rows' terms.
func (l *leadership) collect(now clock.Instant) bool {
	if l.collected {
		return true
	}
	if !l.configCurrent() || !l.poolsReady() {
		return false
	}
	half, ok := l.acceptance.Half()
	if !ok || l.anyTableMissing() {
		return false
	}
	if !l.acceptance.All() && now < lease.GrantorEnd(half, lease.TTL) {
		return false
	}
	l.adoptPromotions()
	for _, p := range l.pools {
		p.renewHidden()
	}
	fresh := len(l.acceptance.Members()) == 0
	for _, g := range l.groups {
		if g.state == groupFree && !fresh {
			g.goneAt = now
		}
	}
	l.collected = true
	l.dirty = true
	l.s.o.Log.Emit(event.CellCollected, "term", l.term, "routers", len(l.routers))
	return true
}

// tableMissing tells whether a member that has accepted the term still has to send its table.
func (l *leadership) tableMissing(m wire.Member) bool {
	_, ok := l.routerTables[identityOf(m)]
	return !ok && !l.collected
}

// anyTableMissing tells whether the tables of at least half of each roster aren't known yet.
func (l *leadership) anyTableMissing() bool {
	known := witness.NewAcceptance(l.s.record.Roster, l.s.record.Previous)
	for _, m := range known.Members() {
		if !l.tableMissing(m) {
			known.Accept(m, 0)
		}
	}
	_, ok := known.Half()
	return !ok
}

func (l *leadership) onRouterTable(m wire.Member, table *topology.Table) {
	l.routerTables[identityOf(m)] = table
}
