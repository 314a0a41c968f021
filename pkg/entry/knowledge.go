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
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// poll starts the reads of the store that are due.
func (c *Control) poll(now clock.Instant, leading bool) {
	relayed := c.tablesRelayed(now)
	if !leading && relayed && c.coordinatorHeard(now) {
		c.rest(now)
		return
	}
	s := c.standing(now, leading)
	for _, table := range []string{c.tables.Operator, c.tables.Targets, coordinator.Table} {
		if !leading && table != coordinator.Table && (relayed || c.snapshot == nil && c.spared(now)) {
			c.restTable(table, now)
			continue
		}
		if !leading && table != coordinator.Table && c.storeDown {
			// The smallest table shows when the store answers again.
			continue
		}
		if s == alone && c.snapshot == nil && c.nextPoll[table] == 0 && table != coordinator.Table {
			if c.pace(coordinator.Table).reads == 0 {
				// The coordinator's row tells how many VMs there are.
				continue
			}
			c.nextPoll[table] = now.Add(startRest(c.fleetSize()))
		}
		if leading && table == coordinator.Table || now < c.nextPoll[table] || c.polling[table] {
			continue
		}
		c.nextPoll[table] = now.Add(c.pace(table).pause(s, c.fleetSize()))
		c.startPoll(table)
	}
}

// rest puts the next reads off while others read for this VM. A VM with a distributor gives it time to read again first.
func (c *Control) rest(now clock.Instant) {
	for _, table := range []string{c.tables.Operator, c.tables.Targets, coordinator.Table} {
		c.pace(table).reads = 0
		c.restTable(table, now)
	}
}

func (c *Control) restTable(table string, now clock.Instant) {
	if c.source.link != nil && c.nextPoll[table] < now.Add(guidedPause) {
		c.nextPoll[table] = now.Add(guidedRest(c.settings.ConfigApply))
	}
}

// standing tells what this VM is to the others when it comes to reading the store.
func (c *Control) standing(now clock.Instant, leading bool) standing {
	switch {
	case leading:
		return coordinating
	case len(c.subscribers) > 0:
		return watching
	case c.distributed(now):
		return guided
	default:
		return alone
	}
}

// fleetSize is the number of VMs as it is known, 0 if it isn't.
func (c *Control) fleetSize() int {
	if c.vms > 0 {
		return c.vms
	}
	row, _ := c.coordinator.Leader()
	return row.VMs
}

func (c *Control) pace(table string) *pace {
	p := c.paces[table]
	if p == nil {
		p = &pace{}
		c.paces[table] = p
	}
	return p
}

// spared tells whether a new process may expect the tables from the coordinator. After a restart of all VMs their own reads
// would fill the link between the regions for seconds.
func (c *Control) spared(now clock.Instant) bool {
	age := now.Sub(c.startedAt)
	return age < startGrace || (c.coordinatorHeard(now) || c.distributed(now)) && age < linkedGrace
}

// coordinatorHeard tells whether the coordinator is heard.
func (c *Control) coordinatorHeard(now clock.Instant) bool {
	return c.link != nil && now.Sub(c.heardAt) < contactLoss
}

// tablesRelayed tells whether the coordinator or a distributor relays a recent state of the store.
func (c *Control) tablesRelayed(now clock.Instant) bool {
	return c.snapshot != nil && now.Sub(c.relayFreshAt) < maxStoreAge && (c.coordinatorHeard(now) || c.distributed(now))
}

const (
	// largeTable is the number of rows from which on most reads fetch only the changes: a whole table of 400 targets is estimated at 175 KB.
	largeTable = 100
	// wholeEvery makes each n-th read of a large table a whole one, since changes may be told a second late.
	wholeEvery = 3
	// ownWholeEvery is the same for VMs that read beside the coordinator. Whole reads by 80 VMs fill the link between the
	// regions.
	ownWholeEvery = 10
)

// startPoll reads a table, or what has changed in a large one.
func (c *Control) startPoll(table string) {
	if c.polling[table] {
		return
	}
	c.polling[table] = true
	c.reads[table]++
	since := c.mirror.Version(table)
	every := ownWholeEvery
	if c.wasLeading {
		every = wholeEvery
	}
	if c.mirror.NeedsWhole(table, c.clock.Now()) {
		since = 0
	}
	if table != c.tables.Targets || len(c.mirror.Rows(table)) < largeTable || since == 0 || c.reads[table]%every == 0 {
		since = 0
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, pollTimeout)
		defer cancel()
		begun := c.clock.Now()
		if since > 0 {
			changes, err := c.store.Changes(ctx, table, since)
			if !errors.Is(err, rowstore.ErrHistoryGone) {
				c.post(func() { c.changed(table, changes, err, begun) })
				return
			}
		}
		page, err := c.store.List(ctx, table)
		c.post(func() { c.polled(table, page, err, begun) })
	}()
}

// changed takes in what has changed in a table.
func (c *Control) changed(table string, changes rowstore.Changes, err error, begun clock.Instant) {
	c.polling[table] = false
	c.noteStore(err)
	c.pace(table).note(err)
	if err != nil {
		return
	}
	c.freshAt = max(c.freshAt, begun)
	if c.mirror.Change(table, changes, table == c.tables.Targets, c.clock.Now()) {
		c.rebuild()
	}
}

func (c *Control) polled(table string, page rowstore.Page, err error, begun clock.Instant) {
	c.polling[table] = false
	now := c.clock.Now()
	c.noteStore(err)
	c.pace(table).note(err)
	if err != nil {
		return
	}
	if table == coordinator.Table {
		c.run(c.coordinator.Observe(page, now.Sub(begun), now))
		c.controlReadAt = time.Now()
		c.useStoredDistributor(now)
		c.refreshView()
		return
	}
	c.freshAt = max(c.freshAt, begun)
	if c.mirror.Replace(table, page, table == c.tables.Targets, now) {
		c.rebuild()
	}
}

func (c *Control) noteStore(err error) {
	if err != nil && !c.storeDown {
		c.storeDown = true
		c.log.Emit(event.StoreLost, "error", err.Error())
	}
	if err == nil && c.storeDown {
		c.storeDown = false
		c.log.Emit(event.StoreRegained)
	}
}

// rebuild makes a new snapshot out of the mirrored rows.
func (c *Control) rebuild() {
	c.decodeConfiguration()
	targets, changed := c.decodeTargets()
	out := c.decoder.DomainsOut(c.mirror.Rows(c.tables.Operator))
	old := c.snapshot
	if old != nil && !changed && !c.remake && old.Configuration == c.config && sameSet(old.DomainsOut, out) {
		return
	}
	c.remake = false
	targets = c.leavers.apply(targets)
	c.snapshot = inventory.NewSnapshot(c.config, targets, out)
	c.snapshot.LeavingSince = c.leavingSince(targets)
	if old != nil && !sameSet(old.DomainsOut, out) {
		c.log.Emit(event.DomainsOutChanged, "out", names(out))
	}
	c.balancer.Update(c.snapshot, c.clock.Now())
	if c.wasLeading {
		c.updateBroker()
	}
	c.refreshView()
	c.onView(c.snapshot)
}

// leavingSince tells when the leaving targets were first seen to leave.
func (c *Control) leavingSince(targets []*inventory.Target) map[string]clock.Instant {
	now := c.clock.Now()
	since := map[string]clock.Instant{}
	for _, t := range targets {
		if !t.Draining {
			continue
		}
		since[t.ID] = now
		if old, ok := c.leaving[t.ID]; ok {
			since[t.ID] = old
		}
	}
	c.leaving = since
	return since
}

func (c *Control) decodeConfiguration() {
	rows := c.mirror.Rows(c.tables.Operator)
	version := uint64(0)
	for _, r := range rows {
		version = max(version, r.Version)
	}
	if version == c.configRow {
		return
	}
	c.configRow = version
	next, err := c.readConfiguration(rows)
	if err != nil {
		c.log.Emit(event.ConfigurationBad, "error", err.Error())
		return
	}
	if next == nil || c.config != nil && next.Version <= c.config.Version {
		return
	}
	c.config = next
	c.log.Emit(event.ConfigurationInForce, "version", next.Version, "routes", next.RouteCount(), "pools", len(next.Pools),
		"store_version", version)
}

// errUndecodable means that a decoder has failed unexpectedly.
var errUndecodable = errors.New("unexpected error in the decoder")

// readConfiguration decodes the configuration. Whatever a row holds, the others are still read.
func (c *Control) readConfiguration(rows map[string]rowstore.Row) (next *inventory.Configuration, err error) {
	err = errUndecodable
	defer c.log.Recovered("configuration")
	return c.decoder.Configuration(rows)
}

// readTarget decodes a registration.
func (c *Control) readTarget(r rowstore.Row) (t *inventory.Target, err error) {
	err = errUndecodable
	defer c.log.Recovered("registration " + r.Key)
	return c.decoder.Target(r)
}

// decodeTargets returns the registered targets. Rows that name no usable target are left out.
func (c *Control) decodeTargets() (list []*inventory.Target, changed bool) {
	rows := c.mirror.Rows(c.tables.Targets)
	for key, r := range rows {
		known, ok := c.targets[key]
		if !ok || known.version != r.Version {
			t, err := c.readTarget(r)
			if err != nil && (!ok || known.target != nil) {
				c.log.Emit(event.RegistrationBad, "error", err.Error())
			}
			changed = c.noteTarget(known.target, t) || changed
			if known.target != nil && t != nil && known.target.SameAs(t) && t.ColdFor <= 0 {
				t = known.target
			}
			known = decodedTarget{version: r.Version, target: t}
			c.targets[key] = known
		}
		if known.target != nil {
			list = append(list, known.target)
		}
	}
	for key, known := range c.targets {
		if _, ok := rows[key]; !ok {
			changed = c.noteTarget(known.target, nil) || changed
			delete(c.targets, key)
		}
	}
	return list, changed
}

// noteTarget logs a change of a registration and tells whether there is one that matters.
func (c *Control) noteTarget(old, current *inventory.Target) bool {
	switch {
	case old == nil && current == nil:
		return false
	case current == nil:
		c.log.Emit(event.TargetUnregistered, "target", old.ID, "pool", old.Pool, "domain", old.Domain)
	case old == nil:
		c.log.Emit(event.TargetRegistered, "target", current.ID, "pool", current.Pool, "domain", current.Domain,
			"cold_ms", current.ColdFor.Milliseconds())
	case !old.SameAs(current):
		c.log.Emit(event.TargetChanged, "target", current.ID, "pool", current.Pool, "draining", current.Draining,
			"cold_ms", current.ColdFor.Milliseconds(), "started", current.Started)
	default:
		return current.ColdFor > 0
	}
	return true
}

func sameSet(a, b map[string]bool) bool {
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

func names(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for key := range set {
		list = append(list, key)
	}
	return list
}

// refreshView publishes what is known to the callers' side.
func (c *Control) refreshView() {
	routes, taken := c.currentRoutes()
	old := c.view.Load()
	c.view.Store(&ingress.View{Snapshot: c.snapshot, Routes: routes, Taken: taken, Changed: make(chan struct{})})
	close(old.Changed)
}

// currentRoutes returns the owners of the keys: the coordinator's own, the relayed ones, or the stored ones.
func (c *Control) currentRoutes() (map[string][]coordinator.Route, time.Time) {
	now := c.clock.Now()
	if c.coordinator.Leading(now) {
		return c.coordinator.Routes(now), time.Now()
	}
	if c.relayed != nil && (c.link != nil || !c.controlReadAt.After(c.relayedAt)) {
		return c.relayed, c.relayedAt
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
