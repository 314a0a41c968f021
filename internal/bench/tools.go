package bench

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/record"
	"github.com/bronzelever/bronzelever/pkg/record/decision"
)

// recordedDecisions fit into one record file.
const recordedDecisions = 100

// tools measures the time to generate a configuration and to replay decisions, with the real binaries.
func (r *runner) tools(ctx context.Context) error {
	for _, user := range []string{"nastri-caruso", "vento-sul"} {
		answers := filepath.Join(r.Examples, user, "questionnaire.json")
		took, _, err := r.runTool(ctx, "blgen", answers, "-o", filepath.Join(r.LogDir, user+".json"))
		if err != nil {
			return trace.Wrap(err)
		}
		r.report.note("blgen "+user, "%v", took.Round(100*time.Microsecond))
	}
	file := filepath.Join(r.LogDir, "decisions")
	if err := r.recordDecisions(file); err != nil {
		return trace.Wrap(err)
	}
	took, output, err := r.runTool(ctx, "blreplay", file)
	if err != nil {
		return trace.Wrap(err)
	}
	r.report.note(fmt.Sprintf("blreplay of %d decisions about 20 targets, 320 slices", recordedDecisions), "%v, %.0f us each",
		took.Round(100*time.Microsecond), micros(took)/recordedDecisions)
	r.report.note("blreplay", "%s", output)
	return nil
}

func (r *runner) runTool(ctx context.Context, binary string, args ...string) (time.Duration, string, error) {
	began := time.Now()
	out, err := exec.CommandContext(ctx, filepath.Join(r.BinDir, binary), args...).CombinedOutput()
	return time.Since(began), strings.TrimSpace(string(out)), trace.Wrap(err, "%s: %s", binary, out)
}

// recordDecisions writes decisions of a keyed pool of the users' present size.
func (r *runner) recordDecisions(file string) error {
	cfg := oneRegion()
	pool := keyed(poolOf(cfg, "status", 0, 20), 16)
	cfg.Pools = []config.Pool{pool}
	targets := placement.Targets(cfg, &pool, cfg.Regions[0].Name)
	recorder, err := record.Open(file, record.DefaultMaxBytes)
	if err != nil {
		return trace.Wrap(err)
	}
	for i := range recordedDecisions {
		lost := slices.Clone(targets)
		for n := range lost {
			lost[n].Lost = n == i%len(lost)
			lost[n].Available = !lost[n].Lost
		}
		in := decision.InitialInput{Pool: pool.Name, Targets: lost, PerTarget: pool.SlicesPerTarget}
		recorder.Record(decision.InitialSlices, 0, in, placement.InitialSlices(in.Pool, in.Targets, in.PerTarget))
		// The recorder drops lines rather than wait for the disk.
		time.Sleep(time.Millisecond)
	}
	return trace.Wrap(recorder.Close())
}
