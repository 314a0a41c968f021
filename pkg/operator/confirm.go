package operator

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/pkg/controller"
	"github.com/bronzelever/bronzelever/pkg/store"
)

// ConfirmLost records that no router of the cell runs that its controller doesn't hear from. A controller that lost more
// than half of its cell's routers at once can't tell lost ones from ones that it is cut off from; pools whose targets don't
// check grants wait for this word. It must be true: a lost router that still runs makes a second owner.
func (o *Operator) ConfirmLost(ctx context.Context, name string) (controller.Confirmation, error) {
	var none controller.Confirmation
	if o.o.Store == nil {
		return none, trace.Wrap(errNoStore)
	}
	cell, ok := o.cell(name)
	if !ok {
		return none, trace.NotFound("cell %q is not in the operator settings", name)
	}
	status, err := o.active(ctx, cell)
	if err != nil {
		return none, trace.Wrap(err)
	}
	confirmation := controller.Confirmation{Term: status.Term}
	if status.Table != nil {
		confirmation.Sequence = status.Table.Version.Sequence
	}
	body, err := json.Marshal(confirmation)
	if err != nil {
		return none, trace.Wrap(err)
	}
	key := controller.ConfirmationKey(name)
	row, err := o.o.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return none, trace.Wrap(err, "reading %s", key)
	}
	if _, err := o.o.Store.Put(ctx, key, body, row.Revision, newToken(o.o.By)); err != nil {
		return none, trace.Wrap(err, "writing %s; nothing is confirmed for certain, repeat the command", key)
	}
	return confirmation, nil
}

func (o *Operator) cell(name string) (Cell, bool) {
	for _, c := range o.o.Cells {
		if c.Name == name {
			return c, true
		}
	}
	return Cell{}, false
}
