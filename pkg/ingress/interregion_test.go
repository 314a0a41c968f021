package ingress

import (
	"testing"

	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// Guards against bytes of requests that are counted under the wrong kind, or although their target is in the VM's region or in an unknown one.
func TestBytesOfRequestsAreCountedByKind(t *testing.T) {
	const near, far, none = "near-a", "far-a", interregion.Kind(-1)
	regions := map[string]string{near: "near", far: "far"}
	for name, c := range map[string]struct {
		call   call
		domain string
		want   interregion.Kind
	}{
		"keyed":          {call{pool: &inventory.Pool{Keyed: true}, allowedRegions: []string{"far"}}, far, interregion.KeyedRequests},
		"home":           {call{pool: &inventory.Pool{}, allowedRegions: []string{"far"}}, far, interregion.HomeRequests},
		"other":          {call{pool: &inventory.Pool{}}, far, interregion.OtherRequests},
		"retry":          {call{pool: &inventory.Pool{Keyed: true}, attempts: 1}, far, interregion.Retries},
		"hedge":          {call{pool: &inventory.Pool{}, unfinished: make([]*targetAttempt, 1)}, far, interregion.Retries},
		"same region":    {call{pool: &inventory.Pool{}}, near, none},
		"unknown domain": {call{pool: &inventory.Pool{}}, "new-a", none},
	} {
		var counter interregion.Counter
		c.call.Handler = &Handler{Options: Options{RegionOf: regions, Region: "near", InterRegion: &counter}}
		c.call.interRegionFlow(&inventory.Target{Domain: c.domain}).AddSent(7)
		for k := interregion.Placement; k <= interregion.Store; k++ {
			if got := counter.Total(k).Sent; (got == 7) != (k == c.want) {
				t.Errorf("%s: %d bytes of the kind %v", name, got, k)
			}
		}
	}
}
