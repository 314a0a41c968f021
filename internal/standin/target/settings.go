// Package target is a stand-in for a back end: it executes requests in a bounded number of slots, checks grants, reports
// health and load, and can be made to shed, slow down, freeze, start cold or crash. It keeps a record of what it executed,
// so that ownership and limits can be checked afterwards. It is for tests only.
package target

import (
	"encoding/json"
	"time"
)

// Settings describe a target's behaviour. They can be changed at run time by PUT /control; fields that the body doesn't
// name keep their values.
type Settings struct {
	ID string `json:"id" name:"id" default:"target" help:"ID of the target."`
	// Fenced targets check grants and refuse requests that no grant covers.
	Fenced bool `json:"fenced" help:"Check grants."`
	Slots  int  `json:"slots" default:"2" help:"Requests executed at once."`
	// WaitLimit bounds the requests that wait for a slot in the target.
	WaitLimit int `json:"wait_limit" default:"0" help:"Requests that may wait for a slot."`
	// Shed refuses requests beyond Slots and WaitLimit; without it they are executed and everything gets slower.
	Shed        bool `json:"shed" default:"true" negatable:"" help:"Refuse requests beyond slots and wait limit."`
	Connections int  `json:"connections" default:"120" help:"Connections accepted at once; others are reset."`

	// Cold makes the target start with ColdSlots until WarmAfter requests have succeeded.
	Cold       bool    `json:"cold" help:"Start cold."`
	ColdSlots  int     `json:"cold_slots" default:"1" help:"Slots while cold."`
	ColdFactor float64 `json:"cold_factor" default:"3" help:"Factor on the service time while cold."`
	WarmAfter  int     `json:"warm_after" default:"20" help:"Successful requests until warm."`
	// AnnounceCold adds "cold" to the load report.
	AnnounceCold bool `json:"announce_cold" help:"Report coldness in the load report."`

	ServiceMillis float64 `json:"service_ms" name:"service-ms" default:"5" help:"Mean service time."`
	// Spread is the largest relative deviation from ServiceMillis.
	Spread float64 `json:"spread" default:"0.2" help:"Largest relative deviation from the mean service time."`
	Seed   uint64  `json:"seed" default:"1" help:"Seed of the service times."`

	// SlowFactor multiplies service times. With SlowPeriodMillis it does so only in the first SlowOnMillis of each period.
	SlowFactor       float64 `json:"slow_factor" default:"1" help:"Factor on the service time."`
	SlowPeriodMillis int64   `json:"slow_period_ms" name:"slow-period-ms" default:"0" help:"Period of slow phases; 0 is always slow."`
	SlowOnMillis     int64   `json:"slow_on_ms" name:"slow-on-ms" default:"0" help:"Length of a slow phase."`

	Draining bool `json:"draining" help:"Report draining; requests are still executed."`
	// Frozen stops everything but control and record.
	Frozen bool `json:"frozen" help:"Start frozen."`
	// CrashMarker makes the process exit when it stands in the path, in the header Standin-Marker or in the first 64 KiB
	// of an order's body. Empty disables it.
	CrashMarker string `json:"crash_marker" default:"crash-target" help:"Requests with this marker end the process."`

	// IgnoreDeadline and IgnoreCancel keep executing after the deadline or after the connection was closed.
	IgnoreDeadline bool `json:"ignore_deadline" help:"Execute beyond the deadline."`
	IgnoreCancel   bool `json:"ignore_cancel" help:"Execute after the connection was closed."`

	// ReportLagMillis is the age up to which health and load reports lag.
	ReportLagMillis int64 `json:"report_lag_ms" name:"report-lag-ms" default:"0" help:"Age up to which reports lag."`
	// FalseInFlight replaces the number in flight in load reports if it isn't negative.
	FalseInFlight int `json:"false_in_flight" default:"-1" help:"Reported number in flight; -1 reports the truth."`
	// FalseHealth replaces the status in health reports if it isn't empty.
	FalseHealth string `json:"false_health" help:"Reported health status; empty reports the truth."`
	// ProbeMillis is the cost of one health or load report.
	ProbeMillis float64 `json:"probe_ms" name:"probe-ms" default:"0" help:"Time that a health or load report takes."`
}

// Defaults returns the settings of a target that behaves well. They equal the defaults of the command line.
func Defaults() Settings {
	return Settings{
		ID:            "target",
		Slots:         2,
		Shed:          true,
		Connections:   120,
		ColdSlots:     1,
		ColdFactor:    3,
		WarmAfter:     20,
		ServiceMillis: 5,
		Spread:        0.2,
		Seed:          1,
		SlowFactor:    1,
		CrashMarker:   "crash-target",
		FalseInFlight: -1,
	}
}

// merge returns the settings with the fields of a JSON object replaced.
func (s Settings) merge(body []byte) (Settings, error) {
	err := json.Unmarshal(body, &s)
	return s, err
}

func (s *Settings) slow(sinceStart time.Duration) float64 {
	if s.SlowPeriodMillis > 0 && sinceStart.Milliseconds()%s.SlowPeriodMillis >= s.SlowOnMillis {
		return 1
	}
	return s.SlowFactor
}

func millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
