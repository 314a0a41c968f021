// Package soak runs entry processes under load, injects faults from outside the processes and checks what callers and targets
// see.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/internal/child"
	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// settleTime is the time in which a deployment must serve after its start and after the end of the last fault.
	settleTime = 6 * time.Second
	// restoredSettleTime is the same if the store was restored. If the coordinator is lost before it has written its tables again, its
	// successor takes over after a lease (3.3 s) and an election (1.5 s), and grants keys after all earlier grants have expired (7.3 s).
	restoredSettleTime = 14 * time.Second
	// callerCount is the number of concurrent callers.
	callerCount = 12
	// lateRunTime is how long a refused order is watched for a late execution.
	lateRunTime = 2 * time.Second
	// portsPerVM is the number of ports reserved for each VM.
	portsPerVM = 10
	// peerPortOffset is the offset of the port for the other VMs from the first port of a VM.
	peerPortOffset = 2
)

// Options configures a run.
type Options struct {
	Binary  string
	Seed    uint64
	VMs     int
	Targets int
	// Faults is how long faults are injected.
	Faults time.Duration
	// FirstPort is the first of VMs*10 free ports.
	FirstPort int
	LogDir    string
	Out       io.Writer
	// Arguments are further command-line arguments of the entry processes.
	Arguments []string
}

// vm is an entry process with the links to it and from it.
type vm struct {
	index        int
	settingsPath string
	// callerLink and peerLink lead to the VM, storeLink leads from it.
	callerLink, peerLink, storeLink *link

	// mu is held while the process is started or stopped.
	mu      sync.Mutex
	process *child.Process
	// generation counts the starts of the process; the last one was at startedAt.
	generation int
	startedAt  time.Time
	// pausedUntil is when a paused process resumes.
	pausedUntil time.Time
}

// run is a soak test in progress.
type run struct {
	Options
	faultRand *rand.Rand
	// targetFaultRand is the random source of targetFaults.
	targetFaultRand *rand.Rand
	// limitFaultRand is the random source of limitFault.
	limitFaultRand *rand.Rand
	// registrationFaultRand is the random source of registrationFault.
	registrationFaultRand *rand.Rand
	// restoreRand is the random source of restoreFault.
	restoreRand *rand.Rand
	// restored is set once the store was restored.
	restored   bool
	deployment *standin.Deployment
	supervisor *child.Supervisor
	vms        []*vm
	checker    *callerChecker

	mu sync.Mutex
	// targetLinks lead to the targets.
	targetLinks []*link
	version     int
	// faultEnds holds the functions that end the active faults, by fault ID.
	faultEnds   map[int]func()
	nextFaultID int
	group       sync.WaitGroup
}

// Run runs one soak test and returns the violations that it found.
func Run(ctx context.Context, o Options) ([]string, error) {
	r := &run{Options: o, faultRand: rand.New(rand.NewPCG(o.Seed, 1)), targetFaultRand: rand.New(rand.NewPCG(o.Seed, 2)), limitFaultRand: rand.New(rand.NewPCG(o.Seed, 3)), registrationFaultRand: rand.New(rand.NewPCG(o.Seed, 4)),
		restoreRand: rand.New(rand.NewPCG(o.Seed, 5)), version: 7, faultEnds: map[int]func(){}}
	var err error
	if r.deployment, err = standin.Start(o.Targets, r.linkTarget); err != nil {
		return nil, err
	}
	defer r.deployment.Close()
	r.checker = newCallerChecker(r.deployment.Checker)
	r.supervisor = &child.Supervisor{LogDir: o.LogDir}
	defer r.supervisor.KillAll()
	defer r.closeLinks()
	for i := range o.VMs {
		if err := r.addVM(i); err != nil {
			return nil, err
		}
	}
	return r.execute(ctx)
}

// linkTarget puts a link in front of a target's address.
func (r *run) linkTarget(address string) (string, error) {
	l, err := newLink(address)
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetLinks = append(r.targetLinks, l)
	return l.Address(), nil
}

func (r *run) closeLinks() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.targetLinks {
		l.Close()
	}
	for _, v := range r.vms {
		for _, l := range []*link{v.callerLink, v.peerLink, v.storeLink} {
			l.Close()
		}
	}
}

func (r *run) addVM(i int) error {
	port := r.FirstPort + portsPerVM*i
	v := &vm{index: i}
	var errs [4]error
	v.callerLink, errs[0] = newLink(fmt.Sprintf("127.0.0.1:%d", port))
	v.peerLink, errs[1] = newLink(fmt.Sprintf("127.0.0.1:%d", port+peerPortOffset))
	v.storeLink, errs[2] = newLink(r.deployment.Address)
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	v.settingsPath, errs[3] = r.deployment.SettingsFile(r.LogDir, i, port, v.storeLink.Address())
	if errs[3] != nil {
		return errs[3]
	}
	r.vms = append(r.vms, v)
	v.mu.Lock()
	defer v.mu.Unlock()
	return r.start(v)
}

// start starts a VM's process. The caller holds v.mu.
func (r *run) start(v *vm) error {
	p, err := r.supervisor.Start(fmt.Sprintf("blentry-%d", v.index), r.Binary,
		append([]string{"--advertise=" + v.peerLink.Address(), v.settingsPath}, r.Arguments...)...)
	v.process, v.startedAt = p, time.Now()
	v.generation++
	r.checker.processStarted(v.index, v.generation)
	return err
}

func (r *run) execute(ctx context.Context) ([]string, error) {
	if !wait(ctx, settleTime) {
		return nil, ctx.Err()
	}
	loadCtx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() { r.runCaller(loadCtx, i) })
	}
	for i := range pipelinerCount {
		group.Go(func() { r.runPipeliner(loadCtx, i) })
	}
	err := r.inject(ctx)
	r.endAllFaults()
	settle := settleTime
	if r.restored {
		settle = restoredSettleTime
	}
	if err == nil && wait(ctx, settle) {
		err = r.checkRecovery(ctx)
	}
	stop()
	group.Wait()
	wait(ctx, lateRunTime)
	violations := r.checker.allViolations()
	_, _ = fmt.Fprintf(r.Out, "seed %d: %d requests, %d served, %d violations\n", r.Seed, r.checker.total, r.checker.served, len(violations))
	return violations, err
}

// wait waits for d. It returns false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// CreateLogDir creates a temporary directory for settings files and logs.
func CreateLogDir() (string, error) {
	return os.MkdirTemp("", "bronzelever-soak-")
}
