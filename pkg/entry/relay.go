package entry

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// serveRelay handles connections of other VMs, which use this one as their coordinator or distributor.
func (c *Control) serveRelay(l net.Listener) {
	err := replica.Serve(l, replica.Events{
		Traffic: c.relayTraffic(),
		Joined:  func(f *replica.Follower) { c.post(func() { c.handleJoin(f) }) },
		Report: func(f *replica.Follower, r replica.Report) {
			// The requests of the VM that follow on the connection must be placed with these limits.
			c.limits.Merge(r.Limits, c.clock.Now())
			c.recordQuotaAnswer(f, r)
			c.post(func() {
				f.PlaceDelay = time.Duration(r.DelayMs) * time.Millisecond
				c.loadWindow.add(r.Keys, c.clock.Now())
				c.suspects.Merge(r.Suspects, c.clock.Now())
				c.addLeavingTargets(r.Leaving)
				c.handleStoreReport(r)
				if r.Unreachable != "" {
					c.distribution.Unreachable(f, r.Unreachable, c.clock.Now())
					c.publishPending = true
				}
			})
		},
		Leader:       func(n coordinator.Notice) { c.post(func() { c.applyNotice(n) }) },
		PlaceRequest: c.placer.placeForFollower,
		PlaceRelease: c.placer.finishForFollower,
		Left:         func(f *replica.Follower) { c.post(func() { c.removeFollower(f) }) },
		Failed:       func(vm string, err error) { c.log.Emit(event.MessageRejected, "vm", vm, "error", err.Error()) },
	})
	if c.ctx.Err() == nil {
		c.log.Emit(event.ProcessFailed, "error", err.Error())
	}
}

func (c *Control) handleJoin(f *replica.Follower) {
	leading := c.coordinator.Leading(c.clock.Now())
	if f.TablesOnly {
		c.addSubscriber(f, leading)
		return
	}
	if !leading {
		c.redirect(f)
		return
	}
	c.followers[f] = true
	c.log.Emit(event.FollowerJoined, "vm", f.VM, "vms", len(c.followers)+1)
	c.publishPending = true
}

// addSubscriber adds a VM that uses this one as its distributor. A coordinator closes the connection, because it sends
// the tables itself.
func (c *Control) addSubscriber(f *replica.Follower, leading bool) {
	if leading {
		f.Close()
		return
	}
	c.subscribers[f] = true
	c.publishPending = true
}

// redirectCloseDelay is the time for the redirected VM to receive the answer before the connection is closed.
const redirectCloseDelay = 200 * time.Millisecond

// redirect tells a VM that takes this one for the coordinator which VM leads now. The VM may be cut off from the store.
func (c *Control) redirect(f *replica.Follower) {
	n, known := c.coordinator.Notice()
	if !known || n.VM == c.settings.VM {
		f.Close()
		return
	}
	f.SendUpdate(replica.Update{Leader: &n})
	time.AfterFunc(redirectCloseDelay, f.Close)
}

// applyNotice applies a notice of another VM about which VM leads.
func (c *Control) applyNotice(n coordinator.Notice) {
	before, _ := c.coordinator.Notice()
	c.runEffects(c.coordinator.HandleNotice(n, c.clock.Now()))
	if after, _ := c.coordinator.Notice(); after != before {
		c.nextDial, c.publishPending = 0, true
	}
}

// announceAttempts is the number of attempts, one per second, to tell the former coordinator which VM leads now.
const announceAttempts = 3

// announce tells the former coordinator which VM leads now. Failures are ignored, because a coordinator that is gone
// needs no notice.
func (c *Control) announce(e coordinator.Announce) {
	for range announceAttempts {
		if err := replica.Announce(c.ctx, e.To, replica.Report{VM: c.settings.VM, Leader: &e.Notice}); err == nil {
			return
		}
		select {
		case <-time.After(time.Second):
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *Control) removeFollower(f *replica.Follower) {
	delete(c.subscribers, f)
	c.distribution.Remove(f)
	if c.followers[f] {
		delete(c.followers, f)
		c.sortedFollowers = nil
		c.placer.broker.RemoveVM(f.ID, c.clock.Now())
		c.log.Emit(event.FollowerLeft, "vm", f.VM, "vms", len(c.followers)+1)
	}
}

// publish sends changes or a heartbeat to the other VMs.
func (c *Control) publish(now clock.Instant, leading bool) {
	if !leading {
		c.publishToSubscribers(now)
		return
	}
	if c.snapshot == nil {
		return
	}
	c.publishedAt = now
	changed := c.changedRoutes(now)
	deltas := c.tableDeltas()
	heartbeat := now.Sub(c.lastHeartbeat) >= heartbeatInterval
	if len(changed) == 0 && len(deltas) == 0 && !heartbeat && !c.publishPending {
		return
	}
	if heartbeat {
		c.lastHeartbeat = now
	}
	forced := c.publishPending
	c.publishPending = false
	// A write of the row may have begun since the last tick.
	c.shareQuotas(now, true)
	c.broadcast(now, changed, deltas, heartbeat, forced)
}

// changedRoutes returns the routes that have changed since the last call, and puts them into force on this VM.
func (c *Control) changedRoutes(now clock.Instant) map[string][]coordinator.Route {
	if c.lastRoutes != nil && c.publishedRevision == c.coordinator.Revision() {
		return nil
	}
	c.publishedRevision = c.coordinator.Revision()
	routes := c.coordinator.Routes(now)
	changed := map[string][]coordinator.Route{}
	for pool, list := range routes {
		if diff := coordinator.DiffRoutes(c.lastRoutes[pool], list); len(diff) > 0 {
			changed[pool] = diff
		}
	}
	if len(changed) > 0 || c.lastRoutes == nil {
		c.lastRoutes = routes
		c.refreshView()
		c.updateBroker()
	}
	return changed
}

// broadcast sends an update to all VMs that it concerns. A VM with a distributor gets only heartbeats and its
// assignment, so that a change doesn't cause a message to each of hundreds of VMs.
func (c *Control) broadcast(now clock.Instant, changed map[string][]coordinator.Route, deltas []replica.Delta, heartbeat, forced bool) {
	followers := c.sortedFollowers
	if heartbeat || forced || followers == nil {
		followers = slices.Collect(maps.Keys(c.followers))
		replica.SortFollowers(followers)
		c.sortedFollowers = followers
		c.localBudget.SetVMCount(len(followers) + 1)
		c.assignDistributors(followers, now)
	}
	var suspects []quarantine.Record
	var leaving []inventory.Incarnation
	var limits []ratelimit.Record
	if heartbeat {
		limits = c.limits.Changes(now)
		suspects, leaving = c.suspects.Changes(now), c.leavingTargets.takeUnreported()
	}
	age := now.Sub(c.readFreshAt).Milliseconds()
	hasChanges := len(changed) > 0 || len(deltas) > 0
	if heartbeat {
		deltas = c.withVersions(deltas)
	}
	plain, packed := c.packLargeDeltas(deltas)
	for i, f := range followers {
		suspectsDue := c.suspectsDue(f)
		if !heartbeat && !suspectsDue && !f.NeedsTables && !f.DistributorChanged && (!hasChanges || f.Distributor != "") {
			continue
		}
		f.DistributorChanged = false
		u := replica.Update{
			MinElectionDelayMs: c.minElectionDelay.Milliseconds(), LeaseVersion: c.coordinator.Version(), Index: i + 1, Count: len(followers) + 1,
			Distributor: f.Distributor, Suspects: suspects, Leaving: leaving, Limits: limits, StoreAge: age,
			ConfigurationAgeMs: c.relayedConfigurationAge(),
		}
		if heartbeat || suspectsDue {
			u.Quota = c.quotaOffer(f, now)
		}
		if suspectsDue {
			u.Limits = c.limits.Records(now)
			u.Leaving = c.leavingTargets.stillRegistered(c.registered())
			c.addAllSuspects(f, &u, now)
		}
		switch {
		case f.Distributor != "":
		case f.NeedsTables:
			u.Packed, u.Routes, u.AllRoutes = c.packFullTables(), c.lastRoutes, true
			f.NeedsTables = false
		default:
			u.Deltas, u.Packed, u.Routes = plain, packed, changed
		}
		f.SendUpdate(u)
	}
}

// assignDistributors assigns a distributor or the coordinator itself to each VM as the source of its tables, and
// updates the election delay of the strongest VM.
func (c *Control) assignDistributors(followers []*replica.Follower, now clock.Instant) {
	for _, f := range c.distribution.Assign(followers, now) {
		c.log.Emit(event.DistributorAssigned, "vm", f.VM, "region", f.Region, "domain", f.Domain)
	}
	c.minElectionDelay = c.baseElectionDelay()
	for _, f := range followers {
		c.minElectionDelay = min(c.minElectionDelay, f.BaseElectionDelay)
	}
}

// packLargeDeltas packs large deltas.
func (c *Control) packLargeDeltas(deltas []replica.Delta) (plain []replica.Delta, packed []byte) {
	plain, packed, err := replica.PackLarge(deltas)
	if err != nil {
		c.log.Emit(event.ProcessFailed, "error", err.Error())
		return deltas, nil
	}
	return plain, packed
}

// tableDeltas returns what has changed in the relayed tables since the last call.
func (c *Control) tableDeltas() []replica.Delta {
	if c.publishedRows == nil {
		c.publishedRows = map[string]map[string]rowstore.Row{}
		c.publishedRevisions = map[string]uint64{}
	}
	var deltas []replica.Delta
	for _, table := range []string{c.tables.Operator, c.tables.Targets} {
		if c.publishedRevisions[table] == c.mirror.Revision(table) && c.publishedRows[table] != nil {
			continue
		}
		c.publishedRevisions[table] = c.mirror.Revision(table)
		rows := c.mirror.Rows(table)
		d := replica.Diff(table, c.mirror.Version(table), c.publishedRows[table], rows, c.equivalentRows)
		if d.Empty() {
			continue
		}
		deltas = append(deltas, d)
		published := maps.Clone(c.publishedRows[table])
		if published == nil {
			published = map[string]rowstore.Row{}
		}
		for _, r := range d.Rows {
			published[r.Key] = r
		}
		for _, key := range d.Removed {
			delete(published, key)
		}
		c.publishedRows[table] = published
	}
	return deltas
}

// tablesUnpublished reports whether a relayed table may have changed since tableDeltas was called last.
func (c *Control) tablesUnpublished() bool {
	return c.publishedRevisions[c.tables.Operator] != c.mirror.Revision(c.tables.Operator) ||
		c.publishedRevisions[c.tables.Targets] != c.mirror.Revision(c.tables.Targets)
}

// equivalentRows reports whether two versions of a row are equivalent. Most changes of registrations are heartbeats.
func (c *Control) equivalentRows(a, b rowstore.Row) bool {
	if a.Table != c.tables.Targets {
		return false
	}
	old, errOld := c.decoder.Target(a)
	current, err := c.decoder.Target(b)
	if errOld != nil || err != nil {
		return errOld != nil && err != nil
	}
	return old.EquivalentTo(current)
}

// packFullTables returns the whole tables, packed. The result is cached until a table changes, because many VMs connect
// at once.
func (c *Control) packFullTables() []byte {
	revisions := [2]uint64{c.mirror.Revision(c.tables.Operator), c.mirror.Revision(c.tables.Targets)}
	if c.packedTables != nil && c.packedRevisions == revisions {
		return c.packedTables
	}
	var deltas []replica.Delta
	for _, table := range []string{c.tables.Operator, c.tables.Targets} {
		deltas = append(deltas, replica.FullDelta(table, c.mirror.Version(table), c.mirror.Rows(table)))
	}
	packed, err := replica.Pack(deltas)
	if err != nil {
		c.log.Emit(event.ProcessFailed, "error", err.Error())
		return nil
	}
	c.packedTables, c.packedRevisions = packed, revisions
	return packed
}

// followCoordinator maintains a connection to the coordinator.
func (c *Control) followCoordinator(now clock.Instant, leading bool) {
	if c.link != nil && now.Sub(c.coordinatorHeardAt) > linkTimeout {
		c.log.Emit(event.CoordinatorLost, "silent_ms", now.Sub(c.coordinatorHeardAt).Milliseconds())
		c.unfollow()
	}
	leader, known := c.coordinator.Leader()
	if leading || !known || leader.VM == c.settings.VM {
		return
	}
	if c.followedAddress == leader.Address || now < c.nextDial {
		return
	}
	c.unfollow()
	c.nextDial = now.Add(c.redialDelay(now))
	c.failedDials++
	c.followedAddress = leader.Address
	ctx, cancel := context.WithCancel(c.ctx)
	c.cancelFollow = cancel
	firstReport := replica.Report{
		VM: c.settings.VM, Domain: c.settings.Domain, Region: c.settings.Region, Address: c.relayAddress(),
		BaseElectionDelayMs: c.baseElectionDelay().Milliseconds(),
	}
	go func() {
		link, err := replica.Follow(ctx, leader.Address, firstReport, replica.Receiver{
			Traffic:       c.relayTraffic(),
			Dial:          c.dial,
			Connected:     func(l *replica.Link) { c.post(func() { c.coordinatorLinked(ctx, l, leader.VM) }) },
			Update:        func(l *replica.Link, u replica.Update) { c.post(func() { c.handleCoordinatorUpdate(l, u) }) },
			PlaceResponse: c.placer.deliverDecision,
		})
		c.post(func() { c.coordinatorUnlinked(ctx, link, err) })
	}()
}

// redialDelay returns the time until the next attempt to connect to the coordinator. Distributors, which are few, don't
// back off, because their subscribers wait for them to find the coordinator.
func (c *Control) redialDelay(now clock.Instant) time.Duration {
	switch {
	case now.Sub(c.startedAt) < startupRedialPeriod && c.isStartupReader():
		return startupRedialInterval
	case c.readRole(now, false) == roleDistributor:
		return redialDelay(0, c.fleetSize())
	default:
		return redialDelay(c.failedDials, c.fleetSize())
	}
}

func (c *Control) unfollow() {
	if c.cancelFollow != nil {
		c.cancelFollow()
	}
	c.cancelFollow, c.link, c.followedAddress, c.leaderConfirmed = nil, nil, "", false
	c.setBackend(c.wasLeading, nil)
	c.quota.Disconnected()
}

func (c *Control) coordinatorLinked(ctx context.Context, l *replica.Link, vm string) {
	if ctx.Err() != nil {
		l.Close()
		return
	}
	c.link, c.coordinatorHeardAt = l, c.clock.Now()
	if c.source.address == "" {
		c.mirror.ResetRelayed()
	}
	// The coordinator may be a new one or a new process.
	suspects, leaving := c.suspects.Records(c.coordinatorHeardAt), c.leavingTargets.stillRegistered(c.registered())
	limits := c.limits.Records(c.coordinatorHeardAt)
	if len(suspects) > 0 || len(leaving) > 0 || len(limits) > 0 {
		l.SendReport(replica.Report{Suspects: suspects, Leaving: leaving, Limits: limits})
	}
	c.setBackend(false, l)
	c.log.Emit(event.CoordinatorRegained, "vm", vm)
}

func (c *Control) coordinatorUnlinked(ctx context.Context, l *replica.Link, err error) {
	if ctx.Err() != nil {
		return
	}
	if l != nil && l == c.link {
		c.log.Emit(event.CoordinatorLost, "error", err.Error())
	}
	if now := c.clock.Now(); c.leaderConfirmed || !c.starting(now) {
		// A VM that starts has just read the row and connects again soon, as the coordinator may be starting, too.
		c.expediteControlRead(now)
	}
	c.unfollow()
}

// expediteControlRead makes this VM look for the next coordinator, since the former one may have given up the role.
// Distributors and the VMs of a small fleet do so immediately; the others are notified by their distributor.
func (c *Control) expediteControlRead(now clock.Instant) {
	switch c.readRole(now, false) {
	case roleDistributor:
		c.nextRead[coordinator.Table] = 0
	case roleStandalone:
		if n := c.fleetSize(); n > 0 && n <= maxFullRateReaders {
			c.nextRead[coordinator.Table] = 0
		}
	}
}

func (c *Control) handleCoordinatorUpdate(l *replica.Link, u replica.Update) {
	if l == nil || l != c.link {
		return
	}
	now := c.clock.Now()
	if u.Leader != nil {
		c.applyNotice(*u.Leader)
		c.unfollow()
		return
	}
	c.coordinatorHeardAt, c.failedDials = now, 0
	c.mergeSuspects(u, now)
	c.limits.Merge(u.Limits, now)
	c.addLeavingTargets(u.Leaving)
	c.applyQuotaOffer(l, u, now)
	c.coordinatorFreshAt = max(c.coordinatorFreshAt, now.Add(-time.Duration(u.StoreAge)*time.Millisecond))
	if !c.leaderConfirmed {
		// The subscribers connect to the coordinator immediately after the notice.
		c.leaderConfirmed, c.lastNotice, c.publishPending = true, coordinator.Notice{}, true
		c.noteBrokerConnected(false)
	}
	c.minElectionDelay = time.Duration(u.MinElectionDelayMs) * time.Millisecond
	c.coordinator.NoteVersion(u.LeaseVersion, now)
	c.vmCount = u.Count
	c.fleetPeak.add(u.Count, now)
	c.localBudget.SetVMCount(u.Count)
	c.useDistributor(u.Distributor, now)
	if u.Distributor != "" {
		if c.source.address == "" && c.snapshot == nil {
			// This VM has lost the distributor before it was connected to the coordinator.
			l.SendReport(replica.Report{Unreachable: u.Distributor})
		}
		return
	}
	if err := c.applyTables(u, now); err != nil {
		c.log.Emit(event.CoordinatorLost, "error", err.Error())
		l.Close()
	}
}

func (c *Control) applyRoutes(u replica.Update) {
	next := map[string][]coordinator.Route{}
	if !u.AllRoutes {
		maps.Copy(next, c.relayedRoutes)
	}
	for pool, changed := range u.Routes {
		next[pool] = coordinator.PatchRoutes(next[pool], changed)
	}
	c.relayedRoutes, c.relayedRoutesAt = next, time.Now()
}

// sendReport reports the keys that were requested without the coordinator's broker, to the coordinator or to this VM's
// own load window.
func (c *Control) sendReport(now clock.Instant, leading bool) {
	if now < c.nextReport {
		return
	}
	c.nextReport = now.Add(reportInterval)
	if c.source.link != nil {
		c.source.link.SendReport(replica.Report{})
	}
	keys := c.requestedKeys.take()
	if leading {
		c.loadWindow.add(keys, now)
		c.mirror.TakeRemovals(c.tables.Targets)
		return
	}
	if c.link != nil {
		r := replica.Report{Keys: keys, DelayMs: c.placer.delay().Milliseconds(), Suspects: c.suspects.Changes(now)}
		c.addStoreReport(&r, now)
		r.Quota = c.quotaAnswer(now)
		c.link.SendReport(r)
	}
}

// addStoreReport adds to a report what this VM's own reads of the store have shown since the last one.
func (c *Control) addStoreReport(r *replica.Report, now clock.Instant) {
	r.Removed = c.mirror.TakeRemovals(c.tables.Targets)
	if span, ok := c.mirror.OwnReads(); ok && span.To > c.reportedStoreSeen {
		age := span.Age(now)
		r.StoreSeen, c.reportedStoreSeen = &age, span.To
	}
}

// handleStoreReport applies what another VM has read from the store. A coordinator that is partitioned from the store thus learns that
// the store is available, and which targets have left.
func (c *Control) handleStoreReport(r replica.Report) {
	if r.StoreSeen != nil {
		c.mirror.NoteAvailable(r.StoreSeen.Before(c.clock.Now()))
	}
	if len(r.Removed) > 0 && c.mirror.ApplyRemovals(c.tables.Targets, r.Removed, c.clock.Now()) {
		c.log.Emit(event.RemovalsReported, "removed", len(r.Removed))
		c.rebuildSnapshot()
	}
}

// updateBroker passes the owners of the keys to the broker.
func (c *Control) updateBroker() {
	if c.snapshot == nil {
		return
	}
	routes, taken := c.lastRoutes, c.clock.Now()
	c.placer.broker.Update(c.snapshot, func(pool string, key int) placing.Owner {
		r, ok := coordinator.FindRoute(routes[pool], key)
		if !ok {
			return placing.Owner{Pending: true, Wait: minUnownedWait}
		}
		wait := max(minUnownedWait, time.Duration(r.ReadyIn)*time.Millisecond-c.clock.Now().Sub(taken))
		return placing.Owner{Target: r.Owner, Pending: r.Pending, Wait: wait}
	}, taken)
}
