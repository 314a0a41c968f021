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
// Invariant: no owner is published while a former owner may execute requests, or while the assignment is neither in
// the store nor known to a majority of each roster.
type slice struct {
	SliceRecord
	// released lists the former owners that are known to have released the slice.
	released map[string]bool
	// promoted reports whether the assignment isn't in the store yet.
	promoted bool
	// ownerPublished reports whether the owner has been published. It isn't hidden again under the same epoch,
	// because its gateway would release the slice permanently.
	ownerPublished bool
	// publishedVersion is the first published table with this epoch. publishedAcks counts the routers that have it.
	publishedVersion topology.Version
	publishedAcks    *witness.Acceptance
	// ownerReleased reports whether the owner's gateway has released the slice under this epoch because it found the
	// target lost. If the target returns, the slice needs a new epoch.
	ownerReleased bool
	// appliedAt is when the gateway of a former owner was first known to have the table publishedVersion, by former
	// owner and gateway VM.
	appliedAt map[string]clock.Instant
}

func newSlice(rec SliceRecord) *slice {
	return &slice{SliceRecord: rec, released: map[string]bool{}, appliedAt: map[string]clock.Instant{}}
}

// formerReleased reports whether no former owner may execute requests.
func (sl *slice) formerReleased() bool {
	for _, f := range sl.Former {
		if !sl.released[f.Owner] {
			return false
		}
	}
	return true
}

// visibleOwner returns the owner to publish, or "" if none may be published.
func (sl *slice) visibleOwner() string {
	if sl.ownerPublished {
		return sl.Owner
	}
	if !sl.formerReleased() {
		return ""
	}
	if sl.promoted {
		if sl.publishedAcks == nil {
			return ""
		}
		if _, ok := sl.publishedAcks.MajorityAcceptedAt(); !ok {
			return ""
		}
	}
	return sl.Owner
}

// placementSlice returns the slice as input for placement.
func (sl *slice) placementSlice(pool string) topology.Slice {
	return topology.Slice{Pool: pool, Low: sl.Low, High: sl.High, Owner: sl.Owner, Epoch: sl.Epoch, Successors: sl.Successors}
}

// reassign gives the slice another owner. The current owner becomes a former owner even if it was not published,
// because an earlier controller may have published it.
func (sl *slice) reassign(owner string, epoch topology.Epoch) {
	sl.Former = appendFormer(sl.Former, FormerOwner{Owner: sl.Owner, Epoch: sl.Epoch})
	sl.Former = slices.DeleteFunc(sl.Former, func(f FormerOwner) bool { return f.Owner == owner })
	delete(sl.released, sl.Owner)
	sl.Owner = owner
	sl.Epoch = epoch
	sl.publishedVersion = topology.Version{}
	sl.publishedAcks = nil
	sl.ownerPublished = false
	sl.ownerReleased = false
	sl.appliedAt = map[string]clock.Instant{}
}

func appendFormer(all []FormerOwner, f FormerOwner) []FormerOwner {
	out := slices.DeleteFunc(slices.Clone(all), func(o FormerOwner) bool { return o.Owner == f.Owner })
	return append(out, f)
}

// inheritState copies the release and publication state of the same, unchanged assignment.
func (sl *slice) inheritState(old *slice) {
	sl.released, sl.publishedVersion, sl.publishedAcks, sl.appliedAt, sl.ownerPublished, sl.ownerReleased = old.released, old.publishedVersion, old.publishedAcks, old.appliedAt, old.ownerPublished, old.ownerReleased
}

func (sl *slice) mergePromoted(old *slice) {
	for _, f := range old.Former {
		sl.Former = appendFormer(sl.Former, f)
	}
	sl.reassign(old.Owner, max(sl.Epoch, old.Epoch)+placement.EpochStep)
	sl.promoted = true
}

// releaseFormer records that the gateway of a group has ended the requests of every former owner in the group.
func (sl *slice) releaseFormer(g *group) {
	for _, f := range sl.Former {
		if slices.Contains(g.info.Targets, f.Owner) {
			sl.released[f.Owner] = true
		}
	}
}

// adoptPublished compares the recorded assignment with one from a router's table. The same epoch means the same
// assignment. A higher epoch is a promotion, which is taken over. The owner of a lower epoch may still be running
// requests.
func (sl *slice) adoptPublished(shown topology.Slice) {
	owner := publishedOwner(shown)
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
		// The range was split or joined by a write that took effect late.
		sl.addFormer(owner, shown.Epoch)
		sl.Epoch = shown.Epoch + placement.EpochStep
		sl.promoted = true
	}
}

// publishedOwner returns the owner of a published slice, or the next owner while the slice is between owners; see
// publishSlice.
func publishedOwner(shown topology.Slice) string {
	if shown.Owner == "" && len(shown.Successors) > 0 {
		return shown.Successors[0]
	}
	return shown.Owner
}

func (sl *slice) addFormer(owner string, epoch topology.Epoch) {
	if owner == sl.Owner {
		return
	}
	sl.Former = appendFormer(sl.Former, FormerOwner{Owner: owner, Epoch: epoch})
	delete(sl.released, owner)
}
