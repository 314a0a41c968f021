package entry

import (
	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/replica"
)

// grantFlow returns where the bytes of grants and releases at a target are counted, nil unless the target is in another region.
func (c *Control) grantFlow(to keygrant.Endpoint) *interregion.Flow {
	s := c.Current().Snapshot
	if s == nil || s.Targets[to.ID] == nil {
		return nil
	}
	if region := c.settings.RegionOf[s.Targets[to.ID].Domain]; region == "" || region == c.settings.Region {
		return nil
	}
	return c.interRegion.Flow(interregion.Grants)
}

// relayTraffic returns where the bytes of connections to other VMs are counted.
func (c *Control) relayTraffic() replica.Traffic {
	return replica.Traffic{Counter: c.interRegion, Region: c.settings.Region}
}
