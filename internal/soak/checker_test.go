package soak

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

// Guards against a checker that misses a violation or reports a valid response: each faulty exchange must be found, and the similar but
// valid one must not.
func TestCheckerFindsFaultyExchanges(t *testing.T) {
	now := time.Now()
	probe := func(version, status int, at time.Duration) exchange {
		return exchange{version: version, status: status, sentAt: now.Add(at), answeredAt: now.Add(at), generation: 1}
	}
	read := func(status int, body string, signed bool) exchange {
		return exchange{id: "7", path: "/read/7", status: status, body: body, signed: signed, sentAt: now, answeredAt: now}
	}
	refusedAfter := func(d time.Duration, err error) exchange {
		return exchange{id: "7", path: "/read/7", status: http.StatusServiceUnavailable, err: err, sentAt: now, answeredAt: now.Add(d)}
	}
	reset := errors.New("connection reset")
	for _, c := range []struct {
		name          string
		faulty, valid []exchange
		found         string
	}{
		{"a response to another request", []exchange{read(200, "8 /read/8 1", true)}, []exchange{read(200, "7 /read/7 1", true)}, "gets"},
		{"a response that no target sent", []exchange{read(200, "7 /read/7 1", false)}, nil, "gets"},
		{"404 for an existing route", []exchange{read(404, "", false)}, []exchange{read(503, "", false)}, "gets 404"},
		{"a VM goes back to an older configuration", []exchange{probe(9, 200, 0), probe(8, 200, time.Second)},
			[]exchange{probe(9, 200, 0), probe(8, 200, time.Second/10), probe(8, 404, time.Second)}, "serves a route of version 8"},
		{"a VM loses the newest configuration", []exchange{probe(9, 200, 0), probe(9, 404, time.Second)},
			[]exchange{probe(9, 200, 0), probe(9, 503, time.Second)}, "doesn't know version 9"},
		{"a late response while no fault is active", []exchange{refusedAfter(3*time.Second, nil)}, []exchange{refusedAfter(time.Second, nil)}, "takes 3s"},
		{"a connection that is closed after the request was read", []exchange{refusedAfter(time.Second, reset)}, []exchange{refusedAfter(time.Millisecond, reset)}, "closed the connection"},
	} {
		for _, run := range []struct {
			exchanges []exchange
			found     string
		}{{c.faulty, c.found}, {c.valid, ""}} {
			checker := newCallerChecker(standin.NewChecker())
			checker.processStarted(0, 1)
			checker.setNewestVersion(9)
			checker.setFaultFree(true)
			for _, x := range run.exchanges {
				checker.checkExchange(x)
			}
			if got := strings.Join(checker.allViolations(), "; "); !strings.Contains(got, run.found) || run.found == "" && got != "" {
				t.Errorf("%s: found %q, want %q", c.name, got, run.found)
			}
		}
	}
}

// Guards against a checker that accepts a 404 for the newest configuration, or misses VMs that lack it or don't serve requests.
func TestCheckerFindsMissingConfigurationAndService(t *testing.T) {
	checker := newCallerChecker(standin.NewChecker())
	checker.processStarted(0, 1)
	checker.setNewestVersion(9)
	version := checker.requireNewest()
	if checker.hasVersion(0, version) {
		t.Error("a VM that was never asked shows the newest configuration")
	}
	checker.checkExchange(exchange{generation: 1, version: version, status: http.StatusNotFound})
	checker.startCounting()
	checker.checkExchange(exchange{id: "7", path: "/read/7", status: http.StatusBadGateway})
	checker.checkServedShare("here")
	for _, want := range []string{"VM 0 doesn't know version 9 any more", "0 of 1 requests are served here"} {
		if got := strings.Join(checker.allViolations(), "; "); !strings.Contains(got, want) {
			t.Errorf("found %q, want %q", got, want)
		}
	}
}
