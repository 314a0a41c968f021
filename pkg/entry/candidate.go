package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
)

// isCandidate reports whether this VM may take over the coordinator's role.
func (c *Control) isCandidate(now clock.Instant) bool {
	connected := c.link != nil && now.Sub(c.coordinatorHeardAt) < contactTimeout
	return !c.stopRequested && !connected && now >= c.candidacyPausedUntil
}

// yieldIfSlow gives up the coordinator's role while this VM is too slow for it. The other VMs report how late its
// decisions arrive.
func (c *Control) yieldIfSlow(now clock.Instant) {
	if now < c.candidacyPausedUntil {
		c.runEffects(c.coordinator.Stop(now, now < c.candidacyPausedUntil.Add(yieldDrainTimeout-candidacyPause)))
		return
	}
	if !c.decisionsSlow() {
		c.slowSince = 0
		return
	}
	if c.slowSince == 0 {
		c.slowSince = now
	}
	if now.Sub(c.slowSince) >= yieldAfter {
		c.slowSince, c.candidacyPausedUntil = 0, now.Add(candidacyPause)
		c.log.Emit(event.LeadershipYielded)
	}
}

// decisionsSlow reports whether most of the other VMs in this region wait too long for decisions. VMs in other regions
// are ignored: the link between the regions may cause their delay, and no other VM in this region could improve that. A
// strong VM once gave up the role to a weak one for this reason.
func (c *Control) decisionsSlow() bool {
	slow, total := 0, 0
	for f := range c.followers {
		if f.Region != c.settings.Region {
			continue
		}
		total++
		if f.PlaceDelay > slowDecisionDelay {
			slow++
		}
	}
	return slow >= minSlowReports && 2*slow > total
}

const (
	// selfTestInterval is the time between speed measurements while this VM may become the coordinator.
	selfTestInterval = time.Second
	// selfTestBytes is the size of the input that a measurement hashes.
	selfTestBytes = 512 << 10
)

// runSelfTest measures how long a small computation takes on this VM. It returns the last result if this VM leads, is
// connected to a coordinator, or has measured within selfTestInterval.
func (c *Control) runSelfTest(now clock.Instant) time.Duration {
	if c.wasLeading || c.link != nil || now < c.nextSelfTest {
		return c.selfTestTime
	}
	c.nextSelfTest = now.Add(selfTestInterval)
	input := make([]byte, 4<<10)
	digest := xxhash.New()
	started := c.clock.Now()
	for range selfTestBytes / len(input) {
		// Digest.Write never returns an error.
		_, _ = digest.Write(input)
	}
	input[0] = byte(digest.Sum64())
	c.selfTestTime = c.clock.Now().Sub(started)
	return c.selfTestTime
}

const (
	// cpuElectionDelay and linkElectionDelay are the parts of the election delay for a whole core and for a link of 1
	// Mbit/s. They are inversely proportional to the share of a core and to the rate of the link. The requests of 80
	// VMs are estimated to take 5 Mbit/s in each direction.
	cpuElectionDelay  = 40 * time.Millisecond
	linkElectionDelay = 3 * time.Second
	// electionDelayFactor multiplies the difference between this VM's election delay and that of the strongest VM.
	// Without it, a VM with a fifth of a processor took the role although stronger VMs were connected.
	electionDelayFactor = 3
)

// electionDelay returns how long this VM waits as a candidate. VMs with more of a core and a faster link wait less, so
// that they become the coordinator first. Once a coordinator has reported the delay of the strongest VM, only the
// difference from it counts.
func (c *Control) electionDelay() time.Duration {
	own := c.baseElectionDelay()
	if c.minElectionDelay == 0 {
		return own
	}
	return electionDelayFactor * max(0, own-c.minElectionDelay)
}

func (c *Control) baseElectionDelay() time.Duration {
	return time.Duration(float64(cpuElectionDelay)/max(c.settings.CPUShare, 0.05) + float64(linkElectionDelay)/max(c.settings.LinkMbps, 1))
}
