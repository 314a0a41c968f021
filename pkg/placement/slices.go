package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

const (
	// defaultSlicesPerTarget applies where the configuration gives no number.
	defaultSlicesPerTarget = 16
	// successorCount is the number of recorded successors; their epochs are reserved.
	successorCount = 2
	// EpochStep leaves room for the reserved epochs of the successors.
	EpochStep = successorCount + 1
)

// Target is a possible owner.
type Target struct {
	ID     string
	Domain string
	Group  topology.GroupID
	// Available targets may receive slices: neither out, nor lost, nor leaving.
	Available bool
	// Lost targets don't answer, so that their slices can't wait.
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

// SliceCount is the configured number of slices of a pool.
func SliceCount(targets []Target, perTarget int) int {
	if perTarget <= 0 {
		perTarget = defaultSlicesPerTarget
	}
	return len(targets) * perTarget
}

// InitialSlices cuts the hash space of a pool into equal ranges and deals them to the available targets in turn.
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

// AssignSuccessors fills in the successors of every slice: the first in the owner's group, the second in another failure
// domain, spread evenly. Valid successors are kept. It returns whether anything changed.
//
// The caller must not change the successors of a slice whose reserved epochs may be in use without raising its epoch.
func AssignSuccessors(all []topology.Slice, targets []Target) bool {
	known := byID(targets)
	first, second := map[string]int{}, map[string]int{}
	for _, s := range all {
		if len(s.Successors) == successorCount {
			first[s.Successors[0]]++
			second[s.Successors[1]]++
		}
	}
	changed := false
	for i := range all {
		s := &all[i]
		owner := known[s.Owner]
		if validSuccessors(owner, s.Successors, known, targets) {
			continue
		}
		s.Successors = pickSuccessors(owner, targets, first, second)
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

func validSuccessors(owner Target, successors []string, known map[string]Target, targets []Target) bool {
	var a, b Target
	if len(successors) > 0 {
		a = known[successors[0]]
	}
	if len(successors) > 1 {
		b = known[successors[1]]
	}
	okA := sameGroup(owner, a) ||
		!exists(owner, targets, "", sameGroup) && (anyOther(owner, a) || !exists(owner, targets, "", anyOther))
	okB := otherDomain(owner, b) ||
		!exists(owner, targets, a.ID, otherDomain) && (anyOther(owner, b) || !exists(owner, targets, a.ID, anyOther))
	return okA && okB && (a.ID != b.ID || a.ID == "")
}

func exists(owner Target, targets []Target, not string, eligible func(owner, t Target) bool) bool {
	return slices.ContainsFunc(targets, func(t Target) bool { return t.ID != not && eligible(owner, t) })
}

func pickSuccessors(owner Target, targets []Target, first, second map[string]int) []string {
	var picked []string
	a := least(owner, targets, first, "", sameGroup)
	if a == "" {
		a = least(owner, targets, first, "", anyOther)
	}
	if a == "" {
		return nil
	}
	first[a]++
	picked = append(picked, a)
	b := least(owner, targets, second, a, otherDomain)
	if b == "" {
		b = least(owner, targets, second, a, anyOther)
	}
	if b != "" {
		second[b]++
		picked = append(picked, b)
	}
	return picked
}

func least(owner Target, targets []Target, count map[string]int, not string, eligible func(owner, t Target) bool) string {
	best := ""
	for _, t := range targets {
		if t.ID == not || !eligible(owner, t) {
			continue
		}
		if best == "" || count[t.ID] < count[best] {
			best = t.ID
		}
	}
	return best
}

// SliceMove gives a slice a new owner.
type SliceMove struct {
	// Low identifies the slice in its pool.
	Low uint64
	To  string
	// Successor is the index of the recorded successor that takes over, -1 for any other target.
	Successor int
}

// Evacuate returns the moves of all slices whose owner is not available: to the first available recorded successor, else
// to the target with the fewest slices. recordedOnly leaves out the latter, for the time of a store outage.
//
// It moves nothing else, so that it moves the least number of keys possible.
func Evacuate(all []topology.Slice, targets []Target, recordedOnly bool) []SliceMove {
	known := byID(targets)
	count := map[string]int{}
	for _, s := range all {
		count[s.Owner]++
	}
	var moves []SliceMove
	for _, s := range all {
		if known[s.Owner].Available {
			continue
		}
		m, ok := evacuate(s, known, targets, count, recordedOnly)
		if !ok {
			continue
		}
		count[m.To]++
		moves = append(moves, m)
	}
	return moves
}

func evacuate(s topology.Slice, known map[string]Target, targets []Target, count map[string]int, recordedOnly bool) (SliceMove, bool) {
	for i, id := range s.Successors {
		if known[id].Available {
			return SliceMove{Low: s.Low, To: id, Successor: i}, true
		}
	}
	if recordedOnly {
		return SliceMove{}, false
	}
	to := least(Target{ID: s.Owner}, targets, count, "", anyOther)
	return SliceMove{Low: s.Low, To: to, Successor: -1}, to != ""
}

// SortByLow puts the slices of a pool in the order of their ranges.
func SortByLow(all []topology.Slice) {
	slices.SortFunc(all, func(a, b topology.Slice) int {
		return cmp.Compare(a.Low, b.Low)
	})
}
