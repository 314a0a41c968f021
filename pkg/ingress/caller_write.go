package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/bronzelever/bronzelever/pkg/event"
)

const (
	// writeStallTimeout is how long a caller may take to accept any part of its response.
	writeStallTimeout = 10 * time.Second
	// writeDeadlineSlack is how much longer it may take.
	writeDeadlineSlack = time.Second
	// writeChunkBytes is the size of the parts in which a response is written. The time for each part is counted anew.
	writeChunkBytes = 64 << 10
	// lingerTimeout is how long a closed connection is still read from. If a connection is closed while bytes from the caller are
	// unread, the kernel resets it, and the caller may lose the end of the last response.
	lingerTimeout = 2 * time.Second
)

// SetWriteDeadline implements net.Conn. The time for a part of a response stays bounded.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writeDeadline = t
	if t.IsZero() {
		// The next write sets the deadline.
		return nil
	}
	return c.applyWriteDeadline(time.Now())
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// applyWriteDeadline sets the deadline of a write that begins now. It leaves one that was set a moment ago, since each change costs a
// microsecond.
func (c *callerConn) applyWriteDeadline(now time.Time) error {
	deadline := now.Add(writeStallTimeout + writeDeadlineSlack)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	} else if early := deadline.Sub(c.appliedWriteDeadline); early >= 0 && early < writeDeadlineSlack {
		return nil
	}
	if deadline.Equal(c.appliedWriteDeadline) {
		return nil
	}
	c.appliedWriteDeadline = deadline
	return c.Conn.SetWriteDeadline(deadline)
}

// prepareWrite sets the deadline of the next part of a response.
func (c *callerConn) prepareWrite() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	now := time.Now()
	c.lastWrite = now
	return c.applyWriteDeadline(now)
}

// Write implements net.Conn. It fails if the caller accepts nothing for writeStallTimeout.
func (c *callerConn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.prepareWrite(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writeChunkBytes, len(p))])
		written += n
		switch {
		case err == nil && written >= len(p):
			return written, nil
		case err != nil && !(errors.Is(err, os.ErrDeadlineExceeded) && n > 0 && !c.writeDeadlinePassed()):
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.writeDeadlinePassed() {
				c.handler.Metrics.recordStalledCaller()
				c.handler.Log.Emit(event.CallerStalled, "written", written, "of", len(p))
			}
			return written, err
		}
	}
}

// writeDeadlinePassed reports whether the deadline that was set with SetWriteDeadline has passed.
func (c *callerConn) writeDeadlinePassed() bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline)
}

// CloseWrite closes the sending direction.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn. If a response was written recently, it closes the sending direction first and reads on for a moment.
func (c *callerConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.endReading()
		c.writeMu.Lock()
		recent := time.Since(c.lastWrite) < lingerTimeout
		c.writeMu.Unlock()
		if !recent || c.CloseWrite() != nil {
			err = c.Conn.Close()
			return
		}
		c.handler.lingering.Add(1)
		go c.linger()
	})
	return err
}

// linger discards what the caller still sends, until the caller closes the connection as well.
func (c *callerConn) linger() {
	defer c.handler.lingering.Add(-1)
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
}

// abort resets the connection, so that a response that has no length doesn't look complete.
func (c *callerConn) abort() {
	c.closeOnce.Do(func() {
		c.endReading()
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			// SetLinger fails only if the connection has already ended.
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	})
}
