package coordinator

import (
	"slices"
	"sort"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
)

// Route is a slice in the form that VMs need to send requests.
type Route struct {
	From  int    `msgpack:"f"`
	To    int    `msgpack:"u"`
	Owner string `msgpack:"o"`
	// Pending is set if no target holds the keys at the moment.
	Pending bool `msgpack:"p,omitempty"`
	// ReadyIn is an upper estimate of how long the keys stay pending, in milliseconds.
	ReadyIn int64 `msgpack:"r,omitempty"`
}

// Routes returns the slices of all pools.
func (c *Coordinator) Routes(now clock.Instant) map[string][]Route {
	routes := map[string][]Route{}
	for name, p := range c.pools {
		if p.table == nil {
			continue
		}
		if now < p.heldUntil && p.knownRoutes != nil {
			routes[name] = p.knownRoutes
			continue
		}
		list := make([]Route, 0, len(p.table.Slices))
		for i := range p.table.Slices {
			s := &p.table.Slices[i]
			list = append(list, c.route(p, s, now))
		}
		routes[name] = list
	}
	return routes
}

// usualMoveDuration is the usual duration of a move if the previous owner responds to the release.
const usualMoveDuration = 400 * time.Millisecond

func (c *Coordinator) route(p *poolState, s *keyrange.Slice, now clock.Instant) Route {
	g := p.grants[s.Fence]
	r := Route{From: s.From, To: s.To, Owner: s.Owner}
	if g.ready || g.inherited && !g.released {
		// An earlier coordinator may have completed the move. If it has not, the owner refuses the requests.
		return r
	}
	r.Pending = true
	wait := usualMoveDuration
	if h := c.health[previousIncarnation(s)]; h != nil && h.failures > 0 && !g.released {
		wait = max(wait, g.previousEnd.Sub(now))
	}
	r.ReadyIn = wait.Milliseconds()
	return r
}

// equalIgnoringWait compares two routes except for ReadyIn, which changes constantly.
func (r Route) equalIgnoringWait(o Route) bool {
	r.ReadyIn, o.ReadyIn = 0, 0
	return r == o
}

// DiffRoutes returns the routes in current that are not in old.
func DiffRoutes(old, current []Route) []Route {
	known := make(map[int]Route, len(old))
	for _, r := range old {
		known[r.From] = r
	}
	var changed []Route
	for _, r := range current {
		if o, ok := known[r.From]; !ok || !o.equalIgnoringWait(r) {
			changed = append(changed, r)
		}
	}
	return changed
}

// PatchRoutes returns old with the changed routes in place of those that they overlap.
func PatchRoutes(old, changed []Route) []Route {
	patched := slices.DeleteFunc(slices.Clone(old), func(r Route) bool {
		return slices.ContainsFunc(changed, func(c Route) bool { return r.From <= c.To && c.From <= r.To })
	})
	patched = append(patched, changed...)
	sort.Slice(patched, func(i, j int) bool { return patched[i].From < patched[j].From })
	return patched
}

// FindRoute returns the route of a key, and whether there is one.
func FindRoute(routes []Route, key int) (Route, bool) {
	i := sort.Search(len(routes), func(i int) bool { return routes[i].To >= key })
	if i == len(routes) || routes[i].From > key {
		return Route{}, false
	}
	return routes[i], true
}
