package store

import (
	"context"
	"errors"
	"fmt"
	"strings"
)

// Outcome is what is known about a conditional write.
type Outcome int

const (
	// Pending means that the write may have taken effect or may still do so. Write.Resolve has to be called again.
	Pending Outcome = iota
	// Won means that the write took effect.
	Won
	// Lost means that the write never took effect and never will.
	Lost
	// NotSent means that the service refused every attempt or wasn't reached: the write had no effect and never will
	// have, unless Write.Resolve is called again.
	NotSent
	// Superseded means that the row has been written so often since then that it no longer tells whether the write took
	// effect. It is not in force and never will be.
	Superseded
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"pending", "won", "lost", "not sent", "superseded"}[o]
}

// Settled tells that the outcome is final.
func (o Outcome) Settled() bool {
	return o == Won || o == Lost || o == Superseded
}

const (
	// tokenSeparator separates the tokens of a row's latest writes, newest first. Without the earlier tokens, a write that
	// took effect and was replaced before its writer could read the row would seem lost.
	tokenSeparator = " "
	// rememberedTokens bounds the tokens in a row. With one write per second, it covers a reader that is late by 16 s.
	rememberedTokens = 16
	// rounds bounds the attempts of one Resolve call. Each can take two time-outs of the store.
	rounds = 3
)

// ErrBadToken means that a token is empty or contains a space.
var ErrBadToken = errors.New("the token of a write must be non-empty and without spaces")

// Writer returns the token of the write that produced the row.
func (r Row) Writer() string {
	writer, _, _ := strings.Cut(r.Token, tokenSeparator)
	return writer
}

// writtenBy tells which token produced an earlier revision of the row; false if the row doesn't remember it.
func (r Row) writtenBy(revision Revision) (string, bool) {
	if revision > r.Revision {
		return "", false
	}
	tokens := strings.Split(r.Token, tokenSeparator)
	age := r.Revision - revision
	if age >= Revision(len(tokens)) {
		return "", false
	}
	return tokens[age], true
}

// Write is a conditional write whose outcome is always told rightly, even if an attempt takes effect long after it timed
// out. Every attempt has the same condition, so that at most one of them can take effect. All writers of the row have to
// use Write, because it keeps the tokens of earlier writes in the row. A Write is used by one goroutine at a time.
type Write struct {
	table    Table
	previous Row
	value    []byte
	token    string
	// open tells that an attempt without a reply may have taken effect or may still do so.
	open bool
	// result is valid once its outcome is settled.
	result Result
}

// Result tells the outcome of a write.
type Result struct {
	Outcome Outcome
	// Revision is the revision that the write produced if it won.
	Revision Revision
	// Current is the row as last seen if Outcome is Lost or Superseded, or if the write won only after a read. A write that
	// won can have been replaced already: Current.Revision is above Revision then.
	Current Row
	// Err is the store's last error if the outcome isn't settled.
	Err error
}

// NewWrite prepares the replacement of a row that was read before; a Row with nothing but Key creates the row. The token
// must be unique among all writes of the row.
func NewWrite(table Table, previous Row, value []byte, token string) (*Write, error) {
	if token == "" || strings.Contains(token, tokenSeparator) {
		return nil, fmt.Errorf("%w: %q", ErrBadToken, token)
	}
	return &Write{table: table, previous: previous, value: value, token: token}, nil
}

// Put replaces a row and resolves the outcome as far as the store allows. If the outcome isn't settled, the returned Write
// can continue later.
func Put(ctx context.Context, table Table, previous Row, value []byte, token string) (Result, *Write, error) {
	w, err := NewWrite(table, previous, value, token)
	if err != nil {
		return Result{}, nil, err
	}
	return w.Resolve(ctx), w, nil
}

// Token returns the token of the write.
func (w *Write) Token() string {
	return w.token
}

// Resolve attempts the write or continues to find out its outcome. It returns when the outcome is settled, when the store
// can't be reached, or after a few attempts without a reply; it never waits by itself.
func (w *Write) Resolve(ctx context.Context) Result {
	if w.result.Outcome.Settled() {
		return w.result
	}
	var err error
	for range rounds {
		if w.open {
			// Reading first saves a write if the attempt has taken effect. A row that is still unchanged proves nothing.
			if err = w.read(ctx); err != nil || w.result.Outcome.Settled() {
				break
			}
		}
		if err = w.attempt(ctx); !errors.Is(err, ErrAmbiguous) {
			break
		}
	}
	return w.conclude(err)
}

func (w *Write) conclude(err error) Result {
	switch {
	case w.result.Outcome.Settled():
		return w.result
	case w.open:
		return Result{Outcome: Pending, Err: err}
	default:
		return Result{Outcome: NotSent, Err: err}
	}
}

// attempt sends the write once.
func (w *Write) attempt(ctx context.Context) error {
	revision, err := w.table.Put(ctx, w.previous.Key, w.value, w.previous.Revision, w.tokens())
	switch {
	case err == nil:
		w.result = Result{Outcome: Won, Revision: revision}
		return nil
	case errors.Is(err, ErrAmbiguous):
		w.open = true
		return err
	case errors.Is(err, ErrConflict):
		// The condition can never hold again. Whether an earlier attempt took effect shows in the row.
		return w.conflict(ctx)
	}
	return err
}

func (w *Write) conflict(ctx context.Context) error {
	if !w.open {
		w.result = Result{Outcome: Lost}
	}
	// Without an open attempt the read only tells the caller what is in force; its failure doesn't change the outcome.
	return w.read(ctx)
}

// read looks whether the row has changed and who changed it.
func (w *Write) read(ctx context.Context) error {
	row, err := w.table.Get(ctx, w.previous.Key)
	if errors.Is(err, ErrNotFound) {
		row, err = Row{Key: w.previous.Key}, nil
	}
	if err != nil {
		return err
	}
	if w.result.Outcome == Lost {
		w.result.Current = row
		return nil
	}
	if row.Revision <= w.previous.Revision {
		return nil
	}
	ours := w.previous.Revision + 1
	writer, remembered := row.writtenBy(ours)
	switch {
	case !remembered:
		w.result = Result{Outcome: Superseded, Current: row}
	case writer == w.token:
		w.result = Result{Outcome: Won, Revision: ours, Current: row}
	default:
		w.result = Result{Outcome: Lost, Current: row}
	}
	return nil
}

// tokens returns the token attribute of the new row.
func (w *Write) tokens() string {
	tokens := []string{w.token}
	if w.previous.Revision > 0 {
		tokens = append(tokens, strings.Split(w.previous.Token, tokenSeparator)...)
	}
	return strings.Join(tokens[:min(len(tokens), rememberedTokens)], tokenSeparator)
}

// Create stores an object unless it exists with another body. Objects never change, so that an attempt without a reply is
// simply repeated. It returns ErrConflict if the key belongs to another body.
func Create(ctx context.Context, objects Objects, key string, body []byte) error {
	var err error
	for range rounds {
		if err = objects.CreateObject(ctx, key, body); !errors.Is(err, ErrAmbiguous) {
			break
		}
	}
	if !errors.Is(err, ErrConflict) {
		return err
	}
	present, err := objects.GetObject(ctx, key)
	if err != nil {
		// The object exists, but whether it is this one isn't known.
		return fmt.Errorf("%w: %v", ErrAmbiguous, err)
	}
	if string(present) != string(body) {
		return ErrConflict
	}
	return nil
}
