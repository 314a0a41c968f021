package gateway

import (
	"context"
	"time"

	"github.com/bronzelever/bronzelever/pkg/claim"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// askTimeout bounds one question to the former holder of a group.
	askTimeout = 300 * time.Millisecond
	askRetry   = 200 * time.Millisecond
	// releasedMemory is how long a router remembers that it has released a group.
	releasedMemory = time.Minute
)

// releasedHold is a hold that ended with nothing in flight.
type releasedHold struct {
	epoch topology.Epoch
	// claims is nil if the group's pool has no orders.
	claims *claim.Holder
	until  clock.Instant
}

// keepReleased remembers a released group until its new holder can no longer need it.
func (gw *Gateway) keepReleased(g *group) {
	keep := releasedMemory
	if g.claims != nil {
		keep = max(keep, g.claims.Window)
	}
	gw.released[g.id] = releasedHold{epoch: g.epoch, claims: g.claims, until: gw.Clock.Now().Add(clock.WithDrift(keep))}
}

func (gw *Gateway) forgetReleased() {
	now := gw.Clock.Now()
	for id, hold := range gw.released {
		if now >= hold.until {
			delete(gw.released, id)
		}
	}
	gw.mirror.Forget()
}

// localClaims returns the newest complete claims of a group that this router has from a released hold or as mirror.
func (gw *Gateway) localClaims(asker string, id topology.GroupID) wire.ClaimsReply {
	best := gw.mirror.Fetch(asker, id)
	gw.mu.Lock()
	defer gw.mu.Unlock()
	if hold, ok := gw.released[id]; ok {
		best = newerClaims(best, hold.epoch, hold.claims)
	}
	for _, g := range gw.retiring {
		if g.id == id && g.isReleased() {
			best = newerClaims(best, g.epoch, g.claims)
		}
	}
	return best
}

func newerClaims(best wire.ClaimsReply, epoch topology.Epoch, h *claim.Holder) wire.ClaimsReply {
	if epoch <= best.Since {
		return best
	}
	if h == nil {
		return wire.ClaimsReply{Since: epoch}
	}
	if exported := h.Export(); exported.Since > best.Since {
		return exported
	}
	return best
}

// Claims returns what this router has of a group's claims, as mirror or as a holder that has released the group. A holder
// that still has requests in flight answers nothing, so that the answer of the former holder also proves that all its
// requests have ended.
func (gw *Gateway) Claims(asker string, message *wire.FetchClaims) *wire.ClaimsReply {
	best := gw.localClaims(asker, message.Group)
	fit(&best)
	return &best
}

// askFormer ends the wait of a newly held group once its former holder confirms that it has released the group. Without an
// answer the wait ends by itself.
func (gw *Gateway) askFormer(g *group, former holder) {
	for {
		released := gw.confirmsRelease(g.id, former)
		now := gw.Clock.Now()
		g.mu.Lock()
		g.asking = false
		if released {
			g.notBefore = min(g.notBefore, now)
		}
		over := now >= g.notBefore
		g.settle()
		g.pump()
		g.refuseAllUnmeetable()
		g.mu.Unlock()
		if over {
			return
		}
		select {
		case <-g.done:
			return
		case <-gw.Clock.After(askRetry):
		}
	}
}

func (gw *Gateway) confirmsRelease(id topology.GroupID, former holder) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	reply, err := gw.Cell.FetchClaims(ctx, former.vm, &wire.FetchClaims{Group: id})
	return err == nil && reply.Since == former.epoch
}
