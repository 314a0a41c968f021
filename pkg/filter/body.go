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
//
// Invariant: bytes behind the prefix go to one reader only. A reader that was left behind by Rewind gets none, so that the
// rest of an abandoned attempt can't take bytes from the next one.
type Body struct {
	// length is the announced length, -1 if unknown.
	length int64
	max    int64

	// reading serializes reads from the source, which may block.
	reading sync.Mutex
	source  io.Reader
	read    int64

	// mu guards the fields below; it is never held while the source is read.
	mu     sync.Mutex
	prefix []byte
	// whole tells that the prefix is the whole body.
	whole bool
	// taken tells that a reader has asked for bytes behind the prefix.
	taken bool
	// generation numbers the readers that may take these bytes.
	generation int
	err        error
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
	if b.Whole() {
		return b.prefix, nil
	}
	size := int64(PrefixBytes)
	if b.length >= 0 && b.length < size {
		// One more byte finds the end.
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
	b.whole = errors.Is(err, io.EOF)
	if b.whole {
		err = nil
	}
	return b.prefix, err
}

// readSource reads from the caller and checks the length.
func (b *Body) readSource(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if err := b.failure(); err != nil {
		return 0, err
	}
	n, err := b.source.Read(p)
	b.read += int64(n)
	switch {
	case b.read > b.max:
		err = errBodyTooLarge
	case b.length >= 0 && b.read > b.length:
		err = errBodyLong
	case errors.Is(err, io.EOF) && b.length >= 0 && b.read < b.length, errors.Is(err, io.ErrUnexpectedEOF):
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

func (b *Body) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
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

// Rewind tells whether the body can be sent again, and excludes former readers from the bytes behind the prefix.
func (b *Body) Rewind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.whole {
		return true
	}
	if b.taken {
		return false
	}
	b.generation++
	return true
}

// Whole tells whether the whole body is in memory.
func (b *Body) Whole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole
}

// Reader returns a reader of the body from its start. Between two calls Rewind must have succeeded, unless the body is
// whole.
func (b *Body) Reader() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.whole {
		return bytes.NewReader(b.prefix)
	}
	if b.taken {
		return failingReader{}
	}
	return io.MultiReader(bytes.NewReader(b.prefix), rest{body: b, generation: b.generation})
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
	body       *Body
	generation int
}

// Read implements io.Reader.
func (r rest) Read(p []byte) (int, error) {
	if !r.body.take(r.generation) {
		return 0, errBodyUsed
	}
	return r.body.readSource(p)
}

func (b *Body) take(generation int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if generation != b.generation {
		return false
	}
	b.taken = true
	return true
}

// failingReader stands for a body that can't be sent again.
type failingReader struct{}

// Read implements io.Reader.
func (failingReader) Read([]byte) (int, error) {
	return 0, errBodyUsed
}
