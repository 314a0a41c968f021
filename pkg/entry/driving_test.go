package entry

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Guards against passes over the slices that take a coordinator's processor: 3,000 renewals a second made 9 million looks at slices a
// second, more than a core can do. The bound is a tenth of a core at 150 ns a look.
func TestRenewalsCauseFewPasses(t *testing.T) {
	const most = 0.1 * float64(time.Second) / 150
	for _, slices := range []int{20, 500, 3000} {
		var d driving
		looks, now := 0, clock.Instant(time.Minute)
		for range slices {
			now = now.Add(time.Second / time.Duration(slices))
			d.wanted = true
			if d.due(now, slices) {
				looks += slices
			}
		}
		if float64(looks) > most {
			t.Errorf("%d slices: %d looks a second", slices, looks)
		}
	}
}

// Guards against passes without a call that has ended, and against a call whose end isn't followed up.
func TestPassesFollowCalls(t *testing.T) {
	var d driving
	now := clock.Instant(time.Minute)
	if d.due(now, 100) {
		t.Error("a pass without a reason")
	}
	d.wanted = true
	if !d.due(now, 100) {
		t.Error("no pass after a call")
	}
	d.wanted = true
	if d.due(now.Add(time.Microsecond), 100) {
		t.Error("a pass right after another one")
	}
	if !d.due(now.Add(100*drivePerSlice), 100) {
		t.Error("the pass is forgotten")
	}
}
