package coordinator

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// planPool returns the table that should replace the current table of a pool, and the moves that lead to it. The table is nil if
// the current one is kept.
func (c *Coordinator) planPool(name string, now clock.Instant) (*keyrange.Table, []keyrange.Move) {
	p := c.pools[name]
	if p == nil {
		p = &poolState{name: name, grants: map[int64]*grantState{}}
		c.pools[name] = p
	}
	if now < p.heldUntil {
		return nil, nil
	}
	c.raiseFences(p)
	members := c.members(name, now)
	if p.table == nil || len(p.table.Slices) == 0 {
		return c.firstTable(p, members, now), nil
	}
	balance := now >= p.nextPlan
	table := c.refence(p)
	var load keyrange.Load
	if balance || c.hasUnfitOwner(table, members) {
		load = c.view.Load(name)
	} else if table == p.table {
		return nil, nil
	}
	next, moves := keyrange.Plan(table, members, load, func(fence int64) keyrange.Progress { return p.progress(fence, now < c.priorGrantsEnd) }, balance)
	if balance {
		p.nextPlan = now.Add(planInterval)
	}
	if len(moves) == 0 && table == p.table {
		return nil, nil
	}
	return next, moves
}

// hasUnfitOwner reports whether an owner must give up its keys.
func (c *Coordinator) hasUnfitOwner(table *keyrange.Table, members []keyrange.Member) bool {
	fit := make(map[string]int64, len(members))
	for _, m := range members {
		if m.MayKeep {
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

// fenceStep is added to the next fence of a table when stale fences are replaced. A target may have refused a stale fence, and it
// is not known how much higher the fence of the target is.
const fenceStep = 16

// refence returns the pool's table with new fences for the slices whose fence is stale.
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
		table.ReplaceOwner(s.From, s.Owner, s.OwnerStarted)
	}
	return table
}

// firstTable returns the first table of a pool, or nil while its targets are still given time to register.
func (c *Coordinator) firstTable(p *poolState, members []keyrange.Member, now clock.Instant) *keyrange.Table {
	era := rowstore.Era(c.version)
	if len(members) == 0 {
		return nil
	}
	if p.firstTarget == 0 {
		p.firstTarget = now
	}
	if now.Sub(p.firstTarget) < firstPlanDelay || era > 0 && now < c.priorGrantsEnd {
		// In a later era, the pool may have had a table that the store has lost.
		return nil
	}
	next := keyrange.InitialTable(p.name, max(1, fenceFloor(era)), members)
	if len(next.Slices) == 0 {
		return nil
	}
	return next
}

// progress returns the progress of the slice with a fence, for the planner. As long as grants of an earlier coordinator may
// take effect, a slice that is not confirmed is moved only if its owner has to be replaced.
func (p *poolState) progress(fence int64, priorGrantsMayHold bool) keyrange.Progress {
	g := p.grants[fence]
	switch {
	case g == nil:
		return keyrange.Uncertain
	case g.ready && priorGrantsMayHold && !g.confirmed:
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

// members returns the targets of a pool as the planner sees them. Cold targets are given keys only if there are no others.
func (c *Coordinator) members(pool string, now clock.Instant) []keyrange.Member {
	var members []keyrange.Member
	receivers := 0
	targets := c.view.Snapshot.Pools[pool]
	for _, t := range targets {
		m := c.member(t, now)
		if m.MayReceive {
			receivers++
		}
		members = append(members, m)
	}
	if receivers == 0 {
		for i := range members {
			members[i].MayReceive = members[i].MayKeep
		}
	}
	return members
}

func (c *Coordinator) member(t *inventory.Target, now clock.Instant) keyrange.Member {
	m := keyrange.Member{ID: t.ID, Started: t.Started, Capacity: float64(t.Slots)}
	if c.view.Capacity != nil {
		m.Capacity = c.view.Capacity(t)
	}
	h := c.health[incarnation{t.ID, t.Started}]
	m.MayKeep = c.view.Snapshot.Available(t) && (h == nil || !h.lost(now))
	m.MayReceive = m.MayKeep && t.WarmupLeft <= 0
	if h != nil && h.everFailed && now.Sub(h.lastFailed) < c.lossBackoff(t.ID) {
		m.MayReceive = false
	}
	return m
}

// lossBackoff returns how long a target is given no new keys after a failed grant.
func (c *Coordinator) lossBackoff(id string) time.Duration {
	return min(lostTargetBackoff<<min(c.lossCounts[id], 4), maxLostTargetBackoff)
}

// installTable puts a committed table into effect. The parts of a split slice inherit the state of its grant.
func (c *Coordinator) installTable(name string, next *keyrange.Table, now clock.Instant) {
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
				old.split = old.split || !old.confirmed
				continue
			}
			grants[s.Fence] = old
			continue
		}
		grants[s.Fence] = c.newGrantState(p, s, now)
	}
	p.table, p.grants = next, grants
	c.revision++
	c.storedTables[name] = next.Clone()
}

// newGrantState returns the state of a slice with a new fence.
func (c *Coordinator) newGrantState(p *poolState, s *keyrange.Slice, now clock.Instant) *grantState {
	g := &grantState{nextSend: now, nextRelease: now, movedAt: now}
	if former := p.sameAssignment(s); former != nil {
		// Only the fence is new. Requests continue to be served while the owner is granted the new fence.
		old := p.grants[former.Fence]
		g.ready, g.end, g.offered, g.inherited, g.confirmed = old.ready, old.end, old.offered, old.inherited, old.confirmed
	}
	if s.Previous == "" {
		return g
	}
	g.previousEnd = now
	g.previousEpoch = epochsPerFence - 1
	if old := p.grants[s.PreviousFence]; old != nil {
		g.previousEnd, g.previousEpoch, g.previousConfirmed = old.end, old.epoch, old.confirmed
		return g
	}
	// If the owner was replaced before it was granted the keys, what is known about the previous owner still applies.
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

// sameAssignment returns the current slice with the same keys and the same incarnations of the owner and the previous owner, or
// nil if there is none.
func (p *poolState) sameAssignment(s *keyrange.Slice) *keyrange.Slice {
	if p.table == nil {
		return nil
	}
	for i := range p.table.Slices {
		f := &p.table.Slices[i]
		if f.From == s.From && f.To == s.To && ownerIncarnation(f) == ownerIncarnation(s) && previousIncarnation(f) == previousIncarnation(s) {
			return f
		}
	}
	return nil
}

// sendDueCalls sends the grants and releases that are due.
func (c *Coordinator) sendDueCalls(now clock.Instant) {
	c.callsByOwner = map[incarnation][]*grantCall{}
	for _, call := range c.calls {
		c.callsByOwner[call.owner] = append(c.callsByOwner[call.owner], call)
	}
	for _, p := range c.pools {
		if p.table == nil || now < p.heldUntil {
			continue
		}
		for i := range p.table.Slices {
			c.advanceSlice(p, &p.table.Slices[i], now)
		}
	}
}

// advanceSlice takes the next step for a slice: it releases the keys from the previous owner or grants them to the owner.
func (c *Coordinator) advanceSlice(p *poolState, s *keyrange.Slice, now clock.Instant) {
	g := p.grants[s.Fence]
	if !g.ready && !g.offered {
		if s.Previous != "" && !c.previousOwnerGone(p, s, g, now) {
			c.sendRelease(p, s, g, now)
			return
		}
		c.logReplacedOwner(p, s)
		if p.replacing[s.Fence] {
			return
		}
		g.offered, g.nextSend = true, now
	}
	part := g.part(s.From)
	if !part.due(now, c.leaseEnd) || g.stale {
		return
	}
	if g.connection == 0 && g.inFlight > 0 {
		// Two parts with the same fence must not open separate connections.
		return
	}
	c.sendGrant(p, s, g, part, now)
}

// sendGrant sends a grant of a slice to its owner.
func (c *Coordinator) sendGrant(p *poolState, s *keyrange.Slice, g *grantState, part *sendSchedule, now clock.Instant) {
	owner := ownerIncarnation(s)
	t := c.view.Snapshot.Targets[s.Owner]
	if t == nil || t.Started != s.OwnerStarted {
		return
	}
	c.lastCallID++
	ttl := GrantTTL
	if inFinalWindow(now, c.leaseEnd) {
		ttl = FinalGrantTTL
	}
	call := &grantCall{
		id: c.lastCallID, pool: p.name, owner: owner, from: s.From, to: s.To, fence: s.Fence, epoch: g.epoch, sent: now, ttl: ttl, inFlight: true,
		end: latestGrantEnd(now, ttl),
	}
	c.calls = append(c.calls, call)
	c.callsByOwner[owner] = append(c.callsByOwner[owner], call)
	part.inFlight, part.lastSent = true, now
	g.inFlight++
	grant := sliceGrant(s, wireFence(s.Fence, g.epoch), ttl)
	if !g.ready {
		grant.Handover = g.handover
	}
	c.emit(SendGrant{Call: call.id, To: keygrant.Endpoint{ID: t.ID, Address: t.Address}, Grant: grant, Deadline: c.leaseEnd, Connection: g.connection})
}

// previousOwnerGone reports whether the previous owner can no longer hold the keys.
func (c *Coordinator) previousOwnerGone(p *poolState, s *keyrange.Slice, g *grantState, now clock.Instant) bool {
	previous := previousIncarnation(s)
	if c.replacementOf(previous) != nil {
		return true
	}
	if now < c.priorGrantsEnd && !g.previousConfirmed || !g.released && now < g.previousEnd {
		return false
	}
	for _, call := range c.callsByOwner[previous] {
		c.comparisons++
		// Until its outcome is known, a call in flight may be sent and arrive at any time, no matter when it was created.
		if call.overlaps(p.name, previous, s.From, s.To) && (call.inFlight || now < call.end) {
			return false
		}
	}
	return true
}

// replacementOf returns a registered target that proves that a former incarnation is gone, or nil if there is none. Without a
// configuration, it isn't known which registrations are those of targets.
func (c *Coordinator) replacementOf(former incarnation) *inventory.Target {
	if c.view.Snapshot.Configuration == nil {
		return nil
	}
	if t := c.restartedAtNewAddress(former); t != nil {
		return t
	}
	return c.successorAtAddress(former)
}

// restartedAtNewAddress returns a target's current incarnation if it started at another address than a former one, in which case it holds
// none of the keys of the former one. At the same address, it may have received a grant that was meant for the former incarnation.
func (c *Coordinator) restartedAtNewAddress(former incarnation) *inventory.Target {
	t, address := c.view.Snapshot.Targets[former.id], c.addresses[former]
	if t != nil && t.Started > former.started && address != "" && t.Address != address {
		return t
	}
	return nil
}

// minStartGap is the minimum difference between the start times of two targets for the order of their starts to be certain. An
// address is reused after two seconds at the earliest; the other second is left for differences between the clocks.
const minStartGap = time.Second

// successorAtAddress returns a target that started later than a former one and has its address. An address is reused only after
// its target is gone, so there is no need to wait for the grants of the former target to expire. The snapshot has no targets that
// the configuration doesn't name; their registrations may bear any address.
func (c *Coordinator) successorAtAddress(former incarnation) *inventory.Target {
	address := c.addresses[former]
	if address == "" {
		return nil
	}
	for _, t := range c.targetsAt(address) {
		c.comparisons++
		if t.ID != former.id && t.Started-former.started >= minStartGap.Milliseconds() {
			return t
		}
	}
	return nil
}

// logReplacedOwner logs which target shows that the previous owner of a slice is gone, if that is why the slice is granted without a
// release.
func (c *Coordinator) logReplacedOwner(p *poolState, s *keyrange.Slice) {
	if s.Previous == "" || p.replacing[s.Fence] {
		return
	}
	if t := c.replacementOf(previousIncarnation(s)); t != nil {
		c.log(event.OwnerReplaced, "pool", p.name, "from", s.From, "to", s.To, "previous", s.Previous, "replacement", t.ID, "address", t.Address, "started", t.Started)
	}
}

// sendRelease asks the previous owner of a slice to release its keys.
func (c *Coordinator) sendRelease(p *poolState, s *keyrange.Slice, g *grantState, now clock.Instant) {
	if g.released || g.releaseInFlight || now < g.nextRelease {
		return
	}
	previous := previousIncarnation(s)
	for _, call := range c.callsByOwner[previous] {
		c.comparisons++
		if call.inFlight && call.overlaps(p.name, previous, s.From, s.To) {
			// If the release overtook the grant, the grant would undo it.
			return
		}
	}
	address, ok := c.addresses[previous]
	if !ok || c.addressTaken(address, previous.id) {
		g.nextRelease = g.previousEnd
		return
	}
	timeout := max(g.previousEnd.Sub(now), retryInterval)
	g.releaseInFlight = true
	released := keyrange.Slice{From: s.From, To: s.To}
	c.emit(SendRelease{Slice: SliceRef{sliceID{p.name, s.From, s.Fence}}, From: keygrant.Endpoint{ID: previous.id, Address: address}, Grant: sliceGrant(&released, wireFence(s.PreviousFence, g.previousEpoch), 0), Timeout: timeout})
}

// targetsAt returns the registered targets that have an address.
func (c *Coordinator) targetsAt(address string) []*inventory.Target {
	if s := c.view.Snapshot; c.indexedSnapshot != s {
		c.indexedSnapshot, c.targetsByAddress = s, make(map[string][]*inventory.Target, len(s.Targets))
		for _, t := range s.Targets {
			c.targetsByAddress[t.Address] = append(c.targetsByAddress[t.Address], t)
		}
	}
	return c.targetsByAddress[address]
}

// addressTaken reports whether another target has an address now.
func (c *Coordinator) addressTaken(address, id string) bool {
	for _, t := range c.targetsAt(address) {
		c.comparisons++
		if t.ID != id {
			return true
		}
	}
	return false
}
