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

// NewGuard returns a handler that checks requests from other routers against the gateway's own configuration. A router with
// another configuration version may choose a different cell for a key, or a different home group for an order, than the
// gateway would. While a change of a pool's targets propagates, the check rejects requests for a cell or group that the
// gateway's version no longer assigns to them.
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
	homes := g.homes.get(view.Config, request.Pool)
	switch {
	case request.Keyed:
		cell := homes.cell(request.KeyHash, request.HomeRegions)
		return cell != "" && cell != view.Cell
	case request.Idempotent, request.Claimed:
		// Any group may serve the request, or its home group has already claimed it and forwarded it here.
		return false
	default:
		id, _ := homes.group(orderHash(request.Tenant, request.IdempotencyKey), request.HomeRegions)
		return id != "" && id != request.Group
	}
}

// homesCache caches the homes of the most recently used configuration. Snapshots of the same version share one
// configuration, so the cached value nearly always matches.
type homesCache struct {
	last atomic.Pointer[homes]
}

func (c *homesCache) get(cfg *config.Config, pool string) poolHomes {
	h := c.last.Load()
	if h == nil || h.cfg != cfg {
		h = newHomes(cfg)
		c.last.Store(h)
	}
	return h.pools[pool]
}
