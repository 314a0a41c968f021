package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case "drain". Upstreams, slots, work, rate, aim, deadline and the route's timeout are those of ordini-ricambi and ordini in
// sites/caruso-gate.toml, without the spread of the work; drain_s is that site's bound.
const (
	drainS        = 2 * time.Second
	drainWork     = 290 * time.Millisecond
	drainDeadline = 2 * time.Second
	drainPerS     = 22.7
	// cutTime is how long the coordinator is partitioned from the store. The entry is removed removeAfter after the cut begins.
	cutTime     = 1900 * time.Millisecond
	removeAfter = 100 * time.Millisecond
	// servesOn is how much longer than drain_s an upstream that leaves goes on serving before it exits.
	servesOn    = 1200 * time.Millisecond
	drainRounds = 6
)

// order is an order of a client with what became of it.
type order struct {
	id, machine string
	sent        time.Duration
	// arrivals holds the upstreams that the order reached, runs those that began to run it, end how the run ended.
	arrivals  []string
	runs, end string
	// late is set if it reached an upstream later than drainS after the upstream's leaving was acknowledged; lateness says when.
	late     bool
	lateness string
	// status is the status of the client's answer, 0 if there was none.
	status int
}

func playDrain(p *play) int {
	p.store.set("op", "config", map[string]any{
		"version":  "r7",
		"services": []any{map[string]any{"name": "ordini", "health_path": "/health", "max_conns": 120, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 2.5}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"hosts": []any{map[string]any{"host": "shop.example", "paths": []any{map[string]any{
			"name": "r-orders", "prefix": "/orders/", "kind": "non_idempotent", "timeout_s": 1.2, "target_latency_s": 0.8, "priority": 1,
			"service": "ordini", "max_attempts": 2, "allowed_regions": []string{},
		}}}},
	})
	var mu sync.Mutex
	orders, left := map[string]*order{}, map[string]time.Time{}
	observe := func(s *server) {
		s.onArrive = func(s *server, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			x := orders[r.Header.Get("Request-Id")]
			if x == nil {
				return
			}
			x.arrivals = append(x.arrivals, fmt.Sprintf("%s at %.3f s", s.id, p.since().Seconds()))
			if at, ok := left[s.id]; ok && time.Since(at) > drainS {
				x.late, x.lateness = true, fmt.Sprintf("%d ms after the removal of %s was acknowledged", time.Since(at).Milliseconds(), s.id)
			}
		}
		s.onRun = func(s *server, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if x := orders[r.Header.Get("Request-Id")]; x != nil {
				x.runs += " " + s.id
			}
		}
		s.onEnd = func(s *server, r *http.Request, how string) {
			mu.Lock()
			defer mu.Unlock()
			if x := orders[r.Header.Get("Request-Id")]; x != nil {
				x.end = how
			}
		}
	}
	servers := p.addServers("ordini", 8, 2, drainWork, false)
	for _, s := range servers {
		observe(s)
	}
	proxies := map[string]*proxy{}
	for i := range 4 {
		px := newProxy(p.storeAddress)
		m := newMachine(p.dir, i, px.address())
		proxies[m.name] = px
		p.machines = append(p.machines, m)
		go m.watchReady(p.stop)
	}
	for _, m := range p.machines {
		if err := m.start(); err != nil {
			panic(err)
		}
	}
	p.sleepUntil(trafficAt)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	go func() {
		for ctx.Err() == nil {
			clients.Go(func() { p.sendOrder(&mu, orders) })
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / drainPerS))
		}
	}()
	cutMachines := map[string][]time.Duration{}
	for round := range drainRounds {
		time.Sleep(3 * time.Second)
		leader := p.leader()
		u := servers[round]
		if p.trouble {
			cutMachines[leader] = append(cutMachines[leader], p.since())
			proxies[leader].set(true)
			p.say("round %d: %s, the machine that wrote to the store last, is partitioned from the store for %v", round, leader, cutTime)
		}
		began := time.Now()
		time.Sleep(removeAfter)
		u.unregister()
		mu.Lock()
		left[u.id] = time.Now()
		mu.Unlock()
		p.say("round %d: the removal of %s, which leaves, is acknowledged", round, u.id)
		next := &server{id: u.id + "-next", service: u.service, zone: u.zone, slots: u.slots, work: u.work, store: p.store}
		observe(next)
		time.Sleep(time.Until(began.Add(cutTime)))
		proxies[leader].set(false)
		time.Sleep(time.Until(began.Add(removeAfter + drainS + servesOn)))
		u.exit()
		p.say("round %d: %s exits", round, u.id)
		if err := next.start("127.0.0.1"); err != nil {
			panic(err)
		}
		p.servers = append(p.servers, next)
		time.Sleep(3 * time.Second)
	}
	cancel()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, lost := 0, 0
	for _, x := range orders {
		p.note("order %s sent at %.3f s to %s: reached %s; ran at%s, %s; the client gets %d", x.id, x.sent.Seconds(), x.machine, strings.Join(x.arrivals, ", "), x.runs, x.end, x.status)
		if !x.late || inCut(cutMachines[x.machine], x.sent) {
			continue
		}
		late++
		what := ""
		if x.status != http.StatusOK {
			lost++
			what = "; it is lost"
		}
		p.say("order %s, sent at %.3f s to %s: reaches its upstream %s; the client gets %d%s", x.id, x.sent.Seconds(), x.machine, x.lateness, x.status, what)
	}
	p.say("%d of %d orders reached an upstream later than %v after its leaving was acknowledged, sent on by machines in touch; %d of them are lost", late, len(orders), drainS, lost)
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}

// contactS is the time for which a machine must have been without disruption to be in touch.
const contactS = 3 * time.Second

// inCut reports whether a machine with the given cuts isn't in touch at a moment.
func inCut(cuts []time.Duration, at time.Duration) bool {
	for _, c := range cuts {
		if at > c-time.Second && at < c+cutTime+contactS {
			return true
		}
	}
	return false
}

// leader returns the name of the machine that wrote to the store last under a condition.
func (p *play) leader() string {
	value := p.store.value("control", "coordinator")
	for _, m := range p.machines {
		if bytes.Contains(value, []byte(m.name)) {
			return m.name
		}
	}
	panic("no machine has written to the store")
}

func (p *play) sendOrder(mu *sync.Mutex, orders map[string]*order) {
	m := p.rotation(rand.IntN(len(p.machines)))
	x := &order{id: fmt.Sprintf("%016x", requestNumber.Add(1)), machine: m.name, sent: p.since(), end: "no end seen"}
	mu.Lock()
	orders[x.id] = x
	mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), drainDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front+"/orders/"+x.id, strings.NewReader("order "+x.id))
	if err != nil {
		panic(err)
	}
	r.GetBody = nil
	r.Host = "shop.example"
	r.Header.Set("Request-Id", x.id)
	r.Header.Set("Request-Deadline", fmt.Sprint(drainDeadline.Milliseconds()))
	response, err := clientPool.Do(r)
	if err != nil {
		return
	}
	_, readErr := io.ReadAll(response.Body)
	_ = response.Body.Close()
	mu.Lock()
	defer mu.Unlock()
	if readErr == nil {
		x.status = response.StatusCode
	}
}
