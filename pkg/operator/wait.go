package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/wire"
)

// silentAge is the time without a heartbeat after which a router's lease has certainly ended: 1.2 s, the drift of the clocks
// and the delay of the network.
const silentAge = 2 * time.Second

// CellState tells whether a version is in force in a cell.
type CellState struct {
	Cell    string `json:"cell"`
	InForce bool   `json:"in_force"`
	// Reason is empty if the version is in force.
	Reason string `json:"reason,omitempty"`
}

// WaitInForce waits until the version, or a later one, is in force on every router of the cells, or AcceptTimeout has
// passed.
//
// A router that is silent counts as cut off. It may have been serving by its lease, or by what it confirmed with other
// routers of the roster, for at most SilentWait. It is waited for that long and then no longer, provided that at least half
// of each recorded roster has the version: the others are not more than half then, and can't confirm an older version to
// each other.
func (o *Operator) WaitInForce(ctx context.Context, version uint64, cells []string) []CellState {
	ctx, cancel := context.WithTimeout(ctx, o.o.AcceptTimeout)
	defer cancel()
	watches := make([]cellWatch, len(cells))
	for i, cell := range cells {
		watches[i] = cellWatch{operator: o, version: version, cell: cell}
	}
	for {
		states := inForce(ctx, watches)
		if len(notInForce(states)) == 0 || !o.pause(ctx) {
			return states
		}
	}
}

// inForce looks at all cells at once.
func inForce(ctx context.Context, watches []cellWatch) []CellState {
	states := make([]CellState, len(watches))
	var wait sync.WaitGroup
	for i := range watches {
		wait.Go(func() {
			reason := watches[i].look(ctx)
			states[i] = CellState{Cell: watches[i].cell, InForce: reason == "", Reason: reason}
		})
	}
	wait.Wait()
	return states
}

// cellWatch waits for one cell.
type cellWatch struct {
	operator *Operator
	version  uint64
	cell     string
	// since is when only silent routers were found to lack the version; zero while others do.
	since time.Time
}

// look returns "" if the version is in force, else the reason why not.
func (c *cellWatch) look(ctx context.Context) string {
	silent, reason := c.missing(ctx)
	if reason != "" {
		c.since = time.Time{}
		return reason
	}
	if len(silent) == 0 {
		return ""
	}
	if c.since.IsZero() {
		c.since = time.Now()
	}
	if time.Since(c.since) < c.operator.o.SilentWait {
		return "waiting until the authority of silent routers has ended: " + strings.Join(silent, ", ")
	}
	return ""
}

// missing returns the silent routers that lack the version, or the reason why the version isn't in force elsewhere.
func (c *cellWatch) missing(ctx context.Context) (silent []string, reason string) {
	o := c.operator
	i := slices.IndexFunc(o.o.Cells, func(cell Cell) bool { return cell.Name == c.cell })
	if i < 0 {
		return nil, "no controller of this cell is configured"
	}
	status, err := o.active(ctx, o.o.Cells[i])
	if err != nil {
		return nil, err.Error()
	}
	if status.ConfigVersion < c.version {
		return nil, fmt.Sprintf("the controller has version %d", status.ConfigVersion)
	}
	have, silent, behind := c.sortMembers(status.Members)
	if len(behind) > 0 {
		return nil, strings.Join(behind, ", ")
	}
	rosters, err := o.rosters(ctx, c.cell)
	if err != nil {
		return nil, err.Error()
	}
	for _, roster := range rosters {
		absent, reason := absentOf(roster, have)
		if reason != "" {
			return nil, reason
		}
		silent = append(silent, absent...)
	}
	slices.Sort(silent)
	return slices.Compact(silent), ""
}

// sortMembers returns the live routers with the version, the silent ones without it, and what the other live ones have.
func (c *cellWatch) sortMembers(members []wire.MemberStatus) (have map[routerID]bool, silent, behind []string) {
	have = map[routerID]bool{}
	for _, m := range members {
		switch {
		case m.ConfigVersion >= c.version:
			have[idOf(m.Member)] = true
		case m.AgeMillis >= silentAge.Milliseconds():
			silent = append(silent, m.Member.VM)
		default:
			behind = append(behind, fmt.Sprintf("%s has version %d", m.Member.VM, m.ConfigVersion))
		}
	}
	return have, silent, behind
}

// routerID distinguishes successive processes of a VM.
type routerID struct {
	vm          string
	incarnation wire.Incarnation
}

func idOf(m wire.Member) routerID {
	return routerID{vm: m.VM, incarnation: m.Incarnation}
}

// absentOf returns the members of a roster without the version, or a reason if they could still confirm an older version.
func absentOf(roster wire.Roster, have map[routerID]bool) (absent []string, reason string) {
	for _, m := range roster.Members {
		if !have[idOf(m)] {
			absent = append(absent, m.VM)
		}
	}
	if with := len(roster.Members) - len(absent); 2*with < len(roster.Members) {
		return nil, fmt.Sprintf("only %d of %d routers of the roster have it", with, len(roster.Members))
	}
	return absent, ""
}

// termRow is what blctl reads of a cell's term row.
type termRow struct {
	Roster   wire.Roster  `json:"roster"`
	Previous *wire.Roster `json:"previous"`
}

// rosters returns the recorded rosters of a cell. An empty one means that no router has been recorded yet.
func (o *Operator) rosters(ctx context.Context, cell string) ([]wire.Roster, error) {
	if o.o.Store == nil {
		return nil, errNoStore
	}
	row, err := o.o.Store.Get(ctx, "cells/"+cell+"/term")
	if err != nil {
		return nil, fmt.Errorf("the roster can't be read: %w", err)
	}
	var term termRow
	if err := json.Unmarshal(row.Value, &term); err != nil {
		return nil, fmt.Errorf("the roster can't be decoded: %w", err)
	}
	if len(term.Roster.Members) == 0 {
		return nil, errors.New("no router is recorded yet")
	}
	rosters := []wire.Roster{term.Roster}
	if term.Previous != nil {
		rosters = append(rosters, *term.Previous)
	}
	return rosters, nil
}

// active returns the status of the cell's active controller. The candidates are asked together, since a frozen one
// answers late.
func (o *Operator) active(ctx context.Context, cell Cell) (*wire.StatusReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		status  *wire.StatusReply
		address string
		err     error
	}
	answers := make(chan answer, len(cell.Controllers))
	for _, address := range cell.Controllers {
		go func() {
			var status wire.StatusReply
			err := o.call(ctx, address, wire.TypeStatus, &wire.Status{}, wire.TypeStatusReply, &status)
			answers <- answer{status: &status, address: address, err: err}
		}()
	}
	var best *wire.StatusReply
	var failures []string
	for range cell.Controllers {
		a := <-answers
		switch {
		case a.err != nil:
			failures = append(failures, fmt.Sprintf("%s: %v", a.address, a.err))
		case a.status.Active && (best == nil || a.status.Term > best.Term):
			best = a.status
		}
	}
	if best == nil {
		return nil, fmt.Errorf("no active controller: %d of %d candidates answered%s",
			len(cell.Controllers)-len(failures), len(cell.Controllers), firstOf(failures))
	}
	return best, nil
}

func firstOf(failures []string) string {
	if len(failures) == 0 {
		return ""
	}
	slices.Sort(failures)
	return " (" + failures[0] + ")"
}

func notInForce(states []CellState) []string {
	var missing []string
	for _, s := range states {
		if !s.InForce {
			missing = append(missing, s.Cell)
		}
	}
	return missing
}
