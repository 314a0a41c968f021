package coordinator

// Abandon ends the role after an unexpected error, with what was still to be carried out. Calls that were made may take effect, so
// that a successor waits for them.
func (c *Coordinator) Abandon() []Effect {
	for _, e := range c.effects {
		if _, ok := e.(Commit); ok && c.pending != nil {
			// It isn't sent. The next read of the table settles it.
			c.pending.inFlight, c.pending.unsure = false, true
		}
	}
	c.effects = nil
	if c.leading {
		c.stepDown("an unexpected error")
	}
	return c.take()
}
