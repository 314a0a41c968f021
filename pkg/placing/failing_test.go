package placing

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	goodWork  = 200 * time.Millisecond
	erredWork = 10 * time.Millisecond
)

// greyDay replays requests at 60% of what eight targets with two slots carry. t0 and t1 answer two in five of their requests with an
// error, fast. It returns the share of the requests that end so.
func greyDay(t *testing.T, seed uint64) float64 {
	x, random := newBench(t, 8, 2), rand.New(rand.NewPCG(seed, 1))
	type running struct {
		seq   uint64
		until time.Duration
		how   Ending
	}
	var open []running
	failed, asked := 0, 0
	start := x.now
	for at := time.Duration(0); at < 20*time.Second; at += 21 * time.Millisecond {
		x.now = start.Add(at)
		kept := open[:0]
		for _, r := range open {
			if r.until > at {
				kept = append(kept, r)
				continue
			}
			work := goodWork
			if r.how == Erred {
				work = erredWork
			}
			x.b.Done("vm", r.seq, work, r.how, nil, x.now)
		}
		open = kept
		seq, v := x.ask(Ask{Pool: "plain"})
		if v == nil || v.Target == "" {
			t.Fatalf("no place at %v", at)
		}
		asked++
		how, work := Answered, goodWork
		if (v.Target == "t0" || v.Target == "t1") && random.Float64() < 0.4 {
			how, work = Erred, erredWork
			failed++
		}
		open = append(open, running{seq, at + work, how})
	}
	return float64(failed) / float64(asked)
}

// Guards against a target that fails fast and therefore looks like the best one: a neighbour's trouble or a bad release makes it
// answer part of its requests with errors while its health check is good. An even division would fail a tenth of all requests; half of
// that is the bound.
func TestTargetsThatFailFastGetFewRequests(t *testing.T) {
	for seed := range uint64(5) {
		if failed := greyDay(t, seed); failed > 0.05 {
			t.Errorf("seed %d: %.3f of the requests fail", seed, failed)
		}
	}
}

// Guards against targets that stay without requests although they fail no more, and against a single error that moves requests.
func TestErrorsAreForgotten(t *testing.T) {
	x := newBench(t, 1, 2)
	l := x.b.loads["t0"]
	l.note(erredWork, Erred, nil, x.now)
	if l.penalty() != 0 || l.service != initialService {
		t.Errorf("a single error costs %v and makes the service time %v", l.penalty(), l.service)
	}
	for range 20 {
		l.note(erredWork, Erred, nil, x.now)
	}
	if l.penalty() < time.Second {
		t.Errorf("a target that answers with errors only costs %v", l.penalty())
	}
	for range 40 {
		l.note(goodWork, Answered, nil, x.now)
	}
	if l.penalty() != 0 {
		t.Errorf("after 40 good answers the errors still cost %v", l.penalty())
	}
}
