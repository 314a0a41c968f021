package inventory

import (
	"testing"
	"time"
)

// Guards against distinguishing kinds of requests where one estimate serves all, or where requests don't show their kind.
func TestMixedObjectives(t *testing.T) {
	for _, c := range []struct {
		name                string
		priorities          [2]int
		objectives, weights [2]float64
		mixed               bool
	}{
		{"urgent beside long", [2]int{0, 1}, [2]float64{0.3, 1.5}, [2]float64{1, 1}, true},
		{"similar", [2]int{0, 1}, [2]float64{0.5, 0.9}, [2]float64{1, 1}, false},
		{"same priority", [2]int{1, 1}, [2]float64{0.3, 1.5}, [2]float64{1, 1}, false},
		{"no objective", [2]int{0, 1}, [2]float64{0, 1.5}, [2]float64{1, 1}, false},
		{"no requests", [2]int{0, 1}, [2]float64{0.3, 1.5}, [2]float64{0, 1}, false},
	} {
		var routes []*Route
		for i := range c.priorities {
			routes = append(routes, &Route{Priority: c.priorities[i], Objective: time.Duration(c.objectives[i] * float64(time.Second)), PoolWeights: []PoolWeight{{"p", c.weights[i]}, {"q", 0}}})
		}
		configuration := NewConfiguration(1, Limits{}, []*Pool{{Name: "p"}, {Name: "q"}}, routes)
		if configuration.MixedObjectives("p") != c.mixed || configuration.MixedObjectives("q") {
			t.Errorf("%s: mixed %v", c.name, !c.mixed)
		}
	}
}
