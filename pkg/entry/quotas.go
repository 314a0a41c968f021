package entry

import (
	"encoding/binary"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
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
		e.checked, e.configured = cfg, hasQuotas(cfg)
	}
	return e.configured
}

// startQuotas starts the ledger of this VM as the coordinator. stored is what the predecessor stored about the VMs.
func (c *Control) startQuotas(now clock.Instant, stored coordinator.Fleet) {
	inherited := holdersOf(stored)
	o := sharedrate.GranterOptions{Coordinator: max(1, c.coordinator.Version()), Allowance: c.settings.quotaAllowance(), Inherited: inherited, VM: c.settings.VM, Process: c.quota.Process(), QuietSince: c.quota.QuietSince()}
	// The own row names no predecessor.
	replaced, newest := c.coordinator.Replaced()
	o.Predecessor, o.Inherited.Broker = replaced.VM, replaced.Broker
	o.Address, o.PredecessorAddress = c.relayAddress(), replaced.Address
	resumed := c.coordinator.Terms() == c.quotaTerm
	c.quotaTerm = c.coordinator.Terms()
	if resumed || !newest {
		// A process that resumes its term has used the quotas itself until its lease lapsed.
		o.Predecessor, o.Inherited.Broker = c.settings.VM, sharedrate.RecentBroker
	}
	o.Own, o.OwnLentUntil = c.quota.Surrender(now)
	c.placer.broker.StartQuotas(o, now)
	c.placer.broker.SetQuotaAuthority(c.coordinator.LeaseEnd(), inherited, now)
	if len(inherited.Names) > 0 && c.quotasConfigured() {
		ended := c.placer.broker.QuotaState(0, now).PredecessorEnded
		c.log.Emit(event.QuotaPartUnknown, "for_ms", sharedrate.GrantTime.Milliseconds(), "predecessor_ended", ended)
	}
}

// shareQuotas updates the ledger on the coordinator, and logs changes of this VM's share on all others.
func (c *Control) shareQuotas(now clock.Instant, leading bool) {
	if !leading {
		c.logQuotaShare(now)
		return
	}
	c.placer.broker.SetQuotaAuthority(c.coordinator.LeaseEnd(), c.storedHolders(), now)
}

// storedHolders returns the VMs that the coordinator's row certainly names, whatever becomes of a write whose outcome isn't known.
func (c *Control) storedHolders() sharedrate.Holders {
	row, _ := c.coordinator.Leader()
	h := holdersOf(row.Fleet)
	if f, ok := c.coordinator.PendingFleet(); ok {
		h = h.Common(holdersOf(f))
	}
	return h
}

// logQuotaShare logs a new share, and whether this VM has begun to use it itself.
func (c *Control) logQuotaShare(now clock.Instant) {
	if !c.quotasConfigured() {
		return
	}
	s, e := c.quota.State(0, now), &c.quotaEvents
	share, local := s.Share, s.LentLeftMs == 0 && c.link == nil
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

// shareHolders returns what the coordinator stores about the VMs that may hold shares.
func (c *Control) shareHolders(now clock.Instant) (names []byte, maxShare float64, broker int64) {
	h := c.placer.broker.QuotaHolders(c.quotasConfigured(), now)
	return packNames(h.Names), h.MaxShare, h.Broker
}

// inheritedFleet returns what this VM stores about the VMs when it takes over. If the newest row of a coordinator was restored with the
// store, shares may have been granted under rows that the store has lost. Without any row, the deployment is taken for a new one.
func (c *Control) inheritedFleet(row coordinator.Leader) coordinator.Fleet {
	fleet := row.Fleet
	fleet.Broker = 0
	if fleet.MaxShare > 0 || c.quotasConfigured() || c.snapshot == nil || c.snapshot.Configuration == nil {
		fleet.Broker = sharedrate.RecentBroker
	}
	if c.coordinator.RowRestored() && row.VM != "" && (fleet.MaxShare > 0 || c.quotasConfigured()) {
		unknown := sharedrate.UnknownHolders()
		fleet.ShareHolders, fleet.MaxShare = packNames(unknown.Names), unknown.MaxShare
	}
	return fleet
}

func packNames(names []uint32) []byte {
	var packed []byte
	for _, n := range names {
		packed = binary.BigEndian.AppendUint32(packed, n)
	}
	return packed
}

func holdersOf(f coordinator.Fleet) sharedrate.Holders {
	h := sharedrate.Holders{MaxShare: f.MaxShare}
	for packed := f.ShareHolders; len(packed) >= 4; packed = packed[4:] {
		h.Names = append(h.Names, binary.BigEndian.Uint32(packed))
	}
	return h
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
		a := *r.Quota
		a.Address = f.Address
		c.placer.broker.QuotaAnswer(f.VM, a, c.clock.Now())
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

// dumpedOrganisations bounds the organisations that the dump lists with their use.
const dumpedOrganisations = 20

// quotaDump is the state of the quotas as shown to operators.
type quotaDump struct {
	Share sharedrate.HolderState `json:"share"`
	// Ledger is the coordinator's.
	Ledger *sharedrate.GranterState `json:"ledger,omitempty"`
}

// hasQuotas reports whether any organisation of a configuration has a quota.
func hasQuotas(cfg *inventory.Configuration) bool {
	for _, o := range cfg.Organisations {
		if o.Rate > 0 {
			return true
		}
	}
	return false
}

// quotaDump returns the state of the quotas. It may be called on any goroutine.
func (c *Control) quotaDump(organisations int) quotaDump {
	now := c.clock.Now()
	return quotaDump{Share: c.quota.State(organisations, now), Ledger: c.placer.broker.QuotaState(organisations, now)}
}

// quotaMetrics are the fractions of the quotas that this VM may use, without any label.
type quotaMetrics struct {
	share, usable, unknown tally.Gauge
}

func newQuotaMetrics(scope tally.Scope) quotaMetrics {
	s := scope.SubScope("quotas")
	return quotaMetrics{share: s.Gauge("share"), usable: s.Gauge("usable"), unknown: s.Gauge("unknown")}
}

// record updates the metrics. usable and unknown are 0 on VMs that aren't the coordinator.
func (m quotaMetrics) record(d quotaDump) {
	share := d.Share.Share
	if d.Share.GrantLeftMs == 0 {
		share = 0
	}
	m.share.Update(share)
	ledger := sharedrate.GranterState{}
	if d.Ledger != nil {
		ledger = *d.Ledger
	}
	m.usable.Update(ledger.Usable)
	m.unknown.Update(ledger.Unknown)
}
