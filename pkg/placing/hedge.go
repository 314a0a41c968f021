package placing

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

const (
	// hedgeQuantile is the percentile of a route's latencies after which a second copy of a request may be sent.
	hedgeQuantile = 95
	// hedgeMinSamples is the number of latencies of a route below which it has no delay. With fewer, the 95th percentile would be one
	// of the two largest samples.
	hedgeMinSamples = 50
	// Latencies are kept for between (latencyParts-1) and latencyParts times latencyPartTime. A VM that gets 2 requests of a route per
	// second, as in the largest deployments, has hedgeMinSamples of them in that time.
	latencyParts    = 4
	latencyPartTime = 10 * time.Second
	// latencyUnit and maxRecordedLatency are the resolution and the range of the histograms; latencyDigits is their precision in
	// decimal digits. A route takes about 70 KB.
	latencyUnit        = 100 * time.Microsecond
	maxRecordedLatency = time.Minute
	latencyDigits      = 2
	// statsInterval is how long computed percentiles are used.
	statsInterval = 250 * time.Millisecond
	// maxHedgedRoutes bounds the number of routes with a histogram. Requests of further routes aren't hedged.
	maxHedgedRoutes = 64
	// hedgeWindow is the time over which the share of extra requests is limited, hedgeWindowPart the resolution of that time.
	hedgeWindow     = 10 * time.Second
	hedgeWindowPart = 500 * time.Millisecond
	// MaxHedgeExtraShare is the largest permitted share of extra requests.
	MaxHedgeExtraShare = 0.1
	// HedgeDecisionTime bounds the wait for the broker's decision on a hedge. This broker decides at once; a broker of a version that
	// doesn't know hedges would queue it for longer.
	HedgeDecisionTime = 50 * time.Millisecond
	// maxHedgeAsks is how often a hedge is asked for. A slot is often free a moment after a refusal. When hedges were asked for once, a
	// request whose target had stopped responding could be held until its deadline although slots were free meanwhile.
	maxHedgeAsks = 4
	// hedgePriority is the rank of hedges at a broker of a version that doesn't know them: behind all other requests. The lower bits are
	// those of the request, since they identify its kind.
	hedgePriority = math.MaxInt32 &^ kindRankMask
)

// HedgeReason tells why a request isn't hedged. It is empty if it is.
type HedgeReason string

const (
	// HedgeSent means that the hedge is permitted.
	HedgeSent HedgeReason = ""
	// HedgeOff means that hedging isn't set.
	HedgeOff HedgeReason = "off"
	// HedgeNotIdempotent means that the request must not be executed twice.
	HedgeNotIdempotent HedgeReason = "not-idempotent"
	// HedgeKeyed means that the pool is divided by key, and a key has one owner.
	HedgeKeyed HedgeReason = "keyed"
	// HedgeNotReplayable means that the body isn't buffered completely.
	HedgeNotReplayable HedgeReason = "not-replayable"
	// HedgeMaxAttempts means that the route permits no further attempt.
	HedgeMaxAttempts HedgeReason = "max-attempts"
	// HedgeFewSamples means that too few latencies of the route are known.
	HedgeFewSamples HedgeReason = "few-samples"
	// HedgeTimeLeft means that a hedge would probably not be answered before the deadline.
	HedgeTimeLeft HedgeReason = "time-left"
	// HedgeExtraShare means that the permitted share of extra requests is used up.
	HedgeExtraShare HedgeReason = "extra-share"
	// HedgeRetryBudget means that the retry budget of all VMs is used up.
	HedgeRetryBudget HedgeReason = "repeat-budget"
	// HedgeNoBroker means that there is no broker, without which free slots aren't known.
	HedgeNoBroker HedgeReason = "no-broker"
	// HedgeNoFreeSlot means that the pool has too few free slots, or no usable target.
	HedgeNoFreeSlot HedgeReason = "no-free-slot"
	// HedgeSuspected means that the request may have crashed a target.
	HedgeSuspected HedgeReason = "suspected"
	// HedgeUndecided means that the broker didn't decide in time.
	HedgeUndecided HedgeReason = "undecided"
	// HedgeAnswered means that the request ended before the hedge was placed.
	HedgeAnswered HedgeReason = "answered"
)

// temporary reports whether a hedge that isn't sent for this reason may be sent a moment later.
func (r HedgeReason) temporary() bool {
	switch r {
	case HedgeNoFreeSlot, HedgeExtraShare, HedgeRetryBudget, HedgeNoBroker, HedgeUndecided:
		return true
	}
	return false
}

// NextAsk returns after which time a hedge is asked for again that has been asked for the given number of times, last after the given
// delay, and wasn't sent for the given reason; false if it isn't asked for any more. The delay doubles: few requests take that long, so
// that under overload, when most hedges are refused, the broker gets few additional messages.
func NextAsk(reason HedgeReason, asked int, delay time.Duration) (time.Duration, bool) {
	return 2 * delay, asked < maxHedgeAsks && reason.temporary()
}

// HedgeReasonFor maps the broker's reason for not placing a hedge.
func HedgeReasonFor(r Reason) HedgeReason {
	switch r {
	case ReasonRetryBudget:
		return HedgeRetryBudget
	case ReasonQuarantined, ReasonSuspected:
		return HedgeSuspected
	case ReasonBrokerMoved:
		return HedgeNoBroker
	default:
		return HedgeNoFreeSlot
	}
}

// HedgeRequest describes a request for which Hedger decides.
type HedgeRequest struct {
	Route                         string
	Idempotent, Keyed, Replayable bool
	// Attempts counts the targets that the request was sent to, including the attempt in flight, out of MaxAttempts.
	Attempts, MaxAttempts int
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
}

// Hedger decides for the requests of one VM whether and when a second copy, the hedge, is sent to another target while the first
// attempt is in flight. Whether the pool has free slots and the retry budget has room is decided by the broker, which knows them. A
// nil Hedger permits no hedges. It is safe for concurrent use.
type Hedger struct {
	share float64

	mu     sync.Mutex
	routes map[string]*routeLatencies
	// requests counts the requests that could be hedged, and hedges those that were.
	requests, hedges *windowCounter
	// undecided is the number of permitted hedges for which the broker is being asked.
	undecided int
}

// NewHedger returns a Hedger that permits at most the given share of extra requests in any 10 s, or nil if the share is 0.
func NewHedger(share float64) *Hedger {
	if !(share > 0) {
		return nil
	}
	// The requests of at most hedgeWindow and the hedges of at least hedgeWindow are counted, so that the limit holds exactly.
	const parts = int(hedgeWindow / hedgeWindowPart)
	return &Hedger{
		share: min(share, MaxHedgeExtraShare), routes: map[string]*routeLatencies{},
		requests: &windowCounter{parts: make([]int, parts)}, hedges: &windowCounter{parts: make([]int, parts+1)},
	}
}

// Begin counts a new request. It returns the delay after which Admit is to be asked for a hedge, or why there will be none.
func (h *Hedger) Begin(r HedgeRequest, now clock.Instant) (time.Duration, HedgeReason) {
	if h == nil {
		return 0, HedgeOff
	}
	if reason := r.excluded(); reason != HedgeSent {
		return 0, reason
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests.add(now)
	l := h.routes[r.Route]
	if l == nil || !l.update(now) {
		return 0, HedgeFewSamples
	}
	if r.TimeLeft < l.delay+l.median {
		return 0, HedgeTimeLeft
	}
	return l.delay, HedgeSent
}

// excluded returns the reason in the request itself for which it can't be hedged.
func (r HedgeRequest) excluded() HedgeReason {
	switch {
	case !r.Idempotent:
		return HedgeNotIdempotent
	case r.Keyed:
		return HedgeKeyed
	case !r.Replayable:
		return HedgeNotReplayable
	case r.Attempts >= r.MaxAttempts:
		return HedgeMaxAttempts
	}
	return HedgeSent
}

// Admit decides whether a request whose delay has passed may be hedged now. If so, the hedge counts towards the limit until Place
// reports what became of it.
func (h *Hedger) Admit(r HedgeRequest, now clock.Instant) HedgeReason {
	if h == nil {
		return HedgeOff
	}
	if reason := r.excluded(); reason != HedgeSent {
		return reason
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.routes[r.Route]
	if l == nil || !l.update(now) {
		return HedgeFewSamples
	}
	if r.TimeLeft < l.median {
		return HedgeTimeLeft
	}
	if float64(h.hedges.sum(now)+h.undecided+1) > h.share*float64(h.requests.sum(now)) {
		return HedgeExtraShare
	}
	h.undecided++
	return HedgeSent
}

// Place reports whether a hedge that Admit has permitted was placed.
func (h *Hedger) Place(placed bool, now clock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.undecided--
	if placed {
		h.hedges.add(now)
	}
}

// Observe records the latency of a first attempt. complete is false if the attempt was ended before it was answered: its latency
// would have been longer. Such an attempt counts only if it took longer than the delay. Leaving out those whose hedge won would
// lower the percentile, which would cause more hedges, which would lower it further; hedges themselves aren't recorded.
func (h *Hedger) Observe(route string, latency time.Duration, complete bool, now clock.Instant) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.routes[route]
	if l == nil {
		if h.pruneRoutes(now); len(h.routes) >= maxHedgedRoutes {
			return
		}
		l = newRouteLatencies(now)
		h.routes[route] = l
	}
	if measured := l.update(now); complete || measured && latency >= l.delay {
		// The value is within the range of the histogram, so that recording it can't fail.
		_ = l.histogram.Current.RecordValue(int64(min(max(0, latency), maxRecordedLatency) / latencyUnit))
	}
}

// pruneRoutes drops the routes that had no requests within the time that their latencies are kept.
func (h *Hedger) pruneRoutes(now clock.Instant) {
	for name, l := range h.routes {
		if now.Sub(l.partStart) > latencyParts*latencyPartTime {
			delete(h.routes, name)
		}
	}
}

// Delays returns the present delay of each route that has one.
func (h *Hedger) Delays(now clock.Instant) map[string]time.Duration {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delays := map[string]time.Duration{}
	for name, l := range h.routes {
		if l.update(now) {
			delays[name] = l.delay
		}
	}
	return delays
}

// routeLatencies holds the recent latencies of the first attempts of a route.
type routeLatencies struct {
	histogram *hdrhistogram.WindowedHistogram
	// partStart is when the current part of the window began.
	partStart clock.Instant
	// delay and median were computed at computedAt; measured is set if there were enough samples.
	computedAt    clock.Instant
	delay, median time.Duration
	measured      bool
}

func newRouteLatencies(now clock.Instant) *routeLatencies {
	return &routeLatencies{
		histogram: hdrhistogram.NewWindowed(latencyParts, 1, int64(maxRecordedLatency/latencyUnit), latencyDigits), partStart: now, computedAt: now,
	}
}

// update drops latencies that are too old and computes the percentiles if they are out of date. It reports whether there are enough
// samples.
func (l *routeLatencies) update(now clock.Instant) bool {
	parts := int(now.Sub(l.partStart) / latencyPartTime)
	for range min(parts, latencyParts) {
		l.histogram.Rotate()
	}
	l.partStart = l.partStart.Add(time.Duration(parts) * latencyPartTime)
	if now.Sub(l.computedAt) < statsInterval {
		return l.measured
	}
	l.computedAt = now
	all := l.histogram.Merge()
	if l.measured = all.TotalCount() >= hedgeMinSamples; l.measured {
		l.delay = time.Duration(all.ValueAtPercentile(hedgeQuantile)) * latencyUnit
		l.median = time.Duration(all.ValueAtPercentile(50)) * latencyUnit
	}
	return l.measured
}

// windowCounter counts events within a sliding window. The newest of its parts is the current one.
type windowCounter struct {
	parts []int
	// newest is the number of the newest part since the origin of the clock.
	newest int64
	total  int
}

func (c *windowCounter) advance(now clock.Instant) {
	n := int64(len(c.parts))
	current := int64(now) / int64(hedgeWindowPart)
	for part := max(c.newest+1, current-n+1); part <= current; part++ {
		c.total -= c.parts[part%n]
		c.parts[part%n] = 0
	}
	c.newest = max(c.newest, current)
}

func (c *windowCounter) add(now clock.Instant) {
	c.advance(now)
	c.parts[c.newest%int64(len(c.parts))]++
	c.total++
}

func (c *windowCounter) sum(now clock.Instant) int {
	c.advance(now)
	return c.total
}

// AsHedge returns the request for a hedge of a request that is in flight at the given target.
func (a PlacementRequest) AsHedge(first string) PlacementRequest {
	a.Avoid = append(a.Avoid[:len(a.Avoid):len(a.Avoid)], first)
	a.Hedge, a.Retry, a.Priority = true, true, hedgePriority|a.Priority&kindRankMask
	return a
}
