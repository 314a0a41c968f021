// Package questionnaire generates a configuration from a user's answers to a questionnaire. A comment on each generated
// setting names the answer that determined it. Unanswered questions get a safe default and are listed; contradictions
// between answers are reported as findings.
package questionnaire

import "github.com/bronzelever/bronzelever/pkg/config"

// Answers is a completed questionnaire. A nil pointer is an unanswered question. docs/questionnaire.md explains each
// question.
type Answers struct {
	// User is the name of the user who gave the answers.
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
	// RoutersPerRegion is the maximum number of routers in a region that share the link.
	RoutersPerRegion int64 `json:"routers_per_region"`
}

// Tenant is a caller.
type Tenant struct {
	Name string `json:"name"`
	// HomeRegions lists the regions to which all requests of the tenant are restricted; [] means any region.
	HomeRegions *[]string `json:"home_regions"`
}

// Service describes a service that is provided by one pool of targets.
type Service struct {
	Name    string          `json:"name"`
	Targets []config.Target `json:"targets"`
	// DividedByKey: does exactly one target own each key?
	DividedByKey *bool `json:"divided_by_key"`
	// Key: which part of a request contains the key?
	Key *config.KeySource `json:"key"`
	// MayBeRepeated lists the names of requests that may be executed more than once, and NeverTwice the names of those that
	// must not. Both name entries of Requests.
	MayBeRepeated []string `json:"may_be_repeated"`
	NeverTwice    []string `json:"never_twice"`
	// TargetsDeduplicate: does a target itself discard a request whose Idempotency-Key it has already seen?
	TargetsDeduplicate *bool `json:"targets_deduplicate"`
	// TargetsCheckGrants: does a target refuse requests with an older epoch than granted?
	TargetsCheckGrants *bool `json:"targets_check_grants"`
	// NotRunReportsHold: can a target's report that it didn't execute a request be trusted?
	NotRunReportsHold *bool `json:"not_run_reports_hold"`
	// Slots: how many requests does a target execute concurrently?
	Slots *int `json:"slots"`
	// Connections: how many connections does a target accept?
	Connections *int `json:"connections"`
	// ColdConcurrency: how many concurrent requests can a target handle just after it starts?
	ColdConcurrency *int `json:"cold_concurrency"`
	// LongestExecution: how long may a target work on one request?
	LongestExecution *config.Milliseconds `json:"longest_execution_ms"`
	// ServedAgainWithin: how soon after a loss must a key be served again?
	ServedAgainWithin *config.Milliseconds `json:"served_again_within_ms"`
	// CallersRepeatFor: for how long may callers send the same request again?
	CallersRepeatFor *config.Milliseconds `json:"callers_repeat_for_ms"`
	// QueueLimit, SlicesPerTarget and MovesPerMinute override derived values.
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
	// Class groups requests in reports. If it is empty, the request's name is used.
	Class string `json:"class"`
	// ClassWeight: what is the weight of one answered request?
	ClassWeight *int `json:"class_weight"`
	// HomeRegions: in which regions may the request be served? [] means any.
	HomeRegions  *[]string            `json:"home_regions"`
	Deadline     *config.Milliseconds `json:"deadline_ms"`
	MaxBodyBytes *int64               `json:"max_body_bytes"`
}
