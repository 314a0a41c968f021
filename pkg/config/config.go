// Package config holds the dynamic configuration: regions, pools, routes, tenants and what is out of service. A
// configuration is immutable once loaded; a change is a new version.
package config

import (
	"slices"
	"time"
)

// Milliseconds is a duration that is written in JSON as whole milliseconds.
type Milliseconds int64

// Duration converts to time.Duration.
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
	// Out lists what operators have taken out of service.
	Out Out `json:"out"`
	// LinkBytesPerSecond caps what a router sends to other regions.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
}

// Region is a region with its failure domains.
type Region struct {
	Name string `json:"name"`
	// Domains are the failure domains of the region.
	Domains []string `json:"failure_domains"`
	// CallerURL is where callers outside the region are told to go, if set.
	CallerURL string `json:"caller_url,omitempty"`
}

// Out names what receives no new work.
type Out struct {
	Domains []string `json:"failure_domains"`
	VMs     []string `json:"vms"`
	Targets []string `json:"targets"`
}

// Pool is a set of targets that run the same service.
type Pool struct {
	Name string `json:"name"`
	// Keyed pools have one owner target per key.
	Keyed bool `json:"keyed"`
	// GrantsChecked tells that targets refuse requests with an older epoch than granted. False is the safe default.
	GrantsChecked bool `json:"grants_checked"`
	// NotRunTrusted tells that a target's report of "not executed" may be believed.
	NotRunTrusted bool `json:"not_run_trusted"`
	// Deduplicates tells that targets drop a repeated Idempotency-Key themselves.
	Deduplicates bool     `json:"deduplicates"`
	Targets      []Target `json:"targets"`
	// Slots is the number of requests that a target executes at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that a target accepts.
	Connections int `json:"connections"`
	// ColdConcurrency is what a cold target bears.
	ColdConcurrency int `json:"cold_concurrency"`
	// QueueLimit bounds the requests that wait in the gateway of a group.
	QueueLimit int `json:"queue_limit"`
	// MaxDeadline bounds how long a target may work on one request.
	MaxDeadline Milliseconds `json:"max_deadline_ms"`
	// SlicesPerTarget is the number of hash ranges per target in a keyed pool.
	SlicesPerTarget int `json:"slices_per_target"`
	// MovesPerMinute is the churn budget of a keyed pool in one cell.
	MovesPerMinute int `json:"moves_per_minute"`
	// RepeatWindow is how long callers may send the same order again.
	RepeatWindow Milliseconds `json:"repeat_window_ms"`
}

// Target is a back end.
type Target struct {
	ID string `json:"id"`
	// Address is host:port.
	Address string `json:"address"`
	// Domain is the failure domain.
	Domain string `json:"failure_domain"`
}

// KeyPlace tells where the key stands in a request.
type KeyPlace string

const (
	// KeyInHeader takes the key from the header KeySource.Name.
	KeyInHeader KeyPlace = "header"
	// KeyInPath takes the path segment with the index KeySource.Segment, counted from 0.
	KeyInPath KeyPlace = "path"
	// KeyInQuery takes the query parameter KeySource.Name.
	KeyInQuery KeyPlace = "query"
)

// KeySource tells how to read the key of a request. The zero value means no key.
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
	// Weight is the class weight of one answered request.
	Weight int `json:"weight"`
	// Idempotent requests may run more than once. False is the safe default.
	Idempotent bool `json:"idempotent"`
	// HomeRegions binds the route; empty means any region.
	HomeRegions []string     `json:"home_regions"`
	Key         KeySource    `json:"key"`
	Deadline    Milliseconds `json:"deadline_ms"`
	// MaxBodyBytes bounds the request body.
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

// DomainOut tells whether operators have taken the failure domain out of service.
func (c *Config) DomainOut(domain string) bool {
	return slices.Contains(c.Out.Domains, domain)
}

// TargetOut tells whether a target receives no new work, by itself or by its failure domain.
func (c *Config) TargetOut(t Target) bool {
	return c.DomainOut(t.Domain) || slices.Contains(c.Out.Targets, t.ID)
}
