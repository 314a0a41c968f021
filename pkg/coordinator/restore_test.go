package coordinator

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// storeState is the content of the control table before a write.
type storeState struct {
	version uint64
	rows    map[string]rowstore.Row
}

// restorableStore is what the simulation needs to restore the store. It has a random source of its own, so that the seeds of simulations
// without a restore give the same runs as before.
type restorableStore struct {
	era     uint64
	history []storeState
	rng     *rand.Rand
}

func newRestorableStore(seed uint64) restorableStore {
	return restorableStore{rng: rand.New(rand.NewPCG(seed, 11))}
}

func (r *restorableStore) remember(version uint64, rows map[string]rowstore.Row) {
	r.history = append(r.history, storeState{version, maps.Clone(rows)})
}

// page returns the control table as the adapter returns it.
func (s *simulation) page() rowstore.TableSnapshot {
	page := rowstore.TableSnapshot{Version: rowstore.Version(s.store.era, s.version)}
	for _, r := range s.rows {
		r.Version = rowstore.Version(s.store.era, r.Version)
		page.Rows = append(page.Rows, r)
	}
	return page
}

// sees records that the node's process has got a response of an era. It returns false if the response is stale.
func (n *node) sees(era uint64) bool {
	if era < n.era {
		return false
	}
	n.era = era
	return true
}

// restore restores the store from a copy that lacks the newest writes of the control table. Others write to the store before the next
// read, so that versions that are assigned again match those that VMs know only sometimes. The processes learn of the new era from reads
// of other tables at different times, and the leader then reads the control table, as package entry does.
func (s *simulation) restore(lost int) {
	h := &s.store.history
	if lost = min(lost, len(*h)); lost > 0 {
		state := (*h)[len(*h)-lost]
		*h = (*h)[:len(*h)-lost]
		s.version, s.rows = state.version, state.rows
	}
	s.store.era++
	s.version += uint64(s.store.rng.IntN(4))
	for _, n := range s.nodes {
		inc, era := n.incarnation, s.store.era
		s.schedule(time.Duration(s.store.rng.IntN(1500))*time.Millisecond, func() {
			if !n.isRunning(inc) || !s.storeReachable(n) || !n.sees(era) || !n.c.Leading(s.now) {
				return
			}
			s.readTable(n, inc)
		})
	}
}

// storedWrites returns a random number of writes for a restore to lose: the newest ones, or all of them.
func (s *simulation) storedWrites() int {
	if s.store.rng.IntN(4) == 0 {
		return len(s.store.history)
	}
	return s.store.rng.IntN(12)
}

// injectRestore restores the store, possibly at the end of an outage, around the time when the role changes hands, or twice.
func (s *simulation) injectRestore() {
	soon := time.Duration(s.store.rng.IntN(6000)) * time.Millisecond
	restore := func() { s.restore(s.storedWrites()) }
	switch s.store.rng.IntN(6) {
	case 0:
		s.storeDown[""] = true
		s.schedule(soon, func() {
			delete(s.storeDown, "")
			restore()
		})
	case 1:
		restore()
		s.schedule(soon/2, restore)
	case 2:
		// The leader is cut off, so that another VM may take over and the store may lose its row. The leader returns at any time.
		for _, n := range s.nodes {
			if n.c.Leading(s.now) {
				s.storeDown[n.name] = true
				s.schedule(time.Duration(s.store.rng.IntN(9000))*time.Millisecond, func() { delete(s.storeDown, n.name) })
			}
		}
		s.schedule(soon, restore)
	case 3:
		// The leader releases the role.
		for _, n := range s.nodes {
			if n.c.Leading(s.now) {
				s.stopNode(n, n.incarnation)
			}
		}
		s.schedule(soon, restore)
	default:
		restore()
	}
}

// stopNode makes a node give up the role, and starts a new process then.
func (s *simulation) stopNode(n *node, inc int) {
	if !n.isRunning(inc) {
		return
	}
	if n.c.Stopped() {
		s.startNode(n)
		return
	}
	s.runEffects(n, inc, n.c.Stop(s.now, s.store.rng.IntN(2) == 0))
	s.schedule(50*time.Millisecond, func() { s.stopNode(n, inc) })
}

// allServedSoon reports whether all keys are served now or within a second. Moves go on in the simulation: a key that is being moved is
// unserved until its previous owner has released it and the next one was granted it.
func (s *simulation) allServedSoon() bool {
	for range 10 {
		if s.servedShare() == 1 {
			return true
		}
		s.runFor(100 * time.Millisecond)
	}
	return s.servedShare() == 1
}

// Guards against two holders of a key and against a lower fence if the store is restored at any point between two writes, also twice in a
// row, with and without an outage, and together with all other faults. After the faults, all keys must be served again.
func TestNoKeyHasTwoHoldersAfterRestores(t *testing.T) {
	for seed := range *seeds {
		sim := newSimulation(t, seed, 3, 6)
		sim.runFor(time.Duration(sim.store.rng.IntN(5000)) * time.Millisecond)
		for range 15 {
			if sim.store.rng.IntN(2) == 0 {
				sim.injectRestore()
			} else {
				sim.injectFault()
			}
			sim.runFor(time.Duration(sim.rng.IntN(3000)) * time.Millisecond)
		}
		sim.runFor(30 * time.Second)
		if !sim.allServedSoon() {
			t.Errorf("seed %d: only %.2f of the keys are served 31 s after the last fault", seed, sim.servedShare())
		}
		if sim.store.era == 0 {
			t.Errorf("seed %d: the store was never restored", seed)
		}
	}
}

// Guards against keys that are unserved after a restore although the coordinator has survived it: it must keep its role and write again
// what the store has lost.
func TestKeysAreServedDuringRestore(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(t, seed, 3, 6)
		sim.runFor(6 * time.Second)
		leader := ""
		for _, n := range sim.nodes {
			if n.c.Leading(sim.now) {
				leader = n.name
			}
		}
		for range 2 {
			sim.runFor(time.Duration(sim.store.rng.IntN(1000)) * time.Millisecond)
			sim.restore(sim.store.rng.IntN(10))
			for range 4 {
				sim.runFor(time.Second)
				if !sim.allServedSoon() {
					t.Fatalf("seed %d: only %.2f of the keys are served", seed, sim.servedShare())
				}
			}
		}
		for _, n := range sim.nodes {
			if n.c.Leading(sim.now) != (n.name == leader) {
				t.Errorf("seed %d: %s was the coordinator, leading of %s is now %v", seed, leader, n.name, n.c.Leading(sim.now))
			}
		}
		for _, row := range sim.rows {
			if row.Key == KeyLeader {
				continue
			}
			if table, err := decodeTable(row.Value); err != nil || table.NextFence < fenceFloor(sim.store.era) {
				t.Errorf("seed %d: the table wasn't written again: %v, %v", seed, table, err)
			}
		}
	}
}

// maxRestoredWait is the time after a restore with the loss of the coordinator until all keys are served: a full lease with its margins
// (3.3 s), the delay of the candidate and of its reads (1.5 s), the longest grant with its margins (7.3 s) and the time for the first
// grants (1.5 s).
const maxRestoredWait = 13600 * time.Millisecond

// Guards against keys that stay unserved if the coordinator is lost together with what it has stored.
func TestKeysAreServedAfterRestoreWithoutCoordinator(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(t, seed, 3, 6)
		sim.runFor(6 * time.Second)
		for _, n := range sim.nodes {
			n.alive = n.alive && !n.c.Leading(sim.now)
		}
		sim.restore(sim.store.rng.IntN(20))
		sim.runFor(maxRestoredWait - time.Second)
		if !sim.allServedSoon() {
			t.Errorf("seed %d: only %.2f of the keys are served after %v", seed, sim.servedShare(), maxRestoredWait)
		}
	}
}

// Guards against a VM that takes a restored row for a vacancy while another VM holds the lease on a row that the store has lost: a row
// that was released, a row of its own former process, and no row at all.
func TestRestoredRowIsNoVacancy(t *testing.T) {
	for name, row := range map[string]*Leader{"released": {VM: "b", Released: true, Clean: true}, "own": {VM: "a", Incarnation: "1"}, "missing": nil} {
		l := leadership{self: Identity{VM: "a", Incarnation: "2"}}
		now := clock.Instant(time.Minute)
		page := rowstore.TableSnapshot{Version: rowstore.Version(1, 9)}
		if row != nil {
			value, err := msgpack.Marshal(row)
			if err != nil {
				t.Fatal(err)
			}
			page.Rows = []rowstore.Row{{Key: KeyLeader, Value: value, Version: rowstore.Version(1, 5)}}
		}
		if err := l.observeRow(page, now); err != nil {
			t.Fatal(err)
		}
		if l.mayTakeOver(now) || l.mayTakeOver(now.Add(LeaseTTL)) {
			t.Errorf("%s: the role is taken over within the lease of another VM", name)
		}
		if !l.mayTakeOver(now.Add(LeaseTTL + time.Second)) {
			t.Errorf("%s: the role is never taken over", name)
		}
	}
}

// maxFirstWait is the time after the start of a new deployment until all keys are served. Traffic starts 8 s after the VMs.
const maxFirstWait = 4 * time.Second

// Guards against a new deployment whose keys aren't served for a lease and the longest grant because its store was restored at some time
// before: it has lost nothing.
func TestFirstKeysInLaterEra(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(t, seed, 3, 6)
		sim.store.era = 3
		sim.runFor(maxFirstWait - time.Second)
		if !sim.allServedSoon() {
			t.Errorf("seed %d: only %.2f of the keys are served after %v", seed, sim.servedShare(), maxFirstWait)
		}
	}
}

// Guards against a row that the store has lost counting as one that was never written.
func TestFirstStartInLaterEra(t *testing.T) {
	now := clock.Instant(time.Minute)
	missing := rowstore.TableSnapshot{Version: rowstore.Version(3, 9)}
	l := leadership{self: Identity{VM: "a", Incarnation: "1", FirstStart: true}}
	if err := l.observeRow(missing, now); err != nil {
		t.Fatal(err)
	}
	if !l.mayTakeOver(now) || l.restored {
		t.Error("the role of a new deployment isn't taken over at once")
	}
	missing.Version = rowstore.Version(4, 2)
	if err := l.observeRow(missing, now); err != nil {
		t.Fatal(err)
	}
	if l.mayTakeOver(now) || !l.restored {
		t.Error("a row that the store has lost counts as one that was never written")
	}
}

// Guards against a coordinator that loses its lease after a restore, or doesn't store any table again, because the store refuses one of
// the tables.
func TestLostTablesAreStoredWithoutRefusedOne(t *testing.T) {
	c, now := newFirstTableCoordinator()
	c.known, c.version, c.leaseEnd, c.ownRenewal = true, 5, now.Add(LeaseTTL), 9
	q := c.pools["p"].table.Clone()
	c.pools["q"] = &poolState{name: "q", table: q, grants: c.pools["p"].grants}
	stored := map[string]int{}
	respond := func(effects []Effect) {
		for _, e := range effects {
			commit, ok := e.(Commit)
			if !ok {
				continue
			}
			refused := false
			for _, r := range commit.Transaction.Puts {
				refused = refused || r.Key == KeySlicesPrefix+"q"
			}
			if refused {
				c.Committed(0, rowstore.ErrRefused, now)
				continue
			}
			for _, r := range commit.Transaction.Puts {
				stored[r.Key]++
			}
			c.Committed(c.version+1, nil, now)
		}
	}
	respond(c.Observe(rowstore.TableSnapshot{Version: rowstore.Version(1, 3)}, 0, now))
	for end := now.Add(2 * LeaseTTL); now < end; now = now.Add(50 * time.Millisecond) {
		respond(c.Tick(now, c.view, false))
	}
	if !c.Leading(now) || stored[KeyLeader] == 0 || stored[KeySlicesPrefix+"p"] == 0 || !c.lostTables["q"] || c.lostTables["p"] {
		t.Errorf("leading: %v, stored %v, lost tables %v", c.Leading(now), stored, c.lostTables)
	}
	if r := c.newRelease(now); r.clean || r.grants != 0 {
		t.Error("the role would be released as clean")
	}
}

// Guards against a VM that takes a write for its lease which is found in a later era: the store may have applied it after the restore, by an
// accidental match of its condition, while another VM leads. Only a lease that is valid all the time is extended, and the rows are then
// written again in the new era.
func TestWriteFoundInLaterEraIsNoLease(t *testing.T) {
	for _, tc := range []struct {
		name     string
		leading  bool
		leaseEnd time.Duration
		want     bool
	}{{"takeover", false, 0, false}, {"renewal after the lease", true, -time.Second, false}, {"renewal within the lease", true, time.Second, true}} {
		c := New(Identity{VM: "a", Incarnation: "1"})
		now := clock.Instant(time.Minute)
		c.known, c.version, c.leading, c.leaseEnd = true, 5, tc.leading, now.Add(tc.leaseEnd)
		p, err := c.newCommit(nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		p.takeover = !tc.leading
		c.sendCommit(p, now)
		c.Committed(0, rowstore.ErrUnknown, now)
		row := rowstore.Row{Key: KeyLeader, Value: p.tx.Puts[0].Value, Version: rowstore.Version(1, 6)}
		effects := c.Observe(rowstore.TableSnapshot{Version: rowstore.Version(1, 6), Rows: []rowstore.Row{row}}, 0, now)
		written := uint64(0)
		for _, e := range effects {
			if commit, ok := e.(Commit); ok {
				written = commit.Transaction.Expected[0].Version
			}
		}
		if c.Leading(now) != tc.want || (written == rowstore.Version(1, 6)) != tc.want || c.mayTakeOver(now.Add(LeaseTTL)) {
			t.Errorf("%s: leading %v, written on condition of %d, may take over again: %v", tc.name, c.Leading(now), written, c.mayTakeOver(now.Add(LeaseTTL)))
		}
	}
}

// Guards against a table of unknown owners that is written again as if it were of the new era, so that a successor wouldn't wait.
func TestHeldTableIsNotWrittenAgain(t *testing.T) {
	c, now := newFirstTableCoordinator()
	c.known, c.version, c.leaseEnd = true, rowstore.Version(1, 5), now.Add(LeaseTTL)
	if !c.holdRestored(c.pools["p"], now.Add(FinalGrantTTL)) {
		t.Fatal("the table isn't held")
	}
	for _, e := range c.Observe(rowstore.TableSnapshot{Version: rowstore.Version(2, 3)}, 0, now) {
		if commit, ok := e.(Commit); ok && len(commit.Transaction.Puts) != 1 {
			t.Errorf("%d rows are written", len(commit.Transaction.Puts))
		}
	}
}

// Guards against other bytes in the store of a deployment whose store was never restored: the fields and their order must be those of
// earlier versions.
func TestRowsWithoutRestoreAreUnchanged(t *testing.T) {
	c := New(Identity{VM: "a", Incarnation: "1", Address: "a:1"})
	c.known, c.version, c.row.Renewal = true, 5, 7
	p, err := c.newCommit(nil, &release{clean: true})
	if err != nil {
		t.Fatal(err)
	}
	earlier, err := msgpack.Marshal(struct {
		VM          string `msgpack:"vm"`
		Incarnation string `msgpack:"inc"`
		Address     string `msgpack:"addr"`
		Renewal     uint64 `msgpack:"n"`
		Released    bool   `msgpack:"rel"`
		Clean       bool   `msgpack:"clean"`
	}{"a", "1", "a:1", 8, true, true})
	if err != nil || string(earlier) != string(p.tx.Puts[0].Value) || p.tx.Expected[0].Version != 5 {
		t.Errorf("row %x, want %x, %v", p.tx.Puts[0].Value, earlier, err)
	}
}

// Guards against keys that stay unserved, after all grants that a restored store has lost have ended, for the time that targets are given to
// register: they have registered meanwhile.
func TestLostTableIsReplacedOnceGrantsHaveEnded(t *testing.T) {
	c, now := newFirstTableCoordinator()
	c.version, c.pools, c.priorGrantsEnd = rowstore.Version(1, 5), map[string]*poolState{}, now.Add(FinalGrantTTL)
	for ; now < c.priorGrantsEnd; now = now.Add(100 * time.Millisecond) {
		if next, _ := c.planPool("p", now); next != nil {
			t.Fatalf("keys are assigned %v before all grants have ended", c.priorGrantsEnd.Sub(now))
		}
	}
	if next, _ := c.planPool("p", now); next == nil {
		t.Error("no keys are assigned after all grants have ended")
	}
}
