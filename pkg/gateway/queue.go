package gateway

import (
	"sort"
	"time"
)

// waiter is a request that waits for a slot.
type waiter struct {
	weight   int
	deadline time.Time
	// patience is when half of the time has passed. A request isn't queued any longer, so that its caller can still go
	// elsewhere.
	patience time.Time
	// target restricts the choice; nil for an unkeyed request.
	target      *target
	keyHash     uint64
	fingerprint uint64
	homeRegions []string
	// slice is set for a keyed request.
	slice *heldSlice
	// alone asks for a target that runs nothing else.
	alone bool
	// avoid are targets that failed to connect for this request.
	avoid map[*target]bool
	// granted receives the outcome once: nil with ticket set, or a refusal.
	granted chan error
	ticket  *ticket
	// finish ends the single run of a suspect.
	finish func()
}

// unmeetable tells whether the expected wait is too long. Without a wait the latency alone refuses nothing: requests that are
// never sent would never show that a target has become faster.
func (w *waiter) unmeetable(wait, latency time.Duration) bool {
	now := time.Now()
	if now.Add(wait).After(w.patience) {
		return true
	}
	return wait > 0 && now.Add(wait+latency).After(w.deadline)
}

// before orders waiters: higher class weight first, then the earlier deadline.
func (w *waiter) before(o *waiter) bool {
	if w.weight != o.weight {
		return w.weight > o.weight
	}
	return w.deadline.Before(o.deadline)
}

// queue is an ordered list of waiters. Its owner bounds the length.
type queue struct {
	waiters []*waiter
}

// rank returns the position that a new waiter would get.
func (q *queue) rank(w *waiter) int {
	return sort.Search(len(q.waiters), func(i int) bool {
		return w.before(q.waiters[i])
	})
}

func (q *queue) insert(w *waiter) {
	i := q.rank(w)
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[i+1:], q.waiters[i:])
	q.waiters[i] = w
}

// remove returns false if the waiter is not queued.
func (q *queue) remove(w *waiter) bool {
	for i, other := range q.waiters {
		if other == w {
			q.removeAt(i)
			return true
		}
	}
	return false
}

func (q *queue) removeAt(i int) {
	copy(q.waiters[i:], q.waiters[i+1:])
	last := len(q.waiters) - 1
	q.waiters[last] = nil
	q.waiters = q.waiters[:last]
}

// last returns the waiter of the lowest rank, nil if the queue is empty.
func (q *queue) last() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	return q.waiters[len(q.waiters)-1]
}

// again returns a waiter for another attempt, which may avoid the target of the failed one.
func (w *waiter) again(avoid bool) *waiter {
	next := &waiter{
		weight:      w.weight,
		deadline:    w.deadline,
		alone:       w.alone,
		keyHash:     w.keyHash,
		fingerprint: w.fingerprint,
		avoid:       make(map[*target]bool),
		granted:     make(chan error, 1),
		finish:      w.finish,
	}
	if avoid {
		next.avoid[w.ticket.target] = true
	}
	for t := range w.avoid {
		next.avoid[t] = true
	}
	return next
}
