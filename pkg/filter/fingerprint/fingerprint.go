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

// Handle implements filter.Filter. Bodies up to filter.PrefixBytes are read completely here, so that one of the wrong
// length is refused before a byte of it is sent.
func (*Filter) Handle(ctx context.Context, x *filter.Exchange, next filter.Next) (*exchange.Response, error) {
	prefix, err := x.Body.Prefix()
	if err != nil {
		return nil, x.Body.Problem(problem.NotRun)
	}
	x.Fingerprint = hash(x, prefix)
	return next(ctx, x)
}

// hash never returns 0, which stands for no fingerprint.
func hash(x *filter.Exchange, prefix []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{x.Request.Method, x.Request.URL.RequestURI(), x.Tenant, x.Key} {
		writeLength(d, int64(len(part)))
		// Digest.WriteString never fails.
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(prefix)
	writeLength(d, x.Body.Length())
	return max(d.Sum64(), 1)
}

// writeLength keeps ("ab", "c") apart from ("a", "bc").
func writeLength(d *xxhash.Digest, n int64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	// Digest.Write never fails.
	_, _ = d.Write(b[:])
}
