package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/store"
)

// Outcome is what became of a change.
type Outcome string

const (
	// Accepted means that the change is in force in every configured cell.
	Accepted Outcome = "accepted"
	// Unchanged means that the configuration in force already says so, in every configured cell.
	Unchanged Outcome = "unchanged"
	// Stored means that the change is stored and will come into force, but isn't yet everywhere.
	Stored Outcome = "stored"
	// Superseded means that the change was stored and that a later one has replaced it.
	Superseded Outcome = "superseded"
	// Invalid means that the configuration has errors; nothing was stored.
	Invalid Outcome = "invalid"
	// Conflict means that the configuration in force isn't the one that the change was based on; nothing was stored.
	Conflict Outcome = "conflict"
	// NotAccepted means that nothing was accepted, and that nothing will come into force later.
	NotAccepted Outcome = "not-accepted"
	// Pending means that the write may have taken effect or may do so later.
	Pending Outcome = "pending"
)

// PendingWrite identifies a write whose outcome is unknown.
type PendingWrite struct {
	Version  uint64         `json:"version"`
	Token    string         `json:"token"`
	Expected store.Revision `json:"expected_revision"`
}

// Result tells what became of a change.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Message is one sentence for people.
	Message string `json:"message"`
	// Version is the version that was written, or that is in force.
	Version uint64 `json:"version,omitempty"`
	// Changes are the differences to the version before.
	Changes []config.Change `json:"changes,omitempty"`
	// Others is what other operators have changed meanwhile.
	Others []Change `json:"others,omitempty"`
	// Cells says where the version is in force.
	Cells    []CellState   `json:"cells,omitempty"`
	Pending  *PendingWrite `json:"pending,omitempty"`
	Findings finding.List  `json:"-"`
}

// ApplyOptions modifies Apply.
type ApplyOptions struct {
	// Seen is the version that the change is based on. 0 takes the version of the proposed configuration, and if that is
	// 0 too, the version in force.
	Seen   uint64
	Reason string
	// ReplaceOut takes what is out of service from the proposed configuration. Otherwise what is out stays out: a file
	// written before a maintenance must not end it.
	ReplaceOut bool
	// NoWait returns as soon as the change is stored.
	NoWait bool
}

// Apply puts a configuration into force: object, then head, conditional on the version seen.
func (o *Operator) Apply(ctx context.Context, proposed *config.Config, options ApplyOptions) Result {
	if findings := proposed.Validate(); findings.Err() != nil {
		return Result{Outcome: Invalid, Message: "the configuration has errors; nothing was stored", Findings: findings}
	}
	base, err := o.Current(ctx)
	if err != nil {
		return o.refused(err)
	}
	seen := options.Seen
	if seen == 0 {
		seen = proposed.Version
	}
	if seen != 0 && seen != base.Head.Version {
		return o.conflict(ctx, seen, base.Head.Version)
	}
	next, findings := merge(base.Config, proposed, options.ReplaceOut)
	if findings.Err() != nil {
		return Result{Outcome: Invalid, Message: "nothing was stored", Findings: findings}
	}
	return o.publish(ctx, base, next, options)
}

// KeepOut returns the proposed configuration with what is out of service in the base, unless it says something about that
// itself.
func KeepOut(base, proposed *config.Config) *config.Config {
	next := proposed.Clone()
	if base == nil || outCount(proposed) > 0 {
		return next
	}
	next.Out = base.Clone().Out
	// A target or failure domain that is out may have been removed.
	return next.PruneOut()
}

func outCount(c *config.Config) int {
	return len(c.Out.Domains) + len(c.Out.VMs) + len(c.Out.Targets)
}

// merge keeps what is out of service unless it shall be replaced.
func merge(base, proposed *config.Config, replaceOut bool) (*config.Config, finding.List) {
	if base == nil || replaceOut {
		return proposed.Clone(), nil
	}
	if outCount(proposed) > 0 && len(config.DiffOut(base, proposed)) > 0 {
		return nil, finding.List{{
			Path:    "out",
			Message: "the file differs from what is out of service",
			Allowed: "an empty list, the same list, or replacing it explicitly (--replace-out)",
		}}
	}
	next := KeepOut(base, proposed)
	return next, next.Validate()
}

func (o *Operator) publish(ctx context.Context, base State, next *config.Config, options ApplyOptions) Result {
	changes := config.Diff(base.Config, next)
	if len(changes) == 0 && base.Config != nil {
		return o.unchanged(ctx, base, options)
	}
	change := Change{
		Previous: base.Head.Version,
		By:       o.o.By,
		At:       time.Now().UTC().Truncate(time.Second),
		Reason:   options.Reason,
		Token:    newToken(o.o.By),
		Changes:  changes,
	}
	write, err := o.writeObjects(ctx, base, next, change)
	if err != nil {
		return o.refused(err)
	}
	result := o.finish(ctx, write, regionsOf(base.Config, next), options.NoWait)
	result.Changes = changes
	return result
}

// finish writes the head and waits for the cells.
func (o *Operator) finish(ctx context.Context, write headWrite, cells []string, noWait bool) Result {
	verdict, err := o.writeHead(ctx, write)
	switch verdict {
	case verdictApplied:
		o.o.Log.Emit(event.OperatorStored, "version", write.version, "by", o.o.By)
		return o.await(ctx, write.version, cells, noWait)
	case verdictSuperseded:
		return superseded(write.version)
	case verdictLost:
		return o.conflictNow(ctx, write.previous)
	case verdictRefused:
		return o.refused(err)
	}
	return o.pending(write, err)
}

func (o *Operator) unchanged(ctx context.Context, base State, options ApplyOptions) Result {
	result := o.await(ctx, base.Head.Version, regionsOf(base.Config, nil), options.NoWait)
	if result.Outcome == Accepted {
		result.Outcome = Unchanged
		result.Message = fmt.Sprintf("no difference: version %d is in force in every cell", base.Head.Version)
	}
	return result
}

// await waits until the version is in force everywhere.
func (o *Operator) await(ctx context.Context, version uint64, cells []string, noWait bool) Result {
	result := Result{Outcome: Stored, Version: version}
	if noWait {
		result.Message = fmt.Sprintf("version %d is stored, not yet accepted: not waited for", version)
		return result
	}
	result.Cells = o.WaitInForce(ctx, version, cells)
	missing := notInForce(result.Cells)
	if len(missing) == 0 {
		result.Outcome = Accepted
		result.Message = fmt.Sprintf("accepted: version %d is in force in %s", version, strings.Join(cells, ", "))
		o.o.Log.Emit(event.OperatorAccepted, "version", version)
		return result
	}
	result.Message = fmt.Sprintf("version %d is stored, not yet accepted: not yet in force in %s", version, strings.Join(missing, ", "))
	o.o.Log.Emit(event.OperatorIncomplete, "version", version, "cells", strings.Join(missing, ","))
	return result
}

func (o *Operator) refused(err error) Result {
	o.o.Log.Emit(event.OperatorRefused, "error", err.Error())
	return Result{
		Outcome: NotAccepted,
		Message: fmt.Sprintf("nothing was accepted, and nothing will come into force later: %v", err),
	}
}

func (o *Operator) pending(write headWrite, err error) Result {
	o.o.Log.Emit(event.OperatorPending, "version", write.version, "error", fmt.Sprint(err))
	p := &PendingWrite{Version: write.version, Token: write.token, Expected: write.expected}
	return Result{
		Outcome: Pending,
		Version: write.version,
		Message: fmt.Sprintf("the outcome is unknown (%v): version %d may be in force, or come into force later", err, write.version),
		Pending: p,
	}
}

func superseded(version uint64) Result {
	return Result{
		Outcome: Superseded,
		Version: version,
		Message: fmt.Sprintf("version %d was stored and has been replaced by a later version", version),
	}
}

// conflict reports what has changed since the version that the operator saw.
func (o *Operator) conflict(ctx context.Context, seen, inForce uint64) Result {
	o.o.Log.Emit(event.OperatorConflict, "seen", seen, "in_force", inForce)
	result := Result{
		Outcome: Conflict,
		Version: inForce,
		Message: fmt.Sprintf("nothing was stored: the change is based on version %d, but version %d is in force", seen, inForce),
	}
	for version := inForce; version > seen; {
		change, err := o.ReadChange(ctx, version)
		if err != nil {
			result.Message += fmt.Sprintf("; what changed is not known (%v)", err)
			return result
		}
		result.Others = append(result.Others, change)
		version = change.Previous
	}
	return result
}

// conflictNow reads the version in force first.
func (o *Operator) conflictNow(ctx context.Context, seen uint64) Result {
	_, head, err := o.readHead(ctx)
	if err != nil {
		return Result{Outcome: Conflict, Message: fmt.Sprintf("nothing was stored: another operator was first; what changed is not known (%v)", err)}
	}
	return o.conflict(ctx, seen, head.Version)
}

// regionsOf returns the regions of both configurations. Cells are named after their regions.
func regionsOf(configs ...*config.Config) []string {
	var regions []string
	seen := map[string]bool{}
	for _, c := range configs {
		if c == nil {
			continue
		}
		for _, r := range c.Regions {
			if !seen[r.Name] {
				seen[r.Name] = true
				regions = append(regions, r.Name)
			}
		}
	}
	return regions
}
