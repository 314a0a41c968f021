package entry

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// minPassIntervalPerSlice is the minimum time between two passes over all slices, per slice. A pass takes about 150 ns
// per slice, and each answer to one of 3,000 renewals per second requests a pass.
const minPassIntervalPerSlice = 10 * time.Microsecond

// slicePassLimiter decides when the coordinator checks all slices for grants and releases that are due, in addition to
// the check at each tick. It limits the cost of renewals that are answered one by one: when each answer caused a pass,
// the total cost grew with the square of the number of slices.
type slicePassLimiter struct {
	// pending reports whether a call has ended since the last pass.
	pending  bool
	lastPass clock.Instant
}

// due reports whether a pass is due, and records it if so.
func (d *slicePassLimiter) due(now clock.Instant, slices int) bool {
	if !d.pending || now.Sub(d.lastPass) < time.Duration(slices)*minPassIntervalPerSlice {
		return false
	}
	d.pending, d.lastPass = false, now
	return true
}
