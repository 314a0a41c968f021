package topology

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// KeyHash hashes a key of a pool. boundTenant is the tenant's name if its home regions restrict where the key may live,
// else "": keys of bound tenants form key spaces of their own.
func KeyHash(pool, boundTenant, key string) uint64 {
	d := xxhash.New()
	// Digest.WriteString never fails.
	_, _ = d.WriteString(pool)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(boundTenant)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Weighted is a candidate of a rendezvous choice.
type Weighted struct {
	Name   string
	Weight float64
}

// Rendezvous picks a candidate for a hash by weighted rendezvous hashing. It returns "" without candidates of positive
// weight. Adding or removing a candidate moves only the hashes that this candidate wins.
func Rendezvous(hash uint64, candidates []Weighted) string {
	best := ""
	bestScore := math.Inf(-1)
	for _, c := range candidates {
		if c.Weight <= 0 {
			continue
		}
		score := rendezvousScore(hash, c)
		if score > bestScore || score == bestScore && c.Name < best {
			best = c.Name
			bestScore = score
		}
	}
	return best
}

func rendezvousScore(hash uint64, c Weighted) float64 {
	h := mix(hash ^ xxhash.Sum64String(c.Name))
	// The 53 high bits give a uniform number in (0, 1).
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -c.Weight / math.Log(u)
}

// mix is the finalizer of SplitMix64; it spreads differences of the input over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
