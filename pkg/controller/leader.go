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
	// announceInterval is the pause before a member that hasn't accepted the term is asked again.
	announceInterval = 250 * time.Millisecond
	// settledAnnounce is the same once nothing depends on it any more.
	settledAnnounce = 2 * time.Second
	witnessInterval = witness.Interval
	// confirmAfter is when a controller that is still not accepted by half of the rosters begins to look for an operator's
	// confirmation. Routers that only had to find it have accepted long before.
	confirmAfter = 5 * time.Second
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
	held     map[topology.GroupID]wire.HeldGroup
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
	// collected tells that the cell's state is known as far as possible. Nothing is published before.
	collected bool
	// settled tells that no unreported group can have a holder. Between collected and settled, unreported groups of pools
	// whose targets don't check grants stay blocked.
	settled bool
	// confirmation is the table as of which an operator has confirmed that no silent router process runs.
	confirmation topology.Version
	confirm      row
	nextConfirm  clock.Instant

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
		confirm:      row{key: ConfirmKey(s.o.Cell)},
		nextConfirm:  now.Add(confirmAfter),
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
		r = &router{member: m, held: map[topology.GroupID]wire.HeldGroup{}}
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
			l.s.o.Log.Emit(event.AuthorityExpired, "term", l.term)
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

// collect tells whether the cell's state is known; see settle. It also needs the configuration and the slices as claimed
// from the store.
//
// Where half of the rosters can't be reached, because more routers than tolerated were lost together, the pools whose
// targets check grants recover nevertheless once the leases have ended: the targets refuse the older group epoch.
//
// Crash points: a controller that stops before this point has changed nothing but the term and the rows' terms.
func (l *leadership) collect(now clock.Instant) bool {
	if !l.configCurrent() || !l.poolsReady() {
		return l.collected
	}
	l.settle(now)
	if l.collected {
		return true
	}
	if !l.settled && now < lease.GrantorEnd(l.since, confirmAfter) {
		return false
	}
	l.adoptPromotions()
	for _, p := range l.pools {
		p.renewHidden(!l.settled)
	}
	fresh := len(l.acceptance.Members()) == 0
	for _, g := range l.groups {
		if g.state == groupFree && !fresh {
			g.goneAt = now
		}
	}
	l.collected = true
	l.dirty = true
	l.s.o.Log.Emit(event.CellCollected, "term", l.term, "routers", len(l.routers), "settled", l.settled)
	return true
}

// settle tells whether no unreported group can have a holder: at least half of each roster has accepted the term, and
// either every member has, or the leases of those that haven't are over. The tables of the accepting routers are needed
// too, because they show successors promoted during an outage. Instead, an operator may confirm that no router from
// before the term runs any more.
func (l *leadership) settle(now clock.Instant) {
	if l.settled {
		return
	}
	half, ok := l.acceptance.Half()
	accepted := ok && !l.anyTableMissing() && (l.acceptance.All() || now >= lease.GrantorEnd(half, lease.TTL))
	if !accepted && l.confirmation.Term != l.term {
		l.readConfirmation(now)
		return
	}
	l.settled = true
	if !l.collected {
		return
	}
	// Routers that have reported since were adopted; the other groups can have no holder.
	for _, g := range l.groups {
		if g.state == groupFree {
			g.goneAt = now
		}
	}
	l.s.o.Log.Emit(event.CellCollected, "term", l.term, "routers", len(l.routers), "settled", true)
}

// blocked tells whether a free group may still have an unknown holder.
func (l *leadership) blocked(id topology.GroupID) bool {
	return !l.settled && !l.checked(id)
}

// readConfirmation reads the operator's confirmation each second.
func (l *leadership) readConfirmation(now clock.Instant) {
	if now < l.nextConfirm {
		return
	}
	l.nextConfirm = now.Add(renewInterval)
	l.confirm.read(l.s, now)
}

func (s *State) onConfirmation(res RowRead) {
	if s.lead == nil {
		return
	}
	s.lead.confirm.reading = false
	if res.Err != nil {
		return
	}
	var c Confirmation
	if err := json.Unmarshal(res.Row.Value, &c); err != nil {
		s.o.Log.Emit(event.RecordInvalid, "key", res.Key, "error", err.Error())
		return
	}
	if c.Term == s.lead.term {
		s.lead.confirmation = topology.Version{Term: c.Term, Sequence: c.Sequence}
	}
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
