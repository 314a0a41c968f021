package coordinator

// Abandon gives up leadership after an unexpected error and discards the effects that were not yet returned. Calls that were
// already sent may still take effect, so the role is not released and the successor waits for their grants to expire.
func (c *Coordinator) Abandon() []Effect {
	for _, e := range c.effects {
		if _, ok := e.(Commit); ok && c.pending != nil {
			// The commit is not sent. The next read of the control table settles it.
			c.pending.inFlight, c.pending.ambiguous = false, true
		}
	}
	c.effects = nil
	if c.leading {
		c.stepDown("an unexpected error")
	}
	return c.takeEffects()
}
