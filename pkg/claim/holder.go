package claim

import (
	"context"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// callTimeout is the timeout of one call to another router of the cell. The one-way latency is at most 1.5 ms.
	callTimeout = 300 * time.Millisecond
	// refreshInterval is the interval between refresh messages to the mirror.
	refreshInterval = 500 * time.Millisecond
	// mirrorTimeout is the time without a reply after which an unreachable mirror is dropped.
	mirrorTimeout = time.Second
	// recoverTimeout is the minimum time for which a holder tries to fetch the claims of the former holder.
	recoverTimeout       = 2 * time.Second
	recoverRetryInterval = 200 * time.Millisecond
	// maxMirrorAttempts is the maximum number of attempts to store one claim at a mirror.
	maxMirrorAttempts = 2
	// readyTimeout is the maximum time that a request waits for the claims of the former holder.
	readyTimeout = 500 * time.Millisecond
)

// Cell sends messages to the other routers of the cell.
type Cell interface {
	// Members returns the other live routers of the cell.
	Members() []wire.Member
	MirrorClaim(ctx context.Context, vm string, message *wire.MirrorClaim) (*wire.MirrorClaimReply, error)
	FetchClaims(ctx context.Context, vm string, message *wire.FetchClaims) (*wire.ClaimsReply, error)
}

// FormerHolder identifies the previous holder of a group. The zero value means that it is unknown.
type FormerHolder struct {
	VM    string
	Epoch topology.Epoch
}

// Verdict is the result of an attempt to claim a key. It determines how the request is handled.
type Verdict int

const (
	// Run means that the key is claimed for this request. The caller must settle the claim with Done, Unknown or Free.
	Run Verdict = iota
	// Repeat means that the request was executed before. Its response status is recorded; see Answer.Kept for the rest.
	Repeat
	// InProgress means that the request is being executed.
	InProgress
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown
	// KeyReused means that the key was used for a different request.
	KeyReused
	// ClaimsLost means that earlier claims were lost, so that it is unknown whether the request was executed.
	ClaimsLost
	// NotReady means that the claims are being fetched or the mirror is being replaced. This attempt was not executed,
	// but an earlier one may have been.
	NotReady
	// Full means that the group has reached MaxRecords claims.
	Full
)

// Decision is the result of Holder.Claim.
type Decision struct {
	Verdict Verdict
	Answer  Answer
	// NotRun reports that the request has certainly not been executed.
	NotRun bool
	// Wait is the recommended delay before a retry.
	Wait time.Duration
}

// Settings configures the holder of a group.
type Settings struct {
	Group topology.GroupID
	Epoch topology.Epoch
	// Window is the repeat window of the pool: how long a claim is kept after its request has been settled.
	Window time.Duration
	// Deduplicates reports that the targets discard duplicate requests themselves, so that requests are accepted even
	// after claims were lost.
	Deduplicates bool
	// Eligible reports whether a router may mirror the claims, that is, whether it is in the group's region.
	Eligible func(wire.Member) bool
	// Preferred reports whether a router is outside the holder's failure domain.
	Preferred func(wire.Member) bool
	// OnMirrorLost is called when a mirror is dropped. It must not block.
	OnMirrorLost func(vm string)
}

// mirrorPhase is the state of the holder's mirror.
type mirrorPhase int

const (
	// mirrorNone means that no router reports a complete copy.
	mirrorNone mirrorPhase = iota
	// mirrorReady means that the mirror has a complete copy.
	mirrorReady
	// mirrorExpiring means that a lost mirror may still report its copy as complete until its lease expires. No request may
	// start in this phase.
	mirrorExpiring
)

// Holder stores the claims of a group that this router holds. It is safe for concurrent use.
type Holder struct {
	Settings
	clock clock.Clock
	cell  Cell

	mu      sync.Mutex
	records *records
	// ready is closed once the claims of the former holder are imported or declared lost.
	ready chan struct{}
	// lostUntil is the end of the repeat window of the lost claims. Until then, a key without a claim may belong to a
	// request that was executed.
	lostUntil clock.Instant
	phase     mirrorPhase
	mirror    string
	// mirrorExpiresAt is the instant from which a lost mirror no longer reports its copy as complete.
	mirrorExpiresAt clock.Instant
	// lastHeard is when the mirror last replied.
	lastHeard clock.Instant
	closed    bool
	done      chan struct{}
	// replaceMu serializes the replacement of the mirror.
	replaceMu sync.Mutex
}

// NewHolder returns a holder that is not ready. Exactly one of StartEmpty, StartFrom, StartLost and StartRecover must be
// called to make it ready.
func NewHolder(s Settings, c clock.Clock, cell Cell) *Holder {
	return &Holder{Settings: s, clock: c, cell: cell, records: newRecords(), ready: make(chan struct{}), done: make(chan struct{})}
}

// StartEmpty makes the holder ready without claims, for a group that had no earlier holder.
func (h *Holder) StartEmpty() {
	close(h.ready)
	go h.maintainMirror()
}

// StartFrom makes the holder ready with the claims of former, an earlier holder of the group on the same router.
func (h *Holder) StartFrom(former *Holder) {
	former.mu.Lock()
	lostUntil := former.lostUntil
	former.mu.Unlock()
	h.mu.Lock()
	h.lostUntil = lostUntil
	h.mu.Unlock()
	h.importClaims(former.Export().Claims)
	go h.maintainMirror()
}

// StartLost makes the holder ready after the claims of the former holder were lost.
func (h *Holder) StartLost() {
	h.markClaimsLost()
	go h.maintainMirror()
}

// StartRecover fetches the claims of the former epoch in the background and calls report with the result. If the claims
// are not found, it retries for the longer of recoverTimeout and idle, the time for which the group may not execute requests
// anyway. localClaims returns the claims that this router has itself.
func (h *Holder) StartRecover(former FormerHolder, idle time.Duration, localClaims func() wire.ClaimsReply, report func(found bool, claims int)) {
	go func() {
		claims, found := h.fetchClaims(former, max(idle, recoverTimeout), localClaims)
		if found {
			h.importClaims(claims)
		} else {
			h.markClaimsLost()
		}
		report(found, len(claims))
		h.maintainMirror()
	}()
}

// markClaimsLost makes the holder ready after the claims of the former holder were lost. Keys without a claim are refused
// until the repeat window has passed, unless the targets deduplicate.
func (h *Holder) markClaimsLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.ready)
	h.lostUntil = h.clock.Now().Add(clock.WithDrift(h.Window))
}

// importClaims stores claims of a former holder and makes the holder ready. The outcome of a request that was running at the
// former holder is unknown.
func (h *Holder) importClaims(claims []wire.Claim) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for i := range claims {
		c := claims[i]
		if c.State == wire.ClaimRunning {
			c.State = wire.ClaimUnknown
		}
		h.records.merge(&c, h.Window, now)
	}
	close(h.ready)
}

// fetchClaims fetches the claims of the former epoch or a newer one, and retries until timeout. At the same epoch, the
// claims of the former holder take precedence over its mirror's copy, which may be slightly older.
func (h *Holder) fetchClaims(former FormerHolder, timeout time.Duration, localClaims func() wire.ClaimsReply) ([]wire.Claim, bool) {
	if former.Epoch == 0 {
		return nil, false
	}
	deadline := h.clock.Now().Add(timeout)
	for {
		best := h.fetchNewest(former.VM)
		if local := localClaims(); local.Since > best.Since {
			best = &local
		}
		if best.Since >= former.Epoch {
			return best.Claims, true
		}
		if h.clock.Now() >= deadline {
			return nil, false
		}
		select {
		case <-h.done:
			return nil, false
		case <-h.clock.After(recoverRetryInterval):
		}
	}
}

// fetchNewest queries all routers in parallel and returns the reply with the newest epoch. At the same epoch it prefers the
// reply of the former holder. A holder that this router has not learned of replies with a newer epoch than that of the
// known former holder.
func (h *Holder) fetchNewest(former string) *wire.ClaimsReply {
	type answer struct {
		vm    string
		reply *wire.ClaimsReply
	}
	members := h.cell.Members()
	answers := make(chan answer, len(members))
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, m := range members {
		go func() {
			reply, err := h.cell.FetchClaims(ctx, m.VM, &wire.FetchClaims{Group: h.Group})
			if err != nil {
				reply = &wire.ClaimsReply{}
			}
			answers <- answer{m.VM, reply}
		}()
	}
	best := &wire.ClaimsReply{}
	for range members {
		a := <-answers
		if a.reply.Since > best.Since || a.reply.Since == best.Since && a.vm == former {
			best = a.reply
		}
	}
	return best
}

// awaitReady waits up to readyTimeout for the claims of the former holder. In a planned handover they arrive within
// milliseconds.
func (h *Holder) awaitReady(ctx context.Context) {
	if h.Ready() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	select {
	case <-h.ready:
	case <-h.done:
	case <-ctx.Done():
	}
}

// Claim claims a key. If the verdict is Run, the claim is stored at this router and at the mirror. Without a mirror it is
// stored only here; see storeAtMirror.
func (h *Holder) Claim(ctx context.Context, key string, fingerprint uint64) Decision {
	h.awaitReady(ctx)
	d := h.claim(key, fingerprint)
	if d.Verdict != Run {
		return d
	}
	// A mirror that refuses a claim no longer reports its copy as complete, so the next attempt can use another mirror
	// immediately.
	for range maxMirrorAttempts {
		if h.storeAtMirror(ctx, key) {
			return d
		}
	}
	h.Free(key)
	return Decision{Verdict: NotReady, NotRun: true, Wait: callTimeout}
}

// claim checks a key against the stored claims and, if the key is new, stores a claim at this router only.
func (h *Holder) claim(key string, fingerprint uint64) Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.records.sweep(now)
	if !h.Ready() || h.closed {
		return Decision{Verdict: NotReady, Wait: recoverRetryInterval}
	}
	if c := h.records.get(key, now); c != nil {
		return h.decideRepeat(c, fingerprint)
	}
	if now < h.lostUntil && !h.Deduplicates {
		return Decision{Verdict: ClaimsLost, Wait: h.lostUntil.Sub(now)}
	}
	if len(h.records.byKey) >= MaxRecords {
		return Decision{Verdict: Full, NotRun: true, Wait: time.Second}
	}
	h.records.byKey[key] = &record{state: wire.ClaimRunning, fingerprint: fingerprint, claimedAt: now}
	return Decision{Verdict: Run}
}

// decideRepeat returns the decision for a key that is already claimed.
func (h *Holder) decideRepeat(c *record, fingerprint uint64) Decision {
	if c.fingerprint != 0 && fingerprint != 0 && c.fingerprint != fingerprint {
		return Decision{Verdict: KeyReused, NotRun: true}
	}
	switch c.state {
	case wire.ClaimDone:
		return Decision{Verdict: Repeat, Answer: c.answer}
	case wire.ClaimRunning:
		return Decision{Verdict: InProgress, Wait: time.Second}
	default:
		return Decision{Verdict: OutcomeUnknown}
	}
}

// Done settles the claim of a request that was executed, and records its response.
func (h *Holder) Done(key string, a Answer) {
	h.settle(key, wire.ClaimDone, a)
}

// Unknown settles the claim of a request that may have been executed.
func (h *Holder) Unknown(key string) {
	h.settle(key, wire.ClaimUnknown, Answer{})
}

func (h *Holder) settle(key string, state wire.ClaimState, a Answer) {
	h.mu.Lock()
	now := h.clock.Now()
	c := h.records.byKey[key]
	if c == nil {
		h.mu.Unlock()
		return
	}
	c.state = state
	c.expires = now.Add(h.Window)
	if state == wire.ClaimDone {
		h.records.setAnswer(c, a)
	}
	message := c.export(key, now)
	vm := h.mirror
	ready := h.phase == mirrorReady
	h.mu.Unlock()
	if ready {
		// Sent asynchronously: if the mirror misses this message, a successor reports the outcome as unknown, which is
		// still correct.
		go func() {
			_, _ = h.sendToMirror(context.Background(), vm, message)
		}()
	}
}

// Free releases the claim of a request that was certainly not executed. The key can be claimed again only after the call to
// the mirror has returned: a release that reached the mirror after the next claim of the key would remove that claim, so
// that a successor would execute the request a second time. A failed call usually drops the mirror; see dropMirror for the
// exception.
func (h *Holder) Free(key string) {
	h.mu.Lock()
	c := h.records.byKey[key]
	running := c != nil && c.state == wire.ClaimRunning
	hasMirror, vm := h.phase == mirrorReady, h.mirror
	h.mu.Unlock()
	if !running {
		return
	}
	if hasMirror {
		reply, err := h.sendToMirror(context.Background(), vm, wire.Claim{Key: key, State: wire.ClaimFree})
		if err != nil || !reply.OK || !reply.Complete {
			h.dropMirror(vm, err == nil)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records.remove(key, c)
}

// Export returns all claims for a successor. Since is the holder's epoch if the holder is ready and its claims are complete,
// and 0 otherwise.
func (h *Holder) Export() wire.ClaimsReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	reply := wire.ClaimsReply{Claims: h.records.exportAll(now)}
	if h.Ready() && now >= h.lostUntil {
		reply.Since = h.Epoch
	}
	return reply
}

// Ready reports whether the claims of the former holder have been imported or declared lost.
func (h *Holder) Ready() bool {
	select {
	case <-h.ready:
		return true
	default:
		return false
	}
}

// Close stops accepting claims and refreshing the mirror. The claims can still be exported.
func (h *Holder) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	close(h.done)
}
