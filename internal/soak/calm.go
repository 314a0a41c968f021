package soak

import (
	"context"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// counted is how long requests are counted.
	counted = 2 * time.Second
	// configureBound, drainBound and takeOutBound are the times in which a configuration is in force everywhere, and in which a
	// target that leaves and a failure domain that is taken out get no new work.
	configureBound = 2 * time.Second
	drainBound     = 2 * time.Second
	takeOutBound   = 5 * time.Second
)

// checkCalm checks, with all faults over, that requests are served and that planned work keeps its times.
func (r *run) checkCalm(ctx context.Context) error {
	r.judge.setCalm(true)
	defer r.judge.setCalm(false)
	r.judge.countServed()
	wait(ctx, counted)
	r.judge.checkServed("after the last fault")
	if err := r.checkChanges(ctx); err != nil {
		return err
	}
	r.checkStop(ctx)
	return nil
}

// checkChanges changes the configuration, lets a target leave and takes a failure domain out.
func (r *run) checkChanges(ctx context.Context) error {
	if err := r.configure(); err != nil {
		return err
	}
	leaving := r.anyTarget()
	leaving.Draining.Store(true)
	// The target reports it with its next heartbeat.
	wait(ctx, standin.Heartbeat)
	r.deployment.Ledger.CloseTargets(time.Now().Add(drainBound), leaving.ID)
	zone := standin.Zones[r.rand.IntN(len(standin.Zones))]
	ids, err := r.deployment.TakeOut(zone)
	if err != nil {
		return err
	}
	r.deployment.Ledger.CloseTargets(time.Now().Add(takeOutBound), ids...)
	wait(ctx, configureBound)
	r.judge.expectVersions(len(r.vms))
	wait(ctx, takeOutBound)
	r.deployment.Ledger.Reopen()
	leaving.Draining.Store(false)
	r.deployment.TakeBack(zone)
	return nil
}

// checkStop stops a process while callers use their connections.
func (r *run) checkStop(ctx context.Context) {
	r.stop(r.anyVM())
	r.group.Wait()
	wait(ctx, counted)
}
