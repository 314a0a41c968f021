package coordinator

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func randomRoutes(r *rand.Rand) []Route {
	var routes []Route
	for from := 0; from < 1000; {
		to := min(999, from+r.IntN(200))
		routes = append(routes, Route{From: from, To: to, Owner: string(rune('a' + r.IntN(4))), Pending: r.IntN(5) == 0})
		from = to + 1
	}
	return routes
}

// Guards against VMs whose routes differ from the coordinator's after they have received only the changes.
func TestPatchRoutesAppliesDiff(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		old, current := randomRoutes(r), randomRoutes(r)
		if got := PatchRoutes(old, DiffRoutes(old, current)); !slices.Equal(got, current) {
			t.Fatalf("seed %d: got %v, want %v", seed, got, current)
		}
	}
}

// Guards against a key outside of all routes that is given the route of the next slice.
func TestFindRoute(t *testing.T) {
	routes := []Route{{From: 10, To: 19, Owner: "a"}, {From: 30, To: 39, Owner: "b"}}
	for key, owner := range map[int]string{5: "", 10: "a", 19: "a", 25: "", 30: "b", 40: ""} {
		if r, ok := FindRoute(routes, key); ok != (owner != "") || r.Owner != owner {
			t.Errorf("key %d: %v, %v", key, r, ok)
		}
	}
}
