package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Question asks who serves a key.
type Question struct {
	// Route names a route of a keyed pool; its home regions count.
	Route string
	// Key is used on this machine only: nothing but its hash decides, and nothing is sent.
	Key    string
	Tenant string
}

// Explanation tells who serves a key and why.
type Explanation struct {
	Route  string `json:"route"`
	Pool   string `json:"pool"`
	Tenant string `json:"tenant,omitempty"`
	// Regions are the permitted ones.
	Regions []string `json:"regions"`
	// Hash is decimal, since JSON numbers lose precision beyond 53 bits.
	Hash          string           `json:"hash"`
	Cell          string           `json:"cell"`
	Low           string           `json:"slice_low"`
	High          string           `json:"slice_high"`
	Owner         string           `json:"owner"`
	SliceEpoch    topology.Epoch   `json:"slice_epoch"`
	Successors    []string         `json:"successors"`
	Group         topology.GroupID `json:"group"`
	Gateway       string           `json:"gateway"`
	Address       string           `json:"gateway_address"`
	GroupEpoch    topology.Epoch   `json:"group_epoch"`
	TableVersion  string           `json:"table_version"`
	ConfigVersion uint64           `json:"config_version"`
	ConfigFrom    string           `json:"config_from"`
}

// Explain finds cell, slice, owner and gateway of a key in the same way as a router does.
func (o *Operator) Explain(ctx context.Context, q Question) (Explanation, error) {
	c, from, err := o.knownConfig(ctx)
	switch {
	case c == nil && err != nil:
		return Explanation{}, err
	case c == nil:
		return Explanation{}, errors.New("no configuration has been applied yet")
	}
	e := Explanation{Route: q.Route, Tenant: q.Tenant, ConfigVersion: c.Version, ConfigFrom: from}
	hash, err := e.locate(c, q)
	if err != nil {
		return e, err
	}
	i := slices.IndexFunc(o.o.Cells, func(cell Cell) bool { return cell.Name == e.Cell })
	if i < 0 {
		return e, fmt.Errorf("the key lives in cell %q; no controller of this cell is configured", e.Cell)
	}
	status, err := o.active(ctx, o.o.Cells[i])
	if err != nil {
		return e, fmt.Errorf("the key lives in cell %q: %w", e.Cell, err)
	}
	if status.Table == nil {
		return e, fmt.Errorf("the controller of cell %q has no table yet", e.Cell)
	}
	return e, e.lookUp(status.Table, hash)
}

// locate computes hash and cell from the configuration alone.
func (e *Explanation) locate(c *config.Config, q Question) (uint64, error) {
	i := slices.IndexFunc(c.Routes, func(r config.Route) bool { return r.Name == q.Route })
	if i < 0 {
		return 0, fmt.Errorf("unknown route %q; the routes are %s", q.Route, routeNames(c))
	}
	route := &c.Routes[i]
	pool, ok := c.Pool(route.Pool)
	if !ok || !pool.Keyed {
		return 0, fmt.Errorf("route %q leads to pool %q, which is not keyed: any target may serve the request", q.Route, route.Pool)
	}
	e.Pool = pool.Name
	bound, tenantHome, err := tenantOf(c, q.Tenant)
	if err != nil {
		return 0, err
	}
	e.Regions = permitted(c, route.HomeRegions, tenantHome)
	if len(e.Regions) == 0 {
		return 0, fmt.Errorf("route %q and tenant %q have no home region in common", q.Route, q.Tenant)
	}
	hash := topology.KeyHash(pool.Name, bound, q.Key)
	e.Hash = strconv.FormatUint(hash, 10)
	e.Cell = topology.Rendezvous(hash, candidates(c, pool, e.Regions))
	if e.Cell == "" {
		return 0, fmt.Errorf("pool %q has no target in %s", pool.Name, strings.Join(e.Regions, ", "))
	}
	return hash, nil
}

// tenantOf returns the name that is part of the key hash, and the home regions.
func tenantOf(c *config.Config, name string) (string, []string, error) {
	if name == "" {
		return "", nil, nil
	}
	tenant, ok := c.TenantByName(name)
	if !ok {
		return "", nil, fmt.Errorf("unknown tenant %q", name)
	}
	if len(tenant.HomeRegions) == 0 {
		return "", nil, nil
	}
	return tenant.Name, tenant.HomeRegions, nil
}

// permitted returns the regions that both lists permit; an empty list permits all.
func permitted(c *config.Config, route, tenant []string) []string {
	var regions []string
	for _, r := range c.Regions {
		byRoute := len(route) == 0 || slices.Contains(route, r.Name)
		byTenant := len(tenant) == 0 || slices.Contains(tenant, r.Name)
		if byRoute && byTenant {
			regions = append(regions, r.Name)
		}
	}
	return regions
}

// candidates weighs the cells by their number of targets, whether these are in service or not.
func candidates(c *config.Config, pool *config.Pool, regions []string) []topology.WeightedCandidate {
	count := map[string]int{}
	for _, t := range pool.Targets {
		count[c.RegionOf(t.Domain)]++
	}
	var cells []topology.WeightedCandidate
	for _, region := range regions {
		cells = append(cells, topology.WeightedCandidate{Name: region, Weight: float64(count[region])})
	}
	return cells
}

func (e *Explanation) lookUp(table *topology.Table, hash uint64) error {
	e.TableVersion = table.Version.String()
	slice, ok := table.Slice(e.Pool, hash)
	if !ok {
		return fmt.Errorf("the table of cell %q has no slice for this key yet", e.Cell)
	}
	e.Low = strconv.FormatUint(slice.Low, 10)
	e.High = strconv.FormatUint(slice.High, 10)
	e.SliceEpoch = slice.Epoch
	e.Successors = slice.Successors
	if slice.Owner == "" {
		return fmt.Errorf("the slice is between owners; the successors are %s", strings.Join(slice.Successors, ", "))
	}
	e.Owner = slice.Owner
	group, ok := table.GroupOfTarget(slice.Owner)
	if !ok {
		return fmt.Errorf("target %q is in no group of the table", slice.Owner)
	}
	e.Group = group.ID
	e.Gateway = group.Gateway
	e.Address = group.GatewayAddress
	e.GroupEpoch = group.Epoch
	if group.Gateway == "" {
		return fmt.Errorf("no router holds group %s at the moment", group.ID)
	}
	return nil
}

func routeNames(c *config.Config) string {
	var names []string
	for _, r := range c.Routes {
		names = append(names, r.Name)
	}
	return strings.Join(names, ", ")
}
