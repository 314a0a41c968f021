package clock

import (
	"sort"
	"sync"
	"time"
)

// Virtual is a clock that moves only when Advance is called.
type Virtual struct {
	mu     sync.Mutex
	now    Instant
	timers []virtualTimer
}

type virtualTimer struct {
	at Instant
	ch chan Instant
}

// NewVirtual returns a virtual clock that stands at instant start.
func NewVirtual(start Instant) *Virtual {
	return &Virtual{now: start}
}

// Now implements Clock.
func (v *Virtual) Now() Instant {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// After implements Clock.
func (v *Virtual) After(d time.Duration) <-chan Instant {
	v.mu.Lock()
	defer v.mu.Unlock()
	ch := make(chan Instant, 1)
	v.timers = append(v.timers, virtualTimer{at: v.now.Add(d), ch: ch})
	sort.SliceStable(v.timers, func(i, j int) bool {
		return v.timers[i].at < v.timers[j].at
	})
	v.fire()
	return ch
}

// Advance moves the clock forward by d and fires the timers that are due, in order.
func (v *Virtual) Advance(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = v.now.Add(d)
	v.fire()
}

func (v *Virtual) fire() {
	for len(v.timers) > 0 && v.timers[0].at <= v.now {
		v.timers[0].ch <- v.now
		v.timers = v.timers[1:]
	}
}
