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
	// rosterAfter is the age of the last lease from which on the roster is asked: two missed heartbeats. It leaves
	// two rounds of questions before the lease ends.
	rosterAfter = 2 * heartbeatInterval
	// tablesInterval is the time between two rounds of fetching tables from peers while there is no controller.
	tablesInterval = time.Second
	// failedPause is how long a Leader hint to an address that has just failed is ignored.
	failedPause = time.Second
)

// call is a message to another process.
type call struct {
	address string
	t       wire.Type
	request any
	// asked is read by the goroutine that sends the call, just before it does.
	asked clock.Instant
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
//   - term never decreases. Replies of an older term have no effect.
//   - The roster has to confirm the term of the last lease. A controller of a newer term may grant this router's groups
//     again; only that controller's own lease shows that it knows of this router.
//   - Tables and configuration never become older.
//   - A group that was listed for this router while it had no authority isn't taken up again with the same epoch.
type state struct {
	o     Options
	peers []Peer
	// now is the time of the current input.
	now clock.Instant

	term      uint64
	leaseTerm uint64
	lease     lease.Holder
	leaseSeen clock.Instant
	// rule is the roster rule; rosterVersion is the roster that it applies.
	rule          *witness.Rule
	rosterVersion uint64
	rosterChanged bool
	// borrowed is the end of the entry authority that other routers vouch for.
	borrowed clock.Instant
	// authority tells whether holdingEnd was in the future when it was last checked.
	authority bool

	leader        string
	failed        map[string]clock.Instant
	outstanding   map[callKey]bool
	urgent        bool
	nextHeartbeat clock.Instant
	nextWitness   clock.Instant
	nextTables    clock.Instant
	nextPeer      int

	config     *config.Config
	configBody []byte
	tables     map[string]*topology.Table
	// dropped holds the epochs up to which a group is not ours any more.
	dropped map[topology.GroupID]topology.Epoch
	leaving bool
	dirty   bool

	calls []call
}

func newState(o Options) *state {
	return &state{
		o:           o,
		peers:       o.Peers,
		rule:        witness.NewRule(o.Self),
		failed:      map[string]clock.Instant{},
		outstanding: map[callKey]bool{},
		tables:      map[string]*topology.Table{},
		dropped:     map[topology.GroupID]topology.Epoch{},
	}
}

// position is what the roster has to confirm.
func (s *state) position() witness.Position {
	p := witness.Position{Term: s.leaseTerm, Config: s.configVersion()}
	if t := s.tables[s.o.Cell]; t != nil {
		p.Table = t.Version
	}
	return p
}

// known is the newest that the router has heard of.
func (s *state) known() witness.Position {
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

// holdingEnd is the end of the authority for what the router holds.
func (s *state) holdingEnd() clock.Instant {
	if s.leaseTerm == 0 {
		return 0
	}
	return max(s.lease.End(), s.rule.Until(s.now, s.position(), s.known()))
}

// entryEnd is the end of the authority to accept callers' requests. It also counts that a router with authority of its own
// has confirmed the configuration: a change is accepted only after every router of the rosters has it in force.
func (s *state) entryEnd() clock.Instant {
	return max(s.holdingEnd(), s.borrowed)
}

// checkLapse drops the groups if the authority has ended. It is called before each input, so that an authority that ended
// unnoticed isn't bridged by a new lease.
func (s *state) checkLapse(now clock.Instant) {
	s.now = now
	valid := now < s.holdingEnd()
	if valid == s.authority {
		return
	}
	s.authority = valid
	if valid {
		s.o.Log.Emit(event.AuthorityGained, "term", s.leaseTerm)
		return
	}
	s.o.Log.Emit(event.AuthorityLost, "term", s.term)
	s.dropOwn()
}

// dropOwn marks every group that the table lists for this VM as not ours.
func (s *state) dropOwn() {
	table := s.tables[s.o.Cell]
	if table == nil {
		return
	}
	for _, g := range table.Groups {
		if g.Gateway == s.o.Self.VM && s.dropped[g.ID] < g.Epoch {
			s.dropped[g.ID] = g.Epoch
			s.dirty = true
		}
	}
}

// tick does what is due.
func (s *state) tick(now clock.Instant) {
	s.checkLapse(now)
	s.heartbeats(now)
	if s.reachable(now) {
		return
	}
	if now >= s.nextWitness {
		s.nextWitness = now.Add(witness.Interval)
		s.askWitnesses()
	}
	if now >= s.nextTables {
		s.nextTables = now.Add(tablesInterval)
		s.askTables()
	}
}

// reachable tells whether the controller has granted a lease lately.
func (s *state) reachable(now clock.Instant) bool {
	return s.leaseTerm > 0 && now.Sub(s.leaseSeen) <= rosterAfter
}

// emit queues a call unless the same one is under way.
func (s *state) emit(c call) bool {
	if c.address == "" || s.outstanding[c.key()] {
		return false
	}
	s.outstanding[c.key()] = true
	s.calls = append(s.calls, c)
	return true
}

func (s *state) takeCalls() []call {
	out := s.calls
	s.calls = nil
	return out
}

// view builds the snapshot for everyone else. Groups that were dropped or granted to a former process of this VM have no
// gateway there.
func (s *state) view() *exchange.View {
	tables := s.copyTables()
	if own := tables[s.o.Cell]; own != nil {
		tables[s.o.Cell] = s.withoutDropped(own)
	}
	return &exchange.View{Config: s.config, Tables: tables, Cell: s.o.Cell, VM: s.o.Self.VM}
}

func (s *state) copyTables() map[string]*topology.Table {
	return maps.Clone(s.tables)
}

func (s *state) withoutDropped(t *topology.Table) *topology.Table {
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
	if g.Gateway != s.o.Self.VM {
		return false
	}
	return g.Epoch <= s.dropped[g.ID] || g.GatewayIncarnation != uint64(s.o.Self.Incarnation)
}

// adoptTable takes in a table if it is newer.
func (s *state) adoptTable(now clock.Instant, t *topology.Table) {
	if t == nil || t.Cell == "" {
		return
	}
	if old := s.tables[t.Cell]; old != nil && !old.Version.Less(t.Version) {
		return
	}
	s.tables[t.Cell] = t
	s.dirty = true
	if t.Cell == s.o.Cell && now >= s.holdingEnd() {
		s.dropOwn()
	}
}

// adoptConfig takes in a configuration if it is newer.
func (s *state) adoptConfig(version uint64, body []byte) {
	if version <= s.configVersion() {
		return
	}
	cfg, err := parseConfig(version, body)
	if err != nil {
		s.o.Log.Emit(event.AgentConfigInvalid, "version", version, "error", err.Error())
		return
	}
	s.config = cfg
	s.configBody = body
	s.dirty = true
	s.urgent = true
	s.o.Log.Emit(event.ConfigInForce, "version", version)
}

// leave marks the router as leaving and tells whether nothing is left to give back.
func (s *state) leave(now clock.Instant, report exchange.Report) bool {
	if !s.leaving {
		s.leaving = true
		s.urgent = true
		s.o.Log.Emit(event.AgentLeaving)
	}
	if now >= s.holdingEnd() {
		// Without authority nothing is held.
		return true
	}
	for _, h := range report.Held {
		if h.State != wire.HoldReleased {
			return false
		}
	}
	table := s.tables[s.o.Cell]
	if table == nil {
		return true
	}
	for _, g := range table.Groups {
		if g.Gateway == s.o.Self.VM && !s.isDropped(g) {
			return false
		}
	}
	return true
}

// Dump is the agent's part of the state dump.
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
		HoldingMillis:  s.holdingEnd().Sub(now).Milliseconds(),
		EntryMillis:    s.entryEnd().Sub(now).Milliseconds(),
		RosterVersion:  s.rosterVersion,
		ConfigVersion:  s.configVersion(),
		TableVersions:  s.tableVersions(),
		Leaving:        s.leaving,
		WitnessAnswers: s.rule.Newest(),
	}
}

func (s *state) tableVersions() map[string]topology.Version {
	out := make(map[string]topology.Version, len(s.tables))
	for cell, t := range s.tables {
		out[cell] = t.Version
	}
	return out
}
