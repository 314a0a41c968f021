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
	// stopBound is the time in which a running process must stop; its grace is 4 s.
	stopBound = 5 * time.Second
	// leastFault and moreFault bound how long a fault lasts.
	leastFault, moreFault = 300 * time.Millisecond, 4 * time.Second
	// gap bounds the time between the beginnings of two faults.
	gap = 1200 * time.Millisecond
	// loseEvery is the share of the store's transactions whose answers are lost: one in so many.
	loseEvery = 3
	// skew is how far the time of day of a new target may be off.
	skew = 2500 * time.Millisecond
)

// fault is a kind of fault. begin returns how it ends, nil if that needs nothing. All random choices are made in begin, in one
// goroutine, so that a seed repeats them.
type fault struct {
	name  string
	begin func(r *run, ctx context.Context, lasts time.Duration) (end func(), err error)
}

// faults are all kinds. Seeds depend on their order.
var faults = []fault{
	{"kill", func(r *run, _ context.Context, _ time.Duration) (func(), error) { return nil, r.kill(r.anyVM()) }},
	{"stop", func(r *run, _ context.Context, _ time.Duration) (func(), error) { r.stop(r.anyVM()); return nil, nil }},
	{"pause", func(r *run, _ context.Context, d time.Duration) (func(), error) { return r.pause(r.anyVM(), d), nil }},
	{"kill half", beginKillHalf},
	{"hang up", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		r.signal(r.anyVM(), syscall.SIGHUP)
		return nil, nil
	}},
	{"store down", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		r.deployment.Store.SetDown(true)
		return func() { r.deployment.Store.SetDown(false) }, nil
	}},
	{"store down, registrations lapse", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		r.deployment.Store.SetDown(true)
		return func() { r.deployment.Store.ExpireRegistrations(); r.deployment.Store.SetDown(false) }, nil
	}},
	{"store loses answers", beginLose},
	{"store slow", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		r.deployment.Store.SetSlow(time.Duration(50+r.rand.IntN(400)) * time.Millisecond)
		return func() { r.deployment.Store.SetSlow(0) }, nil
	}},
	{"link disturbed", func(r *run, _ context.Context, _ time.Duration) (func(), error) { return r.disturb(r.anyLink()), nil }},
	{"link disturbed", func(r *run, _ context.Context, _ time.Duration) (func(), error) { return r.disturb(r.anyLink()), nil }},
	{"connections reset", func(r *run, _ context.Context, _ time.Duration) (func(), error) { r.anyLink().Reset(); return nil, nil }},
	{"connections silent for good", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		r.anyLink().Silence()
		return nil, nil
	}},
	{"VM cut off", beginCutOff},
	{"target replaced", func(r *run, ctx context.Context, d time.Duration) (func(), error) {
		at, ahead := r.rand.IntN(len(r.deployment.Targets())), time.Duration(r.rand.Int64N(int64(2*skew)))-skew
		return nil, r.deployment.Replace(at, func() { wait(ctx, d) }, ahead)
	}},
	{"target's grants late", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		t := r.anyTarget()
		t.LateGrants.Store(true)
		return func() { t.LateGrants.Store(false) }, nil
	}},
	{"target garbles", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		t := r.anyTarget()
		t.MalformedResponses.Store(true)
		return func() { t.MalformedResponses.Store(false) }, nil
	}},
	{"target mute", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		t := r.anyTarget()
		t.Unresponsive.Store(true)
		return func() { t.Unresponsive.Store(false) }, nil
	}},
	{"target cut off from the store", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		t := r.anyTarget()
		t.Unregistered.Store(true)
		return func() { t.Unregistered.Store(false) }, nil
	}},
	{"configuration", func(r *run, _ context.Context, _ time.Duration) (func(), error) { return nil, r.configure() }},
	{"domain out", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		zone := standin.Zones[r.rand.IntN(len(standin.Zones))]
		_, err := r.deployment.EvacuateZone(zone)
		return func() { r.deployment.RestoreZone(zone) }, err
	}},
}

// crashPause is the time between two sendings of a request that crashes its targets.
const crashPause = 100 * time.Millisecond

// targetFaults are kinds of faults that targets tell of themselves or that requests cause. They are drawn beside the others, from
// random numbers of their own, so that seeds of before they were added repeat their faults.
var targetFaults = []fault{
	{"target leaves by its answers", func(r *run, ctx context.Context, d time.Duration) (func(), error) {
		at := r.more.IntN(len(r.deployment.Targets()))
		r.deployment.Targets()[at].Leaving.Store(true)
		r.group.Go(func() {
			wait(ctx, d)
			if err := r.deployment.Replace(at, func() { wait(ctx, d/2) }, 0); err != nil {
				r.judge.note("a target doesn't start again: %v", err)
			}
		})
		return nil, nil
	}},
	{"target sheds", func(r *run, _ context.Context, _ time.Duration) (func(), error) {
		targets := r.deployment.Targets()
		t := targets[r.more.IntN(len(targets))]
		t.Shedding.Store(300 + r.more.Int64N(4700))
		return func() { t.Shedding.Store(0) }, nil
	}},
	{"request crashes targets", func(r *run, ctx context.Context, d time.Duration) (func(), error) {
		path := []string{standin.PathRead, standin.PathOrder}[r.more.IntN(2)] + standin.PathCrash + fmt.Sprint(r.more.IntN(1000))
		random := rand.New(rand.NewPCG(r.Seed, uint64(r.more.IntN(1000))))
		r.group.Go(func() { r.sendCrasher(ctx, path, d, random) })
		return nil, nil
	}},
}

// sendCrasher sends a request that crashes its targets to any VM, again and again.
func (r *run) sendCrasher(ctx context.Context, path string, lasts time.Duration, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n, end := 0, time.Now().Add(lasts); time.Now().Before(end) && ctx.Err() == nil; n++ {
		x := exchange{id: fmt.Sprintf("%s-%05d", path, n), path: path, vm: random.IntN(r.VMs), order: strings.HasPrefix(path, standin.PathOrder)}
		r.send(ctx, client, &x, 0, patientWait)
		if ctx.Err() == nil {
			r.judge.take(x)
		}
		wait(ctx, crashPause)
	}
}

func (r *run) anyVM() *vm {
	return r.vms[r.rand.IntN(len(r.vms))]
}

func (r *run) anyTarget() *standin.Target {
	targets := r.deployment.Targets()
	return targets[r.rand.IntN(len(targets))]
}

// anyLink returns a link to or from a VM, or one to a target.
func (r *run) anyLink() *link {
	v, kind := r.anyVM(), r.rand.IntN(4)
	r.mu.Lock()
	defer r.mu.Unlock()
	target := r.targetLinks[r.rand.IntN(len(r.targetLinks))]
	return []*link{v.callers, v.peers, v.store, target}[kind]
}

// inject injects faults in series and overlapping until the time is over.
func (r *run) inject(ctx context.Context) error {
	end := time.Now().Add(r.Faults)
	for time.Now().Before(end) {
		f := faults[r.rand.IntN(len(faults))]
		lasts := leastFault + time.Duration(r.rand.Int64N(int64(moreFault)))
		if r.more.IntN(4) == 0 {
			if err := r.begin(ctx, targetFaults[r.more.IntN(len(targetFaults))], leastFault+time.Duration(r.more.Int64N(int64(moreFault)))); err != nil {
				return err
			}
		}
		if err := r.begin(ctx, f, lasts); err != nil {
			return err
		}
		if !wait(ctx, time.Duration(r.rand.Int64N(int64(gap)))) {
			return ctx.Err()
		}
	}
	return nil
}

// begin begins a fault.
func (r *run) begin(ctx context.Context, f fault, lasts time.Duration) error {
	_, _ = fmt.Fprintf(r.Out, "seed %d: %s for %v\n", r.Seed, f.name, lasts.Round(time.Millisecond))
	finish, err := f.begin(r, ctx, lasts)
	if err != nil {
		return fmt.Errorf("%s: %w", f.name, err)
	}
	if finish != nil {
		r.later(lasts, finish)
	}
	return nil
}

// later ends a fault after a time, or in heal.
func (r *run) later(lasts time.Duration, finish func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.next
	r.next++
	r.ending[id] = finish
	time.AfterFunc(lasts, func() { r.finish(id) })
}

func (r *run) finish(id int) {
	r.mu.Lock()
	finish := r.ending[id]
	delete(r.ending, id)
	r.mu.Unlock()
	if finish != nil {
		finish()
		r.deployment.Checker.OnResume()
	}
}

// heal ends all faults. Connections that are silent for good stay so.
func (r *run) heal() {
	r.group.Wait()
	r.mu.Lock()
	last := r.next
	r.mu.Unlock()
	for id := range last {
		r.finish(id)
	}
}

func (r *run) kill(v *vm) error {
	if !v.mu.TryLock() {
		// Its shutdown goes on.
		v.process.Signal(syscall.SIGKILL)
		return nil
	}
	defer v.mu.Unlock()
	v.process.Kill()
	return r.start(v)
}

func beginKillHalf(r *run, _ context.Context, _ time.Duration) (func(), error) {
	first := r.rand.IntN(len(r.vms))
	for i := range (len(r.vms) + 1) / 2 {
		if err := r.kill(r.vms[(first+i)%len(r.vms)]); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// stop shuts a process down gracefully while other faults go on, and starts it again.
func (r *run) stop(v *vm) {
	r.group.Go(func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		// A process that is paused sees the signal when it runs again.
		starting := time.Since(v.startedAt) < startTime
		if err := v.process.Stop(stopBound + max(0, time.Until(v.pausedUntil))); !stopped(err, starting) {
			r.judge.note("VM %d doesn't stop: %v", v.index, err)
		}
		if err := r.start(v); err != nil {
			r.judge.note("VM %d doesn't start: %v", v.index, err)
		}
	})
}

const (
	// killed is how a process ends that another fault has killed during its shutdown.
	killed = "signal: killed"
	// terminated is how a process ends that is asked to stop before it can handle that, within startTime.
	terminated = "signal: terminated"
	startTime  = 300 * time.Millisecond
)

// stopped tells whether a process has ended as it should after a request to stop.
func stopped(err error, starting bool) bool {
	return err == nil || err.Error() == killed || starting && err.Error() == terminated
}

func (r *run) signal(v *vm, s syscall.Signal) {
	if v.mu.TryLock() {
		v.process.Signal(s)
		v.mu.Unlock()
	}
}

// pause makes a process stand still; the returned function lets it run.
func (r *run) pause(v *vm, lasts time.Duration) func() {
	if !v.mu.TryLock() {
		return nil
	}
	defer v.mu.Unlock()
	p := v.process
	v.pausedUntil = time.Now().Add(lasts)
	p.Signal(syscall.SIGSTOP)
	return func() { p.Signal(syscall.SIGCONT) }
}

func beginLose(r *run, _ context.Context, _ time.Duration) (func(), error) {
	late := time.Duration(0)
	if r.rand.IntN(2) == 0 {
		late = time.Duration(r.rand.Int64N(int64(3 * time.Second)))
	}
	r.deployment.Store.LoseResponses(loseEvery, late)
	return func() { r.deployment.Store.LoseResponses(0, 0) }, nil
}

// disturb delays a link, holds one or both of its directions, or refuses new connections.
func (r *run) disturb(k *link) func() {
	kinds := []Disturbance{
		{Delay: time.Duration(20+r.rand.IntN(300)) * time.Millisecond}, {Forward: true}, {Backward: true}, {Forward: true, Backward: true}, {Refuse: true},
	}
	k.Set(kinds[r.rand.IntN(len(kinds))])
	return func() { k.Set(Disturbance{}) }
}

// beginCutOff cuts a VM off from the store and from the other VMs that would reach it. Callers and targets still do.
func beginCutOff(r *run, _ context.Context, _ time.Duration) (func(), error) {
	v := r.anyVM()
	for _, k := range []*link{v.store, v.peers} {
		k.Set(Disturbance{Forward: true, Backward: true})
	}
	return func() {
		v.store.Set(Disturbance{})
		v.peers.Set(Disturbance{})
	}, nil
}

// configure makes the next version of the configuration the newest.
func (r *run) configure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	if err := r.deployment.Configure(r.version); err != nil {
		return err
	}
	r.judge.configured(r.version)
	return nil
}
