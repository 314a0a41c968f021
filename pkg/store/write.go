package store

import (
	"context"
	"errors"
	"fmt"
	"strings"
)

// Outcome is the known state of a conditional write.
type Outcome int

const (
	// Pending means that the write may have taken effect or may still do so. Write.Resolve has to be called again.
	Pending Outcome = iota
	// Won means that the write took effect. The row may have been replaced since.
	Won
	// Lost means that the write had no effect and can no longer take effect.
	Lost
	// NotSent means that the service rejected every attempt or couldn't be reached. The write had no effect and will have
	// none unless Write.Resolve is called again.
	NotSent
	// Superseded means that later writes have pushed the deciding token out of the row's token history, so that it is no
	// longer known whether the write took effect. The write is not in force and never will be.
	Superseded
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"pending", "won", "lost", "not sent", "superseded"}[o]
}

// Settled reports whether the outcome is final.
func (o Outcome) Settled() bool {
	return o == Won || o == Lost || o == Superseded
}

const (
	// tokenSeparator separates the tokens of the most recent writes in a row's token attribute, newest first. Without the
	// earlier tokens, a write that took effect and was replaced before its writer read the row would be reported as lost.
	tokenSeparator = " "
	// maxRowTokens is the maximum number of tokens kept in a row. At one write per second, it covers a reader that is
	// 16 s late.
	maxRowTokens = 16
	// maxAttempts is the maximum number of attempts of one Write.Resolve or Create call. In Write.Resolve, each attempt can
	// take two store timeouts: one for the read and one for the write.
	maxAttempts = 3
)

// ErrInvalidToken is returned when a token is empty or contains a space.
var ErrInvalidToken = errors.New("write token must be non-empty and must not contain spaces")

// WriterToken returns the token of the write that produced the row.
func (r Row) WriterToken() string {
	writer, _, _ := strings.Cut(r.Token, tokenSeparator)
	return writer
}

// tokenAt returns the token of the write that produced the given revision. It returns false if the row hasn't reached
// that revision or no longer holds its token.
func (r Row) tokenAt(revision Revision) (string, bool) {
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

// Write is a conditional write whose outcome is determined correctly even if an attempt takes effect long after it timed
// out. All attempts have the same condition, so that at most one of them can take effect. All writers of a row must use
// Write, because it keeps the tokens of earlier writes in the row. A Write is not safe for concurrent use.
type Write struct {
	table    Table
	previous Row
	value    []byte
	token    string
	// ambiguous is set after an attempt with an unknown outcome, which may have taken effect or may still do so.
	ambiguous bool
	// result is valid only if its outcome is settled.
	result Result
}

// Result describes the outcome of a write.
type Result struct {
	Outcome Outcome
	// Revision is the revision that the write produced if it won.
	Revision Revision
	// Current is the row as last read. It is set if Outcome is Superseded, if Outcome is Lost and the row could be read, or
	// if a read showed that the write won. If the write won and has been replaced since, Current.Revision is greater than
	// Revision.
	Current Row
	// Err is the last error of the store if the outcome isn't settled.
	Err error
}

// NewWrite returns a Write that replaces previous, a row read earlier. A Row with only Key set creates the row. The token
// must be unique among all writes of the row.
func NewWrite(table Table, previous Row, value []byte, token string) (*Write, error) {
	if token == "" || strings.Contains(token, tokenSeparator) {
		return nil, fmt.Errorf("%w: %q", ErrInvalidToken, token)
	}
	return &Write{table: table, previous: previous, value: value, token: token}, nil
}

// Put writes a row and calls Write.Resolve once. If the outcome isn't settled, the caller can continue with the returned
// Write.
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

// Resolve attempts the write or continues to determine its outcome. It returns when the outcome is settled, when the
// store is unavailable, or after a few attempts with unknown outcomes. It doesn't sleep between attempts.
func (w *Write) Resolve(ctx context.Context) Result {
	if w.result.Outcome.Settled() {
		return w.result
	}
	var err error
	for range maxAttempts {
		if w.ambiguous {
			// Reading first avoids another write if an earlier attempt took effect. An unchanged row proves nothing, because the
			// attempt may still take effect.
			if err = w.readOutcome(ctx); err != nil || w.result.Outcome.Settled() {
				break
			}
		}
		if err = w.attempt(ctx); !errors.Is(err, ErrAmbiguous) {
			break
		}
	}
	return w.resultAfter(err)
}

func (w *Write) resultAfter(err error) Result {
	switch {
	case w.result.Outcome.Settled():
		return w.result
	case w.ambiguous:
		return Result{Outcome: Pending, Err: err}
	default:
		return Result{Outcome: NotSent, Err: err}
	}
}

// attempt sends the write once.
func (w *Write) attempt(ctx context.Context) error {
	revision, err := w.table.Put(ctx, w.previous.Key, w.value, w.previous.Revision, w.tokenAttribute())
	switch {
	case err == nil:
		w.result = Result{Outcome: Won, Revision: revision}
		return nil
	case errors.Is(err, ErrAmbiguous):
		w.ambiguous = true
		return err
	case errors.Is(err, ErrConflict):
		// Revisions only grow, so the condition can't hold again. The row shows whether an earlier attempt took effect.
		return w.handleConflict(ctx)
	}
	return err
}

func (w *Write) handleConflict(ctx context.Context) error {
	if !w.ambiguous {
		w.result = Result{Outcome: Lost}
	}
	// If no attempt had an unknown outcome, the read only provides Result.Current; its failure doesn't change the outcome.
	return w.readOutcome(ctx)
}

// readOutcome reads the row and, if it has changed, sets the result from the token of the write that changed it.
func (w *Write) readOutcome(ctx context.Context) error {
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
	ownRevision := w.previous.Revision + 1
	writer, known := row.tokenAt(ownRevision)
	switch {
	case !known:
		w.result = Result{Outcome: Superseded, Current: row}
	case writer == w.token:
		w.result = Result{Outcome: Won, Revision: ownRevision, Current: row}
	default:
		w.result = Result{Outcome: Lost, Current: row}
	}
	return nil
}

// tokenAttribute returns the token attribute of the new row: the token of this write, followed by those of earlier writes.
func (w *Write) tokenAttribute() string {
	tokens := []string{w.token}
	if w.previous.Revision > 0 {
		tokens = append(tokens, strings.Split(w.previous.Token, tokenSeparator)...)
	}
	return strings.Join(tokens[:min(len(tokens), maxRowTokens)], tokenSeparator)
}

// Create creates an object, or does nothing if the object already exists with the same body. It returns ErrConflict if
// the object exists with a different body. Objects are immutable, so an attempt with an unknown outcome is safe to repeat.
func Create(ctx context.Context, objects Objects, key string, body []byte) error {
	var err error
	for range maxAttempts {
		if err = objects.CreateObject(ctx, key, body); !errors.Is(err, ErrAmbiguous) {
			break
		}
	}
	if !errors.Is(err, ErrConflict) {
		return err
	}
	existing, err := objects.GetObject(ctx, key)
	if err != nil {
		// The object exists, but its body couldn't be compared.
		return fmt.Errorf("%w: %v", ErrAmbiguous, err)
	}
	if string(existing) != string(body) {
		return ErrConflict
	}
	return nil
}
