package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/bronzelever/bronzelever/pkg/wire"
)

// CellState tells whether a version is in force in a cell.
type CellState struct {
	Cell    string `json:"cell"`
	InForce bool   `json:"in_force"`
	// Reason is empty if the version is in force.
	Reason string `json:"reason,omitempty"`
}

// WaitInForce waits until the version, or a later one, is in force on every router of the cells, or AcceptTimeout has
// passed.
func (o *Operator) WaitInForce(ctx context.Context, version uint64, cells []string) []CellState {
	ctx, cancel := context.WithTimeout(ctx, o.o.AcceptTimeout)
	defer cancel()
	for {
		states := o.inForce(ctx, version, cells)
		if len(notInForce(states)) == 0 || !o.pause(ctx) {
			return states
		}
	}
}

// inForce looks at all cells at once.
func (o *Operator) inForce(ctx context.Context, version uint64, cells []string) []CellState {
	states := make([]CellState, len(cells))
	var wait sync.WaitGroup
	for i, cell := range cells {
		wait.Go(func() {
			reason := o.notInForceReason(ctx, version, cell)
			states[i] = CellState{Cell: cell, InForce: reason == "", Reason: reason}
		})
	}
	wait.Wait()
	return states
}

// notInForceReason returns "" if the version is in force in the cell.
func (o *Operator) notInForceReason(ctx context.Context, version uint64, cell string) string {
	i := slices.IndexFunc(o.o.Cells, func(c Cell) bool { return c.Name == cell })
	if i < 0 {
		return "no controller of this cell is configured"
	}
	status, err := o.active(ctx, o.o.Cells[i])
	if err != nil {
		return err.Error()
	}
	if status.ConfigVersion < version {
		return fmt.Sprintf("the controller has version %d", status.ConfigVersion)
	}
	if len(status.Members) == 0 {
		// A controller that has just been elected doesn't know the routers yet.
		return "the controller has heard of no router yet"
	}
	var behind []string
	for _, m := range status.Members {
		if m.ConfigVersion < version {
			behind = append(behind, fmt.Sprintf("%s has version %d", m.Member.VM, m.ConfigVersion))
		}
	}
	return strings.Join(behind, ", ")
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
