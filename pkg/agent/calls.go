package agent

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// maxLentMillis bounds the authority that another router may rely on.
const maxLentMillis = int64(lease.TTL / time.Millisecond)

// heartbeats sends to the known controller, or to all candidates of the cell while none is known.
func (s *state) heartbeats(now clock.Instant) {
	if !s.urgent && now < s.nextHeartbeat {
		return
	}
	sent := false
	if s.leader != "" {
		sent = s.heartbeat(s.leader)
	} else {
		for _, address := range s.candidates() {
			sent = s.heartbeat(address) || sent
		}
	}
	// An urgent heartbeat that finds one under way is sent after that one's answer.
	if sent || !s.urgent {
		s.urgent = false
		s.nextHeartbeat = now.Add(heartbeatInterval)
		if s.leaving {
			// Each step of giving a group back waits for a heartbeat.
			s.nextHeartbeat = now.Add(tickInterval)
		}
	}
}

func (s *state) candidates() []string {
	var out []string
	if s.o.Controller != "" {
		out = append(out, s.o.Controller)
	}
	for _, p := range s.peers {
		if p.Cell == s.o.Cell && p.Controller != "" && p.Controller != s.o.Controller {
			out = append(out, p.Controller)
		}
	}
	return out
}

func (s *state) heartbeat(address string) bool {
	if s.outstanding[callKey{address: address, t: wire.TypeHeartbeat}] {
		return false
	}
	report := s.o.Holdings.Report()
	own := s.tables[s.o.Cell]
	hb := wire.Heartbeat{
		Cell:          s.o.Cell,
		Member:        s.o.Self,
		Term:          s.term,
		Leaving:       s.leaving,
		OtherTables:   s.tableVersions(),
		ConfigVersion: s.configVersion(),
		RosterVersion: s.rosterVersion,
		Held:          report.Held,
		Slices:        report.Slices,
		Targets:       report.Targets,
		Loads:         report.Loads,
	}
	delete(hb.OtherTables, s.o.Cell)
	if own != nil {
		hb.TableVersion = own.Version
	}
	return s.emit(call{address: address, t: wire.TypeHeartbeat, request: hb})
}

// askWitnesses asks the rosters, and the other known routers for what they know.
func (s *state) askWitnesses() {
	request := wire.Witness{Cell: s.o.Cell, From: s.o.Self, Term: s.term}
	for _, m := range s.rule.Members() {
		s.emit(call{address: m.Address, t: wire.TypeWitness, request: request})
	}
	for _, p := range s.peers {
		if p.Router != s.o.Self.Address {
			s.emit(call{address: p.Router, t: wire.TypeWitness, request: request})
		}
	}
}

// askTables fetches the tables of all cells from one peer after the other.
func (s *state) askTables() {
	var routers []string
	cells := map[string]bool{s.o.Cell: true}
	for _, p := range s.peers {
		cells[p.Cell] = true
		if p.Router != "" && p.Router != s.o.Self.Address {
			routers = append(routers, p.Router)
		}
	}
	if len(routers) == 0 {
		return
	}
	address := routers[s.nextPeer%len(routers)]
	s.nextPeer++
	for cell := range cells {
		s.fetchTable(cell, address)
	}
}

func (s *state) fetchTable(cell, address string) {
	var have topology.Version
	if t := s.tables[cell]; t != nil {
		have = t.Version
	}
	s.emit(call{address: address, t: wire.TypeFetchTable, request: wire.FetchTable{Cell: cell, Have: have}})
}

func (s *state) fetchConfig(version uint64, address string) {
	if version > s.configVersion() {
		s.emit(call{address: address, t: wire.TypeFetchConfig, request: wire.FetchConfig{Version: version}})
	}
}

// refresh gets a newer table for a request that met a stale one.
func (s *state) refresh(cell, address string) {
	if cell == s.o.Cell {
		s.urgent = true
	}
	if address != "" && address != s.o.Self.Address {
		s.fetchTable(cell, address)
	}
}

// onAnswer takes in the outcome of a call.
func (s *state) onAnswer(now clock.Instant, c call, reply any, err error) {
	delete(s.outstanding, c.key())
	if err != nil {
		s.onFailure(now, c)
		return
	}
	switch r := reply.(type) {
	case *wire.HeartbeatReply:
		s.onHeartbeat(now, c, r)
	case *wire.WitnessReply:
		s.onWitness(c, r)
	case *wire.ConfigReply:
		s.adoptConfig(r.Version, r.Body)
	case *wire.TableReply:
		s.adoptTable(now, r.Table)
	}
}

func (s *state) onFailure(now clock.Instant, c call) {
	if c.t != wire.TypeHeartbeat {
		return
	}
	s.failed[c.address] = now
	if c.address == s.leader {
		s.o.Log.Emit(event.ControllerLost, "address", c.address)
		s.leader = ""
		s.urgent = true
	}
}

func (s *state) onHeartbeat(now clock.Instant, c call, r *wire.HeartbeatReply) {
	if !r.Active {
		s.onPassive(now, c, r.Leader)
		return
	}
	if r.Term < s.term {
		if c.address == s.leader {
			s.leader = ""
		}
		return
	}
	s.follow(c.address)
	s.setTerm(r.Term)
	s.leaseTerm = r.Term
	if r.Roster != nil {
		s.rule.SetRosters(*r.Roster, r.Previous)
		s.urgent = s.urgent || r.Roster.Version != s.rosterVersion
		s.rosterVersion = r.Roster.Version
		s.rosterChanged = true
	}
	if r.LeaseMillis > 0 {
		s.lease.Extend(c.asked, time.Duration(r.LeaseMillis)*time.Millisecond)
		s.leaseSeen = max(s.leaseSeen, c.asked)
	}
	s.checkLapse(now)
	s.adoptTable(now, r.Table)
	for _, t := range r.OtherTables {
		s.adoptTable(now, t)
	}
	s.fetchConfig(r.ConfigVersion, c.address)
}

// onPassive follows the hint of a process that isn't the controller.
func (s *state) onPassive(now clock.Instant, c call, hint string) {
	if c.address == s.leader {
		s.leader = ""
	}
	if s.leader != "" || hint == "" || hint == c.address {
		return
	}
	if at, ok := s.failed[hint]; ok && now.Sub(at) < failedPause {
		return
	}
	s.leader = hint
	s.urgent = true
}

func (s *state) follow(address string) {
	if s.leader != address {
		s.o.Log.Emit(event.ControllerFound, "address", address)
	}
	s.leader = address
}

func (s *state) setTerm(term uint64) {
	if term <= s.term {
		return
	}
	s.term = term
	s.o.Log.Emit(event.TermAccepted, "term", term)
}

// onWitness takes in what another router knows. Its term is remembered, but it gives no authority: only a lease of that
// term does.
func (s *state) onWitness(c call, r *wire.WitnessReply) {
	if r.Member.VM == s.o.Self.VM && r.Member.Incarnation == s.o.Self.Incarnation {
		return
	}
	s.rule.Record(c.asked, *r)
	// A router of another cell answers with term 0.
	s.setTerm(r.Term)
	s.fetchConfig(r.ConfigVersion, c.address)
	if r.AuthorityMillis > 0 && s.config != nil && r.ConfigVersion <= s.configVersion() {
		// Both clocks may drift.
		valid := time.Duration(float64(r.AuthorityMillis)*(1-2*clock.MaxDrift)) * time.Millisecond
		s.borrowed = max(s.borrowed, c.asked.Add(valid))
	}
	if own := s.tables[s.o.Cell]; own == nil || own.Version.Less(r.TableVersion) {
		s.fetchTable(s.o.Cell, c.address)
	}
}

// witness answers another router or a controller. Term and table are those of this router's cell, and 0 for a router of
// another one.
func (s *state) witness(now clock.Instant, request *wire.Witness) *wire.WitnessReply {
	reply := &wire.WitnessReply{
		Member:          s.o.Self,
		ConfigVersion:   s.configVersion(),
		AuthorityMillis: max(0, s.holdingEnd().Sub(now).Milliseconds()),
	}
	// An authority without end, as of a roster of one, must not be borrowed without end.
	reply.AuthorityMillis = min(reply.AuthorityMillis, maxLentMillis)
	if request.Cell != s.o.Cell {
		return reply
	}
	reply.Term = s.term
	reply.TableVersion = s.position().Table
	if now < s.holdingEnd() {
		reply.Leader = s.leader
	}
	return reply
}

// announced accepts the term of a new controller, unless a newer one is known.
func (s *state) announced(_ clock.Instant, request *wire.AnnounceTerm) *wire.AnnounceTermReply {
	reply := &wire.AnnounceTermReply{Term: s.term, Member: s.o.Self}
	if request.Cell != s.o.Cell || request.Term < s.term {
		return reply
	}
	s.setTerm(request.Term)
	s.follow(request.Address)
	s.urgent = true
	reply.Term = s.term
	reply.Held = s.o.Holdings.Report().Held
	return reply
}
