// Package witness implements the roster rule, by which a process keeps its authority while the store is unreachable, and
// the matching rule for its successor.
//
// Invariant: a process keeps its authority only with confirmations from more than half of each recorded roster, and a
// successor needs acceptance from at least half of each, so that the two quorums share a member in every roster known to
// both sides. The shared member either answered before it accepted the successor, in which case the authority ends at most
// TTL after that, or it no longer confirms. Only the recorded incarnation of a member counts, because a restarted process
// has lost the record of what it accepted.
package witness

import (
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Interval is the time between two rounds of queries to the members.
const Interval = 300 * time.Millisecond

// Position holds the versions that a process knows. An answer with a newer version doesn't confirm its authority.
type Position struct {
	Term   uint64
	Table  topology.Version
	Config uint64
}

// Confirms reports whether an answer contains no version newer than the position.
//
// The table version matters if the controller of the same term has withdrawn a group from a router that it can't reach:
// the controller grants the group again once at least half of the roster has the table without the former gateway.
func (p Position) Confirms(answer wire.WitnessReply) bool {
	return p.covers(Position{Term: answer.Term, Table: answer.TableVersion, Config: answer.ConfigVersion})
}

func (p Position) covers(o Position) bool {
	return o.Term <= p.Term && !p.Table.Less(o.Table) && o.Config <= p.Config
}

type memberID struct {
	vm          string
	incarnation wire.Incarnation
}

func memberIDOf(m wire.Member) memberID {
	return memberID{vm: m.VM, incarnation: m.Incarnation}
}

type answer struct {
	asked clock.Instant
	reply wire.WitnessReply
}

// Rule applies the roster rule for one process. It isn't safe for concurrent use.
type Rule struct {
	self    wire.Member
	rosters []wire.Roster
	answers map[memberID]answer
	// end is the latest end of authority computed so far.
	end clock.Instant
}

// NewRule returns the rule of a process. self is the zero Member if the process isn't a member of any roster.
func NewRule(self wire.Member) *Rule {
	return &Rule{self: self, answers: map[memberID]answer{}}
}

// SetRosters replaces the recorded rosters; previous is nil if none is recorded.
func (r *Rule) SetRosters(current wire.Roster, previous *wire.Roster) {
	r.rosters = recordedRosters(current, previous)
}

func recordedRosters(current wire.Roster, previous *wire.Roster) []wire.Roster {
	if previous == nil || len(previous.Members) == 0 {
		return []wire.Roster{current}
	}
	return []wire.Roster{current, *previous}
}

// Members returns the members to query: every member of the rosters once, except the process itself.
func (r *Rule) Members() []wire.Member {
	members := union(r.rosters)
	return slices.DeleteFunc(members, func(m wire.Member) bool {
		return memberIDOf(m) == memberIDOf(r.self)
	})
}

func union(rosters []wire.Roster) []wire.Member {
	var members []wire.Member
	seen := map[memberID]bool{}
	for _, roster := range rosters {
		for _, m := range roster.Members {
			if !seen[memberIDOf(m)] {
				seen[memberIDOf(m)] = true
				members = append(members, m)
			}
		}
	}
	return members
}

// Record stores the answer to a query that was sent no earlier than the instant asked. The answer to an older query
// doesn't replace the answer to a newer one.
func (r *Rule) Record(asked clock.Instant, reply wire.WitnessReply) {
	id := memberIDOf(reply.Member)
	if previous, ok := r.answers[id]; ok && previous.asked > asked {
		return
	}
	r.answers[id] = answer{asked: asked, reply: reply}
}

// Newest returns the highest term, table version and configuration version among the answers, so that the process can
// fetch the versions that it lacks.
func (r *Rule) Newest() Position {
	var p Position
	for _, a := range r.answers {
		p.Term = max(p.Term, a.reply.Term)
		p.Config = max(p.Config, a.reply.ConfigVersion)
		if p.Table.Less(a.reply.TableVersion) {
			p.Table = a.reply.TableVersion
		}
	}
	return p
}

// AuthorityEnd returns the instant at which the authority by the roster rule ends, which may have passed.
//
// position.Term is the term of the newest lease of the process, not the newest term that it has learned of: a controller
// doesn't know a router as a holder if the router has accepted its term but has no lease from it yet. known holds the
// newest versions that the process has learned of; the process counts itself only while position covers known.
//
// The result never decreases, because a confirmation by the members stays valid until TTL after they were queried. The
// process must call AuthorityEnd before it adopts any version newer than its position.
func (r *Rule) AuthorityEnd(now clock.Instant, position, known Position) clock.Instant {
	if len(r.rosters) == 0 {
		return r.end
	}
	end := lease.HolderEnd(now, lease.TTL)
	for _, roster := range r.rosters {
		end = min(end, r.authorityEndIn(roster, now, position, known))
	}
	r.end = max(r.end, end)
	return r.end
}

func (r *Rule) authorityEndIn(roster wire.Roster, now clock.Instant, position, known Position) clock.Instant {
	var asked []clock.Instant
	for _, m := range roster.Members {
		if memberIDOf(m) == memberIDOf(r.self) {
			if position.covers(known) {
				asked = append(asked, now)
			}
			continue
		}
		a, ok := r.answers[memberIDOf(m)]
		if ok && position.Confirms(a.reply) {
			asked = append(asked, a.asked)
		}
	}
	quorum := KeepQuorum(len(roster.Members))
	if len(asked) < quorum {
		return 0
	}
	slices.Sort(asked)
	return lease.HolderEnd(asked[len(asked)-quorum], lease.TTL)
}

// KeepQuorum returns how many members of a roster of n must confirm for a process to keep its authority: more than
// half. A process that is a member can count itself; see AuthorityEnd.
func KeepQuorum(n int) int {
	return n/2 + 1
}

// TakeoverQuorum returns how many members of a roster of n must accept a successor: at least half.
func TakeoverQuorum(n int) int {
	return (n + 1) / 2
}

// Acceptance tracks which members have accepted a newer version: a term, or a table without a former gateway. It isn't
// safe for concurrent use.
type Acceptance struct {
	rosters    []wire.Roster
	acceptedAt map[memberID]clock.Instant
}

// NewAcceptance returns an Acceptance for the recorded rosters without any accepting members; previous is nil if none is
// recorded.
func NewAcceptance(current wire.Roster, previous *wire.Roster) *Acceptance {
	return &Acceptance{rosters: recordedRosters(current, previous), acceptedAt: map[memberID]clock.Instant{}}
}

// Accept records that m had accepted by the instant at. Only the first call for a member has an effect.
func (a *Acceptance) Accept(m wire.Member, at clock.Instant) {
	if _, ok := a.acceptedAt[memberIDOf(m)]; !ok {
		a.acceptedAt[memberIDOf(m)] = at
	}
}

// Accepted reports whether a member has accepted.
func (a *Acceptance) Accepted(m wire.Member) bool {
	_, ok := a.acceptedAt[memberIDOf(m)]
	return ok
}

// Members returns every member of the rosters once.
func (a *Acceptance) Members() []wire.Member {
	return union(a.rosters)
}

// All reports whether every member has accepted.
func (a *Acceptance) All() bool {
	for _, m := range a.Members() {
		if !a.Accepted(m) {
			return false
		}
	}
	return true
}

// HalfAcceptedAt returns the instant by which at least half of each roster had accepted, and false if that isn't the case
// yet. An empty roster requires no acceptance, because it has no member that could hold authority.
func (a *Acceptance) HalfAcceptedAt() (clock.Instant, bool) {
	return a.quorumReachedAt(TakeoverQuorum)
}

// MajorityAcceptedAt returns the instant by which more than half of each roster had accepted, and false if that isn't the
// case yet. Every successor learns what a majority has accepted, because it queries at least half of each roster.
func (a *Acceptance) MajorityAcceptedAt() (clock.Instant, bool) {
	return a.quorumReachedAt(KeepQuorum)
}

func (a *Acceptance) quorumReachedAt(quorum func(int) int) (clock.Instant, bool) {
	var since clock.Instant
	for _, roster := range a.rosters {
		var times []clock.Instant
		for _, m := range roster.Members {
			if at, ok := a.acceptedAt[memberIDOf(m)]; ok {
				times = append(times, at)
			}
		}
		n := len(roster.Members)
		if n == 0 {
			continue
		}
		if len(times) < quorum(n) {
			return 0, false
		}
		slices.Sort(times)
		since = max(since, times[quorum(n)-1])
	}
	return since, true
}
