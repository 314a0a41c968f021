package soak

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

// Guards against a judge that misses a broken promise: each planted answer must be found, and its harmless kin not.
func TestPlantedAnswersAreFound(t *testing.T) {
	now := time.Now()
	probe := func(version, status int, at time.Duration) exchange {
		return exchange{version: version, status: status, sent: now.Add(at), answered: now.Add(at), life: 1}
	}
	read := func(status int, body string, signed bool) exchange {
		return exchange{id: "7", path: "/read/7", status: status, body: body, signed: signed, sent: now, answered: now}
	}
	lasting := func(d time.Duration, err error) exchange {
		return exchange{id: "7", path: "/read/7", status: http.StatusServiceUnavailable, err: err, sent: now, answered: now.Add(d)}
	}
	reset := errors.New("connection reset")
	for _, c := range []struct {
		name             string
		faulty, harmless []exchange
		found            string
	}{
		{"another request's answer", []exchange{read(200, "8 /read/8 1", true)}, []exchange{read(200, "7 /read/7 1", true)}, "gets"},
		{"an answer that no target gave", []exchange{read(200, "7 /read/7 1", false)}, nil, "gets"},
		{"a route that is there is denied", []exchange{read(404, "", false)}, []exchange{read(503, "", false)}, "gets 404"},
		{"a VM goes back to an older configuration", []exchange{probe(9, 200, 0), probe(8, 200, time.Second)},
			[]exchange{probe(9, 200, 0), probe(8, 200, time.Second/10), probe(8, 404, time.Second)}, "serves a route of version 8"},
		{"a VM forgets the newest configuration", []exchange{probe(9, 200, 0), probe(9, 404, time.Second)},
			[]exchange{probe(9, 200, 0), probe(9, 503, time.Second)}, "doesn't know version 9"},
		{"a late answer on a calm day", []exchange{lasting(3*time.Second, nil)}, []exchange{lasting(time.Second, nil)}, "takes 3s"},
		{"a request that is cut after it was read", []exchange{lasting(time.Second, reset)}, []exchange{lasting(time.Millisecond, reset)}, "is cut"},
	} {
		for _, run := range []struct {
			exchanges []exchange
			found     string
		}{{c.faulty, c.found}, {c.harmless, ""}} {
			j := newJudge(standin.NewChecker())
			j.started(0, 1)
			j.configured(9)
			j.setCalm(true)
			for _, x := range run.exchanges {
				j.take(x)
			}
			if got := strings.Join(j.verdict(), "; "); !strings.Contains(got, run.found) || run.found == "" && got != "" {
				t.Errorf("%s: found %q, want %q", c.name, got, run.found)
			}
		}
	}
}

// Guards against a judge that believes a refusal, and that misses VMs without the newest configuration or without service.
func TestPlantedStatesAreFound(t *testing.T) {
	j := newJudge(standin.NewChecker())
	j.started(0, 1)
	j.configured(9)
	version := j.expectNewest()
	if j.shows(0, version) {
		t.Error("a VM that was never asked shows the newest configuration")
	}
	j.take(exchange{life: 1, version: version, status: http.StatusNotFound})
	j.countServed()
	j.take(exchange{id: "7", path: "/read/7", status: http.StatusBadGateway})
	j.checkServed("here")
	for _, want := range []string{"VM 0 doesn't know version 9 any more", "0 of 1 requests are served here"} {
		if got := strings.Join(j.verdict(), "; "); !strings.Contains(got, want) {
			t.Errorf("found %q, want %q", got, want)
		}
	}
}
