package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	connBufferBytes = 4 << 10
	// dialTimeout bounds the connection setup; a healthy target in another region needs less than 20 ms.
	dialTimeout = time.Second
	// cancelGrace is added to the wait for a target that notices the end of a deadline late: its clock starts when the
	// request arrives.
	cancelGrace = 250 * time.Millisecond
)

// conn is a connection to a target. It carries one exchange at a time and counts what was written, so that an outcome
// "not run" can be proven.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// reading is held during a read.
	reading   sync.Mutex
	cancelled atomic.Bool
	writer    *bufio.Writer
	// writing is held during a write and guards the fields up to guard.
	writing sync.Mutex
	// written counts the bytes of the current exchange that the kernel has accepted.
	written  int64
	writeErr error
	// guard runs right before the first byte of an exchange is written; its error prevents the write.
	guard   func() error
	closing sync.Once
	// ended is closed once the target can no longer work on an exchange of this connection.
	ended chan struct{}
}

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c, ended: make(chan struct{})}
	wrapped.reader = bufio.NewReaderSize(wrapped, connBufferBytes)
	wrapped.writer = bufio.NewWriterSize(wrapped, connBufferBytes)
	return wrapped
}

// Write implements io.Writer. The guard runs before the first byte.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.cancelled.Load() {
		c.writeErr = net.ErrClosed
		return 0, net.ErrClosed
	}
	if c.guard != nil {
		if err := c.guard(); err != nil {
			c.writeErr = err
			return 0, err
		}
		c.guard = nil
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// begin prepares the connection for the next exchange.
func (c *conn) begin(guard func() error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.written = 0
	c.guard = guard
}

// sent returns the number of bytes of the exchange that the kernel has accepted and the error of the last write. The
// number is final after cancel.
func (c *conn) sent() (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.written, c.writeErr
}

// fresh tells whether an idle connection is still open and silent. A target that has sent bytes without a request would
// cross its answers.
func (c *conn) fresh() bool {
	if c.cancelled.Load() || c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = control.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, e := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// discard closes a connection on which the target executes nothing.
func (c *conn) discard() {
	c.closing.Do(func() {
		_ = c.Conn.Close()
		close(c.ended)
	})
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.cancelled.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if c.cancelled.Load() {
		// The target's reaction to the cancellation may arrive before the deadline has woken this reader.
		return 0, net.ErrClosed
	}
	return n, err
}

// cancel stops the exchange in progress. It closes the sending direction, which tells the target to stop, and waits for
// the target to close its side: only then has the target ended its work on the request. The wait is bounded by the
// request's deadline, after which the target works on nothing.
func (c *conn) cancel(deadline time.Time) {
	c.closing.Do(func() {
		c.cancelled.Store(true)
		// Unblocks the exchange's reader and writer.
		_ = c.SetDeadline(time.Unix(1, 0))
		half, ok := c.Conn.(interface{ CloseWrite() error })
		if !ok || half.CloseWrite() != nil {
			_ = c.Conn.Close()
			close(c.ended)
			return
		}
		go c.awaitEnd(deadline)
	})
}

func (c *conn) awaitEnd(deadline time.Time) {
	defer close(c.ended)
	// The exchange's reader has to leave first: it would miss its wake-up if the read deadline were extended earlier.
	c.reading.Lock()
	defer c.reading.Unlock()
	if earliest := time.Now().Add(cancelGrace); deadline.Before(earliest) {
		deadline = earliest
	}
	_ = c.SetReadDeadline(deadline)
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
}

// connPool keeps the idle connections of one target.
type connPool struct {
	address string
	dialer  net.Dialer
	mu      sync.Mutex
	idle    []*conn
	closed  bool
}

func newConnPool(address string) *connPool {
	return &connPool{address: address, dialer: net.Dialer{Timeout: dialTimeout}}
}

// get returns an idle connection or dials a new one.
func (p *connPool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if c.fresh() {
			return c, nil
		}
		c.discard()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func (p *connPool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// put returns a connection whose exchange has ended completely.
func (p *connPool) put(c *conn) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.discard()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// reset closes all idle connections.
func (p *connPool) reset() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.reset()
}
