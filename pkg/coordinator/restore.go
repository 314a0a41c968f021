package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// fencesPerEra is the number of stored fences that an era of the store provides. With epochsPerFence fences on the wire for each, the
// fences that targets get in an era begin at era x 2^40.
const fencesPerEra = 1 << 32

// lostTableRetryDelay is the time between attempts to store one of the tables again after the store has refused them. It leaves room for
// plans of the other pools.
const lostTableRetryDelay = 2 * planInterval

// fenceFloor returns the lowest stored fence that may be given first in an era. It is higher than all fences of earlier eras, which the
// store may have lost.
func fenceFloor(era uint64) int64 {
	return int64(era) * fencesPerEra
}

// RowRestored reports whether the newest known row of the coordinator, and the tables with it, are those of a restored store. What VMs know
// otherwise may be newer.
func (c *Coordinator) RowRestored() bool {
	return c.restored
}

// raiseFences raises the next fence of a pool to the floor of the current era.
func (c *Coordinator) raiseFences(p *poolState) {
	if p.table != nil {
		p.table.NextFence = max(p.table.NextFence, fenceFloor(rowstore.Era(c.version)))
	}
}

// holdRestored holds a pool until the given time if its table was written in an earlier era. The store may have lost later tables, so
// any target may hold any key until all grants of earlier coordinators have expired. It reports whether the pool is held.
func (c *Coordinator) holdRestored(p *poolState, until clock.Instant) bool {
	if p.table.NextFence >= fenceFloor(rowstore.Era(c.version)) {
		return false
	}
	p.heldUntil, p.knownRoutes = until, c.view.Routes[p.name]
	c.log(event.RestoredTableHeld, "pool", p.name, "slices", len(p.table.Slices))
	return true
}

// trustsOutcome reports whether a write that is seen in the newest row has the usual effect. If the row was restored, or written although
// the store had been restored meanwhile, another VM may have led in between, unless this VM's lease has been valid all the time.
func (c *Coordinator) trustsOutcome(p *pendingCommit, now clock.Instant) bool {
	return !c.restored || !p.takeover && c.leaseValid(now)
}

// writeAgainOrStepDown decides what the leader does if the newest row isn't the one that it has written last. If the store was restored
// and the lease is still valid, nobody can have taken over, and what the store has lost is written again. A candidate waits for longer
// than the lease after it has seen the restored row.
func (c *Coordinator) writeAgainOrStepDown(reason string, now clock.Instant) {
	if !c.restored || !c.leaseValid(now) || c.row.Renewal > c.ownRenewal {
		c.stepDown(reason)
		return
	}
	c.log(event.ControlTableLost, "era", rowstore.Era(c.version), "renewal", c.ownRenewal, "restored", c.row.Renewal, "restored_vm", c.row.VM)
	// Moves that were being written are dropped: nothing was granted for them.
	c.clearReplacing()
	c.lostTables, c.lostTablesRefused, c.nextLostTable = map[string]bool{}, 0, 0
	for name, p := range c.pools {
		// A held table is older than the era, and the next coordinator must recognise it by its next fence.
		if p.table != nil && now >= p.heldUntil {
			c.lostTables[name] = true
		}
	}
	c.writeLostTables(now)
}

// settleRestored handles a restored row that was read while a write was in flight. It reports whether there was one.
func (c *Coordinator) settleRestored(now clock.Instant) bool {
	if c.restored && now >= c.nextTry {
		c.writeAgainOrStepDown("the store was restored", now)
	}
	return c.restored
}

// newRelease returns what a successor has to know of the grants that may still take effect. A clean release lets it take the stored tables
// for the whole state of the grants, so grants of earlier coordinators must have ended by then: the successor knows nothing of them and
// wouldn't wait.
func (c *Coordinator) newRelease(now clock.Instant) *release {
	if len(c.lostTables) > 0 {
		return &release{}
	}
	end := c.priorGrantsEnd
	for _, call := range c.calls {
		if call.inFlight {
			// Until its outcome is known, the call may arrive at any time.
			return &release{}
		}
		end = max(end, call.end)
	}
	if now >= end {
		return &release{clean: true}
	}
	return &release{grants: end.Sub(now) + time.Millisecond}
}

// writeLostTables writes the coordinator's row and the tables that the store has lost. The row's condition is the version that was read in
// the current era. If the store refuses the tables, the next write is one of the row alone, and those after it contain one table each.
func (c *Coordinator) writeLostTables(now clock.Instant) {
	var names []string
	if now >= c.noTablesUntil {
		names = slices.Sorted(maps.Keys(c.lostTables))
	}
	if n := len(names); n > 0 && c.lostTablesRefused > 0 {
		i := c.lostTablesRefused % n
		names = names[i : i+1]
		c.nextLostTable = now.Add(lostTableRetryDelay)
	}
	var puts []rowstore.Row
	for _, name := range names {
		p := c.pools[name]
		c.raiseFences(p)
		value, err := encodeTable(p.table)
		if err != nil {
			c.log(event.ControlRowInvalid, "key", KeySlicesPrefix+name, "error", err.Error())
			c.lostTablesRefused++
			c.noTablesUntil = now.Add(tableRetryDelay)
			continue
		}
		puts = append(puts, rowstore.Row{Table: Table, Key: KeySlicesPrefix + name, Value: value})
	}
	p, err := c.newCommit(puts, nil)
	if err != nil {
		c.log(event.ControlRowInvalid, "key", KeyLeader, "error", err.Error())
		return
	}
	p.onApplied = func(clock.Instant) {
		for _, r := range puts {
			delete(c.lostTables, strings.TrimPrefix(r.Key, KeySlicesPrefix))
		}
	}
	c.sendCommit(p, now)
}
