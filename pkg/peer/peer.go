// Package peer implements calls and request exchanges between bronzelever processes over TCP.
//
// Each connection carries one exchange at a time. An exchange that is cancelled or fails closes its connection, so that a
// late response can't be mistaken for the response to another request.
//
// A request is reported as not run in only two cases: no byte of it left this process, or the first frame received after
// sending it is the server's announcement that it is closing the connection (codeClosing). The server sends that
// announcement only between exchanges and processes nothing that arrives afterwards, so it can't have run the request.
// Idle connections are checked for a pending announcement or end of stream before use, which makes the second case rare.
// If a connection ends without the announcement, the outcome of the request is unknown.
package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// codeClosing announces that the server is closing an idle connection.
	codeClosing = "connection-closing"
	// codeVersion refuses a connection because the two sides have no protocol version in common.
	codeVersion = "version"
	// codeInternal reports a handler error that has no code of its own.
	codeInternal = "internal"
	// codeUnsupported refuses a frame type that has no handler, or a request that can't be decoded or handled.
	codeUnsupported = "unsupported"

	// helloTimeout limits the wait for the other side's Hello.
	helloTimeout    = 5 * time.Second
	readBufferBytes = 8 << 10
	chunkBytes      = wire.BodyHeaderBytes + wire.BodyChunkBytes
)

// RemoteError is an error that the remote side returned for a call.
type RemoteError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// errNoCommonVersion is returned if the two processes are more than one release apart.
var errNoCommonVersion = errors.New("no common protocol version")

// versions is the inclusive range of protocol versions that one side supports.
type versions struct {
	low  uint8
	high uint8
}

var supportedVersions = versions{low: wire.MinVersion, high: wire.Version}

// negotiate returns the highest protocol version that both sides support.
func (v versions) negotiate(h wire.Hello) (uint8, error) {
	highest := min(v.high, h.MaxVersion)
	if highest < v.low || highest < h.MinVersion {
		return 0, fmt.Errorf("%w: %d-%d and %d-%d", errNoCommonVersion, v.low, v.high, h.MinVersion, h.MaxVersion)
	}
	return highest, nil
}

// chunkPool is a pool of buffers for body frames.
var chunkPool = sync.Pool{New: func() any {
	b := make([]byte, chunkBytes)
	return &b
}}

// conn is a connection with the results of its handshake.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	version uint8
	// remote is the name of the other side's VM.
	remote string
	// sent is the number of bytes passed to the kernel since the start of the current exchange.
	sent int64
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

func (c *conn) send(t wire.Type, message any) error {
	buf, err := wire.AppendMessage(nil, c.version, t, message)
	if err != nil {
		return err
	}
	_, err = c.Write(buf)
	return err
}

func (c *conn) sendHello(v versions, vm string) error {
	hello := wire.Hello{MinVersion: v.low, MaxVersion: v.high, VM: vm}
	buf, err := wire.AppendMessage(nil, v.low, wire.TypeHello, hello)
	if err != nil {
		return err
	}
	_, err = c.Write(buf)
	return err
}

func (c *conn) receiveHello(v versions) error {
	frame, err := wire.ReadFrame(c.reader)
	if err != nil {
		return err
	}
	if frame.Type == wire.TypeError {
		return remoteError(frame)
	}
	if frame.Type != wire.TypeHello {
		return fmt.Errorf("unexpected frame type %d, want Hello", frame.Type)
	}
	var hello wire.Hello
	if err := frame.Decode(&hello); err != nil {
		return err
	}
	c.remote = hello.VM
	c.version, err = v.negotiate(hello)
	return err
}

func remoteError(frame wire.Frame) error {
	var e wire.Error
	if err := frame.Decode(&e); err != nil {
		return err
	}
	return &RemoteError{Code: e.Code, Message: e.Message}
}

// sendBody sends a body in chunks, followed by an End frame. It reports whether the whole body was read and sent.
func (c *conn) sendBody(body io.Reader, length int64) (bool, error) {
	chunk := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(chunk)
	total := int64(0)
	for {
		n, readErr := body.Read((*chunk)[wire.BodyHeaderBytes:])
		total += int64(n)
		if n > 0 {
			frame := (*chunk)[:wire.BodyHeaderBytes+n]
			wire.PutBodyHeader(frame, c.version)
			if _, err := c.Write(frame); err != nil {
				return false, err
			}
		}
		if readErr == nil {
			continue
		}
		complete := errors.Is(readErr, io.EOF) && (length < 0 || total == length)
		_, err := c.Write(wire.AppendEnd((*chunk)[:0], c.version, complete))
		return complete, err
	}
}

// appendSmallBody appends the frames of a body that is already in memory, including the End frame.
func appendSmallBody(buf []byte, version uint8, data []byte) []byte {
	if len(data) > 0 {
		start := len(buf)
		buf = append(buf, make([]byte, wire.BodyHeaderBytes)...)
		buf = append(buf, data...)
		wire.PutBodyHeader(buf[start:], version)
	}
	return wire.AppendEnd(buf, version, true)
}

// bodyLength returns the length of a response body, or -1 if it is unknown. The Content-Length of a response without a
// body states the length that the body would have had (RFC 9110, section 8.6).
func bodyLength(request *wire.Request, head *wire.Response) int64 {
	if request.Method == http.MethodHead || head.Status == http.StatusNoContent || head.Status == http.StatusNotModified {
		return 0
	}
	return head.ContentLength
}

// notRunError returns an error for a request that can't have been processed.
func notRunError(err error) *problem.Error {
	return problem.New(503, problem.CodeGatewayLost, problem.NotRun, err.Error())
}

// unknownOutcomeError returns an error for a request that may have been processed.
func unknownOutcomeError(ctx context.Context, err error) *problem.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return problem.New(504, problem.CodeDeadline, problem.Unknown, "the deadline passed before the answer arrived")
	}
	return problem.New(502, problem.CodeGatewayLost, problem.Unknown, err.Error())
}
