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
	// evacuationInterval is the time between two steps in which slices leave targets that are out of service. Each
	// step moves at most 1/evacuationDivisor of a pool's slices, so even all slices of a pool have left after 1.2 s.
	evacuationInterval = 300 * time.Millisecond
	evacuationDivisor  = 4
	// successorCheckInterval is the time between two checks of the successors.
	successorCheckInterval = 500 * time.Millisecond
	// formerClearInterval is the minimum time between a change and a write that only removes former owners.
	formerClearInterval = 2 * time.Second
)

// pool is a keyed pool of the cell.
//
// Crash points of a move: before the write, nothing has changed. After the write and before the table is published,
// the next controller reads the new owner with the former one, publishes no owner, and waits for the release again.
// The same applies after the table is published and before the release. After the release, it applies once more, but
// the former owner's gateway has no requests in flight and reports so at once. After the write that removes the
// former owner, the move is complete.
type pool struct {
	name string
	cfg  *config.Pool
	row  row
	// claimed reports whether the row was written in this term. No decisions are made before.
	claimed bool
	slices  []*slice
	// pendingRecords is the assignment being written; pendingEpochs holds the epochs that it was derived from, by
	// Low.
	pendingRecords []SliceRecord
	pendingEpochs  map[uint64]topology.Epoch

	nextEvacuation     clock.Instant
	nextSuccessorCheck clock.Instant
	changedAt          clock.Instant
	balance            rebalanceState
}

// applyPoolConfig adds, updates and removes pools to match the keyed pools of the configuration.
func (l *leadership) applyPoolConfig() {
	keep := map[string]bool{}
	for i := range l.s.cfg.Pools {
		cfg := &l.s.cfg.Pools[i]
		if !cfg.Keyed || len(placement.Targets(l.s.cfg, cfg, l.s.options.Region)) == 0 {
			continue
		}
		keep[cfg.Name] = true
		p, ok := l.pools[cfg.Name]
		if !ok {
			p = &pool{name: cfg.Name, row: row{key: slicesKey(l.s.options.Cell, cfg.Name)}}
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

func (l *leadership) allPoolsClaimed() bool {
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
			l.claimRow(now, p)
			continue
		}
		if l.collected {
			l.tickPool(now, p)
		}
	}
}

// claimRow reads the row of a pool and writes it back with this term, so that no late write of an older controller
// can change it. A pool without a row starts with initial slices.
func (l *leadership) claimRow(now clock.Instant, p *pool) {
	if !p.row.idle() || now < p.row.retryAt {
		return
	}
	if !p.row.loaded {
		p.row.read(l.s, now)
		return
	}
	var record SlicesRecord
	if p.row.current.Revision != 0 {
		if err := json.Unmarshal(p.row.current.Value, &record); err != nil {
			l.s.options.Log.Emit(event.RecordInvalid, "key", p.row.key, "error", err.Error())
			p.row.retryAt = now.Add(renewInterval)
			p.row.loaded = false
			return
		}
	}
	if record.Term > l.term {
		// A newer controller has claimed the row.
		l.s.stepDown(now)
		return
	}
	if len(record.Slices) == 0 {
		record.Slices = sliceRecords(l.initialSlices(now, p))
	}
	p.write(l, now, record.Slices)
}

func (p *pool) write(l *leadership, now clock.Instant, next []SliceRecord) {
	p.pendingRecords = next
	p.pendingEpochs = make(map[uint64]topology.Epoch, len(p.slices))
	for _, sl := range p.slices {
		p.pendingEpochs[sl.Low] = sl.Epoch
	}
	p.row.put(l.s, now, mustMarshal(SlicesRecord{Term: l.term, Slices: next}))
}

// onPoolRowResult applies a read or write result to the row of a pool.
func (s *State) onPoolRowResult(now clock.Instant, key string, apply func(r *row) outcome) {
	if s.lead == nil {
		return
	}
	for _, p := range s.lead.pools {
		if p.row.key != key {
			continue
		}
		switch apply(&p.row) {
		case outcomeApplied:
			s.lead.onPoolWritten(now, p)
		case outcomeLost:
			// This row is written only by this controller, an older one whose write preceded the claim, or a newer
			// one. In the last case the term is over too, which the next renewal detects.
			s.options.Log.Emit(event.SlicesConflict, "key", key)
			p.claimed = false
		case outcomeNone:
		}
	}
}

func (l *leadership) onPoolWritten(now clock.Instant, p *pool) {
	p.claimed = true
	p.changedAt = now
	p.mergeWritten()
	l.tableChanged = true
	for _, r := range l.routers {
		l.applyReports(now, r, p)
	}
	l.s.options.Log.Emit(event.SlicesWritten, "pool", p.name, "slices", len(p.slices))
}

// mergeWritten replaces the slices by those just written. A slice that was promoted while the write was pending keeps
// its promoted owner, with a new epoch above both.
func (p *pool) mergeWritten() {
	old := p.slices
	p.slices = make([]*slice, len(p.pendingRecords))
	for i, rec := range p.pendingRecords {
		p.slices[i] = p.mergeRecord(old, rec)
	}
	p.pendingRecords, p.pendingEpochs = nil, nil
}

func (p *pool) mergeRecord(old []*slice, rec SliceRecord) *slice {
	merged := newSlice(rec)
	for _, o := range old {
		if o.High < rec.Low || o.Low > rec.High {
			continue
		}
		if base, ok := p.pendingEpochs[o.Low]; ok && base != o.Epoch {
			merged.mergePromoted(o)
			continue
		}
		if o.Epoch == rec.Epoch && o.Low == rec.Low && o.High == rec.High {
			merged.inheritState(o)
		}
	}
	return merged
}

// currentRecords returns the current assignment as it is to be written, without former owners that have released
// their slices.
func (p *pool) currentRecords() []SliceRecord {
	out := make([]SliceRecord, len(p.slices))
	for i, sl := range p.slices {
		out[i] = sl.SliceRecord
		out[i].Former = slices.DeleteFunc(slices.Clone(sl.Former), func(f FormerOwner) bool { return sl.released[f.Owner] })
	}
	return out
}

func (p *pool) hasPromoted() bool {
	return slices.ContainsFunc(p.slices, func(sl *slice) bool { return sl.promoted })
}

func (p *pool) hasReleasedFormer() bool {
	return slices.ContainsFunc(p.slices, func(sl *slice) bool {
		return slices.ContainsFunc(sl.Former, func(f FormerOwner) bool { return sl.released[f.Owner] })
	})
}

// tickPool plans the next change of a pool. At most one write is pending, so each plan starts from a known record.
func (l *leadership) tickPool(now clock.Instant, p *pool) {
	l.expireFormer(now, p)
	targets := l.reportedTargets(p)
	if l.s.storeDown {
		l.promoteSuccessors(now, p, targets)
		return
	}
	if !p.row.idle() {
		return
	}
	next := p.currentRecords()
	if l.planChanges(now, p, next, targets) {
		p.write(l, now, next)
		return
	}
	if planned := l.planRebalance(now, p, targets); planned != nil {
		p.write(l, now, planned)
		return
	}
	if p.hasReleasedFormer() && now.Sub(p.changedAt) >= formerClearInterval {
		p.write(l, now, next)
	}
}

func (p *pool) resetAcceptances(record TermRecord) {
	for _, sl := range p.slices {
		if sl.publishedAcks != nil {
			sl.publishedAcks = witness.NewAcceptance(record.Roster, record.Previous)
		}
	}
}
