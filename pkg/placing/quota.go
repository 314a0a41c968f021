package placing

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

// An organisation may have a quota that holds for the requests of all VMs together. The load pattern is a steady demand near or above
// it, at VMs that differ widely, while VMs and brokers come and go. sharedrate decides which part of the quotas this broker may use; the
// broker counts each request once when it is admitted, so that it is refused early, and once when it is sent, since requests that were
// admitted over several seconds may be sent together after a stall.

// quotaWaitShare is the part of its remaining time for which an admitted request may wait until the quota permits to send it.
const quotaWaitShare = 0.5

// StartQuotas makes the broker use the quotas under a new ledger, because its VM has become the coordinator.
func (b *Broker) StartQuotas(o sharedrate.GranterOptions, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quotas = sharedrate.NewGranter(o, now)
}

// SetQuotaAuthority sets until when this VM is certainly the coordinator, and the VMs that it has stored as possible holders of shares.
func (b *Broker) SetQuotaAuthority(until clock.Instant, stored sharedrate.Holders, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.quotas != nil {
		b.quotas.SetAuthority(until, stored, now)
	}
}

// QuotaOffer returns what a connected VM is sent about its share of the quotas, nil if this VM isn't the coordinator.
func (b *Broker) QuotaOffer(vm string, now clock.Instant) *sharedrate.Offer {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.quotas == nil {
		return nil
	}
	o := b.quotas.Offer(vm, now)
	return &o
}

// QuotaAnswer records what a connected VM has sent about its share of the quotas.
func (b *Broker) QuotaAnswer(vm string, a sharedrate.Answer, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.quotas != nil {
		b.quotas.Answer(vm, a, now)
	}
}

// QuotaState returns the state of the ledger with at most count organisations, nil if this VM isn't the coordinator.
func (b *Broker) QuotaState(count int, now clock.Instant) *sharedrate.GranterState {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.quotas == nil {
		return nil
	}
	s := b.quotas.State(count, now)
	return &s
}

// QuotaHolders returns the VMs to store as possible holders of shares of the quotas. Unless any organisation has a quota, these are only
// those that may still hold one.
func (b *Broker) QuotaHolders(configured bool, now clock.Instant) sharedrate.Holders {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.quotas == nil || !configured && b.quotas.Idle(now) {
		return sharedrate.Holders{}
	}
	return b.quotas.Holders(now)
}

// quotaOf returns the quota of an organisation, and whether it has one.
func (b *Broker) quotaOf(organisation string) (sharedrate.Limit, bool) {
	if organisation == "" {
		return sharedrate.Limit{}, false
	}
	o := b.snapshot.Configuration.Organisations[organisation]
	if o == nil {
		return sharedrate.Limit{}, false
	}
	l := sharedrate.Limit{Rate: o.Rate, Burst: o.Burst}
	return l, l.Limited()
}

// admitQuota takes the token of a request from its organisation's quota. It returns the reason for a refusal, or "" if the request is
// admitted.
func (b *Broker) admitQuota(a PlacementRequest, now clock.Instant) (Reason, time.Duration) {
	l, limited := b.quotaOf(a.Organisation)
	if !limited {
		return "", 0
	}
	if b.quotas == nil {
		return ReasonNoShare, 0
	}
	if ahead := b.deferred[a.Organisation]; ahead > 0 && (a.Hedge || !a.Retry) && b.quotas.Level(now) > 0 {
		// Otherwise the requests admitted during a stall would make all later ones wait for as long as the demand exceeds the quota.
		return ReasonQuota, b.quotas.RefuseBehind(a.Organisation, l, ahead, now)
	}
	verdict, wait := b.quotas.Admit(a.Organisation, l, a.Retry, now)
	return QuotaReason(verdict), wait
}

// returnQuota gives back the token of a request that was admitted and will not be sent.
func (b *Broker) returnQuota(a PlacementRequest, now clock.Instant) {
	if l, limited := b.countedQuota(a.Organisation); limited {
		b.quotas.Return(a.Organisation, l, now)
	}
}

// returnPlacedQuota gives back the tokens of a request that was placed and will not be sent.
func (b *Broker) returnPlacedQuota(organisation string, now clock.Instant) {
	if l, limited := b.countedQuota(organisation); limited {
		b.quotas.Return(organisation, l, now)
		b.quotas.ReturnSent(organisation, l, now)
	}
}

// countedQuota returns the quota of an organisation, and whether this broker counts requests under it.
func (b *Broker) countedQuota(organisation string) (sharedrate.Limit, bool) {
	if b.quotas == nil || b.snapshot == nil || b.snapshot.Configuration == nil {
		return sharedrate.Limit{}, false
	}
	return b.quotaOf(organisation)
}

// sendQuota counts a request that is about to be sent. It reports whether the quota permits that.
func (b *Broker) sendQuota(w *waiter, now clock.Instant) bool {
	l, limited := b.quotaOf(w.Organisation)
	if !limited || b.quotas == nil {
		return !limited
	}
	return b.quotas.Send(w.Organisation, l, w.Retry, now)
}

// deferForQuota handles a request that has a free target and that the quota doesn't permit to send yet. It refuses the request if that
// would wait too long behind those of its organisation that wait for the same reason, and reports whether it did.
func (b *Broker) deferForQuota(w *waiter, now clock.Instant) bool {
	l, limited := b.countedQuota(w.Organisation)
	if !limited {
		return false
	}
	ahead := b.deferred[w.Organisation]
	if w.deferred {
		// Those ahead were counted when it began to wait.
		ahead = 0
	}
	if b.quotas.SendWait(w.Organisation, l, ahead, now) > time.Duration(quotaWaitShare*float64(w.deadline.Sub(now))) {
		b.undefer(w)
		d := Decision{Reason: ReasonQuota, Expected: b.quotas.RefuseBehind(w.Organisation, l, b.deferred[w.Organisation], now)}
		if b.quotas.Level(now) <= 0 {
			d.Reason = ReasonNoShare
		}
		b.refuseAdmitted(w, d, now)
		return true
	}
	if !w.deferred {
		w.deferred = true
		b.deferred[w.Organisation]++
	}
	return false
}

// undefer records that a request doesn't wait for the quota any more, because it is sent, leaves its queue or waits for a target.
func (b *Broker) undefer(w *waiter) {
	if !w.deferred {
		return
	}
	w.deferred = false
	if b.deferred[w.Organisation]--; b.deferred[w.Organisation] == 0 {
		delete(b.deferred, w.Organisation)
	}
}

// refuseAdmitted refuses a waiting request and gives its token back.
func (b *Broker) refuseAdmitted(w *waiter, d Decision, now clock.Instant) {
	b.recordRefusedWait(w, now)
	b.returnQuota(w.PlacementRequest, now)
	b.returnStep(w)
	b.resolve(w, d)
}

// QuotaReason returns the reason for the refusal of a token, "" if it was granted.
func QuotaReason(v sharedrate.Verdict) Reason {
	switch v {
	case sharedrate.OverLimit:
		return ReasonQuota
	case sharedrate.NoShare:
		return ReasonNoShare
	default:
		return ""
	}
}
