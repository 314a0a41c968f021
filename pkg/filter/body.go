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

// PrefixBytes is the part of a body that is kept in memory: for the fingerprint, and to send a request again.
const PrefixBytes = 64 << 10

var (
	errBodyTooLarge = errors.New("the body exceeds the route's bound")
	errBodyShort    = errors.New("the body is shorter than announced")
	errBodyLong     = errors.New("the body is longer than announced")
	errBodyUsed     = errors.New("the body has been sent already")
)

// Body is a caller's body with a bounded prefix in memory.
type Body struct {
	// length is the announced length, -1 if unknown.
	length int64
	max    int64

	mu     sync.Mutex
	source io.Reader
	read   int64
	prefix []byte
	// whole tells that the prefix is the whole body.
	whole bool
	// taken tells that bytes behind the prefix have been handed out.
	taken bool
	err   error
}

// NewBody returns the body of a request with the announced length, or -1. At most limit bytes are accepted.
func NewBody(source io.Reader, length, limit int64) *Body {
	if source == nil {
		source = http.NoBody
	}
	return &Body{source: source, length: length, max: limit, whole: length == 0}
}

// Prefix reads up to PrefixBytes and returns them. It is called once, before Reader.
func (b *Body) Prefix() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.whole || b.prefix != nil {
		return b.prefix, b.err
	}
	size := int64(PrefixBytes)
	if b.length >= 0 && b.length < size {
		// One more byte finds the end.
		size = b.length + 1
	}
	buf := make([]byte, size)
	n := 0
	for n < len(buf) {
		m, err := b.readSource(buf[n:])
		n += m
		if errors.Is(err, io.EOF) {
			b.whole = true
			break
		}
		if err != nil {
			b.prefix = buf[:n]
			return b.prefix, err
		}
	}
	b.prefix = buf[:n]
	return b.prefix, nil
}

// readSource reads from the caller and checks the length. The caller of readSource holds mu.
func (b *Body) readSource(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.read += int64(n)
	switch {
	case b.read > b.max:
		b.err = errBodyTooLarge
	case b.length >= 0 && b.read > b.length:
		b.err = errBodyLong
	case errors.Is(err, io.EOF) && b.length >= 0 && b.read < b.length, errors.Is(err, io.ErrUnexpectedEOF):
		b.err = errBodyShort
	case err != nil:
		b.err = err
	}
	if b.err != nil && !errors.Is(b.err, io.EOF) {
		return 0, b.err
	}
	return n, b.err
}

// Length returns the length of the body: exact if it is in memory, else as announced, -1 if unknown.
func (b *Body) Length() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.whole {
		return int64(len(b.prefix))
	}
	return b.length
}

// Replayable tells whether Reader may be called again: nothing behind the prefix has been handed out.
func (b *Body) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole || !b.taken
}

// Whole tells whether the whole body is in memory.
func (b *Body) Whole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole
}

// Reader returns a reader of the body from its start. Readers of a body that isn't whole must not be used at the same
// time.
func (b *Body) Reader() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.whole {
		return bytes.NewReader(b.prefix)
	}
	if b.taken {
		return failingReader{}
	}
	return io.MultiReader(bytes.NewReader(b.prefix), rest{b})
}

// Problem returns why the caller's body was refused, nil if it wasn't.
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

// rest reads what follows the prefix.
type rest struct {
	body *Body
}

// Read implements io.Reader.
func (r rest) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken = true
	return b.readSource(p)
}

// failingReader stands for a body that can't be sent again.
type failingReader struct{}

// Read implements io.Reader.
func (failingReader) Read([]byte) (int, error) {
	return 0, errBodyUsed
}
