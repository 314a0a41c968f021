package entry

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
)

// dumpedDemand bounds the entries of dump.Demand.
const dumpedDemand = 64

// dump is the state of a process as shown to operators.
type dump struct {
	VM            string `json:"vm"`
	Ready         bool   `json:"ready"`
	Configuration uint64 `json:"configuration_version"`
	// ConfigurationAgeMs is the time since the VM's newest information about the configuration.
	ConfigurationAgeMs int64 `json:"configuration_age_ms"`
	// Organisations are the organisations of the configuration, without their credentials.
	Organisations []*inventory.Organisation      `json:"organisations,omitempty"`
	Targets       []*inventory.Target            `json:"targets"`
	DomainsOut    map[string]bool                `json:"domains_out"`
	Routes        map[string][]coordinator.Route `json:"routes"`
	RoutesAgeMs   int64                          `json:"routes_age_ms"`
	// Quotas is the state of the organisations' quotas, with the organisations that have used the most of theirs.
	Quotas *quotaDump `json:"quotas,omitempty"`
	// Suspects are the requests that may crash targets, or are refused because they do. Their IDs are derived from the
	// requests.
	Suspects []quarantine.Record `json:"suspects"`
	// RateLimits are the rate limits that targets have named or withdrawn.
	RateLimits []ratelimit.Record `json:"rate_limits"`
	// HedgeDelaysMs is how long a request of each route is in flight before it may be sent to a second target.
	HedgeDelaysMs map[string]int64 `json:"hedge_delays_ms,omitempty"`
	// AdmitsByValue reports whether this VM admits requests by the value of their answers if it is the coordinator.
	AdmitsByValue bool `json:"admits_by_value,omitempty"`
	// Demand is what the coordinator has measured about the requests of each pool and priority, the busiest first.
	Demand []placing.Demand `json:"demand,omitempty"`
	// StoreEra is how often the store was restored from an older copy.
	StoreEra uint64 `json:"store_era"`
	// InterRegionBytes are the bytes sent to and received from other regions since the start, by kind.
	InterRegionBytes map[string]interregion.Volume `json:"inter_region_bytes"`
	// StartupMs is the time from the start of the process until it knew a configuration and targets, 0 before.
	StartupMs int64 `json:"startup_ms"`
}

// serveDump writes the state as JSON.
func (p *process) serveDump(w http.ResponseWriter, _ *http.Request) {
	view := p.control.Current()
	d := dump{VM: p.Settings.VM, Ready: p.ready(), Routes: view.Routes, RoutesAgeMs: time.Since(view.ReceivedAt).Milliseconds(),
		ConfigurationAgeMs: p.control.ConfigurationAge().Milliseconds(),
		Suspects:           p.control.suspects.Records(p.control.clock.Now()), RateLimits: p.control.limits.Records(p.control.clock.Now()),
		AdmitsByValue: p.control.placer.broker.AdmitsByValue(), StoreEra: p.control.storeEra.Load(), InterRegionBytes: p.InterRegion.Totals(),
		Demand: p.control.placer.broker.Demand(dumpedDemand, p.control.clock.Now()), StartupMs: time.Duration(p.control.startupTime.Load()).Milliseconds()}
	for route, delay := range p.hedger.Delays(p.control.clock.Now()) {
		if d.HedgeDelaysMs == nil {
			d.HedgeDelaysMs = map[string]int64{}
		}
		d.HedgeDelaysMs[route] = delay.Milliseconds()
	}
	if s := view.Snapshot; s != nil {
		d.DomainsOut = s.DomainsOut
		for _, t := range s.Targets {
			d.Targets = append(d.Targets, t)
		}
		if s.Configuration != nil {
			d.Configuration = s.Configuration.Version
			if hasQuotas(s.Configuration) {
				q := p.control.quotaDump(dumpedOrganisations)
				d.Quotas = &q
			}
			for _, name := range slices.Sorted(maps.Keys(s.Configuration.Organisations)) {
				d.Organisations = append(d.Organisations, s.Configuration.Organisations[name])
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected, which affects nothing else.
	_ = json.NewEncoder(w).Encode(d)
}
