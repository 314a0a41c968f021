package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

const (
	// startupMetric is the gauge of the time from the start of the process until it knew a configuration and targets.
	startupMetric = "startup_seconds"
	// startupTickInterval is the time between ticks while a new process doesn't know the tables.
	startupTickInterval = 25 * time.Millisecond
	// startupPeriod is how long a process counts as starting.
	startupPeriod = 5 * time.Second
	// quarantineGrace is how long a new process that has tables leaves reading the stored records of refused requests to
	// the VMs that relay the tables. Only VMs of earlier versions don't relay them.
	quarantineGrace = 150 * time.Millisecond
	// maxQuarantineReadSpread is the maximum range over which the VMs of a fleet begin to read the records. It leaves time for
	// a read within quarantineTimeout.
	maxQuarantineReadSpread = 400 * time.Millisecond
	// quarantineTimeout is how long a new process that has tables serves nothing because it doesn't know these records. The
	// store has refused the reads by then. A process that was paused meanwhile has made none, so the first read must also have
	// begun minQuarantineReadTime before.
	quarantineTimeout     = time.Second
	minQuarantineReadTime = quarantineTimeout - quarantineGrace - maxQuarantineReadSpread
	// quarantineRetryDelay is the time until the next read after one that failed in a small fleet. In a large one, it is
	// longer by the range over which its VMs read the tables.
	quarantineRetryDelay = 300 * time.Millisecond
)

// starting reports whether the process has started recently.
func (c *Control) starting(now clock.Instant) bool {
	return now.Sub(c.startedAt) < startupPeriod
}

// isStartupReader reports whether the coordinator's row names this VM as a distributor or as the coordinator. After a
// start of all VMs, the others depend on its reads.
func (c *Control) isStartupReader() bool {
	row, known := c.coordinator.Leader()
	return known && (row.VM == c.settings.VM || row.Distributors[c.settings.Domain] == c.relayAddress())
}

// noteControlRead records the first successful read of the control table and schedules the next one by the number of VMs
// in the coordinator's row, which wasn't known when that read was scheduled.
func (c *Control) noteControlRead(now clock.Instant) {
	if c.firstControlRead != 0 {
		return
	}
	c.firstControlRead = now
	switch row, known := c.coordinator.Leader(); {
	case !known || row.VMs == 0 || c.isStartupReader():
	case row.VMs <= maxFullRateReaders:
		c.nextRead[coordinator.Table] = now.Add(c.pacer(coordinator.Table).interval(c.readRole(now, false), row.VMs))
	default:
		c.nextRead[coordinator.Table] = now.Add(secondControlReadDelay + startupReadDelay(row.VMs))
	}
}

// awaitQuarantine makes a new process that has tables find out which requests are refused because they crash targets. After
// a loss of all processes, only the store knows them: VMs that served earlier let such a request crash 6 more targets.
func (c *Control) awaitQuarantine(now clock.Instant) {
	if !c.awaitsQuarantine || c.snapshot == nil {
		return
	}
	if c.tablesSince == 0 {
		c.tablesSince = now
		c.nextQuarantineRead = max(c.nextQuarantineRead, now.Add(quarantineGrace+quarantineReadDelay(c.fleetSize())))
	}
	if now.Sub(c.tablesSince) >= quarantineTimeout && c.quarantineReadAt != 0 && now.Sub(c.quarantineReadAt) >= minQuarantineReadTime {
		c.endQuarantineWait()
	} else {
		c.readQuarantine(now)
	}
}

// quarantineReadDelay returns how long a new VM of a large fleet leaves reading the records to others after quarantineGrace. If the
// distributors can't read them, all VMs do.
func quarantineReadDelay(vms int) time.Duration {
	if vms <= maxFullRateReaders {
		return 0
	}
	return rand.N(min(startupSpread(vms), maxQuarantineReadSpread))
}

// readQuarantine reads the stored records, unless this process knows them.
func (c *Control) readQuarantine(now clock.Instant) {
	if !c.awaitsQuarantine || c.reading[suspectsTable] || now < c.nextQuarantineRead {
		return
	}
	if c.quarantineReadAt == 0 {
		c.quarantineReadAt = now
	}
	c.reading[suspectsTable], c.nextQuarantineRead = true, now.Add(quarantineRetryDelay+startupSpread(c.fleetSize()))
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, readTimeout)
		defer cancel()
		page, err := c.store.List(ctx, suspectsTable)
		c.post(func() { c.handleQuarantine(page, err) })
	}()
}

func (c *Control) handleQuarantine(page rowstore.TableSnapshot, err error) {
	c.reading[suspectsTable] = false
	if err != nil {
		return
	}
	for _, row := range page.Rows {
		if row.Key != suspectsKey {
			continue
		}
		list, err := decodeSuspects(row.Value, time.Now())
		if err != nil {
			c.log.Emit(event.ControlRowInvalid, "key", suspectsKey, "error", err.Error())
			continue
		}
		c.suspects.Merge(list, c.clock.Now())
	}
	c.noteQuarantineKnown()
}

// noteQuarantineKnown records that this process knows the stored records.
func (c *Control) noteQuarantineKnown() {
	if c.quarantineKnown {
		return
	}
	c.quarantineKnown, c.publishPending = true, true
	c.endQuarantineWait()
}

// endQuarantineWait lets a new process serve if it has tables.
func (c *Control) endQuarantineWait() {
	if !c.awaitsQuarantine {
		return
	}
	c.awaitsQuarantine = false
	if c.snapshot != nil {
		c.refreshView()
		c.noteServing(c.clock.Now())
	}
}

// noteServing records when this process first knows a configuration and targets.
func (c *Control) noteServing(now clock.Instant) {
	if c.startupTime.Load() != 0 || c.awaitsQuarantine || c.snapshot.Configuration == nil || len(c.snapshot.Targets) == 0 {
		return
	}
	elapsed := now.Sub(c.startedAt)
	c.startupTime.Store(int64(max(elapsed, 1)))
	if c.startupGauge != nil {
		c.startupGauge.Update(elapsed.Seconds())
	}
	rowRead := int64(-1)
	if c.firstControlRead != 0 {
		rowRead = c.firstControlRead.Sub(c.startedAt).Milliseconds()
	}
	c.log.Emit(event.StartupCompleted, "after_ms", elapsed.Milliseconds(), "control_read_ms", rowRead, "tables_from", c.tablesSource(),
		"failed_distributors", c.failedDistributors, "coordinator_dials", c.failedDials)
}

// tablesSource names the kind of source of the first tables of this process.
func (c *Control) tablesSource() string {
	switch {
	case c.pacer(c.tables.Targets).reads > 0:
		return "store"
	case c.source.link != nil:
		return "distributor"
	default:
		return "coordinator"
	}
}
