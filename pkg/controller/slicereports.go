package controller

import (
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// onSliceReports takes in what a gateway says about slices that changed hands there.
func (l *leadership) onSliceReports(now clock.Instant, r *router, hb *wire.Heartbeat) {
	if hb.TableVersion.Less(r.reportTable) {
		// A delayed heartbeat.
		return
	}
	r.reports = hb.Slices
	r.reportTable = hb.TableVersion
	for _, p := range l.pools {
		l.reviewReports(now, r, p)
	}
}

// reviewReports applies the reports of a router to a pool. A gateway reports the release of a lost target's slice before
// the controller has decided on the move, so that this happens after each change too.
func (l *leadership) reviewReports(now clock.Instant, r *router, p *pool) {
	for _, rep := range r.reports {
		if rep.Pool != p.name {
			continue
		}
		for _, sl := range p.slices {
			if rep.Low <= sl.Low && sl.High <= rep.High {
				l.onSliceReport(now, r, sl, rep)
			}
		}
	}
}

func (l *leadership) onSliceReport(now clock.Instant, r *router, sl *slice, rep wire.SliceReport) {
	g := l.groupOf(rep.Owner)
	if g == nil || g.state != groupHeld || g.holder != identityOf(r.member) {
		return
	}
	switch rep.State {
	case wire.SliceReleased:
		l.onSliceReleased(now, g, r, sl, rep)
	case wire.SlicePromoted:
		l.onSlicePromoted(g, sl, rep)
	}
}

// onSliceReleased notes the release by the gateway of a former owner's group. It speaks for every former owner in its
// group, because it may have promoted one of them itself. A gateway that took the group from a lost one can't speak for
// the requests of that one; they are outwaited.
//
// A release is final for the gateway's present hold of the group and the slice's epoch. The report counts only if it was
// made with the table that shows this hold, so that it isn't about an earlier one. If the gateway is replaced before the
// change is published, its successor is granted the group in the same table or a later one, and doesn't serve the slice.
func (l *leadership) onSliceReleased(now clock.Instant, g *group, r *router, sl *slice, rep wire.SliceReport) {
	if now < l.quietAt(g) || g.shown == (topology.Version{}) || r.reportTable.Less(g.shown) {
		return
	}
	if rep.Owner == sl.Owner && rep.Epoch == sl.Epoch {
		sl.idle = true
	}
	for _, f := range sl.Former {
		if slices.Contains(g.info.Targets, f.Owner) && rep.Epoch >= f.Epoch && !sl.released[f.Owner] {
			sl.released[f.Owner] = true
			l.dirty = true
		}
	}
}

// onSlicePromoted follows a promotion that a gateway has made within its group. The successor may be one that was
// recorded before the latest change of successors.
func (l *leadership) onSlicePromoted(g *group, sl *slice, rep wire.SliceReport) {
	if rep.Epoch <= sl.Epoch || rep.Epoch >= sl.Epoch+placement.EpochStep || !slices.Contains(g.info.Targets, sl.Owner) {
		return
	}
	if sl.Owner == rep.Owner {
		return
	}
	former := sl.Owner
	sl.reassign(rep.Owner, rep.Epoch)
	// The gateway serves both owners; it has ended the requests of the former one.
	sl.released[former] = true
	sl.promoted = true
	sl.open = true
	l.dirty = true
}

func (l *leadership) groupOf(target string) *group {
	for _, g := range l.groups {
		if slices.Contains(g.info.Targets, target) {
			return g
		}
	}
	return nil
}

// quietAt returns the instant from which on no request of a group's lost holder can be running.
func (l *leadership) quietAt(g *group) clock.Instant {
	if g.goneAt == 0 {
		return 0
	}
	return g.goneAt.Add(clock.WithDrift(l.residue(g.info.ID)))
}

// residue is how long requests may run at the targets of a group after its gateway has ended without a report: until the
// grant lapses at targets that check it, else until the longest deadline.
func (l *leadership) residue(id topology.GroupID) time.Duration {
	p := l.poolOf(id)
	if p == nil {
		return 0
	}
	if p.GrantsChecked {
		return lease.GrantTTL
	}
	return p.MaxDeadline.Duration()
}

// longest is the longest deadline of a group's pool.
func (l *leadership) longest(id topology.GroupID) time.Duration {
	p := l.poolOf(id)
	if p == nil {
		return 0
	}
	return p.MaxDeadline.Duration()
}

// expireFormer releases former owners by time, where no report can come; see formerGone.
func (l *leadership) expireFormer(now clock.Instant, p *pool) {
	for _, sl := range p.slices {
		for _, f := range sl.Former {
			if !sl.released[f.Owner] && l.formerGone(now, p, sl, f) {
				sl.released[f.Owner] = true
				l.dirty = true
			}
		}
	}
}

// formerGone tells whether the last request at a former owner has ended for certain:
//   - the target isn't configured any more, and the longest deadline has passed;
//   - the group's gateway was granted the group when the change was published already, so that only earlier gateways can
//     have served the former owner, and their requests have ended;
//   - the gateway has known for the longest deadline that the owner changed.
func (l *leadership) formerGone(now clock.Instant, p *pool, sl *slice, f Former) bool {
	longest := clock.WithDrift(max(p.cfg.MaxDeadline.Duration(), lease.GrantTTL))
	g := l.groupOf(f.Owner)
	if g == nil {
		return now >= l.since.Add(longest)
	}
	r := l.routers[g.holder]
	if g.state != groupHeld || r == nil || sl.fence == (topology.Version{}) || g.shown == (topology.Version{}) {
		return false
	}
	ownTerm := g.epoch >= topology.NewGroupEpoch(l.term, 0)
	if ownTerm && !g.shown.Less(sl.fence) {
		return now >= l.quietAt(g)
	}
	if r.table.Less(sl.fence) {
		return false
	}
	key := f.Owner + "@" + g.holder.vm
	if _, ok := sl.appliedAt[key]; !ok {
		sl.appliedAt[key] = now
	}
	return now >= sl.appliedAt[key].Add(longest) && now >= l.quietAt(g)
}

// noteTable records that a router knows the tables up to its version.
func (p *pool) noteTable(now clock.Instant, r *router) {
	for _, sl := range p.slices {
		if sl.known != nil && !r.table.Less(sl.fence) {
			sl.known.Accept(r.member, now)
		}
	}
}
