// Package ready refuses requests while the router may not act.
package ready

import (
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/exchange"
)

// New returns the filter. authority is the router's authority to accept callers' requests.
func New(clk clock.Clock, authority exchange.Authority, views exchange.ViewSource) *Filter {
	return &Filter{clock: clk, authority: authority, views: views}
}
