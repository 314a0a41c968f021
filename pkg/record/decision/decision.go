// Package decision defines the kinds of decisions that are recorded and replayed, and the types of their inputs and results.
package decision

import (
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/record"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Kinds of decisions. They are stored in recorded files, so the meaning of a kind must not change.
const (
	AssignGroups   record.Kind = "placement.assign-groups"
	RebalanceGroup record.Kind = "placement.rebalance-group"
	InitialSlices  record.Kind = "placement.initial-slices"
	Evacuate       record.Kind = "placement.evacuate"
)

// GroupsInput is the input of AssignGroups and RebalanceGroup.
type GroupsInput struct {
	Groups  []placement.GroupLoad `json:"groups"`
	Routers []placement.Router    `json:"routers"`
}

// RebalanceDecision is the result of RebalanceGroup.
type RebalanceDecision struct {
	Move placement.GroupMove `json:"move"`
	// Found is false if no move improves the assignment sufficiently.
	Found bool `json:"found"`
}

// InitialInput is the input of InitialSlices.
type InitialInput struct {
	Pool      string             `json:"pool"`
	Targets   []placement.Target `json:"targets"`
	PerTarget int                `json:"per_target"`
}

// EvacuateInput is the input of Evacuate.
type EvacuateInput struct {
	Slices  []topology.Slice   `json:"slices"`
	Targets []placement.Target `json:"targets"`
	// RecordedOnly limits the moves to successors recorded in the slices. It is set during an outage of the store.
	RecordedOnly bool `json:"recorded_only"`
}

// Registry returns a registry of all decision functions.
func Registry() *record.Registry {
	r := record.NewRegistry()
	record.Register(r, AssignGroups, func(_ clock.Clock, in GroupsInput) []placement.GroupMove {
		return placement.AssignGroups(in.Groups, in.Routers)
	})
	record.Register(r, RebalanceGroup, func(_ clock.Clock, in GroupsInput) RebalanceDecision {
		move, found := placement.RebalanceGroup(in.Groups, in.Routers)
		return RebalanceDecision{Move: move, Found: found}
	})
	record.Register(r, InitialSlices, func(_ clock.Clock, in InitialInput) []topology.Slice {
		return placement.InitialSlices(in.Pool, in.Targets, in.PerTarget)
	})
	record.Register(r, Evacuate, func(_ clock.Clock, in EvacuateInput) []placement.SliceMove {
		return placement.Evacuate(in.Slices, in.Targets, in.RecordedOnly)
	})
	return r
}
