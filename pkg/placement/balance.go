package placement

import (
	"math"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// smoothing is the time constant of the smoothed rates. Reports come every 250 ms and are noisy; a time constant of
	// 40 reports keeps noise of half the rate below a tenth.
	smoothing = 10 * time.Second
	// warmUp is how long rates are collected before the first move.
	warmUp = 2 * smoothing
	// cooldown is how long a moved slice stays where it is, so that late reports from before the move can't send it back.
	cooldown = time.Minute
	// startHigh, startLow, stopHigh and stopLow are the hysteresis: balancing starts when a target's load leaves the outer
	// band around the mean and stops when all are within the inner one.
	startHigh, startLow = 1.25, 0.75
	stopHigh, stopLow   = 1.10, 0.90
	// idleShare is the load of a slice without requests, as a share of the mean. It balances the number of slices where
	// there is no traffic.
	idleShare = 0.1
	// hotShare is the share of a target's mean load from which on a key gets a slice of its own; coldShare the one below
	// which it loses it again.
	hotShare, coldShare = 0.5, 0.1
	// hotAfter is how long a key must have been the hottest of its slice before it gets its own.
	hotAfter = 5 * time.Second
	// maxGrowth bounds the number of slices, relative to the initial one.
	maxGrowth = 2
)

// rate is what is known about the load of a slice.
type rate struct {
	perSecond float64
	seen      clock.Instant
	movedAt   clock.Instant
	// hot is the most frequent key hash, since hotSince.
	hot      uint64
	hotSince clock.Instant
	hotRate  float64
}

// Balancer decides the balancing of one pool's slices. It isn't safe for concurrent use.
//
// It can't oscillate: load is counted by slice and follows the slice to its new owner at once, every move makes the larger
// one of the two loads smaller, and a moved slice stays for the cooldown.
type Balancer struct {
	since  clock.Instant
	rates  map[uint64]*rate
	active bool
}

// NewBalancer returns a balancer that knows no rates yet.
func NewBalancer(now clock.Instant) *Balancer {
	return &Balancer{since: now, rates: map[uint64]*rate{}}
}

func (b *Balancer) of(low uint64) *rate {
	r, ok := b.rates[low]
	if !ok {
		r = &rate{}
		b.rates[low] = r
	}
	return r
}

// Observe takes in a reported rate.
func (b *Balancer) Observe(now clock.Instant, load wire.SliceLoad) {
	r := b.of(load.Low)
	weight := 1.0
	if r.seen != 0 {
		weight = 1 - math.Exp(-now.Sub(r.seen).Seconds()/smoothing.Seconds())
	}
	r.seen = now
	r.perSecond += weight * (load.Rate - r.perSecond)
	if load.HotRate == 0 {
		r.hotRate -= weight * r.hotRate
		return
	}
	if load.HotHash != r.hot {
		// A single report may name another key by chance; the hottest one stays until it falls behind.
		if load.HotRate < r.hotRate {
			r.hotRate -= weight * r.hotRate
			return
		}
		r.hot, r.hotSince, r.hotRate = load.HotHash, now, 0
	}
	r.hotRate += weight * (load.HotRate - r.hotRate)
}

// Plan is a change of a pool's slices.
type Plan struct {
	// Slices are all slices after the change. Changed ones have a new epoch.
	Slices []topology.Slice
	// Moves is the number of slices with another owner.
	Moves int
}

// Plan returns the next change, if one is due: up to budget moves, or one split or merge. Fixed slices, named by Low, are
// between owners and stay as they are. initial is the configured number of slices.
func (b *Balancer) Plan(now clock.Instant, all []topology.Slice, targets []Target, fixed map[uint64]bool, initial, budget int) (Plan, bool) {
	if now.Sub(b.since) < warmUp || len(all) == 0 {
		return Plan{}, false
	}
	w := b.weigh(now, all, targets, fixed)
	if len(w.load) < 2 {
		return Plan{}, false
	}
	if p, ok := w.split(initial); ok {
		return p, true
	}
	if p, ok := w.moves(budget); ok {
		return p, true
	}
	return w.merge(initial, budget)
}

// weighing is the state of one decision.
type weighing struct {
	b      *Balancer
	now    clock.Instant
	slices []topology.Slice
	fixed  map[uint64]bool
	// weight is the load of each slice by Low, load that of each available target.
	weight map[uint64]float64
	load   map[string]float64
	order  []string
	mean   float64
}

func (b *Balancer) weigh(now clock.Instant, all []topology.Slice, targets []Target, fixed map[uint64]bool) *weighing {
	w := &weighing{b: b, now: now, slices: slices.Clone(all), fixed: fixed, weight: map[uint64]float64{}, load: map[string]float64{}}
	for _, t := range available(targets) {
		w.load[t.ID] = 0
		w.order = append(w.order, t.ID)
	}
	total := 0.0
	for _, s := range all {
		total += b.of(s.Low).perSecond
	}
	idle := idleShare*total/float64(len(all)) + 1e-6
	sum := 0.0
	for _, s := range all {
		w.weight[s.Low] = b.of(s.Low).perSecond + idle
		if _, ok := w.load[s.Owner]; ok {
			w.load[s.Owner] += w.weight[s.Low]
			sum += w.weight[s.Low]
		}
	}
	w.mean = sum / float64(max(1, len(w.load)))
	return w
}

// extremes returns the targets with the highest and the lowest load; the order of the configuration breaks ties.
func (w *weighing) extremes() (high, low string) {
	high, low = w.order[0], w.order[0]
	for _, id := range w.order {
		if w.load[id] > w.load[high] {
			high = id
		}
		if w.load[id] < w.load[low] {
			low = id
		}
	}
	return high, low
}

// wanted follows the hysteresis.
func (w *weighing) wanted() bool {
	high, low := w.extremes()
	if w.b.active {
		w.b.active = w.load[high] > stopHigh*w.mean || w.load[low] < stopLow*w.mean
	} else {
		w.b.active = w.load[high] > startHigh*w.mean || w.load[low] < startLow*w.mean
	}
	return w.b.active
}

func (w *weighing) moves(budget int) (Plan, bool) {
	n := 0
	for n < budget && w.wanted() && w.move() {
		n++
	}
	return Plan{Slices: w.slices, Moves: n}, n > 0
}

// move moves the slice from the most to the least loaded target that brings the two closest together. A move must gain
// at least a twentieth of the mean, so that noise doesn't move slices.
func (w *weighing) move() bool {
	high, low := w.extremes()
	gap := w.load[high] - w.load[low]
	best, bestGap := -1, gap-w.mean/20
	for i, s := range w.slices {
		if s.Owner != high || w.fixed[s.Low] || w.resting(s.Low) {
			continue
		}
		if after := math.Abs(gap - 2*w.weight[s.Low]); after < bestGap {
			best, bestGap = i, after
		}
	}
	if best < 0 {
		return false
	}
	s := &w.slices[best]
	w.load[high] -= w.weight[s.Low]
	w.load[low] += w.weight[s.Low]
	s.Owner = low
	s.Epoch += EpochStep
	w.b.of(s.Low).movedAt = w.now
	return true
}

func (w *weighing) resting(low uint64) bool {
	at := w.b.of(low).movedAt
	return at != 0 && w.now.Sub(at) < cooldown
}

// split gives a hot key a slice of its own.
func (w *weighing) split(initial int) (Plan, bool) {
	if len(w.slices)+2 > maxGrowth*initial {
		return Plan{}, false
	}
	for i, s := range w.slices {
		r := w.b.of(s.Low)
		stable := r.hotSince != 0 && w.now.Sub(r.hotSince) >= hotAfter
		if s.Low == s.High || w.fixed[s.Low] || !stable || !s.Contains(r.hot) || r.hotRate < hotShare*w.mean {
			continue
		}
		parts := cut(s, r.hot)
		w.b.divide(s, r.hot)
		return Plan{Slices: slices.Replace(w.slices, i, i+1, parts...)}, true
	}
	return Plan{}, false
}

// cut returns the parts of a slice before, at and after a hash, under a new epoch and with the same owner.
func cut(s topology.Slice, hash uint64) []topology.Slice {
	s.Epoch += EpochStep
	var parts []topology.Slice
	if s.Low < hash {
		before := s
		before.High = hash - 1
		parts = append(parts, before)
	}
	hot := s
	hot.Low, hot.High = hash, hash
	parts = append(parts, hot)
	if hash < s.High {
		after := s
		after.Low = hash + 1
		parts = append(parts, after)
	}
	return parts
}

// divide shares the rate of a slice among its parts.
func (b *Balancer) divide(s topology.Slice, hash uint64) {
	r := *b.of(s.Low)
	rest := max(0, r.perSecond-r.hotRate)
	width := float64(s.High - s.Low)
	if s.Low < hash {
		b.rates[s.Low] = &rate{perSecond: rest * float64(hash-s.Low) / width, seen: r.seen, movedAt: r.movedAt}
	}
	if hash < s.High {
		b.rates[hash+1] = &rate{perSecond: rest * float64(s.High-hash) / width, seen: r.seen, movedAt: r.movedAt}
	}
	b.rates[hash] = &rate{perSecond: r.hotRate, seen: r.seen, hot: hash, hotRate: r.hotRate, hotSince: r.hotSince}
}

// merge undoes splits. A key that is no longer hot goes to its neighbour's owner first, then the two are joined. While
// there are more slices than configured, other neighbours with the same owner and little load are joined too.
func (w *weighing) merge(initial, budget int) (Plan, bool) {
	best, bestWeight := -1, 2*w.mean*float64(len(w.load))/float64(len(w.slices))
	for i := 0; i+1 < len(w.slices); i++ {
		a, b := w.slices[i], w.slices[i+1]
		wanted := len(w.slices) > initial || a.Low == a.High || b.Low == b.High
		if !wanted || a.Owner != b.Owner || !w.cold(a) || !w.cold(b) {
			continue
		}
		if weight := w.weight[a.Low] + w.weight[b.Low]; weight < bestWeight {
			best, bestWeight = i, weight
		}
	}
	if best < 0 {
		return w.bringHome(budget)
	}
	a, b := w.slices[best], w.slices[best+1]
	joined := a
	joined.High = b.High
	joined.Epoch = max(a.Epoch, b.Epoch) + EpochStep
	w.b.of(a.Low).perSecond += w.b.of(b.Low).perSecond
	delete(w.b.rates, b.Low)
	return Plan{Slices: slices.Replace(w.slices, best, best+2, joined)}, true
}

// cold tells whether a slice may be joined.
func (w *weighing) cold(s topology.Slice) bool {
	return !w.fixed[s.Low] && !w.resting(s.Low) && w.b.of(s.Low).hotRate < coldShare*w.mean
}

// bringHome moves a single key that is no longer hot to the owner of the slice before it.
func (w *weighing) bringHome(budget int) (Plan, bool) {
	for i := 1; i < len(w.slices) && budget > 0; i++ {
		s, home := &w.slices[i], w.slices[i-1].Owner
		_, open := w.load[home]
		if s.Low != s.High || s.Owner == home || !open || !w.cold(*s) || w.weight[s.Low] >= coldShare*w.mean {
			continue
		}
		s.Owner = home
		s.Epoch += EpochStep
		return Plan{Slices: w.slices, Moves: 1}, true
	}
	return Plan{}, false
}
