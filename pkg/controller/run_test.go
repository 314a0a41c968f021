package controller

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/store/memstore"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// handlers records the handlers that a controller registers.
type handlers map[wire.Type]func(ctx context.Context, from string, frame wire.Frame) (wire.Type, any, error)

func (h handlers) HandleCall(t wire.Type, f func(ctx context.Context, from string, frame wire.Frame) (wire.Type, any, error)) {
	h[t] = f
}

// unreachableCaller is a Caller whose calls all fail.
type unreachableCaller struct{}

func (unreachableCaller) Call(context.Context, string, wire.Type, any, wire.Type, any) error {
	return errors.New("connection refused")
}

func callHandler[R any](t *testing.T, h handlers, typ wire.Type, request any) R {
	t.Helper()
	payload, err := msgpack.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	_, reply, err := h[typ](t.Context(), "r0", wire.Frame{Version: wire.Version, Type: typ, Payload: payload})
	if err != nil {
		t.Fatal(err)
	}
	return *reply.(*R)
}

// eventually polls a condition until it holds or 20 s have passed. Each poll is a call that the controller answers.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
		<-time.After(20 * time.Millisecond)
	}
}

// TestControllerRun guards against a Controller that loses effects or replies. A controller acquires the term, grants
// every group to a router that sends heartbeats, serves its configuration and table, and releases the term.
func TestControllerRun(t *testing.T) {
	st := memstore.New()
	cfg := testConfig(3, 4)
	body, err := config.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := st.CreateObject(t.Context(), configKey(3), body); err != nil {
		t.Fatal(err)
	}
	if _, err := st.Put(t.Context(), headKey, mustMarshal(ConfigHead{Version: 3}), 0, "operator"); err != nil {
		t.Fatal(err)
	}
	o := Options{VM: "c0", Cell: "north", Region: "north", Address: "c0:1", Incarnation: 1, Parse: config.Parse}
	c := NewController(o, clock.Boottime{}, st, unreachableCaller{}, tally.NoopScope)
	h := handlers{}
	c.Register(h)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Run(ctx)

	hb := wire.Heartbeat{Cell: "north", Member: wire.Member{VM: "r0", Incarnation: 7, Address: "r0:1", Domain: "north-a"}}
	eventually(t, "no group granted", func() bool {
		reply := callHandler[wire.HeartbeatReply](t, h, wire.TypeHeartbeat, hb)
		hb.Term, hb.ConfigVersion = reply.Term, reply.ConfigVersion
		if reply.Roster != nil {
			hb.RosterVersion = reply.Roster.Version
		}
		if reply.Table == nil {
			return false
		}
		hb.TableVersion = reply.Table.Version
		granted := 0
		for _, g := range reply.Table.Groups {
			if g.Gateway == "r0" && g.GatewayIncarnation == 7 && g.Clean {
				granted++
			}
		}
		return granted == 4
	})
	if reply := callHandler[wire.ConfigReply](t, h, wire.TypeFetchConfig, wire.FetchConfig{Version: 3}); string(reply.Body) != string(body) {
		t.Error("the served configuration differs from the stored one")
	}
	if reply := callHandler[wire.TableReply](t, h, wire.TypeFetchTable, wire.FetchTable{Cell: "north"}); reply.Table == nil {
		t.Error("the controller serves no table")
	}
	if reply := callHandler[wire.StatusReply](t, h, wire.TypeStatus, wire.Status{}); !reply.Active || len(reply.Members) != 1 {
		t.Errorf("status: %+v", reply)
	}
	if d, ok := c.Dump().(*Dump); !ok || len(d.Groups) != 4 {
		t.Errorf("dump: %+v", c.Dump())
	}
	if err := c.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	row, err := st.Get(t.Context(), termKey("north"))
	if err != nil {
		t.Fatal(err)
	}
	record, err := decodeRecord(row)
	if err != nil || !record.Released {
		t.Errorf("term row after the stop: %+v, %v", record, err)
	}
	if reply := callHandler[wire.HeartbeatReply](t, h, wire.TypeHeartbeat, hb); reply.Active {
		t.Error("a stopped controller grants leases")
	}
}

// TestAmbiguousWriteResolution guards against ambiguous writes that are treated as lost or applied twice: a lost
// reply, a late write that overtakes the second attempt, a store outage, and a row that another writer has changed
// meanwhile.
func TestAmbiguousWriteResolution(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(st *memstore.Store)
		want  outcome
	}{
		{"lost reply", func(st *memstore.Store) { st.LoseReplies(1) }, outcomeApplied},
		{"late write", func(st *memstore.Store) { st.DelayWrites(1) }, outcomeApplied},
		{"outage", func(st *memstore.Store) { st.SetDown(true) }, outcomeApplied},
		{"other writer", func(st *memstore.Store) {
			st.DelayWrites(1)
			st.LoseReplies(0)
		}, outcomeLost},
	} {
		st := memstore.New()
		s := New(Options{VM: "c0", Cell: "north"}, 0)
		r := &row{key: "k"}
		c.fault(st)
		r.put(s, 0, []byte("mine"))
		if c.want == outcomeLost {
			executeRowEffects(s, st, r, 1)
			if _, err := st.Put(t.Context(), "k", []byte("other"), 0, "other"); err != nil {
				t.Fatal(err)
			}
		}
		got := outcomeNone
		for now := clock.Instant(2); got == outcomeNone && now < clock.Instant(10*time.Second); now += clock.Instant(rowRetryInterval) {
			got = executeRowEffects(s, st, r, now)
			if now > clock.Instant(3*rowRetryInterval) {
				st.ReleaseDelayed()
				st.SetDown(false)
			}
			r.tick(s, now)
		}
		row, err := st.Get(t.Context(), "k")
		if err != nil || got != c.want || row.Revision != 1 || r.pending != nil {
			t.Errorf("%s: outcome %d, want %d; row %+v, %v", c.name, got, c.want, row, err)
		}
	}
}

// executeRowEffects executes the row's effects and returns the outcome.
func executeRowEffects(s *State, st store.Store, r *row, now clock.Instant) outcome {
	out := outcomeNone
	for _, e := range s.Effects() {
		switch e := e.(type) {
		case ReadRow:
			row, err := st.Get(context.Background(), e.Key)
			out = max(out, r.onRead(now, RowRead{ReadRow: e, Row: row, Err: err}))
		case WriteRow:
			rev, err := st.Put(context.Background(), e.Key, e.Value, e.Expected, e.Token)
			out = max(out, r.onWritten(now, RowWritten{WriteRow: e, Revision: rev, Err: err}))
		}
	}
	return out
}

func decodeRecord(row store.Row) (TermRecord, error) {
	s := New(Options{VM: "reader", Cell: "north"}, 0)
	s.termRow.current, s.termRow.loaded = row, true
	s.decodeTerm(0)
	if s.termRecordInvalid {
		return TermRecord{}, fmt.Errorf("unreadable row %q", row.Value)
	}
	return s.termRecord, nil
}
