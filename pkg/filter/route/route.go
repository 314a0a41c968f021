package route

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

// Filter sets Exchange.Route and Exchange.Pool.
type Filter struct{}

// Handle implements filter.Filter.
func (*Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	path := x.Request.URL.Path
	if !plain(path) {
		return nil, filter.BadRequest("the path has empty or dot segments")
	}
	route, methodOK := find(x.View.Config, x.Request.Method, path)
	if route == nil {
		return nil, problem.New(http.StatusNotFound, problem.CodeNoRoute, problem.NotRun, "no route has this path")
	}
	if !methodOK {
		return nil, problem.New(http.StatusMethodNotAllowed, problem.CodeNoRoute, problem.NotRun, "the route doesn't allow this method")
	}
	pool, ok := x.View.Config.Pool(route.Pool)
	if !ok {
		return nil, problem.New(http.StatusServiceUnavailable, problem.CodeNoRoute, problem.NotRun, "the route's pool isn't configured")
	}
	x.Route = route
	x.Pool = pool
	return next(ctx, x)
}

// plain tells whether a path has no segment that a target could resolve to another path. Otherwise a request could reach
// a route's targets without that route's home regions.
func plain(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		last := i == len(segments)-1
		if s == "." || s == ".." || s == "" && !last {
			return false
		}
	}
	return true
}

// find returns the route with the longest prefix of the path that allows the method. Without one it returns any route
// of the path, and false.
func find(cfg *config.Config, method, path string) (*config.Route, bool) {
	var best, other *config.Route
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if !hasPrefix(path, r.PathPrefix) {
			continue
		}
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			other = r
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	if best == nil {
		return other, false
	}
	return best, true
}

// hasPrefix compares whole segments.
func hasPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}
