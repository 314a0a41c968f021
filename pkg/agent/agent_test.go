package agent

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

var discardLog = event.Discard()

func (h *fakeGateway) Release(context.Context) error { return nil }

// scriptedTransport is a Transport whose replies are produced by a replaceable function.
type scriptedTransport struct {
	mu     sync.Mutex
	answer func(addr string, request any, reply any) error
}

func (s *scriptedTransport) Call(_ context.Context, addr string, _ wire.Type, request any, _ wire.Type, reply any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answer(addr, request, reply)
}

func (s *scriptedTransport) set(f func(addr string, request any, reply any) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = f
}

var errUnreachable = errors.New("unreachable")

// eventually advances the clock until the condition holds, and fails the test after 10 s of real time.
func eventually(t *testing.T, clk *clock.Virtual, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		clk.Advance(tickInterval / 5)
		time.Sleep(100 * time.Microsecond)
	}
}

// Guards against snapshots that don't reach readers or the gateway, a Refresh that doesn't return, and authority that
// outlasts the lease.
func TestAgentLifecycle(t *testing.T) {
	clk := clock.NewVirtual(start)
	h := &fakeGateway{changed: make(chan struct{})}
	transport := &scriptedTransport{}
	body := configBody(t, 3)
	current := table(1, 1, "", 0)
	serve := func(_ string, request any, reply any) error {
		switch r := reply.(type) {
		case *wire.HeartbeatReply:
			*r = wire.HeartbeatReply{Active: true, Term: 1, LeaseMillis: 1200, ConfigVersion: 3}
			if request.(wire.Heartbeat).TableVersion.Less(current.Version) {
				r.Table = current
			}
		case *wire.ConfigReply:
			*r = wire.ConfigReply{Version: 3, Body: body}
		default:
			return errUnreachable
		}
		return nil
	}
	transport.set(serve)
	a := New(Options{Cell: "catania", Self: member(1), Controller: "c", Clock: clk, Transport: transport, Gateway: h, Log: discardLog})
	ctx, cancel := context.WithCancel(context.Background())
	go a.Run(ctx)
	eventually(t, clk, "a view", func() bool { return a.View() != nil && a.View().Tables["catania"] != nil })
	if clk.Now() >= a.ValidUntil() || clk.Now() >= a.EntryAuthority().ValidUntil() || !a.ControllerReachable() {
		t.Error("no authority although the router has a lease")
	}
	transport.mu.Lock()
	current = table(1, 2, "vm-2", 3)
	transport.mu.Unlock()
	refreshed := make(chan bool, 1)
	go func() { refreshed <- a.Refresh(ctx, "catania", topology.Version{Term: 1, Sequence: 1}, "") }()
	eventually(t, clk, "a newer table", func() bool { return a.View().Tables["catania"].Version.Sequence == 2 })
	if !<-refreshed {
		t.Error("Refresh did not report the newer table")
	}
	transport.set(func(string, any, any) error { return errUnreachable })
	eventually(t, clk, "the end of the lease", func() bool { return clk.Now() >= a.ValidUntil() })
	if d, ok := a.Dump(ctx).(Dump); !ok || d.Term != 1 {
		t.Errorf("dump %+v", d)
	}
	cancel()
	<-a.stopped
	if a.Refresh(context.Background(), "catania", topology.Version{Term: 9}, "") {
		t.Error("Refresh succeeded after the agent stopped")
	}
	if err := a.Leave(context.Background()); !errors.Is(err, errStopped) {
		t.Error(err)
	}
}
