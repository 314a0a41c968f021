package controller

import (
	"slices"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/witness"
)

// slice is the assignment of a range of key hashes.
//
// Invariant: the published owner is empty while a former owner may execute requests, or while the assignment is neither
// in the store nor known to a majority.
type slice struct {
	SliceRecord
	// released lists the former owners that are known to have released the slice.
	released map[string]bool
	// promoted tells that the assignment isn't in the store yet.
	promoted bool
	// open tells that the owner has been published. It isn't hidden again under the same epoch, because its gateway would
	// release the slice for good.
	open bool
	// fence is the first published table with this epoch. known counts who has it.
	fence topology.Version
	known *witness.Acceptance
	// idle tells that the owner's gateway has released the slice under this epoch, as of a lost target. If the target
	// comes back, it needs a new epoch.
	idle bool
	// appliedAt is when the gateway of a former owner was first known to have the table fence.
	appliedAt map[string]clock.Instant
}

func newSlice(rec SliceRecord) *slice {
	return &slice{SliceRecord: rec, released: map[string]bool{}, appliedAt: map[string]clock.Instant{}}
}

// free tells whether no former owner may execute requests.
func (sl *slice) free() bool {
	for _, f := range sl.Former {
		if !sl.released[f.Owner] {
			return false
		}
	}
	return true
}

// visible returns the owner that the table shows.
func (sl *slice) visible() string {
	if sl.open {
		return sl.Owner
	}
	if !sl.free() {
		return ""
	}
	if sl.promoted {
		if sl.known == nil {
			return ""
		}
		if _, ok := sl.known.Majority(); !ok {
			return ""
		}
	}
	return sl.Owner
}

// topology returns the slice as placement sees it.
func (sl *slice) topology(pool string) topology.Slice {
	return topology.Slice{Pool: pool, Low: sl.Low, High: sl.High, Owner: sl.Owner, Epoch: sl.Epoch, Successors: sl.Successors}
}

// reassign gives the slice another owner. The present owner becomes a former one also when it was not published, because
// an earlier controller may have published it.
func (sl *slice) reassign(owner string, epoch topology.Epoch) {
	sl.Former = addFormer(sl.Former, Former{Owner: sl.Owner, Epoch: sl.Epoch})
	sl.Former = slices.DeleteFunc(sl.Former, func(f Former) bool { return f.Owner == owner })
	delete(sl.released, sl.Owner)
	sl.Owner = owner
	sl.Epoch = epoch
	sl.fence = topology.Version{}
	sl.known = nil
	sl.open = false
	sl.idle = false
	sl.appliedAt = map[string]clock.Instant{}
}

func addFormer(all []Former, f Former) []Former {
	out := slices.DeleteFunc(slices.Clone(all), func(o Former) bool { return o.Owner == f.Owner })
	return append(out, f)
}

// inherit keeps what is known about the unchanged assignment.
func (sl *slice) inherit(o *slice) {
	sl.released, sl.fence, sl.known, sl.appliedAt, sl.open, sl.idle = o.released, o.fence, o.known, o.appliedAt, o.open, o.idle
}

func (sl *slice) keepPromoted(o *slice) {
	for _, f := range o.Former {
		sl.Former = addFormer(sl.Former, f)
	}
	sl.reassign(o.Owner, max(sl.Epoch, o.Epoch)+placement.EpochStep)
	sl.promoted = true
}

// release notes that the gateway of a group has ended the requests of every former owner in the group.
func (sl *slice) release(g *group) {
	for _, f := range sl.Former {
		if slices.Contains(g.info.Targets, f.Owner) {
			sl.released[f.Owner] = true
		}
	}
}

// adoptShown compares the recorded assignment with one that a router knew. The same epoch means the same assignment.
// A higher one is a promotion, which goes on. The owner of a lower one may still be running requests.
func (sl *slice) adoptShown(shown topology.Slice) {
	owner := shownOwner(shown)
	if shown.Epoch == sl.Epoch || owner == "" {
		return
	}
	sameRange := shown.Low == sl.Low && shown.High == sl.High
	switch {
	case shown.Epoch < sl.Epoch:
		sl.addFormer(owner, shown.Epoch)
	case sameRange:
		sl.reassign(owner, shown.Epoch)
		sl.promoted = true
	default:
		// The range was cut or joined by a write that took effect late.
		sl.addFormer(owner, shown.Epoch)
		sl.Epoch = shown.Epoch + placement.EpochStep
		sl.promoted = true
	}
}

// shownOwner returns the owner of a published slice, also while the slice is between owners; see showSlice.
func shownOwner(shown topology.Slice) string {
	if shown.Owner == "" && len(shown.Successors) > 0 {
		return shown.Successors[0]
	}
	return shown.Owner
}

func (sl *slice) addFormer(owner string, epoch topology.Epoch) {
	if owner == sl.Owner {
		return
	}
	sl.Former = addFormer(sl.Former, Former{Owner: owner, Epoch: epoch})
	delete(sl.released, owner)
}
