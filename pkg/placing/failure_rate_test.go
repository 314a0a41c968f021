package placing

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	answerTime = 200 * time.Millisecond
	errorTime  = 10 * time.Millisecond
)

// simulateFailingTargets sends requests at 60% of the capacity of eight targets with two slots. t0 and t1 quickly answer two in
// five of their requests with an error. It returns the share of requests that fail.
func simulateFailingTargets(t *testing.T, seed uint64) float64 {
	h, random := newHarness(t, 8, 2), rand.New(rand.NewPCG(seed, 1))
	type running struct {
		seq    uint64
		until  time.Duration
		result Result
	}
	var open []running
	failed, asked := 0, 0
	start := h.now
	for at := time.Duration(0); at < 20*time.Second; at += 21 * time.Millisecond {
		h.now = start.Add(at)
		remaining := open[:0]
		for _, r := range open {
			if r.until > at {
				remaining = append(remaining, r)
				continue
			}
			work := answerTime
			if r.result == TargetError {
				work = errorTime
			}
			h.b.Done("vm", r.seq, work, r.result, nil, h.now)
		}
		open = remaining
		seq, v := h.place(PlacementRequest{Pool: "plain"})
		if v == nil || v.Target == "" {
			t.Fatalf("not placed at %v", at)
		}
		asked++
		result, work := Answered, answerTime
		if (v.Target == "t0" || v.Target == "t1") && random.Float64() < 0.4 {
			result, work = TargetError, errorTime
			failed++
		}
		open = append(open, running{seq, at + work, result})
	}
	return float64(failed) / float64(asked)
}

// Guards against preferring a target because its errors are fast. An overloaded neighbour on its machine or a bad release makes a
// target answer part of its requests with errors while its health check passes. Even distribution would fail a tenth of all
// requests; the limit is half of that.
func TestTargetsThatFailFastGetFewRequests(t *testing.T) {
	for seed := range uint64(5) {
		if failed := simulateFailingTargets(t, seed); failed > 0.05 {
			t.Errorf("seed %d: %.3f of the requests fail", seed, failed)
		}
	}
}

// Guards against targets that get no requests after they have recovered, and against a single error that redirects requests.
func TestFailureRateRecovers(t *testing.T) {
	h := newHarness(t, 1, 2)
	l := h.b.loads["t0"]
	l.recordResult(errorTime, TargetError, nil, h.now)
	if l.penalty() != 0 || l.serviceTime != initialServiceTime {
		t.Errorf("a single error adds a penalty of %v and changes the service time to %v", l.penalty(), l.serviceTime)
	}
	for range 20 {
		l.recordResult(errorTime, TargetError, nil, h.now)
	}
	if l.penalty() < time.Second {
		t.Errorf("a target that only answers with errors has a penalty of %v", l.penalty())
	}
	for range 40 {
		l.recordResult(answerTime, Answered, nil, h.now)
	}
	if l.penalty() != 0 {
		t.Errorf("after 40 good answers the penalty is still %v", l.penalty())
	}
}
