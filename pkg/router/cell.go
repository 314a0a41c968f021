package router

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/gateway"
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

// FetchClaims implements gateway.Cell.
func (c cell) FetchClaims(ctx context.Context, vm string, message *wire.FetchClaims) (*wire.ClaimsReply, error) {
	address, err := c.address(vm)
	if err != nil {
		return nil, err
	}
	reply := &wire.ClaimsReply{}
	err = c.r.client.Call(ctx, address, wire.TypeFetchClaims, message, wire.TypeClaimsReply, reply)
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// SendSuspects implements gateway.Cell.
func (c cell) SendSuspects(ctx context.Context, message *wire.Suspects) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, m := range c.Members() {
		wait.Go(func() { c.sendSuspects(ctx, m.VM, m.Address, message) })
	}
	wait.Wait()
}

func (c cell) sendSuspects(ctx context.Context, vm, address string, message *wire.Suspects) {
	var reply wire.SuspectsReply
	err := c.r.client.Call(ctx, address, wire.TypeSuspects, message, wire.TypeSuspectsReply, &reply)
	if err != nil {
		c.r.o.Log.Emit(event.SuspectsUnconfirmed, "router", vm, "error", err.Error())
	}
}

// SendSuspectsToRegion implements gateway.Cell.
func (c cell) SendSuspectsToRegion(ctx context.Context, region, pool string, message *wire.Suspects) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for vm, address := range c.gateways(region, pool) {
		wait.Go(func() { c.sendSuspects(ctx, vm, address, message) })
	}
	wait.Wait()
}

// gateways returns the peer addresses of a pool's gateways in a region by VM.
func (c cell) gateways(region, pool string) map[string]string {
	found := map[string]string{}
	view := c.r.agent.View()
	if view == nil || view.Config == nil {
		return found
	}
	for _, table := range view.Tables {
		for _, g := range table.Groups {
			if g.Gateway != "" && g.ID.Pool() == pool && view.Config.RegionOf(g.ID.Domain()) == region {
				found[g.Gateway] = g.GatewayAddress
			}
		}
	}
	return found
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
		Remote:              r.client.Handler,
	})
}
