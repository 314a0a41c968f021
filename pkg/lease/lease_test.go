package lease

import (
	"math/rand"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// TestHolderExpiresBeforeGrantor guards against a grantor that reassigns a resource while the holder still considers its
// lease valid. It samples pairs of clock rates within the drift bound and message delays.
func TestHolderExpiresBeforeGrantor(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 100_000 {
		// Real seconds per clock second. Each rate deviates from real time by at most half of the drift bound.
		holderRate := 1 + clock.MaxDrift*(rng.Float64()-0.5)/1.01
		grantorRate := 1 + clock.MaxDrift*(rng.Float64()-0.5)/1.01
		ttl := time.Duration(rng.Int63n(int64(10 * time.Second)))
		requestedAt := 0.0
		decidedAt := rng.Float64() * 5
		var h Holder
		h.Extend(0, ttl)
		holderEnd := requestedAt + float64(h.End())*holderRate
		grantorEnd := decidedAt + float64(GrantorEnd(0, ttl))*grantorRate
		if holderEnd > grantorEnd {
			t.Fatalf("the lease expires at the holder %v later than at the grantor", time.Duration(holderEnd-grantorEnd))
		}
	}
}

// TestClampAndExtend guards against leases that outlast the grantor's authority, and against late replies that shorten a
// lease.
func TestClampAndExtend(t *testing.T) {
	if got := Clamp(TTL, 100, clock.Instant(100+TTL/2)); got != TTL/2 {
		t.Errorf("clamped to %v, want %v", got, TTL/2)
	}
	if got := Clamp(TTL, 100, 50); got != 0 {
		t.Errorf("got a lease of %v after the grantor's authority ended, want 0", got)
	}
	var h Holder
	h.Extend(1000, TTL)
	h.Extend(0, TTL)
	if h.End() != HolderEnd(1000, TTL) {
		t.Error("a late reply shortened the lease")
	}
	if h.Drop(); h.Valid(1) {
		t.Error("the lease is still valid after Drop")
	}
}
