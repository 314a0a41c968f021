package entry

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Passes over the slices must not saturate the coordinator's processor: 3,000 renewals per second caused 9 million
// slice checks per second, more than a core can do. The bound is a tenth of a core at 150 ns per check.
func TestSlicePassCostIsBounded(t *testing.T) {
	const maxChecks = 0.1 * float64(time.Second) / 150
	for _, slices := range []int{20, 500, 3000} {
		var limiter slicePassLimiter
		checks, now := 0, clock.Instant(time.Minute)
		for range slices {
			now = now.Add(time.Second / time.Duration(slices))
			limiter.pending = true
			if limiter.due(now, slices) {
				checks += slices
			}
		}
		if float64(checks) > maxChecks {
			t.Errorf("%d slices: too many slice checks per second: %d", slices, checks)
		}
	}
}

// A pass must not run unless a call has ended, and a call that has ended must be followed by a pass, at the latest when
// the minimum interval is over.
func TestSlicePassFollowsCompletedCall(t *testing.T) {
	var limiter slicePassLimiter
	now := clock.Instant(time.Minute)
	if limiter.due(now, 100) {
		t.Error("pass is due although no call has ended")
	}
	limiter.pending = true
	if !limiter.due(now, 100) {
		t.Error("no pass is due after a call has ended")
	}
	limiter.pending = true
	if limiter.due(now.Add(time.Microsecond), 100) {
		t.Error("pass is due before the minimum interval is over")
	}
	if !limiter.due(now.Add(100*minPassIntervalPerSlice), 100) {
		t.Error("no pass is due after the minimum interval")
	}
}
