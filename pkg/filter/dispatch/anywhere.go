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

// maxAttempts bounds the attempts of one request, hedges included.
const maxAttempts = 3

// result is the outcome of one attempt.
type result struct {
	index    int
	response *exchange.Response
	err      error
	cancel   context.CancelFunc
}

// race runs the attempts of one request that any group may serve.
type race struct {
	f       *Filter
	ctx     context.Context
	x       *filter.Exchange
	started time.Time
	// candidates are the groups not tried yet.
	candidates []place
	results    chan result
	cancels    []context.CancelFunc
	running    int
	// attempts counts towards maxAttempts.
	attempts int
	// hedged is the index of the hedge, 0 if there is none.
	hedged int
}

// anywhere sends an unkeyed idempotent request to one of two random groups, the less loaded one. It hedges after the
// learned 95th percentile and retries on another group; both are paid from the same budget.
func (f *Filter) anywhere(ctx context.Context, x *filter.Exchange) (*exchange.Response, error) {
	r := &race{
		f:          f,
		ctx:        ctx,
		x:          x,
		started:    time.Now(),
		candidates: f.candidates(x, x.View),
		results:    make(chan result, maxAttempts),
	}
	if len(r.candidates) == 0 {
		r.renew(false)
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

// candidates returns the groups that may serve a request.
func (f *Filter) candidates(x *filter.Exchange, view *exchange.View) []place {
	cfg := view.Config
	var out []place
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
			out = append(out, place{cell: cell, table: table.Version, group: g, region: region, cause: CauseSpill})
		}
	}
	return out
}

// preferred returns the candidates to choose among: open groups of the own region, else open groups of other regions, else
// all.
func (r *race) preferred() []int {
	var local, open, all []int
	for i, c := range r.candidates {
		all = append(all, i)
		if r.f.loads.of(c.group.ID).closed() {
			continue
		}
		open = append(open, i)
		if c.region == r.f.o.Region {
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

// pick removes and returns the less loaded of two random candidates, from the own region if it has any.
func (r *race) pick() (place, bool) {
	local := r.preferred()
	if len(local) == 0 {
		return place{}, false
	}
	at := local[rand.IntN(len(local))]
	other := local[rand.IntN(len(local))]
	if r.score(other) < r.score(at) {
		at = other
	}
	p := r.candidates[at]
	r.candidates[at] = r.candidates[len(r.candidates)-1]
	r.candidates = r.candidates[:len(r.candidates)-1]
	return p, true
}

func (r *race) score(candidate int) float64 {
	group := r.candidates[candidate].group
	return r.f.loads.of(group.ID).score() / float64(max(1, len(group.Targets)))
}

// start begins an attempt if there is a group to try.
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

// run waits for the first answer and cancels the other attempts.
func (r *race) run(hedge <-chan time.Time) (*exchange.Response, error) {
	var lastErr error
	for r.running > 0 {
		select {
		case res := <-r.results:
			r.running--
			if res.err == nil {
				return r.won(res), nil
			}
			res.cancel()
			lastErr = truthful(lastErr, res.err)
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

func (r *race) won(res result) *exchange.Response {
	// The time of a request whose first attempt lost is a lower bound of that attempt's time.
	r.f.latencies.record(r.x.Route.Name, time.Since(r.started))
	if res.index > 0 && res.index == r.hedged {
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
	res.response.Body = cancelled(res.response.Body, res.cancel)
	return res.response
}

// discard closes the answers of attempts that lost.
func (r *race) discard(n int) {
	for range n {
		res := <-r.results
		if res.err == nil {
			_ = res.response.Body.Close()
		}
	}
}

func (r *race) hedge() {
	if len(r.candidates) == 0 || !r.f.budget.spend() {
		return
	}
	if r.start() {
		r.hedged = len(r.cancels) - 1
		r.f.m.hedges.Inc(1)
	}
}

// retry tries another group. An attempt that met no gateway has put no load on any target, so that it isn't paid from the
// budget; when all groups are tried, those of a newer table are.
func (r *race) retry(err error) {
	if !r.x.Body.Rewind() {
		return
	}
	if !unowned(err) {
		if len(r.candidates) > 0 && r.f.budget.spend() && r.start() {
			r.f.m.retries.Inc(1)
		}
		return
	}
	if len(r.candidates) == 0 && !r.renew(lost(err)) {
		return
	}
	r.attempts = 0
	if r.start() {
		r.f.m.retries.Inc(1)
	}
}

// renew waits for a newer table, as a planned handover brings one soon, and starts with its groups. Groups whose gateways
// couldn't be reached are tried again only with a newer table.
func (r *race) renew(needNewer bool) bool {
	if r.ctx.Err() != nil || time.Since(r.started) > handoverTime(r.ctx) {
		return false
	}
	pause, cancel := context.WithTimeout(r.ctx, handoverPause)
	defer cancel()
	own := r.f.o.Tables.View()
	var have topology.Version
	if t := own.Tables[own.Cell]; t != nil {
		have = t.Version
	}
	r.f.m.refreshes.Inc(1)
	newer := r.f.o.Tables.Refresh(pause, own.Cell, have, "")
	if needNewer && !newer {
		return false
	}
	r.candidates = r.f.candidates(r.x, r.f.o.Tables.View())
	return len(r.candidates) > 0
}

// unowned tells whether a request certainly didn't reach a target because the gateway doesn't hold the group any more or
// couldn't be reached.
func unowned(err error) bool {
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

// retriable tells whether another group may answer what this one didn't. Refusals that concern the request itself are
// final.
func (r *race) retriable(err error) bool {
	var e *problem.Error
	if r.ctx.Err() != nil || !errors.As(err, &e) {
		return false
	}
	return e.Status >= http.StatusInternalServerError && e.Code != problem.CodeDeadline
}

// truthful keeps the error with the weaker claim: a request is "not run" only if none of its attempts may have run.
func truthful(a, b error) error {
	var pa, pb *problem.Error
	if errors.As(a, &pa) && errors.As(b, &pb) && pa.Outcome != problem.NotRun && pb.Outcome == problem.NotRun {
		return a
	}
	return b
}
