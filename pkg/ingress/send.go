package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/bronzelever/bronzelever/pkg/targetconn"
)

const (
	// inlineBodyBytes is the size up to which a body is written before the answer is read. It fits the socket's buffers.
	inlineBodyBytes = 16 << 10
	// maxCrossed bounds the answers to other requests that are skipped on one connection.
	maxCrossed = 2
	// unsafeMaxIdle is the age up to which an idle connection is used for a request that must not run twice.
	unsafeMaxIdle = 3 * time.Second
	// safeMaxIdle is the same for idempotent requests. Targets close idle connections after several seconds.
	safeMaxIdle = 8 * time.Second
)

var (
	errCrossed   = errors.New("the answer belongs to another request")
	errEncoded   = errors.New("the answer has a content encoding that nobody asked for")
	errUnsigned  = errors.New("the answer isn't signed by a target")
	errSwitched  = errors.New("the target switched protocols")
	errTruncated = errors.New("the answer broke off")
	errPanicked  = errors.New("an unexpected error ended the sending")
)

// upstreamRequest is a request as it is sent to a target.
type upstreamRequest struct {
	method, uri, host string
	header            http.Header
	id                string
	body              *requestBody
	idempotent        bool
	// carriers are the connections on which the request was sent before. A second copy of an answer on one of them would bear
	// the request's ID, too.
	carriers []*targetconn.Conn
}

// answer is a target's answer.
type answer struct {
	status int
	header http.Header
	meta   AnswerMeta
	// closing tells that the connection ends with the answer.
	closing bool
	// body is what has been read; rest is nil if that is all.
	body []byte
	rest io.ReadCloser
}

// result is what became of an attempt.
type result struct {
	outcome outcome
	answer  *answer
	cause   error
}

// broken tells whether the connection ended after the request was sent and before any answer, as it does when a target crashes.
func (r result) broken() bool {
	return r.outcome == unknown && r.answer == nil && !errors.Is(r.cause, errTruncated) &&
		(errors.Is(r.cause, io.EOF) || errors.Is(r.cause, io.ErrUnexpectedEOF) || errors.Is(r.cause, syscall.ECONNRESET) || errors.Is(r.cause, syscall.EPIPE))
}

// sender sends requests to targets.
type sender struct {
	dialect Dialect
	pools   *connPools
	memory  answerMemory
	// maxAnswer bounds an answer's body in bytes.
	maxAnswer int64
	// recovered ends a panic of a goroutine with an event.
	recovered func(place string)
}

// exchange sends a request and reads the answer. ctx ends with the deadline or when the caller leaves.
func (s *sender) exchange(ctx context.Context, target, address string, r *upstreamRequest, deadline time.Time) result {
	maxIdle := unsafeMaxIdle
	if r.idempotent {
		maxIdle = safeMaxIdle
	}
	pool := s.pools.of(target, address)
	c, err := pool.GetRecent(ctx, maxIdle, r.carriers)
	if err != nil {
		return result{outcome: unsent, cause: err}
	}
	left := time.Until(deadline)
	if left <= 0 {
		pool.Put(c)
		return result{outcome: unsent, cause: context.DeadlineExceeded}
	}
	c.Begin(nil)
	r.carriers = append(r.carriers, c)
	stop := context.AfterFunc(ctx, c.Abort)
	s.dialect.StampRequest(r.header, target, left)
	written := s.write(c, r)
	got, err := s.read(c, r)
	if err != nil {
		stop()
		c.Abort()
		return s.failed(ctx, c, err)
	}
	s.finish(c, pool, got, written, stop)
	return s.classify(got)
}

// write sends the request; large bodies are sent while the answer is awaited, since a target may answer early.
func (s *sender) write(c *targetconn.Conn, r *upstreamRequest) chan error {
	written := make(chan error, 1)
	r.body.handedOver = true
	if r.body.size() >= 0 && r.body.size() <= inlineBodyBytes {
		written <- writeRequest(c, r)
		return written
	}
	go func() {
		err := errPanicked
		defer func() { written <- err }()
		defer s.recovered("request body")
		err = writeRequest(c, r)
	}()
	return written
}

func writeRequest(c *targetconn.Conn, r *upstreamRequest) error {
	w := c.Writer
	w.Reset(c)
	if _, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.uri, r.host); err != nil {
		return err
	}
	if err := r.header.Write(w); err != nil {
		return err
	}
	if err := r.body.writeTo(w, r.method); err != nil {
		return err
	}
	return w.Flush()
}

// read returns the answer to the request. Answers that belong to other requests are skipped: a target may have answered an
// earlier one twice. One without an ID may be such a copy, too, unless the connection has carried no other request.
func (s *sender) read(c *targetconn.Conn, r *upstreamRequest) (*answer, error) {
	for range maxCrossed + 1 {
		got, err := s.readOne(c, r)
		if err != nil {
			return nil, err
		}
		if got.meta.ID == r.id || got.meta.ID == "" && c.First() {
			return got, nil
		}
		partial := got.rest != nil
		s.drop(got)
		if partial || got.meta.ID == "" {
			break
		}
	}
	return nil, errCrossed
}

func (s *sender) readOne(c *targetconn.Conn, r *upstreamRequest) (*answer, error) {
	response, err := readHead(c, r.method)
	if err != nil {
		return nil, err
	}
	got := &answer{status: response.StatusCode, header: response.Header, meta: s.dialect.ReadAnswer(response.StatusCode, response.Header), closing: response.Close}
	if response.Header.Get("Content-Encoding") != "" {
		return nil, errEncoded
	}
	body, complete, err := s.memory.buffer(response)
	if err != nil {
		s.memory.held.Add(-int64(len(body)))
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	got.body = body
	if !complete {
		got.rest = &boundedBody{ReadCloser: response.Body, left: s.maxAnswer - int64(len(body))}
	}
	return got, nil
}

// drop ends the use of an answer that isn't passed on, or has been.
func (s *sender) drop(a *answer) {
	if a == nil {
		return
	}
	s.memory.held.Add(-int64(len(a.body)))
	if a.rest != nil {
		_ = a.rest.Close()
	}
	a.body, a.rest = nil, nil
}

// finish decides whether the connection may carry another request.
func (s *sender) finish(c *targetconn.Conn, pool *targetconn.Pool, got *answer, written chan error, stop func() bool) {
	if got.rest != nil {
		got.rest = &restOfAnswer{ReadCloser: got.rest, end: func() { stop(); c.Abort() }}
		return
	}
	complete := false
	select {
	case err := <-written:
		complete = err == nil
	default:
	}
	if !stop() || !complete || got.closing || c.Reader.Buffered() > 0 {
		c.Abort()
		return
	}
	pool.Put(c)
}

// restOfAnswer ends the exchange when it is closed.
type restOfAnswer struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (r *restOfAnswer) Close() error {
	r.end()
	return nil
}

func (s *sender) failed(ctx context.Context, c *targetconn.Conn, err error) result {
	if sent, _ := c.Sent(); sent == 0 {
		return result{outcome: unsent, cause: err}
	}
	if ctx.Err() != nil {
		return result{outcome: expired, cause: ctx.Err()}
	}
	return result{outcome: unknown, cause: err}
}

// classify tells a target's own answer from what only looks like one.
func (s *sender) classify(got *answer) result {
	switch {
	case got.meta.NotRun && got.rest == nil:
		return result{outcome: notRun, answer: got, cause: errors.New("the target refused: status " + strconv.Itoa(got.status))}
	case !got.meta.Signed:
		return result{outcome: unknown, answer: got, cause: errUnsigned}
	default:
		return result{outcome: answered, answer: got}
	}
}
