package controller

import (
	"cmp"
	"encoding/json"
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
	// stepInterval is the time between two steps in which slices leave targets that are out of service. With stepShare
	// of a pool per step, even a whole pool's slices have left after 1.2 s.
	stepInterval = 300 * time.Millisecond
	stepShare    = 4
	// refreshInterval is the time between two checks of the successors.
	refreshInterval = 500 * time.Millisecond
	// clearInterval is the least time between a change and the write that only clears former owners.
	clearInterval = 2 * time.Second
)

// slice is the assignment of a range of key hashes.
//
// Invariant: the published owner is empty while a former owner may execute requests, or while the assignment is neither
// in the store nor known to a majority.
type slice struct {
	SliceRecord
	// released lists the former owners that are known to have released the slice.
	released map[string]bool
	// promoted tells that the assignment isn't in the store yet.
	promoted bool
	// open tells that the owner has been published. It isn't hidden again under the same epoch, because its gateway would
	// release the slice for good.
	open bool
	// fence is the first published table with this epoch. known counts who has it.
	fence topology.Version
	known *witness.Acceptance
	// idle tells that the owner's gateway has released the slice under this epoch, as of a lost target. If the target
	// comes back, it needs a new epoch.
	idle bool
	// appliedAt is when the gateway of a former owner was first known to have the table fence.
	appliedAt map[string]clock.Instant
}

func newSlice(rec SliceRecord) *slice {
	return &slice{SliceRecord: rec, released: map[string]bool{}, appliedAt: map[string]clock.Instant{}}
}

// free tells whether no former owner may execute requests.
func (sl *slice) free() bool {
	for _, f := range sl.Former {
		if !sl.released[f.Owner] {
			return false
		}
	}
	return true
}

// visible returns the owner that the table shows.
func (sl *slice) visible() string {
	if sl.open {
		return sl.Owner
	}
	if !sl.free() {
		return ""
	}
	if sl.promoted {
		if sl.known == nil {
			return ""
		}
		if _, ok := sl.known.Majority(); !ok {
			return ""
		}
	}
	return sl.Owner
}

// topology returns the slice as placement sees it.
func (sl *slice) topology(pool string) topology.Slice {
	return topology.Slice{Pool: pool, Low: sl.Low, High: sl.High, Owner: sl.Owner, Epoch: sl.Epoch, Successors: sl.Successors}
}

// reassign gives the slice another owner. The present owner becomes a former one also when it was not published, because
// an earlier controller may have published it.
func (sl *slice) reassign(owner string, epoch topology.Epoch) {
	sl.Former = addFormer(sl.Former, Former{Owner: sl.Owner, Epoch: sl.Epoch})
	sl.Former = slices.DeleteFunc(sl.Former, func(f Former) bool { return f.Owner == owner })
	delete(sl.released, sl.Owner)
	sl.Owner = owner
	sl.Epoch = epoch
	sl.fence = topology.Version{}
	sl.known = nil
	sl.open = false
	sl.idle = false
	sl.appliedAt = map[string]clock.Instant{}
}

func addFormer(all []Former, f Former) []Former {
	out := slices.DeleteFunc(slices.Clone(all), func(o Former) bool { return o.Owner == f.Owner })
	return append(out, f)
}

// pool is a keyed pool of the cell.
//
// Crash points of a move: before the write, nothing has changed. After the write and before the table, the next
// controller reads the new owner with the former one, publishes no owner, and waits for the release again. After the
// table and before the release, the same. After the release, the same once more: the former owner's gateway has nothing
// in flight and reports so at once. After the write that clears the former owner, nothing is left to do.
type pool struct {
	name string
	cfg  *config.Pool
	row  row
	// claimed tells that the row was written in this term. Nothing is decided before.
	claimed bool
	slices  []*slice
	// next is what is being written; base holds the epochs that it was derived from, by Low.
	next []SliceRecord
	base map[uint64]topology.Epoch

	nextStep    clock.Instant
	nextRefresh clock.Instant
	changedAt   clock.Instant
	balance     balancing
}

// configurePools follows the keyed pools of the configuration.
func (l *leadership) configurePools() {
	keep := map[string]bool{}
	for i := range l.s.cfg.Pools {
		cfg := &l.s.cfg.Pools[i]
		if !cfg.Keyed || len(placement.Targets(l.s.cfg, cfg, l.s.o.Region)) == 0 {
			continue
		}
		keep[cfg.Name] = true
		p, ok := l.pools[cfg.Name]
		if !ok {
			p = &pool{name: cfg.Name, row: row{key: slicesKey(l.s.o.Cell, cfg.Name)}}
			l.pools[cfg.Name] = p
		}
		p.cfg = cfg
	}
	for name := range l.pools {
		if !keep[name] {
			delete(l.pools, name)
		}
	}
}

func (l *leadership) poolsReady() bool {
	for _, p := range l.pools {
		if !p.claimed {
			return false
		}
	}
	return true
}

func (l *leadership) poolNames() []string {
	names := make([]string, 0, len(l.pools))
	for name := range l.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (l *leadership) tickPools(now clock.Instant) {
	for _, name := range l.poolNames() {
		p := l.pools[name]
		p.row.tick(l.s, now)
		if !p.claimed {
			l.claim(now, p)
			continue
		}
		if l.collected {
			l.tickPool(now, p)
		}
	}
}

// claim reads the row of a pool and writes it back with this term, so that no late write of an older controller can
// change it any more. A pool without a row starts with initial slices.
func (l *leadership) claim(now clock.Instant, p *pool) {
	if !p.row.idle() || now < p.row.retryAt {
		return
	}
	if !p.row.loaded {
		p.row.read(l.s, now)
		return
	}
	var record SlicesRecord
	if p.row.now.Revision != 0 {
		if err := json.Unmarshal(p.row.now.Value, &record); err != nil {
			l.s.o.Log.Emit(event.RecordInvalid, "key", p.row.key, "error", err.Error())
			p.row.retryAt = now.Add(renewInterval)
			p.row.loaded = false
			return
		}
	}
	if record.Term > l.term {
		// A newer controller has claimed the row.
		l.s.depose(now)
		return
	}
	if len(record.Slices) == 0 {
		record.Slices = toRecords(l.initialSlices(now, p))
	}
	p.write(l, now, record.Slices)
}

func (p *pool) write(l *leadership, now clock.Instant, next []SliceRecord) {
	p.next = next
	p.base = make(map[uint64]topology.Epoch, len(p.slices))
	for _, sl := range p.slices {
		p.base[sl.Low] = sl.Epoch
	}
	p.row.put(l.s, now, encode(SlicesRecord{Term: l.term, Slices: next}))
}

// onPoolRow takes in an answer about the row of a pool.
func (s *State) onPoolRow(now clock.Instant, key string, take func(r *row) outcome) {
	if s.lead == nil {
		return
	}
	for _, p := range s.lead.pools {
		if p.row.key != key {
			continue
		}
		switch take(&p.row) {
		case outcomeApplied:
			s.lead.onPoolWritten(now, p)
		case outcomeLost:
			// Only an older controller whose write came before the claim, or a newer one, writes this row. In the second
			// case the term is over too; the renewal finds that out.
			s.o.Log.Emit(event.SlicesConflict, "key", key)
			p.claimed = false
		case outcomeNone:
		}
	}
}

func (l *leadership) onPoolWritten(now clock.Instant, p *pool) {
	p.claimed = true
	p.changedAt = now
	p.merge()
	l.dirty = true
	for _, r := range l.routers {
		l.reviewReports(now, r, p)
	}
	l.s.o.Log.Emit(event.SlicesWritten, "pool", p.name, "slices", len(p.slices))
}

// merge replaces the slices by those just written. A slice that was promoted while the write was pending keeps its
// promoted owner, with a new epoch above both.
func (p *pool) merge() {
	old := p.slices
	p.slices = make([]*slice, len(p.next))
	for i, rec := range p.next {
		p.slices[i] = p.mergeOne(old, rec)
	}
	p.next, p.base = nil, nil
}

func (p *pool) mergeOne(old []*slice, rec SliceRecord) *slice {
	merged := newSlice(rec)
	for _, o := range old {
		if o.High < rec.Low || o.Low > rec.High {
			continue
		}
		if base, ok := p.base[o.Low]; ok && base != o.Epoch {
			merged.keepPromoted(o)
			continue
		}
		if o.Epoch == rec.Epoch && o.Low == rec.Low && o.High == rec.High {
			merged.inherit(o)
		}
	}
	return merged
}

// inherit keeps what is known about the unchanged assignment.
func (sl *slice) inherit(o *slice) {
	sl.released, sl.fence, sl.known, sl.appliedAt, sl.open, sl.idle = o.released, o.fence, o.known, o.appliedAt, o.open, o.idle
}

func (sl *slice) keepPromoted(o *slice) {
	for _, f := range o.Former {
		sl.Former = addFormer(sl.Former, f)
	}
	sl.reassign(o.Owner, max(sl.Epoch, o.Epoch)+placement.EpochStep)
	sl.promoted = true
}

// records returns the present assignment as it is to be written, without former owners that have released their slices.
func (p *pool) records() []SliceRecord {
	out := make([]SliceRecord, len(p.slices))
	for i, sl := range p.slices {
		out[i] = sl.SliceRecord
		out[i].Former = slices.DeleteFunc(slices.Clone(sl.Former), func(f Former) bool { return sl.released[f.Owner] })
	}
	return out
}

func (p *pool) anyPromoted() bool {
	return slices.ContainsFunc(p.slices, func(sl *slice) bool { return sl.promoted })
}

func (p *pool) clearable() bool {
	return slices.ContainsFunc(p.slices, func(sl *slice) bool {
		return slices.ContainsFunc(sl.Former, func(f Former) bool { return sl.released[f.Owner] })
	})
}

// tickPool plans the next change of a pool. At most one write is pending, so that each plan starts from a known record.
func (l *leadership) tickPool(now clock.Instant, p *pool) {
	l.expireFormer(now, p)
	targets := l.targets(p)
	if l.s.storeDown {
		l.promote(now, p, targets)
		return
	}
	if !p.row.idle() {
		return
	}
	next := p.records()
	if l.plan(now, p, next, targets) {
		p.write(l, now, next)
		return
	}
	if planned := l.planBalance(now, p, targets); planned != nil {
		p.write(l, now, planned)
		return
	}
	if p.clearable() && now.Sub(p.changedAt) >= clearInterval {
		p.write(l, now, next)
	}
}

// targets returns the targets of a pool with what their gateways say about them.
func (l *leadership) targets(p *pool) []placement.Target {
	targets := placement.Targets(l.s.cfg, p.cfg, l.s.o.Region)
	state := l.targetStates()
	for i := range targets {
		switch state[targets[i].ID] {
		case wire.TargetLost:
			targets[i].Lost = true
			targets[i].Available = false
		case wire.TargetDraining:
			targets[i].Available = false
		}
	}
	return targets
}

// targetStates returns what the holder of each target's group has reported. Reports of former holders don't count.
func (l *leadership) targetStates() map[string]wire.TargetState {
	states := map[string]wire.TargetState{}
	for _, g := range l.groups {
		r := l.routers[g.holder]
		if g.state != groupHeld || r == nil {
			continue
		}
		for _, t := range r.targets {
			if slices.Contains(g.info.Targets, t.Target) {
				states[t.Target] = t.State
			}
		}
	}
	return states
}

// plan changes next where owners are gone: all slices of lost targets at once, those of targets that are out or leaving
// in steps. It returns whether anything changed.
func (l *leadership) plan(now clock.Instant, p *pool, next []SliceRecord, targets []placement.Target) bool {
	moves := l.evacuate(now, p, targets, false)
	if len(moves) == 0 {
		return p.revive(next, targets) || p.anyPromoted() || l.refreshDue(now, p) && p.refreshSuccessors(next, targets)
	}
	lost := map[string]bool{}
	for _, t := range targets {
		lost[t.ID] = t.Lost
	}
	budget := 0
	if now >= p.nextStep {
		budget = (len(p.slices) + stepShare - 1) / stepShare
	}
	moved := 0
	for _, m := range moves {
		i := indexLow(next, m.Low)
		if !lost[next[i].Owner] {
			if budget == 0 {
				continue
			}
			budget--
			p.nextStep = now.Add(stepInterval)
		}
		moveRecord(&next[i], m.To)
		moved++
	}
	if moved > 0 {
		p.refreshSuccessors(next, targets)
	}
	return moved > 0
}

// revive gives a new epoch to the slices that were released by their gateway because of a loss that has passed.
func (p *pool) revive(next []SliceRecord, targets []placement.Target) bool {
	available := map[string]bool{}
	for _, t := range targets {
		available[t.ID] = t.Available
	}
	changed := false
	for i, sl := range p.slices {
		if sl.idle && available[sl.Owner] {
			next[i].Epoch += placement.EpochStep
			changed = true
		}
	}
	return changed
}

// refreshDue tells whether the successors are to be checked. Successors matter at the next loss only, and the check looks
// at every slice.
func (l *leadership) refreshDue(now clock.Instant, p *pool) bool {
	if now < p.nextRefresh {
		return false
	}
	p.nextRefresh = now.Add(refreshInterval)
	return true
}

// moveRecord gives a slice a new owner. The epoch skips those reserved for the successors, which may be in use.
func moveRecord(rec *SliceRecord, to string) {
	rec.Former = addFormer(rec.Former, Former{Owner: rec.Owner, Epoch: rec.Epoch})
	rec.Former = slices.DeleteFunc(rec.Former, func(f Former) bool { return f.Owner == to })
	rec.Owner = to
	rec.Epoch += placement.EpochStep
}

func indexLow(all []SliceRecord, low uint64) int {
	return slices.IndexFunc(all, func(r SliceRecord) bool { return r.Low == low })
}

func (p *pool) view() []topology.Slice {
	out := make([]topology.Slice, len(p.slices))
	for i, sl := range p.slices {
		out[i] = sl.topology(p.name)
	}
	return out
}

// refreshSuccessors records valid successors.
func (p *pool) refreshSuccessors(next []SliceRecord, targets []placement.Target) bool {
	view := make([]topology.Slice, len(next))
	for i, r := range next {
		view[i] = topology.Slice{Pool: p.name, Low: r.Low, High: r.High, Owner: r.Owner, Epoch: r.Epoch, Successors: r.Successors}
	}
	if !placement.AssignSuccessors(view, targets) {
		return false
	}
	changed := false
	for i := range next {
		if slices.Equal(next[i].Successors, view[i].Successors) {
			continue
		}
		next[i].Successors = view[i].Successors
		changed = true
	}
	return changed
}

// promote hands lost slices to their recorded successors while the store is down. The epoch is the reserved one, so that
// every process that knows the record derives the same owner from it.
func (l *leadership) promote(now clock.Instant, p *pool, targets []placement.Target) {
	promoted := 0
	for _, m := range l.evacuate(now, p, targets, true) {
		i := slices.IndexFunc(p.slices, func(sl *slice) bool { return sl.Low == m.Low })
		sl := p.slices[i]
		if sl.promoted {
			// The reserved epochs are used up or under way; the rest waits for the store.
			continue
		}
		sl.reassign(m.To, sl.Epoch+1+topology.Epoch(m.Successor))
		sl.promoted = true
		promoted++
	}
	if promoted > 0 {
		l.dirty = true
		for _, r := range l.routers {
			l.reviewReports(now, r, p)
		}
		l.s.o.Log.Emit(event.SuccessorsPromoted, "pool", p.name, "slices", promoted)
	}
}

// adoptPromotions takes over what earlier controllers promoted without the store, from the tables that routers had. A
// promotion was published only after a majority of each roster had a table that shows its epoch, so that the tables of at
// least half of each roster show every promotion that can be in use.
func (l *leadership) adoptPromotions() {
	var tables []*topology.Table
	for _, t := range l.routerTables {
		if t != nil && t.Cell == l.s.o.Cell {
			tables = append(tables, t)
		}
	}
	slices.SortFunc(tables, func(a, b *topology.Table) int {
		return cmp.Or(cmp.Compare(a.Version.Term, b.Version.Term), cmp.Compare(a.Version.Sequence, b.Version.Sequence))
	})
	for _, t := range tables {
		for _, shown := range t.Slices {
			l.adoptShown(shown)
		}
	}
}

// renewHidden gives a new epoch to the slices that the first table of the term will hide. A gateway that has released a
// slice takes it up again only under a new epoch.
//
// all renews every slice: promotions may be unknown.
func (p *pool) renewHidden(all bool) {
	for _, sl := range p.slices {
		if all || sl.visible() == "" {
			sl.Epoch += placement.EpochStep
			sl.promoted = true
		}
	}
}

// release notes that the gateway of a group has ended the requests of every former owner in the group.
func (sl *slice) release(g *group) {
	for _, f := range sl.Former {
		if slices.Contains(g.info.Targets, f.Owner) {
			sl.released[f.Owner] = true
		}
	}
}

func (l *leadership) adoptShown(shown topology.Slice) {
	p, ok := l.pools[shown.Pool]
	if !ok {
		return
	}
	for _, sl := range p.slices {
		if shown.Low <= sl.High && sl.Low <= shown.High {
			sl.adoptShown(shown)
		}
	}
}

// adoptShown compares the recorded assignment with one that a router knew. The same epoch means the same assignment.
// A higher one is a promotion, which goes on. The owner of a lower one may still be running requests.
func (sl *slice) adoptShown(shown topology.Slice) {
	owner := shownOwner(shown)
	if shown.Epoch == sl.Epoch || owner == "" {
		return
	}
	sameRange := shown.Low == sl.Low && shown.High == sl.High
	switch {
	case shown.Epoch < sl.Epoch:
		sl.addFormer(owner, shown.Epoch)
	case sameRange:
		sl.reassign(owner, shown.Epoch)
		sl.promoted = true
	default:
		// The range was cut or joined by a write that took effect late.
		sl.addFormer(owner, shown.Epoch)
		sl.Epoch = shown.Epoch + placement.EpochStep
		sl.promoted = true
	}
}

// shownOwner returns the owner of a published slice, also while the slice is between owners; see showSlice.
func shownOwner(shown topology.Slice) string {
	if shown.Owner == "" && len(shown.Successors) > 0 {
		return shown.Successors[0]
	}
	return shown.Owner
}

func (sl *slice) addFormer(owner string, epoch topology.Epoch) {
	if owner == sl.Owner {
		return
	}
	sl.Former = addFormer(sl.Former, Former{Owner: owner, Epoch: epoch})
	delete(sl.released, owner)
}

// onSliceReports takes in what a gateway says about slices that changed hands there.
func (l *leadership) onSliceReports(now clock.Instant, r *router, hb *wire.Heartbeat) {
	if hb.TableVersion.Less(r.reportTable) {
		// A delayed heartbeat.
		return
	}
	r.reports = hb.Slices
	r.reportTable = hb.TableVersion
	for _, p := range l.pools {
		l.reviewReports(now, r, p)
	}
}

// reviewReports applies the reports of a router to a pool. A gateway reports the release of a lost target's slice before
// the controller has decided on the move, so that this happens after each change too.
func (l *leadership) reviewReports(now clock.Instant, r *router, p *pool) {
	for _, rep := range r.reports {
		if rep.Pool != p.name {
			continue
		}
		for _, sl := range p.slices {
			if rep.Low <= sl.Low && sl.High <= rep.High {
				l.onSliceReport(now, r, sl, rep)
			}
		}
	}
}

func (l *leadership) onSliceReport(now clock.Instant, r *router, sl *slice, rep wire.SliceReport) {
	g := l.groupOf(rep.Owner)
	if g == nil || g.state != groupHeld || g.holder != identityOf(r.member) {
		return
	}
	switch rep.State {
	case wire.SliceReleased:
		l.onSliceReleased(now, g, r, sl, rep)
	case wire.SlicePromoted:
		l.onSlicePromoted(g, sl, rep)
	}
}

// onSliceReleased notes the release by the gateway of a former owner's group. It speaks for every former owner in its
// group, because it may have promoted one of them itself. A gateway that took the group from a lost one can't speak for
// the requests of that one; they are outwaited.
//
// A release is final for the gateway's present hold of the group and the slice's epoch. The report counts only if it was
// made with the table that shows this hold, so that it isn't about an earlier one. If the gateway is replaced before the
// change is published, its successor is granted the group in the same table or a later one, and doesn't serve the slice.
func (l *leadership) onSliceReleased(now clock.Instant, g *group, r *router, sl *slice, rep wire.SliceReport) {
	if now < l.quietAt(g) || g.shown == (topology.Version{}) || r.reportTable.Less(g.shown) {
		return
	}
	if rep.Owner == sl.Owner && rep.Epoch == sl.Epoch {
		sl.idle = true
	}
	for _, f := range sl.Former {
		if slices.Contains(g.info.Targets, f.Owner) && rep.Epoch >= f.Epoch && !sl.released[f.Owner] {
			sl.released[f.Owner] = true
			l.dirty = true
		}
	}
}

// onSlicePromoted follows a promotion that a gateway has made within its group. The successor may be one that was
// recorded before the latest change of successors.
func (l *leadership) onSlicePromoted(g *group, sl *slice, rep wire.SliceReport) {
	if rep.Epoch <= sl.Epoch || rep.Epoch >= sl.Epoch+placement.EpochStep || !slices.Contains(g.info.Targets, sl.Owner) {
		return
	}
	if sl.Owner == rep.Owner {
		return
	}
	former := sl.Owner
	sl.reassign(rep.Owner, rep.Epoch)
	// The gateway serves both owners; it has ended the requests of the former one.
	sl.released[former] = true
	sl.promoted = true
	sl.open = true
	l.dirty = true
}

func (l *leadership) groupOf(target string) *group {
	for _, g := range l.groups {
		if slices.Contains(g.info.Targets, target) {
			return g
		}
	}
	return nil
}

// quietAt returns the instant from which on no request of a group's lost holder can be running.
func (l *leadership) quietAt(g *group) clock.Instant {
	if g.goneAt == 0 {
		return 0
	}
	return g.goneAt.Add(clock.WithDrift(l.residue(g.info.ID)))
}

// residue is how long requests may run at the targets of a group after its gateway has ended without a report: until the
// grant lapses at targets that check it, else until the longest deadline.
func (l *leadership) residue(id topology.GroupID) time.Duration {
	p := l.poolOf(id)
	if p == nil {
		return 0
	}
	if p.GrantsChecked {
		return lease.GrantTTL
	}
	return p.MaxDeadline.Duration()
}

// longest is the longest deadline of a group's pool.
func (l *leadership) longest(id topology.GroupID) time.Duration {
	p := l.poolOf(id)
	if p == nil {
		return 0
	}
	return p.MaxDeadline.Duration()
}

// expireFormer releases former owners by time, where no report can come; see formerGone.
func (l *leadership) expireFormer(now clock.Instant, p *pool) {
	for _, sl := range p.slices {
		for _, f := range sl.Former {
			if !sl.released[f.Owner] && l.formerGone(now, p, sl, f) {
				sl.released[f.Owner] = true
				l.dirty = true
			}
		}
	}
}

// formerGone tells whether the last request at a former owner has ended for certain:
//   - the target isn't configured any more, and the longest deadline has passed;
//   - the group's gateway was granted the group when the change was published already, so that only earlier gateways can
//     have served the former owner, and their requests have ended;
//   - the gateway has known for the longest deadline that the owner changed.
func (l *leadership) formerGone(now clock.Instant, p *pool, sl *slice, f Former) bool {
	longest := clock.WithDrift(max(p.cfg.MaxDeadline.Duration(), lease.GrantTTL))
	g := l.groupOf(f.Owner)
	if g == nil {
		return now >= l.since.Add(longest)
	}
	r := l.routers[g.holder]
	if g.state != groupHeld || r == nil || sl.fence == (topology.Version{}) || g.shown == (topology.Version{}) {
		return false
	}
	ownTerm := g.epoch >= topology.NewGroupEpoch(l.term, 0)
	if ownTerm && !g.shown.Less(sl.fence) {
		return now >= l.quietAt(g)
	}
	if r.table.Less(sl.fence) {
		return false
	}
	key := f.Owner + "@" + g.holder.vm
	if _, ok := sl.appliedAt[key]; !ok {
		sl.appliedAt[key] = now
	}
	return now >= sl.appliedAt[key].Add(longest) && now >= l.quietAt(g)
}

// noteTable records that a router knows the tables up to its version.
func (p *pool) noteTable(now clock.Instant, r *router) {
	for _, sl := range p.slices {
		if sl.known != nil && !r.table.Less(sl.fence) {
			sl.known.Accept(r.member, now)
		}
	}
}

func (p *pool) recount(record TermRecord) {
	for _, sl := range p.slices {
		if sl.known != nil {
			sl.known = witness.NewAcceptance(record.Roster, record.Previous)
		}
	}
}
