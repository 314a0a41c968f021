package coordinator

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
)

// planPool returns the table that should replace a pool's with its moves, nil if it may stay.
func (c *Coordinator) planPool(name string, now clock.Instant) (*keyrange.Table, []keyrange.Move) {
	p := c.pools[name]
	if p == nil {
		p = &poolState{name: name, grants: map[int64]*grantState{}}
		c.pools[name] = p
	}
	members := c.members(name, now)
	if p.table == nil || len(p.table.Slices) == 0 {
		return c.firstTable(p, members, now), nil
	}
	balance := now >= p.nextPlan
	table := c.refence(p)
	var load keyrange.Load
	if balance || c.anyUnfit(table, members) {
		load = c.view.Load(name)
	} else if table == p.table {
		return nil, nil
	}
	next, moves := keyrange.Plan(table, members, load, func(fence int64) keyrange.Progress { return p.progress(fence, now < c.settled) }, balance)
	if balance {
		p.nextPlan = now.Add(planInterval)
	}
	if len(moves) == 0 && table == p.table {
		return nil, nil
	}
	return next, moves
}

// anyUnfit tells whether an owner must give up its keys.
func (c *Coordinator) anyUnfit(table *keyrange.Table, members []keyrange.Member) bool {
	fit := make(map[string]int64, len(members))
	for _, m := range members {
		if m.Keeps {
			fit[m.ID] = m.Started
		}
	}
	for i := range table.Slices {
		s := &table.Slices[i]
		if started, ok := fit[s.Owner]; !ok || started != s.OwnerStarted {
			return true
		}
	}
	return false
}

// fenceStep is added to a fence that a target has refused. How much higher its own is isn't known.
const fenceStep = 16

// refence returns the table with new fences for the slices that need one.
func (c *Coordinator) refence(p *poolState) *keyrange.Table {
	table := p.table
	for i := range p.table.Slices {
		s := &p.table.Slices[i]
		if !p.grants[s.Fence].stale || c.view.Snapshot.Targets[s.Owner] == nil {
			continue
		}
		if table == p.table {
			table = p.table.Clone()
			table.NextFence += fenceStep
		}
		table.Retarget(s.From, s.Owner, s.OwnerStarted)
	}
	return table
}

func (c *Coordinator) firstTable(p *poolState, members []keyrange.Member, now clock.Instant) *keyrange.Table {
	if len(members) == 0 {
		return nil
	}
	if p.firstTarget == 0 {
		p.firstTarget = now
	}
	if now.Sub(p.firstTarget) < firstPlanDelay {
		return nil
	}
	next := keyrange.Initial(p.name, 1, members)
	if len(next.Slices) == 0 {
		return nil
	}
	return next
}

// progress tells the planner about the slice with a fence. Until the calls of an earlier coordinator have run out, a slice that
// isn't confirmed is moved only if it has to be.
func (p *poolState) progress(fence int64, unsettled bool) keyrange.Progress {
	g := p.grants[fence]
	switch {
	case g == nil:
		return keyrange.Uncertain
	case g.ready && unsettled && !g.confirmed:
		return keyrange.Offered
	case g.ready:
		return keyrange.Settled
	case g.offered:
		return keyrange.Offered
	case g.inherited:
		return keyrange.Uncertain
	default:
		return keyrange.Waiting
	}
}

// members returns a pool's targets as the planner sees them. Cold targets get keys only if there is no other.
func (c *Coordinator) members(pool string, now clock.Instant) []keyrange.Member {
	var members []keyrange.Member
	takers := 0
	targets := c.view.Snapshot.Pools[pool]
	for _, t := range targets {
		m := c.member(t, now)
		if m.Takes {
			takers++
		}
		members = append(members, m)
	}
	if takers == 0 {
		for i := range members {
			members[i].Takes = members[i].Keeps
		}
	}
	return members
}

func (c *Coordinator) member(t *inventory.Target, now clock.Instant) keyrange.Member {
	m := keyrange.Member{ID: t.ID, Started: t.Started, Capacity: float64(t.Slots)}
	if c.view.Capacity != nil {
		m.Capacity = c.view.Capacity(t)
	}
	h := c.health[life{t.ID, t.Started}]
	m.Keeps = c.view.Snapshot.Open(t) && (h == nil || !h.lost(now))
	m.Takes = m.Keeps && t.ColdFor <= 0
	if h != nil && h.everFailed && now.Sub(h.lastFailed) < c.pause(t.ID) {
		m.Takes = false
	}
	return m
}

// pause is how long a target that failed gets no new keys.
func (c *Coordinator) pause(id string) time.Duration {
	return min(lostPause<<min(c.losses[id], 4), lostPauseMax)
}

// install puts a committed table into force. Slices that were split inherit what is known about the former one.
func (c *Coordinator) install(name string, next *keyrange.Table, now clock.Instant) {
	p := c.pools[name]
	if p == nil {
		return
	}
	grants := map[int64]*grantState{}
	for i := range next.Slices {
		s := &next.Slices[i]
		if old := p.grants[s.Fence]; old != nil {
			if grants[s.Fence] != nil {
				// Both parts of a slice that was split keep its fence and share its state.
				old.divided = old.divided || !old.confirmed
				continue
			}
			grants[s.Fence] = old
			continue
		}
		grants[s.Fence] = c.newGrant(p, s, now)
	}
	p.table, p.grants = next, grants
	c.revision++
	c.stored[name] = next.Clone()
}

// newGrant returns the state of a slice that has just got a new owner.
func (c *Coordinator) newGrant(p *poolState, s *keyrange.Slice, now clock.Instant) *grantState {
	g := &grantState{nextSend: now, nextRelease: now, movedAt: now}
	if former := p.formerOf(s); former != nil {
		// Only the fence is new: requests go on while the owner gets it.
		old := p.grants[former.Fence]
		g.ready, g.end, g.offered, g.inherited, g.confirmed = old.ready, old.end, old.offered, old.inherited, old.confirmed
	}
	if s.Previous == "" {
		return g
	}
	g.previousEnd = now
	g.previousEpoch = epochs - 1
	if old := p.grants[s.PreviousFence]; old != nil {
		g.previousEnd, g.previousEpoch, g.previousConfirmed = old.end, old.epoch, old.confirmed
		return g
	}
	// A retargeted slice keeps what is known about the previous owner.
	for i := range p.table.Slices {
		former := &p.table.Slices[i]
		if former.From == s.From && former.Previous == s.Previous && former.PreviousFence == s.PreviousFence {
			if old := p.grants[former.Fence]; old != nil {
				g.previousEnd, g.previousEpoch, g.released, g.handover = old.previousEnd, old.previousEpoch, old.released, old.handover
				g.releaseInFlight, g.previousConfirmed = old.releaseInFlight, old.previousConfirmed
			}
		}
	}
	return g
}

// formerOf returns the slice that has had the same keys and the same owner in the same life, nil if there was none.
func (p *poolState) formerOf(s *keyrange.Slice) *keyrange.Slice {
	if p.table == nil {
		return nil
	}
	for i := range p.table.Slices {
		f := &p.table.Slices[i]
		if f.From == s.From && f.To == s.To && ownerLife(f) == ownerLife(s) && previousLife(f) == previousLife(s) {
			return f
		}
	}
	return nil
}

// drive sends the grants and releases that are due.
func (c *Coordinator) drive(now clock.Instant) {
	c.callsOf = map[life][]*call{}
	for _, k := range c.calls {
		c.callsOf[k.owner] = append(c.callsOf[k.owner], k)
	}
	for _, p := range c.pools {
		if p.table == nil {
			continue
		}
		for i := range p.table.Slices {
			c.driveSlice(p, &p.table.Slices[i], now)
		}
	}
}

func (c *Coordinator) driveSlice(p *poolState, s *keyrange.Slice, now clock.Instant) {
	g := p.grants[s.Fence]
	if !g.ready && !g.offered {
		if s.Previous != "" && !c.previousFree(p, s, g, now) {
			c.driveRelease(p, s, g, now)
			return
		}
		if p.frozen[s.Fence] {
			return
		}
		g.offered, g.nextSend = true, now
	}
	part := g.part(s.From)
	if !part.due(now, c.leaseEnd) || g.stale {
		return
	}
	if g.connection == 0 && g.inFlight > 0 {
		// Two parts with the same fence must not open two connections.
		return
	}
	c.driveGrant(p, s, g, part, now)
}

func (c *Coordinator) driveGrant(p *poolState, s *keyrange.Slice, g *grantState, part *sendState, now clock.Instant) {
	owner := ownerLife(s)
	t := c.view.Snapshot.Targets[s.Owner]
	if t == nil || t.Started != s.OwnerStarted {
		return
	}
	c.callID++
	hold := Hold
	if ending(now, c.leaseEnd) {
		hold = FinalHold
	}
	record := &call{
		id: c.callID, pool: p.name, owner: owner, from: s.From, to: s.To, fence: s.Fence, epoch: g.epoch, sent: now, hold: hold, inFlight: true,
		end: holdEnd(now, hold),
	}
	c.calls = append(c.calls, record)
	c.callsOf[owner] = append(c.callsOf[owner], record)
	part.inFlight, part.lastSent = true, now
	g.inFlight++
	grant := keygrantOf(s, wireFence(s.Fence, g.epoch), hold)
	if !g.ready {
		grant.Handover = g.handover
	}
	c.emit(SendGrant{Call: record.id, To: keygrant.Peer{ID: t.ID, Address: t.Address}, Grant: grant, Before: c.leaseEnd, Connection: g.connection})
}

// previousFree tells whether the previous owner can't have the keys any more.
func (c *Coordinator) previousFree(p *poolState, s *keyrange.Slice, g *grantState, now clock.Instant) bool {
	previous := previousLife(s)
	if c.restartedElsewhere(previous) || c.replaced(previous) {
		return true
	}
	if now < c.settled && !g.previousConfirmed || !g.released && now < g.previousEnd {
		return false
	}
	for _, k := range c.callsOf[previous] {
		c.examined++
		// A call in flight may be sent and arrive at any time until its outcome is known, however long ago it was begun.
		if k.overlaps(p.name, previous, s.From, s.To) && (k.inFlight || now < k.end) {
			return false
		}
	}
	return true
}

// restartedElsewhere tells whether a target has started again at another address. It holds nothing of before then. At the same
// address it may have got a grant that was meant for the former life.
func (c *Coordinator) restartedElsewhere(former life) bool {
	t, address := c.view.Snapshot.Targets[former.id], c.addresses[former]
	return t != nil && t.Started > former.started && address != "" && t.Address != address
}

// bornApart is the least difference between the starts of two targets that tells which one came later. An address is used
// again after two seconds at the earliest; the rest is left for the clocks of their machines.
const bornApart = time.Second

// replaced tells whether a target that started later has the address of a former one. An address is used again only when its
// target is gone, which ends the wait for its grants.
func (c *Coordinator) replaced(former life) bool {
	address := c.addresses[former]
	if address == "" {
		return false
	}
	for _, t := range c.targetsAt(address) {
		c.examined++
		if t.ID != former.id && t.Started-former.started >= bornApart.Milliseconds() {
			return true
		}
	}
	return false
}

func (c *Coordinator) driveRelease(p *poolState, s *keyrange.Slice, g *grantState, now clock.Instant) {
	if g.released || g.releaseInFlight || now < g.nextRelease {
		return
	}
	previous := previousLife(s)
	for _, k := range c.callsOf[previous] {
		c.examined++
		if k.inFlight && k.overlaps(p.name, previous, s.From, s.To) {
			// A release that overtakes the grant would be undone by it.
			return
		}
	}
	address, ok := c.addresses[previous]
	if !ok || c.reused(address, previous.id) {
		g.nextRelease = g.previousEnd
		return
	}
	within := max(g.previousEnd.Sub(now), retryInterval)
	g.releaseInFlight = true
	released := keyrange.Slice{From: s.From, To: s.To}
	c.emit(SendRelease{Slice: SliceRef{sliceID{p.name, s.From, s.Fence}}, From: keygrant.Peer{ID: previous.id, Address: address}, Grant: keygrantOf(&released, wireFence(s.PreviousFence, g.previousEpoch), 0), Within: within})
}

// targetsAt returns the registered targets with an address.
func (c *Coordinator) targetsAt(address string) []*inventory.Target {
	if s := c.view.Snapshot; c.indexed != s {
		c.indexed, c.atAddress = s, make(map[string][]*inventory.Target, len(s.Targets))
		for _, t := range s.Targets {
			c.atAddress[t.Address] = append(c.atAddress[t.Address], t)
		}
	}
	return c.atAddress[address]
}

// reused tells whether an address belongs to another target by now.
func (c *Coordinator) reused(address, id string) bool {
	for _, t := range c.targetsAt(address) {
		c.examined++
		if t.ID != id {
			return true
		}
	}
	return false
}
