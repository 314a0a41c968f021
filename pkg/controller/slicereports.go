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

// onSliceReports processes a gateway's reports of released and promoted slices.
func (l *leadership) onSliceReports(now clock.Instant, r *router, hb *wire.Heartbeat) {
	if hb.TableVersion.Less(r.reportTableVersion) {
		// A delayed heartbeat; a newer report is already known.
		return
	}
	r.reports = hb.Slices
	r.reportTableVersion = hb.TableVersion
	for _, p := range l.pools {
		l.applyReports(now, r, p)
	}
}

// applyReports applies the last reports of a router to a pool. A gateway reports the release of a lost target's slice
// before the controller has decided on the move, so the reports are applied again after each change.
func (l *leadership) applyReports(now clock.Instant, r *router, p *pool) {
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
		l.onSliceReleaseReport(now, g, r, sl, rep)
	case wire.SlicePromoted:
		l.onSlicePromotionReport(g, sl, rep)
	}
}

// onSliceReleaseReport records a release by the gateway of a former owner's group. The report covers every former
// owner in that group, because the gateway may have promoted one of them itself. A gateway that took over the group
// from a lost one doesn't know about the requests of that gateway, so reports are ignored until those have ended.
//
// A release is final for the gateway's current hold of the group and the slice's epoch. The report counts only if it
// was made with a table that shows this hold, so that it isn't about an earlier one. If the gateway is replaced
// before the change is published, its successor is granted the group in the same table or a later one, and doesn't
// serve the slice.
func (l *leadership) onSliceReleaseReport(now clock.Instant, g *group, r *router, sl *slice, rep wire.SliceReport) {
	if now < l.requestsEndedAt(g) || g.grantVersion == (topology.Version{}) || r.reportTableVersion.Less(g.grantVersion) {
		return
	}
	if rep.Owner == sl.Owner && rep.Epoch == sl.Epoch {
		sl.ownerReleased = true
	}
	for _, f := range sl.Former {
		if slices.Contains(g.info.Targets, f.Owner) && rep.Epoch >= f.Epoch && !sl.released[f.Owner] {
			sl.released[f.Owner] = true
			l.tableChanged = true
		}
	}
}

// onSlicePromotionReport adopts a promotion that a gateway has made within its group. The successor may be one that
// was recorded before the latest change of successors.
func (l *leadership) onSlicePromotionReport(g *group, sl *slice, rep wire.SliceReport) {
	if rep.Epoch <= sl.Epoch || rep.Epoch >= sl.Epoch+placement.EpochStep || !slices.Contains(g.info.Targets, sl.Owner) {
		return
	}
	if sl.Owner == rep.Owner {
		return
	}
	former := sl.Owner
	sl.reassign(rep.Owner, rep.Epoch)
	// The same gateway serves both owners and has ended the requests of the former one.
	sl.released[former] = true
	sl.promoted = true
	sl.ownerPublished = true
	l.tableChanged = true
}

func (l *leadership) groupOf(target string) *group {
	for _, g := range l.groups {
		if slices.Contains(g.info.Targets, target) {
			return g
		}
	}
	return nil
}

// requestsEndedAt returns the instant from which no request of a group's lost holder can be running.
func (l *leadership) requestsEndedAt(g *group) clock.Instant {
	if g.holderGoneAt == 0 {
		return 0
	}
	return g.holderGoneAt.Add(clock.WithDrift(l.residualRequestTime(g.info.ID)))
}

// residualRequestTime returns how long requests may run at the targets of a group after its gateway has ended without
// a report: until the grant expires at targets that check it, otherwise until the longest deadline.
func (l *leadership) residualRequestTime(id topology.GroupID) time.Duration {
	p := l.poolOf(id)
	if p == nil {
		return 0
	}
	if p.GrantsChecked {
		return lease.GrantTTL
	}
	return p.MaxDeadline.Duration()
}

// maxDeadline returns the longest deadline of a group's pool.
func (l *leadership) maxDeadline(id topology.GroupID) time.Duration {
	p := l.poolOf(id)
	if p == nil {
		return 0
	}
	return p.MaxDeadline.Duration()
}

// expireFormer releases former owners by time where no report can arrive; see formerGone.
func (l *leadership) expireFormer(now clock.Instant, p *pool) {
	for _, sl := range p.slices {
		for _, f := range sl.Former {
			if !sl.released[f.Owner] && l.formerGone(now, p, sl, f) {
				sl.released[f.Owner] = true
				l.tableChanged = true
			}
		}
	}
}

// formerGone reports whether the last request at a former owner has certainly ended:
//   - the target is no longer configured, and the longest deadline has passed since the start of the term;
//   - the group's gateway was granted the group when the change was already published, so that only earlier gateways
//     can have served the former owner, and their requests have ended; or
//   - the gateway has known of the change for the longest deadline, and the requests of earlier gateways have ended.
func (l *leadership) formerGone(now clock.Instant, p *pool, sl *slice, f FormerOwner) bool {
	longest := clock.WithDrift(max(p.cfg.MaxDeadline.Duration(), lease.GrantTTL))
	g := l.groupOf(f.Owner)
	if g == nil {
		return now >= l.since.Add(longest)
	}
	r := l.routers[g.holder]
	if g.state != groupHeld || r == nil || sl.publishedVersion == (topology.Version{}) || g.grantVersion == (topology.Version{}) {
		return false
	}
	ownTerm := g.epoch >= topology.NewGroupEpoch(l.term, 0)
	if ownTerm && !g.grantVersion.Less(sl.publishedVersion) {
		return now >= l.requestsEndedAt(g)
	}
	if r.tableVersion.Less(sl.publishedVersion) {
		return false
	}
	key := f.Owner + "@" + g.holder.vm
	if _, ok := sl.appliedAt[key]; !ok {
		sl.appliedAt[key] = now
	}
	return now >= sl.appliedAt[key].Add(longest) && now >= l.requestsEndedAt(g)
}

// recordTable counts a router as having the table versions up to the one it reports.
func (p *pool) recordTable(now clock.Instant, r *router) {
	for _, sl := range p.slices {
		if sl.publishedAcks != nil && !r.tableVersion.Less(sl.publishedVersion) {
			sl.publishedAcks.Accept(r.member, now)
		}
	}
}
