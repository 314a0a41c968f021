package placing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
)

const (
	// replayHop is the time that a message takes between a VM and a target of its failure domain. It takes longer between failure domains
	// and between regions.
	replayHop       = 2 * time.Millisecond
	replayDomainHop = replayHop + time.Millisecond
	replayRegionHop = replayHop + 8*time.Millisecond
	// wavePeriod is the period with which the load of a failure domain rises and falls.
	wavePeriod = 17 * time.Second
	// slowestShare of the requests take slowestFactor times as long as usual.
	slowestShare, slowestFactor = 0.03, 7
	// hotOwnerShare of the key owners get hotOwnerFactor times the mean rate.
	hotOwnerShare, hotOwnerFactor = 0.2, 2
	// slowMachineShare of the targets are slowed by slowMachineFactor, others each slowMachinePeriod.
	slowMachineShare, slowMachineFactor = 0.2, 3
	slowMachinePeriod                   = 400 * time.Millisecond
	// returnShare bounds the retry time that callers accept, as a part of their remaining time.
	returnShare = 1.0 / 3
)

// replayKind is a kind of request, with the value of an answer within the objective and of a later one.
type replayKind struct {
	name                      string
	priority                  int
	perTarget                 float64 // requests per second and target
	work, objective, deadline time.Duration
	onTimeValue, lateValue    float64
	retries                   int
	// spread is the standard deviation of the logarithm of the work; 0 means work from 0.7 to 1.3 times the mean.
	spread float64

	sent, onTime, late, refused, refusedAgain, held int
	overloadCounts
	// crossed counts the attempts that were sent to the other region.
	crossed int
}

func (k *replayKind) value() float64 {
	return float64(k.onTime)*k.onTimeValue + float64(k.late)*k.lateValue
}

func (k *replayKind) add(other *replayKind) {
	k.sent += other.sent
	k.onTime += other.onTime
	k.late += other.late
	k.refused += other.refused
	k.refusedAgain += other.refusedAgain
	k.held += other.held
	k.overloadCounts.add(other.overloadCounts)
	k.crossed += other.crossed
}

func (k *replayKind) share(count int) float64 {
	return float64(count) / float64(k.sent)
}

func (k *replayKind) String() string {
	return fmt.Sprintf("%s %d sent, %d on time, %d late, %d lost, %d refused again, %d held; %v", k.name, k.sent, k.onTime, k.late, k.refused, k.refusedAgain, k.held, k.overloadCounts)
}

// replaySpec is a recorded load: the same seed gives the same arrivals and work.
type replaySpec struct {
	kinds          []replayKind
	targets, slots int
	keyed, unequal bool
	// domains is the number of failure domains, one if 0. Targets belong to them in turn, and half of them are in each region.
	domains int
	// wave is the part by which the load of each failure domain rises and falls, with different phases.
	wave float64
	// single makes the broker use one service time for all kinds.
	single    bool
	duration  time.Duration
	seed      uint64
	rate      func(t time.Duration) float64
	configure func(*Broker)
	// insistent makes callers that are given a retry time beyond returnShare return after that share all the same.
	insistent bool
	// steady makes answers count only until the last arrival, since the drained queue of an overload that never ends earns nothing.
	steady bool
}

// replayTarget executes requests in its slots and queues others in the order of their arrival.
type replayTarget struct {
	*inventory.Target
	speed, pace float64
	running     int
	queue       []func()
	// busy holds the number of busy slots from each time on.
	busy []slotUse
}

type slotUse struct {
	from  clock.Instant
	count int
}

// setRunning changes the number of busy slots.
func (t *replayTarget) setRunning(change int, now clock.Instant) {
	t.running += change
	t.busy = append(t.busy, slotUse{now, t.running})
}

// idleFor reports whether a slot was idle for the given time between two times: whether a request could have been executed there without
// delaying any other.
func (t *replayTarget) idleFor(work time.Duration, from, to clock.Instant) bool {
	for i, use := range t.busy {
		end := to
		if i+1 < len(t.busy) {
			end = min(to, t.busy[i+1].from)
		}
		if use.count >= t.Slots {
			from = max(from, end)
		} else if end.Sub(from) >= work {
			return true
		}
	}
	return false
}

// replayRefusal is the first refusal of a request.
type replayRefusal struct {
	*replayRequest
	at clock.Instant
}

// replayRequest is one request with all its attempts.
type replayRequest struct {
	kind     *replayKind
	owner    int
	work     time.Duration
	at       clock.Instant
	attempts int
	// jitter is the random part of retry times. It is drawn in advance, so that the order of the queues doesn't matter.
	jitter float64
}

// replay plays a load on a broker and counts the outcomes.
type replay struct {
	*overloadSim
	spec     replaySpec
	kinds    []*replayKind
	targets  []*replayTarget
	byID     map[string]*replayTarget
	requests []*replayRequest
	end      clock.Instant
	refusals []replayRefusal
	regionOf map[string]string
	start    clock.Instant
	// paces holds the pace of each target for each slowMachinePeriod.
	paces [][]float64
}

func newReplay(spec replaySpec) *replay {
	r := &replay{overloadSim: &overloadSim{harness: &harness{now: clock.Instant(time.Second)}, random: rand.New(rand.NewPCG(spec.seed, 21))}, spec: spec, byID: map[string]*replayTarget{}, regionOf: map[string]string{}}
	r.start, r.spec.domains = r.now, max(1, spec.domains)
	for i := range r.spec.domains {
		r.regionOf[replayDomain(i)] = []string{"r", "s"}[2*i/max(2, spec.domains)]
	}
	var routes []*inventory.Route
	for _, k := range spec.kinds {
		r.kinds = append(r.kinds, &k)
		if spec.single {
			continue
		}
		routes = append(routes, &inventory.Route{Priority: k.priority, Objective: k.objective, PoolWeights: []inventory.PoolWeight{{Pool: "pool", Weight: 1}}})
	}
	var list []*inventory.Target
	for i := range spec.targets {
		t := &replayTarget{Target: &inventory.Target{ID: fmt.Sprintf("t%03d", i), Pool: "pool", Domain: replayDomain(i % r.spec.domains), Slots: spec.slots, Started: 1}, speed: 1, pace: 1}
		if spec.unequal {
			t.speed = 0.6 + r.random.Float64()
		}
		r.targets, r.byID[t.ID], list = append(r.targets, t), t, append(list, t.Target)
	}
	r.cfg = inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "pool", Keyed: spec.keyed}}, routes)
	r.b = NewBroker(r.regionOf, NewBrokerBudget(0.2, 60, 10*time.Second), quarantine.NewTracker(), ratelimit.NewTracker(), func(string, int) {})
	if spec.configure != nil {
		spec.configure(r.b)
	}
	r.b.Update(inventory.NewSnapshot(r.cfg, list, map[string]bool{}), func(_ string, key int) Owner { return Owner{Target: r.targets[key].ID} }, r.now)
	r.end = r.now.Add(spec.duration)
	r.record()
	r.recordPaces()
	return r
}

func replayDomain(i int) string { return string(rune('a' + i)) }

// record draws all arrivals.
func (r *replay) record() {
	for _, k := range r.kinds {
		for owner := range r.targets {
			rate := k.perTarget
			if r.spec.keyed {
				rate *= (1 - hotOwnerShare*hotOwnerFactor) / (1 - hotOwnerShare)
				if float64(owner) < hotOwnerShare*float64(len(r.targets)) {
					rate = k.perTarget * hotOwnerFactor
				}
			}
			const step = 10 * time.Millisecond
			for t := time.Duration(0); t < r.spec.duration; t += step {
				if r.random.Float64() >= rate*r.rateAt(t, owner)*step.Seconds() {
					continue
				}
				work := time.Duration(float64(k.work) * (0.7 + 0.6*r.random.Float64()))
				if k.spread > 0 {
					work = spreadWork(k, r.random)
				} else if r.random.Float64() < slowestShare {
					work *= slowestFactor
				}
				r.requests = append(r.requests, &replayRequest{kind: k, owner: owner, work: work, jitter: r.random.Float64(), at: r.now.Add(t + time.Duration(r.random.Int64N(int64(step))))})
			}
		}
	}
}

// recordPaces draws which machines are slow at which time.
func (r *replay) recordPaces() {
	for t := time.Duration(0); r.spec.unequal && t < r.spec.duration; t += slowMachinePeriod {
		paces := make([]float64, len(r.targets))
		for i := range paces {
			paces[i] = 1
			if r.random.Float64() < slowMachineShare {
				paces[i] = slowMachineFactor
			}
		}
		r.paces = append(r.paces, paces)
	}
}

// rateAt returns the factor of the rate of the requests from the failure domain of a target at a time.
func (r *replay) rateAt(t time.Duration, owner int) float64 {
	phase := float64(owner%r.spec.domains) / float64(r.spec.domains)
	factor := 1 + r.spec.wave*math.Sin(2*math.Pi*(t.Seconds()/wavePeriod.Seconds()+phase))
	if r.spec.rate != nil {
		factor *= r.spec.rate(t)
	}
	return factor
}

// play runs the load. It returns the value of all answers.
func (r *replay) play() float64 {
	for _, q := range r.requests {
		q.kind.sent++
		r.after(q.at.Sub(r.now), func() { r.attempt(q) })
	}
	for i, paces := range r.paces {
		r.after(time.Duration(i)*slowMachinePeriod, func() {
			for i, t := range r.targets {
				t.pace = paces[i]
			}
		})
	}
	r.run(r.spec.duration + 10*time.Second)
	total := 0.0
	for _, k := range r.kinds {
		total += k.value()
	}
	return total
}

// hop returns the time that a message takes between the origin of a request and a target, and whether it crosses regions.
func (r *replay) hop(q *replayRequest, t *replayTarget) (time.Duration, bool) {
	origin := r.targets[q.owner].Domain
	switch {
	case t.Domain == origin:
		return replayHop, false
	case r.regionOf[t.Domain] == r.regionOf[origin]:
		return replayDomainHop, false
	}
	return replayRegionHop, true
}

// attempt sends a request once.
func (r *replay) attempt(q *replayRequest) {
	r.seq++
	seq, spent := r.seq, r.now.Sub(q.at)
	left, decided := q.kind.deadline-spent, false
	q.attempts++
	origin := r.targets[q.owner].Domain
	a := PlacementRequest{VM: "vm", Domain: origin, Region: r.regionOf[origin], Seq: seq, Pool: "pool", Key: q.owner, Priority: q.kind.priority, Objective: q.kind.objective - spent, TimeLeft: left}
	r.after(left, func() {
		if !decided {
			decided = true
			q.kind.held++
			q.kind.refused++
			r.b.Cancel("vm", seq, r.now)
		}
	})
	arrived := r.now
	r.b.Place(a, func(v Decision) {
		decided = true
		q.kind.noteDecision(v, r.now.Sub(arrived), q.at.Add(q.kind.deadline).Sub(r.now))
		if v.Target == "" {
			r.refuse(q, v)
			return
		}
		t, sent := r.byID[v.Target], r.now
		hop, crosses := r.hop(q, t)
		if crosses {
			q.kind.crossed++
		}
		r.after(hop, func() { r.execute(q, t, seq, sent) })
	}, r.now)
}

// refuse makes the caller come back at the time that it is given, unless it has no retries or not enough time left.
func (r *replay) refuse(q *replayRequest, v Decision) {
	left := q.kind.deadline - r.now.Sub(q.at)
	if q.attempts > 1 {
		q.kind.refusedAgain++
	} else {
		r.refusals = append(r.refusals, replayRefusal{q, r.now})
	}
	delay := retryAfter(v.Expected, left, q.jitter)
	if r.spec.insistent {
		delay = min(delay, time.Duration(returnShare*float64(left)))
	}
	if q.attempts > q.kind.retries || float64(delay) > returnShare*float64(left) {
		q.kind.refused++
		return
	}
	r.after(delay, func() { r.attempt(q) })
}

func (r *replay) execute(q *replayRequest, t *replayTarget, seq uint64, sent clock.Instant) {
	if t.running >= t.Slots {
		t.queue = append(t.queue, func() { r.execute(q, t, seq, sent) })
		return
	}
	t.setRunning(1, r.now)
	r.after(replayWork(q, t), func() {
		t.setRunning(-1, r.now)
		report := &Report{Running: t.running + 1, Waiting: len(t.queue), Slots: t.Slots, Pace: t.pace}
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			next()
		}
		hop, _ := r.hop(q, t)
		r.after(hop, func() { r.answered(q, seq, sent, report) })
	})
}

// replayWork returns how long a target takes for a request at its present pace.
func replayWork(q *replayRequest, t *replayTarget) time.Duration {
	return time.Duration(float64(q.work) * t.pace / t.speed)
}

func (r *replay) answered(q *replayRequest, seq uint64, sent clock.Instant, report *Report) {
	took, result := r.now.Sub(q.at), Answered
	switch {
	case r.spec.steady && r.now > r.end:
	case took <= q.kind.objective:
		q.kind.onTime++
	case took <= q.kind.deadline:
		q.kind.late++
	default:
		q.kind.refused++
		result = Abandoned
	}
	r.b.Done("vm", seq, r.now.Sub(sent), result, report, r.now)
}

const ms = time.Millisecond

// ledgerSpec is the load of the pool "ledger" of the deployment "members" on some of its targets.
func ledgerSpec(seed uint64) replaySpec {
	return replaySpec{targets: 20, slots: 2, keyed: true, duration: 2 * time.Minute, seed: seed, kinds: []replayKind{
		{name: "payout", priority: 0, perTarget: 84.4 / 119, work: 96 * ms, objective: 400 * ms, deadline: 2500 * ms, onTimeValue: 2, lateValue: 0.4, retries: 2},
		{name: "browse", priority: 2, perTarget: 308.0 / 119, work: 300 * ms, objective: 1500 * ms, deadline: 6 * time.Second, onTimeValue: 0.52, lateValue: 0.39, retries: 2},
	}}
}

// finderSpec is the load of the pool "finder" of the deployment "transcripts" on some of its targets.
func finderSpec(seed uint64) replaySpec {
	return replaySpec{targets: 20, slots: 4, keyed: true, unequal: true, duration: 2 * time.Minute, seed: seed, kinds: []replayKind{
		{name: "search", priority: 0, perTarget: 303.0 / 165, work: 82 * ms, objective: 300 * ms, deadline: time.Second, onTimeValue: 2, lateValue: 0.6, retries: 1},
		{name: "browse", priority: 2, perTarget: 416.0 / 165, work: 520 * ms, objective: 1500 * ms, deadline: 4 * time.Second, onTimeValue: 1, lateValue: 0.3, retries: 1},
	}}
}

// stockSpec is the load of the pool "stock" of the deployment "members".
func stockSpec(seed uint64) replaySpec {
	return replaySpec{targets: 30, slots: 2, duration: 24 * time.Second, seed: seed, kinds: []replayKind{
		{name: "lookup", priority: 1, perTarget: 790.0 / 112, work: 120 * ms, objective: 500 * ms, deadline: 3 * time.Second, onTimeValue: 1, lateValue: 0.52, retries: 2},
	}}
}

// vaultSpec is the load of the pool "vault" of the deployment "transcripts" with 40% of the requests "search" of the pool "finder".
func vaultSpec(seed uint64) replaySpec {
	return replaySpec{targets: 60, slots: 4, unequal: true, duration: 24 * time.Second, seed: seed, kinds: []replayKind{
		{name: "search", priority: 0, perTarget: 120.0 / 126, work: 82 * ms, objective: 300 * ms, deadline: time.Second, onTimeValue: 2, lateValue: 0.6, retries: 1},
		{name: "archive", priority: 2, perTarget: 889.0 / 126, work: 200 * ms, objective: 800 * ms, deadline: 2 * time.Second, onTimeValue: 1, lateValue: 0.3, retries: 1},
	}}
}

// sealSpec is the load of the pool "seal" of the deployment "transcripts" on some of its targets.
func sealSpec(seed uint64) replaySpec {
	return replaySpec{targets: 60, slots: 4, unequal: true, duration: 24 * time.Second, seed: seed, kinds: []replayKind{
		{name: "certify", priority: 1, perTarget: 416.0 / 77, work: 270 * ms, objective: 1200 * ms, deadline: 3 * time.Second, onTimeValue: 2, lateValue: 0.6, retries: 1},
	}}
}

// bursts multiplies the rate by the given factor for 4 s of each 20 s.
func bursts(factor float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t%(20*time.Second) < 4*time.Second {
			return factor
		}
		return 1
	}
}
