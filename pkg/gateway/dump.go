package gateway

import (
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// GroupDump is the state of a group for dumps. It contains nothing that derives from requests.
type GroupDump struct {
	Group   topology.GroupID `json:"group"`
	Epoch   topology.Epoch   `json:"epoch"`
	State   wire.HoldState   `json:"state"`
	Queued  int              `json:"queued"`
	Claimed bool             `json:"claims"`
	// ClaimMirror is the router that mirrors the group's claims.
	ClaimMirror string              `json:"claim_mirror,omitempty"`
	WaitMillis  int64               `json:"takeover_wait_ms"`
	Targets     []wire.TargetReport `json:"targets"`
	Slices      int                 `json:"slices"`
}

// Dump is the state of a gateway.
type Dump struct {
	Groups   []GroupDump `json:"groups"`
	Retiring []GroupDump `json:"retiring"`
	// Suspects and Quarantined count requests; their fingerprints derive from requests and aren't shown.
	Suspects    int `json:"suspects"`
	Quarantined int `json:"quarantined"`
}

// Dump returns the gateway's state.
func (gw *Gateway) Dump() any {
	d := Dump{}
	groups := *gw.groups.Load()
	for _, id := range sortedIDs(groups) {
		d.Groups = append(d.Groups, groups[id].dump())
	}
	gw.mu.Lock()
	retiring := append([]*group(nil), gw.retiring...)
	gw.mu.Unlock()
	for _, g := range retiring {
		d.Retiring = append(d.Retiring, g.dump())
	}
	for _, s := range gw.suspects.List() {
		if s.Quarantined {
			d.Quarantined++
			continue
		}
		d.Suspects++
	}
	return d
}

func (g *group) dump() GroupDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	d := GroupDump{
		Group:   g.id,
		Epoch:   g.epoch,
		State:   g.state,
		Queued:  g.queued,
		Claimed: g.claims != nil,
		Targets: g.targetReports(now),
		Slices:  len(g.slices),
	}
	if g.claims != nil {
		d.ClaimMirror = g.claims.Mirror()
	}
	d.WaitMillis = max(0, g.notBefore.Sub(now).Milliseconds())
	return d
}
