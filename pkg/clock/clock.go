// Package clock provides a monotonic clock that keeps running while a VM is suspended, and a virtual clock for tests and
// replay.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in monotonic time, measured from an arbitrary origin. Instants of different processes aren't
// comparable.
type Instant time.Duration

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration {
	return time.Duration(i - earlier)
}

// Clock provides the current time and timers.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// After returns a channel that receives the current instant after d has elapsed.
	After(d time.Duration) <-chan Instant
}

// MaxDrift is the assumed upper bound on the relative difference between the rates of two clocks: 1%.
const MaxDrift = 0.01

// WithDrift extends a duration that was measured on another VM's clock by MaxDrift.
func WithDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*MaxDrift)
}

// Boottime is a Clock that reads CLOCK_BOOTTIME. Package time uses CLOCK_MONOTONIC, which stops while a VM is suspended, so
// that an expired lease would still appear valid after a suspension.
type Boottime struct{}

// Now implements Clock.
func (Boottime) Now() Instant {
	var ts unix.Timespec
	// ClockGettime fails only for an unknown clock ID.
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
