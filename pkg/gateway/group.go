package gateway

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/claim"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/targetconn"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// group is a target group that this router holds under one epoch.
type group struct {
	gateway *Gateway
	clock   clock.Clock
	metrics *metrics
	id      topology.GroupID
	epoch   topology.Epoch

	mu   sync.Mutex
	pool config.Pool
	// state is HoldActive until the group is given up.
	state wire.HoldState
	// notBefore is when the first request may be sent: requests of an earlier holder may occupy slots until then.
	notBefore clock.Instant
	// asking tells that the former holder is being asked whether it has released the group.
	asking bool
	// after is an earlier hold of the same router that has to be released first.
	after   *group
	targets []*target
	shared  queue
	queued  int
	// granted counts the requests sent to targets.
	granted int64
	slices  []*heldSlice
	// choose is the policy for unkeyed requests; nil if the request should wait.
	choose func(*chooser, *waiter) *target
	// superseded is set once a target reports a newer holder.
	superseded bool
	wake       chan struct{}
	done       chan struct{}
	rates      rateMeter
	// claims is nil if the pool has no orders.
	claims *claim.Holder
	// claiming counts the orders between their claim and its settlement. A successor that got their claims earlier would take them for
	// orders that may have run.
	claiming int
}

func newGroup(gw *Gateway, id topology.GroupID, epoch topology.Epoch, pool config.Pool) *group {
	return &group{
		gateway: gw,
		clock:   gw.Clock,
		metrics: &gw.metrics,
		id:      id,
		epoch:   epoch,
		pool:    pool,
		choose:  (*chooser).choose,
		state:   wire.HoldActive,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

// configure applies a configuration and table. The caller starts the loops of new targets.
func (g *group) configure(c *config.Config, pool config.Pool, entry *topology.Group, owned []topology.Slice) []*target {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool = pool
	added := g.configureTargets(c, entry.Targets)
	g.configureSlices(owned)
	g.settle()
	g.pump()
	return added
}

func (g *group) configureTargets(c *config.Config, ids []string) []*target {
	var added []*target
	for _, configured := range g.pool.Targets {
		if !slices.Contains(ids, configured.ID) {
			continue
		}
		t := g.targetByID(configured.ID)
		if t != nil && t.address != configured.Address {
			t.conns.Close()
			t.conns = targetconn.NewPool(configured.Address)
			t.address = configured.Address
			t.ramp.markCold()
		}
		if t == nil {
			t = newTarget(g, configured)
			g.awaitHealth(t)
			g.targets = append(g.targets, t)
			added = append(added, t)
		}
		t.out = c.TargetOut(configured)
		t.ramp.resize(g.pool.Slots, g.pool.ColdConcurrency)
	}
	g.removeTargets(ids)
	return added
}

// removeTargets drops targets that left the group and are idle; a busy one only gets no new work.
func (g *group) removeTargets(ids []string) {
	kept := g.targets[:0:0]
	for _, t := range g.targets {
		if slices.Contains(ids, t.id) || len(t.tickets) > 0 || g.ownsSlices(t) {
			t.out = t.out || !slices.Contains(ids, t.id)
			kept = append(kept, t)
			continue
		}
		g.refuseAll(&t.queue, refuse(http.StatusServiceUnavailable, problem.CodeNoOwner, "the target has left", 0))
		t.conns.Close()
		close(t.gone)
	}
	g.targets = kept
}

func (g *group) targetByID(id string) *target {
	for _, t := range g.targets {
		if t.id == id {
			return t
		}
	}
	return nil
}

// accepts tells whether new work may enter.
func (g *group) accepts() error {
	if g.superseded {
		return refuse(http.StatusServiceUnavailable, problem.CodeStaleOwnership, "the group has a newer holder", 0)
	}
	if g.state != wire.HoldActive {
		return refuse(http.StatusServiceUnavailable, problem.CodeStaleOwnership, "the group is being given up", 0)
	}
	return nil
}

// startable tells whether requests of earlier holders have ended.
func (g *group) startable(now clock.Instant) bool {
	if now < g.notBefore {
		return false
	}
	if g.after != nil && !g.after.isReleased() {
		return false
	}
	g.after = nil
	return true
}

func (g *group) maxDeadline() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longest()
}

func (g *group) longest() time.Duration {
	if d := g.pool.MaxDeadline.Duration(); d > 0 {
		return d
	}
	return defaultMaxDeadline
}

func (g *group) checked() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.GrantsChecked
}

func (g *group) trusted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.NotRunTrusted
}

// mayStart tells whether an admitted request may still be sent.
func (g *group) mayStart(k *ticket, now clock.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.superseded {
		return false
	}
	return !g.pool.GrantsChecked || now < k.target.grant.validUntil
}

// answered records the arrival of an answer's head.
func (g *group) answered(k *ticket, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	t := k.target
	k.answered = true
	t.answered++
	t.answeredAt = now
	t.probesFailed = 0
	if !t.ramp.success(latency, mediansOf(g.targets)) {
		g.noteState(t)
	}
	g.rates.hit(k)
}

// unreachable records a connection that could not be opened. A refusal proves that nobody listens.
func (g *group) unreachable(t *target, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.ramp.markCold()
	if refused {
		g.markLost(t)
		return
	}
	g.probeSoon(t)
}

// broke records a connection that broke during an exchange: the target may have restarted. It returns a report of the
// requests that were in flight at the target and haven't been reported for the same crash, and the report that another
// exchange has begun for this one, nil if there is none.
func (g *group) broke(k *ticket) (own, earlier *crashReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k.target.ramp.markCold()
	k.target.conns.CloseIdle()
	k.target.brokenUntil = g.clock.Now().Add(brokenPause)
	g.probeSoon(k.target)
	g.noteState(k.target)
	own, earlier = newCrashReport(g.id.Pool(), k.waiter.alone), k.report
	for o := range k.target.tickets {
		if o.report != nil {
			continue
		}
		o.report = own
		if o.waiter.fingerprint != 0 {
			own.found = append(own.found, exposed{fingerprint: o.waiter.fingerprint, homeRegions: o.waiter.homeRegions})
		}
	}
	return own, earlier
}

// ending marks a slot whose exchange is over.
func (g *group) ending(k *ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k.ending = true
}

// timedOut records an exchange that was given up.
func (g *group) timedOut(k *ticket, deadlinePassed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if k.answered {
		return
	}
	now := g.clock.Now()
	t := k.target
	t.ramp.observe(max(t.ramp.latency, now.Sub(k.started)))
	if deadlinePassed {
		g.probeSoon(t)
	}
}

// refusedByTarget turns a trusted report "not executed" into a refusal.
func (g *group) refusedByTarget(t *target, status int) *problem.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if status == http.StatusConflict {
		g.wakeGrant(t)
		return refuse(http.StatusServiceUnavailable, problem.CodeStaleOwnership, "the target has no grant for the request", 0)
	}
	t.shedUntil = g.clock.Now().Add(shedPause)
	t.ramp.markCold()
	return refuse(http.StatusServiceUnavailable, problem.CodeOverload, "the target sheds load", shedPause)
}

// markLost marks a target as lost. Its slices are released once its last possible request has ended.
func (g *group) markLost(t *target) {
	if t.lost {
		return
	}
	t.lost = true
	t.lostAt = g.clock.Now()
	t.alone = nil
	t.ramp.markCold()
	t.conns.CloseIdle()
	g.refuseAll(&t.queue, refuse(http.StatusServiceUnavailable, problem.CodeNoOwner, "the target is lost", time.Second))
	g.noteState(t)
	g.settle()
	g.pump()
	g.signal()
}

// recover takes a lost target back as a cold one.
func (g *group) recover(t *target) {
	if !t.lost {
		return
	}
	t.lost = false
	t.probesFailed = 0
	t.ramp.markCold()
	g.noteState(t)
	g.settle()
	g.pump()
}

// noteState logs and reports a changed state of a target.
func (g *group) noteState(t *target) {
	state := t.state(g.clock.Now(), medianLatency(g.targets))
	if state == t.reported {
		return
	}
	t.reported = state
	g.gateway.Log.Emit(event.TargetStateChanged, "group", g.id, "target", t.id, "state", state)
	g.gateway.wakeControl()
}

// signal wakes the group's loop.
func (g *group) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// load describes the group's load to the entry router.
func (g *group) load(head *wire.Response) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	head.QueueLength = g.queued
	for _, t := range g.targets {
		head.FreeSlots += t.free(now)
	}
	head.LatencyMicros = medianLatency(g.targets).Microseconds()
}

// canRetry tells whether another target may accept a request that has not been sent.
func (g *group) canRetry(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pool.Keyed || len(w.avoid)+1 >= len(g.targets) {
		return false
	}
	return true
}

// inFlight returns the number of slots in use.
func (g *group) inFlight() int {
	n := 0
	for _, t := range g.targets {
		n += len(t.tickets)
	}
	return n
}

// beginClaim keeps the group from being released until endClaim. It returns false if the group is being given up.
func (g *group) beginClaim() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != wire.HoldActive {
		return false
	}
	g.claiming++
	return true
}

func (g *group) endClaim() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claiming--
	g.settle()
}

// giveUp stops new work. Waiting requests are refused, those in flight end.
func (g *group) giveUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != wire.HoldActive {
		return
	}
	g.state = wire.HoldDraining
	g.gateway.Log.Emit(event.GroupDraining, "group", g.id, "epoch", g.epoch, "in_flight", g.inFlight())
	refusal := refuse(http.StatusServiceUnavailable, problem.CodeStaleOwnership, "the group is being given up", 0)
	g.refuseAll(&g.shared, refusal)
	for _, t := range g.targets {
		g.refuseAll(&t.queue, refusal)
	}
	g.settle()
	g.signal()
}

// stop ends the group's loops and closes idle connections.
func (g *group) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.done:
		return
	default:
	}
	close(g.done)
	if g.claims != nil {
		g.claims.Close()
	}
	for _, t := range g.targets {
		t.conns.Close()
	}
}
