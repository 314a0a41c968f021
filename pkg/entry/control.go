package entry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/ingress"
	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

const (
	// coordinatorTickInterval is the time between the coordinator's ticks. Grants and releases that are due wait at
	// most this long.
	coordinatorTickInterval = 50 * time.Millisecond
	// followerTickInterval is the time between ticks on all other VMs.
	followerTickInterval = 150 * time.Millisecond
	// maxRelayedAge is the age of relayed data above which a VM reads the store itself.
	maxRelayedAge = 1000 * time.Millisecond
	// readTimeout limits a read of the store. A slow store takes 380 ms to answer.
	readTimeout = 1500 * time.Millisecond
	// commitTimeout limits a write to the store. If it expires, the outcome is looked up.
	commitTimeout = 1500 * time.Millisecond
	// minPublishInterval is the minimum time between two updates to the other VMs.
	minPublishInterval = 15 * time.Millisecond
	// startupReadGrace is how long a new process that found no coordinator's row leaves reading the tables to the coordinator
	// before it reads them itself.
	startupReadGrace = 1200 * time.Millisecond
	// usualFirstControlRead is when a new process has read the coordinator's row at the latest if the store answers within
	// 40 ms. The periods below count from later if the row was read later.
	usualFirstControlRead = 160 * time.Millisecond
	// relayReadGrace is the same if the row names a distributor, from which VMs get the tables within 0.3 s, and
	// undistributedReadGrace if it names none for the VM's failure domain, so that only the coordinator can relay the tables.
	relayReadGrace         = 400 * time.Millisecond
	undistributedReadGrace = 150 * time.Millisecond
	// restoredReadGrace is the least time for which any new process leaves reading the tables to the coordinator if the store
	// was ever restored. The store may still hold an older configuration than the coordinator, to which a process connects
	// within 0.2 s.
	restoredReadGrace = 300 * time.Millisecond
	// distributorReadGrace is the same for a process that is connected to a distributor only, and connectedReadGrace for
	// one that is connected to the coordinator.
	distributorReadGrace = 800 * time.Millisecond
	connectedReadGrace   = 4 * time.Second
	// heartbeatInterval is the time between updates to the other VMs while nothing changes.
	heartbeatInterval = 300 * time.Millisecond
	// reportInterval is the time between reports to the coordinator.
	reportInterval = 250 * time.Millisecond
	// minUnownedWait is the minimum time for which a key without an owner is expected to remain without one.
	minUnownedWait = 100 * time.Millisecond
	// linkTimeout is the time without an update after which the link to the coordinator or the distributor is closed.
	linkTimeout = 800 * time.Millisecond
	// slowDecisionDelay is the delay of decisions, without the time in the broker's queues, above which the coordinator
	// counts as too slow. A round trip to another region takes 16 ms.
	slowDecisionDelay = 70 * time.Millisecond
	// yieldAfter is how long decisions must be slow before the coordinator yields, and minSlowReports is how many VMs
	// must report that.
	yieldAfter     = 600 * time.Millisecond
	minSlowReports = 2
	// candidacyPause is how long a VM isn't a candidate after it gave up the role because it was too slow or because
	// its control goroutine panicked.
	candidacyPause = 10 * time.Second
	// yieldDrainTimeout is how long a coordinator that yields waits for calls whose outcome is still open before it
	// gives up the role.
	yieldDrainTimeout = 300 * time.Millisecond
	// contactTimeout is the time without an update after which the coordinator or the distributor counts as lost. A VM
	// may then take over the coordinator's role.
	contactTimeout = 1500 * time.Millisecond
)

// Decoder decodes the rows of the platform's own tables.
type Decoder interface {
	Configuration(rows map[string]rowstore.Row) (*inventory.Configuration, error)
	DomainsOut(rows map[string]rowstore.Row) map[string]bool
	Target(row rowstore.Row) (*inventory.Target, error)
}

// Tables holds the names of the platform's tables.
type Tables struct {
	Operator string
	Targets  string
}

// Control maintains the VM's view of the deployment and, on the coordinator, the assignment of keys to targets. Its
// state belongs to the goroutine of Run. All I/O happens in other goroutines, which post their results as events.
type Control struct {
	settings       Settings
	store          rowstore.Store
	decoder        Decoder
	tables         Tables
	grants         *keygrant.Client
	clock          clock.Clock
	log            *event.Logger
	balancer       *placing.Balancer
	suspects       *quarantine.Tracker
	storedSuspects storedSuspects
	limits         *ratelimit.Tracker
	// localBudget limits the retries that this VM places without a broker.
	localBudget *placing.RetryBudget
	// quota is this VM's share of the organisations' quotas.
	quota       *sharedrate.Holder
	quotaEvents quotaEvents
	// quotaTerm is the coordinator's term of this process in which it last started a ledger of the quotas.
	quotaTerm int
	placer    *placer
	// interRegion counts the bytes sent to and received from other regions. It may be nil.
	interRegion *interregion.Counter
	onSnapshot  func(*inventory.Snapshot)
	dial        replica.Dialer

	events        chan func()
	ctx           context.Context
	view          atomic.Pointer[ingress.View]
	requestedKeys requestedKeys

	coordinator      *coordinator.Coordinator
	passLimiter      slicePassLimiter
	mirror           *replica.Mirror
	snapshot         *inventory.Snapshot
	targets          map[string]decodedTarget
	firstSeenLeaving map[string]clock.Instant
	// ignoredTargets are the IDs of the registrations whose pool the configuration doesn't name.
	ignoredTargets map[string]bool
	// leavingTargets are the targets that have reported in an answer that they are leaving. snapshotDirty requests a
	// new snapshot even if no row has changed.
	leavingTargets leavingTargets
	snapshotDirty  bool
	config         *inventory.Configuration
	// configRows are the operator's rows that the configuration was decoded from last, and configRowVersion the highest version of them.
	configRows       map[string]rowstore.Row
	configRowVersion uint64
	// storeEra is the newest era of the store that this VM knows of. olderRow is the newest row of a restored store whose configuration
	// was compared with that of a known row.
	storeEra   atomic.Uint64
	eraGauge   tally.Gauge
	olderRow   comparedRow
	loadWindow loadWindow

	reading map[string]bool
	// readCounts holds the number of reads of each table.
	readCounts map[string]int
	nextRead   map[string]clock.Instant
	// pacers holds the read pacer of each table.
	pacers map[string]*readPacer
	// vmCount is the number of VMs that the coordinator reported last, 0 before the first report.
	vmCount int
	// fleetPeak is the number of VMs by which rate limits are divided.
	fleetPeak peakHold
	// leadingSince is when this VM became the coordinator.
	leadingSince clock.Instant
	// publishPending requests an update although no row or route has changed, because VMs have joined or need another
	// distributor.
	publishPending bool
	// publishScheduled is set if an event is scheduled after which the pending update is sent.
	publishScheduled bool
	// lastNotice is the newest coordinator that the subscribers were notified of.
	lastNotice coordinator.Notice
	// leaderConfirmed is set by the first update on the current link to the coordinator, which makes the next notice to
	// the subscribers due.
	leaderConfirmed bool
	// readFreshAt is when the newest state that this VM has read from the store was current, relayedFreshAt the same
	// for relayed state.
	readFreshAt    clock.Instant
	relayedFreshAt clock.Instant
	// coordinatorFreshAt is the same for the tables that the coordinator has.
	coordinatorFreshAt clock.Instant
	storeDown          bool
	// configurationSeen is when the newest information about the configuration that this VM has was current, as a clock.Instant.
	// Only the control goroutine writes it.
	configurationSeen atomic.Int64

	followers map[*replica.Follower]bool
	// sortedFollowers are the followers ordered by name as of the last heartbeat, nil after one has left.
	sortedFollowers []*replica.Follower
	distribution    *replica.Distribution
	// subscribers are the VMs that use this one as their distributor. source is the distributor that this VM uses.
	subscribers map[*replica.Follower]bool
	source      tableSource
	// avoidedDistributor is a distributor that isn't used again until avoidUntil.
	avoidedDistributor string
	avoidUntil         clock.Instant
	// failedDistributors counts the distributors that were lost since one sent something.
	failedDistributors int
	// forwardedRoutes are the routes that the subscribers have, as of forwardedAt.
	forwardedRoutes    map[string][]coordinator.Route
	forwardedAt        time.Time
	publishedRows      map[string]map[string]rowstore.Row
	publishedRevisions map[string]uint64
	packedTables       []byte
	packedRevisions    [2]uint64
	lastHeartbeat      clock.Instant
	publishedAt        clock.Instant
	publishedRevision  uint64
	startedAt          clock.Instant
	// firstControlRead is when this process had first read the control table, zero before.
	firstControlRead clock.Instant
	// quarantineKnown is set once this process knows the stored records of refused requests, directly or from other VMs.
	// awaitsQuarantine is set until then or until quarantineTimeout has passed; a new process serves nothing before. tablesSince
	// is when it first had a table, zero before, nextQuarantineRead when it may read the records, and quarantineReadAt when
	// it first did so, zero before.
	quarantineKnown                 bool
	awaitsQuarantine                bool
	tablesSince, nextQuarantineRead clock.Instant
	quarantineReadAt                clock.Instant
	// startupTime is the time.Duration from the start until the process knew a configuration and targets, zero before. Only
	// the control goroutine writes it.
	startupTime     atomic.Int64
	startupGauge    tally.Gauge
	lastRoutes      map[string][]coordinator.Route
	link            *replica.Link
	followedAddress string
	cancelFollow    context.CancelFunc
	nextDial        clock.Instant
	// failedDials counts the attempts to connect to the coordinator since its last update.
	failedDials        int
	coordinatorHeardAt clock.Instant
	relayedRoutes      map[string][]coordinator.Route
	relayedRoutesAt    time.Time
	// controlReadAt is when the control table was last read from the store.
	controlReadAt time.Time
	nextReport    clock.Instant
	// reportedStoreSeen is the end of the newest period of own reads of the store that was reported to the coordinator.
	reportedStoreSeen clock.Instant
	wasLeading        bool
	stopped           chan struct{}
	stopDeadline      clock.Instant
	stopRequested     bool
	selfTestTime      time.Duration
	nextSelfTest      clock.Instant
	// slowSince is when the decisions became slow for the other VMs, zero while they aren't.
	slowSince clock.Instant
	// minElectionDelay is the base election delay of the strongest VM, zero if it isn't known.
	minElectionDelay time.Duration
	// candidacyPausedUntil is when this VM becomes a candidate again after it has given up the role.
	candidacyPausedUntil clock.Instant
}

// decodedTarget caches the result of decoding a row.
type decodedTarget struct {
	version uint64
	target  *inventory.Target
}

// ControlOptions holds the settings and dependencies of a Control.
type ControlOptions struct {
	Settings Settings
	Store    rowstore.Store
	Decoder  Decoder
	Tables   Tables
	Grants   *keygrant.Client
	Clock    clock.Clock
	Log      *event.Logger
	Balancer *placing.Balancer
	// Suspects tracks the requests that may crash targets, both for the broker and for requests that are placed without
	// it.
	Suspects *quarantine.Tracker
	// Limits holds the rate limits of the targets, also for both.
	Limits *ratelimit.Tracker
	// BrokerBudget limits the retries that this VM's broker permits, LocalBudget those that the VM places without a
	// broker.
	BrokerBudget *placing.RetryBudget
	LocalBudget  *placing.RetryBudget
	// Quota is this VM's share of the organisations' quotas.
	Quota *sharedrate.Holder
	// InterRegion counts the bytes sent to and received from other regions. It may be nil.
	InterRegion *interregion.Counter
	Incarnation string
	// EraGauge shows the newest era of the store. It may be nil.
	EraGauge tally.Gauge
	// StartupGauge shows how long the start of the process took. It may be nil.
	StartupGauge tally.Gauge
	// OnSnapshot is called with each new snapshot, from the control goroutine.
	OnSnapshot func(*inventory.Snapshot)
	// Dial opens connections to other VMs, or is nil for TCP.
	Dial replica.Dialer
}

// NewControl returns the control state of a VM. Run starts its work.
func NewControl(o ControlOptions) *Control {
	if o.Suspects == nil {
		o.Suspects = quarantine.NewTracker()
	}
	if o.Limits == nil {
		o.Limits = ratelimit.NewTracker()
	}
	if o.LocalBudget == nil {
		o.LocalBudget = placing.NewLocalBudget(0, 0, time.Second)
	}
	if o.Quota == nil {
		o.Quota = sharedrate.NewHolder(1, o.Settings.quotaAllowance(), o.Clock.Now())
	}
	c := &Control{
		settings: o.Settings, store: o.Store, decoder: o.Decoder, tables: o.Tables, grants: o.Grants, clock: o.Clock, log: o.Log,
		balancer: o.Balancer, suspects: o.Suspects, limits: o.Limits, localBudget: o.LocalBudget, quota: o.Quota, onSnapshot: o.OnSnapshot, dial: o.Dial, eraGauge: o.EraGauge, startupGauge: o.StartupGauge, interRegion: o.InterRegion,
		events: make(chan func(), 256), mirror: replica.NewMirror(),
		targets: map[string]decodedTarget{}, loadWindow: newLoadWindow(), reading: map[string]bool{}, readCounts: map[string]int{}, nextRead: map[string]clock.Instant{}, pacers: map[string]*readPacer{},
		followers: map[*replica.Follower]bool{}, subscribers: map[*replica.Follower]bool{},
		distribution: replica.NewDistribution(o.Settings.Region), stopped: make(chan struct{}),
	}
	if c.grants != nil {
		c.grants.OnLeaving = c.handlePeerLeaving
		c.grants.OnRateLimit = c.handlePeerRateLimit
		c.grants.Flow = c.grantFlow
	}
	c.placer = newPlacer(o.Settings, o.Clock, placing.NewBroker(o.Settings.RegionOf, o.BrokerBudget, o.Suspects, o.Limits, c.requestedKeys.add))
	c.coordinator = coordinator.New(coordinator.Identity{VM: o.Settings.VM, Incarnation: o.Incarnation, Address: c.relayAddress(), FirstStart: o.Settings.FirstStart})
	c.mirror.MarkExpiring(o.Tables.Targets)
	c.mirror.KeepNewer(o.Tables.Operator, c.hasNewerConfiguration)
	c.view.Store(&ingress.View{Changed: make(chan struct{})})
	return c
}

// relayAddress returns the address at which the other VMs reach this one.
func (c *Control) relayAddress() string {
	if c.settings.AdvertiseAddress != "" {
		return c.settings.AdvertiseAddress
	}
	return net.JoinHostPort(c.settings.IP, fmt.Sprint(c.settings.FirstPort))
}

// Current implements ingress.State.
func (c *Control) Current() *ingress.View {
	return c.view.Load()
}

// RecordKeyUse implements ingress.State.
func (c *Control) RecordKeyUse(pool string, key int) {
	c.requestedKeys.add(pool, key)
}

// post runs f on the control goroutine, unless the context is done.
func (c *Control) post(f func()) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// Run works until the context is done, then closes the relay listener.
func (c *Control) Run(ctx context.Context, relay net.Listener) {
	if c.ctx == nil {
		c.ctx = ctx
	}
	c.startedAt, c.awaitsQuarantine = c.clock.Now(), true
	c.nextRead[coordinator.Table] = c.startedAt.Add(firstReadDelay(c.baseElectionDelay()))
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
			c.runRecovered(f)
			c.drainEvents()
			c.runRecovered(func() { c.advance(c.clock.Now()) })
		case <-timer.C:
			timer.Reset(c.tickInterval())
			c.runRecovered(func() { c.tick(c.clock.Now()) })
		}
	}
}

// runRecovered runs a part of the control goroutine's work and recovers from a panic. The coordinator's state may then
// be incomplete, so this VM abandons the role and another VM starts from the stored state.
func (c *Control) runRecovered(f func()) {
	defer func() {
		if v := recover(); v != nil {
			c.log.LogPanic("control", v)
			c.candidacyPausedUntil = c.clock.Now().Add(candidacyPause)
			c.runEffects(c.coordinator.Abandon())
		}
	}()
	f()
}

// drainEvents runs the events that are already queued, so that advance runs once after a burst of events.
func (c *Control) drainEvents() {
	for range cap(c.events) {
		select {
		case f := <-c.events:
			c.runRecovered(f)
		default:
			return
		}
	}
}

func (c *Control) tickInterval() time.Duration {
	now := c.clock.Now()
	switch {
	case c.coordinator.Leading(now) || c.stopRequested:
		return coordinatorTickInterval
	case (c.snapshot == nil || c.awaitsQuarantine) && c.starting(now):
		return startupTickInterval
	default:
		return followerTickInterval
	}
}

// advance does the work that completed calls and messages have made due. All other work waits for the next tick.
func (c *Control) advance(now clock.Instant) {
	leading := c.coordinator.Leading(now)
	if leading != c.wasLeading {
		c.tick(now)
		return
	}
	c.followCoordinator(now, leading)
	if c.snapshot == nil {
		c.startDueReads(now, leading)
	}
	if leading && c.passLimiter.due(now, c.coordinator.SliceCount()) {
		c.runEffects(c.coordinator.Advance(now))
	}
	if now.Sub(c.publishedAt) >= minPublishInterval {
		c.publish(now, leading)
	} else if !c.publishScheduled && (c.publishPending || c.starting(now) && c.tablesUnpublished()) {
		// VMs that have connected wait for the tables.
		c.publishScheduled = true
		time.AfterFunc(minPublishInterval, func() { c.post(func() { c.publishScheduled = false }) })
	}
}

func (c *Control) tick(now clock.Instant) {
	leading := c.coordinator.Leading(now)
	c.setLeading(leading)
	c.startDueReads(now, leading)
	c.followCoordinator(now, leading)
	c.checkDistributor(now)
	if c.snapshot == nil {
		c.useStoredDistributor(now)
	}
	c.awaitQuarantine(now)
	c.sendReport(now, leading)
	c.reportLeavingTargets()
	c.logSuspects()
	c.logLimits(now)
	c.divideLimits(now, leading)
	c.shareQuotas(now, leading)
	c.syncSuspects(now, leading)
	if c.stopRequested {
		c.stepDown(now)
	}
	if leading && !c.stopRequested {
		c.yieldIfSlow(now)
	}
	c.runEffects(c.coordinator.Tick(now, c.coordinatorView(now), c.isCandidate(now)))
	c.publish(now, c.coordinator.Leading(now))
	if c.wasLeading {
		c.placer.broker.Tick(now)
	}
}

func (c *Control) coordinatorView(now clock.Instant) coordinator.View {
	return coordinator.View{
		Snapshot: c.snapshot, ComputeTime: c.runSelfTest(now), ElectionDelay: c.electionDelay(), Capacity: c.capacity,
		Load:  func(pool string) keyrange.Load { return c.loadWindow.load(pool, now) },
		Fleet: c.fleet(now), Routes: c.relayedRoutes,
	}
}

// fleetSettleTime is how long a new coordinator keeps the stored data about the VMs unchanged while they connect to it.
const fleetSettleTime = 3 * time.Second

// fleet returns the data about the VMs that is stored with the next renewal of the lease.
func (c *Control) fleet(now clock.Instant) coordinator.Fleet {
	row, _ := c.coordinator.Leader()
	if !c.wasLeading {
		return c.inheritedFleet(row)
	}
	if now.Sub(c.leadingSince) < fleetSettleTime {
		return row.Fleet
	}
	holders, share, broker := c.shareHolders(now)
	return coordinator.Fleet{VMs: len(c.followers) + 1, Distributors: c.distribution.Distributors(), ShareHolders: holders, MaxShare: share, Broker: broker}
}

// Stop gives up the coordinator's role. It returns once that is done, or after the given time.
func (c *Control) Stop(within time.Duration) {
	c.post(func() {
		c.stopRequested = true
		c.stopDeadline = c.clock.Now().Add(within / 2)
	})
	select {
	case <-c.stopped:
	case <-time.After(within):
	}
}

func (c *Control) stepDown(now clock.Instant) {
	if c.coordinator.Stopped() {
		select {
		case <-c.stopped:
		default:
			close(c.stopped)
		}
		return
	}
	c.runEffects(c.coordinator.Stop(now, now < c.stopDeadline))
}

func (c *Control) setLeading(leading bool) {
	if leading == c.wasLeading {
		return
	}
	c.wasLeading = leading
	for f := range c.subscribers {
		f.Close()
	}
	if leading {
		c.leadingSince = c.clock.Now()
		// The other VMs wait for this VM's reads, so delays that left the reading to others no longer apply.
		clear(c.nextRead)
		c.unfollow()
		c.leaveDistributor()
		c.publishedRows, c.lastRoutes, c.sortedFollowers = nil, nil, nil
		c.distribution = replica.NewDistribution(c.settings.Region)
		row, _ := c.coordinator.Leader()
		c.distribution.Expect(row.Distributors, c.leadingSince)
		c.startQuotas(c.leadingSince, row.Fleet)
		c.setBackend(true, nil)
		c.updateBroker()
		return
	}
	if c.storeEra.Load() > 0 && c.lastRoutes != nil {
		// The tables in the store may be older than the routes that this VM has sent as the coordinator.
		c.relayedRoutes, c.relayedRoutesAt = c.lastRoutes, time.Now()
	}
	c.setBackend(false, nil)
	c.placer.broker.Reset()
	for f := range c.followers {
		f.Close()
	}
}
