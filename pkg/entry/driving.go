package entry

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// drivePerSlice is the least time between two passes over all slices, for each slice. A pass takes some 150 ns a slice, and each of
// 3,000 renewals a second that is answered asks for one.
const drivePerSlice = 10 * time.Microsecond

// driving decides when the coordinator looks at all slices for grants and releases that are due, between the ticks that do so in any
// case. It answers the load of renewals that are answered one by one: their passes together grew with the square of the slices.
type driving struct {
	// wanted tells that a call has ended since the last pass.
	wanted bool
	last   clock.Instant
}

// due tells whether a pass is due, and notes it.
func (d *driving) due(now clock.Instant, slices int) bool {
	if !d.wanted || now.Sub(d.last) < time.Duration(slices)*drivePerSlice {
		return false
	}
	d.wanted, d.last = false, now
	return true
}
