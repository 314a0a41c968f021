package sharedrate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// The model runs a fleet in one sequence of events in true time. Each VM reads a clock of its own that is up to 0.5% fast or slow. Links
// keep the order of messages and end with the first one that is lost, like TCP connections.

const (
	modelHeartbeat = 300 * time.Millisecond
	modelReport    = 250 * time.Millisecond
	modelLinkLoss  = 800 * time.Millisecond
	modelLease     = 1500 * time.Millisecond
	// minModelRate is the least limit for which the load is computed, so that small limits are exceeded at all times too.
	minModelRate = 10
)

type modelEvent struct {
	at  time.Duration
	seq int
	run func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int      { return len(q) }
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q modelQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q *modelQueue) Push(x any) { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// modelVM is one process of a VM; a restart replaces it.
type modelVM struct {
	id          int
	dead        bool
	rate        float64
	offset      time.Duration
	pausedUntil time.Duration
	holder      *Holder
	link        *modelLink
	// granter is set while the VM believes to be the coordinator; authority is the true end of its lease.
	granter   *Granter
	followers map[*modelLink]bool
}

// modelLink is a connection of a VM to a coordinator.
type modelLink struct {
	vm, coordinator *modelVM
	granter         *Granter
	closed          bool
	heardAt         time.Duration
	lastArrival     [2]time.Duration
}

type modelOrg struct {
	name    string
	limits  [2]Limit
	changed time.Duration
	sent    []time.Duration
	total   int
}

type modelFaults struct {
	random bool
	// interval is the longest time between two faults. Coordinators that are lost soon aren't named by their rows.
	interval time.Duration
	// takeoverDelay is the time from the start of a process until it may take over.
	takeoverDelay time.Duration
}

type model struct {
	t           *testing.T
	rng         *rand.Rand
	now         time.Duration
	seq         int
	queue       modelQueue
	vms         []*modelVM
	cut         map[int]bool
	slow        map[int]bool
	orgs        []*modelOrg
	coordinator *modelVM
	terms       uint64
	leaseEnd    time.Duration
	// row are the holders that the coordinator stored last, rowVM is its VM.
	row    Holders
	rowVM  string
	faults modelFaults
	// takenAt is when the processes of each VM have taken their last token, placedAt when each broker has.
	takenAt  map[int]time.Duration
	placedAt map[*Granter]time.Duration
	// silentUntil is until when no requests come.
	silentUntil time.Duration
	trace       uint64
	violations  []string
}

func newModel(t *testing.T, seed uint64, vms int, limits [][2]Limit, faults modelFaults) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[int]bool{}, slow: map[int]bool{}, faults: faults,
		takenAt: map[int]time.Duration{}, placedAt: map[*Granter]time.Duration{}}
	for i := range vms {
		m.vms = append(m.vms, nil)
		m.start(i)
	}
	for i, l := range limits {
		m.orgs = append(m.orgs, &modelOrg{name: fmt.Sprint("org", i), limits: l, changed: math.MaxInt64})
	}
	m.every(10*time.Millisecond, 20*time.Millisecond, m.govern)
	m.every(15*time.Millisecond, 50*time.Millisecond, m.checkFractions)
	for i := range vms {
		m.every(m.jitter(modelHeartbeat), modelHeartbeat, func() { m.heartbeat(i) })
		m.every(m.jitter(modelReport), modelReport, func() { m.report(i) })
		m.every(m.jitter(150*time.Millisecond), 150*time.Millisecond, func() { m.follow(i) })
	}
	return m
}

func (m *model) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

func (m *model) after(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.queue, modelEvent{m.now + d, m.seq, f})
}

func (m *model) every(first, period time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		m.after(period, again)
	}
	m.after(first, again)
}

func (m *model) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		e := heap.Pop(&m.queue).(modelEvent)
		m.now = e.at
		e.run()
	}
	m.now = until
}

func (m *model) start(id int) {
	v := &modelVM{id: id, rate: 1 + 0.005*(2*m.rng.Float64()-1), offset: m.jitter(time.Hour), followers: map[*modelLink]bool{}}
	v.holder = NewHolder(int64(m.now)+1, DefaultAllowance, m.clock(v))
	m.vms[id] = v
}

func (m *model) clock(v *modelVM) clock.Instant {
	return clock.Instant(float64(m.now)*v.rate) + clock.Instant(v.offset)
}

func (m *model) running(v *modelVM) bool {
	return !v.dead && m.now >= v.pausedUntil
}

func (m *model) reachable(a, b *modelVM) bool {
	return a == b || !m.cut[a.id] && !m.cut[b.id]
}

// govern keeps a coordinator with a lease. The store is always reachable for VMs that aren't cut off. With faults, one lease in three
// begins up to 1 s before its predecessor's has ended, which leases of the real store prevent. A later process of the coordinator's VM
// takes over at once, since it knows that the earlier one has ended.
func (m *model) govern() {
	c := m.coordinator
	if c != nil && m.running(c) && !m.cut[c.id] && c.granter != nil {
		m.leaseEnd = m.now + modelLease
		m.row = c.granter.Holders(m.clock(c))
		c.granter.SetAuthority(m.clock(c).Add(modelLease), m.row, m.clock(c))
		return
	}
	early := time.Duration(0)
	if m.faults.random && m.terms%3 == 2 {
		early = time.Second
	}
	restarted := c != nil && c.dead && m.vms[c.id] != c
	if m.now < m.leaseEnd-early && !restarted {
		return
	}
	v := m.vms[m.rng.IntN(len(m.vms))]
	if restarted && (m.now < m.leaseEnd-early || m.rng.IntN(2) == 0) {
		v = m.vms[c.id]
	}
	if m.now < time.Duration(v.holder.Process())+m.faults.takeoverDelay || !m.running(v) || m.cut[v.id] || v == c && v.granter != nil && !v.dead {
		return
	}
	m.disconnect(v.link)
	m.terms++
	own, until := v.holder.Surrender(m.clock(v))
	v.granter = NewGranter(GranterOptions{Coordinator: m.terms, Allowance: DefaultAllowance, Inherited: m.row, VM: fmt.Sprint(v.id), Own: own, OwnLentUntil: until,
		Process: v.holder.Process(), Predecessor: m.rowVM, QuietSince: v.holder.QuietSince()}, m.clock(v))
	if v.granter.supply.idleChanges > 0 {
		m.checkIdle(v, v.id)
	}
	m.row.Broker, m.rowVM = RecentBroker, fmt.Sprint(v.id)
	v.granter.SetAuthority(m.clock(v).Add(modelLease), m.row, m.clock(v))
	m.coordinator, m.leaseEnd = v, m.now+modelLease
}

// deposed drops the role of a coordinator that notices its lease's end or the successor, at the next heartbeat that it sends.
func (m *model) deposed(v *modelVM) bool {
	if v.granter == nil || v == m.coordinator || m.cut[v.id] || m.rng.IntN(4) > 0 {
		return v.granter == nil
	}
	v.granter = nil
	for _, f := range m.vms {
		if f.link != nil && f.link.coordinator == v {
			m.disconnect(f.link)
		}
	}
	return true
}

func (m *model) follow(id int) {
	v := m.vms[id]
	if !m.running(v) || v.granter != nil {
		return
	}
	if l := v.link; l != nil && (l.coordinator.dead || m.now-l.heardAt > modelLinkLoss) {
		m.disconnect(l)
	}
	c := m.coordinator
	if v.link != nil || c == nil || c == v || c.granter == nil || !m.running(c) || !m.reachable(v, c) {
		return
	}
	v.link = &modelLink{vm: v, coordinator: c, granter: c.granter, heardAt: m.now}
	c.followers[v.link] = true
	m.after(0, func() { m.heartbeat(id) })
}

func (m *model) disconnect(l *modelLink) {
	if l == nil || l.closed {
		return
	}
	l.closed = true
	delete(l.coordinator.followers, l)
	if l.vm.link == l {
		l.vm.link = nil
		l.vm.holder.Disconnected()
	}
}

// send delivers a message over a link: direction 0 goes to the coordinator, 1 to the VM.
func (m *model) send(l *modelLink, direction int, f func()) {
	from, to := l.vm, l.coordinator
	if direction == 1 {
		from, to = to, from
	}
	delay := time.Millisecond + m.jitter(15*time.Millisecond)
	if m.slow[from.id] || m.slow[to.id] {
		delay += m.jitter(900 * time.Millisecond)
	}
	at := max(m.now+delay, l.lastArrival[direction])
	l.lastArrival[direction] = at
	var deliver func()
	deliver = func() {
		switch {
		case l.closed || to.dead:
		case !m.reachable(from, to):
			// The sender notices the loss by the silence.
		case m.now < to.pausedUntil:
			m.after(to.pausedUntil-m.now, deliver)
		case l.coordinator.granter != l.granter:
			m.disconnect(l)
		default:
			f()
		}
	}
	m.after(at-m.now, deliver)
}

func (m *model) heartbeat(id int) {
	v := m.vms[id]
	l := v.link
	if l == nil || l.coordinator.dead || !m.running(l.coordinator) || m.deposed(l.coordinator) || l.closed {
		return
	}
	o := l.granter.Offer(fmt.Sprint(v.id), m.clock(l.coordinator))
	m.send(l, 1, func() {
		l.heardAt = m.now
		if v.holder.Offer(o, m.clock(v)) {
			m.report(id)
		}
	})
}

func (m *model) report(id int) {
	v := m.vms[id]
	l := v.link
	if l == nil || !m.running(v) {
		return
	}
	if a, ok := v.holder.Answer(m.clock(v)); ok {
		m.send(l, 0, func() {
			changes := l.granter.supply.idleChanges
			l.granter.Answer(fmt.Sprint(v.id), a, m.clock(l.coordinator))
			if l.granter.supply.idleChanges != changes {
				m.checkIdle(l.coordinator, v.id)
			}
		})
	}
}

// checkIdle checks that neither a VM nor any earlier broker has taken a token since the time since which a new broker takes them for idle.
func (m *model) checkIdle(c *modelVM, vm int) {
	since := m.now - time.Duration(float64(m.clock(c).Sub(c.granter.quietSince))/c.rate)
	last := m.takenAt[vm]
	for g, at := range m.placedAt {
		if g != c.granter {
			last = max(last, at)
		}
	}
	sum := 0.0
	for _, fraction := range c.granter.supply.idle {
		sum += fraction
	}
	if (last > since || sum > 1+1e-6) && len(m.violations) < 3 {
		m.violations = append(m.violations, fmt.Sprintf("%v: a token was taken at %v; VM %d counts as idle since %v, with %.3f in all", m.now, last, vm, since, sum))
	}
}

// request sends one request of an organisation to a VM.
func (m *model) request(o *modelOrg, v *modelVM) {
	limit := o.limits[0]
	if m.now >= o.changed {
		limit = o.limits[1]
	}
	switch {
	case !m.running(v):
	case v.granter != nil:
		if m.place(v.granter, o, limit, m.clock(v)) {
			m.record(o)
		}
	case v.link != nil:
		asked, l := m.clock(v), v.link
		m.send(l, 0, func() {
			if m.place(l.granter, o, limit, m.clock(l.coordinator)) {
				m.send(l, 1, func() {
					if m.clock(v).Sub(asked) <= DefaultAllowance.MaxSendDelay() {
						m.record(o)
					}
				})
			}
		})
	default:
		if verdict, _ := v.holder.Take(o.name, limit, m.clock(v)); verdict == Granted {
			m.takenAt[v.id] = m.now
			m.record(o)
		}
	}
}

// place admits a request and sends it. One in 5 is a further attempt, and one in 50 is refused after its admission.
func (m *model) place(g *Granter, o *modelOrg, l Limit, now clock.Instant) bool {
	further := m.rng.IntN(5) == 0
	if verdict, _ := g.Admit(o.name, l, further, now); verdict != Granted {
		return false
	}
	m.placedAt[g] = m.now
	if m.rng.IntN(50) == 0 {
		g.Return(o.name, l, now)
		return false
	}
	ok := g.Send(o.name, l, further, now)
	if !ok {
		g.Return(o.name, l, now)
	}
	return ok
}

// record checks the rule for the window that ends now. A changed limit binds one window after its change.
func (m *model) record(o *modelOrg) {
	a := DefaultAllowance
	o.sent = append(o.sent, m.now)
	for o.sent[0] <= m.now-a.Window {
		o.sent = o.sent[1:]
	}
	o.total++
	m.trace = m.trace*31 + uint64(m.now)
	l := o.limits[0]
	if m.now >= o.changed+a.Window {
		l = o.limits[1]
	} else if m.now >= o.changed {
		l = Limit{max(l.Rate, o.limits[1].Rate), max(l.Burst, o.limits[1].Burst)}
	}
	if most := (l.Rate*a.Window.Seconds()+l.Burst)*(1+a.Over) + a.Slack; float64(len(o.sent)) > most && len(m.violations) < 3 {
		m.violations = append(m.violations, fmt.Sprintf("%v: %s sent %d in a window, at most %.1f", m.now, o.name, len(o.sent), most))
	}
}

// checkFractions checks that no part of the limits is in use twice.
func (m *model) checkFractions() {
	sum := 0.0
	for _, v := range m.vms {
		if !m.running(v) {
			continue
		}
		now := m.clock(v)
		v.holder.advance(now)
		sum += v.holder.supply.level
		if v.granter != nil {
			sum += v.granter.Level(now)
		}
	}
	if sum > 1+1e-6 && len(m.violations) < 3 {
		m.violations = append(m.violations, fmt.Sprintf("%v: fractions in use add up to %.4f", m.now, sum))
	}
}

// load sends factor times the limit of each organisation, or its burst each second if that is more, to VMs that differ in their part of it.
func (m *model) load(factor float64) {
	for _, o := range m.orgs {
		rate := factor * max(o.limits[0].Rate, o.limits[1].Rate, o.limits[0].Burst, o.limits[1].Burst, minModelRate)
		var next func()
		next = func() {
			v := m.vms[min(m.rng.IntN(len(m.vms)), m.rng.IntN(len(m.vms)))]
			if m.now >= m.silentUntil {
				m.request(o, v)
			}
			m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
		m.after(m.jitter(time.Second), next)
	}
}

// kill ends a VM's process and starts another one.
func (m *model) kill(id int, restart time.Duration) {
	m.vms[id].dead = true
	m.after(restart, func() {
		if m.vms[id].dead {
			m.start(id)
		}
	})
}

// killAll ends the processes of all VMs and starts others, each after restart and a random time of up to spread.
func (m *model) killAll(restart, spread time.Duration) {
	for id := range m.vms {
		m.kill(id, restart+m.jitter(spread))
	}
}

// killCoordinator ends the coordinator's process and soon starts another one.
func (m *model) killCoordinator() {
	if m.coordinator != nil && m.vms[m.coordinator.id] == m.coordinator {
		m.kill(m.coordinator.id, 50*time.Millisecond+m.jitter(400*time.Millisecond))
	}
}

// yield makes the coordinator give its role up to another VM, and follow it.
func (m *model) yield() {
	c := m.coordinator
	for l := range c.followers {
		m.disconnect(l)
	}
	c.granter, m.leaseEnd, m.coordinator = nil, 0, nil
	c.pausedUntil = m.now + 100*time.Millisecond
}

// fault causes one random fault at one VM, or at all.
func (m *model) fault() {
	id, d := m.rng.IntN(len(m.vms)), m.jitter(4*time.Second)
	if m.coordinator != nil && m.rng.IntN(3) == 0 {
		id = m.coordinator.id
	}
	switch m.rng.IntN(11) {
	case 0:
		m.kill(id, 300*time.Millisecond+m.jitter(3*time.Second))
	case 1:
		m.vms[id].pausedUntil = m.now + d
	case 2:
		m.cut[id] = true
		m.after(d*time.Duration(1+m.rng.IntN(10)), func() { delete(m.cut, id) })
	case 3:
		m.slow[id] = true
		m.after(d, func() { delete(m.slow, id) })
	case 4:
		for i := range m.vms {
			if m.rng.IntN(2) == 0 {
				m.cut[i] = true
				m.after(d+m.jitter(time.Second), func() { delete(m.cut, i) })
			}
		}
	case 5:
		if l := m.vms[id].link; l != nil {
			m.disconnect(l)
		}
	case 6:
		m.killAll(100*time.Millisecond+m.jitter(3*time.Second), 1500*time.Millisecond)
	case 7:
		for i := range 1 + m.rng.IntN(6) {
			m.after(time.Duration(i)*(400*time.Millisecond+m.jitter(time.Second)), m.killCoordinator)
		}
	case 8:
		if c := m.coordinator; c != nil {
			m.cut[c.id] = true
			m.after(d, func() { delete(m.cut, c.id) })
		}
	default:
		// The bursts are used when the demand returns, just before the restart.
		m.silentUntil = m.now + m.jitter(14*time.Second)
		m.after(m.silentUntil-m.now+m.jitter(1500*time.Millisecond), func() {
			if m.rng.IntN(2) == 0 {
				m.killCoordinator()
			} else {
				m.killAll(50*time.Millisecond+m.jitter(time.Second), 200*time.Millisecond)
			}
		})
	}
	m.after(m.jitter(m.faults.interval), m.fault)
}

func (m *model) used(o *modelOrg, period time.Duration) float64 {
	return float64(o.total) / (o.limits[0].Rate * period.Seconds())
}

var modelLimits = [][2]Limit{
	{{373, 373}, {373, 373}}, {{20, 20}, {5, 2}}, {{3, 1}, {30, 60}}, {{0.5, 0}, {0.5, 0}}, {{8, 100}, {8, 100}}, {{60, 5}, {60, 200}},
}

// runRandom runs one seed with random faults and returns a digest of all that was sent.
func runRandom(t *testing.T, seed uint64, vms int, period time.Duration) (uint64, []string) {
	m := newModel(t, seed, vms, modelLimits, modelFaults{random: true, interval: time.Duration(2+seed%3*6) * time.Second,
		takeoverDelay: time.Duration(seed%5*700) * time.Millisecond})
	for _, o := range m.orgs {
		o.changed = 10*time.Second + m.jitter(period)
	}
	m.load(2 + 6*m.rng.Float64())
	m.after(3*time.Second, m.fault)
	m.run(period)
	return m.trace, m.violations
}

// TestLimitHoldsUnderRandomFaults guards the rule that no window has more requests of an organisation than its limit and the allowance.
// QUOTA_SEEDS sets the number of seeds, QUOTA_FIRST_SEED the first one.
func TestLimitHoldsUnderRandomFaults(t *testing.T) {
	seeds, first := 12, 1
	if n, err := strconv.Atoi(os.Getenv("QUOTA_SEEDS")); err == nil {
		seeds = n
	}
	if n, err := strconv.Atoi(os.Getenv("QUOTA_FIRST_SEED")); err == nil {
		first = n
	}
	for seed := first; seed < first+seeds; seed++ {
		vms := []int{4, 12, 4, 300}[seed%4]
		if _, violations := runRandom(t, uint64(seed), vms, 75*time.Second); len(violations) > 0 {
			t.Errorf("seed %d, %d VMs: %v", seed, vms, violations)
		}
	}
}

// TestLimitHoldsWhileCoordinatorsFollowEachOther guards against coordinators that follow each other within a window and that may each use
// the tokens that a new one begins with.
func TestLimitHoldsWhileCoordinatorsFollowEachOther(t *testing.T) {
	for seed := range uint64(20) {
		m := newModel(t, seed, 12, [][2]Limit{{{0.5, 0}, {0.5, 0}}, {{3, 1}, {3, 1}}, {{20, 20}, {20, 20}}}, modelFaults{})
		m.load(4)
		m.every(10*time.Second, 1200*time.Millisecond+m.jitter(600*time.Millisecond), m.killCoordinator)
		m.run(30 * time.Second)
		if len(m.violations) > 0 {
			t.Errorf("seed %d: %v", seed, m.violations)
		}
	}
}

// TestLimitHoldsWhileFormerCoordinatorRestarts guards against a share that a former coordinator lends until its process is replaced, and that
// then counts as idle although it was in use.
func TestLimitHoldsWhileFormerCoordinatorRestarts(t *testing.T) {
	for seed := range uint64(10) {
		m := newModel(t, seed, 2, [][2]Limit{{{373, 373}, {373, 373}}}, modelFaults{})
		m.load(4)
		m.run(10 * time.Second)
		former := m.coordinator
		m.yield()
		m.silentUntil = 16 * time.Second
		m.run(m.silentUntil + 100*time.Millisecond)
		m.kill(former.id, 50*time.Millisecond)
		m.cut[former.id] = true
		m.after(900*time.Millisecond, func() { delete(m.cut, former.id) })
		m.run(25 * time.Second)
		if m.coordinator == former || len(m.violations) > 0 {
			t.Errorf("seed %d: %v", seed, m.violations)
		}
	}
}

// TestLimitIsUsedAfterRestartOfAll guards against quotas that stay unused after all processes were replaced at once, because the new
// coordinator knows none of the shares.
func TestLimitIsUsedAfterRestartOfAll(t *testing.T) {
	m := newModel(t, 5, 12, [][2]Limit{{{50, 50}, {50, 50}}}, modelFaults{})
	m.load(2)
	m.run(20 * time.Second)
	for id := range m.vms {
		m.kill(id, time.Second)
	}
	m.run(25 * time.Second)
	before := m.orgs[0].total
	m.run(35 * time.Second)
	if served := m.orgs[0].total - before; served < 450 || len(m.violations) > 0 {
		t.Errorf("%d requests sent in 10 s, 5 s after all processes were killed, want 450 of 500; %v", served, m.violations)
	}
}

// TestLimitIsUsedSoonAfterRestartOfAll guards against quotas that are left unused for longer than it takes the VMs to connect, although
// all processes that could use any have ended.
func TestLimitIsUsedSoonAfterRestartOfAll(t *testing.T) {
	const seeds, seconds = 10, 3
	for _, vms := range []int{12, 86, 300} {
		for _, delay := range []time.Duration{0, 1400 * time.Millisecond} {
			used := [3][seconds]float64{}
			for seed := range uint64(seeds) {
				m := newModel(t, seed, vms, [][2]Limit{{{373, 373}, {373, 373}}, {{20, 20}, {20, 20}}, {{2, 2}, {2, 2}}}, modelFaults{takeoverDelay: delay})
				m.load(2)
				m.run(20 * time.Second)
				m.killAll(time.Second, 100*time.Millisecond)
				started := 21100*time.Millisecond + delay
				m.run(started)
				for s := range seconds {
					before := [3]int{m.orgs[0].total, m.orgs[1].total, m.orgs[2].total}
					m.run(started + time.Duration(s+1)*time.Second)
					for i, o := range m.orgs {
						used[i][s] += float64(o.total-before[i]) / o.limits[0].Rate / seeds
					}
				}
				if len(m.violations) > 0 {
					t.Error(m.violations)
				}
			}
			t.Logf("%d VMs, takeover %v after the start: part of the limits of 373, 20 and 2 a second that is used in each second: %.2f", vms, delay, used)
			// VMs connect within 0.15 s. All but the burst of 2 have gained more than is offered in a second by then, if nothing was sent before.
			atOnce := 0.8
			if delay > time.Second {
				atOnce = 1.6
			}
			for i, u := range used {
				if u[0] < atOnce || u[0]+u[1] < atOnce+0.9 {
					t.Errorf("%d VMs, delay %v: limit %d: parts %.2f are used in each second after the start, want %.2f in the first", vms, delay, i, u, atOnce)
				}
			}
		}
	}
}

// TestShareIsUsedWithoutCoordinator guards against VMs that don't use their shares while there is no coordinator. An organisation whose burst
// is too small to be divided isn't served (question 3 of docs/design/quotas.md).
func TestShareIsUsedWithoutCoordinator(t *testing.T) {
	const loss, commitment = 20 * time.Second, 1300 * time.Millisecond
	for _, vms := range []int{12, 86} {
		m := newModel(t, 4, vms, [][2]Limit{{{373, 373}, {373, 373}}, {{20, 20}, {20, 20}}, {{2, 2}, {2, 2}}}, modelFaults{})
		m.load(2)
		m.run(loss)
		m.coordinator.dead, m.leaseEnd = true, time.Hour
		m.run(loss + modelLinkLoss + commitment)
		for _, period := range []time.Duration{2 * time.Second, 10 * time.Second} {
			before := [3]int{m.orgs[0].total, m.orgs[1].total, m.orgs[2].total}
			m.run(m.now + period)
			for i, o := range m.orgs {
				used := float64(o.total-before[i]) / o.limits[0].Rate / period.Seconds()
				t.Logf("%d VMs, %v without a coordinator: %s with %v/s: %.2f", vms, period, o.name, o.limits[0].Rate, used)
				// A quarter of the VMs is offered less than its share, half of it on average: 0.875 could be used. Shares are rounded
				// down by up to an eighth. A burst of 20 and what is added to it give each of 12 VMs more than 2 tokens.
				if (i == 0 || i == 1 && vms == 12) && used < 0.875*0.875 {
					t.Errorf("%d VMs use %.2f of %v/s, of which each has a part, want %.2f", vms, used, o.limits[0].Rate, 0.875*0.875)
				}
			}
		}
		if len(m.violations) > 0 {
			t.Error(m.violations)
		}
	}
}

// TestSameSeedSameRun guards the use of the model for finding faults.
func TestSameSeedSameRun(t *testing.T) {
	a, _ := runRandom(t, 7, 12, 30*time.Second)
	b, _ := runRandom(t, 7, 12, 30*time.Second)
	if a != b {
		t.Errorf("two runs of one seed differ: %d, %d", a, b)
	}
}

// TestLimitIsUsed guards against requests that are refused below the limit.
func TestLimitIsUsed(t *testing.T) {
	const period = 90 * time.Second
	for _, vms := range []int{4, 12, 300} {
		for _, lose := range []bool{false, true} {
			m := newModel(t, 3, vms, [][2]Limit{{{373, 373}, {373, 373}}, {{20, 20}, {20, 20}}, {{2, 2}, {2, 2}}}, modelFaults{})
			m.load(2)
			least := 0.9
			if lose {
				least = 0.8
				next := 0
				m.every(3*time.Second, 4500*time.Millisecond, func() { m.kill(next%vms, time.Second); next++ })
			}
			m.run(period)
			for _, o := range m.orgs {
				used := m.used(o, period)
				t.Logf("%d VMs, lost %v: %s with %v/s: %.3f", vms, lose, o.name, o.limits[0].Rate, used)
				if used < least {
					t.Errorf("%d VMs, lost %v: %s uses %.3f of its limit, want %.2f", vms, lose, o.name, used, least)
				}
			}
			if len(m.violations) > 0 {
				t.Error(m.violations)
			}
		}
	}
}
