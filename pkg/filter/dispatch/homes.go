package dispatch

import (
	"cmp"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// homes lists the cells and home groups to which the keys and orders of each pool may be assigned. It depends only on the
// configuration's pools and regions, not on tables or on what is out of service, so that all routers with the same
// configuration choose the same cell and home group.
type homes struct {
	cfg   *config.Config
	pools map[string]poolHomes
}

type poolHomes struct {
	cells  []cellHome
	groups []groupHome
}

// cellHome is a cell and the number of the pool's targets in it. A cell has the name of its region.
type cellHome struct {
	region  string
	targets int
}

type groupHome struct {
	id     topology.GroupID
	region string
}

func newHomes(cfg *config.Config) *homes {
	h := &homes{cfg: cfg, pools: map[string]poolHomes{}}
	for i := range cfg.Pools {
		h.pools[cfg.Pools[i].Name] = newPoolHomes(cfg, &cfg.Pools[i])
	}
	return h
}

func newPoolHomes(cfg *config.Config, pool *config.Pool) poolHomes {
	byRegion := map[string]int{}
	byDomain := map[string]int{}
	for _, t := range pool.Targets {
		byRegion[cfg.RegionOf(t.Domain)]++
		byDomain[t.Domain]++
	}
	var p poolHomes
	for region, n := range byRegion {
		p.cells = append(p.cells, cellHome{region: region, targets: n})
	}
	for domain, n := range byDomain {
		for index := 0; index*topology.MaxGroupTargets < n; index++ {
			id := topology.NewGroupID(pool.Name, domain, index)
			p.groups = append(p.groups, groupHome{id: id, region: cfg.RegionOf(domain)})
		}
	}
	slices.SortFunc(p.cells, func(a, b cellHome) int { return cmp.Compare(a.region, b.region) })
	slices.SortFunc(p.groups, func(a, b groupHome) int { return cmp.Compare(a.id, b.id) })
	return p
}

// cell returns the cell of a key, or "" if no permitted region has targets.
func (p poolHomes) cell(hash uint64, permitted []string) string {
	candidates := make([]topology.WeightedCandidate, 0, len(p.cells))
	for _, c := range p.cells {
		if permits(permitted, c.region) {
			candidates = append(candidates, topology.WeightedCandidate{Name: c.region, Weight: float64(c.targets)})
		}
	}
	return topology.Rendezvous(hash, candidates)
}

// group returns the home group of an order and the group's cell.
func (p poolHomes) group(hash uint64, permitted []string) (topology.GroupID, string) {
	candidates := make([]topology.WeightedCandidate, 0, len(p.groups))
	regions := make(map[string]string, len(p.groups))
	for _, g := range p.groups {
		if permits(permitted, g.region) {
			candidates = append(candidates, topology.WeightedCandidate{Name: string(g.id), Weight: 1})
			regions[string(g.id)] = g.region
		}
	}
	name := topology.Rendezvous(hash, candidates)
	return topology.GroupID(name), regions[name]
}

// permits reports whether home contains region. An empty home permits every region.
func permits(home []string, region string) bool {
	return len(home) == 0 || slices.Contains(home, region)
}
