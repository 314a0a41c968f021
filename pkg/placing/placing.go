// Package placing selects the target for each request, or reports that none can serve it in time. It does no I/O.
package placing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
)

const (
	// initialServiceTime is assumed for a target that hasn't answered a request yet.
	initialServiceTime = 200 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the moving average of the service time.
	serviceTimeWeight = 0.15
	// otherRequestsHalfLife is the half-life of the estimate of other VMs' requests at a target: after it, half of them are
	// assumed to have finished.
	otherRequestsHalfLife = 400 * time.Millisecond
	// slowdownTTL is how long a reported slowdown of a target's machine is used.
	slowdownTTL = 500 * time.Millisecond
	// domainPenalty is the additional latency that is accepted to avoid sending a request to another failure domain, where
	// traffic is billed.
	domainPenalty = 8 * time.Millisecond
	// regionPenalty is the same for another region; the link between regions has little bandwidth.
	regionPenalty = 60 * time.Millisecond
	// regionPenaltyPerKB is added to regionPenalty for each KB of the body.
	regionPenaltyPerKB = 2 * time.Millisecond
	// regionLatencyShare is the part of the remaining time to its objective that a request may give up to stay in its region, and
	// domainLatencyShare the part that it may give up to stay in its failure domain. An answer within the objective is as good as
	// a faster one, and the link between regions has little bandwidth: without this preference, 9% of the uploads crossed it
	// under normal load, because targets differ in speed by more than the distance penalty.
	regionLatencyShare = 0.4
	domainLatencyShare = 0.04
	// refusalBackoff is how long a target gets no requests after it refused one because it was full.
	refusalBackoff = 40 * time.Millisecond
	// connectionBackoff is how long a target gets no requests after a connection failure. It doubles with each consecutive
	// failure, up to connectionBackoffMax.
	connectionBackoff    = 250 * time.Millisecond
	connectionBackoffMax = 2 * time.Second
	// failureRateWeight is the weight of the newest result in the moving average of the failure rate.
	failureRateWeight = 0.08
	// toleratedFailureRate is the failure rate that isn't penalised. It is above failureRateWeight, so that a single failure has
	// no effect.
	toleratedFailureRate = 0.1
	// failurePenalty is the additional latency that is accepted to avoid a certain failure. Most objectives are between 0.5 and 2
	// s.
	failurePenalty = 2 * time.Second
	// refusalPenalty is the same for a certain refusal by a target with free slots. A refused request has not run, so it can be sent
	// again at once; it costs about the time of one more attempt. With failurePenalty, requests waited for the few targets of a
	// pool that didn't refuse any, while the slots of all others were idle.
	refusalPenalty = 300 * time.Millisecond
	// targetQueueLength is the number of requests that a target queues beyond its slots.
	targetQueueLength = 8
)

// Report is the load that a target reports with an answer. VMs send it to the coordinator in msgpack under its field names.
type Report struct {
	Running, Waiting, Slots int
	// Pace is the current slowdown of the target's machine: the factor by which work takes longer than usual, 1 being normal.
	Pace float64
	// ClosedFor is how long the target asks the VM that it refused to send nothing. Slots is 0 in a report that has no other
	// value.
	ClosedFor time.Duration
	// RateLimit is how many requests per second the target takes from all VMs together.
	RateLimit ratelimit.Notice `msgpack:",omitempty"`
}

// load is what is known about the load of one target.
type load struct {
	target *inventory.Target
	// coldUntil is the time at which the target is warm, calculated from its registration.
	coldUntil clock.Instant
	// inFlight counts the requests in flight that were placed here.
	inFlight int
	// otherRequests is the number of requests of other VMs at otherRequestsAt.
	otherRequests   float64
	otherRequestsAt clock.Instant
	slowdown        float64
	slowdownAt      clock.Instant
	// serviceTime is the moving average of the service time at normal speed, without queueing.
	serviceTime time.Duration
	// measured reports whether serviceTime includes a measurement.
	measured  bool
	notBefore clock.Instant
	// backoffUntil is the end of the time for which the target asked this VM to send nothing. Only Balancer sets it; Broker keeps
	// this time for each VM in backoffs.
	backoffUntil       clock.Instant
	connectionFailures int
	// failureRate is the moving average of the share of requests that the target failed, and refusalRate of the share that it refused
	// although it had free slots.
	failureRate, refusalRate float64
	limit                    rateLimit
	// cold is when Balancer last sent a request while the target was cold.
	cold lastTurn
}

// estimateOtherRequests estimates how many requests of other VMs are still at the target.
func (l *load) estimateOtherRequests(now clock.Instant) float64 {
	age := now.Sub(l.otherRequestsAt)
	if age >= 8*otherRequestsHalfLife {
		return 0
	}
	return l.otherRequests * decay(age, otherRequestsHalfLife)
}

func decay(age, half time.Duration) float64 {
	x := float64(age) / float64(half)
	// A rational function approximates the exponential closely enough and is cheaper.
	return 1 / (1 + x*(0.7+0.3*x))
}

func (l *load) currentSlowdown(now clock.Instant) float64 {
	if l.slowdown <= 0 || now.Sub(l.slowdownAt) > slowdownTTL {
		return 1
	}
	return l.slowdown
}

// currentServiceTime estimates how long the target takes at the present speed of its machine to answer a request that doesn't queue.
func (l *load) currentServiceTime(now clock.Instant) time.Duration {
	return time.Duration(float64(l.serviceTime) * l.currentSlowdown(now))
}

// expectedLatency estimates how long the target would take to answer one more request.
func (l *load) expectedLatency(now clock.Instant) time.Duration {
	slots := float64(l.target.Slots)
	queued := float64(l.inFlight) + l.estimateOtherRequests(now) + 1 - slots
	service := float64(l.serviceTime) * l.currentSlowdown(now)
	if queued > 0 {
		service *= 1 + queued/slots
	}
	return time.Duration(service)
}

// Criteria describes a request for which Balancer selects a target.
type Criteria struct {
	// Candidates are the targets that may serve the request.
	Candidates []*inventory.Target
	// Avoid holds the IDs of the targets that have already failed this request.
	Avoid map[string]bool
	// BodyBytes is the size of the request body.
	BodyBytes int64
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// Objective is the remaining time within which an answer meets the latency objective.
	Objective time.Duration
}

// Choice is the result of Balancer.Choose.
type Choice struct {
	// Target is nil if no target can serve the request in time.
	Target *inventory.Target
	// Expected is the expected latency. Without a target, it is the estimated wait, 0 if unknown.
	Expected time.Duration
	// Reason tells why Target is nil.
	Reason Reason
}

// Reason tells why a request can't be placed.
type Reason string

const (
	// ReasonNoTarget means that there is no candidate.
	ReasonNoTarget Reason = "no-target"
	// ReasonOverload means that all candidates are too busy to answer in time.
	ReasonOverload Reason = "overload"
	// ReasonKeyPending means that the request's key currently has no owner.
	ReasonKeyPending Reason = "key-pending"
	// ReasonRetryBudget means that the retry budget is exhausted.
	ReasonRetryBudget Reason = "repeat-budget"
	// ReasonBrokerMoved means that the broker role has moved to another VM.
	ReasonBrokerMoved Reason = "broker-moved"
	// ReasonQuarantined means that the request has crashed several targets.
	ReasonQuarantined Reason = "quarantined"
	// ReasonSuspected means that the request may have crashed a target and another copy of it is in flight.
	ReasonSuspected Reason = "suspected"
	// ReasonTargetsBlocked means that all candidates recently failed or refused a request, or are cold.
	ReasonTargetsBlocked Reason = "targets-blocked"
	// ReasonTargetLimit means that the rate limits of all candidates are used up.
	ReasonTargetLimit Reason = "target-limit"
	// ReasonQuota means that the quota of the request's organisation is used up.
	ReasonQuota Reason = "quota"
	// ReasonNoShare means that this VM may use no part of the quotas, whatever is left of them.
	ReasonNoShare Reason = "no-quota-share"
)

// Balancer selects targets for the requests of one VM. It is safe for concurrent use.
type Balancer struct {
	domain   string
	region   string
	regionOf map[string]string

	mu            sync.Mutex
	loads         map[string]*load
	configuration *inventory.Configuration
	limits        limitReader
	// vm is the name of this VM, and fleetSize the number of VMs by which the rates of targets are divided, 0 while it is unknown.
	vm              string
	fleetSize       int
	brokerConnected bool
}

// NewBalancer returns a balancer for a VM in the given failure domain.
func NewBalancer(domain, region string, regionOf map[string]string) *Balancer {
	return &Balancer{domain: domain, region: region, regionOf: regionOf, loads: map[string]*load{}, limits: limitReader{tracker: ratelimit.NewTracker()}}
}

// Update replaces the registered targets. What was learned about previous incarnations of a target is dropped.
func (b *Balancer) Update(s *inventory.Snapshot, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	updateLoads(b.loads, s, now)
	b.configuration, b.limits.version = s.Configuration, 0
}

func updateLoads(loads map[string]*load, s *inventory.Snapshot, now clock.Instant) {
	for id, t := range s.Targets {
		l := loads[id]
		if l == nil || l.target.Started != t.Started || l.target.Address != t.Address {
			l = &load{serviceTime: initialServiceTime, slowdown: 1}
			loads[id] = l
		}
		if l.target != t {
			l.coldUntil = now.Add(t.WarmupLeft)
		}
		l.target = t
	}
	for id := range loads {
		if s.Targets[id] == nil {
			delete(loads, id)
		}
	}
}

// Choose reserves a slot at the target with the lowest expected latency, including the penalties for failures and distance. Done
// releases the slot.
func (b *Balancer) Choose(n Criteria, now clock.Instant) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.refresh(b.loads, now)
	best := Choice{Reason: ReasonNoTarget}
	var bestScore time.Duration
	for _, t := range n.Candidates {
		l := b.loads[t.ID]
		if l == nil || n.Avoid[t.ID] {
			continue
		}
		if now < max(l.notBefore, l.backoffUntil) || b.coldWait(l, now) > 0 {
			if best.Target == nil && (best.Reason == ReasonNoTarget || best.Reason == ReasonTargetsBlocked && l.backoffUntil.Sub(now) < best.Expected) {
				best.Reason, best.Expected = ReasonTargetsBlocked, max(0, l.backoffUntil.Sub(now))
			}
			continue
		}
		if wait := b.limitWait(l, now); wait > 0 {
			best.noteLimit(wait)
			continue
		}
		expected := l.expectedLatency(now)
		if expected > n.TimeLeft || float64(l.inFlight)+l.estimateOtherRequests(now) >= float64(l.target.Slots+targetQueueLength) {
			if best.Target == nil {
				best.Reason, best.Expected = ReasonOverload, expected
			}
			continue
		}
		score := expected + l.penalty() + distancePenalty(b.regionOf, b.domain, b.region, t.Domain, n.BodyBytes) +
			localityPenalty(b.regionOf, b.domain, b.region, t.Domain, n.Objective) + time.Duration(rand.Int64N(int64(5*time.Millisecond)))
		if best.Target == nil || score < bestScore {
			best, bestScore = Choice{Target: t, Expected: expected}, score
		}
	}
	if best.Target != nil {
		b.startRequest(b.loads[best.Target.ID], now)
	}
	return best
}

func (b *Balancer) startRequest(l *load, now clock.Instant) {
	l.inFlight++
	if now < l.coldUntil {
		l.cold = lastTurn{at: now, used: true}
	}
	if l.limit.limited {
		l.limit.turn = lastTurn{at: now, used: true}
	}
}

// noteLimit records that a candidate's rate limit permits no request for some time.
func (c *Choice) noteLimit(wait time.Duration) {
	if c.Target == nil && (c.Reason == ReasonNoTarget || c.Reason == ReasonTargetLimit && wait < c.Expected) {
		c.Reason, c.Expected = ReasonTargetLimit, wait
	}
}

// coldWait returns how long this VM must send nothing to a target because the target is cold. Until the number of VMs is known, cold
// targets get nothing.
func (b *Balancer) coldWait(l *load, now clock.Instant) time.Duration {
	if now >= l.coldUntil {
		return 0
	}
	if b.fleetSize == 0 {
		return l.coldUntil.Sub(now)
	}
	return min(l.coldUntil.Sub(now), b.turnWait(l, coldRate(b.configuration, l), l.cold, now))
}

// fnv1a returns the 32-bit FNV-1a hash of a string.
func fnv1a(text string) uint32 {
	h := uint32(2166136261)
	for i := range len(text) {
		h = (h ^ uint32(text[i])) * 16777619
	}
	return h
}

// distancePenalty is the additional latency that is accepted elsewhere to avoid sending a request from the given failure domain
// and region to the failure domain of a target.
func distancePenalty(regionOf map[string]string, domain, region, target string, body int64) time.Duration {
	if target == domain {
		return 0
	}
	if regionOf[target] == region {
		return domainPenalty
	}
	return regionPenalty + time.Duration(body>>10)*regionPenaltyPerKB
}

// localityPenalty is added to distancePenalty: the part of the remaining time to its objective that a request may give up to be
// served by a closer target.
func localityPenalty(regionOf map[string]string, domain, region, target string, objective time.Duration) time.Duration {
	share := regionLatencyShare
	switch {
	case target == domain:
		return 0
	case regionOf[target] == region:
		share = domainLatencyShare
	}
	return time.Duration(share * float64(max(0, objective)))
}

// Result tells how a request to a target ended.
type Result int

const (
	// Answered means that a complete answer arrived.
	Answered Result = iota
	// Refused means that the target refused the request because it was full or didn't own the key.
	Refused
	// Failed means that the connection failed or the answer was unusable.
	Failed
	// Abandoned means that this VM ended the request, or couldn't use its answer, which says little about the target.
	Abandoned
	// TargetError means that the target answered with an error of its own.
	TargetError
	// ConnectionLost means that the connection was lost after the request was sent and before a complete answer arrived: the target
	// may have crashed.
	ConnectionLost
	// Unanswered means that this VM ended the request after it was sent and before a complete answer arrived.
	Unanswered
	// PartlyAnswered means that the head of an answer and a part of its body arrived, and the rest is passed on as it comes.
	PartlyAnswered
)

// hasAnswer reports whether the target has answered the request, at least in part and not with an error.
func (r Result) hasAnswer() bool {
	return r == Answered || r == PartlyAnswered
}

// QuarantineOutcome maps the result to what it says about whether the request crashes targets.
func (r Result) QuarantineOutcome() quarantine.Outcome {
	switch r {
	case Answered, TargetError:
		return quarantine.Served
	case Refused:
		return quarantine.Refused
	case ConnectionLost:
		return quarantine.ConnectionLost
	case Unanswered:
		return quarantine.Unanswered
	case PartlyAnswered:
		return quarantine.PartlyServed
	default:
		return quarantine.Unknown
	}
}

// Done releases the slot of a request and records its result and the target's report.
func (b *Balancer) Done(id string, elapsed time.Duration, result Result, report *Report, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	if l == nil {
		return
	}
	l.inFlight = max(0, l.inFlight-1)
	l.recordResult(elapsed, result, report, now)
	l.recordBackoff(report, now)
}

// BackoffLeft returns the remaining time for which a target has asked this VM to send nothing.
func (b *Balancer) BackoffLeft(id string, now clock.Instant) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	if l == nil {
		return 0
	}
	return max(0, l.backoffUntil.Sub(now))
}

// recordBackoff applies the time for which the target asked this VM to send nothing.
func (l *load) recordBackoff(report *Report, now clock.Instant) {
	if report != nil && report.ClosedFor > 0 {
		l.backoffUntil = max(l.backoffUntil, now.Add(report.ClosedFor))
	}
}

// RecordResult records the result of a request that was placed by the coordinator's broker.
func (b *Balancer) RecordResult(id string, elapsed time.Duration, result Result, report *Report, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.loads[id]; l != nil {
		l.recordResult(elapsed, result, report, now)
		l.recordBackoff(report, now)
	}
}

// recordResult updates the load with the result of a request.
func (l *load) recordResult(elapsed time.Duration, result Result, report *Report, now clock.Instant) {
	if report != nil && report.Slots > 0 {
		l.recordReport(report, now)
	}
	switch result {
	case Answered, PartlyAnswered:
		l.connectionFailures = 0
		l.failureRate -= failureRateWeight * l.failureRate
		l.refusalRate -= failureRateWeight * l.refusalRate
		l.updateServiceTime(elapsed, now)
	case TargetError:
		l.connectionFailures = 0
		l.recordFailure()
		if elapsed > l.serviceTime {
			// Errors are often faster than answers; measuring them would make a failing target look like the best one.
			l.updateServiceTime(elapsed, now)
		}
	case Refused:
		if l.inFlight < l.target.Slots && l.estimateOtherRequests(now) < 1 {
			// The target had a free slot, so its refusal doesn't mean that it would refuse the next request.
			l.refusalRate += failureRateWeight * (1 - l.refusalRate)
			return
		}
		l.notBefore = max(l.notBefore, now.Add(refusalBackoff))
	case Failed, ConnectionLost:
		pause := min(connectionBackoff<<min(l.connectionFailures, 4), connectionBackoffMax)
		l.connectionFailures++
		l.recordFailure()
		l.notBefore = max(l.notBefore, now.Add(pause))
	case Abandoned, Unanswered:
		if elapsed > l.serviceTime {
			// Taking longer than the average without an answer shows that the target is slow.
			l.updateServiceTime(elapsed, now)
		}
	}
}

func (l *load) recordFailure() {
	l.failureRate += failureRateWeight * (1 - l.failureRate)
}

// penalty is the additional latency that is accepted elsewhere to avoid a target that fails or refuses part of its requests.
func (l *load) penalty() time.Duration {
	return time.Duration(max(0, l.failureRate-toleratedFailureRate)*float64(failurePenalty) +
		max(0, l.refusalRate-toleratedFailureRate)*float64(refusalPenalty))
}

func (l *load) recordReport(r *Report, now clock.Instant) {
	// The report may still count the request that it answers.
	l.otherRequests = max(0, float64(r.Running+r.Waiting-1-l.inFlight))
	l.otherRequestsAt = now
	l.slowdown, l.slowdownAt = r.Pace, now
}

// updateServiceTime adds a sample to the moving average of the service time. Queueing at the target isn't service time; it is
// estimated from the queue length and factored out.
func (l *load) updateServiceTime(elapsed time.Duration, now clock.Instant) {
	l.measured = true
	l.serviceTime = time.Duration((1-serviceTimeWeight)*float64(l.serviceTime) + serviceTimeWeight*l.serviceSample(elapsed, now))
}

// serviceSample returns the service time of a request at normal speed, without queueing at the target.
func (l *load) serviceSample(elapsed time.Duration, now clock.Instant) float64 {
	slots := float64(l.target.Slots)
	factor := l.currentSlowdown(now)
	if queued := float64(l.inFlight) + l.estimateOtherRequests(now) + 1 - slots; queued > 0 {
		factor *= 1 + queued/slots
	}
	return float64(elapsed) / max(factor, 0.1)
}

// ServiceTime returns the moving average of a target's service time.
func (b *Balancer) ServiceTime(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.loads[id]; l != nil {
		return l.serviceTime
	}
	return initialServiceTime
}
