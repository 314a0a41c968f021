package coordinator

import (
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// Notice identifies the coordinator as of a version of its row.
type Notice struct {
	VM          string `msgpack:"vm"`
	Incarnation string `msgpack:"inc"`
	Address     string `msgpack:"addr"`
	Version     uint64 `msgpack:"v"`
}

// HandleNotice records the coordinator that another VM has named. A takeover still requires that the row is read from the store.
func (c *Coordinator) HandleNotice(n Notice, now clock.Instant) []Effect {
	if n.Version <= c.version || n.VM == c.self.VM {
		return nil
	}
	c.version, c.versionSeenAt, c.known, c.vacancySeen = n.Version, now, true, false
	c.setRow(Leader{VM: n.VM, Incarnation: n.Incarnation, Address: n.Address, Renewal: c.row.Renewal, Era: rowstore.Era(n.Version), Fleet: c.row.Fleet}, n.Version)
	if c.pending != nil && !c.pending.inFlight {
		// The condition of the write can no longer hold. A write in flight stays pending until its response arrives, which
		// must not be taken for the response to the next write.
		c.pending = nil
	}
	if c.leading {
		c.stepDown("another VM has taken over")
	}
	return c.takeEffects()
}

// Notice returns a notice of the current coordinator, and whether it is known.
func (c *Coordinator) Notice() (Notice, bool) {
	row, known := c.Leader()
	version := c.version
	if c.restored {
		// The version of the restored row doesn't belong to this coordinator.
		version = c.leaderVersion
	}
	return Notice{VM: row.VM, Incarnation: row.Incarnation, Address: row.Address, Version: version}, known && row.Address != ""
}
