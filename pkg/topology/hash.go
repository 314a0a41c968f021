package topology

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// KeyHash returns the hash of a key in a pool. restrictedTenant is the name of the tenant if its home regions restrict where
// the key may be placed, and empty otherwise; each restricted tenant has a key space of its own.
func KeyHash(pool, restrictedTenant, key string) uint64 {
	d := xxhash.New()
	// Digest.WriteString never returns an error.
	_, _ = d.WriteString(pool)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(restrictedTenant)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// WeightedCandidate is a candidate for rendezvous hashing with its weight.
type WeightedCandidate struct {
	Name   string
	Weight float64
}

// Rendezvous selects a candidate for a hash by weighted rendezvous hashing. It returns the empty string if no candidate has a
// positive weight. Adding or removing a candidate remaps only the hashes that are assigned to this candidate.
func Rendezvous(hash uint64, candidates []WeightedCandidate) string {
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

func rendezvousScore(hash uint64, c WeightedCandidate) float64 {
	h := mix(hash ^ xxhash.Sum64String(c.Name))
	// The 53 high bits yield a uniformly distributed number in (0, 1).
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -c.Weight / math.Log(u)
}

// mix is the SplitMix64 finalizer: a change of any input bit affects all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
