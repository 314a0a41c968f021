package entry

import (
	"context"
	"errors"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/ingress"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// startDueReads starts the reads of the store that are due.
func (c *Control) startDueReads(now clock.Instant, leading bool) {
	relayedFresh := c.relayedTablesFresh(now)
	if !leading && relayedFresh && c.coordinatorConnected(now) {
		c.deferReads(now)
		return
	}
	role := c.readRole(now, leading)
	for _, table := range []string{c.tables.Operator, c.tables.Targets, coordinator.Table} {
		if !leading && table != coordinator.Table && (relayedFresh || c.snapshot == nil && c.expectsRelayedTables(now)) {
			if c.snapshot != nil {
				c.deferRead(table, now)
			}
			continue
		}
		if !leading && table != coordinator.Table && c.storeDown {
			// Reads of the control table, the smallest one, show when the store answers again.
			continue
		}
		if (role == roleStandalone || role == roleSubscriber) && c.snapshot == nil && c.nextRead[table] == 0 && table != coordinator.Table {
			if c.pacer(coordinator.Table).reads == 0 {
				// The coordinator's row contains the number of VMs, on which the delay depends.
				continue
			}
			if !c.isStartupReader() {
				// The VM needs both tables to serve.
				c.nextRead[c.tables.Operator] = now.Add(startupReadDelay(c.fleetSize()))
				c.nextRead[c.tables.Targets] = c.nextRead[c.tables.Operator]
			}
		}
		if leading && table == coordinator.Table || now < c.nextRead[table] || c.reading[table] {
			continue
		}
		c.nextRead[table] = now.Add(c.pacer(table).interval(role, c.fleetSize()))
		c.startRead(table)
		if table == c.tables.Targets {
			c.readQuarantine(now)
		}
	}
}

// deferReads postpones the next reads while others read for this VM. A VM with a distributor first gives it time to
// read again.
func (c *Control) deferReads(now clock.Instant) {
	for _, table := range []string{c.tables.Operator, c.tables.Targets, coordinator.Table} {
		c.pacer(table).reads = 0
		c.deferRead(table, now)
	}
}

func (c *Control) deferRead(table string, now clock.Instant) {
	if c.source.link != nil && c.nextRead[table] < now.Add(minSubscriberReadDelay) {
		c.nextRead[table] = now.Add(subscriberReadDelay(c.settings.MaxConfigApplyTime))
	}
}

// readRole returns this VM's role in reading the store.
func (c *Control) readRole(now clock.Instant, leading bool) readRole {
	switch {
	case leading:
		return roleCoordinator
	case len(c.subscribers) > 0:
		return roleDistributor
	case c.distributorConnected(now):
		return roleSubscriber
	default:
		return roleStandalone
	}
}

// fleetSize returns the number of VMs, 0 if it isn't known.
func (c *Control) fleetSize() int {
	if c.vmCount > 0 {
		return c.vmCount
	}
	row, _ := c.coordinator.Leader()
	return row.VMs
}

func (c *Control) pacer(table string) *readPacer {
	p := c.pacers[table]
	if p == nil {
		p = &readPacer{}
		c.pacers[table] = p
	}
	return p
}

// expectsRelayedTables reports whether a new process may expect the tables from other VMs. After a restart of all VMs,
// their own reads would saturate the link between the regions for seconds.
func (c *Control) expectsRelayedTables(now clock.Instant) bool {
	age := now.Sub(c.startedAt)
	if c.firstControlRead != 0 {
		// If the store is slow, the distributors read it later, too.
		age -= max(0, c.firstControlRead.Sub(c.startedAt)-usualFirstControlRead)
	}
	switch {
	case c.coordinatorConnected(now):
		return age < connectedReadGrace
	case age >= startupReadGrace:
		return false
	}
	row, known := c.coordinator.Leader()
	switch {
	case !known:
		return true
	case c.storeEra.Load() > 0 && age < restoredReadGrace:
		return true
	case c.isStartupReader():
		return false
	case c.distributorConnected(now):
		return age < distributorReadGrace
	case row.Distributors[c.settings.Domain] != "":
		return age < relayReadGrace
	default:
		return age < undistributedReadGrace
	}
}

// coordinatorConnected reports whether the coordinator has sent an update recently.
func (c *Control) coordinatorConnected(now clock.Instant) bool {
	return c.link != nil && now.Sub(c.coordinatorHeardAt) < contactTimeout
}

// relayedTablesFresh reports whether the coordinator or a distributor relays a recent state of the store.
func (c *Control) relayedTablesFresh(now clock.Instant) bool {
	return c.snapshot != nil && now.Sub(c.relayedFreshAt) < maxRelayedAge && (c.coordinatorConnected(now) || c.distributorConnected(now))
}

const (
	// largeTableRows is the number of rows from which most reads fetch only the changes. A whole table of 400 targets
	// is estimated at 175 KB.
	largeTableRows = 100
	// coordinatorFullReadEvery makes every n-th read of a large table a full read, since the store may report changes a
	// second late.
	coordinatorFullReadEvery = 3
	// followerFullReadEvery is the same for VMs that read in addition to the coordinator. Full reads by 80 VMs saturate
	// the link between the regions.
	followerFullReadEvery = 10
)

// startRead starts a read of a table, or of the changes in a large one.
func (c *Control) startRead(table string) {
	if c.reading[table] {
		return
	}
	c.reading[table] = true
	c.readCounts[table]++
	since := c.mirror.Version(table)
	fullReadEvery := followerFullReadEvery
	if c.wasLeading {
		fullReadEvery = coordinatorFullReadEvery
	}
	if c.mirror.NeedsFullRead(table, c.clock.Now()) {
		since = 0
	}
	if table != c.tables.Targets || len(c.mirror.Rows(table)) < largeTableRows || since == 0 || c.readCounts[table]%fullReadEvery == 0 {
		since = 0
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, readTimeout)
		defer cancel()
		started := c.clock.Now()
		if since > 0 {
			changes, err := c.store.Changes(ctx, table, since)
			if !errors.Is(err, rowstore.ErrHistoryUnavailable) {
				c.post(func() { c.handleChanges(table, changes, err, started) })
				return
			}
		}
		page, err := c.store.List(ctx, table)
		c.post(func() { c.handlePage(table, page, err, started) })
	}()
}

// handleChanges applies changes of a table that were read from the store.
func (c *Control) handleChanges(table string, changes rowstore.Changes, err error, started clock.Instant) {
	c.reading[table] = false
	c.recordStoreResult(err)
	c.pacer(table).record(err)
	if err != nil {
		return
	}
	c.readFreshAt = max(c.readFreshAt, started)
	now := c.clock.Now()
	changed := c.mirror.ApplyChanges(table, changes, table == c.tables.Targets, now)
	c.noteEra(now)
	if changed {
		c.rebuildSnapshot()
	}
}

func (c *Control) handlePage(table string, page rowstore.TableSnapshot, err error, started clock.Instant) {
	c.reading[table] = false
	now := c.clock.Now()
	c.recordStoreResult(err)
	c.pacer(table).record(err)
	if err != nil {
		return
	}
	if table == coordinator.Table {
		c.runEffects(c.coordinator.Observe(page, now.Sub(started), now))
		c.noteControlRead(now)
		c.controlReadAt = time.Now()
		c.noteEra(now)
		c.useStoredDistributor(now)
		c.refreshView()
		return
	}
	c.readFreshAt = max(c.readFreshAt, started)
	changed := c.mirror.Replace(table, page, table == c.tables.Targets, now)
	c.noteEra(now)
	if changed {
		c.rebuildSnapshot()
	}
	if table == c.tables.Operator {
		c.noteConfigurationSeen(started)
	}
}

func (c *Control) recordStoreResult(err error) {
	if err != nil && !c.storeDown {
		c.storeDown = true
		c.log.Emit(event.StoreLost, "error", err.Error())
	}
	if err == nil && c.storeDown {
		c.storeDown = false
		c.log.Emit(event.StoreRegained)
	}
}

// rebuildSnapshot creates a new snapshot from the mirrored rows if anything in it has changed.
func (c *Control) rebuildSnapshot() {
	c.updateConfiguration()
	targets, changed := c.decodeTargets()
	out := c.decoder.DomainsOut(c.mirror.Rows(c.tables.Operator))
	old := c.snapshot
	if old != nil && !changed && !c.snapshotDirty && old.Configuration == c.config && equalSets(old.DomainsOut, out) {
		return
	}
	c.snapshotDirty = false
	targets = c.leavingTargets.markDraining(targets)
	c.snapshot = inventory.NewSnapshot(c.config, targets, out)
	c.snapshot.DrainingSince = c.leavingSince(targets)
	c.logIgnoredTargets(targets)
	if old != nil && !equalSets(old.DomainsOut, out) {
		c.log.Emit(event.DomainsOutChanged, "out", setMembers(out))
	}
	c.balancer.Update(c.snapshot, c.clock.Now())
	if c.wasLeading {
		c.updateBroker()
	}
	c.refreshView()
	c.noteServing(c.clock.Now())
	c.onSnapshot(c.snapshot)
}

// logIgnoredTargets logs the registrations that are ignored because the configuration doesn't name their pool, each once.
func (c *Control) logIgnoredTargets(targets []*inventory.Target) {
	if c.config == nil {
		return
	}
	ignored := map[string]bool{}
	for _, t := range targets {
		if c.config.HasPool(t.Pool) {
			continue
		}
		ignored[t.ID] = true
		if !c.ignoredTargets[t.ID] {
			c.log.Emit(event.RegistrationIgnored, "target", t.ID, "pool", t.Pool, "address", t.Address, "config_version", c.config.Version)
		}
	}
	c.ignoredTargets = ignored
}

// leavingSince returns when each leaving target was first seen to leave.
func (c *Control) leavingSince(targets []*inventory.Target) map[string]clock.Instant {
	now := c.clock.Now()
	since := map[string]clock.Instant{}
	for _, t := range targets {
		if !t.Draining {
			continue
		}
		since[t.ID] = now
		if old, ok := c.firstSeenLeaving[t.ID]; ok {
			since[t.ID] = old
		}
	}
	c.firstSeenLeaving = since
	return since
}

func (c *Control) updateConfiguration() {
	rows := c.mirror.Rows(c.tables.Operator)
	version := uint64(0)
	for _, r := range rows {
		version = max(version, r.Version)
	}
	if version == c.configRowVersion && (rowstore.Era(version) == 0 || replica.SameVersions(rows, c.configRows)) {
		// After a restore, a row of an earlier era may replace one that isn't the newest.
		return
	}
	c.configRowVersion, c.configRows = version, rows
	next, err := c.decodeConfigurationRows(rows)
	if err != nil {
		c.log.Emit(event.ConfigurationInvalid, "error", err.Error())
		return
	}
	if next == nil || c.config != nil && next.Version <= c.config.Version {
		return
	}
	c.config = next
	c.log.Emit(event.ConfigurationInForce, "version", next.Version, "routes", next.RouteCount(), "pools", len(next.Pools),
		"organisations", len(next.Organisations),
		"store_version", version)
}

// errDecoderPanicked means that a decoder has panicked.
var errDecoderPanicked = errors.New("decoder panicked")

// decodeConfigurationRows decodes the configuration. A panic becomes an error, so that the registrations are still
// decoded.
func (c *Control) decodeConfigurationRows(rows map[string]rowstore.Row) (next *inventory.Configuration, err error) {
	err = errDecoderPanicked
	defer c.log.RecoverPanic("configuration")
	return c.decoder.Configuration(rows)
}

// decodeTargetRow decodes a registration. A panic becomes an error, so that the other rows are still decoded.
func (c *Control) decodeTargetRow(r rowstore.Row) (t *inventory.Target, err error) {
	err = errDecoderPanicked
	defer c.log.RecoverPanic("registration " + r.Key)
	return c.decoder.Target(r)
}

// decodeTargets returns the registered targets and whether any of them has changed. Rows that contain no usable target
// are omitted.
func (c *Control) decodeTargets() (list []*inventory.Target, changed bool) {
	rows := c.mirror.Rows(c.tables.Targets)
	for key, r := range rows {
		cached, ok := c.targets[key]
		if !ok || cached.version != r.Version {
			t, err := c.decodeTargetRow(r)
			if err != nil && (!ok || cached.target != nil) {
				c.log.Emit(event.RegistrationInvalid, "error", err.Error())
			}
			changed = c.noteTargetChange(cached.target, t) || changed
			if cached.target != nil && t != nil && cached.target.EquivalentTo(t) && t.WarmupLeft <= 0 {
				t = cached.target
			}
			cached = decodedTarget{version: r.Version, target: t}
			c.targets[key] = cached
		}
		if cached.target != nil {
			list = append(list, cached.target)
		}
	}
	for key, cached := range c.targets {
		if _, ok := rows[key]; !ok {
			changed = c.noteTargetChange(cached.target, nil) || changed
			delete(c.targets, key)
		}
	}
	return list, changed
}

// noteTargetChange notes and logs a change of a registration, and reports whether it requires a new snapshot.
func (c *Control) noteTargetChange(old, current *inventory.Target) bool {
	if old != nil && (current == nil || current.Incarnation() != old.Incarnation()) {
		announced := old.Draining || c.leavingTargets.incarnations[old.Incarnation()]
		c.suspects.TargetRemoved(old.Incarnation(), announced, c.clock.Now())
	}
	switch {
	case old == nil && current == nil:
		return false
	case current == nil:
		c.log.Emit(event.TargetUnregistered, "target", old.ID, "pool", old.Pool, "domain", old.Domain)
	case old == nil:
		c.log.Emit(event.TargetRegistered, "target", current.ID, "pool", current.Pool, "domain", current.Domain,
			"cold_ms", current.WarmupLeft.Milliseconds(), "started", current.Started)
	case !old.EquivalentTo(current):
		c.log.Emit(event.TargetChanged, "target", current.ID, "pool", current.Pool, "draining", current.Draining,
			"cold_ms", current.WarmupLeft.Milliseconds(), "started", current.Started)
	default:
		return current.WarmupLeft > 0
	}
	return true
}

func equalSets(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for key := range a {
		if !b[key] {
			return false
		}
	}
	return true
}

func setMembers(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for key := range set {
		list = append(list, key)
	}
	return list
}

// refreshView publishes the current state to the request handlers.
func (c *Control) refreshView() {
	routes, taken := c.currentRoutes()
	old := c.view.Load()
	snapshot := c.snapshot
	if c.awaitsQuarantine {
		snapshot = nil
	}
	c.view.Store(&ingress.View{Snapshot: snapshot, Routes: routes, ReceivedAt: taken, Changed: make(chan struct{})})
	close(old.Changed)
}

// currentRoutes returns the owners of the keys and when they were current. They come from this VM's coordinator state
// if it leads, from relayed updates, or from the store.
func (c *Control) currentRoutes() (map[string][]coordinator.Route, time.Time) {
	now := c.clock.Now()
	if c.coordinator.Leading(now) {
		return c.coordinator.Routes(now), time.Now()
	}
	if c.relayedRoutes != nil && (c.link != nil || !c.controlReadAt.After(c.relayedRoutesAt) || c.coordinator.RowRestored()) {
		return c.relayedRoutes, c.relayedRoutesAt
	}
	return c.storedRoutes(), time.Now()
}

func (c *Control) storedRoutes() map[string][]coordinator.Route {
	if c.config == nil {
		return nil
	}
	routes := map[string][]coordinator.Route{}
	for name, pool := range c.config.Pools {
		if !pool.Keyed {
			continue
		}
		t := c.coordinator.StoredTable(name)
		if t == nil {
			continue
		}
		for i := range t.Slices {
			s := &t.Slices[i]
			routes[name] = append(routes[name], coordinator.Route{From: s.From, To: s.To, Owner: s.Owner})
		}
	}
	return routes
}
