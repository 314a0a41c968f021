package fingerprint

import (
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

// Filter sets Exchange.Fingerprint.
type Filter struct{}

// Handle implements filter.Filter. It completely reads bodies of up to filter.PrefixBytes, so that a body of the wrong
// length is rejected before any of it is sent.
func (*Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	prefix, err := x.Body.Prefix()
	if err != nil {
		return nil, x.Body.Problem(problem.NotRun)
	}
	x.Fingerprint = computeFingerprint(x, prefix)
	return next(ctx, x)
}

// computeFingerprint returns the fingerprint of a request. It never returns 0, which means that there is no fingerprint.
func computeFingerprint(x *filter.Exchange, prefix []byte) uint64 {
	d := xxhash.New()
	for _, field := range []string{x.Request.Method, x.Request.URL.RequestURI(), x.Tenant, x.Key} {
		writeLength(d, int64(len(field)))
		// Digest.WriteString never fails.
		_, _ = d.WriteString(field)
	}
	_, _ = d.Write(prefix)
	writeLength(d, x.Body.Length())
	return max(d.Sum64(), 1)
}

// writeLength adds a length prefix to the hash, so that the fields ("ab", "c") and ("a", "bc") give different hashes.
func writeLength(d *xxhash.Digest, n int64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	// Digest.Write never fails.
	_, _ = d.Write(b[:])
}
