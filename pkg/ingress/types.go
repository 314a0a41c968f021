// Package ingress serves callers' requests: it matches a route, has a target chosen, retries where that is safe and responds
// before the caller's deadline even if targets fail.
package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
)

// NoKey is the value of RequestMeta.Key for a request without a key.
const NoKey = -1

// RequestMeta is the metadata that a caller sends with its request.
type RequestMeta struct {
	ID string
	// RemainingTimeout is how long the caller continues to wait, or zero if the request doesn't specify it.
	RemainingTimeout time.Duration
	// Key is NoKey if the request has no key.
	Key int
	// Caller is the caller's credential, or empty if the request has none.
	Caller string
}

// ResponseMeta is the metadata that a target sends with its response.
type ResponseMeta struct {
	ID string
	// NotRun is set if the target did not execute the request and never will.
	NotRun bool
	// Leaving is set if the target is shutting down and wants no new requests.
	Leaving bool
	// Signed is set if the response was produced by a target's service.
	Signed  bool
	Load    placing.Report
	HasLoad bool
	// RetryAfter is the back-off that a target asks of this VM when it refuses a request. RetryAfterInvalid is set if the
	// target asked for one in a form that can't be parsed.
	RetryAfter        time.Duration
	RetryAfterInvalid bool
	// RateLimit is how many requests per second the target takes from all VMs together.
	RateLimit ratelimit.Notice
}

// Dialect reads and writes the header fields that callers and targets use.
type Dialect interface {
	ReadRequest(h http.Header) (RequestMeta, error)
	RequestID(h http.Header) string
	SetRequestHeaders(h http.Header, target string, left time.Duration)
	// Credentials returns the values of all credential fields of a caller's request.
	Credentials(h http.Header) []string
	// SetOrganisation removes all credential and organisation fields from the header of a request to a target, and sets the
	// organisation that sent the request unless it is empty. It is called only if organisations are configured.
	SetOrganisation(h http.Header, name string)
	SetResponseID(h http.Header, id string)
	ReadResponse(status int, h http.Header) ResponseMeta
}

// View is an immutable snapshot of the routing state.
type View struct {
	Snapshot *inventory.Snapshot
	// Routes are the key slices of the keyed pools, sorted.
	Routes map[string][]coordinator.Route
	// ReceivedAt is when Routes was received. The waiting times in Routes count from then.
	ReceivedAt time.Time
	// Changed is closed when a newer view is available.
	Changed chan struct{}
}

// State provides the current view of the routing state and records what requests reveal about keys and targets.
type State interface {
	Current() *View
	// RecordKeyUse records a request for a key of a pool.
	RecordKeyUse(pool string, key int)
	// RecordTargetLeaving records that a target has announced in a response that it is shutting down.
	RecordTargetLeaving(instance inventory.Incarnation)
}

// Placer asks the VM that currently places the requests of all VMs for a target.
type Placer interface {
	// Place waits for a decision. It returns ok == false if there is no VM to ask, in which case the request is placed locally.
	// The placement is nil if the decision names no target.
	Place(ctx context.Context, a placing.PlacementRequest) (p Placement, v placing.Decision, ok bool)
}

// Placement is a place for one request that is reserved at a target.
type Placement interface {
	// Done releases the place and reports how the request ended.
	Done(elapsed time.Duration, ending placing.Result, report *placing.Report)
	// Withdraw releases the place of a request that was not sent and will not be sent there.
	Withdraw()
}

// outcome is the result of an attempt at a target.
type outcome int

const (
	// answered means that the target's response was received.
	answered outcome = iota
	// notRun means that the target stated that it did not execute the request.
	notRun
	// unsent means that no byte of the request was sent.
	unsent
	// unknown means that the target may have executed the request.
	unknown
	// expired means that the deadline passed, or the caller disconnected, after the request was sent.
	expired
	// cancelled means that the other attempt of a hedged request was answered first.
	cancelled
)

// String implements fmt.Stringer.
func (o outcome) String() string {
	return [...]string{"answered", "not-run", "unsent", "unknown", "expired", "cancelled"}[o]
}
