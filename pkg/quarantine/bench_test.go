package quarantine

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// BenchmarkTracker measures the cost of tracking a request with 700 requests in flight and no suspect.
func BenchmarkTracker(b *testing.B) {
	t := NewTracker()
	now := clock.Instant(time.Hour)
	for i := range b.N + 700 {
		f := Fingerprint{Content: uint64(i)*2 + 1, ByCaller: uint64(i)*2 + 2}
		t.Verdict(f, now)
		t.Begin(RunID{"vm", uint64(i)}, f, inventory.Incarnation{Target: "t", Started: int64(i % 300)}, now)
		if i >= 700 {
			t.End(RunID{"vm", uint64(i - 700)}, Served, now)
		}
	}
}

// BenchmarkFingerprint measures the cost of the fingerprint of a request with a body of 64 KB.
func BenchmarkFingerprint(b *testing.B) {
	r := Request{Method: "POST", Host: "h", URI: "/a", Body: make([]byte, 64<<10), BodyBytes: 64 << 10}
	for b.Loop() {
		r.Fingerprint()
	}
}
