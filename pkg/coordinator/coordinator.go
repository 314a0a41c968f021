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
	// firstPlanDelay lets the targets of a new deployment register before the keys are first divided.
	firstPlanDelay = 1200 * time.Millisecond
	// planInterval is the time between plans. Moves change the load, so that plans need its answer first.
	planInterval = 900 * time.Millisecond
	// tableRetry is the time until a table is written again that the store has refused. The lease is renewed once meanwhile.
	tableRetry = 2 * resolveInterval
	// lostPause is how long a target that lost its keys gets no new ones; it doubles with each loss up to lostPauseMax.
	lostPause    = 2 * time.Second
	lostPauseMax = 16 * time.Second
)

// View is what the coordinator knows about the deployment at a tick.
type View struct {
	Snapshot *inventory.Snapshot
	// Load returns the recently requested keys of a pool.
	Load func(pool string) keyrange.Load
	// Slowness is the time that a small computation takes on this VM.
	Slowness time.Duration
	// Weakness is the delay of a candidate on this VM for its processor and link.
	Weakness time.Duration
	// Capacity estimates the requests a second that a target can carry.
	Capacity func(t *inventory.Target) float64
	// Fleet is stored with the next renewal.
	Fleet Fleet
}

// poolState is a keyed pool.
type poolState struct {
	name   string
	table  *keyrange.Table
	grants map[int64]*grantState
	// nextPlan is when the load is looked at again.
	nextPlan clock.Instant
	// firstTarget is when the first target was seen.
	firstTarget clock.Instant
	// frozen are the fences of slices that a pending write replaces.
	frozen map[int64]bool
	// tidy tells that the stored table names previous owners that no longer matter.
	tidy bool
}

// Coordinator is the state of one candidate. It isn't safe for concurrent use.
type Coordinator struct {
	leadership
	pools map[string]*poolState
	// stored are the tables as last read from the store.
	stored map[string]*keyrange.Table
	// pageVersion is the version of the page that stored was read from.
	pageVersion uint64
	// revision changes with each change of the routes.
	revision uint64
	// wrote is when the last write was sent.
	wrote clock.Instant
	// refusedUntil is until when no new table is written after the store has refused a write.
	refusedUntil clock.Instant
	// stopping tells that the role is being given up.
	stopping bool
	calls    []*call
	// callsOf groups the calls by their target during a pass over the slices.
	callsOf map[life][]*call
	callID  int64
	health  map[life]*targetHealth
	losses  map[string]int
	// addresses are the last known addresses of targets.
	addresses map[life]string
	// atAddress are the targets of the snapshot indexed by address.
	atAddress map[string][]*inventory.Target
	indexed   *inventory.Snapshot
	// former is the coordinator before this one.
	former Leader
	// examined counts the calls and targets that slices were compared with.
	examined int
	// settled is when no grant of an earlier coordinator can hold any more.
	settled clock.Instant
	effects []Effect
	view    View
}

// New returns a candidate.
func New(self Identity) *Coordinator {
	return &Coordinator{
		leadership: leadership{self: self}, pools: map[string]*poolState{}, stored: map[string]*keyrange.Table{},
		health: map[life]*targetHealth{}, losses: map[string]int{}, addresses: map[life]string{},
	}
}

// Leading tells whether this process is the coordinator and its lease holds.
func (c *Coordinator) Leading(now clock.Instant) bool {
	return c.valid(now)
}

// Heard notes that the coordinator has told this VM the version of its row, so that its lease is counted from then if it is
// lost.
func (c *Coordinator) Heard(version uint64, now clock.Instant) {
	if !c.leading {
		c.heard(version, now)
	}
}

// Version returns the version of the coordinator's row.
func (c *Coordinator) Version() uint64 {
	return c.version
}

// Leader returns the newest known row of the coordinator.
func (c *Coordinator) Leader() (Leader, bool) {
	return c.row, c.known && c.version != 0 && !c.row.Released
}

func (c *Coordinator) emit(e Effect) {
	c.effects = append(c.effects, e)
}

func (c *Coordinator) log(d event.Definition, fields ...any) {
	c.emit(Log{Event: d, Fields: fields})
}

func (c *Coordinator) take() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

// Observe takes the control table in as read from the store.
func (c *Coordinator) Observe(page rowstore.Page, took time.Duration, now clock.Instant) []Effect {
	c.distance = took
	if err := c.observe(page, now); err != nil {
		c.log(event.ControlRowBad, "key", KeyLeader, "error", err.Error())
		return c.take()
	}
	c.observeTables(page)
	if c.pending != nil && !c.pending.inFlight {
		c.resolve(now)
	}
	if c.leading && c.pending == nil && !c.ours() {
		c.stepDown("another VM has taken over")
	}
	return c.take()
}

func (c *Coordinator) observeTables(page rowstore.Page) {
	if page.Version < c.pageVersion {
		return
	}
	c.pageVersion = page.Version
	for _, row := range page.Rows {
		pool, ok := strings.CutPrefix(row.Key, KeySlices)
		if !ok {
			continue
		}
		t, err := decodeTable(row.Value)
		if err != nil {
			c.log(event.ControlRowBad, "key", row.Key, "error", err.Error())
			continue
		}
		c.stored[pool] = t
	}
}

// StoredTable returns a pool's table as last read from the store.
func (c *Coordinator) StoredTable(pool string) *keyrange.Table {
	return c.stored[pool]
}

// resolve settles the pending write by what the store says.
func (c *Coordinator) resolve(now clock.Instant) {
	applied, certain := c.resolved()
	if !certain {
		c.resend()
		return
	}
	p := c.pending
	c.pending = nil
	if applied {
		c.succeed(p, now)
		return
	}
	if c.leading {
		c.stepDown("a write of the control table lost against another VM")
	}
}

// resend sends the pending write again. Its condition admits at most one of the attempts.
func (c *Coordinator) resend() {
	c.pending.inFlight = true
	c.emit(Commit{Transaction: c.pending.tx})
}

func (c *Coordinator) send(p *commit, now clock.Instant) {
	p.sent, p.inFlight = now, true
	c.wrote = now
	c.pending = p
	c.emit(Commit{Transaction: p.tx})
}

// Committed takes the outcome of the pending write in.
func (c *Coordinator) Committed(version uint64, err error, now clock.Instant) []Effect {
	p := c.pending
	if p == nil || !p.inFlight {
		return nil
	}
	p.inFlight = false
	switch {
	case err == nil:
		c.pending = nil
		c.version, c.read, c.seen = version, version, now
		c.row = Leader{VM: c.self.VM, Incarnation: c.self.Incarnation, Address: c.self.Address, Renewal: p.renewal, Released: p.release, Clean: p.release && len(c.calls) == 0, Fleet: c.fleet}
		c.succeed(p, now)
	case errors.Is(err, rowstore.ErrRefused) && !p.unsure:
		c.pending = nil
		c.thaw()
		c.nextTry, c.refusedUntil = now.Add(resolveInterval), now.Add(resolveInterval)
		if len(p.tx.Puts) > 1 {
			// The tables may be why. The next write renews the lease without them.
			c.refusedUntil = now.Add(tableRetry)
		}
	case errors.Is(err, rowstore.ErrConflict) && !p.unsure:
		c.nextTry = now
		c.emit(Resolve{})
	default:
		if !p.unsure {
			c.log(event.CommitUnresolved, "error", err.Error())
		}
		p.unsure = true
		c.nextTry = now.Add(resolveInterval)
	}
	return c.take()
}

// succeed applies a write that is known to have taken effect.
func (c *Coordinator) succeed(p *commit, now clock.Instant) {
	if p.release {
		c.leading, c.stopping = false, false
		c.log(event.LeadershipReleased)
		return
	}
	if p.takeover {
		c.begin(now, p.clean)
	}
	c.leaseEnd = p.sent.Add(LeaseTTL)
	c.nextTry = p.sent.Add(renewInterval)
	if p.apply != nil {
		p.apply(now)
	}
	c.thaw()
}

// begin starts a term. Unless the former coordinator left no call open, its grants may still take effect until settled.
func (c *Coordinator) begin(now clock.Instant, clean bool) {
	c.revision++
	c.leading = true
	end := holdEnd(now, FinalHold)
	c.settled = end
	if clean {
		c.settled = now
	}
	c.pools = map[string]*poolState{}
	c.calls = nil
	for pool, t := range c.stored {
		p := &poolState{name: pool, table: t.Clone(), grants: map[int64]*grantState{}, nextPlan: now.Add(planInterval)}
		for i := range t.Slices {
			s := &t.Slices[i]
			p.grants[s.Fence] = &grantState{ready: s.Previous == "", inherited: true, stale: true, end: end, previousEnd: end, nextSend: now, movedAt: now}
		}
		c.pools[pool] = p
	}
	if c.former.VM != "" && c.former.VM != c.self.VM {
		if n, ok := c.Notice(); ok {
			c.emit(Announce{To: c.former.Address, Notice: n})
		}
	}
	c.log(event.LeadershipTaken, "version", c.version, "pools", len(c.pools))
}

func (c *Coordinator) stepDown(reason string) {
	c.leading = false
	c.revision++
	c.pools = map[string]*poolState{}
	c.calls = nil
	c.log(event.LeadershipLost, "reason", reason)
}

// Stop gives the role up. It is called until Stopped. patient waits for calls whose outcome is open, so that the successor
// needn't.
func (c *Coordinator) Stop(now clock.Instant, patient bool) []Effect {
	c.stopping = true
	c.expire(now)
	if !c.leading || c.pending != nil || patient && len(c.calls) > 0 {
		return nil
	}
	p, err := c.newCommit(nil, true, len(c.calls) == 0)
	if err != nil {
		c.log(event.ControlRowBad, "key", KeyLeader, "error", err.Error())
		return c.take()
	}
	c.send(p, now)
	return c.take()
}

// Stopped tells that this process has no role to give up.
func (c *Coordinator) Stopped() bool {
	return !c.leading
}

// Tick does what is due.
func (c *Coordinator) Tick(now clock.Instant, view View, candidate bool) []Effect {
	c.view, c.slowness, c.weakness, c.fleet = view, view.Slowness, view.Weakness, view.Fleet
	c.noteAddresses()
	if c.pending != nil {
		if !c.pending.inFlight && now >= c.nextTry {
			c.nextTry = now.Add(resolveInterval)
			c.emit(Resolve{})
		}
	} else if c.leading && !c.stopping {
		c.lead(now)
	} else if candidate && now >= c.nextTry && c.mayTake(now) {
		c.takeOver(now)
	}
	return c.Advance(now)
}

// Advance sends the grants and releases that are due. It costs less than Tick and follows the outcomes of calls.
func (c *Coordinator) Advance(now clock.Instant) []Effect {
	c.expire(now)
	if c.valid(now) && c.view.Snapshot != nil && !c.stopping {
		c.drive(now)
	}
	return c.take()
}

// Slices returns the number of slices of all pools.
func (c *Coordinator) Slices() int {
	n := 0
	for _, p := range c.pools {
		if p.table != nil {
			n += len(p.table.Slices)
		}
	}
	return n
}

// Revision changes with each change of the routes.
func (c *Coordinator) Revision() uint64 {
	return c.revision
}

func (c *Coordinator) takeOver(now clock.Instant) {
	p, err := c.newCommit(nil, false, false)
	if err != nil {
		c.log(event.ControlRowBad, "key", KeyLeader, "error", err.Error())
		return
	}
	p.takeover, p.clean = true, c.version == 0 || c.row.Released && c.row.Clean
	c.former = c.row
	c.send(p, now)
}

// noteAddresses remembers where targets were, since a target that isn't registered any more may still have keys.
func (c *Coordinator) noteAddresses() {
	if c.view.Snapshot == nil {
		return
	}
	for _, t := range c.view.Snapshot.Targets {
		c.addresses[life{t.ID, t.Started}] = t.Address
	}
}

// lead plans the pools and renews the lease, together in one write where possible.
func (c *Coordinator) lead(now clock.Instant) {
	var puts []rowstore.Row
	var applies []func(clock.Instant)
	if now >= c.refusedUntil && c.view.Snapshot != nil && c.view.Snapshot.Configuration != nil && c.valid(now) {
		for _, pool := range c.view.Snapshot.Configuration.Pools {
			if !pool.Keyed {
				continue
			}
			if next, moves := c.planPool(pool.Name, now); next != nil {
				puts, applies = c.stage(puts, applies, pool.Name, next, moves, now)
			}
		}
	}
	if len(puts) == 0 && now < c.nextTry && !c.tidyDue(now) {
		return
	}
	if len(puts) == 0 && now >= c.refusedUntil {
		puts = c.tidyTables()
	}
	p, err := c.newCommit(puts, false, false)
	if err != nil {
		c.log(event.ControlRowBad, "key", KeyLeader, "error", err.Error())
		return
	}
	p.apply = func(now clock.Instant) {
		for _, apply := range applies {
			apply(now)
		}
	}
	c.send(p, now)
}

func (c *Coordinator) stage(puts []rowstore.Row, applies []func(clock.Instant), pool string, next *keyrange.Table, moves []keyrange.Move, now clock.Instant) ([]rowstore.Row, []func(clock.Instant)) {
	value, err := encodeTable(next)
	if err != nil {
		c.log(event.ControlRowBad, "key", KeySlices+pool, "error", err.Error())
		c.refusedUntil = now.Add(tableRetry)
		return puts, applies
	}
	c.freeze(pool, next)
	puts = append(puts, rowstore.Row{Table: Table, Key: KeySlices + pool, Value: value})
	return puts, append(applies, func(now clock.Instant) {
		for _, m := range moves {
			c.log(event.SlicesMoved, "pool", pool, "from", m.From, "to", m.To, "owner", m.Owner)
		}
		c.install(pool, next, now)
	})
}

// freeze notes the slices that a table on its way to the store replaces. Their owners must not be offered the keys meanwhile:
// the new table takes it that they never were.
func (c *Coordinator) freeze(pool string, next *keyrange.Table) {
	p := c.pools[pool]
	if p.table == nil {
		return
	}
	kept := map[int64]bool{}
	for i := range next.Slices {
		kept[next.Slices[i].Fence] = true
	}
	p.frozen = map[int64]bool{}
	for i := range p.table.Slices {
		if fence := p.table.Slices[i].Fence; !kept[fence] {
			p.frozen[fence] = true
		}
	}
}

// thaw ends what freeze began.
func (c *Coordinator) thaw() {
	for _, p := range c.pools {
		p.frozen = nil
	}
}

// tidyInterval is the time after a write until finished moves are stored. A successor takes the others for unfinished.
const tidyInterval = 250 * time.Millisecond

func (c *Coordinator) tidyDue(now clock.Instant) bool {
	if now.Sub(c.wrote) < tidyInterval || now < c.refusedUntil {
		return false
	}
	for _, p := range c.pools {
		if p.tidy {
			return true
		}
	}
	return false
}

// tidyTables drops previous owners that no longer matter from the stored tables, so that a successor needn't wait for them.
func (c *Coordinator) tidyTables() []rowstore.Row {
	var puts []rowstore.Row
	for name, p := range c.pools {
		if !p.tidy {
			continue
		}
		for i := range p.table.Slices {
			s := &p.table.Slices[i]
			if g := p.grants[s.Fence]; g != nil && g.ready {
				s.Previous, s.PreviousStarted, s.PreviousFence = "", 0, 0
			}
		}
		p.tidy = false
		value, err := encodeTable(p.table)
		if err != nil {
			c.log(event.ControlRowBad, "key", KeySlices+name, "error", err.Error())
			continue
		}
		puts = append(puts, rowstore.Row{Table: Table, Key: KeySlices + name, Value: value})
	}
	return puts
}
