package entry

import (
	"slices"

	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/replica"
)

// maxLeavers bounds the lives that are known to leave, about 50 bytes each. Those that are no longer registered go first.
const maxLeavers = 4096

// leavers are the lives of targets that have said in an answer that they leave. They leave whatever the store says: its entry may be
// older, and while it is away nothing else tells. Only a new life ends that. A target can take nobody but itself out this way, as it
// can with its registration.
type leavers struct {
	lives map[inventory.Life]bool
	// news are those that the other VMs haven't been told of.
	news []inventory.Life
}

// add notes a life. It returns false if that is known.
func (l *leavers) add(life inventory.Life, registered map[string]*inventory.Target) bool {
	if l.lives[life] {
		return false
	}
	if l.lives == nil {
		l.lives = map[inventory.Life]bool{}
	}
	if len(l.lives) >= maxLeavers {
		l.prune(registered)
	}
	if len(l.lives) >= maxLeavers {
		return false
	}
	l.lives[life] = true
	l.news = append(l.news, life)
	return true
}

// prune drops the lives that are no longer registered.
func (l *leavers) prune(registered map[string]*inventory.Target) {
	for life := range l.lives {
		if t := registered[life.Target]; t == nil || t.Life() != life {
			delete(l.lives, life)
		}
	}
}

// takeNews returns the lives that the other VMs are to be told of.
func (l *leavers) takeNews() []inventory.Life {
	news := l.news
	l.news = nil
	return news
}

// all returns all lives that are registered.
func (l *leavers) all(registered map[string]*inventory.Target) []inventory.Life {
	var list []inventory.Life
	for life := range l.lives {
		if t := registered[life.Target]; t != nil && t.Life() == life {
			list = append(list, life)
		}
	}
	return list
}

// apply returns the registered targets with those that leave marked so.
func (l *leavers) apply(targets []*inventory.Target) []*inventory.Target {
	if len(l.lives) == 0 {
		return targets
	}
	marked := slices.Clone(targets)
	for i, t := range marked {
		if !t.Draining && l.lives[t.Life()] {
			leaving := *t
			leaving.Draining = true
			marked[i] = &leaving
		}
	}
	return marked
}

// TargetLeaves notes that an answer of a target says that it leaves.
func (c *Control) TargetLeaves(life inventory.Life) {
	if s := c.Current().Snapshot; s != nil {
		if t := s.Targets[life.Target]; t != nil && t.Life() == life && t.Draining {
			return
		}
	}
	c.post(func() { c.noteLeavers([]inventory.Life{life}) })
}

// peerLeaves is TargetLeaves for the answer to a grant or a release. The target's address tells its lives apart as well as can be.
func (c *Control) peerLeaves(peer keygrant.Peer) {
	s := c.Current().Snapshot
	if s == nil {
		return
	}
	if t := s.Targets[peer.ID]; t != nil && t.Address == peer.Address {
		c.TargetLeaves(t.Life())
	}
}

// noteLeavers takes in what this VM or another one has heard from targets.
func (c *Control) noteLeavers(lives []inventory.Life) {
	changed := false
	for _, life := range lives {
		if !c.leavers.add(life, c.registered()) {
			continue
		}
		changed = true
		c.log.Emit(event.TargetLeaves, "target", life.Target, "started", life.Started)
	}
	if changed && c.snapshot != nil {
		c.remake = true
		c.rebuild()
	}
}

func (c *Control) registered() map[string]*inventory.Target {
	if c.snapshot == nil {
		return nil
	}
	return c.snapshot.Targets
}

// tellLeavers tells the coordinator what this VM has heard from targets.
func (c *Control) tellLeavers() {
	if c.wasLeading || c.link == nil || len(c.leavers.news) == 0 {
		return
	}
	c.link.Report(replica.Report{Leaving: c.leavers.takeNews(), DelayMs: c.placer.delay().Milliseconds()})
}
