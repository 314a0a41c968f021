package placing

import (
	"slices"
	"sort"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

type askID struct {
	vm  string
	seq uint64
}

// waiter is an ask without a verdict.
type waiter struct {
	Ask
	deadline clock.Instant
	// objectiveEnd is until when an answer has its full worth.
	objectiveEnd clock.Instant
	// late tells that the objective can't be met any more.
	late   bool
	reply  func(Verdict)
	bucket bucketID
	owner  Owner
	// suspected tells that the request may have crashed a target.
	suspected bool
	// machine is the name of the waiter's VM.
	machine string
	// closed tells that some target wants nothing from the waiter's VM.
	closed bool
	// homes names the regions that may serve the request.
	homes string
}

// before orders waiters: the more urgent route first, then those that can still meet their objective, then the one whose
// caller gives up first. Under overload, late requests would make all others late in turn.
func (w *waiter) before(o *waiter) bool {
	if w.Priority != o.Priority {
		return w.Priority < o.Priority
	}
	if w.late != o.late {
		return o.late
	}
	return w.deadline < o.deadline
}

// special tells that the waiter may not use all the targets that others with its homes may.
func (w *waiter) special() bool {
	return len(w.Avoid) > 0 || w.suspected
}

// bucketID names a queue: a pool, or an owner in a keyed pool; the owner is empty while a key has none.
type bucketID struct {
	pool  string
	owner string
}

func (b *Broker) enqueue(w *waiter) {
	w.bucket = bucketID{pool: w.Pool}
	if b.keyed(w.Pool) {
		w.owner = b.ownerOf(w.Pool, w.Key)
		if !w.owner.Pending {
			w.bucket.owner = w.owner.Target
		}
	}
	q := b.queues[w.bucket]
	i := sort.Search(len(q), func(i int) bool { return w.before(q[i]) })
	b.queues[w.bucket] = slices.Insert(q, i, w)
}

func (b *Broker) leave(w *waiter) {
	q := b.queues[w.bucket]
	if i := slices.Index(q, w); i >= 0 {
		q = slices.Delete(q, i, i+1)
	}
	if len(q) == 0 {
		delete(b.queues, w.bucket)
		return
	}
	b.queues[w.bucket] = q
}
