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
	// rebalanceInterval is the minimum time between two rebalancing plans of a pool.
	rebalanceInterval = time.Second
	// moveBudgetBurst is the time over which unused moves accumulate.
	moveBudgetBurst = 10 * time.Second
)

// rebalanceState is the rebalancing state of a pool.
type rebalanceState struct {
	balancer *placement.Balancer
	nextPlan clock.Instant
	// moveBudget is the number of rebalancing moves available at refilledAt.
	moveBudget float64
	refilledAt clock.Instant
}

// refill adds the moves that the configured rate allows since the last refill.
func (b *rebalanceState) refill(now clock.Instant, perMinute int) {
	perSecond := float64(perMinute) / 60
	if b.refilledAt != 0 {
		b.moveBudget += now.Sub(b.refilledAt).Seconds() * perSecond
	}
	b.refilledAt = now
	b.moveBudget = min(b.moveBudget, max(1, moveBudgetBurst.Seconds()*perSecond))
}

// onLoads passes the reported request rates of slices to the balancers of their pools.
func (l *leadership) onLoads(now clock.Instant, loads []wire.SliceLoad) {
	for _, load := range loads {
		if p, ok := l.pools[load.Pool]; ok && p.balance.balancer != nil {
			p.balance.balancer.Observe(now, load)
		}
	}
}

// planRebalance returns the assignment after the next rebalancing step, or nil if no step is due. Only rebalancing
// moves are charged to the configured move budget; failover and evacuation of leaving targets are never delayed by
// it.
func (l *leadership) planRebalance(now clock.Instant, p *pool, targets []placement.Target) []SliceRecord {
	b := &p.balance
	if b.balancer == nil {
		b.balancer = placement.NewBalancer(now)
	}
	b.refill(now, p.cfg.MovesPerMinute)
	if now < b.nextPlan || l.anyUnheld() {
		return nil
	}
	b.nextPlan = now.Add(rebalanceInterval)
	initial := placement.SliceCount(targets, p.cfg.SlicesPerTarget)
	plan, ok := b.balancer.Plan(now, p.placementSlices(), targets, p.movingSlices(), initial, int(b.moveBudget))
	if !ok {
		return nil
	}
	b.moveBudget -= float64(plan.Moves)
	placement.AssignSuccessors(plan.Slices, targets)
	return p.applyPlan(plan.Slices)
}

// anyUnheld reports whether a configured group has no holder. The slices of such a group report no rates, so
// rebalancing would act on stale rates.
func (l *leadership) anyUnheld() bool {
	for _, g := range l.groups {
		if g.state != groupHeld && len(g.info.Targets) > 0 {
			return true
		}
	}
	return false
}

// movingSlices returns the low ends of the slices that are between owners or not in the store yet.
func (p *pool) movingSlices() map[uint64]bool {
	moving := map[uint64]bool{}
	for _, sl := range p.slices {
		if sl.visibleOwner() == "" || sl.promoted || !sl.formerReleased() {
			moving[sl.Low] = true
		}
	}
	return moving
}

// applyPlan converts planned slices to records. The parts of a split slice and a joined slice keep their owner; a
// moved slice gets its current owner as a former owner.
func (p *pool) applyPlan(planned []topology.Slice) []SliceRecord {
	present := p.currentRecords()
	out := make([]SliceRecord, len(planned))
	for i, s := range planned {
		at := slices.IndexFunc(present, func(r SliceRecord) bool { return r.Low <= s.Low && s.Low <= r.High })
		rec := present[at]
		if rec.Owner != s.Owner {
			rec.Former = appendFormer(rec.Former, FormerOwner{Owner: rec.Owner, Epoch: rec.Epoch})
			rec.Former = slices.DeleteFunc(rec.Former, func(f FormerOwner) bool { return f.Owner == s.Owner })
		}
		rec.Low, rec.High, rec.Owner, rec.Epoch, rec.Successors = s.Low, s.High, s.Owner, s.Epoch, s.Successors
		out[i] = rec
	}
	return out
}
