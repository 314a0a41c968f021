// Package placement decides the target groups of a cell, their gateways and the owners of slices. The decisions
// perform no I/O and are deterministic in their arguments and the state of a Balancer, so that recorded decisions can be
// replayed.
package placement

import (
	"cmp"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

const (
	// keyedWeight and plainWeight are the loads that keyed and other groups put on their gateway. The requests of a keyed
	// group can't fall back on another group, so it counts double.
	keyedWeight = 2.0
	plainWeight = 1.0
	// crossDomainCost is the added cost of a gateway outside the failure domain of the group. It exceeds the weight of one
	// keyed group, because each request then crosses failure domains twice.
	crossDomainCost = 2.5
	// outOfServiceCost keeps groups off routers that are out of service as long as any other router is left.
	outOfServiceCost = 1000.0
)

// Groups returns the target groups of a region, sorted by ID and without gateways. Targets that are out of service stay in
// their groups: the groups depend on the configured targets, not on which of them are out of service.
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
		for i, targets := range chunkTargets(byDomain[domain]) {
			groups = append(groups, topology.Group{ID: topology.NewGroupID(pool.Name, domain, i), Targets: targets})
		}
	}
	return groups
}

// chunkTargets divides targets into groups in the order of the configuration, so that a target appended at the end changes
// only the last group or adds one.
func chunkTargets(targets []string) [][]string {
	var out [][]string
	for chunk := range slices.Chunk(targets, topology.MaxGroupTargets) {
		out = append(out, slices.Clone(chunk))
	}
	return out
}

// Router is a router that can become the gateway of a group.
type Router struct {
	VM     string
	Domain string
	// Out is set if the failure domain or the VM of the router is out of service.
	Out bool
}

// GroupLoad is a group with its current gateway.
type GroupLoad struct {
	ID topology.GroupID
	// Keyed groups have a higher weight; see keyedWeight.
	Keyed bool
	// Gateway is empty for a group without a gateway.
	Gateway string
	// Fixed groups are in transition between gateways and aren't moved.
	Fixed bool
}

func (g GroupLoad) weight() float64 {
	if g.Keyed {
		return keyedWeight
	}
	return plainWeight
}

// GroupMove assigns a gateway to a group.
type GroupMove struct {
	Group topology.GroupID
	To    string
}

// AssignGroups chooses gateways for the groups that have none. Groups with a gateway keep it.
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
		to := cheapestRouter(g, routers, load)
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

func assignmentCost(g GroupLoad, r Router, load map[string]float64) float64 {
	c := load[r.VM] + g.weight()
	if r.Domain != g.ID.Domain() {
		c += crossDomainCost
	}
	if r.Out {
		c += outOfServiceCost
	}
	return c
}

func cheapestRouter(g GroupLoad, routers []Router, load map[string]float64) string {
	best := routers[0]
	for _, r := range routers[1:] {
		a, b := assignmentCost(g, r, load), assignmentCost(g, best, load)
		if a < b || a == b && r.VM < best.VM {
			best = r
		}
	}
	return best.VM
}

// RebalanceGroup returns the move that reduces the cost of the assignment most, if any reduces it enough. Moves are made
// one at a time, because each interrupts new requests of its group while the old gateway drains.
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
		to := cheapestRouter(g, routers, load)
		gain := assignmentCost(g, from, load) - assignmentCost(g, byVM[to], load)
		load[g.Gateway] += g.weight()
		// With a gain of at most the weight of the group, the move would only make the other router the more loaded one.
		if to != g.Gateway && gain > g.weight() && gain > bestGain {
			best = GroupMove{Group: g.ID, To: to}
			bestGain = gain
		}
	}
	return best, bestGain > 0
}
