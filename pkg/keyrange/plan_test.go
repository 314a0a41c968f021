package keyrange

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func alwaysSettled(int64) Progress { return Settled }

func testMembers(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{ID: fmt.Sprintf("t%02d", i), Started: 1, Capacity: 10, MayKeep: true, MayReceive: true}
	}
	return members
}

// Guards against keys that have no owner in the first table.
func TestInitialTableCoversAllKeys(t *testing.T) {
	for n := 1; n < 40; n++ {
		table := InitialTable("p", 1, testMembers(n))
		if err := table.Validate(); err != nil {
			t.Fatal(err)
		}
		if len(table.Slices) != n {
			t.Fatalf("%d slices for %d members", len(table.Slices), n)
		}
	}
}

// Guards against slices that stay with a lost owner, and against moves of other slices.
func TestSlicesOfLostOwnersAreReassigned(t *testing.T) {
	members := testMembers(5)
	table := InitialTable("p", 1, members)
	members[2].MayKeep, members[2].MayReceive = false, false
	next, moves := Plan(table, members, Load{}, alwaysSettled, false)
	if len(moves) != 1 || moves[0].Owner == "t02" {
		t.Fatalf("moves %v", moves)
	}
	s := next.Find(moves[0].From)
	if s.Previous != "t02" || s.Fence != table.NextFence || s.PreviousFence != table.Slices[2].Fence {
		t.Fatalf("slice %+v does not name its previous owner", s)
	}
}

// Guards against keys that stay with the former incarnation of a target that has restarted under the same ID.
func TestRestartedOwnerGetsNewFence(t *testing.T) {
	members := testMembers(3)
	table := InitialTable("p", 1, members)
	members[1].Started = 2
	next, moves := Plan(table, members, Load{}, alwaysSettled, false)
	if len(moves) != 1 || moves[0].Owner != "t01" || next.Slices[1].Fence <= table.Slices[1].Fence {
		t.Fatalf("moves %v, slice %+v", moves, next.Slices[1])
	}
}

// Guards against a second holder of keys that the previous owner may still hold: when the owner of the slice is replaced, the
// slice must still name the previous owner.
func TestWaitingSliceKeepsPreviousOwner(t *testing.T) {
	members := testMembers(4)
	table := InitialTable("p", 1, members)
	table.Move(0, 100, "t03", 1)
	fence := table.Slices[0].Fence
	members[3].MayKeep, members[3].MayReceive = false, false
	progress := func(f int64) Progress {
		if f == fence {
			return Waiting
		}
		return Settled
	}
	next, _ := Plan(table, members, Load{}, progress, false)
	if s := next.Slices[0]; s.Previous != "t00" || s.Owner == "t03" || s.Fence <= fence {
		t.Fatalf("slice %+v", s)
	}
}

// Guards against a move of a slice that two targets may hold.
func TestUncertainSliceIsNotMoved(t *testing.T) {
	members := testMembers(2)
	table := InitialTable("p", 1, members)
	members[0].MayKeep, members[0].MayReceive = false, false
	_, moves := Plan(table, members, Load{}, func(int64) Progress { return Uncertain }, false)
	if len(moves) != 0 {
		t.Fatalf("moves %v", moves)
	}
}

// Guards against a range of hot keys that stays with one owner, and against moving more keys than necessary.
func TestHotRangeIsSplit(t *testing.T) {
	members := testMembers(8)
	table := InitialTable("p", 1, members)
	var load Load
	for i := range 60 {
		load.Keys = append(load.Keys, 1000+i)
	}
	load.Seconds = 2
	moved := 0
	for range 10 {
		next, moves := Plan(table, members, load, alwaysSettled, true)
		for _, m := range moves {
			moved += m.To - m.From + 1
		}
		table = next
	}
	if err := table.Validate(); err != nil {
		t.Fatal(err)
	}
	owners := map[string]int{}
	for _, key := range load.Keys {
		owners[table.Find(key).Owner]++
	}
	if len(owners) < 4 {
		t.Errorf("owners of the hot keys: %v", owners)
	}
	if moved > 200 {
		t.Errorf("%d keys were moved for 60 hot ones", moved)
	}
}

// Guards against moves without a benefit while no target has spare capacity.
func TestNoMovesWithoutSpareCapacity(t *testing.T) {
	members := testMembers(4)
	table := InitialTable("p", 1, members)
	load := Load{Seconds: 1}
	for i := range 80 {
		load.Keys = append(load.Keys, i*MaxKey/80)
	}
	for i := range 20 {
		load.Keys = append(load.Keys, i)
	}
	slices.Sort(load.Keys)
	if _, moves := Plan(table, members, load, alwaysSettled, true); len(moves) != 0 {
		t.Fatalf("moves %v", moves)
	}
}

// Guards against a new target that gets no keys although others have load.
func TestNewMemberGetsKeys(t *testing.T) {
	members := testMembers(4)
	table := InitialTable("p", 1, members[:3])
	load := Load{Seconds: 1}
	for i := range 40 {
		load.Keys = append(load.Keys, i*20)
	}
	next, _ := Plan(table, members, load, alwaysSettled, true)
	count := 0
	for _, key := range load.Keys {
		if next.Find(key).Owner == "t03" {
			count++
		}
	}
	if count < 5 {
		t.Fatalf("the new member gets %d of 40 requests", count)
	}
}

// Guards against gaps, overlaps and fences that don't increase, for any sequence of losses, returns and loads.
func TestRandomPlansKeepTableValid(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		members := testMembers(2 + r.IntN(10))
		table := InitialTable("p", 1, members)
		for step := range 30 {
			for i := range members {
				members[i].MayKeep = r.IntN(4) > 0
				members[i].MayReceive = members[i].MayKeep && r.IntN(4) > 0
				if r.IntN(20) == 0 {
					members[i].Started++
				}
			}
			load := Load{Seconds: 1}
			for range r.IntN(100) {
				load.Keys = append(load.Keys, r.IntN(MaxKey+1))
			}
			slices.Sort(load.Keys)
			states := map[int64]Progress{}
			for _, s := range table.Slices {
				states[s.Fence] = Progress(r.IntN(4))
			}
			next, _ := Plan(table, members, load, func(f int64) Progress { return states[f] }, r.IntN(2) == 0)
			if err := next.Validate(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
			if next.NextFence < table.NextFence {
				t.Fatalf("seed %d, step %d: the next fence decreases", seed, step)
			}
			table = next
		}
	}
}

// excessRate returns the number of requests per second that exceed their owners' capacity.
func excessRate(table *Table, members []Member, load Load) float64 {
	rate := map[string]float64{}
	for _, s := range table.Slices {
		rate[s.Owner] += load.rate(s.From, s.To)
	}
	over := 0.0
	for _, m := range members {
		over += max(0, rate[m.ID]-m.Capacity)
	}
	return over
}

// Guards against keys that stay hot for seconds in a large pool. The load is that of 483 targets in normal operation, with a
// capacity of 9 requests per second each: 730 requests per second on all keys, and 430 on 200 neighbouring ones. When a plan moved
// four ranges at most, the latter were refused for as long as the keys were hot.
func TestHotKeysOfLargePoolAreSpreadImmediately(t *testing.T) {
	for _, hotKeys := range []int{200, 60} {
		members := testMembers(483)
		for i := range members {
			members[i].Capacity = 9
		}
		table := InitialTable("p", 1, members)
		r := rand.New(rand.NewPCG(uint64(hotKeys), 3))
		sample := func(seconds int) Load {
			load := Load{Seconds: float64(seconds)}
			for range 730 * seconds {
				load.Keys = append(load.Keys, r.IntN(MaxKey+1))
			}
			for range 430 * seconds {
				load.Keys = append(load.Keys, 30000+r.IntN(hotKeys))
			}
			slices.Sort(load.Keys)
			return load
		}
		moved := 0
		for range 2 {
			next, moves := Plan(table, members, sample(1), alwaysSettled, true)
			for _, m := range moves {
				moved += m.To - m.From + 1
			}
			table = next
		}
		if err := table.Validate(); err != nil {
			t.Fatal(err)
		}
		// A long sample reduces the random error of the rates.
		if over := excessRate(table, members, sample(60)); over > 43 {
			t.Errorf("%d hot keys: after two plans %.0f requests per second exceed their owners' capacity", hotKeys, over)
		}
		if moved > MaxKey/100 {
			t.Errorf("%d hot keys: %d keys were moved", hotKeys, moved)
		}
	}
}

// Guards against a busy key that is moved together with its neighbours, or that makes its new owner the most loaded target
// while others are idle.
func TestBusyKeyIsSeparatedFromNeighbours(t *testing.T) {
	members := testMembers(40)
	table := InitialTable("p", 1, members)
	load := Load{Seconds: 1}
	for i := range 40 {
		load.Keys = append(load.Keys, 700, 701+i%8)
	}
	slices.Sort(load.Keys)
	next, _ := Plan(table, members, load, alwaysSettled, true)
	busy := next.Find(700)
	for key := 701; key < 709; key++ {
		if next.Find(key).Owner == busy.Owner {
			t.Errorf("key %d has the same owner as the busy key", key)
		}
	}
}
