package operator

import (
	"encoding/json"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/controller"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Guards against a confirmation that names another term or table than the controller that waits for it, and against one
// that is reported although it was not written.
func TestConfirmLostNamesThePresentTerm(t *testing.T) {
	f := newFixture(t)
	const cell = "litoral-norte"
	f.cells.table["litoral"] = &topology.Table{Version: topology.Version{Term: 3, Sequence: 17}}
	got, err := f.operator.ConfirmLost(t.Context(), cell)
	if err != nil {
		t.Fatal(err)
	}
	want := controller.Confirmation{Term: 3, Sequence: 17}
	row, err := f.store.Get(t.Context(), controller.ConfirmationKey(cell))
	if err != nil {
		t.Fatal(err)
	}
	var stored controller.Confirmation
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		t.Fatal(err)
	}
	if got != want || stored != want {
		t.Errorf("told %+v, stored %+v, want %+v", got, stored, want)
	}
	f.store.SetDown(true)
	if _, err := f.operator.ConfirmLost(t.Context(), cell); err == nil {
		t.Error("a confirmation was reported while the store was down")
	}
	if _, err := f.operator.ConfirmLost(t.Context(), "unknown"); err == nil {
		t.Error("an unknown cell was confirmed")
	}
}
