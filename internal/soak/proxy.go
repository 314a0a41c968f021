package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the most that a proxy passes on at a time.
	chunkBytes = 16 << 10
	// chunks bounds what a proxy holds for one direction of a connection, as a small window would.
	chunks = 4
	// blockedStep is how often a held direction looks whether it may go on.
	blockedStep = 10 * time.Millisecond
)

// Disturbance is what a link does to the connections that pass it.
type Disturbance struct {
	// Delay holds each chunk back.
	Delay time.Duration
	// Forward and Backward keep bytes of that direction from arriving until the disturbance ends.
	Forward, Backward bool
	// Refuse resets new connections.
	Refuse bool
}

// link is a proxy on loopback in front of an address.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	state Disturbance
	conns map[*proxied]bool
}

// proxied is one connection through a link.
type proxied struct {
	near, far net.Conn
	// silent tells that nothing passes any more, whatever the link does later.
	silent bool
	once   sync.Once
}

func (p *proxied) close(reset bool) {
	p.once.Do(func() {
		for _, c := range []net.Conn{p.near, p.far} {
			if tcp, ok := c.(*net.TCPConn); ok && reset {
				// A failure only makes the end a graceful one.
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

// newLink starts a proxy at a free port in front of an address.
func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to, conns: map[*proxied]bool{}}
	go k.serve()
	return k, nil
}

// Address is where the link accepts connections.
func (k *link) Address() string {
	return k.listener.Addr().String()
}

// Set replaces the disturbance.
func (k *link) Set(d Disturbance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = d
}

// Reset resets all connections.
func (k *link) Reset() {
	for _, p := range k.open() {
		p.close(true)
	}
}

// Silence makes the open connections silent for good; new ones work.
func (k *link) Silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.conns {
		p.silent = true
	}
}

func (k *link) open() []*proxied {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []*proxied
	for p := range k.conns {
		list = append(list, p)
	}
	return list
}

// Close ends the proxy and its connections.
func (k *link) Close() {
	_ = k.listener.Close()
	k.Reset()
}

func (k *link) serve() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.accept(near)
	}
}

func (k *link) accept(near net.Conn) {
	p := &proxied{near: near}
	if k.current(p).Refuse {
		p.far = near
		p.close(true)
		return
	}
	far, err := net.Dial("tcp", k.to)
	if err != nil {
		p.far = near
		p.close(true)
		return
	}
	p.far = far
	k.mu.Lock()
	k.conns[p] = true
	k.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Go(func() { k.pump(p, far, near, func(d Disturbance) bool { return d.Forward }) })
	pumps.Go(func() { k.pump(p, near, far, func(d Disturbance) bool { return d.Backward }) })
	pumps.Wait()
	p.close(false)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, p)
}

// current returns what the link does to a connection at the moment.
func (k *link) current(p *proxied) Disturbance {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := k.state
	if p.silent {
		d.Forward, d.Backward = true, true
	}
	return d
}

// pump passes the bytes of one direction on. What is held back when the sender resets its connection is lost, as on a network.
func (k *link) pump(p *proxied, to, from net.Conn, blocked func(Disturbance) bool) {
	queue, failed := make(chan []byte, chunks), make(chan struct{})
	go read(from, queue, failed)
	for chunk := range queue {
		if !k.hold(p, blocked, failed) {
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
		if k.hold(p, blocked, failed) {
			closeWrite(to)
		}
	}
	// The reader may wait for room.
	for range queue {
	}
}

// read queues what a connection sends. It closes failed if the connection didn't end gracefully.
func read(from net.Conn, queue chan<- []byte, failed chan<- struct{}) {
	defer close(queue)
	for {
		chunk := make([]byte, chunkBytes)
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

// hold waits while the link holds a direction back, and for its delay. It returns false if the sender has reset meanwhile.
func (k *link) hold(p *proxied, blocked func(Disturbance) bool, failed <-chan struct{}) bool {
	wait := k.current(p).Delay
	for wait > 0 || blocked(k.current(p)) {
		select {
		case <-failed:
			return false
		case <-time.After(max(wait, blockedStep)):
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
		// The other side may have closed already.
		_ = tcp.CloseWrite()
	}
}
