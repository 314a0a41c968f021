package placing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
)

// A target may name a rate limit for the requests of all VMs together, and a cold target takes a low rate. The load pattern is a steady
// demand above that rate, spread over all VMs, while brokers come and go. Each rate is divided by the number of VMs: the broker may use
// the shares of the VMs that are connected to it, and each VM without a broker its own share. So the sum stays within the rate whichever
// VMs can reach each other, also while two VMs act as broker, and nobody has to know what another one has sent before.

const (
	// limitBurstTime is the time for which the broker accumulates the unused part of a limit. A new broker starts without any, as its
	// predecessor may have used it.
	limitBurstTime = 500 * time.Millisecond
	// localLimitShare is the part of its share that a VM without a broker uses. The turns of the VMs aren't coordinated, so that
	// more of them than on average may fall into the same seconds.
	localLimitShare = 0.75
	// localTurnTime is how long a VM without a broker may use each of its turns. Turns that last until they are used would let hundreds of
	// idle VMs send at the same moment.
	localTurnTime = 250 * time.Millisecond
	// brokerReturnTime is the expected wait for a target with a rate limit while this VM places its requests itself although it is
	// connected to a broker, which is slow. The broker alone uses the limit then.
	brokerReturnTime = 500 * time.Millisecond
	// contentionTime is how long after a refusal because of a rate limit the demand counts as higher than the limit.
	contentionTime = 2 * time.Second
	// limitRetrySpread is the relative range by which callers are told to come back later than at the expected time, so that they
	// don't return together.
	limitRetrySpread = 0.25
)

// rateLimit is the rate limit of a target. The zero value is no limit.
type rateLimit struct {
	limited bool
	// rate is the limit in requests per second.
	rate float64
	// tokens may be used by the broker at once, as of at.
	tokens float64
	at     clock.Instant
	// turn is when Balancer last sent a request under the limit.
	turn lastTurn
}

// limitReader copies the rate limits of a tracker to the loads of targets, since looking them up for each candidate of each request
// would take too long.
type limitReader struct {
	tracker *ratelimit.Tracker
	// version is the version of the limits that the loads have, 0 if they have none.
	version uint64
}

// refresh updates the limits of the targets if they have changed.
func (r *limitReader) refresh(loads map[string]*load, now clock.Instant) {
	version := r.tracker.Version() + 1
	if version == r.version {
		return
	}
	r.version = version
	for _, l := range loads {
		rate, limited := r.tracker.Rate(l.target.Incarnation())
		switch {
		case !limited:
			l.limit = rateLimit{}
		case !l.limit.limited:
			l.limit = rateLimit{limited: true, rate: rate, at: now}
		default:
			l.limit.rate = rate
		}
	}
}

// refill adds the tokens that a broker with the given share of the limit has gained.
func (r *rateLimit) refill(share float64, now clock.Instant) {
	rate := r.rate * share
	r.tokens = min(max(1, rate*limitBurstTime.Seconds()), r.tokens+rate*now.Sub(r.at).Seconds())
	r.at = now
}

// spent reports whether the limit permits the broker no request now.
func (r *rateLimit) spent() bool {
	return r.limited && r.tokens < 1
}

// binds reports whether the limit permits the broker fewer requests now than there are free slots.
func (r *rateLimit) binds(freeSlots int) bool {
	return r.limited && int(r.tokens) < max(1, freeSlots)
}

// nextIn returns the time until the limit permits a broker with the given share another request.
func (r *rateLimit) nextIn(share float64) time.Duration {
	return secondsToDuration((math.Floor(max(0, r.tokens)) + 1 - r.tokens) / (r.rate * share))
}

// capRate returns the part of a rate that the limit permits a broker with the given share.
func (r *rateLimit) capRate(rate, share float64) float64 {
	if !r.limited {
		return rate
	}
	return min(rate, r.rate*share)
}

// capSlots returns the part of the free slots that the limit permits the broker to use at once.
func (r *rateLimit) capSlots(slots int) int {
	if !r.limited {
		return slots
	}
	return min(slots, int(r.tokens))
}

// noteLimitRefusal records a refusal because of rate limits.
func (b *Broker) noteLimitRefusal(id queueID, reason Reason, now clock.Instant) {
	if reason == ReasonTargetLimit {
		b.limitRefusals[id] = now
	}
}

// limitContended reports whether more requests want to use the rate limits of a queue's targets than they permit.
func (b *Broker) limitContended(id queueID, now clock.Instant) bool {
	at, ok := b.limitRefusals[id]
	return ok && now.Sub(at) < contentionTime
}

func (b *Broker) pruneLimitRefusals(now clock.Instant) {
	for id := range b.limitRefusals {
		if !b.limitContended(id, now) {
			delete(b.limitRefusals, id)
		}
	}
}

// SetConnectedVMs sets how many of all VMs, with this one, are connected to this broker. It may use their shares of the rates that targets
// take.
func (b *Broker) SetConnectedVMs(connected, total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = float64(connected) / float64(max(connected, total, 1))
}

// recordRateLimit records what the response to a request of another VM says about the target's rate limit.
func (b *Broker) recordRateLimit(p permit, result Result, report *Report, now clock.Instant) {
	if !result.hasAnswer() && result != TargetError && result != Refused {
		return
	}
	notice := ratelimit.Notice{}
	if report != nil {
		notice = report.RateLimit
	}
	b.limits.tracker.Observe(p.incarnation, notice, p.start, now)
}

// UseLimits makes the balancer keep the rate limits of the tracker. vm is the name of this VM, by which its turns differ from those of
// others.
func (b *Balancer) UseLimits(limits *ratelimit.Tracker, vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits, b.vm = limitReader{tracker: limits}, vm
}

// SetFleetSize sets the number of VMs by which the rates of targets are divided, 0 if it is unknown.
func (b *Balancer) SetFleetSize(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleetSize = vms
}

// SetBrokerConnected sets whether this VM is connected to a broker, which then uses this VM's share of the rates.
func (b *Balancer) SetBrokerConnected(connected bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brokerConnected = connected
}

// limitWait returns how long this VM must send nothing to a target because of the target's rate limit.
func (b *Balancer) limitWait(l *load, now clock.Instant) time.Duration {
	if !l.limit.limited {
		return 0
	}
	return b.turnWait(l, l.limit.rate, l.limit.turn, now)
}

// lastTurn is when a VM last used one of its turns at a target.
type lastTurn struct {
	at   clock.Instant
	used bool
}

// turnWait returns the time until this VM's next turn at a target that takes the given rate from all VMs together, 0 if the VM may send to
// it now. The turns come at regular intervals and last for localTurnTime.
func (b *Balancer) turnWait(l *load, rate float64, last lastTurn, now clock.Instant) time.Duration {
	if b.brokerConnected {
		return brokerReturnTime
	}
	interval := max(time.Nanosecond, secondsToDuration(float64(max(b.fleetSize, 1))/(rate*localLimitShare)))
	phase := time.Duration(float64(interval) * float64(fnv1a(b.vm+" "+l.target.ID)) / (1 << 32))
	sinceTurn := (time.Duration(now) + interval - phase) % interval
	// The rate may have changed since the last request, so that this turn began before the last one had ended.
	used := last.used && now.Sub(last.at) < max(sinceTurn, interval-localTurnTime)
	if sinceTurn < localTurnTime && !used {
		return 0
	}
	return interval - sinceTurn
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, infinite.Seconds()) * float64(time.Second))
}

// RetryAfterLimit returns when a caller should retry whose request the rate limits of all targets leave no room for: when there is
// expected to be room again, even if that is after its deadline.
func RetryAfterLimit(expected time.Duration) time.Duration {
	return time.Duration(float64(max(expected, retryDelayMin)) * (1 + limitRetrySpread*rand.Float64()))
}
