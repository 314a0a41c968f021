package ingress

import (
	"sync"
	"time"
)

// ageEstimator estimates how long ago the first try of a request was. Callers use the same total timeout for all requests of a
// route and send the remaining part with each try, so the longest timeout seen on a route is that of a first try.
type ageEstimator struct {
	mu         sync.Mutex
	maxTimeout map[string]time.Duration
}

// maxRoutes bounds the number of routes that are remembered; configurations have a few hundred.
const maxRoutes = 4096

// age returns the time since the first try of a request that arrives with the given remaining timeout.
func (a *ageEstimator) age(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	longest, ok := a.maxTimeout[route]
	if timeout > longest {
		if ok || len(a.maxTimeout) < maxRoutes {
			a.maxTimeout[route] = timeout
		}
		return 0
	}
	return longest - timeout
}
