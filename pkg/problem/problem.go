// Package problem writes error responses as problem details (RFC 9457). Each response states whether the target executed
// the request.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether the target executed the request.
type Outcome string

const (
	// Ran means that the target executed the request.
	Ran Outcome = "ran"
	// NotRun means that no target executed the request or will do so.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "unknown"
)

// HeaderOutcome is the header that carries the outcome in every response.
const HeaderOutcome = "Bronzelever-Outcome"

// Code is the machine-readable cause of an error response.
type Code string

// Codes of error responses. docs/callers.md describes each of them.
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

// Error is an error response and its outcome. It implements the error interface.
type Error struct {
	Status  int     `json:"status"`
	Code    Code    `json:"code"`
	Detail  string  `json:"detail"`
	Outcome Outcome `json:"outcome"`
	// RetryAfter is the delay before a retry; zero means that a retry is pointless.
	RetryAfter time.Duration `json:"-"`
	RequestID  string        `json:"request_id,omitempty"`
}

// New returns an Error without a retry delay.
func New(status int, code Code, outcome Outcome, detail string) *Error {
	return &Error{Status: status, Code: code, Outcome: outcome, Detail: detail}
}

// After sets the delay after which the caller should retry, and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Status, e.Code, e.Outcome, e.Detail)
}

// document is the JSON body of an error response.
type document struct {
	Type  string `json:"type"`
	Title string `json:"title"`
	*Error
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Write sends e as an application/problem+json response.
func Write(w http.ResponseWriter, e *Error) {
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		// Retry-After has whole seconds (RFC 9110), so the delay is rounded up; the body has it in milliseconds.
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	body := document{
		Type:         "urn:bronzelever:problem:" + string(e.Code),
		Title:        http.StatusText(e.Status),
		Error:        e,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
