// Package peer carries calls and exchanges between bronzelever's own processes over TCP.
//
// Each connection carries one exchange at a time. An exchange that is cancelled or breaks closes its connection, so that
// a late answer can't be taken for the answer to another request.
//
// A request is reported as not run in two cases only. Either no byte of it left this process, or the server announced
// that it closes the connection (codeClosing) as the first thing after the request was sent. The server sends that
// announcement only between exchanges and processes nothing that arrives afterwards, so the request can't have been read.
// Idle connections are checked for a pending announcement or end of stream before use, which makes the second case rare.
// A connection that ends without the announcement leaves the outcome unknown.
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
	// codeClosing announces that the server closes an idle connection.
	codeClosing = "connection-closing"
	// codeVersion refuses a connection without a common protocol version.
	codeVersion = "version"
	// codeInternal reports a handler error without a code of its own.
	codeInternal = "internal"
	// codeUnsupported refuses a frame type without handler.
	codeUnsupported = "unsupported"

	// helloTimeout bounds the wait for the other side's Hello.
	helloTimeout = 5 * time.Second
	readerBytes  = 8 << 10
	chunkBytes   = wire.BodyHeaderBytes + wire.BodyChunkBytes
)

// RemoteError is a refusal of a call by the other side's handler.
type RemoteError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// errNoCommonVersion means that the two processes are more than one release apart.
var errNoCommonVersion = errors.New("no common protocol version")

// versions is the range of protocol versions that a side supports.
type versions struct {
	low  uint8
	high uint8
}

var ownVersions = versions{low: wire.MinVersion, high: wire.Version}

// common returns the highest version that both sides support.
func (v versions) common(h wire.Hello) (uint8, error) {
	best := min(v.high, h.MaxVersion)
	if best < v.low || best < h.MinVersion {
		return 0, fmt.Errorf("%w: %d-%d and %d-%d", errNoCommonVersion, v.low, v.high, h.MinVersion, h.MaxVersion)
	}
	return best, nil
}

// chunks recycles buffers for body frames.
var chunks = sync.Pool{New: func() any {
	b := make([]byte, chunkBytes)
	return &b
}}

// conn is a connection after its Hello.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	version uint8
	// remote is the VM of the other side.
	remote string
	// sent counts the bytes handed to the kernel.
	sent int64
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readerBytes)}
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
		return fmt.Errorf("frame type %d instead of Hello", frame.Type)
	}
	var hello wire.Hello
	if err := frame.Decode(&hello); err != nil {
		return err
	}
	c.remote = hello.VM
	c.version, err = v.common(hello)
	return err
}

func remoteError(frame wire.Frame) error {
	var e wire.Error
	if err := frame.Decode(&e); err != nil {
		return err
	}
	return &RemoteError{Code: e.Code, Message: e.Message}
}

// sendBody sends a body as chunks and the End frame. It reports whether the whole body was read and sent.
func (c *conn) sendBody(body io.Reader, length int64) (bool, error) {
	chunk := chunks.Get().(*[]byte)
	defer chunks.Put(chunk)
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

// appendSmallBody appends a body that is already in memory with its End frame.
func appendSmallBody(buf []byte, version uint8, data []byte) []byte {
	if len(data) > 0 {
		start := len(buf)
		buf = append(buf, make([]byte, wire.BodyHeaderBytes)...)
		buf = append(buf, data...)
		wire.PutBodyHeader(buf[start:], version)
	}
	return wire.AppendEnd(buf, version, true)
}

// bodyLength returns the length of an answer's body, -1 if unknown. The content length of an answer without body tells how
// long the body would have been (RFC 9110, 8.6).
func bodyLength(request *wire.Request, head *wire.Response) int64 {
	if request.Method == http.MethodHead || head.Status == http.StatusNoContent || head.Status == http.StatusNotModified {
		return 0
	}
	return head.ContentLength
}

// notRun reports a request of which no byte can have been processed.
func notRun(err error) *problem.Error {
	return problem.New(503, problem.CodeGatewayLost, problem.NotRun, err.Error())
}

// unknown reports a request that may have been processed.
func unknown(ctx context.Context, err error) *problem.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return problem.New(504, problem.CodeDeadline, problem.Unknown, "the deadline passed before the answer arrived")
	}
	return problem.New(502, problem.CodeGatewayLost, problem.Unknown, err.Error())
}
