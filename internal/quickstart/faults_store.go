package quickstart

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/internal/standin/platform"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/operator"
)

const (
	// lostReplies, lateWrites and lateBy describe the ambiguous writes. A late write takes effect after its writer has
	// begun to resolve it.
	lostReplies = 4
	lateWrites  = 3
	lateBy      = 1500 * time.Millisecond
)

// storeFaults sets how the store misbehaves; the zero value ends the misbehaviour.
func (f *faultRun) storeFaults(faults platform.Faults) error {
	return f.putJSON("http://"+f.platformAddress()+"/faults", faults)
}

func (f *faultRun) putJSON(url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return trace.Wrap(err)
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := f.deployment.client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return trace.BadParameter("%s answered %s", url, response.Status)
	}
	return nil
}

// killTargetWithoutStore ends a keyed target while the store doesn't answer. Its recorded successors take over.
func killTargetWithoutStore(ctx context.Context, f *faultRun) error {
	pool, ok := f.keyedPool()
	if !ok {
		return trace.NotFound("no keyed pool in the configuration")
	}
	victim := pool.Targets[0]
	byOwner := f.prober.keysByOwner()
	if len(byOwner[victim.ID]) == 0 {
		return trace.NotFound("no probed key is owned by %s", victim.ID)
	}
	if err := f.storeFaults(platform.Faults{Down: true, DownMode: platform.DownHang}); err != nil {
		return trace.Wrap(err)
	}
	others := f.prober.watch(ctx, someOf(byOwner, victim.ID))
	time.Sleep(storeLossTime)
	f.targets[victim.ID].Kill()
	again := f.prober.servedAgain(ctx, byOwner[victim.ID])
	atMost(f.report, "keys of the killed target served again", milliseconds(again), maxServedAgain, "ms")
	time.Sleep(settleTime)
	f.judgeWatch("other keys: reads without an answer", others)
	if err := f.storeFaults(platform.Faults{}); err != nil {
		return trace.Wrap(err)
	}
	if err := f.startTarget(*pool, victim, true); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(f.waitRecovered(ctx))
}

func (f *faultRun) judgeWatch(name string, w *watch) {
	w.stop()
	f.report.note("reads of watched keys", fmt.Sprint(w.reads))
	atMost(f.report, name, w.unanswered, 0, "")
	if w.example != "" {
		f.report.note("example", w.example)
	}
}

// killControllerWithoutStore ends the active controller while the store doesn't answer. The holders keep serving.
func killControllerWithoutStore(ctx context.Context, f *faultRun) error {
	victim := f.leader(ctx)
	if victim == nil {
		return trace.NotFound("no entry VM leads cell %s", f.config.Regions[0].Name)
	}
	byOwner := f.prober.keysByOwner()
	if err := f.storeFaults(platform.Faults{Down: true, DownMode: platform.DownHang}); err != nil {
		return trace.Wrap(err)
	}
	watched := f.prober.watch(ctx, someOf(byOwner, ""))
	time.Sleep(time.Second)
	victim.controller.Kill()
	time.Sleep(2 * storeLossTime)
	f.judgeWatch("keys: reads without an answer while store and controller are lost", watched)
	if err := f.storeFaults(platform.Faults{}); err != nil {
		return trace.Wrap(err)
	}
	again := f.prober.watch(ctx, someOf(byOwner, ""))
	back := time.Now()
	err := f.waitRecovered(ctx)
	f.report.note("a new controller leads after", time.Since(back).Round(time.Millisecond).String())
	f.judgeWatch("keys: reads without an answer while a new controller takes over", again)
	return trace.Wrap(err)
}

// ambiguousWrites takes a failure domain out and kills a router while replies of the store are lost and writes take effect
// late.
func ambiguousWrites(ctx context.Context, f *faultRun) error {
	region := f.config.Regions[1]
	domain := region.Domains[1]
	victim, err := f.gateway(ctx, f.config.Regions[0].Name)
	if err != nil {
		return trace.Wrap(err)
	}
	keys := f.allKeys()
	faults := platform.Faults{LoseReplies: lostReplies, ApplyLateCount: lateWrites, ApplyLateMillis: lateBy.Milliseconds()}
	if err := f.storeFaults(faults); err != nil {
		return trace.Wrap(err)
	}
	results := make(chan operator.Result, 1)
	go func() { results <- f.takeOut(ctx, operator.FailureDomain, domain) }()
	victim.router.Kill()
	again := f.prober.servedAgain(ctx, keys)
	atMost(f.report, "all keys served again", milliseconds(again), maxServedAgain, "ms")
	result := <-results
	accepted := clock.Boottime{}.Now()
	f.report.add(outcome{name: "domain taken out", measured: string(result.Outcome), bound: string(operator.Accepted),
		ok: result.Outcome == operator.Accepted})
	time.Sleep(settleTime)
	last, err := f.lastStart(domain)
	if err != nil {
		return trace.Wrap(err)
	}
	atMost(f.report, "time from acceptance until the domain got no new work", milliseconds(max(0, last.Sub(accepted))), maxDomainOut, "ms")
	f.noteCounts()
	back := f.operator.In(ctx, operator.FailureDomain, domain, operator.ApplyOptions{Reason: "maintenance done"})
	f.report.add(outcome{name: "domain back in service", measured: string(back.Outcome), bound: string(operator.Accepted),
		ok: back.Outcome == operator.Accepted})
	victim.controller.Kill()
	if err := f.startVM(victim); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(f.waitRecovered(ctx))
}

// takeOut takes something out of service and finds out what became of a pending change.
func (f *faultRun) takeOut(ctx context.Context, kind operator.Kind, name string) operator.Result {
	result := f.operator.Out(ctx, kind, name, operator.ApplyOptions{Reason: "maintenance"})
	for range 3 {
		if result.Outcome != operator.Pending || result.Pending == nil {
			break
		}
		result = f.operator.Resolve(ctx, *result.Pending, false)
	}
	return result
}

// noteCounts prints how many writes of the store were ambiguous.
func (f *faultRun) noteCounts() {
	response, err := f.deployment.client.Get("http://" + f.platformAddress() + "/counts")
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var counts platform.Counts
	if json.NewDecoder(response.Body).Decode(&counts) == nil {
		f.report.note("writes with a lost reply / applied late", fmt.Sprintf("%d / %d", counts.LostReplies, counts.LateWrites))
	}
}

// raceOperators lets two operators change the same version.
func raceOperators(ctx context.Context, f *faultRun) error {
	const rounds = 10
	oneAccepted, told := 0, 0
	slowest := time.Duration(0)
	for round := range rounds {
		current, err := f.operator.Current(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		results := make(chan operator.Result, 2)
		begin := time.Now()
		for i := range 2 {
			changed := current.Config.Clone()
			changed.Routes[i].Weight += 1 + round
			go func() {
				results <- f.operator.Apply(ctx, changed, operator.ApplyOptions{Seen: current.Head.Version, Reason: fmt.Sprintf("operator %d", i)})
			}()
		}
		a, b := <-results, <-results
		slowest = max(slowest, time.Since(begin))
		if a.Outcome != operator.Accepted {
			a, b = b, a
		}
		if a.Outcome == operator.Accepted && b.Outcome == operator.Conflict {
			oneAccepted++
		} else {
			f.report.note("example", fmt.Sprintf("%s: %s; %s: %s", a.Outcome, a.Message, b.Outcome, b.Message))
		}
		if len(b.Others) == 1 && len(b.Others[0].Changes) > 0 && b.Others[0].Version == a.Version {
			told++
		}
	}
	f.report.add(outcome{name: "races with exactly one accepted change", measured: fmt.Sprint(oneAccepted), bound: fmt.Sprint(rounds), ok: oneAccepted == rounds})
	f.report.add(outcome{name: "losers that are told what changed", measured: fmt.Sprint(told), bound: fmt.Sprint(rounds), ok: told == rounds})
	atMost(f.report, "slowest race until accepted", milliseconds(slowest), maxInForce, "ms")
	return nil
}
