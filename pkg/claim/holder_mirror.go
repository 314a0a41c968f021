package claim

import (
	"context"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// tell sends a claim or control message to a mirror.
func (h *Holder) tell(ctx context.Context, vm string, claim wire.Claim) (*wire.MirrorClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	claim.Group = h.Group
	reply, err := h.cell.MirrorClaim(ctx, vm, &wire.MirrorClaim{Group: h.Group, Epoch: h.Epoch, Claim: claim})
	if err == nil {
		h.heard(vm)
	}
	return reply, err
}

// heard notes a sign of life of a router.
func (h *Holder) heard(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if vm == h.mirror {
		h.lastHeard = h.clock.Now()
	}
}

// mirrored stores a new claim at the mirror. Without any router that could mirror it, it returns true: nobody vouches for
// a copy then, so that a successor refuses all keys for the repeat window.
func (h *Holder) mirrored(ctx context.Context, key string) bool {
	h.mu.Lock()
	none := h.phase == mirrorNone
	h.mu.Unlock()
	if none {
		// Waits for a copy in progress, which may not contain this claim.
		h.replaceMirror()
	}
	h.mu.Lock()
	phase, vm := h.phase, h.mirror
	now := h.clock.Now()
	lost := now < h.lostUntil
	c := h.records.byKey[key]
	var message wire.Claim
	if c != nil {
		message = c.export(key, now)
	}
	h.mu.Unlock()
	switch {
	case c == nil || phase == mirrorFading:
		return false
	case phase == mirrorNone:
		return lost || len(h.candidates()) == 0
	}
	reply, err := h.tell(ctx, vm, message)
	if err == nil && reply.OK && reply.Complete {
		return true
	}
	if ctx.Err() == nil {
		h.dropMirror(vm, err == nil)
	}
	return false
}

// dropMirror gives up a mirror. One that has answered doesn't vouch any more; a silent one has to fade first, and no order
// can run until then. A single call that times out on a busy machine is therefore no reason to drop it.
func (h *Holder) dropMirror(vm string, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mirror != vm || h.phase != mirrorReady {
		return
	}
	if !answered && h.clock.Now().Sub(h.lastHeard) < silentLimit {
		return
	}
	h.OnMirrorLost(vm)
	if answered {
		h.phase = mirrorNone
		h.mirror = ""
		return
	}
	h.phase = mirrorFading
	h.fadesAt = h.clock.Now().Add(clock.WithDrift(mirrorLease))
}

// candidates returns the routers that may mirror the claims, preferred ones first, each half sorted by name.
func (h *Holder) candidates() []wire.Member {
	var preferred, others []wire.Member
	for _, m := range h.cell.Members() {
		switch {
		case !h.Eligible(m):
		case h.Preferred(m):
			preferred = append(preferred, m)
		default:
			others = append(others, m)
		}
	}
	byName := func(a, b wire.Member) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	}
	slices.SortFunc(preferred, byName)
	slices.SortFunc(others, byName)
	return append(preferred, others...)
}

// replaceMirror fills a new mirror. Claims made meanwhile are either part of the copied set or wait for the new mirror.
// After a loss of claims no copy is complete until the repeat window has passed.
func (h *Holder) replaceMirror() {
	h.filling.Lock()
	defer h.filling.Unlock()
	h.mu.Lock()
	needed := h.phase == mirrorNone && !h.closed && h.Ready() && h.clock.Now() >= h.lostUntil
	h.mu.Unlock()
	if !needed {
		return
	}
	for _, m := range h.candidates() {
		h.mu.Lock()
		fading := h.phase == mirrorFading
		h.mu.Unlock()
		if fading || h.fill(m.VM) {
			return
		}
	}
}

// fill copies all claims to a router and makes it the mirror. A router that doesn't answer any more after it was sealed
// may vouch for its copy, so that it fades like a lost mirror.
func (h *Holder) fill(vm string) bool {
	ctx := context.Background()
	if reply, err := h.tell(ctx, vm, wire.Claim{State: controlBegin}); err != nil || !reply.OK {
		return false
	}
	h.mu.Lock()
	claims := h.records.exportAll(h.clock.Now())
	h.mu.Unlock()
	for i := range claims {
		if reply, err := h.tell(ctx, vm, claims[i]); err != nil || !reply.OK {
			return false
		}
	}
	reply, err := h.tell(ctx, vm, wire.Claim{State: controlSeal})
	h.mu.Lock()
	h.phase = mirrorReady
	h.mirror = vm
	h.lastHeard = h.clock.Now()
	h.mu.Unlock()
	if err != nil || !reply.OK || !reply.Complete {
		h.dropMirror(vm, err == nil)
		return false
	}
	return true
}

// keepMirror refreshes the mirror's lease and replaces a lost mirror until the holder is closed.
func (h *Holder) keepMirror() {
	for {
		h.tend()
		select {
		case <-h.done:
			return
		case <-h.clock.After(refreshInterval):
		}
	}
}

func (h *Holder) tend() {
	h.mu.Lock()
	if h.phase == mirrorFading && h.clock.Now() >= h.fadesAt {
		h.phase = mirrorNone
		h.mirror = ""
	}
	phase, vm := h.phase, h.mirror
	h.mu.Unlock()
	switch phase {
	case mirrorNone:
		h.replaceMirror()
	case mirrorReady:
		h.refresh(vm)
	}
}

func (h *Holder) refresh(vm string) {
	reply, err := h.tell(context.Background(), vm, wire.Claim{State: controlRefresh})
	if err != nil || !reply.OK || !reply.Complete {
		h.dropMirror(vm, err == nil)
	}
}

// Mirror returns the name of the mirror, "" if there is none.
func (h *Holder) Mirror() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase != mirrorReady {
		return ""
	}
	return h.mirror
}
