package topology

import (
	"math"
	"testing"
)

// A lookup must find the first and the last hash of a slice, and must not return a slice of another pool.
func TestSliceLookupAtBoundaries(t *testing.T) {
	table := &Table{Slices: []Slice{
		{Pool: "a", Low: 0, High: 99, Owner: "a1"},
		{Pool: "a", Low: 100, High: math.MaxUint64, Owner: "a2"},
		{Pool: "b", Low: 0, High: math.MaxUint64, Owner: "b1"},
	}}
	cases := []struct {
		pool  string
		hash  uint64
		owner string
	}{
		{"a", 0, "a1"}, {"a", 99, "a1"}, {"a", 100, "a2"}, {"a", math.MaxUint64, "a2"}, {"b", 5, "b1"},
	}
	for _, c := range cases {
		s, ok := table.Slice(c.pool, c.hash)
		if !ok || s.Owner != c.owner {
			t.Errorf("Slice(%q, %d) = %+v, %v; want owner %q", c.pool, c.hash, s, ok, c.owner)
		}
	}
	if _, ok := table.Slice("c", 1); ok {
		t.Error("found a slice for an unknown pool")
	}
}

// Adding a cell must not move keys between the existing cells; only keys that the new cell wins may move.
func TestRendezvousMovesOnlyToNewCandidate(t *testing.T) {
	before := []WeightedCandidate{{"x", 10}, {"y", 10}}
	after := append(before, WeightedCandidate{"z", 10})
	moved := 0
	const keys = 30000
	for i := range uint64(keys) {
		hash := mix(i)
		a, b := Rendezvous(hash, before), Rendezvous(hash, after)
		if a == b {
			continue
		}
		moved++
		if b != "z" {
			t.Fatalf("hash %d moved from %s to %s, which are both existing candidates", hash, a, b)
		}
	}
	if moved < keys*30/100 || moved > keys*37/100 {
		t.Errorf("%d of %d keys moved; want about a third", moved, keys)
	}
}
