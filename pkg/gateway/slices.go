package gateway

import (
	"math"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// sliceRetry is when callers of a slice between owners should come back; a move takes about that long.
const sliceRetry = 500 * time.Millisecond

// slicePhase is the life of a slice at its owner's gateway.
type slicePhase int

const (
	// sliceWaiting waits for the end of an overlapping slice or of the take-up wait.
	sliceWaiting slicePhase = iota
	// sliceActive serves requests.
	sliceActive
	// sliceReleasing takes no new requests and waits for those in flight and for the grant.
	sliceReleasing
	// sliceReleased is over under this epoch: the controller may give it to another target at any moment. A target that
	// comes back gets it again under a new epoch.
	sliceReleased
)

// heldSlice is a slice whose owner is a target of the group. The group's mutex guards it.
type heldSlice struct {
	topology.Slice
	target *target
	phase  slicePhase
	// wanted tells that the newest table still names this owner and epoch.
	wanted bool
	// running counts the requests in flight.
	running int
	// granted tells that the target has confirmed the slice.
	granted bool
	// included tells that some grant sent to the target contained the slice; the target may believe in it until lapsesAt.
	included bool
	lapsesAt clock.Instant
	// uncertain tells that a grant with the slice was sent without an answer, so that it may take effect late. Only the
	// time ends such a grant.
	uncertain bool
	// promotedFrom is the lost owner's slice if the gateway itself promoted this owner.
	promoted bool
	// replaced tells that the gateway promoted a successor for this slice.
	replaced bool
	rates    sliceRates
}

// usable tells whether a request may be sent now.
func (s *heldSlice) usable(now clock.Instant) bool {
	if s.phase != sliceActive {
		return false
	}
	if !s.target.group.pool.GrantsChecked {
		return true
	}
	return s.granted && now < s.target.grant.validUntil
}

func (s *heldSlice) overlaps(o *heldSlice) bool {
	return s.Low <= o.High && o.Low <= s.High
}

// same tells whether two slices are the same range under the same epoch and owner.
func (s *heldSlice) same(o *topology.Slice) bool {
	return s.Low == o.Low && s.High == o.High && s.Epoch == o.Epoch && s.Owner == o.Owner
}

// locate sets the slice and target of a keyed waiter.
func (g *group) locate(request *wire.Request, w *waiter) error {
	s := g.sliceOf(request.KeyHash)
	if s == nil || request.SliceEpoch > s.Epoch {
		return refuse(http.StatusServiceUnavailable, problem.CodeStaleOwnership,
			"no target of this group owns the key", sliceRetry)
	}
	now := g.clock.Now()
	if s.phase >= sliceReleasing || s.target.lost || !s.target.open(now) && s.target.draining {
		return refuse(http.StatusServiceUnavailable, problem.CodeNoOwner, "the key is between owners", sliceRetry)
	}
	w.slice = s
	w.target = s.target
	return nil
}

// sliceOf returns the slice of the highest epoch that covers a hash.
func (g *group) sliceOf(hash uint64) *heldSlice {
	var found *heldSlice
	for _, s := range g.slices {
		if s.Contains(hash) && (found == nil || s.Epoch > found.Epoch) {
			found = s
		}
	}
	return found
}

func (g *group) ownsSlices(t *target) bool {
	for _, s := range g.slices {
		if s.target == t && s.phase < sliceReleased {
			return true
		}
	}
	return false
}

// configureSlices applies the slices that the newest table gives to the group's targets.
func (g *group) configureSlices(owned []topology.Slice) {
	for _, s := range g.slices {
		s.wanted = false
	}
	for i := range owned {
		g.wantSlice(&owned[i])
	}
	for _, s := range g.slices {
		if !s.wanted && s.phase < sliceReleasing && !g.outdates(s, owned) {
			g.releaseSlice(s)
		}
	}
}

// outdates tells whether a promoted slice is newer than what the table says.
func (g *group) outdates(s *heldSlice, owned []topology.Slice) bool {
	if !s.promoted {
		return false
	}
	view := g.gateway.view.Load()
	if view == nil {
		return true
	}
	entry, ok := view.Tables[view.Cell].Slice(g.pool.Name, s.Low)
	return ok && entry.Epoch < s.Epoch
}

func (g *group) wantSlice(wanted *topology.Slice) {
	for _, s := range g.slices {
		if s.same(wanted) {
			s.wanted = true
			s.promoted = false
			s.Successors = wanted.Successors
			return
		}
	}
	t := g.targetByID(wanted.Owner)
	if t == nil {
		return
	}
	g.slices = append(g.slices, &heldSlice{Slice: *wanted, target: t, wanted: true})
}

// releaseSlice stops new requests for a slice. Waiting ones are refused.
func (g *group) releaseSlice(s *heldSlice) {
	s.phase = sliceReleasing
	refusal := refuse(http.StatusServiceUnavailable, problem.CodeNoOwner, "the key is between owners", sliceRetry)
	for i := 0; i < len(s.target.queue.waiters); {
		w := s.target.queue.waiters[i]
		if w.slice != s {
			i++
			continue
		}
		s.target.queue.removeAt(i)
		g.queued--
		w.granted <- refusal
	}
	g.wakeGrant(s.target)
}

// settle advances slices and the group after something has ended or time has passed.
func (g *group) settle() {
	now := g.clock.Now()
	for _, s := range g.slices {
		g.settleSlice(s, now)
	}
	for _, s := range g.slices {
		g.activateSlice(s, now)
	}
	g.settleGroup()
}

func (g *group) settleSlice(s *heldSlice, now clock.Instant) {
	if s.phase == sliceActive && s.target.lost || s.phase == sliceWaiting && s.target.lost {
		g.releaseSlice(s)
	}
	if s.phase != sliceReleasing {
		return
	}
	if s.wanted && !s.target.lost && g.state == wire.HoldActive {
		// The target has come back before its slice was released.
		s.phase = sliceWaiting
		return
	}
	if s.running > 0 || s.mayBeGranted(now) {
		return
	}
	if g.promote(s, now) {
		s.phase = sliceReleased
		return
	}
	if s.target.lost && g.state == wire.HoldActive && !g.controllerReachable() {
		// Nobody could act on a release. The slice goes on if its target returns before the controller does.
		return
	}
	s.phase = sliceReleased
	g.gateway.Log.Emit(event.SliceReleased, "pool", s.Pool, "epoch", s.Epoch, "owner", s.Owner)
	g.gateway.wakeControl()
}

// mayBeGranted tells whether the target may still believe in the slice.
func (s *heldSlice) mayBeGranted(now clock.Instant) bool {
	return s.included && now < s.lapsesAt
}

func (g *group) activateSlice(s *heldSlice, now clock.Instant) {
	if s.phase != sliceWaiting || !g.startable(now) || g.state != wire.HoldActive {
		return
	}
	for _, o := range g.slices {
		blocks := o != s && o.target != s.target && o.phase != sliceReleased && o.phase != sliceWaiting
		if blocks && o.overlaps(s) {
			return
		}
	}
	s.phase = sliceActive
	g.wakeGrant(s.target)
}

func (g *group) controllerReachable() bool {
	reachable := g.gateway.ControllerReachable
	return reachable == nil || reachable()
}

// promote makes the recorded successor in the same group the owner of a lost target's slice. Only a gateway whose
// controller doesn't answer does so; it then never reports the slice as released, so that nobody else gets it.
func (g *group) promote(s *heldSlice, now clock.Instant) bool {
	if !s.target.lost || g.state != wire.HoldActive || g.controllerReachable() {
		return false
	}
	if len(s.Successors) == 0 || !g.gateway.authorized(now) {
		return false
	}
	successor := g.targetByID(s.Successors[0])
	if successor == nil || successor.lost || successor.draining {
		return false
	}
	s.replaced = true
	next := &heldSlice{Slice: s.Slice, target: successor, promoted: true}
	next.Owner = successor.id
	next.Epoch = s.Epoch + 1
	// The second reserved epoch belongs to a target of another group.
	next.Successors = nil
	g.slices = append(g.slices, next)
	g.gateway.Log.Emit(event.SlicePromoted, "pool", s.Pool, "epoch", next.Epoch, "owner", next.Owner, "lost", s.Owner)
	g.gateway.wakeControl()
	return true
}

// settleGroup completes the release of a group.
func (g *group) settleGroup() {
	if g.state != wire.HoldDraining || g.inFlight() > 0 || g.claiming > 0 {
		return
	}
	now := g.clock.Now()
	for _, t := range g.targets {
		if t.grant.mayHold(now) {
			return
		}
	}
	g.state = wire.HoldReleased
	g.gateway.Log.Emit(event.GroupReleased, "group", g.id, "epoch", g.epoch)
	g.gateway.wakeControl()
}

// forgetSlices drops released slices once the table has a newer owner.
func (g *group) forgetSlices(table *topology.Table) {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := g.slices[:0:0]
	for _, s := range g.slices {
		entry, ok := table.Slice(s.Pool, s.Low)
		newer := ok && entry.Epoch > s.Epoch && entry.Owner != ""
		if s.phase == sliceReleased && newer {
			continue
		}
		kept = append(kept, s)
	}
	g.slices = kept
}

// sliceReports lists released and promoted slices.
func (g *group) sliceReports() []wire.SliceReport {
	var reports []wire.SliceReport
	for _, s := range g.slices {
		report := wire.SliceReport{Pool: s.Pool, Low: s.Low, High: s.High, Epoch: s.Epoch, Owner: s.Owner}
		switch {
		case s.phase == sliceReleased && !s.replaced:
			report.State = wire.SliceReleased
		case s.promoted:
			report.State = wire.SlicePromoted
		default:
			continue
		}
		reports = append(reports, report)
	}
	return reports
}

// fullRange covers every key hash.
const fullRange = uint64(math.MaxUint64)
