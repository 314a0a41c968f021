package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/replica"
)

// distributorPause is how long a distributor that was silent isn't turned to again.
const distributorPause = time.Second

// staleShare is the part of the time in which changes must be in force by which a distributor may be behind the coordinator. The rest
// is for the coordinator's own reads and for the tables to come from it instead; a distributor in order is up to 0.6 s behind.
const staleShare = 0.5

// tableSource is the VM of this region that passes the tables and routes on to this one.
type tableSource struct {
	address string
	link    *replica.Link
	stop    context.CancelFunc
	// heardAt is when it last sent something, or when it was turned to.
	heardAt clock.Instant
}

// useDistributor turns to the distributor that the coordinator has named, or to none.
func (c *Control) useDistributor(address string, now clock.Instant) {
	if address == c.source.address || address != "" && address == c.silentSource && now < c.silentUntil {
		return
	}
	c.leaveDistributor()
	if address == "" {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.source = tableSource{address: address, stop: cancel, heardAt: now}
	first := replica.Report{VM: c.settings.VM, Domain: c.settings.Domain, Region: c.settings.Region, TablesOnly: true}
	go func() {
		_, err := replica.Follow(ctx, address, first, replica.Receiver{
			Linked:  func(l *replica.Link) { c.post(func() { c.sourceLinked(ctx, l) }) },
			Update:  func(l *replica.Link, u replica.Update) { c.post(func() { c.tablesUpdated(l, u) }) },
			Verdict: func(replica.Verdict) {},
		})
		c.post(func() {
			if ctx.Err() == nil {
				c.distributorLost("error", err.Error())
			}
		})
	}()
}

// useStoredDistributor turns to the distributor that the coordinator's row names while the coordinator isn't heard. It tells this
// VM who leads next.
func (c *Control) useStoredDistributor(now clock.Instant) {
	if c.wasLeading || c.link != nil || c.source.address != "" {
		return
	}
	row, _ := c.coordinator.Leader()
	if address := row.Distributors[c.settings.Domain]; address != c.relayAddress() {
		c.useDistributor(address, now)
	}
}

func (c *Control) leaveDistributor() {
	if c.source.stop != nil {
		c.source.stop()
	}
	c.source = tableSource{}
	c.mirror.ForgetRelayed()
}

func (c *Control) sourceLinked(ctx context.Context, l *replica.Link) {
	if ctx.Err() != nil {
		l.Close()
		return
	}
	c.source.link, c.source.heardAt = l, c.clock.Now()
	c.mirror.ForgetRelayed()
	c.log.Emit(event.DistributorFollowed, "distributor", c.source.address)
}

// tablesUpdated takes in what the distributor has sent.
func (c *Control) tablesUpdated(l *replica.Link, u replica.Update) {
	if l == nil || l != c.source.link {
		return
	}
	now := c.clock.Now()
	c.source.heardAt = now
	if u.Leader != nil {
		c.introduce(*u.Leader)
	}
	if err := c.takeTables(u, now); err != nil {
		c.distributorLost("error", err.Error())
	}
}

// takeTables takes relayed tables and routes in. An error means that they can't be decoded.
func (c *Control) takeTables(u replica.Update, now clock.Instant) error {
	c.relayFreshAt = max(c.relayFreshAt, now.Add(-time.Duration(u.StoreAge)*time.Millisecond))
	for _, table := range []string{c.tables.Operator, c.tables.Targets} {
		c.mirror.Relayed(table, c.relayFreshAt)
	}
	if len(u.Packed) > 0 {
		deltas, err := replica.Unpack(u.Packed)
		if err != nil {
			return err
		}
		u.Deltas = append(u.Deltas, deltas...)
	}
	changed := false
	for _, d := range u.Deltas {
		changed = c.mirror.Relay(d) || changed
	}
	if changed {
		c.rebuild()
	}
	if u.Routes != nil || u.AllRoutes {
		c.takeRoutes(u)
		c.refreshView()
	}
	return nil
}

// checkDistributor gives up a distributor that is silent, or that goes on although it neither reads the store nor hears the coordinator.
func (c *Control) checkDistributor(now clock.Instant) {
	if c.source.address == "" {
		return
	}
	if silent := now.Sub(c.source.heardAt); silent > linkSilence {
		c.distributorLost("silent_ms", silent.Milliseconds())
		return
	}
	behind := c.leaderFreshAt.Sub(c.relayFreshAt)
	if c.source.link != nil && c.coordinatorHeard(now) && behind > time.Duration(staleShare*float64(c.settings.ConfigApply)) {
		c.distributorLost("behind_ms", behind.Milliseconds())
	}
}

// distributorLost leaves the distributor and asks the coordinator for the tables or for another one.
func (c *Control) distributorLost(fields ...any) {
	address := c.source.address
	c.log.Emit(event.DistributorLost, append([]any{"distributor", address}, fields...)...)
	c.leaveDistributor()
	c.silentSource, c.silentUntil = address, c.clock.Now().Add(distributorPause)
	if c.link != nil {
		c.link.Report(replica.Report{Unreachable: address})
	}
}

// distributed tells whether the distributor is heard.
func (c *Control) distributed(now clock.Instant) bool {
	return c.source.link != nil && now.Sub(c.source.heardAt) < contactLoss
}

// distribute sends the tables and routes that have changed, or a sign of life, to the VMs that take this one for their distributor,
// and who leads. It goes on without a coordinator, with what this VM reads from the store.
func (c *Control) distribute(now clock.Instant) {
	if len(c.subscribers) == 0 {
		return
	}
	c.publishedAt = now
	var changed map[string][]coordinator.Route
	var deltas []replica.Delta
	if c.snapshot != nil {
		changed, deltas = c.changedRelayed(), c.deltas()
	}
	leader, newLeader := c.newLeader()
	beat := now.Sub(c.lastBeat) >= heartbeatInterval
	if len(changed) == 0 && len(deltas) == 0 && !beat && !c.greet && !newLeader {
		return
	}
	if beat {
		c.lastBeat = now
	}
	c.greet = false
	if beat {
		deltas = c.withVersions(deltas)
	}
	plain, packed := c.shrink(deltas)
	age := now.Sub(max(c.freshAt, c.relayFreshAt)).Milliseconds()
	for f := range c.subscribers {
		u := replica.Update{StoreAge: age, Deltas: plain, Packed: packed, Routes: changed}
		if newLeader {
			u.Leader = leader
		}
		if f.Fresh {
			u.Leader = leader
			f.Fresh = c.snapshot == nil
			if !f.Fresh {
				u.Deltas, u.Packed, u.Routes, u.AllRoutes = nil, c.everything(), c.relayed, c.relayed != nil
			}
		}
		f.Update(u)
	}
}

// withVersions adds the versions of the tables that haven't changed: a VM that has read a newer one itself learns that this one has
// caught up.
func (c *Control) withVersions(deltas []replica.Delta) []replica.Delta {
	for _, table := range []string{c.tables.Operator, c.tables.Targets} {
		if !slices.ContainsFunc(deltas, func(d replica.Delta) bool { return d.Table == table }) {
			deltas = append(deltas, replica.Delta{Table: table, Version: c.mirror.Version(table)})
		}
	}
	return deltas
}

// newLeader returns who leads, as far as is known, and whether the subscribers don't know.
func (c *Control) newLeader() (*coordinator.Notice, bool) {
	n, known := c.coordinator.Notice()
	if !known {
		return nil, false
	}
	if n.VM == c.noticed.VM && n.Incarnation == c.noticed.Incarnation {
		return &n, false
	}
	c.noticed = n
	return &n, true
}

// changedRelayed returns the relayed routes that have changed since the last call.
func (c *Control) changedRelayed() map[string][]coordinator.Route {
	if c.relayedAt.Equal(c.passedOnAt) {
		return nil
	}
	c.passedOnAt = c.relayedAt
	changed := map[string][]coordinator.Route{}
	for pool, list := range c.relayed {
		if diff := coordinator.DiffRoutes(c.passedOn[pool], list); len(diff) > 0 {
			changed[pool] = diff
		}
	}
	c.passedOn = maps.Clone(c.relayed)
	return changed
}
