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

// suspectTimeout limits how long to wait for routers to confirm a message about suspects. Callers' requests are delayed
// meanwhile.
const suspectTimeout = 300 * time.Millisecond

// cellClient sends the gateway's messages to the other routers of the cell, and suspects also to gateways in other regions.
type cellClient struct {
	r *Router
}

var _ gateway.Cell = cellClient{}

// Members implements gateway.Cell.
func (c cellClient) Members() []wire.Member {
	return c.r.agent.Members()
}

func (c cellClient) memberAddress(vm string) (string, error) {
	for _, m := range c.r.agent.Members() {
		if m.VM == vm {
			return m.Address, nil
		}
	}
	return "", fmt.Errorf("router %s is not in the roster", vm)
}

// MirrorClaim implements gateway.Cell.
func (c cellClient) MirrorClaim(ctx context.Context, vm string, message *wire.MirrorClaim) (*wire.MirrorClaimReply, error) {
	address, err := c.memberAddress(vm)
	if err != nil {
		return nil, err
	}
	reply := &wire.MirrorClaimReply{}
	err = c.r.peerClient.Call(ctx, address, wire.TypeMirrorClaim, message, wire.TypeMirrorClaimReply, reply)
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// FetchClaims implements gateway.Cell.
func (c cellClient) FetchClaims(ctx context.Context, vm string, message *wire.FetchClaims) (*wire.ClaimsReply, error) {
	address, err := c.memberAddress(vm)
	if err != nil {
		return nil, err
	}
	reply := &wire.ClaimsReply{}
	err = c.r.peerClient.Call(ctx, address, wire.TypeFetchClaims, message, wire.TypeClaimsReply, reply)
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// SendSuspects implements gateway.Cell.
func (c cellClient) SendSuspects(ctx context.Context, message *wire.Suspects) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range c.Members() {
		wg.Go(func() { c.sendSuspects(ctx, m.VM, m.Address, message) })
	}
	wg.Wait()
}

func (c cellClient) sendSuspects(ctx context.Context, vm, address string, message *wire.Suspects) {
	var reply wire.SuspectsReply
	err := c.r.peerClient.Call(ctx, address, wire.TypeSuspects, message, wire.TypeSuspectsReply, &reply)
	if err != nil {
		c.r.options.Log.Emit(event.SuspectsUnconfirmed, "router", vm, "error", err.Error())
	}
}

// SendSuspectsToRegion implements gateway.Cell.
func (c cellClient) SendSuspectsToRegion(ctx context.Context, region, pool string, message *wire.Suspects) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for vm, address := range c.gatewayAddresses(region, pool) {
		wg.Go(func() { c.sendSuspects(ctx, vm, address, message) })
	}
	wg.Wait()
}

// gatewayAddresses returns the peer addresses of a pool's gateways in a region, keyed by VM.
func (c cellClient) gatewayAddresses(region, pool string) map[string]string {
	addresses := map[string]string{}
	view := c.r.agent.View()
	if view == nil || view.Config == nil {
		return addresses
	}
	for _, table := range view.Tables {
		for _, g := range table.Groups {
			if g.Gateway != "" && g.ID.Pool() == pool && view.Config.RegionOf(g.ID.Domain()) == region {
				addresses[g.Gateway] = g.GatewayAddress
			}
		}
	}
	return addresses
}

// newGateway returns the gateway implementation of pkg/gateway.
func newGateway(r *Router) Gateway {
	return gateway.New(gateway.Options{
		Authority:           r.agent,
		Clock:               r.options.Clock,
		Log:                 r.options.Log,
		Scope:               r.options.Metrics.Scope(),
		Cell:                cellClient{r},
		ControllerReachable: r.agent.ControllerReachable,
		Remote:              r.peerClient.Handler,
	})
}
