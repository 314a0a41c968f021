package entry

import (
	"testing"

	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// livesDecoder takes a row's value for the start of its target's life.
type livesDecoder struct{ rowDecoder }

func (livesDecoder) Target(r rowstore.Row) (*inventory.Target, error) {
	return &inventory.Target{ID: r.Key, Address: "10.0.0.1:1", Started: int64(r.Value[0])}, nil
}

// register lets a control read a registration of t1 that says nothing of its leaving.
func register(c *Control, version uint64, started byte) {
	c.polled("servers", rowstore.Page{Version: version, Rows: []rowstore.Row{
		{Table: "servers", Key: "t1", Version: version, Value: []byte{started}},
		{Table: "servers", Key: "t2", Version: version, Value: []byte{1}},
	}}, nil, c.clock.Now())
}

func open(c *Control, id string) bool {
	s := c.Current().Snapshot
	return s.Open(s.Targets[id])
}

// settle runs what is posted to a control.
func settle(c *Control) {
	for len(c.events) > 0 {
		(<-c.events)()
	}
}

// Guards against new work for a target that has said in an answer that it leaves: before the store tells, while the store is away,
// and after a newer registration of the same life that still says "ready". Its next life gets work at once.
func TestTargetThatLeavesByAnAnswerGetsNothingNew(t *testing.T) {
	c := testControl(t, "a")
	c.decoder = livesDecoder{}
	register(c, 1, 1)
	c.TargetLeaves(inventory.Life{Target: "t1", Started: 1})
	settle(c)
	if open(c, "t1") || !open(c, "t2") {
		t.Error("the target that leaves gets new work, or another one gets none")
	}
	register(c, 2, 1)
	if open(c, "t1") {
		t.Error("a newer registration of the same life ends its leaving")
	}
	c.TargetLeaves(inventory.Life{Target: "t1", Started: 1})
	if len(c.events) > 0 {
		t.Error("each answer of a target that leaves costs a step of control")
	}
	register(c, 3, 2)
	if !open(c, "t1") {
		t.Error("the next life gets nothing")
	}
	c.noteLeavers([]inventory.Life{{Target: "t1", Started: 1}})
	if !open(c, "t1") {
		t.Error("a late report of the former life strikes the next one")
	}
	c.peerLeaves(keygrant.Peer{ID: "t1", Address: "10.0.0.2:1"})
	settle(c)
	if !open(c, "t1") {
		t.Error("the answer to a call to another address strikes the target")
	}
	c.peerLeaves(keygrant.Peer{ID: "t1", Address: "10.0.0.1:1"})
	settle(c)
	if open(c, "t1") {
		t.Error("the answer to a grant doesn't tell")
	}
}

// Guards against VMs that place requests at a target although another VM has heard that it leaves, in both directions and for VMs
// that connect later, and against news that go back and forth.
func TestLeavingIsToldToOtherVMs(t *testing.T) {
	life := inventory.Life{Target: "t1", Started: 1}
	vm := testControl(t, "b")
	vm.decoder = livesDecoder{}
	register(vm, 1, 1)
	vm.link = &replica.Link{}
	vm.updated(vm.link, replica.Update{Leaving: []inventory.Life{life}})
	if open(vm, "t1") {
		t.Error("the coordinator's word is ignored")
	}
	if list := vm.leavers.all(vm.registered()); len(list) != 1 || list[0] != life {
		t.Errorf("a coordinator that is new is told of %v", list)
	}
	vm.leavers.takeNews()
	vm.noteLeavers([]inventory.Life{life})
	if news := vm.leavers.takeNews(); len(news) > 0 {
		t.Errorf("what is known is told again: %v", news)
	}
	for i := range 2 * maxLeavers {
		vm.leavers.add(inventory.Life{Target: "old", Started: int64(i)}, vm.registered())
	}
	if n := len(vm.leavers.lives); n > maxLeavers || !vm.leavers.lives[life] {
		t.Errorf("%d lives are kept, that of a registered target: %v", n, vm.leavers.lives[life])
	}
}
