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
	// callTimeout bounds one message to another router of the cell; one-way latency is at most 1.5 ms.
	callTimeout = 300 * time.Millisecond
	// refreshInterval is the time between two signs of life to the mirror.
	refreshInterval = 500 * time.Millisecond
	// silentLimit is how long a mirror must have been silent before it is given up.
	silentLimit = time.Second
	// recoverTimeout bounds the search for the claims of a former holder.
	recoverTimeout = 2 * time.Second
	recoverRetry   = 200 * time.Millisecond
	// mirrorAttempts is the number of mirrors that are tried for one claim.
	mirrorAttempts = 2
	// readyWait bounds how long an order waits for the claims of the former holder.
	readyWait = 500 * time.Millisecond
)

// Cell reaches the other routers of the cell.
type Cell interface {
	// Members returns the other live routers of the cell.
	Members() []wire.Member
	MirrorClaim(ctx context.Context, vm string, message *wire.MirrorClaim) (*wire.MirrorClaimReply, error)
	FetchClaims(ctx context.Context, vm string, message *wire.FetchClaims) (*wire.ClaimsReply, error)
}

// Former is the last holder of a group before this one. The zero value means that it is not known.
type Former struct {
	VM    string
	Epoch topology.Epoch
}

// Verdict tells what to do with an order.
type Verdict int

const (
	// Run means that the key is claimed for this order, which has to be settled by Done, Unknown or Free.
	Run Verdict = iota
	// Repeat means that the order ran; its answer is recorded.
	Repeat
	// InProgress means that the order is running.
	InProgress
	// OutcomeUnknown means that the order may have run.
	OutcomeUnknown
	// OtherOrder means that the key was used for another order.
	OtherOrder
	// Lost means that earlier claims are lost; the key's outcome is unknown.
	Lost
	// NotReady means that the claims are being fetched or the mirror is being replaced. The order did not run now, but
	// it may have run before.
	NotReady
	// Full means that no more claims fit.
	Full
)

// Decision is the answer to a claim.
type Decision struct {
	Verdict Verdict
	Answer  Answer
	// NotRun tells that the order has certainly not run.
	NotRun bool
	// Wait tells when another attempt makes sense.
	Wait time.Duration
}

// Settings describe the group of a holder.
type Settings struct {
	Group topology.GroupID
	Epoch topology.Epoch
	// Window is the repeat window of the pool.
	Window time.Duration
	// Deduplicates tells that the targets drop repeats themselves, so that lost claims don't refuse orders.
	Deduplicates bool
	// Eligible tells whether a router may mirror the claims: it lies in the group's region.
	Eligible func(wire.Member) bool
	// Preferred tells whether a router is outside the holder's failure domain.
	Preferred func(wire.Member) bool
	// OnMirrorLost is called when a mirror is given up; it must not block.
	OnMirrorLost func(vm string)
}

// mirrorPhase is the state of the holder's mirror.
type mirrorPhase int

const (
	// mirrorNone means that no router vouches for a copy.
	mirrorNone mirrorPhase = iota
	// mirrorReady means that the mirror has every claim.
	mirrorReady
	// mirrorFading means that a mirror is lost but may still vouch for its copy. No order may start.
	mirrorFading
)

// Holder keeps the claims of a group that this router holds. It is safe for concurrent use.
type Holder struct {
	Settings
	clock clock.Clock
	cell  Cell

	mu      sync.Mutex
	records *records
	// ready is closed once the claims of the former holder are there or given up.
	ready chan struct{}
	// lostUntil is when the last order whose claim was lost can no longer be repeated.
	lostUntil clock.Instant
	phase     mirrorPhase
	mirror    string
	// fadesAt is when a lost mirror stops vouching.
	fadesAt clock.Instant
	// lastHeard is when the mirror last answered.
	lastHeard clock.Instant
	closed    bool
	done      chan struct{}
	// filling serializes the replacement of the mirror.
	filling sync.Mutex
}

// NewHolder returns a holder that isn't ready. Start or Recover makes it ready.
func NewHolder(s Settings, c clock.Clock, cell Cell) *Holder {
	return &Holder{Settings: s, clock: c, cell: cell, records: newRecords(), ready: make(chan struct{}), done: make(chan struct{})}
}

// StartEmpty makes the holder ready for a group that had no earlier holder.
func (h *Holder) StartEmpty() {
	close(h.ready)
	go h.keepMirror()
}

// StartFrom makes the holder ready with the claims of an earlier hold of the same router.
func (h *Holder) StartFrom(former *Holder) {
	former.mu.Lock()
	lostUntil := former.lostUntil
	former.mu.Unlock()
	h.mu.Lock()
	h.lostUntil = lostUntil
	h.mu.Unlock()
	h.adopt(former.Export().Claims)
	go h.keepMirror()
}

// StartLost makes the holder ready after the claims of the former holder were lost.
func (h *Holder) StartLost() {
	h.lose()
	go h.keepMirror()
}

// StartRecover fetches the claims that belong to the former epoch, for at least recoverTimeout and as long as nothing may
// run anyway, and reports whether they were found.
func (h *Holder) StartRecover(former Former, idle time.Duration, extra func() wire.ClaimsReply, report func(found bool, claims int)) {
	go func() {
		claims, found := h.search(former, max(idle, recoverTimeout), extra)
		if found {
			h.adopt(claims)
		} else {
			h.lose()
		}
		report(found, len(claims))
		h.keepMirror()
	}()
}

func (h *Holder) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.ready)
	h.lostUntil = h.clock.Now().Add(clock.WithDrift(h.Window))
}

// adopt takes over claims. An order that was running under the former holder has an unknown outcome.
func (h *Holder) adopt(claims []wire.Claim) {
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

// search looks for the claims of the former epoch. A released holder's own claims are preferred to its mirror's copy, which
// may be a little older.
func (h *Holder) search(former Former, timeout time.Duration, extra func() wire.ClaimsReply) ([]wire.Claim, bool) {
	if former.Epoch == 0 {
		return nil, false
	}
	give := h.clock.Now().Add(timeout)
	for {
		best := h.ask(former.VM)
		if own := extra(); own.Since > best.Since {
			best = &own
		}
		if best.Since >= former.Epoch {
			return best.Claims, true
		}
		if h.clock.Now() >= give {
			return nil, false
		}
		select {
		case <-h.done:
			return nil, false
		case <-h.clock.After(recoverRetry):
		}
	}
}

// ask asks all routers at once and returns the reply of the newest epoch, of equal ones that of the former holder. A holder
// whose tenure this router has not seen answers with a newer epoch than the known former one.
func (h *Holder) ask(former string) *wire.ClaimsReply {
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

// awaitReady waits for the claims of the former holder. In a planned hand-over they are there within milliseconds.
func (h *Holder) awaitReady(ctx context.Context) {
	if h.Ready() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	select {
	case <-h.ready:
	case <-h.done:
	case <-ctx.Done():
	}
}

// Claim claims a key. After Run the claim is stored here and at the mirror.
func (h *Holder) Claim(ctx context.Context, key string, fingerprint uint64) Decision {
	h.awaitReady(ctx)
	d := h.claim(key, fingerprint)
	if d.Verdict != Run {
		return d
	}
	// A mirror that refuses doesn't vouch any more, and another one can be filled at once.
	for range mirrorAttempts {
		if h.mirrored(ctx, key) {
			return d
		}
	}
	h.Free(key)
	return Decision{Verdict: NotReady, NotRun: true, Wait: callTimeout}
}

func (h *Holder) claim(key string, fingerprint uint64) Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.records.sweep(now)
	if !h.Ready() || h.closed {
		return Decision{Verdict: NotReady, Wait: recoverRetry}
	}
	if c := h.records.get(key, now); c != nil {
		return h.repeat(c, fingerprint)
	}
	if now < h.lostUntil && !h.Deduplicates {
		return Decision{Verdict: Lost, Wait: h.lostUntil.Sub(now)}
	}
	if len(h.records.byKey) >= MaxRecords {
		return Decision{Verdict: Full, NotRun: true, Wait: time.Second}
	}
	h.records.byKey[key] = &record{state: wire.ClaimRunning, fingerprint: fingerprint, claimedAt: now}
	return Decision{Verdict: Run}
}

func (h *Holder) repeat(c *record, fingerprint uint64) Decision {
	if c.fingerprint != 0 && fingerprint != 0 && c.fingerprint != fingerprint {
		return Decision{Verdict: OtherOrder, NotRun: true}
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

// Done settles an order that ran.
func (h *Holder) Done(key string, a Answer) {
	h.settle(key, wire.ClaimDone, a)
}

// Unknown settles an order that may have run.
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
		h.records.keep(c, a)
	}
	message := c.export(key, now)
	vm := h.mirror
	ready := h.phase == mirrorReady
	h.mu.Unlock()
	if ready {
		// The caller doesn't wait: a mirror that misses this answers "unknown", which is true as well.
		go func() {
			_, _ = h.tell(context.Background(), vm, message)
		}()
	}
}

// Free releases the claim of an order that certainly didn't run. The key can be claimed again only after the mirror has
// confirmed it or is given up: a message that arrives after the next claim of the key would let a successor run the order
// again.
func (h *Holder) Free(key string) {
	h.mu.Lock()
	c := h.records.byKey[key]
	running := c != nil && c.state == wire.ClaimRunning
	told, vm := h.phase == mirrorReady, h.mirror
	h.mu.Unlock()
	if !running {
		return
	}
	if told {
		reply, err := h.tell(context.Background(), vm, wire.Claim{Key: key, State: wire.ClaimFree})
		if err != nil || !reply.OK || !reply.Complete {
			h.dropMirror(vm, err == nil)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records.remove(key, c)
}

// Export returns all claims for a successor. Since is the holder's epoch once it is ready and its claims are complete.
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

// Ready tells whether the claims of the former holder have been fetched or given up.
func (h *Holder) Ready() bool {
	select {
	case <-h.ready:
		return true
	default:
		return false
	}
}

// Close stops claims and the mirror's refreshes. The claims can still be exported.
func (h *Holder) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	close(h.done)
}
