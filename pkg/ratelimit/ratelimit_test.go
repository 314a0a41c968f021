package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

var target = inventory.Incarnation{Target: "t", Started: 1}

func at(ms int) clock.Instant {
	return clock.Instant(time.Hour).Add(time.Duration(ms) * time.Millisecond)
}

func named(rate float64) Notice {
	return Notice{Kind: Named, Rate: rate}
}

func (t *Tracker) expect(test *testing.T, what string, rate float64, limited bool) {
	test.Helper()
	if got, ok := t.Rate(target); ok != limited || ok && got != rate {
		test.Errorf("%s: limit %v (%v), want %v (%v)", what, got, ok, rate, limited)
	}
}

// Guards against responses that are learned of in another order than they were created: an older response must neither withdraw
// nor raise a limit, and one whose order is unknown may only tighten it.
func TestResponsesOutOfOrder(t *testing.T) {
	l := NewTracker()
	l.Observe(target, named(2), at(100), at(200))
	l.Observe(target, Notice{}, at(0), at(250))
	l.expect(t, "withdrawal of unknown order", 2, true)
	l.Observe(target, named(50), at(150), at(260))
	l.expect(t, "higher limit of unknown order", 2, true)
	l.Observe(target, named(1), at(150), at(270))
	l.expect(t, "lower limit of unknown order", 1, true)
	l.Observe(target, named(50), at(0), at(90))
	l.expect(t, "older limit", 1, true)
	l.Observe(target, named(3), at(270), at(300))
	l.expect(t, "newer limit", 3, true)
	l.Observe(target, Notice{}, at(300), at(400))
	l.expect(t, "newer withdrawal", 0, false)
	l.Observe(target, named(2), at(250), at(290))
	l.expect(t, "limit from before the withdrawal", 0, false)
	l.Observe(inventory.Incarnation{Target: "t", Started: 2}, named(2), at(500), at(510))
	l.expect(t, "limit of the next incarnation", 0, false)
}

// Guards against an unreadable limit that lifts the one in force, and against limits so low that no response could withdraw them.
func TestUnusableLimits(t *testing.T) {
	l := NewTracker()
	l.Observe(target, Notice{Kind: Unreadable}, at(0), at(1))
	l.expect(t, "unreadable", 0, false)
	l.Observe(target, named(2), at(10), at(20))
	l.Observe(target, Notice{Kind: Unreadable}, at(30), at(40))
	l.expect(t, "unreadable after a limit", 2, true)
	l.Observe(target, named(0), at(50), at(60))
	l.expect(t, "zero", MinRate, true)
}

// Guards against a limit that never rises or ends again because requests overlap all the time, and against one that is exceeded
// because responses arrive in any order. The newest response that has arrived is the stricter one of those that overlap with it.
func TestRandomResponses(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := NewTracker()
		// The target names a limit from 1000 to 2000 ms, a higher one until 3000 ms, and none from then on.
		says := func(ms int) Notice {
			switch {
			case ms < 1000 || ms >= 3000:
				return Notice{}
			case ms < 2000:
				return named(2)
			default:
				return named(8)
			}
		}
		arrivals := map[int][][2]int{}
		for sent := 0; sent < 4000; sent += 10 + random.IntN(40) {
			created := sent + random.IntN(200)
			arrives := created + random.IntN(100)
			arrivals[arrives] = append(arrivals[arrives], [2]int{sent, created})
		}
		// A response takes 300 ms at most, and so does the one that shows a change for certain.
		const settled = 2*300 + 50
		for ms := range 4300 {
			for _, r := range arrivals[ms] {
				l.Observe(target, says(r[1]), at(r[0]), at(ms))
			}
			rate, limited := l.Rate(target)
			switch {
			case ms >= 1000+settled && ms < 2000 && rate != 2,
				ms >= 2000+settled && ms < 3000 && rate != 8,
				ms >= 3000+settled && ms < 4000 && limited:
				t.Fatalf("seed %d: limit %v (%v) at %d ms", seed, rate, limited, ms)
			}
		}
	}
}

// Guards against limits that VMs lose when they exchange them, and against a stale record that undoes a newer one.
func TestRecordsAreExchanged(t *testing.T) {
	first, second := NewTracker(), NewTracker()
	first.Observe(target, named(2), at(0), at(10))
	if list := first.Changes(at(20)); len(list) != 1 || len(first.Changes(at(20))) != 0 {
		t.Fatalf("changes: %v", list)
	}
	// The clocks of two VMs aren't comparable.
	const offset = 7777
	second.Merge(first.Records(at(100)), at(offset+100))
	second.expect(t, "merged", 2, true)
	stale := first.Records(at(100))
	first.Observe(target, Notice{}, at(200), at(210))
	second.Merge(first.Changes(at(300)), at(offset+300))
	second.expect(t, "withdrawn", 0, false)
	second.Merge(stale, at(offset+100))
	second.expect(t, "stale record", 0, false)
	if list := second.TakeLogEntries(at(offset + 400)); len(list) != 1 || list[0].Limited {
		t.Errorf("log entries: %v", list)
	}
}

// Guards against entries that are never dropped, and against a limit that is lost while its target's registration is missing after
// an outage of the store.
func TestPrune(t *testing.T) {
	l := NewTracker()
	l.Observe(target, named(2), at(0), at(10))
	none := func(inventory.Incarnation) bool { return false }
	l.Prune(none, at(5000))
	l.expect(t, "registration missing for 5 s", 2, true)
	l.Prune(none, at(100_000))
	l.expect(t, "registration gone", 0, false)
	l.Observe(target, named(2), at(0), at(10))
	l.Observe(target, Notice{}, at(20), at(30))
	l.Prune(func(inventory.Incarnation) bool { return true }, at(20_000))
	if n := len(l.Records(at(20_000))); n != 0 {
		t.Errorf("%d states of targets without a limit remain", n)
	}
}

// Guards against a limit that lasts for good because its target gets no request in whose response it could withdraw the limit.
func TestSilentLimitExpires(t *testing.T) {
	coordinator, other := NewTracker(), NewTracker()
	coordinator.Observe(target, named(2), at(0), at(10))
	coordinator.Observe(target, named(2), at(20_000), at(20_010))
	other.Merge(coordinator.Changes(at(20_010)), at(20_010))
	coordinator.ExpireSilent(at(45_000))
	coordinator.expect(t, "confirmed 25 s ago", 2, true)
	coordinator.ExpireSilent(at(51_000))
	coordinator.expect(t, "confirmed 31 s ago", 0, false)
	other.Merge(coordinator.Changes(at(51_000)), at(51_000))
	other.expect(t, "another VM", 0, false)
}
