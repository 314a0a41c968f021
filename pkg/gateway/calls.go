package gateway

import (
	"context"

	"github.com/bronzelever/bronzelever/pkg/wire"
)

// maxReplyBytes bounds the claims of one reply, so that it fits into a frame.
const maxReplyBytes = wire.MaxFrameBytes * 3 / 4

// claimOverheadBytes is the encoded size of a claim without its key, headers and body: field names and numbers.
const claimOverheadBytes = 96

// CallServer registers handlers of calls from other routers. peer.Server implements it.
type CallServer interface {
	HandleCall(t wire.Type, h func(ctx context.Context, from string, frame wire.Frame) (wire.Type, any, error))
}

// Register registers the calls that gateways of the cell make to each other.
func (gw *Gateway) Register(s CallServer) {
	s.HandleCall(wire.TypeMirrorClaim, func(_ context.Context, from string, frame wire.Frame) (wire.Type, any, error) {
		var message wire.MirrorClaim
		if err := frame.Decode(&message); err != nil {
			return 0, nil, err
		}
		return wire.TypeMirrorClaimReply, gw.StoreClaim(from, &message), nil
	})
	s.HandleCall(wire.TypeFetchClaims, func(_ context.Context, from string, frame wire.Frame) (wire.Type, any, error) {
		var message wire.FetchClaims
		if err := frame.Decode(&message); err != nil {
			return 0, nil, err
		}
		return wire.TypeClaimsReply, gw.Claims(from, &message), nil
	})
	s.HandleCall(wire.TypeSuspects, func(_ context.Context, _ string, frame wire.Frame) (wire.Type, any, error) {
		var message wire.Suspects
		if err := frame.Decode(&message); err != nil {
			return 0, nil, err
		}
		return wire.TypeSuspectsReply, gw.AcceptSuspects(&message), nil
	})
}

// fit makes claims fit into one frame. Recorded answers are dropped first: their repeats are told that the order ran. If
// the claims themselves don't fit, the reply vouches for nothing and the successor refuses keys for the repeat window.
func fit(reply *wire.ClaimsReply) {
	bare, full := 0, 0
	for i := range reply.Claims {
		c := &reply.Claims[i]
		size := claimOverheadBytes + len(c.Key) + len(c.Group)
		bare += size
		full += size + answerBytes(c)
	}
	if full <= maxReplyBytes {
		return
	}
	if bare > maxReplyBytes {
		*reply = wire.ClaimsReply{}
		return
	}
	for i := range reply.Claims {
		reply.Claims[i].Headers = nil
		reply.Claims[i].Body = nil
	}
}

func answerBytes(c *wire.Claim) int {
	n := len(c.Body)
	for _, h := range c.Headers {
		n += len(h.Name) + len(h.Value) + 8
	}
	return n
}
