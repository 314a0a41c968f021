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
	// maxAnswerHead bounds the bytes of an answer's head, informational answers before it included.
	maxAnswerHead = 32 << 10
	// maxAnswerFields bounds the fields of a head. Each takes about 100 bytes of memory however short it is.
	maxAnswerFields = 200
	// maxInformational bounds the informational answers before an answer.
	maxInformational = 8
	// maxBufferedAnswer is the size up to which an answer is read completely before the caller gets its head, so that a
	// broken one can still be replaced.
	maxBufferedAnswer = 512 << 10
	// answerStep is how many bytes of an answer are reserved at a time. So many are buffered of each answer in any case.
	answerStep = 32 << 10
	// defaultMaxAnswer bounds an answer's body unless the options say otherwise. Larger ones aren't expected of any service.
	defaultMaxAnswer = 1 << 30
)

var (
	errFields        = errors.New("the answer's head has too many fields")
	errInformational = errors.New("too many informational answers")
	errAnswerSize    = errors.New("the answer is larger than is allowed")
)

// boundBroken tells whether an attempt failed because the target sent more than is allowed.
func boundBroken(err error) bool {
	return errors.Is(err, targetconn.ErrTooLong) || errors.Is(err, errFields) || errors.Is(err, errInformational) ||
		errors.Is(err, errAnswerSize)
}

// readHead reads the head of the final answer.
func readHead(c *targetconn.Conn, method string) (*http.Response, error) {
	c.AllowReading(maxAnswerHead)
	defer c.AllowReading(math.MaxInt64)
	for range maxInformational + 1 {
		response, err := http.ReadResponse(c.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
		if fieldCount(response.Header) > maxAnswerFields {
			return nil, errFields
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errInformational
}

func fieldCount(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// answerMemory counts the bytes of targets' answers that are buffered.
type answerMemory struct {
	held atomic.Int64
	// limit bounds the bytes of all requests; each answer may exceed it by answerStep.
	limit int64
}

// buffer reads a body up to maxBufferedAnswer, or less of it while many bytes are held. complete tells that it was read to its end.
func (m *answerMemory) buffer(response *http.Response) (body []byte, complete bool, err error) {
	var buffer bytes.Buffer
	if n := response.ContentLength; n > 0 && n <= answerStep {
		buffer.Grow(int(n) + bytes.MinRead)
	}
	for reserved := 0; ; {
		m.held.Add(answerStep)
		reserved += answerStep
		_, err = io.CopyN(&buffer, response.Body, answerStep)
		done := errors.Is(err, io.EOF) || err == nil && response.ContentLength == int64(buffer.Len())
		if done || err != nil || reserved >= maxBufferedAnswer || m.held.Load() >= m.limit {
			m.held.Add(int64(buffer.Len() - reserved))
			if done {
				err = nil
			}
			return buffer.Bytes(), done, err
		}
	}
}

// boundedBody is the rest of a body of which at most left bytes may follow.
type boundedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader. A body that goes on behind the bound ends with an error, so that it doesn't look complete.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("%w: it doesn't end", errAnswerSize)
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}
