package placing

import (
	"cmp"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Demand is what the broker has measured about the requests of one priority in a pool, in deployments that admit by value.
type Demand struct {
	Pool     string `json:"pool"`
	Priority int    `json:"priority"`
	// Waiting is the number of waiting requests, Late that of those among them that can no longer meet their objective.
	Waiting int `json:"waiting"`
	Late    int `json:"late"`
	// OnTimeRate and LateRate are the admitted requests per second that could meet their objective, and the others, 1 being a request with
	// the mean service time of the pool.
	OnTimeRate float64 `json:"on_time_rate"`
	LateRate   float64 `json:"late_rate"`
}

// demandKey identifies the requests of one priority in a pool.
type demandKey struct {
	pool     string
	priority int
}

// Demand returns the measured demand, the entries with the highest rates first, at most the given number. It is empty unless requests are
// admitted by value.
func (b *Broker) Demand(count int, now clock.Instant) []Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := map[demandKey]*Demand{}
	entry := func(pool string, priority int) *Demand {
		id := demandKey{pool, priority}
		if entries[id] == nil {
			entries[id] = &Demand{Pool: pool, Priority: priority}
		}
		return entries[id]
	}
	for id, rates := range b.arrivals {
		for _, r := range rates {
			d, rate := entry(id.pool, r.rank.priority), r.work*r.decay(now)/arrivalWindow.Seconds()
			if r.rank.late {
				d.LateRate += rate
			} else {
				d.OnTimeRate += rate
			}
		}
	}
	for _, w := range b.waiting {
		d := entries[demandKey{w.Pool, w.Priority}]
		if d == nil {
			continue
		}
		d.Waiting++
		if w.late {
			d.Late++
		}
	}
	list := make([]Demand, 0, len(entries))
	for _, d := range entries {
		list = append(list, *d)
	}
	slices.SortFunc(list, func(x, y Demand) int {
		return cmp.Or(cmp.Compare(y.OnTimeRate+y.LateRate, x.OnTimeRate+x.LateRate), cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.Priority, y.Priority))
	})
	return list[:min(count, len(list))]
}
