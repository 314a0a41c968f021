package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// minServedShare is the share of requests that must be served after the last fault has ended.
	minServedShare = 0.9
	// revertSlack is how long after a VM served a configuration version a request may still be handled with an older one.
	revertSlack = 250 * time.Millisecond
	// unreadCloseSlack is how long after a request was sent a stopping VM may close its connection without having read it.
	unreadCloseSlack = 200 * time.Millisecond
	// responseBound is the time in which a VM must answer while no fault is active: the route's time limit and half a second.
	responseBound = 2 * time.Second
)

// exchange is a request and its response.
type exchange struct {
	id, path string
	order    bool
	// noBody is set if the request has no body. Otherwise the body is as long as the ID.
	noBody bool
	// vm and generation identify the process that the request was sent to.
	vm, generation int
	// version is the configuration version that has the route, 0 if all versions have it.
	version    int
	sentAt     time.Time
	answeredAt time.Time
	status     int
	signed     bool
	body       string
	err        error
	// abandoned reports that the caller closed the connection before a response arrived.
	abandoned bool
}

// observedVersion is the newest configuration version that the responses of a process have shown.
type observedVersion struct {
	generation int
	version    int
	at         time.Time
}

// callerChecker checks what callers see. What targets see is checked by targetChecker.
type callerChecker struct {
	targetChecker *standin.Checker

	mu            sync.Mutex
	refusedOrders []string
	violations    []string
	// faultFree reports that no fault is active, so that requests must be answered in time.
	faultFree bool
	// countedRequests counts the requests since startCounting, countedServed those of them that were served, while counting is set.
	countedRequests, countedServed int
	counting                       bool
	// newestVersion is the newest version of the configuration.
	newestVersion int
	// requiredVersion is the version that must be in force on all VMs.
	requiredVersion int
	observed        map[int]observedVersion
	total           int
	served          int
}

func newCallerChecker(targets *standin.Checker) *callerChecker {
	return &callerChecker{targetChecker: targets, observed: map[int]observedVersion{}}
}

func (c *callerChecker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

func (c *callerChecker) addViolationLocked(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// processStarted records that a VM runs a new process.
func (c *callerChecker) processStarted(vm, generation int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observed[vm] = observedVersion{generation: generation}
}

// generationOf returns the generation of a VM's process: the number of its starts.
func (c *callerChecker) generationOf(vm int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observed[vm].generation
}

// setNewestVersion records the newest version of the configuration.
func (c *callerChecker) setNewestVersion(version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newestVersion = version
}

// setFaultFree sets whether requests must be answered in time from now on.
func (c *callerChecker) setFaultFree(faultFree bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultFree = faultFree
}

// checkExchange counts an exchange and checks its response and, while no fault is active, its timing.
func (c *callerChecker) checkExchange(x exchange) {
	ok := x.err == nil && x.status == http.StatusOK
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if ok {
		c.served++
	}
	if c.counting && x.version == 0 && !x.abandoned {
		c.countedRequests++
		if ok {
			c.countedServed++
		}
	}
	if x.err == nil {
		c.checkResponse(x)
	}
	if c.faultFree && !x.abandoned {
		c.checkTiming(x)
	}
}

// checkResponse checks the status and content of a response.
func (c *callerChecker) checkResponse(x exchange) {
	if x.version != 0 {
		c.checkVersion(x)
		return
	}
	switch {
	case x.status == http.StatusOK:
		bodyBytes := len(x.id)
		if x.noBody {
			bodyBytes = 0
		}
		if want := fmt.Sprintf("%s %s %d", x.id, x.path, bodyBytes); x.body != want || !x.signed {
			c.addViolationLocked("request %s gets %q, signed: %v", x.id, x.body, x.signed)
		}
	case notRun(x.status):
		if x.order {
			c.refusedOrders = append(c.refusedOrders, x.id)
		}
	case x.status == http.StatusNotFound:
		c.addViolationLocked("request %s gets 404", x.id)
	}
}

// notRun reports whether a status guarantees that the request has not run and never will.
func notRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkVersion checks that a process doesn't go back to an older configuration. Each version has a route of its own, which exists
// only while that version is in force.
func (c *callerChecker) checkVersion(x exchange) {
	known := c.observed[x.vm]
	if known.generation != x.generation {
		return
	}
	later := x.sentAt.Sub(known.at) > revertSlack
	switch {
	case x.status == http.StatusOK && x.version < known.version && later:
		c.addViolationLocked("VM %d serves a route of version %d after it had version %d", x.vm, x.version, known.version)
	case x.status == http.StatusNotFound && x.version == c.newestVersion && (x.version == known.version && later || x.version == c.requiredVersion):
		c.addViolationLocked("VM %d doesn't know version %d any more", x.vm, x.version)
	case x.status == http.StatusOK && x.version > known.version:
		c.observed[x.vm] = observedVersion{generation: x.generation, version: x.version, at: x.answeredAt}
	}
}

// checkTiming checks a request while no fault is active: it must be answered in time, and a stopping VM must not close the connection
// of a request that it has read.
func (c *callerChecker) checkTiming(x exchange) {
	took := x.answeredAt.Sub(x.sentAt)
	switch {
	case took > responseBound:
		c.addViolationLocked("request %s to VM %d takes %v while no fault is active", x.id, x.vm, took)
	case x.err != nil && (took > unreadCloseSlack || c.targetChecker.Executions(x.id) > 0):
		c.addViolationLocked("request %s gets no response, VM %d closed the connection after %v while no fault is active, executions: %d, %v", x.id, x.vm, took, c.targetChecker.Executions(x.id), x.err)
	}
}

// requireNewest makes each 404 for the route of the newest configuration a violation from now on. It returns the newest version.
func (c *callerChecker) requireNewest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requiredVersion = c.newestVersion
	return c.requiredVersion
}

// hasVersion reports whether a VM has served a route of the given or a newer version.
func (c *callerChecker) hasVersion(vm, version int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observed[vm].version >= version
}

// startCounting counts requests from now on.
func (c *callerChecker) startCounting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counting, c.countedRequests, c.countedServed = true, 0, 0
}

// checkServedShare checks the share of the requests since startCounting that were served.
func (c *callerChecker) checkServedShare(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counting = false
	if c.countedRequests == 0 || float64(c.countedServed) < minServedShare*float64(c.countedRequests) {
		c.addViolationLocked("%d of %d requests are served %s", c.countedServed, c.countedRequests, what)
	}
}

// allViolations returns the violations that callers and targets have seen.
func (c *callerChecker) allViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.refusedOrders {
		if c.targetChecker.Executions(id) > 0 {
			c.addViolationLocked("order %s was refused as not run, but ran", id)
		}
	}
	return append(c.violations, c.targetChecker.Violations()...)
}
