package entry

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
	"github.com/bronzelever/bronzelever/pkg/replica"
)

var limitedIncarnation = inventory.Incarnation{Target: "t1", Started: 1}

// Guards against a rate limit that only the VM knows to which the target has named it: the coordinator's update must bring it, a grant's
// answer must count, and a new coordinator must get it from the VMs.
func TestRateLimitsAreExchanged(t *testing.T) {
	vm := testControl(t, "b")
	vm.decoder = incarnationsDecoder{}
	register(vm, 1, 1)
	vm.link = &replica.Link{}
	vm.handleCoordinatorUpdate(vm.link, replica.Update{Limits: []ratelimit.Record{{Incarnation: limitedIncarnation, Limited: true, Rate: 2}}})
	if rate, limited := vm.limits.Rate(limitedIncarnation); !limited || rate != 2 {
		t.Errorf("limit %v (%v) after the coordinator's update", rate, limited)
	}
	if list := vm.limits.Records(vm.clock.Now()); len(list) != 1 {
		t.Errorf("a new coordinator gets %v", list)
	}
	coordinator := testControl(t, "a")
	coordinator.decoder = incarnationsDecoder{}
	register(coordinator, 1, 1)
	coordinator.handlePeerRateLimit(keygrant.Endpoint{ID: "t1", Address: "10.0.0.1:1"}, ratelimit.Notice{Kind: ratelimit.Named, Rate: 3}, time.Millisecond)
	if rate, limited := coordinator.limits.Rate(limitedIncarnation); !limited || rate != 3 {
		t.Errorf("limit %v (%v) after the answer to a grant", rate, limited)
	}
	coordinator.handlePeerRateLimit(keygrant.Endpoint{ID: "t2", Address: "10.0.0.2:1"}, ratelimit.Notice{Kind: ratelimit.Named, Rate: 3}, time.Millisecond)
	if _, limited := coordinator.limits.Rate(inventory.Incarnation{Target: "t2", Started: 1}); limited {
		t.Error("the answer to a call to another address limits a target")
	}
}

// Guards against an owner that keeps more keys than its rate limit lets it serve, whose callers are refused although other targets have
// room.
func TestRateLimitBoundsCapacity(t *testing.T) {
	c := testControl(t, "a")
	target := &inventory.Target{ID: "t1", Started: 1, Slots: 4}
	free := c.capacity(target)
	c.limits.Observe(target.Incarnation(), ratelimit.Notice{Kind: ratelimit.Named, Rate: 2}, 0, c.clock.Now())
	if got := c.capacity(target); free <= 2 || got != 2 {
		t.Errorf("capacity %v without a limit, %v with a limit of 2", free, got)
	}
}

// Guards against VMs that are cut off and lose their share of the limits to the others at once, so that both use it.
func TestLostVMsKeepTheirShareForATime(t *testing.T) {
	var p peakHold
	at := func(d time.Duration) clock.Instant { return clock.Instant(time.Hour).Add(d) }
	p.add(12, at(0))
	p.add(6, at(fleetPeakTime/2))
	if p.value != 12 {
		t.Errorf("%d VMs share the limits shortly after six of twelve were lost", p.value)
	}
	p.add(6, at(fleetPeakTime+1))
	if p.value != 6 {
		t.Errorf("%d VMs share the limits long after six of twelve were lost", p.value)
	}
}
