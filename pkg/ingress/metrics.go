package ingress

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// latencyBuckets divide the latencies of requests and attempts.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 10 * time.Second,
}

// Metrics counts decisions and outcomes. Its labels have few values: never a request's, key's or target's name.
type Metrics struct {
	scope      tally.Scope
	safe       tally.Histogram
	unsafe     tally.Histogram
	attemptFor tally.Histogram
	leftEarly  tally.Counter
	bounds     tally.Counter
}

// NewMetrics returns the metrics of callers' requests.
func NewMetrics(scope tally.Scope) *Metrics {
	s := scope.SubScope("requests")
	kind := func(name string) tally.Histogram {
		return s.Tagged(map[string]string{"kind": name}).Histogram("latency", latencyBuckets)
	}
	return &Metrics{
		scope: s, safe: kind("idempotent"), unsafe: kind("once"),
		attemptFor: s.Histogram("attempt_latency", latencyBuckets), leftEarly: s.Counter("left"),
		bounds: s.Counter("target_bounds_broken"),
	}
}

func (m *Metrics) answered(r *inventory.Route, took time.Duration, status int) {
	if r.Idempotent {
		m.safe.RecordDuration(took)
	} else {
		m.unsafe.RecordDuration(took)
	}
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status / 100 * 100)}).Counter("answered").Inc(1)
}

func (m *Metrics) refused(status int, reason string) {
	if len(reason) > 24 {
		reason = "other"
	}
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "reason": reason}).Counter("refused").Inc(1)
}

func (m *Metrics) attempt(o outcome, took time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": o.String()}).Counter("attempts").Inc(1)
	m.attemptFor.RecordDuration(took)
}

// placed counts the attempts that have a target, by who chose it. Repeats are those of requests that were sent before.
func (m *Metrics) placed(repeat, byBroker bool) {
	m.scope.Tagged(map[string]string{"repeat": strconv.FormatBool(repeat), "by_broker": strconv.FormatBool(byBroker)}).Counter("placed").Inc(1)
}

// closed counts the refusals with which targets have turned this VM away for a time.
func (m *Metrics) closed(unclear bool) {
	m.scope.Tagged(map[string]string{"unclear": strconv.FormatBool(unclear)}).Counter("target_closings").Inc(1)
}

func (m *Metrics) left() {
	m.leftEarly.Inc(1)
}

// boundBroken counts targets' answers that went beyond a bound.
func (m *Metrics) boundBroken() {
	m.bounds.Inc(1)
}
