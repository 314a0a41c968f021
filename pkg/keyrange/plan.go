package keyrange

import (
	"cmp"
	"slices"
	"sort"
)

const (
	// maxBalanceMoves bounds the moves of one plan that only balance the load, so that each plan sees the effect of the
	// previous one. The keys of a move wait for about 100 ms.
	maxBalanceMoves = 4
	// overloadedUtilization is the utilization of a target above which its keys are spread immediately, with moves beyond
	// maxBalanceMoves: one for each membersPerSpreadMove targets. With four moves per plan, 430 requests per second on 200
	// keys of 483 targets were refused for as long as the keys were hot.
	overloadedUtilization = 3
	membersPerSpreadMove  = 8
	// hotUtilization is the utilization of a target above which requests queue noticeably.
	hotUtilization = 1.1
	// spareUtilization is the utilization of a target below which it can take load from others. While no target is below it,
	// moves have a cost and no benefit.
	spareUtilization = 0.65
	// goalUtilization is the utilization up to which moves load a target, and down to which they relieve a hot one.
	goalUtilization = 0.7
	// maxRangeExcess is how many times the wanted load a moved range may carry, since a single key can't be divided. Ranges
	// with more are considered last.
	maxRangeExcess = 1.5
	// minUtilizationGap is the minimum difference of utilization that justifies a move.
	minUtilizationGap = 0.3
	// widthWeight adds a small weight for the width of ranges, so that keys are balanced where there are no requests.
	widthWeight = 0.02
	// minSamples is the number of recent requests below which the load is not significant.
	minSamples = 10
)

// Member is a target of the pool as the planner sees it.
type Member struct {
	ID string
	// Started distinguishes the incarnations of a target.
	Started int64
	// Capacity is the number of requests per second that the target can serve.
	Capacity float64
	// MayKeep is set if the target may keep the keys that it owns.
	MayKeep bool
	// MayReceive is set if the target may be given keys.
	MayReceive bool
}

// Load is a sample of the requested keys.
type Load struct {
	// Keys holds the sorted keys, one for each request in the window.
	Keys []int
	// Seconds is the length of the window in seconds.
	Seconds float64
}

// rate returns the requests per second for a range of keys.
func (l *Load) rate(from, to int) float64 {
	if l.Seconds <= 0 {
		return 0
	}
	low, high := l.sampleIndexes(from, to)
	return float64(high-low) / l.Seconds
}

// sampleIndexes returns the half-open interval of the indexes of the samples in a range of keys.
func (l *Load) sampleIndexes(from, to int) (low, high int) {
	return sort.SearchInts(l.Keys, from), sort.SearchInts(l.Keys, to+1)
}

// Move assigns a range of keys to another owner.
type Move struct {
	From, To int
	Owner    string
	Started  int64
}

// Progress is the progress of the last move of a slice.
type Progress int

const (
	// Settled means that the owner holds its keys and no earlier owner can hold them.
	Settled Progress = iota
	// Offered means that no earlier owner can hold the keys, but the owner may not hold them yet.
	Offered
	// Waiting means that the owner was not offered the keys yet, because an earlier owner may still hold them.
	Waiting
	// Uncertain means that both the owner and an earlier owner may hold the keys.
	Uncertain
)

// memberLoad is the load of one member during planning.
type memberLoad struct {
	member *Member
	rate   float64
	width  int
}

// utilization returns the share of the member's capacity that is in use, with a small addition for the width of its ranges.
func (m *memberLoad) utilization() float64 {
	return m.rate/max(m.member.Capacity, 0.001) + widthWeight*float64(m.width)/(MaxKey+1)
}

// InitialTable returns a table that divides all keys evenly among the members that may receive keys.
func InitialTable(pool string, nextFence int64, members []Member) *Table {
	receivers := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.MayReceive })
	t := &Table{Pool: pool, NextFence: max(1, nextFence)}
	for i, m := range receivers {
		s := Slice{From: i * (MaxKey + 1) / len(receivers), To: (i+1)*(MaxKey+1)/len(receivers) - 1, Owner: m.ID, OwnerStarted: m.Started, Fence: t.NextFence}
		t.NextFence++
		t.Slices = append(t.Slices, s)
	}
	return t
}

// planner holds the state of one plan.
type planner struct {
	table   *Table
	load    *Load
	members map[string]*memberLoad
	// progress returns the progress of a slice of the table before the plan, by the slice's fence.
	progress func(fence int64) Progress
	// firstNewFence is the lowest fence that this plan assigns.
	firstNewFence int64
	moves         []Move
}

// Plan returns the table after the moves that are due, and these moves. It reassigns the slices of owners that are lost or must
// give up their keys. If balance is set, it also gives keys to members without any and spreads hot ranges of neighbouring keys.
func Plan(t *Table, members []Member, load Load, progress func(fence int64) Progress, balance bool) (*Table, []Move) {
	p := &planner{table: t.Clone(), load: &load, members: map[string]*memberLoad{}, progress: progress, firstNewFence: t.NextFence}
	for i := range members {
		p.members[members[i].ID] = &memberLoad{member: &members[i]}
	}
	for _, s := range t.Slices {
		if m := p.members[s.Owner]; m != nil {
			m.rate += load.rate(s.From, s.To)
			m.width += s.Width()
		}
	}
	p.reassignSlices()
	if balance {
		p.fillEmptyMembers()
		p.rebalance()
	}
	return p.table, p.moves
}

// reassignSlices assigns the slices of lost, leaving and restarted owners to members that may own them.
func (p *planner) reassignSlices() {
	for _, s := range slices.Clone(p.table.Slices) {
		owner := p.members[s.Owner]
		if owner != nil && owner.member.MayKeep && owner.member.Started == s.OwnerStarted {
			continue
		}
		progress := p.progress(s.Fence)
		if progress == Uncertain {
			continue
		}
		to := owner
		if owner == nil || !owner.member.MayKeep || !owner.member.MayReceive {
			to = p.leastUtilized(nil)
		}
		if to == nil {
			continue
		}
		if progress == Waiting {
			p.table.ReplaceOwner(s.From, to.member.ID, to.member.Started)
			p.moves = append(p.moves, Move{From: s.From, To: s.To, Owner: to.member.ID, Started: to.member.Started})
			continue
		}
		p.move(s.From, s.To, to)
	}
}

// movable reports whether a slice may be moved to balance the load.
func (p *planner) movable(s *Slice) bool {
	return s.Fence < p.firstNewFence && p.progress(s.Fence) == Settled
}

// leastUtilized returns the member with the lowest utilization among those that may receive keys.
func (p *planner) leastUtilized(except map[*memberLoad]bool) *memberLoad {
	return p.extremeUtilization(func(m *memberLoad) bool { return m.member.MayReceive && !except[m] }, -1)
}

// mostUtilized returns the member with the highest utilization among those whose keys can be divided.
func (p *planner) mostUtilized(except map[*memberLoad]bool) *memberLoad {
	return p.extremeUtilization(func(m *memberLoad) bool { return m.width > 1 && !except[m] }, 1)
}

// extremeUtilization returns the member with the highest utilization if sign is 1, or with the lowest if sign is -1.
func (p *planner) extremeUtilization(ok func(*memberLoad) bool, sign float64) *memberLoad {
	var best *memberLoad
	for _, m := range p.members {
		if !ok(m) {
			continue
		}
		if best == nil {
			best = m
			continue
		}
		order := cmp.Or(cmp.Compare(sign*m.utilization(), sign*best.utilization()), cmp.Compare(best.member.ID, m.member.ID))
		if order > 0 {
			best = m
		}
	}
	return best
}

// move assigns a range of keys to a member and updates the loads of both members.
func (p *planner) move(from, to int, m *memberLoad) {
	i := sort.Search(len(p.table.Slices), func(i int) bool { return p.table.Slices[i].To >= from })
	rate := p.load.rate(from, to)
	if old := p.members[p.table.Slices[i].Owner]; old != nil {
		old.rate -= rate
		old.width -= to - from + 1
	}
	m.rate += rate
	m.width += to - from + 1
	p.table.Move(from, to, m.member.ID, m.member.Started)
	p.moves = append(p.moves, Move{From: from, To: to, Owner: m.member.ID, Started: m.member.Started})
}

// fillEmptyMembers gives members without keys a part of the load of the most utilized member.
func (p *planner) fillEmptyMembers() {
	for _, m := range p.sortedMembers() {
		if m.width > 0 || !m.member.MayReceive {
			continue
		}
		if from := p.mostUtilized(map[*memberLoad]bool{m: true}); from != nil {
			p.equalize(from, m)
		}
	}
}

// sortedMembers returns the members sorted by ID.
func (p *planner) sortedMembers() []*memberLoad {
	list := make([]*memberLoad, 0, len(p.members))
	for _, m := range p.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *memberLoad) int { return cmp.Compare(a.member.ID, b.member.ID) })
	return list
}

// rebalance moves load from the most to the least utilized members. A hot range is split into as many parts as it takes to keep
// the utilization of their owners below goalUtilization, because keys become hot within a second and stay hot for a few seconds.
func (p *planner) rebalance() {
	if len(p.load.Keys) < minSamples {
		return
	}
	budget := moveBudget{regular: maxBalanceMoves, spread: len(p.members) / membersPerSpreadMove, overloaded: map[*memberLoad]bool{}}
	for _, m := range p.members {
		budget.overloaded[m] = m.utilization() > overloadedUtilization
	}
	done := map[*memberLoad]bool{}
	for {
		source, dest := p.mostUtilized(done), p.leastUtilized(done)
		if source == nil || dest == nil || source == dest || !worthMoving(source, dest) {
			return
		}
		if !budget.allows(source) || !p.offload(source, dest) {
			// No more load of this member can be moved in this plan.
			done[source] = true
			continue
		}
		budget.spend(source)
		if dest.utilization() > spareUtilization {
			done[dest] = true
		}
	}
}

// worthMoving reports whether the utilizations of two members justify a move between them.
func worthMoving(source, dest *memberLoad) bool {
	return source.utilization() >= hotUtilization && dest.utilization() <= spareUtilization && source.utilization()-dest.utilization() >= minUtilizationGap
}

// moveBudget is the remaining number of balancing moves in a plan.
type moveBudget struct {
	// regular counts the moves for any member. spread counts the additional moves for overloaded members.
	regular, spread int
	// overloaded holds the members whose keys are spread immediately.
	overloaded map[*memberLoad]bool
}

func (budget *moveBudget) allows(source *memberLoad) bool {
	return budget.regular > 0 || budget.overloaded[source] && budget.spread > 0
}

func (budget *moveBudget) spend(source *memberLoad) {
	if budget.overloaded[source] && budget.spread > 0 {
		budget.spread--
		return
	}
	budget.regular--
}

// offload moves the narrowest range with as much load as dest can take from source. It returns false if nothing was moved.
func (p *planner) offload(source, dest *memberLoad) bool {
	goal := max(goalUtilization, p.meanUtilization())
	excess := min(source.rate-goal*source.member.Capacity, goal*dest.member.Capacity-dest.rate)
	samples := int(excess * p.load.Seconds)
	if samples < 1 {
		return false
	}
	from, to, ok := p.narrowestRange(source, samples)
	if ok {
		p.move(from, to, dest)
	}
	return ok
}

// equalize moves the narrowest range that equalizes the utilization of two members. Without enough samples it moves half of a
// slice.
func (p *planner) equalize(source, dest *memberLoad) {
	total := source.member.Capacity + dest.member.Capacity
	excess := (source.rate*dest.member.Capacity - dest.rate*source.member.Capacity) / max(total, 0.001)
	samples := int(excess * p.load.Seconds)
	if samples < 1 {
		p.moveHalf(source, dest)
		return
	}
	if from, to, ok := p.narrowestRange(source, samples); ok {
		p.move(from, to, dest)
	}
}

// meanUtilization returns the utilization of the capacity of all members together.
func (p *planner) meanUtilization() float64 {
	rate, capacity := 0.0, 0.0
	for _, m := range p.members {
		rate += m.rate
		capacity += m.member.Capacity
	}
	return rate / max(capacity, 0.001)
}

// moveHalf moves the upper half of the widest slice of source to dest.
func (p *planner) moveHalf(source, dest *memberLoad) {
	var widest *Slice
	for i := range p.table.Slices {
		s := &p.table.Slices[i]
		if s.Owner == source.member.ID && p.movable(s) && s.Width() > 1 && (widest == nil || s.Width() > widest.Width()) {
			widest = s
		}
	}
	if widest != nil {
		p.move(widest.From+widest.Width()/2, widest.To, dest)
	}
}

// narrowestRange returns the narrowest range of a member's keys that holds the given number of samples. If no slice holds as
// many, the range is taken from the slice with the most samples. Ranges with far more samples than wanted, because a key at
// their end is busy, are considered last.
func (p *planner) narrowestRange(m *memberLoad, samples int) (from, to int, ok bool) {
	best, most := candidateRange{}, 0
	for _, s := range p.table.Slices {
		if s.Owner != m.member.ID || !p.movable(&s) {
			continue
		}
		low, high := p.load.sampleIndexes(s.From, s.To)
		n := min(samples, high-low)
		if n < most || n == 0 {
			continue
		}
		if n > most {
			best, most = candidateRange{}, n
		}
		for i := low; i+n <= high; i++ {
			if i > low && p.load.Keys[i] == p.load.Keys[i-1] {
				continue
			}
			if c := p.load.candidateAt(i, n); best.samples == 0 || c.betterThan(best) {
				best = c
			}
		}
	}
	if best.samples == 0 {
		return 0, 0, false
	}
	// The requests for a single key can't be divided. Moving the key would only move the overload to another member.
	if best.from == best.to && m.rate > 0 && p.load.rate(best.from, best.to) >= m.rate*0.9 {
		return 0, 0, false
	}
	return best.from, best.to, true
}

// candidateRange is a range of keys that may be moved.
type candidateRange struct {
	from, to int
	// samples is the number of requests in the range. oversized is set if that is far more than wanted.
	samples   int
	oversized bool
}

// candidateAt returns the narrowest range that holds n samples from index i on, and all further samples of its last key.
func (l *Load) candidateAt(i, n int) candidateRange {
	c := candidateRange{from: l.Keys[i], to: l.Keys[i+n-1], samples: n}
	for j := i + n; j < len(l.Keys) && l.Keys[j] == c.to; j++ {
		c.samples++
	}
	c.oversized = float64(c.samples) > maxRangeExcess*float64(n)
	return c
}

// betterThan reports whether c is preferred over o.
func (c candidateRange) betterThan(o candidateRange) bool {
	if c.oversized != o.oversized {
		return o.oversized
	}
	return c.to-c.from < o.to-o.from
}
