package router

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/gateway"
	"github.com/bronzelever/bronzelever/pkg/peer"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// suspectTimeout bounds the wait for a router that doesn't confirm suspects; the callers of the requests wait for it.
const suspectTimeout = 300 * time.Millisecond

// cell sends the gateway's messages to the other routers of the cell.
type cell struct {
	r *Router
}

var _ gateway.Cell = cell{}

// Members implements gateway.Cell.
func (c cell) Members() []wire.Member {
	return c.r.agent.Members()
}

func (c cell) address(vm string) (string, error) {
	for _, m := range c.r.agent.Members() {
		if m.VM == vm {
			return m.Address, nil
		}
	}
	return "", fmt.Errorf("router %s is not in the roster", vm)
}

// MirrorClaim implements gateway.Cell.
func (c cell) MirrorClaim(ctx context.Context, vm string, message *wire.MirrorClaim) (*wire.MirrorClaimReply, error) {
	address, err := c.address(vm)
	if err != nil {
		return nil, err
	}
	reply := &wire.MirrorClaimReply{}
	err = c.r.client.Call(ctx, address, wire.TypeMirrorClaim, message, wire.TypeMirrorClaimReply, reply)
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// FetchClaims implements gateway.Cell. The claims arrive in pages, since a frame has a bounded length.
func (c cell) FetchClaims(ctx context.Context, vm string, message *wire.FetchClaims) (*wire.ClaimsReply, error) {
	address, err := c.address(vm)
	if err != nil {
		return nil, err
	}
	all := &wire.ClaimsReply{}
	for page := *message; ; {
		reply := &wire.ClaimsReply{}
		err := c.r.client.Call(ctx, address, wire.TypeFetchClaims, &page, wire.TypeClaimsReply, reply)
		if err != nil {
			return nil, err
		}
		// A later start than on the first page means that claims were dropped meanwhile.
		all.Since = max(all.Since, reply.Since)
		all.Claims = append(all.Claims, reply.Claims...)
		if !reply.More || len(reply.Claims) == 0 {
			return all, nil
		}
		page.After = reply.Claims[len(reply.Claims)-1].Key
	}
}

// pageBytes is the size of claims that one reply carries, beyond which the rest follows in another one. A recorded answer
// is much smaller than the remaining half of a frame.
const pageBytes = wire.MaxFrameBytes / 2

// claimsPage returns the part of all claims that a message asks for.
func claimsPage(all *wire.ClaimsReply, after string) *wire.ClaimsReply {
	claims := slices.DeleteFunc(slices.Clone(all.Claims), func(k wire.Claim) bool { return k.Key <= after })
	slices.SortFunc(claims, func(a, b wire.Claim) int { return cmp.Compare(a.Key, b.Key) })
	size := 0
	for i, k := range claims {
		size += len(k.Key) + len(k.Body)
		for _, h := range k.Headers {
			size += len(h.Name) + len(h.Value)
		}
		if i > 0 && size > pageBytes {
			return &wire.ClaimsReply{Claims: claims[:i], Since: all.Since, More: true}
		}
	}
	return &wire.ClaimsReply{Claims: claims, Since: all.Since}
}

// SendSuspects implements gateway.Cell.
func (c cell) SendSuspects(ctx context.Context, message *wire.Suspects) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, m := range c.Members() {
		wait.Go(func() {
			var reply wire.SuspectsReply
			err := c.r.client.Call(ctx, m.Address, wire.TypeSuspects, message, wire.TypeSuspectsReply, &reply)
			if err != nil {
				c.r.o.Log.Emit(event.SuspectsUnconfirmed, "router", m.VM, "error", err.Error())
			}
		})
	}
	wait.Wait()
}

// cellGateway answers the messages of other routers' gateways.
type cellGateway interface {
	StoreClaim(message *wire.MirrorClaim) *wire.MirrorClaimReply
	Claims(message *wire.FetchClaims) *wire.ClaimsReply
	AcceptSuspects(message *wire.Suspects) *wire.SuspectsReply
}

var _ cellGateway = (*gateway.Gateway)(nil)

// registerCell sets the handlers of the messages between gateways.
func registerCell(s *peer.Server, g cellGateway) {
	handle(s, wire.TypeMirrorClaim, wire.TypeMirrorClaimReply, g.StoreClaim)
	handle(s, wire.TypeFetchClaims, wire.TypeClaimsReply, func(m *wire.FetchClaims) *wire.ClaimsReply {
		return claimsPage(g.Claims(m), m.After)
	})
	handle(s, wire.TypeSuspects, wire.TypeSuspectsReply, g.AcceptSuspects)
}

func handle[Q, R any](s *peer.Server, t, replyType wire.Type, answer func(*Q) *R) {
	s.HandleCall(t, func(_ context.Context, _ string, frame wire.Frame) (wire.Type, any, error) {
		var request Q
		if err := frame.Decode(&request); err != nil {
			return 0, nil, err
		}
		return replyType, answer(&request), nil
	})
}

// newGateway builds the gateway of pkg/gateway.
func newGateway(r *Router) Gateway {
	return gateway.New(gateway.Options{
		Authority:           r.agent,
		Clock:               r.o.Clock,
		Log:                 r.o.Log,
		Scope:               r.o.Metrics.Scope(),
		Cell:                cell{r},
		ControllerReachable: r.agent.ControllerReachable,
	})
}
