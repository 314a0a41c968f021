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

// NewGuard returns a handler that rejects requests from entry routers if their home regions exclude localRegion, and passes
// all others to next. The check precedes reading the body. It is needed because an entry router may have an older
// configuration in which the request had no home regions.
func NewGuard(localRegion string, views exchange.ViewSource, next exchange.Handler) exchange.Handler {
	return &guard{localRegion: localRegion, views: views, next: next}
}

// guard implements the handler returned by NewGuard.
type guard struct {
	localRegion string
	views       exchange.ViewSource
	next        exchange.Handler
}

// Handle implements exchange.Handler.
func (g *guard) Handle(ctx context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error) {
	home := request.HomeRegions
	excluded := len(home) > 0 && !slices.Contains(home, g.localRegion)
	if view := g.views.View(); !excluded && view != nil {
		excluded = !permittedByConfig(view.Config, g.localRegion, request)
	}
	if excluded {
		detail := "the request is not served in this region"
		return nil, problem.New(http.StatusMisdirectedRequest, problem.CodeOtherRegion, problem.NotRun, detail)
	}
	return g.next.Handle(ctx, request, body)
}

// permittedByConfig reports whether cfg permits serving a request in localRegion. A route or tenant that cfg doesn't contain
// imposes no restriction, because the entry router may have checked it with a newer configuration.
func permittedByConfig(cfg *config.Config, localRegion string, request *wire.Request) bool {
	i := slices.IndexFunc(cfg.Routes, func(r config.Route) bool { return r.Name == request.Route })
	if i >= 0 && len(cfg.Routes[i].HomeRegions) > 0 && !slices.Contains(cfg.Routes[i].HomeRegions, localRegion) {
		return false
	}
	t, ok := cfg.TenantByName(request.Tenant)
	return !ok || len(t.HomeRegions) == 0 || slices.Contains(t.HomeRegions, localRegion)
}
