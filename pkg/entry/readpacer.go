package entry

import (
	"math/rand/v2"
	"time"
)

// readRole is the role of a VM in reading the store.
type readRole int

const (
	// roleStandalone means that no other VM relays the tables to this one.
	roleStandalone readRole = iota
	// roleSubscriber means that a distributor relays the tables, so that the VM's own reads are a safeguard.
	roleSubscriber
	// roleDistributor means that the VM relays the tables to others.
	roleDistributor
	// roleCoordinator means that the VM reads for all VMs.
	roleCoordinator
)

const (
	// coordinatorReadInterval is the time between the coordinator's reads of the store. A target must get no requests
	// 2 s after it has announced that it is leaving.
	coordinatorReadInterval = 400 * time.Millisecond
	// baseReadInterval is the time between reads of a VM that gets no updates from the coordinator.
	baseReadInterval = 450 * time.Millisecond
	// maxFullRateReaders is the number of VMs that may read every baseReadInterval. In a larger fleet each VM reads
	// less often: 295 VMs that lost their coordinator while the store was down made 29,000 calls in a test run of 48 s.
	maxFullRateReaders = 16
	// maxReadInterval is the maximum time between two reads. A VM without another source learns of changes within 3 s,
	// which is the shortest time after an outage of the store within which it must know them.
	maxReadInterval = 3 * time.Second
	// maxDistributorReadInterval is the same for VMs that read for others, and for the VMs of a small fleet.
	maxDistributorReadInterval = time.Second
	// minSubscriberReadDelay is the minimum time for which a VM waits for its distributor to relay recent tables again,
	// and maxSubscriberReadSpread is the range over which the VMs start to read after it. The reads are spread because
	// a distributor that can't read the store is rarely the only one.
	minSubscriberReadDelay  = 700 * time.Millisecond
	maxSubscriberReadSpread = 3 * time.Second
	// minSubscriberReadSpread keeps the VMs of a failure domain from reading at the same moment. readReserve is the
	// time for one failed read of the store and the successful read after it.
	minSubscriberReadSpread = 300 * time.Millisecond
	readReserve             = 500 * time.Millisecond
	// maxSubscriberReadInterval is the maximum time between two reads of a VM with a distributor.
	maxSubscriberReadInterval = 6 * time.Second
	// jitterRatio is the relative range over which intervals are randomized, so that the VMs don't read at the same
	// time.
	jitterRatio = 0.5
	// startupReadSpread is the maximum range over which VMs start to read the tables when all of them start together, and
	// startupReadSpreadPerVM its part for each VM of a fleet of up to startupLinearVMs. In larger ones, whose tables are
	// larger, the part grows with the fleet. The VMs named in the coordinator's row have read the tables before and
	// relay them.
	startupReadSpread      = 3 * time.Second
	startupReadSpreadPerVM = 5 * time.Millisecond
	startupLinearVMs       = 150
	// secondControlReadDelay is when a VM of a large fleet reads the control table again after its start. The lease of a
	// coordinator that is gone ends 3.2 s after its row was first read.
	secondControlReadDelay = 3400 * time.Millisecond
	// redialInterval is the time between attempts to connect to the coordinator, and maxRedialInterval is the maximum
	// in a large fleet. Distributors notify their subscribers when there is a new coordinator or the same one leads
	// again.
	redialInterval    = 300 * time.Millisecond
	maxRedialInterval = 1500 * time.Millisecond
	// startupRedialInterval is the time between the attempts of the VMs that the coordinator's row names, of which there is
	// one for each failure domain, within startupRedialPeriod after their start. Their subscribers wait for them to find
	// the coordinator.
	startupRedialInterval = 100 * time.Millisecond
	startupRedialPeriod   = 2 * time.Second
	// firstReadDelayFactor multiplies a VM's election delay, up to 0.66 s, to get the delay of its first read, so that
	// strong VMs read first. firstReadSpread keeps VMs of equal strength from reading at the same moment. With a factor
	// of 2, weak VMs read the coordinator's row, which names the VMs that relay the tables, 0.8 to 2 s after the start.
	firstReadDelayFactor = 0.1
	firstReadSpread      = 50 * time.Millisecond
)

// readPacer decides how often a VM reads a table of the store. It limits the load when hundreds of VMs lose the
// coordinator or start at the same time, also while the store is unavailable: together they read about as often as
// maxFullRateReaders VMs.
type readPacer struct {
	// failures counts the reads that have failed since the last successful one.
	failures int
	// reads counts the reads since the last contact with the coordinator.
	reads int
}

// interval returns the time until the next read. vms is the number of VMs, 0 if it isn't known.
func (p *readPacer) interval(role readRole, vms int) time.Duration {
	if role == roleCoordinator {
		return coordinatorReadInterval
	}
	interval, limit := baseReadInterval, maxDistributorReadInterval
	switch {
	case role == roleSubscriber:
		interval, limit = maxReadInterval, maxSubscriberReadInterval
	case role == roleDistributor:
	case vms == 0:
		interval, limit = baseReadInterval<<min(p.reads+1, 3), maxReadInterval
	case vms > maxFullRateReaders:
		interval = baseReadInterval * time.Duration(vms) / maxFullRateReaders
		limit = min(maxReadInterval, max(limit, interval))
	}
	interval = min(interval<<min(p.failures, 3), limit)
	return time.Duration(float64(interval) * (1 - jitterRatio/2 + jitterRatio*rand.Float64()))
}

// record records the outcome of a read.
func (p *readPacer) record(err error) {
	p.reads++
	p.failures++
	if err == nil {
		p.failures = 0
	}
}

// firstReadDelay returns the delay of a VM's first read.
func firstReadDelay(electionDelay time.Duration) time.Duration {
	return time.Duration(firstReadDelayFactor*float64(electionDelay)) + rand.N(firstReadSpread)
}

// redialDelay returns the time until the next attempt to connect to the coordinator, given the number of attempts that
// brought no update. Without the backoff, a VM that wasn't the coordinator, or no longer, received 1,000 connections
// per second from 294 VMs.
func redialDelay(failed int, vms int) time.Duration {
	delay := redialInterval
	if vms == 0 || vms > maxFullRateReaders {
		delay = min(delay<<min(failed, 3), maxRedialInterval)
	}
	return time.Duration(float64(delay) * (1 - jitterRatio/2 + jitterRatio*rand.Float64()))
}

// startupReadDelay returns how long a new VM to which no VM relays the tables leaves reading them to others.
func startupReadDelay(vms int) time.Duration {
	if spread := startupSpread(vms); spread > 0 {
		return rand.N(spread)
	}
	return 0
}

// startupSpread returns the range over which the new VMs of a fleet read the tables. The number of VMs is 0 if it isn't known.
func startupSpread(vms int) time.Duration {
	switch {
	case vms == 0:
		return startupReadSpread
	case vms <= maxFullRateReaders:
		return 0
	default:
		return min(startupReadSpread, time.Duration(vms)*startupReadSpreadPerVM*time.Duration(max(vms, startupLinearVMs))/startupLinearVMs)
	}
}

// subscriberReadDelay returns how long a VM doesn't read after its distributor last showed that the tables are recent.
// A change must be in force within applyTime, which includes the age of the tables, up to maxRelayedAge, and the time
// for the read, readReserve.
func subscriberReadDelay(applyTime time.Duration) time.Duration {
	spread := min(maxSubscriberReadSpread, max(minSubscriberReadSpread, applyTime-maxRelayedAge-minSubscriberReadDelay-readReserve))
	return minSubscriberReadDelay + time.Duration(rand.Int64N(int64(spread)))
}
