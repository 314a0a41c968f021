package entry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/ingress"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

const (
	// leaderTick is the coordinator's granularity; grants and releases are due within it.
	leaderTick = 50 * time.Millisecond
	// followerTick is the granularity of all other VMs.
	followerTick = 150 * time.Millisecond
	// maxStoreAge is the age of relayed data after which a VM reads the store itself.
	maxStoreAge = 1000 * time.Millisecond
	// pollTimeout bounds a read. A slow store takes 380 ms for an answer.
	pollTimeout = 1500 * time.Millisecond
	// commitTimeout bounds a write before its outcome is looked up.
	commitTimeout = 1500 * time.Millisecond
	// publishInterval is the least time between two updates to the other VMs.
	publishInterval = 15 * time.Millisecond
	// startGrace is how long a new process leaves the reading of the store to the coordinator, before it reads by itself.
	startGrace = 1200 * time.Millisecond
	// linkedGrace is the same for a process that is connected to the coordinator.
	linkedGrace = 4 * time.Second
	// heartbeatInterval is the time between updates to the other VMs when nothing changes.
	heartbeatInterval = 300 * time.Millisecond
	// reportInterval is the time between reports to the coordinator.
	reportInterval = 250 * time.Millisecond
	// unownedWait is the least time that a key without an owner is expected to stay so.
	unownedWait = 100 * time.Millisecond
	// linkSilence is the silence after which the coordinator isn't asked any more.
	linkSilence = 800 * time.Millisecond
	// slowVerdict is the delay of verdicts, without the time in the broker's queues, above which the coordinator is too slow.
	// The way to another region and back takes 16 ms.
	slowVerdict = 70 * time.Millisecond
	// yieldAfter is how long that must last, and minWitnesses how many VMs must see it.
	yieldAfter   = 600 * time.Millisecond
	minWitnesses = 2
	// yieldPause is how long a VM isn't a candidate after it gave up the role for its slowness.
	yieldPause = 10 * time.Second
	// yieldPatience is how long it waits for calls whose outcome is open before it gives up the role.
	yieldPatience = 300 * time.Millisecond
	// contactLoss is the silence after which a VM may take over the coordinator's role.
	contactLoss = 1500 * time.Millisecond
)

// Decoder decodes the rows of the platform's own tables.
type Decoder interface {
	Configuration(rows map[string]rowstore.Row) (*inventory.Configuration, error)
	DomainsOut(rows map[string]rowstore.Row) map[string]bool
	Target(row rowstore.Row) (*inventory.Target, error)
}

// Tables are the names of the platform's tables.
type Tables struct {
	Operator string
	Targets  string
}

// Control owns what the VM knows and, on one VM, the assignment of keys. Its state belongs to the goroutine of Run; all I/O
// happens elsewhere and reports back through events.
type Control struct {
	settings Settings
	store    rowstore.Store
	decoder  Decoder
	tables   Tables
	grants   *keygrant.Client
	clock    clock.Clock
	log      *event.Logger
	balancer *placing.Balancer
	suspects *quarantine.Tracker
	stored   storedSuspects
	// localBudget bounds the repeats that this VM places without a broker.
	localBudget *placing.Budget
	placer      *placer
	onView      func(*inventory.Snapshot)

	events chan func()
	ctx    context.Context
	view   atomic.Pointer[ingress.View]
	used   usedKeys

	coordinator *coordinator.Coordinator
	driving     driving
	mirror      *replica.Mirror
	snapshot    *inventory.Snapshot
	targets     map[string]decodedTarget
	leaving     map[string]clock.Instant
	// leavers are the targets that have said in an answer that they leave. remake makes a new snapshot due.
	leavers   leavers
	remake    bool
	config    *inventory.Configuration
	configRow uint64
	loads     loadWindow

	polling map[string]bool
	// reads counts the reads of each table.
	reads    map[string]int
	nextPoll map[string]clock.Instant
	// paces are the tables' paces.
	paces map[string]*pace
	// vms is the number of VMs as the coordinator has last told it, 0 before.
	vms int
	// ledSince is when this VM took the coordinator's role.
	ledSince clock.Instant
	// greet tells that VMs have joined or need another distributor.
	greet bool
	// noticed is the newest coordinator that the subscribers were told of.
	noticed coordinator.Notice
	// announced tells that they were told that it leads.
	announced bool
	// freshAt is when the newest state of the store that was read here was current, relayFreshAt the same for relayed ones.
	freshAt      clock.Instant
	relayFreshAt clock.Instant
	// leaderFreshAt is the same for the tables that the coordinator has.
	leaderFreshAt clock.Instant
	storeDown     bool

	followers map[*replica.Follower]bool
	// listed are the followers by name as of the last sign of life; nil after one has left.
	listed       []*replica.Follower
	distribution *replica.Distribution
	// subscribers are the VMs that take this one for their distributor; source is this VM's own.
	subscribers map[*replica.Follower]bool
	source      tableSource
	// silentSource is a distributor that isn't turned to until silentUntil.
	silentSource string
	silentUntil  clock.Instant
	// passedOn are the routes that the subscribers have, as of passedOnAt.
	passedOn          map[string][]coordinator.Route
	passedOnAt        time.Time
	published         map[string]map[string]rowstore.Row
	publishedVersions map[string]uint64
	packed            []byte
	packedVersions    [2]uint64
	lastBeat          clock.Instant
	publishedAt       clock.Instant
	publishedRevision uint64
	startedAt         clock.Instant
	lastRoutes        map[string][]coordinator.Route
	link              *replica.Link
	following         string
	stopFollow        context.CancelFunc
	nextDial          clock.Instant
	// vainDials counts the attempts to reach the coordinator since its last update.
	vainDials int
	heardAt   clock.Instant
	relayed   map[string][]coordinator.Route
	relayedAt time.Time
	// controlReadAt is when the control table was last read from the store.
	controlReadAt time.Time
	nextReport    clock.Instant
	wasLeading    bool
	stopped       chan struct{}
	stopBefore    clock.Instant
	stopRequest   bool
	selfTest      time.Duration
	nextSelfTest  clock.Instant
	// slowSince is when the other VMs' verdicts became slow; zero while they aren't.
	slowSince clock.Instant
	// leastWeakness is the own weakness of the strongest VM, as far as is known.
	leastWeakness time.Duration
	// barredUntil is until when this VM isn't a candidate after it has given up the role.
	barredUntil clock.Instant
}

// decodedTarget keeps the result of decoding a row.
type decodedTarget struct {
	version uint64
	target  *inventory.Target
}

// ControlOptions are what a Control works with.
type ControlOptions struct {
	Settings Settings
	Store    rowstore.Store
	Decoder  Decoder
	Tables   Tables
	Grants   *keygrant.Client
	Clock    clock.Clock
	Log      *event.Logger
	Balancer *placing.Balancer
	// Suspects are the requests that may crash targets. The broker, and the placing of requests without it, work with them.
	Suspects *quarantine.Tracker
	// Budget bounds the repeats that this VM's broker permits, LocalBudget those that it places without one.
	Budget      *placing.Budget
	LocalBudget *placing.Budget
	Incarnation string
	// OnView is called with each new snapshot, from the control goroutine.
	OnView func(*inventory.Snapshot)
}

// NewControl returns the control state of a VM.
func NewControl(o ControlOptions) *Control {
	if o.Suspects == nil {
		o.Suspects = quarantine.NewTracker()
	}
	if o.LocalBudget == nil {
		o.LocalBudget = placing.NewLocalBudget(0, 0, time.Second)
	}
	c := &Control{
		settings: o.Settings, store: o.Store, decoder: o.Decoder, tables: o.Tables, grants: o.Grants, clock: o.Clock, log: o.Log,
		balancer: o.Balancer, suspects: o.Suspects, localBudget: o.LocalBudget, onView: o.OnView, events: make(chan func(), 256), mirror: replica.NewMirror(),
		targets: map[string]decodedTarget{}, loads: newLoadWindow(), polling: map[string]bool{}, reads: map[string]int{}, nextPoll: map[string]clock.Instant{}, paces: map[string]*pace{},
		followers: map[*replica.Follower]bool{}, subscribers: map[*replica.Follower]bool{},
		distribution: replica.NewDistribution(o.Settings.Region), stopped: make(chan struct{}),
	}
	if c.grants != nil {
		c.grants.OnLeaving = c.peerLeaves
	}
	c.placer = newPlacer(o.Settings, o.Clock, placing.NewBroker(o.Settings.RegionOf, o.Budget, o.Suspects, c.used.add))
	c.coordinator = coordinator.New(coordinator.Identity{VM: o.Settings.VM, Incarnation: o.Incarnation, Address: c.relayAddress()})
	c.view.Store(&ingress.View{Changed: make(chan struct{})})
	return c
}

// relayAddress is where the other VMs reach this one.
func (c *Control) relayAddress() string {
	if c.settings.Advertise != "" {
		return c.settings.Advertise
	}
	return net.JoinHostPort(c.settings.IP, fmt.Sprint(c.settings.FirstPort))
}

// Current implements ingress.Knowledge.
func (c *Control) Current() *ingress.View {
	return c.view.Load()
}

// KeyUsed implements ingress.Knowledge.
func (c *Control) KeyUsed(pool string, key int) {
	c.used.add(pool, key)
}

// post runs f on the control goroutine.
func (c *Control) post(f func()) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// Run works until the context ends. The relay listener is closed then.
func (c *Control) Run(ctx context.Context, relay net.Listener) {
	c.ctx, c.startedAt = ctx, c.clock.Now()
	c.nextPoll[coordinator.Table] = c.startedAt.Add(firstRead(c.ownWeakness()))
	go c.serveRelay(relay)
	defer func() { _ = relay.Close() }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.unfollow()
			c.leaveDistributor()
			return
		case f := <-c.events:
			c.step(f)
			c.drain()
			c.step(func() { c.advance(c.clock.Now()) })
		case <-timer.C:
			timer.Reset(c.tickInterval())
			c.step(func() { c.tick(c.clock.Now()) })
		}
	}
}

// step runs a part of the control goroutine's work. After an unexpected error the coordinator's state may be incomplete, so
// that its role ends and another VM starts from what is stored.
func (c *Control) step(f func()) {
	defer func() {
		if v := recover(); v != nil {
			c.log.Panicked("control", v)
			c.barredUntil = c.clock.Now().Add(yieldPause)
			c.run(c.coordinator.Abandon())
		}
	}()
	f()
}

// drain runs what else has happened, so that a burst of events costs one tick.
func (c *Control) drain() {
	for range cap(c.events) {
		select {
		case f := <-c.events:
			c.step(f)
		default:
			return
		}
	}
}

func (c *Control) tickInterval() time.Duration {
	if c.coordinator.Leading(c.clock.Now()) || c.stopRequest {
		return leaderTick
	}
	return followerTick
}

// advance does what the outcomes of calls have made due. The rest waits for the next tick.
func (c *Control) advance(now clock.Instant) {
	leading := c.coordinator.Leading(now)
	if leading != c.wasLeading {
		c.tick(now)
		return
	}
	if leading && c.driving.due(now, c.coordinator.Slices()) {
		c.run(c.coordinator.Advance(now))
	}
	if now.Sub(c.publishedAt) >= publishInterval {
		c.publish(now, leading)
	}
}

func (c *Control) tick(now clock.Instant) {
	leading := c.coordinator.Leading(now)
	c.noteLeading(leading)
	c.poll(now, leading)
	c.follow(now, leading)
	c.checkDistributor(now)
	c.report(now, leading)
	c.tellLeavers()
	c.logSuspects()
	c.syncSuspects(now, leading)
	if c.stopRequest {
		c.giveUpRole(now)
	}
	if leading && !c.stopRequest {
		c.yield(now)
	}
	c.run(c.coordinator.Tick(now, c.coordinatorView(now), c.candidate(now)))
	c.publish(now, c.coordinator.Leading(now))
	if c.wasLeading {
		c.placer.broker.Tick(now)
	}
}

func (c *Control) coordinatorView(now clock.Instant) coordinator.View {
	return coordinator.View{
		Snapshot: c.snapshot, Slowness: c.slowness(now), Weakness: c.weakness(), Capacity: c.capacity,
		Load:  func(pool string) keyrange.Load { return c.loads.load(pool, now) },
		Fleet: c.fleet(now),
	}
}

// fleetSettle is how long a new coordinator leaves what its row tells about the VMs as it is, while they connect to it.
const fleetSettle = 3 * time.Second

// fleet is what this VM's next renewal tells about the VMs.
func (c *Control) fleet(now clock.Instant) coordinator.Fleet {
	row, _ := c.coordinator.Leader()
	if !c.wasLeading || now.Sub(c.ledSince) < fleetSettle {
		return row.Fleet
	}
	return coordinator.Fleet{VMs: len(c.followers) + 1, Distributors: c.distribution.Distributors()}
}

// run carries effects out.
func (c *Control) run(effects []coordinator.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case coordinator.Log:
			c.log.Emit(e.Event, e.Fields...)
		case coordinator.Commit:
			go c.commit(e)
		case coordinator.Resolve:
			c.startPoll(coordinator.Table)
		case coordinator.SendGrant:
			go c.grant(e)
		case coordinator.SendRelease:
			go c.release(e)
		case coordinator.Announce:
			go c.announce(e)
		}
	}
}

func (c *Control) commit(e coordinator.Commit) {
	ctx, cancel := context.WithTimeout(c.ctx, commitTimeout)
	defer cancel()
	version, err := c.store.Commit(ctx, e.Transaction)
	c.post(func() {
		c.driving.wanted = true
		c.run(c.coordinator.Committed(version, err, c.clock.Now()))
	})
}

func (c *Control) grant(e coordinator.SendGrant) {
	connection, err := int64(0), error(coordinator.ErrTooLate)
	if c.clock.Now() < e.Before {
		connection, err = c.grants.Grant(c.ctx, e.To, e.Grant, e.Connection)
	}
	c.post(func() {
		c.driving.wanted = true
		c.run(c.coordinator.Granted(e.Call, connection, err, c.clock.Now()))
	})
}

func (c *Control) release(e coordinator.SendRelease) {
	ctx, cancel := context.WithTimeout(c.ctx, e.Within)
	defer cancel()
	handover, err := c.grants.Release(ctx, e.From, e.Grant)
	c.post(func() {
		c.driving.wanted = true
		c.run(c.coordinator.Released(e.Slice, handover, err, c.clock.Now()))
	})
}

// Stop gives the coordinator's role up. It returns once that is done, or after the given time.
func (c *Control) Stop(within time.Duration) {
	c.post(func() {
		c.stopRequest = true
		c.stopBefore = c.clock.Now().Add(within / 2)
	})
	select {
	case <-c.stopped:
	case <-time.After(within):
	}
}

func (c *Control) giveUpRole(now clock.Instant) {
	if c.coordinator.Stopped() {
		select {
		case <-c.stopped:
		default:
			close(c.stopped)
		}
		return
	}
	c.run(c.coordinator.Stop(now, now < c.stopBefore))
}

func (c *Control) noteLeading(leading bool) {
	if leading == c.wasLeading {
		return
	}
	c.wasLeading = leading
	for f := range c.subscribers {
		f.Close()
	}
	if leading {
		c.ledSince = c.clock.Now()
		// The others wait for what this VM reads, however long it was to leave the reading to others.
		clear(c.nextPoll)
		c.unfollow()
		c.leaveDistributor()
		c.published, c.lastRoutes, c.listed = nil, nil, nil
		c.distribution = replica.NewDistribution(c.settings.Region)
		row, _ := c.coordinator.Leader()
		c.distribution.Expect(row.Distributors, c.ledSince)
		c.placer.use(true, nil)
		c.updateBroker()
		return
	}
	c.placer.use(false, nil)
	c.placer.broker.Reset()
	for f := range c.followers {
		f.Close()
	}
}
