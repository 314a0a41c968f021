package ingress

import (
	"slices"
	"sync"

	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// poolSelector distributes the requests of each route over its pools by weight.
type poolSelector struct {
	mu     sync.Mutex
	routes map[string]*weightedRoundRobin
}

// weightedRoundRobin implements smooth weighted round-robin, which interleaves the pools instead of selecting one several
// times in a row.
type weightedRoundRobin struct {
	shares  []inventory.PoolWeight
	current []float64
}

// choose returns the name of the pool for the next request of the route.
func (s *poolSelector) choose(r *inventory.Route) string {
	if len(r.PoolWeights) == 1 {
		return r.PoolWeights[0].Pool
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rr := s.routes[r.Name]
	if rr == nil || !slices.Equal(rr.shares, r.PoolWeights) {
		rr = &weightedRoundRobin{shares: r.PoolWeights, current: make([]float64, len(r.PoolWeights))}
		s.routes[r.Name] = rr
	}
	return rr.next()
}

func (r *weightedRoundRobin) next() string {
	total, best := 0.0, -1
	for i, share := range r.shares {
		if share.Weight <= 0 {
			continue
		}
		r.current[i] += share.Weight
		total += share.Weight
		if best < 0 || r.current[i] > r.current[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	r.current[best] -= total
	return r.shares[best].Pool
}
