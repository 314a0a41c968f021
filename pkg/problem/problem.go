// Package problem writes error answers in the problem+json format of RFC 9457, with an explicit outcome.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells whether the target executed the request.
type Outcome string

const (
	// Ran means that the target executed the request.
	Ran Outcome = "ran"
	// NotRun means that no target executed the request or will do so.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "unknown"
)

// HeaderOutcome carries the outcome in every answer.
const HeaderOutcome = "Bronzelever-Outcome"

// Code is the machine-readable cause of a refusal.
type Code string

// Causes of refusals. docs/callers.md describes each.
const (
	CodeBadRequest     Code = "bad-request"
	CodeNoRoute        Code = "no-route"
	CodeBodyTooLarge   Code = "body-too-large"
	CodeNoKey          Code = "no-key"
	CodeOtherRegion    Code = "other-region"
	CodeNoAuthority    Code = "no-authority"
	CodeDraining       Code = "draining"
	CodeNoOwner        Code = "no-owner"
	CodeOverload       Code = "overload"
	CodeDeadline       Code = "deadline"
	CodeTargetFailed   Code = "target-failed"
	CodeClaimLost      Code = "claim-lost"
	CodeInProgress     Code = "in-progress"
	CodeQuarantined    Code = "quarantined"
	CodeNoIdempotency  Code = "no-idempotency-key"
	CodeGatewayLost    Code = "gateway-lost"
	CodeLinkBudget     Code = "link-budget"
	CodeStaleOwnership Code = "stale-ownership"
)

// Error is a refusal with its outcome. It implements error.
type Error struct {
	Status  int     `json:"status"`
	Code    Code    `json:"code"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
	// RetryAfter is zero where coming back makes no sense.
	RetryAfter time.Duration `json:"-"`
	RequestID  string        `json:"request_id,omitempty"`
}

// New returns a refusal.
func New(status int, code Code, outcome Outcome, detail string) *Error {
	return &Error{Status: status, Code: code, Outcome: outcome, Detail: detail}
}

// After sets when the caller should come back.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Status, e.Code, e.Outcome, e.Detail)
}

type document struct {
	Type  string `json:"type"`
	Title string `json:"title"`
	*Error
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Write sends the refusal as problem+json.
func Write(w http.ResponseWriter, e *Error) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		// Retry-After counts whole seconds (RFC 9110); the body carries the exact value.
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	doc := document{
		Type:         "urn:bronzelever:problem:" + string(e.Code),
		Title:        http.StatusText(e.Status),
		Error:        e,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
	// A write error means that the caller is gone.
	_ = json.NewEncoder(w).Encode(doc)
}
