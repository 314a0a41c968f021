// Package exchange defines the interfaces and types through which a request passes from one stage of the pipeline to the
// next, whether its gateway is local or remote.
package exchange

import (
	"context"
	"io"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Response is the response to a request.
type Response struct {
	Head wire.Response
	// Body returns io.ErrUnexpectedEOF if the transfer was interrupted. It is never nil and must be closed.
	Body io.ReadCloser
}

// Handler executes a request. The context's deadline is the request's deadline; cancelling the context cancels the
// request at the target. The handler reads the body before the response ends and doesn't close it. An error is a
// *problem.Error.
type Handler interface {
	Handle(ctx context.Context, request *wire.Request, body io.Reader) (*Response, error)
}

// Authority reports until when the process may act for the groups that it holds or accept callers' requests.
type Authority interface {
	// ValidUntil returns the instant at which the current authority expires. It may be in the past.
	ValidUntil() clock.Instant
}

// View is an immutable snapshot of the router's configuration and tables.
type View struct {
	Config *config.Config
	// Tables holds the newest table of each known cell.
	Tables map[string]*topology.Table
	// Cell and VM are the names of the router's own cell and VM.
	Cell string
	VM   string
}

// ViewSource provides the current snapshot, or nil before the first one.
type ViewSource interface {
	View() *View
}

// LocalGateway is the interface of the local gateway that the router's control loop uses.
type LocalGateway interface {
	// Apply passes a new snapshot to the gateway, which acquires and releases groups, targets and slices accordingly.
	Apply(view *View)
	// Report returns the gateway's part of the next heartbeat to the controller.
	Report() GatewayReport
	// Changed returns a channel that receives a value when a report should be sent without waiting for the next heartbeat.
	Changed() <-chan struct{}
	// Release stops accepting new work and returns when nothing is in flight or the context is done. It is used during a
	// planned stop.
	Release(ctx context.Context) error
}

// GatewayReport is the gateway's part of a heartbeat.
type GatewayReport struct {
	Held    []wire.HeldGroup
	Slices  []wire.SliceReport
	Targets []wire.TargetReport
	Loads   []wire.SliceLoad
}
