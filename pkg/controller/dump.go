package controller

import (
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Dump is the state of a controller for operators. It contains no keys and nothing else that derives from requests.
type Dump struct {
	Status      *wire.StatusReply `json:"status"`
	Record      TermRecord        `json:"term_record"`
	Collected   bool              `json:"collected"`
	AuthorityMS int64             `json:"authority_ms"`
	Groups      []GroupDump       `json:"groups"`
	Pools       []PoolDump        `json:"pools"`
	StoreReads  uint64            `json:"store_reads"`
	StoreWrites uint64            `json:"store_writes"`
}

// GroupDump is the controller's state of a group.
type GroupDump struct {
	Group  topology.GroupID `json:"group"`
	State  string           `json:"state"`
	Holder string           `json:"holder"`
	Epoch  topology.Epoch   `json:"epoch"`
	// LeaseMS is the remaining time of the holder's lease.
	LeaseMS int64 `json:"lease_ms"`
}

// PoolDump is the controller's state of a keyed pool.
type PoolDump struct {
	Pool    string `json:"pool"`
	Claimed bool   `json:"claimed"`
	Writing bool   `json:"writing"`
	Slices  int    `json:"slices"`
	// Moving counts the slices without a published owner, Promoted those whose assignment isn't in the store yet.
	Moving   int `json:"moving"`
	Promoted int `json:"promoted"`
}

// String implements fmt.Stringer.
func (g groupState) String() string {
	return [...]string{"free", "held", "revoking"}[g]
}

// Dump returns the current state for operators.
func (s *State) Dump(now clock.Instant) *Dump {
	d := &Dump{Status: s.Status(now), Record: s.termRecord, StoreReads: s.reads, StoreWrites: s.writes}
	l := s.lead
	if l == nil {
		return d
	}
	d.Collected = l.collected
	d.AuthorityMS = s.authority(now).Sub(now).Milliseconds()
	for _, id := range l.groupIDs() {
		g := l.groups[id]
		dump := GroupDump{Group: id, State: g.state.String(), Holder: g.holder.vm, Epoch: g.epoch}
		if r := l.routers[g.holder]; r != nil {
			dump.LeaseMS = r.leaseEnd.Sub(now).Milliseconds()
		}
		d.Groups = append(d.Groups, dump)
	}
	for _, name := range l.poolNames() {
		d.Pools = append(d.Pools, l.pools[name].dump())
	}
	return d
}

func (p *pool) dump() PoolDump {
	d := PoolDump{Pool: p.name, Claimed: p.claimed, Writing: !p.row.idle(), Slices: len(p.slices)}
	for _, sl := range p.slices {
		if sl.visibleOwner() == "" {
			d.Moving++
		}
		if sl.promoted {
			d.Promoted++
		}
	}
	return d
}
