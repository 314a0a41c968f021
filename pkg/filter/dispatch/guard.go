package dispatch

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// NewGuard returns a handler that checks requests of other routers against the gateway's own configuration: a router with
// another version may send a key to another cell, or an order to another home group, than the gateway would. While a change
// of a pool's targets spreads, this keeps one router's version from using a place that the gateway's version has given up.
func NewGuard(views exchange.ViewSource, next exchange.Handler) exchange.Handler {
	return &guard{views: views, next: next}
}

type guard struct {
	views exchange.ViewSource
	next  exchange.Handler
	homes homesCache
}

// Handle implements exchange.Handler.
func (g *guard) Handle(ctx context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error) {
	view := g.views.View()
	if view != nil && view.Config != nil && g.misplaced(view, request) {
		detail := "the gateway's configuration gives the request another place"
		return nil, problem.New(http.StatusServiceUnavailable, problem.CodeStaleOwnership, problem.NotRun, detail)
	}
	return g.next.Handle(ctx, request, body)
}

func (g *guard) misplaced(view *exchange.View, request *wire.Request) bool {
	homes := g.homes.of(view.Config, request.Pool)
	switch {
	case request.Keyed:
		cell := homes.cell(request.KeyHash, request.HomeRegions)
		return cell != "" && cell != view.Cell
	case request.Idempotent, request.Claimed:
		// Any group may serve it, or its home group has sent it here.
		return false
	default:
		id, _ := homes.group(orderHash(request.Tenant, request.IdempotencyKey), request.HomeRegions)
		return id != "" && id != request.Group
	}
}

// homesCache holds the homes of the newest configuration. Snapshots of the same version share one configuration, so that the
// last result nearly always fits.
type homesCache struct {
	last atomic.Pointer[homes]
}

func (c *homesCache) of(cfg *config.Config, pool string) poolHomes {
	h := c.last.Load()
	if h == nil || h.cfg != cfg {
		h = newHomes(cfg)
		c.last.Store(h)
	}
	return h.pools[pool]
}
