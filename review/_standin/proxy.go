package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to an address. While it is cut, it resets all connections, also new ones.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newProxy(to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{listener: l, to: to, conns: map[net.Conn]bool{}}
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for c := range p.conns {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (p *proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		if !p.add(from) {
			reset(from)
			continue
		}
		to, err := net.Dial("tcp", p.to)
		if err != nil || !p.add(to) {
			reset(from)
			continue
		}
		go p.pump(from, to)
		go p.pump(to, from)
	}
}

func (p *proxy) pump(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, from)
}
