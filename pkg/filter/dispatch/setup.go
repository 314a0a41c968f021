// Package dispatch finds the gateway of a request and sends the request there.
package dispatch

import (
	"context"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Tables provides the current snapshot and gets newer tables.
type Tables interface {
	exchange.ViewSource
	// Refresh asks for a newer table of a cell, at the given address among others, which may be empty. It returns once the
	// snapshot has a table newer than have, or when the context ends; it tells which.
	Refresh(ctx context.Context, cell string, have topology.Version, address string) bool
}

// Options are what the filter needs.
type Options struct {
	// Region is the router's own region.
	Region string
	Tables Tables
	// Local is the router's own gateway.
	Local exchange.Handler
	// Remote returns the handler that sends to a peer address.
	Remote func(address string) exchange.Handler
	Clock  clock.Clock
	// Scope receives the metrics. No label derives from the content of a request.
	Scope tally.Scope
}

// Filter ends the chain.
type Filter struct {
	o         Options
	loads     *loads
	latencies *latencies
	budget    *budget
	link      *Link
	homes     homesCache
	// sequence makes the ID of each attempt unique in this process, so that an answer to another attempt is recognized.
	sequence atomic.Uint64
	m        metrics
}

type metrics struct {
	attempts, hedges, hedgesWon, retries, refreshes tally.Counter
}

func (o Options) scope() tally.Scope {
	if o.Scope == nil {
		return tally.NoopScope
	}
	return o.Scope.SubScope("dispatch")
}

// New returns the filter.
func New(o Options) *Filter {
	scope := o.scope()
	return &Filter{
		o:         o,
		loads:     newLoads(),
		latencies: newLatencies(o.Clock),
		budget:    newBudget(),
		link:      NewLink(o.Clock, scope),
		m: metrics{
			attempts:  scope.Counter("attempts"),
			hedges:    scope.Counter("hedges"),
			hedgesWon: scope.Counter("hedges_won"),
			retries:   scope.Counter("retries"),
			refreshes: scope.Counter("refreshes"),
		},
	}
}
