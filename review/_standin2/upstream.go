package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// heartbeat is the interval at which an upstream writes its entry, the pages' heartbeat_s.
const heartbeat = 870 * time.Millisecond

// upstream is a sound upstream of a service without keys: it runs as many requests at once as it has slots, queues a few more, rejects the
// others as not run, and drops a request when its connection closes.
type upstream struct {
	id, service, zone, address string
	born                       int64
	slots                      chan struct{}
	queue                      chan struct{}
	work                       func(r *http.Request) time.Duration
	world                      *world
	server                     *http.Server
	listener                   net.Listener
	stop                       chan struct{}
	stopOnce                   sync.Once
	// warmup is how long the upstream is cold after its start, at started.
	warmup  time.Duration
	started time.Time
	// latency is the one-way delay between the machines and the upstream.
	latency time.Duration
	// dark is set once the upstream's machine has lost power; socket then keeps its port.
	dark   atomic.Bool
	socket *os.File
	// special, if not nil, answers a request in another way than usual and then returns true.
	special func(w http.ResponseWriter, r *http.Request) bool
	// calls, if not nil, answers grants and releases.
	calls http.HandlerFunc
}

// addUpstream prepares an upstream. begin starts it.
func (w *world) addUpstream(id, service, zone string, slots int, work func(r *http.Request) time.Duration) (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	now := time.Now()
	u := &upstream{id: id, service: service, zone: zone, address: listener.Addr().String(), listener: listener, started: now, born: now.UnixMilli(),
		world: w, work: work, slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+8), stop: make(chan struct{})}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	return u, nil
}

// begin starts an upstream, which registers itself.
func (u *upstream) begin() {
	go func() { _ = u.server.Serve(u.listener) }()
	go u.beat()
}

// crash ends an upstream as the end of its process does: all its connections close, and it sends nothing more. Its entry is removed after
// three heartbeat intervals of silence.
func (u *upstream) crash() {
	u.stopOnce.Do(func() {
		close(u.stop)
		_ = u.server.Close()
		time.AfterFunc(3*heartbeat, func() { u.world.store.Remove("servers", u.id) })
	})
}

func (u *upstream) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for seq := 1; ; seq++ {
		_ = u.world.store.Put("servers", u.id, map[string]any{"address": u.address, "born": u.born,
			"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": cap(u.slots)},
			"status": map[string]any{"state": "ready", "seq": seq, "warmup_left_s": max(0, (u.warmup - time.Since(u.started)).Seconds())}})
		select {
		case <-ticker.C:
		case <-u.stop:
			return
		}
	}
}

// goDark makes the upstream silent, as if its machine had lost power: nothing is answered or closed, and new connections hang.
func (u *upstream) goDark() {
	u.stopOnce.Do(func() {
		u.dark.Store(true)
		close(u.stop)
		time.AfterFunc(3*heartbeat, func() { u.world.store.Remove("servers", u.id) })
		// The duplicate keeps the socket open when the listener is closed. With a full queue, the kernel drops further connection attempts.
		if u.socket, _ = u.listener.(*net.TCPListener).File(); u.socket == nil {
			return
		}
		_ = u.listener.Close()
		_ = syscall.Listen(int(u.socket.Fd()), 0)
		for range 3 {
			go func() { _, _ = net.DialTimeout("tcp", u.address, time.Minute) }()
		}
	})
}

// blockedByDark reports whether the upstream is dark, which it stays for good. It returns once the machine has given the request up.
func (u *upstream) blockedByDark(r *http.Request) bool {
	if !u.dark.Load() {
		return false
	}
	<-r.Context().Done()
	return true
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.blockedByDark(r) {
		return
	}
	// What is still running when the upstream goes dark isn't answered either.
	defer u.blockedByDark(r)
	id := r.Header.Get("Request-Id")
	h := w.Header()
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		h.Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", u.id)
		h.Set("Server-Load", u.load())
		return
	}
	if u.calls != nil && (r.URL.Path == "/-/grant" || r.URL.Path == "/-/release") {
		u.calls(w, r)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(u.latency)
	defer time.Sleep(u.latency)
	body, err := io.ReadAll(r.Body)
	if err != nil || u.special != nil && u.special(w, r) {
		return
	}
	h.Set("Request-Id", id)
	if !u.takeSlot(r) {
		u.world.note("%s rejects %s", u.id, id)
		h.Set("Not-Executed", "1")
		h.Set("Server-Load", u.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	u.world.noteRun(id)
	u.world.note("%s runs %s %s %s, %d bytes, deadline %s ms", u.id, id, r.Method, r.URL.Path, len(body), r.Header.Get("Request-Deadline"))
	deadline, _ := strconv.ParseFloat(r.Header.Get("Request-Deadline"), 64)
	select {
	case <-time.After(u.work(r)):
	case <-r.Context().Done():
		u.world.note("%s drops %s: its connection has closed while it ran", u.id, id)
		return
	case <-time.After(time.Duration(deadline * float64(time.Millisecond))):
		u.world.note("%s ends %s at its deadline", u.id, id)
		h.Set("Server-Signature", u.signature(id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	h.Set("Server-Signature", u.signature(id))
	h.Set("Server-Load", u.load())
	u.world.note("%s answers %s", u.id, id)
	_, _ = fmt.Fprintf(w, "%s ran %s", u.id, id)
}

// takeSlot waits for a slot. It returns false if the queue is full or the request's connection has closed.
func (u *upstream) takeSlot(r *http.Request) bool {
	select {
	case u.queue <- struct{}{}:
	default:
		return false
	}
	defer func() { <-u.queue }()
	select {
	case u.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (u *upstream) load() string { return fmt.Sprintf("%d,%d,%d,100", len(u.slots), 0, cap(u.slots)) }

func (u *upstream) signature(id string) string { return "s." + u.id + "." + id }

// fixed returns a function that gives all requests the same work.
func fixed(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}
