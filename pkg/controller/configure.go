package controller

import (
	"encoding/json"
	"errors"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Head is the value of the configuration head row.
type Head struct {
	Version uint64 `json:"version"`
}

func (s *State) configVersion() uint64 {
	if s.cfg == nil {
		return 0
	}
	return s.cfg.Version
}

// readHead reads the head of the configuration.
func (s *State) readHead(now clock.Instant) {
	if now < s.nextHead || s.head.reading || now < s.head.retryAt {
		return
	}
	s.nextHead = now.Add(headInterval)
	s.head.read(s, now)
}

func (s *State) onHead(res RowRead) {
	if res.Err != nil && !errors.Is(res.Err, store.ErrNotFound) {
		return
	}
	s.headAsked = max(s.headAsked, res.Asked)
	if s.head.now.Revision == 0 {
		return
	}
	var head Head
	if err := json.Unmarshal(s.head.now.Value, &head); err != nil {
		s.o.Log.Emit(event.RecordInvalid, "key", headKey, "error", err.Error())
		return
	}
	s.headVersion = head.Version
	s.fetchConfig(head.Version)
}

func (s *State) fetchConfig(version uint64) {
	if version <= s.configVersion() || s.fetching || version == s.cfgBad {
		return
	}
	s.fetching = true
	s.emit(ReadObject{Key: configKey(version), Version: version})
}

func (s *State) onObject(now clock.Instant, res ObjectRead) {
	s.fetching = false
	if res.Err == nil {
		s.adoptConfig(now, res.Body, res.Version)
	}
}

// configCurrent tells whether the configuration in force is the newest one as of a read in this term. A controller that
// has kept one from an earlier term must not act on it.
func (l *leadership) configCurrent() bool {
	s := l.s
	if s.cfg == nil || s.headAsked < l.since {
		return false
	}
	return s.configVersion() >= s.headVersion || s.cfgBad == s.headVersion
}

// shownConfig is the version that routers are told.
func (l *leadership) shownConfig() uint64 {
	if !l.configCurrent() {
		return 0
	}
	return l.s.configVersion()
}

// wantConfig asks a router for a configuration that this controller doesn't have: a controller that was elected just
// before the store went down learns the accepted version from the routers.
func (s *State) wantConfig(now clock.Instant, r *router, version uint64) {
	if version <= s.configVersion() || s.fetching || !s.storeDown && s.cfgBad == 0 {
		return
	}
	s.fetching = true
	s.emit(Call{Address: r.member.Address, Member: r.member, Type: wire.TypeFetchConfig,
		Request: &wire.FetchConfig{Version: version}, Asked: now})
}

func (s *State) onRouterConfig(now clock.Instant, res Called) {
	s.fetching = false
	reply, ok := res.Reply.(*wire.ConfigReply)
	if res.Err == nil && ok {
		s.adoptConfig(now, reply.Body, reply.Version)
	}
}

// adoptConfig puts a newer configuration into force. An older one is dropped: versions never decrease.
func (s *State) adoptConfig(now clock.Instant, body []byte, version uint64) {
	if version <= s.configVersion() {
		return
	}
	cfg, findings := s.o.Parse(body, configKey(version))
	if err := findings.Err(); err != nil || cfg == nil || cfg.Version != version {
		s.cfgBad = version
		s.o.Log.Emit(event.ConfigInvalid, "version", version, "findings", findings.Error())
		return
	}
	s.cfg = cfg
	s.cfgBody = body
	s.o.Log.Emit(event.ConfigAdopted, "version", version)
	if s.lead != nil {
		s.lead.configure()
	}
}

// FetchConfig answers a request for the configuration.
func (s *State) FetchConfig(request *wire.FetchConfig) *wire.ConfigReply {
	if s.cfg == nil || s.cfg.Version < request.Version {
		return &wire.ConfigReply{}
	}
	return &wire.ConfigReply{Version: s.cfg.Version, Body: s.cfgBody}
}

// configure adapts groups and pools to the configuration in force.
func (l *leadership) configure() {
	l.dirty = true
	for _, g := range l.groups {
		g.info.Targets = nil
	}
	for _, info := range placement.Groups(l.s.cfg, l.s.o.Region) {
		if g, ok := l.groups[info.ID]; ok {
			g.info.Targets = info.Targets
			continue
		}
		l.groups[info.ID] = &group{info: info}
	}
	for id, g := range l.groups {
		if len(g.info.Targets) == 0 && g.state == groupFree {
			delete(l.groups, id)
		}
	}
	l.configurePools()
}

// fetchOthers asks the controllers of other cells for newer tables.
func (s *State) fetchOthers(now clock.Instant) {
	if now < s.nextOthers {
		return
	}
	s.nextOthers = now.Add(othersInterval)
	for _, p := range s.o.Peers {
		if p.Cell == s.o.Cell || p.Address == "" {
			continue
		}
		var have topology.Version
		if t, ok := s.others[p.Cell]; ok {
			have = t.Version
		}
		s.emit(Call{Address: p.Address, Type: wire.TypeFetchTable, Request: &wire.FetchTable{Cell: p.Cell, Have: have}, Asked: now})
	}
}

func (s *State) onOtherTable(res Called) {
	reply, ok := res.Reply.(*wire.TableReply)
	if res.Err != nil || !ok || reply.Table == nil || reply.Table.Cell == s.o.Cell {
		return
	}
	old, ok := s.others[reply.Table.Cell]
	if !ok || old.Version.Less(reply.Table.Version) {
		s.others[reply.Table.Cell] = reply.Table
	}
}

// FetchTable answers a request for a table. The table of the own cell is given only with authority.
func (s *State) FetchTable(now clock.Instant, request *wire.FetchTable) *wire.TableReply {
	t := s.others[request.Cell]
	if request.Cell == s.o.Cell {
		t = nil
		if s.lead != nil && now < s.authority(now) {
			t = s.lead.table
		}
	}
	if t == nil || !request.Have.Less(t.Version) {
		return &wire.TableReply{}
	}
	return &wire.TableReply{Table: t}
}
