package ingress

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
)

// latencyBuckets are the buckets of the latency histograms for requests and attempts.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 10 * time.Second,
}

// Metrics are the metrics of callers' requests. To keep their cardinality low, no tag contains a request ID, a key or a target.
type Metrics struct {
	scope          tally.Scope
	idempotent     tally.Histogram
	nonIdempotent  tally.Histogram
	attemptLatency tally.Histogram
	disconnects    tally.Counter
	limitsExceeded tally.Counter
}

// NewMetrics registers the metrics in the "requests" subscope of scope.
func NewMetrics(scope tally.Scope) *Metrics {
	s := scope.SubScope("requests")
	kind := func(name string) tally.Histogram {
		return s.Tagged(map[string]string{"kind": name}).Histogram("latency", latencyBuckets)
	}
	return &Metrics{
		scope: s, idempotent: kind("idempotent"), nonIdempotent: kind("once"),
		attemptLatency: s.Histogram("attempt_latency", latencyBuckets), disconnects: s.Counter("left"),
		limitsExceeded: s.Counter("target_bounds_broken"),
	}
}

func (m *Metrics) recordResponse(r *inventory.Route, elapsed time.Duration, status int) {
	if r.Idempotent {
		m.idempotent.RecordDuration(elapsed)
	} else {
		m.nonIdempotent.RecordDuration(elapsed)
	}
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status / 100 * 100)}).Counter("answered").Inc(1)
}

func (m *Metrics) recordErrorResponse(status int, reason string) {
	if len(reason) > 24 {
		reason = "other"
	}
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "reason": reason}).Counter("refused").Inc(1)
}

func (m *Metrics) recordAttempt(o outcome, elapsed time.Duration) {
	m.scope.Tagged(map[string]string{"outcome": o.String()}).Counter("attempts").Inc(1)
	m.attemptLatency.RecordDuration(elapsed)
}

// recordPlacement counts an attempt for which a target was chosen, by whether it is a retry, by who chose the target and by whether
// the target has named a rate limit. Only a request that was sent to a target before counts as a retry.
func (m *Metrics) recordPlacement(retry, byBroker, limited bool) {
	m.scope.Tagged(map[string]string{
		"repeat": strconv.FormatBool(retry), "by_broker": strconv.FormatBool(byBroker), "limited": strconv.FormatBool(limited),
	}).Counter("placed").Inc(1)
}

// recordHedge counts a request that was sent to a second target while the first one was working on it.
func (m *Metrics) recordHedge() {
	m.scope.Counter("hedges").Inc(1)
}

// recordHedgeWon counts a hedge whose response the caller got.
func (m *Metrics) recordHedgeWon() {
	m.scope.Counter("hedges_won").Inc(1)
}

// recordHedgeRefused counts a hedge that wasn't sent and will be asked for again.
func (m *Metrics) recordHedgeRefused(reason placing.HedgeReason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("hedges_refused").Inc(1)
}

// recordHedgeNotSent counts a request that wasn't hedged, by the reason of the first refusal.
func (m *Metrics) recordHedgeNotSent(reason placing.HedgeReason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("hedges_not_sent").Inc(1)
}

// recordRateLimit counts a response in which a target named a rate limit.
func (m *Metrics) recordRateLimit(unreadable bool) {
	m.scope.Tagged(map[string]string{"unclear": strconv.FormatBool(unreadable)}).Counter("target_rate_limits").Inc(1)
}

// recordBackoff counts a refusal with which a target asked this VM to back off.
func (m *Metrics) recordBackoff(invalid bool) {
	m.scope.Tagged(map[string]string{"unclear": strconv.FormatBool(invalid)}).Counter("target_closings").Inc(1)
}

func (m *Metrics) recordDisconnect() {
	m.disconnects.Inc(1)
}

// recordLimitExceeded counts a target's response that exceeded a limit.
func (m *Metrics) recordLimitExceeded() {
	m.limitsExceeded.Inc(1)
}

// recordAhead counts a pipelined request that was read ahead, by whether it was begun before its turn.
func (m *Metrics) recordAhead(begun bool) {
	m.scope.Tagged(map[string]string{"begun": strconv.FormatBool(begun)}).Counter("read_ahead").Inc(1)
}

// recordAheadMismatch counts a request that differs from the one that was handled ahead.
func (m *Metrics) recordAheadMismatch() {
	m.scope.Counter("ahead_mismatches").Inc(1)
}

// recordStalledCaller counts a caller that was disconnected because it didn't read its response.
func (m *Metrics) recordStalledCaller() {
	m.scope.Counter("stalled_callers").Inc(1)
}
