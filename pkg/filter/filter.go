// Package filter defines the filter chain that processes a caller's request before it is sent to a gateway. Each filter is
// implemented in a subpackage.
package filter

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

// Names of the HTTP headers exchanged with callers.
const (
	HeaderTenant         = "Bronzelever-Tenant"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Request-Timeout-Ms"
	HeaderRequestID      = "X-Request-Id"
	// HeaderHomeRegions is the response header that lists the home regions of a request received in another region.
	HeaderHomeRegions = "Bronzelever-Home-Regions"
)

// Exchange holds the state of a caller's request while the chain processes it. Each filter sets the fields that it is
// responsible for before it calls the next filter.
type Exchange struct {
	// Request is the caller's request. Only filters that run after the region filter may read its body.
	Request *http.Request
	// Header holds the header fields to add to the response, successful or not.
	Header http.Header
	// Interrupt unblocks reads of the caller's body and, shortly after, writes to the caller. It is called when the deadline
	// expires, because canceling the context ends neither. Interrupt is nil if there is nothing to interrupt.
	Interrupt func()

	// ID is the request ID, set by requestid.
	ID string
	// View is the snapshot of configuration and tables, set by ready. All later filters use the same snapshot.
	View *exchange.View
	// Route and Pool are set by route.
	Route *config.Route
	Pool  *config.Pool
	// Tenant and HomeRegions are set by region. If HomeRegions is empty, any region may serve the request.
	Tenant      string
	HomeRegions []string
	// TenantHasHomeRegions, set by region, reports whether the tenant's home regions restrict where its keys may be placed.
	TenantHasHomeRegions bool
	// Key and Body are set by inputcheck.
	Key  string
	Body *Body
	// IdempotencyKey is set by idempotency for non-idempotent routes.
	IdempotencyKey string
	// Fingerprint is the hash that identifies equal requests, set by fingerprint.
	Fingerprint uint64
}

// Next runs the remaining filters of the chain. A non-nil error is always a *problem.Error.
type Next func(ctx context.Context, x *Exchange) (*exchange.Response, error)

// Filter is one step of the chain. Handle either returns a response or an error itself, or calls next.
type Filter interface {
	Handle(ctx context.Context, x *Exchange, next Next) (*exchange.Response, error)
}

// Chain returns a Next that runs filters in the given order. The last filter must not call its next function.
func Chain(filters ...Filter) Next {
	next := Next(endOfChain)
	for i := len(filters) - 1; i >= 0; i-- {
		f, successor := filters[i], next
		next = func(ctx context.Context, x *Exchange) (*exchange.Response, error) {
			return f.Handle(ctx, x, successor)
		}
	}
	return next
}

// endOfChain is the next function of the last filter. It returns an internal server error.
func endOfChain(context.Context, *Exchange) (*exchange.Response, error) {
	return nil, problem.New(http.StatusInternalServerError, problem.CodeNoRoute, problem.NotRun, "no filter answered the request")
}

// BadRequest returns a 400 error for a malformed request that was not executed.
func BadRequest(detail string) *problem.Error {
	return problem.New(http.StatusBadRequest, problem.CodeBadRequest, problem.NotRun, detail)
}

// SingleHeaderValue returns the value of a header field that must have at most one distinct value, or "" if the field is
// absent. ok is false if the field occurs with different values.
func SingleHeaderValue(h http.Header, name string) (value string, ok bool) {
	values := h.Values(name)
	if len(values) == 0 {
		return "", true
	}
	for _, v := range values[1:] {
		if v != values[0] {
			return "", false
		}
	}
	return values[0], true
}

// OnClose wraps body so that f is called once, after the first call of Close.
func OnClose(body io.ReadCloser, f func()) io.ReadCloser {
	return &closeHook{ReadCloser: body, afterClose: sync.OnceFunc(f)}
}

// closeHook is a ReadCloser that calls afterClose after Close.
type closeHook struct {
	io.ReadCloser
	afterClose func()
}

// Close implements io.Closer.
func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	c.afterClose()
	return err
}
