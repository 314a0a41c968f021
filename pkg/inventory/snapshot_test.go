package inventory

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Guards against requests to a draining owner later than 2 s after its announcement, which a VM may learn 1.5 s late.
func TestDrainingOwnerServesBriefly(t *testing.T) {
	seen := clock.Instant(time.Minute)
	draining := &Target{ID: "t", Domain: "a", Draining: true}
	s := NewSnapshot(nil, []*Target{draining}, nil)
	s.DrainingSince = map[string]clock.Instant{"t": seen}
	if !s.ServesKeys(draining, seen) || s.ServesKeys(draining, seen.Add(500*time.Millisecond)) {
		t.Error("a draining owner must get requests at first, and no longer than 500 ms")
	}
	if out := NewSnapshot(nil, []*Target{draining}, map[string]bool{"a": true}); out.ServesKeys(draining, seen) {
		t.Error("an owner in a failure domain out of service gets requests")
	}
}

// Guards against using a registration of another writer: one whose pool the configuration doesn't name.
func TestTargetsOfUnknownPoolsAreOmitted(t *testing.T) {
	c := NewConfiguration(1, Limits{}, []*Pool{{Name: "p"}}, nil)
	s := NewSnapshot(c, []*Target{{ID: "a", Pool: "p"}, {ID: "b", Pool: "q"}}, nil)
	if s.Targets["a"] == nil || s.Targets["b"] != nil || len(s.Pools["q"]) != 0 {
		t.Errorf("targets %v, pools %v", s.Targets, s.Pools)
	}
	if s := NewSnapshot(nil, []*Target{{ID: "b", Pool: "q"}}, nil); s.Targets["b"] == nil {
		t.Error("a target is omitted although no configuration is known")
	}
}
