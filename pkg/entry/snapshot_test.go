package entry

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/replica"
)

// Only relayed data may count as fresh, not a VM's own reads. Otherwise, while the coordinator's data was old, a VM's
// own reads made it read the store less often, and a request reached a leaving target 2065 ms after its announcement.
func TestOwnReadsDoNotCountAsRelayed(t *testing.T) {
	now := clock.Instant(time.Minute)
	c := &Control{link: &replica.Link{}, snapshot: &inventory.Snapshot{}, coordinatorHeardAt: now, relayedFreshAt: now.Add(-2 * maxRelayedAge), readFreshAt: now}
	if c.relayedTablesFresh(now) {
		t.Error("a read of this VM counts as relayed data")
	}
	c.relayedFreshAt = now
	if !c.relayedTablesFresh(now) {
		t.Error("current relayed data counts as old")
	}
}
