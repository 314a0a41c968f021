package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

const (
	readTimeout  = 4.0
	orderTimeout = 5.0
	// sentAfter is when the order is sent after SIGTERM. The rule excuses requests that were sent no later than 3 s after it.
	sentAfter = 3200 * time.Millisecond
	// orderWork is how long the upstream works on the order, far less than the route's timeout and the client's deadline.
	orderWork     = 2200 * time.Millisecond
	orderDeadline = 10 * time.Second
	// zoneLatency is the site's one-way delay between zones.
	zoneLatency = 1400 * time.Microsecond
)

// runStop sends two reads on one connection before the machine that takes them gets SIGTERM, the second of which takes 3.7 s, and an order on
// another connection that was in use before. With PLAIN=1, the two reads are sent on connections of their own.
func runStop(w *world, trouble bool) (bool, error) {
	w.services = []service{{name: "casco"}, {name: "pedido"}}
	w.routes = []route{
		{name: "catalog-reads", prefix: "/hull/", kind: "idempotent", service: "casco", timeout: readTimeout, objective: 1.2, attempts: 2},
		{name: "order-commits", prefix: "/order/", kind: "non_idempotent", service: "pedido", timeout: orderTimeout, objective: 1.5, attempts: 2}}
	if err := w.configure(); err != nil {
		return false, err
	}
	work := func(r *http.Request) time.Duration {
		ms, err := strconv.Atoi(r.URL.Query().Get("ms"))
		if err != nil {
			ms = 100
		}
		return time.Duration(ms) * time.Millisecond
	}
	for i := range 7 {
		// No upstream for orders stands in the zone of the machine that is stopped.
		u, err := w.addUpstream(fmt.Sprintf("i-%d", i), w.services[i%2].name, zones[(i+1)/2], 4, work)
		if err != nil {
			return false, err
		}
		u.latency = zoneLatency
		u.begin()
	}
	if err := w.addMachines(4); err != nil {
		return false, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	m := w.machines[0]
	kept, err := w.connect(m)
	if err != nil {
		return false, err
	}
	defer func() { _ = kept.Close() }()
	order := func(id string, d time.Duration) answer {
		if err := kept.send(head("POST", fmt.Sprintf("/order/1?ms=%d", d.Milliseconds()), id, orderDeadline, "Content-Length: 5")+"hello", id); err != nil {
			return answer{err: err}
		}
		return kept.receive(id, "POST", orderDeadline)
	}
	if a := order("order-1", 100*time.Millisecond); a.err != nil || a.status != http.StatusOK {
		return false, fmt.Errorf("the first order isn't served: %v", a)
	}
	reader, err := w.connect(m)
	if err != nil {
		return false, err
	}
	defer func() { _ = reader.Close() }()
	first, second := head("GET", "/hull/1?ms=500", "read-1", 8*time.Second), head("GET", "/hull/2?ms=3700", "read-2", 8*time.Second)
	other := reader
	if os.Getenv("PLAIN") == "1" {
		if other, err = w.connect(m); err != nil {
			return false, err
		}
		defer func() { _ = other.Close() }()
	}
	if err := errors.Join(reader.send(first, "read-1"), other.send(second, "read-2")); err != nil {
		return false, err
	}
	time.Sleep(200 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		w.signal(m, syscall.SIGTERM)
	}
	reads := make(chan struct{})
	go func() {
		defer close(reads)
		reader.receive("read-1", "GET", 8*time.Second)
		other.receive("read-2", "GET", 8*time.Second)
	}()
	time.Sleep(time.Until(stopped.Add(sentAfter)))
	sent := time.Now()
	a := order("order-2", orderWork)
	<-reads
	took := time.Since(sent)
	w.note("order-2 was sent %.2f s after SIGTERM and ended %.2f s later: %v", sent.Sub(stopped).Seconds(), took.Seconds(), a)
	passedOn := w.runs("order-2") > 0
	// A closed connection without an answer isn't counted if the order wasn't passed on to an upstream.
	return passedOn && (a.err != nil || !a.signed) && took < time.Duration(orderTimeout*float64(time.Second)), nil
}
