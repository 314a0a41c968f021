// Package coordinator elects the VM that assigns keys to targets, and manages the grants of all keyed pools. It does no I/O: its
// inputs are events with their times, its outputs are effects that the caller carries out.
package coordinator

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

const (
	// Table is the control table. It holds the coordinator's row and one row with the slices of each keyed pool.
	Table = "control"
	// KeyLeader is the key of the coordinator's row.
	KeyLeader = "coordinator"
	// KeySlicesPrefix is the prefix of the key of a pool's row, before the pool's name.
	KeySlicesPrefix = "slices/"

	// LeaseTTL is the lifetime of the lease after its last confirmed renewal. A successor should renew the grants of a lost
	// coordinator before they expire (GrantTTL). With a lease of 4.5 s, a successor led only 5.3 s after the loss, when all
	// grants had expired.
	LeaseTTL = 3000 * time.Millisecond
	// renewInterval leaves room within the lease for one renewal without a response. Learning the outcome of that renewal takes
	// the timeout of a commit and a read.
	renewInterval = time.Second
	// takeoverMargin covers the timer granularity of the VMs that observe the lease.
	takeoverMargin = 200 * time.Millisecond
	// resolveInterval is the time between attempts to determine the outcome of a write.
	resolveInterval = 300 * time.Millisecond
	// storeLatencyFactor converts the store's response time to a part of a candidate's delay, so that a VM near the store is
	// preferred.
	storeLatencyFactor = 15
	// maxStoreLatencyDelay bounds that part of the delay, because a slow store must not prevent a takeover.
	maxStoreLatencyDelay = 600 * time.Millisecond
	// computeTimeFactor converts the duration of a small computation to a part of a candidate's delay, so that a fast VM is
	// preferred: a slow coordinator delays all requests.
	computeTimeFactor = 150
	// maxComputeTimeDelay bounds that part of the delay.
	maxComputeTimeDelay = time.Second
)

// Leader is the content of the coordinator's row.
type Leader struct {
	VM          string `msgpack:"vm"`
	Incarnation string `msgpack:"inc"`
	// Address is the host:port to which the other VMs connect.
	Address string `msgpack:"addr"`
	// Renewal is incremented with each write of the row.
	Renewal uint64 `msgpack:"n"`
	// Released is set if the coordinator has given up its role.
	Released bool `msgpack:"rel"`
	// Clean is set if it gave up its role when no grant whose outcome it doesn't know could take effect any more, neither one of its own
	// nor one of an earlier coordinator.
	Clean bool `msgpack:"clean"`
	// GrantsMs is, if the role was released and isn't clean, for how many milliseconds such grants may still take effect. It is 0 if that
	// isn't known, and in rows of earlier versions.
	GrantsMs int64 `msgpack:"grants,omitempty"`
	// Era is the era of the store in which the writer knew the row. A row whose version is of a later era was restored with the store.
	Era uint64 `msgpack:"era,omitempty"`
	Fleet
}

// Fleet is what the coordinator stores about the VMs, for VMs that start or have lost the coordinator.
type Fleet struct {
	// VMs is the number of connected VMs including the coordinator, or 0 if it is unknown.
	VMs int `msgpack:"vms,omitempty"`
	// Distributors maps each failure domain to the address of the VM that relays the tables in it.
	Distributors map[string]string `msgpack:"dist,omitempty"`
	// ShareHolders are the VMs that may hold shares of the organisations' quotas, as 4 bytes each, and MaxShare is the largest one that
	// any of them may hold. A coordinator stores them before it grants shares, so that its successor knows when it has heard of all.
	ShareHolders []byte  `msgpack:"holders,omitempty"`
	MaxShare     float64 `msgpack:"share,omitempty"`
	// Broker is the start time of the coordinator's process in nanoseconds, -1 in its first seconds. A later process of its VM proves
	// that it uses no quotas any more. It is 0 without quotas and in rows of earlier versions.
	Broker int64 `msgpack:"broker,omitempty"`
}

// Identity identifies a process that may become the coordinator.
type Identity struct {
	VM          string
	Incarnation string
	Address     string
	// FirstStart is set if the process was started together with all others of a new deployment.
	FirstStart bool
}

// pendingCommit is a transaction whose outcome is not known yet.
type pendingCommit struct {
	tx rowstore.Transaction
	// row is the coordinator's row that the transaction writes.
	row  Leader
	sent clock.Instant
	// inFlight is set until the call has ended.
	inFlight bool
	// ambiguous is set if an attempt without a response may have taken effect or may still do so.
	ambiguous bool
	takeover  bool
	// release is what the transaction tells the successor, nil unless it releases the role.
	release *release
	// maxPriorGrants is, for a takeover, how long grants of earlier coordinators may take effect, as far as their last one has told.
	maxPriorGrants time.Duration
	// onApplied is called once the transaction is known to have taken effect.
	onApplied func(now clock.Instant)
}

// release is what a coordinator that releases its role knows of the grants that may still take effect without the stored tables showing it:
// those of earlier coordinators, and its own whose outcome it doesn't know.
type release struct {
	// clean is set if there are none.
	clean bool
	// grants is for how long there may be some, 0 if that isn't known.
	grants time.Duration
}

// priorGrants returns for how long after the release of the role grants of earlier coordinators may take effect that the stored tables
// don't show, at most limit.
func (l *Leader) priorGrants(limit time.Duration) time.Duration {
	switch {
	case l.Clean:
		return 0
	case l.GrantsMs > 0:
		return min(limit, clock.WithDrift(time.Duration(l.GrantsMs)*time.Millisecond))
	default:
		return limit
	}
}

// leadership is the lease on the coordinator's role.
//
// Invariant: the leader counts the lease from before it sent the renewal, and an observer counts it from after it saw the row.
// The leader's view of the lease therefore ends first.
type leadership struct {
	self Identity
	// row is the newest known row and version is its version, whose number is 0 if there is no row.
	row     Leader
	version uint64
	known   bool
	// restored is set if the store was restored and row was not written since. The row may be older than one that this or another
	// process has acted on, so it is nobody's lease.
	restored bool
	// unused is the era in which no process of the deployment had run yet when this one found no row, nil if it isn't known. The store may
	// have been restored before the deployment's first start; then nothing was lost.
	unused *uint64
	// leader is the newest row that was not restored, and leaderVersion its version. Without one, it is the newest row.
	leader        Leader
	leaderVersion uint64
	// renewal is the highest renewal number that this process has read or sent, and ownRenewal that of its newest successful write.
	renewal, ownRenewal uint64
	// readVersion is the version of the row when it was last read from the store, together with the slices. A takeover
	// requires that both are current.
	readVersion uint64
	// versionChanged is set once the version has changed since this process first knew it. A row that another process of this VM has written
	// may then be that of a later process, which runs.
	versionChanged bool
	// versionSeenAt is when this version was first observed.
	versionSeenAt clock.Instant
	// storeLatency is the store's response time for this VM.
	storeLatency time.Duration
	// computeTime is the measured duration of a small computation on this VM.
	computeTime time.Duration
	// electionDelay is the takeover delay for this VM's processor share and link bandwidth.
	electionDelay time.Duration
	// vacantSince is when the role was first seen vacant with the current version of the row.
	vacantSince clock.Instant
	vacancySeen bool

	// fleet is stored with each renewal of the lease.
	fleet Fleet

	leading  bool
	leaseEnd clock.Instant
	pending  *pendingCommit
	nextTry  clock.Instant
}

// observeRow processes the coordinator's row as read from the store.
func (l *leadership) observeRow(page rowstore.TableSnapshot, now clock.Instant) error {
	var row Leader
	version := uint64(0)
	for _, r := range page.Rows {
		if r.Key != KeyLeader {
			continue
		}
		if err := msgpack.Unmarshal(r.Value, &row); err != nil {
			return err
		}
		version = r.Version
	}
	if version == 0 {
		version = rowstore.Missing(page.Version)
		if era := rowstore.Era(version); l.self.FirstStart && !l.known {
			l.unused = &era
		}
	}
	if l.known && version < l.version {
		return nil
	}
	if !l.known || version != l.version {
		l.versionChanged = l.known
		l.version, l.versionSeenAt, l.known, l.vacancySeen = version, now, true, false
	}
	l.readVersion = version
	l.setRow(row, version)
	return nil
}

// setRow records the content of the newest known row.
func (l *leadership) setRow(row Leader, version uint64) {
	l.row, l.restored = row, row.Era < rowstore.Era(version) && !l.isFirst(version)
	l.renewal = max(l.renewal, row.Renewal)
	if !l.restored || rowstore.Number(l.leaderVersion) == 0 {
		l.leader, l.leaderVersion = row, version
	}
}

// isFirst reports whether the version is that of a row that no process has written yet.
func (l *leadership) isFirst(version uint64) bool {
	return l.unused != nil && rowstore.Number(version) == 0 && rowstore.Era(version) == *l.unused
}

// rowIsOwn reports whether the newest known row was written by this process.
func (l *leadership) rowIsOwn() bool {
	return rowstore.Number(l.version) != 0 && l.row.VM == l.self.VM && l.row.Incarnation == l.self.Incarnation
}

// rowIsOfFormerProcess reports whether an earlier process of this VM wrote the newest known row and hadn't given up the
// role when it ended. Only the row that this process found at its start is known to be that of an earlier process.
func (l *leadership) rowIsOfFormerProcess() bool {
	return rowstore.Number(l.version) != 0 && !l.row.Released && !l.versionChanged && l.row.VM == l.self.VM && l.row.Incarnation != l.self.Incarnation
}

// noteVersion records that the coordinator has announced the version of its row.
func (l *leadership) noteVersion(version uint64, now clock.Instant) {
	if version > l.version {
		l.versionChanged = l.known
		l.version, l.versionSeenAt, l.vacancySeen = version, now, false
	}
}

// mayTakeOver reports whether the role is vacant and this VM's takeover delay has passed.
func (l *leadership) mayTakeOver(now clock.Instant) bool {
	if !l.known || l.leading || l.pending != nil || l.readVersion != l.version {
		return false
	}
	// A restored or lost row proves nothing: another VM may hold the lease on a row that the store has lost.
	vacant := !l.restored && (rowstore.Number(l.version) == 0 || l.row.Released || l.rowIsOwn() || l.rowIsOfFormerProcess())
	if vacant && l.rowIsOfFormerProcess() {
		// No other VM takes over before the lease ends, so the delay that lets stronger VMs lead would only prolong the
		// time without a coordinator.
		return true
	}
	if !vacant && now.Sub(l.versionSeenAt) < clock.WithDrift(LeaseTTL)+takeoverMargin {
		l.vacancySeen = false
		return false
	}
	if !l.vacancySeen {
		l.vacantSince, l.vacancySeen = now, true
	}
	delay := min(storeLatencyFactor*l.storeLatency, maxStoreLatencyDelay) + min(computeTimeFactor*l.computeTime, maxComputeTimeDelay) + l.electionDelay
	return now.Sub(l.vacantSince) >= delay
}

// leaseValid reports whether this process is the leader and its lease has not expired.
func (l *leadership) leaseValid(now clock.Instant) bool {
	return l.leading && now < l.leaseEnd
}

// newCommit returns a transaction that writes the given rows together with the coordinator's row. It takes effect only if
// nobody else has written the coordinator's row since it was last seen. If r isn't nil, it releases the role.
func (l *leadership) newCommit(puts []rowstore.Row, r *release) (*pendingCommit, error) {
	era, renewal := rowstore.Era(l.version), l.row.Renewal+1
	if era > 0 {
		// The store may have lost rows with higher numbers, and a number identifies a write.
		renewal = l.renewal + 1
	}
	l.renewal = max(l.renewal, renewal)
	next := Leader{VM: l.self.VM, Incarnation: l.self.Incarnation, Address: l.self.Address, Renewal: renewal, Era: era, Fleet: l.fleet}
	if r != nil {
		next.Released, next.Clean, next.GrantsMs = true, r.clean, r.grants.Milliseconds()
	}
	value, err := msgpack.Marshal(next)
	if err != nil {
		return nil, err
	}
	tx := rowstore.Transaction{
		Expected: []rowstore.Expectation{{Table: Table, Key: KeyLeader, Version: l.version}},
		Puts:     append([]rowstore.Row{{Table: Table, Key: KeyLeader, Value: value}}, puts...),
	}
	return &pendingCommit{tx: tx, row: next, release: r}, nil
}

// pendingOutcome returns whether the pending write took effect according to the newest row, and whether that is certain.
func (l *leadership) pendingOutcome() (applied, certain bool) {
	switch {
	case l.rowIsOwn() && l.row.Renewal >= l.pending.row.Renewal:
		return true, true
	case l.version == l.pending.tx.Expected[0].Version:
		return false, false
	default:
		// Another process has written the row, so the condition of the write can no longer hold.
		return false, true
	}
}
