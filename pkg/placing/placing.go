// Package placing decides which target gets a request, or that none can serve it in time. It does no I/O.
package placing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
)

const (
	// initialService is assumed for a target that hasn't answered yet.
	initialService = 200 * time.Millisecond
	// serviceWeight is the weight of a new measurement of the service time.
	serviceWeight = 0.15
	// othersDecay is the time in which half of the requests that other VMs had at a target are taken to be over.
	othersDecay = 400 * time.Millisecond
	// paceMemory is how long a target's report of its machine's pace is used.
	paceMemory = 500 * time.Millisecond
	// domainPenalty is the latency that a request to another failure domain may cost instead; its bytes are billed.
	domainPenalty = 8 * time.Millisecond
	// regionPenalty is the same for another region, whose link is also narrow.
	regionPenalty = 60 * time.Millisecond
	// regionPenaltyPerKB is added for each KB of the body.
	regionPenaltyPerKB = 2 * time.Millisecond
	// regionShare is the part of the time until its objective that a request may lose to stay in its region, and domainShare in its
	// failure domain. An answer within the objective is as good as a faster one, and the link between regions is narrow: 9% of the
	// uploads of a calm day crossed it, since targets differ in speed by more than the distance costs.
	regionShare = 0.4
	domainShare = 0.04
	// refusedPause keeps a target without requests after it refused one because it was full.
	refusedPause = 40 * time.Millisecond
	// brokenPause keeps a target without requests after a connection failed; it doubles up to brokenPauseMax.
	brokenPause    = 250 * time.Millisecond
	brokenPauseMax = 2 * time.Second
	// failingWeight is the weight of the newest request in the share of failed ones.
	failingWeight = 0.08
	// failingUsual is the share of failures that a target may have on any day; a single one stays below it.
	failingUsual = 0.1
	// failurePenalty is the latency that a certain failure would be worth avoiding: most objectives are between 0.5 and 2 s.
	failurePenalty = 2 * time.Second
	// targetQueue is the number of requests that a target queues beyond its slots.
	targetQueue = 8
	// coldInterval is the time between requests of one VM to a cold target.
	coldInterval = 1100 * time.Millisecond
	// coldSharers is the number of VMs that may send to the same cold target. Together they send less than it bears.
	coldSharers = 3
)

// Report is a target's own account of its load.
type Report struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the target's machine at the moment; 1 is usual.
	Pace float64
	// ClosedFor is how long the target wants nothing from the VM that it refused. A report that tells nothing else has no slots.
	ClosedFor time.Duration
}

// load is what this VM knows about the load of one target.
type load struct {
	target *inventory.Target
	// coldUntil is when the target is warm, from its registration.
	coldUntil clock.Instant
	// inFlight counts the requests of this VM.
	inFlight int
	// others is the number of requests of other VMs at othersAt.
	others   float64
	othersAt clock.Instant
	pace     float64
	paceAt   clock.Instant
	// service is the smoothed service time at the usual pace, without queueing.
	service time.Duration
	// measured tells that the service time was measured since Measured was last called.
	measured     bool
	blockedUntil clock.Instant
	// closedUntil is until when the target wants nothing from this VM, or, at the broker, from any.
	closedUntil clock.Instant
	broken      int
	// failing is the smoothed share of the requests that the target failed.
	failing  float64
	lastCold clock.Instant
	everCold bool
}

// othersNow estimates the requests of other VMs at the target.
func (l *load) othersNow(now clock.Instant) float64 {
	age := now.Sub(l.othersAt)
	if age >= 8*othersDecay {
		return 0
	}
	return l.others * halfLife(age, othersDecay)
}

func halfLife(age, half time.Duration) float64 {
	x := float64(age) / float64(half)
	// A rational curve is close enough to the exponential and cheaper.
	return 1 / (1 + x*(0.7+0.3*x))
}

func (l *load) paceNow(now clock.Instant) float64 {
	if l.pace <= 0 || now.Sub(l.paceAt) > paceMemory {
		return 1
	}
	return l.pace
}

// expected is the time in which the target is likely to answer another request.
func (l *load) expected(now clock.Instant) time.Duration {
	slots := float64(l.target.Slots)
	queued := float64(l.inFlight) + l.othersNow(now) + 1 - slots
	service := float64(l.service) * l.paceNow(now)
	if queued > 0 {
		service *= 1 + queued/slots
	}
	return time.Duration(service)
}

// Need describes a request.
type Need struct {
	// Candidates are the targets that may run the request.
	Candidates []*inventory.Target
	// Avoid are targets that have failed this request.
	Avoid map[string]bool
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// Left is the time until the caller gets its last answer.
	Left time.Duration
	// Objective is the latency from now on within which an answer has its full worth.
	Objective time.Duration
}

// Choice is the outcome of a decision.
type Choice struct {
	// Target is nil if no target can serve the request in time.
	Target *inventory.Target
	// Expected is the time in which an answer is likely.
	Expected time.Duration
	// Reason tells why there is no target.
	Reason Reason
}

// Reason tells why a request can't be placed.
type Reason string

const (
	// ReasonNone means that there is no candidate.
	ReasonNone Reason = "no-target"
	// ReasonFull means that all candidates are too busy to answer in time.
	ReasonFull Reason = "overload"
	// ReasonPending means that the request's key has no owner at the moment.
	ReasonPending Reason = "key-pending"
	// ReasonBudget means that the budget for repeats is used up.
	ReasonBudget Reason = "repeat-budget"
	// ReasonMoved means that another VM places the requests now.
	ReasonMoved Reason = "broker-moved"
	// ReasonQuarantined means that the request has crashed several targets.
	ReasonQuarantined Reason = "quarantined"
	// ReasonSuspected means that the request may have crashed a target, and another copy of it is running.
	ReasonSuspected Reason = "suspected"
	// ReasonBlocked means that all candidates have just failed or refused a request, or are cold.
	ReasonBlocked Reason = "targets-blocked"
)

// Balancer knows the load of all targets. It is safe for concurrent use.
type Balancer struct {
	domain   string
	region   string
	regionOf map[string]string

	mu    sync.Mutex
	loads map[string]*load
	// index and count number the VMs, to share out cold targets; count is 0 while they are unknown.
	index, count int
}

// NewBalancer returns a balancer of a VM in the given failure domain.
func NewBalancer(domain, region string, regionOf map[string]string) *Balancer {
	return &Balancer{domain: domain, region: region, regionOf: regionOf, loads: map[string]*load{}}
}

// SetShare tells which of how many VMs this one is.
func (b *Balancer) SetShare(index, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.index, b.count = index, count
}

// Update takes the registered targets in. What is known about former lives is dropped.
func (b *Balancer) Update(s *inventory.Snapshot, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	updateLoads(b.loads, s, now)
}

func updateLoads(loads map[string]*load, s *inventory.Snapshot, now clock.Instant) {
	for id, t := range s.Targets {
		l := loads[id]
		if l == nil || l.target.Started != t.Started || l.target.Address != t.Address {
			l = &load{service: initialService, pace: 1}
			loads[id] = l
		}
		if l.target != t {
			l.coldUntil = now.Add(t.ColdFor)
		}
		l.target = t
	}
	for id := range loads {
		if s.Targets[id] == nil {
			delete(loads, id)
		}
	}
}

// Choose returns the target that is likely to answer first, with what other failure domains cost taken into account, and
// reserves a place at it. Done gives the place back.
func (b *Balancer) Choose(n Need, now clock.Instant) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := Choice{Reason: ReasonNone}
	var bestScore time.Duration
	for _, t := range n.Candidates {
		l := b.loads[t.ID]
		if l == nil || n.Avoid[t.ID] {
			continue
		}
		if now < max(l.blockedUntil, l.closedUntil) || !b.mayCold(l, now) {
			if best.Target == nil && (best.Reason == ReasonNone || best.Reason == ReasonBlocked && l.closedUntil.Sub(now) < best.Expected) {
				best.Reason, best.Expected = ReasonBlocked, max(0, l.closedUntil.Sub(now))
			}
			continue
		}
		expected := l.expected(now)
		if expected > n.Left || float64(l.inFlight)+l.othersNow(now) >= float64(l.target.Slots+targetQueue) {
			if best.Target == nil {
				best.Reason, best.Expected = ReasonFull, expected
			}
			continue
		}
		score := expected + l.penalty() + distance(b.regionOf, b.domain, b.region, t.Domain, n.BodyBytes) +
			preference(b.regionOf, b.domain, b.region, t.Domain, n.Objective) + time.Duration(rand.Int64N(int64(5*time.Millisecond)))
		if best.Target == nil || score < bestScore {
			best, bestScore = Choice{Target: t, Expected: expected}, score
		}
	}
	if best.Target != nil {
		b.begin(b.loads[best.Target.ID], now)
	}
	return best
}

func (b *Balancer) begin(l *load, now clock.Instant) {
	l.inFlight++
	if now < l.coldUntil {
		l.lastCold, l.everCold = now, true
	}
}

// mayCold tells whether a target may get a request although it is cold. Only a few VMs send to each cold target, each of
// them seldom, so that their sum stays below what it bears without any message between them.
func (b *Balancer) mayCold(l *load, now clock.Instant) bool {
	if now >= l.coldUntil {
		return true
	}
	if b.count == 0 {
		return false
	}
	turn := (b.index + int(hash(l.target.ID)%uint32(b.count))) % b.count
	return turn < coldSharers && (!l.everCold || now.Sub(l.lastCold) >= coldInterval)
}

// hash is FNV-1a.
func hash(text string) uint32 {
	h := uint32(2166136261)
	for i := range len(text) {
		h = (h ^ uint32(text[i])) * 16777619
	}
	return h
}

// distance is the latency that a request may cost elsewhere instead of going from the given place to a target's failure domain.
func distance(regionOf map[string]string, domain, region, target string, body int64) time.Duration {
	if target == domain {
		return 0
	}
	if regionOf[target] == region {
		return domainPenalty
	}
	return regionPenalty + time.Duration(body>>10)*regionPenaltyPerKB
}

// preference is what else a request may lose to a target nearer to its caller while it can still meet its objective.
func preference(regionOf map[string]string, domain, region, target string, objective time.Duration) time.Duration {
	share := regionShare
	switch {
	case target == domain:
		return 0
	case regionOf[target] == region:
		share = domainShare
	}
	return time.Duration(share * float64(max(0, objective)))
}

// Ending tells how a request to a target ended.
type Ending int

const (
	// Answered means that a complete answer arrived.
	Answered Ending = iota
	// Refused means that the target refused the request because it was full or didn't have the key.
	Refused
	// Failed means that the connection failed or the answer was unusable.
	Failed
	// Abandoned means that this VM ended the request, which says little about the target.
	Abandoned
	// Erred means that the target answered with an error of its own.
	Erred
	// Broken means that the connection ended after the request was sent and before an answer: the target may have crashed.
	Broken
)

// Fate tells what the end of a request says about whether it crashes targets.
func (e Ending) Fate() quarantine.Ending {
	switch e {
	case Answered, Erred:
		return quarantine.Served
	case Refused:
		return quarantine.Refused
	case Broken:
		return quarantine.Broken
	default:
		return quarantine.Unknown
	}
}

// Done gives a place back and takes the target's report in.
func (b *Balancer) Done(id string, elapsed time.Duration, how Ending, report *Report, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	if l == nil {
		return
	}
	l.inFlight = max(0, l.inFlight-1)
	l.note(elapsed, how, report, now)
	l.close(report, now)
}

// ClosedFor returns how much longer a target wants nothing from this VM.
func (b *Balancer) ClosedFor(id string, now clock.Instant) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	if l == nil {
		return 0
	}
	return max(0, l.closedUntil.Sub(now))
}

// close notes that the target wants nothing for a while.
func (l *load) close(report *Report, now clock.Instant) {
	if report != nil && report.ClosedFor > 0 {
		l.closedUntil = max(l.closedUntil, now.Add(report.ClosedFor))
	}
}

// Seen takes in how a request ended that was placed by the coordinator.
func (b *Balancer) Seen(id string, elapsed time.Duration, how Ending, report *Report, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.loads[id]; l != nil {
		l.note(elapsed, how, report, now)
		l.close(report, now)
	}
}

// note takes in how a request ended.
func (l *load) note(elapsed time.Duration, how Ending, report *Report, now clock.Instant) {
	if report != nil && report.Slots > 0 {
		l.take(report, now)
	}
	switch how {
	case Answered:
		l.broken = 0
		l.failing -= failingWeight * l.failing
		l.measure(elapsed, now)
	case Erred:
		l.broken = 0
		l.fail()
		if elapsed > l.service {
			// Errors are often faster than answers, which would make the target look like the best one.
			l.measure(elapsed, now)
		}
	case Refused:
		if l.inFlight < l.target.Slots && l.othersNow(now) < 1 {
			// The target had room, so that its refusal says nothing about the next request.
			l.fail()
			return
		}
		l.blockedUntil = max(l.blockedUntil, now.Add(refusedPause))
	case Failed, Broken:
		pause := min(brokenPause<<min(l.broken, 4), brokenPauseMax)
		l.broken++
		l.fail()
		l.blockedUntil = max(l.blockedUntil, now.Add(pause))
	case Abandoned:
		if elapsed > l.service {
			// A request that took longer than usual without an answer shows a slow target.
			l.measure(elapsed, now)
		}
	}
}

func (l *load) fail() {
	l.failing += failingWeight * (1 - l.failing)
}

// penalty is the latency that a request may cost elsewhere instead of going to a target that fails part of its requests.
func (l *load) penalty() time.Duration {
	return time.Duration(max(0, l.failing-failingUsual) * float64(failurePenalty))
}

func (l *load) take(r *Report, now clock.Instant) {
	// The report may still count the request that it comes with.
	l.others = max(0, float64(r.Running+r.Waiting-1-l.inFlight))
	l.othersAt = now
	l.pace, l.paceAt = r.Pace, now
}

// measure updates the service time. The time in the target's queue isn't service: it is estimated from the length.
func (l *load) measure(elapsed time.Duration, now clock.Instant) {
	slots := float64(l.target.Slots)
	factor := l.paceNow(now)
	if queued := float64(l.inFlight) + l.othersNow(now) + 1 - slots; queued > 0 {
		factor *= 1 + queued/slots
	}
	sample := float64(elapsed) / max(factor, 0.1)
	l.measured = true
	l.service = time.Duration((1-serviceWeight)*float64(l.service) + serviceWeight*sample)
}

// Service returns the smoothed service time of a target.
func (b *Balancer) Service(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.loads[id]; l != nil {
		return l.service
	}
	return initialService
}
