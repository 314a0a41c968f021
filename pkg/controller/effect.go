package controller

import (
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Effect is an I/O request of the state. Each effect is answered by exactly one Result, even if it times out.
type Effect interface{ effect() }

// Result is the outcome of an effect.
type Result interface{ result() }

// ReadRow reads a row of the table service.
type ReadRow struct {
	Key      string
	IssuedAt clock.Instant
}

// RowRead is the result of ReadRow.
type RowRead struct {
	ReadRow
	Row store.Row
	Err error
}

// WriteRow writes a row on the condition that its revision is still Expected.
type WriteRow struct {
	Key      string
	Value    []byte
	Expected store.Revision
	Token    string
	IssuedAt clock.Instant
}

// RowWritten is the result of WriteRow.
type RowWritten struct {
	WriteRow
	Revision store.Revision
	Err      error
}

// ReadObject reads an object of the object store.
type ReadObject struct {
	Key string
	// Version is the configuration version that the object holds.
	Version uint64
}

// ObjectRead is the result of ReadObject.
type ObjectRead struct {
	ReadObject
	Body []byte
	Err  error
}

// Call sends a request to a router or to another controller.
type Call struct {
	Address string
	// Member is the called router; zero if a controller is called.
	Member  wire.Member
	Type    wire.Type
	Request any
	// Term is the caller's term; a reply that arrives in another term is dropped.
	Term     uint64
	IssuedAt clock.Instant
}

// CallResult is the result of Call. Reply points to the reply message for the request type.
type CallResult struct {
	Call
	Reply any
	Err   error
}

func (ReadRow) effect()    {}
func (WriteRow) effect()   {}
func (ReadObject) effect() {}
func (Call) effect()       {}

func (RowRead) result()    {}
func (RowWritten) result() {}
func (ObjectRead) result() {}
func (CallResult) result() {}

// NewReply returns the frame type of the reply to a request type, and an empty reply message.
func NewReply(t wire.Type) (wire.Type, any) {
	switch t {
	case wire.TypeAnnounceTerm:
		return wire.TypeAnnounceTermReply, &wire.AnnounceTermReply{}
	case wire.TypeWitness:
		return wire.TypeWitnessReply, &wire.WitnessReply{}
	case wire.TypeFetchTable:
		return wire.TypeTableReply, &wire.TableReply{}
	case wire.TypeFetchConfig:
		return wire.TypeConfigReply, &wire.ConfigReply{}
	default:
		return wire.TypeError, &wire.Error{}
	}
}
