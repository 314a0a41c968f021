package entry

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/replica"
)

// Guards against a VM that reads the store less often because of its own reads: while the coordinator's data is old, only
// relayed data counts as fresh. A request reached a leaving target 2065 ms after its announcement.
func TestOwnReadsDontDelayTheNext(t *testing.T) {
	now := clock.Instant(time.Minute)
	c := &Control{link: &replica.Link{}, snapshot: &inventory.Snapshot{}, heardAt: now, relayFreshAt: now.Add(-2 * maxStoreAge), freshAt: now}
	if c.tablesRelayed(now) {
		t.Error("an own read counts as the coordinator's")
	}
	c.relayFreshAt = now
	if !c.tablesRelayed(now) {
		t.Error("relayed data of this moment is taken for old")
	}
}
