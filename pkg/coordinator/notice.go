package coordinator

import "github.com/bronzelever/bronzelever/pkg/clock"

// Notice tells who is the coordinator, as of a version of its row.
type Notice struct {
	VM          string `msgpack:"vm"`
	Incarnation string `msgpack:"inc"`
	Address     string `msgpack:"addr"`
	Version     uint64 `msgpack:"v"`
}

// Introduce takes in who leads as another VM has told. A takeover still needs the row to be read from the store.
func (c *Coordinator) Introduce(n Notice, now clock.Instant) []Effect {
	if n.Version <= c.version || n.VM == c.self.VM {
		return nil
	}
	c.version, c.seen, c.known, c.freeSeen = n.Version, now, true, false
	c.row = Leader{VM: n.VM, Incarnation: n.Incarnation, Address: n.Address, Renewal: c.row.Renewal, Fleet: c.row.Fleet}
	if c.pending != nil && !c.pending.inFlight {
		// Its condition can't hold any more. The answer of a write in flight is still awaited: it must not be taken for the
		// next one's.
		c.pending = nil
	}
	if c.leading {
		c.stepDown("another VM has taken over")
	}
	return c.take()
}

// Notice returns who leads, as far as is known.
func (c *Coordinator) Notice() (Notice, bool) {
	row, known := c.Leader()
	return Notice{VM: row.VM, Incarnation: row.Incarnation, Address: row.Address, Version: c.version}, known && row.Address != ""
}
