package entry

import (
	"slices"

	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/replica"
)

// maxLeavingLives limits the recorded lives, which take about 50 bytes each. Lives that are no longer registered are
// removed first.
const maxLeavingLives = 4096

// leavingTargets records the lives of targets that have reported in an answer that they are leaving. This takes
// precedence over the store, whose entry may be older, and which tells nothing while it is unavailable. Only a new life
// of the target ends the state. A target can take only itself out of service this way, as it can with its registration.
type leavingTargets struct {
	lives map[inventory.Incarnation]bool
	// unreported are the lives that the other VMs haven't been told of.
	unreported []inventory.Incarnation
}

// add records a life. It returns false if the life is already known, or if there are too many.
func (l *leavingTargets) add(life inventory.Incarnation, registered map[string]*inventory.Target) bool {
	if l.lives[life] {
		return false
	}
	if l.lives == nil {
		l.lives = map[inventory.Incarnation]bool{}
	}
	if len(l.lives) >= maxLeavingLives {
		l.prune(registered)
	}
	if len(l.lives) >= maxLeavingLives {
		return false
	}
	l.lives[life] = true
	l.unreported = append(l.unreported, life)
	return true
}

// prune removes the lives that are no longer registered.
func (l *leavingTargets) prune(registered map[string]*inventory.Target) {
	for life := range l.lives {
		if t := registered[life.Target]; t == nil || t.Incarnation() != life {
			delete(l.lives, life)
		}
	}
}

// takeUnreported returns the lives that are to be reported to the other VMs, and clears the list.
func (l *leavingTargets) takeUnreported() []inventory.Incarnation {
	lives := l.unreported
	l.unreported = nil
	return lives
}

// stillRegistered returns the recorded lives that are registered.
func (l *leavingTargets) stillRegistered(registered map[string]*inventory.Target) []inventory.Incarnation {
	var list []inventory.Incarnation
	for life := range l.lives {
		if t := registered[life.Target]; t != nil && t.Incarnation() == life {
			list = append(list, life)
		}
	}
	return list
}

// markDraining returns the registered targets, with the leaving ones marked as draining.
func (l *leavingTargets) markDraining(targets []*inventory.Target) []*inventory.Target {
	if len(l.lives) == 0 {
		return targets
	}
	marked := slices.Clone(targets)
	for i, t := range marked {
		if !t.Draining && l.lives[t.Incarnation()] {
			leaving := *t
			leaving.Draining = true
			marked[i] = &leaving
		}
	}
	return marked
}

// RecordTargetLeaving implements ingress.Knowledge. It records that a target has reported in an answer that it is leaving.
func (c *Control) RecordTargetLeaving(life inventory.Incarnation) {
	if s := c.Current().Snapshot; s != nil {
		if t := s.Targets[life.Target]; t != nil && t.Incarnation() == life && t.Draining {
			return
		}
	}
	c.post(func() { c.addLeavingTargets([]inventory.Incarnation{life}) })
}

// handlePeerLeaving does the same as TargetLeaves for the answer to a grant or a release. Such a call doesn't name the
// life of the target; the address is the best available way to identify it.
func (c *Control) handlePeerLeaving(peer keygrant.Endpoint) {
	s := c.Current().Snapshot
	if s == nil {
		return
	}
	if t := s.Targets[peer.ID]; t != nil && t.Address == peer.Address {
		c.RecordTargetLeaving(t.Incarnation())
	}
}

// addLeavingTargets records leaving targets that were reported to this VM or to another one.
func (c *Control) addLeavingTargets(lives []inventory.Incarnation) {
	changed := false
	for _, life := range lives {
		if !c.leavingTargets.add(life, c.registered()) {
			continue
		}
		changed = true
		c.log.Emit(event.TargetLeaving, "target", life.Target, "started", life.Started)
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
