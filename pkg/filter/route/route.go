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
	if !isNormalized(path) {
		return nil, filter.BadRequest("the path has empty or dot segments")
	}
	route, methodAllowed := findRoute(x.View.Config, x.Request.Method, path)
	if route == nil {
		return nil, problem.New(http.StatusNotFound, problem.CodeNoRoute, problem.NotRun, "no route has this path")
	}
	if !methodAllowed {
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

// isNormalized reports whether a path is absolute and has no ".", ".." or empty segment, except that it may end in a slash. A
// target could resolve such a segment to the path of another route, which bypasses the home regions of that route.
func isNormalized(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		last := i == len(segments)-1
		if segment == "." || segment == ".." || segment == "" && !last {
			return false
		}
	}
	return true
}

// findRoute returns the route with the longest matching path prefix among those that allow the method, and true. If none
// allows the method, it returns some route that matches the path, or nil, and false.
func findRoute(cfg *config.Config, method, path string) (*config.Route, bool) {
	var best, methodMismatch *config.Route
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if !hasPathPrefix(path, r.PathPrefix) {
			continue
		}
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			methodMismatch = r
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	if best == nil {
		return methodMismatch, false
	}
	return best, true
}

// hasPathPrefix reports whether path starts with prefix and the match ends at a segment boundary.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}
