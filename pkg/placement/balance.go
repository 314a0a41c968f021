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
	// rateTimeConstant is the time constant of the exponential moving average of the reported rates. Reports arrive every
	// 250 ms and are noisy; a time constant of 40 reports reduces noise of half the rate to less than a tenth of it.
	rateTimeConstant = 10 * time.Second
	// warmUp is how long rates are collected before the first move.
	warmUp = 2 * rateTimeConstant
	// cooldown is how long a slice stays with its owner after a balancing move, so that delayed reports from before the
	// move can't reverse it.
	cooldown = time.Minute
	// startHigh, startLow, stopHigh and stopLow are hysteresis thresholds, relative to the mean load: balancing starts when
	// the load of a target leaves the outer band and stops when the loads of all targets are within the inner one.
	startHigh, startLow = 1.25, 0.75
	stopHigh, stopLow   = 1.10, 0.90
	// idleShare is the load that every slice counts in addition to its request rate, as a share of the mean rate per
	// slice. Without traffic, it makes the balancer even out the number of slices.
	idleShare = 0.1
	// hotShare and coldShare are shares of the mean load of a target. A key whose rate reaches hotShare gets a slice of its
	// own; below coldShare, that slice may be merged again.
	hotShare, coldShare = 0.5, 0.1
	// hotKeyDelay is how long a key must have been the hottest of its slice before it gets a slice of its own.
	hotKeyDelay = 5 * time.Second
	// maxGrowth is the maximum number of slices, relative to the configured number.
	maxGrowth = 2
)

// sliceRate is the smoothed request rate of a slice.
type sliceRate struct {
	perSecond  float64
	lastReport clock.Instant
	movedAt    clock.Instant
	// hotHash is the hash of the hottest key, which has been the hottest since hotSince.
	hotHash  uint64
	hotSince clock.Instant
	hotRate  float64
}

// Balancer balances the slices of one pool among its targets. It isn't safe for concurrent use.
//
// Balancing doesn't oscillate: load is measured per slice and is attributed to the new owner as soon as the slice moves,
// every move reduces the higher of the two loads, and a moved slice isn't moved again during the cooldown.
type Balancer struct {
	since  clock.Instant
	rates  map[uint64]*sliceRate
	active bool
}

// NewBalancer returns a balancer without any rates, whose warm-up period starts at now.
func NewBalancer(now clock.Instant) *Balancer {
	return &Balancer{since: now, rates: map[uint64]*sliceRate{}}
}

func (b *Balancer) rateOf(low uint64) *sliceRate {
	r, ok := b.rates[low]
	if !ok {
		r = &sliceRate{}
		b.rates[low] = r
	}
	return r
}

// Observe updates the smoothed rates of a slice with a report received at now.
func (b *Balancer) Observe(now clock.Instant, load wire.SliceLoad) {
	r := b.rateOf(load.Low)
	weight := 1.0
	if r.lastReport != 0 {
		weight = 1 - math.Exp(-now.Sub(r.lastReport).Seconds()/rateTimeConstant.Seconds())
	}
	r.lastReport = now
	r.perSecond += weight * (load.Rate - r.perSecond)
	if load.HotRate == 0 {
		r.hotRate -= weight * r.hotRate
		return
	}
	if load.HotHash != r.hotHash {
		// A single report may name another key by chance, so the recorded key is replaced only once its rate is no
		// longer higher than the reported one.
		if load.HotRate < r.hotRate {
			r.hotRate -= weight * r.hotRate
			return
		}
		r.hotHash, r.hotSince, r.hotRate = load.HotHash, now, 0
	}
	r.hotRate += weight * (load.HotRate - r.hotRate)
}

// Plan is a change to the slices of a pool.
type Plan struct {
	// Slices are all slices after the change. Changed slices have a new epoch.
	Slices []topology.Slice
	// Moves is the number of slices that change their owner.
	Moves int
}

// Plan returns the next change, if one is due: up to budget moves, or one split or merge. Slices whose Low is in fixed are
// in transition between owners and aren't changed. initial is the configured number of slices.
func (b *Balancer) Plan(now clock.Instant, all []topology.Slice, targets []Target, fixed map[uint64]bool, initial, budget int) (Plan, bool) {
	if now.Sub(b.since) < warmUp || len(all) == 0 {
		return Plan{}, false
	}
	d := b.newDecision(now, all, targets, fixed)
	if len(d.load) < 2 {
		return Plan{}, false
	}
	if p, ok := d.split(initial); ok {
		return p, true
	}
	if p, ok := d.moves(budget); ok {
		return p, true
	}
	return d.merge(initial, budget)
}

// decision is the working state of one call of Balancer.Plan.
type decision struct {
	balancer *Balancer
	now      clock.Instant
	slices   []topology.Slice
	fixed    map[uint64]bool
	// weight is the load of each slice, by Low, and load that of each available target.
	weight map[uint64]float64
	load   map[string]float64
	order  []string
	mean   float64
}

func (b *Balancer) newDecision(now clock.Instant, all []topology.Slice, targets []Target, fixed map[uint64]bool) *decision {
	d := &decision{balancer: b, now: now, slices: slices.Clone(all), fixed: fixed, weight: map[uint64]float64{}, load: map[string]float64{}}
	for _, t := range available(targets) {
		d.load[t.ID] = 0
		d.order = append(d.order, t.ID)
	}
	total := 0.0
	for _, s := range all {
		total += b.rateOf(s.Low).perSecond
	}
	idle := idleShare*total/float64(len(all)) + 1e-6
	sum := 0.0
	for _, s := range all {
		d.weight[s.Low] = b.rateOf(s.Low).perSecond + idle
		if _, ok := d.load[s.Owner]; ok {
			d.load[s.Owner] += d.weight[s.Low]
			sum += d.weight[s.Low]
		}
	}
	d.mean = sum / float64(max(1, len(d.load)))
	return d
}

// extremes returns the targets with the highest and the lowest load. Ties go to the target configured first.
func (d *decision) extremes() (high, low string) {
	high, low = d.order[0], d.order[0]
	for _, id := range d.order {
		if d.load[id] > d.load[high] {
			high = id
		}
		if d.load[id] < d.load[low] {
			low = id
		}
	}
	return high, low
}

// needsBalancing applies the hysteresis thresholds and records whether balancing is active.
func (d *decision) needsBalancing() bool {
	high, low := d.extremes()
	if d.balancer.active {
		d.balancer.active = d.load[high] > stopHigh*d.mean || d.load[low] < stopLow*d.mean
	} else {
		d.balancer.active = d.load[high] > startHigh*d.mean || d.load[low] < startLow*d.mean
	}
	return d.balancer.active
}

func (d *decision) moves(budget int) (Plan, bool) {
	n := 0
	for n < budget && d.needsBalancing() && d.move() {
		n++
	}
	return Plan{Slices: d.slices, Moves: n}, n > 0
}

// move moves a slice from the most to the least loaded target, choosing the slice that brings their loads closest
// together. A move must narrow the gap by more than a twentieth of the mean load, so that noise doesn't move slices.
func (d *decision) move() bool {
	high, low := d.extremes()
	gap := d.load[high] - d.load[low]
	best, bestGap := -1, gap-d.mean/20
	for i, s := range d.slices {
		if s.Owner != high || d.fixed[s.Low] || d.coolingDown(s.Low) {
			continue
		}
		if after := math.Abs(gap - 2*d.weight[s.Low]); after < bestGap {
			best, bestGap = i, after
		}
	}
	if best < 0 {
		return false
	}
	s := &d.slices[best]
	d.load[high] -= d.weight[s.Low]
	d.load[low] += d.weight[s.Low]
	s.Owner = low
	s.Epoch += EpochStep
	d.balancer.rateOf(s.Low).movedAt = d.now
	return true
}

func (d *decision) coolingDown(low uint64) bool {
	at := d.balancer.rateOf(low).movedAt
	return at != 0 && d.now.Sub(at) < cooldown
}

// split gives a hot key a slice of its own.
func (d *decision) split(initial int) (Plan, bool) {
	if len(d.slices)+2 > maxGrowth*initial {
		return Plan{}, false
	}
	for i, s := range d.slices {
		r := d.balancer.rateOf(s.Low)
		stable := r.hotSince != 0 && d.now.Sub(r.hotSince) >= hotKeyDelay
		if s.Low == s.High || d.fixed[s.Low] || !stable || !s.Contains(r.hotHash) || r.hotRate < hotShare*d.mean {
			continue
		}
		parts := splitAt(s, r.hotHash)
		d.balancer.divideRate(s, r.hotHash)
		return Plan{Slices: slices.Replace(d.slices, i, i+1, parts...)}, true
	}
	return Plan{}, false
}

// splitAt returns the parts of a slice before, at and after a hash, with a new epoch and the same owner.
func splitAt(s topology.Slice, hash uint64) []topology.Slice {
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

// divideRate divides the rate of a slice among the parts that it is split into at hash: the rate of the hot key goes to
// the part of that key, the remainder to the other parts in proportion to their width.
func (b *Balancer) divideRate(s topology.Slice, hash uint64) {
	r := *b.rateOf(s.Low)
	rest := max(0, r.perSecond-r.hotRate)
	width := float64(s.High - s.Low)
	if s.Low < hash {
		b.rates[s.Low] = &sliceRate{perSecond: rest * float64(hash-s.Low) / width, lastReport: r.lastReport, movedAt: r.movedAt}
	}
	if hash < s.High {
		b.rates[hash+1] = &sliceRate{perSecond: rest * float64(s.High-hash) / width, lastReport: r.lastReport, movedAt: r.movedAt}
	}
	b.rates[hash] = &sliceRate{perSecond: r.hotRate, lastReport: r.lastReport, hotHash: hash, hotRate: r.hotRate, hotSince: r.hotSince}
}

// merge reverses splits. The slice of a key that is no longer hot first moves to the owner of its neighbour; the two are
// merged later. While there are more slices than configured, other neighbours with the same owner and little load are
// merged too.
func (d *decision) merge(initial, budget int) (Plan, bool) {
	best, bestWeight := -1, 2*d.mean*float64(len(d.load))/float64(len(d.slices))
	for i := 0; i+1 < len(d.slices); i++ {
		a, b := d.slices[i], d.slices[i+1]
		allowed := len(d.slices) > initial || a.Low == a.High || b.Low == b.High
		if !allowed || a.Owner != b.Owner || !d.mergeable(a) || !d.mergeable(b) {
			continue
		}
		if weight := d.weight[a.Low] + d.weight[b.Low]; weight < bestWeight {
			best, bestWeight = i, weight
		}
	}
	if best < 0 {
		return d.returnColdKey(budget)
	}
	a, b := d.slices[best], d.slices[best+1]
	joined := a
	joined.High = b.High
	joined.Epoch = max(a.Epoch, b.Epoch) + EpochStep
	d.balancer.rateOf(a.Low).perSecond += d.balancer.rateOf(b.Low).perSecond
	delete(d.balancer.rates, b.Low)
	return Plan{Slices: slices.Replace(d.slices, best, best+2, joined)}, true
}

// mergeable reports whether a slice may be merged: it isn't fixed, isn't in its cooldown and has no hot key.
func (d *decision) mergeable(s topology.Slice) bool {
	return !d.fixed[s.Low] && !d.coolingDown(s.Low) && d.balancer.rateOf(s.Low).hotRate < coldShare*d.mean
}

// returnColdKey moves the slice of a single key that is no longer hot to the owner of the preceding slice.
func (d *decision) returnColdKey(budget int) (Plan, bool) {
	for i := 1; i < len(d.slices) && budget > 0; i++ {
		s, neighbour := &d.slices[i], d.slices[i-1].Owner
		_, isAvailable := d.load[neighbour]
		if s.Low != s.High || s.Owner == neighbour || !isAvailable || !d.mergeable(*s) || d.weight[s.Low] >= coldShare*d.mean {
			continue
		}
		s.Owner = neighbour
		s.Epoch += EpochStep
		return Plan{Slices: d.slices, Moves: 1}, true
	}
	return Plan{}, false
}
