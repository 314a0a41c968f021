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

	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/targetconn"
)

const (
	// maxInlineBodyBytes is the size up to which a body is written before the response is read. It fits into the socket
	// buffers.
	maxInlineBodyBytes = 16 << 10
	// maxSkippedResponses bounds the responses to other requests that are skipped on one connection.
	maxSkippedResponses = 2
	// nonIdempotentMaxIdle is how long a connection may have been idle to be used for a request that must not be executed
	// twice.
	nonIdempotentMaxIdle = 3 * time.Second
	// idempotentMaxIdle is the same for idempotent requests. Targets close idle connections after several seconds.
	idempotentMaxIdle = 8 * time.Second
)

var (
	errWrongRequestID     = errors.New("response belongs to another request")
	errContentEncoding    = errors.New("response has a content encoding that was not requested")
	errUnsigned           = errors.New("response is not signed by a target")
	errSwitchingProtocols = errors.New("target switched protocols")
	errTokenExpired       = errors.New("the token of the quota is too old")
	errTruncated          = errors.New("response body is incomplete")
	errWritePanicked      = errors.New("panic while sending the request")
)

// upstreamRequest is a request in the form in which it is sent to a target.
type upstreamRequest struct {
	method, uri, host string
	header            http.Header
	id                string
	body              *requestBody
	idempotent        bool
	// mayBegin, if not nil, reports whether the request may still be sent. It is asked once the connection is established.
	mayBegin func() bool
	// flow is where the bytes of the exchange are counted, nil if the target is in the VM's region.
	flow *interregion.Flow
	// usedConns are the connections on which earlier attempts of the request were sent. They aren't used again, because a
	// duplicate response on one of them would carry the same request ID.
	usedConns []*targetconn.Conn
}

// targetResponse is the response of a target.
type targetResponse struct {
	status int
	header http.Header
	meta   ResponseMeta
	// closesConn is set if the target closes the connection after the response.
	closesConn bool
	// body is the part that has been read; rest is nil if that is the whole body.
	body []byte
	rest io.ReadCloser
	// incarnation is the target that sent the response.
	incarnation inventory.Incarnation
}

// result describes how an attempt ended.
type result struct {
	outcome  outcome
	response *targetResponse
	cause    error
}

// connectionLost reports whether the connection ended after the request was sent and before the response was complete, as happens when
// a target crashes.
func (r result) connectionLost() bool {
	return r.outcome == unknown && r.response == nil &&
		(errors.Is(r.cause, io.EOF) || errors.Is(r.cause, io.ErrUnexpectedEOF) || errors.Is(r.cause, syscall.ECONNRESET) || errors.Is(r.cause, syscall.EPIPE))
}

// sender sends requests to targets.
type sender struct {
	dialect Dialect
	pools   *connPools
	memory  responseMemory
	// maxResponseBytes bounds the size of a response body.
	maxResponseBytes int64
	// recoverPanic, when deferred, recovers a panic of a goroutine and logs it.
	recoverPanic func(place string)
}

// exchange sends a request to a target and reads the response. ctx ends at the deadline or when the caller disconnects.
func (s *sender) exchange(ctx context.Context, target, address string, r *upstreamRequest, deadline time.Time) result {
	maxIdle := nonIdempotentMaxIdle
	if r.idempotent {
		maxIdle = idempotentMaxIdle
	}
	pool := s.pools.get(target, address)
	c, err := pool.GetRecent(ctx, maxIdle, r.usedConns)
	if err != nil {
		return result{outcome: unsent, cause: err}
	}
	remaining := time.Until(deadline)
	if remaining <= 0 {
		pool.Put(c)
		return result{outcome: unsent, cause: context.DeadlineExceeded}
	}
	if r.mayBegin != nil && !r.mayBegin() {
		pool.Put(c)
		return result{outcome: unsent, cause: errTokenExpired}
	}
	c.SetFlow(r.flow)
	c.Begin(nil)
	r.usedConns = append(r.usedConns, c)
	stop := context.AfterFunc(ctx, c.Abort)
	s.dialect.SetRequestHeaders(r.header, target, remaining)
	writeDone := s.write(c, r)
	resp, err := s.readMatching(c, r)
	if err != nil {
		stop()
		c.Abort()
		return s.classifyError(ctx, c, err)
	}
	s.releaseConn(c, pool, resp, writeDone, stop)
	return s.classifyResponse(resp)
}

// write sends the request. Large bodies are sent while the response is awaited, since a target may respond before it has read
// the whole request. The returned channel delivers the result of the write.
func (s *sender) write(c *targetconn.Conn, r *upstreamRequest) chan error {
	writeDone := make(chan error, 1)
	r.body.sendStarted = true
	if r.body.size() >= 0 && r.body.size() <= maxInlineBodyBytes {
		err := writeRequest(c, r)
		c.FinishWrite(err)
		writeDone <- err
		return writeDone
	}
	go func() {
		err := errWritePanicked
		defer func() {
			c.FinishWrite(err)
			writeDone <- err
		}()
		defer s.recoverPanic("request body")
		err = writeRequest(c, r)
	}()
	return writeDone
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

// readMatching returns the response to the request. It skips responses to other requests, since a target may have responded
// twice to an earlier one. A response without an ID, or with any if the request has none, may also be such a duplicate, unless the
// connection has carried no other request.
func (s *sender) readMatching(c *targetconn.Conn, r *upstreamRequest) (*targetResponse, error) {
	for range maxSkippedResponses + 1 {
		resp, err := s.readResponse(c, r)
		if err != nil {
			return nil, err
		}
		if resp.meta.ID == r.id && r.id != "" || (resp.meta.ID == "" || r.id == "") && c.FirstExchange() {
			return resp, nil
		}
		partial := resp.rest != nil
		s.discard(resp)
		if partial || resp.meta.ID == "" {
			break
		}
	}
	return nil, errWrongRequestID
}

func (s *sender) readResponse(c *targetconn.Conn, r *upstreamRequest) (*targetResponse, error) {
	head, err := readResponseHead(c, r.method)
	if err != nil {
		return nil, err
	}
	resp := &targetResponse{status: head.StatusCode, header: head.Header, meta: s.dialect.ReadResponse(head.StatusCode, head.Header), closesConn: head.Close}
	if head.Header.Get("Content-Encoding") != "" {
		return nil, errContentEncoding
	}
	body, complete, err := s.memory.buffer(head)
	if err != nil {
		s.memory.held.Add(-int64(len(body)))
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	resp.body = body
	if !complete {
		resp.rest = &limitedBody{ReadCloser: head.Body, remaining: s.maxResponseBytes - int64(len(body))}
	}
	return resp, nil
}

// discard releases the memory and the connection of a response, whether or not it was forwarded.
func (s *sender) discard(resp *targetResponse) {
	if resp == nil {
		return
	}
	s.memory.held.Add(-int64(len(resp.body)))
	if resp.rest != nil {
		_ = resp.rest.Close()
	}
	resp.body, resp.rest = nil, nil
}

// releaseConn returns the connection to the pool if it can carry another request, and aborts it otherwise. If the response body
// is still being streamed, the connection is aborted when the body is closed.
func (s *sender) releaseConn(c *targetconn.Conn, pool *targetconn.Pool, resp *targetResponse, writeDone chan error, stop func() bool) {
	if resp.rest != nil {
		resp.rest = &streamedBody{ReadCloser: resp.rest, onClose: func() { stop(); c.Abort() }}
		return
	}
	complete := false
	select {
	case err := <-writeDone:
		complete = err == nil
	default:
	}
	if !stop() || !complete || resp.closesConn || c.Reader.Buffered() > 0 {
		c.Abort()
		return
	}
	pool.Put(c)
}

// streamedBody is the rest of a response body. Closing it ends the exchange.
type streamedBody struct {
	io.ReadCloser
	onClose func()
}

// Close implements io.Closer.
func (r *streamedBody) Close() error {
	r.onClose()
	return nil
}

func (s *sender) classifyError(ctx context.Context, c *targetconn.Conn, err error) result {
	if sent, _ := c.Sent(); sent == 0 {
		return result{outcome: unsent, cause: err}
	}
	if ctx.Err() != nil {
		return result{outcome: expired, cause: ctx.Err()}
	}
	return result{outcome: unknown, cause: err}
}

// classifyResponse derives the outcome from a response. A response without a signature didn't come from a target's service and
// doesn't show whether the request was executed.
func (s *sender) classifyResponse(resp *targetResponse) result {
	switch {
	case resp.meta.NotRun && resp.rest == nil:
		return result{outcome: notRun, response: resp, cause: errors.New("target refused the request: status " + strconv.Itoa(resp.status))}
	case !resp.meta.Signed:
		return result{outcome: unknown, response: resp, cause: errUnsigned}
	default:
		return result{outcome: answered, response: resp}
	}
}
