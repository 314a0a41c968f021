package sharedrate

import (
	"cmp"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// buckets are the token buckets of one user, by organisation or any other name. A bucket that isn't kept has what it would have if it
// had never been used.
type buckets struct {
	supply *supply
	// capacity returns the size of a bucket at a level, in requests.
	capacity func(l Limit, level float64) float64
	// initial is what a bucket has when the supply begins.
	initial float64
	entries map[string]*bucket
	// sweepAt is the number of entries at which the full ones are dropped.
	sweepAt int
}

// minSweep is the minimum number of buckets before full ones are dropped.
const minSweep = 64

type bucket struct {
	limit  Limit
	tokens float64
	// gained is the supply's integral up to which tokens includes the refill.
	gained float64
	// start is what the bucket began with, after idleChanges of the supply.
	start       float64
	idleChanges int
	// promised is the time until which refused callers were told to return.
	promised clock.Instant
	// taken counts the tokens taken since the bucket was created.
	taken int64
}

func newBuckets(s *supply, initial float64, capacity func(l Limit, level float64) float64) buckets {
	return buckets{supply: s, capacity: capacity, initial: initial, entries: map[string]*bucket{}, sweepAt: minSweep}
}

// get returns the refilled bucket. The supply must have been advanced.
func (b *buckets) get(name string, l Limit) *bucket {
	e := b.entries[name]
	if e == nil {
		b.sweep()
		start := b.start(l)
		e = &bucket{limit: l, tokens: start, start: start, idleChanges: b.supply.idleChanges}
		b.entries[name] = e
	}
	b.refill(e, l)
	return e
}

// start returns what a bucket begins with: the initial tokens or, if that is more, those of the time in which nobody used the fraction.
func (b *buckets) start(l Limit) float64 {
	if len(b.supply.idle) == 0 {
		return b.initial
	}
	return max(b.initial, b.supply.idleTokens(l))
}

// updateStart updates what a bucket began with, and returns the tokens that this adds. After a change of the limit it adds none.
func (b *buckets) updateStart(e *bucket, l Limit) float64 {
	if e.idleChanges == b.supply.idleChanges && e.limit == l {
		return 0
	}
	before := e.start
	e.start, e.idleChanges = b.start(l), b.supply.idleChanges
	if e.limit != l {
		return 0
	}
	return e.start - before
}

// refill brings a bucket up to date. A limit that has changed counts from now on only where it is higher.
func (b *buckets) refill(e *bucket, l Limit) {
	rate := min(e.limit.Rate, l.Rate)
	tokens := e.tokens + rate*(b.supply.gained-e.gained) + b.updateStart(e, l)
	for i := len(b.supply.dips) - 1; i >= 0 && b.supply.dips[i].gained >= e.gained; i-- {
		d := b.supply.dips[i]
		tokens = min(tokens, b.atDip(e, l, d)+rate*(b.supply.gained-d.gained))
	}
	e.tokens = min(tokens, b.capacity(l, b.supply.level))
	e.gained, e.limit = b.supply.gained, l
}

// atDip returns the most that a bucket had at a dip.
func (b *buckets) atDip(e *bucket, l Limit, d dip) float64 {
	if d == (dip{}) {
		return e.start
	}
	return b.capacity(l, d.level)
}

// sweep drops the full buckets once there are many.
func (b *buckets) sweep() {
	if len(b.entries) < b.sweepAt {
		return
	}
	for name, e := range b.entries {
		b.refill(e, e.limit)
		if e.tokens >= b.capacity(e.limit, b.supply.level) {
			delete(b.entries, name)
		}
	}
	b.sweepAt = max(minSweep, 2*len(b.entries))
}

// refuse returns when a refused caller should return: when there will be a token for it after those for the callers that were
// refused before.
func (b *buckets) refuse(e *bucket, now clock.Instant) time.Duration {
	rate := e.limit.Rate * b.supply.level
	if rate <= 0 {
		return noShareRetryTime
	}
	first := now.Add(seconds((1 - e.tokens) / rate))
	interval := seconds(1 / rate)
	at := max(first, e.promised.Add(interval))
	if at.Sub(now) > max(maxPromiseTime, 4*interval) {
		at = first
	}
	e.promised = at
	return max(at.Sub(now), minRetryTime)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

// Use is how much of its limit an organisation uses, as shown to operators.
type Use struct {
	Name string `json:"name"`
	// Taken counts the tokens taken here since the bucket was created. Tokens are those left.
	Taken  int64   `json:"taken"`
	Tokens float64 `json:"tokens"`
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
}

// top returns the buckets with the least tokens relative to their size first, at most count.
func (b *buckets) top(count int) []Use {
	if count == 0 {
		return nil
	}
	uses := make([]Use, 0, len(b.entries))
	for name, e := range b.entries {
		b.refill(e, e.limit)
		uses = append(uses, Use{Name: name, Taken: e.taken, Tokens: e.tokens, Rate: e.limit.Rate, Burst: e.limit.Burst})
	}
	left := func(u Use) float64 { return u.Tokens / max(1, b.capacity(Limit{u.Rate, u.Burst}, b.supply.level)) }
	slices.SortFunc(uses, func(x, y Use) int { return cmp.Or(cmp.Compare(left(x), left(y)), cmp.Compare(x.Name, y.Name)) })
	return uses[:min(count, len(uses))]
}
