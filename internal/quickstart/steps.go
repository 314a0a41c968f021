package quickstart

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/internal/standin/target"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/operator"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

// start brings the deployment up and puts the configuration into force.
func (s *scenario) start(ctx context.Context) error {
	if err := s.startAll(); err != nil {
		return trace.Wrap(err)
	}
	if err := s.startBalancers(ctx); err != nil {
		return trace.Wrap(err)
	}
	if result := s.operator.Apply(ctx, s.config, operator.ApplyOptions{Reason: "first configuration"}); result.Outcome != operator.Accepted {
		return trace.BadParameter("first configuration: %s: %s", result.Outcome, result.Message)
	}
	return trace.Wrap(s.waitServing(ctx))
}

// killTarget ends a keyed target and measures until its keys are served again.
func (s *scenario) killTarget(ctx context.Context) error {
	pool, ok := s.keyedPool()
	if !ok {
		return trace.NotFound("no keyed pool in the configuration")
	}
	victim := pool.Targets[0]
	keys := s.prober.keysByOwner()[victim.ID]
	if len(keys) == 0 {
		return trace.NotFound("no probed key is owned by %s", victim.ID)
	}
	s.targets[victim.ID].Kill()
	again := s.prober.servedAgain(ctx, keys)
	atMost(s.report, fmt.Sprintf("keys of killed target served again (%d keys)", len(keys)), milliseconds(again), maxServedAgain, "ms")
	return trace.Wrap(s.startTarget(*pool, victim, true))
}

func (s *scenario) keyedPool() (*config.Pool, bool) {
	for i := range s.config.Pools {
		if s.config.Pools[i].Keyed {
			return &s.config.Pools[i], true
		}
	}
	return nil, false
}

// killLeader ends the VM that leads the first cell and measures until every key is served again.
func (s *scenario) killLeader(ctx context.Context) error {
	leader := s.leader(ctx)
	return trace.Wrap(s.killVM(ctx, "leading VM", func(v *vm) bool { return v == leader }))
}

// leader returns the VM that leads the first cell, nil if there is none.
func (s *scenario) leader(ctx context.Context) *vm {
	status, err := s.cellStatus(ctx, s.config.Regions[0].Name)
	if err != nil {
		return nil
	}
	for _, v := range s.vms {
		if strings.HasPrefix(status.Leader, v.address+":") {
			return v
		}
	}
	return nil
}

// killGateway ends a VM that is the gateway of a keyed group and measures until every key is served again.
func (s *scenario) killGateway(ctx context.Context) error {
	status, err := s.cellStatus(ctx, s.config.Regions[1].Name)
	if err != nil {
		return trace.Wrap(err)
	}
	pool, ok := s.keyedPool()
	if !ok {
		return trace.NotFound("no keyed pool in the configuration")
	}
	return trace.Wrap(s.killVM(ctx, "gateway VM of a keyed group", func(v *vm) bool {
		return slices.ContainsFunc(status.Table.Groups, func(g topology.Group) bool {
			return g.ID.Pool() == pool.Name && g.Gateway == v.VM
		})
	}))
}

// killVM ends the router and the controller of the first VM that matches, and starts them again afterwards.
func (s *scenario) killVM(ctx context.Context, role string, match func(*vm) bool) error {
	i := slices.IndexFunc(s.vms, match)
	if i < 0 {
		return trace.NotFound("no %s", role)
	}
	victim := s.vms[i]
	keys := watched(s.prober.keysByOwner())
	victim.router.Kill()
	victim.controller.Kill()
	again := s.prober.servedAgain(ctx, keys)
	atMost(s.report, fmt.Sprintf("all keys served again after loss of %s (%d keys)", role, len(keys)), milliseconds(again), maxServedAgain, "ms")
	return trace.Wrap(s.startVM(victim))
}

// cellStatus asks the candidates of a cell until the active controller answers.
func (s *scenario) cellStatus(ctx context.Context, cell string) (*wire.StatusReply, error) {
	for _, v := range s.vms {
		var reply wire.StatusReply
		err := s.client.Call(ctx, v.at(controllerPort), wire.TypeStatus, wire.Status{}, wire.TypeStatusReply, &reply)
		if err == nil && v.Cell == cell && reply.Active && reply.Table != nil {
			return &reply, nil
		}
	}
	return nil, trace.NotFound("no active controller in cell %s", cell)
}

// moveDomain takes a failure domain out and back while the load runs.
func (s *scenario) moveDomain(ctx context.Context) error {
	domain := s.config.Regions[1].Domains[1]
	begin := clock.Boottime{}.Now()
	result := s.operator.Out(ctx, operator.FailureDomain, domain, operator.ApplyOptions{Reason: "maintenance"})
	s.report.add(outcome{
		name:     "domain " + domain + " taken out",
		measured: string(result.Outcome),
		bound:    string(operator.Accepted),
		ok:       result.Outcome == operator.Accepted,
	})
	time.Sleep(settleTime)
	last, err := s.lastStart(domain)
	if err != nil {
		return trace.Wrap(err)
	}
	atMost(s.report, "time until the domain got no new work", milliseconds(max(0, last.Sub(begin))), maxDomainOut, "ms")
	result = s.operator.In(ctx, operator.FailureDomain, domain, operator.ApplyOptions{Reason: "maintenance done"})
	s.report.add(outcome{
		name:     "domain " + domain + " back in service",
		measured: string(result.Outcome),
		bound:    string(operator.Accepted),
		ok:       result.Outcome == operator.Accepted,
	})
	return nil
}

// lastStart returns when a target of the domain last started a request.
func (s *scenario) lastStart(domain string) (clock.Instant, error) {
	var last clock.Instant
	for _, t := range s.targetsIn(domain) {
		record, err := s.record(t)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		last = max(last, record.Summary.LastStart)
	}
	return last, nil
}

func (s *scenario) targetsIn(domain string) []config.Target {
	var targets []config.Target
	for _, pool := range s.config.Pools {
		for _, t := range pool.Targets {
			if domain == "" || t.Domain == domain {
				targets = append(targets, t)
			}
		}
	}
	return targets
}

func (s *scenario) record(t config.Target) (target.Record, error) {
	var record target.Record
	response, err := s.deployment.client.Get("http://" + controlAddress(t.Address) + "/record")
	if err != nil {
		return record, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return record, trace.Wrap(json.NewDecoder(response.Body).Decode(&record))
}

// amend changes a class weight and measures until it is in force on every router.
func (s *scenario) amend(ctx context.Context) error {
	current, err := s.operator.Current(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	changed := *current.Config
	changed.Routes = append([]config.Route(nil), changed.Routes...)
	changed.Routes[0].Weight++
	begin := time.Now()
	result := s.operator.Apply(ctx, &changed, operator.ApplyOptions{Reason: "heavier class"})
	if result.Outcome != operator.Accepted {
		return trace.BadParameter("amendment: %s: %s", result.Outcome, result.Message)
	}
	atMost(s.report, "amended configuration in force on every router", milliseconds(time.Since(begin)), maxInForce, "ms")
	return nil
}
