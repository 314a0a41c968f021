package quickstart

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/internal/load"
	"github.com/bronzelever/bronzelever/internal/standin/check"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// Sizes of a deployment for faults: it starts within 2 s and has a successor in each failure domain.
	faultVMsPerRegion   = 3
	faultKeyedPerDomain = 2
	faultOtherPerDomain = 1
	faultProbeKeys      = 96
	// faultReadRate leaves room for the reads of watched keys on a busy machine: a refusal for overload would hide the
	// refusals that a scenario looks for.
	faultReadRate = 150
	// faultBundleBytes keeps the bundles within the cap of the link between the regions while few routers are left: with
	// 512 KiB, two downloads reached their deadline on the link during the replacement of VMs.
	faultBundleBytes   = 128 << 10
	faultBundleTimeout = 5 * time.Second

	// statusInProgress is how the load's report names the answer to a repeat of an order that still runs.
	statusInProgress = "409 in-progress"

	// stableTime is longer than the pause between two moves of groups.
	stableTime    = 4 * time.Second
	stableTimeout = 30 * time.Second

	// scenarioTimeout ends the sending of load and every wait of a scenario.
	scenarioTimeout = 2 * time.Minute
	// faultCollectInterval is short, because what a killed target executed after the last collection is lost.
	faultCollectInterval = 100 * time.Millisecond
)

// FaultOptions of a run of fault scenarios.
type FaultOptions struct {
	Options
	// Prefix is the first half of the loopback addresses.
	Prefix string
	// Scenarios limits the run to these numbers; empty runs all.
	Scenarios []int
	// ConfigFiles are deployed in turn: one whose keyed pool doesn't check grants, one whose keyed pool does.
	ConfigFiles []string
	// KnownRed names the file with the outcomes that are known to be wrong.
	KnownRed string
}

// faultSpec describes a scenario.
type faultSpec struct {
	number int
	name   string
	run    func(context.Context, *faultRun) error
	// both runs the scenario with each configuration instead of one of them.
	both bool
	// vmsPerRegion replaces faultVMsPerRegion.
	vmsPerRegion int
	// orderRate replaces the rate of orders of the load.
	orderRate float64
	// uncut requires that no request of the load ends without a whole answer or a refusal not-run.
	uncut bool
}

// faultRun is one run of a scenario.
type faultRun struct {
	*scenario
	spec      *faultSpec
	callers   *callers
	collector *check.Collector
}

// faultSpecs lists the scenarios, most dangerous first.
func faultSpecs() []faultSpec {
	return []faultSpec{
		{number: 1, name: "a gateway is paused for 5 s", run: pauseGateway, both: true},
		{number: 2, name: "a target is killed while the store is down", run: killTargetWithoutStore, both: true},
		{number: 3, name: "the active controller is killed while the store is down", run: killControllerWithoutStore, both: true},
		{number: 4, name: "a domain is taken out and a router killed with ambiguous writes", run: ambiguousWrites, both: true},
		{number: 5, name: "every entry VM is replaced", run: replaceEntryVMs, uncut: true},
		{number: 6, name: "orders are repeated while their router is killed", run: repeatOrders, both: true, orderRate: 8},
		{number: 7, name: "requests crash their targets", run: crashTargets},
		{number: 8, name: "targets freeze and restart cold", run: freezeAndRestart, both: true},
		{number: 9, name: "operators race", run: raceOperators},
		{number: 10, name: "targets leave", run: leaveTargets, both: true},
		{number: 11, name: "all entry VMs are lost", run: loseEntryVMs, both: true},
		{number: 12, name: "home regions are kept", run: keepHomeRegions},
		{number: 13, name: "the active controller is paused", run: pauseController, both: true},
		{number: 14, name: "half of a cell is lost with its controller", run: loseHalf, both: true, vmsPerRegion: 4},
	}
}

// Faults runs the scenarios one after the other, each on a deployment of its own. It returns an error if an outcome is
// wrong that isn't listed as known.
func Faults(ctx context.Context, o FaultOptions) error {
	known, err := readKnownRed(o.KnownRed)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := setCredentials(); err != nil {
		return trace.Wrap(err)
	}
	r := &report{out: o.Out, known: known}
	for _, spec := range faultSpecs() {
		if len(o.Scenarios) > 0 && !slices.Contains(o.Scenarios, spec.number) {
			continue
		}
		for i, file := range o.ConfigFiles {
			if spec.both || i == spec.number%len(o.ConfigFiles) {
				o.runSpec(ctx, spec, file, r)
			}
		}
	}
	_, _ = fmt.Fprintf(o.Out, "%d outcomes are wrong, %d known ones are red\n", r.failed, r.red)
	if r.failed > 0 {
		return trace.CompareFailed("%d outcomes are wrong; logs are in %s", r.failed, o.LogDir)
	}
	return nil
}

// runSpec runs one scenario; whatever keeps it from ending is an outcome, too.
func (o FaultOptions) runSpec(ctx context.Context, spec faultSpec, file string, r *report) {
	begin := time.Now()
	user := filepath.Base(filepath.Dir(file))
	r.scenario = fmt.Sprintf("%d %s", spec.number, user)
	_, _ = fmt.Fprintf(o.Out, "\n%d. %s (%s)\n", spec.number, spec.name, user)
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	dir := filepath.Join(o.LogDir, fmt.Sprintf("%02d-%s", spec.number, user))
	f, err := o.prepare(spec, file, dir, r)
	if err != nil {
		r.step("preparation", err)
		return
	}
	defer f.KillAll()
	unsolicited := &lineCounter{match: "Unsolicited response"}
	log.SetOutput(unsolicited)
	if err := f.runAll(ctx); err != nil {
		r.step("scenario", err)
	}
	log.SetOutput(os.Stderr)
	atMost(r, "answers to requests that no caller sent", unsolicited.count(), 0, "")
	if f.stopBalancers != nil {
		f.stopBalancers()
	}
	r.note("duration", time.Since(begin).Round(time.Millisecond).String())
}

// lineCounter counts the lines of package log that contain a text. net/http reports there what arrives on an idle
// connection, for example the answer to the rest of a body that a router has taken for a request.
type lineCounter struct {
	match string
	n     atomic.Int64
}

// Write implements io.Writer.
func (c *lineCounter) Write(line []byte) (int, error) {
	if strings.Contains(string(line), c.match) {
		c.n.Add(1)
	}
	return len(line), nil
}

func (c *lineCounter) count() int {
	return int(c.n.Load())
}

func (o FaultOptions) prepare(spec faultSpec, file, dir string, r *report) (*faultRun, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	cfg, findings := config.Parse(data, file)
	if err := findings.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	shrink(cfg)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	size := faultVMsPerRegion
	if spec.vmsPerRegion > 0 {
		size = spec.vmsPerRegion
	}
	s, err := newScenario(newDeployment(o.BinDir, dir, cfg, layout{prefix: o.Prefix, vmsPerRegion: size}), r)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.probeKeys, s.readRate = faultProbeKeys, faultReadRate
	s.bundleBytes, s.bundleTimeout = faultBundleBytes, faultBundleTimeout
	return &faultRun{scenario: s, spec: &spec, callers: newCallers()}, nil
}

// shrink keeps a few targets of each pool in each failure domain.
func shrink(cfg *config.Config) {
	for i := range cfg.Pools {
		pool := &cfg.Pools[i]
		limit := faultOtherPerDomain
		if pool.Keyed {
			limit = faultKeyedPerDomain
		}
		kept := map[string]int{}
		pool.Targets = slices.DeleteFunc(pool.Targets, func(t config.Target) bool {
			kept[t.Domain]++
			return kept[t.Domain] > limit
		})
	}
}

// runAll deploys, sends load, brings about the fault, judges and stops.
func (f *faultRun) runAll(ctx context.Context) error {
	begin := time.Now()
	if err := f.start(ctx); err != nil {
		return trace.Wrap(err)
	}
	f.report.note("deployment serves everything after", time.Since(begin).Round(time.Millisecond).String())
	if err := f.waitStable(ctx); err != nil {
		return trace.Wrap(err)
	}
	f.collector = check.NewCollector(f.deployment.client, f.recordURLs()...)
	stopCollecting := collectEvery(ctx, f.collector, faultCollectInterval)
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	rate := f.spec.orderRate
	if rate == 0 {
		rate = orderRate
	}
	f.startLoad(sending, scenarioTimeout, rate)
	callersDone := make(chan struct{})
	go func() {
		defer close(callersDone)
		f.callers.run(sending, f.urls)
	}()
	if err := f.spec.run(ctx, f); err != nil {
		f.report.step("course of the scenario", err)
	}
	stopSending()
	<-callersDone
	result := <-f.loads
	stopCollecting()
	if result.err != nil {
		return trace.Wrap(result.err)
	}
	f.judgeFaultLoad(result.report)
	records := f.collector.Records()
	f.callers.judge(f.report, records)
	f.judgeRecords(check.Records(records))
	f.stop()
	return nil
}

// waitStable waits until the groups of the new deployment stay where they are, so that a move to a better place isn't taken
// for an effect of the fault.
func (f *faultRun) waitStable(ctx context.Context) error {
	gateways, since := "", time.Now()
	return waitFor(stableTimeout, "groups stay where they are", func() bool {
		now := ""
		err := f.eachCell(ctx, func(_ context.Context, status *wire.StatusReply) error {
			if status.Table == nil {
				return trace.NotFound("no table")
			}
			for _, g := range status.Table.Groups {
				now += fmt.Sprintf("%v=%s ", g.ID, g.Gateway)
			}
			return nil
		})
		if err != nil || now != gateways {
			gateways, since = now, time.Now()
		}
		return time.Since(since) >= stableTime
	})
}

func (f *faultRun) judgeFaultLoad(r load.Report) {
	f.judgeLoad(r)
	if !f.spec.uncut {
		return
	}
	for i := range r.Classes {
		c := &r.Classes[i]
		// A repeat that is sent while the order runs is told so; nothing was cut.
		cut := c.Unknown - c.Statuses[statusInProgress]
		atMost(f.report, c.Name+": cut, unreachable or failed", cut+c.Unreachable+c.Failed, 0, "")
	}
}

// readKnownRed reads lines of the form "make faults | SCENARIO: OUTCOME | ...". Other lines describe other commands.
func readKnownRed(file string) (map[string]bool, error) {
	known := map[string]bool{}
	if file == "" {
		return known, nil
	}
	in, err := os.Open(file)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = in.Close() }()
	data, err := io.ReadAll(in)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Split(line, " | ")
		if len(fields) >= 2 && fields[0] == "make faults" {
			known[fields[1]] = true
		}
	}
	return known, nil
}
