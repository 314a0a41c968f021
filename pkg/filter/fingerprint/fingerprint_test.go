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
	x := filtertest.Route(filtertest.Exchange(t, method, url, nil), "plain")
	x.Tenant = tenant
	x.Body = filter.NewBody(strings.NewReader(body), length, 128<<20)
	return x
}

// Guards against equal requests with different fingerprints and different requests with equal ones.
func TestFingerprint(t *testing.T) {
	large := strings.Repeat("x", filter.PrefixBytes+1)
	make := func(method, url, tenant, body string, length int64) uint64 {
		x := newExchange(t, method, url, tenant, body, length)
		filtertest.Passed(t, New(), x)
		return x.Fingerprint
	}
	base := make("POST", "/plain/a?b=1", "t", "body", 4)
	if base == 0 || base != make("POST", "/plain/a?b=1", "t", "body", -1) {
		t.Error("the same request has another fingerprint without an announced length")
	}
	seen := map[uint64]string{base: "base"}
	for name, fp := range map[string]uint64{
		"method":       make("PUT", "/plain/a?b=1", "t", "body", 4),
		"path":         make("POST", "/plain/ab=1", "t", "body", 4),
		"tenant":       make("POST", "/plain/a?b=1", "u", "body", 4),
		"body":         make("POST", "/plain/a?b=1", "t", "bodz", 4),
		"empty":        make("POST", "/plain/a?b=1", "t", "", 0),
		"large":        make("POST", "/plain/a?b=1", "t", large, int64(len(large))),
		"large length": make("POST", "/plain/a?b=1", "t", large+"x", int64(len(large)+1)),
	} {
		if other, ok := seen[fp]; ok {
			t.Errorf("%s has the fingerprint of %s", name, other)
		}
		seen[fp] = name
	}
}

// countingReader counts what is read.
type countingReader struct {
	n int
}

func (r *countingReader) Read(p []byte) (int, error) {
	r.n += len(p)
	return len(p), nil
}

// Guards against buffering a large body.
func TestBoundedBuffer(t *testing.T) {
	x := newExchange(t, "POST", "/plain", "", "", 0)
	source := &countingReader{}
	x.Body = filter.NewBody(io.LimitReader(source, 64<<20), -1, 128<<20)
	filtertest.Passed(t, New(), x)
	if source.n > filter.PrefixBytes {
		t.Errorf("%d bytes were read", source.n)
	}
}

// Guards against a body of the wrong length that reaches a target.
func TestWrongLength(t *testing.T) {
	for _, length := range []int64{3, 5} {
		x := newExchange(t, "POST", "/plain", "", "body", length)
		if p := filtertest.Refused(t, New(), x); p.Status != http.StatusBadRequest {
			t.Error(p)
		}
	}
}
