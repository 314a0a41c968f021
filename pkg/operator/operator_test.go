package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/controller"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/store/memstore"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// controllers stands in for the controllers of both cells. Without a fixed version each router has what the store's head
// names.
type controllers struct {
	mu    sync.Mutex
	store *memstore.Store
	// behind fixes the version of a cell's last router.
	behind map[string]uint64
	// lost cells don't answer.
	lost  map[string]bool
	table map[string]*topology.Table
	// silent cells have a last router that was heard long ago.
	silent map[string]bool
}

func (c *controllers) Call(ctx context.Context, address string, t wire.Type, _ any, _ wire.Type, reply any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	cell, role, _ := strings.Cut(address, "-")
	if c.lost[cell] {
		return errors.New("connection refused")
	}
	version := c.version(ctx)
	switch r := reply.(type) {
	case *wire.StatusReply:
		*r = wire.StatusReply{Cell: cell, Active: role == "active", Leader: address, Term: 3, ConfigVersion: version, Table: c.table[cell]}
		for i := range 2 {
			r.Members = append(r.Members, wire.MemberStatus{Member: wire.Member{VM: fmt.Sprintf("%s-vm-%d", cell, i)}, ConfigVersion: version})
		}
		if v, ok := c.behind[cell]; ok {
			r.Members[1].ConfigVersion = v
		}
		if c.silent[cell] {
			r.Members[1].AgeMillis = silentAge.Milliseconds()
		}
	case *wire.ConfigReply:
		body, err := c.store.GetObject(ctx, ConfigKey(version))
		*r = wire.ConfigReply{Version: version, Body: body}
		return err
	default:
		return fmt.Errorf("unexpected call %d", t)
	}
	return nil
}

func (c *controllers) version(ctx context.Context) uint64 {
	_, head, err := New(Options{Store: c.store, PollInterval: time.Millisecond, StoreTimeout: time.Millisecond}).readHead(ctx)
	if err != nil {
		return 0
	}
	return head.Version
}

type fixture struct {
	store    *memstore.Store
	cells    *controllers
	operator *Operator
	config   *config.Config
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	data, err := os.ReadFile("../../examples/vento-sul/config.json")
	if err != nil {
		t.Fatal(err)
	}
	c, findings := config.Parse(data, "config.json")
	if findings.Err() != nil {
		t.Fatal(findings)
	}
	m := memstore.New()
	cells := &controllers{store: m, behind: map[string]uint64{}, lost: map[string]bool{}, table: map[string]*topology.Table{}, silent: map[string]bool{}}
	f := &fixture{store: m, cells: cells, config: c}
	f.operator = f.newOperator(m, "alice")
	f.recordRoster(t, "litoral-norte", 0, "litoral-vm-0", "litoral-vm-1")
	f.recordRoster(t, "serra-gaucha", 0, "serra-vm-0", "serra-vm-1")
	return f
}

// recordRoster writes the term row of a cell as a controller does.
func (f *fixture) recordRoster(t *testing.T, cell string, revision store.Revision, vms ...string) {
	t.Helper()
	record := controller.TermRecord{Term: 3}
	for _, vm := range vms {
		record.Roster.Members = append(record.Roster.Members, wire.Member{VM: vm})
	}
	value, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.store.Put(t.Context(), "cells/"+cell+"/term", value, revision, "t"); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) newOperator(s store.Store, by string) *Operator {
	return New(Options{
		Store:  s,
		Caller: f.cells,
		Cells: []Cell{
			{Name: "litoral-norte", Controllers: []string{"litoral-norte"[:7] + "-standby", "litoral-active"}},
			{Name: "serra-gaucha", Controllers: []string{"serra-active"}},
		},
		By:            by,
		StoreTimeout:  30 * time.Millisecond,
		AcceptTimeout: 30 * time.Millisecond,
		PollInterval:  time.Millisecond,
		SilentWait:    10 * time.Millisecond,
	})
}

func (f *fixture) apply(t *testing.T, want Outcome, change func(*config.Config), options ApplyOptions) Result {
	t.Helper()
	c := f.config.Clone()
	change(c)
	result := f.operator.Apply(t.Context(), c, options)
	checkOutcome(t, result, want)
	return result
}

func checkOutcome(t *testing.T, result Result, want Outcome) {
	t.Helper()
	if result.Outcome != want {
		t.Fatalf("outcome %q, want %q: %s", result.Outcome, want, result.Message)
	}
}

func unchanged(*config.Config) {}

func slots(n int) func(*config.Config) {
	return func(c *config.Config) { c.Pools[0].Slots = n }
}

// Guards against "accepted" while a router of some cell lacks the version, and against a history with gaps.
func TestApplyIsAcceptedOnlyEverywhere(t *testing.T) {
	f := newFixture(t)
	if r := f.apply(t, Accepted, unchanged, ApplyOptions{Reason: "first"}); r.Version != 1 {
		t.Errorf("version %d", r.Version)
	}
	f.apply(t, Unchanged, unchanged, ApplyOptions{})
	f.cells.behind["serra"] = 1
	r := f.apply(t, Stored, slots(5), ApplyOptions{Reason: "more slots"})
	if !strings.Contains(r.Message, "stored, not yet accepted: not yet in force in serra-gaucha") {
		t.Error(r.Message)
	}
	if len(r.Changes) != 1 || r.Changes[0].String() != "~ pools[casco-info].slots: 4 -> 5" {
		t.Errorf("changes: %v", r.Changes)
	}
	f.apply(t, Stored, slots(5), ApplyOptions{})
	delete(f.cells.behind, "serra")
	f.cells.lost["litoral"] = true
	if r := f.apply(t, Stored, slots(5), ApplyOptions{}); !strings.Contains(r.Message, "litoral-norte") {
		t.Error(r.Message)
	}
	history, err := f.operator.History(t.Context(), 10)
	if err != nil || len(history) != 2 || history[0].Reason != "more slots" || history[1].By != "alice" {
		t.Errorf("history: %+v, %v", history, err)
	}
}

// Guards against a lost router that holds up every change, and against "accepted" while more than half of the roster could
// still confirm an older version to each other.
func TestSilentRoutersAreWaitedForOnlyWhileTheyMayServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.apply(t, Accepted, unchanged, ApplyOptions{})
		f.cells.behind["serra"] = 1
		f.apply(t, Stored, slots(5), ApplyOptions{})
		f.cells.silent["serra"] = true
		f.apply(t, Accepted, slots(6), ApplyOptions{})
		f.recordRoster(t, "serra-gaucha", 1, "serra-vm-0", "serra-vm-1", "serra-vm-2")
		r := f.apply(t, Stored, slots(7), ApplyOptions{})
		if !strings.Contains(r.Cells[1].Reason, "only 1 of 3 routers of the roster have it") {
			t.Error(r.Cells)
		}
		delete(f.cells.behind, "serra")
		f.apply(t, Accepted, slots(8), ApplyOptions{})
		f.operator.o.SilentWait = time.Hour
		r = f.apply(t, Stored, slots(9), ApplyOptions{})
		if !strings.Contains(r.Cells[1].Reason, "waiting until the authority of silent routers has ended: serra-vm-2") {
			t.Error(r.Cells)
		}
	})
}

// Guards against a change that overwrites one which its operator has not seen.
func TestLoserOfRaceIsShownTheChange(t *testing.T) {
	f := newFixture(t)
	f.apply(t, Accepted, unchanged, ApplyOptions{})
	f.apply(t, Accepted, slots(5), ApplyOptions{Reason: "more slots"})
	r := f.apply(t, Conflict, slots(6), ApplyOptions{Seen: 1})
	if len(r.Others) != 1 || r.Others[0].Reason != "more slots" || len(r.Others[0].Changes) != 1 {
		t.Errorf("others: %+v", r.Others)
	}
}

// racing lets another operator apply a change between an operator's read and write of the head.
type racing struct {
	store.Store
	once sync.Once
	race func()
}

func (r *racing) Put(ctx context.Context, key string, value []byte, expected store.Revision, token string) (store.Revision, error) {
	r.once.Do(r.race)
	return r.Store.Put(ctx, key, value, expected, token)
}

// Guards against two operators who both believe that they were first, and against an amendment that undoes another one.
func TestRaceBetweenReadAndWrite(t *testing.T) {
	f := newFixture(t)
	f.apply(t, Accepted, unchanged, ApplyOptions{})
	race := func() {
		checkOutcome(t, f.operator.Out(t.Context(), FailureDomain, "itajai-a", ApplyOptions{Reason: "maintenance"}), Accepted)
	}
	bob := f.newOperator(&racing{Store: f.store, race: race}, "bob")
	c := f.config.Clone()
	c.Pools[0].Slots = 6
	r := bob.Apply(t.Context(), c, ApplyOptions{})
	checkOutcome(t, r, Conflict)
	if len(r.Others) != 1 || r.Others[0].Reason != "maintenance" {
		t.Errorf("others: %+v", r.Others)
	}
	race = func() {
		checkOutcome(t, f.operator.Out(t.Context(), Target, "casco-info-01", ApplyOptions{}), Accepted)
	}
	bob = f.newOperator(&racing{Store: f.store, race: race}, "bob")
	r = bob.Out(t.Context(), VM, "vm-3", ApplyOptions{})
	checkOutcome(t, r, Accepted)
	if len(r.Others) != 1 {
		t.Errorf("others: %+v", r.Others)
	}
	state, err := f.operator.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if out := fmt.Sprint(state.Config.Out); out != "{[itajai-a] [vm-3] [casco-info-01]}" {
		t.Errorf("out: %s", out)
	}
}

// Guards against a file that ends a maintenance by accident.
func TestApplyKeepsWhatIsOut(t *testing.T) {
	f := newFixture(t)
	f.apply(t, Accepted, unchanged, ApplyOptions{})
	checkOutcome(t, f.operator.Out(t.Context(), FailureDomain, "itajai-a", ApplyOptions{}), Accepted)
	f.apply(t, Accepted, slots(5), ApplyOptions{})
	state, _ := f.operator.Current(t.Context())
	if !state.Config.DomainOut("itajai-a") {
		t.Error("apply returned a failure domain to service")
	}
	other := func(c *config.Config) { c.Out.Domains = []string{"caxias-a"} }
	f.apply(t, Invalid, other, ApplyOptions{})
	f.apply(t, Accepted, other, ApplyOptions{ReplaceOut: true})
	checkOutcome(t, f.operator.In(t.Context(), FailureDomain, "caxias-a", ApplyOptions{}), Accepted)
	checkOutcome(t, f.operator.In(t.Context(), FailureDomain, "nowhere", ApplyOptions{}), Invalid)
	for _, domain := range []string{"itajai-a", "itajai-b", "caxias-a", "caxias-b"} {
		r := f.operator.Out(t.Context(), FailureDomain, domain, ApplyOptions{})
		checkOutcome(t, r, Accepted)
		if last := domain == "caxias-b"; last != (len(r.Findings) == 3) {
			t.Errorf("%s: %v", domain, r.Findings)
		}
	}
}

// Guards against claiming that something was accepted, or may be, while the store was down the whole time.
func TestStoreDownAcceptsNothing(t *testing.T) {
	f := newFixture(t)
	f.apply(t, Accepted, unchanged, ApplyOptions{})
	f.store.SetDown(true)
	r := f.apply(t, NotAccepted, slots(5), ApplyOptions{})
	if !strings.Contains(r.Message, "nothing was accepted, and nothing will come into force later") {
		t.Error(r.Message)
	}
	checkOutcome(t, f.operator.Out(t.Context(), VM, "vm-1", ApplyOptions{}), NotAccepted)
	f.store.SetDown(false)
	f.apply(t, Unchanged, unchanged, ApplyOptions{})
}

// Guards against a write being reported as failed although only its reply was lost.
func TestLostRepliesAreResolved(t *testing.T) {
	f := newFixture(t)
	for n := range 5 {
		f.store.LoseReplies(n)
		f.apply(t, Accepted, slots(10+n), ApplyOptions{})
		f.store.LoseReplies(0)
	}
}

// lateHead answers nothing to the writes of the head while stuck and holds the first one back.
type lateHead struct {
	store.Store
	stuck bool
	late  func()
}

func (l *lateHead) Put(ctx context.Context, key string, value []byte, expected store.Revision, token string) (store.Revision, error) {
	if !l.stuck {
		return l.Store.Put(ctx, key, value, expected, token)
	}
	if l.late == nil {
		l.late = func() { _, _ = l.Store.Put(context.WithoutCancel(ctx), key, value, expected, token) }
	}
	return 0, store.ErrAmbiguous
}

// Guards against "not accepted" for a write that takes effect later, and against a cancelled write that still does.
func TestPendingWriteIsResolvedOrCancelled(t *testing.T) {
	for _, c := range []struct {
		name        string
		late        bool
		cancel      bool
		later       bool
		want        Outcome
		wantVersion uint64
	}{
		{name: "still open", want: Pending, wantVersion: 1},
		{name: "took effect late", late: true, want: Accepted, wantVersion: 2},
		{name: "took effect and was replaced", late: true, later: true, want: Superseded, wantVersion: 3},
		{name: "cancelled", cancel: true, want: NotAccepted, wantVersion: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.apply(t, Accepted, unchanged, ApplyOptions{})
			stuck := &lateHead{Store: f.store, stuck: true}
			f.operator = f.newOperator(stuck, "alice")
			pending := f.apply(t, Pending, slots(5), ApplyOptions{})
			var text bytes.Buffer
			pending.WriteText(&text)
			if !strings.Contains(text.String(), "to find out:  blctl outcome 2 alice-") {
				t.Error(text.String())
			}
			if c.late {
				stuck.late()
			}
			stuck.stuck = false
			if c.later {
				f.apply(t, Accepted, slots(6), ApplyOptions{})
			}
			checkOutcome(t, f.operator.Resolve(t.Context(), *pending.Pending, c.cancel), c.want)
			if c.cancel {
				// The held-back write arrives after the cancellation.
				stuck.late()
			}
			state, err := f.operator.Current(t.Context())
			if err != nil || state.Head.Version != c.wantVersion {
				t.Errorf("version %d, want %d (%v)", state.Head.Version, c.wantVersion, err)
			}
		})
	}
}

// Guards against a leftover of a failed operator that blocks all later ones.
func TestLeftoverVersionIsSkipped(t *testing.T) {
	f := newFixture(t)
	f.apply(t, Accepted, unchanged, ApplyOptions{})
	if err := f.store.CreateObject(t.Context(), ChangeKey(2), []byte("{}")); err != nil {
		t.Fatal(err)
	}
	if r := f.apply(t, Accepted, slots(5), ApplyOptions{}); r.Version != 3 {
		t.Errorf("version %d", r.Version)
	}
	if history, err := f.operator.History(t.Context(), 10); err != nil || len(history) != 2 || history[0].Previous != 1 {
		t.Errorf("history: %+v %v", history, err)
	}
}

// Guards against an overview or explanation that needs the store, and against an owner other than the table's.
func TestStatusAndExplainWithoutStore(t *testing.T) {
	f := newFixture(t)
	f.apply(t, Accepted, unchanged, ApplyOptions{})
	for _, cell := range []string{"litoral", "serra"} {
		f.cells.table[cell] = &topology.Table{
			Cell:   cell,
			Groups: []topology.Group{{ID: "casco-info/x/0", Targets: []string{"t-" + cell}, Gateway: "vm-" + cell, Epoch: 7}, {ID: "y/x/0"}},
			Slices: []topology.Slice{{Pool: "casco-info", High: ^uint64(0), Owner: "t-" + cell, Epoch: 9}},
		}
	}
	q := Question{Route: "casco-info-consulta", Key: "hull-1", Tenant: "moldes-caxias"}
	e, err := f.operator.Explain(t.Context(), q)
	if err != nil || e.Cell != "serra-gaucha" || e.Owner != "t-serra" || e.Gateway != "vm-serra" || e.SliceEpoch != 9 {
		t.Errorf("%+v %v", e, err)
	}
	withoutStore := f.newOperator(nil, "alice")
	e, err = withoutStore.Explain(t.Context(), q)
	if err != nil || e.Owner != "t-serra" || !strings.HasPrefix(e.ConfigFrom, "controller") {
		t.Errorf("%+v %v", e, err)
	}
	f.cells.lost["litoral"] = true
	overview := withoutStore.Status(t.Context())
	var text bytes.Buffer
	overview.WriteText(&text)
	for _, want := range []string{
		"store: NOT REACHABLE", "cell litoral-norte: no active controller: 0 of 2 candidates answered (litoral-active: connection refused)",
		"cell serra-gaucha: leader serra-active, term 3", "groups 2, unheld 1 (y/x/0); slices 1, without owner 0",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("missing %q in:\n%s", want, text.String())
		}
	}
}
