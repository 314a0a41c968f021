package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
)

// maxBufferedBody is the size up to which a request body is read before the request is sent, so that a slow caller doesn't
// occupy a target's slot and the request can be retried.
const maxBufferedBody = 1 << 20

var (
	errBodyTooLarge    = errors.New("request body exceeds the size limit")
	errBodyIncomplete  = errors.New("request body is incomplete")
	errBodyMemoryLimit = errors.New("limit on buffered request bodies reached")
)

// requestBody is the body of a caller's request.
type requestBody struct {
	// buffered is the part that has been read; rest is nil if that is the whole body.
	buffered []byte
	rest     io.Reader
	// length is the length of the body, or -1 if it has no Content-Length and hasn't been read completely.
	length int64
	// sendStarted is set once rest may have been read from, after which the body can't be sent again.
	sendStarted bool
	held        *atomic.Int64
}

// readBody buffers a body up to maxBufferedBody. held counts the buffered bytes of all requests; readBody fails if it exceeds
// limit.
func readBody(r *http.Request, maxBytes int64, held *atomic.Int64, limit int64) (*requestBody, error) {
	if r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if maxBytes > 0 && r.ContentLength > maxBytes {
		return nil, errBodyTooLarge
	}
	source := io.Reader(r.Body)
	if maxBytes > 0 {
		source = http.MaxBytesReader(nil, r.Body, maxBytes)
	}
	var buffer bytes.Buffer
	if n := r.ContentLength; n > 0 && n <= maxBufferedBody {
		buffer.Grow(int(n) + bytes.MinRead)
	}
	_, err := io.CopyN(&buffer, source, maxBufferedBody)
	b := &requestBody{buffered: buffer.Bytes(), length: int64(buffer.Len()), held: held}
	if held.Add(b.length) > limit {
		b.release()
		return nil, errBodyMemoryLimit
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, io.EOF):
		return b, nil
	case errors.As(err, &tooLarge):
		b.release()
		return nil, errBodyTooLarge
	case err != nil:
		b.release()
		return nil, fmt.Errorf("%w: %w", errBodyIncomplete, err)
	}
	if r.ContentLength != b.length {
		b.rest, b.length = source, r.ContentLength
	}
	return b, nil
}

// release subtracts the buffered bytes from the total. It may be called more than once.
func (b *requestBody) release() {
	if b.held != nil {
		b.held.Add(-int64(len(b.buffered)))
		b.held = nil
	}
}

func (b *requestBody) size() int64 {
	return b.length
}

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool {
	return b.rest == nil || !b.sendStarted
}

// writeTo writes the framing header fields, the end of the header and the body.
func (b *requestBody) writeTo(w *bufio.Writer, method string) error {
	if b.rest != nil && b.length < 0 {
		return b.writeChunks(w)
	}
	framing := "\r\n"
	if b.length > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		framing = fmt.Sprintf("Content-Length: %d\r\n\r\n", b.length)
	}
	if _, err := w.WriteString(framing); err != nil {
		return err
	}
	if _, err := w.Write(b.buffered); err != nil || b.rest == nil {
		return err
	}
	_, err := io.CopyN(w, b.rest, b.length-int64(len(b.buffered)))
	return err
}

func (b *requestBody) writeChunks(w *bufio.Writer) error {
	if _, err := w.WriteString("Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	chunks := httputil.NewChunkedWriter(w)
	if _, err := chunks.Write(b.buffered); err != nil {
		return err
	}
	if _, err := io.Copy(chunks, b.rest); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}
