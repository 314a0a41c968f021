package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// contact is the pages' contact_s, and backAfter how long a crashed upstream is away ("back after some seconds").
	contact   = 3 * time.Second
	backAfter = 3 * time.Second
	// poisonInterval is the time between two sends of the request that crashes upstreams.
	poisonInterval = 700 * time.Millisecond
	poisonTime     = 30 * time.Second
	poisonPath     = "/read/poison"
	// readers is the number of clients that send other requests, and readInterval the pause of each between two of them.
	readers      = 2
	readInterval = 300 * time.Millisecond
	// maxLateRetries is the number of retries that the rule permits.
	maxLateRetries = 3
)

// poisonLog records when the crashing request arrived at upstreams and crashed them.
type poisonLog struct {
	mu                sync.Mutex
	arrivals, crashes []time.Time
}

// lateArrivals returns the number of arrivals later than contact after the third crash.
func (p *poisonLog) lateArrivals() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < 3 {
		return 0
	}
	n := 0
	for _, at := range p.arrivals {
		if at.Sub(p.crashes[2]) > contact {
			n++
		}
	}
	return n
}

// runPoison has the upstreams crash while they send their answers: head and half of the body are out when the process ends, unless EARLY=1
// makes it end before.
func runPoison(w *world, trouble bool) (bool, error) {
	return runCrashing(w, trouble, func(u *upstream, rw http.ResponseWriter, id string) {
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		if os.Getenv("EARLY") != "1" {
			body := strings.Repeat("x", 400)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nContent-Length: %d\r\n\r\n%s",
				id, u.signature(id), len(body), body[:len(body)/2])
		}
		_ = conn.Close()
		u.crash()
	})
}

// runDark has the machines of the upstreams lose power: nothing more comes from them, on connections that are open or new, until they are back.
func runDark(w *world, trouble bool) (bool, error) {
	return runCrashing(w, trouble, func(u *upstream, _ http.ResponseWriter, _ string) { u.goDark() })
}

// runCrashing sends a request that crashes each upstream that runs it again and again. With trouble off, the request is harmless.
func runCrashing(w *world, trouble bool, crash func(u *upstream, rw http.ResponseWriter, id string)) (bool, error) {
	w.services = []service{{name: "stato"}}
	w.routes = []route{{name: "letture", prefix: "/read/", kind: "idempotent", service: "stato", timeout: 1.5, objective: 0.6, attempts: 2}}
	if err := w.configure(); err != nil {
		return false, err
	}
	var log poisonLog
	var started atomic.Int64
	var add func(zone string) error
	add = func(zone string) error {
		id := fmt.Sprintf("i-%d", started.Add(1))
		u, err := w.addUpstream(id, "stato", zone, 2, fixed(60*time.Millisecond))
		if err != nil {
			return err
		}
		u.warmup = 0
		if started.Load() > 8 {
			u.warmup = 3 * time.Second
		}
		u.special = func(rw http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path != poisonPath {
				return false
			}
			log.mu.Lock()
			log.arrivals = append(log.arrivals, time.Now())
			log.mu.Unlock()
			if !trouble {
				return false
			}
			w.note("%s runs the crashing request %s", u.id, r.Header.Get("Request-Id"))
			time.Sleep(40 * time.Millisecond)
			crash(u, rw, r.Header.Get("Request-Id"))
			log.mu.Lock()
			log.crashes = append(log.crashes, time.Now())
			w.note("%s has crashed, crash %d", u.id, len(log.crashes))
			log.mu.Unlock()
			time.AfterFunc(backAfter, func() { _ = add(u.zone) })
			return true
		}
		u.begin()
		return nil
	}
	for i := range 8 {
		if err := add(zones[i%len(zones)]); err != nil {
			return false, err
		}
	}
	if err := w.addMachines(4); err != nil {
		return false, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var asked, served atomic.Int64
	for k := range readers {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(readInterval):
				}
				id := fmt.Sprintf("read-%d-%d", k, i)
				asked.Add(1)
				if a := w.once(w.machines[(k+i)%len(w.machines)], "GET", fmt.Sprintf("/read/%d", i%7), id, 1500*time.Millisecond); a.err == nil && a.status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	for i, end := 0, time.Now().Add(poisonTime); time.Now().Before(end); i++ {
		w.once(w.machines[i%len(w.machines)], "GET", poisonPath, fmt.Sprintf("poison-%d", i), 1500*time.Millisecond)
		time.Sleep(poisonInterval)
	}
	close(stop)
	group.Wait()
	late := log.lateArrivals()
	w.note("the request arrived %d times at upstreams and crashed %d; later than %v after the third crash it arrived %d times (%d permitted); other requests: %d of %d served",
		len(log.arrivals), len(log.crashes), contact, late, maxLateRetries, served.Load(), asked.Load())
	return trouble && late > maxLateRetries, nil
}
