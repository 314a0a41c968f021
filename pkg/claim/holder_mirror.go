package claim

import (
	"context"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// sendToMirror sends a claim or control message to a mirror.
func (h *Holder) sendToMirror(ctx context.Context, vm string, claim wire.Claim) (*wire.MirrorClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	claim.Group = h.Group
	reply, err := h.cell.MirrorClaim(ctx, vm, &wire.MirrorClaim{Group: h.Group, Epoch: h.Epoch, Claim: claim})
	if err == nil {
		h.recordReply(vm)
	}
	return reply, err
}

// recordReply records that vm has replied, if it is the mirror.
func (h *Holder) recordReply(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if vm == h.mirror {
		h.lastHeard = h.clock.Now()
	}
}

// storeAtMirror stores a new claim at the mirror and reports whether the request may run. Without a mirror it returns true
// if no router could be one, or if earlier claims are lost: no router reports a complete copy then, so a successor refuses
// all keys for the repeat window.
func (h *Holder) storeAtMirror(ctx context.Context, key string) bool {
	h.mu.Lock()
	noMirror := h.phase == mirrorNone
	h.mu.Unlock()
	if noMirror {
		// Also waits for a copy in progress, which may not contain this claim.
		h.replaceMirror()
	}
	h.mu.Lock()
	phase, vm := h.phase, h.mirror
	now := h.clock.Now()
	claimsLost := now < h.lostUntil
	c := h.records.byKey[key]
	var message wire.Claim
	if c != nil {
		message = c.export(key, now)
	}
	h.mu.Unlock()
	switch {
	case c == nil || phase == mirrorExpiring:
		return false
	case phase == mirrorNone:
		return claimsLost || len(h.candidates()) == 0
	}
	reply, err := h.sendToMirror(ctx, vm, message)
	if err == nil && reply.OK && reply.Complete {
		return true
	}
	if ctx.Err() == nil {
		h.dropMirror(vm, err == nil)
	}
	return false
}

// dropMirror drops a mirror that failed a call. A mirror that has replied no longer reports its copy as complete and can be
// replaced immediately. The lease of an unreachable mirror has to expire first, and no request can run until then. A single
// call that times out on a busy machine is therefore no reason to drop it: it must have been silent for mirrorTimeout.
func (h *Holder) dropMirror(vm string, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mirror != vm || h.phase != mirrorReady {
		return
	}
	if !answered && h.clock.Now().Sub(h.lastHeard) < mirrorTimeout {
		return
	}
	h.OnMirrorLost(vm)
	if answered {
		h.phase = mirrorNone
		h.mirror = ""
		return
	}
	h.phase = mirrorExpiring
	h.mirrorExpiresAt = h.clock.Now().Add(clock.WithDrift(mirrorLease))
}

// candidates returns the routers that may mirror the claims: preferred ones first, then the others, each sorted by name.
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

// replaceMirror copies the claims to a new mirror if there is none. Claims made in the meantime are either part of the copy
// or wait for the new mirror. After claims were lost, no copy is complete until the repeat window has passed, so no mirror
// is set up before then.
func (h *Holder) replaceMirror() {
	h.replaceMu.Lock()
	defer h.replaceMu.Unlock()
	h.mu.Lock()
	needed := h.phase == mirrorNone && !h.closed && h.Ready() && h.clock.Now() >= h.lostUntil
	h.mu.Unlock()
	if !needed {
		return
	}
	for _, m := range h.candidates() {
		h.mu.Lock()
		expiring := h.phase == mirrorExpiring
		h.mu.Unlock()
		if expiring || h.copyClaimsTo(m.VM) {
			return
		}
	}
}

// copyClaimsTo copies all claims to a router and makes it the mirror. A router that does not reply to controlSeal may
// nevertheless report its copy as complete, so it is treated like a lost mirror.
func (h *Holder) copyClaimsTo(vm string) bool {
	ctx := context.Background()
	if reply, err := h.sendToMirror(ctx, vm, wire.Claim{State: controlBegin}); err != nil || !reply.OK {
		return false
	}
	h.mu.Lock()
	claims := h.records.exportAll(h.clock.Now())
	h.mu.Unlock()
	for i := range claims {
		if reply, err := h.sendToMirror(ctx, vm, claims[i]); err != nil || !reply.OK {
			return false
		}
	}
	reply, err := h.sendToMirror(ctx, vm, wire.Claim{State: controlSeal})
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

// maintainMirror periodically refreshes the mirror's lease and replaces a lost mirror, until the holder is closed.
func (h *Holder) maintainMirror() {
	for {
		h.checkMirror()
		select {
		case <-h.done:
			return
		case <-h.clock.After(refreshInterval):
		}
	}
}

// checkMirror does one round of maintainMirror.
func (h *Holder) checkMirror() {
	h.mu.Lock()
	if h.phase == mirrorExpiring && h.clock.Now() >= h.mirrorExpiresAt {
		h.phase = mirrorNone
		h.mirror = ""
	}
	phase, vm := h.phase, h.mirror
	h.mu.Unlock()
	switch phase {
	case mirrorNone:
		h.replaceMirror()
	case mirrorReady:
		h.refreshMirror(vm)
	}
}

func (h *Holder) refreshMirror(vm string) {
	reply, err := h.sendToMirror(context.Background(), vm, wire.Claim{State: controlRefresh})
	if err != nil || !reply.OK || !reply.Complete {
		h.dropMirror(vm, err == nil)
	}
}

// Mirror returns the VM of the mirror, or "" if no mirror is ready.
func (h *Holder) Mirror() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.phase != mirrorReady {
		return ""
	}
	return h.mirror
}
