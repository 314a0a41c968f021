// Command blreplay replays the recorded inputs of decisions through the decision code and reports the decisions that
// differ from the recorded ones.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/bronzelever/bronzelever/pkg/record"
	"github.com/bronzelever/bronzelever/pkg/record/decision"
	"github.com/bronzelever/bronzelever/pkg/version"
)

// Exit codes.
const (
	exitOK        = 0
	exitDifferent = 1
	exitFailed    = 2
)

type arguments struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Files   []string         `arg:"" help:"Recorded files, the oldest first."`
	Output  string           `help:"Output format: text or json." enum:"text,json" default:"text" short:"o"`
}

func main() {
	var args arguments
	kong.Parse(&args,
		kong.Name("blreplay"), kong.Vars{"version": version.String()},
		kong.Description("Replays recorded decisions under a virtual clock.\n\n"+
			"Exit codes: 0 all decisions came out as recorded, 1 some came out otherwise, 2 a file can't be read."))
	os.Exit(run(args, os.Stdout, os.Stderr))
}

func run(args arguments, stdout, stderr io.Writer) int {
	code := exitOK
	for _, path := range args.Files {
		report, err := replayFile(path)
		if err != nil {
			fmt.Fprintln(stderr, "blreplay:", err)
			return exitFailed
		}
		if len(report.Differences) > 0 {
			code = exitDifferent
		}
		if err := printReport(stdout, args.Output, path, report); err != nil {
			fmt.Fprintln(stderr, "blreplay:", err)
			return exitFailed
		}
	}
	return code
}

func replayFile(path string) (record.Report, error) {
	file, err := os.Open(path)
	if err != nil {
		return record.Report{}, err
	}
	// The file is only read, so an error on close loses no data.
	defer func() { _ = file.Close() }()
	return record.Replay(file, decision.Registry())
}

func printReport(w io.Writer, format, path string, report record.Report) error {
	if format == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(struct {
			File string `json:"file"`
			record.Report
		}{path, report})
	}
	for _, d := range report.Differences {
		if d.Error != "" {
			fmt.Fprintf(w, "%s:%d: %s: %s\n", path, d.Number, d.Kind, d.Error)
			continue
		}
		fmt.Fprintf(w, "%s:%d: %s: recorded %s, replayed %s\n", path, d.Number, d.Kind, d.Recorded, d.Replayed)
	}
	for kind, n := range report.Skipped {
		fmt.Fprintf(w, "%s: %d lines of the unknown kind %s\n", path, n, kind)
	}
	_, err := fmt.Fprintf(w, "%s: %d lines, %d as recorded, %d otherwise, %d missing\n",
		path, report.Lines, report.Equal, len(report.Differences), report.Gaps)
	return err
}
