package placing

import (
	"math"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
)

const (
	// hedgeReserveShare is the share of the slots of a region's targets that must remain free when a hedge is placed, at least one
	// slot. Requests that arrive next need them more.
	hedgeReserveShare = 0.1
	// sameDomainPenalty is the additional latency that a hedge accepts to run in another failure domain than the first attempt,
	// since a slow response is often due to what the targets of a domain share.
	sameDomainPenalty = 100 * time.Millisecond
)

// placeHedge places a hedge if it needn't wait and takes nothing that other requests need, and refuses it otherwise. It is never
// queued. It reports whether the hedge was placed. The caller holds b.mu.
func (b *Broker) placeHedge(w *waiter, verdict quarantine.Verdict, now clock.Instant) bool {
	reason := ReasonOverload
	var l *load
	switch {
	case verdict != quarantine.Clear:
		reason = ReasonSuspected
	case !b.keyed(w.Pool):
		l = b.hedgeTarget(w, now)
	}
	if l != nil {
		// A hedge that isn't placed must not use up the budget.
		if reason = b.admitHedge(w, now); reason == "" {
			w.setForecast(time.Duration(forecastMargin * float64(w.scaled(l.expectedLatency(now)))))
			b.assign(w, l, now)
			return true
		}
	}
	w.reply(Decision{Reason: reason})
	return false
}

// admitHedge takes what a hedge needs of the organisation's quota and of the retry budget. It returns the reason for a refusal, or "".
func (b *Broker) admitHedge(w *waiter, now clock.Instant) Reason {
	if !b.budget.TakeRetry(w.Pool, now) {
		return ReasonRetryBudget
	}
	if !b.sendQuota(w, now) {
		b.budget.ReturnRetry(w.Pool, now)
		return ReasonQuota
	}
	return ""
}

// hedgeTarget returns the best target for a hedge, nil if there is none. A hedge doesn't run in a region where the request wasn't
// tried, because traffic between regions is billed, nor at targets that are cold or have named a rate limit. Nor does it run while other
// requests wait for that region; those that wait for another one have declined the free targets.
func (b *Broker) hedgeTarget(w *waiter, now clock.Instant) *load {
	regions, domains := b.triedPlaces(w)
	if b.waitsForRegion(b.queues[queueID{pool: w.Pool}], regions) {
		return nil
	}
	b.limits.refresh(b.loads, now)
	view := b.viewFor(w, w.backedOff, now)
	free, slots := map[string]int{}, map[string]int{}
	best, fastest := map[string]candidate{}, infinite
	for _, l := range b.eligibleTargets(w, now) {
		domain := l.target.Domain
		region := b.regionOf[domain]
		if !slices.Contains(regions, region) {
			continue
		}
		slots[region] += l.target.Slots
		if now < l.coldUntil || now < view.notBefore(l) || l.limit.limited {
			continue
		}
		score := l.expectedLatency(now) + l.penalty() + distancePenalty(b.regionOf, w.Domain, w.Region, domain, w.BodyBytes)
		fastest = min(fastest, score)
		if !view.isFree(l) {
			continue
		}
		free[region] += max(0, l.target.Slots-l.busy(now))
		rank := score
		if slices.Contains(domains, domain) {
			rank += sameDomainPenalty
		}
		if c, ok := best[region]; !ok || rank < c.rank {
			best[region] = candidate{load: l, rank: rank, score: score}
		}
	}
	var chosen candidate
	for _, region := range regions {
		c, ok := best[region]
		reserve := max(1, int(math.Ceil(hedgeReserveShare*float64(slots[region]))))
		if !ok || free[region] <= reserve || c.score > slowTargetFactor*fastest || c.score > w.TimeLeft {
			continue
		}
		if chosen.load == nil || c.rank < chosen.rank {
			chosen = c
		}
	}
	return chosen.load
}

// triedPlaces returns the regions and the failure domains of the targets to which the request was sent.
func (b *Broker) triedPlaces(w *waiter) (regions, domains []string) {
	for _, id := range w.Avoid {
		l := b.loads[id]
		if l == nil {
			continue
		}
		domains = append(domains, l.target.Domain)
		if region := b.regionOf[l.target.Domain]; !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	return regions, domains
}
