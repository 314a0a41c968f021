package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case "pipeline". The work, the size of the largest answers, the deadline and the route's timeout are those of archive-fetch in
// demands/hsinmao-gw-grown.toml, where clients send further requests before the first one has been answered; slots are those of its upstreams.
const (
	pipelineServers  = 24
	pipelineSlots    = 4
	pipelineWork     = 200 * time.Millisecond
	pipelineAnswer   = 30000
	pipelineDeadline = 2 * time.Second
	pipelineTimeout  = 1200 * time.Millisecond
	pipelineGrace    = 6 * time.Second
	// pipelineDepth is how many requests a client sends without waiting for an answer.
	pipelineDepth = 2
	// pipelineClients is the number of clients, each with one connection at a time.
	pipelineClients = 80
	// linkBytesPerS is what the link of a client carries, 10 Mbit/s as that of a machine there, and linkWindow the part of an answer that may be
	// on its way: ten segments, the usual initial window.
	linkBytesPerS = 1250000
	linkWindow    = 14600
)

// fetch is a request of a client with what became of it.
type fetch struct {
	id, machine string
	sent, ended time.Duration
	// behind is the number of requests that were sent before it on its connection and not answered yet.
	behind int
	// runs holds the upstreams that began to run it, end how the run ended.
	runs, end string
	// answer says what the client got; complete is set if it got the whole answer, lost if its connection ended after it had run.
	answer         string
	complete, lost bool
}

// pacedReader reads as fast as the client's link carries.
type pacedReader struct {
	conn net.Conn
	due  time.Time
}

func (r *pacedReader) Read(b []byte) (int, error) {
	time.Sleep(time.Until(r.due))
	n, err := r.conn.Read(b[:min(len(b), 1500)])
	r.due = time.Now().Add(time.Duration(n) * time.Second / linkBytesPerS)
	return n, err
}

// pipelinePlay is the state of the case.
type pipelinePlay struct {
	*play
	slow    bool
	fetches sync.Map
	number  atomic.Int64
}

func playPipeline(p *play) int {
	p.store.set("op", "config", map[string]any{
		"version":  "r7",
		"services": []any{map[string]any{"name": "vault", "health_path": "/health", "max_conns": 897, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 5}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"hosts": []any{map[string]any{"host": "shop.example", "paths": []any{map[string]any{
			"name": "r-fetch", "prefix": "/fetch/", "kind": "idempotent", "timeout_s": pipelineTimeout.Seconds(), "target_latency_s": 0.8, "priority": 2,
			"service": "vault", "max_attempts": 2, "allowed_regions": []string{},
		}, map[string]any{
			"name": "r-orders", "prefix": "/orders/", "kind": "non_idempotent", "timeout_s": pipelineTimeout.Seconds(), "target_latency_s": 0.8, "priority": 1,
			"service": "vault", "max_attempts": 2, "allowed_regions": []string{},
		}}}},
	})
	x := &pipelinePlay{play: p, slow: os.Getenv("SLOW") != "0"}
	for _, s := range p.addServers("vault", pipelineServers, pipelineSlots, pipelineWork, false) {
		s.answerBytes = pipelineAnswer
		s.onRun = func(s *server, r *http.Request) {
			if f, ok := x.fetches.Load(r.Header.Get("Request-Id")); ok {
				f.(*fetch).runs += " " + s.id
			}
		}
		s.onEnd = func(s *server, r *http.Request, how string) {
			if f, ok := x.fetches.Load(r.Header.Get("Request-Id")); ok {
				f.(*fetch).end = how
			}
		}
	}
	time.Sleep(time.Second)
	p.addMachines(4)
	p.sleepUntil(trafficAt)
	p.say("traffic begins")
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range pipelineClients {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					x.connection(stop)
				}
			}
		})
	}
	stopped := map[string][]time.Duration{}
	for i, m := range p.machines {
		p.sleepUntil(trafficAt + time.Duration(4+10*i)*time.Second)
		if !p.trouble {
			continue
		}
		stopped[m.name] = append(stopped[m.name], p.since())
		p.say("%s gets SIGTERM", m.name)
		m.stop(pipelineGrace)
		p.say("%s has ended and starts again", m.name)
		if err := m.start(); err != nil {
			panic(err)
		}
	}
	p.sleepUntil(trafficAt + time.Duration(4+10*len(p.machines))*time.Second)
	close(stop)
	clients.Wait()
	return x.judge(stopped)
}

// connection opens a connection to a machine and sends requests over it until it ends.
func (x *pipelinePlay) connection(stop chan struct{}) {
	m := x.rotation(rand.IntN(len(x.machines)))
	dialer := net.Dialer{Timeout: time.Second}
	if x.slow {
		dialer.Control = func(_, _ string, c syscall.RawConn) error {
			// A small receive buffer keeps the rest of an answer at its sender, as a link does.
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow)
			})
		}
	}
	conn, err := dialer.Dial("tcp", m.front)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if x.slow {
		reader = bufio.NewReader(&pacedReader{conn: conn})
	}
	for {
		select {
		case <-stop:
			return
		default:
		}
		var batch []*fetch
		for i := range pipelineDepth {
			f := &fetch{id: fmt.Sprintf("%016x", x.number.Add(1)), machine: m.name, sent: x.since(), behind: i, end: "no end seen", answer: "none"}
			x.fetches.Store(f.id, f)
			batch = append(batch, f)
			if _, err := io.WriteString(conn, x.requestText(f)); err != nil {
				break
			}
			time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
		}
		for i, f := range batch {
			if !x.readAnswer(conn, reader, f) {
				for _, other := range batch[i+1:] {
					other.answer, other.ended = "sent behind an answer that closed the connection or was cut", f.ended
				}
				return
			}
		}
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
}

// requestText returns a request as it is sent. With FIRST=order, the first one of a connection's requests is an order.
func (x *pipelinePlay) requestText(f *fetch) string {
	method, path, body := http.MethodGet, "/fetch/", ""
	if f.behind == 0 && os.Getenv("FIRST") == "order" {
		method, path, body = http.MethodPost, "/orders/", "Content-Length: 5\r\n\r\norder"
	}
	return fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n%s", method, path, f.id, f.id, pipelineDeadline.Milliseconds(), cmp.Or(body, "\r\n"))
}

// readAnswer reads the answer to a request. It returns false if the connection can't be used any more.
func (x *pipelinePlay) readAnswer(conn net.Conn, reader *bufio.Reader, f *fetch) bool {
	defer func() { f.ended = x.since() }()
	_ = conn.SetReadDeadline(time.Now().Add(pipelineDeadline))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		f.answer = "no answer: " + reason(err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		f.answer = fmt.Sprintf("%d, cut after %d of %d bytes: %s", response.StatusCode, n, response.ContentLength, reason(err))
		return false
	}
	f.complete = true
	f.answer = fmt.Sprintf("%d with %d bytes", response.StatusCode, n)
	return !response.Close
}

// reason returns the last part of an error, without addresses.
func reason(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}

// judge counts the requests that were lost around a SIGTERM of their machine.
func (x *pipelinePlay) judge(stopped map[string][]time.Duration) int {
	n, complete, lost := 0, 0, 0
	var seconds [120]struct{ sent, run, complete int }
	x.fetches.Range(func(_, value any) bool {
		f := value.(*fetch)
		n++
		second := &seconds[min(int(f.sent.Seconds()), len(seconds)-1)]
		second.sent++
		if f.runs != "" {
			second.run++
		}
		if f.complete {
			complete++
			second.complete++
			return true
		}
		planned := false
		for _, at := range stopped[f.machine] {
			planned = planned || f.ended >= at && f.sent <= at+pipelineGrace+time.Second
		}
		// Only a request that was passed on and well answered by its upstream, long before its time was over, is lost.
		f.lost = planned && f.runs != "" && f.end == "answered" && f.ended-f.sent < pipelineTimeout*7/10
		if f.lost {
			lost++
			x.note("LOST: request %s (%d ahead of it), sent at %.3f s to %s, ran at%s and was answered there; the client got at %.3f s: %s", f.id, f.behind, f.sent.Seconds(), f.machine, f.runs, f.ended.Seconds(), f.answer)
		} else {
			x.note("request %s (%d ahead of it), sent at %.3f s to %s, ran at%s, %s; the client got at %.3f s: %s", f.id, f.behind, f.sent.Seconds(), f.machine, f.runs, f.end, f.ended.Seconds(), f.answer)
		}
		return true
	})
	for i, second := range seconds {
		if second.sent > 0 {
			x.note("of the requests sent from %d s on, for a second: %d sent, %d run, %d answered completely with 200 or an error", i, second.sent, second.run, second.complete)
		}
	}
	x.say("%d requests, %d with a complete answer; %d were passed on around a SIGTERM of their machine, answered by their upstream, and lost", n, complete, lost)
	if lost > 0 {
		x.say("LOST is broken")
		return exitBroken
	}
	x.say("LOST holds")
	return exitHeld
}
