package filter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

// recordingFilter appends its name to calls. If refuse is set, it returns an error instead of calling the next filter.
type recordingFilter struct {
	name   string
	calls  *[]string
	refuse bool
}

func (r recordingFilter) Handle(ctx context.Context, x *Exchange, next Next) (*exchange.Response, error) {
	*r.calls = append(*r.calls, r.name)
	if r.refuse {
		return nil, BadRequest("stopped")
	}
	return next(ctx, x)
}

// Guards against filters that run out of order, or after an earlier filter has refused the request.
func TestChainOrder(t *testing.T) {
	var calls []string
	chain := Chain(recordingFilter{"a", &calls, false}, recordingFilter{"b", &calls, true}, recordingFilter{"c", &calls, false})
	if _, err := chain(context.Background(), &Exchange{}); err == nil {
		t.Error("the chain returned no error although a filter refused the request")
	}
	if got := strings.Join(calls, ""); got != "ab" {
		t.Errorf("filters ran in the order %q, want \"ab\"", got)
	}
}

// Guards against accepting a header field that occurs with two different values.
func TestSingleHeaderValueRejectsConflictingValues(t *testing.T) {
	h := http.Header{"A": {"x", "x"}, "B": {"x", "y"}}
	if v, ok := SingleHeaderValue(h, "A"); v != "x" || !ok {
		t.Errorf("%q, %v", v, ok)
	}
	if _, ok := SingleHeaderValue(h, "B"); ok {
		t.Error("conflicting values were accepted")
	}
}

// Guards against forwarding a body as complete although its length differs from the announced length or exceeds the limit.
func TestBodyLengths(t *testing.T) {
	big := strings.Repeat("x", PrefixBytes+10)
	cases := []struct {
		name         string
		data         string
		length       int64
		limit        int64
		code         problem.Code
		fitsPrefix   bool
		wantBuffered bool
	}{
		{"exact", "abc", 3, 10, "", true, true},
		{"unannounced", "abc", -1, 10, "", true, true},
		{"short", "abc", 4, 10, problem.CodeBadRequest, true, false},
		{"long", "abc", 2, 10, problem.CodeBadRequest, true, false},
		{"too large", "abc", -1, 2, problem.CodeBodyTooLarge, true, false},
		{"big", big, int64(len(big)), 1 << 20, "", false, false},
		{"big short", big, int64(len(big)) + 1, 1 << 20, problem.CodeBadRequest, false, false},
		{"big too large", big, -1, PrefixBytes + 5, problem.CodeBodyTooLarge, false, false},
	}
	for _, c := range cases {
		b := NewBody(strings.NewReader(c.data), c.length, c.limit)
		_, err := b.Prefix()
		if c.fitsPrefix && (err != nil) != (c.code != "") {
			t.Errorf("%s: prefix: %v", c.name, err)
		}
		if err == nil {
			var got []byte
			got, err = io.ReadAll(b.Reader())
			if err == nil && string(got) != c.data {
				t.Errorf("%s: %d bytes arrived", c.name, len(got))
			}
		}
		p := b.Problem(problem.NotRun)
		if c.code == "" && (err != nil || p != nil) || c.code != "" && (err == nil || p == nil || p.Code != c.code) {
			t.Errorf("%s: %v, %v", c.name, err, p)
		}
		if b.IsBuffered() != c.wantBuffered {
			t.Errorf("%s: IsBuffered returned %v", c.name, b.IsBuffered())
		}
	}
}

// Guards against sending a body again when a part of it has been consumed and is no longer buffered.
func TestBodyReplay(t *testing.T) {
	buffered := NewBody(strings.NewReader("abc"), -1, 10)
	if _, err := buffered.Prefix(); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if got, _ := io.ReadAll(buffered.Reader()); string(got) != "abc" || !buffered.Rewind() {
			t.Errorf("%q", got)
		}
	}
	data := strings.Repeat("x", PrefixBytes+10)
	large := NewBody(strings.NewReader(data), -1, 1<<20)
	if _, err := large.Prefix(); err != nil {
		t.Fatal(err)
	}
	stale := large.Reader()
	_, _ = io.ReadFull(stale, make([]byte, PrefixBytes))
	if !large.Rewind() {
		t.Error("a body of which only the prefix was read can't be sent again")
	}
	if _, err := stale.Read(make([]byte, 5)); !errors.Is(err, errBodyUsed) {
		t.Errorf("a reader invalidated by Rewind can still read after the prefix: %v", err)
	}
	if got, err := io.ReadAll(large.Reader()); len(got) != len(data) || err != nil {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if large.Rewind() {
		t.Error("a consumed body can be sent again")
	}
	if _, err := io.ReadAll(large.Reader()); !errors.Is(err, errBodyUsed) {
		t.Errorf("second reader: %v", err)
	}
}

// Guards against Problem, Rewind or Length blocking while a reader waits for a caller whose upload has stalled. The refusal
// of such a request would be delayed.
func TestStalledReadDoesNotBlock(t *testing.T) {
	source, writer := io.Pipe()
	b := NewBody(io.MultiReader(strings.NewReader(strings.Repeat("x", PrefixBytes)), source), -1, 1<<20)
	if _, err := b.Prefix(); err != nil {
		t.Fatal(err)
	}
	reader := b.Reader()
	_, _ = io.ReadFull(reader, make([]byte, PrefixBytes))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = reader.Read(make([]byte, 1))
	}()
	for !b.isConsumed() {
		runtime.Gosched()
	}
	if p := b.Problem(problem.NotRun); p != nil || b.Rewind() || b.Length() != -1 {
		t.Errorf("problem %v", p)
	}
	_ = writer.Close()
	<-done
}

// isConsumed reports whether a reader has requested bytes after the prefix.
func (b *Body) isConsumed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.consumed
}
