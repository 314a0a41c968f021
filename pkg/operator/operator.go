// Package operator is what operators do to a running installation: apply a configuration, take failure domains, VMs and
// targets out and back, read history and status, explain a key. cmd/blctl is a thin command line on top of it.
//
// A configuration is accepted only when every router of every configured cell has it in force. Each answer says whether
// something was stored, and what can still happen if that is unknown.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Defaults of Options.
const (
	// DefaultStoreTimeout bounds how long reads and writes of the store are retried.
	DefaultStoreTimeout = 10 * time.Second
	// DefaultAcceptTimeout is how long Apply waits for the cells. A change is in force within 6 s.
	DefaultAcceptTimeout = 10 * time.Second
	// DefaultPollInterval is the pause between two looks at a cell or retries at the store.
	DefaultPollInterval = 100 * time.Millisecond
	// DefaultSilentWait is how long a silent router is waited for. What it confirmed with other routers before they had the
	// version, or borrowed from them, ends 1.2 s after that; the rest covers the drift of the clocks.
	DefaultSilentWait = 2 * time.Second
)

// callTimeout bounds one call to a controller, so that a frozen one doesn't hide the others.
const callTimeout = 2 * time.Second

// Caller calls a process of the installation; *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, address string, t wire.Type, request any, replyType wire.Type, reply any) error
}

// Cell names a cell and its controller candidates.
type Cell struct {
	Name string `json:"cell"`
	// Controllers are addresses, host:port.
	Controllers []string `json:"controllers"`
}

// Options says what an Operator works with. Zero durations take the defaults; Store may be nil for Status and Explain.
type Options struct {
	Store  store.Store
	Caller Caller
	Cells  []Cell
	// By is recorded in the history.
	By            string
	Log           *event.Logger
	StoreTimeout  time.Duration
	AcceptTimeout time.Duration
	PollInterval  time.Duration
	SilentWait    time.Duration
}

// Operator carries out operators' commands. It is safe for concurrent use.
type Operator struct {
	o Options
}

// New returns an operator.
func New(o Options) *Operator {
	if o.Log == nil {
		o.Log = event.Discard()
	}
	if o.StoreTimeout == 0 {
		o.StoreTimeout = DefaultStoreTimeout
	}
	if o.AcceptTimeout == 0 {
		o.AcceptTimeout = DefaultAcceptTimeout
	}
	if o.PollInterval == 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.SilentWait == 0 {
		o.SilentWait = DefaultSilentWait
	}
	return &Operator{o: o}
}

// pause waits for the poll interval and returns false if the context ends first.
func (o *Operator) pause(ctx context.Context) bool {
	timer := time.NewTimer(o.o.PollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// newToken identifies a write.
func newToken(by string) string {
	var random [8]byte
	// crypto/rand never returns an error.
	_, _ = rand.Read(random[:])
	return by + "-" + hex.EncodeToString(random[:])
}
