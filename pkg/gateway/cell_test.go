package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/claim"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/peer"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

var errRouterDown = errors.New("the router does not answer")

// routers is a cell of gateways in one process. A lost router neither sends nor answers and has no authority.
type routers struct {
	mu       sync.Mutex
	order    []string
	gateways map[string]*Gateway
	leases   map[string]*authority
	down     map[string]bool
	table    *topology.Table
	config   *config.Config
}

// link is a router's way to the others.
type link struct {
	cell *routers
	from string
}

func (l link) reach(vm string) (*Gateway, error) {
	l.cell.mu.Lock()
	defer l.cell.mu.Unlock()
	if l.cell.down[vm] || l.cell.down[l.from] {
		return nil, errRouterDown
	}
	return l.cell.gateways[vm], nil
}

func (l link) Members() []wire.Member {
	var members []wire.Member
	for _, vm := range l.cell.order {
		if vm != l.from {
			members = append(members, wire.Member{VM: vm, Domain: testDomain})
		}
	}
	return members
}

func (l link) MirrorClaim(_ context.Context, vm string, m *wire.MirrorClaim) (*wire.MirrorClaimReply, error) {
	gw, err := l.reach(vm)
	if err != nil {
		return nil, err
	}
	return gw.StoreClaim(l.from, m), nil
}

func (l link) FetchClaims(_ context.Context, vm string, m *wire.FetchClaims) (*wire.ClaimsReply, error) {
	gw, err := l.reach(vm)
	if err != nil {
		return nil, err
	}
	return gw.Claims(l.from, m), nil
}

func (l link) SendSuspects(_ context.Context, m *wire.Suspects) {
	for _, other := range l.Members() {
		if gw, err := l.reach(other.VM); err == nil {
			gw.AcceptSuspects(m)
		}
	}
}

func (l link) SendSuspectsToRegion(context.Context, string, string, *wire.Suspects) {}

// newRouters starts a cell with the given VMs. The first one holds the group.
func newRouters(f *fixture, vms ...string) *routers {
	r := &routers{
		order: vms, gateways: map[string]*Gateway{}, leases: map[string]*authority{}, down: map[string]bool{}, table: f.table,
		config: &config.Config{
			Regions: []config.Region{{Name: "r1", Domains: []string{testDomain}}},
			Pools:   []config.Pool{f.pool},
			Routes:  []config.Route{{Name: "orders", Pool: testPool}},
		},
	}
	for _, vm := range vms {
		lease := &authority{}
		lease.set(1 << 62)
		r.leases[vm] = lease
		r.gateways[vm] = New(Options{
			Authority: lease, Clock: clock.Boottime{}, Log: event.Discard(), Scope: tally.NoopScope, Cell: link{r, vm},
		})
	}
	f.tb.Cleanup(func() {
		for _, gw := range r.gateways {
			(&fixture{gateway: gw}).stop()
		}
	})
	r.hold(vms[0], f.table.Groups[0].Epoch)
	return r
}

// hold publishes a table in which a VM holds the group.
func (r *routers) hold(vm string, epoch topology.Epoch) {
	r.table.Version.Sequence++
	r.table.Groups[0].Gateway = vm
	r.table.Groups[0].Epoch = epoch
	for _, name := range r.order {
		r.mu.Lock()
		down := r.down[name]
		r.mu.Unlock()
		if down {
			continue
		}
		table := *r.table
		table.Groups = append([]topology.Group(nil), r.table.Groups...)
		r.gateways[name].Apply(&exchange.View{
			Config: r.config, Tables: map[string]*topology.Table{"cell": &table}, Cell: "cell", VM: name,
		})
	}
}

// markLost cuts a router off; its lease ends with it.
func (r *routers) lose(vm string) {
	r.leases[vm].set(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[vm] = true
}

// send runs an order at a router and returns the refusal, nil if it was answered.
func (r *routers) send(ctx context.Context, vm string, order *wire.Request) error {
	f := &fixture{gateway: r.gateways[vm]}
	_, _, err := f.do(ctx, order, "body")
	return err
}

// Guards against a second execution of orders that are sent again to the next gateway after their own one was lost in the
// middle of the work, with the mirror alive and with the mirror lost too.
func TestOrdersRunAtMostOnceAfterALostGateway(t *testing.T) {
	for _, mirrorLost := range []bool{false, true} {
		o := defaultPool(4)
		o.pool.MaxDeadline = 200
		for i := range o.settings {
			o.settings[i].ServiceMillis = 10
		}
		f := newFixture(t, o)
		r := newRouters(f, "a", "b", "c")
		random := rand.New(rand.NewPCG(7, 8))
		const orders = 40
		var wg sync.WaitGroup
		for i := range orders {
			delay := time.Duration(random.IntN(60)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(delay)
				_ = r.send(within(t, 100*time.Millisecond), "a", newOrder(fmt.Sprintf("order-%d", i), 1))
			})
		}
		time.Sleep(30 * time.Millisecond)
		r.lose("a")
		if mirrorLost {
			r.lose("b")
		}
		wg.Wait()
		successor := "c"
		r.hold(successor, topology.NewGroupEpoch(1, 2))
		lost, answered := 0, 0
		for attempt := range 3 {
			for i := range orders {
				err := r.send(within(t, time.Second), successor, newOrder(fmt.Sprintf("order-%d", i), 1))
				var refusal *problem.Error
				if errors.As(err, &refusal) && refusal.Code == problem.CodeClaimLost {
					lost++
				}
				if err == nil {
					answered++
				}
			}
			if attempt == 0 {
				eventually(t, "the takeover wait is over", func() bool {
					g := (*r.gateways[successor].groups.Load())[testGroup]
					g.mu.Lock()
					defer g.mu.Unlock()
					return g.startable(g.clock.Now()) && g.claims.Ready()
				})
			}
		}
		for i := range orders {
			if n := f.runs(fmt.Sprintf("order-%d", i)); n > 1 {
				t.Errorf("mirror lost %v: order %d ran %d times", mirrorLost, i, n)
			}
		}
		if mirrorLost && answered > 0 {
			t.Errorf("%d orders were answered although all claims are lost", answered)
		}
		if !mirrorLost && answered == 0 {
			t.Error("no order was answered after the takeover")
		}
		t.Logf("mirror lost %v: %d refused as claim-lost, %d answered", mirrorLost, lost, answered)
	}
}

// Guards against a planned hand-over that forgets claims, refuses orders for the repeat window, or waits as if the former
// holder were lost.
func TestPlannedHandOverPassesClaimsOn(t *testing.T) {
	f := newFixture(t, defaultPool(2))
	r := newRouters(f, "a", "b")
	if err := r.send(within(t, time.Second), "a", newOrder("order", 1)); err != nil {
		t.Fatal(err)
	}
	r.hold("", topology.NewGroupEpoch(1, 1))
	eventually(t, "the group is released", func() bool {
		held := r.gateways["a"].Report().Held
		return len(held) == 1 && held[0].State == wire.HoldReleased
	})
	r.hold("b", topology.NewGroupEpoch(1, 2))
	handed := time.Now()
	eventually(t, "the repeat gets the recorded answer", func() bool {
		return r.send(within(t, time.Second), "b", newOrder("order", 1)) == nil
	})
	eventually(t, "a new order runs", func() bool {
		return r.send(within(t, time.Second), "b", newOrder("another", 1)) == nil
	})
	if took := time.Since(handed); took > f.pool.MaxDeadline.Duration()/4 {
		t.Errorf("a new order ran %v after the hand-over", took)
	}
	if n := f.runs("order"); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// Guards against a poison request that takes down a target per router.
func TestQuarantineSpreadsInTheCell(t *testing.T) {
	f := newFixture(t, defaultPool(4))
	r := newRouters(f, "a", "b")
	poison := func() *wire.Request {
		q := newRequest(http.MethodGet, "/status/crash-target")
		q.Fingerprint = 9
		return q
	}
	_ = r.send(within(t, time.Second), "a", poison())
	eventually(t, "the crashed target accepts no connection", func() bool {
		for _, b := range f.backends {
			if b.crashes.Load() == 0 {
				continue
			}
			c, err := net.Dial("tcp", b.address)
			if err == nil {
				_ = c.Close()
			}
			return err != nil
		}
		return false
	})
	r.hold("b", topology.NewGroupEpoch(1, 2))
	g := (*r.gateways["b"].groups.Load())[testGroup]
	g.mu.Lock()
	g.notBefore = 0
	g.mu.Unlock()
	var last error
	for range 5 {
		last = r.send(within(t, time.Second), "b", poison())
	}
	wantRefusal(t, last, problem.CodeQuarantined, problem.NotRun)
	if n := f.crashed(); n != 2 {
		t.Errorf("%d targets crashed", n)
	}
}

// Guards against a holder that confirms its release while one of its requests is still in flight.
func TestReleaseIsConfirmedOnlyWhenNothingIsInFlight(t *testing.T) {
	o := defaultPool(1)
	o.settings[0].ServiceMillis = 300
	f := newFixture(t, o)
	r := newRouters(f, "a", "b")
	done := make(chan error, 1)
	go func() {
		done <- r.send(within(t, time.Second), "a", newRequest(http.MethodGet, "/status/k"))
	}()
	eventually(t, "the request is at the target", func() bool { return f.backends[0].Summary().Executing == 1 })
	r.hold("b", topology.NewGroupEpoch(1, 2))
	confirmed := false
	for f.backends[0].Summary().Executing == 1 {
		confirmed = confirmed || r.gateways["a"].Claims("b", &wire.FetchClaims{Group: testGroup}).Since != 0
		time.Sleep(time.Millisecond)
	}
	if confirmed {
		t.Error("the release was confirmed while a request was in flight")
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	eventually(t, "the new holder serves", func() bool {
		return r.send(within(t, time.Second), "b", newRequest(http.MethodGet, "/status/k")) == nil
	})
}

// Guards against messages between gateways that the peer protocol doesn't carry, and against a reply that exceeds a frame.
func TestCellCallsOverThePeerProtocol(t *testing.T) {
	f := newFixture(t, defaultPool(1))
	server := peer.NewServer("b")
	f.gateway.Register(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown(within(t, time.Second)) })
	client := peer.NewClient("a")
	t.Cleanup(client.Close)
	address := listener.Addr().String()
	ctx := within(t, 5*time.Second)
	store := func(c wire.Claim) wire.MirrorClaimReply {
		var reply wire.MirrorClaimReply
		message := &wire.MirrorClaim{Group: testGroup, Epoch: 1, Claim: c}
		if err := client.Call(ctx, address, wire.TypeMirrorClaim, message, wire.TypeMirrorClaimReply, &reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	store(wire.Claim{State: wire.ClaimFree})
	body := make([]byte, claim.MaxBodyBytes)
	for i := range 100 {
		store(wire.Claim{Key: fmt.Sprint(i), State: wire.ClaimDone, Status: 200, Body: body})
	}
	if reply := store(wire.Claim{State: wire.ClaimDone}); !reply.OK || !reply.Complete {
		t.Fatalf("the copy was not sealed: %+v", reply)
	}
	other := peer.NewClient("c")
	t.Cleanup(other.Close)
	var claims wire.ClaimsReply
	err = other.Call(ctx, address, wire.TypeFetchClaims, &wire.FetchClaims{Group: testGroup}, wire.TypeClaimsReply, &claims)
	if err != nil || claims.Since != 1 || len(claims.Claims) != 100 {
		t.Errorf("%d claims since %d, error %v", len(claims.Claims), claims.Since, err)
	}
	var reply wire.SuspectsReply
	suspects := &wire.Suspects{Suspects: []wire.Suspect{{Fingerprint: 5, Crashes: 1, TTLMillis: 60000}}}
	if err := client.Call(ctx, address, wire.TypeSuspects, suspects, wire.TypeSuspectsReply, &reply); err != nil {
		t.Error(err)
	}
	if v := f.gateway.suspects.Verdict(5); v != quarantine.Suspected {
		t.Errorf("verdict %v", v)
	}
}

// Guards against a planned hand-over that fails an order: each one either runs once or is refused as "not run", so that the
// entry router sends it to the new holder.
func TestPlannedHandOverFailsNoOrder(t *testing.T) {
	f := newFixture(t, defaultPool(3))
	r := newRouters(f, "a", "b", "c")
	var holder atomic.Value
	holder.Store("a")
	var stop atomic.Bool
	var sent, retries atomic.Int64
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				key := fmt.Sprintf("order-%d-%d", i, n)
				for {
					err := r.send(within(t, 2*time.Second), holder.Load().(string), newOrder(key, 1))
					if err == nil {
						sent.Add(1)
						break
					}
					if outcomeOf(err) != problem.NotRun {
						t.Errorf("%s: %v", key, err)
						break
					}
					retries.Add(1)
					time.Sleep(2 * time.Millisecond)
				}
			}
		})
	}
	for i := range 6 {
		time.Sleep(50 * time.Millisecond)
		from, to := r.order[i%3], r.order[(i+1)%3]
		epoch := topology.NewGroupEpoch(1, uint64(i+1))
		r.hold("", epoch)
		eventually(t, "the group is released", func() bool {
			for _, held := range r.gateways[from].Report().Held {
				if held.Epoch == epoch {
					return held.State == wire.HoldReleased
				}
			}
			return true
		})
		r.hold(to, epoch+1)
		holder.Store(to)
	}
	time.Sleep(50 * time.Millisecond)
	stop.Store(true)
	wg.Wait()
	runs := map[string]int{}
	for _, b := range f.backends {
		for _, e := range b.executions() {
			runs[e.OrderKey]++
		}
	}
	for key, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	if int64(len(runs)) != sent.Load() {
		t.Errorf("%d orders were answered, %d ran", sent.Load(), len(runs))
	}
	t.Logf("%d orders answered, %d refused as \"not run\" and sent again", sent.Load(), retries.Load())
}
