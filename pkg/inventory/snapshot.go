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
	// Started is when this incarnation of the target started, in Unix milliseconds. A target may restart under the same ID.
	Started int64
	// Draining is set for targets that have announced that they will leave.
	Draining bool
	// WarmupLeft is the remaining warm-up time as of the registration. The state dump has it as ColdFor.
	WarmupLeft time.Duration `json:"ColdFor"`
}

// Incarnation identifies one incarnation of a target: the time between a start and the next one.
type Incarnation struct {
	Target string `msgpack:"t"`
	// Started is when the incarnation started, in Unix milliseconds.
	Started int64 `msgpack:"s"`
}

// Incarnation returns the incarnation that is registered.
func (t *Target) Incarnation() Incarnation {
	return Incarnation{Target: t.ID, Started: t.Started}
}

// EquivalentTo reports whether two registrations are equivalent for routing.
func (t *Target) EquivalentTo(other *Target) bool {
	return t.Pool == other.Pool && t.Address == other.Address && t.Domain == other.Domain && t.Slots == other.Slots &&
		t.Started == other.Started && t.Draining == other.Draining && (t.WarmupLeft > 0) == (other.WarmupLeft > 0)
}

// Snapshot is the state of the deployment as known at one moment.
type Snapshot struct {
	// Configuration is nil until the first one is known.
	Configuration *Configuration
	Targets       map[string]*Target
	// Pools lists the targets of each pool, ordered by ID.
	Pools map[string][]*Target
	// DomainsOut holds the failure domains that are out of service and get no new requests.
	DomainsOut map[string]bool
	// DrainingSince is when this VM first saw that a target is draining.
	DrainingSince map[string]clock.Instant
}

// ownerDrainGrace is how long a draining owner still gets requests for its keys while they are moved. A draining target must get
// no requests later than 2 s after the store knows; a VM that the coordinator doesn't inform learns of it up to 1.5 s late.
const ownerDrainGrace = 400 * time.Millisecond

// ServesKeys reports whether a key owner may get requests for its keys.
func (s *Snapshot) ServesKeys(t *Target, now clock.Instant) bool {
	if s.DomainsOut[t.Domain] {
		return false
	}
	return !t.Draining || now.Sub(s.DrainingSince[t.ID]) < ownerDrainGrace
}

// NewSnapshot returns a snapshot with the targets grouped by pool. Targets of a pool that the configuration doesn't name are
// omitted: their registrations may come from another writer, so they must not be taken as evidence of anything, such as who has
// an address now. While there is no configuration, all targets are listed.
func NewSnapshot(c *Configuration, targets []*Target, domainsOut map[string]bool) *Snapshot {
	s := &Snapshot{Configuration: c, Targets: map[string]*Target{}, Pools: map[string][]*Target{}, DomainsOut: domainsOut}
	for _, t := range targets {
		if c != nil && !c.HasPool(t.Pool) {
			continue
		}
		s.Targets[t.ID] = t
		s.Pools[t.Pool] = append(s.Pools[t.Pool], t)
	}
	for _, list := range s.Pools {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// Available reports whether a target may get new requests: it isn't draining and its failure domain is in service.
func (s *Snapshot) Available(t *Target) bool {
	return !t.Draining && !s.DomainsOut[t.Domain]
}
