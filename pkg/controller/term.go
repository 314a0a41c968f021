package controller

import (
	"encoding/json"
	"errors"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// recordStoreResult records whether the store responds.
func (s *State) recordStoreResult(now clock.Instant, err error) {
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrAmbiguous) {
		return
	}
	s.storeRespondedAt = now
	if s.storeDown {
		s.storeDown = false
		s.options.Log.Emit(event.StoreRegained)
	}
}

func (s *State) checkStoreDown(now clock.Instant) {
	if !s.storeDown && now.Sub(s.storeRespondedAt) > storeDownAfter {
		s.storeDown = true
		s.options.Log.Emit(event.StoreLost)
	}
}

// tickCandidate polls the term row. After a read that finds a renewal, the next read comes a little before the next
// renewal; after one that finds none, it comes soon. A candidate thus sees a renewal shortly after it was made and
// counts the age of the row from there.
func (s *State) tickCandidate(now clock.Instant) {
	if now < s.nextPoll || !s.termRow.idle() {
		return
	}
	s.nextPoll = now.Add(pollAfterNoRenewal)
	if s.revisionSeenAt != s.polledRevisionSeenAt {
		s.polledRevisionSeenAt = s.revisionSeenAt
		s.nextPoll = now.Add(pollAfterRenewal)
	}
	if due := s.revisionSeenAt.Add(staleAfter); due > now && due < s.nextPoll {
		s.nextPoll = due
	}
	s.termRow.read(s, now)
}

// onTermRead processes a read of the term row.
func (s *State) onTermRead(now clock.Instant, out outcome, err error) {
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	s.decodeTerm(now)
	switch out {
	case outcomeApplied:
		// The write took effect at some time after its first attempt was issued; see row.resolvePending.
		s.onTermApplied(now, s.termRow.resolved)
	case outcomeLost:
		s.stepDown(now)
	case outcomeNone:
		if s.lead == nil && s.termRow.pending == nil {
			s.tryAcquireTerm(now)
		}
	}
}

// decodeTerm decodes the term row if its revision has changed.
func (s *State) decodeTerm(now clock.Instant) {
	if s.termRow.current.Revision == s.seenRevision && s.seenRevision != 0 {
		return
	}
	s.seenRevision = s.termRow.current.Revision
	s.revisionSeenAt = now
	var record TermRecord
	if s.seenRevision != 0 {
		if err := json.Unmarshal(s.termRow.current.Value, &record); err != nil {
			// The old record is kept so that the term can't decrease; no candidate takes over an unreadable row.
			s.termRecordInvalid = true
			s.options.Log.Emit(event.RecordInvalid, "key", s.termRow.key, "error", err.Error())
			return
		}
	}
	s.termRecordInvalid = false
	s.termRecord = record
}

// tryAcquireTerm starts a takeover if the term is vacant or stale. With several candidates the store decides: only
// one conditional write succeeds.
func (s *State) tryAcquireTerm(now clock.Instant) {
	vacant := s.seenRevision == 0 || s.termRecord.Released
	if s.stopping || s.termRecordInvalid || !vacant && now.Sub(s.revisionSeenAt) < staleAfter {
		return
	}
	next := s.termRecord
	next.Term++
	next.Holder = s.options.VM
	next.Address = s.options.Address
	next.Released = false
	s.termRow.put(s, now, mustMarshal(next))
}

// onTermApplied is called when a write of the term row is known to have taken effect.
func (s *State) onTermApplied(now clock.Instant, w *rowWrite) {
	s.decodeTerm(now)
	if s.termRecord.Released {
		s.released = true
		s.lead = nil
		s.options.Log.Emit(event.TermReleased, "term", s.termRecord.Term)
		return
	}
	if s.lead == nil && s.termRecord.Term <= s.lastTerm {
		// A late renewal of a term that this process has given up. Its state of that term is gone, so it can't
		// continue.
		return
	}
	if s.lead == nil {
		s.lastTerm = s.termRecord.Term
		s.lead = s.newLeadership(now)
		s.options.Log.Emit(event.TermAcquired, "term", s.lead.term)
	}
	l := s.lead
	l.storeUntil = max(l.storeUntil, w.firstIssuedAt.Add(storeAuthority))
	s.onRosterWritten(now)
}

// stepDown ends the leadership, because a newer term was seen or another process has written the term row.
func (s *State) stepDown(now clock.Instant) {
	s.nextPoll = now
	if s.lead == nil {
		return
	}
	s.options.Log.Emit(event.TermLost, "term", s.lead.term)
	s.lead = nil
}

// authority returns the instant until which this process may act as controller.
//
// By the store, no other process can have taken the term before storeUntil. By the roster rule, no successor can have
// been accepted by half of the roster before the queries were issued; leases are clamped to this end, so they end at
// most TTL after that.
func (s *State) authority(now clock.Instant) clock.Instant {
	if s.lead == nil {
		return 0
	}
	position := s.position()
	return max(s.lead.storeUntil, s.lead.rule.AuthorityEnd(now, position, position))
}

// renew writes the term row once per renewInterval.
func (s *State) renew(now clock.Instant) {
	l := s.lead
	if now < l.nextRenew || !s.termRow.idle() {
		return
	}
	l.nextRenew = now.Add(renewInterval)
	s.termRow.put(s, now, mustMarshal(s.termRecord))
}

// Stop starts a planned release of the term: the row is marked as released, so that another candidate needn't wait.
// It returns at once; Stopped reports when the mark is written.
//
// Nothing is granted after Stop, so the leases given before are the last ones of this term.
func (s *State) Stop(now clock.Instant) {
	s.stopping = true
	if s.lead == nil {
		s.released = true
	}
}

// Stopped reports whether the stop is complete.
func (s *State) Stopped() bool {
	return s.released || s.stopping && s.lead == nil
}

// releaseTerm writes the release mark once no other write of the row is pending.
func (s *State) releaseTerm(now clock.Instant) {
	if !s.termRow.idle() {
		return
	}
	next := s.termRecord
	next.Released = true
	s.termRow.put(s, now, mustMarshal(next))
}

// announce announces the term to the roster members that haven't accepted it yet, and requests the missing tables
// from those that have.
func (s *State) announce(now clock.Instant) {
	l := s.lead
	if now < l.nextAnnounce {
		return
	}
	l.nextAnnounce = now.Add(announceInterval)
	if l.settled {
		l.nextAnnounce = now.Add(settledAnnounceInterval)
	}
	for _, m := range l.acceptance.Members() {
		if l.acceptance.Accepted(m) && !l.tableMissing(m) {
			continue
		}
		if !l.acceptance.Accepted(m) {
			request := &wire.AnnounceTerm{Cell: s.options.Cell, Term: l.term, Address: s.options.Address}
			s.emit(Call{Address: m.Address, Member: m, Type: wire.TypeAnnounceTerm, Request: request, Term: l.term, IssuedAt: now})
			continue
		}
		request := &wire.FetchTable{Cell: s.options.Cell}
		s.emit(Call{Address: m.Address, Member: m, Type: wire.TypeFetchTable, Request: request, Term: l.term, IssuedAt: now})
	}
}

func (s *State) onAnnounceReply(now clock.Instant, res CallResult, reply *wire.AnnounceTermReply) {
	l := s.lead
	if reply.Term > l.term {
		s.stepDown(now)
		return
	}
	// Only the recorded incarnation counts: a restarted router doesn't remember what it confirmed to other
	// controllers.
	if reply.Term != l.term || reply.Member.VM != res.Member.VM || reply.Member.Incarnation != res.Member.Incarnation {
		return
	}
	l.acceptance.Accept(reply.Member, now)
	r := l.ensureRouter(reply.Member)
	if r.lastSeen == 0 {
		r.firstSeen, r.lastSeen = now, now
	}
	// From now on the router takes no lease of an older term; one that it already has may last for TTL.
	r.leaseEnd = max(r.leaseEnd, lease.GrantorEnd(now, lease.TTL))
	s.adoptHeldGroups(now, r, reply.Held)
	l.nextAnnounce = min(l.nextAnnounce, now)
}

// queryWitnesses queries the roster members when the authority from the store is about to end or has ended.
func (s *State) queryWitnesses(now clock.Instant) {
	l := s.lead
	if now < l.nextWitness || now < l.storeUntil.Add(-witnessLeadTime) {
		return
	}
	l.nextWitness = now.Add(witnessInterval)
	from := wire.Member{VM: s.options.VM, Incarnation: s.options.Incarnation, Address: s.options.Address, Domain: s.options.Domain}
	for _, m := range l.rule.Members() {
		request := &wire.Witness{Cell: s.options.Cell, From: from, Term: l.term}
		s.emit(Call{Address: m.Address, Member: m, Type: wire.TypeWitness, Request: request, Term: l.term, IssuedAt: now})
	}
}

func (s *State) onWitnessReply(now clock.Instant, res CallResult, reply *wire.WitnessReply) {
	if reply.Term > s.lead.term {
		s.stepDown(now)
		return
	}
	s.lead.rule.Record(res.IssuedAt, *reply)
}
