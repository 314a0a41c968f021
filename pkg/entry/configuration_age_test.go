package entry

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// Guards against a VM that takes its configuration for newer than it is: because another table was read, because the VM that relays it has
// old information itself, or because an older statement follows a newer one.
func TestConfigurationAge(t *testing.T) {
	now := clock.Instant(time.Minute)
	c := isolatedControl(t, nil, &logCapture{})
	seen := func(want time.Duration, after string) {
		t.Helper()
		if got := clock.Instant(c.configurationSeen.Load()); got != clock.Instant(want) {
			t.Errorf("%s: known as of %v, want %v", after, got, want)
		}
	}
	c.handlePage("servers", rowstore.TableSnapshot{Version: 1}, nil, now)
	c.handlePage("op", rowstore.TableSnapshot{}, rowstore.ErrRefused, now)
	seen(0, "read of another table, failed read")
	c.handlePage("op", rowstore.TableSnapshot{Version: 1}, nil, now)
	seen(time.Minute, "own read")
	c.noteRelayedConfiguration(replica.Update{StoreAge: 10, ConfigurationAgeMs: 4000}, now.Add(2*time.Second))
	seen(time.Minute, "older information relayed")
	c.noteRelayedConfiguration(replica.Update{StoreAge: 10, ConfigurationAgeMs: 500}, now.Add(2*time.Second))
	seen(time.Minute+1500*time.Millisecond, "newer information relayed")
	c.noteRelayedConfiguration(replica.Update{StoreAge: 10}, now.Add(3*time.Second))
	seen(time.Minute+2990*time.Millisecond, "relayed by an earlier version")
	if age := c.relayedConfigurationAge(); age != 0 {
		t.Errorf("age %d is relayed although nothing depends on it", age)
	}
	if c.settings.MaxConfigurationAge = time.Second; c.relayedConfigurationAge() < 1 {
		t.Error("no age is relayed")
	}
}
