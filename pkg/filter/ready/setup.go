// Package ready implements the filter that rejects requests while the router has no configuration or no valid authority.
package ready

import (
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/exchange"
)

// New returns a new Filter. authority tells until when the router may accept callers' requests.
func New(clk clock.Clock, authority exchange.Authority, views exchange.ViewSource) *Filter {
	return &Filter{clock: clk, authority: authority, views: views}
}
