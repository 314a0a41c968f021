package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/bronzelever/bronzelever/pkg/claim"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// releasePoll is how often Release looks for the end of what is in flight.
const releasePoll = 10 * time.Millisecond

// Apply implements exchange.LocalGateway.
func (gw *Gateway) Apply(view *exchange.View) {
	if view == nil || view.Config == nil {
		return
	}
	table := view.Tables[view.Cell]
	if table == nil {
		return
	}
	gw.mu.Lock()
	defer gw.mu.Unlock()
	gw.view.Store(view)
	groups := maps.Clone(*gw.groups.Load())
	gw.giveUpMissing(view, table, groups)
	for i := range table.Groups {
		gw.applyGroup(view, table, &table.Groups[i], groups)
	}
	gw.groups.Store(&groups)
	gw.forgetRetired(table)
	gw.remember(table)
	gw.forgetReleased()
}

// giveUpMissing gives up the groups that the table gives to nobody or to somebody else.
func (gw *Gateway) giveUpMissing(view *exchange.View, table *topology.Table, groups map[topology.GroupID]*group) {
	for _, id := range sortedIDs(groups) {
		g := groups[id]
		entry, ok := table.Group(id)
		if ok && entry.Gateway == view.VM && entry.Epoch == g.epoch && !gw.stopping {
			continue
		}
		if ok && entry.Epoch < g.epoch {
			// An older table says nothing about a newer hold.
			continue
		}
		gw.retire(groups, g)
	}
}

// retire gives up a group but keeps reporting it.
func (gw *Gateway) retire(groups map[topology.GroupID]*group, g *group) {
	delete(groups, g.id)
	gw.retiring = append(gw.retiring, g)
	g.giveUp()
}

func (gw *Gateway) applyGroup(view *exchange.View, table *topology.Table, entry *topology.Group, groups map[topology.GroupID]*group) {
	if entry.Gateway != view.VM || gw.stopping {
		return
	}
	pool, ok := view.Config.Pool(entry.ID.Pool())
	if !ok {
		return
	}
	g, held := groups[entry.ID]
	if !held {
		if gw.retired(entry.ID, entry.Epoch) != nil {
			return
		}
		g = newGroup(gw, entry.ID, entry.Epoch, *pool)
		groups[entry.ID] = g
		gw.takeUp(g, view, table)
		go g.run()
	}
	if g.epoch != entry.Epoch {
		return
	}
	for _, t := range g.configure(view.Config, *pool, entry, ownedSlices(table, entry)) {
		go g.grantLoop(t)
		go g.probeLoop(t)
	}
	g.forgetSlices(table)
}

// takeUp decides when the first request of a newly held group may be sent.
func (gw *Gateway) takeUp(g *group, view *exchange.View, table *topology.Table) {
	former, known := gw.former[g.id]
	own := gw.newestRetired(g.id)
	now := gw.Clock.Now()
	switch {
	case own != nil && known && own.epoch == former.epoch:
		// Nobody else has held the group since; its own requests are known.
		g.after = own
		gw.startClaims(g, view, claimSource{own: own.claims, empty: own.claims == nil})
	case neverHeld(table, g.epoch):
		gw.startClaims(g, view, claimSource{empty: true})
	default:
		if entry, ok := table.Group(g.id); !ok || !entry.Clean {
			g.notBefore = now.Add(clock.WithDrift(g.longest()))
		}
		gw.startClaims(g, view, claimSource{former: claim.FormerHolder{VM: former.vm, Epoch: former.epoch}})
		g.asking = known && former.vm != view.VM && g.notBefore > now
	}
	gw.Log.Emit(event.GroupActivated, "group", g.id, "epoch", g.epoch, "wait", max(0, g.notBefore.Sub(now)))
	if g.asking {
		// From here on the group is shared.
		go gw.askFormer(g, former)
	}
}

// neverHeld tells whether the table proves that a group has had no earlier holder. Each grant of a group consumes one
// counter value of the term: if, in a cell's first term, the highest counter equals the number of groups granted so far,
// every group has been granted exactly once.
func neverHeld(table *topology.Table, epoch topology.Epoch) bool {
	if epoch>>32 != 1 {
		return false
	}
	seen := make(map[uint64]bool)
	highest := uint64(0)
	for i := range table.Groups {
		e := table.Groups[i].Epoch
		if e == 0 {
			continue
		}
		counter := uint64(e) & 0xffffffff
		if e>>32 != 1 || seen[counter] {
			return false
		}
		seen[counter] = true
		highest = max(highest, counter)
	}
	return highest == uint64(len(seen))
}

// ownedSlices lists the slices that a table gives to the targets of a group.
func ownedSlices(table *topology.Table, entry *topology.Group) []topology.Slice {
	members := make(map[string]bool, len(entry.Targets))
	for _, id := range entry.Targets {
		members[id] = true
	}
	pool := entry.ID.Pool()
	var owned []topology.Slice
	for _, s := range table.Slices {
		if s.Pool == pool && members[s.Owner] {
			owned = append(owned, s)
		}
	}
	return owned
}

// remember notes the last holder of each group.
func (gw *Gateway) remember(table *topology.Table) {
	for i := range table.Groups {
		entry := &table.Groups[i]
		if entry.Gateway != "" {
			gw.former[entry.ID] = holder{vm: entry.Gateway, epoch: entry.Epoch}
		}
	}
}

func (gw *Gateway) retired(id topology.GroupID, epoch topology.Epoch) *group {
	for _, g := range gw.retiring {
		if g.id == id && g.epoch == epoch {
			return g
		}
	}
	return nil
}

func (gw *Gateway) newestRetired(id topology.GroupID) *group {
	var newest *group
	for _, g := range gw.retiring {
		if g.id == id && (newest == nil || g.epoch > newest.epoch) {
			newest = g
		}
	}
	return newest
}

// forgetRetired drops released groups once the table shows a newer holder or the group is gone.
func (gw *Gateway) forgetRetired(table *topology.Table) {
	kept := gw.retiring[:0:0]
	for _, g := range gw.retiring {
		entry, ok := table.Group(g.id)
		replaced := !ok || entry.Epoch > g.epoch && entry.Gateway != ""
		if replaced && g.isReleased() {
			g.stop()
			gw.keepReleased(g)
			continue
		}
		kept = append(kept, g)
	}
	gw.retiring = kept
}

func (g *group) isReleased() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle()
	return g.state == wire.HoldReleased
}

// Report implements exchange.LocalGateway.
func (gw *Gateway) Report() exchange.GatewayReport {
	gw.mu.Lock()
	retiring := append([]*group(nil), gw.retiring...)
	gw.mu.Unlock()
	groups := *gw.groups.Load()
	var report exchange.GatewayReport
	for _, id := range sortedIDs(groups) {
		groups[id].report(&report)
	}
	for _, g := range retiring {
		g.report(&report)
	}
	return report
}

func (g *group) report(r *exchange.GatewayReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Held = append(r.Held, wire.HeldGroup{Group: g.id, Epoch: g.epoch, State: g.state})
	r.Slices = append(r.Slices, g.sliceReports()...)
	if g.state == wire.HoldActive {
		now := g.clock.Now()
		r.Targets = append(r.Targets, g.targetReports(now)...)
		r.Loads = append(r.Loads, g.loads(now)...)
	}
}

// Release implements exchange.LocalGateway.
func (gw *Gateway) Release(ctx context.Context) error {
	gw.mirror.Leave()
	gw.mu.Lock()
	gw.stopping = true
	groups := maps.Clone(*gw.groups.Load())
	for _, id := range sortedIDs(groups) {
		gw.retire(groups, groups[id])
	}
	gw.groups.Store(&groups)
	retiring := append([]*group(nil), gw.retiring...)
	gw.mu.Unlock()
	for _, g := range retiring {
		for !g.isReleased() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-gw.Clock.After(releasePoll):
			}
		}
	}
	return nil
}
