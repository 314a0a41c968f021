package coordinator

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// Effect is an action that the caller has to carry out.
type Effect interface {
	effect()
}

// Commit requests a transaction. Its outcome is passed to Committed.
type Commit struct {
	Transaction rowstore.Transaction
}

// ReadTable requests a read of the control table. Its result is passed to Observe.
type ReadTable struct{}

// SendGrant requests a grant, which must be sent before Deadline. Its outcome is passed to Granted.
type SendGrant struct {
	Call     int64
	To       keygrant.Endpoint
	Grant    keygrant.Grant
	Deadline clock.Instant
	// Connection is the connection on which the fence was acknowledged, or 0 if it was not acknowledged yet.
	Connection int64
}

// SendRelease requests a release. Its outcome is passed to Released.
type SendRelease struct {
	Slice SliceRef
	From  keygrant.Endpoint
	Grant keygrant.Grant
	// Timeout limits the duration of the call. After it, the previous owner's grant has expired.
	Timeout time.Duration
}

// Announce requests that the former coordinator be told of its successor. The former coordinator may be cut off from the store,
// and so may be the VMs that are connected to it.
type Announce struct {
	To     string
	Notice Notice
}

// SliceRef identifies the slice that an outcome belongs to.
type SliceRef struct {
	id sliceID
}

// Log requests a log line.
type Log struct {
	Event  event.Definition
	Fields []any
}

func (Commit) effect()      {}
func (ReadTable) effect()   {}
func (SendGrant) effect()   {}
func (SendRelease) effect() {}
func (Announce) effect()    {}
func (Log) effect()         {}
