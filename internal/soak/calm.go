package soak

import (
	"context"
	"fmt"
	"net/http"
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
	// probes is the number of times that a VM is asked for the newest configuration.
	probes = 5
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
	targets := r.deployment.Targets()
	byAnswer := targets[r.more.IntN(len(targets))]
	r.deployment.Checker.ForbidAfterNotice(drainBound, byAnswer.ID)
	byAnswer.Leaving.Store(true)
	// The target reports it with its next heartbeat.
	wait(ctx, standin.HeartbeatInterval)
	r.deployment.Checker.ForbidAfter(time.Now().Add(drainBound), leaving.ID)
	zone := standin.Zones[r.rand.IntN(len(standin.Zones))]
	ids, err := r.deployment.EvacuateZone(zone)
	if err != nil {
		return err
	}
	r.deployment.Checker.ForbidAfter(time.Now().Add(takeOutBound), ids...)
	wait(ctx, configureBound)
	r.probeVersions(ctx)
	wait(ctx, takeOutBound)
	r.deployment.Checker.AllowAll()
	leaving.Draining.Store(false)
	byAnswer.Leaving.Store(false)
	r.deployment.RestoreZone(zone)
	return nil
}

// probeVersions asks each VM for the route of the newest configuration. A VM that is busy is asked again.
func (r *run) probeVersions(ctx context.Context) {
	version := r.judge.expectNewest()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, v := range r.vms {
		for n := 0; n < probes && !r.judge.shows(v.index, version); n++ {
			x := exchange{id: fmt.Sprintf("%d-probe-%d-%d", r.Seed, v.index, n), vm: v.index, version: version}
			x.path = standin.VersionPath(version) + x.id
			r.send(ctx, client, &x, 0, patientWait)
			r.judge.take(x)
		}
		if !r.judge.shows(v.index, version) {
			r.judge.note("VM %d doesn't show version %d of the configuration when it must be in force", v.index, version)
		}
	}
}

// checkStop stops a process while callers use their connections.
func (r *run) checkStop(ctx context.Context) {
	r.stop(r.anyVM())
	r.group.Wait()
	wait(ctx, counted)
}
