// Package controller elects the controller of a cell through the store and maintains the cell's assignments: rosters,
// leases and groups of routers, owners of slices, tables and the configuration in force.
//
// State is the decision logic: a deterministic state machine without goroutines, timers or I/O. Controller runs it:
// one goroutine owns the State; connections and effects send it typed messages.
//
// Invariants of State:
//   - It acts for its cell only before authority() ends; each input checks this with the time of the input.
//   - A group is granted only when every former holder has reported its release, or when its lease has ended and at
//     least half of each recorded roster has known for TTL that it no longer holds the group. Where half of a roster
//     is lost, see holderGone and trySettle.
//   - A slice has at most one published owner, and none while requests of a former owner may run.
//   - An assignment is published once it is in the store or, while the store is down, once a majority of each roster
//     has it, so that the next controller finds it.
//   - Table and configuration versions only increase.
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
	// pollAfterRenewal and pollAfterNoRenewal are the delays from a candidate's read of the term row to the next one,
	// after a read that found a renewal and after one that didn't.
	pollAfterRenewal   = 360 * time.Millisecond
	pollAfterNoRenewal = 100 * time.Millisecond
	// staleAfter is how long the term row must be unchanged before a candidate takes over. The detection of a lost
	// leader, the wait for the leases of its routers and the wait for their longest deadline together must stay below
	// 4 s. A slow store doesn't cause needless takeovers: the write is conditional on the revision seen, which a live
	// leader keeps changing.
	staleAfter = 1400 * time.Millisecond
	// storeAuthority is how long a renewal gives authority, counted from before it was issued. It must end before a
	// candidate has counted staleAfter, with a clock drift of 1% on either side: at most 98% of staleAfter.
	storeAuthority = staleAfter * 39 / 40
	// headInterval is the time between two reads of the configuration head.
	headInterval = 250 * time.Millisecond
	// tableFetchInterval is the time between two requests for the tables of other cells.
	tableFetchInterval = time.Second
	// silentAfter is the time without a heartbeat after which a router counts as silent: three missed heartbeats.
	silentAfter = 800 * time.Millisecond
	// storeDownAfter is the time without a conclusive store response after which the store counts as down.
	storeDownAfter = 1500 * time.Millisecond
)

// Peer is another controller candidate.
type Peer struct {
	VM      string
	Cell    string
	Address string
}

// Options identify and configure a candidate.
type Options struct {
	VM     string
	Cell   string
	Region string
	Domain string
	// Address is the listen address that is announced to routers.
	Address     string
	Incarnation wire.Incarnation
	// Peers are the candidates of other cells; those of the same cell are ignored.
	Peers []Peer
	// Parse decodes and validates a configuration.
	Parse func(data []byte, file string) (*config.Config, finding.List)
	Log   *event.Logger
	// Recorder records decisions; nil disables recording.
	Recorder Recorder
}

// State is the state of one candidate. It isn't safe for concurrent use.
type State struct {
	options Options
	effects []Effect
	// tokens numbers the writes of this process.
	tokens uint64
	// writes and reads count store operations.
	writes, reads uint64
	// reportedWrites and reportedReads are the counts already added to the metrics.
	reportedWrites, reportedReads uint64

	termRow row
	// termRecord is the decoded term row.
	termRecord TermRecord
	// termRecordInvalid reports whether the newest term row can't be decoded.
	termRecordInvalid bool
	// lastTerm is the newest term that this process has led.
	lastTerm uint64
	// seenRevision is the newest revision of the term row, first seen at revisionSeenAt.
	seenRevision   store.Revision
	revisionSeenAt clock.Instant
	nextPoll       clock.Instant
	// polledRevisionSeenAt is the value of revisionSeenAt at the last read by a candidate.
	polledRevisionSeenAt clock.Instant
	// stopping reports whether this process must not take another term.
	stopping bool
	released bool

	// lead is nil while this process is only a candidate.
	lead *leadership

	cfg     *config.Config
	cfgBody []byte
	// rejectedVersion is the last configuration version that was found invalid.
	rejectedVersion uint64
	headRow         row
	nextHead        clock.Instant
	fetchingConfig  bool
	// headVersion is the version named by the head row when it was last read; headReadIssuedAt is when that read was
	// issued.
	headVersion      uint64
	headReadIssuedAt clock.Instant
	otherTables      map[string]*topology.Table
	nextTableFetch   clock.Instant

	// storeRespondedAt is the last time that the store responded.
	storeRespondedAt clock.Instant
	storeDown        bool
}

// New returns the state of a candidate at an instant.
func New(options Options, now clock.Instant) *State {
	if options.Log == nil {
		options.Log = event.Discard()
	}
	return &State{
		options:          options,
		termRow:          row{key: termKey(options.Cell)},
		headRow:          row{key: headKey},
		revisionSeenAt:   now,
		storeRespondedAt: now,
		otherTables:      map[string]*topology.Table{},
	}
}

func (s *State) emit(e Effect) {
	if _, ok := e.(ReadRow); ok {
		s.reads++
	}
	s.effects = append(s.effects, e)
}

// Effects returns the pending effects and clears them.
func (s *State) Effects() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

// Tick runs the periodic work. It is called every TickInterval.
func (s *State) Tick(now clock.Instant) {
	s.checkStoreDown(now)
	s.termRow.tick(s, now)
	if s.lead == nil {
		s.tickCandidate(now)
		return
	}
	s.tickLeader(now)
}

// Handle processes the result of an effect.
func (s *State) Handle(now clock.Instant, result Result) {
	switch res := result.(type) {
	case RowRead:
		s.recordStoreResult(now, res.Err)
		s.onRowRead(now, res)
	case RowWritten:
		s.recordStoreResult(now, res.Err)
		s.onRowWritten(now, res)
	case ObjectRead:
		s.recordStoreResult(now, res.Err)
		s.onConfigObject(now, res)
	case CallResult:
		s.onCallResult(now, res)
	}
}

func (s *State) onRowRead(now clock.Instant, res RowRead) {
	switch res.Key {
	case s.termRow.key:
		s.onTermRead(now, s.termRow.onRead(now, res), res.Err)
	case headKey:
		s.headRow.onRead(now, res)
		s.onHeadRead(res)
	case ConfirmationKey(s.options.Cell):
		s.onConfirmationRead(res)
	default:
		s.onPoolRowResult(now, res.Key, func(r *row) outcome { return r.onRead(now, res) })
	}
}

func (s *State) onRowWritten(now clock.Instant, res RowWritten) {
	if res.Key == s.termRow.key {
		w := s.termRow.pending
		out := s.termRow.onWritten(now, res)
		if out == outcomeApplied {
			s.onTermApplied(now, w)
		}
		return
	}
	s.onPoolRowResult(now, res.Key, func(r *row) outcome { return r.onWritten(now, res) })
}

func (s *State) onCallResult(now clock.Instant, res CallResult) {
	if res.Type == wire.TypeFetchTable && res.Member.VM == "" {
		s.onTableReply(res)
		return
	}
	if res.Type == wire.TypeFetchConfig {
		s.onConfigReply(now, res)
		return
	}
	if s.lead == nil || res.Term != s.lead.term || res.Err != nil {
		return
	}
	switch reply := res.Reply.(type) {
	case *wire.AnnounceTermReply:
		s.onAnnounceReply(now, res, reply)
	case *wire.WitnessReply:
		s.onWitnessReply(now, res, reply)
	case *wire.TableReply:
		s.lead.onRouterTable(res.Member, reply.Table)
	}
}
