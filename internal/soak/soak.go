// Package soak runs entry processes under load while it injects faults from outside them, and judges what callers and
// targets see.
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
	// settle is the time until a deployment serves, and after the last fault until it must serve again.
	settle = 6 * time.Second
	// callers is the number of concurrent callers.
	callers = 12
	// lateRuns is how long a refused order is watched for a late run.
	lateRuns = 2 * time.Second
	// portsPerVM is the number of ports that each VM has.
	portsPerVM = 10
	// relayPort is the port of a VM for the other VMs, counted from its first one.
	relayPort = 2
)

// Options choose a run.
type Options struct {
	Binary  string
	Seed    uint64
	VMs     int
	Targets int
	// Faults is the time in which faults are injected.
	Faults time.Duration
	// FirstPort is the first of VMs*10 free ports.
	FirstPort int
	LogDir    string
	Out       io.Writer
}

// vm is an entry process with the links that lead to it and from it.
type vm struct {
	index    int
	settings string
	// callers and peers lead to the VM, store leads from it.
	callers, peers, store *link

	// mu is held by what starts or stops the process.
	mu      sync.Mutex
	process *child.Process
	// life counts the starts; the last one was at startedAt.
	life      int
	startedAt time.Time
	// pausedUntil is when the process runs again.
	pausedUntil time.Time
}

// run is a soak in progress.
type run struct {
	Options
	rand *rand.Rand
	// more are the random numbers of targetFaults.
	more       *rand.Rand
	deployment *standin.Deployment
	supervisor *child.Supervisor
	vms        []*vm
	judge      *judge

	mu sync.Mutex
	// targetLinks lead to the targets.
	targetLinks []*link
	version     int
	// ending are the faults that are in force and how they end.
	ending map[int]func()
	next   int
	group  sync.WaitGroup
}

// Run returns the broken promises of one run.
func Run(ctx context.Context, o Options) ([]string, error) {
	r := &run{Options: o, rand: rand.New(rand.NewPCG(o.Seed, 1)), more: rand.New(rand.NewPCG(o.Seed, 2)), version: 7, ending: map[int]func(){}}
	var err error
	if r.deployment, err = standin.Start(o.Targets, r.linkTarget); err != nil {
		return nil, err
	}
	defer r.deployment.Close()
	r.judge = newJudge(r.deployment.Checker)
	r.supervisor = &child.Supervisor{LogDir: o.LogDir}
	defer r.supervisor.KillAll()
	defer r.closeLinks()
	for i := range o.VMs {
		if err := r.addVM(i); err != nil {
			return nil, err
		}
	}
	return r.play(ctx)
}

// linkTarget puts a link in front of a target's address.
func (r *run) linkTarget(address string) (string, error) {
	k, err := newLink(address)
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetLinks = append(r.targetLinks, k)
	return k.Address(), nil
}

func (r *run) closeLinks() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.targetLinks {
		k.Close()
	}
	for _, v := range r.vms {
		for _, k := range []*link{v.callers, v.peers, v.store} {
			k.Close()
		}
	}
}

func (r *run) addVM(i int) error {
	port := r.FirstPort + portsPerVM*i
	v := &vm{index: i}
	var errs [4]error
	v.callers, errs[0] = newLink(fmt.Sprintf("127.0.0.1:%d", port))
	v.peers, errs[1] = newLink(fmt.Sprintf("127.0.0.1:%d", port+relayPort))
	v.store, errs[2] = newLink(r.deployment.Address)
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	v.settings, errs[3] = r.deployment.SettingsFile(r.LogDir, i, port, v.store.Address())
	if errs[3] != nil {
		return errs[3]
	}
	r.vms = append(r.vms, v)
	v.mu.Lock()
	defer v.mu.Unlock()
	return r.start(v)
}

// start starts a VM's process. Its lock is held.
func (r *run) start(v *vm) error {
	p, err := r.supervisor.Start(fmt.Sprintf("blentry-%d", v.index), r.Binary, "--advertise="+v.peers.Address(), v.settings)
	v.process, v.startedAt = p, time.Now()
	v.life++
	r.judge.started(v.index, v.life)
	return err
}

func (r *run) play(ctx context.Context) ([]string, error) {
	if !wait(ctx, settle) {
		return nil, ctx.Err()
	}
	load, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { r.call(load, i) })
	}
	err := r.inject(ctx)
	r.heal()
	if err == nil && wait(ctx, settle) {
		err = r.checkCalm(ctx)
	}
	stop()
	group.Wait()
	wait(ctx, lateRuns)
	broken := r.judge.verdict()
	_, _ = fmt.Fprintf(r.Out, "seed %d: %d requests, %d served, %d broken promises\n", r.Seed, r.judge.total, r.judge.served, len(broken))
	return broken, err
}

// wait returns false if the context ends first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// LogDir returns a new directory for settings and logs.
func LogDir() (string, error) {
	return os.MkdirTemp("", "bronzelever-soak-")
}
