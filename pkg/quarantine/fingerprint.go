package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Request holds the properties that identify a request: a request that is sent again has the same values in all of them.
type Request struct {
	Method, Host, URI string
	// Key is the request's key, negative if it has none.
	Key int
	// Body is the beginning of the body. BodyBytes is the length of the whole body, -1 if unknown.
	Body      []byte
	BodyBytes int64
	// Caller is the caller's organisation, its credential if no organisations are configured, or its network address if it has neither.
	Caller string
}

// Fingerprint identifies a request without revealing its content. The zero value stands for no request.
type Fingerprint struct {
	// Content is the same for all callers; ByCaller also depends on the caller.
	Content, ByCaller uint64
}

// Fingerprint returns the fingerprint of the request.
func (r Request) Fingerprint() Fingerprint {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URI} {
		writePart(d, part)
	}
	writeNumber(d, int64(r.Key))
	writeNumber(d, r.BodyBytes)
	// Writing to a Digest never fails.
	_, _ = d.Write(r.Body)
	content := max(d.Sum64(), 1)
	writePart(d, r.Caller)
	return Fingerprint{Content: content, ByCaller: max(d.Sum64(), 1)}
}

// writePart writes the length before the text, so that ("ab", "c") and ("a", "bc") have different hashes.
func writePart(d *xxhash.Digest, text string) {
	writeNumber(d, int64(len(text)))
	_, _ = d.WriteString(text)
}

func writeNumber(d *xxhash.Digest, n int64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}
