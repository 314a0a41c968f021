package lease

import (
	"math/rand"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// TestHolderEndsFirst guards against a grantor that gives something away while the holder still acts for it, for every
// pair of clock rates within the drift bound and every message delay.
func TestHolderEndsFirst(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 100_000 {
		// Real seconds per second of each clock, both within half of the bound around real time.
		holder := 1 + clock.MaxDrift*(rng.Float64()-0.5)/1.01
		grantor := 1 + clock.MaxDrift*(rng.Float64()-0.5)/1.01
		ttl := time.Duration(rng.Int63n(int64(10 * time.Second)))
		asked := 0.0
		answered := rng.Float64() * 5
		var h Holder
		h.Extend(0, ttl)
		holderEnd := asked + float64(h.End())*holder
		grantorEnd := answered + float64(GrantorEnd(0, ttl))*grantor
		if holderEnd > grantorEnd {
			t.Fatalf("holder's lease ends %v after the grantor's", time.Duration(holderEnd-grantorEnd))
		}
	}
}

// TestClamp guards against leases that outlast the authority of the grantor, and against late answers that shorten one.
func TestClamp(t *testing.T) {
	if got := Clamp(TTL, 100, clock.Instant(100+TTL/2)); got != TTL/2 {
		t.Errorf("clamped to %v, want %v", got, TTL/2)
	}
	if got := Clamp(TTL, 100, 50); got != 0 {
		t.Errorf("lease of %v after the end of the authority", got)
	}
	var h Holder
	h.Extend(1000, TTL)
	h.Extend(0, TTL)
	if h.End() != HolderEnd(1000, TTL) {
		t.Error("a late answer shortens the lease")
	}
	if h.Drop(); h.Valid(1) {
		t.Error("lease valid after Drop")
	}
}
