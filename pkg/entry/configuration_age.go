package entry

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/replica"
)

// ConfigurationAge returns the time since the newest information about the configuration that this VM has was current.
func (c *Control) ConfigurationAge() time.Duration {
	return c.clock.Now().Sub(clock.Instant(c.configurationSeen.Load()))
}

// noteConfigurationSeen records that the configuration that this VM has was current at the given time.
func (c *Control) noteConfigurationSeen(at clock.Instant) {
	c.configurationSeen.Store(max(c.configurationSeen.Load(), int64(at)))
}

// noteRelayedConfiguration records how old the configuration is that another VM relays.
func (c *Control) noteRelayedConfiguration(u replica.Update, now clock.Instant) {
	age := u.ConfigurationAgeMs
	if age == 0 {
		age = u.StoreAge
	}
	c.noteConfigurationSeen(now.Add(-time.Duration(age) * time.Millisecond))
}

// relayedConfigurationAge returns what this VM states in its updates as the age of its configuration. Without MaxConfigurationAge
// nobody needs it, and 0 takes no space.
func (c *Control) relayedConfigurationAge() int64 {
	if c.settings.MaxConfigurationAge == 0 {
		return 0
	}
	return max(1, c.ConfigurationAge().Milliseconds())
}
