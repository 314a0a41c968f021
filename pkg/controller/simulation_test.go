package controller

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"slices"
	"sort"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/store/memstore"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
	"github.com/bronzelever/bronzelever/pkg/witness"
)

// simulation runs candidates and routers of one cell in virtual time: real controller states, a memstore, and a model
// of routers that follows the design's rules for holders. Messages have random delays; links can be disconnected, and
// processes paused.
type simulation struct {
	rng          *rand.Rand
	now          time.Duration
	seq          int
	queue        []scheduledEvent
	store        *memstore.Store
	storeOK      bool
	candidates   []*candidate
	routers      []*fakeRouter
	disconnected map[string]bool
	lostTargets  map[string]bool
	cfg          *config.Config
	// violation is the first violated invariant.
	violation string
	// hotKey is the hash of the key that gets most requests.
	hotKey uint64
	// newestConfig is the newest configuration version that was sent to each router.
	newestConfig map[string]uint64
	maxDelay     time.Duration
	// trace receives the events of the simulation; nil disables it.
	trace io.Writer
}

type scheduledEvent struct {
	at     time.Duration
	seq    int
	owner  *process
	action func()
}

// process is the common part of candidates and routers: a clock with its own rate, pauses and termination.
type process struct {
	name      string
	clockRate float64
	paused    bool
	dead      bool
	deferred  []func()
}

func (p *process) clock(sim *simulation) clock.Instant {
	return clock.Instant(float64(sim.now)*p.clockRate) + clock.Instant(time.Hour)
}

type candidate struct {
	process
	sim   *simulation
	state *State
}

func (sim *simulation) schedule(d time.Duration, owner *process, action func()) {
	sim.seq++
	e := scheduledEvent{at: sim.now + d, seq: sim.seq, owner: owner, action: action}
	i := sort.Search(len(sim.queue), func(i int) bool { return sim.queue[i].at > e.at })
	sim.queue = append(sim.queue, scheduledEvent{})
	copy(sim.queue[i+1:], sim.queue[i:])
	sim.queue[i] = e
}

func (sim *simulation) randomDelay() time.Duration {
	return time.Duration(sim.rng.Int63n(int64(sim.maxDelay))) + 100*time.Microsecond
}

// run advances virtual time and checks the invariants after each event.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end && sim.violation == "" {
		e := sim.queue[0]
		sim.queue = sim.queue[1:]
		sim.now = e.at
		switch {
		case e.owner != nil && e.owner.dead:
		case e.owner != nil && e.owner.paused:
			e.owner.deferred = append(e.owner.deferred, e.action)
		default:
			e.action()
			sim.checkGroups()
		}
	}
	sim.now = end
}

func (sim *simulation) linked(a, b string) bool {
	return !sim.disconnected[a] && !sim.disconnected[b] && !sim.disconnected[a+"|"+b] && !sim.disconnected[b+"|"+a]
}

func newSimulation(seed int64, routers int, cfg *config.Config) *simulation {
	return newTracedSimulation(seed, routers, cfg, nil)
}

// newTracedSimulation is like newSimulation and writes a trace.
func newTracedSimulation(seed int64, routers int, cfg *config.Config, trace io.Writer) *simulation {
	sim := &simulation{trace: trace, rng: rand.New(rand.NewSource(seed)), store: memstore.New(), storeOK: true, disconnected: map[string]bool{},
		lostTargets: map[string]bool{}, newestConfig: map[string]uint64{}, cfg: cfg, maxDelay: 4 * time.Millisecond}
	sim.putConfig(cfg)
	for i := range 3 {
		sim.addCandidate(fmt.Sprintf("c%d", i))
	}
	for i := range routers {
		domain := cfg.Regions[0].Domains[i%len(cfg.Regions[0].Domains)]
		sim.addRouter(fmt.Sprintf("r%d", i), domain)
	}
	return sim
}

func (sim *simulation) randomClockRate() float64 { return 0.996 + 0.008*sim.rng.Float64() }

func (sim *simulation) addCandidate(name string) *candidate {
	c := &candidate{process: process{name: name, clockRate: sim.randomClockRate()}, sim: sim}
	o := Options{VM: name, Cell: "north", Region: "north", Domain: "north-a", Address: name, Incarnation: wire.Incarnation(sim.rng.Uint64()),
		Parse: config.Parse, Log: sim.logger(name)}
	c.state = New(o, c.clock(sim))
	sim.candidates = append(sim.candidates, c)
	sim.schedule(sim.randomDelay(), &c.process, c.tick)
	return c
}

func (c *candidate) tick() {
	c.state.Tick(c.clock(c.sim))
	c.executeAll()
	c.sim.schedule(TickInterval, &c.process, c.tick)
}

func (c *candidate) executeAll() {
	for _, e := range c.state.Effects() {
		c.execute(e)
	}
}

func (c *candidate) deliver(d time.Duration, result func() Result) {
	c.sim.schedule(d, &c.process, func() {
		c.state.Handle(c.clock(c.sim), result())
		c.executeAll()
	})
}

func (c *candidate) execute(e Effect) {
	sim := c.sim
	if call, ok := e.(Call); ok {
		c.sendCall(call)
		return
	}
	if !sim.linked(c.name, "store") {
		c.deliver(200*time.Millisecond, func() Result { return storeFailure(e) })
		return
	}
	sim.schedule(sim.randomDelay(), nil, func() {
		result := sim.perform(e)
		c.deliver(sim.randomDelay(), func() Result { return result })
	})
}

func storeFailure(e Effect) Result {
	switch e := e.(type) {
	case ReadRow:
		return RowRead{ReadRow: e, Err: store.ErrUnavailable}
	case WriteRow:
		return RowWritten{WriteRow: e, Err: store.ErrUnavailable}
	case ReadObject:
		return ObjectRead{ReadObject: e, Err: store.ErrUnavailable}
	}
	return nil
}

func (sim *simulation) perform(e Effect) Result {
	switch e := e.(type) {
	case ReadRow:
		row, err := sim.store.Get(context.Background(), e.Key)
		return RowRead{ReadRow: e, Row: row, Err: err}
	case WriteRow:
		rev, err := sim.store.Put(context.Background(), e.Key, e.Value, e.Expected, e.Token)
		return RowWritten{WriteRow: e, Revision: rev, Err: err}
	case ReadObject:
		body, err := sim.store.GetObject(context.Background(), e.Key)
		return ObjectRead{ReadObject: e, Body: body, Err: err}
	}
	return nil
}

func (c *candidate) sendCall(call Call) {
	sim := c.sim
	r := sim.router(call.Address)
	if r == nil || !sim.linked(c.name, r.name) {
		c.deliver(callTimeout, func() Result { return CallResult{Call: call, Err: store.ErrUnavailable} })
		return
	}
	sim.schedule(sim.randomDelay(), &r.process, func() {
		reply := r.answer(call.Request)
		if sim.linked(c.name, r.name) {
			c.deliver(sim.randomDelay(), func() Result { return CallResult{Call: call, Reply: reply} })
		}
	})
}

func (sim *simulation) router(name string) *fakeRouter {
	for _, r := range sim.routers {
		if r.name == name && !r.dead {
			return r
		}
	}
	return nil
}

// fakeRouter models a router by the design's rules for holders.
type fakeRouter struct {
	process
	sim              *simulation
	member           wire.Member
	lease            lease.Holder
	leaseTerm        uint64
	term             uint64
	table            *topology.Table
	roster           wire.Roster
	previous         *wire.Roster
	rule             *witness.Rule
	config           uint64
	leader           string
	nextCandidate    int
	leaving          bool
	groups           map[topology.GroupID]*heldGroup
	serving          map[sliceKey]servedSlice
	reports          []wire.SliceReport
	residualRequests []residualRequest
	expiryCount      int
	// expiredEpochs holds the epochs of groups that were lost when the authority ended; they aren't taken up again.
	expiredEpochs map[topology.GroupID]topology.Epoch
}

type heldGroup struct {
	epoch topology.Epoch
	state wire.HoldState
	until time.Duration
}

// servedSlice is a slice that the router executes at a target.
type servedSlice struct {
	slice    topology.Slice
	draining bool
	until    time.Duration
}

// residualRequest is a request that continues after its router lost authority.
type residualRequest struct {
	key   sliceKey
	until time.Duration
}

// sliceKey identifies a slice at a gateway.
type sliceKey struct {
	low, high uint64
	epoch     topology.Epoch
	owner     string
}

func keyOf(s topology.Slice) sliceKey {
	return sliceKey{low: s.Low, high: s.High, epoch: s.Epoch, owner: s.Owner}
}

func (k sliceKey) overlaps(o sliceKey) bool { return k.low <= o.high && o.low <= k.high }

func (sim *simulation) addRouter(name, domain string) *fakeRouter {
	r := &fakeRouter{process: process{name: name, clockRate: sim.randomClockRate()}, sim: sim, groups: map[topology.GroupID]*heldGroup{},
		serving: map[sliceKey]servedSlice{}, expiredEpochs: map[topology.GroupID]topology.Epoch{}}
	r.member = wire.Member{VM: name, Incarnation: wire.Incarnation(sim.rng.Uint64()), Address: name, Domain: domain}
	r.rule = witness.NewRule(r.member)
	sim.routers = append(sim.routers, r)
	sim.schedule(sim.randomDelay(), &r.process, r.sendHeartbeat)
	sim.schedule(sim.randomDelay(), &r.process, r.queryWitnesses)
	return r
}

func (r *fakeRouter) position() witness.Position {
	p := witness.Position{Term: r.leaseTerm, Config: r.config}
	if r.table != nil {
		p.Table = r.table.Version
	}
	return p
}

// authorityUntil returns the end of the authority, by the lease or by the roster rule.
func (r *fakeRouter) authorityUntil() clock.Instant {
	position := r.position()
	known := position
	known.Term = r.term
	return max(r.lease.End(), r.rule.AuthorityEnd(r.clock(r.sim), position, known))
}

func (r *fakeRouter) hasAuthority() bool {
	now := r.clock(r.sim)
	return r.lease.Valid(now) || now < r.authorityUntil()
}

// expireAuthority drops all groups and slices once the authority has ended; requests in flight continue.
func (r *fakeRouter) expireAuthority() {
	if r.hasAuthority() || len(r.groups) == 0 {
		return
	}
	r.expiryCount++
	for id, h := range r.groups {
		r.expiredEpochs[id] = h.epoch
	}
	r.sim.tracef("%s loses authority with %d groups", r.name, len(r.groups))
	// Requests were sent before the authority ended, even if the router notices the end later.
	r.leaveInFlight(r.authorityEnd())
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func (sim *simulation) randomDrainTime() time.Duration {
	longest := sim.cfg.Pools[0].MaxDeadline.Duration()
	return time.Duration(sim.rng.Int63n(int64(longest)))
}

func (r *fakeRouter) answer(request any) any {
	r.expireAuthority()
	switch m := request.(type) {
	case *wire.AnnounceTerm:
		r.authorityUntil()
		if m.Term >= r.term {
			r.term = m.Term
			r.leader = m.Address
		}
		return &wire.AnnounceTermReply{Term: r.term, Member: r.member, Held: r.heldReport()}
	case *wire.Witness:
		return r.witness()
	case *wire.FetchTable:
		return &wire.TableReply{Table: r.table}
	case *wire.FetchConfig:
		return &wire.ConfigReply{}
	}
	return nil
}

func (r *fakeRouter) witness() *wire.WitnessReply {
	reply := &wire.WitnessReply{Member: r.member, Term: r.term, ConfigVersion: r.config}
	if r.table != nil {
		reply.TableVersion = r.table.Version
	}
	return reply
}

func (r *fakeRouter) heldReport() []wire.HeldGroup {
	var out []wire.HeldGroup
	for id, h := range r.groups {
		out = append(out, wire.HeldGroup{Group: id, Epoch: h.epoch, State: h.state})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Group < out[j].Group })
	return out
}

// queryWitnesses sends a round of witness queries.
func (r *fakeRouter) queryWitnesses() {
	r.expireAuthority()
	sim := r.sim
	asked := r.clock(sim)
	sim.schedule(witness.Interval, &r.process, r.queryWitnesses)
	if asked < r.lease.End().Add(-3*witness.Interval) {
		return
	}
	for _, m := range r.rule.Members() {
		other := sim.router(m.VM)
		if other == nil || !sim.linked(r.name, other.name) {
			continue
		}
		sim.schedule(sim.randomDelay(), &other.process, func() {
			other.expireAuthority()
			reply := *other.witness()
			if sim.linked(r.name, other.name) {
				sim.schedule(sim.randomDelay(), &r.process, func() {
					r.expireAuthority()
					r.rule.Record(asked, reply)
					r.authorityUntil()
				})
			}
		})
	}
}

// sendHeartbeat sends a heartbeat to the known leader, otherwise to the candidates in turn.
func (r *fakeRouter) sendHeartbeat() {
	r.expireAuthority()
	r.applyTable()
	sim := r.sim
	sim.schedule(250*time.Millisecond, &r.process, r.sendHeartbeat)
	asked := r.clock(sim)
	hb := r.heartbeat()
	to := sim.candidates[r.nextCandidate%len(sim.candidates)]
	for _, c := range sim.candidates {
		if c.name == r.leader {
			to = c
		}
	}
	r.nextCandidate++
	if !sim.linked(r.name, to.name) || to.dead || to.paused {
		r.leader = ""
	}
	if !sim.linked(r.name, to.name) {
		return
	}
	sim.schedule(sim.randomDelay(), &to.process, func() {
		reply := to.state.Heartbeat(to.clock(sim), hb)
		to.executeAll()
		if sim.linked(r.name, to.name) {
			sim.schedule(sim.randomDelay(), &r.process, func() { r.onReply(asked, reply) })
		}
	})
}

func (r *fakeRouter) heartbeat() *wire.Heartbeat {
	hb := &wire.Heartbeat{Cell: "north", Member: r.member, Term: r.term, ConfigVersion: r.config, RosterVersion: r.roster.Version,
		Held: r.heldReport(), Slices: slices.Clone(r.reports), Leaving: r.leaving}
	for _, key := range r.servedKeys() {
		load := wire.SliceLoad{Pool: "keyed", Low: key.low, Rate: 10 * r.sim.rng.Float64()}
		if hot := r.sim.hotKey; key.low <= hot && hot <= key.high {
			load.Rate, load.HotHash, load.HotRate = load.Rate+500, hot, 500
		}
		hb.Loads = append(hb.Loads, load)
	}
	if r.table != nil {
		hb.TableVersion = r.table.Version
		for _, g := range r.table.Groups {
			if r.groups[g.ID] == nil {
				continue
			}
			for _, t := range g.Targets {
				state := wire.TargetServing
				if r.sim.lostTargets[t] {
					state = wire.TargetLost
				}
				hb.Targets = append(hb.Targets, wire.TargetReport{Target: t, State: state})
			}
		}
	}
	return hb
}

func (r *fakeRouter) onReply(asked clock.Instant, reply *wire.HeartbeatReply) {
	r.expireAuthority()
	r.authorityUntil()
	if !reply.Active {
		r.leader = reply.Leader
		return
	}
	if reply.Term < r.term {
		return
	}
	r.term = reply.Term
	r.leaseTerm = reply.Term
	r.leader = reply.Leader
	r.lease.Extend(asked, time.Duration(reply.LeaseMillis)*time.Millisecond)
	if reply.Roster != nil && reply.Roster.Version >= r.roster.Version {
		r.roster, r.previous = *reply.Roster, reply.Previous
		r.rule.SetRosters(r.roster, r.previous)
	}
	if reply.ConfigVersion > r.config {
		r.config = reply.ConfigVersion
	}
	if reply.ConfigVersion < r.sim.newestConfig[r.name] && reply.ConfigVersion != 0 {
		r.sim.recordViolation("configuration version decreased at %s: %d after %d", r.name, reply.ConfigVersion, r.sim.newestConfig[r.name])
	}
	r.sim.newestConfig[r.name] = max(r.sim.newestConfig[r.name], reply.ConfigVersion)
	if reply.Table != nil && (r.table == nil || r.table.Version.Less(reply.Table.Version)) {
		r.table = reply.Table
	}
	r.applyTable()
}

// applyTable takes up and releases groups and slices according to the table.
func (r *fakeRouter) applyTable() {
	if r.table == nil || !r.hasAuthority() {
		return
	}
	mine := map[topology.GroupID]topology.Group{}
	for _, g := range r.table.Groups {
		if g.Gateway == r.name && g.GatewayIncarnation == uint64(r.member.Incarnation) {
			mine[g.ID] = g
		}
	}
	for _, id := range sortedKeys(r.groups) {
		h := r.groups[id]
		g, ok := mine[id]
		switch {
		case h.state == wire.HoldDraining && r.sim.now >= h.until:
			delete(r.groups, id)
			r.sim.tracef("%s releases %s", r.name, id)
		case h.state == wire.HoldActive && (!ok || g.Epoch != h.epoch) && r.table.Version.Term >= r.leaseTerm:
			h.state = wire.HoldDraining
			h.until = r.sim.now + r.sim.randomDrainTime()/4
		}
	}
	for id, g := range mine {
		// A table of an older term may show a group that the router has lost meanwhile, and a new controller was told
		// what the router held when it accepted the term. The new controller publishes only once it knows the
		// holders.
		if r.groups[id] == nil && g.Epoch > r.expiredEpochs[id] && r.table.Version.Term == r.leaseTerm && r.term == r.leaseTerm {
			r.sim.tracef("%s takes up %s %d", r.name, id, g.Epoch)
			// The releases of an earlier hold say nothing about this one.
			r.reports = slices.DeleteFunc(r.reports, func(rep wire.SliceReport) bool { return slices.Contains(g.Targets, rep.Owner) })
			r.groups[id] = &heldGroup{epoch: g.Epoch, state: wire.HoldActive}
		}
	}
	r.applySlices()
}

// applySlices serves the slices that the table assigns to targets of held groups. Every change of range, owner or
// epoch drains the old slice and starts a new one; a release is final for the hold and the epoch.
func (r *fakeRouter) applySlices() {
	owned := map[sliceKey]topology.Slice{}
	for _, s := range r.table.Slices {
		g, ok := r.table.GroupOfTarget(s.Owner)
		// A gateway releases the slices of a lost target by itself.
		if ok && r.groups[g.ID] != nil && r.groups[g.ID].state == wire.HoldActive && !r.sim.lostTargets[s.Owner] {
			owned[keyOf(s)] = s
		}
	}
	for _, key := range r.servedKeys() {
		s := r.serving[key]
		_, wanted := owned[key]
		switch {
		case s.draining && r.sim.now >= s.until:
			delete(r.serving, key)
			r.reports = append(r.reports, wire.SliceReport{Pool: s.slice.Pool, Low: key.low, High: key.high,
				Epoch: key.epoch, Owner: key.owner, State: wire.SliceReleased})
		case !s.draining && !wanted:
			s.draining = true
			s.until = r.sim.now + r.sim.randomDrainTime()/4
			r.serving[key] = s
			r.sim.tracef("%s drains %v by table %v", r.name, key, r.table.Version)
		}
	}
	for _, s := range r.table.Slices {
		key := keyOf(s)
		if _, ok := owned[key]; ok {
			r.serve(key, s)
		}
	}
	r.reports = slices.DeleteFunc(r.reports, func(rep wire.SliceReport) bool {
		now, ok := r.table.Slice(rep.Pool, rep.Low)
		return ok && now.Epoch > rep.Epoch && now.Owner != ""
	})
}

func (r *fakeRouter) serve(key sliceKey, s topology.Slice) {
	if _, ok := r.serving[key]; ok {
		return
	}
	released := slices.ContainsFunc(r.reports, func(rep wire.SliceReport) bool {
		return rep.Low == key.low && rep.High == key.high && rep.Owner == key.owner && rep.Epoch == key.epoch
	})
	for other := range r.serving {
		released = released || other.owner != key.owner && other.overlaps(key)
	}
	if released {
		return
	}
	r.sim.tracef("%s serves %v by table %v", r.name, key, r.table.Version)
	r.serving[key] = servedSlice{slice: s}
	r.sim.checkSlice(r, key)
}

func (r *fakeRouter) servedKeys() []sliceKey {
	return slices.SortedFunc(maps.Keys(r.serving), func(a, b sliceKey) int {
		return cmp.Or(cmp.Compare(a.low, b.low), cmp.Compare(a.epoch, b.epoch), cmp.Compare(a.owner, b.owner))
	})
}

// leaveInFlight drops all groups and slices, and leaves the requests in flight at their targets.
func (r *fakeRouter) leaveInFlight(ended time.Duration) {
	for _, key := range r.servedKeys() {
		r.residualRequests = append(r.residualRequests, residualRequest{key: key, until: ended + r.sim.randomDrainTime()})
	}
	r.groups = map[topology.GroupID]*heldGroup{}
	r.serving = map[sliceKey]servedSlice{}
}

// authorityEnd returns when the authority ends, in virtual time.
func (r *fakeRouter) authorityEnd() time.Duration {
	return time.Duration(float64(r.authorityUntil()-clock.Instant(time.Hour)) / r.clockRate)
}

// killRouter terminates a router process.
func (sim *simulation) killRouter(r *fakeRouter) {
	r.leaveInFlight(min(sim.now, r.authorityEnd()))
	r.dead = true
}

func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("at %v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

// checkGroups verifies that no group has two holders whose authority is valid at this instant.
func (sim *simulation) checkGroups() {
	holders := map[topology.GroupID]string{}
	for _, r := range sim.routers {
		if r.dead || len(r.groups) == 0 || !r.hasAuthority() {
			continue
		}
		for id := range r.groups {
			if other, ok := holders[id]; ok {
				sim.recordViolation("group %s is held by %s and %s", id, other, r.name)
			}
			holders[id] = r.name
		}
	}
}

// checkSlice verifies that no other target executes requests of a slice that a router begins to serve. Execution
// can't begin in any other way.
func (sim *simulation) checkSlice(r *fakeRouter, key sliceKey) {
	for _, other := range sim.routers {
		for _, x := range other.residualRequests {
			if sim.now < x.until && x.key.owner != key.owner && x.key.overlaps(key) {
				sim.recordViolation("%s serves %v while requests of %v at %v run", r.name, key, other.name, x.key)
			}
		}
		if other.dead || !other.hasAuthority() {
			continue
		}
		for k, s := range other.serving {
			running := !s.draining || sim.now < s.until
			if running && k.owner != key.owner && k.overlaps(key) {
				sim.recordViolation("%s serves %v while %v serves %v", r.name, key, other.name, k)
			}
		}
	}
}

func (sim *simulation) putConfig(cfg *config.Config) {
	sim.cfg = cfg
	body, err := config.Marshal(cfg)
	if err != nil {
		panic(err)
	}
	_ = sim.store.CreateObject(context.Background(), configKey(cfg.Version), body)
	row, _ := sim.store.Get(context.Background(), headKey)
	_, err = sim.store.Put(context.Background(), headKey, mustMarshal(ConfigHead{Version: cfg.Version}), row.Revision, fmt.Sprint(cfg.Version))
	if err != nil {
		panic(err)
	}
}

// leader returns the state of the active controller, or nil.
func (sim *simulation) leader() *State {
	for _, c := range sim.candidates {
		if !c.dead && c.state.lead != nil && c.clock(sim) < c.state.authority(c.clock(sim)) && !c.state.stopping {
			return c.state
		}
	}
	return nil
}

// complete reports whether every group has a valid gateway and every slice an owner that isn't lost, in the leader's
// table.
func (sim *simulation) complete() bool {
	s := sim.leader()
	if s == nil || s.lead.table == nil || len(s.lead.table.Groups) == 0 {
		return false
	}
	for _, g := range s.lead.table.Groups {
		r := sim.router(g.Gateway)
		if r == nil || r.groups[g.ID] == nil || !r.hasAuthority() {
			return false
		}
	}
	for _, sl := range s.lead.table.Slices {
		if sl.Owner == "" || sim.lostTargets[sl.Owner] {
			return false
		}
	}
	return true
}

// runUntil runs until a condition holds or the limit has passed. It returns the time taken and whether the condition
// holds.
func (sim *simulation) runUntil(limit time.Duration, ok func() bool) (time.Duration, bool) {
	start := sim.now
	for sim.now-start < limit && sim.violation == "" {
		if ok() {
			return sim.now - start, true
		}
		sim.run(10 * time.Millisecond)
	}
	return sim.now - start, ok()
}

func (sim *simulation) describe() string {
	s := sim.leader()
	if s == nil {
		return "no leader"
	}
	return string(mustMarshal(s.Dump(clock.Instant(sim.now + time.Hour))))
}
