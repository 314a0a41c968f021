package entry

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

const (
	// suspectsTable has one row, with the requests that are refused because they crash targets.
	suspectsTable = "quarantine"
	suspectsKey   = "requests"
	// suspectsRetryDelay is the time until the next store call after one that failed.
	suspectsRetryDelay = time.Second
)

// storedSuspects holds what the coordinator knows about the stored records. The records are stored for the case that all
// VMs are lost at once; otherwise the VMs exchange them directly.
type storedSuspects struct {
	// loaded reports whether the row was read since this VM became the coordinator.
	loaded bool
	// version has the era of the store in which the row was read, also if there is no row.
	version      uint64
	callInFlight bool
	nextCall     clock.Instant
	// strikes holds how often the requests of the stored records were quarantined, by record ID.
	strikes map[uint64]int
}

// suspectsRow is the content of the row in suspectsTable.
type suspectsRow struct {
	// WrittenAtMs is the Unix time of the write in milliseconds.
	WrittenAtMs int64               `msgpack:"a"`
	Records     []quarantine.Record `msgpack:"r"`
}

func encodeSuspects(list []quarantine.Record, at time.Time) ([]byte, error) {
	return msgpack.Marshal(suspectsRow{WrittenAtMs: at.UnixMilli(), Records: list})
}

// decodeSuspects returns the stored records as of the given time. Records don't last longer if the time of day has gone
// back.
func decodeSuspects(value []byte, at time.Time) ([]quarantine.Record, error) {
	var row suspectsRow
	if err := msgpack.Unmarshal(value, &row); err != nil {
		return nil, fmt.Errorf("row %s of table %s: %w", suspectsKey, suspectsTable, err)
	}
	age := max(0, at.UnixMilli()-row.WrittenAtMs)
	for i := range row.Records {
		row.Records[i].RemainingMs = max(0, row.Records[i].RemainingMs-age)
	}
	return row.Records, nil
}

// syncSuspects reads the stored records after this VM has become the coordinator, and writes them when they have
// changed.
func (c *Control) syncSuspects(now clock.Instant, leading bool) {
	if !leading {
		c.storedSuspects = storedSuspects{}
		return
	}
	if c.storedSuspects.callInFlight || now < c.storedSuspects.nextCall {
		return
	}
	if !c.storedSuspects.loaded || rowstore.Era(c.storedSuspects.version) < c.storeEra.Load() {
		// The store may have lost the row.
		c.storedSuspects.callInFlight = true
		go c.loadSuspects()
		return
	}
	list := c.suspects.Quarantined(now)
	strikes := map[uint64]int{}
	for _, r := range list {
		strikes[r.ID] = r.QuarantineCount
	}
	if maps.Equal(strikes, c.storedSuspects.strikes) {
		return
	}
	value, err := encodeSuspects(list, time.Now())
	if err != nil {
		c.log.Emit(event.ProcessFailed, "error", err.Error())
		return
	}
	c.storedSuspects.callInFlight = true
	go c.saveSuspects(value, strikes, c.storedSuspects.version)
}

func (c *Control) loadSuspects() {
	ctx, cancel := context.WithTimeout(c.ctx, readTimeout)
	defer cancel()
	page, err := c.store.List(ctx, suspectsTable)
	c.post(func() {
		c.storedSuspects.callInFlight = false
		if err != nil {
			c.storedSuspects.nextCall = c.clock.Now().Add(suspectsRetryDelay)
			return
		}
		c.storedSuspects.loaded, c.storedSuspects.strikes = true, map[uint64]int{}
		c.storedSuspects.version = rowstore.Missing(page.Version)
		if rowstore.Era(page.Version) < c.storeEra.Load() {
			c.storedSuspects.nextCall = c.clock.Now().Add(suspectsRetryDelay)
		}
		for _, row := range page.Rows {
			if row.Key == suspectsKey {
				c.applySuspectsRow(row)
			}
		}
		c.noteQuarantineKnown()
	})
}

// suspectsDue reports whether the next update to a VM must contain all records: the first one, and the first one after this VM
// has learned the stored records.
func (c *Control) suspectsDue(f *replica.Follower) bool {
	return !f.SuspectsSent || c.quarantineKnown && !f.QuarantineStated
}

// addAllSuspects adds all records to an update.
func (c *Control) addAllSuspects(f *replica.Follower, u *replica.Update, now clock.Instant) {
	u.Suspects, u.QuarantineKnown = c.suspects.Records(now), c.quarantineKnown
	f.SuspectsSent, f.QuarantineStated = true, c.quarantineKnown
}

// mergeSuspects takes over the records of an update.
func (c *Control) mergeSuspects(u replica.Update, now clock.Instant) {
	c.suspects.Merge(u.Suspects, now)
	if u.QuarantineKnown {
		c.noteQuarantineKnown()
	}
}

func (c *Control) applySuspectsRow(row rowstore.Row) {
	c.storedSuspects.version = row.Version
	list, err := decodeSuspects(row.Value, time.Now())
	if err != nil {
		c.log.Emit(event.ControlRowInvalid, "key", suspectsKey, "error", err.Error())
		return
	}
	for _, r := range list {
		c.storedSuspects.strikes[r.ID] = r.QuarantineCount
	}
	c.suspects.Merge(list, c.clock.Now())
}

func (c *Control) saveSuspects(value []byte, strikes map[uint64]int, version uint64) {
	ctx, cancel := context.WithTimeout(c.ctx, commitTimeout)
	defer cancel()
	written, err := c.store.Commit(ctx, rowstore.Transaction{
		Expected: []rowstore.Expectation{{Table: suspectsTable, Key: suspectsKey, Version: version}},
		Puts:     []rowstore.Row{{Table: suspectsTable, Key: suspectsKey, Value: value}},
	})
	c.post(func() {
		c.storedSuspects.callInFlight = false
		if err != nil {
			// Another VM may have written the row, or this write may have taken effect. Reading the row resolves it.
			c.storedSuspects.loaded, c.storedSuspects.nextCall = false, c.clock.Now().Add(suspectsRetryDelay)
			return
		}
		c.storedSuspects.version, c.storedSuspects.strikes = written, strikes
	})
}

// logSuspects logs findings about requests that may crash targets.
func (c *Control) logSuspects() {
	for _, e := range c.suspects.TakeEvents() {
		switch e.Kind {
		case quarantine.EventCrash:
			c.log.Emit(event.TargetConnectionsLost, "target", e.Incarnation.Target, "started", e.Incarnation.Started, "in_flight", e.InFlight, "suspected", e.Suspects)
		case quarantine.EventSilentCrash:
			c.log.Emit(event.SilentTargetGone, "target", e.Incarnation.Target, "started", e.Incarnation.Started, "suspected", e.Suspects)
		case quarantine.EventAlive:
			c.log.Emit(event.TargetRespondsAgain, "target", e.Incarnation.Target, "started", e.Incarnation.Started)
		case quarantine.EventQuarantined:
			c.log.Emit(event.CrashingRequestRefused, "content", strconv.FormatUint(e.Content, 16), "crashes", e.Crashes, "for_ms", e.RefusedFor.Milliseconds())
		}
	}
}
