// Package targetconn provides connections to targets that carry one exchange at a time and record how much of a request was
// sent.
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

	"github.com/bronzelever/bronzelever/pkg/interregion"
)

const (
	// BufferBytes is the size of the read buffer and of the write buffer of a Conn.
	BufferBytes = 4 << 10
	// dialTimeout bounds the connection setup. A healthy target in another region needs less than 20 ms.
	dialTimeout = time.Second
	// cancelGrace is added to the wait for a cancelled target. The target may notice the deadline late, because its clock
	// starts when the request arrives.
	cancelGrace = 250 * time.Millisecond
)

// ErrReadLimit means that the target has sent more bytes than LimitReads permits.
var ErrReadLimit = errors.New("target sent more bytes than allowed")

// Conn is a connection to a target. It carries one exchange at a time and counts the bytes written: a request of which no byte
// was written has provably not been executed.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// readMu is held during a read.
	readMu sync.Mutex
	// readLimit is the number of bytes that may still be read.
	readLimit atomic.Int64
	cancelled atomic.Bool
	Writer    *bufio.Writer
	// writeMu is held during a write. It guards the following fields up to guard.
	writeMu sync.Mutex
	// written counts the bytes of the current exchange that the kernel has accepted.
	written  int64
	writeErr error
	// guard is called right before the first byte of an exchange is written. If it returns an error, nothing is written.
	guard     func() error
	closeOnce sync.Once
	// idleSince is when the connection was returned to the pool.
	idleSince time.Time
	// accepted counts the bytes that the kernel has accepted over all exchanges.
	accepted atomic.Int64
	// requestDone is closed once the request of the exchange has been written or has failed. requestErr is then the error. It is nil if
	// Begin hasn't been called.
	requestDone chan struct{}
	requestErr  error
	// exchanges is the number of exchanges that were begun.
	exchanges int
	// ended is closed once the target can no longer work on an exchange of this connection.
	ended chan struct{}
	// flow counts the bytes if the target is in another region.
	flow atomic.Pointer[interregion.Flow]
}

// New wraps a network connection to a target.
func New(c net.Conn) *Conn {
	conn := &Conn{Conn: c, ended: make(chan struct{})}
	conn.LimitReads(math.MaxInt64)
	conn.Reader = bufio.NewReaderSize(conn, BufferBytes)
	conn.Writer = bufio.NewWriterSize(conn, BufferBytes)
	return conn
}

// SetFlow sets where the bytes are counted from now on, nil for nowhere.
func (c *Conn) SetFlow(f *interregion.Flow) {
	c.flow.Store(f)
}

// Write implements io.Writer. The guard is called before the first byte of an exchange is written.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
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
	c.accepted.Add(int64(n))
	c.flow.Load().AddSent(n)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Begin prepares the connection for the next exchange. A nil guard permits all writes. FinishWrite must be called once after the request.
func (c *Conn) Begin(guard func() error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.written = 0
	c.guard = guard
	c.requestDone, c.requestErr = make(chan struct{}), nil
	c.exchanges++
}

// FirstExchange reports whether the current exchange is the first one on the connection, in which case no response to an
// earlier request can arrive.
func (c *Conn) FirstExchange() bool {
	return c.exchanges == 1
}

// Sent returns the number of bytes of the exchange that the kernel has accepted and the error of the last write. After Cancel
// the number is final.
func (c *Conn) Sent() (int64, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.written, c.writeErr
}

// Reusable reports whether an idle connection is open and has received no data. After unsolicited data from the target,
// responses could be matched to the wrong requests.
func (c *Conn) Reusable() bool {
	if c.cancelled.Load() || c.Reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, e := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// Discard closes a connection on which the target is executing nothing.
func (c *Conn) Discard() {
	c.closeOnce.Do(func() {
		_ = c.Conn.Close()
		close(c.ended)
	})
}

// LimitReads sets the number of bytes that may be read from the target from now on, not counting those already in the buffer of
// Reader. Reads beyond it fail with ErrReadLimit.
func (c *Conn) LimitReads(n int64) {
	c.readLimit.Store(n)
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.cancelled.Load() {
		return 0, net.ErrClosed
	}
	allowed := c.readLimit.Load()
	if allowed <= 0 {
		return 0, ErrReadLimit
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), allowed)])
	c.readLimit.Add(-int64(n))
	c.flow.Load().AddReceived(n)
	if c.cancelled.Load() {
		// The target's reaction to the cancellation may arrive before the expired deadline has woken this reader.
		return 0, net.ErrClosed
	}
	return n, err
}

// Ended returns a channel that is closed once the target can no longer be working on an exchange of this connection.
func (c *Conn) Ended() <-chan struct{} {
	return c.ended
}

// Abort resets the connection. This tells the target to drop the request it is executing, and keeps a request that was delayed
// by a network partition from being delivered later.
func (c *Conn) Abort() {
	c.cancelled.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// SetLinger fails only if the connection has already ended.
		_ = tcp.SetLinger(0)
	}
	c.Discard()
}

// Cancel stops the current exchange. It closes the sending direction, which tells the target to stop, and waits in the
// background until the target closes its side: only then has the target stopped working on the request. The wait ends at the
// request's deadline, after which the target works on nothing.
func (c *Conn) Cancel(deadline time.Time) {
	c.closeOnce.Do(func() {
		c.cancelled.Store(true)
		// Unblock the reader and the writer of the exchange.
		_ = c.SetDeadline(time.Unix(1, 0))
		halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
		if !ok || halfCloser.CloseWrite() != nil {
			_ = c.Conn.Close()
			close(c.ended)
			return
		}
		go c.awaitTargetClose(deadline)
	})
}

func (c *Conn) awaitTargetClose(deadline time.Time) {
	defer close(c.ended)
	// The reader of the exchange must return first. It would not be woken if the read deadline were extended before that.
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if minDeadline := time.Now().Add(cancelGrace); deadline.Before(minDeadline) {
		deadline = minDeadline
	}
	_ = c.SetReadDeadline(deadline)
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
}

// Pool holds the idle connections of one target.
type Pool struct {
	address string
	Dialer  net.Dialer
	mu      sync.Mutex
	idle    []*Conn
	closed  bool
}

// NewPool returns an empty pool for the target at address.
func NewPool(address string) *Pool {
	return &Pool{address: address, Dialer: net.Dialer{Timeout: dialTimeout}}
}

// Get returns an idle connection or dials a new one.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	return p.GetRecent(ctx, math.MaxInt64, nil)
}

// GetRecent is like Get, but discards connections that have been idle for longer than maxIdle and never returns one of except.
// A target may have dropped an idle connection without notice, and then it can't be proven that a request written to it was not
// executed.
func (p *Pool) GetRecent(ctx context.Context, maxIdle time.Duration, except []*Conn) (*Conn, error) {
	for {
		c := p.pop(except)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) <= maxIdle && c.Reusable() {
			return c, nil
		}
		c.Discard()
	}
	conn, err := p.Dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return New(conn), nil
}

// pop removes and returns the connection that became idle last and is not in except, or nil if there is none.
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

// Put returns a connection to the pool after its exchange has completed.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.Discard()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Discard()
	}
}

// Close closes the idle connections. Connections that are returned later are closed at once.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
