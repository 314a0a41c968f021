package inventory

import "slices"

// Organisation is a customer of the operator that sends requests under credentials of its own.
type Organisation struct {
	Name string
	// Priority is the rank of the organisation; 0 is the highest. It takes precedence over the priority of the route.
	Priority int
	// Rate is the number of requests per second that the organisation may send to all VMs together, and Burst the number that it may
	// send at once. A Rate of 0 sets no limit.
	Rate, Burst float64
	// HomeRegions are the only regions that may serve the organisation; empty permits all.
	HomeRegions []string
	// Credentials is the number of credentials that the organisation has.
	Credentials int
}

// AllowsRegion reports whether a region may serve the organisation.
func (o *Organisation) AllowsRegion(region string) bool {
	return len(o.HomeRegions) == 0 || slices.Contains(o.HomeRegions, region)
}

// priorityLevels is the number of priorities of routes that are told apart within one priority of organisations.
const priorityLevels = 256

// RequestPriority returns the rank of a request of an organisation for a route: the organisation's priority decides, and the route's
// among requests of equal organisations. Without an organisation it is the route's priority alone.
func RequestPriority(o *Organisation, r *Route) int {
	if o == nil {
		return r.Priority
	}
	level := func(p int) int { return min(max(0, p), priorityLevels-1) }
	return level(o.Priority)*priorityLevels + level(r.Priority)
}
