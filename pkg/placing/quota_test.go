package placing

import (
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

// quotaHarness returns a harness whose organisation "limited" has a quota, and whose broker has had the quotas for a minute.
func quotaHarness(t *testing.T, targets, slots int, rate, burst float64) *harness {
	h := newHarness(t, targets, slots)
	h.cfg.Organisations = map[string]*inventory.Organisation{"limited": {Name: "limited", Rate: rate, Burst: burst}, "free": {Name: "free"}}
	h.b.StartQuotas(sharedrate.GranterOptions{Coordinator: 1, Allowance: sharedrate.DefaultAllowance}, h.now)
	h.b.SetQuotaAuthority(h.now.Add(time.Hour), sharedrate.Holders{}, h.now)
	h.now = h.now.Add(time.Minute)
	return h
}

// Guards against requests above a quota that are sent, requests below it that are refused, and refusals without a time that spreads the
// returns over the tokens to come.
func TestBrokerAdmitsByQuota(t *testing.T) {
	h := quotaHarness(t, 50, 2, 10, 20)
	for i := range 20 {
		if _, v := h.place(PlacementRequest{Pool: "plain", Organisation: "limited"}); v == nil || v.Target == "" {
			t.Fatalf("request %d within the burst got %v", i, v)
		}
	}
	for i := 1; i <= 3; i++ {
		_, v := h.place(PlacementRequest{Pool: "plain", Organisation: "limited"})
		if want := time.Duration(i) * 100 * time.Millisecond; v == nil || v.Reason != ReasonQuota || (v.Expected-want).Abs() > time.Millisecond {
			t.Errorf("refusal %d above the quota is %v, want a return in %v", i, v, want)
		}
	}
	for _, organisation := range []string{"free", ""} {
		if _, v := h.place(PlacementRequest{Pool: "plain", Organisation: organisation}); v == nil || v.Target == "" {
			t.Errorf("a request of %q without a quota got %v", organisation, v)
		}
	}
	if _, v := h.place(PlacementRequest{Pool: "plain", Organisation: "limited", Retry: true}); v == nil || v.Target == "" {
		t.Errorf("the second attempt of an admitted request got %v", v)
	}
}

// retryBudgetOf returns a budget of the given number of retries that isn't refilled.
func retryBudgetOf(tokens float64) *RetryBudget {
	return &RetryBudget{capacity: tokens, initial: tokens, window: time.Second, pools: map[string]*tokenBucket{}}
}

// Guards against hedges that use up the quota although the retry budget refuses them, and against the reverse.
func TestRefusedHedgesUseUpNothing(t *testing.T) {
	h := quotaHarness(t, 50, 2, 10, 20)
	hedge := PlacementRequest{Pool: "plain", Organisation: "limited"}.AsHedge("t0")
	h.b.budget = retryBudgetOf(0)
	for range 30 {
		if _, v := h.place(hedge); v == nil || v.Reason != ReasonRetryBudget {
			t.Fatalf("a hedge without a retry budget got %v", v)
		}
	}
	limit := sharedrate.Limit{Rate: 10, Burst: 20}
	sent := 0
	for ok := true; ok; sent++ {
		ok = h.b.quotas.Send("limited", limit, false, h.now)
	}
	if sent <= 20 {
		t.Errorf("the quota permits to send %d requests of a burst of 20", sent-1)
	}
	h.b.budget = retryBudgetOf(1)
	for ok := true; ok; {
		ok = h.b.quotas.Send("limited", limit, true, h.now)
	}
	if _, v := h.place(hedge); v == nil || v.Reason != ReasonQuota || h.b.budget.pools["plain"].tokens != 1 {
		t.Errorf("a hedge above the quota got %v", v)
	}
}

// Guards against tokens that are lost with requests that were never sent, and are then missing below the quota.
func TestUnsentRequestsReturnTheirTokens(t *testing.T) {
	h := quotaHarness(t, 1, 1, 1, 4)
	h.place(PlacementRequest{Pool: "plain"})
	id, v := h.place(PlacementRequest{Pool: "plain", Organisation: "limited"})
	if v != nil {
		t.Fatalf("the request doesn't wait: %v", v)
	}
	h.b.Cancel("vm", id, h.now)
	if _, v := h.place(PlacementRequest{Pool: "plain", Organisation: "limited", TimeLeft: time.Millisecond}); v == nil || v.Target != "" {
		t.Fatalf("a request without time got %v", v)
	}
	h.place(PlacementRequest{Pool: "plain", Organisation: "limited"})
	h.b.RemoveVM("vm", h.now)
	if s := h.b.QuotaState(1, h.now); len(s.Uses) != 1 || s.Uses[0].Tokens != 4 {
		t.Errorf("tokens left are %+v, want all 4", s.Uses)
	}
}

// Guards against tokens that are lost with requests that were placed and then not sent.
func TestWithdrawnPlacementsReturnTheirTokens(t *testing.T) {
	h := quotaHarness(t, 50, 2, 10, 20)
	for range 30 {
		id, v := h.place(PlacementRequest{Pool: "plain", Organisation: "limited"})
		if v == nil || v.Target == "" {
			t.Fatalf("a request below the quota got %v", v)
		}
		h.b.Cancel("vm", id, h.now)
		h.b.Cancel("vm", id, h.now)
	}
	for range 20 {
		h.place(PlacementRequest{Pool: "plain", Organisation: "limited"})
	}
	if _, v := h.place(PlacementRequest{Pool: "plain", Organisation: "limited"}); v == nil || v.Reason != ReasonQuota {
		t.Errorf("a request above the quota got %v", v)
	}
}

// Guards against requests that were admitted over several seconds while a pool was stalled, and are then sent within one window.
func TestStalledRequestsAreNotSentTogether(t *testing.T) {
	h := quotaHarness(t, 40, 1, 4, 4)
	var blockers []uint64
	for range 40 {
		id, _ := h.place(PlacementRequest{Pool: "plain", TimeLeft: time.Minute})
		blockers = append(blockers, id)
	}
	sent := 0
	for range 40 {
		h.seq++
		a := PlacementRequest{VM: "vm", Seq: h.seq, Pool: "plain", Organisation: "limited", TimeLeft: time.Minute, Objective: time.Minute}
		h.b.Place(a, func(v Decision) {
			if v.Target != "" {
				sent++
			}
		}, h.now)
		h.now = h.now.Add(250 * time.Millisecond)
	}
	for _, id := range blockers {
		h.b.Done("vm", id, time.Second, Answered, nil, h.now)
	}
	start := h.now
	for ; h.now.Sub(start) < 4*time.Second; h.now = h.now.Add(50 * time.Millisecond) {
		h.b.Tick(h.now)
	}
	if sent < 16 || sent > 20 {
		t.Errorf("%d requests were sent within 4 s after the stall, want 4 at once and 4 a second", sent)
	}
}

// Guards against a stall after which all requests of an organisation wait for as long as it sends more than its quota: those admitted during
// the stall were ahead of all later ones, and each waited for about its objective. Some were refused shortly before their deadline.
func TestBacklogOfAStallEnds(t *testing.T) {
	const rate, timeLeft = 40, 6 * time.Second
	h := quotaHarness(t, 100, 4, rate, rate/2)
	var running []uint64
	for range 400 {
		id, _ := h.place(PlacementRequest{Pool: "plain", TimeLeft: time.Minute})
		running = append(running, id)
	}
	start, sent := h.now, 0
	settled := start.Add(2500*time.Millisecond + timeLeft)
	for step := 0; h.now < settled.Add(5*time.Second); step++ {
		if stalled := h.now < start.Add(2500*time.Millisecond); !stalled && step%10 == 0 {
			for _, id := range running {
				h.b.Done("vm", id, 100*time.Millisecond, Answered, nil, h.now)
			}
			running = nil
		}
		h.seq++
		arrived, seq := h.now, h.seq
		h.b.Place(PlacementRequest{VM: "vm", Seq: seq, Pool: "plain", Organisation: "limited", TimeLeft: timeLeft, Objective: 1500 * time.Millisecond}, func(v Decision) {
			waited := h.now.Sub(arrived)
			switch {
			case v.Target == "" && waited > timeLeft/2:
				t.Errorf("a request is refused (%s) after %v", v.Reason, waited)
			case v.Target != "" && arrived >= settled && waited > 250*time.Millisecond:
				t.Errorf("a request is sent after %v, the stall ended %v ago", waited, h.now.Sub(start.Add(2500*time.Millisecond)))
			}
			if v.Target != "" {
				running = append(running, seq)
				if h.now >= settled {
					sent++
				}
			}
		}, h.now)
		h.now = h.now.Add(20 * time.Millisecond)
		if step%5 == 0 {
			h.b.Tick(h.now)
		}
	}
	if sent < 5*rate*9/10 {
		t.Errorf("%d requests sent in 5 s, the quota permits %d", sent, 5*rate)
	}
	if h.b.RemoveVM("vm", h.now); len(h.b.deferred) != 0 {
		t.Errorf("deferred requests are left of %v", h.b.deferred)
	}
}

// Guards against a broker without a ledger or with nothing but unknown shares that takes itself for the owner of all quotas.
func TestBrokerWithoutShareRefuses(t *testing.T) {
	h := quotaHarness(t, 1, 1, 1, 4)
	h.b.StartQuotas(sharedrate.GranterOptions{Coordinator: 2, Allowance: sharedrate.DefaultAllowance, Inherited: sharedrate.Holders{Names: []uint32{1, 2}, MaxShare: 0.5}}, h.now)
	h.b.SetQuotaAuthority(h.now.Add(time.Hour), sharedrate.Holders{}, h.now)
	if _, v := h.place(PlacementRequest{Pool: "plain", Organisation: "limited"}); v == nil || v.Reason != ReasonNoShare || v.Expected <= 0 {
		t.Errorf("a request without a share got %v", v)
	}
}

// Guards against hedges that the retry budget refuses, but that have used up the quota of requests that are sent.
func TestRefusedHedgesReturnTheirTokens(t *testing.T) {
	h := quotaHarness(t, 50, 2, 10, 20)
	_, first := h.place(PlacementRequest{Pool: "plain", Organisation: "limited"})
	for b := true; b; {
		b = h.b.budget.TakeRetry("plain", h.now)
	}
	for i := range 19 {
		hedge := PlacementRequest{Pool: "plain", Organisation: "limited", Avoid: []string{first.Target}, Hedge: true, Retry: true}
		if _, v := h.place(hedge); v == nil || v.Reason != ReasonRetryBudget {
			t.Fatalf("hedge %d without a retry budget got %v", i, v)
		}
	}
	for i := range 19 {
		if _, v := h.place(PlacementRequest{Pool: "plain", Organisation: "limited"}); v == nil || v.Target == "" {
			t.Fatalf("request %d within the burst got %v", i, v)
		}
	}
}
