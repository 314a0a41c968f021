package entry

import (
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
)

const (
	// loadWindowLength is the period whose requests count as the current load of a key. Hot keys change within seconds.
	loadWindowLength = 1500 * time.Millisecond
	// defaultServiceTime is the assumed service time of targets for which there is no measurement.
	defaultServiceTime = 200 * time.Millisecond
)

// keyBatch holds the keys of one report.
type keyBatch struct {
	at   clock.Instant
	keys []uint16
}

// loadWindow holds the keys that were recently requested on all VMs.
type loadWindow struct {
	batches map[string][]keyBatch
	started clock.Instant
}

func newLoadWindow() loadWindow {
	return loadWindow{batches: map[string][]keyBatch{}}
}

func (w *loadWindow) add(keys map[string][]uint16, now clock.Instant) {
	if w.started == 0 {
		w.started = now
	}
	for pool, list := range keys {
		if first := w.batches[pool]; len(first) > 0 && now.Sub(first[0].at) > loadWindowLength {
			w.batches[pool] = first[1:]
		}
		w.batches[pool] = append(w.batches[pool], keyBatch{at: now, keys: list})
	}
}

// load returns the current load of a pool.
func (w *loadWindow) load(pool string, now clock.Instant) keyrange.Load {
	batches := slices.DeleteFunc(w.batches[pool], func(b keyBatch) bool { return now.Sub(b.at) > loadWindowLength })
	w.batches[pool] = batches
	var keys []int
	for _, b := range batches {
		for _, k := range b.keys {
			keys = append(keys, int(k))
		}
	}
	slices.Sort(keys)
	span := min(loadWindowLength, now.Sub(w.started))
	return keyrange.Load{Keys: keys, Seconds: max(span.Seconds(), 0.5)}
}

// capacity estimates how many requests per second a target can serve. The keys of an owner with a rate limit move to others, as the
// requests for them would be refused there.
func (c *Control) capacity(t *inventory.Target) float64 {
	service, ok := c.placer.broker.ServiceTime(t.ID)
	if !ok {
		service = defaultServiceTime
	}
	capacity := float64(t.Slots) / service.Seconds()
	if rate, limited := c.limits.Rate(t.Incarnation()); limited {
		return min(capacity, rate)
	}
	return capacity
}
