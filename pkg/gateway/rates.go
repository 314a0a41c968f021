package gateway

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// rateInterval is the period over which request rates are measured.
const rateInterval = time.Second

// rateMeter rolls the rates of a group's targets and slices.
type rateMeter struct {
	rolled clock.Instant
}

// sliceRates counts the requests of a slice and finds its most frequent key hash by majority vote.
type sliceRates struct {
	count     int64
	candidate uint64
	votes     int64
	// hits counts the candidate since it became one.
	hits int64
	// idle counts the intervals since the last request.
	idle    int
	rate    float64
	hotHash uint64
	hotRate float64
}

func (r *rateMeter) hit(k *ticket) {
	if k.slice != nil {
		k.slice.rates.hit(k.keyHash)
	}
}

func (s *sliceRates) hit(hash uint64) {
	s.count++
	switch {
	case s.votes == 0:
		s.candidate, s.votes, s.hits = hash, 1, 1
	case s.candidate == hash:
		s.votes++
		s.hits++
	default:
		s.votes--
	}
}

func (s *sliceRates) roll(seconds float64) {
	s.rate = float64(s.count) / seconds
	s.idle++
	if s.count > 0 {
		s.idle = 0
	}
	s.hotHash, s.hotRate = 0, 0
	if s.votes > 0 && s.hits > 1 {
		s.hotHash, s.hotRate = s.candidate, float64(s.hits)/seconds
	}
	s.count, s.votes, s.hits = 0, 0, 0
}

// roll computes the rates once per interval.
func (r *rateMeter) roll(g *group, now clock.Instant) {
	passed := now.Sub(r.rolled)
	if passed < rateInterval {
		return
	}
	r.rolled = now
	for _, t := range g.targets {
		t.rate = float64(t.answered-t.answeredBefore) / passed.Seconds()
		t.answeredBefore = t.answered
	}
	for _, s := range g.slices {
		s.rates.roll(passed.Seconds())
	}
}

const (
	// freshRates is how long rates are reported after they were measured: one or two heartbeats. Reporting all rates in
	// every heartbeat made 22 of 26 KB/s of a router's control traffic in a cell of 4 routers.
	freshRates = 300 * time.Millisecond
	// idleReports is the number of intervals in which a slice that has become idle is still reported. The controller
	// smooths rates over some seconds and keeps the last one of a slice that it hears nothing of.
	idleReports = 60
)

// loads lists the rates of the slices in force, soon after they were measured, without those of idle slices.
func (g *group) loads(now clock.Instant) []wire.SliceLoad {
	if now.Sub(g.rates.rolled) > freshRates {
		return nil
	}
	var loads []wire.SliceLoad
	for _, s := range g.slices {
		if s.phase != sliceActive || s.rates.idle > idleReports {
			continue
		}
		loads = append(loads, wire.SliceLoad{
			Pool: s.Pool, Low: s.Low, Rate: s.rates.rate, HotHash: s.rates.hotHash, HotRate: s.rates.hotRate,
		})
	}
	return loads
}

// targetReports lists the state of the targets.
func (g *group) targetReports(now clock.Instant) []wire.TargetReport {
	median := medianLatency(g.targets)
	reports := make([]wire.TargetReport, 0, len(g.targets))
	for _, t := range g.targets {
		reports = append(reports, wire.TargetReport{
			Target:        t.id,
			State:         t.state(now, median),
			InFlight:      len(t.tickets),
			Queued:        len(t.queue.waiters),
			Limit:         t.limit(),
			Rate:          t.rate,
			LatencyMicros: t.ramp.latency.Microseconds(),
		})
	}
	return reports
}
