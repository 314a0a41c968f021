package placing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
)

// preparedHedger returns a Hedger that knows 100 requests of route r with latencies of 1 to 100 ms.
func preparedHedger(share float64, now clock.Instant) *Hedger {
	h := NewHedger(share)
	for i := range 100 {
		h.Begin(plainHedge(), now)
		h.Observe("r", time.Duration(i+1)*time.Millisecond, true, now)
	}
	return h
}

func plainHedge() HedgeRequest {
	return HedgeRequest{Route: "r", Idempotent: true, Replayable: true, Attempts: 1, MaxAttempts: 2, TimeLeft: time.Second}
}

// Guards against hedges of requests that must not be sent twice or can't profit, and against wrong reasons when several apply.
func TestHedgeReasons(t *testing.T) {
	now := clock.Instant(time.Hour)
	h := preparedHedger(0.1, now)
	now = now.Add(time.Second)
	with := func(change func(*HedgeRequest)) HedgeRequest {
		r := plainHedge()
		change(&r)
		return r
	}
	for _, test := range []struct {
		request HedgeRequest
		want    HedgeReason
	}{
		{plainHedge(), HedgeSent},
		{with(func(r *HedgeRequest) { r.Idempotent, r.Keyed, r.Attempts = false, true, 2 }), HedgeNotIdempotent},
		{with(func(r *HedgeRequest) { r.Keyed, r.Replayable = true, false }), HedgeKeyed},
		{with(func(r *HedgeRequest) { r.Replayable, r.Route = false, "other" }), HedgeNotReplayable},
		{with(func(r *HedgeRequest) { r.Attempts, r.TimeLeft = 2, 0 }), HedgeMaxAttempts},
		{with(func(r *HedgeRequest) { r.Route, r.TimeLeft = "other", 0 }), HedgeFewSamples},
		{with(func(r *HedgeRequest) { r.TimeLeft = 40 * time.Millisecond }), HedgeTimeLeft},
	} {
		if got := h.Admit(test.request, now); got != test.want {
			t.Errorf("%+v: %q, want %q", test.request, got, test.want)
		}
	}
	if delay, reason := h.Begin(plainHedge(), now); reason != HedgeSent || delay < 94*time.Millisecond || delay > 97*time.Millisecond {
		t.Errorf("delay %v (%s), want the 95th percentile of 1 to 100 ms", delay, reason)
	}
	if _, reason := h.Begin(plainHedge(), now.Add(time.Minute)); reason != HedgeFewSamples {
		t.Errorf("latencies are used after a minute: %q", reason)
	}
	off := NewHedger(0)
	if _, reason := off.Begin(plainHedge(), now); reason != HedgeOff || off.Admit(plainHedge(), now) != HedgeOff {
		t.Errorf("without the setting: %q", reason)
	}
}

// Guards against a hedge that is given up for a reason that may have passed a moment later, and against endless questions to the broker.
func TestHedgeIsAskedForAgain(t *testing.T) {
	for reason, want := range map[HedgeReason]int{
		HedgeNoFreeSlot: maxHedgeAsks, HedgeExtraShare: maxHedgeAsks, HedgeUndecided: maxHedgeAsks, HedgeSuspected: 1, HedgeAnswered: 1, HedgeTimeLeft: 1,
	} {
		asked, total := 1, time.Millisecond
		for delay, again := NextAsk(reason, asked, time.Millisecond); again; delay, again = NextAsk(reason, asked, delay) {
			asked++
			total += delay
		}
		if asked != want || total != time.Millisecond*(1<<want-1) {
			t.Errorf("%s: asked %d times within %v", reason, asked, total)
		}
	}
}

// Guards against more extra requests than set: of 100 requests, a tenth may be hedged, whether the broker's decision is awaited or known.
// Hedges that weren't placed don't count, and room comes back after 10 s.
func TestExtraShareIsLimited(t *testing.T) {
	now := clock.Instant(time.Hour)
	h := preparedHedger(0.1, now)
	now = now.Add(time.Second)
	admitted := func() (n int) {
		for range 30 {
			if h.Admit(plainHedge(), now) == HedgeSent {
				n++
			}
		}
		return n
	}
	if n := admitted(); n != 10 {
		t.Errorf("%d of 100 requests hedged while undecided", n)
	}
	for i := range 10 {
		h.Place(i%2 == 0, now)
	}
	if n := admitted(); n != 5 {
		t.Errorf("%d further hedges after 5 of 10 were placed", n)
	}
	for range 5 {
		h.Place(true, now)
	}
	now = now.Add(hedgeWindow + hedgeWindowPart)
	if n := admitted(); n != 0 {
		t.Errorf("%d hedges without requests in the last 10 s", n)
	}
	for range 50 {
		h.Begin(plainHedge(), now)
	}
	if n := admitted(); n != 5 {
		t.Errorf("%d of 50 requests hedged after 10 s", n)
	}
}

// Guards against a delay that falls because the hedged attempts are not counted or are counted with the time at which they were ended.
func TestEndedAttemptsDoNotLowerTheDelay(t *testing.T) {
	now := clock.Instant(time.Hour)
	h := preparedHedger(0.1, now)
	for range 20 {
		now = now.Add(time.Second)
		delay := h.Delays(now)["r"]
		for i := range 88 {
			h.Observe("r", time.Duration(i+1)*time.Millisecond, true, now)
		}
		for range 12 {
			h.Observe("r", delay, false, now)
		}
		for range 300 {
			h.Observe("r", delay/4, false, now) // Its caller has left.
		}
	}
	if delay := h.Delays(now)["r"]; delay < 90*time.Millisecond || delay > 110*time.Millisecond {
		t.Errorf("delay is %v after 20 s, was 95 ms", delay)
	}
}

// Guards against hedges that take the last free slots, wait, pass waiting requests, go to the first target again, to another region or
// beyond the retry budget, or to a key's owner.
func TestBrokerPlacesHedgesOnlyInSpareSlots(t *testing.T) {
	h := newHarness(t, 4, 2)
	for i, target := range h.target {
		target.Domain = map[int]string{0: "a", 1: "a", 2: "a2", 3: "b"}[i/2]
	}
	h.b.regionOf["a2"] = "r"
	h.update()
	hedge := func(pool, first string) *Decision {
		_, v := h.place(PlacementRequest{Pool: pool}.AsHedge(first))
		if v == nil {
			t.Fatal("a hedge waits")
		}
		return v
	}
	if v := hedge("keyed", "k0"); v.Target != "" {
		t.Errorf("hedge in a keyed pool: %+v", v)
	}
	if v := hedge("plain", "t0"); v.Target != "t2" {
		t.Errorf("hedge beside t0: %+v, want t2 in another domain of the region", v)
	}
	if v := hedge("plain", "t0"); v.Reason != ReasonRetryBudget {
		t.Errorf("hedge beyond the retry budget: %+v", v)
	}
	for range 30 {
		h.b.budget.AddAttempt("plain", h.now)
	}
	// Of the region's targets, t1 and t2 have 3 free slots, of which one must remain.
	if first, second, third := hedge("plain", "t0"), hedge("plain", "t0"), hedge("plain", "t0"); first.Target == "" || second.Target == "" || third.Target != "" {
		t.Errorf("hedges down to the last slot: %+v, %+v, %+v", first, second, third)
	}
	if v := hedge("plain", "t3"); v.Target != "" {
		t.Errorf("hedge in another region than the first attempt: %+v", v)
	}
	for {
		if _, v := h.place(PlacementRequest{Pool: "plain"}); v == nil {
			break
		}
	}
	h.b.mu.Lock()
	for id := range h.b.loads {
		h.b.loads[id].inFlight = 0 // Free slots that the waiting request hasn't been given yet.
	}
	h.b.mu.Unlock()
	if v := hedge("plain", "t0"); v.Target != "" {
		t.Errorf("hedge passes a waiting request: %+v", v)
	}
}

// Guards against a hedge that a broker of an earlier version, which doesn't know the mark, places before other requests.
func TestHedgeRanksLastWithoutItsMark(t *testing.T) {
	h := newHarness(t, 2, 1)
	first, v := h.place(PlacementRequest{Pool: "plain"})
	h.place(PlacementRequest{Pool: "plain"})
	h.b.budget.AddAttempt("plain", h.now)
	unmarked := PlacementRequest{Pool: "plain"}.AsHedge("other")
	unmarked.Hedge = false
	if _, v := h.place(unmarked); v != nil {
		t.Fatalf("%+v", v)
	}
	waiting, _ := h.place(PlacementRequest{Pool: "plain", Priority: 255<<8 | 255})
	h.b.Done("vm", first, 100*time.Millisecond, Answered, nil, h.now)
	if v == nil || h.b.waiting[requestID{"vm", waiting}] != nil {
		t.Error("the least urgent request waits")
	}
}

// Guards against hedges that count as a kind of request of their own: their target's service time would depend on which kinds are hedged,
// and the histogram of forecast errors would count their whole duration.
func TestHedgeIsOfTheKindOfItsRequest(t *testing.T) {
	h := newHarness(t, 4, 2)
	scope := tally.NewTestScope("", nil)
	h.b.RecordForecastErrors(scope)
	var routes []*inventory.Route
	for i, objective := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond} {
		routes = append(routes, &inventory.Route{Priority: i, Objective: objective, PoolWeights: []inventory.PoolWeight{{Pool: "plain", Weight: 1}}})
	}
	h.cfg = inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "plain", ColdRate: 2.5}}, routes)
	h.update()
	for i := range 400 {
		h.b.recordEnd(permit{rank: kindRank(i % 2)}, h.b.loads[fmt.Sprint("t", i/2%4)], time.Duration(80+400*(i%2))*time.Millisecond, Answered, nil, h.now)
	}
	h.b.budget.AddAttempt("plain", h.now)
	const long = 1 + 7<<8
	seq, v := h.place(PlacementRequest{Pool: "plain", Priority: long}.AsHedge("t0"))
	if v == nil || v.Target == "" {
		t.Fatalf("%+v", v)
	}
	before := h.b.loads[v.Target].serviceTime
	h.now = h.now.Add(480 * time.Millisecond)
	h.b.Done("vm", seq, 480*time.Millisecond, Answered, nil, h.now)
	if after := h.b.loads[v.Target].serviceTime; after > before*21/20 || len(h.b.kinds["plain"].list) != 2 {
		t.Errorf("the service time changes from %v to %v, %d kinds are known", before, after, len(h.b.kinds["plain"].list))
	}
	if other, _ := errorShares(scope, "other"); other > 0 {
		t.Error("the forecast error of a hedge is recorded as that of another kind")
	}
	if all, near := errorShares(scope, "1"); all != 1 || near < 1 {
		t.Errorf("%d forecast errors of the kind, %.1f of them near", all, near)
	}
}

// Guards against hedges of a request that may have crashed a target.
func TestSuspectedRequestsAreNotHedged(t *testing.T) {
	h := newHarness(t, 4, 2)
	seq, v := h.place(PlacementRequest{Pool: "plain", Fingerprint: fingerprintOf("bad")})
	h.b.Done("vm", seq, time.Millisecond, ConnectionLost, nil, h.now)
	h.now = h.now.Add(5 * time.Second)
	if _, second := h.place(PlacementRequest{Pool: "plain", Fingerprint: fingerprintOf("bad")}.AsHedge(v.Target)); second.Reason != ReasonSuspected {
		t.Errorf("%+v", second)
	}
}

// hedgeSim simulates VMs with a broker whose targets answer 3 of 100 requests seven times as late as usual.
type hedgeSim struct {
	*harness
	random    *rand.Rand
	hedgers   []*Hedger
	events    hedgeSimEvents
	latencies []time.Duration
	requests  []clock.Instant
	hedges    []clock.Instant
	perVM     []int
	won       int
	// slow is the number of the targets whose work takes twice as long.
	slow int
}

type hedgeSimEvent struct {
	at  clock.Instant
	run func()
}

type hedgeSimEvents []hedgeSimEvent

func (e hedgeSimEvents) Len() int           { return len(e) }
func (e hedgeSimEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e hedgeSimEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *hedgeSimEvents) Push(x any)        { *e = append(*e, x.(hedgeSimEvent)) }
func (e *hedgeSimEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	simTargets, simSlots = 40, 4
	hedgeSimWork         = 100 * time.Millisecond
	simDeadline          = 3 * time.Second
)

func runHedgeSim(t *testing.T, vms, slow int, share, perSecond float64, duration time.Duration) *hedgeSim {
	s := &hedgeSim{harness: newHarness(t, simTargets, simSlots), random: rand.New(rand.NewPCG(1, 2)), perVM: make([]int, vms), slow: slow}
	s.b = NewBroker(map[string]string{"a": "r"}, NewBrokerBudget(0.2, 60, 10*time.Second), s.b.suspects, s.b.limits.tracker, func(string, int) {})
	s.update()
	for range vms {
		s.hedgers = append(s.hedgers, NewHedger(share))
	}
	end := s.now.Add(duration)
	var arrive func()
	arrive = func() {
		s.request(s.random.IntN(vms))
		if s.now < end {
			s.at(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
		}
	}
	s.at(0, arrive)
	var tick func()
	tick = func() {
		s.b.Tick(s.now)
		if s.now < end.Add(simDeadline) {
			s.at(50*time.Millisecond, tick)
		}
	}
	s.at(0, tick)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(hedgeSimEvent)
		s.now = e.at
		e.run()
	}
	if len(s.b.permits) != 0 || len(s.b.waiting) != 0 {
		t.Errorf("%d slots are never released, %d requests wait", len(s.b.permits), len(s.b.waiting))
	}
	return s
}

func (s *hedgeSim) at(after time.Duration, run func()) {
	heap.Push(&s.events, hedgeSimEvent{s.now.Add(after), run})
}

// simAttempt is an attempt at a target.
type simAttempt struct {
	seq    uint64
	target string
	sent   clock.Instant
	ended  bool
}

// place asks the broker; then is called when the request is placed.
func (s *hedgeSim) placeFor(vm int, a PlacementRequest, then func(*simAttempt)) {
	s.seq++
	a.VM, a.Domain, a.Region, a.Seq, a.Pool = fmt.Sprint("vm", vm), "a", "r", s.seq, "plain"
	attempt := &simAttempt{seq: s.seq}
	s.b.Place(a, func(v Decision) {
		attempt.target, attempt.sent = v.Target, s.now
		// The broker must not be called from its reply.
		s.at(0, func() { then(attempt) })
	}, s.now)
}

func (s *hedgeSim) work(target string) time.Duration {
	work := time.Duration(float64(hedgeSimWork) * (0.5 + s.random.Float64()))
	if s.random.Float64() < 0.03 {
		work *= 7
	}
	var number int
	_, _ = fmt.Sscanf(target, "t%d", &number)
	if number < s.slow {
		work *= 2
	}
	return work
}

func (s *hedgeSim) request(vm int) {
	h, deadline := s.hedgers[vm], s.now.Add(simDeadline)
	left := func() time.Duration { return deadline.Sub(s.now) }
	place := PlacementRequest{TimeLeft: left(), Objective: 500 * time.Millisecond}
	request := HedgeRequest{Route: "r", Idempotent: true, Replayable: true, Attempts: 1, MaxAttempts: 2}
	s.placeFor(vm, place, func(first *simAttempt) {
		if first.target == "" {
			return
		}
		s.requests = append(s.requests, s.now)
		var hedge *simAttempt
		s.at(s.work(first.target), func() { s.answer(vm, first, hedge) })
		request.TimeLeft = left()
		delay, reason := h.Begin(request, s.now)
		if reason != HedgeSent {
			return
		}
		s.at(delay, func() {
			if request.TimeLeft = left(); first.ended || h.Admit(request, s.now) != HedgeSent {
				return
			}
			place.TimeLeft = left()
			s.placeFor(vm, place.AsHedge(first.target), func(second *simAttempt) {
				h.Place(second.target != "", s.now)
				if second.target == "" {
					return
				}
				s.hedges = append(s.hedges, s.now)
				s.perVM[vm]++
				if first.ended {
					s.finish(vm, second, Abandoned)
					return
				}
				hedge = second
				s.at(s.work(second.target), func() {
					if !first.ended {
						s.won++
					}
					s.answer(vm, second, first)
				})
			})
		})
	})
}

// answer ends an attempt with an answer, and the other one of the request.
func (s *hedgeSim) answer(vm int, a, other *simAttempt) {
	if a.ended {
		return
	}
	start := a.sent
	if other != nil {
		start = min(start, other.sent)
		s.finish(vm, other, Abandoned)
	}
	s.finish(vm, a, Answered)
	s.latencies = append(s.latencies, s.now.Sub(start))
	first := a
	if other != nil && other.sent < a.sent {
		first = other
	}
	s.hedgers[vm].Observe("r", s.now.Sub(first.sent), first == a, s.now)
}

func (s *hedgeSim) finish(vm int, a *simAttempt, result Result) {
	if !a.ended {
		a.ended = true
		s.b.Done(fmt.Sprint("vm", vm), a.seq, s.now.Sub(a.sent), result, nil, s.now)
	}
}

func (s *hedgeSim) percentile(p float64) time.Duration {
	sorted := slices.Sorted(slices.Values(s.latencies))
	return sorted[int(p/100*float64(len(sorted)-1))]
}

// largestShare returns the largest share of hedges among the requests of 10 s that end with a hedge.
func (s *hedgeSim) largestShare() float64 {
	largest := 0.0
	for i, at := range s.hedges {
		oldestHedge, _ := slices.BinarySearch(s.hedges, at.Add(-hedgeWindow))
		oldest, _ := slices.BinarySearch(s.requests, at.Add(-hedgeWindow))
		newest, _ := slices.BinarySearch(s.requests, at+1)
		largest = max(largest, float64(i+1-oldestHedge)/float64(newest-oldest))
	}
	return largest
}

// Guards against hedges that don't shorten the slowest responses, that exceed the set share, and against slots that stay occupied by
// attempts that were ended. The share holds for the sum of hundreds of VMs, each of which knows only its own requests.
func TestHedgesShortenSlowResponses(t *testing.T) {
	for _, test := range []struct {
		name      string
		vms, slow int
	}{{"slow requests", 20, 0}, {"slow targets", 20, 8}, {"300 VMs", 300, 0}} {
		without := runHedgeSim(t, test.vms, test.slow, 0, 600, 30*time.Second)
		with := runHedgeSim(t, test.vms, test.slow, 0.05, 600, 30*time.Second)
		t.Logf("%s: p50 %v and %v, p99 %v and %v without and with hedges; %d hedges of %d requests, %d won", test.name, without.percentile(50),
			with.percentile(50), without.percentile(99), with.percentile(99), len(with.hedges), len(with.requests), with.won)
		if len(without.hedges) != 0 || len(with.hedges) == 0 {
			t.Errorf("%s: %d hedges without and %d with the setting", test.name, len(without.hedges), len(with.hedges))
		}
		if with.percentile(99) >= without.percentile(99) {
			t.Errorf("%s: the slowest responses don't get faster", test.name)
		}
		if share := with.largestShare(); share > 0.05 {
			t.Errorf("%s: %.4f of the requests of 10 s are hedged", test.name, share)
		}
	}
}

// Guards against extra work that makes an overload worse: with twice the requests that the targets can serve, there is none once the
// queue has formed.
func TestNoHedgesUnderOverload(t *testing.T) {
	s := runHedgeSim(t, 20, 0, 0.1, 2700, 8*time.Second)
	from, to := s.requests[0].Add(4*time.Second), s.requests[0].Add(8*time.Second)
	for _, at := range s.hedges {
		if at >= from && at < to {
			t.Errorf("hedge %v after the start of an overload", at.Sub(s.requests[0]))
		}
	}
	if len(s.requests) < 5000 || len(s.hedges) == 0 {
		t.Errorf("only %d requests were served, %d hedged after the overload", len(s.requests), len(s.hedges))
	}
}

// BenchmarkHedger measures what a request costs that isn't hedged.
func BenchmarkHedger(b *testing.B) {
	now := clock.Instant(time.Hour)
	h := NewHedger(0.05)
	for b.Loop() {
		now = now.Add(30 * time.Millisecond)
		h.Begin(plainHedge(), now)
		h.Observe("r", 123*time.Millisecond, true, now)
	}
}

// TestRefusedHedgeTakesNoTokens guards against hedges that are refused because the retry budget is used up and nevertheless count as sent
// under the organisation's quota, so that requests below the quota have to wait.
func TestRefusedHedgeTakesNoTokens(t *testing.T) {
	h := quotaHarness(t, 50, 2, 1, 20)
	_, first := h.place(PlacementRequest{Pool: "plain", Organisation: "limited"})
	for h.b.budget.TakeRetry("plain", h.now) {
	}
	for range 10 {
		if _, v := h.place(PlacementRequest{Pool: "plain", Organisation: "limited"}.AsHedge(first.Target)); v == nil || v.Reason != ReasonRetryBudget {
			t.Fatalf("hedge without retry budget: %+v", v)
		}
	}
	for i := range 19 {
		if _, v := h.place(PlacementRequest{Pool: "plain", Organisation: "limited"}); v == nil || v.Target == "" {
			t.Fatalf("request %d below the quota got %v", i+2, v)
		}
	}
}
