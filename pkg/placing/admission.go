package placing

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// onTimeServiceFactor is the part of the mean service time that must be left to the objective when a request is placed for it to count as
// one that can be answered on time. The service times of one kind differ by about a third.
const onTimeServiceFactor = 1.25

// ownerMaxWaitShare takes the place of maxWaitShare for owners of keys in pools whose kinds of requests are distinguished. A caller that is
// refused early can only come back to the same owner, and forecasts by kind are accurate enough to use more of the remaining time.
const ownerMaxWaitShare = 0.8

// maxWaitShare returns the part of its remaining time within which a new request must be expected to be answered.
func (b *Broker) maxWaitShare(w *waiter) float64 {
	if b.keyed(w.Pool) && b.distinguishesKinds(w.Pool) {
		return ownerMaxWaitShare
	}
	return maxWaitShare
}

// SetValueAdmission makes the broker admit requests by the value of their answers under overload in all pools: requests that are unlikely
// to be answered on time queue behind those that are likely to be, and the last request of a full queue gives way to a more urgent
// one. It is off by default. A deployment in which the kinds of requests of some pool are distinguished is always served like that.
func (b *Broker) SetValueAdmission(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.valueAdmission = on
}

// AdmitsByValue reports whether requests are admitted by the value of their answers.
func (b *Broker) AdmitsByValue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admitsByValue()
}

// admitsByValue is like AdmitsByValue. The caller holds b.mu.
func (b *Broker) admitsByValue() bool {
	if b.valueAdmission {
		return true
	}
	for _, p := range b.kinds {
		if p.distinguished {
			return true
		}
	}
	return false
}

// admissionForecast determines the place of a new request in its queue and returns the forecast for it.
func (b *Broker) admissionForecast(w *waiter, ps *poolState, now clock.Instant) (time.Duration, Reason) {
	if ps.limited {
		w.inOrderOfArrival(now)
		b.requeue(w)
		return b.forecastWithMargin(w, ps)
	}
	if now.Add(ps.minUsefulTime(w)) > w.objectiveEnd {
		w.late = true
		b.requeue(w)
	}
	if latency := b.forecastBesideOthers(w, ps, now); latency < infinite {
		return latency, ReasonOverload
	}
	latency, reason := b.forecastWithMargin(w, ps)
	if !w.late && b.onTimeForecast(w, ps, latency) > w.Objective {
		// The request queues behind those that can still meet their objective.
		w.late = true
		b.requeue(w)
		latency, reason = b.forecastWithMargin(w, ps)
	}
	return latency, reason
}

// maxLatency returns the forecast above which a new request is refused.
func (b *Broker) maxLatency(w *waiter, ps *poolState, now clock.Instant) time.Duration {
	latency := time.Duration(b.maxWaitShare(w) * float64(w.TimeLeft))
	if ps.limited && b.limitContended(w.queue, now) {
		// What a late request takes of the limit, one that could meet its objective would be refused for.
		return min(latency, w.Objective)
	}
	return latency
}

// onTimeForecast returns the latency that decides whether a new request with the given forecast can be answered on time. A forecast
// counts with the service time of the fastest target. Of a hundred averages of few samples, the shortest is far below the mean, while a
// request that has waited gets any target. With the forecast itself, most of the requests that are placed last under overload are late.
func (b *Broker) onTimeForecast(w *waiter, ps *poolState, latency time.Duration) time.Duration {
	if len(ps.targets) < 2 || ps.throughput <= 0 || latency == infinite || !b.admitsByValue() {
		return latency
	}
	mean := secondsToDuration(onTimeServiceFactor * float64(ps.slots) / ps.throughput)
	return latency + time.Duration(forecastMargin*float64(max(0, w.scaled(mean-ps.fastest))))
}

// makeRoom refuses the last request of a queue that is full, so that a new one ahead of it can wait.
func (b *Broker) makeRoom(w *waiter, ps *poolState, now clock.Instant) {
	queue := b.queues[w.queue]
	if len(queue) <= maxQueueLength || !b.admitsByValue() {
		return
	}
	if last := queue[len(queue)-1]; last != w {
		latency, reason := ps.forecast(last, len(queue)-1, workAhead(queue, len(queue)-1))
		b.refuseAdmitted(last, ps.refusal(last, latency, reason), now)
	}
}

// minTimeLeft returns the time before its deadline at which a waiting request is refused because no target is likely to answer it.
func (b *Broker) minTimeLeft(w *waiter, ps *poolState) time.Duration {
	needed := ps.minUsefulTime(w)
	if b.admitsByValue() && ps.fastest < infinite {
		needed = max(needed, w.scaled(ps.fastest))
	}
	return needed
}

// timelyCandidate returns the given candidate if its target is likely to answer the request by its deadline, else the fastest free target
// that is, if there is one. A request that is sent although it is unlikely to be answered costs a target's time for nothing.
func (b *Broker) timelyCandidate(c candidate, w *waiter, ps *poolState, now clock.Instant) candidate {
	left := w.deadline.Sub(now)
	if c.load == nil || !b.admitsByValue() || w.scaled(c.load.expectedLatency(now)) <= left {
		return c
	}
	c.load = nil
	fastest := infinite
	for i := range ps.domains {
		d := &ps.domains[i]
		if d.freeTarget == nil {
			continue
		}
		if latency := w.scaled(d.freeTarget.expectedLatency(now)); latency <= left && latency < fastest {
			fastest = latency
			c.load, c.score = d.freeTarget, w.scaled(d.freeLatency)+distancePenalty(b.regionOf, w.Domain, w.Region, d.name, w.BodyBytes)
		}
	}
	return c
}
