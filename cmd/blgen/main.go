// Command blgen generates a configuration from a questionnaire.
package main

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/questionnaire"
	"github.com/bronzelever/bronzelever/pkg/version"
)

// Exit codes.
const (
	exitOK       = 0
	exitFindings = 1
	exitFailed   = 2
	exitDiffers  = 3
)

type arguments struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Answers string           `arg:"" help:"Questionnaire with the answers (JSON with comments)."`
	Output  string           `short:"o" help:"File for the configuration; standard output if missing."`
	Check   bool             `help:"Write nothing; exit with 3 if the output file differs from what would be generated."`
}

func main() {
	var args arguments
	kong.Parse(&args,
		kong.Name("blgen"), kong.Vars{"version": version.String()},
		kong.Description("Generates a configuration from a questionnaire.\n\n"+
			"Exit codes: 0 generated, 1 findings in the answers, 2 a file can't be read or written, 3 --check found a difference."))
	os.Exit(run(args, os.Stdout, os.Stderr))
}

func run(args arguments, stdout, stderr io.Writer) int {
	data, err := os.ReadFile(args.Answers)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	result, findings := questionnaire.Generate(data, args.Answers)
	report(stderr, result, findings)
	if result == nil {
		return exitFindings
	}
	if args.Check {
		return checkFile(args, result.Text, stderr)
	}
	return writeOutput(args.Output, result.Text, stdout, stderr)
}

// report prints the findings and the assumptions made for unanswered questions.
func report(stderr io.Writer, result *questionnaire.Result, findings finding.List) {
	for _, f := range findings {
		fmt.Fprintln(stderr, f)
	}
	if result == nil {
		return
	}
	for _, u := range result.Unanswered {
		fmt.Fprintf(stderr, "unanswered: %s: %s\n", u.Question, u.Assumed)
	}
}

// checkFile returns exitDiffers if the output file doesn't contain text.
func checkFile(args arguments, text []byte, stderr io.Writer) int {
	current, err := os.ReadFile(args.Output)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if !bytes.Equal(current, text) {
		fmt.Fprintf(stderr, "%s differs from what %s generates\n", args.Output, args.Answers)
		return exitDiffers
	}
	return exitOK
}

// writeOutput writes text to the file at path, or to stdout if path is empty.
func writeOutput(path string, text []byte, stdout, stderr io.Writer) int {
	var err error
	if path == "" {
		_, err = stdout.Write(text)
	} else {
		err = os.WriteFile(path, text, 0o644)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}
