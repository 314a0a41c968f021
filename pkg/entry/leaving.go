package entry

import (
	"slices"

	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/replica"
)

// maxLeavingIncarnations limits the recorded incarnations, which take about 50 bytes each. Incarnations that are no longer registered are
// removed first.
const maxLeavingIncarnations = 4096

// leavingTargets records the incarnations of targets that have reported in an answer that they are leaving. This takes
// precedence over the store, whose entry may be older, and which tells nothing while it is unavailable. Only a new incarnation
// of the target ends the state. A target can take only itself out of service this way, as it can with its registration.
type leavingTargets struct {
	incarnations map[inventory.Incarnation]bool
	// unreported are the incarnations that the other VMs haven't been told of.
	unreported []inventory.Incarnation
}

// add records a incarnation. It returns false if the incarnation is already known, or if there are too many.
func (l *leavingTargets) add(incarnation inventory.Incarnation, registered map[string]*inventory.Target) bool {
	if l.incarnations[incarnation] {
		return false
	}
	if l.incarnations == nil {
		l.incarnations = map[inventory.Incarnation]bool{}
	}
	if len(l.incarnations) >= maxLeavingIncarnations {
		l.prune(registered)
	}
	if len(l.incarnations) >= maxLeavingIncarnations {
		return false
	}
	l.incarnations[incarnation] = true
	l.unreported = append(l.unreported, incarnation)
	return true
}

// prune removes the incarnations that are no longer registered.
func (l *leavingTargets) prune(registered map[string]*inventory.Target) {
	for incarnation := range l.incarnations {
		if t := registered[incarnation.Target]; t == nil || t.Incarnation() != incarnation {
			delete(l.incarnations, incarnation)
		}
	}
}

// takeUnreported returns the incarnations that are to be reported to the other VMs, and clears the list.
func (l *leavingTargets) takeUnreported() []inventory.Incarnation {
	incarnations := l.unreported
	l.unreported = nil
	return incarnations
}

// stillRegistered returns the recorded incarnations that are registered.
func (l *leavingTargets) stillRegistered(registered map[string]*inventory.Target) []inventory.Incarnation {
	var list []inventory.Incarnation
	for incarnation := range l.incarnations {
		if t := registered[incarnation.Target]; t != nil && t.Incarnation() == incarnation {
			list = append(list, incarnation)
		}
	}
	return list
}

// markDraining returns the registered targets, with the leaving ones marked as draining.
func (l *leavingTargets) markDraining(targets []*inventory.Target) []*inventory.Target {
	if len(l.incarnations) == 0 {
		return targets
	}
	marked := slices.Clone(targets)
	for i, t := range marked {
		if !t.Draining && l.incarnations[t.Incarnation()] {
			leaving := *t
			leaving.Draining = true
			marked[i] = &leaving
		}
	}
	return marked
}

// RecordTargetLeaving implements ingress.State. It records that a target has reported in an answer that it is leaving.
func (c *Control) RecordTargetLeaving(incarnation inventory.Incarnation) {
	if s := c.Current().Snapshot; s != nil {
		if t := s.Targets[incarnation.Target]; t != nil && t.Incarnation() == incarnation && t.Draining {
			return
		}
	}
	c.post(func() { c.addLeavingTargets([]inventory.Incarnation{incarnation}) })
}

// handlePeerLeaving does the same as RecordTargetLeaving for the answer to a grant or a release.
func (c *Control) handlePeerLeaving(peer keygrant.Endpoint) {
	if t := c.registeredPeer(peer); t != nil {
		c.RecordTargetLeaving(t.Incarnation())
	}
}

// registeredPeer returns the target to which a grant or a release was sent. Such a call doesn't name the incarnation of the target; the
// address is the best available way to identify it.
func (c *Control) registeredPeer(peer keygrant.Endpoint) *inventory.Target {
	s := c.Current().Snapshot
	if s == nil {
		return nil
	}
	if t := s.Targets[peer.ID]; t != nil && t.Address == peer.Address {
		return t
	}
	return nil
}

// addLeavingTargets records leaving targets that were reported to this VM or to another one.
func (c *Control) addLeavingTargets(incarnations []inventory.Incarnation) {
	changed := false
	for _, incarnation := range incarnations {
		if !c.leavingTargets.add(incarnation, c.registered()) {
			continue
		}
		changed = true
		c.log.Emit(event.TargetLeaving, "target", incarnation.Target, "started", incarnation.Started)
	}
	if changed && c.snapshot != nil {
		c.snapshotDirty = true
		c.rebuildSnapshot()
	}
}

func (c *Control) registered() map[string]*inventory.Target {
	if c.snapshot == nil {
		return nil
	}
	return c.snapshot.Targets
}

// reportLeavingTargets reports to the coordinator which targets have told this VM that they are leaving.
func (c *Control) reportLeavingTargets() {
	if c.wasLeading || c.link == nil || len(c.leavingTargets.unreported) == 0 {
		return
	}
	c.link.SendReport(replica.Report{Leaving: c.leavingTargets.takeUnreported(), DelayMs: c.placer.delay().Milliseconds()})
}
