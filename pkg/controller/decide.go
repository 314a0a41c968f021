package controller

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/record"
	"github.com/bronzelever/bronzelever/pkg/record/decision"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// initialGrantDelay is how long a new controller of a cell without held groups waits for routers before the first
// grants. Without it, the first router that reported got every group, and each later move interrupted the group's
// requests.
const initialGrantDelay = 500 * time.Millisecond

// Recorder records decisions with their inputs for replay.
type Recorder interface {
	Record(kind record.Kind, at clock.Instant, input, decision any)
}

func (s *State) recordDecision(kind record.Kind, now clock.Instant, input, decided any) {
	if s.options.Recorder != nil {
		s.options.Recorder.Record(kind, now, input, decided)
	}
}

// assignGroups chooses routers for the free groups.
func (l *leadership) assignGroups(now clock.Instant) []placement.GroupMove {
	if now.Sub(l.since) < initialGrantDelay && !l.anyHeld() {
		return nil
	}
	in := decision.GroupsInput{Groups: l.groupLoads(), Routers: l.eligibleRouters(now)}
	moves := placement.AssignGroups(in.Groups, in.Routers)
	if len(moves) > 0 {
		l.s.recordDecision(decision.AssignGroups, now, in, moves)
	}
	return moves
}

func (l *leadership) anyHeld() bool {
	for _, g := range l.groups {
		if g.state != groupFree {
			return true
		}
	}
	return false
}

// rebalanceGroup chooses one held group to move, if a move improves the placement.
func (l *leadership) rebalanceGroup(now clock.Instant) (placement.GroupMove, bool) {
	in := decision.GroupsInput{Groups: l.groupLoads(), Routers: l.eligibleRouters(now)}
	move, found := placement.RebalanceGroup(in.Groups, in.Routers)
	if found {
		l.s.recordDecision(decision.RebalanceGroup, now, in, decision.RebalanceDecision{Move: move, Found: found})
	}
	return move, found
}

// initialSlices partitions the hash space of a pool that has no record yet.
func (l *leadership) initialSlices(now clock.Instant, p *pool) []topology.Slice {
	in := decision.InitialInput{
		Pool:      p.name,
		Targets:   placement.Targets(l.s.cfg, p.cfg, l.s.options.Region),
		PerTarget: p.cfg.SlicesPerTarget,
	}
	cut := placement.InitialSlices(in.Pool, in.Targets, in.PerTarget)
	l.s.recordDecision(decision.InitialSlices, now, in, cut)
	return cut
}

// evacuate chooses new owners for the slices of lost, leaving or removed owners.
func (l *leadership) evacuate(now clock.Instant, p *pool, targets []placement.Target, recordedOnly bool) []placement.SliceMove {
	in := decision.EvacuateInput{Slices: p.placementSlices(), Targets: targets, RecordedOnly: recordedOnly}
	moves := placement.Evacuate(in.Slices, in.Targets, in.RecordedOnly)
	if len(moves) > 0 {
		l.s.recordDecision(decision.Evacuate, now, in, moves)
	}
	return moves
}
