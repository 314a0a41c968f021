package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// partialRefusalSim plays a pool of which most targets refuse a part of their requests although they have free slots. Refused callers come back
// up to twice.
type partialRefusalSim struct {
	*overloadSim
	shedding map[string]bool

	sent, onTime, late, refused, held int
}

const (
	sheddingWork      = 120 * time.Millisecond
	sheddingObjective = 500 * time.Millisecond
	sheddingTimeLeft  = 1500 * time.Millisecond
	shedShare         = 0.55
	sheddingRetries   = 2
)

func newPartialRefusalSim(t *testing.T, targets, healthy int, seed uint64) *partialRefusalSim {
	s := &partialRefusalSim{overloadSim: &overloadSim{harness: newHarness(t, 0, 2), random: rand.New(rand.NewPCG(seed, 31))}, shedding: map[string]bool{}}
	for i := range targets {
		id := fmt.Sprintf("t%03d", i)
		s.target = append(s.target, &inventory.Target{ID: id, Pool: "plain", Domain: "a", Slots: 2, Started: 1})
		s.shedding[id] = i >= healthy
	}
	s.update()
	return s
}

func (s *partialRefusalSim) send(first clock.Instant, retries int) {
	s.seq++
	seq, decided := s.seq, false
	left := sheddingTimeLeft - s.now.Sub(first)
	s.after(left, func() {
		if !decided {
			s.held++
			s.b.Cancel("vm", seq, s.now)
		}
	})
	s.b.Place(PlacementRequest{VM: "vm", Domain: "a", Region: "r", Seq: seq, Pool: "plain", TimeLeft: left, Objective: sheddingObjective - s.now.Sub(first)}, func(v Decision) {
		decided = true
		switch {
		case v.Target == "":
			s.comeBack(first, retries, v.Expected, left)
		case s.shedding[v.Target] && s.random.Float64() < shedShare:
			s.after(4*time.Millisecond, func() {
				s.b.Done("vm", seq, 4*time.Millisecond, Refused, nil, s.now)
				s.comeBack(first, retries, 0, left)
			})
		default:
			work := time.Duration(float64(sheddingWork) * (0.7 + 0.6*s.random.Float64()))
			s.after(work, func() {
				s.b.Done("vm", seq, work, Answered, nil, s.now)
				if s.now.Sub(first) <= sheddingObjective {
					s.onTime++
				} else {
					s.late++
				}
			})
		}
	}, s.now)
}

func (s *partialRefusalSim) comeBack(first clock.Instant, retries int, expected, left time.Duration) {
	if retries == 0 {
		s.refused++
		return
	}
	s.after(retryAfter(expected, left, s.random.Float64()), func() { s.send(first, retries-1) })
}

// Guards against a pool that serves only what a few healthy targets can take while the slots of all others are idle: requests declined
// those that shed a part of their load, filled the queue and waited there until their deadline. With three attempts of which 45% succeed at
// a target that sheds, five in six requests can be served there.
func TestTargetsThatShedAreUsedWhileOthersAreFull(t *testing.T) {
	for seed := range uint64(3) {
		s := newPartialRefusalSim(t, 40, 8, seed)
		const duration, perSecond = 10 * time.Second, 280
		for range int(duration.Seconds() * perSecond) {
			s.sent++
			s.after(time.Duration(s.random.Int64N(int64(duration))), func() { s.send(s.now, sheddingRetries) })
		}
		s.run(duration + sheddingTimeLeft)
		t.Logf("seed %d: %d sent, %d on time, %d late, %d refused, %d held until their deadline", seed, s.sent, s.onTime, s.late, s.refused, s.held)
		if served := float64(s.onTime+s.late) / float64(s.sent); served < 5.0/6 || s.held > 0 {
			t.Errorf("seed %d: %.2f of the requests are served, %d are held until their deadline", seed, served, s.held)
		}
	}
}
