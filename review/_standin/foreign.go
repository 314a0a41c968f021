package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// Figures of the case "foreign". Upstreams, slots, work, rate, deadline and aim are those of stato-nastri and letture in sites/caruso-gate.toml,
// without the spread of the work.
const (
	foreignServers  = 20
	foreignWork     = 220 * time.Millisecond
	foreignPerS     = 77.4
	foreignLeaving  = 3
	foreignRoundS   = 10 * time.Second
	foreignServesOn = 1200 * time.Millisecond
	// ownerSlack is how long two upstreams may hold the same keys, by the rule.
	ownerSlack = 500 * time.Millisecond
	sampleStep = 64
)

// start is the beginning of a request at an upstream. other is another upstream that held the key at that moment, or empty.
type start struct {
	at            time.Duration
	server, other string
	key           int
	id            string
}

// overlap is a time in which two upstreams that were up held the same key.
type overlap struct {
	key      int
	a, b     string
	from, to time.Duration
}

func playForeign(p *play) int {
	p.store.set("op", "config", map[string]any{
		"version":  "r7",
		"services": []any{map[string]any{"name": "casco", "health_path": "/health", "max_conns": 120, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 2.5, "sharded": true, "warm_s": 3.0, "grants": "call"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"hosts": []any{map[string]any{"host": "shop.example", "paths": []any{map[string]any{
			"name": "r-catalog", "prefix": "/catalog/", "kind": "idempotent", "timeout_s": 1.5, "target_latency_s": 0.6, "priority": 2,
			"service": "casco", "max_attempts": 2, "allowed_regions": []string{},
		}}}},
	})
	var mu sync.Mutex
	var starts []start
	servers := p.addServers("casco", foreignServers, 2, foreignWork, true)
	for _, s := range servers {
		s.onRun = func(s *server, r *http.Request) {
			key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
			x := start{at: p.since(), server: s.id, key: key, id: r.Header.Get("Request-Id")}
			for _, other := range servers {
				if other != s && other.isUp() && other.holds(key) && s.holds(key) {
					x.other = other.id
				}
			}
			mu.Lock()
			defer mu.Unlock()
			starts = append(starts, x)
		}
	}
	time.Sleep(time.Second)
	p.addMachines(4)
	p.sleepUntil(trafficAt)
	p.say("traffic begins")
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var sentMu sync.Mutex
	var all []*sent
	go func() {
		for ctx.Err() == nil {
			x := &sent{at: p.since(), key: rand.IntN(65536)}
			sentMu.Lock()
			all = append(all, x)
			sentMu.Unlock()
			clients.Go(func() { p.clientRequest(x) })
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / foreignPerS))
		}
	}()
	watched := make(chan []overlap)
	stopWatch := make(chan struct{})
	go func() { watched <- p.watchHolders(servers, stopWatch) }()
	for i, u := range servers[:foreignLeaving] {
		p.sleepUntil(trafficAt + 4*time.Second + time.Duration(i)*foreignRoundS)
		stopForeign := make(chan struct{})
		if p.trouble {
			p.say("another writer writes the entry w-%s with the address of %s", u.id[2:], u.id)
			go p.writeForeign(u, stopForeign)
		}
		time.Sleep(2 * time.Second)
		u.drain()
		p.say("%s holds %d keys and reports draining", u.id, u.held())
		time.Sleep(drainS + foreignServesOn)
		u.unregister()
		u.exit()
		close(stopForeign)
		p.say("%s exits", u.id)
	}
	p.sleepUntil(trafficAt + 6*time.Second + foreignLeaving*foreignRoundS)
	cancel()
	clients.Wait()
	close(stopWatch)
	return p.judgeHolders(<-watched, starts, all)
}

// writeForeign writes an entry for the address of an upstream under the name of a service that no configuration names, as another writer may. With
// FOREIGN=version the entry names the upstream's service and lacks the field version.
func (p *play) writeForeign(u *server, stop chan struct{}) {
	born, info := time.Now().UnixMilli(), map[string]any{"service": "vetrina", "version": "v1", "zone": u.zone, "slots": 2}
	if os.Getenv("FOREIGN") == "version" {
		info = map[string]any{"service": u.service, "zone": u.zone, "slots": 2}
	}
	for seq := 1; ; seq++ {
		p.store.set("servers", "w-"+u.id[2:], map[string]any{
			"address": u.address, "born": born,
			"info":   info,
			"status": map[string]any{"state": "ready", "seq": seq, "warmup_left_s": 0},
		})
		select {
		case <-stop:
			p.store.set("servers", "w-"+u.id[2:], nil)
			return
		case <-time.After(heartbeat):
		}
	}
}

// watchHolders looks every 20 ms which upstreams hold each of a sample of the keys, and returns the overlaps.
func (p *play) watchHolders(servers []*server, stop chan struct{}) []overlap {
	var ended []overlap
	open := map[int]*overlap{}
	for {
		select {
		case <-stop:
			for _, o := range open {
				ended = append(ended, *o)
			}
			return ended
		case <-time.After(20 * time.Millisecond):
		}
		now := p.since()
		for key := 0; key < 65536; key += sampleStep {
			var holders []string
			for _, s := range servers {
				if s.isUp() && s.holds(key) {
					holders = append(holders, s.id)
				}
			}
			o := open[key]
			switch {
			case len(holders) < 2 && o != nil:
				ended = append(ended, *o)
				delete(open, key)
			case len(holders) >= 2 && o == nil:
				open[key] = &overlap{key: key, a: holders[0], b: holders[1], from: now, to: now}
			case len(holders) >= 2:
				o.to = now
			}
		}
	}
}

func (p *play) judgeHolders(overlaps []overlap, starts []start, all []*sent) int {
	served := 0
	for _, x := range all {
		p.note("request for key %d sent at %.3f s: answers %v, served: %v", x.key, x.at.Seconds(), x.answers, x.served)
		if x.served {
			served++
		}
	}
	shared := 0
	for _, r := range starts {
		also := ""
		if r.other != "" {
			shared++
			also = "; " + r.other + " holds the key, too"
		}
		p.note("request %s for key %d begins to run at %s at %.3f s%s", r.id, r.key, r.server, r.at.Seconds(), also)
	}
	broken, longest := 0, time.Duration(0)
	for _, o := range overlaps {
		longest = max(longest, o.to-o.from)
		if o.to-o.from > ownerSlack {
			broken++
			p.note("key %d is held by %s and %s from %.3f s to %.3f s", o.key, o.a, o.b, o.from.Seconds(), o.to.Seconds())
		}
	}
	p.say("%d of %d requests served; %d of %d keys looked at were held by two upstreams that were up for over %v, the longest for %v; %d requests began while two held their key", served, len(all), broken, 65536/sampleStep, ownerSlack, longest.Round(time.Millisecond), shared)
	if broken > 0 {
		p.say("OWNER is broken")
		return exitBroken
	}
	p.say("OWNER holds")
	return exitHeld
}
