package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/filter/filtertest"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// fakeTables implements Tables. Each Refresh replaces the snapshot by the next one.
type fakeTables struct {
	mu        sync.Mutex
	view      *exchange.View
	next      []*exchange.View
	refreshes int
}

func (f *fakeTables) View() *exchange.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeTables) Refresh(ctx context.Context, _ string, _ topology.Version, _ string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshes++
	if len(f.next) == 0 {
		return false
	}
	f.view = f.next[0]
	f.next = f.next[1:]
	return true
}

// gateways records the requests that each gateway received and calls answer for the response.
type gateways struct {
	mu       sync.Mutex
	received map[string][]*wire.Request
	answer   func(ctx context.Context, gateway string, request *wire.Request, body io.Reader) (*exchange.Response, error)
}

type gatewayHandler struct {
	g    *gateways
	name string
}

func (h gatewayHandler) Handle(ctx context.Context, request *wire.Request, body io.Reader) (*exchange.Response, error) {
	h.g.mu.Lock()
	h.g.received[h.name] = append(h.g.received[h.name], request)
	h.g.mu.Unlock()
	return h.g.answer(ctx, h.name, request, body)
}

// requests returns a copy of the requests that each gateway has received. Attempts may still be running.
func (g *gateways) requests() map[string][]*wire.Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	copied := map[string][]*wire.Request{}
	for name, requests := range g.received {
		copied[name] = slices.Clone(requests)
	}
	return copied
}

func (g *gateways) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.received {
		n += len(r)
	}
	return n
}

func ok(request *wire.Request) *exchange.Response {
	head := wire.Response{ID: request.ID, Status: 200, FreeSlots: 1, LatencyMicros: 1000}
	return &exchange.Response{Head: head, Body: io.NopCloser(strings.NewReader(""))}
}

func refuseWith(code problem.Code, outcome problem.Outcome) error {
	return problem.New(503, code, outcome, "refused")
}

// tables returns tables for filtertest.Config in which each group's gateway has the name of the group.
func tables(sequence uint64) map[string]*topology.Table {
	out := map[string]*topology.Table{}
	for cell, domains := range map[string][]string{"north": {"north-a", "north-b"}, "south": {"south-a"}} {
		t := &topology.Table{Cell: cell, Version: topology.Version{Term: 1, Sequence: sequence}}
		for _, pool := range filtertest.Config().Pools {
			for _, target := range pool.Targets {
				for _, d := range domains {
					if target.Domain == d {
						id := topology.NewGroupID(pool.Name, d, 0)
						t.Groups = append(t.Groups, topology.Group{ID: id, Targets: []string{target.ID}, Gateway: string(id), GatewayAddress: string(id), Epoch: 7})
					}
				}
			}
		}
		owner := map[string]string{"north": "k1", "south": "k3"}[cell]
		t.Slices = []topology.Slice{{Pool: "keyed", High: 1<<64 - 1, Owner: owner, Epoch: 5}}
		t.Sort()
		out[cell] = t
	}
	return out
}

func view(sequence uint64) *exchange.View {
	return &exchange.View{Config: filtertest.Config(), Tables: tables(sequence), Cell: "north", VM: "vm-1"}
}

type fixture struct {
	*Filter
	tables   *fakeTables
	gateways *gateways
}

func newFixture(region string) *fixture {
	f := &fixture{tables: &fakeTables{view: view(1)}, gateways: &gateways{received: map[string][]*wire.Request{}}}
	f.gateways.answer = func(_ context.Context, _ string, r *wire.Request, _ io.Reader) (*exchange.Response, error) {
		return ok(r), nil
	}
	f.Filter = New(Options{
		Region: region,
		Tables: f.tables,
		Local:  gatewayHandler{f.gateways, "local"},
		Remote: func(address string) exchange.Handler { return gatewayHandler{f.gateways, address} },
		Clock:  clock.Boottime{},
	})
	return f
}

func (f *fixture) exchange(t *testing.T, method, url, route string, body string) *filter.Exchange {
	x := filtertest.Route(filtertest.NewExchange(t, method, url, nil), route)
	x.View = f.tables.View()
	x.ID = "id"
	x.Body = filter.NewBody(strings.NewReader(body), int64(len(body)), 128<<20)
	if _, err := x.Body.Prefix(); err != nil {
		t.Fatal(err)
	}
	return x
}

func (f *fixture) run(t *testing.T, x *filter.Exchange) (*exchange.Response, *problem.Error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	response, err := f.Handle(ctx, x, nil)
	if err == nil {
		_ = response.Body.Close()
		return response, nil
	}
	var p *problem.Error
	if !errors.As(err, &p) {
		t.Fatalf("error %v is not a *problem.Error", err)
	}
	return nil, p
}

// Guards against routers that choose different cells for the same key, and against keys sent outside their home regions.
func TestKeyedCell(t *testing.T) {
	cells := map[string]int{}
	for i := range 300 {
		north, south := newFixture("north"), newFixture("south")
		for _, f := range []*fixture{north, south} {
			x := f.exchange(t, "GET", "/keyed/x", "keyed", "")
			x.Key = fmt.Sprint(i)
			if _, err := f.run(t, x); err != nil {
				t.Fatal(err)
			}
		}
		var chosen string
		for gateway, requests := range north.gateways.requests() {
			chosen = gateway
			r := requests[0]
			if r.SliceEpoch != 5 || r.GroupEpoch != 7 || !r.Keyed || r.KeyHash != topology.KeyHash("keyed", "", fmt.Sprint(i)) {
				t.Errorf("request %+v", r)
			}
		}
		if len(south.gateways.requests()[chosen]) != 1 {
			t.Fatalf("key %d: the routers of two regions chose different gateways", i)
		}
		cells[chosen]++
	}
	// Two of three targets are in the north.
	if n := cells["keyed/north-a/0"]; n < 160 || n > 240 || len(cells) != 2 {
		t.Errorf("keys by gateway: %v", cells)
	}
	for i := range 50 {
		f := newFixture("north")
		x := f.exchange(t, "GET", "/keyed/x", "keyed", "")
		x.Key, x.HomeRegions, x.Tenant, x.TenantHasHomeRegions = fmt.Sprint(i), []string{"north"}, "northern", true
		if _, err := f.run(t, x); err != nil || len(f.gateways.requests()["keyed/north-a/0"]) != 1 {
			t.Fatalf("bound key left its region: %v", f.gateways.requests())
		}
	}
}

// Guards against a home group of an order that depends on whether a domain is out of service or a group has no targets, so
// that two routers would choose different groups.
func TestOrderHome(t *testing.T) {
	homes := map[topology.GroupID]int{}
	for i := range 200 {
		var chosen []topology.GroupID
		for _, out := range []bool{false, true} {
			f := newFixture("north")
			v := view(1)
			if out {
				v.Config.Out = config.Out{Domains: []string{"north-a"}}
				v.Tables["north"].Groups[0].Targets = nil
			}
			f.tables.view = v
			x := f.exchange(t, "POST", "/orders", "orders", "order")
			x.IdempotencyKey = fmt.Sprint(i)
			if _, err := f.run(t, x); err != nil {
				t.Fatal(err)
			}
			for _, requests := range f.gateways.requests() {
				chosen = append(chosen, requests[0].Group)
			}
		}
		if len(chosen) != 2 || chosen[0] != chosen[1] {
			t.Fatalf("order %d went to %v", i, chosen)
		}
		homes[chosen[0]]++
	}
	if len(homes) != 3 {
		t.Errorf("orders by group: %v", homes)
	}
}

// Guards against serving a key or an order in two cells or groups while a change of the targets propagates.
func TestGuard(t *testing.T) {
	f := newFixture("north")
	guarded := func(v *exchange.View, request *wire.Request) bool {
		reached := false
		next := handlerFunc(func() { reached = true })
		_, err := NewGuard(&fakeTables{view: v}, next).Handle(context.Background(), request, nil)
		if (err == nil) != reached {
			t.Errorf("error %v, reached %v", err, reached)
		}
		return !reached
	}
	changed := view(1)
	for i := range changed.Config.Pools {
		p := &changed.Config.Pools[i]
		p.Targets = append(p.Targets, config.Target{ID: "new", Domain: "south-b"})
		p.Targets = append(p.Targets, config.Target{ID: "newer", Domain: "south-b"})
	}
	changed.Config.Regions[1].Domains = append(changed.Config.Regions[1].Domains, "south-b")
	refused := map[string]int{}
	for i := range 200 {
		for _, route := range []string{"keyed", "orders"} {
			x := f.exchange(t, "POST", "/x", route, "")
			x.Key, x.IdempotencyKey = fmt.Sprint(i), fmt.Sprint(i)
			locate := f.locateKey(x)
			if route == "orders" {
				locate = f.locateOrder(x)
			}
			p, err := locate(f.tables.view)
			if err != nil {
				t.Fatal(err)
			}
			request := f.wireRequest(x, p)
			same, other := view(1), *changed
			same.Cell, other.Cell = p.cell, p.cell
			if guarded(same, request) {
				t.Fatalf("%s %d is refused by a gateway with the same configuration", route, i)
			}
			if guarded(&other, request) {
				refused[route]++
			}
		}
	}
	// Three targets become five, two of them in the other cell: about 1/5 to 2/5 of the assignments change.
	for _, route := range []string{"keyed", "orders"} {
		if n := refused[route]; n < 20 || n > 100 {
			t.Errorf("%s: %d of 200 are refused by a gateway with another configuration", route, n)
		}
	}
}

// handlerFunc is a handler that only calls the function.
type handlerFunc func()

func (h handlerFunc) Handle(context.Context, *wire.Request, io.Reader) (*exchange.Response, error) {
	h()
	return nil, nil
}

// Guards against running a non-idempotent request a second time after it may have run.
func TestOrderIsNotResent(t *testing.T) {
	for _, code := range []problem.Code{problem.CodeGatewayLost, problem.CodeTargetFailed, problem.CodeStaleOwnership} {
		f := newFixture("north")
		f.tables.next = []*exchange.View{view(2), view(3)}
		f.gateways.answer = func(context.Context, string, *wire.Request, io.Reader) (*exchange.Response, error) {
			return nil, refuseWith(code, problem.Unknown)
		}
		x := f.exchange(t, "POST", "/orders", "orders", "order")
		x.IdempotencyKey = "k"
		_, err := f.run(t, x)
		if err == nil || err.Outcome != problem.Unknown || f.gateways.count() != 1 {
			t.Errorf("%s: %v after %d attempts", code, err, f.gateways.count())
		}
	}
}

// Guards against resending a large body that can't be rewound, which would send only its remaining part.
func TestLargeBodyIsNotResent(t *testing.T) {
	f := newFixture("north")
	f.tables.next = []*exchange.View{view(2), view(3)}
	f.gateways.answer = func(_ context.Context, _ string, _ *wire.Request, body io.Reader) (*exchange.Response, error) {
		_, _ = io.Copy(io.Discard, body)
		return nil, refuseWith(problem.CodeStaleOwnership, problem.NotRun)
	}
	x := f.exchange(t, "POST", "/orders", "orders", strings.Repeat("x", 200<<10))
	x.IdempotencyKey = "k"
	if _, err := f.run(t, x); err == nil || f.gateways.count() != 1 {
		t.Errorf("%v after %d attempts", err, f.gateways.count())
	}
}

// Guards against refusing a request during a planned handover although the new gateway is known shortly afterwards.
func TestHandover(t *testing.T) {
	for _, route := range []string{"keyed", "orders"} {
		f := newFixture("north")
		without := view(2)
		for _, table := range without.Tables {
			for i := range table.Groups {
				table.Groups[i].Gateway = ""
			}
		}
		f.tables.next = []*exchange.View{without, view(3)}
		f.gateways.answer = func(_ context.Context, _ string, r *wire.Request, body io.Reader) (*exchange.Response, error) {
			if f.gateways.count() == 1 {
				return nil, refuseWith(problem.CodeStaleOwnership, problem.NotRun)
			}
			data, err := io.ReadAll(body)
			if string(data) != "body" || err != nil {
				t.Errorf("body %q, %v", data, err)
			}
			return ok(r), nil
		}
		x := f.exchange(t, "POST", "/x", route, "body")
		x.Key, x.IdempotencyKey = "k", "k"
		if _, err := f.run(t, x); err != nil || f.gateways.count() != 2 {
			t.Errorf("%s: %v after %d attempts", route, err, f.gateways.count())
		}
	}
}

// Guards against refusing orders while a new gateway collects claims, and against waiting when the claims are lost for the
// whole repeat window or the response to the order wasn't kept.
func TestOrderWaitsForClaims(t *testing.T) {
	for _, c := range []struct {
		outcome  problem.Outcome
		after    time.Duration
		attempts int
	}{
		{problem.Unknown, 300 * time.Millisecond, 3},
		{problem.NotRun, 300 * time.Millisecond, 3},
		{problem.Unknown, time.Minute, 1},
		{problem.Ran, 0, 1},
	} {
		f := newFixture("north")
		f.gateways.answer = func(_ context.Context, _ string, r *wire.Request, _ io.Reader) (*exchange.Response, error) {
			if f.gateways.count() < 3 {
				return nil, problem.New(503, problem.CodeClaimLost, c.outcome, "claims").After(c.after)
			}
			return ok(r), nil
		}
		x := f.exchange(t, "POST", "/orders", "orders", "order")
		x.IdempotencyKey = "k"
		_, err := f.run(t, x)
		if f.gateways.count() != c.attempts || (err == nil) != (c.attempts == 3) {
			t.Errorf("%+v: %v after %d attempts", c, err, f.gateways.count())
		}
	}
}

// Guards against making callers of a lost gateway wait until shortly before their deadline.
func TestLostGatewayIsAnsweredAtOnce(t *testing.T) {
	f := newFixture("north")
	f.gateways.answer = func(context.Context, string, *wire.Request, io.Reader) (*exchange.Response, error) {
		return nil, refuseWith(problem.CodeGatewayLost, problem.NotRun)
	}
	x := f.exchange(t, "GET", "/keyed/x", "keyed", "")
	x.Key = "k"
	_, err := f.run(t, x)
	if err == nil || err.Outcome != problem.NotRun || err.RetryAfter <= 0 || f.gateways.count() != 1 || f.tables.refreshes != 1 {
		t.Errorf("%v, retry after %v, %d attempts", err, err.RetryAfter, f.gateways.count())
	}
}

// Guards against refusing an unkeyed request while its pool's groups are handed over, and against making it wait when all
// gateways are lost.
func TestUnkeyedHandover(t *testing.T) {
	f := newFixture("north")
	f.tables.next = []*exchange.View{view(2)}
	f.gateways.answer = func(_ context.Context, _ string, r *wire.Request, _ io.Reader) (*exchange.Response, error) {
		if f.gateways.count() <= 3 {
			return nil, refuseWith(problem.CodeStaleOwnership, problem.NotRun)
		}
		return ok(r), nil
	}
	if _, err := f.run(t, f.exchange(t, "GET", "/plain", "plain", "")); err != nil || f.gateways.count() != 4 {
		t.Errorf("%v after %d attempts", err, f.gateways.count())
	}
	f = newFixture("north")
	f.gateways.answer = func(context.Context, string, *wire.Request, io.Reader) (*exchange.Response, error) {
		return nil, refuseWith(problem.CodeGatewayLost, problem.NotRun)
	}
	if _, err := f.run(t, f.exchange(t, "GET", "/plain", "plain", "")); err == nil || f.gateways.count() != 3 {
		t.Errorf("%v after %d attempts", err, f.gateways.count())
	}
}

// Guards against callers that are refused at the same time and all retry at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	seen := map[time.Duration]bool{}
	for range 50 {
		d := jitter(time.Second)
		if d < 500*time.Millisecond || d >= 1500*time.Millisecond {
			t.Errorf("jitter returned %v", d)
		}
		seen[d] = true
	}
	if len(seen) < 10 {
		t.Errorf("only %d different values", len(seen))
	}
}

// Guards against accepting the response to another request.
func TestResponseToAnotherRequestIsRejected(t *testing.T) {
	f := newFixture("north")
	f.gateways.answer = func(_ context.Context, _ string, r *wire.Request, _ io.Reader) (*exchange.Response, error) {
		response := ok(r)
		response.Head.ID = "id.999"
		return response, nil
	}
	x := f.exchange(t, "POST", "/orders", "orders", "")
	x.IdempotencyKey = "k"
	if _, err := f.run(t, x); err == nil || err.Outcome != problem.Unknown {
		t.Error(err)
	}
}

// Guards against sending unkeyed requests to another region unnecessarily, or outside their home regions at all.
func TestUnkeyedPrefersOwnRegion(t *testing.T) {
	f := newFixture("south")
	for range 50 {
		if _, err := f.run(t, f.exchange(t, "GET", "/plain", "plain", "")); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(f.gateways.requests()["plain/south-a/0"]); n != 50 {
		t.Errorf("%d of 50 requests stayed in their region", n)
	}
	f = newFixture("south")
	for range 50 {
		x := f.exchange(t, "GET", "/plain", "plain", "")
		x.HomeRegions = []string{"north"}
		if _, err := f.run(t, x); err != nil {
			t.Fatal(err)
		}
	}
	if len(f.gateways.requests()["plain/south-a/0"]) != 0 {
		t.Error("a bound request left its home region")
	}
}

// Guards against sending requests to a domain that operators have taken out of service.
func TestUnkeyedAvoidsDomainOut(t *testing.T) {
	f := newFixture("north")
	f.tables.view.Config.Out.Domains = []string{"north-a"}
	for range 50 {
		if _, err := f.run(t, f.exchange(t, "GET", "/plain", "plain", "")); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(f.gateways.requests()["plain/north-a/0"]); n != 0 {
		t.Errorf("%d requests went to the domain out of service", n)
	}
}

// Guards against a choice of groups that ignores the reported load.
func TestUnkeyedPrefersLessLoaded(t *testing.T) {
	f := newFixture("north")
	f.gateways.answer = func(_ context.Context, gateway string, r *wire.Request, _ io.Reader) (*exchange.Response, error) {
		response := ok(r)
		if gateway == "plain/north-a/0" {
			response.Head.QueueLength, response.Head.FreeSlots = 50, 0
		}
		return response, nil
	}
	for range 200 {
		if _, err := f.run(t, f.exchange(t, "GET", "/plain", "plain", "")); err != nil {
			t.Fatal(err)
		}
	}
	// The loaded group is chosen only if both random choices are the loaded group, which happens for a quarter of the requests.
	if n := len(f.gateways.requests()["plain/north-a/0"]); n > 80 {
		t.Errorf("%d of 200 requests went to the loaded group", n)
	}
}

// Guards against a slow attempt that isn't hedged, and against a losing attempt that isn't cancelled.
func TestHedge(t *testing.T) {
	f := newFixture("north")
	for range recomputeInterval {
		f.latencies.record("plain", 2*time.Millisecond)
	}
	f.budget.tokens = 1
	var first atomic.Bool
	cancelled := make(chan struct{})
	f.gateways.answer = func(ctx context.Context, _ string, r *wire.Request, _ io.Reader) (*exchange.Response, error) {
		if first.CompareAndSwap(false, true) {
			<-ctx.Done()
			close(cancelled)
			return nil, refuseWith(problem.CodeGatewayLost, problem.Unknown)
		}
		return ok(r), nil
	}
	if _, err := f.run(t, f.exchange(t, "GET", "/plain", "plain", "")); err != nil {
		t.Fatal(err)
	}
	<-cancelled
	ids := map[string]bool{}
	for _, requests := range f.gateways.requests() {
		for _, r := range requests {
			ids[r.ID] = true
		}
	}
	if len(f.gateways.requests()) != 2 || len(ids) != 2 {
		t.Errorf("attempts %v", f.gateways.requests())
	}
}

// Guards against hedges and retries beyond 5% of the requests.
func TestBudget(t *testing.T) {
	f := newFixture("north")
	f.gateways.answer = func(context.Context, string, *wire.Request, io.Reader) (*exchange.Response, error) {
		return nil, refuseWith(problem.CodeOverload, problem.NotRun)
	}
	const requests = 1000
	for range requests {
		if _, err := f.run(t, f.exchange(t, "GET", "/plain", "plain", "")); err == nil || err.RetryAfter <= 0 {
			t.Fatalf("%v without a retry delay", err)
		}
	}
	if extra := f.gateways.count() - requests; extra > requests*5/100 || extra < requests*4/100 {
		t.Errorf("%d extra attempts for %d requests", extra, requests)
	}
}

// Guards against reporting "not run" when an earlier attempt of the request may have run.
func TestOutcomeOfSeveralAttempts(t *testing.T) {
	f := newFixture("north")
	f.budget.tokens = 1
	f.gateways.answer = func(context.Context, string, *wire.Request, io.Reader) (*exchange.Response, error) {
		if f.gateways.count() == 1 {
			return nil, refuseWith(problem.CodeTargetFailed, problem.Unknown)
		}
		return nil, refuseWith(problem.CodeOverload, problem.NotRun)
	}
	_, err := f.run(t, f.exchange(t, "GET", "/plain", "plain", ""))
	if err == nil || err.Outcome != problem.Unknown || f.gateways.count() != 2 {
		t.Errorf("%v after %d attempts", err, f.gateways.count())
	}
}

// Guards against forwarding reserved headers set by callers, which targets trust, and against forwarding hop-by-hop headers.
func TestForwardedHeaders(t *testing.T) {
	f := newFixture("north")
	x := f.exchange(t, "GET", "/plain", "plain", "")
	for _, name := range []string{"Connection", "Te", "X-Named", "Bronzelever-Group-Epoch", "Transfer-Encoding"} {
		x.Request.Header.Set(name, "X-Named")
	}
	x.Request.Header.Set("X-Kept", "1")
	x.Request.Header.Set(filter.HeaderTenant, "free")
	if _, err := f.run(t, x); err != nil {
		t.Fatal(err)
	}
	for _, requests := range f.gateways.requests() {
		got := map[string]string{}
		for _, h := range requests[0].Headers {
			got[h.Name] = h.Value
		}
		want := map[string]string{"X-Kept": "1", filter.HeaderTenant: "free", filter.HeaderRequestID: "id"}
		if len(got) != len(want) || got["X-Kept"] != "1" || got[filter.HeaderTenant] != "free" || got[filter.HeaderRequestID] != "id" {
			t.Errorf("headers %v", got)
		}
	}
}

// Guards against large bodies that starve small requests on the link, and against exceeding the cap.
func TestLink(t *testing.T) {
	clk := clock.NewVirtual(clock.Instant(time.Hour))
	f := newFixture("north")
	link := NewLink(clk, f.options.scope())
	const rate = 4 << 20
	if err := link.Admit(rate); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	body := link.reader(ctx, CauseKeyed, strings.NewReader(strings.Repeat("x", 8<<20)))
	var read atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		buf := make([]byte, 32<<10)
		for {
			n, err := body.Read(buf)
			read.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	const step = 50 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < time.Second; elapsed += step {
		waitUntilStable(&read)
		if err := link.Admit(rate); err != nil {
			t.Fatalf("a small request is refused after %v because of a large body", elapsed)
		}
		link.consume(CauseKeyed, 1000)
		clk.Advance(step)
	}
	waitUntilStable(&read)
	if n := read.Load(); n > rate*3/2 || n < rate/2 {
		t.Errorf("%d bytes within a second at a cap of %d", n, rate)
	}
	cancel()
	<-done
	for range 10_000 {
		link.consume(CauseKeyed, 1000)
	}
	err := link.Admit(rate)
	if err == nil || err.Code != problem.CodeLinkBudget || err.Outcome != problem.NotRun {
		t.Errorf("overdrawn budget: %v", err)
	}
}

// waitUntilStable waits until n stops changing.
func waitUntilStable(n *atomic.Int64) {
	for {
		before := n.Load()
		time.Sleep(2 * time.Millisecond)
		if n.Load() == before {
			return
		}
	}
}
