package controller

import (
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Effect is something that the state asks its surroundings to do. Each effect is answered by exactly one Result, also
// after a timeout.
type Effect interface{ effect() }

// Result is the outcome of an effect.
type Result interface{ result() }

// ReadRow reads a row of the table service.
type ReadRow struct {
	Key   string
	Asked clock.Instant
}

// RowRead answers ReadRow.
type RowRead struct {
	ReadRow
	Row store.Row
	Err error
}

// WriteRow writes a row under the condition that its revision is still Expected.
type WriteRow struct {
	Key      string
	Value    []byte
	Expected store.Revision
	Token    string
	Asked    clock.Instant
}

// RowWritten answers WriteRow.
type RowWritten struct {
	WriteRow
	Revision store.Revision
	Err      error
}

// ReadObject reads an object.
type ReadObject struct {
	Key string
	// Version is the configuration version that the object holds.
	Version uint64
}

// ObjectRead answers ReadObject.
type ObjectRead struct {
	ReadObject
	Body []byte
	Err  error
}

// Call sends a request to a router or to another controller.
type Call struct {
	Address string
	// Member is the router asked; zero for a controller.
	Member  wire.Member
	Type    wire.Type
	Request any
	// Term is the caller's term; an answer that arrives in another term is dropped.
	Term  uint64
	Asked clock.Instant
}

// Called answers Call. Reply is a pointer to the reply message of the type.
type Called struct {
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
func (Called) result()     {}

// NewReply returns an empty reply message for a request type, and the type of its frame.
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
