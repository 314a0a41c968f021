// Package placement holds the pure decisions of a cell: its target groups, their gateways, and the owners of slices.
// Every function is deterministic in its arguments, so that recorded decisions can be replayed.
package placement

import (
	"cmp"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

const (
	// keyedWeight and plainWeight are the loads that a group puts on its gateway. A keyed group has no other group to
	// fall back on, so that it counts double.
	keyedWeight = 2.0
	plainWeight = 1.0
	// foreignDomainCost is what a gateway outside the group's failure domain costs in the choice. It is higher than one
	// keyed group, because each request then crosses failure domains twice.
	foreignDomainCost = 2.5
	// outDomainCost keeps groups off routers in a failure domain that is out while any other router is left.
	outDomainCost = 1000.0
)

// Groups returns the target groups of a region, sorted by ID, without gateways. Targets that are out stay in their
// groups: the groups of a configuration don't depend on what is out of service.
func Groups(cfg *config.Config, region string) []topology.Group {
	var groups []topology.Group
	for _, pool := range cfg.Pools {
		groups = append(groups, poolGroups(cfg, pool, region)...)
	}
	slices.SortFunc(groups, func(a, b topology.Group) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return groups
}

func poolGroups(cfg *config.Config, pool config.Pool, region string) []topology.Group {
	byDomain := map[string][]string{}
	var domains []string
	for _, t := range pool.Targets {
		if cfg.RegionOf(t.Domain) != region {
			continue
		}
		if byDomain[t.Domain] == nil {
			domains = append(domains, t.Domain)
		}
		byDomain[t.Domain] = append(byDomain[t.Domain], t.ID)
	}
	var groups []topology.Group
	for _, domain := range domains {
		for i, targets := range chunks(byDomain[domain]) {
			groups = append(groups, topology.Group{ID: topology.NewGroupID(pool.Name, domain, i), Targets: targets})
		}
	}
	return groups
}

// chunks cuts targets into numbered groups. The order of the configuration decides, so that a target appended at the end
// changes no other group.
func chunks(targets []string) [][]string {
	var out [][]string
	for c := range slices.Chunk(targets, topology.MaxGroupTargets) {
		out = append(out, slices.Clone(c))
	}
	return out
}

// Router is a candidate for gateway.
type Router struct {
	VM     string
	Domain string
	// Out tells that the router's failure domain or VM is out of service.
	Out bool
}

// GroupLoad is a group with its present gateway.
type GroupLoad struct {
	ID topology.GroupID
	// Keyed groups weigh more.
	Keyed bool
	// Gateway is empty for a free group.
	Gateway string
	// Fixed groups are not moved: they are between gateways.
	Fixed bool
}

func (g GroupLoad) weight() float64 {
	if g.Keyed {
		return keyedWeight
	}
	return plainWeight
}

// GroupMove gives a group a gateway.
type GroupMove struct {
	Group topology.GroupID
	To    string
}

// AssignGroups chooses gateways for the free groups and leaves all others where they are.
func AssignGroups(groups []GroupLoad, routers []Router) []GroupMove {
	if len(routers) == 0 {
		return nil
	}
	load := routerLoads(groups, routers)
	free := slices.DeleteFunc(slices.Clone(groups), func(g GroupLoad) bool { return g.Gateway != "" })
	slices.SortFunc(free, func(a, b GroupLoad) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.ID, b.ID))
	})
	moves := make([]GroupMove, 0, len(free))
	for _, g := range free {
		to := cheapest(g, routers, load)
		load[to] += g.weight()
		moves = append(moves, GroupMove{Group: g.ID, To: to})
	}
	return moves
}

func routerLoads(groups []GroupLoad, routers []Router) map[string]float64 {
	load := make(map[string]float64, len(routers))
	for _, g := range groups {
		if g.Gateway != "" {
			load[g.Gateway] += g.weight()
		}
	}
	return load
}

func cost(g GroupLoad, r Router, load map[string]float64) float64 {
	c := load[r.VM] + g.weight()
	if r.Domain != g.ID.Domain() {
		c += foreignDomainCost
	}
	if r.Out {
		c += outDomainCost
	}
	return c
}

func cheapest(g GroupLoad, routers []Router, load map[string]float64) string {
	best := routers[0]
	for _, r := range routers[1:] {
		a, b := cost(g, r, load), cost(g, best, load)
		if a < b || a == b && r.VM < best.VM {
			best = r
		}
	}
	return best.VM
}

// RebalanceGroup returns the one move that improves the assignment most, if any improves it enough. Moves are made one at
// a time, because each one interrupts new work of its group for as long as the old gateway drains.
func RebalanceGroup(groups []GroupLoad, routers []Router) (GroupMove, bool) {
	load := routerLoads(groups, routers)
	byVM := map[string]Router{}
	for _, r := range routers {
		byVM[r.VM] = r
	}
	var best GroupMove
	bestGain := 0.0
	for _, g := range groups {
		from, ok := byVM[g.Gateway]
		if !ok || g.Fixed {
			continue
		}
		load[g.Gateway] -= g.weight()
		to := cheapest(g, routers, load)
		gain := cost(g, from, load) - cost(g, byVM[to], load)
		load[g.Gateway] += g.weight()
		// A gain of one group's weight or less would only swap which router carries more.
		if to != g.Gateway && gain > g.weight() && gain > bestGain {
			best = GroupMove{Group: g.ID, To: to}
			bestGain = gain
		}
	}
	return best, bestGain > 0
}
