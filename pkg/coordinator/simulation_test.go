package coordinator

import (
	"container/heap"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/keygrant"
	"github.com/bronzelever/bronzelever/pkg/keyrange"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

var seeds = flag.Uint64("seeds", 60, "number of random simulations in TestNoKeyHasTwoHolders")

// simulation simulates the store, the targets and the coordinators under a virtual clock. It checks the grants that targets
// receive: no key has two holders, and the fence of each new holder is higher than all earlier ones.
type simulation struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	now     clock.Instant
	queue   eventQueue
	lastSeq int
	rows    map[string]rowstore.Row
	version uint64
	store   restorableStore
	nodes   []*node
	targets map[string]*simTarget
	// storeDown makes all calls to the store fail without effect, for the nodes in the set, or for all nodes with the key "".
	storeDown map[string]bool
	// lossRate is the probability that a response is lost. lateRate is the probability that a call without a response is
	// applied seconds later.
	lossRate, lateRate float64
	// lossTarget is a target whose responses to grants are all lost, "" for none.
	lossTarget string
	// highestFence holds the highest fence of each key and its holder.
	highestFence map[int]fenceHolder
	grantCount   int
	// conns holds the connections for grants as package keygrant keeps them. connCount counts the connections opened.
	conns     map[connKey]*simConn
	connCount int64
}

type connKey struct {
	node        string
	incarnation int
	target      string
}

// simConn is a connection to the incarnation of the target that was up when it was opened.
type simConn struct {
	number        int64
	targetStarted int64
	open          bool
}

type fenceHolder struct {
	fence  int64
	holder incarnation
}

type node struct {
	name        string
	c           *Coordinator
	alive       bool
	incarnation int
	// era is the newest era of the store that the process has seen.
	era uint64
}

type simTarget struct {
	id        string
	started   int64
	up        bool
	draining  bool
	heldKeys  map[int]heldKey
	seenFence map[int]int64
}

type heldKey struct {
	fence     int64
	expiresAt clock.Instant
}

type timedEvent struct {
	at  clock.Instant
	seq int
	run func()
}

type eventQueue []timedEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(timedEvent)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newSimulation(t *testing.T, seed uint64, nodes, targetCount int) *simulation {
	s := &simulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), store: newRestorableStore(seed), rows: map[string]rowstore.Row{}, targets: map[string]*simTarget{},
		storeDown: map[string]bool{}, highestFence: map[int]fenceHolder{}, conns: map[connKey]*simConn{}, now: clock.Instant(time.Second)}
	for i := range targetCount {
		id := fmt.Sprintf("t%d", i)
		s.targets[id] = &simTarget{id: id, started: 1, up: true, heldKeys: map[int]heldKey{}, seenFence: map[int]int64{}}
	}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("n%d", i)}
		s.nodes = append(s.nodes, n)
		s.startNode(n)
	}
	return s
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.lastSeq++
	heap.Push(&s.queue, timedEvent{at: s.now.Add(d), seq: s.lastSeq, run: run})
}

func (s *simulation) randomDelay() time.Duration {
	return time.Duration(1+s.rng.IntN(20)) * time.Millisecond
}

func (s *simulation) startNode(n *node) {
	n.alive, n.era = true, 0
	n.incarnation++
	inc := n.incarnation
	n.c = New(Identity{VM: n.name, Incarnation: fmt.Sprint(inc), Address: n.name, FirstStart: inc == 1})
	s.tick(n, inc)
	s.poll(n, inc)
}

func (n *node) isRunning(inc int) bool { return n.alive && n.incarnation == inc }

func (s *simulation) tick(n *node, inc int) {
	if !n.isRunning(inc) {
		return
	}
	s.runEffects(n, inc, n.c.Tick(s.now, View{Snapshot: s.snapshot(), Load: func(string) keyrange.Load { return s.load() }}, true))
	if n.c.Leading(s.now) && s.rng.IntN(6) == 0 {
		s.relayVersion(n.c.Version())
	}
	s.schedule(50*time.Millisecond, func() { s.tick(n, inc) })
}

// relayVersion relays the version of the coordinator's row to all nodes.
func (s *simulation) relayVersion(version uint64) {
	for _, o := range s.nodes {
		inc := o.incarnation
		s.schedule(s.randomDelay(), func() {
			if o.isRunning(inc) {
				o.c.NoteVersion(version, s.now)
			}
		})
	}
}

func (s *simulation) load() keyrange.Load {
	load := keyrange.Load{Seconds: 1}
	center := int(s.now/clock.Instant(3*time.Second)) * 7919 % 60000
	for range 60 {
		load.Keys = append(load.Keys, center+s.rng.IntN(200))
	}
	slices.Sort(load.Keys)
	return load
}

func (s *simulation) snapshot() *inventory.Snapshot {
	cfg := inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "p", Keyed: true}}, nil)
	var list []*inventory.Target
	for _, t := range s.targets {
		if t.up {
			list = append(list, &inventory.Target{ID: t.id, Pool: "p", Address: t.id, Slots: 2, Started: t.started, Draining: t.draining})
		}
	}
	return inventory.NewSnapshot(cfg, list, nil)
}

func (s *simulation) storeReachable(n *node) bool { return !s.storeDown[""] && !s.storeDown[n.name] }

func (s *simulation) poll(n *node, inc int) {
	if !n.isRunning(inc) {
		return
	}
	s.readTable(n, inc)
	s.schedule(400*time.Millisecond, func() { s.poll(n, inc) })
}

// readTable reads the control table for a node.
func (s *simulation) readTable(n *node, inc int) {
	s.schedule(s.randomDelay(), func() {
		if !s.storeReachable(n) {
			return
		}
		page := s.page()
		s.schedule(s.randomDelay(), func() {
			if n.isRunning(inc) && n.sees(rowstore.Era(page.Version)) {
				s.runEffects(n, inc, n.c.Observe(page, 10*time.Millisecond, s.now))
			}
		})
	})
}

func (s *simulation) runEffects(n *node, inc int, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Commit:
			s.commit(n, inc, e.Transaction)
		case ReadTable:
			s.readTable(n, inc)
		case SendGrant:
			s.grant(n, inc, e)
		case SendRelease:
			s.release(n, inc, e)
		case Announce:
			s.announce(e)
		}
	}
}

// announce delivers a notice, possibly late or not at all.
func (s *simulation) announce(e Announce) {
	for _, o := range s.nodes {
		if inc := o.incarnation; o.name == e.To && s.rng.Float64() >= s.lossRate {
			s.schedule(s.randomDelay()*time.Duration(1+s.rng.IntN(100)), func() {
				if o.isRunning(inc) {
					s.runEffects(o, inc, o.c.HandleNotice(e.Notice, s.now))
				}
			})
		}
	}
}

func (s *simulation) commit(n *node, inc int, tx rowstore.Transaction) {
	sentEra := n.era
	respond := func(v uint64, err error) {
		era := s.store.era
		s.schedule(s.randomDelay(), func() {
			if n.isRunning(inc) {
				if !errors.Is(err, rowstore.ErrRefused) && (!n.sees(era) || era != sentEra) {
					v, err = 0, rowstore.ErrUnknown
				}
				s.runEffects(n, inc, n.c.Committed(v, err, s.now))
			}
		})
	}
	if rowstore.Era(tx.Expected[0].Version) != sentEra {
		respond(0, rowstore.ErrConflict)
		return
	}
	lost := s.rng.Float64() < s.lossRate
	applied := func(reply bool) {
		v, err := s.applyTransaction(tx)
		if reply {
			respond(v, err)
		}
	}
	s.schedule(s.randomDelay(), func() {
		switch {
		case !s.storeReachable(n):
			respond(0, rowstore.ErrRefused)
		case lost && s.rng.Float64() < s.lateRate:
			s.schedule(time.Duration(s.rng.IntN(5000))*time.Millisecond, func() { applied(false) })
		case lost:
			applied(false)
		default:
			applied(true)
		}
		if lost {
			s.schedule(1500*time.Millisecond, func() { respond(0, rowstore.ErrUnknown) })
		}
	})
}

func (s *simulation) applyTransaction(tx rowstore.Transaction) (uint64, error) {
	for _, e := range tx.Expected {
		if s.rows[e.Key].Version != rowstore.Number(e.Version) {
			return 0, rowstore.ErrConflict
		}
	}
	s.store.remember(s.version, s.rows)
	s.version++
	for _, p := range tx.Puts {
		p.Version = s.version
		s.rows[p.Key] = p
	}
	return rowstore.Version(s.store.era, s.version), nil
}

func (s *simulation) grant(n *node, inc int, e SendGrant) {
	connection := int64(0)
	respond := func(d time.Duration, err error) {
		s.schedule(d, func() {
			if n.isRunning(inc) {
				s.runEffects(n, inc, n.c.Granted(e.Call, connection, err, s.now))
			}
		})
	}
	if s.now >= e.Deadline {
		respond(0, ErrLeaseEnded)
		return
	}
	lost := s.rng.Float64() < s.lossRate || e.To.ID == s.lossTarget
	s.schedule(s.randomDelay(), func() {
		t := s.targets[e.To.ID]
		conn, err := s.connect(connKey{n.name, inc, t.id}, t, e.Connection)
		if err != nil {
			respond(s.randomDelay(), err)
			return
		}
		connection = conn.number
		arrived, started := s.now, t.started
		if !lost {
			respond(s.randomDelay(), s.applyGrant(t, e.Grant, arrived))
			return
		}
		conn.open = false
		respond(simCallTimeout, keygrant.ErrOutcomeUnknown)
		// A congested link delays the arrival, at most until the call times out.
		transitTime := time.Duration(0)
		if s.rng.IntN(2) == 0 {
			transitTime = time.Duration(s.rng.Int64N(int64(simCallTimeout)))
		}
		s.schedule(transitTime, func() {
			arrived := s.now
			d := time.Duration(0)
			if s.rng.Float64() < s.lateRate {
				d = time.Duration(s.rng.IntN(8000)) * time.Millisecond
			}
			s.schedule(d, func() {
				// A late call affects only the incarnation that it arrived at.
				if t.up && t.started == started {
					_ = s.applyGrant(t, e.Grant, arrived)
				}
			})
		})
	})
}

// simCallTimeout is the timeout of a call. It is longer than the timeout of package keygrant.
const simCallTimeout = 900 * time.Millisecond

// connect returns the connection with the given number, or any connection if the number is 0. A new connection leads to the
// incarnation that is up, whichever incarnation the sender assumes.
func (s *simulation) connect(key connKey, t *simTarget, number int64) (*simConn, error) {
	conn := s.conns[key]
	if conn != nil && conn.open && conn.targetStarted == t.started && t.up && (number == 0 || number == conn.number) {
		return conn, nil
	}
	if conn != nil && conn.open && conn.targetStarted != t.started && s.rng.IntN(2) == 0 {
		// The sender notices the end of the connection only after it has written the call.
		conn.open = false
		return nil, keygrant.ErrOutcomeUnknown
	}
	if number != 0 {
		return nil, keygrant.ErrDisconnected
	}
	if !t.up {
		return nil, keygrant.ErrUnsent
	}
	s.connCount++
	s.conns[key] = &simConn{number: s.connCount, targetStarted: t.started, open: true}
	return s.conns[key], nil
}

// applyGrant applies a grant at a target whose clock runs 2% slow.
func (s *simulation) applyGrant(t *simTarget, g keygrant.Grant, arrived clock.Instant) error {
	keys := sampleKeys(g.From, g.To)
	for _, k := range keys {
		if t.seenFence[k] > g.Fence {
			return keygrant.ErrFenced
		}
	}
	until := arrived.Add(time.Duration(float64(g.TTL) * 1.02))
	if until <= s.now {
		return nil
	}
	s.grantCount++
	grantee := incarnation{t.id, t.started}
	for _, k := range keys {
		for _, o := range s.targets {
			if h := o.heldKeys[k]; o != t && o.up && h.expiresAt > s.now {
				s.t.Fatalf("seed %d, %v: %v is granted key %d with fence %d, but %s holds it with fence %d for another %v",
					s.seed, time.Duration(s.now), grantee, k, g.Fence, o.id, h.fence, h.expiresAt.Sub(s.now))
			}
		}
		if highest := s.highestFence[k]; g.Fence < highest.fence || g.Fence == highest.fence && highest.holder != grantee {
			s.t.Fatalf("seed %d, %v: %v is granted key %d with fence %d after %v held it with fence %d", s.seed, time.Duration(s.now), grantee, k, g.Fence, highest.holder, highest.fence)
		}
		s.highestFence[k] = fenceHolder{g.Fence, grantee}
		t.seenFence[k] = g.Fence
		t.heldKeys[k] = heldKey{g.Fence, until}
	}
	return nil
}

// sampleKeys represents a range by its ends and the multiples of 1024 between them, which are the same for all ranges.
func sampleKeys(from, to int) []int {
	keys := []int{from, to}
	for k := (from/1024 + 1) * 1024; k < to; k += 1024 {
		keys = append(keys, k)
	}
	return keys
}

func (s *simulation) release(n *node, inc int, e SendRelease) {
	respond := func(d time.Duration, err error) {
		s.schedule(d, func() {
			if n.isRunning(inc) {
				s.runEffects(n, inc, n.c.Released(e.Slice, "h", err, s.now))
			}
		})
	}
	s.schedule(s.randomDelay(), func() {
		t := s.targets[e.From.ID]
		if !t.up {
			respond(s.randomDelay(), keygrant.ErrUnsent)
			return
		}
		for _, k := range slices.Collect(maps.Keys(t.heldKeys)) {
			if k >= e.Grant.From && k <= e.Grant.To && t.heldKeys[k].fence <= e.Grant.Fence {
				delete(t.heldKeys, k)
			}
		}
		if s.rng.Float64() < s.lossRate {
			respond(e.Timeout, keygrant.ErrOutcomeUnknown)
			return
		}
		respond(time.Duration(s.rng.IntN(300))*time.Millisecond, nil)
	})
}

func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(timedEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *simulation) crash(t *simTarget) {
	t.up = false
	t.heldKeys, t.seenFence = map[int]heldKey{}, map[int]int64{}
}

// injectFault injects a random fault, which ends by itself.
func (s *simulation) injectFault() {
	ids := slices.Sorted(maps.Keys(s.targets))
	t := s.targets[ids[s.rng.IntN(len(ids))]]
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	d := time.Duration(500+s.rng.IntN(8000)) * time.Millisecond
	switch s.rng.IntN(7) {
	case 0:
		s.crash(t)
		s.schedule(d, func() {
			if !t.up {
				t.started, t.up, t.draining = t.started+1, true, false
			}
		})
	case 1:
		// The target restarts immediately under the same ID.
		s.crash(t)
		t.started, t.up = t.started+1, true
	case 2:
		t.draining = true
		s.schedule(d, func() { t.draining = false })
	case 3:
		n.alive = false
		s.schedule(d, func() { s.startNode(n) })
	case 4:
		s.storeDown[""] = true
		s.schedule(d, func() { delete(s.storeDown, "") })
	case 5:
		s.storeDown[n.name] = true
		s.schedule(d, func() { delete(s.storeDown, n.name) })
	case 6:
		s.lossRate, s.lateRate = 0.3, s.rng.Float64()
		s.schedule(d, func() { s.lossRate = 0 })
	}
}

// servedShare returns the share of the sampled keys that some target holds.
func (s *simulation) servedShare() float64 {
	held, all := 0, 0
	for k := 0; k <= keyrange.MaxKey; k += 1024 {
		all++
		for _, t := range s.targets {
			if h, ok := t.heldKeys[k]; ok && t.up && h.expiresAt > s.now {
				held++
				break
			}
		}
	}
	return float64(held) / float64(all)
}
