package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// maxChunkBytes is the largest number of bytes that a proxy forwards at a time.
	maxChunkBytes = 16 << 10
	// maxQueuedChunks bounds what a proxy buffers for one direction of a connection, as a small TCP window would.
	maxQueuedChunks = 4
	// blockedPollInterval is the interval at which a blocked direction checks whether it is still blocked.
	blockedPollInterval = 10 * time.Millisecond
)

// Impairment is what a link does to the connections through it.
type Impairment struct {
	// Delay delays each chunk.
	Delay time.Duration
	// Forward blocks the direction from client to upstream, Backward the opposite one, until the impairment ends.
	Forward, Backward bool
	// Refuse resets new connections.
	Refuse bool
}

// link is a TCP proxy on loopback in front of an address.
type link struct {
	listener        net.Listener
	upstreamAddress string

	mu         sync.Mutex
	impairment Impairment
	conns      map[*proxiedConn]bool
}

// proxiedConn is one connection through a link.
type proxiedConn struct {
	client, upstream net.Conn
	// blackholed blocks both directions for the rest of the connection, whatever the impairment of the link.
	blackholed bool
	once       sync.Once
}

func (p *proxiedConn) close(reset bool) {
	p.once.Do(func() {
		for _, c := range []net.Conn{p.client, p.upstream} {
			if tcp, ok := c.(*net.TCPConn); ok && reset {
				// If this fails, the connection only closes gracefully instead.
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

// newLink starts a proxy on a free port in front of an address.
func newLink(address string) (*link, error) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: tcpListener, upstreamAddress: address, conns: map[*proxiedConn]bool{}}
	go l.serve()
	return l, nil
}

// Address returns the address on which the link accepts connections.
func (l *link) Address() string {
	return l.listener.Addr().String()
}

// Set replaces the impairment of the link.
func (l *link) Set(d Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.impairment = d
}

// Reset resets all connections.
func (l *link) Reset() {
	for _, p := range l.open() {
		p.close(true)
	}
}

// Blackhole blocks the open connections for good; new ones work.
func (l *link) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.blackholed = true
	}
}

func (l *link) open() []*proxiedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*proxiedConn
	for p := range l.conns {
		list = append(list, p)
	}
	return list
}

// Close ends the proxy and its connections.
func (l *link) Close() {
	_ = l.listener.Close()
	l.Reset()
}

func (l *link) serve() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.accept(client)
	}
}

func (l *link) accept(client net.Conn) {
	p := &proxiedConn{client: client}
	if l.current(p).Refuse {
		p.upstream = client
		p.close(true)
		return
	}
	upstream, err := net.Dial("tcp", l.upstreamAddress)
	if err != nil {
		p.upstream = client
		p.close(true)
		return
	}
	p.upstream = upstream
	l.mu.Lock()
	l.conns[p] = true
	l.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(p, upstream, client, func(d Impairment) bool { return d.Forward }) })
	pumps.Go(func() { l.pump(p, client, upstream, func(d Impairment) bool { return d.Backward }) })
	pumps.Wait()
	p.close(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, p)
}

// current returns the impairment of a connection at the moment.
func (l *link) current(p *proxiedConn) Impairment {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.impairment
	if p.blackholed {
		d.Forward, d.Backward = true, true
	}
	return d
}

// pump forwards the bytes of one direction. Bytes that are delayed or blocked when the sender resets its connection are lost, as on a
// network.
func (l *link) pump(p *proxiedConn, to, from net.Conn, blocked func(Impairment) bool) {
	queue, failed := make(chan []byte, maxQueuedChunks), make(chan struct{})
	go read(from, queue, failed)
	for chunk := range queue {
		if !l.waitUntilPassable(p, blocked, failed) {
			break
		}
		if _, err := to.Write(chunk); err != nil {
			p.close(true)
			break
		}
	}
	select {
	case <-failed:
		p.close(true)
	default:
		if l.waitUntilPassable(p, blocked, failed) {
			closeWrite(to)
		}
	}
	// Draining the queue lets the reader end if it waits for room.
	for range queue {
	}
}

// read queues the bytes that a connection receives. It closes failed if the connection didn't end gracefully.
func read(from net.Conn, queue chan<- []byte, failed chan<- struct{}) {
	defer close(queue)
	for {
		chunk := make([]byte, maxChunkBytes)
		n, err := from.Read(chunk)
		if n > 0 {
			queue <- chunk[:n]
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				close(failed)
			}
			return
		}
	}
}

// waitUntilPassable waits while the link blocks a direction, and for its delay. It returns false if the sender has reset the connection
// meanwhile.
func (l *link) waitUntilPassable(p *proxiedConn, blocked func(Impairment) bool, failed <-chan struct{}) bool {
	wait := l.current(p).Delay
	for wait > 0 || blocked(l.current(p)) {
		select {
		case <-failed:
			return false
		case <-time.After(max(wait, blockedPollInterval)):
		}
		wait = 0
	}
	select {
	case <-failed:
		return false
	default:
		return true
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// A failure means that the other side has closed the connection already.
		_ = tcp.CloseWrite()
	}
}
