// Package coordinator decides which VM assigns keys, and keeps the grants of all keyed pools. It does no I/O: inputs are
// events with their time, outputs are effects.
package coordinator

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

const (
	// Table holds the coordinator's row and one row with the slices of each keyed pool.
	Table = "control"
	// KeyLeader is the key of the coordinator's row.
	KeyLeader = "coordinator"
	// KeySlices precedes the name of a pool.
	KeySlices = "slices/"

	// LeaseTTL is the life of the leadership after its last confirmed renewal. A successor should renew the grants of a lost
	// coordinator before they end (Hold). With 4.5 s one led 5.3 s after the loss, when all grants had ended.
	LeaseTTL = 3000 * time.Millisecond
	// renewInterval leaves room for one renewal without an answer, whose outcome takes a commit's time limit and a read to learn.
	renewInterval = time.Second
	// takeoverMargin covers the granularity of the observers' timers.
	takeoverMargin = 200 * time.Millisecond
	// resolveInterval is the time between attempts to find out what became of a write.
	resolveInterval = 300 * time.Millisecond
	// distanceFactor multiplies the store's answer time to a candidate's delay, so that a VM near the store wins.
	distanceFactor = 15
	// maxDistanceDelay bounds that delay, since a slow store must not prevent a takeover.
	maxDistanceDelay = 600 * time.Millisecond
	// slownessFactor multiplies the time of a small computation to a candidate's delay, so that a fast VM wins: a slow
	// coordinator delays all requests.
	slownessFactor = 150
	// maxSlownessDelay bounds that delay.
	maxSlownessDelay = time.Second
)

// Leader is the coordinator's row.
type Leader struct {
	VM          string `msgpack:"vm"`
	Incarnation string `msgpack:"inc"`
	// Address is where the other VMs connect, host:port.
	Address string `msgpack:"addr"`
	Renewal uint64 `msgpack:"n"`
	// Released tells that the coordinator has stopped.
	Released bool `msgpack:"rel"`
	// Clean tells that it left no call whose outcome is open.
	Clean bool `msgpack:"clean"`
	Fleet
}

// Fleet is what the coordinator stores about the VMs, for those that start or have lost it.
type Fleet struct {
	// VMs is the number of connected VMs, the coordinator included; 0 if it isn't known.
	VMs int `msgpack:"vms,omitempty"`
	// Distributors are the addresses of the VMs that pass the tables on, by failure domain.
	Distributors map[string]string `msgpack:"dist,omitempty"`
}

// Identity tells the processes apart that may lead.
type Identity struct {
	VM          string
	Incarnation string
	Address     string
}

// commit is a transaction whose outcome isn't known yet.
type commit struct {
	tx      rowstore.Transaction
	renewal uint64
	sent    clock.Instant
	// inFlight tells that the call hasn't ended.
	inFlight bool
	// unsure tells that an attempt without an answer may have taken effect or may still do so.
	unsure   bool
	takeover bool
	release  bool
	// clean tells that the former coordinator left no call whose outcome is open.
	clean bool
	// apply is called once the transaction is known to have taken effect.
	apply func(now clock.Instant)
}

// leadership is the lease of the coordinator's role.
//
// Invariant: the leader counts its lease from before it sent the renewal, an observer from after it saw the row, so the
// leader's lease ends first.
type leadership struct {
	self Identity
	// row is the newest known row, version its version; 0 if there is none.
	row     Leader
	version uint64
	known   bool
	// read is the version of the row as it was last read here, together with the slices. A takeover needs both to be current.
	read uint64
	// seen is when this version was first observed.
	seen clock.Instant
	// distance is the store's answer time for this VM.
	distance time.Duration
	// slowness is the time that a small computation takes on this VM.
	slowness time.Duration
	// weakness is the delay for the VM's processor and link.
	weakness time.Duration
	// free is when the role was first seen to be free with the present version of the row.
	free     clock.Instant
	freeSeen bool

	// fleet is stored with each renewal.
	fleet Fleet

	leading  bool
	leaseEnd clock.Instant
	pending  *commit
	nextTry  clock.Instant
}

// observe takes the row in as read from the store.
func (l *leadership) observe(page rowstore.Page, now clock.Instant) error {
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
	if l.known && version < l.version {
		return nil
	}
	if !l.known || version != l.version {
		l.version, l.seen, l.known, l.freeSeen = version, now, true, false
	}
	l.row, l.read = row, version
	return nil
}

// ours tells whether the newest row was written by this process.
func (l *leadership) ours() bool {
	return l.version != 0 && l.row.VM == l.self.VM && l.row.Incarnation == l.self.Incarnation
}

// heard notes that the coordinator has told this VM the version of its row.
func (l *leadership) heard(version uint64, now clock.Instant) {
	if version > l.version {
		l.version, l.seen, l.freeSeen = version, now, false
	}
}

// mayTake tells whether the role may be taken over.
func (l *leadership) mayTake(now clock.Instant) bool {
	if !l.known || l.leading || l.pending != nil || l.read != l.version {
		return false
	}
	vacant := l.version == 0 || l.row.Released || l.row.VM == l.self.VM || now.Sub(l.seen) >= clock.WithDrift(LeaseTTL)+takeoverMargin
	if !vacant {
		l.freeSeen = false
		return false
	}
	if !l.freeSeen {
		l.free, l.freeSeen = now, true
	}
	delay := min(distanceFactor*l.distance, maxDistanceDelay) + min(slownessFactor*l.slowness, maxSlownessDelay) + l.weakness
	return now.Sub(l.free) >= delay
}

// valid tells whether the lease holds.
func (l *leadership) valid(now clock.Instant) bool {
	return l.leading && now < l.leaseEnd
}

// newCommit returns a transaction that also writes the coordinator's row. It takes effect only if nobody has written that
// row since.
func (l *leadership) newCommit(puts []rowstore.Row, release, clean bool) (*commit, error) {
	next := Leader{VM: l.self.VM, Incarnation: l.self.Incarnation, Address: l.self.Address, Renewal: l.row.Renewal + 1, Released: release, Clean: clean, Fleet: l.fleet}
	value, err := msgpack.Marshal(next)
	if err != nil {
		return nil, err
	}
	tx := rowstore.Transaction{
		Expected: []rowstore.Expectation{{Table: Table, Key: KeyLeader, Version: l.version}},
		Puts:     append([]rowstore.Row{{Table: Table, Key: KeyLeader, Value: value}}, puts...),
	}
	return &commit{tx: tx, renewal: next.Renewal, release: release}, nil
}

// resolved tells what a newer row says about the pending write: whether it took effect, and whether that is certain.
func (l *leadership) resolved() (applied, certain bool) {
	switch {
	case l.ours() && l.row.Renewal >= l.pending.renewal:
		return true, true
	case l.version == l.pending.tx.Expected[0].Version:
		return false, false
	default:
		// Somebody else has written the row, so that the condition can't hold any more.
		return false, true
	}
}
