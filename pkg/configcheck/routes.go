package configcheck

import (
	"strings"
)

// routeKey is what callers address: a host in lower case and a path prefix.
type routeKey struct{ host, prefix string }

func keyOf(host, prefix string) routeKey {
	return routeKey{strings.ToLower(host), prefix}
}

// firstHost is where a host, in lower case, appears first.
type firstHost struct{ name, path string }

// routeNames holds where the names of routes appear first.
type routeNames struct {
	// onHost distinguishes the names by host, anywhere doesn't.
	onHost, anywhere map[string]string
}

func (c *checker) checkHosts() {
	hosts, prefixes, pools := map[string]firstHost{}, map[routeKey]string{}, map[string]bool{}
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	names := routeNames{map[string]string{}, map[string]string{}}
	for _, h := range c.Hosts {
		c.checkHost(h, hosts)
		for _, r := range h.Routes {
			c.checkPrefix(r, prefixes)
			c.checkRouteName(h, r, names)
			c.checkRouteLimits(r)
			c.checkRoutePools(r, pools)
			c.checkRegions(r.Path, r.HomeRegions)
		}
	}
}

func (c *checker) checkHost(h HostItem, seen map[string]firstHost) {
	lower := strings.ToLower(h.Name)
	first, ok := seen[lower]
	switch {
	case h.Name == "":
		c.fail(h.Path, Host, "is missing or empty")
	case ok && first.name != h.Name:
		c.warn(h.Path, Host, "differs only in letter case from %s; callers can't tell them apart", first.path)
	case ok:
		c.warn(h.Path, Host, "is already listed at %s; the routes of both apply", first.path)
	case len(h.Routes) == 0:
		c.warn(h.Path, Self, "has no routes, so that all requests for it are refused")
	}
	if !ok {
		seen[lower] = firstHost{h.Name, h.Path}
	}
}

func (c *checker) checkPrefix(r RouteItem, seen map[routeKey]string) {
	key := keyOf(r.Host, r.Prefix)
	first, ok := seen[key]
	switch {
	case r.Prefix == "":
		c.fail(r.Path, Prefix, "is missing or empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		c.fail(r.Path, Prefix, "must begin and end with a slash")
	case ok:
		c.warn(r.Path, Prefix, "%s has the same host and prefix, so that this route never matches", first)
	}
	if !ok {
		seen[key] = r.Path
	}
}

// checkRouteName reports names that appear twice. VMs keep statistics of response times by name, also across hosts.
func (c *checker) checkRouteName(h HostItem, r RouteItem, seen routeNames) {
	// Hosts contain no slash.
	full := strings.ToLower(h.Name) + "/" + r.Name
	switch {
	case r.Name == "":
		c.fail(r.Path, Name, "is missing or empty")
		return
	case seen.onHost[full] != "":
		c.fail(r.Path, Name, "%q is already the name of %s", r.Name, seen.onHost[full])
	case seen.anywhere[r.Name] != "":
		c.warn(r.Path, Name, "%q is also the name of %s; VMs mix the response times of both", r.Name, seen.anywhere[r.Name])
	}
	if seen.onHost[full] == "" {
		seen.onHost[full] = r.Path
	}
	if seen.anywhere[r.Name] == "" {
		seen.anywhere[r.Name] = r.Path
	}
}

func (c *checker) checkRouteLimits(r RouteItem) {
	objective := checkRange(c, r.Path, Objective, r.Objective, maxPlausibleTime)
	if checkRange(c, r.Path, Timeout, r.Timeout, maxPlausibleTime) && objective && r.Timeout > 0 {
		c.checkTimeout(r)
	}
	if checkRange(c, r.Path, MaxAttempts, r.MaxAttempts, maxPlausibleAttempts) && r.MaxAttempts == 0 {
		c.warn(r.Path, MaxAttempts, "is 0 or missing; VMs use 1")
	}
	switch {
	case r.Priority < 0:
		c.fail(r.Path, Priority, "is negative")
	case r.Priority > maxPriority:
		c.warn(r.Path, Priority, "is above %d, beyond which ranks aren't distinguished if there are organisations", maxPriority)
	}
}

func (c *checker) checkTimeout(r RouteItem) {
	switch {
	case r.Timeout < minAnswerTime:
		c.warn(r.Path, Timeout, "%v is shorter than any answer takes", r.Timeout)
	case float64(r.Timeout) < minTimeoutShare*float64(r.Objective):
		c.warn(r.Path, Timeout, "%v is below a tenth of the objective, %v; hardly any answer can come in time", r.Timeout, r.Objective)
	case r.Objective > r.Timeout:
		c.warn(r.Path, Objective, "%v is above the timeout, %v", r.Objective, r.Timeout)
	}
}

func (c *checker) checkRoutePools(r RouteItem, pools map[string]bool) {
	if len(r.SplitPaths) == 0 {
		c.checkPoolName(r.Path, Pool, r.PoolWeights[0].Pool, pools)
		return
	}
	if r.UnusedPool != "" {
		c.warn(r.Path, Pool, "has no effect, because the route has a split")
	}
	sum, seen := 0.0, map[string]bool{}
	for i, w := range r.PoolWeights {
		c.checkPoolName(r.SplitPaths[i], Pool, w.Pool, pools)
		if seen[w.Pool] {
			c.warn(r.SplitPaths[i], Pool, "pool %q appears twice in the split", w.Pool)
		}
		if w.Weight < 0 {
			c.fail(r.SplitPaths[i], Self, "the weight is negative")
		}
		seen[w.Pool] = true
		sum += max(0, w.Weight)
	}
	if sum == 0 {
		c.fail(r.Path, Split, "the weights sum to 0")
	}
}

func (c *checker) checkPoolName(item string, field Field, name string, pools map[string]bool) {
	switch {
	case c.Index.Rejected(c.path("", Pools)):
	case name == "":
		c.fail(item, field, "is missing or empty")
	case !pools[name]:
		c.fail(item, field, "no pool %q is listed", name)
	}
}
