package placing

import (
	"strings"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// growEvery is the time after which a target that has turned VMs away gets one more request at a time, once the span that it told is
// over.
const growEvery = 500 * time.Millisecond

// closings are the targets that have turned VMs away for a time. They answer the load of a pool whose targets shed: with hundreds of
// VMs, each of which learns it from a refusal of its own, a target refuses hundreds of requests in a span in which it wants few.
// A VM that was turned away sends nothing for the time told. The others get no more places together than the target had work
// when it refused, until that time is over; then one more after the other.
type closings struct {
	targets map[inventory.Life]*closing
	// vms tells until when some target wants nothing from a VM, so that the requests of other VMs cost nothing.
	vms map[string]clock.Instant
}

func newClosings() closings {
	return closings{targets: map[inventory.Life]*closing{}, vms: map[string]clock.Instant{}}
}

// closing is one target's.
type closing struct {
	// vms tells until when the target wants nothing from a VM.
	vms map[string]clock.Instant
	// limit is the number of places until the given time.
	limit int
	until clock.Instant
}

// machineOf returns the VM of a connection: a VM that connects again is the same to a target.
func machineOf(vm string) string {
	name, _, _ := strings.Cut(vm, "#")
	return name
}

// add notes that a target has turned a VM away while it had other work.
func (c closings) add(life inventory.Life, vm string, until clock.Instant, working int, now clock.Instant) {
	e := c.targets[life]
	if e == nil {
		e = &closing{vms: map[string]clock.Instant{}, limit: working}
		c.targets[life] = e
	}
	e.vms[vm] = max(e.vms[vm], until)
	c.vms[vm] = max(c.vms[vm], until)
	e.limit = max(1, min(e.places(now), working))
	e.until = max(e.until, until)
}

// places returns the number of places that the VMs get which weren't turned away.
func (e *closing) places(now clock.Instant) int {
	return e.limit + int(max(0, now.Sub(e.until))/growEvery)
}

// concern tells whether some target has turned the VM away.
func (c closings) concern(vm string, now clock.Instant) bool {
	return now < c.vms[vm]
}

// until returns until when a target wants nothing from a VM.
func (c closings) until(life inventory.Life, vm string) clock.Instant {
	if e := c.targets[life]; e != nil {
		return e.vms[vm]
	}
	return 0
}

// limit returns how many of a target's places are given.
func (c closings) limit(life inventory.Life, places int, now clock.Instant) int {
	if e := c.targets[life]; e != nil {
		return min(places, e.places(now))
	}
	return places
}

// prune drops the targets that have as many places again as any may have.
func (c closings) prune(now clock.Instant) {
	for life, e := range c.targets {
		if now > e.until && e.places(now) > mostPlaces {
			delete(c.targets, life)
		}
	}
	for vm, until := range c.vms {
		if now >= until {
			delete(c.vms, vm)
		}
	}
}

// mostPlaces is a number of places beyond which a limit isn't worth keeping.
const mostPlaces = 64
