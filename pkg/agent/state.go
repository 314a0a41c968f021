package agent

import (
	"maps"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
	"github.com/bronzelever/bronzelever/pkg/witness"
)

const (
	heartbeatInterval = 250 * time.Millisecond
	// rosterQueryDelay is the age of the last lease after which the roster is queried: two missed heartbeats. It leaves
	// time for two rounds of queries before the lease expires.
	rosterQueryDelay = 2 * heartbeatInterval
	// tableFetchInterval is the time between two rounds of fetching tables from peers while no controller is reachable.
	tableFetchInterval = time.Second
	// failedHintBackoff is how long a Leader hint is ignored if a heartbeat to that address has just failed.
	failedHintBackoff = time.Second
)

// call is an outgoing call to another process.
type call struct {
	address string
	t       wire.Type
	request any
	// sentAt is set by the goroutine that sends the call, immediately before sending.
	sentAt clock.Instant
}

func (c call) reply() (wire.Type, any) {
	switch c.t {
	case wire.TypeHeartbeat:
		return wire.TypeHeartbeatReply, &wire.HeartbeatReply{}
	case wire.TypeWitness:
		return wire.TypeWitnessReply, &wire.WitnessReply{}
	case wire.TypeFetchConfig:
		return wire.TypeConfigReply, &wire.ConfigReply{}
	default:
		return wire.TypeTableReply, &wire.TableReply{}
	}
}

type callKey struct {
	address string
	t       wire.Type
	cell    string
}

func (c call) key() callKey {
	key := callKey{address: c.address, t: c.t}
	if f, ok := c.request.(wire.FetchTable); ok {
		key.cell = f.Cell
	}
	return key
}

// state is the control state of a router. Its methods take the time as an argument and do no I/O.
//
// Invariants:
//   - term never decreases. Replies with an older term have no effect.
//   - The roster has to confirm the term of the last lease. A controller of a newer term may grant this router's groups
//     again; only a lease from that controller shows that it knows this router.
//   - Tables and the configuration are never replaced by older versions.
//   - A group that was listed for this router while it had no authority isn't acquired again with the same epoch.
type state struct {
	opts  Options
	peers []Peer
	// now is the time of the event being processed.
	now clock.Instant

	term        uint64
	leaseTerm   uint64
	lease       lease.Holder
	lastLeaseAt clock.Instant
	// rosterRule is the roster rule; rosterVersion is the version of the roster that it applies.
	rosterRule    *witness.Rule
	rosterVersion uint64
	rosterChanged bool
	// delegatedUntil is the end of the entry authority that is derived from the authority of other routers.
	delegatedUntil clock.Instant
	// hasAuthority reports whether holdingAuthorityEnd was in the future when it was last checked.
	hasAuthority bool

	leader           string
	failedAt         map[string]clock.Instant
	inFlight         map[callKey]bool
	heartbeatUrgent  bool
	nextHeartbeat    clock.Instant
	nextWitnessQuery clock.Instant
	nextTableFetch   clock.Instant
	nextPeer         int

	config     *config.Config
	configBody []byte
	tables     map[string]*topology.Table
	// droppedEpochs holds, for each group that this router has dropped, the newest epoch that it no longer holds.
	droppedEpochs map[topology.GroupID]topology.Epoch
	leaving       bool
	dirty         bool

	pendingCalls []call
}

func newState(o Options) *state {
	return &state{
		opts:          o,
		peers:         o.Peers,
		rosterRule:    witness.NewRule(o.Self),
		failedAt:      map[string]clock.Instant{},
		inFlight:      map[callKey]bool{},
		tables:        map[string]*topology.Table{},
		droppedEpochs: map[topology.GroupID]topology.Epoch{},
	}
}

// position returns the versions that the roster has to confirm.
func (s *state) position() witness.Position {
	p := witness.Position{Term: s.leaseTerm, Config: s.configVersion()}
	if t := s.tables[s.opts.Cell]; t != nil {
		p.Table = t.Version
	}
	return p
}

// newestKnown returns the newest versions that the router has learned of from any source.
func (s *state) newestKnown() witness.Position {
	p := s.position()
	p.Term = s.term
	return p
}

func (s *state) configVersion() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// holdingAuthorityEnd returns the end of the authority for the groups that the router holds.
func (s *state) holdingAuthorityEnd() clock.Instant {
	if s.leaseTerm == 0 {
		return 0
	}
	return max(s.lease.End(), s.rosterRule.AuthorityEnd(s.now, s.position(), s.newestKnown()))
}

// entryAuthorityEnd returns the end of the authority to accept callers' requests. Unlike the holding authority, this one
// may also be derived from a router with authority of its own that has confirmed the configuration, because a change is
// accepted only after every router in the rosters has it in force.
func (s *state) entryAuthorityEnd() clock.Instant {
	return max(s.holdingAuthorityEnd(), s.delegatedUntil)
}

// checkAuthority drops the groups if the authority has ended. It is called before each event is processed, so that a new
// lease can't hide a gap in the authority.
func (s *state) checkAuthority(now clock.Instant) {
	s.now = now
	valid := now < s.holdingAuthorityEnd()
	if valid == s.hasAuthority {
		return
	}
	s.hasAuthority = valid
	if valid {
		s.opts.Log.Emit(event.AuthorityGained, "term", s.leaseTerm)
		return
	}
	s.opts.Log.Emit(event.AuthorityLost, "term", s.term)
	s.dropOwnGroups()
}

// dropOwnGroups marks every group that the table lists for this VM as dropped.
func (s *state) dropOwnGroups() {
	table := s.tables[s.opts.Cell]
	if table == nil {
		return
	}
	for _, g := range table.Groups {
		if g.Gateway == s.opts.Self.VM && s.droppedEpochs[g.ID] < g.Epoch {
			s.droppedEpochs[g.ID] = g.Epoch
			s.dirty = true
		}
	}
}

// tick advances the state to now and queues the calls that are due.
func (s *state) tick(now clock.Instant) {
	s.checkAuthority(now)
	s.sendHeartbeats(now)
	if s.controllerReachable(now) {
		return
	}
	if now >= s.nextWitnessQuery {
		s.nextWitnessQuery = now.Add(witness.Interval)
		s.queryWitnesses()
	}
	if now >= s.nextTableFetch {
		s.nextTableFetch = now.Add(tableFetchInterval)
		s.fetchTables()
	}
}

// controllerReachable reports whether the controller has granted a lease within the last two heartbeat intervals.
func (s *state) controllerReachable(now clock.Instant) bool {
	return s.leaseTerm > 0 && now.Sub(s.lastLeaseAt) <= rosterQueryDelay
}

// queueCall queues a call unless the same call is in flight. It reports whether the call was queued.
func (s *state) queueCall(c call) bool {
	if c.address == "" || s.inFlight[c.key()] {
		return false
	}
	s.inFlight[c.key()] = true
	s.pendingCalls = append(s.pendingCalls, c)
	return true
}

func (s *state) takePendingCalls() []call {
	out := s.pendingCalls
	s.pendingCalls = nil
	return out
}

// view builds the snapshot for the other components. Groups that were dropped, or were granted to an earlier process on
// this VM, have no gateway in it.
func (s *state) view() *exchange.View {
	tables := s.copyTables()
	if own := tables[s.opts.Cell]; own != nil {
		tables[s.opts.Cell] = s.withoutDroppedGroups(own)
	}
	return &exchange.View{Config: s.config, Tables: tables, Cell: s.opts.Cell, VM: s.opts.Self.VM}
}

func (s *state) copyTables() map[string]*topology.Table {
	return maps.Clone(s.tables)
}

func (s *state) withoutDroppedGroups(t *topology.Table) *topology.Table {
	out := *t
	out.Groups = append([]topology.Group(nil), t.Groups...)
	for i := range out.Groups {
		if s.isDropped(out.Groups[i]) {
			out.Groups[i].Gateway = ""
			out.Groups[i].GatewayAddress = ""
		}
	}
	return &out
}

func (s *state) isDropped(g topology.Group) bool {
	if g.Gateway != s.opts.Self.VM {
		return false
	}
	return g.Epoch <= s.droppedEpochs[g.ID] || g.GatewayIncarnation != uint64(s.opts.Self.Incarnation)
}

// adoptTable replaces the table of a cell if the given one is newer.
func (s *state) adoptTable(now clock.Instant, t *topology.Table) {
	if t == nil || t.Cell == "" {
		return
	}
	if old := s.tables[t.Cell]; old != nil && !old.Version.Less(t.Version) {
		return
	}
	s.tables[t.Cell] = t
	s.dirty = true
	if t.Cell == s.opts.Cell && now >= s.holdingAuthorityEnd() {
		s.dropOwnGroups()
	}
}

// adoptConfig replaces the configuration if the given one is newer and valid.
func (s *state) adoptConfig(version uint64, body []byte) {
	if version <= s.configVersion() {
		return
	}
	cfg, err := parseConfig(version, body)
	if err != nil {
		s.opts.Log.Emit(event.AgentConfigInvalid, "version", version, "error", err.Error())
		return
	}
	s.config = cfg
	s.configBody = body
	s.dirty = true
	s.heartbeatUrgent = true
	s.opts.Log.Emit(event.ConfigInForce, "version", version)
}

// leave marks the router as leaving and reports whether it has released everything.
func (s *state) leave(now clock.Instant, report exchange.GatewayReport) bool {
	if !s.leaving {
		s.leaving = true
		s.heartbeatUrgent = true
		s.opts.Log.Emit(event.AgentLeaving)
	}
	if now >= s.holdingAuthorityEnd() {
		// A router without authority holds nothing.
		return true
	}
	for _, h := range report.Held {
		if h.State != wire.HoldReleased {
			return false
		}
	}
	table := s.tables[s.opts.Cell]
	if table == nil {
		return true
	}
	for _, g := range table.Groups {
		if g.Gateway == s.opts.Self.VM && !s.isDropped(g) {
			return false
		}
	}
	return true
}

// Dump is the agent's part of the admin state dump.
type Dump struct {
	Term           uint64                      `json:"term"`
	LeaseTerm      uint64                      `json:"lease_term"`
	Controller     string                      `json:"controller"`
	HoldingMillis  int64                       `json:"holding_ms"`
	EntryMillis    int64                       `json:"entry_ms"`
	RosterVersion  uint64                      `json:"roster_version"`
	ConfigVersion  uint64                      `json:"config_version"`
	TableVersions  map[string]topology.Version `json:"table_versions"`
	Leaving        bool                        `json:"leaving"`
	WitnessAnswers witness.Position            `json:"witness_answers"`
}

func (s *state) dump(now clock.Instant) Dump {
	return Dump{
		Term:           s.term,
		LeaseTerm:      s.leaseTerm,
		Controller:     s.leader,
		HoldingMillis:  s.holdingAuthorityEnd().Sub(now).Milliseconds(),
		EntryMillis:    s.entryAuthorityEnd().Sub(now).Milliseconds(),
		RosterVersion:  s.rosterVersion,
		ConfigVersion:  s.configVersion(),
		TableVersions:  s.tableVersions(),
		Leaving:        s.leaving,
		WitnessAnswers: s.rosterRule.Newest(),
	}
}

func (s *state) tableVersions() map[string]topology.Version {
	out := make(map[string]topology.Version, len(s.tables))
	for cell, t := range s.tables {
		out[cell] = t.Version
	}
	return out
}
