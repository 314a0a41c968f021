package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// comparison collects what a document changes in the version in force.
type comparison struct {
	inForce, next *Document
	findings      finding.List
}

// Compare returns the changes from the version in force to the next one. The position of something removed is in the file of the version
// in force. A version that doesn't rise is an error.
func Compare(inForce, next *Document) finding.List {
	c := &comparison{inForce: inForce, next: next}
	c.compareVersions()
	c.compareLimits()
	c.comparePools()
	c.compareRoutes()
	c.compareOrganisations()
	return c.findings
}

func (c *comparison) add(d *Document, item string, field Field, risky bool, format string, args ...any) {
	if f, ok := d.finding(finding.Change, item, field, fmt.Sprintf(format, args...)); ok {
		f.Risky = risky
		c.findings.Add(f)
	}
}

// value adds a change of a field of the next document, if there is one.
func value[T comparable](c *comparison, item string, field Field, was, is T, risky bool) {
	if was != is {
		c.add(c.next, item, field, risky, "was %v, becomes %v", was, is)
	}
}

// limit is like value for a limit, 0 being none. A lower limit is risky.
func limit[T int | int64 | float64 | time.Duration](c *comparison, item string, field Field, was, is T) {
	text := func(v T) string {
		if v == 0 {
			return "no limit"
		}
		return fmt.Sprint(v)
	}
	if was != is {
		c.add(c.next, item, field, is != 0 && (was == 0 || is < was), "was %s, becomes %s", text(was), text(is))
	}
}

// regions adds a change of home regions. Fewer regions have fewer targets; more of them let data leave those that it was bound to.
func (c *comparison) regions(item string, was, is []string) {
	text := func(regions []string) string {
		if len(regions) == 0 {
			return "all regions"
		}
		return strings.Join(sortedSet(regions), ", ")
	}
	value(c, item, HomeRegions, text(was), text(is), true)
}

func sortedSet(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}

func (c *comparison) compareVersions() {
	if c.next.Version > c.inForce.Version {
		value(c, "", Version, c.inForce.Version, c.next.Version, false)
		return
	}
	message := fmt.Sprintf("%d isn't higher than that of the version in force, %d", c.next.Version, c.inForce.Version)
	if f, ok := c.next.finding(finding.Error, "", Version, message); ok {
		c.findings.Add(f)
	}
}

func (c *comparison) compareLimits() {
	item, was, is := c.next.limitsPath(), c.inForce.Limits, c.next.Limits
	limit(c, item, HeaderBytes, was.HeaderBytes, is.HeaderBytes)
	limit(c, item, BodyBytes, was.BodyBytes, is.BodyBytes)
	limit(c, item, HeaderTimeout, was.HeaderTimeout, is.HeaderTimeout)
	limit(c, item, IdleTimeout, was.IdleTimeout, is.IdleTimeout)
}

func (c *comparison) comparePools() {
	old, kept := map[string]PoolItem{}, map[string]bool{}
	for _, p := range c.inForce.Pools {
		old[p.Name] = p
	}
	for _, p := range c.next.Pools {
		kept[p.Name] = true
		if was, ok := old[p.Name]; ok {
			c.comparePool(was, p)
			continue
		}
		c.add(c.next, p.Path, Self, false, "pool %q is added", p.Name)
	}
	for _, p := range c.inForce.Pools {
		if !kept[p.Name] {
			c.add(c.inForce, p.Path, Self, true, "pool %q is removed; its targets get no requests", p.Name)
		}
	}
}

func (c *comparison) comparePool(was, is PoolItem) {
	limit(c, is.Path, MaxConnections, was.MaxConnections, is.MaxConnections)
	value(c, is.Path, Keyed, was.Keyed, is.Keyed, true)
	value(c, is.Path, ColdRate, was.ColdRate, is.ColdRate, false)
	value(c, is.Path, WarmupTime, was.WarmupTime, is.WarmupTime, false)
}

// routesByKey returns the routes that requests can match, by what callers address. Of two with the same key the first one matches.
func routesByKey(d *Document) map[routeKey]RouteItem {
	routes := map[routeKey]RouteItem{}
	for _, h := range d.Hosts {
		for _, r := range h.Routes {
			if _, ok := routes[keyOf(r.Host, r.Prefix)]; !ok {
				routes[keyOf(r.Host, r.Prefix)] = r
			}
		}
	}
	return routes
}

// compareRoutes compares routes by host and prefix, since that is what callers address.
func (c *comparison) compareRoutes() {
	old, next := routesByKey(c.inForce), routesByKey(c.next)
	before, after := c.inForce.configuration(), c.next.configuration()
	for _, r := range sortedRoutes(next) {
		if was, ok := old[keyOf(r.Host, r.Prefix)]; ok {
			c.compareRoute(was, r)
			continue
		}
		c.addRoute(r, before.Match(r.Host, r.Prefix))
	}
	for _, r := range sortedRoutes(old) {
		if _, ok := next[keyOf(r.Host, r.Prefix)]; !ok {
			c.removeRoute(r, after.Match(r.Host, r.Prefix))
		}
	}
}

func sortedRoutes(routes map[routeKey]RouteItem) []RouteItem {
	list := make([]RouteItem, 0, len(routes))
	for _, r := range routes {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b RouteItem) int { return cmp.Compare(a.Path, b.Path) })
	return list
}

// addRoute adds the change for a new route. former is the route that its requests matched before, nil if none.
func (c *comparison) addRoute(r RouteItem, former *inventory.Route) {
	if former == nil {
		c.add(c.next, r.Path, Self, false, "route %q is added", r.Name)
		return
	}
	moves := !slices.Equal(servingPools(former), servingPools(&r.Route))
	c.add(c.next, r.Path, Self, moves, "route %q is added; its requests went to route %q (pool %s) and will go to pool %s",
		r.Name, former.Name, poolsText(former), poolsText(&r.Route))
}

// removeRoute adds the change for a removed route. other is the route that its requests match afterwards, nil if none.
func (c *comparison) removeRoute(r RouteItem, other *inventory.Route) {
	if other == nil {
		c.add(c.inForce, r.Path, Self, true, "route %q is removed; requests for %s%s will match no route", r.Name, r.Host, r.Prefix)
		return
	}
	c.add(c.inForce, r.Path, Self, true, "route %q is removed; requests for %s%s will go to route %q (pool %s)",
		r.Name, r.Host, r.Prefix, other.Name, poolsText(other))
}

func (c *comparison) compareRoute(was, is RouteItem) {
	value(c, is.Path, Name, was.Name, is.Name, false)
	field := Pool
	if len(is.SplitPaths) > 0 {
		field = Split
	}
	moves := !slices.Equal(servingPools(&was.Route), servingPools(&is.Route))
	value(c, is.Path, field, poolsText(&was.Route), poolsText(&is.Route), moves)
	value(c, is.Path, Kind, kindText(was.Idempotent), kindText(is.Idempotent), true)
	limit(c, is.Path, Timeout, was.Timeout, is.Timeout)
	value(c, is.Path, Objective, was.Objective, is.Objective, false)
	value(c, is.Path, Priority, was.Priority, is.Priority, false)
	value(c, is.Path, MaxAttempts, max(1, was.MaxAttempts), max(1, is.MaxAttempts), false)
	c.regions(is.Path, was.HomeRegions, is.HomeRegions)
	value(c, is.Path, Public, was.Public, is.Public, true)
}

// servingPools returns the pools that get requests of a route, sorted.
func servingPools(r *inventory.Route) []string {
	var names []string
	for _, w := range r.PoolWeights {
		if w.Weight > 0 {
			names = append(names, w.Pool)
		}
	}
	return sortedSet(names)
}

func poolsText(r *inventory.Route) string {
	if len(r.PoolWeights) == 1 {
		return r.PoolWeights[0].Pool
	}
	var parts []string
	for _, w := range r.PoolWeights {
		parts = append(parts, fmt.Sprintf("%s (weight %v)", w.Pool, w.Weight))
	}
	return strings.Join(parts, ", ")
}

func kindText(idempotent bool) string {
	if idempotent {
		return "idempotent"
	}
	return "at most once"
}
