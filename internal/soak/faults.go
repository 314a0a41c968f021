package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// stopBound is the time in which a running process must stop after SIGTERM; its grace period is 4 s.
	stopBound = 5 * time.Second
	// minFaultTime and faultTimeSpread bound how long a fault lasts: at least minFaultTime, and less than the sum of both.
	minFaultTime, faultTimeSpread = 300 * time.Millisecond, 4 * time.Second
	// maxFaultInterval is the upper bound of the random time between the beginnings of two faults.
	maxFaultInterval = 1200 * time.Millisecond
	// limitFaultTime is the minimum time for which a target names rate limits. They are checked 3 s after the first one was named.
	limitFaultTime = 6 * time.Second
	// loseResponseEvery sets the share of the store's transactions whose responses are lost: one in this many.
	loseResponseEvery = 3
	// maxClockSkew is the largest deviation of the wall clock of a new target, in either direction.
	maxClockSkew = 2500 * time.Millisecond
)

// fault is a kind of fault. begin injects it and returns the function that ends it, or nil if it needs none. All random choices are made
// in begin, which runs in one goroutine, so that a seed reproduces them.
type fault struct {
	name  string
	begin func(r *run, ctx context.Context, duration time.Duration) (end func(), err error)
}

// faults are the kinds of faults that are injected from outside. Recorded seeds depend on their number and order.
var faults = []fault{
	{"kill", func(r *run, _ context.Context, _ time.Duration) (func(), error) { return nil, r.kill(r.anyVM()) }},
	{"stop", func(r *run, _ context.Context, _ time.Duration) (func(), error) { r.stop(r.anyVM()); return nil, nil }},
	{"pause", func(r *run, _ context.Context, d time.Duration) (func(), error) { return r.pause(r.anyVM(), d), nil }},
	{"kill half", beginKillHalf},
	{"SIGHUP", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		r.signal(r.anyVM(), syscall.SIGHUP)
		return nil, nil
	}},
	{"store down", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		r.deployment.Store.SetDown(true)
		return func() { r.deployment.Store.SetDown(false) }, nil
	}},
	{"store down, registrations expire", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		r.deployment.Store.SetDown(true)
		return func() { r.deployment.Store.ExpireRegistrations(); r.deployment.Store.SetDown(false) }, nil
	}},
	{"store loses responses", beginLoseResponses},
	{"store slow", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		r.deployment.Store.SetSlow(time.Duration(50+r.faultRand.IntN(400)) * time.Millisecond)
		return func() { r.deployment.Store.SetSlow(0) }, nil
	}},
	{"link impaired", func(r *run, _ context.Context, _ time.Duration) (func(), error) { return r.impair(r.anyLink()), nil }},
	{"link impaired", func(r *run, _ context.Context, _ time.Duration) (func(), error) { return r.impair(r.anyLink()), nil }},
	{"connections reset", func(r *run, _ context.Context, _ time.Duration) (func(), error) { r.anyLink().Reset(); return nil, nil }},
	{"connections blackholed for good", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		r.anyLink().Blackhole()
		return nil, nil
	}},
	{"VM partitioned", beginPartition},
	{"target replaced", func(r *run, ctx context.Context, d time.Duration) (func(), error) {
		at, ahead := r.faultRand.IntN(len(r.deployment.Targets())), time.Duration(r.faultRand.Int64N(int64(2*maxClockSkew)))-maxClockSkew
		return nil, r.deployment.Replace(at, func() { wait(ctx, d) }, ahead)
	}},
	{"target applies grants late", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		t := r.anyTarget()
		t.LateGrants.Store(true)
		return func() { t.LateGrants.Store(false) }, nil
	}},
	{"target sends malformed responses", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		t := r.anyTarget()
		t.MalformedResponses.Store(true)
		return func() { t.MalformedResponses.Store(false) }, nil
	}},
	{"target unresponsive", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		t := r.anyTarget()
		t.Unresponsive.Store(true)
		return func() { t.Unresponsive.Store(false) }, nil
	}},
	{"target stops renewing its registration", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		t := r.anyTarget()
		t.Unregistered.Store(true)
		return func() { t.Unregistered.Store(false) }, nil
	}},
	{"configuration", func(r *run, _ context.Context, _ time.Duration) (func(), error) { return nil, r.configure() }},
	{"failure domain evacuated", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		zone := standin.Zones[r.faultRand.IntN(len(standin.Zones))]
		_, err := r.deployment.EvacuateZone(zone)
		return func() { r.deployment.RestoreZone(zone) }, err
	}},
}

// crashInterval is the time between two sends of a request that crashes its targets.
const crashInterval = 100 * time.Millisecond

// targetFaults are faults that targets announce themselves or that requests cause. They are drawn independently of faults and from a
// random source of their own, so that seeds recorded before they were added still reproduce their faults.
var targetFaults = []fault{
	{"target announces in responses that it leaves", func(r *run, ctx context.Context, d time.Duration) (func(), error) {
		at := r.targetFaultRand.IntN(len(r.deployment.Targets()))
		r.deployment.Targets()[at].Leaving.Store(true)
		r.group.Go(func() {
			wait(ctx, d)
			if err := r.deployment.Replace(at, func() { wait(ctx, d/2) }, 0); err != nil {
				r.checker.addViolation("replacing a target: %v", err)
			}
		})
		return nil, nil
	}},
	{"target sheds load", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		targets := r.deployment.Targets()
		t := targets[r.targetFaultRand.IntN(len(targets))]
		t.Shedding.Store(300 + r.targetFaultRand.Int64N(4700))
		return func() { t.Shedding.Store(0) }, nil
	}},
	{"request crashes targets", func(r *run, ctx context.Context, d time.Duration) (func(), error) {
		prefix, number := []string{standin.PathRead, standin.PathOrder}[r.targetFaultRand.IntN(2)], r.targetFaultRand.IntN(1000)
		path := prefix + crashPaths[number%len(crashPaths)] + fmt.Sprint(number)
		random := rand.New(rand.NewPCG(r.Seed, uint64(r.targetFaultRand.IntN(1000))))
		r.group.Go(func() { r.sendCrashingRequest(ctx, path, d, random) })
		return nil, nil
	}},
}

// crashPaths are the ways in which a request crashes its targets.
var crashPaths = []string{standin.PathCrash, standin.PathSilentCrash, standin.PathPartialCrash, standin.PathStreamCrash}

// rateLimits are the values that targets name as their rate limit in the soak.
var rateLimits = []string{"0", "0.5", "2", "3.5", "20", "1000000", "several", "-1"}

// limitFault makes a target name a rate limit, change it and withdraw it. It has a random source of its own, like targetFaults.
var limitFault = fault{"target names rate limits", func(r *run, ctx context.Context, d time.Duration) (func(), error) {
	targets := r.deployment.Targets()
	t := targets[r.limitFaultRand.IntN(len(targets))]
	first, second := rateLimits[r.limitFaultRand.IntN(len(rateLimits))], rateLimits[r.limitFaultRand.IntN(len(rateLimits))]
	_, _ = fmt.Fprintf(r.Out, "seed %d: target %s names rate limit %q, then %q\n", r.Seed, t.ID, first, second)
	t.SetRateLimit(first)
	r.group.Go(func() {
		wait(ctx, d/2)
		t.SetRateLimit(second)
		wait(ctx, d/2)
		t.SetRateLimit("")
	})
	return nil, nil
}}

// registrationFault makes another writer leave an odd registration with the address of a target. It has a random source of its own, like
// targetFaults.
var registrationFault = fault{"registration of another writer", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
	targets := r.deployment.Targets()
	t, kind := targets[r.registrationFaultRand.IntN(len(targets))], r.registrationFaultRand.IntN(standin.ForeignRegistrations())
	_, _ = fmt.Fprintf(r.Out, "seed %d: registration of kind %d with the address of target %s\n", r.Seed, kind, t.ID)
	return r.deployment.PutForeignRegistration(t, kind), nil
}}

// Bounds of a restore of the store: the age of the copy, the time until the operator's rows are written again, and an outage before it.
const (
	maxCopyAge       = 8 * time.Second
	maxRewriteGap    = 3 * time.Second
	maxRestoreOutage = 4 * time.Second
)

// restoreFault restores the store from an older copy, at the end of an outage or at once, and possibly a second time before the operator has
// written again what the first one has lost. It has a random source of its own, like targetFaults.
var restoreFault = fault{"store restored from an older copy", func(r *run, ctx context.Context, d time.Duration) (func(), error) {
	draw := func(limit time.Duration) time.Duration { return time.Duration(r.restoreRand.Int64N(int64(limit))) }
	ages, gap, outage, pause, times := [2]time.Duration{draw(maxCopyAge), draw(maxCopyAge)}, draw(maxRewriteGap), draw(maxRestoreOutage), draw(d), 1+r.restoreRand.IntN(4)/3
	if r.restoreRand.IntN(2) == 0 {
		outage = 0
	}
	_, _ = fmt.Fprintf(r.Out, "seed %d: restore %d times, copies %v old, after an outage of %v, rows written again after %v\n", r.Seed, times, ages[:times], outage, gap)
	r.restored = true
	r.group.Go(func() {
		if outage > 0 {
			r.deployment.Store.SetDown(true)
			wait(ctx, outage)
		}
		for i := range times {
			r.deployment.Store.Restore(time.Now().Add(-ages[i]), gap)
			r.deployment.Store.SetDown(false)
			wait(ctx, pause)
		}
		wait(ctx, gap)
	})
	return nil, nil
}}

// sendCrashingRequest repeatedly sends a request that crashes its targets, each time to a random VM.
func (r *run) sendCrashingRequest(ctx context.Context, path string, duration time.Duration, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; n++ {
		x := exchange{id: fmt.Sprintf("%s-%05d", path, n), path: path, vm: random.IntN(r.VMs), order: strings.HasPrefix(path, standin.PathOrder)}
		r.send(ctx, client, &x, 0, clientTimeout)
		if ctx.Err() == nil {
			r.checker.checkExchange(x)
		}
		wait(ctx, crashInterval)
	}
}

func (r *run) anyVM() *vm {
	return r.vms[r.faultRand.IntN(len(r.vms))]
}

func (r *run) anyTarget() *standin.Target {
	targets := r.deployment.Targets()
	return targets[r.faultRand.IntN(len(targets))]
}

// anyLink returns a random link to or from a VM, or one to a target.
func (r *run) anyLink() *link {
	v, kind := r.anyVM(), r.faultRand.IntN(4)
	r.mu.Lock()
	defer r.mu.Unlock()
	target := r.targetLinks[r.faultRand.IntN(len(r.targetLinks))]
	return []*link{v.callerLink, v.peerLink, v.storeLink, target}[kind]
}

// inject starts faults at random intervals until the time set for faults is over. Faults may overlap.
func (r *run) inject(ctx context.Context) error {
	end := time.Now().Add(r.Faults)
	for time.Now().Before(end) {
		f := faults[r.faultRand.IntN(len(faults))]
		duration := minFaultTime + time.Duration(r.faultRand.Int64N(int64(faultTimeSpread)))
		if r.targetFaultRand.IntN(4) == 0 {
			if err := r.begin(ctx, targetFaults[r.targetFaultRand.IntN(len(targetFaults))], minFaultTime+time.Duration(r.targetFaultRand.Int64N(int64(faultTimeSpread)))); err != nil {
				return err
			}
		}
		if r.limitFaultRand.IntN(4) == 0 {
			if err := r.begin(ctx, limitFault, limitFaultTime+time.Duration(r.limitFaultRand.Int64N(int64(limitFaultTime)))); err != nil {
				return err
			}
		}
		if r.restoreRand.IntN(6) == 0 {
			if err := r.begin(ctx, restoreFault, minFaultTime+time.Duration(r.restoreRand.Int64N(int64(faultTimeSpread)))); err != nil {
				return err
			}
		}
		if r.registrationFaultRand.IntN(4) == 0 {
			if err := r.begin(ctx, registrationFault, minFaultTime+time.Duration(r.registrationFaultRand.Int64N(int64(faultTimeSpread)))); err != nil {
				return err
			}
		}
		if err := r.begin(ctx, f, duration); err != nil {
			return err
		}
		if !wait(ctx, time.Duration(r.faultRand.Int64N(int64(maxFaultInterval)))) {
			return ctx.Err()
		}
	}
	return nil
}

// begin injects a fault and schedules its end.
func (r *run) begin(ctx context.Context, f fault, duration time.Duration) error {
	_, _ = fmt.Fprintf(r.Out, "seed %d: %s for %v\n", r.Seed, f.name, duration.Round(time.Millisecond))
	finish, err := f.begin(r, ctx, duration)
	if err != nil {
		return fmt.Errorf("%s: %w", f.name, err)
	}
	if finish != nil {
		r.scheduleEnd(duration, finish)
	}
	return nil
}

// scheduleEnd ends a fault after the given time, unless endAllFaults ends it earlier.
func (r *run) scheduleEnd(duration time.Duration, finish func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.nextFaultID
	r.nextFaultID++
	r.faultEnds[id] = finish
	time.AfterFunc(duration, func() { r.endFault(id) })
}

func (r *run) endFault(id int) {
	r.mu.Lock()
	finish := r.faultEnds[id]
	delete(r.faultEnds, id)
	r.mu.Unlock()
	if finish != nil {
		finish()
		r.deployment.Checker.OnResume()
	}
}

// endAllFaults ends all faults. Blackholed connections stay blackholed.
func (r *run) endAllFaults() {
	r.group.Wait()
	r.mu.Lock()
	last := r.nextFaultID
	r.mu.Unlock()
	for id := range last {
		r.endFault(id)
	}
}

func (r *run) kill(v *vm) error {
	if !v.mu.TryLock() {
		// stop holds the lock during a graceful shutdown and restarts the process afterwards.
		v.process.Signal(syscall.SIGKILL)
		return nil
	}
	defer v.mu.Unlock()
	v.process.Kill()
	return r.start(v)
}

func beginKillHalf(r *run, _ context.Context, _ time.Duration) (func(), error) {
	first := r.faultRand.IntN(len(r.vms))
	for i := range (len(r.vms) + 1) / 2 {
		if err := r.kill(r.vms[(first+i)%len(r.vms)]); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// stop shuts a process down gracefully in the background, while other faults go on, and restarts it.
func (r *run) stop(v *vm) {
	r.group.Go(func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		// A paused process handles the signal only after it has resumed.
		starting := time.Since(v.startedAt) < signalSetupTime
		if err := v.process.Stop(stopBound + max(0, time.Until(v.pausedUntil))); !stoppedAsExpected(err, starting) {
			r.checker.addViolation("VM %d doesn't stop gracefully: %v", v.index, err)
		}
		if err := r.start(v); err != nil {
			r.checker.addViolation("VM %d doesn't start: %v", v.index, err)
		}
	})
}

const (
	// killedError is the error text of a process that another fault has killed during its shutdown.
	killedError = "signal: killed"
	// terminatedError is the error text of a process that gets SIGTERM before it handles the signal, within signalSetupTime after its start.
	terminatedError = "signal: terminated"
	signalSetupTime = 300 * time.Millisecond
)

// stoppedAsExpected reports whether a process has ended as it should after SIGTERM.
func stoppedAsExpected(err error, starting bool) bool {
	return err == nil || err.Error() == killedError || starting && err.Error() == terminatedError
}

func (r *run) signal(v *vm, s syscall.Signal) {
	if v.mu.TryLock() {
		v.process.Signal(s)
		v.mu.Unlock()
	}
}

// pause suspends a process; the returned function resumes it.
func (r *run) pause(v *vm, duration time.Duration) func() {
	if !v.mu.TryLock() {
		return nil
	}
	defer v.mu.Unlock()
	p := v.process
	v.pausedUntil = time.Now().Add(duration)
	p.Signal(syscall.SIGSTOP)
	return func() { p.Signal(syscall.SIGCONT) }
}

func beginLoseResponses(r *run, _ context.Context, _ time.Duration) (func(), error) {
	delay := time.Duration(0)
	if r.faultRand.IntN(2) == 0 {
		delay = time.Duration(r.faultRand.Int64N(int64(3 * time.Second)))
	}
	r.deployment.Store.LoseResponses(loseResponseEvery, delay)
	return func() { r.deployment.Store.LoseResponses(0, 0) }, nil
}

// impair adds a delay to a link, blocks one or both of its directions, or refuses new connections.
func (r *run) impair(l *link) func() {
	kinds := []Impairment{
		{Delay: time.Duration(20+r.faultRand.IntN(300)) * time.Millisecond}, {Forward: true}, {Backward: true}, {Forward: true, Backward: true}, {Refuse: true},
	}
	l.Set(kinds[r.faultRand.IntN(len(kinds))])
	return func() { l.Set(Impairment{}) }
}

// beginPartition blocks the links from a VM to the store and from the other VMs to it. Callers and targets remain reachable.
func beginPartition(r *run, _ context.Context, _ time.Duration) (func(), error) {
	v := r.anyVM()
	for _, l := range []*link{v.storeLink, v.peerLink} {
		l.Set(Impairment{Forward: true, Backward: true})
	}
	return func() {
		v.storeLink.Set(Impairment{})
		v.peerLink.Set(Impairment{})
	}, nil
}

// configure publishes the next version of the configuration.
func (r *run) configure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	if err := r.deployment.Configure(r.version); err != nil {
		return err
	}
	r.checker.setNewestVersion(r.version)
	return nil
}
