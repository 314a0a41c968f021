// Package topology describes the assignments within a cell: the gateway of each target group, and the owner of each slice of
// a keyed pool. A table is an immutable snapshot; tables are ordered by version.
package topology

import (
	"fmt"
	"sort"
	"strings"
)

// MaxGroupTargets is the maximum number of targets in a group.
const MaxGroupTargets = 8

// Version orders the tables of a cell, first by the controller's term, then by the sequence number within the term.
type Version struct {
	Term     uint64 `msgpack:"term" json:"term"`
	Sequence uint64 `msgpack:"seq" json:"seq"`
}

// Less reports whether v is older than o.
func (v Version) Less(o Version) bool {
	if v.Term != o.Term {
		return v.Term < o.Term
	}
	return v.Sequence < o.Sequence
}

// String implements fmt.Stringer.
func (v Version) String() string {
	return fmt.Sprintf("%d.%d", v.Term, v.Sequence)
}

// GroupID identifies a target group. Its form is pool/domain/index.
type GroupID string

// NewGroupID returns the ID of the group with the given index in a pool and failure domain.
func NewGroupID(pool, domain string, index int) GroupID {
	return GroupID(fmt.Sprintf("%s/%s/%d", pool, domain, index))
}

// Pool returns the name of the pool.
func (g GroupID) Pool() string {
	pool, _, _ := strings.Cut(string(g), "/")
	return pool
}

// Domain returns the name of the failure domain.
func (g GroupID) Domain() string {
	_, rest, _ := strings.Cut(string(g), "/")
	domain, _, _ := strings.Cut(rest, "/")
	return domain
}

// Epoch is the fencing token of a gateway that holds a group or of a target that owns a slice; a higher epoch invalidates all
// lower ones.
type Epoch uint64

// NewGroupEpoch returns the epoch with the term in its high 32 bits and a counter within the term in its low 32 bits.
func NewGroupEpoch(term, counter uint64) Epoch {
	return Epoch(term<<32 | counter&0xffffffff)
}

// Group is a target group and its gateway.
type Group struct {
	ID GroupID `msgpack:"id" json:"id"`
	// Targets are the IDs of the targets.
	Targets []string `msgpack:"targets" json:"targets"`
	// Gateway is the VM that holds the group; empty if there is none.
	Gateway string `msgpack:"gw" json:"gateway"`
	// GatewayAddress is the gateway's peer address, host:port.
	GatewayAddress string `msgpack:"addr" json:"gateway_address"`
	// GatewayIncarnation identifies the gateway process that the group was granted to. A restarted process on the same VM
	// doesn't hold the group.
	GatewayIncarnation uint64 `msgpack:"inc" json:"gateway_incarnation"`
	// Clean reports whether no request sent by an earlier gateway can still be running: every earlier gateway has reported its
	// release, or the longest deadline has passed. The gateway then doesn't have to wait for the longest deadline.
	Clean bool  `msgpack:"clean" json:"clean"`
	Epoch Epoch `msgpack:"epoch" json:"epoch"`
}

// Slice is a range of key hashes in a pool, with a single owner.
type Slice struct {
	Pool string `msgpack:"pool" json:"pool"`
	// Low and High are the inclusive bounds of the range.
	Low  uint64 `msgpack:"lo" json:"low"`
	High uint64 `msgpack:"hi" json:"high"`
	// Owner is the ID of the target that owns the keys; empty while the slice has no owner.
	Owner string `msgpack:"owner" json:"owner"`
	Epoch Epoch  `msgpack:"epoch" json:"epoch"`
	// Successors are the targets that may take over without a write to the store, in order; Successors[i] has the reserved
	// epoch Epoch+1+i. The first is in the owner's group if possible, the second in another failure domain.
	Successors []string `msgpack:"succ" json:"successors"`
}

// Contains reports whether the slice covers a key hash.
func (s Slice) Contains(hash uint64) bool {
	return s.Low <= hash && hash <= s.High
}

// Table is a snapshot of a cell's assignments.
type Table struct {
	Cell    string  `msgpack:"cell" json:"cell"`
	Version Version `msgpack:"version" json:"version"`
	// Groups are sorted by ID.
	Groups []Group `msgpack:"groups" json:"groups"`
	// Slices are sorted by pool, then by Low. The ranges of a pool cover the whole hash space without overlap.
	Slices []Slice `msgpack:"slices" json:"slices"`
}

// Sort sorts groups and slices into their canonical order.
func (t *Table) Sort() {
	sort.Slice(t.Groups, func(i, j int) bool {
		return t.Groups[i].ID < t.Groups[j].ID
	})
	sort.Slice(t.Slices, func(i, j int) bool {
		a, b := t.Slices[i], t.Slices[j]
		if a.Pool != b.Pool {
			return a.Pool < b.Pool
		}
		return a.Low < b.Low
	})
}

// Group returns the group with the given ID.
func (t *Table) Group(id GroupID) (*Group, bool) {
	i := sort.Search(len(t.Groups), func(i int) bool {
		return t.Groups[i].ID >= id
	})
	if i == len(t.Groups) || t.Groups[i].ID != id {
		return nil, false
	}
	return &t.Groups[i], true
}

// GroupOfTarget returns the group that contains the given target.
func (t *Table) GroupOfTarget(target string) (*Group, bool) {
	for i := range t.Groups {
		for _, id := range t.Groups[i].Targets {
			if id == target {
				return &t.Groups[i], true
			}
		}
	}
	return nil, false
}

// Slice returns the slice of a pool that covers a key hash.
func (t *Table) Slice(pool string, hash uint64) (*Slice, bool) {
	i := sort.Search(len(t.Slices), func(i int) bool {
		s := &t.Slices[i]
		return s.Pool > pool || s.Pool == pool && s.High >= hash
	})
	if i == len(t.Slices) || t.Slices[i].Pool != pool || !t.Slices[i].Contains(hash) {
		return nil, false
	}
	return &t.Slices[i], true
}
