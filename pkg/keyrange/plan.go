package keyrange

import (
	"cmp"
	"slices"
	"sort"
)

const (
	// maxBalanceMoves bounds the load moves of one plan, so that each plan sees the effect of the one before. Each move makes its
	// keys wait for some 100 ms.
	maxBalanceMoves = 4
	// glowingUtilization is the use of a target's capacity above which its keys are spread at once, with moves beyond
	// maxBalanceMoves: one for each membersPerMove targets. With four moves a plan, 430 requests a second on 200 keys of 483
	// targets were refused for as long as the keys were hot.
	glowingUtilization = 3
	membersPerMove     = 8
	// hotUtilization is the use of a target's capacity above which requests queue noticeably.
	hotUtilization = 1.1
	// spareUtilization is the use of a target's capacity below which it can take load from others. While all targets are
	// busy, moves only cost.
	spareUtilization = 0.65
	// fillUtilization is the use up to which moves fill a target, and down to which they relieve a hot one.
	fillUtilization = 0.7
	// maxPieceExcess is how many times more load than wanted a piece may carry, since keys can't be divided.
	maxPieceExcess = 1.5
	// minGap is the difference of utilization that is worth a move.
	minGap = 0.3
	// widthWeight makes wide ranges count a little where nothing is requested.
	widthWeight = 0.02
	// minSamples is the number of recent requests below which the load says nothing.
	minSamples = 10
)

// Member is a target as the plan sees it.
type Member struct {
	ID      string
	Started int64
	// Capacity is the number of requests a second that the target can carry.
	Capacity float64
	// Keeps tells that the target may keep its keys.
	Keeps bool
	// Takes tells that the target may receive keys.
	Takes bool
}

// Load is a sample of the requested keys.
type Load struct {
	// Keys are sorted, one for each request in the window.
	Keys []int
	// Seconds is the length of the window.
	Seconds float64
}

// rate returns the requests a second on a range of keys.
func (l *Load) rate(from, to int) float64 {
	if l.Seconds <= 0 {
		return 0
	}
	low, high := l.span(from, to)
	return float64(high-low) / l.Seconds
}

// span returns the indexes of the samples inside a range.
func (l *Load) span(from, to int) (low, high int) {
	return sort.SearchInts(l.Keys, from), sort.SearchInts(l.Keys, to+1)
}

// Move gives keys to another owner.
type Move struct {
	From, To int
	Owner    string
	Started  int64
}

// Progress tells how far the last move of a slice has come.
type Progress int

const (
	// Settled means that the owner has its keys and no earlier owner can have them.
	Settled Progress = iota
	// Offered means that no earlier owner can have the keys, but the owner may not have them yet.
	Offered
	// Waiting means that the owner was offered nothing yet, because an earlier owner may still have the keys.
	Waiting
	// Uncertain means that the owner and an earlier one may have the keys.
	Uncertain
)

// usage is the load of one member while a plan is made.
type usage struct {
	member *Member
	rate   float64
	width  int
}

func (u *usage) utilization() float64 {
	return u.rate/max(u.member.Capacity, 0.001) + widthWeight*float64(u.width)/(MaxKey+1)
}

// Initial divides all keys evenly among the members that may receive keys.
func Initial(pool string, nextFence int64, members []Member) *Table {
	takers := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.Takes })
	t := &Table{Pool: pool, NextFence: max(1, nextFence)}
	for i, m := range takers {
		s := Slice{From: i * (MaxKey + 1) / len(takers), To: (i+1)*(MaxKey+1)/len(takers) - 1, Owner: m.ID, OwnerStarted: m.Started, Fence: t.NextFence}
		t.NextFence++
		t.Slices = append(t.Slices, s)
	}
	return t
}

// planner holds the state of one plan.
type planner struct {
	table   *Table
	load    *Load
	members map[string]*usage
	// progress tells about the slices of the table before the plan, by their fence.
	progress func(fence int64) Progress
	// firstNewFence is the lowest fence that this plan gives.
	firstNewFence int64
	moves         []Move
}

// Plan returns the moves that are due and the table after them. balance permits moves that only even out the load. It
// answers three loads: owners that are lost or leave, newcomers without keys, and hot ranges of neighbouring keys.
func Plan(t *Table, members []Member, load Load, progress func(fence int64) Progress, balance bool) (*Table, []Move) {
	p := &planner{table: t.Clone(), load: &load, members: map[string]*usage{}, progress: progress, firstNewFence: t.NextFence}
	for i := range members {
		p.members[members[i].ID] = &usage{member: &members[i]}
	}
	for _, s := range t.Slices {
		if u := p.members[s.Owner]; u != nil {
			u.rate += load.rate(s.From, s.To)
			u.width += s.Width()
		}
	}
	p.replaceOwners()
	if balance {
		p.feedNewcomers()
		p.evenOut()
	}
	return p.table, p.moves
}

// replaceOwners gives the slices of lost, leaving and restarted owners to others.
func (p *planner) replaceOwners() {
	for _, s := range slices.Clone(p.table.Slices) {
		owner := p.members[s.Owner]
		if owner != nil && owner.member.Keeps && owner.member.Started == s.OwnerStarted {
			continue
		}
		progress := p.progress(s.Fence)
		if progress == Uncertain {
			continue
		}
		to := owner
		if owner == nil || !owner.member.Keeps || !owner.member.Takes {
			to = p.coldest(nil)
		}
		if to == nil {
			continue
		}
		if progress == Waiting {
			p.table.Retarget(s.From, to.member.ID, to.member.Started)
			p.moves = append(p.moves, Move{From: s.From, To: s.To, Owner: to.member.ID, Started: to.member.Started})
			continue
		}
		p.move(s.From, s.To, to)
	}
}

// movable tells whether a slice may be moved for its load.
func (p *planner) movable(s *Slice) bool {
	return s.Fence < p.firstNewFence && p.progress(s.Fence) == Settled
}

// coldest returns the member that may receive keys and has the lowest utilization.
func (p *planner) coldest(except map[*usage]bool) *usage {
	return p.extreme(func(u *usage) bool { return u.member.Takes && !except[u] }, -1)
}

func (p *planner) hottest(except map[*usage]bool) *usage {
	return p.extreme(func(u *usage) bool { return u.width > 1 && !except[u] }, 1)
}

// extreme returns the member with the highest utilization for sign 1, with the lowest for sign -1.
func (p *planner) extreme(ok func(*usage) bool, sign float64) *usage {
	var best *usage
	for _, u := range p.members {
		if !ok(u) {
			continue
		}
		if best == nil {
			best = u
			continue
		}
		order := cmp.Or(cmp.Compare(sign*u.utilization(), sign*best.utilization()), cmp.Compare(best.member.ID, u.member.ID))
		if order > 0 {
			best = u
		}
	}
	return best
}

func (p *planner) move(from, to int, u *usage) {
	i := sort.Search(len(p.table.Slices), func(i int) bool { return p.table.Slices[i].To >= from })
	rate := p.load.rate(from, to)
	if old := p.members[p.table.Slices[i].Owner]; old != nil {
		old.rate -= rate
		old.width -= to - from + 1
	}
	u.rate += rate
	u.width += to - from + 1
	p.table.Move(from, to, u.member.ID, u.member.Started)
	p.moves = append(p.moves, Move{From: from, To: to, Owner: u.member.ID, Started: u.member.Started})
}

// feedNewcomers gives members without keys a part of the hottest ones' load.
func (p *planner) feedNewcomers() {
	for _, u := range p.sorted() {
		if u.width > 0 || !u.member.Takes {
			continue
		}
		if from := p.hottest(map[*usage]bool{u: true}); from != nil {
			p.share(from, u)
		}
	}
}

func (p *planner) sorted() []*usage {
	list := make([]*usage, 0, len(p.members))
	for _, u := range p.members {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *usage) int { return cmp.Compare(a.member.ID, b.member.ID) })
	return list
}

// evenOut moves load from the hottest members to the coldest ones. A hot range is cut into as many pieces as it takes to keep
// their owners below fillUtilization, since keys become hot within a second and stay so for a few.
func (p *planner) evenOut() {
	if len(p.load.Keys) < minSamples {
		return
	}
	q := quota{usual: maxBalanceMoves, spread: len(p.members) / membersPerMove, glowing: map[*usage]bool{}}
	for _, u := range p.members {
		q.glowing[u] = u.utilization() > glowingUtilization
	}
	done := map[*usage]bool{}
	for {
		hot, cold := p.hottest(done), p.coldest(done)
		if hot == nil || cold == nil || hot == cold || !worthMoving(hot, cold) {
			return
		}
		if !q.permits(hot) || !p.relieve(hot, cold) {
			// Nothing more of its load can be moved in this plan.
			done[hot] = true
			continue
		}
		q.use(hot)
		if cold.utilization() > spareUtilization {
			done[cold] = true
		}
	}
}

func worthMoving(hot, cold *usage) bool {
	return hot.utilization() >= hotUtilization && cold.utilization() <= spareUtilization && hot.utilization()-cold.utilization() >= minGap
}

// quota is what is left of the load moves of one plan.
type quota struct {
	usual, spread int
	// glowing are the members whose keys are spread at once.
	glowing map[*usage]bool
}

func (q *quota) permits(hot *usage) bool {
	return q.usual > 0 || q.glowing[hot] && q.spread > 0
}

func (q *quota) use(hot *usage) {
	if q.glowing[hot] && q.spread > 0 {
		q.spread--
		return
	}
	q.usual--
}

// relieve moves the narrowest range that a cold member can take from a hot one. It returns false if nothing was moved.
func (p *planner) relieve(hot, cold *usage) bool {
	fill := max(fillUtilization, p.meanUtilization())
	excess := min(hot.rate-fill*hot.member.Capacity, fill*cold.member.Capacity-cold.rate)
	samples := int(excess * p.load.Seconds)
	if samples < 1 {
		return false
	}
	from, to, ok := p.narrowest(hot, samples)
	if ok {
		p.move(from, to, cold)
	}
	return ok
}

// share moves the narrowest range that evens out two members.
func (p *planner) share(hot, cold *usage) {
	total := hot.member.Capacity + cold.member.Capacity
	excess := (hot.rate*cold.member.Capacity - cold.rate*hot.member.Capacity) / max(total, 0.001)
	samples := int(excess * p.load.Seconds)
	if samples < 1 {
		p.halve(hot, cold)
		return
	}
	if from, to, ok := p.narrowest(hot, samples); ok {
		p.move(from, to, cold)
	}
}

// meanUtilization is the use of all members' capacity together.
func (p *planner) meanUtilization() float64 {
	rate, capacity := 0.0, 0.0
	for _, u := range p.members {
		rate += u.rate
		capacity += u.member.Capacity
	}
	return rate / max(capacity, 0.001)
}

// halve moves the upper half of the widest slice.
func (p *planner) halve(hot, cold *usage) {
	var widest *Slice
	for i := range p.table.Slices {
		s := &p.table.Slices[i]
		if s.Owner == hot.member.ID && p.movable(s) && s.Width() > 1 && (widest == nil || s.Width() > widest.Width()) {
			widest = s
		}
	}
	if widest != nil {
		p.move(widest.From+widest.Width()/2, widest.To, cold)
	}
}

// narrowest returns the smallest range of a member's keys that holds a number of samples, or the slice with the most
// samples if none holds as many. Ranges with far more samples than wanted, because a key at their ends is a busy one, come last.
func (p *planner) narrowest(u *usage, samples int) (from, to int, ok bool) {
	best, most := piece{}, 0
	for _, s := range p.table.Slices {
		if s.Owner != u.member.ID || !p.movable(&s) {
			continue
		}
		low, high := p.load.span(s.From, s.To)
		n := min(samples, high-low)
		if n < most || n == 0 {
			continue
		}
		if n > most {
			best, most = piece{}, n
		}
		for i := low; i+n <= high; i++ {
			if i > low && p.load.Keys[i] == p.load.Keys[i-1] {
				continue
			}
			if c := p.load.piece(i, n); best.samples == 0 || c.better(best) {
				best = c
			}
		}
	}
	if best.samples == 0 {
		return 0, 0, false
	}
	// All requests on one key can't be divided: moving them only moves the problem.
	if best.from == best.to && u.rate > 0 && p.load.rate(best.from, best.to) >= u.rate*0.9 {
		return 0, 0, false
	}
	return best.from, best.to, true
}

// piece is a range of keys that may be moved.
type piece struct {
	from, to int
	// samples is the number of requests in it; heavy tells that they are far more than wanted.
	samples int
	heavy   bool
}

// piece returns the range of the samples from index i on that holds at least n of them.
func (l *Load) piece(i, n int) piece {
	c := piece{from: l.Keys[i], to: l.Keys[i+n-1], samples: n}
	for j := i + n; j < len(l.Keys) && l.Keys[j] == c.to; j++ {
		c.samples++
	}
	c.heavy = float64(c.samples) > maxPieceExcess*float64(n)
	return c
}

// better tells whether a piece is to be preferred.
func (c piece) better(o piece) bool {
	if c.heavy != o.heavy {
		return o.heavy
	}
	return c.to-c.from < o.to-o.from
}
