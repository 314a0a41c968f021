// Package witness implements the roster rule, which keeps authority while the store can't be reached, and its
// counterpart for a successor.
//
// Invariant: a set that keeps authority has more than half of each recorded roster, a set that takes over has at least
// half of each, so that the two share a member in every roster known to both sides. The shared member either answered
// before it accepted the successor, in which case the authority ends TTL after that, or it doesn't confirm any more.
// Only the recorded incarnation of a member counts, because a restarted process has forgotten what it accepted.
package witness

import (
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Interval is the time between two rounds of questions.
const Interval = 300 * time.Millisecond

// Position is what the asker knows. An answer that knows more doesn't confirm.
type Position struct {
	Term   uint64
	Table  topology.Version
	Config uint64
}

// Confirms tells whether an answer shows nothing newer than the position.
//
// The table version matters when the controller of the same term has taken a group from a router that it can't reach:
// it grants the group again once at least half of the roster has the table without the former gateway.
func (p Position) Confirms(answer wire.WitnessReply) bool {
	return p.covers(Position{Term: answer.Term, Table: answer.TableVersion, Config: answer.ConfigVersion})
}

func (p Position) covers(o Position) bool {
	return o.Term <= p.Term && !p.Table.Less(o.Table) && o.Config <= p.Config
}

type identity struct {
	vm          string
	incarnation wire.Incarnation
}

func identityOf(m wire.Member) identity {
	return identity{vm: m.VM, incarnation: m.Incarnation}
}

type answer struct {
	asked clock.Instant
	reply wire.WitnessReply
}

// Rule is the roster rule of one process. It isn't safe for concurrent use.
type Rule struct {
	self    wire.Member
	rosters []wire.Roster
	answers map[identity]answer
	// end is the latest end of authority so far.
	end clock.Instant
}

// NewRule returns the rule of a process. self is the zero Member for a process that isn't part of rosters.
func NewRule(self wire.Member) *Rule {
	return &Rule{self: self, answers: map[identity]answer{}}
}

// SetRosters replaces the recorded rosters; previous is nil if none is recorded.
func (r *Rule) SetRosters(current wire.Roster, previous *wire.Roster) {
	r.rosters = rosters(current, previous)
}

func rosters(current wire.Roster, previous *wire.Roster) []wire.Roster {
	if previous == nil || len(previous.Members) == 0 {
		return []wire.Roster{current}
	}
	return []wire.Roster{current, *previous}
}

// Members returns every member of the rosters once, without the process itself: those to ask.
func (r *Rule) Members() []wire.Member {
	members := union(r.rosters)
	return slices.DeleteFunc(members, func(m wire.Member) bool {
		return identityOf(m) == identityOf(r.self)
	})
}

func union(rosters []wire.Roster) []wire.Member {
	var members []wire.Member
	seen := map[identity]bool{}
	for _, roster := range rosters {
		for _, m := range roster.Members {
			if !seen[identityOf(m)] {
				seen[identityOf(m)] = true
				members = append(members, m)
			}
		}
	}
	return members
}

// Record stores an answer to a question that was sent after the clock read asked. An answer to an older question doesn't
// replace a newer one.
func (r *Rule) Record(asked clock.Instant, reply wire.WitnessReply) {
	id := identityOf(reply.Member)
	if old, ok := r.answers[id]; ok && old.asked > asked {
		return
	}
	r.answers[id] = answer{asked: asked, reply: reply}
}

// Newest returns the highest term, table version and configuration version among the answers, so that the asker can
// fetch what it lacks.
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

// Until returns the instant at which authority by the roster rule ends; it may have passed.
//
// position.Term is the term of the process's newest lease, not the newest term that it has heard of: a router that has
// accepted a new controller's term but has no lease from it yet is not known to that controller as a holder. known is
// everything that the process has heard of; it counts for itself only as long as that doesn't exceed the position.
//
// The result never decreases: what the members confirmed at one time stays confirmed until TTL after they were asked. The
// process calls Until before it takes in anything newer than its position.
func (r *Rule) Until(now clock.Instant, position, known Position) clock.Instant {
	if len(r.rosters) == 0 {
		return r.end
	}
	end := lease.HolderEnd(now, lease.TTL)
	for _, roster := range r.rosters {
		end = min(end, r.untilIn(roster, now, position, known))
	}
	r.end = max(r.end, end)
	return r.end
}

func (r *Rule) untilIn(roster wire.Roster, now clock.Instant, position, known Position) clock.Instant {
	var asked []clock.Instant
	for _, m := range roster.Members {
		if identityOf(m) == identityOf(r.self) {
			if position.covers(known) {
				asked = append(asked, now)
			}
			continue
		}
		a, ok := r.answers[identityOf(m)]
		if ok && position.Confirms(a.reply) {
			asked = append(asked, a.asked)
		}
	}
	need := Keeps(len(roster.Members))
	if len(asked) < need {
		return 0
	}
	slices.Sort(asked)
	return lease.HolderEnd(asked[len(asked)-need], lease.TTL)
}

// Keeps is the number of members of a roster of n that keeps authority: more than half.
func Keeps(n int) int {
	return n/2 + 1
}

// TakesOver is the number of members of a roster of n that a successor needs: at least half.
func TakesOver(n int) int {
	return (n + 1) / 2
}

// Acceptance counts the members that have accepted something newer: a term, or a table without a former gateway. It
// isn't safe for concurrent use.
type Acceptance struct {
	rosters []wire.Roster
	at      map[identity]clock.Instant
}

// NewAcceptance returns an empty count for the recorded rosters; previous is nil if none is recorded.
func NewAcceptance(current wire.Roster, previous *wire.Roster) *Acceptance {
	return &Acceptance{rosters: rosters(current, previous), at: map[identity]clock.Instant{}}
}

// Accept records that a member is known at an instant to have accepted.
func (a *Acceptance) Accept(m wire.Member, at clock.Instant) {
	if _, ok := a.at[identityOf(m)]; !ok {
		a.at[identityOf(m)] = at
	}
}

// Accepted tells whether a member has accepted.
func (a *Acceptance) Accepted(m wire.Member) bool {
	_, ok := a.at[identityOf(m)]
	return ok
}

// Members returns every member of the rosters once.
func (a *Acceptance) Members() []wire.Member {
	return union(a.rosters)
}

// All tells whether every member has accepted.
func (a *Acceptance) All() bool {
	for _, m := range a.Members() {
		if !a.Accepted(m) {
			return false
		}
	}
	return true
}

// Half returns the instant from which on at least half of each roster had accepted. An empty roster needs nobody: it
// has no member that could hold anything.
func (a *Acceptance) Half() (clock.Instant, bool) {
	return a.reached(TakesOver)
}

// Majority returns the instant from which on more than half of each roster had accepted. What a majority knows is found
// by every successor, which asks at least half.
func (a *Acceptance) Majority() (clock.Instant, bool) {
	return a.reached(Keeps)
}

func (a *Acceptance) reached(need func(int) int) (clock.Instant, bool) {
	var since clock.Instant
	for _, roster := range a.rosters {
		var times []clock.Instant
		for _, m := range roster.Members {
			if at, ok := a.at[identityOf(m)]; ok {
				times = append(times, at)
			}
		}
		n := len(roster.Members)
		if n == 0 {
			continue
		}
		if len(times) < need(n) {
			return 0, false
		}
		slices.Sort(times)
		since = max(since, times[need(n)-1])
	}
	return since, true
}
