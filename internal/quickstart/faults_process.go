package quickstart

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	pauseTime = 5 * time.Second
	// controllerPause is longer than the 1.4 s after which a term that isn't renewed is stale.
	controllerPause = 7 * time.Second
	// storeLossTime is longer than the 1.4 s after which a term that isn't renewed is stale.
	storeLossTime = 5 * time.Second
	// unconfirmedTime is longer than the 5 s after which a controller looks for a confirmation.
	unconfirmedTime = 8 * time.Second
	// recoverTimeout is how long a scenario waits for complete service. Section 1 of the design has no bound for it.
	recoverTimeout = 30 * time.Second

	repeatRounds   = 3
	repeatedOrders = 10
	// slowOrderMillis leaves time to kill a router while orders run.
	slowOrderMillis = 200
	// midRequest is when the router is killed after its orders were sent.
	midRequest = 100 * time.Millisecond
)

// gateway returns the running entry VM of a region that holds the most groups.
func (f *faultRun) gateway(ctx context.Context, region string) (*vm, error) {
	var best *vm
	most := 0
	for _, cell := range f.operator.Status(ctx).Cells {
		for _, m := range cell.Members {
			if cell.Cell == region && m.Groups > most {
				if v := f.vmNamed(m.VM); v != nil && v.router.Running() {
					best, most = v, m.Groups
				}
			}
		}
	}
	if best == nil {
		return nil, trace.NotFound("no gateway in %s", region)
	}
	return best, nil
}

func (f *faultRun) vmNamed(name string) *vm {
	for _, v := range f.vms {
		if v.VM == name {
			return v
		}
	}
	return nil
}

func (f *faultRun) allKeys() []string {
	var keys []string
	for _, owned := range f.prober.keysByOwner() {
		keys = append(keys, owned...)
	}
	return keys
}

// pauseGateway stops a router that is a gateway, and continues it when its groups have moved.
func pauseGateway(ctx context.Context, f *faultRun) error {
	victim, err := f.gateway(ctx, f.config.Regions[0].Name)
	if err != nil {
		return trace.Wrap(err)
	}
	keys := f.allKeys()
	begin := time.Now()
	victim.router.Signal(syscall.SIGSTOP)
	again := f.prober.servedAgain(ctx, keys)
	atMost(f.report, "all keys served again", milliseconds(again), maxServedAgain, "ms")
	time.Sleep(time.Until(begin.Add(pauseTime)))
	victim.router.Signal(syscall.SIGCONT)
	time.Sleep(settleTime)
	return trace.Wrap(f.waitRecovered(ctx))
}

// pauseController stops the active controller until another one leads, continues it and loses a target right afterwards.
func pauseController(ctx context.Context, f *faultRun) error {
	victim := f.leader(ctx)
	pool, ok := f.keyedPool()
	if victim == nil || !ok {
		return trace.NotFound("no active controller or no keyed pool")
	}
	byOwner := f.prober.keysByOwner()
	watched := f.prober.watch(ctx, someOf(byOwner, ""))
	victim.controller.Signal(syscall.SIGSTOP)
	time.Sleep(controllerPause)
	victim.controller.Signal(syscall.SIGCONT)
	f.judgeWatch("keys: reads without an answer while the controller is paused", watched)
	lost := pool.Targets[0]
	f.targets[lost.ID].Kill()
	again := f.prober.servedAgain(ctx, byOwner[lost.ID])
	atMost(f.report, "keys of a killed target served again", milliseconds(again), maxServedAgain, "ms")
	if err := f.startTarget(*pool, lost, true); err != nil {
		return trace.Wrap(err)
	}
	time.Sleep(settleTime)
	return trace.Wrap(f.waitRecovered(ctx))
}

// loseHalf kills the leading VM of a cell and others of the cell at once, half of its VMs in total.
func loseHalf(ctx context.Context, f *faultRun) error {
	leader := f.leader(ctx)
	if leader == nil {
		return trace.NotFound("no active controller")
	}
	keys := f.allKeys()
	victims := []*vm{leader}
	for _, v := range f.vms {
		if v.Cell == leader.Cell && v != leader && len(victims) < f.vmsPerRegion/2 {
			victims = append(victims, v)
		}
	}
	for _, v := range victims {
		v.router.Signal(syscall.SIGKILL)
		v.controller.Signal(syscall.SIGKILL)
	}
	again := f.prober.servedAgain(ctx, keys)
	atMost(f.report, "all keys served again", milliseconds(again), maxServedAgain, "ms")
	for _, v := range victims {
		v.router.Kill()
		v.controller.Kill()
		if err := f.startVM(v); err != nil {
			return trace.Wrap(err)
		}
	}
	time.Sleep(settleTime)
	return trace.Wrap(f.waitRecovered(ctx))
}

// waitRecovered waits until every group has a gateway, every slice an owner and every running router is ready.
func (f *faultRun) waitRecovered(ctx context.Context) error {
	return waitFor(recoverTimeout, "complete service", func() bool {
		for _, v := range f.vms {
			if !v.router.Running() || !f.ready(v) {
				return false
			}
		}
		return f.allServed(ctx)
	})
}

// replaceEntryVMs stops router and controller of each VM gracefully and starts new processes in their place.
func replaceEntryVMs(ctx context.Context, f *faultRun) error {
	var failed []error
	for _, v := range f.vms {
		err := v.router.Stop(stopTimeout)
		f.report.step("graceful stop of "+v.router.Name, err)
		f.report.step("graceful stop of "+v.controller.Name, v.controller.Stop(stopTimeout))
		if err := f.startVM(v); err != nil {
			return trace.Wrap(err)
		}
		failed = append(failed, f.waitRecovered(ctx))
	}
	time.Sleep(settleTime)
	return errors.Join(failed...)
}

// repeatOrders sends orders through one entry VM, kills its router while they run, and sends them again through others.
func repeatOrders(ctx context.Context, f *faultRun) error {
	if err := f.controlPool(f.orderPool(), fmt.Sprintf(`{"service_ms":%d}`, slowOrderMillis)); err != nil {
		return trace.Wrap(err)
	}
	for round := range repeatRounds {
		victim, err := f.gateway(ctx, f.config.Regions[round%len(f.config.Regions)].Name)
		if err != nil {
			return trace.Wrap(err)
		}
		answered := f.repeatOrdersRound(ctx, round, victim)
		f.report.note(fmt.Sprintf("round %d: orders answered at last", round+1), fmt.Sprintf("%d of %d", answered, repeatedOrders))
		if err := f.startVM(victim); err != nil {
			return trace.Wrap(err)
		}
		if err := f.waitRecovered(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (f *faultRun) repeatOrdersRound(ctx context.Context, round int, victim *vm) int {
	var others []string
	for _, v := range f.vms {
		if v != victim {
			others = append(others, "http://"+v.at(callerPort))
		}
	}
	var mu sync.Mutex
	answered := 0
	var sent sync.WaitGroup
	for i := range repeatedOrders {
		sent.Go(func() {
			order := fmt.Sprintf("repeated-%d-%d", round, i)
			first := f.callers.send(ctx, call{
				base: "http://" + victim.at(callerPort), method: http.MethodPost, path: "/orders",
				id: order + "-first", order: order, body: `{"order":"` + order + `"}`,
			})
			if first.answered() || f.callers.orderUntilAnswered(ctx, order, others[i%len(others):]) {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	time.Sleep(midRequest)
	victim.router.Kill()
	victim.controller.Kill()
	sent.Wait()
	return answered
}

// loseEntryVMs kills all routers and controllers at once and starts new ones. Pools that don't check grants are served
// again only after an operator's confirmation.
func loseEntryVMs(ctx context.Context, f *faultRun) error {
	keys := f.allKeys()
	time.Sleep(settleTime)
	for _, v := range f.vms {
		v.router.Signal(syscall.SIGKILL)
		v.controller.Signal(syscall.SIGKILL)
	}
	for _, v := range f.vms {
		v.router.Kill()
		v.controller.Kill()
	}
	begin := time.Now()
	for _, v := range f.vms {
		if err := f.startVM(v); err != nil {
			return trace.Wrap(err)
		}
	}
	pool, _ := f.keyedPool()
	if pool.GrantsChecked {
		err := f.waitKeys(keys)
		f.report.step("keys of the checked pool are served without a confirmation", err)
		f.report.note("keys served again after", time.Since(begin).Round(time.Millisecond).String())
	}
	if err := waitFor(recoverTimeout, "a controller in each cell", func() bool { return f.eachCell(ctx, nil) == nil }); err != nil {
		return trace.Wrap(err)
	}
	time.Sleep(unconfirmedTime)
	granted := 0
	err := f.eachCell(ctx, func(_ context.Context, status *wire.StatusReply) error {
		granted += f.uncheckedHeld(status)
		return nil
	})
	if err != nil {
		return trace.Wrap(err)
	}
	atMost(f.report, "groups of unchecked pools granted before the confirmation", granted, 0, "")
	if err := f.eachCell(ctx, f.confirm); err != nil {
		return trace.Wrap(err)
	}
	confirmed := time.Now()
	f.report.step("complete service after the confirmation", f.waitRecovered(ctx))
	f.report.note("complete service after the confirmation took", time.Since(confirmed).Round(time.Millisecond).String())
	f.report.step("all keys are served", f.waitKeys(keys))
	time.Sleep(settleTime)
	return nil
}

// uncheckedHeld counts the groups with a gateway whose targets don't check grants.
func (f *faultRun) uncheckedHeld(status *wire.StatusReply) int {
	if status.Table == nil {
		return 0
	}
	n := 0
	for _, g := range status.Table.Groups {
		if pool, ok := f.config.Pool(g.ID.Pool()); ok && !pool.GrantsChecked && g.Gateway != "" {
			n++
		}
	}
	return n
}

func (f *faultRun) waitKeys(keys []string) error {
	next := 0
	return waitFor(recoverTimeout, "keys served again", func() bool {
		for next < len(keys) {
			if _, err := f.prober.owner(keys[next]); err != nil {
				return false
			}
			next++
		}
		return true
	})
}

// eachCell calls a function with the status of the active controller of each cell.
func (f *faultRun) eachCell(ctx context.Context, do func(context.Context, *wire.StatusReply) error) error {
	for _, cell := range f.cells() {
		status, err := f.activeController(ctx, cell.Controllers)
		if err != nil {
			return trace.Wrap(err)
		}
		if do == nil {
			continue
		}
		if err := do(ctx, status); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (f *faultRun) activeController(ctx context.Context, addresses []string) (*wire.StatusReply, error) {
	for _, address := range addresses {
		var status wire.StatusReply
		asking, cancel := context.WithTimeout(ctx, probeTimeout)
		err := f.client.Call(asking, address, wire.TypeStatus, &wire.Status{}, wire.TypeStatusReply, &status)
		cancel()
		if err == nil && status.Active {
			return &status, nil
		}
	}
	return nil, trace.NotFound("no active controller")
}

// confirm records the operator's confirmation that no router from before the term runs.
func (f *faultRun) confirm(ctx context.Context, status *wire.StatusReply) error {
	_, err := f.operator.ConfirmLost(ctx, status.Cell)
	return trace.Wrap(err)
}
