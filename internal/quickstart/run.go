package quickstart

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/internal/child"
	"github.com/bronzelever/bronzelever/internal/load"
	"github.com/bronzelever/bronzelever/internal/standin/check"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/record"
	"github.com/bronzelever/bronzelever/pkg/record/decision"
)

// collectInterval keeps the targets' bounded records from losing executions unread.
const collectInterval = time.Second

// Options of a run.
type Options struct {
	// BinDir holds the binaries.
	BinDir string
	// ConfigFile is the configuration to deploy.
	ConfigFile string
	// LogDir receives settings files and logs; it is created.
	LogDir string
	Out    io.Writer
}

// Run deploys, sends load, brings about the faults and checks the outcomes. It returns an error if any outcome is wrong.
func Run(ctx context.Context, o Options) error {
	begin := time.Now()
	data, err := os.ReadFile(o.ConfigFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	cfg, findings := config.Parse(data, o.ConfigFile)
	if err := findings.Err(); err != nil {
		return trace.Wrap(err)
	}
	if err := os.MkdirAll(o.LogDir, 0o700); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := setCredentials(); err != nil {
		return trace.Wrap(err)
	}
	r := &report{out: o.Out}
	s, err := newScenario(newDeployment(o.BinDir, o.LogDir, cfg, layout{prefix: defaultPrefix, vmsPerRegion: vmsPerRegion}), r)
	if err != nil {
		return trace.Wrap(err)
	}
	defer s.KillAll()
	r.note("entry VMs", fmt.Sprint(len(s.vms)))
	r.note("targets", fmt.Sprint(len(s.targetsIn(""))))
	if err := s.run(ctx); err != nil {
		r.step("scenario", err)
	}
	atMost(r, "duration", time.Since(begin).Round(time.Millisecond).Seconds(), maxDuration.Seconds(), "s")
	if r.failed > 0 {
		return trace.CompareFailed("%d outcomes are wrong; logs are in %s", r.failed, o.LogDir)
	}
	return nil
}

func (s *scenario) run(ctx context.Context) error {
	begin := time.Now()
	if err := s.start(ctx); err != nil {
		return trace.Wrap(err)
	}
	s.report.note("deployment serves everything after", time.Since(begin).Round(time.Millisecond).String())
	collector := check.NewCollector(s.deployment.client, s.recordURLs()...)
	stopCollecting := collectEvery(ctx, collector, collectInterval)
	s.startLoad(ctx, loadTime, orderRate)
	s.faults(ctx)
	result := <-s.loads
	if result.err != nil {
		return trace.Wrap(result.err)
	}
	stopCollecting()
	s.judgeLoad(result.report)
	s.judgeRecords(check.Records(collector.Records()))
	atMost(s.report, "resident memory of all processes", s.TotalResidentBytes()>>20, maxResidentBytes>>20, "MiB")
	s.stop()
	return trace.Wrap(s.replayDecisions())
}

// replayDecisions runs the decision code again on what the controllers recorded.
func (s *scenario) replayDecisions() error {
	equal, different := 0, 0
	for _, v := range s.vms {
		file, err := os.Open(s.recordFile(v))
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		replayed, err := record.Replay(file, decision.Registry())
		_ = file.Close()
		if err != nil {
			return trace.Wrap(err)
		}
		equal += replayed.Equal
		different += len(replayed.Differences)
	}
	s.report.add(outcome{
		name:     "recorded decisions that come out the same in replay",
		measured: fmt.Sprint(equal),
		bound:    "more than 0",
		ok:       equal > 0,
	})
	atMost(s.report, "recorded decisions that come out otherwise", different, 0, "")
	return nil
}

// faults brings about one fault after the other.
func (s *scenario) faults(ctx context.Context) {
	for _, step := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"kill a target", s.killTarget},
		{"kill the leading VM", s.killLeader},
		{"kill the gateway VM of a keyed group", s.killGateway},
		{"move a failure domain", s.moveDomain},
		{"amend the configuration", s.amend},
	} {
		time.Sleep(settleTime)
		if err := step.run(ctx); err != nil {
			s.report.step(step.name, err)
		}
	}
}

func (s *scenario) recordURLs() []string {
	var urls []string
	for _, t := range s.targetsIn("") {
		urls = append(urls, "http://"+controlAddress(t.Address)+"/record")
	}
	return urls
}

// collectEvery collects until the returned function is called, which collects a last time.
func collectEvery(ctx context.Context, c *check.Collector, interval time.Duration) func() {
	collecting, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			c.Collect(collecting)
			select {
			case <-collecting.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return func() {
		cancel()
		<-done
		c.Collect(ctx)
	}
}

func (s *scenario) judgeLoad(r load.Report) {
	for i := range r.Classes {
		c := &r.Classes[i]
		s.report.note(c.Name+": sent / answered / not run / unknown",
			fmt.Sprintf("%d / %d / %d / %d", c.Sent, c.Answered, c.RefusedNotRun, c.Unknown+c.Unreachable))
		s.report.note(c.Name+": failed / unreachable / dropped", fmt.Sprintf("%d / %d / %d", c.Failed, c.Unreachable, c.Dropped))
		s.report.note(c.Name+": p50 / p99 / longest gap", fmt.Sprintf("%v / %v / %v", c.Latency.P50, c.Latency.P99, c.LongestGap.Round(time.Millisecond)))
		s.report.add(outcome{
			name:     c.Name + ": some answered",
			measured: fmt.Sprint(c.Answered),
			bound:    "more than 0",
			ok:       c.Answered > 0,
		})
		s.report.note(c.Name+": statuses", fmt.Sprint(c.Statuses))
		for _, example := range c.WrongExamples {
			s.report.note("wrong", example)
		}
	}
	atMost(s.report, "wrong answers", r.Wrong(), 0, "")
}

// violations are the kinds of findings that must not occur.
var violations = []check.Kind{
	check.Overlap,
	check.Stale,
	check.SharedEpoch,
	check.RepeatedOrder,
	check.SlotsExceeded,
	check.ColdExceeded,
	check.ConnectionsRefused,
	check.Incomplete,
}

func (s *scenario) judgeRecords(result check.Result) {
	for _, kind := range violations {
		found := result.Of(kind)
		atMost(s.report, strings.ReplaceAll(string(kind), "-", " "), len(found), 0, "")
		for i, f := range found {
			if i == 3 {
				break
			}
			s.report.note("example", f.String())
		}
	}
}

// stop ends everything gracefully: entry VMs first, then targets, then the platform.
func (s *scenario) stop() {
	isEntry := func(p *child.Process) bool {
		return strings.HasPrefix(p.Name, "router-") || strings.HasPrefix(p.Name, "controller-")
	}
	s.report.step("graceful stop of the entry VMs", s.StopAll(stopTimeout, isEntry))
	s.stopBalancers()
	isTarget := func(p *child.Process) bool { return strings.HasPrefix(p.Name, "target-") }
	s.report.step("graceful stop of the targets", s.StopAll(stopTimeout, isTarget))
	s.platform.Kill()
}
