package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync/atomic"

	"github.com/bronzelever/bronzelever/pkg/targetconn"
)

const (
	// maxHeaderBytes bounds the size of a response head, including the informational responses that precede it.
	maxHeaderBytes = 32 << 10
	// maxHeaderFields bounds the number of header fields. Each takes about 100 bytes of memory, however short it is.
	maxHeaderFields = 200
	// maxInformationalResponses bounds the number of informational responses that may precede the final one.
	maxInformationalResponses = 8
	// maxBufferedResponse is the size up to which a response is read completely before its head is sent to the caller, so that
	// a response that breaks off can still be replaced by a retry or an error.
	maxBufferedResponse = 512 << 10
	// bufferStep is the number of bytes that are reserved at a time for buffering a response. At least this much of each
	// response is buffered, even if the memory limit has been reached.
	bufferStep = 32 << 10
	// defaultMaxResponseBytes bounds a response body if the options don't. No service is expected to send larger ones.
	defaultMaxResponseBytes = 1 << 30
)

var (
	errTooManyFields        = errors.New("response has too many header fields")
	errTooManyInformational = errors.New("too many informational responses")
	errResponseTooLarge     = errors.New("response body exceeds the size limit")
)

// isLimitError reports whether an attempt failed because the target's response exceeded a limit.
func isLimitError(err error) bool {
	return errors.Is(err, targetconn.ErrReadLimit) || errors.Is(err, errTooManyFields) || errors.Is(err, errTooManyInformational) ||
		errors.Is(err, errResponseTooLarge)
}

// readResponseHead reads the head of the final response and skips informational ones.
func readResponseHead(c *targetconn.Conn, method string) (*http.Response, error) {
	c.LimitReads(maxHeaderBytes)
	defer c.LimitReads(math.MaxInt64)
	for range maxInformationalResponses + 1 {
		response, err := c.ReadResponse(&http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitchingProtocols
		}
		if countFields(response.Header) > maxHeaderFields {
			return nil, errTooManyFields
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errTooManyInformational
}

func countFields(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// responseMemory counts the bytes of targets' responses that are buffered in memory.
type responseMemory struct {
	held atomic.Int64
	// limit bounds held over all requests. Each response may exceed it by up to bufferStep.
	limit int64
}

// buffer reads up to maxBufferedResponse bytes of a body, or less if the memory limit is reached. complete reports whether the
// whole body was read.
func (m *responseMemory) buffer(response *http.Response) (body []byte, complete bool, err error) {
	var buffer bytes.Buffer
	if n := response.ContentLength; n > 0 && n <= bufferStep {
		buffer.Grow(int(n) + bytes.MinRead)
	}
	for reserved := 0; ; {
		m.held.Add(bufferStep)
		reserved += bufferStep
		_, err = io.CopyN(&buffer, response.Body, bufferStep)
		done := errors.Is(err, io.EOF) || err == nil && response.ContentLength == int64(buffer.Len())
		if done || err != nil || reserved >= maxBufferedResponse || m.held.Load() >= m.limit {
			m.held.Add(int64(buffer.Len() - reserved))
			if done {
				err = nil
			}
			return buffer.Bytes(), done, err
		}
	}
}

// limitedBody is the rest of a body, of which at most remaining bytes may follow.
type limitedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader. It fails if the body continues beyond the limit, so that a truncated body doesn't look complete.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, fmt.Errorf("%w: body truncated", errResponseTooLarge)
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}
