package target

import (
	"net"
	"sync"
)

// Listener enforces the target's connection limit: further connections are reset.
type Listener struct {
	net.Listener
	target *Target
}

// Limit wraps a listener with the target's connection limit.
func (t *Target) Limit(l net.Listener) *Listener {
	return &Listener{Listener: l, target: t}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.target.connectionOpened() {
			return &limitedConn{Conn: c, closed: sync.OnceFunc(l.target.connectionClosed)}, nil
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			// Closing without lingering sends a reset.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (t *Target) connectionOpened() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.summary.Connections >= t.settings.Connections {
		t.summary.Refused.Connections++
		return false
	}
	t.summary.Connections++
	t.summary.MaxConnections = max(t.summary.MaxConnections, t.summary.Connections)
	return true
}

func (t *Target) connectionClosed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.Connections--
}

type limitedConn struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.closed()
	return err
}
