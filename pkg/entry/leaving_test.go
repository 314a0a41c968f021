package entry

import (
	"testing"

	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// livesDecoder uses the first byte of a row's value as the start of its target's life.
type livesDecoder struct{ rowDecoder }

func (livesDecoder) Target(r rowstore.Row) (*inventory.Target, error) {
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
// store is unavailable, and after a newer registration of the same life that still says "ready". Its next life must get
// work immediately.
func TestLeavingAnswerStopsNewWork(t *testing.T) {
	c := testControl(t, "a")
	c.decoder = livesDecoder{}
	register(c, 1, 1)
	c.RecordTargetLeaving(inventory.Incarnation{Target: "t1", Started: 1})
	runPostedEvents(c)
	if acceptsNewWork(c, "t1") || !acceptsNewWork(c, "t2") {
		t.Error("the leaving target gets new work, or another target gets none")
	}
	register(c, 2, 1)
	if acceptsNewWork(c, "t1") {
		t.Error("a newer registration of the same life clears the leaving state")
	}
	c.RecordTargetLeaving(inventory.Incarnation{Target: "t1", Started: 1})
	if len(c.events) > 0 {
		t.Error("a repeated answer of a leaving target posts another event")
	}
	register(c, 3, 2)
	if !acceptsNewWork(c, "t1") {
		t.Error("the next life of the target gets no work")
	}
	c.addLeavingTargets([]inventory.Incarnation{{Target: "t1", Started: 1}})
	if !acceptsNewWork(c, "t1") {
		t.Error("a late report about the former life affects the next one")
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
// directions and VMs that connect later, and must not be sent back and forth. The number of recorded lives stays
// limited.
func TestLeavingTargetsAreExchanged(t *testing.T) {
	life := inventory.Incarnation{Target: "t1", Started: 1}
	vm := testControl(t, "b")
	vm.decoder = livesDecoder{}
	register(vm, 1, 1)
	vm.link = &replica.Link{}
	vm.handleCoordinatorUpdate(vm.link, replica.Update{Leaving: []inventory.Incarnation{life}})
	if acceptsNewWork(vm, "t1") {
		t.Error("the report in the coordinator's update is ignored")
	}
	if list := vm.leavingTargets.stillRegistered(vm.registered()); len(list) != 1 || list[0] != life {
		t.Errorf("a new coordinator gets the wrong lives: %v", list)
	}
	vm.leavingTargets.takeUnreported()
	vm.addLeavingTargets([]inventory.Incarnation{life})
	if reported := vm.leavingTargets.takeUnreported(); len(reported) > 0 {
		t.Errorf("known lives are reported again: %v", reported)
	}
	for i := range 2 * maxLeavingLives {
		vm.leavingTargets.add(inventory.Incarnation{Target: "old", Started: int64(i)}, vm.registered())
	}
	if n := len(vm.leavingTargets.lives); n > maxLeavingLives || !vm.leavingTargets.lives[life] {
		t.Errorf("%d lives are kept; life of the registered target is kept: %v", n, vm.leavingTargets.lives[life])
	}
}
