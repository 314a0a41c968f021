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

// maxRowTokens is the number of later writes after which a row no longer holds the token of a write.
const maxRowTokens = 16

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

// Guards against reporting a write as lost when only its reply was lost.
func TestLostReply(t *testing.T) {
	m := memstore.New()
	m.LoseReplies(1)
	result, _ := put(t, m, store.Row{Key: key}, "a")
	if result.Outcome != store.Won || result.Revision != 1 {
		t.Errorf("%+v", result)
	}
}

// Guards against reporting a write as lost when a read precedes its delayed effect.
func TestDelayedWrite(t *testing.T) {
	m := memstore.New()
	m.DelayWrites(1)
	result, _ := put(t, m, store.Row{Key: key}, "a")
	m.ReleaseDelayed()
	if result.Outcome != store.Won || read(t, m).WriterToken() != "a" || read(t, m).Revision != 1 {
		t.Errorf("%+v, row %+v", result, read(t, m))
	}
}

// Guards against settling a write while no attempt has been answered, and against missing the delayed effect of any of its
// attempts.
func TestResolvePendingWrite(t *testing.T) {
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

// Guards against reporting a write as lost because later writes have replaced its row, and against reporting it as won or
// lost once the row no longer holds its token.
func TestRowReplacedBeforeRead(t *testing.T) {
	for _, later := range []int{1, maxRowTokens - 1, maxRowTokens} {
		m := memstore.New()
		m.DelayWrites(100)
		_, w := put(t, m, store.Row{Key: key}, "a")
		m.DelayWrites(0)
		m.ReleaseDelayed()
		for i := range later {
			put(t, m, read(t, m), fmt.Sprint("other-", i))
		}
		want := store.Won
		if later == maxRowTokens {
			want = store.Superseded
		}
		if result := w.Resolve(context.Background()); result.Outcome != want || result.Current.Revision != store.Revision(later+1) {
			t.Errorf("after %d later writes: %+v, want %v", later, result, want)
		}
	}
}

// Guards against reporting a write as lost when an attempt conflicts with an earlier attempt of the same write, which takes
// effect between the read and the next attempt.
func TestConflictWithOwnDelayedWrite(t *testing.T) {
	table := &delayedReleaseTable{Store: memstore.New(), opsUntilRelease: 2}
	table.DelayWrites(1)
	result, _ := put(t, table, store.Row{Key: key}, "a")
	if result.Outcome != store.Won || result.Revision != 1 {
		t.Errorf("%+v, row %+v", result, read(t, table))
	}
}

// Guards against reporting a rejected write as pending, and against a rejected write that can't be retried.
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
	if result, _ = put(t, m, store.Row{Key: key}, "b"); result.Outcome != store.Lost || result.Current.WriterToken() != "a" {
		t.Errorf("%+v", result)
	}
	for _, token := range []string{"", "a b"} {
		if _, _, err := store.Put(context.Background(), m, store.Row{Key: key}, nil, token); !errors.Is(err, store.ErrInvalidToken) {
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

// writer simulates a process that reads the row, writes it and resolves its pending write.
type writer struct {
	seen    store.Row
	pending *store.Write
}

// delayedReleaseTable applies delayed writes between two operations of one Resolve call.
type delayedReleaseTable struct {
	*memstore.Store
	// opsUntilRelease is the number of operations before delayed writes are released. It is negative if no release is due.
	opsUntilRelease int
}

func (l *delayedReleaseTable) countOperation() {
	if l.opsUntilRelease == 0 {
		l.ReleaseDelayed()
	}
	l.opsUntilRelease--
}

// Get implements store.Table.
func (l *delayedReleaseTable) Get(ctx context.Context, key string) (store.Row, error) {
	l.countOperation()
	return l.Store.Get(ctx, key)
}

// Put implements store.Table.
func (l *delayedReleaseTable) Put(ctx context.Context, key string, value []byte, expected store.Revision, token string) (store.Revision, error) {
	l.countOperation()
	return l.Store.Put(ctx, key, value, expected, token)
}

// simulation runs a sequence of operations and compares the outcomes reported to writers with the writes that took effect.
type simulation struct {
	table    *delayedReleaseTable
	writers  [writers]writer
	tokens   int
	reported map[string]store.Result
}

func (w *simulation) step(op int) error {
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
		w.table.opsUntilRelease = 1 + n
	case opDown:
		w.table.SetDown(true)
	case opUp:
		w.table.SetDown(false)
	}
	return nil
}

func (w *simulation) write(by *writer) error {
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
	w.reported[by.pending.Token()] = result
	by.pending = nil
	return w.verify()
}

// verify compares all reported outcomes with the writes that have taken effect so far.
func (w *simulation) verify() error {
	effective := map[string]store.Revision{}
	history := w.table.History(key)
	for _, row := range history {
		effective[row.WriterToken()] = row.Revision
	}
	for token, result := range w.reported {
		revision, applied := effective[token]
		switch result.Outcome {
		case store.Won:
			if !applied || revision != result.Revision {
				return fmt.Errorf("%s was reported with revision %d, it has %d (took effect: %v)", token, result.Revision, revision, applied)
			}
		case store.Lost, store.NotSent:
			if applied {
				return fmt.Errorf("%s was reported as %v and has revision %d", token, result.Outcome, revision)
			}
		case store.Superseded:
			if len(history) <= maxRowTokens {
				return fmt.Errorf("%s was reported as superseded after %d writes", token, len(history))
			}
		}
	}
	return nil
}

// resolveAll clears all faults and checks that every pending write can be resolved.
func (w *simulation) resolveAll() error {
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
			return errors.New("a write is still pending after all faults were cleared")
		}
	}
	w.table.ReleaseDelayed()
	return w.verify()
}

func runSequence(ops []int) error {
	w := &simulation{table: &delayedReleaseTable{Store: memstore.New(), opsUntilRelease: -1}, reported: map[string]store.Result{}}
	for _, op := range ops {
		if err := w.step(op); err != nil {
			return err
		}
	}
	return w.resolveAll()
}

// seed returns the random seed from STORE_SEED, which reproduces a failing run, or else from the current time.
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

// Guards against sequences of lost replies, delayed effects, outages and competing writes in which a writer gets a wrong
// outcome or never gets one.
func TestReportedOutcomesMatchHistory(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(seed(t))
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	properties.Property("reported outcomes match the writes that took effect", prop.ForAll(
		func(ops []int) (bool, error) {
			err := runSequence(ops)
			return err == nil, err
		},
		gen.SliceOf(gen.IntRange(0, opKinds*writers-1)),
	))
	properties.TestingRun(t)
}

// Guards against reporting the creation of an object as failed when it succeeded, or as successful when it failed.
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

// lostReplies drops the replies to the next count calls of CreateObject.
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
