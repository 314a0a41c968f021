package gateway

import (
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/targetconn"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// reservedConnections are kept free at each target for grants and health polls.
const reservedConnections = 2

// target is a back end of a group. The group's mutex guards it.
type target struct {
	group *group
	id    string
	// address is host:port.
	address string
	conns   *targetconn.Pool
	ramp    ramp
	// tickets are the slots in use, including exchanges whose end at the target is still awaited.
	tickets map[*ticket]struct{}
	// alone is set while a suspect has the target to itself, or waits for it to become idle.
	alone *waiter
	// queue holds the waiters of a keyed pool.
	queue queue
	// out is set by the configuration; an unkeyed target gets no new work then.
	out  bool
	lost bool
	// lostAt is when the target was noticed to be lost.
	lostAt clock.Instant
	// draining tells that the target announced its leave; drainingAt when this was noticed.
	draining   bool
	drainingAt clock.Instant
	// shedUntil pauses new work after the target has refused some.
	shedUntil clock.Instant
	// brokenUntil pauses new work after a connection broke, and at first, unless a health poll is answered before.
	brokenUntil clock.Instant
	// probesFailed counts consecutive failed probes without an answer in between.
	probesFailed int
	// answeredAt is when the target last answered anything.
	answeredAt clock.Instant
	// triedAt and triedGrant tell when the target last got a request, by time and by the group's count.
	triedAt        clock.Instant
	triedGrant     int64
	answered       int64
	answeredBefore int64
	probeWake      chan struct{}
	rate           float64
	reported       wire.TargetState
	grant          grant
	// gone is closed when the target leaves the group.
	gone chan struct{}
}

func newTarget(g *group, c config.Target) *target {
	return &target{
		group:     g,
		id:        c.ID,
		address:   c.Address,
		conns:     targetconn.NewPool(c.Address),
		ramp:      newRamp(g.pool.Slots, g.pool.ColdConcurrency),
		tickets:   make(map[*ticket]struct{}),
		grant:     grant{wake: make(chan struct{}, 1)},
		gone:      make(chan struct{}),
		probeWake: make(chan struct{}, 1),
	}
}

// limit returns the concurrency that the target gets at the moment.
func (t *target) limit() int {
	limit := min(t.ramp.limit, max(1, t.group.pool.Slots))
	if c := t.group.pool.Connections; c > 0 {
		limit = min(limit, max(1, c-reservedConnections))
	}
	return limit
}

// open tells whether the target may get new work.
func (t *target) open(now clock.Instant) bool {
	if t.lost || now < t.shedUntil || now < t.brokenUntil {
		return false
	}
	if t.group.pool.Keyed {
		return !t.draining || now.Sub(t.drainingAt) < keyedDrainGrace
	}
	if t.group.pool.GrantsChecked && now >= t.grant.validUntil {
		return false
	}
	return !t.draining && !t.out
}

// free returns the number of requests that may be sent now.
func (t *target) free(now clock.Instant) int {
	if t.alone != nil || !t.open(now) {
		return 0
	}
	return max(0, t.limit()-len(t.tickets))
}

// freeSoon is like free, but counts the slots of exchanges that are over as free.
func (t *target) freeSoon(now clock.Instant) int {
	if t.alone != nil || !t.open(now) {
		return 0
	}
	used := 0
	for k := range t.tickets {
		if !k.ending {
			used++
		}
	}
	return max(0, t.limit()-used)
}

// oldest returns the age of the oldest exchange that has not been answered yet.
func (t *target) oldest(now clock.Instant) time.Duration {
	var age time.Duration
	for k := range t.tickets {
		if !k.answered {
			age = max(age, now.Sub(k.started))
		}
	}
	return age
}

// expected returns the latency that the next request is likely to see. A request in flight that is older than the
// smoothed latency proves that the target has become slower.
func (t *target) expected(now clock.Instant) time.Duration {
	return max(t.ramp.latency, t.oldest(now))
}

// state returns the state for reports.
func (t *target) state(now clock.Instant, median time.Duration) wire.TargetState {
	switch {
	case t.lost:
		return wire.TargetLost
	case t.draining:
		return wire.TargetDraining
	case median > 0 && t.expected(now) > slowBound(median):
		return wire.TargetSlow
	case !t.ramp.warm():
		return wire.TargetCold
	default:
		return wire.TargetServing
	}
}

// medianLatency returns the median of the targets' smoothed latencies, 0 if none is known.
func medianLatency(targets []*target) time.Duration {
	return medianOf(targets, func(t *target) time.Duration { return t.ramp.latency })
}

// mediansOf returns the median latencies of a group.
func mediansOf(targets []*target) medians {
	return medians{
		current: medianLatency(targets),
		normal:  medianOf(targets, func(t *target) time.Duration { return t.ramp.normal }),
	}
}

func medianOf(targets []*target, latency func(*target) time.Duration) time.Duration {
	var buf [16]time.Duration
	known := buf[:0]
	for _, t := range targets {
		if d := latency(t); d > 0 && !t.lost {
			known = append(known, d)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	// The lower middle: half of the targets may be slow.
	return known[(len(known)-1)/2]
}
