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

const (
	// distributorRetryDelay is how long a distributor that was lost isn't used again.
	distributorRetryDelay = time.Second
	// startupRetryDelay is the same for the first loss while this VM doesn't know the tables, and doubles with each
	// further one. A distributor that was started at the same time may not accept connections yet.
	startupRetryDelay = 100 * time.Millisecond
	// startupConnectTimeout is how long a VM that doesn't know the tables waits for a connection to a distributor.
	startupConnectTimeout = 300 * time.Millisecond
	// startupTablesTimeout is how long it then waits for the tables while the coordinator could send them. A distributor
	// of 36 VMs needs 0.25 s to send 40 KB to each at 50 Mbit/s.
	startupTablesTimeout = 600 * time.Millisecond
)

// maxDistributorLagShare is the share of MaxConfigApplyTime by which a distributor may lag behind the coordinator. The
// rest is for the coordinator's own reads and for getting the tables from it instead. A healthy distributor lags by up
// to 0.6 s.
const maxDistributorLagShare = 0.5

// tableSource is the VM in this region that relays the tables and routes to this one.
type tableSource struct {
	address string
	link    *replica.Link
	stop    context.CancelFunc
	// heardAt is when the distributor last sent something, or when this VM started to use it.
	heardAt clock.Instant
	// linkedAt is when the link was set up. It equals heardAt until the distributor has sent something on it.
	linkedAt clock.Instant
}

// useDistributor switches to the distributor that the coordinator has assigned, or to none.
func (c *Control) useDistributor(address string, now clock.Instant) {
	if address == c.source.address || address != "" && address == c.avoidedDistributor && now < c.avoidUntil {
		return
	}
	c.leaveDistributor()
	if address == "" {
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.source = tableSource{address: address, stop: cancel, heardAt: now}
	firstReport := replica.Report{VM: c.settings.VM, Domain: c.settings.Domain, Region: c.settings.Region, TablesOnly: true}
	go func() {
		_, err := replica.Follow(ctx, address, firstReport, replica.Receiver{
			Traffic:       c.relayTraffic(),
			Dial:          c.dial,
			Connected:     func(l *replica.Link) { c.post(func() { c.distributorLinked(ctx, l) }) },
			Update:        func(l *replica.Link, u replica.Update) { c.post(func() { c.handleDistributorUpdate(l, u) }) },
			PlaceResponse: func(replica.PlaceResponse) {},
		})
		c.post(func() {
			if ctx.Err() == nil {
				c.dropDistributor("error", err.Error())
			}
		})
	}()
}

// useStoredDistributor switches to the distributor in the coordinator's row while there is no link to the coordinator.
// The distributor reports which VM leads next.
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
	c.mirror.ResetRelayed()
}

func (c *Control) distributorLinked(ctx context.Context, l *replica.Link) {
	if ctx.Err() != nil {
		l.Close()
		return
	}
	now := c.clock.Now()
	c.source.link, c.source.heardAt, c.source.linkedAt = l, now, now
	c.mirror.ResetRelayed()
	c.log.Emit(event.DistributorFollowed, "distributor", c.source.address)
}

// handleDistributorUpdate applies an update from the distributor.
func (c *Control) handleDistributorUpdate(l *replica.Link, u replica.Update) {
	if l == nil || l != c.source.link {
		return
	}
	now := c.clock.Now()
	c.source.heardAt, c.failedDistributors = now, 0
	c.mergeSuspects(u, now)
	if u.Leader != nil {
		c.applyNotice(*u.Leader)
	}
	if err := c.applyTables(u, now); err != nil {
		c.dropDistributor("error", err.Error())
	}
}

// applyTables applies relayed tables and routes. An error means that they can't be decoded.
func (c *Control) applyTables(u replica.Update, now clock.Instant) error {
	c.relayedFreshAt = max(c.relayedFreshAt, now.Add(-time.Duration(u.StoreAge)*time.Millisecond))
	c.mirror.NoteAvailable(replica.Span{From: c.relayedFreshAt, To: c.relayedFreshAt})
	if len(u.Packed) > 0 {
		deltas, err := replica.Unpack(u.Packed)
		if err != nil {
			return err
		}
		u.Deltas = append(u.Deltas, deltas...)
	}
	changed := false
	for _, d := range u.Deltas {
		changed = c.mirror.ApplyRelayed(d, now) || changed
	}
	c.noteEra(now)
	if changed {
		c.rebuildSnapshot()
	}
	c.noteRelayedConfiguration(u, now)
	if u.Routes != nil || u.AllRoutes {
		c.applyRoutes(u)
		c.refreshView()
	}
	return nil
}

// checkDistributor drops a distributor that is silent, or that keeps sending although it neither reads the store nor
// hears from the coordinator.
func (c *Control) checkDistributor(now clock.Instant) {
	if c.source.address == "" {
		return
	}
	timeout := linkTimeout
	if c.snapshot == nil && c.source.link == nil {
		timeout = startupConnectTimeout
	}
	if silent := now.Sub(c.source.heardAt); silent > timeout {
		c.dropDistributor("silent_ms", silent.Milliseconds())
		return
	}
	if c.source.link == nil || !c.coordinatorConnected(now) {
		return
	}
	lag, maxLag := c.coordinatorFreshAt.Sub(c.relayedFreshAt), time.Duration(maxDistributorLagShare*float64(c.settings.MaxConfigApplyTime))
	switch {
	case c.snapshot == nil:
		lag, maxLag = now.Sub(c.source.linkedAt), startupTablesTimeout
	case c.source.heardAt == c.source.linkedAt:
		// Its lag isn't known before its first update: VMs that were starting dropped each distributor right after they had
		// connected to it.
		return
	}
	if lag > maxLag {
		c.dropDistributor("behind_ms", lag.Milliseconds())
	}
}

// dropDistributor leaves the distributor and asks the coordinator for the tables or for another distributor.
func (c *Control) dropDistributor(fields ...any) {
	address := c.source.address
	c.log.Emit(event.DistributorLost, append([]any{"distributor", address}, fields...)...)
	c.leaveDistributor()
	delay := distributorRetryDelay
	if c.snapshot == nil {
		delay = min(delay, startupRetryDelay<<min(c.failedDistributors, 4))
	}
	c.failedDistributors++
	c.avoidedDistributor, c.avoidUntil = address, c.clock.Now().Add(delay)
	if c.link != nil {
		c.link.SendReport(replica.Report{Unreachable: address})
	}
}

// distributorConnected reports whether the distributor has sent something recently.
func (c *Control) distributorConnected(now clock.Instant) bool {
	return c.source.link != nil && now.Sub(c.source.heardAt) < contactTimeout
}

// publishToSubscribers sends changes of the tables and routes, or a heartbeat, to the subscribers, and tells them which
// VM leads. Without a coordinator it continues with what this VM reads from the store.
func (c *Control) publishToSubscribers(now clock.Instant) {
	if len(c.subscribers) == 0 {
		return
	}
	c.publishedAt = now
	var changed map[string][]coordinator.Route
	var deltas []replica.Delta
	if c.snapshot != nil {
		changed, deltas = c.changedRelayedRoutes(), c.tableDeltas()
	}
	leader, notify := c.leaderNotice()
	heartbeat := now.Sub(c.lastHeartbeat) >= heartbeatInterval
	if len(changed) == 0 && len(deltas) == 0 && !heartbeat && !c.publishPending && !notify {
		return
	}
	if heartbeat {
		c.lastHeartbeat = now
	}
	c.publishPending = false
	if heartbeat {
		deltas = c.withVersions(deltas)
	}
	plain, packed := c.packLargeDeltas(deltas)
	age := now.Sub(max(c.readFreshAt, c.relayedFreshAt)).Milliseconds()
	for f := range c.subscribers {
		u := replica.Update{StoreAge: age, ConfigurationAgeMs: c.relayedConfigurationAge(), Deltas: plain, Packed: packed, Routes: changed}
		if notify {
			u.Leader = leader
		}
		if c.suspectsDue(f) {
			c.addAllSuspects(f, &u, now)
		}
		if f.NeedsTables {
			u.Leader = leader
			f.NeedsTables = c.snapshot == nil
			if !f.NeedsTables {
				u.Deltas, u.Packed, u.Routes, u.AllRoutes = nil, c.packFullTables(), c.relayedRoutes, c.relayedRoutes != nil
			}
		}
		f.SendUpdate(u)
	}
}

// withVersions adds the versions of the unchanged tables, so that a VM that has read a newer version itself learns when
// this one has caught up.
func (c *Control) withVersions(deltas []replica.Delta) []replica.Delta {
	for _, table := range []string{c.tables.Operator, c.tables.Targets} {
		if !slices.ContainsFunc(deltas, func(d replica.Delta) bool { return d.Table == table }) {
			deltas = append(deltas, replica.Delta{Table: table, Version: c.mirror.Version(table)})
		}
	}
	return deltas
}

// leaderNotice returns the known coordinator, and whether the subscribers have yet to be notified of it.
func (c *Control) leaderNotice() (*coordinator.Notice, bool) {
	n, known := c.coordinator.Notice()
	if !known {
		return nil, false
	}
	if n.VM == c.lastNotice.VM && n.Incarnation == c.lastNotice.Incarnation {
		return &n, false
	}
	c.lastNotice = n
	return &n, true
}

// changedRelayedRoutes returns the relayed routes that have changed since the last call.
func (c *Control) changedRelayedRoutes() map[string][]coordinator.Route {
	if c.relayedRoutesAt.Equal(c.forwardedAt) {
		return nil
	}
	c.forwardedAt = c.relayedRoutesAt
	changed := map[string][]coordinator.Route{}
	for pool, list := range c.relayedRoutes {
		if diff := coordinator.DiffRoutes(c.forwardedRoutes[pool], list); len(diff) > 0 {
			changed[pool] = diff
		}
	}
	c.forwardedRoutes = maps.Clone(c.relayedRoutes)
	return changed
}
