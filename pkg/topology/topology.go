// Package topology describes who serves what in a cell: target groups with their gateways, and slices of keyed pools
// with their owners. Tables are immutable snapshots ordered by version.
package topology

import (
	"fmt"
	"sort"
	"strings"
)

// MaxGroupTargets bounds the targets of a group.
const MaxGroupTargets = 8

// Version orders the tables of one cell: first by the controller's term, then by sequence.
type Version struct {
	Term     uint64 `msgpack:"term" json:"term"`
	Sequence uint64 `msgpack:"seq" json:"seq"`
}

// Less tells whether v is older than o.
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

// GroupID names a target group: pool/domain/index.
type GroupID string

// NewGroupID builds a group ID.
func NewGroupID(pool, domain string, index int) GroupID {
	return GroupID(fmt.Sprintf("%s/%s/%d", pool, domain, index))
}

// Pool returns the pool part.
func (g GroupID) Pool() string {
	pool, _, _ := strings.Cut(string(g), "/")
	return pool
}

// Domain returns the failure domain part.
func (g GroupID) Domain() string {
	_, rest, _ := strings.Cut(string(g), "/")
	domain, _, _ := strings.Cut(rest, "/")
	return domain
}

// Epoch orders the holders of a group or the owners of a slice; a higher epoch excludes lower ones.
type Epoch uint64

// NewGroupEpoch combines a term and a counter within the term.
func NewGroupEpoch(term, counter uint64) Epoch {
	return Epoch(term<<32 | counter&0xffffffff)
}

// Group is a target group and its gateway.
type Group struct {
	ID GroupID `msgpack:"id" json:"id"`
	// Targets are target IDs.
	Targets []string `msgpack:"targets" json:"targets"`
	// Gateway is the VM that holds the group; empty while nobody does.
	Gateway string `msgpack:"gw" json:"gateway"`
	// GatewayAddress is the gateway's peer address, host:port.
	GatewayAddress string `msgpack:"addr" json:"gateway_address"`
	// GatewayIncarnation is the process of the gateway that the group was granted to. A restarted process of the same VM
	// doesn't hold the group.
	GatewayIncarnation uint64 `msgpack:"inc" json:"gateway_incarnation"`
	// Clean tells that no request of an earlier gateway can be running, so that the gateway needn't wait for the longest
	// deadline: every earlier one has reported its release, or the deadline has passed.
	Clean bool  `msgpack:"clean" json:"clean"`
	Epoch Epoch `msgpack:"epoch" json:"epoch"`
}

// Slice is a range of key hashes with one owner.
type Slice struct {
	Pool string `msgpack:"pool" json:"pool"`
	// Low and High are inclusive.
	Low  uint64 `msgpack:"lo" json:"low"`
	High uint64 `msgpack:"hi" json:"high"`
	// Owner is the target that owns the keys; empty while the slice is between owners.
	Owner string `msgpack:"owner" json:"owner"`
	Epoch Epoch  `msgpack:"epoch" json:"epoch"`
	// Successors take over without a store write, the i-th with the reserved epoch Epoch+1+i. The first is in the owner's
	// group where possible, the second in another failure domain.
	Successors []string `msgpack:"succ" json:"successors"`
}

// Contains tells whether the slice covers a key hash.
func (s Slice) Contains(hash uint64) bool {
	return s.Low <= hash && hash <= s.High
}

// Table is a snapshot of one cell.
type Table struct {
	Cell    string  `msgpack:"cell" json:"cell"`
	Version Version `msgpack:"version" json:"version"`
	// Groups are sorted by ID.
	Groups []Group `msgpack:"groups" json:"groups"`
	// Slices are sorted by pool, then by Low; the ranges of a pool cover the hash space without overlap.
	Slices []Slice `msgpack:"slices" json:"slices"`
}

// Sort puts groups and slices in their canonical order.
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

// GroupOfTarget returns the group that contains a target.
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
