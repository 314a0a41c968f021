package placing

import (
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// forecastWithMargin is the forecast for a request at its position in the queue, with a safety margin.
func (b *Broker) forecastWithMargin(w *waiter, ps *poolState) (time.Duration, Reason) {
	queue := b.queues[w.queue]
	place := slices.Index(queue, w)
	ahead := b.expectedAhead(w, place)
	latency, reason := ps.forecast(w, ahead, workAhead(queue, place)+float64(ahead-place))
	if latency == infinite {
		return latency, reason
	}
	return time.Duration(forecastMargin * float64(latency)), reason
}

// infinite stands for a time that never comes; it is longer than any deadline.
const infinite = time.Hour

// coldRate returns the requests per second that this broker may send to a cold target.
func (b *Broker) coldRate(l *load) float64 {
	return coldRate(b.snapshot.Configuration, l) * b.share
}

// defaultColdRate is the rate of cold targets, in requests per second, if their pool doesn't specify one.
const defaultColdRate = 1

// coldRate returns the requests per second that a cold target takes from all VMs together.
func coldRate(c *inventory.Configuration, l *load) float64 {
	if c == nil {
		return defaultColdRate
	}
	if p := c.Pools[l.target.Pool]; p != nil && p.ColdRate > 0 {
		return p.ColdRate
	}
	return defaultColdRate
}

// refuseUnservable refuses waiting requests that can no longer be answered by their deadline, so that their callers learn it
// early.
func (b *Broker) refuseUnservable(now clock.Instant) {
	if b.snapshot == nil || b.snapshot.Configuration == nil {
		return
	}
	for _, queue := range b.queues {
		cache := stateCache{b: b, now: now}
		position, work := 0, 0.0
		for _, w := range slices.Clone(queue) {
			ps := cache.get(w)
			if !w.late && !w.firstCome && now.Add(ps.minUsefulTime(w)) > w.objectiveEnd {
				w.late = true
				b.requeue(w)
			}
			latency, reason := b.queueForecast(w, ps, position, work, now)
			if reason == ReasonOverload {
				latency += b.slowerThanFastest(w, ps)
			}
			if latency > w.deadline.Sub(now) {
				b.refuseAdmitted(w, ps.refusal(w, latency, reason), now)
				continue
			}
			position++
			work += w.factor
		}
	}
}
