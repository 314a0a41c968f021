package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// TestSpansMergeInAnyOrder guards against reports of other VMs, which arrive late and in any order, that leave a gap which none of them
// shows, or that hide a real one.
func TestSpansMergeInAnyOrder(t *testing.T) {
	const step = 500 * time.Millisecond
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var spans []Span
		for i := range 12 {
			from := clock.Instant(time.Minute).Add(time.Duration(i) * step)
			spans = append(spans, Span{from, from.Add(time.Duration(random.Int64N(int64(step))))})
		}
		outage := seed%2 == 0
		if outage {
			// Without four of them, there is a gap of more than 1.5 s.
			spans = append(spans[:4], spans[8:]...)
		}
		newest := spans[len(spans)-1].To
		random.Shuffle(len(spans), func(i, j int) { spans[i], spans[j] = spans[j], spans[i] })
		var a availability
		for _, s := range spans {
			a.note(s)
		}
		if last, ok := a.last(); !ok || last.To != newest {
			t.Fatalf("seed %d: the newest span is %v", seed, last)
		}
		if a.afterOutage(newest, time.Minute) != outage {
			t.Errorf("seed %d: an outage is seen: %v, want %v; spans %v", seed, !outage, outage, a.spans)
		}
	}
}
