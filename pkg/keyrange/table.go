// Package keyrange decides which target owns which keys of a keyed pool. It does no I/O.
package keyrange

import (
	"fmt"
	"slices"
	"sort"
)

// MaxKey is the highest key.
const MaxKey = 65535

// Slice is a range of keys that have the same owner.
type Slice struct {
	// From and To are the first and the last key.
	From  int    `msgpack:"f"`
	To    int    `msgpack:"u"`
	Owner string `msgpack:"o"`
	// OwnerStarted distinguishes the incarnations of a target that restarts under the same ID.
	OwnerStarted int64 `msgpack:"b"`
	// Fence is the fencing token of the owner's grants. Targets refuse grants with lower fences.
	Fence int64 `msgpack:"e"`
	// Previous is the previous owner, which may still hold the keys as incarnation PreviousStarted with PreviousFence. It is
	// empty once the keys were granted to Owner.
	Previous        string `msgpack:"p,omitempty"`
	PreviousStarted int64  `msgpack:"pb,omitempty"`
	PreviousFence   int64  `msgpack:"pe,omitempty"`
}

// Contains reports whether the slice contains a key.
func (s *Slice) Contains(key int) bool {
	return s.From <= key && key <= s.To
}

// Width returns the number of keys in the slice.
func (s *Slice) Width() int {
	return s.To - s.From + 1
}

// Table is the assignment of all keys of one pool. The slices are sorted and cover the key space without overlap, or there are no
// slices.
type Table struct {
	Pool string `msgpack:"pool"`
	// NextFence is higher than all fences that were ever used in the pool.
	NextFence int64   `msgpack:"next"`
	Slices    []Slice `msgpack:"s"`
}

// Clone returns a copy that can be modified independently.
func (t *Table) Clone() *Table {
	c := *t
	c.Slices = slices.Clone(t.Slices)
	return &c
}

// Find returns the slice that contains a key, or nil if the table is empty.
func (t *Table) Find(key int) *Slice {
	i := sort.Search(len(t.Slices), func(i int) bool { return t.Slices[i].To >= key })
	if i == len(t.Slices) || !t.Slices[i].Contains(key) {
		return nil
	}
	return &t.Slices[i]
}

// Validate returns an error if the slices do not cover the key space exactly, or if a fence is not below NextFence.
func (t *Table) Validate() error {
	if len(t.Slices) == 0 {
		return nil
	}
	next := 0
	for _, s := range t.Slices {
		if s.From != next || s.To < s.From {
			return fmt.Errorf("pool %s: slice %d-%d does not follow key %d", t.Pool, s.From, s.To, next-1)
		}
		if s.Fence >= t.NextFence {
			return fmt.Errorf("pool %s: fence %d is not below next fence %d", t.Pool, s.Fence, t.NextFence)
		}
		next = s.To + 1
	}
	if next != MaxKey+1 {
		return fmt.Errorf("pool %s: slices end at key %d", t.Pool, next-1)
	}
	return nil
}

// ReplaceOwner assigns the slice that begins at from to another owner under a new fence. If the owner changes, the
// present one must never have been granted the keys. The previous owner stays the same.
func (t *Table) ReplaceOwner(from int, owner string, started int64) {
	s := t.Find(from)
	s.Owner, s.OwnerStarted, s.Fence = owner, started, t.NextFence
	t.NextFence++
}

// Move assigns the keys from..to to another owner under a new fence. The range must lie within one slice, and no target other than
// the owner of this slice may hold the keys.
func (t *Table) Move(from, to int, owner string, started int64) {
	i := sort.Search(len(t.Slices), func(i int) bool { return t.Slices[i].To >= from })
	old := t.Slices[i]
	moved := Slice{
		From: from, To: to, Owner: owner, OwnerStarted: started, Fence: t.NextFence,
		Previous: old.Owner, PreviousStarted: old.OwnerStarted, PreviousFence: old.Fence,
	}
	t.NextFence++
	var parts []Slice
	if old.From < from {
		left := old
		left.To = from - 1
		parts = append(parts, left)
	}
	parts = append(parts, moved)
	if to < old.To {
		right := old
		right.From = to + 1
		parts = append(parts, right)
	}
	t.Slices = slices.Replace(t.Slices, i, i+1, parts...)
}
