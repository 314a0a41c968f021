package replica

import (
	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Traffic is where a VM counts the bytes of its connections to VMs of other regions. The zero value counts nothing.
type Traffic struct {
	Counter *interregion.Counter
	// Region is the region of this VM.
	Region string
}

// kindOf returns the kind of traffic that a message belongs to.
func kindOf(message any) interregion.Kind {
	switch m := message.(type) {
	case PlaceRequest, PlaceResponse, PlaceRelease:
		return interregion.Placement
	case Update:
		if len(m.Packed) > 0 || len(m.Routes) > 0 || m.hasRows() {
			return interregion.Tables
		}
	}
	return interregion.Reports
}

// hasRows reports whether the update changes a table. Other deltas only state the version of a table.
func (u Update) hasRows() bool {
	for _, d := range u.Deltas {
		if !d.Empty() {
			return true
		}
	}
	return false
}

// received counts a message that was received, as of the given kind.
func (q *sendQueue) received(frame wire.Frame, message any) {
	q.traffic.AddReceived(kindOf(message), frame.Size())
}
