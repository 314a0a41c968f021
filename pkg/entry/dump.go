package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
)

// dump is the state of a process as shown to operators.
type dump struct {
	VM            string                         `json:"vm"`
	Ready         bool                           `json:"ready"`
	Configuration uint64                         `json:"configuration_version"`
	Targets       []*inventory.Target            `json:"targets"`
	DomainsOut    map[string]bool                `json:"domains_out"`
	Routes        map[string][]coordinator.Route `json:"routes"`
	RoutesAgeMs   int64                          `json:"routes_age_ms"`
	// Suspects are the requests that may crash targets, or are refused because they do. Their IDs are derived from the
	// requests.
	Suspects []quarantine.Record `json:"suspects"`
	// RateLimits are the rate limits that targets have named or withdrawn.
	RateLimits []ratelimit.Record `json:"rate_limits"`
	// StoreEra is how often the store was restored from an older copy.
	StoreEra uint64 `json:"store_era"`
}

// serveDump writes the state as JSON.
func (p *process) serveDump(w http.ResponseWriter, _ *http.Request) {
	view := p.control.Current()
	d := dump{VM: p.Settings.VM, Ready: p.ready(), Routes: view.Routes, RoutesAgeMs: time.Since(view.ReceivedAt).Milliseconds(),
		Suspects: p.control.suspects.Records(p.control.clock.Now()), RateLimits: p.control.limits.Records(p.control.clock.Now()),
		StoreEra: p.control.storeEra.Load()}
	if s := view.Snapshot; s != nil {
		d.DomainsOut = s.DomainsOut
		for _, t := range s.Targets {
			d.Targets = append(d.Targets, t)
		}
		if s.Configuration != nil {
			d.Configuration = s.Configuration.Version
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected, which affects nothing else.
	_ = json.NewEncoder(w).Encode(d)
}
