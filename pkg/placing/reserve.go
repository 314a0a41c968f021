package placing

import "github.com/bronzelever/bronzelever/pkg/clock"

// The load pattern is an owner of keys that answers long requests beside short urgent ones, which nobody else may answer. An urgent
// request is placed first, but only when a slot is released; if the long ones hold all slots, that may take longer than its objective.
const (
	// minUrgentShare is the part that urgent requests must have among the answers of their pool for anything to be kept free for them.
	minUrgentShare = 0.02
	// shortWorkRatio is how many times as long as an urgent request a less urgent one must take to leave room for it.
	shortWorkRatio = 2
)

// reserve determines how many of an owner's places, its slots and keyedExtraSlots, a less urgent request leaves free.
//
// It always leaves the extra place: there, it would be executed one message delay earlier, while an urgent request that arrives next would
// be executed after it. It also leaves a slot if that is worth more than it costs: with all slots held by requests like it, an urgent one
// takes a part of the service time until a slot is released, and its own service time. If that is beyond its objective, a free slot is a
// gain, as long as urgent requests are numerous compared with the cost, which is one of the owner's slots for the others.
func (b *Broker) reserve(w *waiter, ps *poolState, now clock.Instant) {
	w.leavesFree = 0
	if len(ps.targets) != 1 || !b.keyed(w.Pool) {
		return
	}
	pool, rank, l := b.kindsOf(w.Pool), rankOf(w.Priority), ps.targets[0]
	if pool == nil || !pool.distinguished {
		return
	}
	own := pool.find(rank)
	if own == nil {
		return
	}
	slots := float64(l.target.Slots)
	service := l.serviceTime.Seconds() * l.currentSlowdown(now)
	for _, urgent := range pool.list {
		if urgent.rank >= rank || urgent.share < minUrgentShare || urgent.work*shortWorkRatio > own.work {
			continue
		}
		w.leavesFree = max(w.leavesFree, keyedExtraSlots)
		latency := service * (pool.factor(rank)/slots + pool.factor(urgent.rank))
		objective := pool.objectives[urgent.rank]
		if objective > 0 && latency*min(1, urgent.share*slots) > objective.Seconds() {
			w.leavesFree = keyedExtraSlots + 1
		}
	}
	// At least one place is left for the request itself.
	w.leavesFree = int8(min(int(w.leavesFree), l.target.Slots+keyedExtraSlots-1))
}

// yields reports whether a waiting request must leave the free places of its owner to more urgent ones.
func (b *Broker) yields(w *waiter, ps *poolState, now clock.Instant) bool {
	b.reserve(w, ps, now)
	if w.leavesFree == 0 {
		return false
	}
	l := ps.targets[0]
	return l.busy(now) >= l.target.Slots+keyedExtraSlots-int(w.leavesFree)
}

// usableSlots returns the number of free slots that a waiting request may take. It is negative while more urgent requests hold the slots
// that the waiting one must leave free.
func (w *waiter) usableSlots(free int) int {
	return free - max(0, int(w.leavesFree)-keyedExtraSlots)
}
