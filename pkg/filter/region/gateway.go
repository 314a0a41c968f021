package region

import (
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// NewGuard returns a handler that checks requests of other routers before their bodies are read: an entry router may have
// an older configuration, in which the request was not bound.
func NewGuard(own string, views exchange.ViewSource, next exchange.Handler) exchange.Handler {
	return &guard{own: own, views: views, next: next}
}

type guard struct {
	own   string
	views exchange.ViewSource
	next  exchange.Handler
}

// Handle implements exchange.Handler.
func (g *guard) Handle(ctx context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error) {
	home := request.HomeRegions
	bound := len(home) > 0 && !slices.Contains(home, g.own)
	if view := g.views.View(); !bound && view != nil {
		bound = !permitted(view.Config, g.own, request)
	}
	if bound {
		detail := "the request is not served in this region"
		return nil, problem.New(http.StatusMisdirectedRequest, problem.CodeOtherRegion, problem.NotRun, detail)
	}
	return g.next.Handle(ctx, request, body)
}

// permitted tells whether the own configuration permits a request in a region. Routes and tenants that it doesn't know
// are left to the entry router's configuration, which may be newer.
func permitted(cfg *config.Config, own string, request *wire.Request) bool {
	i := slices.IndexFunc(cfg.Routes, func(r config.Route) bool { return r.Name == request.Route })
	if i >= 0 && len(cfg.Routes[i].HomeRegions) > 0 && !slices.Contains(cfg.Routes[i].HomeRegions, own) {
		return false
	}
	t, ok := cfg.TenantByName(request.Tenant)
	return !ok || len(t.HomeRegions) == 0 || slices.Contains(t.HomeRegions, own)
}
