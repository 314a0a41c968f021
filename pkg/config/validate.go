package config

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/bronzelever/bronzelever/pkg/check"
	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/jsonc"
	"github.com/bronzelever/bronzelever/pkg/lease"
)

// Upper bounds of the numeric settings and of the length of a tenant name.
const (
	maxSlots           = 10_000
	maxConnections     = 100_000
	maxQueue           = 100_000
	maxDeadline        = Milliseconds(3_600_000)
	maxRepeatWindow    = Milliseconds(86_400_000)
	maxSlicesPerTarget = 1_024
	maxMovesPerMinute  = 100_000
	maxWeight          = 1_000_000
	maxBodyBytes       = int64(16) << 30
	maxLinkBytes       = int64(100) << 30
	maxPathSegment     = 63
	maxTenantName      = 128
)

const (
	// LeaseTTL is how long a gateway's lease on its groups may outlast the gateway.
	LeaseTTL = Milliseconds(lease.TTL / time.Millisecond)
	// TakeoverBound is the maximum time from a loss until the affected keys are served again.
	TakeoverBound = Milliseconds(4_000)
)

// methods are the allowed values of Route.Methods.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// validator checks one configuration. The maps are built first, so that each lookup takes constant time.
type validator struct {
	check.Checker
	config *Config
	// regionOf maps failure domains to regions.
	regionOf map[string]string
	regions  map[string]bool
	pools    map[string]*Pool
	// poolRegions maps pools to the regions where they have targets.
	poolRegions map[string]map[string]bool
}

// Validate returns all findings about a decoded configuration. The findings have paths but no source
// positions.
func (c *Config) Validate() finding.List {
	v := &validator{
		config:      c,
		regionOf:    map[string]string{},
		regions:     map[string]bool{},
		pools:       map[string]*Pool{},
		poolRegions: map[string]map[string]bool{},
	}
	v.checkRegions()
	v.checkPools()
	v.checkRoutes()
	v.checkKeyedRoutes()
	v.checkNestedRoutes()
	v.checkTenants()
	v.checkOut()
	v.checkLink()
	return v.Findings
}

func (v *validator) checkRegions() {
	if len(v.config.Regions) == 0 {
		v.Fail("regions", "no region", "at least one region")
	}
	for i := range v.config.Regions {
		v.checkRegion(jsonc.Element("regions", i), &v.config.Regions[i])
	}
}

func (v *validator) checkRegion(path string, r *Region) {
	v.Name(jsonc.Join(path, "name"), r.Name)
	if v.regions[r.Name] {
		v.Fail(jsonc.Join(path, "name"), fmt.Sprintf("region %q is given twice", r.Name), "each region once")
	}
	v.regions[r.Name] = true
	domainsPath := jsonc.Join(path, "failure_domains")
	if len(r.Domains) == 0 {
		v.Fail(domainsPath, "no failure domain", "at least one failure domain")
	}
	for i, domain := range r.Domains {
		v.checkDomain(jsonc.Element(domainsPath, i), domain, r.Name)
	}
	if r.CallerURL != "" {
		v.URL(jsonc.Join(path, "caller_url"), r.CallerURL)
	}
}

func (v *validator) checkDomain(path, domain, region string) {
	v.Name(path, domain)
	if other, ok := v.regionOf[domain]; ok {
		v.Fail(path, fmt.Sprintf("failure domain %q is already part of region %q", domain, other), "each failure domain once")
		return
	}
	v.regionOf[domain] = region
}

// checkLink requires a bandwidth limit if there is more than one region.
func (v *validator) checkLink() {
	low := int64(0)
	if len(v.config.Regions) > 1 {
		low = 1
	}
	v.Within("link_bytes_per_second", v.config.LinkBytesPerSecond, low, maxLinkBytes)
}

// seenTargets maps target IDs and addresses to the paths where they first occur.
type seenTargets struct {
	ids       map[string]string
	addresses map[string]string
}

func (v *validator) checkPools() {
	seen := seenTargets{ids: map[string]string{}, addresses: map[string]string{}}
	for i := range v.config.Pools {
		p := &v.config.Pools[i]
		path := jsonc.Element("pools", i)
		v.Name(jsonc.Join(path, "name"), p.Name)
		if _, ok := v.pools[p.Name]; ok {
			v.Fail(jsonc.Join(path, "name"), fmt.Sprintf("pool %q is given twice", p.Name), "each pool once")
			continue
		}
		v.pools[p.Name] = p
		v.poolRegions[p.Name] = map[string]bool{}
		v.checkPoolLimits(path, p)
		v.checkTargets(path, p, seen)
	}
}

func (v *validator) checkPoolLimits(path string, p *Pool) {
	v.Within(jsonc.Join(path, "slots"), int64(p.Slots), 1, maxSlots)
	v.Within(jsonc.Join(path, "connections"), int64(p.Connections), int64(max(p.Slots, 1)), maxConnections)
	v.Within(jsonc.Join(path, "cold_concurrency"), int64(p.ColdConcurrency), 1, int64(max(p.Slots, 1)))
	v.Within(jsonc.Join(path, "queue_limit"), int64(p.QueueLimit), 0, maxQueue)
	v.Within(jsonc.Join(path, "max_deadline_ms"), int64(p.MaxDeadline), 1, int64(maxDeadline))
	v.Within(jsonc.Join(path, "repeat_window_ms"), int64(p.RepeatWindow), 0, int64(maxRepeatWindow))
	if !p.Keyed {
		v.Within(jsonc.Join(path, "slices_per_target"), int64(p.SlicesPerTarget), 0, maxSlicesPerTarget)
		v.Within(jsonc.Join(path, "moves_per_minute"), int64(p.MovesPerMinute), 0, maxMovesPerMinute)
		return
	}
	v.Within(jsonc.Join(path, "slices_per_target"), int64(p.SlicesPerTarget), 1, maxSlicesPerTarget)
	v.Within(jsonc.Join(path, "moves_per_minute"), int64(p.MovesPerMinute), 1, maxMovesPerMinute)
	if LeaseTTL+p.MaxDeadline > TakeoverBound {
		message := fmt.Sprintf("after a loss, keys wait for the lease (%d ms) and this deadline (%d ms): %d ms, more than %d ms",
			LeaseTTL, p.MaxDeadline, LeaseTTL+p.MaxDeadline, TakeoverBound)
		v.Warn(jsonc.Join(path, "max_deadline_ms"), message, fmt.Sprintf("at most %d to meet the bound", TakeoverBound-LeaseTTL))
	}
}

func (v *validator) checkTargets(path string, p *Pool, seen seenTargets) {
	targetsPath := jsonc.Join(path, "targets")
	if len(p.Targets) == 0 {
		v.Fail(targetsPath, "no target", "at least one target")
	}
	for i := range p.Targets {
		v.checkTarget(jsonc.Element(targetsPath, i), p, &p.Targets[i], seen)
	}
}

func (v *validator) checkTarget(path string, p *Pool, t *Target, seen seenTargets) {
	idPath := jsonc.Join(path, "id")
	addressPath := jsonc.Join(path, "address")
	v.Name(idPath, t.ID)
	if first, ok := seen.ids[t.ID]; ok && t.ID != "" {
		v.Fail(idPath, fmt.Sprintf("target %q is also %s", t.ID, first), "each target once")
	} else {
		seen.ids[t.ID] = path
	}
	v.Address(addressPath, t.Address)
	if first, ok := seen.addresses[t.Address]; ok && t.Address != "" {
		// Slots are counted per target ID; a second ID for the same process would exceed them.
		v.Fail(addressPath, fmt.Sprintf("address %q is also that of %s", t.Address, first), "one target per address")
	} else {
		seen.addresses[t.Address] = path
	}
	region, ok := v.regionOf[t.Domain]
	if !ok {
		v.Fail(jsonc.Join(path, "failure_domain"), fmt.Sprintf("unknown failure domain %q", t.Domain), joinKeys(v.regionOf))
		return
	}
	v.poolRegions[p.Name][region] = true
}

// joinKeys formats the sorted keys of a map for a finding, at most 12 of them.
func joinKeys[V any](m map[string]V) string {
	const maxListed = 12
	all := make([]string, 0, len(m))
	for name := range m {
		all = append(all, name)
	}
	slices.Sort(all)
	if len(all) > maxListed {
		return strings.Join(all[:maxListed], ", ") + fmt.Sprintf(" and %d more", len(all)-maxListed)
	}
	return strings.Join(all, ", ")
}

// checkRegionList checks a list of home regions and reports whether it is free of errors.
func (v *validator) checkRegionList(path string, regions []string) bool {
	ok := true
	for i, region := range regions {
		at := jsonc.Element(path, i)
		switch {
		case !v.regions[region]:
			v.Fail(at, fmt.Sprintf("unknown region %q", region), joinKeys(v.regions))
			ok = false
		case slices.Contains(regions[:i], region):
			v.Fail(at, fmt.Sprintf("region %q is given twice", region), "each region once")
			ok = false
		}
	}
	return ok
}

func (v *validator) checkTenants() {
	seen := map[string]bool{}
	for i := range v.config.Tenants {
		t := &v.config.Tenants[i]
		path := jsonc.Element("tenants", i)
		v.checkTenantName(jsonc.Join(path, "name"), t.Name, seen)
		v.checkRegionList(jsonc.Join(path, "home_regions"), t.HomeRegions)
	}
	v.checkTenantRoutes()
}

func (v *validator) checkTenantName(path, name string, seen map[string]bool) {
	const allowed = "1 to 128 visible ASCII characters"
	visible := func(r rune) bool { return r > ' ' && r <= '~' }
	if name == "" || len(name) > maxTenantName || strings.ContainsFunc(name, func(r rune) bool { return !visible(r) }) {
		v.Fail(path, fmt.Sprintf("%q is not a tenant name", name), allowed)
	}
	if seen[name] {
		v.Fail(path, fmt.Sprintf("tenant %q is given twice", name), "each tenant once")
	}
	seen[name] = true
}

// checkTenantRoutes warns about routes that a tenant with home regions can't use. The result is computed once per distinct
// set of home regions.
func (v *validator) checkTenantRoutes() {
	unusable := map[string][]string{}
	for i := range v.config.Tenants {
		home := v.config.Tenants[i].HomeRegions
		if len(home) == 0 {
			continue
		}
		key := canonicalRegions(home)
		routes, ok := unusable[key]
		if !ok {
			routes = v.unusableRoutes(home)
			unusable[key] = routes
		}
		if len(routes) > 0 {
			message := fmt.Sprintf("no target in these regions may serve the routes %s", joinFirst(routes))
			v.Warn(jsonc.Join(jsonc.Element("tenants", i), "home_regions"), message, "regions that serve the tenant's routes")
		}
	}
}

// unusableRoutes returns the names of the routes that no target in the given regions may serve.
func (v *validator) unusableRoutes(home []string) []string {
	var outside []string
	for i := range v.config.Routes {
		r := &v.config.Routes[i]
		served := v.poolRegions[r.Pool]
		usable := slices.ContainsFunc(home, func(region string) bool {
			return served[region] && (len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region))
		})
		if !usable {
			outside = append(outside, r.Name)
		}
	}
	return outside
}

func joinFirst(list []string) string {
	const maxListed = 3
	if len(list) > maxListed {
		return strings.Join(list[:maxListed], ", ") + fmt.Sprintf(" and %d more", len(list)-maxListed)
	}
	return strings.Join(list, ", ")
}

// canonicalRegions returns the sorted, duplicate-free form of a list of regions, for comparing lists as sets.
func canonicalRegions(regions []string) string {
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	return strings.Join(slices.Compact(sorted), ",")
}

func (v *validator) checkOut() {
	out := &v.config.Out
	v.checkOutList("out.failure_domains", out.Domains, "failure domain", func(name string) bool {
		_, ok := v.regionOf[name]
		return ok
	})
	targets := map[string]bool{}
	for i := range v.config.Pools {
		for _, t := range v.config.Pools[i].Targets {
			targets[t.ID] = true
		}
	}
	v.checkOutList("out.targets", out.Targets, "target", func(name string) bool { return targets[name] })
	// VMs are added and removed without a configuration change, so any name is accepted.
	v.checkOutList("out.vms", out.VMs, "VM", check.ValidName)
	v.checkPoolsInService()
}

func (v *validator) checkOutList(path string, list []string, kind string, known func(string) bool) {
	for i, name := range list {
		at := jsonc.Element(path, i)
		switch {
		case !known(name):
			v.Fail(at, fmt.Sprintf("unknown %s %q", kind, name), "a "+kind+" of this configuration")
		case slices.Contains(list[:i], name):
			v.Fail(at, fmt.Sprintf("%s %q is given twice", kind, name), "each "+kind+" once")
		}
	}
}

// checkPoolsInService warns about pools whose targets are all out of service.
func (v *validator) checkPoolsInService() {
	for i := range v.config.Pools {
		p := &v.config.Pools[i]
		inService := slices.ContainsFunc(p.Targets, func(t Target) bool { return !v.config.TargetOut(t) })
		if !inService && len(p.Targets) > 0 {
			v.Warn("out", fmt.Sprintf("every target of pool %q is out of service", p.Name), "at least one target in service")
		}
	}
}
