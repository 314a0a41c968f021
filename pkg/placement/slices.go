package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

const (
	// defaultSlicesPerTarget is the number of slices per target if the configuration gives none.
	defaultSlicesPerTarget = 16
	// successorCount is the number of recorded successors of a slice. An epoch is reserved for each.
	successorCount = 2
	// EpochStep is the increment of the epoch of a changed slice. It skips the epochs reserved for the successors.
	EpochStep = successorCount + 1
)

// Target is a target that can own slices.
type Target struct {
	ID     string
	Domain string
	Group  topology.GroupID
	// Available targets may receive slices: they are neither out of service, nor lost, nor leaving.
	Available bool
	// Lost targets don't respond, so their slices must move without delay.
	Lost bool
}

// Targets returns the targets of a pool in a region, in the order of the configuration.
func Targets(cfg *config.Config, pool *config.Pool, region string) []Target {
	group := map[string]topology.GroupID{}
	for _, g := range poolGroups(cfg, *pool, region) {
		for _, t := range g.Targets {
			group[t] = g.ID
		}
	}
	var targets []Target
	for _, t := range pool.Targets {
		if cfg.RegionOf(t.Domain) != region {
			continue
		}
		targets = append(targets, Target{ID: t.ID, Domain: t.Domain, Group: group[t.ID], Available: !cfg.TargetOut(t)})
	}
	return targets
}

// SliceCount returns the configured number of slices of a pool.
func SliceCount(targets []Target, perTarget int) int {
	if perTarget <= 0 {
		perTarget = defaultSlicesPerTarget
	}
	return len(targets) * perTarget
}

// InitialSlices divides the hash space of a pool into equal ranges and assigns them to the available targets in
// round-robin order. If no target is available, it uses all targets.
func InitialSlices(pool string, targets []Target, perTarget int) []topology.Slice {
	owners := available(targets)
	if len(owners) == 0 {
		owners = targets
	}
	if len(owners) == 0 {
		return nil
	}
	n := SliceCount(targets, perTarget)
	width := math.MaxUint64/uint64(n) + 1
	out := make([]topology.Slice, n)
	for i := range out {
		out[i] = topology.Slice{Pool: pool, Low: uint64(i) * width, High: uint64(i+1)*width - 1,
			Owner: owners[i%len(owners)].ID, Epoch: 1}
	}
	out[n-1].High = math.MaxUint64
	AssignSuccessors(out, targets)
	return out
}

func available(targets []Target) []Target {
	return slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return !t.Available })
}

func byID(targets []Target) map[string]Target {
	m := make(map[string]Target, len(targets))
	for _, t := range targets {
		m[t.ID] = t
	}
	return m
}

// AssignSuccessors sets the successors of every slice, spread evenly over the targets: the first in the group of the
// owner, the second in another failure domain, or any other target if there is none. Valid successors are kept. It
// reports whether anything changed.
//
// If the reserved epochs of a slice may be in use, the caller must raise its epoch when its successors change.
func AssignSuccessors(all []topology.Slice, targets []Target) bool {
	targetByID := byID(targets)
	firstCount, secondCount := map[string]int{}, map[string]int{}
	for _, s := range all {
		if len(s.Successors) == successorCount {
			firstCount[s.Successors[0]]++
			secondCount[s.Successors[1]]++
		}
	}
	changed := false
	for i := range all {
		s := &all[i]
		owner := targetByID[s.Owner]
		if validSuccessors(owner, s.Successors, targetByID, targets) {
			continue
		}
		s.Successors = pickSuccessors(owner, targets, firstCount, secondCount)
		changed = true
	}
	return changed
}

func sameGroup(owner, t Target) bool {
	return t.Available && t.ID != owner.ID && t.Group == owner.Group
}

func otherDomain(owner, t Target) bool {
	return t.Available && t.ID != owner.ID && t.Domain != owner.Domain
}

func anyOther(owner, t Target) bool {
	return t.Available && t.ID != owner.ID
}

func validSuccessors(owner Target, successors []string, targetByID map[string]Target, targets []Target) bool {
	var first, second Target
	if len(successors) > 0 {
		first = targetByID[successors[0]]
	}
	if len(successors) > 1 {
		second = targetByID[successors[1]]
	}
	firstValid := sameGroup(owner, first) ||
		!anyEligible(owner, targets, "", sameGroup) && (anyOther(owner, first) || !anyEligible(owner, targets, "", anyOther))
	secondValid := otherDomain(owner, second) ||
		!anyEligible(owner, targets, first.ID, otherDomain) && (anyOther(owner, second) || !anyEligible(owner, targets, first.ID, anyOther))
	return firstValid && secondValid && (first.ID != second.ID || first.ID == "")
}

func anyEligible(owner Target, targets []Target, excluded string, eligible func(owner, t Target) bool) bool {
	return slices.ContainsFunc(targets, func(t Target) bool { return t.ID != excluded && eligible(owner, t) })
}

func pickSuccessors(owner Target, targets []Target, firstCount, secondCount map[string]int) []string {
	var picked []string
	first := leastCounted(owner, targets, firstCount, "", sameGroup)
	if first == "" {
		first = leastCounted(owner, targets, firstCount, "", anyOther)
	}
	if first == "" {
		return nil
	}
	firstCount[first]++
	picked = append(picked, first)
	second := leastCounted(owner, targets, secondCount, first, otherDomain)
	if second == "" {
		second = leastCounted(owner, targets, secondCount, first, anyOther)
	}
	if second != "" {
		secondCount[second]++
		picked = append(picked, second)
	}
	return picked
}

func leastCounted(owner Target, targets []Target, count map[string]int, excluded string, eligible func(owner, t Target) bool) string {
	best := ""
	for _, t := range targets {
		if t.ID == excluded || !eligible(owner, t) {
			continue
		}
		if best == "" || count[t.ID] < count[best] {
			best = t.ID
		}
	}
	return best
}

// SliceMove assigns a new owner to a slice.
type SliceMove struct {
	// Low identifies the slice in its pool.
	Low uint64
	To  string
	// Successor is the index of the recorded successor that becomes the owner, or -1 for any other target.
	Successor int
}

// Evacuate returns the moves of all slices whose owner is not available: to the first available recorded successor, or
// else to the available target with the fewest slices. recordedOnly omits moves to other targets than the recorded
// successors; it is for store outages.
//
// It moves no other slices, which keeps the number of moved keys minimal.
func Evacuate(all []topology.Slice, targets []Target, recordedOnly bool) []SliceMove {
	targetByID := byID(targets)
	count := map[string]int{}
	for _, s := range all {
		count[s.Owner]++
	}
	var moves []SliceMove
	for _, s := range all {
		if targetByID[s.Owner].Available {
			continue
		}
		m, ok := evacuate(s, targetByID, targets, count, recordedOnly)
		if !ok {
			continue
		}
		count[m.To]++
		moves = append(moves, m)
	}
	return moves
}

func evacuate(s topology.Slice, targetByID map[string]Target, targets []Target, count map[string]int, recordedOnly bool) (SliceMove, bool) {
	for i, id := range s.Successors {
		if targetByID[id].Available {
			return SliceMove{Low: s.Low, To: id, Successor: i}, true
		}
	}
	if recordedOnly {
		return SliceMove{}, false
	}
	to := leastCounted(Target{ID: s.Owner}, targets, count, "", anyOther)
	return SliceMove{Low: s.Low, To: to, Successor: -1}, to != ""
}

// SortByLow sorts the slices of a pool by the start of their ranges.
func SortByLow(all []topology.Slice) {
	slices.SortFunc(all, func(a, b topology.Slice) int {
		return cmp.Compare(a.Low, b.Low)
	})
}
