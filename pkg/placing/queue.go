package placing

import (
	"slices"
	"sort"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

type requestID struct {
	vm  string
	seq uint64
}

// waiter is a request that waits for a target.
type waiter struct {
	PlacementRequest
	deadline clock.Instant
	// objectiveEnd is the time by which an answer meets the latency objective.
	objectiveEnd clock.Instant
	// late means that the objective can no longer be met.
	late bool
	// leavesFree is the number of places of the owner that the request leaves to more urgent ones.
	leavesFree int8
	// forecastMs is the forecast at admission.
	forecastMs int32
	// factor is the expected service time relative to the mean of the pool.
	factor float64
	// order is the deadline, or the time of arrival if firstCome is set: requests that wait because of a rate limit are served in the
	// order of their arrival. How many of them are served is certain, so that none has to be refused after it has waited.
	order     clock.Instant
	firstCome bool
	reply     func(Decision)
	queue     queueID
	owner     Owner
	// suspected reports whether the request may have crashed a target.
	suspected bool
	// vmID is the name of the request's VM, without the part that identifies the connection.
	vmID string
	// backedOff reports whether any target asks the VM to send nothing.
	backedOff bool
	// step is the request's turn among organisations, if hasStep is set, in stepQueue; 0 without organisations.
	step      int64
	hasStep   bool
	stepQueue queueID
	// deferred reports whether the request has a free target and waits until the quota permits to send it.
	deferred bool
	// regionsKey identifies the set of regions that may serve the request.
	regionsKey string
}

// before orders waiting requests: by priority, then those that can still meet their objective, then by the steps of organisations, then by
// deadline. Under overload, serving late requests first would make all others late in turn.
func (w *waiter) before(other *waiter) bool {
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	if w.late != other.late {
		return other.late
	}
	if w.step != other.step {
		return w.step < other.step
	}
	return w.order < other.order
}

// inOrderOfArrival makes a request wait behind those that came before it, and ahead of those that are ordered by deadline.
func (w *waiter) inOrderOfArrival(now clock.Instant) {
	w.order, w.firstCome, w.late = now, true, false
}

// needsOwnState reports whether the request can't use the pool state that requests with the same home regions share.
func (w *waiter) needsOwnState() bool {
	return len(w.Avoid) > 0 || w.suspected
}

// queueID identifies a queue: a pool, or an owner in a keyed pool. The owner is empty while a key has none.
type queueID struct {
	pool  string
	owner string
}

func (b *Broker) enqueue(w *waiter) {
	w.queue = queueID{pool: w.Pool}
	if b.keyed(w.Pool) {
		w.owner = b.ownerOf(w.Pool, w.Key)
		if !w.owner.Pending {
			w.queue.owner = w.owner.Target
		}
	}
	b.takeStep(w)
	q := b.queues[w.queue]
	i := sort.Search(len(q), func(i int) bool { return w.before(q[i]) })
	b.queues[w.queue] = slices.Insert(q, i, w)
	b.orderOwn(w)
}

// requeue moves a request to its present place after its order, its target's owner or the state of being late has changed.
func (b *Broker) requeue(w *waiter) {
	b.dequeue(w)
	b.enqueue(w)
}

func (b *Broker) dequeue(w *waiter) {
	q := b.queues[w.queue]
	if i := slices.Index(q, w); i >= 0 {
		q = slices.Delete(q, i, i+1)
	}
	if len(q) == 0 {
		delete(b.queues, w.queue)
		delete(b.fair, w.queue)
		return
	}
	b.queues[w.queue] = q
}
