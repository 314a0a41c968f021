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

type recording struct {
	name string
	seen *[]string
	stop bool
}

func (r recording) Handle(ctx context.Context, x *Exchange, next Next) (*exchange.Response, error) {
	*r.seen = append(*r.seen, r.name)
	if r.stop {
		return nil, BadRequest("stopped")
	}
	return next(ctx, x)
}

// Guards against filters that run in another order, or after a refusal.
func TestChainOrder(t *testing.T) {
	var seen []string
	chain := Chain(recording{"a", &seen, false}, recording{"b", &seen, true}, recording{"c", &seen, false})
	if _, err := chain(context.Background(), &Exchange{}); err == nil {
		t.Error("the refusal is lost")
	}
	if got := strings.Join(seen, ""); got != "ab" {
		t.Errorf("filters ran as %q", got)
	}
}

// Guards against choosing one of two conflicting values of a header.
func TestSingle(t *testing.T) {
	h := http.Header{"A": {"x", "x"}, "B": {"x", "y"}}
	if v, ok := Single(h, "A"); v != "x" || !ok {
		t.Errorf("%q, %v", v, ok)
	}
	if _, ok := Single(h, "B"); ok {
		t.Error("conflicting values were accepted")
	}
}

// Guards against a body of the wrong length that is passed on as complete.
func TestBodyLengths(t *testing.T) {
	big := strings.Repeat("x", PrefixBytes+10)
	cases := []struct {
		name      string
		data      string
		length    int64
		limit     int64
		code      problem.Code
		inPrefix  bool
		wantWhole bool
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
		if c.inPrefix && (err != nil) != (c.code != "") {
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
		if b.Whole() != c.wantWhole {
			t.Errorf("%s: whole %v", c.name, b.Whole())
		}
	}
}

// Guards against sending only a part of a body again.
func TestBodyReplay(t *testing.T) {
	small := NewBody(strings.NewReader("abc"), -1, 10)
	if _, err := small.Prefix(); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if got, _ := io.ReadAll(small.Reader()); string(got) != "abc" || !small.Rewind() {
			t.Errorf("%q", got)
		}
	}
	data := strings.Repeat("x", PrefixBytes+10)
	large := NewBody(strings.NewReader(data), -1, 1<<20)
	if _, err := large.Prefix(); err != nil {
		t.Fatal(err)
	}
	abandoned := large.Reader()
	_, _ = io.ReadFull(abandoned, make([]byte, PrefixBytes))
	if !large.Rewind() {
		t.Error("a body of which only the prefix was read can't be sent again")
	}
	if _, err := abandoned.Read(make([]byte, 5)); !errors.Is(err, errBodyUsed) {
		t.Errorf("an abandoned reader takes bytes from its successor: %v", err)
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

// Guards against a refusal that waits for a caller whose upload has stalled.
func TestStalledBodyDoesNotBlock(t *testing.T) {
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
	for !b.isTaken() {
		runtime.Gosched()
	}
	if p := b.Problem(problem.NotRun); p != nil || b.Rewind() || b.Length() != -1 {
		t.Errorf("problem %v", p)
	}
	_ = writer.Close()
	<-done
}

func (b *Body) isTaken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken
}
