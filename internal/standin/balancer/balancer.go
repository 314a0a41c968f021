// Package balancer is a stand-in for the platform's load balancer: a TCP relay that spreads connections over the entry
// VMs whose readiness check passes. It also serves as a link that tests can cut.
package balancer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// checkInterval is how often readiness is polled; until then a failed VM still gets connections.
	checkInterval = 250 * time.Millisecond
	checkTimeout  = 200 * time.Millisecond
	dialTimeout   = 200 * time.Millisecond
)

// Backend is an entry VM.
type Backend struct {
	// Address is where callers' connections go, host:port.
	Address string
	// ReadyURL is polled; empty means always ready.
	ReadyURL string
}

// Balancer relays connections from one listener to ready backends.
type Balancer struct {
	backends []*backend
	listener net.Listener
	next     atomic.Uint64
	cut      atomic.Bool
	client   *http.Client

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

type backend struct {
	Backend
	ready atomic.Bool
}

// New returns a balancer on the listener.
func New(listener net.Listener, backends []Backend) *Balancer {
	b := &Balancer{
		listener: listener,
		client:   &http.Client{Timeout: checkTimeout},
		conns:    map[net.Conn]struct{}{},
	}
	for _, spec := range backends {
		be := &backend{Backend: spec}
		be.ready.Store(spec.ReadyURL == "")
		b.backends = append(b.backends, be)
	}
	return b
}

// Run checks backends and relays connections until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	for _, be := range b.backends {
		if be.ReadyURL != "" {
			go b.check(ctx, be)
		}
	}
	context.AfterFunc(ctx, func() {
		_ = b.listener.Close()
		b.closeAll()
	})
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.relay(conn)
	}
}

// Cut breaks all connections and refuses new ones until Restore.
func (b *Balancer) Cut() {
	b.cut.Store(true)
	b.closeAll()
}

// Restore ends a cut.
func (b *Balancer) Restore() {
	b.cut.Store(false)
}

// Ready returns the number of backends that pass their check.
func (b *Balancer) Ready() int {
	n := 0
	for _, be := range b.backends {
		if be.ready.Load() {
			n++
		}
	}
	return n
}

func (b *Balancer) check(ctx context.Context, be *backend) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		be.ready.Store(b.probe(ctx, be.ReadyURL))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Balancer) probe(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *Balancer) relay(client net.Conn) {
	defer func() { _ = client.Close() }()
	if b.cut.Load() {
		return
	}
	server := b.dial()
	if server == nil {
		return
	}
	defer func() { _ = server.Close() }()
	b.track(client, server)
	defer b.untrack(client, server)
	var wg sync.WaitGroup
	wg.Add(2)
	go pipe(&wg, server, client)
	go pipe(&wg, client, server)
	wg.Wait()
}

// dial connects to the next ready backend; a refused connection moves on to another one, as balancers do.
func (b *Balancer) dial() net.Conn {
	start := b.next.Add(1)
	for i := range uint64(len(b.backends)) {
		be := b.backends[(start+i)%uint64(len(b.backends))]
		if !be.ready.Load() {
			continue
		}
		conn, err := net.DialTimeout("tcp", be.Address, dialTimeout)
		if err == nil {
			return conn
		}
	}
	return nil
}

// pipe copies one direction and passes the end of the stream on. A broken direction breaks the other one too.
func pipe(wg *sync.WaitGroup, dst, src net.Conn) {
	defer wg.Done()
	_, err := io.Copy(dst, src)
	if err != nil {
		_ = dst.Close()
		_ = src.Close()
		return
	}
	if tcp, ok := dst.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func (b *Balancer) track(conns ...net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range conns {
		b.conns[c] = struct{}{}
	}
}

func (b *Balancer) untrack(conns ...net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range conns {
		delete(b.conns, c)
	}
}

func (b *Balancer) closeAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.Close()
	}
}
