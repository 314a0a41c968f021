package dispatch

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

const (
	hedgePercentile = 95
	// latencyWindow is how long a measured latency counts, at most twice this long.
	latencyWindow = 10 * time.Second
	// minSamples is the number of latencies that a percentile needs.
	minSamples = 100
	// recomputeEvery is the number of latencies after which the percentile is computed again.
	recomputeEvery = 100
	maxLatency     = time.Minute
	minHedgeDelay  = time.Millisecond
)

// latencies learns the 95th percentile of the time to the head of an answer for each route.
type latencies struct {
	clock clock.Clock

	mu     sync.Mutex
	routes map[string]*routeLatency
}

type routeLatency struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	since    clock.Instant
	fresh    int
	delay    time.Duration
}

func newLatencies(clk clock.Clock) *latencies {
	return &latencies{clock: clk, routes: map[string]*routeLatency{}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 2)
}

// record adds a latency of a route.
func (l *latencies) record(route string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	r, ok := l.routes[route]
	if !ok {
		r = &routeLatency{current: newHistogram(), previous: newHistogram(), since: now}
		l.routes[route] = r
	}
	if now.Sub(r.since) >= latencyWindow {
		r.previous, r.current = r.current, r.previous
		r.current.Reset()
		r.since = now
	}
	// Values are clamped to the histogram's range, so that recording doesn't fail.
	_ = r.current.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
	r.fresh++
	if r.fresh >= recomputeEvery {
		r.recompute()
	}
}

func (r *routeLatency) recompute() {
	r.fresh = 0
	// A window that has just begun has too few values for a percentile.
	h := r.current
	if h.TotalCount() < minSamples && r.previous.TotalCount() > h.TotalCount() {
		h = r.previous
	}
	if h.TotalCount() < minSamples {
		return
	}
	r.delay = max(time.Duration(h.ValueAtQuantile(hedgePercentile))*time.Microsecond, minHedgeDelay)
}

// hedgeDelay returns after which time a request of a route is hedged, 0 while too little is known.
func (l *latencies) hedgeDelay(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.routes[route]
	if !ok {
		return 0
	}
	return r.delay
}
