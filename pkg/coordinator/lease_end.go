package coordinator

import "github.com/bronzelever/bronzelever/pkg/clock"

// LeaseEnd returns until when this process is certainly the coordinator, 0 if it isn't.
func (c *Coordinator) LeaseEnd() clock.Instant {
	if !c.leading {
		return 0
	}
	return c.leaseEnd
}
