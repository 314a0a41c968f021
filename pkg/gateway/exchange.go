package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzelever/bronzelever/pkg/hopbyhop"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/targetconn"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const headerRequestID = "X-Request-Id"

// errCrossed means that the target answered another request.
var errCrossed = errors.New("the answer belongs to another request")

// ending tells how an exchange with a target ended.
type ending int

const (
	// endedClean means that the complete answer arrived.
	endedClean ending = iota
	// endedUnsent means that no byte of the request was written.
	endedUnsent
	// endedCancelled means that the deadline passed or the caller gave up.
	endedCancelled
	// endedBroken means that the connection broke.
	endedBroken
	// endedFaulty means that the target violated the protocol.
	endedFaulty
	// endedByCaller means that the request's body could not be read to its end.
	endedByCaller
)

// attempt is one exchange over a connection.
type attempt struct {
	conn     *targetconn.Conn
	pool     *targetconn.Pool
	request  *http.Request
	deadline time.Time
	// onEnd is called once, before the last read of the body returns. The slot stays occupied until conn.Ended if the
	// ending isn't clean or unsent.
	onEnd    func(ending, *targetconn.Conn)
	endOnce  sync.Once
	stop     func() bool
	written  chan struct{}
	writeErr error
	// callerBroke tells that the request's body could not be read to its announced end.
	callerBroke atomic.Bool
	body        *callerBody
}

// callerBody hides the caller's Close: the body belongs to the caller of Handle.
type callerBody struct {
	io.Reader
	// touched tells that something was read.
	touched atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	return b.Reader.Read(p)
}

// Close implements io.Closer.
func (*callerBody) Close() error {
	return nil
}

// run sends the request and reads the answer's head. After an error the exchange has ended.
func (a *attempt) run(ctx context.Context, guard func() error) (*http.Response, error) {
	a.conn.Begin(guard)
	a.written = make(chan struct{})
	a.stop = context.AfterFunc(ctx, func() {
		a.conn.Cancel(a.deadline)
	})
	if a.request.Body == http.NoBody {
		a.write()
	} else {
		// The answer may arrive before the body has been sent.
		go a.write()
	}
	response, err := a.readHead()
	if err == nil {
		err = checkRequestID(a.request, response)
	}
	if err != nil {
		return nil, a.fail(ctx, err)
	}
	return response, nil
}

func (a *attempt) write() {
	defer close(a.written)
	err := a.request.Write(a.conn.Writer)
	if err == nil {
		err = a.conn.Writer.Flush()
	}
	a.writeErr = err
	a.conn.FinishWrite(err)
	if err == nil {
		return
	}
	sent, connErr := a.conn.Sent()
	if connErr == nil {
		a.callerBroke.Store(true)
	}
	// A target may answer and close before it has read the whole body: a failed write alone doesn't end the exchange.
	if sent == 0 || connErr == nil {
		a.conn.Cancel(a.deadline)
	}
}

func (a *attempt) readHead() (*http.Response, error) {
	for {
		response, err := a.conn.ReadResponse(a.request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the target switched protocols")
		}
	}
}

// checkRequestID detects an answer that belongs to another request, from targets that echo the request's ID.
func checkRequestID(request *http.Request, response *http.Response) error {
	echoed := response.Header.Get(headerRequestID)
	if echoed != "" && echoed != request.Header.Get(headerRequestID) {
		return errCrossed
	}
	return nil
}

// fail ends the exchange after an error and returns the refusal for the caller.
func (a *attempt) fail(ctx context.Context, cause error) error {
	a.conn.Cancel(a.deadline)
	sent, connErr := a.conn.Sent()
	if sent == 0 {
		a.end(endedUnsent)
		return a.unsent(ctx, connErr)
	}
	switch {
	case a.callerBroke.Load():
		a.end(endedByCaller)
		return problem.New(http.StatusBadRequest, problem.CodeBadRequest, problem.Unknown, "the request body broke off")
	case endingOf(cause) == endedCancelled:
		a.end(endedCancelled)
		return problem.New(http.StatusGatewayTimeout, problem.CodeDeadline, problem.Unknown,
			"the target did not answer before the deadline")
	default:
		a.end(endingOf(cause))
		return problem.New(http.StatusBadGateway, problem.CodeTargetFailed, problem.Unknown,
			"the target failed: "+cause.Error())
	}
}

func (a *attempt) unsent(ctx context.Context, connErr error) error {
	var refusal *problem.Error
	switch {
	case errors.As(connErr, &refusal):
		return refusal
	case a.callerBroke.Load():
		return problem.New(http.StatusBadRequest, problem.CodeBadRequest, problem.NotRun, "the request body broke off")
	case ctx.Err() != nil:
		return deadlineNotRun()
	case a.body.touched.Load():
		// A part of the body is gone, so that another attempt would send a truncated one.
		return refuse(http.StatusBadGateway, problem.CodeTargetFailed, errUnsent.Error(), 0)
	default:
		return errUnsent
	}
}

// endingOf tells a broken connection, a sign of a crashed target, from a faulty answer and from the own cancellation. The
// context doesn't tell: its deadline may pass between the break and this call.
func endingOf(cause error) ending {
	var network net.Error
	if errors.Is(cause, net.ErrClosed) || errors.Is(cause, os.ErrDeadlineExceeded) {
		return endedCancelled
	}
	if errors.Is(cause, io.EOF) || errors.Is(cause, io.ErrUnexpectedEOF) || errors.As(cause, &network) {
		return endedBroken
	}
	return endedFaulty
}

// errUnreachable means that no connection to the target could be opened.
var errUnreachable = errors.New("the target accepts no connection")

// errUnsent means that a connection broke before the first byte of the request was written.
var errUnsent = errors.New("the connection broke before the request was sent")

func deadlineNotRun() *problem.Error {
	return problem.New(http.StatusGatewayTimeout, problem.CodeDeadline, problem.NotRun,
		"the deadline passed before the request was sent")
}

func (a *attempt) end(how ending) {
	a.endOnce.Do(func() {
		// A cancellation that has begun closes the connection.
		if untouched := a.stop(); how == endedClean && untouched {
			a.recycle()
		} else {
			a.conn.Cancel(a.deadline)
		}
		a.onEnd(how, a.conn)
	})
}

// recycle makes the connection available again if the exchange left nothing on it.
func (a *attempt) recycle() {
	reusable := false
	select {
	case <-a.written:
		reusable = a.writeErr == nil
	default:
	}
	if !reusable || a.request.Close || a.conn.Reader.Buffered() > 0 {
		a.conn.Discard()
		return
	}
	a.pool.Put(a.conn)
}

// answerBody streams the target's answer. The end of the exchange is settled before the last Read returns.
type answerBody struct {
	inner   io.ReadCloser
	attempt *attempt
	ctx     context.Context
	release context.CancelFunc
	// close tells that the connection ends with this answer.
	close bool
}

// Read implements io.Reader. Every failure but the deadline is reported as io.ErrUnexpectedEOF.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.finish()
		return n, io.EOF
	default:
		b.attempt.end(endingOf(err))
	}
	return n, io.ErrUnexpectedEOF
}

func (b *answerBody) finish() {
	if b.close {
		b.attempt.request.Close = true
	}
	b.attempt.end(endedClean)
}

// Close implements io.Closer. Closing before the end cancels the exchange.
func (b *answerBody) Close() error {
	b.attempt.end(endedCancelled)
	b.release()
	return nil
}

// ownPrefix is the prefix of header fields that only bronzelever may send to callers.
const ownPrefix = "Bronzelever-"

// answerHeaders returns the end-to-end header fields of an answer.
func answerHeaders(h http.Header) []wire.Header {
	dropped := hopbyhop.ConnectionOptions(h.Values("Connection"))
	headers := make([]wire.Header, 0, len(h))
	for name, values := range h {
		// The target knows the attempt's ID; the entry router sends the caller the request's own.
		if hopbyhop.IsField(name) || dropped[name] || name == headerRequestID || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		for _, value := range values {
			headers = append(headers, wire.Header{Name: name, Value: value})
		}
	}
	return headers
}
