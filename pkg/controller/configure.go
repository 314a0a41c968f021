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

// ConfigHead is the value of the row that names the configuration in force.
type ConfigHead struct {
	Version uint64 `json:"version"`
}

func (s *State) configVersion() uint64 {
	if s.cfg == nil {
		return 0
	}
	return s.cfg.Version
}

// readHead reads the configuration head row once per headInterval.
func (s *State) readHead(now clock.Instant) {
	if now < s.nextHead || s.headRow.reading || now < s.headRow.retryAt {
		return
	}
	s.nextHead = now.Add(headInterval)
	s.headRow.read(s, now)
}

func (s *State) onHeadRead(res RowRead) {
	if res.Err != nil && !errors.Is(res.Err, store.ErrNotFound) {
		return
	}
	s.headReadIssuedAt = max(s.headReadIssuedAt, res.IssuedAt)
	if s.headRow.current.Revision == 0 {
		return
	}
	var head ConfigHead
	if err := json.Unmarshal(s.headRow.current.Value, &head); err != nil {
		s.options.Log.Emit(event.RecordInvalid, "key", headKey, "error", err.Error())
		return
	}
	s.headVersion = head.Version
	s.fetchConfigObject(head.Version)
}

func (s *State) fetchConfigObject(version uint64) {
	if version <= s.configVersion() || s.fetchingConfig || version == s.rejectedVersion {
		return
	}
	s.fetchingConfig = true
	s.emit(ReadObject{Key: configKey(version), Version: version})
}

func (s *State) onConfigObject(now clock.Instant, res ObjectRead) {
	s.fetchingConfig = false
	if res.Err == nil {
		s.adoptConfig(now, res.Body, res.Version)
	}
}

// configCurrent reports whether the configuration in force is the newest one according to a head row read in this
// term. A controller must not act on a configuration retained from an earlier term.
func (l *leadership) configCurrent() bool {
	s := l.s
	if s.cfg == nil || s.headReadIssuedAt < l.since {
		return false
	}
	return s.configVersion() >= s.headVersion || s.rejectedVersion == s.headVersion
}

// advertisedConfig returns the configuration version sent to routers: 0 while it may be out of date.
func (l *leadership) advertisedConfig() uint64 {
	if !l.configCurrent() {
		return 0
	}
	return l.s.configVersion()
}

// fetchRouterConfig fetches a newer configuration from the router that reports it, while the store is down or after a
// configuration was rejected. A controller that was elected just before the store became unavailable learns the
// accepted configuration this way.
func (s *State) fetchRouterConfig(now clock.Instant, r *router, version uint64) {
	if version <= s.configVersion() || s.fetchingConfig || !s.storeDown && s.rejectedVersion == 0 {
		return
	}
	s.fetchingConfig = true
	s.emit(Call{Address: r.member.Address, Member: r.member, Type: wire.TypeFetchConfig,
		Request: &wire.FetchConfig{Version: version}, IssuedAt: now})
}

func (s *State) onConfigReply(now clock.Instant, res CallResult) {
	s.fetchingConfig = false
	reply, ok := res.Reply.(*wire.ConfigReply)
	if res.Err == nil && ok {
		s.adoptConfig(now, reply.Body, reply.Version)
	}
}

// adoptConfig puts a configuration into force if it is newer than the current one. Older ones are dropped, because
// versions never decrease.
func (s *State) adoptConfig(now clock.Instant, body []byte, version uint64) {
	if version <= s.configVersion() {
		return
	}
	cfg, findings := s.options.Parse(body, configKey(version))
	if err := findings.Err(); err != nil || cfg == nil || cfg.Version != version {
		s.rejectedVersion = version
		s.options.Log.Emit(event.ConfigInvalid, "version", version, "findings", findings.Error())
		return
	}
	s.cfg = cfg
	s.cfgBody = body
	s.options.Log.Emit(event.ConfigAdopted, "version", version)
	if s.lead != nil {
		s.lead.applyConfig()
	}
}

// FetchConfig returns the configuration in force, or an empty reply if it is older than the requested version.
func (s *State) FetchConfig(request *wire.FetchConfig) *wire.ConfigReply {
	if s.cfg == nil || s.cfg.Version < request.Version {
		return &wire.ConfigReply{}
	}
	return &wire.ConfigReply{Version: s.cfg.Version, Body: s.cfgBody}
}

// applyConfig updates groups and pools to match the configuration in force.
func (l *leadership) applyConfig() {
	l.tableChanged = true
	for _, g := range l.groups {
		g.info.Targets = nil
	}
	for _, info := range placement.Groups(l.s.cfg, l.s.options.Region) {
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
	l.applyPoolConfig()
}

// fetchOtherTables requests newer tables from the controllers of other cells.
func (s *State) fetchOtherTables(now clock.Instant) {
	if now < s.nextTableFetch {
		return
	}
	s.nextTableFetch = now.Add(tableFetchInterval)
	for _, p := range s.options.Peers {
		if p.Cell == s.options.Cell || p.Address == "" {
			continue
		}
		var have topology.Version
		if t, ok := s.otherTables[p.Cell]; ok {
			have = t.Version
		}
		s.emit(Call{Address: p.Address, Type: wire.TypeFetchTable, Request: &wire.FetchTable{Cell: p.Cell, Have: have}, IssuedAt: now})
	}
}

func (s *State) onTableReply(res CallResult) {
	reply, ok := res.Reply.(*wire.TableReply)
	if res.Err != nil || !ok || reply.Table == nil || reply.Table.Cell == s.options.Cell {
		return
	}
	old, ok := s.otherTables[reply.Table.Cell]
	if !ok || old.Version.Less(reply.Table.Version) {
		s.otherTables[reply.Table.Cell] = reply.Table
	}
}

// FetchTable returns the table of a cell if it is newer than the caller's. The table of the controller's own cell is
// returned only while the controller has authority.
func (s *State) FetchTable(now clock.Instant, request *wire.FetchTable) *wire.TableReply {
	t := s.otherTables[request.Cell]
	if request.Cell == s.options.Cell {
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
