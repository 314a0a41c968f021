package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 870 * time.Millisecond

// server is a stand-in of an upstream.
type server struct {
	id, service, zone string
	sharded           bool
	slots             int
	work              time.Duration
	store             *store
	// answerBytes is the size of an answer's body, if it isn't just the text of serveRequest.
	answerBytes    int
	address        string
	born           int64
	listener       net.Listener
	http           *http.Server
	slot           chan struct{}
	stopBeats      chan struct{}
	beatNow        chan struct{}
	draining, down atomic.Bool
	once           sync.Once

	mu     sync.Mutex
	grants []grant
	seen   []grant
	// waiting counts the requests in the queue and running those at work. working holds the number of requests at work on each key.
	waiting, running int
	working          map[int]int
	// onArrive, onRun and onEnd, if set, are called when a request arrives, begins to run and has ended; how says what became of it.
	onArrive, onRun func(s *server, r *http.Request)
	onEnd           func(s *server, r *http.Request, how string)
}

// queueLength is how many requests wait for a slot before an upstream sheds load.
const queueLength = 8

type grant struct {
	From, To int
	Fence    int64
	HoldS    float64 `json:"hold_s"`
	Handover string
	until    time.Time
}

func (s *server) start(host string) error {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return err
	}
	s.listener, s.address, s.born = l, l.Addr().String(), time.Now().UnixMilli()
	s.slot, s.stopBeats = make(chan struct{}, s.slots), make(chan struct{})
	s.beatNow = make(chan struct{}, 1)
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.beat()
	return nil
}

func (s *server) beat() {
	for seq := 1; ; seq++ {
		select {
		case <-s.stopBeats:
			return
		default:
		}
		s.store.set("servers", s.id, map[string]any{
			"address": s.address, "born": s.born,
			"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
			"status": map[string]any{"state": s.state(), "seq": seq, "warmup_left_s": 0},
		})
		select {
		case <-s.stopBeats:
			return
		case <-s.beatNow:
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) state() string {
	if s.draining.Load() {
		return "draining"
	}
	return "ready"
}

// drain reports that the server is going to leave.
func (s *server) drain() {
	s.draining.Store(true)
	s.beatNow <- struct{}{}
}

// isUp reports whether the server hasn't exited.
func (s *server) isUp() bool { return !s.down.Load() }

// unregister removes the server's entry, as servers do that leave without reporting draining. It returns once the store has acknowledged it.
func (s *server) unregister() {
	s.once.Do(func() { close(s.stopBeats) })
	time.Sleep(20 * time.Millisecond)
	s.store.set("servers", s.id, nil)
}

// exit ends the server. Requests at work are lost with it.
func (s *server) exit() {
	s.down.Store(true)
	s.once.Do(func() { close(s.stopBeats) })
	_ = s.http.Close()
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/grant":
		s.serveGrant(w, r)
	case "/-/release":
		s.serveRelease(w, r)
	case "/health":
		w.Header().Set("Instance-Id", s.id)
		s.setLoad(w)
	default:
		s.serveRequest(w, r)
	}
}

func (s *server) serveGrant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var g grant
	if json.NewDecoder(r.Body).Decode(&g) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.seen {
		if other.From <= g.To && g.From <= other.To && other.Fence > g.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	g.until = arrived.Add(time.Duration(g.HoldS * float64(time.Second)))
	s.seen = append(cut(s.seen, g.From, g.To), g)
	s.grants = append(cut(s.grants, g.From, g.To), g)
}

func (s *server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var g grant
	if json.NewDecoder(r.Body).Decode(&g) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.grants = cut(s.grants, g.From, g.To)
	s.mu.Unlock()
	for s.worksOn(g.From, g.To) {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
	w.Header().Set("Handover", fmt.Sprintf("%s-%d", s.id, g.Fence))
}

// worksOn reports whether a request for one of the keys from..to is at work.
func (s *server) worksOn(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.working {
		if from <= key && key <= to {
			return true
		}
	}
	return false
}

// beginWork marks a key as being worked on if the server holds it.
func (s *server) beginWork(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holdsLocked(key) {
		return false
	}
	if s.working == nil {
		s.working = map[int]int{}
	}
	s.working[key]++
	return true
}

func (s *server) endWork(key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.working[key]--; s.working[key] == 0 {
		delete(s.working, key)
	}
}

// cut removes the keys from..to from the grants.
func cut(list []grant, from, to int) []grant {
	var kept []grant
	for _, g := range list {
		if g.To < from || g.From > to {
			kept = append(kept, g)
			continue
		}
		if g.From < from {
			left := g
			left.To = from - 1
			kept = append(kept, left)
		}
		if g.To > to {
			right := g
			right.From = to + 1
			kept = append(kept, right)
		}
	}
	return kept
}

func (s *server) holds(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdsLocked(key)
}

func (s *server) holdsLocked(key int) bool {
	now := time.Now()
	for _, g := range s.grants {
		if g.From <= key && key <= g.To {
			return now.Before(g.until)
		}
	}
	return false
}

// held returns how many keys the server holds.
func (s *server) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, now := 0, time.Now()
	for _, g := range s.grants {
		if now.Before(g.until) {
			n += g.To - g.From + 1
		}
	}
	return n
}

func (s *server) setLoad(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots))
}

func (s *server) refuse(w http.ResponseWriter, status int) {
	s.setLoad(w)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *server) add(waiting, running int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += waiting
	s.running += running
	return s.waiting
}

func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if s.onArrive != nil {
		s.onArrive(s, r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	deadline := time.Hour
	if ms, err := strconv.ParseFloat(r.Header.Get("Request-Deadline"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	expired := time.After(deadline)
	key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
	if s.sharded && (err != nil || !s.holds(key)) {
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if s.add(1, 0) > queueLength {
		s.add(-1, 0)
		s.refuse(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slot <- struct{}{}:
		s.add(-1, 1)
	case <-expired:
		s.add(-1, 0)
		s.refuse(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		s.add(-1, 0)
		return
	}
	defer func() { s.add(0, -1); <-s.slot }()
	if s.sharded {
		if !s.beginWork(key) {
			s.refuse(w, http.StatusMisdirectedRequest)
			return
		}
		defer s.endWork(key)
	}
	if s.onRun != nil {
		s.onRun(s, r)
	}
	how := "answered"
	select {
	case <-time.After(s.work):
		s.setLoad(w)
		w.Header().Set("Server-Signature", s.id)
		text := fmt.Sprintf("%s %s %d", id, s.id, len(body))
		text += strings.Repeat(".", max(0, s.answerBytes-len(text)))
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
	case <-expired:
		how = "deadline"
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
		how = "connection ended"
	}
	if s.onEnd != nil {
		s.onEnd(s, r, how)
	}
}
