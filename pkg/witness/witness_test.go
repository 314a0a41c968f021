package witness

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/lease"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// seedVariable names the environment variable that repeats a run with the seed printed by a failed one.
const seedVariable = "BRONZELEVER_SEED"

func testParameters(t *testing.T) *gopter.TestParameters {
	seed := int64(20261204)
	if text := os.Getenv(seedVariable); text != "" {
		var err error
		if seed, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %d (set %s to repeat)", seed, seedVariable)
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = 2000
	return p
}

func member(i int) wire.Member {
	return wire.Member{VM: fmt.Sprintf("r%d", i), Incarnation: wire.Incarnation(i + 1)}
}

func randomRoster(rng *rand.Rand, version uint64, n int) wire.Roster {
	roster := wire.Roster{Version: version}
	for _, i := range rng.Perm(16)[:n] {
		roster.Members = append(roster.Members, member(i))
	}
	return roster
}

// TestKeepAndTakeoverQuorumsIntersect guards against a holder that keeps its authority after a successor may grant, over
// random rosters, splits of the members and orders of answers. After a roster change, the holder knows either only the old
// roster or the new one with the old as previous; the successor uses the rosters recorded at its election.
func TestKeepAndTakeoverQuorumsIntersect(t *testing.T) {
	properties := gopter.NewProperties(testParameters(t))
	properties.Property("authority ends before a successor may grant", prop.ForAll(func(seed int64, n, m int, change bool) bool {
		rng := rand.New(rand.NewSource(seed))
		old := randomRoster(rng, 1, n)
		recorded, previous := old, (*wire.Roster)(nil)
		if change {
			recorded, previous = randomRoster(rng, 2, m), &old
		}
		holder := NewRule(old.Members[0])
		if change && rng.Intn(2) == 0 {
			holder.SetRosters(recorded, previous)
		} else {
			holder.SetRosters(old, nil)
		}
		return !authorityOverlaps(rng, holder, NewAcceptance(recorded, previous), old.Members[0])
	}, gen.Int64(), gen.IntRange(1, 16), gen.IntRange(1, 16), gen.Bool()))
	properties.TestingRun(t)
}

// authorityOverlaps simulates members that answer the holder and accept the successor in random order, one event per
// instant. It reports whether the holder still has authority at an instant at which the successor may grant.
func authorityOverlaps(rng *rand.Rand, holder *Rule, successor *Acceptance, self wire.Member) bool {
	position := Position{Term: 1}
	known := position
	accepted := map[string]bool{}
	for now := clock.Instant(1); now < clock.Instant(3*lease.TTL); now += clock.Instant(lease.TTL / 40) {
		m := member(rng.Intn(16))
		switch rng.Intn(3) {
		case 0:
			if m == self {
				holder.AuthorityEnd(now, position, known)
				known.Term = 2
			}
			accepted[m.VM] = true
			successor.Accept(m, now)
		default:
			term := uint64(1)
			if accepted[m.VM] {
				term = 2
			}
			if m != self {
				holder.Record(now, wire.WitnessReply{Member: m, Term: term})
			}
		}
		end := holder.AuthorityEnd(now, position, known)
		half, ok := successor.HalfAcceptedAt()
		if ok && now >= half.Add(lease.TTL) && now < end {
			return true
		}
	}
	return false
}

// TestQuorumSizes guards against wrong quorum sizes: a quorum that keeps authority and one that takes
// over must share a member.
func TestQuorumSizes(t *testing.T) {
	for n := 1; n <= 64; n++ {
		if KeepQuorum(n)+TakeoverQuorum(n) <= n {
			t.Errorf("rosters of %d: quorums of %d and %d members need not intersect", n, KeepQuorum(n), TakeoverQuorum(n))
		}
		if 2*TakeoverQuorum(n) < n || 2*(TakeoverQuorum(n)-1) >= n {
			t.Errorf("rosters of %d: %d is not the smallest number that is at least half", n, TakeoverQuorum(n))
		}
	}
}

// TestOnlyConfirmingMembersCount guards against counting a restarted process, which has lost the record of what it
// accepted, a process that is in no roster, or an answer with a newer term, table or configuration version.
func TestOnlyConfirmingMembersCount(t *testing.T) {
	roster := wire.Roster{Version: 1, Members: []wire.Member{member(0), member(1), member(2)}}
	restarted := member(1)
	restarted.Incarnation = 99
	position := Position{Term: 3, Table: topology.Version{Term: 3, Sequence: 5}, Config: 7}
	replies := map[string]wire.WitnessReply{
		"another incarnation":   {Member: restarted},
		"newer term":            {Member: member(1), Term: 4},
		"newer table":           {Member: member(1), Term: 3, TableVersion: topology.Version{Term: 3, Sequence: 6}},
		"newer configuration":   {Member: member(1), Term: 3, ConfigVersion: 8},
		"no member of a roster": {Member: member(9)},
	}
	for what, reply := range replies {
		rule := NewRule(member(0))
		rule.SetRosters(roster, nil)
		rule.Record(10, reply)
		if end := rule.AuthorityEnd(10, position, position); end != 0 {
			t.Errorf("%s gives authority until %d", what, end)
		}
		rule.Record(20, wire.WitnessReply{Member: member(2), Term: 3, TableVersion: position.Table, ConfigVersion: 7})
		if end := rule.AuthorityEnd(30, position, position); end != lease.HolderEnd(20, lease.TTL) {
			t.Errorf("after %s, a confirmation gives authority until %d", what, end)
		}
	}
	acceptance := NewAcceptance(roster, nil)
	acceptance.Accept(restarted, 1)
	acceptance.Accept(member(0), 2)
	if _, ok := acceptance.HalfAcceptedAt(); ok {
		t.Error("a restarted member was counted for a successor")
	}
}
