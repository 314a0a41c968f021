package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/bronzelever/bronzelever/pkg/check"
	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/jsonc"
)

const (
	// maxBalancerLagMillis bounds the wait before connections are refused. A longer wait
	// for the load balancer would delay a replacement.
	maxBalancerLagMillis = 60_000
	// maxDrainMillis is the upper limit of drain.timeout_ms.
	maxDrainMillis = 600_000
)

// logLevels lists the allowed values of log_level.
var logLevels = []string{"debug", "info", "warn", "error"}

// checker extends check.Checker with checks of whole sections of the settings.
type checker struct {
	check.Checker
}

// SetDefaults implements Defaulter.
func (r *Router) SetDefaults() {
	if r.LogLevel == "" {
		r.LogLevel = DefaultLogLevel
	}
	if r.Drain.TimeoutMillis == 0 {
		r.Drain.TimeoutMillis = DefaultDrainMillis
	}
}

// SetDefaults implements Defaulter.
func (s *Controller) SetDefaults() {
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
}

const (
	// DefaultLogLevel is used if log_level is missing.
	DefaultLogLevel = "info"
	// DefaultDrainMillis is used if drain.timeout_ms is missing or 0.
	DefaultDrainMillis = 30_000
)

// Validate implements Validator.
func (r Router) Validate() finding.List {
	var c checker
	c.identity(r.Identity)
	c.listeners(map[string]string{
		"caller_listen": r.CallerListen,
		"peer_listen":   r.PeerListen,
		"admin_listen":  r.AdminListen,
	})
	c.peers(r.Peers)
	c.vmList(r.VMListURL)
	c.store(r.Store)
	c.Within("drain.balancer_lag_ms", r.Drain.BalancerLagMillis, 0, maxBalancerLagMillis)
	c.Within("drain.timeout_ms", r.Drain.TimeoutMillis, 1, maxDrainMillis)
	c.logLevel(r.LogLevel)
	return c.Findings
}

// Validate implements Validator.
func (s Controller) Validate() finding.List {
	var c checker
	c.identity(s.Identity)
	c.listeners(map[string]string{
		"listen":       s.Listen,
		"admin_listen": s.AdminListen,
	})
	c.peers(s.Peers)
	c.vmList(s.VMListURL)
	c.store(s.Store)
	c.logLevel(s.LogLevel)
	return c.Findings
}

// Validate implements Validator.
func (s Store) Validate() finding.List {
	var c checker
	c.storeAt("", s)
	return c.Findings
}

func (c *checker) identity(id Identity) {
	c.Name("vm", id.VM)
	c.Name("cell", id.Cell)
	c.Name("region", id.Region)
	c.Name("failure_domain", id.Domain)
}

// listeners checks that the listen addresses are valid and distinct.
func (c *checker) listeners(addresses map[string]string) {
	paths := make([]string, 0, len(addresses))
	for path := range addresses {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	seen := map[string]string{}
	for _, path := range paths {
		address := addresses[path]
		c.Address(path, address)
		if other, ok := seen[address]; ok && address != "" {
			c.Fail(path, fmt.Sprintf("%q is also %s", address, other), "one address per listener")
		}
		seen[address] = path
	}
}

func (c *checker) peers(peers []Peer) {
	seen := map[string]int{}
	for i, p := range peers {
		path := jsonc.Element("peers", i)
		c.Name(jsonc.Join(path, "vm"), p.VM)
		c.Name(jsonc.Join(path, "cell"), p.Cell)
		c.Address(jsonc.Join(path, "router"), p.Router)
		c.Address(jsonc.Join(path, "controller"), p.Controller)
		if first, ok := seen[p.VM]; ok && p.VM != "" {
			c.Fail(jsonc.Join(path, "vm"), fmt.Sprintf("%q is also peers[%d]", p.VM, first), "each VM once")
			continue
		}
		seen[p.VM] = i
	}
}

// vmList checks the URL of the VM list, which is optional.
func (c *checker) vmList(text string) {
	if text != "" {
		c.URL("vm_list_url", text)
	}
}

func (c *checker) store(s Store) {
	c.storeAt("store", s)
}

func (c *checker) storeAt(path string, s Store) {
	c.URL(jsonc.Join(path, "table_endpoint"), s.TableEndpoint)
	c.URL(jsonc.Join(path, "object_endpoint"), s.ObjectEndpoint)
	c.Required(jsonc.Join(path, "region"), s.Region, "the region of the store's API")
	c.Required(jsonc.Join(path, "table"), s.Table, "the name of the table")
	c.Required(jsonc.Join(path, "bucket"), s.Bucket, "the name of the bucket")
	c.Required(jsonc.Join(path, "access_key_env"), s.AccessKeyEnv, "the name of an environment variable")
	c.Required(jsonc.Join(path, "secret_key_env"), s.SecretKeyEnv, "the name of an environment variable")
}

func (c *checker) logLevel(level string) {
	CheckLogLevel(&c.Checker, level)
}

// CheckLogLevel adds a finding for the field log_level if level is not an allowed value.
func CheckLogLevel(c *check.Checker, level string) {
	if !slices.Contains(logLevels, level) {
		c.Fail("log_level", fmt.Sprintf("%q is not a level", level), strings.Join(logLevels, ", "))
	}
}
