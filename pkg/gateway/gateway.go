// Package gateway serves the target groups that this router holds: it queues, limits and forwards requests, and takes up
// and gives up groups and slices as the table demands.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/claim"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Cell sends messages to the other routers of the cell.
type Cell interface {
	// Members returns the other live routers of the cell.
	Members() []wire.Member
	// MirrorClaim stores a claim at a router.
	MirrorClaim(ctx context.Context, vm string, message *wire.MirrorClaim) (*wire.MirrorClaimReply, error)
	// FetchClaims returns all claims that a router has of a group, as one reply.
	FetchClaims(ctx context.Context, vm string, message *wire.FetchClaims) (*wire.ClaimsReply, error)
	// SendSuspects sends suspects to all members and returns once each has confirmed or failed.
	SendSuspects(ctx context.Context, message *wire.Suspects)
	// SendSuspectsToRegion sends suspects to the gateways of a pool in another region and returns once each has confirmed or
	// failed.
	SendSuspectsToRegion(ctx context.Context, region, pool string, message *wire.Suspects)
}

// Options are the collaborators of a gateway.
type Options struct {
	Authority exchange.Authority
	Clock     clock.Clock
	Log       *event.Logger
	Scope     tally.Scope
	Cell      Cell
	// ControllerReachable tells whether the cell's controller answers. While it doesn't, the gateway promotes recorded
	// successors itself. Nil means that it always answers.
	ControllerReachable func() bool
	// Remote returns the handler of another router by its peer address; nil if there is none.
	Remote func(address string) exchange.Handler
}

// maxAttempts bounds the attempts of a request of which nothing was sent: one for each target of a group and some for idle
// connections that a target has closed.
const maxAttempts = topology.MaxGroupTargets + 4

// Gateway implements exchange.Handler and exchange.LocalGateway.
type Gateway struct {
	Options
	metrics  metrics
	suspects *quarantine.Table
	mirror   *claim.Mirror
	control  *http.Client
	changed  chan struct{}
	// groups are the groups held, replaced as a whole.
	groups atomic.Pointer[map[topology.GroupID]*group]
	view   atomic.Pointer[exchange.View]

	mu sync.Mutex
	// retiring are groups that are being given up or have been released, until the table shows a newer holder.
	retiring []*group
	// former remembers the last holder of each group that a table has shown.
	former map[topology.GroupID]holder
	// released are groups that were given up, kept for their new holders.
	released map[topology.GroupID]releasedHold
	stopping bool
}

// holder is who held a group under which epoch.
type holder struct {
	vm    string
	epoch topology.Epoch
}

var (
	_ exchange.Handler      = (*Gateway)(nil)
	_ exchange.LocalGateway = (*Gateway)(nil)
)

// New returns a gateway that holds nothing yet.
func New(o Options) *Gateway {
	g := &Gateway{
		Options:  o,
		metrics:  newMetrics(o.Scope),
		control:  newControlClient(),
		changed:  make(chan struct{}, 1),
		former:   make(map[topology.GroupID]holder),
		suspects: quarantine.NewTable(o.Clock),
		mirror:   claim.NewMirror(o.Clock),
		released: make(map[topology.GroupID]releasedHold),
	}
	empty := make(map[topology.GroupID]*group)
	g.groups.Store(&empty)
	return g
}

// authorized tells whether the router may act at an instant.
func (gw *Gateway) authorized(now clock.Instant) bool {
	return now < gw.Authority.ValidUntil()
}

// Handle implements exchange.Handler.
func (gw *Gateway) Handle(ctx context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error) {
	gw.metrics.requests.Inc(1)
	g, err := gw.holding(request)
	if err != nil {
		return nil, err
	}
	return gw.serve(ctx, g, request, body)
}

// holding returns the group of a request if this router may serve it.
func (gw *Gateway) holding(request *wire.Request) (*group, error) {
	if !gw.authorized(gw.Clock.Now()) {
		return nil, refuse(http.StatusServiceUnavailable, problem.CodeNoAuthority, "the router's lease has expired", 0)
	}
	g, ok := (*gw.groups.Load())[request.Group]
	if !ok || request.GroupEpoch > g.epoch {
		return nil, refuse(http.StatusServiceUnavailable, problem.CodeStaleOwnership,
			"this router does not hold the group", 0)
	}
	return g, nil
}

// serve queues a request and forwards it. A target that cannot be connected to is replaced by another one, since nothing
// has been sent yet.
func (gw *Gateway) serve(ctx context.Context, g *group, request *wire.Request, body io.Reader) (*exchange.Response, error) {
	deadline := time.Now().Add(g.maxDeadline())
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	response, err := gw.screened(ctx, cancel, g, request, body, deadline)
	if err != nil {
		cancel()
	}
	return response, err
}

// attempts runs a request until a target has accepted it.
func (gw *Gateway) attempts(ctx context.Context, cancel context.CancelFunc, g *group, request *wire.Request, body io.Reader, w *waiter) (*exchange.Response, error) {
	for range maxAttempts {
		response, err := gw.try(ctx, cancel, g, request, body, w)
		unreachable := errors.Is(err, errUnreachable)
		if err == nil || !unreachable && !errors.Is(err, errUnsent) {
			return response, err
		}
		if unreachable && !g.canRetry(w) {
			break
		}
		w = w.again(unreachable)
	}
	if request.Keyed {
		// The entry router waits for the next owner.
		return nil, refuse(http.StatusServiceUnavailable, problem.CodeNoOwner, "the owner accepts no connection", sliceRetry)
	}
	return nil, refuse(http.StatusBadGateway, problem.CodeTargetFailed, "no target accepts a connection", time.Second)
}

// try admits and forwards a request once. It returns errUnsent or errUnreachable if nothing was sent.
func (gw *Gateway) try(ctx context.Context, cancel context.CancelFunc, g *group, request *wire.Request, body io.Reader, w *waiter) (*exchange.Response, error) {
	k, err := g.admit(ctx, request, w)
	if err != nil {
		return nil, err
	}
	f := forwarding{gateway: gw, group: g, ticket: k, request: request, deadline: w.deadline}
	return f.run(ctx, cancel, body)
}

// wakeControl announces that a report should not wait.
func (gw *Gateway) wakeControl() {
	select {
	case gw.changed <- struct{}{}:
	default:
	}
}

// Changed implements exchange.LocalGateway.
func (gw *Gateway) Changed() <-chan struct{} {
	return gw.changed
}

func sortedIDs(groups map[topology.GroupID]*group) []topology.GroupID {
	ids := make([]topology.GroupID, 0, len(groups))
	for id := range groups {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
