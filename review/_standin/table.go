package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case "table". The number of upstreams, their slots and work, and the rate, aim and deadline of the requests are those of
// stato-nastri and letture in large/caruso-gate-large.toml. At any time, four sets of 200 neighbouring keys are hot and get 0.43 of the
// requests together, the share of a hot_key of that site. Each set stays hot for 2 s.
const (
	tableServers  = 483
	tableSlots    = 2
	tableWork     = 220 * time.Millisecond
	tableDeadline = 2500 * time.Millisecond
	tableTimeout  = 2.5
	tableAim      = 1.0
	tablePerS     = 1932
	tableHotShare = 0.43
	tableHotSets  = 4
	tableHotKeys  = 200
	tableHotTime  = 2 * time.Second

	trafficAt  = 8 * time.Second
	faultAt    = 64 * time.Second
	downTime   = 900 * time.Millisecond
	recoveryS  = 15 * time.Second
	judgedTime = 12 * time.Second
)

// tableSpeeds are the speeds of the upstreams of stato-nastri, which differ there. SPEEDS=1 plays them.
var tableSpeeds = []float64{0.5, 1, 1, 1.5}

// sent is a request of a client with what became of it.
type sent struct {
	at     time.Duration
	key    int
	served bool
	// answers holds the status of the answer to each try, 0 if there was none.
	answers []int
}

func playTable(p *play) int {
	p.store.set("op", "config", map[string]any{
		"version":  "r7",
		"services": []any{map[string]any{"name": "casco", "health_path": "/health", "max_conns": 560, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 5, "sharded": true, "warm_s": 3.0, "grants": "call"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"hosts": []any{map[string]any{"host": "shop.example", "paths": []any{map[string]any{
			"name": "r-catalog", "prefix": "/catalog/", "kind": "idempotent", "timeout_s": tableTimeout, "target_latency_s": tableAim, "priority": 1,
			"service": "casco", "max_attempts": 2, "allowed_regions": []string{},
		}}}},
	})
	var runs [130]atomic.Int64
	for i, u := range p.addServers("casco", tableServers, tableSlots, tableWork, true) {
		if os.Getenv("SPEEDS") == "1" {
			u.work = time.Duration(float64(tableWork) / tableSpeeds[i%len(tableSpeeds)])
		}
		u.onRun = func(*server, *http.Request) { runs[min(int(p.since().Seconds()), len(runs)-1)].Add(1) }
	}
	time.Sleep(time.Second)
	p.addMachines(4)
	p.sleepUntil(trafficAt)
	p.say("traffic begins")
	hot := os.Getenv("HOT") != "0"
	var starts [tableHotSets]atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			starts[i%tableHotSets].Store(rand.Int64N(65536 - tableHotKeys))
			time.Sleep(tableHotTime / tableHotSets)
		}
	}()
	go func() {
		for ctx.Err() == nil {
			held := 0
			for _, s := range p.servers {
				held += s.held()
			}
			p.say("row slices/casco: %d bytes; keys held by upstreams: %d of 65536", p.store.size("control", "slices/casco"), held)
			time.Sleep(4 * time.Second)
		}
	}()
	var mu sync.Mutex
	var all []*sent
	send := func() {
		x := &sent{at: p.since()}
		mu.Lock()
		all = append(all, x)
		mu.Unlock()
		x.key = rand.IntN(65536)
		if hot && rand.Float64() < tableHotShare {
			x.key = int(starts[rand.IntN(tableHotSets)].Load()) + rand.IntN(tableHotKeys)
		}
		p.clientRequest(x)
	}
	go func() {
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		owed := 0.0
		for last := time.Now(); ctx.Err() == nil; {
			<-ticker.C
			now := time.Now()
			owed += now.Sub(last).Seconds() * tablePerS
			for last = now; owed >= 1; owed-- {
				go send()
			}
		}
	}()
	p.sleepUntil(faultAt)
	switch {
	case p.trouble && os.Getenv("FAULT") == "term":
		name := p.leader()
		for _, m := range p.machines {
			if m.name == name {
				p.say("the process that wrote to the store last, %s, gets SIGTERM and starts again", name)
				m.stop(6 * time.Second)
				if err := m.start(); err != nil {
					panic(err)
				}
			}
		}
	case p.trouble:
		p.say("final fault: all processes of the system are killed; they start again after %v", downTime)
		for _, m := range p.machines {
			m.signal(9)
		}
		time.Sleep(downTime)
		for _, m := range p.machines {
			m.kill()
			if err := m.start(); err != nil {
				panic(err)
			}
		}
		p.say("all processes run again")
	}
	backAt := p.since()
	p.sleepUntil(backAt + recoveryS + judgedTime)
	cancel()
	time.Sleep(tableDeadline + 500*time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	before, beforeServed := count(all, trafficAt+4*time.Second, faultAt-2*time.Second)
	after, afterServed := count(all, backAt+recoveryS, backAt+recoveryS+judgedTime-2*time.Second)
	p.say("before the final fault %d of %d requests were served, later than %v after the machines were back %d of %d", beforeServed, before, recoveryS, afterServed, after)
	p.recordSeconds(all, &runs)
	switch {
	case beforeServed*4 < before || before == 0:
		p.say("less than a quarter was served before the fault, so the rule doesn't apply")
		return exitNotRun
	case afterServed*4 < after:
		p.say("RECOVER is broken")
		return exitBroken
	}
	p.say("RECOVER holds")
	return exitHeld
}

// recordSeconds records for each second what was sent, answered and run, and the first requests of each fourth second one by one.
func (p *play) recordSeconds(all []*sent, runs *[130]atomic.Int64) {
	for second := int(trafficAt.Seconds()); second < int(p.since().Seconds()); second++ {
		from, to := time.Duration(second)*time.Second, time.Duration(second+1)*time.Second
		answers, listed := map[int]int{}, 0
		for _, x := range all {
			if x.at < from || x.at >= to {
				continue
			}
			for _, status := range x.answers {
				answers[status]++
			}
			if listed++; second%4 == 0 && listed <= 5 {
				p.note("request sent at %.3f s for key %d: answers %v, served: %v", x.at.Seconds(), x.key, x.answers, x.served)
			}
		}
		n, served := count(all, from, to)
		p.note("second %d: %d requests sent, %d served, answers to their tries by status (0 is none) %v; upstreams began to run %d requests", second, n, served, answers, runs[second].Load())
	}
}

func count(all []*sent, from, to time.Duration) (n, served int) {
	for _, x := range all {
		if x.at >= from && x.at < to {
			n++
			if x.served {
				served++
			}
		}
	}
	return n, served
}

var requestNumber atomic.Int64

var clientPool = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 400, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}

// clientRequest sends a request and records whether it was served. The client comes back once, at another machine.
func (p *play) clientRequest(x *sent) {
	ends := time.Now().Add(tableDeadline)
	at := rand.IntN(len(p.machines))
	for try := range 2 {
		m := p.rotation(at + try)
		id := fmt.Sprintf("%016x", requestNumber.Add(1))
		left := time.Until(ends)
		if left <= 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), left)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.front+"/catalog/"+id, nil)
		if err != nil {
			panic(err)
		}
		r.Host = "shop.example"
		r.Header.Set("Request-Id", id)
		r.Header.Set("Request-Deadline", fmt.Sprint(left.Milliseconds()))
		r.Header.Set("Shard-Key", fmt.Sprint(x.key))
		wait, status := 50*time.Millisecond, 0
		response, err := clientPool.Do(r)
		if err == nil {
			status = response.StatusCode
			_, readErr := io.ReadAll(response.Body)
			_ = response.Body.Close()
			x.served = readErr == nil && status == http.StatusOK && response.Header.Get("Server-Signature") != ""
			var seconds float64
			if _, err := fmt.Sscan(response.Header.Get("Retry-After"), &seconds); err == nil {
				wait = min(time.Duration(seconds*float64(time.Second)), time.Until(ends)/3)
			}
		}
		cancel()
		x.answers = append(x.answers, status)
		if x.served {
			return
		}
		time.Sleep(wait)
	}
}

// rotation returns the n-th machine that gets new connections, or any if none does.
func (p *play) rotation(n int) *machine {
	for i := range p.machines {
		if m := p.machines[(n+i)%len(p.machines)]; !m.outOfRotation.Load() {
			return m
		}
	}
	return p.machines[n%len(p.machines)]
}
