package placing

import (
	"strings"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// limitGrowthInterval is the interval at which the limit of a target that has refused requests grows by one after its backoff has
// ended.
const limitGrowthInterval = 500 * time.Millisecond

// backoffs tracks the targets that have asked VMs to send nothing for a time. If each of hundreds of VMs had to learn of an
// overloaded target from a refusal of its own, the target would refuse hundreds of requests while it can serve few. A VM that was
// refused sends nothing for the requested time. Until that time has passed, the other VMs together get at most as many slots as
// were in use when the target refused; then the limit grows step by step.
type backoffs struct {
	targets map[inventory.Incarnation]*backoff
	// vms holds the time until which any target asks a VM to send nothing, so that requests of other VMs need no lookup for each
	// target.
	vms map[string]clock.Instant
}

func newBackoffs() backoffs {
	return backoffs{targets: map[inventory.Incarnation]*backoff{}, vms: map[string]clock.Instant{}}
}

// backoff is the state of one target.
type backoff struct {
	// vms holds the time until which the target asks a VM to send nothing.
	vms map[string]clock.Instant
	// limit is the number of slots in use at most until the given time.
	limit int
	until clock.Instant
}

// vmIDOf returns the VM of a connection, which has the same name after a reconnect.
func vmIDOf(vm string) string {
	name, _, _ := strings.Cut(vm, "#")
	return name
}

// add records that a target has refused a VM until the given time while the given number of other requests was in flight there.
func (b backoffs) add(incarnation inventory.Incarnation, vm string, until clock.Instant, inFlight int, now clock.Instant) {
	e := b.targets[incarnation]
	if e == nil {
		e = &backoff{vms: map[string]clock.Instant{}, limit: inFlight}
		b.targets[incarnation] = e
	}
	e.vms[vm] = max(e.vms[vm], until)
	b.vms[vm] = max(b.vms[vm], until)
	e.limit = max(1, min(e.currentLimit(now), inFlight))
	e.until = max(e.until, until)
}

// currentLimit returns the number of slots available to the VMs that weren't refused.
func (e *backoff) currentLimit(now clock.Instant) int {
	return e.limit + int(max(0, now.Sub(e.until))/limitGrowthInterval)
}

// affects reports whether any target currently asks the VM to send nothing.
func (b backoffs) affects(vm string, now clock.Instant) bool {
	return now < b.vms[vm]
}

// until returns the time until which a target asks a VM to send nothing.
func (b backoffs) until(incarnation inventory.Incarnation, vm string) clock.Instant {
	if e := b.targets[incarnation]; e != nil {
		return e.vms[vm]
	}
	return 0
}

// limit returns how many of a target's slots may be used.
func (b backoffs) limit(incarnation inventory.Incarnation, slots int, now clock.Instant) int {
	if e := b.targets[incarnation]; e != nil {
		return min(slots, e.currentLimit(now))
	}
	return slots
}

// prune drops expired entries: targets whose limit exceeds maxLimit again, and VMs that no target refuses any more.
func (b backoffs) prune(now clock.Instant) {
	for incarnation, e := range b.targets {
		if now > e.until && e.currentLimit(now) > maxLimit {
			delete(b.targets, incarnation)
		}
	}
	for vm, until := range b.vms {
		if now >= until {
			delete(b.vms, vm)
		}
	}
}

// maxLimit is the limit above which a target is no longer restricted.
const maxLimit = 64
