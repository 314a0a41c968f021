package placing

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// overloadSim simulates a load above the capacity of one key owner. Refused callers retry once, after the requested delay.
type overloadSim struct {
	*harness
	queue  simQueue
	order  int
	random *rand.Rand
	// onTime counts the answers within the objective since the first attempt, late the others, refused the requests without an
	// answer.
	onTime, late, refused int
}

type simEvent struct {
	at    clock.Instant
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (o *overloadSim) after(d time.Duration, run func()) {
	o.order++
	heap.Push(&o.queue, simEvent{o.now.Add(d), o.order, run})
}

// run plays all events of the given time, with a tick of the broker each 50 ms.
func (o *overloadSim) run(duration time.Duration) {
	end := o.now.Add(duration)
	for tick := time.Duration(0); tick < duration; tick += 50 * time.Millisecond {
		o.after(tick, func() { o.b.Tick(o.now) })
	}
	for len(o.queue) > 0 && o.queue[0].at <= end {
		e := heap.Pop(&o.queue).(simEvent)
		o.now = e.at
		e.run()
	}
}

const (
	simServiceTime   = 200 * time.Millisecond
	simObjective     = 600 * time.Millisecond
	simCallerTimeout = 2 * time.Second
)

// try sends a request whose first attempt was at first.
func (o *overloadSim) try(first clock.Instant, retries int) {
	o.seq++
	seq, left := o.seq, simCallerTimeout-o.now.Sub(first)
	a := PlacementRequest{VM: "vm", Domain: "a", Region: "r", Seq: seq, Pool: "keyed", TimeLeft: left, Objective: simObjective - o.now.Sub(first)}
	o.b.Place(a, func(v Decision) {
		if v.Target != "" {
			work := time.Duration(float64(simServiceTime) * (0.7 + 0.6*o.random.Float64()))
			o.after(work, func() { o.answered(seq, first, work) })
			return
		}
		delay := RetryAfter(v.Expected, left)
		if retries == 0 || delay >= left {
			o.refused++
			return
		}
		o.after(delay, func() { o.try(first, retries-1) })
	}, o.now)
}

func (o *overloadSim) answered(seq uint64, first clock.Instant, work time.Duration) {
	o.b.Done("vm", seq, work, Answered, nil, o.now)
	if o.now.Sub(first) <= simObjective {
		o.onTime++
	} else {
		o.late++
	}
}

// Guards against an overload in which nearly all answers are late: before requests that can still meet their objective were
// preferred, an owner with twice the load that it can serve answered hardly any in time. The goal is 90% of the capacity.
func TestOverloadServesCapacityInTime(t *testing.T) {
	for seed := range uint64(5) {
		o := &overloadSim{harness: newHarness(t, 1, 4), random: rand.New(rand.NewPCG(seed, 11))}
		const duration, factor = 30 * time.Second, 2
		capacity := float64(duration) / float64(simServiceTime) * float64(o.slots)
		arrivals := int(capacity * factor)
		for range arrivals {
			o.after(time.Duration(o.random.Int64N(int64(duration))), func() { o.try(o.now, 1) })
		}
		o.run(duration + simCallerTimeout)
		if share := float64(o.onTime) / capacity; share < 0.9 {
			t.Errorf("seed %d: %.2f of the capacity is answered in time (%d late, %d refused)", seed, share, o.late, o.refused)
		}
	}
}
