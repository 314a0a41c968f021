// Package questionnaire turns the answers of a user into a configuration. Every generated setting names the answer that
// caused it. Unanswered questions take the safe side and are listed; contradictions between answers are findings.
package questionnaire

import "github.com/bronzelever/bronzelever/pkg/config"

// Answers is a filled-in questionnaire. Nil pointers are unanswered questions. docs/questionnaire.md explains each.
type Answers struct {
	// User names whose answers these are.
	User     string          `json:"user"`
	Regions  []config.Region `json:"regions"`
	Link     *Link           `json:"link"`
	Tenants  []Tenant        `json:"tenants"`
	Services []Service       `json:"services"`
}

// Link describes the link between the regions.
type Link struct {
	// BitsPerSecond is the capacity in one direction.
	BitsPerSecond int64 `json:"bits_per_second"`
	// RoutersPerRegion is the largest number of routers that share it.
	RoutersPerRegion int64 `json:"routers_per_region"`
}

// Tenant is a caller.
type Tenant struct {
	Name string `json:"name"`
	// HomeRegions binds all requests of the tenant; [] means any region.
	HomeRegions *[]string `json:"home_regions"`
}

// Service is what one pool of targets does.
type Service struct {
	Name    string          `json:"name"`
	Targets []config.Target `json:"targets"`
	// DividedByKey: does exactly one target own each key?
	DividedByKey *bool `json:"divided_by_key"`
	// Key: where does the key stand in a request?
	Key *config.KeySource `json:"key"`
	// MayBeRepeated and NeverTwice name requests of this service.
	MayBeRepeated []string `json:"may_be_repeated"`
	NeverTwice    []string `json:"never_twice"`
	// TargetsDeduplicate: does a target drop a repeated Idempotency-Key itself?
	TargetsDeduplicate *bool `json:"targets_deduplicate"`
	// TargetsCheckGrants: does a target refuse requests with an older epoch than granted?
	TargetsCheckGrants *bool `json:"targets_check_grants"`
	// NotRunReportsHold: may a target's report that it didn't execute a request be believed?
	NotRunReportsHold *bool `json:"not_run_reports_hold"`
	// Slots: how many requests does a target execute at once?
	Slots *int `json:"slots"`
	// Connections: how many connections does a target accept?
	Connections *int `json:"connections"`
	// ColdConcurrency: how many requests at once does a target bear just after its start?
	ColdConcurrency *int `json:"cold_concurrency"`
	// LongestExecution: how long may a target work on one request?
	LongestExecution *config.Milliseconds `json:"longest_execution_ms"`
	// ServedAgainWithin: how soon after a loss must a key be served again?
	ServedAgainWithin *config.Milliseconds `json:"served_again_within_ms"`
	// CallersRepeatFor: how long may callers send the same request again?
	CallersRepeatFor *config.Milliseconds `json:"callers_repeat_for_ms"`
	// QueueLimit, SlicesPerTarget and MovesPerMinute replace derived values.
	QueueLimit      *int      `json:"queue_limit"`
	SlicesPerTarget *int      `json:"slices_per_target"`
	MovesPerMinute  *int      `json:"moves_per_minute"`
	Requests        []Request `json:"requests"`
}

// Request is one kind of request to a service.
type Request struct {
	Name       string   `json:"name"`
	PathPrefix string   `json:"path_prefix"`
	Methods    []string `json:"methods"`
	// Class groups requests in reports; the request's name if empty.
	Class string `json:"class"`
	// ClassWeight: how much does one answered request count?
	ClassWeight *int `json:"class_weight"`
	// HomeRegions: in which regions may the request be served? [] means any.
	HomeRegions  *[]string            `json:"home_regions"`
	Deadline     *config.Milliseconds `json:"deadline_ms"`
	MaxBodyBytes *int64               `json:"max_body_bytes"`
}
