// Package config holds the dynamic configuration: regions, pools, routes, tenants, and the failure domains, VMs
// and targets that are out of service. A configuration is immutable once loaded; each change creates a new version.
package config

import (
	"slices"
	"time"
)

// Milliseconds is a duration that JSON encodes as an integer number of milliseconds.
type Milliseconds int64

// Duration converts m to a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Config is one version of the dynamic configuration.
type Config struct {
	Version uint64   `json:"version"`
	Regions []Region `json:"regions"`
	Pools   []Pool   `json:"pools"`
	Routes  []Route  `json:"routes"`
	Tenants []Tenant `json:"tenants"`
	// Out lists the failure domains, VMs and targets that operators have taken out of service.
	Out Out `json:"out"`
	// LinkBytesPerSecond limits the rate at which a router sends data to other regions.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
}

// Region is a region with its failure domains.
type Region struct {
	Name string `json:"name"`
	// Domains are the failure domains of the region.
	Domains []string `json:"failure_domains"`
	// CallerURL is the URL, if set, that callers outside the region are given to reach it.
	CallerURL string `json:"caller_url,omitempty"`
}

// Out lists the failure domains, VMs and targets that receive no new work.
type Out struct {
	Domains []string `json:"failure_domains"`
	VMs     []string `json:"vms"`
	Targets []string `json:"targets"`
}

// Pool is a set of targets that run the same service.
type Pool struct {
	Name string `json:"name"`
	// Keyed reports whether each key is owned by a single target of the pool.
	Keyed bool `json:"keyed"`
	// GrantsChecked reports whether targets reject requests whose epoch is older than the granted one. False is the safe
	// default.
	GrantsChecked bool `json:"grants_checked"`
	// NotRunTrusted reports whether a target's "not executed" report can be trusted.
	NotRunTrusted bool `json:"not_run_trusted"`
	// Deduplicates reports whether targets themselves drop requests with a repeated Idempotency-Key.
	Deduplicates bool     `json:"deduplicates"`
	Targets      []Target `json:"targets"`
	// Slots is the number of requests that a target executes concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that a target accepts.
	Connections int `json:"connections"`
	// ColdConcurrency is the number of concurrent requests that a cold target can handle.
	ColdConcurrency int `json:"cold_concurrency"`
	// QueueLimit limits the number of requests queued in the gateway of a group.
	QueueLimit int `json:"queue_limit"`
	// MaxDeadline limits how long a target may execute one request.
	MaxDeadline Milliseconds `json:"max_deadline_ms"`
	// SlicesPerTarget is the number of hash ranges per target in a keyed pool.
	SlicesPerTarget int `json:"slices_per_target"`
	// MovesPerMinute limits how many slices of a keyed pool are moved per minute to rebalance load in one cell.
	MovesPerMinute int `json:"moves_per_minute"`
	// RepeatWindow is how long callers may repeat a non-idempotent request.
	RepeatWindow Milliseconds `json:"repeat_window_ms"`
}

// Target is a back end that executes requests.
type Target struct {
	ID string `json:"id"`
	// Address has the form host:port.
	Address string `json:"address"`
	// Domain is the failure domain of the target.
	Domain string `json:"failure_domain"`
}

// KeyPlace is the part of a request that holds the key.
type KeyPlace string

const (
	// KeyInHeader reads the key from the header KeySource.Name.
	KeyInHeader KeyPlace = "header"
	// KeyInPath reads the key from the path segment with the zero-based index KeySource.Segment.
	KeyInPath KeyPlace = "path"
	// KeyInQuery reads the key from the query parameter KeySource.Name.
	KeyInQuery KeyPlace = "query"
)

// KeySource describes where to find the key of a request. The zero value means that there is no key.
type KeySource struct {
	Place   KeyPlace `json:"place,omitempty"`
	Name    string   `json:"name,omitempty"`
	Segment int      `json:"segment,omitempty"`
}

// Route maps requests to a pool.
type Route struct {
	Name       string   `json:"name"`
	PathPrefix string   `json:"path_prefix"`
	Methods    []string `json:"methods"`
	Pool       string   `json:"pool"`
	// Class is the request class for metrics and reports.
	Class string `json:"class"`
	// Weight is the class weight of a request that is answered.
	Weight int `json:"weight"`
	// Idempotent reports whether a request may be executed more than once. False is the safe default.
	Idempotent bool `json:"idempotent"`
	// HomeRegions are the regions that may serve the route; empty means any region.
	HomeRegions []string     `json:"home_regions"`
	Key         KeySource    `json:"key"`
	Deadline    Milliseconds `json:"deadline_ms"`
	// MaxBodyBytes limits the size of the request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// Tenant is a caller with its home regions.
type Tenant struct {
	Name        string   `json:"name"`
	HomeRegions []string `json:"home_regions"`
}

// Pool returns the named pool.
func (c *Config) Pool(name string) (*Pool, bool) {
	i := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return nil, false
	}
	return &c.Pools[i], true
}

// RegionOf returns the region of a failure domain, or "" if unknown.
func (c *Config) RegionOf(domain string) string {
	for _, r := range c.Regions {
		if slices.Contains(r.Domains, domain) {
			return r.Name
		}
	}
	return ""
}

// TenantByName returns the named tenant.
func (c *Config) TenantByName(name string) (*Tenant, bool) {
	i := slices.IndexFunc(c.Tenants, func(t Tenant) bool { return t.Name == name })
	if i < 0 {
		return nil, false
	}
	return &c.Tenants[i], true
}

// DomainOut reports whether operators have taken the failure domain out of service.
func (c *Config) DomainOut(domain string) bool {
	return slices.Contains(c.Out.Domains, domain)
}

// TargetOut reports whether t is out of service, either itself or with its failure domain.
func (c *Config) TargetOut(t Target) bool {
	return c.DomainOut(t.Domain) || slices.Contains(c.Out.Targets, t.ID)
}
