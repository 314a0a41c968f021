package ingress

import (
	"sync"

	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/targetconn"
)

// connPools holds a connection pool per target.
type connPools struct {
	mu    sync.Mutex
	pools map[string]targetPool
}

type targetPool struct {
	address string
	pool    *targetconn.Pool
}

func newConnPools() *connPools {
	return &connPools{pools: map[string]targetPool{}}
}

// get returns the connection pool of a target. If the target's address has changed, the pool of the old address is closed.
func (p *connPools) get(target, address string) *targetconn.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.pools[target]
	if ok && entry.address == address {
		return entry.pool
	}
	if ok {
		entry.pool.Close()
	}
	pool := targetconn.NewPool(address)
	p.pools[target] = targetPool{address: address, pool: pool}
	return pool
}

// prune closes the pools of targets that are no longer in the snapshot. Requests in flight are not interrupted.
func (p *connPools) prune(s *inventory.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, entry := range p.pools {
		if s.Targets[id] == nil {
			entry.pool.Close()
			delete(p.pools, id)
		}
	}
}
