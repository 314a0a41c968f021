package replica

import (
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
)

// Update goes from the coordinator to the other VMs: what has changed, and at least a sign of life.
type Update struct {
	Deltas []Delta `msgpack:"d,omitempty"`
	// Packed are large deltas, compressed: whole tables for each VM that connects, and large changes.
	Packed []byte `msgpack:"p,omitempty"`
	// Routes are the slices of keyed pools that have changed, in full if AllRoutes is set.
	Routes    map[string][]coordinator.Route `msgpack:"k,omitempty"`
	AllRoutes bool                           `msgpack:"w,omitempty"`
	// Leader is set by a VM that doesn't lead: where to turn to.
	Leader *coordinator.Notice `msgpack:"o,omitempty"`
	// Distributor is the address of the VM in the receiver's region from which it gets the tables and routes; empty if they come
	// with this update.
	Distributor string `msgpack:"h,omitempty"`
	// LeastWeaknessMs is that of the strongest connected VM, the coordinator included.
	LeastWeaknessMs int64 `msgpack:"s,omitempty"`
	// LeaseVersion is the version of the coordinator's row.
	LeaseVersion uint64 `msgpack:"l"`
	// StoreAge is how old the coordinator's last read of the store is, in milliseconds.
	StoreAge int64 `msgpack:"a"`
	// Suspects are requests that may crash targets, as far as their records have changed.
	Suspects []quarantine.Record `msgpack:"q,omitempty"`
	// Leaving are targets that have said in an answer that they leave.
	Leaving []inventory.Life `msgpack:"g,omitempty"`
	// Index and Count number the connected VMs.
	Index int `msgpack:"i"`
	Count int `msgpack:"n"`
}

// Report goes from a VM to the coordinator. The first one opens the connection.
type Report struct {
	VM     string `msgpack:"vm,omitempty"`
	Domain string `msgpack:"d,omitempty"`
	Region string `msgpack:"r,omitempty"`
	// Address is where other VMs reach this one. It comes with the first report.
	Address string `msgpack:"p,omitempty"`
	// TablesOnly is set in the first report by a VM that wants the tables and routes from a distributor.
	TablesOnly bool `msgpack:"t,omitempty"`
	// Unreachable is the address of a distributor that sends nothing.
	Unreachable string `msgpack:"u,omitempty"`
	// DelayMs is how late verdicts come, without the time in the broker's queues, in milliseconds.
	DelayMs int64 `msgpack:"l,omitempty"`
	// WeaknessMs is the VM's delay as a candidate for the coordinator's role, in milliseconds. It comes with the first report.
	WeaknessMs int64 `msgpack:"w,omitempty"`
	// Leader is set by a new coordinator that calls on the former one.
	Leader *coordinator.Notice `msgpack:"o,omitempty"`
	// Suspects are requests that may crash targets, as far as their records have changed.
	Suspects []quarantine.Record `msgpack:"q,omitempty"`
	// Leaving are targets that have said in an answer that they leave.
	Leaving []inventory.Life `msgpack:"g,omitempty"`
	// Keys are the keys requested without the coordinator's knowledge since the last report, by pool.
	Keys map[string][]uint16 `msgpack:"k,omitempty"`
}

// Ask asks the coordinator for a target.
type Ask struct {
	//lint:ignore U1000 msgpack reads the tag: the fields are sent without their names.
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Pool     string
	Key      int
	Priority int
	LeftMs   int64
	// ObjectiveMs counts from now, like LeftMs.
	ObjectiveMs int64
	Body        int64
	Homes       []string
	Avoid       []string
	Repeat      bool
	// Content and Caller are the request's fingerprint.
	Content, Caller uint64
}

// Verdict answers an ask. Target is empty if there is none.
type Verdict struct {
	//lint:ignore U1000 msgpack reads the tag: the fields are sent without their names.
	_msgpack   struct{} `msgpack:",as_array"`
	Seq        uint64
	Target     string
	Reason     placing.Reason
	ExpectedMs int64
	// WaitedMs is the time in the broker's queue.
	WaitedMs int64
}

// Done tells how a request ended that had a target. Cancelled asks have no other field.
type Done struct {
	//lint:ignore U1000 msgpack reads the tag: the fields are sent without their names.
	_msgpack  struct{} `msgpack:",as_array"`
	Seq       uint64
	Cancelled bool
	ElapsedMs int64
	Ending    placing.Ending
	HasReport bool
	Report    placing.Report
}
