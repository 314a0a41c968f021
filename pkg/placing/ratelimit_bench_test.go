package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
)

// BenchmarkPlace measures the placement of a request in a pool of 483 targets, the largest of the users' deployments, while none of the
// targets, one or all of them name a rate limit.
func BenchmarkPlace(b *testing.B) {
	const targets = 483
	for _, limited := range []int{0, 1, targets} {
		b.Run(fmt.Sprintf("%d limited", limited), func(b *testing.B) {
			now := clock.Instant(time.Hour)
			limits := ratelimit.NewTracker()
			broker := NewBroker(map[string]string{"a": "r"}, NewBrokerBudget(0.2, 60, 10*time.Second), quarantine.NewTracker(), limits, func(string, int) {})
			cfg := inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "plain", ColdRate: 2.5}}, nil)
			var list []*inventory.Target
			for i := range targets {
				t := &inventory.Target{ID: fmt.Sprint("t", i), Pool: "plain", Domain: "a", Slots: 4, Started: 1}
				list = append(list, t)
				if i < limited {
					limits.Observe(t.Incarnation(), ratelimit.Notice{Kind: ratelimit.Named, Rate: 1000}, now, now)
				}
			}
			broker.Update(inventory.NewSnapshot(cfg, list, map[string]bool{}), func(string, int) Owner { return Owner{} }, now)
			reports := map[string]*Report{}
			for i, t := range list {
				if i < limited {
					reports[t.ID] = &Report{RateLimit: named(1000)}
				}
			}
			b.ReportAllocs()
			for seq := uint64(1); b.Loop(); seq++ {
				now = now.Add(time.Millisecond)
				var target string
				broker.Place(PlacementRequest{VM: "vm", Domain: "a", Region: "r", Seq: seq, Pool: "plain", Objective: 600 * time.Millisecond, TimeLeft: 1500 * time.Millisecond}, func(v Decision) { target = v.Target }, now)
				broker.Done("vm", seq, limitTestService, Answered, reports[target], now)
			}
		})
	}
}
