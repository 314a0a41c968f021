package region

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

// Filter sets Exchange.Tenant and Exchange.HomeRegions.
//
// Invariant: nothing of a request bound to other regions is read from its body, logged, counted by name or buffered in
// this process, except for what net/http has read of the head.
type Filter struct {
	own string
}

// Handle implements filter.Filter.
func (f *Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	name, ok := filter.Single(x.Request.Header, filter.HeaderTenant)
	if !ok {
		return nil, filter.BadRequest("conflicting " + filter.HeaderTenant + " headers")
	}
	cfg := x.View.Config
	var tenantHome []string
	if name != "" {
		tenant, known := cfg.TenantByName(name)
		if !known && len(cfg.Tenants) > 0 {
			// Its home regions are unknown, so that no region is known to be permitted.
			return nil, filter.BadRequest("unknown tenant")
		}
		if known {
			tenantHome = tenant.HomeRegions
		}
	}
	home, ok := intersect(x.Route.HomeRegions, tenantHome)
	if !ok {
		return nil, filter.BadRequest("the route and the tenant have no home region in common")
	}
	if len(home) > 0 && !slices.Contains(home, f.own) {
		return nil, misdirected(cfg, home, x.Header)
	}
	x.Tenant = name
	x.HomeRegions = home
	x.TenantBound = len(tenantHome) > 0
	return next(ctx, x)
}

// intersect combines two bindings; empty means any region. ok is false if they exclude each other.
func intersect(a, b []string) (both []string, ok bool) {
	if len(a) == 0 {
		return b, true
	}
	if len(b) == 0 {
		return a, true
	}
	for _, r := range a {
		if slices.Contains(b, r) {
			both = append(both, r)
		}
	}
	return both, len(both) > 0
}

// misdirected tells the caller where its request may be served.
func misdirected(cfg *config.Config, home []string, h http.Header) *problem.Error {
	places := make([]string, 0, len(home))
	for _, name := range home {
		places = append(places, place(cfg, name))
	}
	h.Set(filter.HeaderHomeRegions, strings.Join(home, ", "))
	detail := "the request is served only in " + strings.Join(places, ", ")
	return problem.New(http.StatusMisdirectedRequest, problem.CodeOtherRegion, problem.NotRun, detail)
}

func place(cfg *config.Config, name string) string {
	for _, r := range cfg.Regions {
		if r.Name == name && r.CallerURL != "" {
			return name + " (" + r.CallerURL + ")"
		}
	}
	return name
}
