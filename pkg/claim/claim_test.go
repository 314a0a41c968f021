package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	group  = topology.GroupID("orders/d1/0")
	window = time.Minute
)

var errUnreachable = errors.New("router is unreachable")

// router simulates another router of the cell.
type router struct {
	mirror *Mirror
	holder *Holder
	down   bool
	stored int
}

// cell implements Cell with simulated routers. Members returns them in the order of their creation.
type cell struct {
	mu      sync.Mutex
	routers map[string]*router
	order   []string
}

func newCell(c clock.Clock, names ...string) *cell {
	n := &cell{routers: map[string]*router{}, order: names}
	for _, name := range names {
		n.routers[name] = &router{mirror: NewMirror(c)}
	}
	return n
}

func (c *cell) Members() []wire.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []wire.Member
	for _, name := range c.order {
		members = append(members, wire.Member{VM: name, Domain: "d2"})
	}
	return members
}

func (c *cell) reach(vm string) (*router, error) {
	r := c.routers[vm]
	if r == nil || r.down {
		return nil, errUnreachable
	}
	return r, nil
}

func (c *cell) MirrorClaim(_ context.Context, vm string, m *wire.MirrorClaim) (*wire.MirrorClaimReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, err := c.reach(vm)
	if err != nil {
		return nil, err
	}
	if m.Claim.Key != "" {
		r.stored++
	}
	reply := r.mirror.Store("h", m)
	return &reply, nil
}

func (c *cell) FetchClaims(_ context.Context, vm string, m *wire.FetchClaims) (*wire.ClaimsReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, err := c.reach(vm)
	if err != nil {
		return nil, err
	}
	reply := r.mirror.Fetch("", m.Group)
	if r.holder != nil {
		own := r.holder.Export()
		if own.Since > reply.Since {
			reply = own
		}
	}
	return &reply, nil
}

func (c *cell) set(vm string, change func(*router)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.routers[vm])
}

func newTestHolder(t *testing.T, c clock.Clock, cell Cell, epoch topology.Epoch) *Holder {
	h := NewHolder(Settings{
		Group:        group,
		Epoch:        epoch,
		Window:       window,
		Eligible:     func(wire.Member) bool { return true },
		Preferred:    func(wire.Member) bool { return true },
		OnMirrorLost: func(string) {},
	}, c, cell)
	t.Cleanup(h.Close)
	return h
}

// recoverHolder starts a holder that recovers the claims of a former epoch. It returns the holder once it is ready, and
// whether the claims were found.
func recoverHolder(t *testing.T, c *clock.Virtual, cell Cell, epoch, former topology.Epoch) (*Holder, bool) {
	t.Helper()
	h := newTestHolder(t, c, cell, epoch)
	result := make(chan bool, 1)
	none := func() wire.ClaimsReply { return wire.ClaimsReply{} }
	h.StartRecover(FormerHolder{VM: "h", Epoch: former}, 0, none, func(found bool, _ int) { result <- found })
	for {
		select {
		case found := <-result:
			return h, found
		case <-time.After(time.Millisecond):
			c.Advance(recoverRetryInterval)
		}
	}
}

func claimRequest(h *Holder, key string) Verdict {
	return h.Claim(context.Background(), key, 7).Verdict
}

// TestRepeatedRequests guards against a second execution of a request, and against a repeated request that gets a different
// response than the first.
func TestRepeatedRequests(t *testing.T) {
	c := clock.NewVirtual(1)
	h := newTestHolder(t, c, newCell(c, "m1"), 1)
	h.StartEmpty()
	if v := claimRequest(h, "a"); v != Run {
		t.Fatalf("verdict %v for a new request", v)
	}
	if v := claimRequest(h, "a"); v != InProgress {
		t.Errorf("verdict %v while the request runs", v)
	}
	h.Done("a", Answer{Status: 201, Body: []byte("x"), Kept: true})
	d := h.Claim(context.Background(), "a", 7)
	if d.Verdict != Repeat || d.Answer.Status != 201 || string(d.Answer.Body) != "x" {
		t.Errorf("%+v after the request was executed", d)
	}
	if d := h.Claim(context.Background(), "a", 8); d.Verdict != KeyReused {
		t.Errorf("verdict %v for a different request with the same key", d.Verdict)
	}
	claimRequest(h, "b")
	h.Unknown("b")
	if v := claimRequest(h, "b"); v != OutcomeUnknown {
		t.Errorf("verdict %v after an unknown outcome", v)
	}
	claimRequest(h, "c")
	h.Free("c")
	if v := claimRequest(h, "c"); v != Run {
		t.Errorf("verdict %v after a request that was not executed", v)
	}
	c.Advance(window)
	if v := claimRequest(h, "a"); v != Run {
		t.Errorf("verdict %v after the repeat window", v)
	}
}

// TestMirrorPreservesClaimsOfLostHolder guards against a request that runs before its claim is mirrored, and against claims
// that are lost together with the holder.
func TestMirrorPreservesClaimsOfLostHolder(t *testing.T) {
	c := clock.NewVirtual(1)
	cell := newCell(c, "m1", "m2")
	h := newTestHolder(t, c, cell, 1)
	h.StartEmpty()
	claimRequest(h, "a")
	cell.mu.Lock()
	stored := cell.routers["m1"].stored
	cell.mu.Unlock()
	if stored == 0 {
		t.Fatal("the request may run although no other router has its claim")
	}
	h.Close()
	next, found := recoverHolder(t, c, cell, 2, 1)
	if !found {
		t.Fatal("the mirror's claims were not found")
	}
	if v := claimRequest(next, "a"); v != OutcomeUnknown {
		t.Errorf("verdict %v for a request that was running at the lost holder", v)
	}
	if v := claimRequest(next, "b"); v != Run {
		t.Errorf("verdict %v for a new request", v)
	}
}

// TestMirrorRemovesFreedClaims guards against a request that is first refused as not executed, and after a takeover gets the
// outcome "unknown" because the mirror still has its claim.
func TestMirrorRemovesFreedClaims(t *testing.T) {
	c := clock.NewVirtual(1)
	cell := newCell(c, "m1")
	h := newTestHolder(t, c, cell, 1)
	h.StartEmpty()
	claimRequest(h, "a")
	h.Free("a")
	h.Close()
	next, _ := recoverHolder(t, c, cell, 2, 1)
	if v := claimRequest(next, "a"); v != Run {
		t.Errorf("verdict %v", v)
	}
}

// TestLossOfHolderAndMirrorRefusesRequestsForWindow guards against a second execution after the holder and the mirror are
// lost together.
func TestLossOfHolderAndMirrorRefusesRequestsForWindow(t *testing.T) {
	c := clock.NewVirtual(1)
	cell := newCell(c, "m1")
	h := newTestHolder(t, c, cell, 1)
	h.StartEmpty()
	claimRequest(h, "a")
	h.Close()
	cell.set("m1", func(r *router) { r.down = true })
	next, found := recoverHolder(t, c, cell, 2, 1)
	if found {
		t.Fatal("claims were found although the holder and the mirror are lost")
	}
	if v := claimRequest(next, "a"); v != ClaimsLost {
		t.Fatalf("verdict %v", v)
	}
	c.Advance(clock.WithDrift(window))
	cell.set("m1", func(r *router) { r.down = false })
	if v := claimRequest(next, "a"); v != Run {
		t.Errorf("verdict %v after the repeat window", v)
	}
}

// TestOutdatedMirrorIsRejected guards against the use of an outdated copy: a mirror that missed messages of its holder must
// not report its copy as complete once another mirror has newer claims.
func TestOutdatedMirrorIsRejected(t *testing.T) {
	c := clock.NewVirtual(1)
	cell := newCell(c, "m1", "m2")
	h := newTestHolder(t, c, cell, 1)
	h.StartEmpty()
	claimRequest(h, "a")
	cell.set("m1", func(r *router) { r.down = true })
	if v := claimRequest(h, "b"); v != NotReady {
		t.Fatalf("verdict %v while the lost mirror may report its copy as complete", v)
	}
	for claimRequest(h, "b") != Run {
		c.Advance(refreshInterval)
		time.Sleep(time.Millisecond)
	}
	h.Close()
	cell.set("m1", func(r *router) { r.down = false })
	cell.set("m2", func(r *router) { r.down = true })
	if next, found := recoverHolder(t, c, cell, 2, 1); found {
		t.Fatalf("the outdated copy was accepted; verdict %v for a request that was executed", claimRequest(next, "b"))
	}
}

// TestLeavingMirrorIsReplacedImmediately guards against requests that are refused after a planned stop of the mirror.
func TestLeavingMirrorIsReplacedImmediately(t *testing.T) {
	c := clock.NewVirtual(1)
	cell := newCell(c, "m1", "m2")
	h := newTestHolder(t, c, cell, 1)
	h.StartEmpty()
	claimRequest(h, "a")
	cell.set("m1", func(r *router) { r.mirror.Leave() })
	if v := claimRequest(h, "b"); v != Run || h.Mirror() != "m2" {
		t.Errorf("verdict %v with mirror %q", v, h.Mirror())
	}
}

// TestNewerHolderIsPreferred guards against a takeover that ignores a holder with a newer epoch than the known former one.
func TestNewerHolderIsPreferred(t *testing.T) {
	c := clock.NewVirtual(1)
	cell := newCell(c, "m1", "m2")
	old := newTestHolder(t, c, newCell(c), 1)
	old.StartEmpty()
	newer := newTestHolder(t, c, newCell(c), 2)
	newer.StartEmpty()
	claimRequest(newer, "a")
	newer.Done("a", Answer{Status: 200, Kept: true})
	cell.set("m1", func(r *router) { r.holder = old })
	cell.set("m2", func(r *router) { r.holder = newer })
	next, found := recoverHolder(t, c, cell, 3, 1)
	if v := claimRequest(next, "a"); !found || v != Repeat {
		t.Errorf("found %v, verdict %v", found, v)
	}
}

// TestRecordLimitRefusesInsteadOfEvicting guards against an unbounded number of claims, and against a limit that evicts
// claims within the repeat window.
func TestRecordLimitRefusesInsteadOfEvicting(t *testing.T) {
	c := clock.NewVirtual(1)
	h := newTestHolder(t, c, newCell(c), 1)
	h.StartEmpty()
	for i := range MaxRecords {
		h.claim(fmt.Sprint(i), 0)
	}
	if v := claimRequest(h, "one more"); v != Full {
		t.Errorf("verdict %v above the limit", v)
	}
	if v := claimRequest(h, "0"); v != InProgress {
		t.Errorf("verdict %v for the oldest claim", v)
	}
}

// TestMirrorRefusesFormerHolder guards against a mirror that accepts messages from a former holder.
func TestMirrorRefusesFormerHolder(t *testing.T) {
	m := NewMirror(clock.NewVirtual(1))
	begin := wire.Claim{State: controlBegin}
	m.Store("h2", &wire.MirrorClaim{Group: group, Epoch: 2, Claim: begin})
	if reply := m.Store("h1", &wire.MirrorClaim{Group: group, Epoch: 1, Claim: begin}); reply.OK {
		t.Error("the mirror accepted an older epoch")
	}
}
