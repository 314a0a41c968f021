package clock

import (
	"sort"
	"sync"
	"time"
)

// Virtual is a Clock whose time changes only through Advance.
type Virtual struct {
	mu     sync.Mutex
	now    Instant
	timers []virtualTimer
}

type virtualTimer struct {
	at Instant
	ch chan Instant
}

// NewVirtual returns a virtual clock set to start.
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
	v.fireDue()
	return ch
}

// Advance moves the clock forward by d and fires all timers that are due, in order of their instants.
func (v *Virtual) Advance(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = v.now.Add(d)
	v.fireDue()
}

func (v *Virtual) fireDue() {
	for len(v.timers) > 0 && v.timers[0].at <= v.now {
		v.timers[0].ch <- v.now
		v.timers = v.timers[1:]
	}
}
