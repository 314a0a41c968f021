package controller

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/topology"
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

func (p *pool) recount(record TermRecord) {
	for _, sl := range p.slices {
		if sl.known != nil {
			sl.known = witness.NewAcceptance(record.Roster, record.Previous)
		}
	}
}
