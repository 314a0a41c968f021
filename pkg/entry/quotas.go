package entry

import (
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

// quotaEvents is what was logged last about this VM's share of the quotas, and the configuration that it was checked for.
type quotaEvents struct {
	checked    *inventory.Configuration
	configured bool
	share      float64
	local      bool
}

// quotasConfigured reports whether any organisation has a quota.
func (c *Control) quotasConfigured() bool {
	if c.snapshot == nil || c.snapshot.Configuration == nil {
		return false
	}
	cfg, e := c.snapshot.Configuration, &c.quotaEvents
	if e.checked != cfg {
		e.checked, e.configured = cfg, false
		for _, o := range cfg.Organisations {
			e.configured = e.configured || o.Rate > 0
		}
	}
	return e.configured
}

// startQuotas starts the ledger of this VM as the coordinator. inherited tells whether VMs may hold shares that a predecessor granted.
func (c *Control) startQuotas(now clock.Instant, inherited bool) {
	o := sharedrate.GranterOptions{Coordinator: max(1, c.coordinator.Version()), Allowance: sharedrate.DefaultAllowance, Inherited: inherited}
	o.Own, o.OwnLentUntil = c.quota.Surrender(now)
	c.placer.broker.StartQuotas(o, now)
	c.placer.broker.SetQuotaAuthority(c.coordinator.LeaseEnd(), inherited, now)
	if inherited && c.quotasConfigured() {
		c.log.Emit(event.QuotaPartUnknown, "for_ms", sharedrate.GrantTime.Milliseconds())
	}
}

// shareQuotas updates the ledger on the coordinator, and logs changes of this VM's share on all others.
func (c *Control) shareQuotas(now clock.Instant, leading bool) {
	if !leading {
		c.logQuotaShare(now)
		return
	}
	row, _ := c.coordinator.Leader()
	c.placer.broker.SetQuotaAuthority(c.coordinator.LeaseEnd(), row.Shares, now)
}

// logQuotaShare logs a new share, and whether this VM has begun to use it itself.
func (c *Control) logQuotaShare(now clock.Instant) {
	if !c.quotasConfigured() {
		return
	}
	s, e := c.quota.State(0, now), &c.quotaEvents
	share, local := s.Share, s.LentLeftMs == 0
	if s.GrantLeftMs == 0 {
		share = 0
	}
	if share > 0 && e.share == 0 {
		c.log.Emit(event.QuotaShareGranted, "share", share)
	}
	if local && (!e.local || share == 0 && e.share > 0) {
		c.log.Emit(event.QuotaSharedLocally, "share", share, "for_ms", s.GrantLeftMs)
	}
	e.share, e.local = share, local
}

// sharesPossible reports whether VMs may hold shares of the quotas, now or soon.
func (c *Control) sharesPossible(now clock.Instant) bool {
	return c.quotasConfigured() || !c.placer.broker.QuotaLedgerIdle(now)
}

// quotaOffer returns what a VM is sent about its share of the quotas, nil if no organisation has one.
func (c *Control) quotaOffer(f *replica.Follower, now clock.Instant) *sharedrate.Offer {
	if !c.quotasConfigured() {
		return nil
	}
	return c.placer.broker.QuotaOffer(f.VM, now)
}

// recordQuotaAnswer records what a VM has sent about its share. It is called on the connection's goroutine, so that the broker can use
// the share at once.
func (c *Control) recordQuotaAnswer(f *replica.Follower, r replica.Report) {
	if r.Quota != nil && !f.TablesOnly {
		c.placer.broker.QuotaAnswer(f.VM, *r.Quota, c.clock.Now())
	}
}

// applyQuotaOffer applies what the coordinator has sent about this VM's share. The first offer of a coordinator is answered at once,
// since the broker can't use the share before that.
func (c *Control) applyQuotaOffer(l *replica.Link, u replica.Update, now clock.Instant) {
	if u.Quota == nil || !c.quota.Offer(*u.Quota, now) {
		return
	}
	if a, ok := c.quota.Answer(now); ok {
		l.SendReport(replica.Report{Quota: &a})
	}
}

// quotaAnswer returns what to report about this VM's share, nil if the coordinator has offered nothing.
func (c *Control) quotaAnswer(now clock.Instant) *sharedrate.Answer {
	if a, ok := c.quota.Answer(now); ok {
		return &a
	}
	return nil
}

// sendBy returns until when a request with a quota may be sent that got its token at a time, 0 if it has none.
func sendBy(limited bool, at clock.Instant) clock.Instant {
	if !limited {
		return 0
	}
	return at.Add(sharedrate.DefaultAllowance.MaxSendDelay())
}
