package fingerprint

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/filter/filtertest"
)

func newExchange(t *testing.T, method, url, tenant, body string, length int64) *filter.Exchange {
	x := filtertest.Route(filtertest.NewExchange(t, method, url, nil), "plain")
	x.Tenant = tenant
	x.Body = filter.NewBody(strings.NewReader(body), length, 128<<20)
	return x
}

// Guards against different fingerprints for equal requests, and against equal fingerprints for requests that differ in
// method, path, tenant, body or body length.
func TestFingerprintIdentifiesRequests(t *testing.T) {
	large := strings.Repeat("x", filter.PrefixBytes+1)
	fingerprintOf := func(method, url, tenant, body string, length int64) uint64 {
		x := newExchange(t, method, url, tenant, body, length)
		filtertest.MustPass(t, New(), x)
		return x.Fingerprint
	}
	base := fingerprintOf("POST", "/plain/a?b=1", "t", "body", 4)
	if base == 0 || base != fingerprintOf("POST", "/plain/a?b=1", "t", "body", -1) {
		t.Error("the fingerprint is 0, or differs if the body length is not announced")
	}
	seen := map[uint64]string{base: "base"}
	for name, fingerprint := range map[string]uint64{
		"method":       fingerprintOf("PUT", "/plain/a?b=1", "t", "body", 4),
		"path":         fingerprintOf("POST", "/plain/ab=1", "t", "body", 4),
		"tenant":       fingerprintOf("POST", "/plain/a?b=1", "u", "body", 4),
		"body":         fingerprintOf("POST", "/plain/a?b=1", "t", "bodz", 4),
		"empty":        fingerprintOf("POST", "/plain/a?b=1", "t", "", 0),
		"large":        fingerprintOf("POST", "/plain/a?b=1", "t", large, int64(len(large))),
		"large length": fingerprintOf("POST", "/plain/a?b=1", "t", large+"x", int64(len(large)+1)),
	} {
		if other, ok := seen[fingerprint]; ok {
			t.Errorf("%s has the fingerprint of %s", name, other)
		}
		seen[fingerprint] = name
	}
}

// countingReader is an endless reader that counts the bytes requested from it.
type countingReader struct {
	bytesRead int
}

func (r *countingReader) Read(p []byte) (int, error) {
	r.bytesRead += len(p)
	return len(p), nil
}

// Guards against buffering more than filter.PrefixBytes of a large body.
func TestBufferIsBounded(t *testing.T) {
	x := newExchange(t, "POST", "/plain", "", "", 0)
	source := &countingReader{}
	x.Body = filter.NewBody(io.LimitReader(source, 64<<20), -1, 128<<20)
	filtertest.MustPass(t, New(), x)
	if source.bytesRead > filter.PrefixBytes {
		t.Errorf("%d bytes were read", source.bytesRead)
	}
}

// Guards against sending a body to a target although its length differs from the announced length.
func TestWrongLengthIsRejected(t *testing.T) {
	for _, length := range []int64{3, 5} {
		x := newExchange(t, "POST", "/plain", "", "body", length)
		if p := filtertest.MustRefuse(t, New(), x); p.Status != http.StatusBadRequest {
			t.Error(p)
		}
	}
}
