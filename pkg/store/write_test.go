package store_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/store/memstore"
)

const key = "cells/a/term"

// rememberedTokens is the number of later writes after which a row may have forgotten a write.
const rememberedTokens = 16

func put(t *testing.T, table store.Table, previous store.Row, token string) (store.Result, *store.Write) {
	t.Helper()
	result, w, err := store.Put(context.Background(), table, previous, []byte(token), token)
	if err != nil {
		t.Fatal(err)
	}
	return result, w
}

func read(t *testing.T, table store.Table) store.Row {
	t.Helper()
	row, err := table.Get(context.Background(), key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		t.Fatal(err)
	}
	row.Key = key
	return row
}

// Guards against a write that is reported as lost because its reply was.
func TestLostReply(t *testing.T) {
	m := memstore.New()
	m.LoseReplies(1)
	result, _ := put(t, m, store.Row{Key: key}, "a")
	if result.Outcome != store.Won || result.Revision != 1 {
		t.Errorf("%+v", result)
	}
}

// Guards against a write that is reported as lost after a read that came before its late effect.
func TestLateEffect(t *testing.T) {
	m := memstore.New()
	m.DelayWrites(1)
	result, _ := put(t, m, store.Row{Key: key}, "a")
	m.ReleaseDelayed()
	if result.Outcome != store.Won || read(t, m).Writer() != "a" || read(t, m).Revision != 1 {
		t.Errorf("%+v, row %+v", result, read(t, m))
	}
}

// Guards against a pending write that is forgotten: while no attempt is answered, nothing may be concluded, and the late
// effect of any attempt has to be found.
func TestPendingWriteContinues(t *testing.T) {
	m := memstore.New()
	m.DelayWrites(100)
	result, w := put(t, m, store.Row{Key: key}, "a")
	if result.Outcome != store.Pending || !errors.Is(result.Err, store.ErrAmbiguous) {
		t.Fatalf("%+v", result)
	}
	m.SetDown(true)
	if result = w.Resolve(context.Background()); result.Outcome != store.Pending || !errors.Is(result.Err, store.ErrUnavailable) {
		t.Fatalf("%+v", result)
	}
	m.SetDown(false)
	m.DelayWrites(0)
	m.ReleaseDelayed()
	if result = w.Resolve(context.Background()); result.Outcome != store.Won || result.Revision != 1 {
		t.Errorf("%+v", result)
	}
}

// Guards against a winner that seems lost because others have replaced its row since, and against a guess once the row has
// forgotten it.
func TestReplacedBeforeTheRead(t *testing.T) {
	for _, later := range []int{1, rememberedTokens - 1, rememberedTokens} {
		m := memstore.New()
		m.DelayWrites(100)
		_, w := put(t, m, store.Row{Key: key}, "a")
		m.DelayWrites(0)
		m.ReleaseDelayed()
		for i := range later {
			put(t, m, read(t, m), fmt.Sprint("other-", i))
		}
		want := store.Won
		if later == rememberedTokens {
			want = store.Superseded
		}
		if result := w.Resolve(context.Background()); result.Outcome != want || result.Current.Revision != store.Revision(later+1) {
			t.Errorf("after %d later writes: %+v, want %v", later, result, want)
		}
	}
}

// Guards against a conflict with one's own late write that is taken for a loss: the write takes effect between the read
// and the next attempt.
func TestConflictWithOneself(t *testing.T) {
	table := &lateTable{Store: memstore.New(), after: 2}
	table.DelayWrites(1)
	result, _ := put(t, table, store.Row{Key: key}, "a")
	if result.Outcome != store.Won || result.Revision != 1 {
		t.Errorf("%+v, row %+v", result, read(t, table))
	}
}

// Guards against a refused write that is reported as pending, and against one that can't be tried again.
func TestNotSent(t *testing.T) {
	m := memstore.New()
	m.SetDown(true)
	result, w := put(t, m, store.Row{Key: key}, "a")
	if result.Outcome != store.NotSent || !errors.Is(result.Err, store.ErrUnavailable) {
		t.Errorf("%+v", result)
	}
	m.SetDown(false)
	if result = w.Resolve(context.Background()); result.Outcome != store.Won {
		t.Errorf("%+v", result)
	}
	if result, _ = put(t, m, store.Row{Key: key}, "b"); result.Outcome != store.Lost || result.Current.Writer() != "a" {
		t.Errorf("%+v", result)
	}
	for _, token := range []string{"", "a b"} {
		if _, _, err := store.Put(context.Background(), m, store.Row{Key: key}, nil, token); !errors.Is(err, store.ErrBadToken) {
			t.Errorf("token %q: %v", token, err)
		}
	}
}

// Operations of the property test.
const (
	opRead = iota
	opWrite
	opLoseReply
	opDelay
	opRelease
	opReleaseLater
	opDown
	opUp
	opKinds
)

const writers = 3

// writer is a process that reads the row, writes it and resolves what is pending.
type writer struct {
	seen    store.Row
	pending *store.Write
}

// lateTable lets delayed writes take effect between two operations of one Resolve call.
type lateTable struct {
	*memstore.Store
	// after is the number of operations before the release; negative if none is planned.
	after int
}

func (l *lateTable) tick() {
	if l.after == 0 {
		l.ReleaseDelayed()
	}
	l.after--
}

// Get implements store.Table.
func (l *lateTable) Get(ctx context.Context, key string) (store.Row, error) {
	l.tick()
	return l.Store.Get(ctx, key)
}

// Put implements store.Table.
func (l *lateTable) Put(ctx context.Context, key string, value []byte, expected store.Revision, token string) (store.Revision, error) {
	l.tick()
	return l.Store.Put(ctx, key, value, expected, token)
}

// world runs a sequence of operations and compares what writers are told with what took effect.
type world struct {
	table   *lateTable
	writers [writers]writer
	tokens  int
	told    map[string]store.Result
}

func (w *world) step(op int) error {
	n := op % writers
	switch op / writers {
	case opRead:
		if row, err := w.table.Get(context.Background(), key); err == nil {
			w.writers[n].seen = row
		}
	case opWrite:
		return w.write(&w.writers[n])
	case opLoseReply:
		w.table.LoseReplies(1 + n)
	case opDelay:
		w.table.DelayWrites(1 + 2*n)
	case opRelease:
		w.table.ReleaseDelayed()
	case opReleaseLater:
		w.table.after = 1 + n
	case opDown:
		w.table.SetDown(true)
	case opUp:
		w.table.SetDown(false)
	}
	return nil
}

func (w *world) write(by *writer) error {
	if by.pending == nil {
		w.tokens++
		previous := by.seen
		previous.Key = key
		token := "t" + strconv.Itoa(w.tokens)
		pending, err := store.NewWrite(w.table, previous, []byte(token), token)
		if err != nil {
			return err
		}
		by.pending = pending
	}
	result := by.pending.Resolve(context.Background())
	if result.Outcome == store.Pending {
		return nil
	}
	w.told[by.pending.Token()] = result
	by.pending = nil
	return w.verify()
}

// verify compares everything that writers were told with the rows that took effect so far.
func (w *world) verify() error {
	effective := map[string]store.Revision{}
	history := w.table.History(key)
	for _, row := range history {
		effective[row.Writer()] = row.Revision
	}
	for token, result := range w.told {
		revision, happened := effective[token]
		switch result.Outcome {
		case store.Won:
			if !happened || revision != result.Revision {
				return fmt.Errorf("%s was told revision %d, it has %d (took effect: %v)", token, result.Revision, revision, happened)
			}
		case store.Lost, store.NotSent:
			if happened {
				return fmt.Errorf("%s was told %v and has revision %d", token, result.Outcome, revision)
			}
		case store.Superseded:
			if len(history) <= rememberedTokens {
				return fmt.Errorf("%s was told superseded after %d writes", token, len(history))
			}
		}
	}
	return nil
}

// settle ends all faults and requires that every pending write is resolved.
func (w *world) settle() error {
	w.table.SetDown(false)
	w.table.LoseReplies(0)
	w.table.DelayWrites(0)
	for n := range w.writers {
		if w.writers[n].pending == nil {
			continue
		}
		if err := w.write(&w.writers[n]); err != nil {
			return err
		}
		if w.writers[n].pending != nil {
			return errors.New("a write stays pending without faults")
		}
	}
	w.table.ReleaseDelayed()
	return w.verify()
}

func runSequence(ops []int) error {
	w := &world{table: &lateTable{Store: memstore.New(), after: -1}, told: map[string]store.Result{}}
	for _, op := range ops {
		if err := w.step(op); err != nil {
			return err
		}
	}
	return w.settle()
}

// seed is taken from STORE_SEED, to repeat a failing run, or from the time.
func seed(t *testing.T) int64 {
	t.Helper()
	n := time.Now().UnixNano()
	if raw := os.Getenv("STORE_SEED"); raw != "" {
		var err error
		if n, err = strconv.ParseInt(raw, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("STORE_SEED=%d", n)
	return n
}

// Guards against any order of lost replies, late effects, outages and competing writers in which a writer is told the
// wrong outcome or is never told one.
func TestOutcomesAreRight(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(seed(t))
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	properties.Property("writers are told what took effect", prop.ForAll(
		func(ops []int) (bool, error) {
			err := runSequence(ops)
			return err == nil, err
		},
		gen.SliceOf(gen.IntRange(0, opKinds*writers-1)),
	))
	properties.TestingRun(t)
}

// Guards against an object whose creation is reported as failed or successful when the opposite holds.
func TestCreate(t *testing.T) {
	ctx := context.Background()
	m := memstore.New()
	for i, c := range []struct {
		body string
		want error
	}{{"a", nil}, {"a", nil}, {"b", store.ErrConflict}} {
		if err := store.Create(ctx, m, "config/1", []byte(c.body)); !errors.Is(err, c.want) {
			t.Errorf("step %d: %v, want %v", i, err, c.want)
		}
	}
	lost := &lostReplies{Objects: m, count: 2}
	if err := store.Create(ctx, lost, "config/2", []byte("a")); err != nil {
		t.Errorf("lost replies: %v", err)
	}
	lost.count = 100
	if err := store.Create(ctx, lost, "config/3", []byte("a")); !errors.Is(err, store.ErrAmbiguous) {
		t.Errorf("all replies lost: %v", err)
	}
}

// lostReplies loses the replies of the next creations.
type lostReplies struct {
	store.Objects
	count int
}

func (l *lostReplies) CreateObject(ctx context.Context, key string, body []byte) error {
	err := l.Objects.CreateObject(ctx, key, body)
	if l.count > 0 {
		l.count--
		return store.ErrAmbiguous
	}
	return err
}
