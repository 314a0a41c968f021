// Package targetconn provides connections to targets that carry one exchange at a time and prove what was sent.
package targetconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	BufferBytes = 4 << 10
	// dialTimeout bounds the connection setup; a healthy target in another region needs less than 20 ms.
	dialTimeout = time.Second
	// cancelGrace is added to the wait for a target that notices the end of a deadline late: its clock starts when the
	// request arrives.
	cancelGrace = 250 * time.Millisecond
)

// ErrTooLong means that a target has sent more bytes than were allowed.
var ErrTooLong = errors.New("the target has sent more than is allowed")

// Conn is a connection to a target. It carries one exchange at a time and counts what was written, so that an outcome
// "not run" can be proven.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// reading is held during a read.
	reading sync.Mutex
	// readable is the number of bytes that may still be read.
	readable  atomic.Int64
	cancelled atomic.Bool
	Writer    *bufio.Writer
	// writing is held during a write and guards the fields up to guard.
	writing sync.Mutex
	// written counts the bytes of the current exchange that the kernel has accepted.
	written  int64
	writeErr error
	// guard runs right before the first byte of an exchange is written; its error prevents the write.
	guard   func() error
	closing sync.Once
	// returned is when the connection became idle.
	returned time.Time
	// exchanges counts the exchanges that were begun.
	exchanges int
	// ended is closed once the target can no longer work on an exchange of this connection.
	ended chan struct{}
}

func New(c net.Conn) *Conn {
	wrapped := &Conn{Conn: c, ended: make(chan struct{})}
	wrapped.AllowReading(math.MaxInt64)
	wrapped.Reader = bufio.NewReaderSize(wrapped, BufferBytes)
	wrapped.Writer = bufio.NewWriterSize(wrapped, BufferBytes)
	return wrapped
}

// Write implements io.Writer. The guard runs before the first byte.
func (c *Conn) Write(p []byte) (int, error) {
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

// Begin prepares the connection for the next exchange.
func (c *Conn) Begin(guard func() error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.written = 0
	c.guard = guard
	c.exchanges++
}

// First tells whether the exchange in progress is the first one of the connection, so that no earlier request can be answered
// on it.
func (c *Conn) First() bool {
	return c.exchanges == 1
}

// Sent returns the number of bytes of the exchange that the kernel has accepted and the error of the last write. The
// number is final after Cancel.
func (c *Conn) Sent() (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.written, c.writeErr
}

// Fresh tells whether an idle connection is still open and silent. A target that has sent bytes without a request would
// cross its answers.
func (c *Conn) Fresh() bool {
	if c.cancelled.Load() || c.Reader.Buffered() > 0 {
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

// Discard closes a connection on which the target executes nothing.
func (c *Conn) Discard() {
	c.closing.Do(func() {
		_ = c.Conn.Close()
		close(c.ended)
	})
}

// AllowReading bounds the bytes that are read from the target from now on, beside those in the buffer of Reader. Reads
// beyond the bound fail with ErrTooLong.
func (c *Conn) AllowReading(bytes int64) {
	c.readable.Store(bytes)
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.cancelled.Load() {
		return 0, net.ErrClosed
	}
	allowed := c.readable.Load()
	if allowed <= 0 {
		return 0, ErrTooLong
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), allowed)])
	c.readable.Add(-int64(n))
	if c.cancelled.Load() {
		// The target's reaction to the cancellation may arrive before the deadline has woken this reader.
		return 0, net.ErrClosed
	}
	return n, err
}

// Ended is closed once the target can no longer work on an exchange of this connection.
func (c *Conn) Ended() <-chan struct{} {
	return c.ended
}

// Abort resets the connection, which tells the target to drop the request that it runs, and keeps a request that was held
// up by a partition from being delivered later.
func (c *Conn) Abort() {
	c.cancelled.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// It fails only for a connection that has ended.
		_ = tcp.SetLinger(0)
	}
	c.Discard()
}

// Cancel stops the exchange in progress. It closes the sending direction, which tells the target to stop, and waits for
// the target to close its side: only then has the target ended its work on the request. The wait is bounded by the
// request's deadline, after which the target works on nothing.
func (c *Conn) Cancel(deadline time.Time) {
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

func (c *Conn) awaitEnd(deadline time.Time) {
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

// Pool keeps the idle connections of one target.
type Pool struct {
	address string
	Dialer  net.Dialer
	mu      sync.Mutex
	idle    []*Conn
	closed  bool
}

func NewPool(address string) *Pool {
	return &Pool{address: address, Dialer: net.Dialer{Timeout: dialTimeout}}
}

// Get returns an idle connection or dials a new one.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	return p.GetRecent(ctx, math.MaxInt64, nil)
}

// GetRecent is like Get, but closes connections that have been idle for longer than maxIdle: a target may have dropped
// them without notice, and what was written to them can't be proven not to have run. It returns none of except.
func (p *Pool) GetRecent(ctx context.Context, maxIdle time.Duration, except []*Conn) (*Conn, error) {
	for {
		c := p.pop(except)
		if c == nil {
			break
		}
		if time.Since(c.returned) <= maxIdle && c.Fresh() {
			return c, nil
		}
		c.Discard()
	}
	raw, err := p.Dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return New(raw), nil
}

// pop removes the connection that became idle last.
func (p *Pool) pop(except []*Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !slices.Contains(except, c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// Put returns a connection whose exchange has ended completely.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.Discard()
		return
	}
	c.returned = time.Now()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// Reset closes all idle connections.
func (p *Pool) Reset() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Discard()
	}
}

func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Reset()
}
