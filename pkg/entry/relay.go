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
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// serveRelay accepts the other VMs while this one is the coordinator.
func (c *Control) serveRelay(l net.Listener) {
	err := replica.Serve(l, replica.Events{
		Joined: func(f *replica.Follower) { c.post(func() { c.joined(f) }) },
		Report: func(f *replica.Follower, r replica.Report) {
			c.post(func() {
				f.VerdictDelay = time.Duration(r.DelayMs) * time.Millisecond
				c.loads.add(r.Keys, c.clock.Now())
				c.suspects.Merge(r.Suspects, c.clock.Now())
				c.noteLeavers(r.Leaving)
				if r.Unreachable != "" {
					c.distribution.Unreachable(f, r.Unreachable, c.clock.Now())
					c.greet = true
				}
			})
		},
		Leader: func(n coordinator.Notice) { c.post(func() { c.introduce(n) }) },
		Ask:    c.placer.asked,
		Done:   c.placer.ended,
		Left:   func(f *replica.Follower) { c.post(func() { c.left(f) }) },
		Failed: func(vm string, err error) { c.log.Emit(event.MessageRejected, "vm", vm, "error", err.Error()) },
	})
	if c.ctx.Err() == nil {
		c.log.Emit(event.ProcessFailed, "error", err.Error())
	}
}

func (c *Control) joined(f *replica.Follower) {
	leading := c.coordinator.Leading(c.clock.Now())
	if f.TablesOnly {
		c.subscribe(f, leading)
		return
	}
	if !leading {
		c.redirect(f)
		return
	}
	c.followers[f] = true
	c.log.Emit(event.FollowerJoined, "vm", f.VM, "vms", len(c.followers)+1)
	c.greet = true
}

// subscribe takes a VM in that wants the tables from this one as its distributor. A coordinator sends them itself.
func (c *Control) subscribe(f *replica.Follower, leading bool) {
	if leading {
		f.Close()
		return
	}
	c.subscribers[f] = true
	c.greet = true
}

// redirectTime is the time in which the VM that has connected gets the answer.
const redirectTime = 200 * time.Millisecond

// redirect tells a VM that takes this one for the coordinator who leads now. It may be cut off from the store.
func (c *Control) redirect(f *replica.Follower) {
	n, known := c.coordinator.Notice()
	if !known || n.VM == c.settings.VM {
		f.Close()
		return
	}
	f.Update(replica.Update{Leader: &n})
	time.AfterFunc(redirectTime, f.Close)
}

// introduce takes in who leads as another VM has told.
func (c *Control) introduce(n coordinator.Notice) {
	before, _ := c.coordinator.Notice()
	c.run(c.coordinator.Introduce(n, c.clock.Now()))
	if after, _ := c.coordinator.Notice(); after != before {
		c.nextDial = 0
	}
}

// announceTries is the number of attempts, one a second, to tell the former coordinator who leads now.
const announceTries = 3

// announce tells the former coordinator who leads now. One that is gone needs no notice, so that failures don't matter.
func (c *Control) announce(e coordinator.Announce) {
	for range announceTries {
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

func (c *Control) left(f *replica.Follower) {
	delete(c.subscribers, f)
	c.distribution.Forget(f)
	if c.followers[f] {
		delete(c.followers, f)
		c.listed = nil
		c.placer.broker.Lost(f.ID, c.clock.Now())
		c.log.Emit(event.FollowerLeft, "vm", f.VM, "vms", len(c.followers)+1)
	}
}

// publish sends changes, or a sign of life, to the other VMs.
func (c *Control) publish(now clock.Instant, leading bool) {
	if !leading {
		c.distribute(now)
		return
	}
	if c.snapshot == nil {
		return
	}
	c.publishedAt = now
	changed := c.changedRoutes(now)
	deltas := c.deltas()
	beat := now.Sub(c.lastBeat) >= heartbeatInterval
	if len(changed) == 0 && len(deltas) == 0 && !beat && !c.greet {
		return
	}
	if beat {
		c.lastBeat = now
	}
	greet := c.greet
	c.greet = false
	c.broadcast(now, changed, deltas, beat, greet)
}

// changedRoutes returns the routes that have changed since the last call, and puts them into force here.
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

// broadcast sends an update to all VMs that it concerns. With a distributor a VM gets only signs of life, so that a change doesn't cause
// a message to each of hundreds of VMs.
func (c *Control) broadcast(now clock.Instant, changed map[string][]coordinator.Route, deltas []replica.Delta, beat, greet bool) {
	list := c.listed
	if beat || greet || list == nil {
		list = slices.Collect(maps.Keys(c.followers))
		replica.SortFollowers(list)
		c.listed = list
		c.balancer.SetShare(0, len(list)+1)
		c.localBudget.Divide(len(list) + 1)
		c.assignSources(list, now)
	}
	var suspects []quarantine.Record
	var leaving []inventory.Life
	if beat {
		suspects, leaving = c.suspects.News(now), c.leavers.takeNews()
	}
	age := now.Sub(c.freshAt).Milliseconds()
	news := len(changed) > 0 || len(deltas) > 0
	if beat {
		deltas = c.withVersions(deltas)
	}
	plain, packed := c.shrink(deltas)
	for i, f := range list {
		if !beat && !f.Fresh && !f.Reassigned && (!news || f.Distributor != "") {
			continue
		}
		f.Reassigned = false
		u := replica.Update{
			LeastWeaknessMs: c.leastWeakness.Milliseconds(), LeaseVersion: c.coordinator.Version(), Index: i + 1, Count: len(list) + 1,
			Distributor: f.Distributor, Suspects: suspects, Leaving: leaving, StoreAge: age,
		}
		if !f.Informed {
			u.Suspects, u.Leaving, f.Informed = c.suspects.All(now), c.leavers.all(c.registered()), true
		}
		switch {
		case f.Distributor != "":
		case f.Fresh:
			u.Packed, u.Routes, u.AllRoutes = c.everything(), c.lastRoutes, true
			f.Fresh = false
		default:
			u.Deltas, u.Packed, u.Routes = plain, packed, changed
		}
		f.Update(u)
	}
}

// assignSources sets where each VM gets the tables, and notes how strong the strongest one is.
func (c *Control) assignSources(list []*replica.Follower, now clock.Instant) {
	for _, f := range c.distribution.Assign(list, now) {
		c.log.Emit(event.DistributorChosen, "vm", f.VM, "region", f.Region, "domain", f.Domain)
	}
	c.leastWeakness = c.ownWeakness()
	for _, f := range list {
		c.leastWeakness = min(c.leastWeakness, f.Weakness)
	}
}

// shrink packs deltas that are large.
func (c *Control) shrink(deltas []replica.Delta) (plain []replica.Delta, packed []byte) {
	plain, packed, err := replica.Shrink(deltas)
	if err != nil {
		c.log.Emit(event.ProcessFailed, "error", err.Error())
		return deltas, nil
	}
	return plain, packed
}

// deltas returns what has changed in the relayed tables since the last call.
func (c *Control) deltas() []replica.Delta {
	if c.published == nil {
		c.published = map[string]map[string]rowstore.Row{}
		c.publishedVersions = map[string]uint64{}
	}
	var deltas []replica.Delta
	for _, table := range []string{c.tables.Operator, c.tables.Targets} {
		if c.publishedVersions[table] == c.mirror.Version(table) && c.published[table] != nil {
			continue
		}
		c.publishedVersions[table] = c.mirror.Version(table)
		rows := c.mirror.Rows(table)
		d := replica.Diff(table, c.mirror.Version(table), c.published[table], rows, c.sameMeaning)
		if d.Empty() {
			continue
		}
		deltas = append(deltas, d)
		published := maps.Clone(c.published[table])
		if published == nil {
			published = map[string]rowstore.Row{}
		}
		for _, r := range d.Rows {
			published[r.Key] = r
		}
		for _, key := range d.Gone {
			delete(published, key)
		}
		c.published[table] = published
	}
	return deltas
}

// sameMeaning tells whether two versions of a row mean the same. Most changes of registrations are heartbeats.
func (c *Control) sameMeaning(a, b rowstore.Row) bool {
	if a.Table != c.tables.Targets {
		return false
	}
	old, errOld := c.decoder.Target(a)
	current, err := c.decoder.Target(b)
	if errOld != nil || err != nil {
		return errOld != nil && err != nil
	}
	return old.SameAs(current)
}

// everything returns the whole tables, packed. Many VMs connect at once, so the result is kept until a table changes.
func (c *Control) everything() []byte {
	// Both tables may be as of the same version of the store, so that their maximum doesn't tell whether one has been read.
	versions := [2]uint64{c.mirror.Version(c.tables.Operator), c.mirror.Version(c.tables.Targets)}
	if c.packed != nil && c.packedVersions == versions {
		return c.packed
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
	c.packed, c.packedVersions = packed, versions
	return packed
}

// follow keeps a connection to the coordinator.
func (c *Control) follow(now clock.Instant, leading bool) {
	if c.link != nil && now.Sub(c.heardAt) > linkSilence {
		c.log.Emit(event.CoordinatorLost, "silent_ms", now.Sub(c.heardAt).Milliseconds())
		c.unfollow()
	}
	leader, known := c.coordinator.Leader()
	if leading || !known || leader.VM == c.settings.VM {
		return
	}
	if c.following == leader.Address || now < c.nextDial {
		return
	}
	c.unfollow()
	c.nextDial = now.Add(redialPause(c.vainDials, c.fleetSize()))
	c.vainDials++
	c.following = leader.Address
	ctx, cancel := context.WithCancel(c.ctx)
	c.stopFollow = cancel
	first := replica.Report{
		VM: c.settings.VM, Domain: c.settings.Domain, Region: c.settings.Region, Address: c.relayAddress(),
		WeaknessMs: c.ownWeakness().Milliseconds(),
	}
	go func() {
		link, err := replica.Follow(ctx, leader.Address, first, replica.Receiver{
			Linked:  func(l *replica.Link) { c.post(func() { c.linked(ctx, l, leader.VM) }) },
			Update:  func(l *replica.Link, u replica.Update) { c.post(func() { c.updated(l, u) }) },
			Verdict: c.placer.answer,
		})
		c.post(func() { c.unlinked(ctx, link, err) })
	}()
}

func (c *Control) unfollow() {
	if c.stopFollow != nil {
		c.stopFollow()
	}
	c.stopFollow, c.link, c.following, c.announced = nil, nil, "", false
	c.placer.use(c.wasLeading, nil)
}

func (c *Control) linked(ctx context.Context, l *replica.Link, vm string) {
	if ctx.Err() != nil {
		l.Close()
		return
	}
	c.link, c.heardAt = l, c.clock.Now()
	if c.source.address == "" {
		c.mirror.ForgetRelayed()
	}
	// The coordinator may be a new one, or a new process.
	suspects, leaving := c.suspects.All(c.heardAt), c.leavers.all(c.registered())
	if len(suspects) > 0 || len(leaving) > 0 {
		l.Report(replica.Report{Suspects: suspects, Leaving: leaving})
	}
	c.placer.use(false, l)
	c.log.Emit(event.CoordinatorRegained, "vm", vm)
}

func (c *Control) unlinked(ctx context.Context, l *replica.Link, err error) {
	if ctx.Err() != nil {
		return
	}
	if l != nil && l == c.link {
		c.log.Emit(event.CoordinatorLost, "error", err.Error())
	}
	c.readSoon(c.clock.Now())
	c.unfollow()
}

// readSoon makes this VM look for the next coordinator, which may have given the role up. Distributors and the VMs of a small fleet do
// so at once, the others are told by their distributor.
func (c *Control) readSoon(now clock.Instant) {
	switch c.standing(now, false) {
	case watching:
		c.nextPoll[coordinator.Table] = 0
	case alone:
		if n := c.fleetSize(); n > 0 && n <= readers {
			c.nextPoll[coordinator.Table] = 0
		}
	}
}

func (c *Control) updated(l *replica.Link, u replica.Update) {
	if l == nil || l != c.link {
		return
	}
	now := c.clock.Now()
	if u.Leader != nil {
		c.introduce(*u.Leader)
		c.unfollow()
		return
	}
	c.heardAt, c.vainDials = now, 0
	c.suspects.Merge(u.Suspects, now)
	c.noteLeavers(u.Leaving)
	c.leaderFreshAt = max(c.leaderFreshAt, now.Add(-time.Duration(u.StoreAge)*time.Millisecond))
	if !c.announced {
		// The VMs that this one passes the tables on to dial at once when they hear of it.
		c.announced, c.noticed = true, coordinator.Notice{}
	}
	c.leastWeakness = time.Duration(u.LeastWeaknessMs) * time.Millisecond
	c.coordinator.Heard(u.LeaseVersion, now)
	c.balancer.SetShare(u.Index, u.Count)
	c.vms = u.Count
	c.localBudget.Divide(u.Count)
	c.useDistributor(u.Distributor, now)
	if u.Distributor != "" {
		return
	}
	if err := c.takeTables(u, now); err != nil {
		c.log.Emit(event.CoordinatorLost, "error", err.Error())
		l.Close()
	}
}

func (c *Control) takeRoutes(u replica.Update) {
	next := map[string][]coordinator.Route{}
	if !u.AllRoutes {
		maps.Copy(next, c.relayed)
	}
	for pool, changed := range u.Routes {
		next[pool] = coordinator.PatchRoutes(next[pool], changed)
	}
	c.relayed, c.relayedAt = next, time.Now()
}

// report tells the coordinator, or this VM's own window, which keys were requested without its broker.
func (c *Control) report(now clock.Instant, leading bool) {
	if now < c.nextReport {
		return
	}
	c.nextReport = now.Add(reportInterval)
	if c.source.link != nil {
		c.source.link.Report(replica.Report{})
	}
	keys := c.used.take()
	if leading {
		c.loads.add(keys, now)
		return
	}
	if c.link != nil {
		c.link.Report(replica.Report{Keys: keys, DelayMs: c.placer.delay().Milliseconds(), Suspects: c.suspects.News(now)})
	}
}

// updateBroker tells the broker who owns the keys.
func (c *Control) updateBroker() {
	if c.snapshot == nil {
		return
	}
	routes, taken := c.lastRoutes, c.clock.Now()
	c.placer.broker.Update(c.snapshot, func(pool string, key int) placing.Owner {
		r, ok := coordinator.FindRoute(routes[pool], key)
		if !ok {
			return placing.Owner{Pending: true, Wait: unownedWait}
		}
		wait := max(unownedWait, time.Duration(r.ReadyIn)*time.Millisecond-c.clock.Now().Sub(taken))
		return placing.Owner{Target: r.Owner, Pending: r.Pending, Wait: wait}
	}, taken)
}
