package placing

import (
	"cmp"
	"math"
	"slices"
)

const (
	// servedDecay is the factor by which the part of an organisation in the requests placed decays with each of them.
	servedDecay = 0.98
	// minServedCount is the number of placed requests from which on the parts are used.
	minServedCount = 20
)

// An organisation that sends several times its usual load must not take what the others get of an overloaded pool. Within one priority,
// the waiting requests of a queue are therefore served in the order of start-time fair queueing: each organisation's next request starts
// one step after its previous one, or at the present step if it had none waiting. While several organisations want more than there is,
// each gets the same number of requests served, and what one doesn't use goes to the others. The place in the queue also decides about
// admission, so that the requests refused are those of the organisation that sends too much.

// fairClass is the state of the organisations that wait in one queue with one priority. It is kept while the queue isn't empty.
type fairClass struct {
	// step is that of the request that was placed last.
	step int64
	// next is the step of each organisation's next request.
	next map[string]int64
	// placed counts the requests placed, and served holds each organisation's part in the last ones.
	placed int
	served map[string]servedPart
}

// servedPart is a decaying count of an organisation's placed requests as of the given number of all.
type servedPart struct {
	count float64
	at    int
}

func (p servedPart) decayed(placed int) float64 {
	return p.count * math.Pow(servedDecay, float64(placed-p.at))
}

// part returns the part of the capacity that an organisation can expect: what it got of the last requests placed, but at least an equal
// share.
func (c *fairClass) part(organisation string) float64 {
	got := c.served[organisation].decayed(c.placed) * (1 - servedDecay) / (1 - math.Pow(servedDecay, float64(c.placed)))
	return max(got, 1/float64(max(1, len(c.next))))
}

// fairQueues holds the classes of each queue by priority.
type fairQueues map[queueID]map[int]*fairClass

// class returns the class of a waiting request, nil if it has none.
func (f fairQueues) class(w *waiter) *fairClass {
	return f[w.queue][w.Priority]
}

func (f fairQueues) ensureClass(w *waiter) *fairClass {
	if c := f.class(w); c != nil {
		return c
	}
	if f[w.queue] == nil {
		f[w.queue] = map[int]*fairClass{}
	}
	c := &fairClass{next: map[string]int64{}, served: map[string]servedPart{}}
	f[w.queue][w.Priority] = c
	return c
}

// sharesFairly reports whether pools are divided among organisations.
func (b *Broker) sharesFairly() bool {
	return len(b.snapshot.Configuration.Organisations) > 0
}

// takeStep gives a request its step before it is put into its queue. One that was in the queue before keeps it, unless the
// steps have ended because it was the only one. A request that finds the queue empty needs none.
func (b *Broker) takeStep(w *waiter) {
	if !b.sharesFairly() || w.stepQueue == w.queue && w.hasStep && b.fair.class(w) != nil {
		return
	}
	if c := b.fair[w.stepQueue][w.Priority]; c != nil && w.hasStep {
		c.next[w.Organisation]--
	}
	w.step, w.hasStep, w.stepQueue = 0, false, w.queue
	if len(b.queues[w.queue]) == 0 {
		return
	}
	c := b.fair.ensureClass(w)
	w.step, w.hasStep = max(c.step, c.next[w.Organisation]), true
	c.next[w.Organisation] = w.step + 1
}

// orderOwn puts the waiting requests of one organisation and class into their order among themselves, in the places that they have
// together: fairness decides between organisations only.
func (b *Broker) orderOwn(w *waiter) {
	if !w.hasStep {
		return
	}
	q := b.queues[w.queue]
	var places []int
	for i, other := range q {
		if other.Priority == w.Priority && other.late == w.late && other.Organisation == w.Organisation {
			places = append(places, i)
		}
	}
	own, steps := make([]*waiter, len(places)), make([]int64, len(places))
	for i, place := range places {
		own[i], steps[i] = q[place], q[place].step
	}
	slices.SortStableFunc(own, func(x, y *waiter) int { return cmp.Compare(x.order, y.order) })
	for i, place := range places {
		q[place], own[i].step = own[i], steps[i]
	}
}

// noteServed advances the class of a request that is placed.
func (b *Broker) noteServed(w *waiter) {
	if c := b.fair.class(w); c != nil {
		c.step = max(c.step, w.step)
		c.placed++
		c.served[w.Organisation] = servedPart{c.served[w.Organisation].decayed(c.placed) + 1, c.placed}
	}
}

// returnStep gives back the step of a request that leaves its queue without having been placed. The last one of its organisation is
// returned, since steps count requests.
func (b *Broker) returnStep(w *waiter) {
	if c := b.fair.class(w); c != nil && w.hasStep {
		c.next[w.Organisation]--
	}
}

// expectedAhead returns how many requests will be placed before the one at a place of its queue. Those of other organisations that arrive
// later may be placed first: an organisation that gets a quarter of the capacity waits four times as long as its own requests take.
func (b *Broker) expectedAhead(w *waiter, place int) int {
	c := b.fair.class(w)
	if c == nil || c.placed < minServedCount {
		return place
	}
	own := 0
	for _, other := range b.queues[w.queue][:place] {
		if other.Organisation == w.Organisation && other.Priority == w.Priority {
			own++
		}
	}
	return max(place, int(float64(own)/c.part(w.Organisation)))
}
