// Package clock provides monotonic time that keeps counting while a VM is suspended, and a virtual clock for tests and
// replay.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point on a monotonic time line, counted from an arbitrary origin. Instants of different processes can't
// be compared.
type Instant time.Duration

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration {
	return time.Duration(i - earlier)
}

// Clock tells the time and creates timers.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// After sends the current instant once d has passed.
	After(d time.Duration) <-chan Instant
}

// MaxDrift is the assumed upper bound on the relative rate difference of two clocks: 1%.
const MaxDrift = 0.01

// WithDrift extends a duration measured on another VM's clock by the drift bound.
func WithDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*MaxDrift)
}

// Boottime reads CLOCK_BOOTTIME. CLOCK_MONOTONIC, which package time uses, stops while a VM is suspended, so that a
// lease would seem valid after a suspension.
type Boottime struct{}

// Now implements Clock.
func (Boottime) Now() Instant {
	var ts unix.Timespec
	// The call fails only for an unknown clock ID.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return Instant(ts.Nano())
}

// After implements Clock.
func (c Boottime) After(d time.Duration) <-chan Instant {
	ch := make(chan Instant, 1)
	time.AfterFunc(d, func() {
		ch <- c.Now()
	})
	return ch
}
