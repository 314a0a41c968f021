package placing

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
)

// dispatchQueue places the waiting requests of a queue for which a slot is free.
func (b *Broker) dispatchQueue(id queueID, now clock.Instant) {
	b.dispatchWith(id, stateCache{b: b, now: now})
}

// dispatchWith is like dispatchQueue with the pool states that are already cached.
func (b *Broker) dispatchWith(id queueID, cache stateCache) {
	now := cache.now
	for i := 0; i < len(b.queues[id]); {
		w := b.queues[id][i]
		verdict, refusedFor := b.suspects.Verdict(w.Fingerprint, now)
		if verdict == quarantine.Quarantined {
			b.refuseAdmitted(w, Decision{Reason: ReasonQuarantined, Expected: refusedFor}, now)
			continue
		}
		w.suspected = verdict == quarantine.Suspected
		w.backedOff = b.backoffs.affects(w.vmID, now)
		ps := cache.get(w)
		if needed := b.minTimeLeft(w, ps); w.deadline.Sub(now) < needed {
			b.refuseAdmitted(w, Decision{Reason: ReasonOverload, Expected: needed}, now)
			continue
		}
		if !ps.available || b.yields(w, ps, now) || w.suspected && b.suspects.CopyInFlight(w.Fingerprint, now) {
			b.undefer(w)
			i++
			continue
		}
		c := b.bestCandidate(w, ps, now)
		if w.backedOff && c.load != nil && now < b.backoffs.until(c.load.target.Incarnation(), w.vmID) {
			// The shared pool state ignores the backoff of individual VMs, since computing a state for each VM is too expensive.
			ps = b.stateFor(w, now)
			c = b.bestCandidate(w, ps, now)
		}
		c = b.timelyCandidate(c, w, ps, now)
		if c.load == nil || !b.betterThanWaiting(c, w, ps, b.queues[id][:i], now) {
			b.undefer(w)
			i++
			continue
		}
		if !b.sendQuota(w, now) {
			if !b.deferForQuota(w, now) {
				i++
			}
			continue
		}
		b.assign(w, c.load, now)
		cache.invalidate()
	}
}

// candidate is the free target with the best score for a waiting request.
type candidate struct {
	load *load
	// rank is the score including localityPenalty. It selects among free targets, while score decides whether to take one.
	rank  time.Duration
	score time.Duration
	// fastest is the best score of all targets, free or not.
	fastest time.Duration
}

// betterThanWaiting reports whether a request with the given others ahead of it should take the free target now. A slow
// target is taken only by requests that would wait even longer for another one. Each request decides for itself: when the whole
// queue waited behind a first request that declined, slow targets stayed idle.
func (b *Broker) betterThanWaiting(c candidate, w *waiter, ps *poolState, ahead []*waiter, now clock.Instant) bool {
	if b.staysInRegion(c, w, ps, ahead, now) {
		return false
	}
	if c.score <= slowTargetFactor*c.fastest {
		return true
	}
	preferred := b.preferredState(ps, now)
	wait, _ := b.queueForecast(w, preferred, len(ahead), workAhead(ahead, len(ahead)), now)
	if preferred == ps {
		return c.score <= wait
	}
	// If waiting takes more than the time left, an attempt that may fail is better than none, but not one that ends too late.
	left := w.deadline.Sub(now)
	return (c.score <= wait || wait > left) && w.scaled(c.load.expectedLatency(now)) <= left
}

// bestCandidate returns the best free target for a waiting request; its load is nil if there is none.
func (b *Broker) bestCandidate(w *waiter, ps *poolState, now clock.Instant) candidate {
	best := candidate{rank: infinite, score: infinite, fastest: infinite}
	objective := w.objectiveEnd.Sub(now)
	for i := range ps.domains {
		d := &ps.domains[i]
		penalty := distancePenalty(b.regionOf, w.Domain, w.Region, d.name, w.BodyBytes)
		best.fastest = min(best.fastest, w.scaled(d.minLatency)+penalty)
		if d.freeTarget == nil {
			continue
		}
		score := w.scaled(d.freeLatency) + penalty
		if rank := score + localityPenalty(b.regionOf, w.Domain, w.Region, d.name, objective); rank < best.rank {
			best.load, best.rank, best.score = d.freeTarget, rank, score
		}
	}
	return best
}

func (b *Broker) isFree(l *load, now clock.Instant) bool {
	limit := l.target.Slots
	if now >= l.coldUntil && b.keyed(l.target.Pool) {
		limit += keyedExtraSlots
	}
	return l.busy(now) < b.backoffs.limit(l.target.Incarnation(), limit, now)
}

func (b *Broker) coldTokenAvailable(l *load, now clock.Instant) bool {
	return b.coldBucket(l, now).tokens >= 1
}

func (b *Broker) coldBucket(l *load, now clock.Instant) *tokenBucket {
	t := b.coldBuckets[l.target.ID]
	if t == nil {
		// The predecessor of a new broker may have sent a request just now.
		t = &tokenBucket{tokens: min(coldBurst, b.coldRate(l)*now.Sub(b.since).Seconds()), at: now}
		b.coldBuckets[l.target.ID] = t
	}
	t.tokens = min(coldBurst, t.tokens+b.coldRate(l)*now.Sub(t.at).Seconds())
	t.at = now
	return t
}

func (b *Broker) assign(w *waiter, l *load, now clock.Instant) {
	if now < l.coldUntil {
		b.coldBucket(l, now).tokens--
	}
	if l.limit.limited {
		l.limit.tokens--
	}
	l.inFlight++
	b.permits[requestID{w.VM, w.Seq}] = permit{target: l.target.ID, incarnation: l.target.Incarnation(), organisation: w.Organisation, rank: rankOf(w.Priority), forecastLeftMs: w.forecastLeft(now), start: now, end: w.deadline.Add(permitGrace)}
	b.suspects.Begin(quarantine.RunID{VM: w.VM, Seq: w.Seq}, w.Fingerprint, l.target.Incarnation(), now)
	b.noteServed(w)
	b.notePlaced(w, l, now)
	b.resolve(w, Decision{Target: l.target.ID, Expected: w.scaled(l.expectedLatency(now))})
}

// dispatchTarget places the waiting requests that a target may serve.
func (b *Broker) dispatchTarget(l *load, now clock.Instant) {
	if b.snapshot == nil || b.snapshot.Configuration == nil {
		return
	}
	id := queueID{pool: l.target.Pool}
	if b.keyed(id.pool) {
		id.owner = l.target.ID
	}
	b.dispatchQueue(id, now)
}

func (b *Broker) dispatchAll(now clock.Instant) {
	if b.snapshot == nil || b.snapshot.Configuration == nil {
		return
	}
	ids := make([]queueID, 0, len(b.queues))
	for id := range b.queues {
		ids = append(ids, id)
	}
	for _, id := range ids {
		b.dispatchQueue(id, now)
	}
}
