package entry

import (
	"context"

	"github.com/bronzelever/bronzelever/pkg/coordinator"
)

// runEffects carries out effects of the coordinator's state machine.
func (c *Control) runEffects(effects []coordinator.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case coordinator.Log:
			c.log.Emit(e.Event, e.Fields...)
		case coordinator.Commit:
			go c.commit(e)
		case coordinator.ReadTable:
			c.startRead(coordinator.Table)
		case coordinator.SendGrant:
			go c.grant(e)
		case coordinator.SendRelease:
			go c.release(e)
		case coordinator.Announce:
			go c.announce(e)
		}
	}
}

func (c *Control) commit(e coordinator.Commit) {
	ctx, cancel := context.WithTimeout(c.ctx, commitTimeout)
	defer cancel()
	version, err := c.store.Commit(ctx, e.Transaction)
	c.post(func() {
		c.passLimiter.pending = true
		c.runEffects(c.coordinator.Committed(version, err, c.clock.Now()))
	})
}

func (c *Control) grant(e coordinator.SendGrant) {
	connection, err := int64(0), error(coordinator.ErrLeaseEnded)
	if c.clock.Now() < e.Deadline {
		connection, err = c.grants.Grant(c.ctx, e.To, e.Grant, e.Connection)
	}
	c.post(func() {
		c.passLimiter.pending = true
		c.runEffects(c.coordinator.Granted(e.Call, connection, err, c.clock.Now()))
	})
}

func (c *Control) release(e coordinator.SendRelease) {
	ctx, cancel := context.WithTimeout(c.ctx, e.Timeout)
	defer cancel()
	handover, err := c.grants.Release(ctx, e.From, e.Grant)
	c.post(func() {
		c.passLimiter.pending = true
		c.runEffects(c.coordinator.Released(e.Slice, handover, err, c.clock.Now()))
	})
}
