// Package filter defines the chain that a caller's request passes before it is sent to a gateway. Each filter has a
// folder of its own.
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

// Names of the request headers that callers use.
const (
	HeaderTenant         = "Bronzelever-Tenant"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Request-Timeout-Ms"
	HeaderRequestID      = "X-Request-Id"
	// HeaderHomeRegions names the regions that serve a request which came to another one.
	HeaderHomeRegions = "Bronzelever-Home-Regions"
)

// Exchange is a caller's request on its way through the chain. A filter sets the fields that it is responsible for before
// it calls the next one.
type Exchange struct {
	// Request is the caller's request. Only the filters after region read its body.
	Request *http.Request
	// Header receives header fields for the answer, whatever it is.
	Header http.Header
	// Interrupt ends reads of the caller's body and, shortly after, writes to the caller. It is called when the deadline
	// passes, because neither ends by the context. Nil if there is nothing to interrupt.
	Interrupt func()

	// ID is set by requestid.
	ID string
	// View is set by ready and stays the same for the whole chain.
	View *exchange.View
	// Route and Pool are set by route.
	Route *config.Route
	Pool  *config.Pool
	// Tenant and HomeRegions are set by region. Empty HomeRegions permit any region.
	Tenant      string
	HomeRegions []string
	// TenantBound tells that the tenant's home regions restrict where its keys may live.
	TenantBound bool
	// Key and Body are set by inputcheck.
	Key  string
	Body *Body
	// IdempotencyKey is set by idempotency for non-idempotent routes.
	IdempotencyKey string
	// Fingerprint is set by fingerprint.
	Fingerprint uint64
}

// Next runs the rest of the chain. An error is a *problem.Error.
type Next func(ctx context.Context, x *Exchange) (*exchange.Response, error)

// Filter is one step of the chain. It answers by itself or calls next.
type Filter interface {
	Handle(ctx context.Context, x *Exchange, next Next) (*exchange.Response, error)
}

// Chain combines filters; the last one doesn't call next.
func Chain(filters ...Filter) Next {
	next := Next(unanswered)
	for i := len(filters) - 1; i >= 0; i-- {
		f, rest := filters[i], next
		next = func(ctx context.Context, x *Exchange) (*exchange.Response, error) {
			return f.Handle(ctx, x, rest)
		}
	}
	return next
}

// unanswered ends a chain whose last filter called next.
func unanswered(context.Context, *Exchange) (*exchange.Response, error) {
	return nil, problem.New(http.StatusInternalServerError, problem.CodeNoRoute, problem.NotRun, "no filter answered the request")
}

// BadRequest refuses a request that can't be understood.
func BadRequest(detail string) *problem.Error {
	return problem.New(http.StatusBadRequest, problem.CodeBadRequest, problem.NotRun, detail)
}

// Single returns the value of a header field that may be given once. ok is false if it is given with different values.
func Single(h http.Header, name string) (value string, ok bool) {
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

// OnClose returns a body that calls f after it is closed for the first time.
func OnClose(body io.ReadCloser, f func()) io.ReadCloser {
	return &closeHook{ReadCloser: body, f: sync.OnceFunc(f)}
}

type closeHook struct {
	io.ReadCloser
	f func()
}

// Close implements io.Closer.
func (c *closeHook) Close() error {
	err := c.ReadCloser.Close()
	c.f()
	return err
}
