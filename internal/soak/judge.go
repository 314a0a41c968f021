package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// servedAtEnd is the share of requests that must be served after the last fault.
	servedAtEnd = 0.9
	// revertSlack is how long after a version was seen at a VM a request may still be handled by an older one.
	revertSlack = 250 * time.Millisecond
	// cutSlack is how long after its sending a request may be cut by a VM that stops without having read it.
	cutSlack = 200 * time.Millisecond
	// answerBound is the time in which a calm VM must answer: the route's time limit and half a second.
	answerBound = 2 * time.Second
)

// exchange is one request with what came back.
type exchange struct {
	id, path string
	order    bool
	// vm and life tell the process that the request was sent to.
	vm, life int
	// version is that of the route's configuration, 0 if all have it.
	version  int
	sent     time.Time
	answered time.Time
	status   int
	signed   bool
	body     string
	err      error
	// gaveUp tells that the caller left before the answer.
	gaveUp bool
}

// seen is what the answers of one process have shown about its configuration.
type seen struct {
	life    int
	version int
	at      time.Time
}

// judge checks what callers see. What targets see is the ledger's.
type judge struct {
	ledger *standin.Checker

	mu      sync.Mutex
	refused []string
	broken  []string
	// calm tells that no fault is in force, so that requests must be answered in time.
	calm bool
	// calmAsked and calmServed count the requests since judging began; -1 while they aren't counted.
	calmAsked, calmServed int
	counting              bool
	// newest is the newest version of the configuration.
	newest int
	// due is the version that must be in force everywhere.
	due    int
	seen   map[int]seen
	total  int
	served int
}

func newJudge(l *standin.Checker) *judge {
	return &judge{ledger: l, seen: map[int]seen{}}
}

func (j *judge) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.noteLocked(format, args...)
}

func (j *judge) noteLocked(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf(format, args...))
}

// started notes that a VM runs a new process.
func (j *judge) started(vm, life int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.seen[vm] = seen{life: life}
}

// lifeOf returns the life of a VM's process.
func (j *judge) lifeOf(vm int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.seen[vm].life
}

// configured notes the newest version of the configuration.
func (j *judge) configured(version int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.newest = version
}

// setCalm tells whether requests must be answered in time from now on.
func (j *judge) setCalm(calm bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calm = calm
}

// take judges one exchange.
func (j *judge) take(x exchange) {
	ok := x.err == nil && x.status == http.StatusOK
	j.mu.Lock()
	defer j.mu.Unlock()
	j.total++
	if ok {
		j.served++
	}
	if j.counting && x.version == 0 && !x.gaveUp {
		j.calmAsked++
		if ok {
			j.calmServed++
		}
	}
	if x.err == nil {
		j.answer(x)
	}
	if j.calm && !x.gaveUp {
		j.inTime(x)
	}
}

// answer judges what an answer says.
func (j *judge) answer(x exchange) {
	if x.version != 0 {
		j.configuration(x)
		return
	}
	switch {
	case x.status == http.StatusOK:
		if want := fmt.Sprintf("%s %s %d", x.id, x.path, len(x.id)); x.body != want || !x.signed {
			j.noteLocked("request %s gets %q, signed: %v", x.id, x.body, x.signed)
		}
	case notRun(x.status):
		if x.order {
			j.refused = append(j.refused, x.id)
		}
	case x.status == http.StatusNotFound:
		j.noteLocked("request %s gets 404", x.id)
	}
}

// notRun tells whether a status promises that the request has not run and never will.
func notRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// configuration judges whether a process goes back to an older configuration. A route of a version is there only while that
// version is in force.
func (j *judge) configuration(x exchange) {
	known := j.seen[x.vm]
	if known.life != x.life {
		return
	}
	later := x.sent.Sub(known.at) > revertSlack
	switch {
	case x.status == http.StatusOK && x.version < known.version && later:
		j.noteLocked("VM %d serves a route of version %d after it had version %d", x.vm, x.version, known.version)
	case x.status == http.StatusNotFound && x.version == j.newest && (x.version == known.version && later || x.version == j.due):
		j.noteLocked("VM %d doesn't know version %d any more", x.vm, x.version)
	case x.status == http.StatusOK && x.version > known.version:
		j.seen[x.vm] = seen{life: x.life, version: x.version, at: x.answered}
	}
}

// inTime judges a request while no fault is in force: it is answered within its time, and a VM that stops cuts none that it has
// read.
func (j *judge) inTime(x exchange) {
	took := x.answered.Sub(x.sent)
	switch {
	case took > answerBound:
		j.noteLocked("request %s to VM %d takes %v on a calm day", x.id, x.vm, took)
	case x.err != nil && (took > cutSlack || j.ledger.Executions(x.id) > 0):
		j.noteLocked("request %s is cut by VM %d after %v on a calm day, runs: %d, %v", x.id, x.vm, took, j.ledger.Executions(x.id), x.err)
	}
}

// expectNewest makes each answer that doesn't know the newest configuration a broken promise from now on. It returns its version.
func (j *judge) expectNewest() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.due = j.newest
	return j.due
}

// shows tells whether a VM has served a route of a version.
func (j *judge) shows(vm, version int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.seen[vm].version >= version
}

// countServed counts the requests from now on.
func (j *judge) countServed() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counting, j.calmAsked, j.calmServed = true, 0, 0
}

// checkServed judges the requests since countServed.
func (j *judge) checkServed(what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counting = false
	if j.calmAsked == 0 || float64(j.calmServed) < servedAtEnd*float64(j.calmAsked) {
		j.noteLocked("%d of %d requests are served %s", j.calmServed, j.calmAsked, what)
	}
}

// verdict returns the broken promises of callers and targets.
func (j *judge) verdict() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range j.refused {
		if j.ledger.Executions(id) > 0 {
			j.noteLocked("order %s was refused as not run, but ran", id)
		}
	}
	return append(j.broken, j.ledger.Violations()...)
}
