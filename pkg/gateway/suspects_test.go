package gateway

import (
	"slices"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/exchange"
)

// Guards against fingerprints of bound requests that leave their home regions, and against a request that takes down two
// targets in each region because the other regions never hear of it.
func TestSuspectsCrossOnlyToPermittedRegions(t *testing.T) {
	f := newFixture(t, defaultPool(1))
	f.gateway.view.Store(&exchange.View{
		Cell:   "home",
		Config: &config.Config{Regions: []config.Region{{Name: "home"}, {Name: "away"}, {Name: "far"}}},
	})
	f.gateway.crashed(testPool, []exposed{
		{fingerprint: 1},
		{fingerprint: 2, homeRegions: []string{"home"}},
		{fingerprint: 3, homeRegions: []string{"home", "away"}},
	}, false)
	want := map[string][]uint64{"away": {1, 3}, "far": {1}}
	for region, fingerprints := range want {
		got := f.cell.crossed[region]
		slices.Sort(got)
		if !slices.Equal(got, fingerprints) {
			t.Errorf("region %s got %v, want %v", region, got, fingerprints)
		}
	}
	if len(f.cell.suspects) != 1 || len(f.cell.suspects[0].Suspects) != 3 {
		t.Errorf("the own cell got %v", f.cell.suspects)
	}
}
