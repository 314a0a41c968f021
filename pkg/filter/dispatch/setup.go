// Package dispatch selects the gateway for a request and sends the request to it.
package dispatch

import (
	"context"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Tables provides the current snapshot and fetches newer tables.
type Tables interface {
	exchange.ViewSource
	// Refresh requests a newer table of a cell from several sources, including the given address unless it is empty. It
	// returns true once the snapshot has a table newer than have, and false if the context ends first.
	Refresh(ctx context.Context, cell string, have topology.Version, address string) bool
}

// Options configures a Filter.
type Options struct {
	// Region is the router's own region.
	Region string
	Tables Tables
	// Local is the router's own gateway.
	Local exchange.Handler
	// Remote returns a handler that sends requests to the peer at the given address.
	Remote func(address string) exchange.Handler
	Clock  clock.Clock
	// Scope receives the metrics; nil disables them. No label is derived from the content of a request.
	Scope tally.Scope
}

// Filter is the last filter of the chain. It sends each request to a gateway.
type Filter struct {
	options   Options
	loads     *loads
	latencies *latencies
	budget    *budget
	link      *Link
	homes     homesCache
	// sequence makes the ID of each attempt unique in this process, so that a response to another attempt is detected.
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

// New returns a Filter with the given options.
func New(o Options) *Filter {
	scope := o.scope()
	return &Filter{
		options:   o,
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
