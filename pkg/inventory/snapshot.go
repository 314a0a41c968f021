package inventory

import (
	"cmp"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Target is a registered back end.
type Target struct {
	ID      string
	Pool    string
	Address string
	Domain  string
	Slots   int
	// Started is the Unix millisecond at which this life of the target began. A target may start again under its ID.
	Started int64
	// Draining targets have announced their leave.
	Draining bool
	// ColdFor is how much longer the target stays cold, as of the registration.
	ColdFor time.Duration
}

// Life names one life of a target.
type Life struct {
	Target string `msgpack:"t"`
	// Started is the Unix millisecond at which it began.
	Started int64 `msgpack:"s"`
}

// Life returns the life that the registration tells of.
func (t *Target) Life() Life {
	return Life{Target: t.ID, Started: t.Started}
}

// SameAs tells whether two registrations mean the same for routing.
func (t *Target) SameAs(o *Target) bool {
	return t.Pool == o.Pool && t.Address == o.Address && t.Domain == o.Domain && t.Slots == o.Slots &&
		t.Started == o.Started && t.Draining == o.Draining && (t.ColdFor > 0) == (o.ColdFor > 0)
}

// Snapshot is what is known at one moment.
type Snapshot struct {
	// Configuration is nil until the operator's first one is known.
	Configuration *Configuration
	Targets       map[string]*Target
	// Pools lists the targets of each pool, ordered by ID.
	Pools map[string][]*Target
	// DomainsOut are failure domains that get no new work.
	DomainsOut map[string]bool
	// LeavingSince tells when a target was first seen to leave.
	LeavingSince map[string]clock.Instant
}

// ownerLeaveTime is how long a leaving owner still gets requests for its keys, which move meanwhile. Targets that leave must
// get nothing 2 s after the store knows; a VM that the coordinator doesn't inform learns it up to 1.5 s late.
const ownerLeaveTime = 400 * time.Millisecond

// Serves tells whether an owner may get requests for its keys.
func (s *Snapshot) Serves(t *Target, now clock.Instant) bool {
	if s.DomainsOut[t.Domain] {
		return false
	}
	return !t.Draining || now.Sub(s.LeavingSince[t.ID]) < ownerLeaveTime
}

// NewSnapshot groups the targets by pool.
func NewSnapshot(c *Configuration, targets []*Target, domainsOut map[string]bool) *Snapshot {
	s := &Snapshot{Configuration: c, Targets: map[string]*Target{}, Pools: map[string][]*Target{}, DomainsOut: domainsOut}
	for _, t := range targets {
		s.Targets[t.ID] = t
		s.Pools[t.Pool] = append(s.Pools[t.Pool], t)
	}
	for _, list := range s.Pools {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// Open tells whether a target may get new work: it isn't leaving and its failure domain is in service.
func (s *Snapshot) Open(t *Target) bool {
	return !t.Draining && !s.DomainsOut[t.Domain]
}
