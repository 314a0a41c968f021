// Package inventory holds what an entry VM knows about its deployment: the operator's configuration, the registered targets and
// the failure domains that are out of service. All values are immutable once published.
package inventory

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route defines which requests it applies to and how they are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once. All others run at most once.
	Idempotent bool
	// Timeout bounds how long a caller waits for an answer; zero sets no bound.
	Timeout time.Duration
	// Objective is the latency objective. All answers within it are equally good.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// MaxAttempts bounds the number of targets that one request is sent to.
	MaxAttempts int
	// PoolWeights are the pools that serve the route, with their weights.
	PoolWeights []PoolWeight
	// HomeRegions are the only regions that may serve the route; empty permits all.
	HomeRegions []string
	// Public routes need no credential.
	Public bool
}

// PoolWeight assigns a pool a share of the requests of a route, in proportion to its weight.
type PoolWeight struct {
	Pool   string
	Weight float64
}

// AllowsRegion reports whether a region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Pool is a set of targets that run the same service.
type Pool struct {
	Name string
	// MaxConnections bounds the connections of all callers together to one target.
	MaxConnections int
	// Keyed pools divide their keys among the targets.
	Keyed bool
	// ColdRate is the number of requests per second that a target can serve while it is cold. The broker uses 1 if it is zero.
	ColdRate float64
}

// Limits bounds the size and duration of requests from callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version uint64
	Limits  Limits
	Pools   map[string]*Pool
	// Organisations holds the organisations by name. It is nil or empty if there are none; then no request needs a credential.
	Organisations map[string]*Organisation
	// credentials holds the digests of all credentials under the salt.
	credentials map[digestPrefix][]credentialHolder
	salt        []byte
	// routes maps lower-case host names to their routes, those with longer prefixes first.
	routes map[string][]*Route
}

// NewConfiguration returns a configuration with its routes sorted for Match.
func NewConfiguration(version uint64, limits Limits, pools []*Pool, routes []*Route) *Configuration {
	c := &Configuration{Version: version, Limits: limits, Pools: map[string]*Pool{}, routes: map[string][]*Route{}}
	for _, p := range pools {
		c.Pools[p.Name] = p
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of a request with the longest matching path prefix, nil if there is none.
func (c *Configuration) Match(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := c.routes[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			list = c.routes[name]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasPool reports whether the configuration names a pool.
func (c *Configuration) HasPool(name string) bool {
	return c.Pools[name] != nil
}

// RouteCount returns the number of routes.
func (c *Configuration) RouteCount() int {
	n := 0
	for _, list := range c.routes {
		n += len(list)
	}
	return n
}
