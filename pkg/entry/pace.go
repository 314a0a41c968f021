package entry

import (
	"math/rand/v2"
	"time"
)

// standing is what a VM is to the others when it comes to reading the store.
type standing int

const (
	// alone means that nobody passes the tables on to the VM.
	alone standing = iota
	// guided means that a distributor does, so that the VM's own reads are a safeguard.
	guided
	// watching means that the VM passes the tables on to others.
	watching
	// coordinating means that it reads for all.
	coordinating
)

const (
	// leaderPoll is the time between the coordinator's reads of the store. A target that leaves must get nothing 2 s later.
	leaderPoll = 400 * time.Millisecond
	// ownPoll is the time between the reads of a VM that doesn't hear from the coordinator.
	ownPoll = 450 * time.Millisecond
	// readers is the number of VMs that may read every ownPoll. More of them read less often each: 295 VMs that lost their
	// coordinator while the store was down made 29,000 calls in a day of 48 s.
	readers = 16
	// maxPoll is the longest time between two reads. A VM that has nothing else learns of changes within 3 s, the shortest time
	// after an outage of the store from which on it must.
	maxPoll = 3 * time.Second
	// maxWatchPoll is the same for VMs that read for others.
	maxWatchPoll = time.Second
	// guidedPause is the least time for which a VM leaves it to its distributor to get recent tables again, and guidedSpread the
	// range over which the VMs begin to read after it: a distributor that can't read the store has mostly company.
	guidedPause  = 700 * time.Millisecond
	guidedSpread = 3 * time.Second
	// leastGuidedSpread keeps the VMs of a domain from reading at the same moment, and readReserve is the time for a read of the store
	// and for one that fails before it.
	leastGuidedSpread = 300 * time.Millisecond
	readReserve       = 500 * time.Millisecond
	// maxGuidedPoll is the longest time between two reads of a VM with a distributor.
	maxGuidedPoll = 6 * time.Second
	// pollSpread is the relative range over which reads are spread, so that the VMs don't read together.
	pollSpread = 0.5
	// startSpread is the range over which VMs begin to read the tables after a start of all of them. The first ones to read become
	// coordinator and distributors meanwhile.
	startSpread = 3 * time.Second
	// redialInterval is the time between attempts to reach the coordinator, maxRedial the longest in a large fleet. Distributors tell
	// when there is another one or it leads again.
	redialInterval = 300 * time.Millisecond
	maxRedial      = 1500 * time.Millisecond
	// firstReadFactor multiplies a VM's weakness to the delay of its first read. The strong VMs take the role first, so that the
	// others find its row at once.
	firstReadFactor = 2
)

// pace decides how often a VM reads a table of the store. It answers the load of hundreds of VMs that lose the coordinator, or
// start, at the same moment, also while the store is away: together they read about as often as readers VMs.
type pace struct {
	// failures counts the reads without an answer since the last answer.
	failures int
	// reads counts the reads since the coordinator was last heard.
	reads int
}

// pause returns the time until the next read. vms is the number of VMs, 0 if it isn't known.
func (p *pace) pause(s standing, vms int) time.Duration {
	if s == coordinating {
		return leaderPoll
	}
	pause, limit := ownPoll, maxWatchPoll
	switch {
	case s == guided:
		pause, limit = maxPoll, maxGuidedPoll
	case s == watching:
	case vms == 0:
		pause, limit = ownPoll<<min(p.reads+1, 3), maxPoll
	case vms > readers:
		pause = ownPoll * time.Duration(vms) / readers
		limit = min(maxPoll, max(limit, pause))
	}
	pause = min(pause<<min(p.failures, 3), limit)
	return time.Duration(float64(pause) * (1 - pollSpread/2 + pollSpread*rand.Float64()))
}

// note takes in how a read ended.
func (p *pace) note(err error) {
	p.reads++
	p.failures++
	if err == nil {
		p.failures = 0
	}
}

// firstRead is the delay of a VM's first read.
func firstRead(weakness time.Duration) time.Duration {
	return time.Duration(firstReadFactor * float64(weakness) * (1 + pollSpread*rand.Float64()))
}

// redialPause is the time until the next attempt to reach the coordinator, after a number of attempts that brought no update. A VM
// that doesn't lead, or leads no more, got 1,000 connections a second from 294 VMs.
func redialPause(vain int, vms int) time.Duration {
	pause := redialInterval
	if vms == 0 || vms > readers {
		pause = min(pause<<min(vain, 3), maxRedial)
	}
	return time.Duration(float64(pause) * (1 - pollSpread/2 + pollSpread*rand.Float64()))
}

// startRest is how long a new VM that nobody passes the tables on to leaves the reading of them to others.
func startRest(vms int) time.Duration {
	if vms > 0 && vms <= readers {
		return 0
	}
	return time.Duration(rand.Int64N(int64(startSpread)))
}

// guidedRest is how long a VM rests after its distributor's last sign that the tables are recent. A change must be in force within
// apply, of which the tables may already be maxStoreAge old, and the read takes readReserve.
func guidedRest(apply time.Duration) time.Duration {
	spread := min(guidedSpread, max(leastGuidedSpread, apply-maxStoreAge-guidedPause-readReserve))
	return guidedPause + time.Duration(rand.Int64N(int64(spread)))
}
