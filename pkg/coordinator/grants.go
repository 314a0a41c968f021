package coordinator

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
)

const (
	// GrantTTL is the lifetime of a grant. It bounds the time without service after the loss of an owner, which should not
	// exceed 4 s.
	GrantTTL = 3800 * time.Millisecond
	// FinalGrantTTL is the lifetime of the grants that are sent at the end of the lease, which only comes close while the
	// store is unavailable. Together with LeaseTTL before it, keys are served through a store outage of 9 s. The drawback is
	// that the keys of an owner which is lost together with the coordinator are unavailable for this long.
	FinalGrantTTL = 7 * time.Second
	// clockDriftAllowance covers a target's clock that runs 2% slow, with a margin.
	clockDriftAllowance = 0.03
	// deliveryMargin covers the delivery time of a call on a healthy link.
	deliveryMargin = 100 * time.Millisecond
	// grantInterval is the interval between renewals of a grant.
	grantInterval = time.Second
	// finalRenewalWindow is the period at the end of the lease in which each grant is renewed once more, so that it lasts as
	// long as possible.
	finalRenewalWindow = 300 * time.Millisecond
	// retryInterval is the delay before a failed call is retried.
	retryInterval = 250 * time.Millisecond
	// lostAfter is how long the grants to a target must have failed before the target's keys are reassigned.
	lostAfter = 700 * time.Millisecond
	// lostFailures is the number of consecutive failed grants required before the target's keys are reassigned.
	lostFailures = 2
)

// latestGrantEnd returns the latest time at which a grant may expire that reached its target at arrived or earlier.
func latestGrantEnd(arrived clock.Instant, ttl time.Duration) clock.Instant {
	return arrived.Add(ttl + time.Duration(float64(ttl)*clockDriftAllowance) + deliveryMargin)
}

// incarnation identifies one incarnation of a target: its ID and its start time.
type incarnation struct {
	id      string
	started int64
}

// epochsPerFence is the number of fences on the wire per stored fence. In a long term, the coordinator uses one for each lost
// connection. When they are used up, it writes a new stored fence.
const epochsPerFence = 256

// wireFence returns the fence that is sent to targets for a stored fence and an epoch.
func wireFence(stored, epoch int64) int64 {
	return stored*epochsPerFence + epoch
}

// grantCall is a call that grants keys and may still take effect at its target.
type grantCall struct {
	id       int64
	pool     string
	owner    incarnation
	from, to int
	fence    int64
	epoch    int64
	sent     clock.Instant
	ttl      time.Duration
	inFlight bool
	// end is the latest time at which the grant expires.
	end clock.Instant
}

func (c *grantCall) overlaps(pool string, owner incarnation, from, to int) bool {
	return c.pool == pool && c.owner == owner && c.from <= to && from <= c.to
}

// sliceID identifies a slice even if its neighbours change.
type sliceID struct {
	pool  string
	from  int
	fence int64
}

// grantState is the coordinator's knowledge about the grant of one slice.
type grantState struct {
	// ready is set if the owner holds the keys, as far as is known.
	ready bool
	// end is the latest time at which the owner's acknowledged grants expire.
	end clock.Instant
	// parts holds the key ranges that have this fence, by their first key. A slice that was split has several.
	parts map[int]*sendSchedule
	// nextSend is when the first grant of a part is due.
	nextSend clock.Instant
	// inherited is set if an earlier coordinator made the move. The owner or the previous owner may then hold the keys.
	inherited bool
	// epoch is the part of the fence that counts the connections over which this coordinator has granted the slice. Each
	// connection may lead to another incarnation of the target, which must not get a fence of an earlier incarnation.
	epoch int64
	// connection is the connection on which the owner has acknowledged the fence with this epoch, or 0 if it has not.
	connection int64
	// inFlight counts the grants of all parts whose outcome is outstanding.
	inFlight int
	// confirmed is set once the owner has acknowledged a fence of this term for all keys of the slice. From then on it refuses
	// delayed calls of an earlier coordinator.
	confirmed bool
	// split is set if the slice was split before it was confirmed, so that no single response confirms it.
	split bool
	// stale is set if the stored fence may be too low or may have been used by an earlier coordinator. It is not sent,
	// and the slice is given a new one.
	stale bool

	// The following fields concern the previous owner.

	// previousEnd is the latest time at which the previous owner's acknowledged grants expire.
	previousEnd clock.Instant
	// previousConfirmed is set if the previous owner had acknowledged a fence of this term.
	previousConfirmed bool
	// previousEpoch is the highest epoch that may have been sent to the previous owner.
	previousEpoch   int64
	released        bool
	releaseInFlight bool
	nextRelease     clock.Instant
	handover        string
	// offered is set once the keys may be granted to the new owner.
	offered bool
	// movedAt is when the table that assigns the slice to its owner was committed.
	movedAt clock.Instant
}

// sendSchedule is the schedule for granting one range of keys.
type sendSchedule struct {
	nextSend clock.Instant
	lastSent clock.Instant
	inFlight bool
}

// due reports whether the range has to be granted now.
func (s *sendSchedule) due(now, leaseEnd clock.Instant) bool {
	if s.inFlight {
		return false
	}
	return now >= s.nextSend || inFinalWindow(now, leaseEnd) && !inFinalWindow(s.lastSent, leaseEnd)
}

// inFinalWindow reports whether the lease is about to end.
func inFinalWindow(now, leaseEnd clock.Instant) bool {
	return leaseEnd.Sub(now) < finalRenewalWindow
}

// part returns the schedule of the range that begins at a key.
func (g *grantState) part(from int) *sendSchedule {
	if g.parts == nil {
		g.parts = map[int]*sendSchedule{}
	}
	if g.parts[from] == nil {
		g.parts[from] = &sendSchedule{nextSend: g.nextSend}
	}
	return g.parts[from]
}

// targetHealth is the health of a target as seen from the outcomes of its grants.
type targetHealth struct {
	failures     int
	failingSince clock.Instant
	lastAnswered clock.Instant
	everFailed   bool
	lastFailed   clock.Instant
}

func (h *targetHealth) lost(now clock.Instant) bool {
	return h.failures >= lostFailures && now.Sub(h.failingSince) >= lostAfter
}

func (h *targetHealth) recordFailure(now clock.Instant) {
	if h.failures == 0 {
		h.failingSince = now
	}
	h.failures++
	h.lastFailed, h.everFailed = now, true
}

func (h *targetHealth) recordAnswer(now clock.Instant) {
	h.failures, h.lastAnswered = 0, now
}

func previousIncarnation(s *keyrange.Slice) incarnation {
	return incarnation{id: s.Previous, started: s.PreviousStarted}
}

func ownerIncarnation(s *keyrange.Slice) incarnation {
	return incarnation{id: s.Owner, started: s.OwnerStarted}
}
