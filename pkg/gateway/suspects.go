package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// suspectsTimeout bounds the wait for the other routers before the caller of a crashed request is answered.
const suspectsTimeout = 300 * time.Millisecond

// screened refuses quarantined requests and lets suspects run one at a time.
func (gw *Gateway) screened(ctx context.Context, cancel context.CancelFunc, g *group, request *wire.Request, body io.Reader, deadline time.Time) (*exchange.Response, error) {
	w := &waiter{
		weight:      request.Weight,
		deadline:    deadline,
		keyHash:     request.KeyHash,
		fingerprint: request.Fingerprint,
		homeRegions: request.HomeRegions,
		granted:     make(chan error, 1),
		finish:      func() {},
	}
	switch gw.suspects.Verdict(request.Fingerprint) {
	case quarantine.Quarantined:
		return nil, quarantined(problem.NotRun)
	case quarantine.Suspected:
		if !gw.suspects.Begin(request.Fingerprint) {
			return nil, refuse(http.StatusServiceUnavailable, problem.CodeOverload,
				"an equal request that was in flight at a crashed target is running", time.Second)
		}
		w.alone = true
		w.finish = sync.OnceFunc(func() { gw.suspects.End(request.Fingerprint) })
	}
	response, err := gw.claimed(ctx, cancel, g, request, body, w)
	if err != nil {
		w.finish()
	}
	return response, err
}

func quarantined(outcome problem.Outcome) *problem.Error {
	return problem.New(http.StatusUnprocessableEntity, problem.CodeQuarantined, outcome,
		"two targets failed while they executed this request")
}

// crashReport is what was in flight at a target when one of its connections broke.
type crashReport struct {
	pool string
	// alone tells that a suspect had the target to itself.
	alone bool
	found []exposed
	// spread is closed once the other routers know the suspects or suspectsTimeout has passed.
	spread chan struct{}
}

func newCrashReport(pool string, alone bool) *crashReport {
	return &crashReport{pool: pool, alone: alone, spread: make(chan struct{})}
}

// crashed records what was in flight when a target's connection broke and tells the other routers, before the caller is
// answered and may come back through another router. A crash breaks all connections of the target at about the same time;
// the exchange that notices it first reports all of them, and the others wait for its report.
func (gw *Gateway) crashed(own, earlier *crashReport) {
	gw.report(own)
	close(own.spread)
	if earlier != nil {
		<-earlier.spread
	}
}

func (gw *Gateway) report(r *crashReport) {
	suspects := gw.suspects.RecordCrash(fingerprints(r.found), r.alone)
	if len(suspects) == 0 {
		return
	}
	count := 0
	for _, s := range suspects {
		if s.Quarantined {
			count++
		}
	}
	gw.Log.Emit(event.SuspectsFound, "suspects", len(suspects))
	if count > 0 {
		gw.Log.Emit(event.RequestQuarantined, "requests", count)
	}
	gw.spreadSuspects(r.pool, suspects, r.found)
}

// exposed is a request that was in flight at a target whose connection broke.
type exposed struct {
	fingerprint uint64
	homeRegions []string
}

// mayCross tells whether the request's fingerprint may be sent to a region.
func (e exposed) mayCross(region string) bool {
	return len(e.homeRegions) == 0 || slices.Contains(e.homeRegions, region)
}

func fingerprints(found []exposed) []uint64 {
	var out []uint64
	for _, e := range found {
		if !slices.Contains(out, e.fingerprint) {
			out = append(out, e.fingerprint)
		}
	}
	return out
}

// spreadSuspects tells the routers of the cell, and the pool's gateways in other regions what may be sent there. The caller
// may come back through any region: with suspects known in one cell only, each cell lost two targets to the same request.
func (gw *Gateway) spreadSuspects(pool string, suspects []wire.Suspect, found []exposed) {
	ctx, cancel := context.WithTimeout(context.Background(), suspectsTimeout)
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { gw.Cell.SendSuspects(ctx, &wire.Suspects{Suspects: suspects}) })
	for _, region := range gw.otherRegions() {
		crossing := slices.DeleteFunc(slices.Clone(suspects), func(s wire.Suspect) bool {
			return !slices.ContainsFunc(found, func(e exposed) bool {
				return e.fingerprint == s.Fingerprint && e.mayCross(region)
			})
		})
		if len(crossing) > 0 {
			wait.Go(func() { gw.Cell.SendSuspectsToRegion(ctx, region, pool, &wire.Suspects{Suspects: crossing}) })
		}
	}
	wait.Wait()
}

// otherRegions returns the regions other than that of the own cell, which has the region's name.
func (gw *Gateway) otherRegions() []string {
	view := gw.view.Load()
	if view == nil || view.Config == nil {
		return nil
	}
	var regions []string
	for _, r := range view.Config.Regions {
		if r.Name != view.Cell {
			regions = append(regions, r.Name)
		}
	}
	return regions
}

func (gw *Gateway) sendSuspects(suspects []wire.Suspect) {
	ctx, cancel := context.WithTimeout(context.Background(), suspectsTimeout)
	defer cancel()
	gw.Cell.SendSuspects(ctx, &wire.Suspects{Suspects: suspects})
}

// succeeded clears a suspect after a complete run.
func (gw *Gateway) succeeded(fingerprint uint64) {
	if gw.suspects.RecordSuccess(fingerprint) {
		go gw.sendSuspects([]wire.Suspect{quarantine.Cleared(fingerprint)})
	}
}

// AcceptSuspects takes over suspects that another router of the cell has sent.
func (gw *Gateway) AcceptSuspects(message *wire.Suspects) *wire.SuspectsReply {
	gw.suspects.Merge(message.Suspects)
	return &wire.SuspectsReply{}
}
