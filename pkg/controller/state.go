// Package controller elects the controller of a cell through the store and keeps the cell's assignments: rosters, leases
// and groups of routers, owners of slices, tables and the configuration in force.
//
// State is the decision code: a deterministic machine without goroutines, timers or I/O. Controller runs it: one goroutine
// owns the State, connections and effects send it typed messages.
//
// Invariants of State:
//   - It acts for its cell only before authority() ends; each input checks this with the time of the input.
//   - A group is granted only when every former holder has reported its release, or when its lease has ended and at least
//     half of each recorded roster has known for TTL that it doesn't hold the group any more.
//   - A slice has at most one published owner, and none while a former owner's requests may run.
//   - An assignment is published after it is in the store, or while the store is down when a majority of each roster has
//     it, so that the next controller finds it.
//   - Tables and configuration versions only grow.
package controller

import (
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 50 * time.Millisecond
	// renewInterval is the time between two renewals of the term.
	renewInterval = 400 * time.Millisecond
	// pollAhead and pollAgain are the times from a candidate's read to the next one: after one that found a renewal, and
	// after one that found none.
	pollAhead = 360 * time.Millisecond
	pollAgain = 100 * time.Millisecond
	// staleAfter is how long the term row must not have changed before a candidate takes over. A lost leader, the wait for
	// the leases of its routers and the wait for their longest deadline together have to stay below 4 s. A slow store does
	// not cause needless takeovers: the write is conditional on the row seen, which a live leader keeps changing.
	staleAfter = 1400 * time.Millisecond
	// storeAuthority is how long a renewal gives authority, from before it was asked. It must end before a candidate has
	// counted staleAfter, with a drift of 1% on either side: at most 98% of it.
	storeAuthority = staleAfter * 39 / 40
	// headInterval is the time between two reads of the configuration head.
	headInterval = 250 * time.Millisecond
	// othersInterval is the time between two exchanges of tables with other cells.
	othersInterval = time.Second
	// silentAfter is when a router counts as silent: three missed heartbeats.
	silentAfter = 800 * time.Millisecond
	// storeDownAfter is how long no operation may succeed before the store counts as down.
	storeDownAfter = 1500 * time.Millisecond
)

// Peer is another controller candidate.
type Peer struct {
	VM      string
	Cell    string
	Address string
}

// Options identify a candidate.
type Options struct {
	VM     string
	Cell   string
	Region string
	Domain string
	// Address is the listen address that routers are told.
	Address     string
	Incarnation wire.Incarnation
	// Peers are the candidates of other cells; others are ignored.
	Peers []Peer
	// Parse decodes and checks a configuration.
	Parse func(data []byte, file string) (*config.Config, finding.List)
	Log   *event.Logger
	// Recorder is nil if nothing is recorded.
	Recorder Recorder
}

// State is the state of one candidate. It isn't safe for concurrent use.
type State struct {
	o       Options
	effects []Effect
	// tokens numbers the writes of this process.
	tokens uint64
	// writes and reads count store operations.
	writes, reads uint64
	// reportedWrites and reportedReads are already in the metrics.
	reportedWrites, reportedReads uint64

	term row
	// record is the decoded term row.
	record TermRecord
	// recordBad tells that the row can't be decoded.
	recordBad bool
	// lastTerm is the newest term that this process has led.
	lastTerm uint64
	// seenRevision is the newest revision of the term row, first seen at seenSince.
	seenRevision store.Revision
	seenSince    clock.Instant
	nextPoll     clock.Instant
	// polledSince is seenSince at the last read by a candidate.
	polledSince clock.Instant
	// stopping tells that this process must not take a term any more.
	stopping bool
	released bool

	// lead is nil while this process is only a candidate.
	lead *leadership

	cfg     *config.Config
	cfgBody []byte
	// cfgBad is a version that could not be used.
	cfgBad   uint64
	head     row
	nextHead clock.Instant
	fetching bool
	// headVersion is the version that the head named when it was last read, asked at headAsked.
	headVersion uint64
	headAsked   clock.Instant
	others      map[string]*topology.Table
	nextOthers  clock.Instant

	// storeSeen is the last time that the store answered.
	storeSeen clock.Instant
	storeDown bool
}

// New returns the state of a candidate at an instant.
func New(o Options, now clock.Instant) *State {
	if o.Log == nil {
		o.Log = event.Discard()
	}
	return &State{
		o:         o,
		term:      row{key: termKey(o.Cell)},
		head:      row{key: headKey},
		seenSince: now,
		storeSeen: now,
		others:    map[string]*topology.Table{},
	}
}

func (s *State) emit(e Effect) {
	if _, ok := e.(ReadRow); ok {
		s.reads++
	}
	s.effects = append(s.effects, e)
}

// Effects returns what is to be done, and forgets it.
func (s *State) Effects() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

// Tick lets time pass. It is called every TickInterval.
func (s *State) Tick(now clock.Instant) {
	s.watchStore(now)
	s.term.tick(s, now)
	if s.lead == nil {
		s.tickCandidate(now)
		return
	}
	s.tickLeader(now)
}

// Handle takes in the outcome of an effect.
func (s *State) Handle(now clock.Instant, result Result) {
	switch res := result.(type) {
	case RowRead:
		s.noteStore(now, res.Err)
		s.onRowRead(now, res)
	case RowWritten:
		s.noteStore(now, res.Err)
		s.onRowWritten(now, res)
	case ObjectRead:
		s.noteStore(now, res.Err)
		s.onObject(now, res)
	case Called:
		s.onCalled(now, res)
	}
}

func (s *State) onRowRead(now clock.Instant, res RowRead) {
	switch res.Key {
	case s.term.key:
		s.onTerm(now, s.term.onRead(now, res), res.Err)
	case headKey:
		s.head.onRead(now, res)
		s.onHead(res)
	case ConfirmKey(s.o.Cell):
		s.onConfirmation(res)
	default:
		s.onPoolRow(now, res.Key, func(r *row) outcome { return r.onRead(now, res) })
	}
}

func (s *State) onRowWritten(now clock.Instant, res RowWritten) {
	if res.Key == s.term.key {
		w := s.term.write
		out := s.term.onWritten(now, res)
		if out == outcomeApplied {
			s.onTermApplied(now, w)
		}
		return
	}
	s.onPoolRow(now, res.Key, func(r *row) outcome { return r.onWritten(now, res) })
}

func (s *State) onCalled(now clock.Instant, res Called) {
	if res.Type == wire.TypeFetchTable && res.Member.VM == "" {
		s.onOtherTable(res)
		return
	}
	if res.Type == wire.TypeFetchConfig {
		s.onRouterConfig(now, res)
		return
	}
	if s.lead == nil || res.Term != s.lead.term || res.Err != nil {
		return
	}
	switch reply := res.Reply.(type) {
	case *wire.AnnounceTermReply:
		s.onAnnounced(now, res, reply)
	case *wire.WitnessReply:
		s.onWitness(now, res, reply)
	case *wire.TableReply:
		s.lead.onRouterTable(res.Member, reply.Table)
	}
}
