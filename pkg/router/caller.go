package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// copyBufferBytes is the size of the buffers that copy response bodies.
	copyBufferBytes = 32 << 10
	// headerNotRun is set by targets for gateways and isn't passed on to callers.
	headerNotRun = "Bronzelever-Not-Run"
	// writeGrace is how long after the deadline the error response can still be written.
	writeGrace = time.Second
)

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// callerHandler serves the callers' HTTP requests.
type callerHandler struct {
	chain filter.Next
	log   *event.Logger
	// draining makes every response close its connection.
	draining *atomic.Bool

	requests, refused, truncated tally.Counter
}

func newCallerHandler(chain filter.Next, log *event.Logger, draining *atomic.Bool, scope tally.Scope) *callerHandler {
	sub := scope.SubScope("callers")
	return &callerHandler{
		chain:     chain,
		log:       log,
		draining:  draining,
		requests:  sub.Counter("requests"),
		refused:   sub.Counter("refused"),
		truncated: sub.Counter("answers_broken"),
	}
}

// ServeHTTP implements http.Handler.
func (c *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.requests.Inc(1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	control := http.NewResponseController(w)
	if r.ProtoMajor == 1 && r.ContentLength != 0 {
		// The response may begin before the upload ends. The call fails only for response writers that don't support
		// full duplex, such as those of other servers.
		_ = control.EnableFullDuplex()
	}
	body := &trackedBody{ReadCloser: r.Body}
	body.ended.Store(r.ContentLength == 0)
	r.Body = body
	interrupt := &connInterrupter{control: control, body: body}
	defer interrupt.reset()
	x := &filter.Exchange{Request: r, Header: w.Header(), Interrupt: interrupt.fire}
	// No reader of the body may run after the handler returns: net/http reads the next request from the same connection.
	defer body.stop(control)
	response, err := c.chain(ctx, x)
	if c.draining.Load() || interrupt.hasFired() || !body.ended.Load() {
		// If the response precedes the end of the request body, the unread rest would be parsed as the next request.
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		c.writeProblem(w, x, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.writeResponse(w, r, response)
}

// errBodyStopped is returned to readers of the request body that still run when the handler ends.
var errBodyStopped = errors.New("request body read after the response")

// trackedBody is a request body that records whether reading has ended, by EOF or another error, and that can stop its
// readers.
type trackedBody struct {
	io.ReadCloser
	ended   atomic.Bool
	stopped atomic.Bool
	// readMu is held during each read of the connection.
	readMu sync.Mutex
}

// stop makes further reads fail and waits for the one in progress. net/http panics if a body is read while it reads the
// next request.
func (b *trackedBody) stop(control *http.ResponseController) {
	b.stopped.Store(true)
	if !b.ended.Load() {
		// The call fails only for response writers without deadlines, where no reader blocks either.
		_ = control.SetReadDeadline(time.Now())
	}
	b.readMu.Lock()
	defer b.readMu.Unlock()
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if b.stopped.Load() {
		return 0, errBodyStopped
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	return n, err
}

// connInterrupter interrupts the I/O on a caller's connection after the deadline of a request.
//
// After the end of a body, net/http reads ahead to detect that the caller disconnects. A read deadline would end that read
// and cancel the context of the connection, and so that of all later requests on it. The read deadline is therefore set only
// while the body is being read, and the connection closes after the response.
type connInterrupter struct {
	control  *http.ResponseController
	body     *trackedBody
	mu       sync.Mutex
	fired    bool
	finished bool
}

func (i *connInterrupter) fire() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.finished {
		return
	}
	i.fired = true
	// The calls fail only for response writers without deadlines, where there is no I/O to interrupt.
	if !i.body.ended.Load() {
		_ = i.control.SetReadDeadline(time.Now())
	}
	_ = i.control.SetWriteDeadline(time.Now().Add(writeGrace))
}

func (i *connInterrupter) hasFired() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fired
}

// reset clears the write deadline, so that the connection can serve the next request; net/http resets only the read
// deadline. Later calls of fire have no effect.
func (i *connInterrupter) reset() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.finished = true
	if i.fired {
		_ = i.control.SetWriteDeadline(time.Time{})
	}
}

func (c *callerHandler) writeProblem(w http.ResponseWriter, x *filter.Exchange, err error) {
	c.refused.Inc(1)
	var p *problem.Error
	if !errors.As(err, &p) {
		p = problem.New(http.StatusBadGateway, problem.CodeGatewayLost, problem.Unknown, err.Error())
	}
	document := *p
	document.RequestID = x.ID
	problem.Write(w, &document)
}

// writeResponse copies the response to the caller. If its body is truncated, writeResponse aborts the caller's connection, so
// that the caller can't take the partial body for a complete one.
func (c *callerHandler) writeResponse(w http.ResponseWriter, r *http.Request, response *exchange.Response) {
	head := &response.Head
	writeHead(w, head)
	if r.Method == http.MethodHead || !bodyAllowed(head.Status) {
		return
	}
	if err := copyBody(w, response); err != nil {
		c.truncated.Inc(1)
		c.log.Emit(event.ResponseTruncated)
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// droppedHeaders are the response header fields that concern the connection to the target, or that the router sets itself.
var droppedHeaders = map[string]bool{
	"Connection":           true,
	"Content-Length":       true,
	"Keep-Alive":           true,
	"Proxy-Authenticate":   true,
	"Proxy-Connection":     true,
	"Te":                   true,
	"Trailer":              true,
	"Transfer-Encoding":    true,
	"Upgrade":              true,
	filter.HeaderRequestID: true,
	headerNotRun:           true,
	problem.HeaderOutcome:  true,
}

func writeHead(w http.ResponseWriter, head *wire.Response) {
	h := w.Header()
	for _, field := range head.Headers {
		name := http.CanonicalHeaderKey(field.Name)
		if droppedHeaders[name] {
			continue
		}
		h.Add(name, field.Value)
	}
	if head.ContentLength >= 0 && bodyAllowed(head.Status) {
		h.Set("Content-Length", strconv.FormatInt(head.ContentLength, 10))
	}
	if len(h["Content-Type"]) == 0 {
		// Keeps net/http from sniffing the content type.
		h["Content-Type"] = nil
	}
	outcome := head.Outcome
	if outcome == "" {
		outcome = string(problem.Ran)
	}
	h.Set(problem.HeaderOutcome, outcome)
	w.WriteHeader(head.Status)
}

// copyBody copies the response body to the caller. A body of unknown length may be a slow stream, so it is flushed after
// each write.
func copyBody(w http.ResponseWriter, response *exchange.Response) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	stream := response.Head.ContentLength < 0
	control := http.NewResponseController(w)
	total := int64(0)
	for {
		n, readErr := response.Body.Read(*buf)
		total += int64(n)
		if n > 0 {
			if _, err := w.Write((*buf)[:n]); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			break
		}
		if readErr != nil {
			return readErr
		}
		if stream && n > 0 {
			// A flush fails only if the caller has disconnected, which the next write reports.
			_ = control.Flush()
		}
	}
	if !stream && total != response.Head.ContentLength {
		return io.ErrUnexpectedEOF
	}
	return nil
}
