package placing

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// market is the state, at one moment, of the targets that some waiters of a queue may use. The waiters of a long queue share it,
// since looking at all targets for each of them took more than a core on a site with 140 targets in a pool.
type market struct {
	candidates []*load
	// service is the shortest usual service time.
	service time.Duration
	// fastest, free and rate are what a forecast needs: the shortest service time now, the free places and the requests that
	// the targets answer each second.
	fastest time.Duration
	free    int
	rate    float64
	// place tells that some target may get a request now.
	place bool
	// domains are the best targets of each failure domain. What a target costs a waiter beside its own latency depends on its
	// domain only.
	domains []domainMarket
}

// domainMarket is a market's part in one failure domain.
type domainMarket struct {
	name string
	// free is the target with a place that is likely to answer first, in freeIn; nil if none has one.
	free   *load
	freeIn time.Duration
	// fastestIn is the shortest time in which a target is likely to answer, whether it has a place or not.
	fastestIn time.Duration
}

// surveyFor returns the state of a waiter's targets.
func (b *Broker) surveyFor(w *waiter, now clock.Instant) *market {
	return b.survey(b.candidates(w, now), now, b.viewOf(w, w.closed, now))
}

// viewOf returns how the targets look to a waiter, with what they have told its VM or without it.
func (b *Broker) viewOf(w *waiter, closed bool, now clock.Instant) surveyView {
	view := surveyView{hasPlace: func(l *load) bool { return b.hasPlace(l, now) }}
	if w.suspected {
		// A suspect runs alone among suspects, so that a crash shows which one it was.
		view.hasPlace = func(l *load) bool { return b.hasPlace(l, now) && !b.suspects.SuspectAt(l.target.Life()) }
	}
	view.blockedUntil = func(l *load) clock.Instant { return l.blockedUntil }
	if closed {
		view.blockedUntil = func(l *load) clock.Instant { return max(l.blockedUntil, b.closings.until(l.target.Life(), w.machine)) }
	}
	return view
}

// surveyView is how the targets look to some waiters: whether each has a place, and until when it gets nothing.
type surveyView struct {
	hasPlace     func(*load) bool
	blockedUntil func(*load) clock.Instant
}

// survey returns the state of the given targets.
func (b *Broker) survey(candidates []*load, now clock.Instant, view surveyView) *market {
	b.surveyed += len(candidates)
	m := &market{candidates: candidates, service: impossible, fastest: impossible}
	for _, l := range candidates {
		place, until := view.hasPlace(l), view.blockedUntil(l)
		m.service = min(m.service, l.service)
		if now >= until && (now >= l.coldUntil || b.coldReady(l, now)) {
			m.offer(l, l.expected(now)+l.penalty(), place)
		}
		service := time.Duration(float64(l.service) * l.paceNow(now))
		if now < l.coldUntil {
			m.rate += b.coldRate(l)
			if b.coldReady(l, now) && place {
				m.free++
				m.place = m.place || now >= until
			}
			m.fastest = min(m.fastest, service)
			continue
		}
		blocked := until.Sub(now)
		if blocked > 0 {
			service += blocked
		}
		m.rate += float64(l.target.Slots) / service.Seconds()
		m.free += max(0, l.target.Slots-l.busy(now))
		m.place = m.place || blocked <= 0 && place
		m.fastest = min(m.fastest, service)
	}
	return m
}

// useful is the time that a waiter needs at least to be answered.
func (m *market) useful() time.Duration {
	if m.service == impossible {
		return time.Duration(minUseful * float64(initialService))
	}
	return time.Duration(minUseful * float64(m.service))
}

// offer notes that a target is likely to answer in a time.
func (m *market) offer(l *load, in time.Duration, place bool) {
	i := slices.IndexFunc(m.domains, func(d domainMarket) bool { return d.name == l.target.Domain })
	if i < 0 {
		i = len(m.domains)
		m.domains = append(m.domains, domainMarket{name: l.target.Domain, freeIn: impossible, fastestIn: impossible})
	}
	d := &m.domains[i]
	d.fastestIn = min(d.fastestIn, in)
	if place && in < d.freeIn {
		d.free, d.freeIn = l, in
	}
}

// markets are the surveys of one pass over a queue. They hold until a place is taken.
type markets struct {
	b     *Broker
	now   clock.Instant
	known []knownMarket
}

type knownMarket struct {
	homes  string
	market *market
}

// of returns the market of a waiter. Waiters that avoid a target and suspects have one of their own.
func (p *markets) of(w *waiter) *market {
	if w.special() {
		return p.b.surveyFor(w, p.now)
	}
	for _, k := range p.known {
		if k.homes == w.homes {
			return k.market
		}
	}
	m := p.b.survey(p.b.candidates(w, p.now), p.now, p.b.viewOf(w, false, p.now))
	p.known = append(p.known, knownMarket{w.homes, m})
	return m
}

func (p *markets) taken() {
	p.known = p.known[:0]
}

// groupID names the targets of a pool that requests with the same homes may use.
type groupID struct {
	pool  string
	homes string
}

func homesKey(homes []string) string {
	return strings.Join(homes, " ")
}

// group returns the targets of a pool for requests with a waiter's homes. It changes only with the snapshot.
func (b *Broker) group(w *waiter) []*load {
	id := groupID{w.Pool, w.homes}
	if list, ok := b.groups[id]; ok {
		return list
	}
	var list []*load
	for _, t := range b.snapshot.Pools[w.Pool] {
		if b.snapshot.Open(t) && b.atHome(w, t.ID) {
			list = append(list, b.loads[t.ID])
		}
	}
	b.groups[id] = list
	return list
}

// candidates returns the targets that may run a waiter's request.
func (b *Broker) candidates(w *waiter, now clock.Instant) []*load {
	if b.keyed(w.Pool) {
		l := b.loads[w.owner.Target]
		if w.owner.Pending || slices.Contains(w.Avoid, w.owner.Target) || !b.atHome(w, w.owner.Target) || !b.snapshot.Serves(l.target, now) {
			return nil
		}
		return []*load{l}
	}
	list := b.group(w)
	if len(w.Avoid) == 0 {
		return list
	}
	var rest []*load
	for _, l := range list {
		if !slices.Contains(w.Avoid, l.target.ID) {
			rest = append(rest, l)
		}
	}
	return rest
}

// atHome tells whether a target is in use and in one of the regions that may serve a waiter's request.
func (b *Broker) atHome(w *waiter, target string) bool {
	l := b.loads[target]
	if l == nil || b.snapshot.DomainsOut[l.target.Domain] {
		return false
	}
	return len(w.Homes) == 0 || slices.Contains(w.Homes, b.regionOf[l.target.Domain])
}

// forecast estimates when a waiter would be answered that has the given number of others before it.
func (m *market) forecast(w *waiter, ahead int) (time.Duration, Reason) {
	if w.owner.Pending {
		return w.owner.Wait + initialService, ReasonPending
	}
	if len(m.candidates) == 0 {
		return impossible, ReasonNone
	}
	if ahead < m.free || m.rate <= 0 {
		return m.fastest, ReasonFull
	}
	wait := float64(ahead+1-m.free) / m.rate
	return m.fastest + time.Duration(math.Min(wait, impossible.Seconds())*float64(time.Second)), ReasonFull
}
