package controller

import (
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// balanceInterval is the least time between two balancing plans of a pool.
	balanceInterval = time.Second
	// budgetBurst is how long unused moves may be saved up.
	budgetBurst = 10 * time.Second
)

// balancing is the state of a pool's rebalancing.
type balancing struct {
	balancer *placement.Balancer
	next     clock.Instant
	// moves is the number of balancing moves that may be made now, as of filled.
	moves  float64
	filled clock.Instant
}

// refill adds the moves that the configuration permits per minute.
func (b *balancing) refill(now clock.Instant, perMinute int) {
	perSecond := float64(perMinute) / 60
	if b.filled != 0 {
		b.moves += now.Sub(b.filled).Seconds() * perSecond
	}
	b.filled = now
	b.moves = min(b.moves, max(1, budgetBurst.Seconds()*perSecond))
}

// onLoads takes in the request rates of slices.
func (l *leadership) onLoads(now clock.Instant, loads []wire.SliceLoad) {
	for _, load := range loads {
		if p, ok := l.pools[load.Pool]; ok && p.balance.balancer != nil {
			p.balance.balancer.Observe(now, load)
		}
	}
}

// planBalance returns the assignment after the next balancing step, nil if none is due. Only balancing moves count
// against the budget of the configuration; failover and leaving never wait for it.
func (l *leadership) planBalance(now clock.Instant, p *pool, targets []placement.Target) []SliceRecord {
	b := &p.balance
	if b.balancer == nil {
		b.balancer = placement.NewBalancer(now)
	}
	b.refill(now, p.cfg.MovesPerMinute)
	if now < b.next || l.outGroups() {
		return nil
	}
	b.next = now.Add(balanceInterval)
	initial := placement.SliceCount(targets, p.cfg.SlicesPerTarget)
	plan, ok := b.balancer.Plan(now, p.view(), targets, p.moving(), initial, int(b.moves))
	if !ok {
		return nil
	}
	b.moves -= float64(plan.Moves)
	placement.AssignSuccessors(plan.Slices, targets)
	return p.apply(plan.Slices)
}

// outGroups tells whether a group has no holder. Its slices report no rates, so that balancing would follow stale ones.
func (l *leadership) outGroups() bool {
	for _, g := range l.groups {
		if g.state != groupHeld && len(g.info.Targets) > 0 {
			return true
		}
	}
	return false
}

// moving returns the slices that are between owners or not in the store yet.
func (p *pool) moving() map[uint64]bool {
	moving := map[uint64]bool{}
	for _, sl := range p.slices {
		if sl.visible() == "" || sl.promoted || !sl.free() {
			moving[sl.Low] = true
		}
	}
	return moving
}

// apply turns planned slices into records. A part of a split slice and a joined slice keep their owner; a moved one gets
// the present owner as a former one.
func (p *pool) apply(planned []topology.Slice) []SliceRecord {
	present := p.records()
	out := make([]SliceRecord, len(planned))
	for i, s := range planned {
		at := slices.IndexFunc(present, func(r SliceRecord) bool { return r.Low <= s.Low && s.Low <= r.High })
		rec := present[at]
		if rec.Owner != s.Owner {
			rec.Former = addFormer(rec.Former, Former{Owner: rec.Owner, Epoch: rec.Epoch})
			rec.Former = slices.DeleteFunc(rec.Former, func(f Former) bool { return f.Owner == s.Owner })
		}
		rec.Low, rec.High, rec.Owner, rec.Epoch, rec.Successors = s.Low, s.High, s.Owner, s.Epoch, s.Successors
		out[i] = rec
	}
	return out
}
