// Package exchange defines how a request travels through the pipeline, whether its gateway is local or remote.
package exchange

import (
	"context"
	"io"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Response is the answer to a request.
type Response struct {
	Head wire.Response
	// Body returns io.ErrUnexpectedEOF when the transfer broke. It is never nil and must be closed.
	Body io.ReadCloser
}

// Handler executes a request. The context's deadline is the request's deadline; cancelling it cancels the request at the
// target. The handler reads the body before the answer ends; it doesn't close it. An error is a *problem.Error.
type Handler interface {
	Handle(ctx context.Context, request *wire.Request, body io.Reader) (*Response, error)
}

// Authority tells whether the process may still act for what it holds.
type Authority interface {
	// ValidUntil returns the instant at which the current authority lapses; it may have passed already.
	ValidUntil() clock.Instant
}

// View is an immutable snapshot of what the router knows.
type View struct {
	Config *config.Config
	// Tables holds the newest table of each known cell.
	Tables map[string]*topology.Table
	// Cell is the router's own cell, VM its own name.
	Cell string
	VM   string
}

// Views provides the current snapshot, nil before the first one.
type Views interface {
	View() *View
}

// Holdings is the gateway as seen by the router's control loop.
type Holdings interface {
	// Apply tells the gateway about a new snapshot. It takes up and gives up groups, targets and slices accordingly.
	Apply(view *View)
	// Report returns what the next heartbeat tells the controller.
	Report() Report
	// Changed receives a value when a report shouldn't wait for the next heartbeat.
	Changed() <-chan struct{}
	// Release stops new work and returns once nothing is in flight or the context ends; used by a planned stop.
	Release(ctx context.Context) error
}

// Report is the gateway's part of a heartbeat.
type Report struct {
	Held    []wire.HeldGroup
	Slices  []wire.SliceReport
	Targets []wire.TargetReport
	Loads   []wire.SliceLoad
}
