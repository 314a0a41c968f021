package entry

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// minPassIntervalPerSlice is the minimum time between two passes over all slices, per slice. A pass takes about 150 ns
// per slice, and each of the 3,000 renewals per second that are answered requests one.
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
func (l *slicePassLimiter) due(now clock.Instant, slices int) bool {
	if !l.pending || now.Sub(l.lastPass) < time.Duration(slices)*minPassIntervalPerSlice {
		return false
	}
	l.pending, l.lastPass = false, now
	return true
}
