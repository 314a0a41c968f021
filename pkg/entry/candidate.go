package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
)

// candidate tells whether this VM may take the coordinator's role.
func (c *Control) candidate(now clock.Instant) bool {
	connected := c.link != nil && now.Sub(c.heardAt) < contactLoss
	return !c.stopRequest && !connected && now >= c.barredUntil
}

// yield gives the role up while this VM is too slow for it. The other VMs see that by how late their verdicts come.
func (c *Control) yield(now clock.Instant) {
	if now < c.barredUntil {
		c.run(c.coordinator.Stop(now, now < c.barredUntil.Add(yieldPatience-yieldPause)))
		return
	}
	if !c.slow() {
		c.slowSince = 0
		return
	}
	if c.slowSince == 0 {
		c.slowSince = now
	}
	if now.Sub(c.slowSince) >= yieldAfter {
		c.slowSince, c.barredUntil = 0, now.Add(yieldPause)
		c.log.Emit(event.LeadershipYielded)
	}
}

// slow tells whether most of the other VMs of this region wait too long for verdicts. Those of other regions may wait because
// of the link between the regions, which no other VM here could help: a strong VM gave the role up to a weak one for that.
func (c *Control) slow() bool {
	late, near := 0, 0
	for f := range c.followers {
		if f.Region != c.settings.Region {
			continue
		}
		near++
		if f.VerdictDelay > slowVerdict {
			late++
		}
	}
	return late >= minWitnesses && 2*late > near
}

const (
	// selfTestInterval is the time between measurements of this VM's speed while it may become the coordinator.
	selfTestInterval = time.Second
	// selfTestBytes is the input of the measured computation.
	selfTestBytes = 512 << 10
)

// slowness measures how long a small computation takes on this VM while nobody is known to lead.
func (c *Control) slowness(now clock.Instant) time.Duration {
	if c.wasLeading || c.link != nil || now < c.nextSelfTest {
		return c.selfTest
	}
	c.nextSelfTest = now.Add(selfTestInterval)
	input := make([]byte, 4<<10)
	digest := xxhash.New()
	begun := c.clock.Now()
	for range selfTestBytes / len(input) {
		// A digest never fails.
		_, _ = digest.Write(input)
	}
	input[0] = byte(digest.Sum64())
	c.selfTest = c.clock.Now().Sub(begun)
	return c.selfTest
}

const (
	// coreDelay and linkDelay are a candidate's delays for a VM with a whole core and a link of 1 Mbit/s; less of a core and a
	// faster link change them in proportion. The requests of 80 VMs are estimated to take 5 Mbit/s each way.
	coreDelay = 40 * time.Millisecond
	linkDelay = 3 * time.Second
	// weaknessContrast multiplies what a candidate's delay is above that of the strongest VM. Without it, a VM with a fifth of
	// the processor took the role although stronger ones were connected.
	weaknessContrast = 3
)

// weakness is the delay that lets VMs with more of a core and a faster link take the coordinator's role first. Once a
// coordinator has told how strong the strongest VM is, only the difference counts.
func (c *Control) weakness() time.Duration {
	own := c.ownWeakness()
	if c.leastWeakness == 0 {
		return own
	}
	return weaknessContrast * max(0, own-c.leastWeakness)
}

func (c *Control) ownWeakness() time.Duration {
	return time.Duration(float64(coreDelay)/max(c.settings.CoreShare, 0.05) + float64(linkDelay)/max(c.settings.LinkMbps, 1))
}
