package entry

import (
	"testing"

	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// incarnationsDecoder uses the first byte of a row's value as the start of its target's incarnation.
type incarnationsDecoder struct{ rowDecoder }

func (incarnationsDecoder) Target(r rowstore.Row) (*inventory.Target, error) {
	return &inventory.Target{ID: r.Key, Address: "10.0.0.1:1", Started: int64(r.Value[0])}, nil
}

// register makes a control read registrations of t1 and t2 that don't say that the targets are leaving.
func register(c *Control, version uint64, started byte) {
	c.handlePage("servers", rowstore.TableSnapshot{Version: version, Rows: []rowstore.Row{
		{Table: "servers", Key: "t1", Version: version, Value: []byte{started}},
		{Table: "servers", Key: "t2", Version: version, Value: []byte{1}},
	}}, nil, c.clock.Now())
}

func acceptsNewWork(c *Control, id string) bool {
	s := c.Current().Snapshot
	return s.Available(s.Targets[id])
}

// runPostedEvents runs the events that were posted to a control.
func runPostedEvents(c *Control) {
	for len(c.events) > 0 {
		(<-c.events)()
	}
}

// A target that has reported in an answer that it is leaving must get no new work: before the store shows it, while the
// store is unavailable, and after a newer registration of the same incarnation that still says "ready". Its next incarnation must get
// work immediately.
func TestLeavingAnswerStopsNewWork(t *testing.T) {
	c := testControl(t, "a")
	c.decoder = incarnationsDecoder{}
	register(c, 1, 1)
	c.RecordTargetLeaving(inventory.Incarnation{Target: "t1", Started: 1})
	runPostedEvents(c)
	if acceptsNewWork(c, "t1") || !acceptsNewWork(c, "t2") {
		t.Error("the leaving target gets new work, or another target gets none")
	}
	register(c, 2, 1)
	if acceptsNewWork(c, "t1") {
		t.Error("a newer registration of the same incarnation clears the leaving state")
	}
	c.RecordTargetLeaving(inventory.Incarnation{Target: "t1", Started: 1})
	if len(c.events) > 0 {
		t.Error("a repeated answer of a leaving target posts another event")
	}
	register(c, 3, 2)
	if !acceptsNewWork(c, "t1") {
		t.Error("the next incarnation of the target gets no work")
	}
	c.addLeavingTargets([]inventory.Incarnation{{Target: "t1", Started: 1}})
	if !acceptsNewWork(c, "t1") {
		t.Error("a late report about the former incarnation affects the next one")
	}
	c.handlePeerLeaving(keygrant.Endpoint{ID: "t1", Address: "10.0.0.2:1"})
	runPostedEvents(c)
	if !acceptsNewWork(c, "t1") {
		t.Error("the answer to a call to another address affects the target")
	}
	c.handlePeerLeaving(keygrant.Endpoint{ID: "t1", Address: "10.0.0.1:1"})
	runPostedEvents(c)
	if acceptsNewWork(c, "t1") {
		t.Error("the answer to a grant is ignored")
	}
}

// VMs must not place requests at a target that another VM knows to be leaving. Reports must reach VMs in both
// directions and VMs that connect later, and must not be sent back and forth. The number of recorded incarnations stays
// limited.
func TestLeavingTargetsAreExchanged(t *testing.T) {
	incarnation := inventory.Incarnation{Target: "t1", Started: 1}
	vm := testControl(t, "b")
	vm.decoder = incarnationsDecoder{}
	register(vm, 1, 1)
	vm.link = &replica.Link{}
	vm.handleCoordinatorUpdate(vm.link, replica.Update{Leaving: []inventory.Incarnation{incarnation}})
	if acceptsNewWork(vm, "t1") {
		t.Error("the report in the coordinator's update is ignored")
	}
	if list := vm.leavingTargets.stillRegistered(vm.registered()); len(list) != 1 || list[0] != incarnation {
		t.Errorf("a new coordinator gets the wrong incarnations: %v", list)
	}
	vm.leavingTargets.takeUnreported()
	vm.addLeavingTargets([]inventory.Incarnation{incarnation})
	if reported := vm.leavingTargets.takeUnreported(); len(reported) > 0 {
		t.Errorf("known incarnations are reported again: %v", reported)
	}
	for i := range 2 * maxLeavingIncarnations {
		vm.leavingTargets.add(inventory.Incarnation{Target: "old", Started: int64(i)}, vm.registered())
	}
	if n := len(vm.leavingTargets.incarnations); n > maxLeavingIncarnations || !vm.leavingTargets.incarnations[incarnation] {
		t.Errorf("%d incarnations are kept; incarnation of the registered target is kept: %v", n, vm.leavingTargets.incarnations[incarnation])
	}
}
