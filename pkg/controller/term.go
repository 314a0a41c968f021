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

// noteStore follows whether the store answers.
func (s *State) noteStore(now clock.Instant, err error) {
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrAmbiguous) {
		return
	}
	s.storeSeen = now
	if s.storeDown {
		s.storeDown = false
		s.o.Log.Emit(event.StoreRegained)
	}
}

func (s *State) watchStore(now clock.Instant) {
	if !s.storeDown && now.Sub(s.storeSeen) > storeDownAfter {
		s.storeDown = true
		s.o.Log.Emit(event.StoreLost)
	}
}

// tickCandidate reads the term row about once per second. A read that finds a renewal is followed by one a little before
// the next renewal, a read that finds none by another one soon, so that a candidate sees a renewal shortly after it was
// made and counts the age of the row from there.
func (s *State) tickCandidate(now clock.Instant) {
	if now < s.nextPoll || !s.term.idle() {
		return
	}
	s.nextPoll = now.Add(pollAgain)
	if s.seenSince != s.polledSince {
		s.polledSince = s.seenSince
		s.nextPoll = now.Add(pollAhead)
	}
	if due := s.seenSince.Add(staleAfter); due > now && due < s.nextPoll {
		s.nextPoll = due
	}
	s.term.read(s, now)
}

// onTerm takes in a read of the term row.
func (s *State) onTerm(now clock.Instant, out outcome, err error) {
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	s.decodeTerm(now)
	switch out {
	case outcomeApplied:
		// The write took effect at some time after its first attempt was asked; see row.resolve.
		s.onTermApplied(now, s.term.resolved)
	case outcomeLost:
		s.depose(now)
	case outcomeNone:
		if s.lead == nil && s.term.write == nil {
			s.considerTerm(now)
		}
	}
}

// decodeTerm follows the revision of the term row.
func (s *State) decodeTerm(now clock.Instant) {
	if s.term.now.Revision == s.seenRevision && s.seenRevision != 0 {
		return
	}
	s.seenRevision = s.term.now.Revision
	s.seenSince = now
	var record TermRecord
	if s.seenRevision != 0 {
		if err := json.Unmarshal(s.term.now.Value, &record); err != nil {
			// The old record stays, so that the term can't go back; nobody takes over an unreadable row.
			s.recordBad = true
			s.o.Log.Emit(event.RecordInvalid, "key", s.term.key, "error", err.Error())
			return
		}
	}
	s.recordBad = false
	s.record = record
}

// considerTerm takes over if nobody holds the term. The store decides among several candidates: only one conditional
// write succeeds.
func (s *State) considerTerm(now clock.Instant) {
	vacant := s.seenRevision == 0 || s.record.Released
	if s.stopping || s.recordBad || !vacant && now.Sub(s.seenSince) < staleAfter {
		return
	}
	next := s.record
	next.Term++
	next.Holder = s.o.VM
	next.Address = s.o.Address
	next.Released = false
	s.term.put(s, now, encode(next))
}

// onTermApplied is called when a write of the term row is known to have taken effect.
func (s *State) onTermApplied(now clock.Instant, w *rowWrite) {
	s.decodeTerm(now)
	if s.record.Released {
		s.released = true
		s.lead = nil
		s.o.Log.Emit(event.TermReleased, "term", s.record.Term)
		return
	}
	if s.lead == nil && s.record.Term <= s.lastTerm {
		// A late renewal of a term that this process has given up. Its memory is gone, so that it can't go on.
		return
	}
	if s.lead == nil {
		s.lastTerm = s.record.Term
		s.lead = s.newLeadership(now)
		s.o.Log.Emit(event.TermAcquired, "term", s.lead.term)
	}
	l := s.lead
	l.storeUntil = max(l.storeUntil, w.firstAsked.Add(storeAuthority))
	s.onRosterWritten(now)
}

// depose ends the leadership: another controller has written the term row.
func (s *State) depose(now clock.Instant) {
	s.nextPoll = now
	if s.lead == nil {
		return
	}
	s.o.Log.Emit(event.TermLost, "term", s.lead.term)
	s.lead = nil
}

// authority returns the instant until which this process may act as controller.
//
// By the store, nobody else has taken the term before storeUntil. By the roster rule, no successor can have been accepted
// by half of the roster before the questions were asked; leases are clamped to this end, so that they end at most TTL
// after that.
func (s *State) authority(now clock.Instant) clock.Instant {
	if s.lead == nil {
		return 0
	}
	position := s.position()
	return max(s.lead.storeUntil, s.lead.rule.Until(now, position, position))
}

// renew writes the term row each second.
func (s *State) renew(now clock.Instant) {
	l := s.lead
	if now < l.nextRenew || !s.term.idle() {
		return
	}
	l.nextRenew = now.Add(renewInterval)
	s.term.put(s, now, encode(s.record))
}

// Stop gives the term up on purpose: the row is marked as released, so that another candidate needn't wait. It returns
// at once; Stopped tells when the mark is written.
//
// Nothing is granted after Stop, so that the leases given before are the last ones of this term.
func (s *State) Stop(now clock.Instant) {
	s.stopping = true
	if s.lead == nil {
		s.released = true
	}
}

// Stopped tells whether nothing is left to be done.
func (s *State) Stopped() bool {
	return s.released || s.stopping && s.lead == nil
}

// release writes the mark once no other write of the row is pending.
func (s *State) release(now clock.Instant) {
	if !s.term.idle() {
		return
	}
	next := s.record
	next.Released = true
	s.term.put(s, now, encode(next))
}

// announce tells the term to the members of the rosters that haven't accepted it yet.
func (s *State) announce(now clock.Instant) {
	l := s.lead
	if now < l.nextAnnounce {
		return
	}
	l.nextAnnounce = now.Add(announceInterval)
	if l.settled {
		l.nextAnnounce = now.Add(settledAnnounce)
	}
	for _, m := range l.acceptance.Members() {
		if l.acceptance.Accepted(m) && !l.tableMissing(m) {
			continue
		}
		if !l.acceptance.Accepted(m) {
			request := &wire.AnnounceTerm{Cell: s.o.Cell, Term: l.term, Address: s.o.Address}
			s.emit(Call{Address: m.Address, Member: m, Type: wire.TypeAnnounceTerm, Request: request, Term: l.term, Asked: now})
			continue
		}
		request := &wire.FetchTable{Cell: s.o.Cell}
		s.emit(Call{Address: m.Address, Member: m, Type: wire.TypeFetchTable, Request: request, Term: l.term, Asked: now})
	}
}

func (s *State) onAnnounced(now clock.Instant, res Called, reply *wire.AnnounceTermReply) {
	l := s.lead
	if reply.Term > l.term {
		s.depose(now)
		return
	}
	// Only the recorded incarnation counts: a restarted router doesn't remember what it confirmed to others.
	if reply.Term != l.term || reply.Member.VM != res.Member.VM || reply.Member.Incarnation != res.Member.Incarnation {
		return
	}
	l.acceptance.Accept(reply.Member, now)
	r := l.routerOf(reply.Member)
	if r.lastSeen == 0 {
		r.firstSeen, r.lastSeen = now, now
	}
	// From now on the router takes no lease of an older term; one that it has may last for TTL.
	r.leaseEnd = max(r.leaseEnd, lease.GrantorEnd(now, lease.TTL))
	s.adoptHeld(now, r, reply.Held)
	l.nextAnnounce = min(l.nextAnnounce, now)
}

// askWitnesses asks the members of the rosters while the store doesn't renew the authority.
func (s *State) askWitnesses(now clock.Instant) {
	l := s.lead
	if now < l.nextWitness || now < l.storeUntil.Add(-witnessLead) {
		return
	}
	l.nextWitness = now.Add(witnessInterval)
	from := wire.Member{VM: s.o.VM, Incarnation: s.o.Incarnation, Address: s.o.Address, Domain: s.o.Domain}
	for _, m := range l.rule.Members() {
		request := &wire.Witness{Cell: s.o.Cell, From: from, Term: l.term}
		s.emit(Call{Address: m.Address, Member: m, Type: wire.TypeWitness, Request: request, Term: l.term, Asked: now})
	}
}

func (s *State) onWitness(now clock.Instant, res Called, reply *wire.WitnessReply) {
	if reply.Term > s.lead.term {
		s.depose(now)
		return
	}
	s.lead.rule.Record(res.Asked, *reply)
}
