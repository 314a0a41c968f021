package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	standin "github.com/bronzelever/bronzelever/internal/standin/target"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	testPool   = "pool"
	testDomain = "d1"
	testGroup  = topology.GroupID("pool/d1/0")
	testVM     = "vm1"
)

// authority is an exchange.Authority whose end the test sets.
type authority struct {
	until atomic.Int64
}

func (a *authority) ValidUntil() clock.Instant {
	return clock.Instant(a.until.Load())
}

func (a *authority) set(until clock.Instant) {
	a.until.Store(int64(until))
}

// backend is a running target. Its connections can be counted and it can crash like a process.
type backend struct {
	*standin.Target
	id, address string
	server      *http.Server
	crashes     atomic.Int32
	crashOnce   sync.Once
	// kept is a socket that keeps the port after a crash, 0 if there is none.
	kept int
}

func startBackend(tb testing.TB, s standin.Settings) *backend {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	b := &backend{id: s.ID, address: listener.Addr().String()}
	b.Target = standin.New(s, standin.DefaultRecordLimit, b.crash)
	b.server = &http.Server{Handler: b.Handler()}
	go func() { _ = b.server.Serve(b.Limit(listener)) }()
	tb.Cleanup(func() {
		settings := b.Settings()
		settings.Frozen = false
		b.Change(settings)
		_ = b.server.Close()
		b.crashOnce.Do(func() {})
		if b.kept != 0 {
			_ = syscall.Close(b.kept)
		}
	})
	return b
}

// crash ends the target as the end of its process would: every connection breaks and the port refuses new ones.
func (b *backend) crash() {
	b.crashes.Add(1)
	b.crashOnce.Do(func() {
		_ = b.server.Close()
		b.keepPort()
	})
	panic(http.ErrAbortHandler)
}

// keepPort binds the port without listening. Otherwise a target of another test process may get it and receive the requests
// of this test; with 8 processes at once that happened in 1 of 150 runs.
func (b *backend) keepPort() {
	port := netip.MustParseAddrPort(b.address).Port()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	b.kept = fd
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	// A failure only means that the port isn't kept.
	_ = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(port), Addr: [4]byte{127, 0, 0, 1}})
}

// executions returns what the target's record holds.
func (b *backend) executions() []standin.Execution {
	recorder := httptest.NewRecorder()
	b.ControlHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/record", nil))
	var record standin.Record
	if json.Unmarshal(recorder.Body.Bytes(), &record) != nil {
		return nil
	}
	return record.Executions
}

// load returns what the target's load endpoint answers.
func (b *backend) load() string {
	recorder := httptest.NewRecorder()
	b.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/load", nil))
	return strings.TrimSpace(recorder.Body.String())
}

// outcomeOf returns the outcome of a refusal, "" for any other error.
func outcomeOf(err error) problem.Outcome {
	var refusal *problem.Error
	if !errors.As(err, &refusal) {
		return ""
	}
	return refusal.Outcome
}

// fixture is a gateway with one group of targets.
type fixture struct {
	tb        testing.TB
	gateway   *Gateway
	authority *authority
	backends  []*backend
	pool      config.Pool
	table     *topology.Table
	cell      *fakeCell
}

type fixtureOptions struct {
	clock     clock.Clock
	settings  []standin.Settings
	pool      config.Pool
	epoch     topology.Epoch
	reachable func() bool
}

func defaultPool(targets int) fixtureOptions {
	o := fixtureOptions{
		clock: clock.Boottime{},
		pool: config.Pool{
			Name: testPool, NotRunTrusted: true, Slots: 2, Connections: 120, ColdConcurrency: 1, QueueLimit: 100,
			MaxDeadline: 5000, RepeatWindow: 60000,
		},
		epoch: topology.NewGroupEpoch(1, 1),
	}
	for i := range targets {
		s := standin.Defaults()
		s.ID = fmt.Sprintf("t%d", i)
		s.ServiceMillis = 2
		s.Seed = uint64(i + 1)
		o.settings = append(o.settings, s)
	}
	return o
}

func newFixture(tb testing.TB, o fixtureOptions) *fixture {
	tb.Helper()
	f := &fixture{tb: tb, authority: &authority{}, pool: o.pool, cell: newFakeCell()}
	f.authority.set(math.MaxInt64)
	entry := topology.Group{ID: testGroup, Gateway: testVM, Epoch: o.epoch}
	for _, s := range o.settings {
		b := startBackend(tb, s)
		f.backends = append(f.backends, b)
		f.pool.Targets = append(f.pool.Targets, config.Target{ID: s.ID, Address: b.address, Domain: testDomain})
		entry.Targets = append(entry.Targets, s.ID)
	}
	f.table = &topology.Table{Cell: "cell", Version: topology.Version{Term: 1, Sequence: 1}, Groups: []topology.Group{entry}}
	f.gateway = New(Options{
		Authority:           f.authority,
		Clock:               o.clock,
		Log:                 event.Discard(),
		Scope:               tally.NoopScope,
		Cell:                f.cell,
		ControllerReachable: o.reachable,
	})
	tb.Cleanup(f.stop)
	return f
}

func (f *fixture) stop() {
	f.gateway.mu.Lock()
	defer f.gateway.mu.Unlock()
	for _, g := range *f.gateway.groups.Load() {
		g.stop()
	}
	for _, g := range f.gateway.retiring {
		g.stop()
	}
}

// apply publishes the fixture's table with the next sequence number.
func (f *fixture) apply() {
	f.table.Version.Sequence++
	table := *f.table
	table.Groups = append([]topology.Group(nil), f.table.Groups...)
	table.Slices = append([]topology.Slice(nil), f.table.Slices...)
	f.gateway.Apply(&exchange.View{
		Config: &config.Config{
			Version: 1,
			Regions: []config.Region{{Name: "r1", Domains: []string{testDomain}}},
			Pools:   []config.Pool{f.pool},
			Routes:  []config.Route{{Name: "orders", Pool: testPool}},
		},
		Tables: map[string]*topology.Table{"cell": &table},
		Cell:   "cell",
		VM:     testVM,
	})
}

func (f *fixture) group() *group {
	return (*f.gateway.groups.Load())[testGroup]
}

// warm lets every target pass its cold ramp.
func (f *fixture) warm() {
	g := f.group()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.targets {
		t.ramp.limit = t.ramp.slots
	}
}

var requestCounter atomic.Int64

func newRequest(method, path string) *wire.Request {
	return &wire.Request{
		ID:         fmt.Sprintf("r%d", requestCounter.Add(1)),
		Pool:       testPool,
		Group:      testGroup,
		Method:     method,
		Path:       path,
		Weight:     1,
		Idempotent: method == http.MethodGet,
	}
}

// do runs a request to its end and returns status, body and error.
func (f *fixture) do(ctx context.Context, r *wire.Request, body string) (int, string, error) {
	r.ContentLength = int64(len(body))
	response, err := f.gateway.Handle(ctx, r, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.Head.Status, string(answer), err
}

func within(tb testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	tb.Cleanup(cancel)
	return ctx
}

// eventually fails the test if a condition doesn't hold soon.
func eventually(tb testing.TB, what string, holds func() bool) {
	tb.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			tb.Fatalf("not reached: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// fakeCell is the cell's other routers.
type fakeCell struct {
	mu       sync.Mutex
	suspects []wire.Suspects
	// crossed holds the fingerprints sent to each other region.
	crossed map[string][]uint64
	// hold keeps SendSuspects from returning until it is closed, if it is set.
	hold chan struct{}
}

func newFakeCell() *fakeCell {
	return &fakeCell{crossed: map[string][]uint64{}}
}

func (c *fakeCell) Members() []wire.Member {
	return nil
}

func (c *fakeCell) MirrorClaim(context.Context, string, *wire.MirrorClaim) (*wire.MirrorClaimReply, error) {
	return nil, io.ErrClosedPipe
}

func (c *fakeCell) FetchClaims(context.Context, string, *wire.FetchClaims) (*wire.ClaimsReply, error) {
	return nil, io.ErrClosedPipe
}

func (c *fakeCell) SendSuspects(_ context.Context, m *wire.Suspects) {
	c.mu.Lock()
	c.suspects = append(c.suspects, *m)
	hold := c.hold
	c.mu.Unlock()
	if hold != nil {
		<-hold
	}
}

func (c *fakeCell) SendSuspectsToRegion(_ context.Context, region, _ string, m *wire.Suspects) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range m.Suspects {
		c.crossed[region] = append(c.crossed[region], s.Fingerprint)
	}
}
