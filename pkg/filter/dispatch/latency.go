package dispatch

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

const (
	hedgePercentile = 95
	// latencyWindow is the length of a measurement window. A latency is used for at most twice this long, because the
	// previous window is kept.
	latencyWindow = 10 * time.Second
	// minSamples is the number of latencies required to compute a percentile.
	minSamples = 100
	// recomputeInterval is the number of recorded latencies after which the percentile is recomputed.
	recomputeInterval = 100
	maxLatency        = time.Minute
	minHedgeDelay     = time.Millisecond
)

// latencies tracks the 95th percentile of the time to the response head for each route.
type latencies struct {
	clock clock.Clock

	mu     sync.Mutex
	routes map[string]*routeLatency
}

type routeLatency struct {
	current     *hdrhistogram.Histogram
	previous    *hdrhistogram.Histogram
	windowStart clock.Instant
	newSamples  int
	delay       time.Duration
}

func newLatencies(clk clock.Clock) *latencies {
	return &latencies{clock: clk, routes: map[string]*routeLatency{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 2)
}

// record adds a latency sample for a route.
func (l *latencies) record(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	r, ok := l.routes[route]
	if !ok {
		r = &routeLatency{current: newHistogram(), previous: newHistogram(), windowStart: now}
		l.routes[route] = r
	}
	if now.Sub(r.windowStart) >= latencyWindow {
		r.previous, r.current = r.current, r.previous
		r.current.Reset()
		r.windowStart = now
	}
	// Values are clamped to the histogram's range, so RecordValue can't fail.
	_ = r.current.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
	r.newSamples++
	if r.newSamples >= recomputeInterval {
		r.recompute()
	}
}

func (r *routeLatency) recompute() {
	r.newSamples = 0
	// The current window has too few samples at first; use the previous one until then.
	h := r.current
	if h.TotalCount() < minSamples && r.previous.TotalCount() > h.TotalCount() {
		h = r.previous
	}
	if h.TotalCount() < minSamples {
		return
	}
	r.delay = max(time.Duration(h.ValueAtQuantile(hedgePercentile))*time.Microsecond, minHedgeDelay)
}

// hedgeDelay returns the delay after which a request of a route is hedged, or 0 while there are too few samples.
func (l *latencies) hedgeDelay(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.routes[route]
	if !ok {
		return 0
	}
	return r.delay
}
