package entry

import (
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// storeEraMetric is the gauge of the newest era of the store that the VM knows of.
const storeEraMetric = "store_era"

// comparedRow is the result of comparing the configurations of two rows.
type comparedRow struct {
	key           string
	known, stored uint64
	newer         bool
}

// noteEra records the newest era of the store. A coordinator reads the control table then, because the store may have lost its row.
func (c *Control) noteEra(now clock.Instant) {
	newest := rowstore.Era(max(c.coordinator.Version(), c.mirror.Version(c.tables.Operator), c.mirror.Version(c.tables.Targets)))
	known := c.storeEra.Load()
	if newest > known {
		c.storeEra.Store(newest)
		c.log.Emit(event.StoreRestored, "era", newest, "known_era", known)
		if c.eraGauge != nil {
			c.eraGauge.Update(float64(newest))
		}
	}
	if newest > rowstore.Era(c.coordinator.Version()) && c.coordinator.Leading(now) {
		c.startRead(coordinator.Table)
	}
}

// hasNewerConfiguration reports whether a known row of the operator's table holds a newer configuration than the row that a restored store
// has in its place. The result is kept, since the store may show the older row in every read.
func (c *Control) hasNewerConfiguration(known, stored rowstore.Row) bool {
	if o := c.olderRow; o.key == known.Key && o.known == known.Version && o.stored == stored.Version && stored.Key != "" {
		return o.newer
	}
	before, _ := c.configurationVersion(known)
	after, valid := c.configurationVersion(stored)
	newer := valid && before > after
	if stored.Key != "" && before > 0 {
		c.olderRow = comparedRow{known.Key, known.Version, stored.Version, newer}
		if newer {
			c.log.Emit(event.OlderConfiguration, "version", before, "restored", after)
		}
	}
	return newer
}

// configurationVersion returns the version of the configuration in a row, 0 if the row holds none, and false if it can't be decoded.
func (c *Control) configurationVersion(row rowstore.Row) (uint64, bool) {
	if row.Key == "" {
		return 0, true
	}
	config, err := c.decodeConfigurationRows(map[string]rowstore.Row{row.Key: row})
	if err != nil || config == nil {
		return 0, err == nil
	}
	return config.Version, true
}
