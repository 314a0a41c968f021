package config

import (
	"reflect"
	"slices"
)

// DiffOut lists the differences between the out-of-service lists of two configurations.
func DiffOut(older, newer *Config) []Change {
	var d differ
	d.compare("out", reflect.ValueOf(orEmpty(older).Out), reflect.ValueOf(orEmpty(newer).Out))
	return d.changes
}

// PruneOut removes from c.Out the failure domains and targets that are no longer part of the configuration. It keeps VMs,
// since the configuration doesn't list them. It returns c.
func (c *Config) PruneOut() *Config {
	c.Out.Domains = slices.DeleteFunc(c.Out.Domains, func(domain string) bool { return c.RegionOf(domain) == "" })
	known := map[string]bool{}
	for i := range c.Pools {
		for _, t := range c.Pools[i].Targets {
			known[t.ID] = true
		}
	}
	c.Out.Targets = slices.DeleteFunc(c.Out.Targets, func(id string) bool { return !known[id] })
	return c
}
