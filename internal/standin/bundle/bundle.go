// Package bundle generates the large bodies that stand-in targets and the load tool exchange. Both sides can compute the
// content of a bundle from its name and size, so that a swapped or shortened body is detected.
package bundle

import (
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/cespare/xxhash/v2"
)

// ChecksumHeader carries the checksum of a bundle, as written by Checksum.
const ChecksumHeader = "Bundle-Checksum"

// goldenRatio is the increment of SplitMix64.
const goldenRatio = 0x9e3779b97f4a7c15

type reader struct {
	state     uint64
	remaining int64
	word      [8]byte
	used      int
}

// NewReader returns the content of the named bundle.
func NewReader(name string, size int64) io.Reader {
	return &reader{state: xxhash.Sum64String(name), remaining: size, used: len(reader{}.word)}
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n := 0
	for n < len(p) {
		if r.used == len(r.word) {
			r.advance()
		}
		c := copy(p[n:], r.word[r.used:])
		n += c
		r.used += c
	}
	r.remaining -= int64(n)
	return n, nil
}

func (r *reader) advance() {
	r.state += goldenRatio
	x := r.state
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	binary.LittleEndian.PutUint64(r.word[:], x)
	r.used = 0
}

// NewHash returns the hash behind Checksum.
func NewHash() hash.Hash64 {
	return xxhash.New()
}

// Checksum writes the state of a hash of NewHash.
func Checksum(h hash.Hash64) string {
	return hex.EncodeToString(h.Sum(nil))
}

// ChecksumOf returns the checksum of the named bundle.
func ChecksumOf(name string, size int64) string {
	h := NewHash()
	// Neither side of this copy can fail.
	_, _ = io.Copy(h, NewReader(name, size))
	return Checksum(h)
}
