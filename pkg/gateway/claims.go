package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/claim"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// defaultRepeatWindow applies to pools without a configured one.
const defaultRepeatWindow = time.Minute

// claimSource tells where the claims of a newly held group come from.
type claimSource struct {
	// empty tells that the group had no holder before.
	empty bool
	// own is an earlier hold of this router.
	own    *claim.Holder
	former claim.FormerHolder
}

// startClaims prepares the claims of a group whose pool has orders.
func (gw *Gateway) startClaims(g *group, view *exchange.View, source claimSource) {
	if !hasOrders(view.Config, g.pool.Name) {
		return
	}
	h := claim.NewHolder(gw.claimSettings(g, view), gw.Clock, gw.Cell)
	g.claims = h
	switch {
	case source.empty:
		h.StartEmpty()
	case source.own != nil:
		h.StartFrom(source.own)
	default:
		local := func() wire.ClaimsReply { return gw.localClaims(view.VM, g.id) }
		h.StartRecover(source.former, g.longest(), local, func(found bool, claims int) {
			if found {
				gw.Log.Emit(event.ClaimsRecovered, "group", g.id, "claims", claims)
				return
			}
			gw.Log.Emit(event.ClaimsLost, "group", g.id, "window", h.Window)
		})
	}
}

func hasOrders(c *config.Config, pool string) bool {
	for i := range c.Routes {
		if c.Routes[i].Pool == pool && !c.Routes[i].Idempotent {
			return true
		}
	}
	return false
}

// claimSettings restricts mirrors to the group's region: what the group runs may be stored there.
func (gw *Gateway) claimSettings(g *group, view *exchange.View) claim.Settings {
	window := g.pool.RepeatWindow.Duration()
	if window <= 0 {
		window = defaultRepeatWindow
	}
	region := view.Config.RegionOf(g.id.Domain())
	return claim.Settings{
		Group:        g.id,
		Epoch:        g.epoch,
		Window:       window,
		Deduplicates: g.pool.Deduplicates,
		Eligible:     func(m wire.Member) bool { return gw.regionOf(m) == region },
		Preferred:    func(m wire.Member) bool { return m.Domain != g.id.Domain() },
		OnMirrorLost: func(vm string) { gw.Log.Emit(event.ClaimMirrorLost, "group", g.id, "mirror", vm) },
	}
}

func (gw *Gateway) regionOf(m wire.Member) string {
	return gw.view.Load().Config.RegionOf(m.Domain)
}

// needsClaim tells whether an order has to be claimed here.
func needsClaim(request *wire.Request) bool {
	return !request.Idempotent && !request.Claimed && request.IdempotencyKey != ""
}

// claimed claims the idempotency key of an order before it runs and records what became of it.
func (gw *Gateway) claimed(ctx context.Context, cancel context.CancelFunc, g *group, request *wire.Request, body io.Reader, w *waiter) (*exchange.Response, error) {
	if !needsClaim(request) {
		return gw.attempts(ctx, cancel, g, request, body, w)
	}
	if g.claims == nil {
		return nil, refuse(http.StatusServiceUnavailable, problem.CodeStaleOwnership,
			"the router does not know yet that the pool has orders", time.Second)
	}
	if !g.beginClaim() {
		return nil, refuse(http.StatusServiceUnavailable, problem.CodeStaleOwnership, "the group is being given up", 0)
	}
	defer g.endClaim()
	key := claim.Key(request.Tenant, request.IdempotencyKey)
	decision := g.claims.Claim(ctx, key, request.Fingerprint)
	if decision.Verdict != claim.Run {
		return gw.repeated(request, cancel, &decision)
	}
	response, err := gw.execute(ctx, cancel, g, request, body, w)
	if err != nil {
		settleRefused(g.claims, key, err)
		return nil, err
	}
	if response.Head.Outcome != string(problem.Ran) {
		g.claims.Unknown(key)
		return response, nil
	}
	return recordAnswer(g.claims, key, response), nil
}

// settleRefused frees the claim only if the order certainly didn't run.
func settleRefused(h *claim.Holder, key string, err error) {
	var refusal *problem.Error
	if errors.As(err, &refusal) && refusal.Outcome == problem.NotRun {
		h.Free(key)
		return
	}
	h.Unknown(key)
}

// recordedBody is an answer whose first part was read for the record.
type recordedBody struct {
	io.Reader
	io.Closer
}

// recordAnswer records the answer of an order that ran. A small answer is read completely before it is passed on.
func recordAnswer(h *claim.Holder, key string, response *exchange.Response) *exchange.Response {
	head, err := io.ReadAll(io.LimitReader(response.Body, claim.MaxBodyBytes+1))
	complete := err == nil && len(head) <= claim.MaxBodyBytes
	answer := claim.Answer{Status: response.Head.Status}
	if complete {
		answer.Headers = response.Head.Headers
		answer.Body = head
		answer.Kept = true
	}
	h.Done(key, answer)
	rest := io.Reader(response.Body)
	if err != nil {
		rest = failedReader{err}
	}
	response.Body = recordedBody{Reader: io.MultiReader(bytes.NewReader(head), rest), Closer: response.Body}
	return response
}

type failedReader struct {
	err error
}

// Read implements io.Reader.
func (r failedReader) Read([]byte) (int, error) {
	return 0, r.err
}

// repeated answers an order that must not run now.
func (gw *Gateway) repeated(request *wire.Request, cancel context.CancelFunc, d *claim.Decision) (*exchange.Response, error) {
	switch d.Verdict {
	case claim.Repeat:
		return gw.recorded(request, cancel, d)
	case claim.InProgress:
		return nil, problem.New(http.StatusConflict, problem.CodeInProgress, problem.Unknown,
			"the order is running").After(retryAfter(d.Wait))
	case claim.KeyReused:
		return nil, problem.New(http.StatusUnprocessableEntity, problem.CodeBadRequest, problem.NotRun,
			"the idempotency key was used for another order")
	case claim.ClaimsLost:
		return nil, problem.New(http.StatusServiceUnavailable, problem.CodeClaimLost, problem.Unknown,
			"it is not known whether the order ran before").After(retryAfter(d.Wait))
	case claim.Full:
		return nil, refuse(http.StatusServiceUnavailable, problem.CodeOverload, "too many orders are remembered", d.Wait)
	case claim.NotReady:
		return nil, notReady(d)
	default:
		return nil, problem.New(http.StatusConflict, problem.CodeTargetFailed, problem.Unknown,
			"an earlier attempt of the order may have run")
	}
}

func notReady(d *claim.Decision) *problem.Error {
	if d.NotRun {
		return refuse(http.StatusServiceUnavailable, problem.CodeClaimLost, "the claim could not be mirrored", d.Wait)
	}
	return problem.New(http.StatusServiceUnavailable, problem.CodeClaimLost, problem.Unknown,
		"earlier claims are being fetched").After(retryAfter(d.Wait))
}

// recorded returns the recorded answer of an order.
func (gw *Gateway) recorded(request *wire.Request, cancel context.CancelFunc, d *claim.Decision) (*exchange.Response, error) {
	if !d.Answer.Kept {
		return nil, problem.New(http.StatusConflict, problem.CodeClaimLost, problem.Ran,
			"the order ran; its answer was not kept")
	}
	cancel()
	head := wire.Response{
		ID:            request.ID,
		Status:        d.Answer.Status,
		Headers:       d.Answer.Headers,
		ContentLength: int64(len(d.Answer.Body)),
		Outcome:       string(problem.Ran),
	}
	gw.version(&head)
	return &exchange.Response{Head: head, Body: io.NopCloser(bytes.NewReader(d.Answer.Body))}, nil
}

// StoreClaim executes a mirror message of the holder of a group.
func (gw *Gateway) StoreClaim(from string, message *wire.MirrorClaim) *wire.MirrorClaimReply {
	reply := gw.mirror.Store(from, message)
	return &reply
}
