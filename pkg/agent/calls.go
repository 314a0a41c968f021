package agent

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// maxDelegatedMillis limits the authority that another router may derive from this router's witness reply.
const maxDelegatedMillis = int64(lease.TTL / time.Millisecond)

// sendHeartbeats sends a heartbeat to the known controller, or to all controller candidates of the cell while none is
// known.
func (s *state) sendHeartbeats(now clock.Instant) {
	if !s.heartbeatUrgent && now < s.nextHeartbeat {
		return
	}
	sent := false
	if s.leader != "" {
		sent = s.sendHeartbeat(s.leader)
	} else {
		for _, address := range s.controllerCandidates() {
			sent = s.sendHeartbeat(address) || sent
		}
	}
	// If a heartbeat is already in flight, an urgent one stays pending and is sent after the reply.
	if sent || !s.heartbeatUrgent {
		s.heartbeatUrgent = false
		s.nextHeartbeat = now.Add(heartbeatInterval)
		if s.leaving {
			// Each step of releasing a group waits for a heartbeat, so a leaving router sends them at every tick.
			s.nextHeartbeat = now.Add(tickInterval)
		}
	}
}

func (s *state) controllerCandidates() []string {
	var out []string
	if s.opts.Controller != "" {
		out = append(out, s.opts.Controller)
	}
	for _, p := range s.peers {
		if p.Cell == s.opts.Cell && p.Controller != "" && p.Controller != s.opts.Controller {
			out = append(out, p.Controller)
		}
	}
	return out
}

func (s *state) sendHeartbeat(address string) bool {
	if s.inFlight[callKey{address: address, t: wire.TypeHeartbeat}] {
		return false
	}
	report := s.opts.Gateway.Report()
	own := s.tables[s.opts.Cell]
	hb := wire.Heartbeat{
		Cell:          s.opts.Cell,
		Member:        s.opts.Self,
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
	delete(hb.OtherTables, s.opts.Cell)
	if own != nil {
		hb.TableVersion = own.Version
	}
	return s.queueCall(call{address: address, t: wire.TypeHeartbeat, request: hb})
}

// queryWitnesses sends witness requests to the members of the rosters and to the other known routers.
func (s *state) queryWitnesses() {
	request := wire.Witness{Cell: s.opts.Cell, From: s.opts.Self, Term: s.term}
	for _, m := range s.rosterRule.Members() {
		s.queueCall(call{address: m.Address, t: wire.TypeWitness, request: request})
	}
	for _, p := range s.peers {
		if p.Router != s.opts.Self.Address {
			s.queueCall(call{address: p.Router, t: wire.TypeWitness, request: request})
		}
	}
}

// fetchTables fetches the tables of all cells from one peer, and from the next peer at the next call.
func (s *state) fetchTables() {
	var routers []string
	cells := map[string]bool{s.opts.Cell: true}
	for _, p := range s.peers {
		cells[p.Cell] = true
		if p.Router != "" && p.Router != s.opts.Self.Address {
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
	s.queueCall(call{address: address, t: wire.TypeFetchTable, request: wire.FetchTable{Cell: cell, Have: have}})
}

func (s *state) fetchConfig(version uint64, address string) {
	if version > s.configVersion() {
		s.queueCall(call{address: address, t: wire.TypeFetchConfig, request: wire.FetchConfig{Version: version}})
	}
}

// refresh fetches a newer table after a request was refused because of an outdated one.
func (s *state) refresh(cell, address string) {
	if cell == s.opts.Cell {
		s.heartbeatUrgent = true
	}
	if address != "" && address != s.opts.Self.Address {
		s.fetchTable(cell, address)
	}
}

// handleResult processes the outcome of an outgoing call.
func (s *state) handleResult(now clock.Instant, c call, reply any, err error) {
	delete(s.inFlight, c.key())
	if err != nil {
		s.handleFailure(now, c)
		return
	}
	switch r := reply.(type) {
	case *wire.HeartbeatReply:
		s.handleHeartbeatReply(now, c, r)
	case *wire.WitnessReply:
		s.handleWitnessReply(c, r)
	case *wire.ConfigReply:
		s.adoptConfig(r.Version, r.Body)
	case *wire.TableReply:
		s.adoptTable(now, r.Table)
	}
}

func (s *state) handleFailure(now clock.Instant, c call) {
	if c.t != wire.TypeHeartbeat {
		return
	}
	s.failedAt[c.address] = now
	if c.address == s.leader {
		s.opts.Log.Emit(event.ControllerLost, "address", c.address)
		s.leader = ""
		s.heartbeatUrgent = true
	}
}

func (s *state) handleHeartbeatReply(now clock.Instant, c call, r *wire.HeartbeatReply) {
	if !r.Active {
		s.handlePassiveReply(now, c, r.Leader)
		return
	}
	if r.Term < s.term {
		if c.address == s.leader {
			s.leader = ""
		}
		return
	}
	s.setLeader(c.address)
	s.setTerm(r.Term)
	s.leaseTerm = r.Term
	if r.Roster != nil {
		s.rosterRule.SetRosters(*r.Roster, r.Previous)
		s.heartbeatUrgent = s.heartbeatUrgent || r.Roster.Version != s.rosterVersion
		s.rosterVersion = r.Roster.Version
		s.rosterChanged = true
	}
	if r.LeaseMillis > 0 {
		s.lease.Extend(c.sentAt, time.Duration(r.LeaseMillis)*time.Millisecond)
		s.lastLeaseAt = max(s.lastLeaseAt, c.sentAt)
	}
	s.checkAuthority(now)
	s.adoptTable(now, r.Table)
	for _, t := range r.OtherTables {
		s.adoptTable(now, t)
	}
	s.fetchConfig(r.ConfigVersion, c.address)
}

// handlePassiveReply handles the heartbeat reply of a process that isn't the controller. It follows the reply's hint
// unless a heartbeat to that address has just failed.
func (s *state) handlePassiveReply(now clock.Instant, c call, hint string) {
	if c.address == s.leader {
		s.leader = ""
	}
	if s.leader != "" || hint == "" || hint == c.address {
		return
	}
	if at, ok := s.failedAt[hint]; ok && now.Sub(at) < failedHintBackoff {
		return
	}
	s.leader = hint
	s.heartbeatUrgent = true
}

func (s *state) setLeader(address string) {
	if s.leader != address {
		s.opts.Log.Emit(event.ControllerFound, "address", address)
	}
	s.leader = address
}

func (s *state) setTerm(term uint64) {
	if term <= s.term {
		return
	}
	s.term = term
	s.opts.Log.Emit(event.TermAccepted, "term", term)
}

// handleWitnessReply processes what another router knows. Its term is recorded but confers no authority; only a lease of
// that term does.
func (s *state) handleWitnessReply(c call, r *wire.WitnessReply) {
	if r.Member.VM == s.opts.Self.VM && r.Member.Incarnation == s.opts.Self.Incarnation {
		return
	}
	s.rosterRule.Record(c.sentAt, *r)
	// A router of another cell replies with term 0.
	s.setTerm(r.Term)
	s.fetchConfig(r.ConfigVersion, c.address)
	if r.AuthorityMillis > 0 && s.config != nil && r.ConfigVersion <= s.configVersion() {
		// The factor 2 allows for the drift of both clocks.
		valid := time.Duration(float64(r.AuthorityMillis)*(1-2*clock.MaxDrift)) * time.Millisecond
		s.delegatedUntil = max(s.delegatedUntil, c.sentAt.Add(valid))
	}
	if own := s.tables[s.opts.Cell]; own == nil || own.Version.Less(r.TableVersion) {
		s.fetchTable(s.opts.Cell, c.address)
	}
}

// handleWitness replies to another router or a controller. The term and the table version are those of this router's
// cell; they are zero if the request comes from another cell.
func (s *state) handleWitness(now clock.Instant, request *wire.Witness) *wire.WitnessReply {
	reply := &wire.WitnessReply{
		Member:          s.opts.Self,
		ConfigVersion:   s.configVersion(),
		AuthorityMillis: max(0, s.holdingAuthorityEnd().Sub(now).Milliseconds()),
	}
	// Authority that never expires, as with a roster of one member, must not be delegated without limit.
	reply.AuthorityMillis = min(reply.AuthorityMillis, maxDelegatedMillis)
	if request.Cell != s.opts.Cell {
		return reply
	}
	reply.Term = s.term
	reply.TableVersion = s.position().Table
	if now < s.holdingAuthorityEnd() {
		reply.Leader = s.leader
	}
	return reply
}

// handleAnnounceTerm accepts the term of a new controller unless a newer term is known.
func (s *state) handleAnnounceTerm(_ clock.Instant, request *wire.AnnounceTerm) *wire.AnnounceTermReply {
	reply := &wire.AnnounceTermReply{Term: s.term, Member: s.opts.Self}
	if request.Cell != s.opts.Cell || request.Term < s.term {
		return reply
	}
	s.setTerm(request.Term)
	s.setLeader(request.Address)
	s.heartbeatUrgent = true
	reply.Term = s.term
	reply.Held = s.opts.Gateway.Report().Held
	return reply
}
