package filter

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"

	"github.com/bronzelever/bronzelever/pkg/problem"
)

// PrefixBytes is the maximum number of body bytes buffered in memory. The buffered prefix is used to compute the request
// fingerprint and to send the request again.
const PrefixBytes = 64 << 10

var (
	errBodyTooLarge = errors.New("the body exceeds the route's bound")
	errBodyShort    = errors.New("the body is shorter than announced")
	errBodyLong     = errors.New("the body is longer than announced")
	errBodyUsed     = errors.New("the body has been sent already")
)

// Body is the body of a caller's request. A prefix of bounded size is buffered in memory.
//
// Invariant: at most one reader receives the bytes after the prefix. Rewind invalidates earlier readers, so that an
// abandoned attempt that is still reading can't consume bytes that belong to the next attempt.
type Body struct {
	// length is the announced length, or -1 if it is unknown.
	length   int64
	maxBytes int64

	// readMu serializes reads from source, which may block.
	readMu    sync.Mutex
	source    io.Reader
	bytesRead int64

	// mu guards the fields below. It is never held while source is read, because that may block.
	mu     sync.Mutex
	prefix []byte
	// complete reports whether prefix holds the entire body.
	complete bool
	// consumed reports whether a reader has requested bytes after the prefix.
	consumed bool
	// generation identifies the readers that may consume the bytes after the prefix. Rewind increments it.
	generation int
	err        error
}

// NewBody returns a Body that reads from source. length is the announced length, or -1 if it is unknown. A body of more
// than limit bytes is rejected.
func NewBody(source io.Reader, length, limit int64) *Body {
	if source == nil {
		source = http.NoBody
	}
	return &Body{source: source, length: length, maxBytes: limit, complete: length == 0}
}

// Prefix reads and buffers up to PrefixBytes of the body and returns them. It must be called once, before Reader.
func (b *Body) Prefix() ([]byte, error) {
	if b.IsBuffered() {
		return b.prefix, nil
	}
	size := int64(PrefixBytes)
	if b.length >= 0 && b.length < size {
		// The additional byte makes the read reach the end of the body.
		size = b.length + 1
	}
	buf := make([]byte, size)
	n := 0
	var err error
	for n < len(buf) && err == nil {
		var m int
		m, err = b.readSource(buf[n:])
		n += m
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prefix = buf[:n]
	b.complete = errors.Is(err, io.EOF)
	if b.complete {
		err = nil
	}
	return b.prefix, err
}

// readSource reads from the caller's body and checks the number of bytes against the announced length and the limit.
func (b *Body) readSource(p []byte) (int, error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if err := b.readError(); err != nil {
		return 0, err
	}
	n, err := b.source.Read(p)
	b.bytesRead += int64(n)
	switch {
	case b.bytesRead > b.maxBytes:
		err = errBodyTooLarge
	case b.length >= 0 && b.bytesRead > b.length:
		err = errBodyLong
	case errors.Is(err, io.EOF) && b.length >= 0 && b.bytesRead < b.length, errors.Is(err, io.ErrUnexpectedEOF):
		err = errBodyShort
	}
	if err == nil {
		return n, nil
	}
	b.mu.Lock()
	b.err = err
	b.mu.Unlock()
	if !errors.Is(err, io.EOF) {
		n = 0
	}
	return n, err
}

// readError returns the error that ended reading from source, io.EOF included, or nil.
func (b *Body) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Length returns the exact length of the body if it is completely buffered. Otherwise it returns the announced length, or
// -1 if that is unknown.
func (b *Body) Length() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete {
		return int64(len(b.prefix))
	}
	return b.length
}

// Rewind reports whether the body can be sent again from its start. If it can, earlier readers no longer receive bytes
// after the prefix.
func (b *Body) Rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete {
		return true
	}
	if b.consumed {
		return false
	}
	b.generation++
	return true
}

// IsBuffered reports whether the entire body is buffered in memory.
func (b *Body) IsBuffered() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// Reader returns a reader that starts at the beginning of the body. Unless the body is completely buffered, Rewind must
// succeed between two calls of Reader.
func (b *Body) Reader() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete {
		return bytes.NewReader(b.prefix)
	}
	if b.consumed {
		return failingReader{}
	}
	return io.MultiReader(bytes.NewReader(b.prefix), remainderReader{body: b, generation: b.generation})
}

// Problem returns the error to report to the caller if its body was rejected or couldn't be read, and nil otherwise.
func (b *Body) Problem(outcome problem.Outcome) *problem.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.err == nil || errors.Is(b.err, io.EOF):
		return nil
	case errors.Is(b.err, errBodyTooLarge):
		return problem.New(http.StatusRequestEntityTooLarge, problem.CodeBodyTooLarge, outcome, b.err.Error())
	case errors.Is(b.err, os.ErrDeadlineExceeded):
		return problem.New(http.StatusGatewayTimeout, problem.CodeDeadline, outcome, "the deadline passed before the body arrived")
	default:
		return problem.New(http.StatusBadRequest, problem.CodeBadRequest, outcome, b.err.Error())
	}
}

// remainderReader reads the bytes after the prefix.
type remainderReader struct {
	body       *Body
	generation int
}

// Read implements io.Reader.
func (r remainderReader) Read(p []byte) (int, error) {
	if !r.body.claimRemainder(r.generation) {
		return 0, errBodyUsed
	}
	return r.body.readSource(p)
}

// claimRemainder marks the bytes after the prefix as consumed. It returns false if the reader's generation is outdated.
func (b *Body) claimRemainder(generation int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if generation != b.generation {
		return false
	}
	b.consumed = true
	return true
}

// failingReader is the reader of a body that can't be sent again. Every read returns errBodyUsed.
type failingReader struct{}

// Read implements io.Reader.
func (failingReader) Read([]byte) (int, error) {
	return 0, errBodyUsed
}
