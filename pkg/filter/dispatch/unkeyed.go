package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

// maxAttempts limits the attempts for one request, including hedges.
const maxAttempts = 3

// result is the outcome of one attempt.
type result struct {
	index    int
	response *exchange.Response
	err      error
	cancel   context.CancelFunc
}

// race runs the concurrent and sequential attempts for one request that any group may serve.
type race struct {
	f       *Filter
	ctx     context.Context
	x       *filter.Exchange
	started time.Time
	// candidates are the groups that haven't been tried yet.
	candidates []destination
	results    chan result
	cancels    []context.CancelFunc
	running    int
	// attempts is the number of attempts that count towards maxAttempts.
	attempts int
	// hedgeIndex is the index of the hedged attempt, or 0 if there is none.
	hedgeIndex int
}

// dispatchUnkeyed sends an unkeyed idempotent request to the less loaded of two random groups. It sends a hedged attempt
// after the route's measured 95th latency percentile and retries on another group; both draw on the same budget.
func (f *Filter) dispatchUnkeyed(ctx context.Context, x *filter.Exchange) (*exchange.Response, error) {
	r := &race{
		f:          f,
		ctx:        ctx,
		x:          x,
		started:    time.Now(),
		candidates: f.candidates(x, x.View),
		results:    make(chan result, maxAttempts),
	}
	if len(r.candidates) == 0 {
		r.refreshCandidates(false)
	}
	if !r.start() {
		return nil, noOwner("no target group of the pool has a gateway at the moment")
	}
	delay := f.latencies.hedgeDelay(x.Route.Name)
	if delay == 0 || !x.Body.IsBuffered() || len(r.candidates) == 0 {
		return r.run(nil)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	return r.run(timer.C)
}

// candidates returns the groups that have a gateway, are in service and may serve the request.
func (f *Filter) candidates(x *filter.Exchange, view *exchange.View) []destination {
	cfg := view.Config
	var out []destination
	for cell, table := range view.Tables {
		for i := range table.Groups {
			g := &table.Groups[i]
			if g.Gateway == "" || g.ID.Pool() != x.Pool.Name || cfg.DomainOut(g.ID.Domain()) {
				continue
			}
			region := cfg.RegionOf(g.ID.Domain())
			if region == "" || !permits(x.HomeRegions, region) {
				continue
			}
			out = append(out, destination{cell: cell, tableVersion: table.Version, group: g, region: region, cause: CauseSpill})
		}
	}
	return out
}

// preferred returns the indexes of the candidates to choose from: available groups in the router's region; if there are
// none, available groups in other regions; otherwise all candidates.
func (r *race) preferred() []int {
	var local, open, all []int
	for i, c := range r.candidates {
		all = append(all, i)
		if r.f.loads.get(c.group.ID).unavailable() {
			continue
		}
		open = append(open, i)
		if c.region == r.f.options.Region {
			local = append(local, i)
		}
	}
	switch {
	case len(local) > 0:
		return local
	case len(open) > 0:
		return open
	}
	return all
}

// pick removes and returns the less loaded of two random preferred candidates. It returns false if there are none.
func (r *race) pick() (destination, bool) {
	indexes := r.preferred()
	if len(indexes) == 0 {
		return destination{}, false
	}
	chosen := indexes[rand.IntN(len(indexes))]
	other := indexes[rand.IntN(len(indexes))]
	if r.score(other) < r.score(chosen) {
		chosen = other
	}
	p := r.candidates[chosen]
	r.candidates[chosen] = r.candidates[len(r.candidates)-1]
	r.candidates = r.candidates[:len(r.candidates)-1]
	return p, true
}

func (r *race) score(candidate int) float64 {
	group := r.candidates[candidate].group
	return r.f.loads.get(group.ID).score() / float64(max(1, len(group.Targets)))
}

// start begins an attempt on another group. It returns false if no candidate is left or maxAttempts is reached.
func (r *race) start() bool {
	if r.attempts >= maxAttempts {
		return false
	}
	p, ok := r.pick()
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(r.ctx)
	index := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.running++
	r.attempts++
	go func() {
		response, err := r.f.attempt(ctx, r.x, p)
		r.results <- result{index: index, response: response, err: err, cancel: cancel}
	}()
	return true
}

// run waits for the first successful response and cancels the other attempts. hedge fires when a hedged attempt is due.
func (r *race) run(hedge <-chan time.Time) (*exchange.Response, error) {
	var lastErr error
	for r.running > 0 {
		select {
		case res := <-r.results:
			r.running--
			if res.err == nil {
				return r.accept(res), nil
			}
			res.cancel()
			lastErr = leastCertain(lastErr, res.err)
			if r.running == 0 && r.retriable(res.err) {
				r.retry(res.err)
			}
		case <-hedge:
			hedge = nil
			r.hedge()
		}
	}
	return nil, lastErr
}

// accept records the latency of the request, cancels the other attempts and returns the response.
func (r *race) accept(res result) *exchange.Response {
	// If the first attempt lost, the recorded time is a lower bound of that attempt's latency.
	r.f.latencies.record(r.x.Route.Name, time.Since(r.started))
	if res.index > 0 && res.index == r.hedgeIndex {
		r.f.m.hedgesWon.Inc(1)
	}
	for i, cancel := range r.cancels {
		if i != res.index {
			cancel()
		}
	}
	if r.running > 0 {
		go r.discard(r.running)
	}
	res.response.Body = cancelOnClose(res.response.Body, res.cancel)
	return res.response
}

// discard closes the response bodies of the n attempts that are still running after another one succeeded.
func (r *race) discard(n int) {
	for range n {
		res := <-r.results
		if res.err == nil {
			_ = res.response.Body.Close()
		}
	}
}

// hedge starts a hedged attempt if a candidate is left and the budget allows it.
func (r *race) hedge() {
	if len(r.candidates) == 0 || !r.f.budget.tryWithdraw() {
		return
	}
	if r.start() {
		r.hedgeIndex = len(r.cancels) - 1
		r.f.m.hedges.Inc(1)
	}
}

// retry starts an attempt on another group. A retry after an attempt that failed in routing doesn't draw on the budget,
// because that attempt put no load on any target. Once all groups have been tried, the groups of a newer table are used.
func (r *race) retry(err error) {
	if !r.x.Body.Rewind() {
		return
	}
	if !isRoutingFailure(err) {
		if len(r.candidates) > 0 && r.f.budget.tryWithdraw() && r.start() {
			r.f.m.retries.Inc(1)
		}
		return
	}
	if len(r.candidates) == 0 && !r.refreshCandidates(isGatewayLost(err)) {
		return
	}
	r.attempts = 0
	if r.start() {
		r.f.m.retries.Inc(1)
	}
}

// refreshCandidates waits briefly for a newer table, which a planned handover soon produces, and reloads the candidates. If
// needNewer is set, as it is after a gateway couldn't be reached, the candidates are reloaded only from a newer table.
func (r *race) refreshCandidates(needNewer bool) bool {
	if r.ctx.Err() != nil || time.Since(r.started) > handoverTimeout(r.ctx) {
		return false
	}
	pause, cancel := context.WithTimeout(r.ctx, handoverPause)
	defer cancel()
	current := r.f.options.Tables.View()
	var have topology.Version
	if t := current.Tables[current.Cell]; t != nil {
		have = t.Version
	}
	r.f.m.refreshes.Inc(1)
	newer := r.f.options.Tables.Refresh(pause, current.Cell, have, "")
	if needNewer && !newer {
		return false
	}
	r.candidates = r.f.candidates(r.x, r.f.options.Tables.View())
	return len(r.candidates) > 0
}

// isRoutingFailure reports whether a request is known not to have reached a target because the gateway no longer owns the
// group or couldn't be reached.
func isRoutingFailure(err error) bool {
	var e *problem.Error
	if !errors.As(err, &e) || e.Outcome != problem.NotRun {
		return false
	}
	switch e.Code {
	case problem.CodeStaleOwnership, problem.CodeNoOwner, problem.CodeNoAuthority, problem.CodeGatewayLost:
		return true
	}
	return false
}

// retriable reports whether another group may be able to serve the request after err. Errors caused by the request itself
// are final.
func (r *race) retriable(err error) bool {
	var e *problem.Error
	if r.ctx.Err() != nil || !errors.As(err, &e) {
		return false
	}
	return e.Status >= http.StatusInternalServerError && e.Code != problem.CodeDeadline
}

// leastCertain returns b, or a if only b claims that the request didn't run: a request may be reported as "not run" only if
// none of its attempts may have run.
func leastCertain(a, b error) error {
	var pa, pb *problem.Error
	if errors.As(a, &pa) && errors.As(b, &pb) && pa.Outcome != problem.NotRun && pb.Outcome == problem.NotRun {
		return a
	}
	return b
}
