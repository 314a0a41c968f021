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
	// copyBytes is the unit in which answers are passed on.
	copyBytes = 32 << 10
	// headerNotRun is between targets and gateways.
	headerNotRun = "Bronzelever-Not-Run"
	// writeGrace is the time after the deadline in which the refusal can still be written.
	writeGrace = time.Second
)

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBytes)
	return &b
}}

// callers serves the callers' HTTP requests.
type callers struct {
	chain filter.Next
	log   *event.Logger
	// draining makes every answer close its connection.
	draining *atomic.Bool

	requests, refused, broken tally.Counter
}

func newCallers(chain filter.Next, log *event.Logger, draining *atomic.Bool, scope tally.Scope) *callers {
	sub := scope.SubScope("callers")
	return &callers{
		chain:    chain,
		log:      log,
		draining: draining,
		requests: sub.Counter("requests"),
		refused:  sub.Counter("refused"),
		broken:   sub.Counter("answers_broken"),
	}
}

// ServeHTTP implements http.Handler.
func (c *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.requests.Inc(1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	control := http.NewResponseController(w)
	if r.ProtoMajor == 1 && r.ContentLength != 0 {
		// Answers may begin before the upload ends. The call fails only for writers of other servers.
		_ = control.EnableFullDuplex()
	}
	body := &trackedBody{ReadCloser: r.Body}
	body.ended.Store(r.ContentLength == 0)
	r.Body = body
	interrupt := &interrupt{control: control, body: body}
	defer interrupt.reset()
	x := &filter.Exchange{Request: r, Header: w.Header(), Interrupt: interrupt.fire}
	// The last reader of the body ends before the handler returns: net/http reads the next request from the same connection.
	defer body.stop(control)
	response, err := c.chain(ctx, x)
	if c.draining.Load() || interrupt.hasFired() || !body.ended.Load() {
		// The rest of a body that was answered early would be taken for the next request.
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		c.refuse(w, x, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.answer(w, r, response)
}

// errBodyStopped is what readers get that are still at work after the answer.
var errBodyStopped = errors.New("the request has been answered")

// trackedBody tells whether a body has been read to its end, and ends its readers.
type trackedBody struct {
	io.ReadCloser
	ended   atomic.Bool
	stopped atomic.Bool
	// reading is held while the connection is read.
	reading sync.Mutex
}

// stop refuses further reads and waits for the one that is running. net/http panics if a body is read while it reads the
// next request.
func (b *trackedBody) stop(control *http.ResponseController) {
	b.stopped.Store(true)
	if !b.ended.Load() {
		// Writers without deadlines have no blocked reader either.
		_ = control.SetReadDeadline(time.Now())
	}
	b.reading.Lock()
	defer b.reading.Unlock()
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.stopped.Load() {
		return 0, errBodyStopped
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	return n, err
}

// interrupt ends the I/O with a caller after the deadline.
//
// After the end of a body net/http reads ahead to notice a caller that goes away. A read deadline would end that read and
// with it the context of the connection, that is, of all later requests on it. The read deadline is therefore set only
// while the body is being read, and the connection closes after the answer.
type interrupt struct {
	control *http.ResponseController
	body    *trackedBody
	mu      sync.Mutex
	fired   bool
	over    bool
}

func (i *interrupt) fire() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.over {
		return
	}
	i.fired = true
	// Writers without deadlines have nothing to interrupt.
	if !i.body.ended.Load() {
		_ = i.control.SetReadDeadline(time.Now())
	}
	_ = i.control.SetWriteDeadline(time.Now().Add(writeGrace))
}

func (i *interrupt) hasFired() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fired
}

// reset makes the connection usable for the next request; net/http resets only the read deadline.
func (i *interrupt) reset() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.over = true
	if i.fired {
		_ = i.control.SetWriteDeadline(time.Time{})
	}
}

func (c *callers) refuse(w http.ResponseWriter, x *filter.Exchange, err error) {
	c.refused.Inc(1)
	var p *problem.Error
	if !errors.As(err, &p) {
		p = problem.New(http.StatusBadGateway, problem.CodeGatewayLost, problem.Unknown, err.Error())
	}
	answer := *p
	answer.RequestID = x.ID
	problem.Write(w, &answer)
}

// answer passes an answer on. If the answer breaks, the caller's connection is aborted: the caller must not take what it
// has for the whole answer.
func (c *callers) answer(w http.ResponseWriter, r *http.Request, response *exchange.Response) {
	head := &response.Head
	writeHead(w, head)
	if r.Method == http.MethodHead || !bodyAllowed(head.Status) {
		return
	}
	if err := copyBody(w, response); err != nil {
		c.broken.Inc(1)
		c.log.Emit(event.ResponseTruncated)
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// dropped are header fields of an answer that concern the connection to the target, or that the router sets itself.
var dropped = map[string]bool{
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
		if dropped[name] {
			continue
		}
		h.Add(name, field.Value)
	}
	if head.ContentLength >= 0 && bodyAllowed(head.Status) {
		h.Set("Content-Length", strconv.FormatInt(head.ContentLength, 10))
	}
	if len(h["Content-Type"]) == 0 {
		// Keeps net/http from guessing the type.
		h["Content-Type"] = nil
	}
	outcome := head.Outcome
	if outcome == "" {
		outcome = string(problem.Ran)
	}
	h.Set(problem.HeaderOutcome, outcome)
	w.WriteHeader(head.Status)
}

// copyBody passes a body on. A body without length may be a slow stream, so each part of it is flushed.
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
			// A flush fails only if the caller is gone, which the next write reports.
			_ = control.Flush()
		}
	}
	if !stream && total != response.Head.ContentLength {
		return io.ErrUnexpectedEOF
	}
	return nil
}
