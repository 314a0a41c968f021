package target

import (
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Health states.
const (
	healthOK       = "ok"
	healthDraining = "draining"
)

type healthAnswer struct {
	Status string `json:"status"`
}

type loadAnswer struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Cold     bool `json:"cold,omitempty"`
}

// report is what health and load reports answer until it is older than the lag.
type report struct {
	taken  clock.Instant
	health healthAnswer
	load   loadAnswer
}

func (t *Target) currentReport() report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	lag := time.Duration(t.settings.ReportLagMillis) * time.Millisecond
	if t.report.taken == 0 || now.Sub(t.report.taken) >= lag {
		t.report = t.takeReport(now)
	}
	return t.report
}

func (t *Target) takeReport(now clock.Instant) report {
	r := report{
		taken:  now,
		health: healthAnswer{Status: healthOK},
		load:   loadAnswer{InFlight: t.offered, Slots: t.limit()},
	}
	if !t.settings.AnnounceCold {
		r.load.Slots = t.settings.Slots
	}
	r.load.Cold = t.settings.AnnounceCold && t.settings.Cold
	if t.settings.Draining {
		r.health.Status = healthDraining
	}
	if t.settings.FalseHealth != "" {
		r.health.Status = t.settings.FalseHealth
	}
	if t.settings.FalseInFlight >= 0 {
		r.load.InFlight = t.settings.FalseInFlight
	}
	return r
}

func (t *Target) getHealth(w http.ResponseWriter, r *http.Request) {
	if t.probe(r) {
		writeJSON(w, http.StatusOK, t.currentReport().health)
	}
}

func (t *Target) getLoad(w http.ResponseWriter, r *http.Request) {
	if t.probe(r) {
		writeJSON(w, http.StatusOK, t.currentReport().load)
	}
}

// probe passes the time that a report takes.
func (t *Target) probe(r *http.Request) bool {
	if !t.waitThawed(r) {
		return false
	}
	d := millis(t.Settings().ProbeMillis)
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
