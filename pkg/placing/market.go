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
}

// survey returns the state of the given targets.
func (b *Broker) survey(candidates []*load, now clock.Instant) *market {
	b.surveyed += len(candidates)
	m := &market{candidates: candidates, service: impossible, fastest: impossible}
	for _, l := range candidates {
		m.service = min(m.service, l.service)
		service := time.Duration(float64(l.service) * l.paceNow(now))
		if now < l.coldUntil {
			m.rate += b.coldRate(l)
			if b.coldReady(l, now) && b.hasPlace(l, now) {
				m.free++
				m.place = m.place || now >= l.blockedUntil
			}
			m.fastest = min(m.fastest, service)
			continue
		}
		blocked := l.blockedUntil.Sub(now)
		if blocked > 0 {
			service += blocked
		}
		m.rate += float64(l.target.Slots) / service.Seconds()
		m.free += max(0, l.target.Slots-l.busy(now))
		m.place = m.place || blocked <= 0 && b.hasPlace(l, now)
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

// markets are the surveys and the best places of one pass over a queue. They hold until a place is taken.
type markets struct {
	b      *Broker
	now    clock.Instant
	known  []knownMarket
	offers map[offerID]offer
}

// offerID names waiters for which the same place is the best one.
type offerID struct {
	homes  string
	domain string
	// body is the size of the body, rounded.
	body int64
	// objective is the time until the objective, rounded.
	objective time.Duration
}

// objectiveRounding is the difference of times until the objective that changes the preference for a region by 100 ms.
const objectiveRounding = 250 * time.Millisecond

// bodyRounding is the difference of body sizes in bytes that changes the cost of another region by 16 ms.
const bodyRounding = 8 << 10

// best returns the best place for a waiter.
func (p *markets) best(w *waiter, m *market) offer {
	if len(w.Avoid) > 0 {
		return p.b.bestFree(w, m, p.now)
	}
	id := offerID{w.homes, w.Domain, w.BodyBytes / bodyRounding, max(0, w.objectiveEnd.Sub(p.now)) / objectiveRounding}
	o, ok := p.offers[id]
	if !ok {
		o = p.b.bestFree(w, m, p.now)
		if p.offers == nil {
			p.offers = map[offerID]offer{}
		}
		p.offers[id] = o
	}
	return o
}

type knownMarket struct {
	homes  string
	market *market
}

// of returns the market of a waiter. Waiters that avoid a target have one of their own.
func (p *markets) of(w *waiter) *market {
	if len(w.Avoid) > 0 {
		return p.b.survey(p.b.candidates(w, p.now), p.now)
	}
	for _, k := range p.known {
		if k.homes == w.homes {
			return k.market
		}
	}
	m := p.b.survey(p.b.candidates(w, p.now), p.now)
	p.known = append(p.known, knownMarket{w.homes, m})
	return m
}

func (p *markets) taken() {
	p.known = p.known[:0]
	clear(p.offers)
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
