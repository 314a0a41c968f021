package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// countDuration is how long requests are counted to determine the share that is served.
	countDuration = 2 * time.Second
	// configurationBound is the time in which a new configuration must be in force on all VMs. drainBound and evacuationBound are the
	// times after which a leaving target and an evacuated failure domain must not get new work.
	configurationBound = 2 * time.Second
	drainBound         = 2 * time.Second
	evacuationBound    = 5 * time.Second
	// maxProbes is the number of requests after which a VM must have served the newest configuration.
	maxProbes = 5
)

// checkRecovery checks, after all faults have ended, that requests are served and that planned operations keep their time bounds.
func (r *run) checkRecovery(ctx context.Context) error {
	r.checker.setFaultFree(true)
	defer r.checker.setFaultFree(false)
	r.checker.startCounting()
	wait(ctx, countDuration)
	r.checker.checkServedShare("after the last fault")
	if err := r.checkChanges(ctx); err != nil {
		return err
	}
	r.checkStop(ctx)
	return nil
}

// checkChanges changes the configuration, makes one target drain and another one leave, and evacuates a failure domain. It checks
// the time bound of each operation.
func (r *run) checkChanges(ctx context.Context) error {
	if err := r.configure(); err != nil {
		return err
	}
	drainingTarget := r.anyTarget()
	drainingTarget.Draining.Store(true)
	targets := r.deployment.Targets()
	leavingTarget := targets[r.targetFaultRand.IntN(len(targets))]
	r.deployment.Checker.ForbidAfterNotice(drainBound, leavingTarget.ID)
	leavingTarget.Leaving.Store(true)
	// A draining target reports its state with its next heartbeat.
	wait(ctx, standin.HeartbeatInterval)
	r.deployment.Checker.ForbidAfter(time.Now().Add(drainBound), drainingTarget.ID)
	zone := standin.Zones[r.faultRand.IntN(len(standin.Zones))]
	ids, err := r.deployment.EvacuateZone(zone)
	if err != nil {
		return err
	}
	r.deployment.Checker.ForbidAfter(time.Now().Add(evacuationBound), ids...)
	wait(ctx, configurationBound)
	r.probeVersions(ctx)
	wait(ctx, evacuationBound)
	r.deployment.Checker.AllowAll()
	drainingTarget.Draining.Store(false)
	leavingTarget.Leaving.Store(false)
	r.deployment.RestoreZone(zone)
	return nil
}

// probeVersions requests the route of the newest configuration from each VM. A VM that is busy is asked again.
func (r *run) probeVersions(ctx context.Context) {
	version := r.checker.requireNewest()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, v := range r.vms {
		for n := 0; n < maxProbes && !r.checker.hasVersion(v.index, version); n++ {
			x := exchange{id: fmt.Sprintf("%d-probe-%d-%d", r.Seed, v.index, n), vm: v.index, version: version}
			x.path = standin.VersionPath(version) + x.id
			r.send(ctx, client, &x, 0, clientTimeout)
			r.checker.checkExchange(x)
		}
		if !r.checker.hasVersion(v.index, version) {
			r.checker.addViolation("VM %d doesn't serve version %d of the configuration, which must be in force", v.index, version)
		}
	}
}

// checkStop shuts a process down gracefully while callers use its connections.
func (r *run) checkStop(ctx context.Context) {
	r.stop(r.anyVM())
	r.group.Wait()
	wait(ctx, countDuration)
}
