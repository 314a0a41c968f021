package coordinator

import (
	"errors"
	"strings"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

const (
	// firstPlanDelay gives the targets of a new deployment time to register before the keys are first divided among them.
	firstPlanDelay = 1200 * time.Millisecond
	// planInterval is the time between plans. Moves change the load, so a plan has to see the effect of the previous one.
	planInterval = 900 * time.Millisecond
	// tableRetryDelay is the time before a table that the store has refused is written again. It leaves room for one renewal
	// of the lease without the table.
	tableRetryDelay = 2 * resolveInterval
	// lostTargetBackoff is how long a target that lost its keys is given no new ones. It doubles with each loss, up to
	// maxLostTargetBackoff.
	lostTargetBackoff    = 2 * time.Second
	maxLostTargetBackoff = 16 * time.Second
)

// View is the coordinator's input about the deployment at a tick.
type View struct {
	Snapshot *inventory.Snapshot
	// Load returns a sample of the recently requested keys of a pool.
	Load func(pool string) keyrange.Load
	// ComputeTime is the measured duration of a small computation on this VM.
	ComputeTime time.Duration
	// ElectionDelay is the takeover delay of this VM that follows from its processor share and link bandwidth.
	ElectionDelay time.Duration
	// Capacity estimates how many requests per second a target can serve.
	Capacity func(t *inventory.Target) float64
	// Fleet is stored with the next renewal of the lease.
	Fleet Fleet
	// Routes are the routes that another coordinator has sent to this VM, by pool.
	Routes map[string][]Route
}

// poolState is the state of a keyed pool.
type poolState struct {
	name  string
	table *keyrange.Table
	// grants holds the state of each slice's grant by the fence of the slice.
	grants map[int64]*grantState
	// nextPlan is when the next plan may move keys to balance the load.
	nextPlan clock.Instant
	// firstTarget is when the first target of the pool was seen.
	firstTarget clock.Instant
	// replacing holds the fences of the slices that a pending write replaces.
	replacing map[int64]bool
	// needsCleanup is set if the stored table names previous owners that can no longer hold keys.
	needsCleanup bool
	// heldUntil is set if the table was restored with the store, so that any target may hold any key. Until then, nothing is planned or
	// granted, and knownRoutes, if there are any, are passed on to the VMs.
	heldUntil   clock.Instant
	knownRoutes []Route
}

// Coordinator is the state of one candidate for the coordinator's role. It is not safe for concurrent use.
type Coordinator struct {
	leadership
	pools map[string]*poolState
	// storedTables holds the tables as last read from the store.
	storedTables map[string]*keyrange.Table
	// storedVersion is the version of the page that storedTables was read from.
	storedVersion uint64
	// revision is incremented with each change of the routes.
	revision uint64
	// lastWrite is when the last write of the control table was sent.
	lastWrite clock.Instant
	// noTablesUntil is the time before which no new table is written. It is set when the store has refused a write or a table
	// could not be encoded.
	noTablesUntil clock.Instant
	// lostTables holds the pools whose tables a restored store may have lost. Nothing is planned for them until they are stored again.
	// lostTablesRefused counts the refused attempts to do so, and nextLostTable is when the next one is due after a refusal.
	lostTables        map[string]bool
	lostTablesRefused int
	nextLostTable     clock.Instant
	// stopping is set while the coordinator gives up its role.
	stopping bool
	// calls holds the grants that may still take effect.
	calls []*grantCall
	// callsByOwner groups calls by their target. It is rebuilt for each pass over the slices.
	callsByOwner map[incarnation][]*grantCall
	lastCallID   int64
	health       map[incarnation]*targetHealth
	// lossCounts counts how often each target was lost, by its ID.
	lossCounts map[string]int
	// addresses holds the last known address of each incarnation of a target.
	addresses map[incarnation]string
	// targetsByAddress indexes the targets of indexedSnapshot by address.
	targetsByAddress map[string][]*inventory.Target
	indexedSnapshot  *inventory.Snapshot
	// previousLeader is the coordinator whose role this process has taken over.
	previousLeader Leader
	// replaced is the row that the newest takeover has replaced, replacedRestored is set if that row was restored.
	replaced         Leader
	replacedRestored bool
	// terms counts the terms of this process.
	terms int
	// comparisons counts the calls and targets that slices were compared with. Tests bound the cost of a pass with it.
	comparisons int
	// priorGrantsEnd is when the last grant of an earlier coordinator has expired.
	priorGrantsEnd clock.Instant
	effects        []Effect
	view           View
}

// New returns a candidate for the coordinator's role.
func New(self Identity) *Coordinator {
	return &Coordinator{
		leadership: leadership{self: self}, pools: map[string]*poolState{}, storedTables: map[string]*keyrange.Table{},
		health: map[incarnation]*targetHealth{}, lossCounts: map[string]int{}, addresses: map[incarnation]string{},
	}
}

// Leading reports whether this process is the coordinator and its lease is valid.
func (c *Coordinator) Leading(now clock.Instant) bool {
	return c.leaseValid(now)
}

// NoteVersion records that the coordinator has announced the version of its row to this VM. If the coordinator is lost, its lease is
// counted from then.
func (c *Coordinator) NoteVersion(version uint64, now clock.Instant) {
	if !c.leading {
		c.noteVersion(version, now)
	}
}

// Version returns the newest known version of the coordinator's row.
func (c *Coordinator) Version() uint64 {
	return c.version
}

// Leader returns the newest known row of the coordinator and whether there is a coordinator that has not released its role.
func (c *Coordinator) Leader() (Leader, bool) {
	return c.leader, c.known && rowstore.Number(c.leaderVersion) != 0 && !c.leader.Released
}

// Replaced returns the row that this process has replaced when it took over, and whether it was certainly the newest one. A restored row
// may be older than others that the store has lost.
func (c *Coordinator) Replaced() (row Leader, newest bool) {
	return c.replaced, !c.replacedRestored
}

// Terms returns how many terms this process has begun. A lease that lapses and is then renewed belongs to the same term.
func (c *Coordinator) Terms() int {
	return c.terms
}

// PendingFleet returns what a write whose outcome isn't known may have stored about the VMs, and whether there is such a write.
func (c *Coordinator) PendingFleet() (Fleet, bool) {
	if c.pending == nil {
		return Fleet{}, false
	}
	return c.pending.row.Fleet, true
}

func (c *Coordinator) emit(e Effect) {
	c.effects = append(c.effects, e)
}

func (c *Coordinator) log(d event.Definition, fields ...any) {
	c.emit(Log{Event: d, Fields: fields})
}

func (c *Coordinator) takeEffects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

// Observe processes a read of the control table. latency is the duration of the read, a measure of this VM's distance to
// the store.
func (c *Coordinator) Observe(page rowstore.TableSnapshot, latency time.Duration, now clock.Instant) []Effect {
	c.storeLatency = latency
	if err := c.observeRow(page, now); err != nil {
		c.log(event.ControlRowInvalid, "key", KeyLeader, "error", err.Error())
		return c.takeEffects()
	}
	c.observeTables(page)
	if c.pending != nil && !c.pending.inFlight {
		c.resolvePending(now)
	}
	if c.leading && c.pending == nil && (c.restored || !c.rowIsOwn()) {
		c.writeAgainOrStepDown("another VM has taken over", now)
	}
	return c.takeEffects()
}

func (c *Coordinator) observeTables(page rowstore.TableSnapshot) {
	if page.Version < c.storedVersion {
		return
	}
	c.storedVersion = page.Version
	for _, row := range page.Rows {
		pool, ok := strings.CutPrefix(row.Key, KeySlicesPrefix)
		if !ok {
			continue
		}
		t, err := decodeTable(row.Value)
		if err != nil {
			c.log(event.ControlRowInvalid, "key", row.Key, "error", err.Error())
			continue
		}
		if old := c.storedTables[pool]; old != nil && t.NextFence < fenceFloor(rowstore.Era(page.Version)) && t.NextFence <= old.NextFence {
			// The table was restored with the store, and this VM knows a newer one.
			continue
		}
		c.storedTables[pool] = t
	}
}

// StoredTable returns the table of a pool as last read from the store.
func (c *Coordinator) StoredTable(pool string) *keyrange.Table {
	return c.storedTables[pool]
}

// resolvePending settles the pending write according to the rows that were read from the store.
func (c *Coordinator) resolvePending(now clock.Instant) {
	applied, certain := c.pendingOutcome()
	if !certain {
		c.resendPending()
		return
	}
	p := c.pending
	c.pending = nil
	if applied && c.trustsOutcome(p, now) {
		c.commitSucceeded(p, now)
		if !c.restored {
			return
		}
	}
	if c.leading {
		c.writeAgainOrStepDown("a write of the control table conflicted with another VM", now)
	}
}

// resendPending sends the pending write again. Its condition ensures that at most one of the attempts takes effect.
func (c *Coordinator) resendPending() {
	c.pending.inFlight = true
	c.emit(Commit{Transaction: c.pending.tx})
}

func (c *Coordinator) sendCommit(p *pendingCommit, now clock.Instant) {
	p.sent, p.inFlight = now, true
	c.lastWrite = now
	c.pending = p
	c.emit(Commit{Transaction: p.tx})
}

// Committed processes the outcome of the pending write.
func (c *Coordinator) Committed(version uint64, err error, now clock.Instant) []Effect {
	p := c.pending
	if p == nil || !p.inFlight {
		return nil
	}
	p.inFlight = false
	if err == nil && rowstore.Era(version) < rowstore.Era(c.version) {
		// The store was restored after the write, which may be lost.
		err = rowstore.ErrUnknown
	}
	switch {
	case err == nil:
		c.pending = nil
		c.version, c.readVersion, c.versionSeenAt = version, version, now
		row := p.row
		row.Era = rowstore.Era(version)
		c.setRow(row, version)
		c.commitSucceeded(p, now)
	case errors.Is(err, rowstore.ErrRefused) && !p.ambiguous:
		c.pending = nil
		c.clearReplacing()
		c.nextTry, c.noTablesUntil = now.Add(resolveInterval), now.Add(resolveInterval)
		if len(p.tx.Puts) > 1 {
			// The tables may be the cause of the refusal. The next write renews the lease without them.
			c.noTablesUntil = now.Add(tableRetryDelay)
			c.lostTablesRefused++
		}
	case errors.Is(err, rowstore.ErrConflict) && !p.ambiguous:
		c.nextTry = now
		c.emit(ReadTable{})
	default:
		if !p.ambiguous {
			c.log(event.CommitUnresolved, "error", err.Error())
		}
		p.ambiguous = true
		c.nextTry = now.Add(resolveInterval)
	}
	return c.takeEffects()
}

// commitSucceeded updates the state after a write that is known to have taken effect.
func (c *Coordinator) commitSucceeded(p *pendingCommit, now clock.Instant) {
	c.ownRenewal = p.row.Renewal
	if p.release != nil {
		c.leading, c.stopping = false, false
		c.log(event.LeadershipReleased)
		return
	}
	if p.takeover {
		c.startTerm(now, p.maxPriorGrants)
	}
	c.leaseEnd = p.sent.Add(LeaseTTL)
	c.nextTry = p.sent.Add(renewInterval)
	if p.onApplied != nil {
		p.onApplied(now)
	}
	c.clearReplacing()
}

// startTerm starts a term of this process as coordinator. Grants of earlier coordinators that the stored tables don't show may take effect
// and be held for priorGrants from now on.
func (c *Coordinator) startTerm(now clock.Instant, priorGrants time.Duration) {
	c.revision++
	c.leading = true
	c.terms++
	end := latestGrantEnd(now, FinalGrantTTL)
	c.priorGrantsEnd = min(end, now.Add(priorGrants))
	c.pools = map[string]*poolState{}
	c.calls, c.lostTables = nil, nil
	for pool, t := range c.storedTables {
		p := &poolState{name: pool, table: t.Clone(), grants: map[int64]*grantState{}, nextPlan: now.Add(planInterval)}
		if c.holdRestored(p, end) {
			c.priorGrantsEnd = end
		}
		for i := range t.Slices {
			s := &t.Slices[i]
			p.grants[s.Fence] = &grantState{ready: s.Previous == "", inherited: true, stale: true, end: end, previousEnd: end,
				previousEpoch: epochsPerFence - 1, nextSend: now, movedAt: now}
		}
		c.pools[pool] = p
	}
	if c.previousLeader.VM != "" && c.previousLeader.VM != c.self.VM {
		if n, ok := c.Notice(); ok {
			c.emit(Announce{To: c.previousLeader.Address, Notice: n})
		}
	}
	c.log(event.LeadershipAcquired, "version", c.version, "pools", len(c.pools))
}

func (c *Coordinator) stepDown(reason string) {
	c.leading, c.lostTables = false, nil
	c.revision++
	c.pools = map[string]*poolState{}
	c.calls = nil
	c.log(event.LeadershipLost, "reason", reason)
}

// Stop gives up the coordinator's role. The caller repeats it until Stopped returns true. With waitForCalls set, the role is kept
// until the outcomes of all calls are known, so that the successor does not have to wait for them.
func (c *Coordinator) Stop(now clock.Instant, waitForCalls bool) []Effect {
	c.stopping = true
	c.dropExpiredCalls(now)
	if !c.leading || c.pending != nil || waitForCalls && len(c.calls) > 0 {
		return nil
	}
	if c.settleRestored(now) {
		return c.takeEffects()
	}
	p, err := c.newCommit(nil, c.newRelease(now))
	if err != nil {
		c.log(event.ControlRowInvalid, "key", KeyLeader, "error", err.Error())
		return c.takeEffects()
	}
	c.sendCommit(p, now)
	return c.takeEffects()
}

// Stopped reports whether this process holds no role that has to be given up.
func (c *Coordinator) Stopped() bool {
	return !c.leading
}

// Tick does the work that is due: it settles a pending write, plans the pools and renews the lease, or takes over a vacant
// role if this process is a candidate. Then it advances the slices as Advance does.
func (c *Coordinator) Tick(now clock.Instant, view View, candidate bool) []Effect {
	c.view, c.computeTime, c.electionDelay, c.fleet = view, view.ComputeTime, view.ElectionDelay, view.Fleet
	c.recordAddresses()
	if c.pending != nil {
		if !c.pending.inFlight && now >= c.nextTry {
			c.nextTry = now.Add(resolveInterval)
			c.emit(ReadTable{})
		}
	} else if c.leading && !c.stopping {
		c.planAndRenew(now)
	} else if candidate && now >= c.nextTry && c.mayTakeOver(now) {
		c.takeOver(now)
	}
	return c.Advance(now)
}

// Advance sends the grants and releases that are due. It is cheaper than Tick and is called after the outcomes of calls.
func (c *Coordinator) Advance(now clock.Instant) []Effect {
	c.dropExpiredCalls(now)
	if c.leaseValid(now) && c.view.Snapshot != nil && !c.stopping {
		c.sendDueCalls(now)
	}
	return c.takeEffects()
}

// SliceCount returns the total number of slices of all pools.
func (c *Coordinator) SliceCount() int {
	n := 0
	for _, p := range c.pools {
		if p.table != nil {
			n += len(p.table.Slices)
		}
	}
	return n
}

// Revision returns a number that changes with each change of the routes.
func (c *Coordinator) Revision() uint64 {
	return c.revision
}

func (c *Coordinator) takeOver(now clock.Instant) {
	p, err := c.newCommit(nil, nil)
	if err != nil {
		c.log(event.ControlRowInvalid, "key", KeyLeader, "error", err.Error())
		return
	}
	p.takeover, p.maxPriorGrants = true, c.maxPriorGrants()
	c.previousLeader = c.leader
	c.replaced, c.replacedRestored = c.row, c.restored
	c.sendCommit(p, now)
}

// maxPriorGrants returns for how long after a takeover grants of earlier coordinators that the stored tables don't show may take effect.
func (c *Coordinator) maxPriorGrants() time.Duration {
	limit := latestGrantEnd(0, FinalGrantTTL).Sub(0)
	if !c.restored && rowstore.Number(c.version) == 0 {
		return 0
	}
	if c.restored || !c.row.Released {
		return limit
	}
	return c.row.priorGrants(limit)
}

// recordAddresses records the addresses of the registered targets. A target may still hold keys after its registration is gone.
func (c *Coordinator) recordAddresses() {
	if c.view.Snapshot == nil {
		return
	}
	for _, t := range c.view.Snapshot.Targets {
		c.addresses[incarnation{t.ID, t.Started}] = t.Address
	}
}

// planAndRenew plans the pools and renews the lease, in one write where possible.
func (c *Coordinator) planAndRenew(now clock.Instant) {
	if c.settleRestored(now) {
		return
	}
	if len(c.lostTables) > 0 && now >= max(c.noTablesUntil, c.nextLostTable) {
		c.writeLostTables(now)
		return
	}
	var puts []rowstore.Row
	var callbacks []func(clock.Instant)
	if now >= c.noTablesUntil && c.view.Snapshot != nil && c.view.Snapshot.Configuration != nil && c.leaseValid(now) {
		for _, pool := range c.view.Snapshot.Configuration.Pools {
			if !pool.Keyed || c.lostTables[pool.Name] {
				continue
			}
			if next, moves := c.planPool(pool.Name, now); next != nil {
				puts, callbacks = c.stageTable(puts, callbacks, pool.Name, next, moves, now)
			}
		}
	}
	if len(puts) == 0 && now < c.nextTry && !c.cleanupDue(now) {
		return
	}
	if len(puts) == 0 && now >= c.noTablesUntil {
		puts = c.cleanUpTables()
	}
	p, err := c.newCommit(puts, nil)
	if err != nil {
		c.log(event.ControlRowInvalid, "key", KeyLeader, "error", err.Error())
		return
	}
	p.onApplied = func(now clock.Instant) {
		for _, callback := range callbacks {
			callback(now)
		}
	}
	c.sendCommit(p, now)
}

// stageTable adds a new table to the rows of the next write. It also adds a function that installs the table once the write has
// taken effect.
func (c *Coordinator) stageTable(puts []rowstore.Row, callbacks []func(clock.Instant), pool string, next *keyrange.Table, moves []keyrange.Move, now clock.Instant) ([]rowstore.Row, []func(clock.Instant)) {
	value, err := encodeTable(next)
	if err != nil {
		c.log(event.ControlRowInvalid, "key", KeySlicesPrefix+pool, "error", err.Error())
		c.noTablesUntil = now.Add(tableRetryDelay)
		return puts, callbacks
	}
	c.markReplacing(pool, next)
	puts = append(puts, rowstore.Row{Table: Table, Key: KeySlicesPrefix + pool, Value: value})
	return puts, append(callbacks, func(now clock.Instant) {
		for _, m := range moves {
			c.log(event.SlicesMoved, "pool", pool, "from", m.From, "to", m.To, "owner", m.Owner)
		}
		c.installTable(pool, next, now)
	})
}

// markReplacing marks the slices that a table which is being written replaces. Their owners must not be offered the keys in the
// meantime, because the new table assumes that they never were.
func (c *Coordinator) markReplacing(pool string, next *keyrange.Table) {
	p := c.pools[pool]
	if p.table == nil {
		return
	}
	kept := map[int64]bool{}
	for i := range next.Slices {
		kept[next.Slices[i].Fence] = true
	}
	p.replacing = map[int64]bool{}
	for i := range p.table.Slices {
		if fence := p.table.Slices[i].Fence; !kept[fence] {
			p.replacing[fence] = true
		}
	}
}

// clearReplacing removes the marks that markReplacing has set.
func (c *Coordinator) clearReplacing() {
	for _, p := range c.pools {
		p.replacing = nil
	}
}

// cleanupDelay is the time after a write before completed moves are stored. A successor treats a move as unfinished
// unless it is stored as completed.
const cleanupDelay = 250 * time.Millisecond

func (c *Coordinator) cleanupDue(now clock.Instant) bool {
	if now.Sub(c.lastWrite) < cleanupDelay || now < c.noTablesUntil {
		return false
	}
	for _, p := range c.pools {
		if p.needsCleanup {
			return true
		}
	}
	return false
}

// cleanUpTables removes previous owners that can no longer hold keys from the stored tables, so that a successor does not wait
// for them.
func (c *Coordinator) cleanUpTables() []rowstore.Row {
	var puts []rowstore.Row
	for name, p := range c.pools {
		if !p.needsCleanup {
			continue
		}
		for i := range p.table.Slices {
			s := &p.table.Slices[i]
			if g := p.grants[s.Fence]; g != nil && g.ready {
				s.Previous, s.PreviousStarted, s.PreviousFence = "", 0, 0
			}
		}
		p.needsCleanup = false
		value, err := encodeTable(p.table)
		if err != nil {
			c.log(event.ControlRowInvalid, "key", KeySlicesPrefix+name, "error", err.Error())
			continue
		}
		puts = append(puts, rowstore.Row{Table: Table, Key: KeySlicesPrefix + name, Value: value})
	}
	return puts
}
