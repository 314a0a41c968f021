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
// Invariant: of a request that only other regions may serve, this process neither reads the body nor logs, buffers or counts
// by name any part. The exception is what net/http has read together with the request header.
type Filter struct {
	localRegion string
}

// Handle implements filter.Filter.
func (f *Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	name, ok := filter.SingleHeaderValue(x.Request.Header, filter.HeaderTenant)
	if !ok {
		return nil, filter.BadRequest("conflicting " + filter.HeaderTenant + " headers")
	}
	cfg := x.View.Config
	var tenantHome []string
	if name != "" {
		tenant, known := cfg.TenantByName(name)
		if !known && len(cfg.Tenants) > 0 {
			// The tenant's home regions are unknown, so no region is known to be permitted.
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
	if len(home) > 0 && !slices.Contains(home, f.localRegion) {
		return nil, misdirectedError(cfg, home, x.Header)
	}
	x.Tenant = name
	x.HomeRegions = home
	x.TenantHasHomeRegions = len(tenantHome) > 0
	return next(ctx, x)
}

// intersect returns the regions that both lists permit. An empty list permits any region. ok is false if no region is
// permitted by both lists.
func intersect(a, b []string) (common []string, ok bool) {
	if len(a) == 0 {
		return b, true
	}
	if len(b) == 0 {
		return a, true
	}
	for _, r := range a {
		if slices.Contains(b, r) {
			common = append(common, r)
		}
	}
	return common, len(common) > 0
}

// misdirectedError returns a 421 error that lists the home regions of a request, and sets filter.HeaderHomeRegions in h.
func misdirectedError(cfg *config.Config, home []string, h http.Header) *problem.Error {
	descriptions := make([]string, 0, len(home))
	for _, name := range home {
		descriptions = append(descriptions, describeRegion(cfg, name))
	}
	h.Set(filter.HeaderHomeRegions, strings.Join(home, ", "))
	detail := "the request is served only in " + strings.Join(descriptions, ", ")
	return problem.New(http.StatusMisdirectedRequest, problem.CodeOtherRegion, problem.NotRun, detail)
}

// describeRegion returns the name of a region, followed by its URL for callers if one is configured.
func describeRegion(cfg *config.Config, name string) string {
	for _, r := range cfg.Regions {
		if r.Name == name && r.CallerURL != "" {
			return name + " (" + r.CallerURL + ")"
		}
	}
	return name
}
