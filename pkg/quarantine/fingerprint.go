package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Request is what makes two requests the same: one that crashed a target comes again with the same of all of it.
type Request struct {
	Method, Host, URI string
	// Key is the request's key, negative if it names none.
	Key int
	// Body is the beginning of the body, BodyBytes its whole length, -1 if that isn't known.
	Body      []byte
	BodyBytes int64
	// Caller is the caller's credential, or its network address if it shows none.
	Caller string
}

// Fingerprint names a request without its content. Zero values stand for no request.
type Fingerprint struct {
	// Content is the same for all callers, ByCaller only for one.
	Content, ByCaller uint64
}

// Fingerprint returns the request's fingerprint.
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

// writePart keeps ("ab", "c") apart from ("a", "bc").
func writePart(d *xxhash.Digest, text string) {
	writeNumber(d, int64(len(text)))
	_, _ = d.WriteString(text)
}

func writeNumber(d *xxhash.Digest, n int64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}
