// Command blctl is the operators' command line. The logic is in pkg/operator.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"

	"github.com/bronzelever/bronzelever/pkg/version"
)

// Exit codes; docs/OPERATIONS.md explains them.
const (
	exitOK          = 0
	exitInvalid     = 1
	exitUsage       = 2
	exitDifferent   = 3
	exitStored      = 4
	exitConflict    = 5
	exitNotAccepted = 6
	exitPending     = 7
	exitFailed      = 8
)

const description = `Operates an installation of bronzelever.

Exit codes: 0 done (accepted, unchanged, no difference), 1 findings in a file, 2 wrong usage, 3 diff found differences,
4 stored but not yet in force everywhere, 5 another operator was first, nothing stored, 6 nothing accepted,
7 outcome unknown (pending), 8 a store, process or file couldn't be read.`

// commands is the command line.
type commands struct {
	Version  kong.VersionFlag `help:"Print the version and exit."`
	Settings string           `help:"Operator settings file (JSON with comments)." env:"BLCTL_SETTINGS" default:"blctl.json" predictor:"file" type:"path"`
	Output   string           `help:"Output format: text or json." enum:"text,json" default:"text" short:"o"`

	Validate validateCommand `cmd:"" help:"Check a configuration file."`
	Diff     diffCommand     `cmd:"" help:"Compare a configuration file with what is in force."`
	Apply    applyCommand    `cmd:"" help:"Put a configuration file into force."`
	Outcome  outcomeCommand  `cmd:"" help:"Find out what became of a pending write, or rule it out."`
	History  historyCommand  `cmd:"" help:"List the last changes."`
	Out      outCommand      `cmd:"" help:"Take a failure domain, VM or target out of service."`
	In       inCommand       `cmd:"" help:"Return a failure domain, VM or target to service."`
	Status   statusCommand   `cmd:"" help:"Show cells, routers, groups, slices, targets and what is out."`
	Explain  explainCommand  `cmd:"" help:"Tell who serves a key."`
	Dump     dumpCommand     `cmd:"" help:"Print the state of a process from its admin address."`

	ConfirmLost confirmLostCommand `cmd:"" help:"Confirm that no router of a cell runs that its controller does not hear from."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Install shell completions."`
}

// environment is what commands work with.
type environment struct {
	ctx      context.Context
	settings string
	json     bool
	stdout   io.Writer
	stderr   io.Writer
}

// exitError ends the process with a code. Its text has been written already if err is nil.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.err.Error()
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c commands
	exited, helpCode := false, 0
	parser := kong.Must(&c,
		kong.Name("blctl"),
		kong.Vars{"version": version.String()},
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited, helpCode = true, code }),
	)
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*")))
	command, err := parser.Parse(args)
	if exited {
		return helpCode
	}
	if err != nil {
		fmt.Fprintln(stderr, "blctl:", err)
		return exitUsage
	}
	env := &environment{ctx: ctx, settings: c.Settings, json: c.Output == "json", stdout: stdout, stderr: stderr}
	return exitCode(command.Run(env), stderr)
}

func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	code := exitFailed
	var exit *exitError
	if errors.As(err, &exit) {
		code = exit.code
		err = exit.err
	}
	if err != nil {
		fmt.Fprintln(stderr, "blctl:", err)
	}
	return code
}
