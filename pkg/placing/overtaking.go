package placing

import (
	"math"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// The load pattern is demand near or above the capacity of a pool for longer than requests can wait. Requests that arrive later and are
// placed first then use all the capacity, and the back of the queue is never reached. A forecast that counts only what is ahead in the
// queue admits requests there, which wait until their deadline and are refused. In deployments that admit by value, the broker therefore
// measures the work that is admitted with each rank. With the capacity that the ranks ahead leave, a new request must be expected to be
// answered by its deadline, and waiting ones are judged by it again on each tick.

const (
	// arrivalWindow is the time constant of the rates of admitted work. With 1 s, bursts of a more urgent kind were noticed so late that
	// twice as many requests waited in vain as with 0.6 s. With 0.2 s, the rates vary so much that waiting requests are refused under
	// a steady load. At the owners of keys, 0.6 to 5 s give about the same.
	arrivalWindow = 600 * time.Millisecond
	// arrivalsKept is how long the rate of a rank is kept after its last request.
	arrivalsKept = 8 * arrivalWindow
	// minCapacityShare bounds from below the part of the capacity with which a forecast counts, so that expected waits stay finite.
	minCapacityShare = 0.01
)

// arrivalRank is the rank of requests in a queue, as far as waiter.before compares it, with the regions that may serve them.
type arrivalRank struct {
	priority   int
	late       bool
	regionsKey string
}

func (w *waiter) arrivalRank() arrivalRank {
	return arrivalRank{w.Priority, w.late, w.regionsKey}
}

// arrivalRate is a decaying sum of the work of the admitted requests of one rank, 1 being a request with the mean service time.
type arrivalRate struct {
	rank    arrivalRank
	regions []string
	// work is the sum as of the time at, overtaking the part of it that was placed ahead of waiting requests of the same rank.
	work, overtaking float64
	at               clock.Instant
}

func (r *arrivalRate) decay(now clock.Instant) float64 {
	return math.Exp(-now.Sub(r.at).Seconds() / arrivalWindow.Seconds())
}

// perSecond returns the rate of work at which requests of this rank arrive that are placed before a waiting request, even if it waits
// already.
func (r *arrivalRate) perSecond(w *waiter, now clock.Instant) float64 {
	sum := 0.0
	switch {
	case r.rank.priority > w.Priority:
	case r.rank.priority < w.Priority || !r.rank.late && w.late:
		sum = r.work
	case r.rank.late == w.late && !w.hasStep:
		// Between organisations, Broker.expectedAhead counts the requests that are placed first.
		sum = r.overtaking
	}
	if sum == 0 {
		return 0
	}
	return sum * r.decay(now) / arrivalWindow.Seconds()
}

// arrivals holds the rates of admitted work of each queue. A queue has few ranks, so that they are kept in a list.
type arrivals map[queueID][]*arrivalRate

// add records an admitted request. overtaking reports whether it was placed ahead of a waiting one of its rank.
func (a arrivals) add(w *waiter, overtaking bool, now clock.Instant) {
	var rate *arrivalRate
	for _, r := range a[w.queue] {
		if r.rank == w.arrivalRank() {
			rate = r
			break
		}
	}
	if rate == nil {
		rate = &arrivalRate{rank: w.arrivalRank(), regions: w.AllowedRegions, at: now}
		a[w.queue] = append(a[w.queue], rate)
	}
	factor := rate.decay(now)
	rate.work, rate.overtaking, rate.at = rate.work*factor+w.factor, rate.overtaking*factor, now
	if overtaking {
		rate.overtaking += w.factor
	}
}

// prune drops the ranks that have had no requests for arrivalsKept.
func (a arrivals) prune(now clock.Instant) {
	for id, rates := range a {
		kept := rates[:0]
		for _, r := range rates {
			if now.Sub(r.at) < arrivalsKept {
				kept = append(kept, r)
			}
		}
		clear(rates[len(kept):])
		a[id] = kept
		if len(kept) == 0 {
			delete(a, id)
		}
	}
}

// noteArrival records a request that was admitted and is in its queue.
func (b *Broker) noteArrival(w *waiter, now clock.Instant) {
	if b.arrivals == nil || !b.admitsByValue() {
		return
	}
	overtaking, queue := false, b.queues[w.queue]
	if next := slices.Index(queue, w) + 1; next < len(queue) {
		overtaking = queue[next].Priority == w.Priority && queue[next].late == w.late
	}
	b.arrivals.add(w, overtaking, now)
}

// capacityShare returns the part of the capacity that later requests with a higher rank leave to a waiting one.
func (b *Broker) capacityShare(w *waiter, ps *poolState, now clock.Instant) float64 {
	taken := 0.0
	for _, r := range b.arrivals[w.queue] {
		if rate := r.perSecond(w, now); rate > 0 {
			taken += rate * b.sharedTargets(w, r)
		}
	}
	return max(minCapacityShare, 1-taken/ps.throughput)
}

// regionPair identifies two sets of home regions in a pool.
type regionPair struct {
	pool, from, to string
}

// sharedTargets returns which part of the targets that requests of a rank may use the waiting request may use, too.
func (b *Broker) sharedTargets(w *waiter, r *arrivalRate) float64 {
	if r.rank.regionsKey == w.regionsKey || w.queue.owner != "" {
		return 1
	}
	id := regionPair{w.Pool, r.rank.regionsKey, w.regionsKey}
	if share, ok := b.regionShares[id]; ok {
		return share
	}
	theirs := b.targetSet(&waiter{PlacementRequest: PlacementRequest{Pool: w.Pool, AllowedRegions: r.regions}, regionsKey: r.rank.regionsKey})
	both := 0
	for _, l := range theirs {
		if b.mayServe(w, l.target.ID) {
			both++
		}
	}
	share := float64(both) / float64(max(1, len(theirs)))
	b.regionShares[id] = share
	return share
}

// queueForecast is poolState.forecast with the capacity that later requests with a higher rank leave to a waiting one (capacityShare).
func (b *Broker) queueForecast(w *waiter, ps *poolState, ahead int, work float64, now clock.Instant) (time.Duration, Reason) {
	latency, reason := ps.forecast(w, ahead, work)
	service := w.scaled(ps.fastest)
	if reason != ReasonOverload || latency == infinite || latency <= service || ps.throughput <= 0 || !b.admitsByValue() {
		return latency, reason
	}
	latency = service + secondsToDuration((latency-service).Seconds()/b.capacityShare(w, ps, now))
	if ps.available && len(ps.targets) > 1 {
		// The requests ahead have declined the targets that are still free. If nobody took them, a target with a few slow answers would
		// get none that show that it is fast again.
		latency = min(latency, max(service, b.bestCandidate(w, ps, now).score))
	}
	return latency, reason
}

// willBeOvertaken reports whether a new request in its queue can't be expected to be answered by its deadline, because later requests with
// a higher rank will be placed first. Its place in the queue and the share of its time that it may wait are decided without them: counting
// them there refused requests that were answered on time as soon as the load fell.
func (b *Broker) willBeOvertaken(w *waiter, ps *poolState, now clock.Instant) bool {
	if ps.limited || !b.admitsByValue() {
		return false
	}
	queue := b.queues[w.queue]
	place := slices.Index(queue, w)
	ahead := b.expectedAhead(w, place)
	latency, _ := b.queueForecast(w, ps, ahead, workAhead(queue, place)+float64(ahead-place), now)
	return latency > w.TimeLeft
}

// slowerThanFastest returns by how much the target that a waiting request gets is expected to be slower than the fastest one, with which
// forecasts count.
func (b *Broker) slowerThanFastest(w *waiter, ps *poolState) time.Duration {
	if len(ps.targets) < 2 || ps.throughput <= 0 || !b.admitsByValue() {
		return 0
	}
	return max(0, w.scaled(secondsToDuration(float64(ps.slots)/ps.throughput)-ps.fastest))
}
