// Command blrouter accepts requests from callers, forwards them to the gateways of their targets, and acts as the gateway
// of the target groups that it owns.
//
// Exit codes: 0 after a graceful shutdown that cut no request, or after a successful --check; 1 if the process can't start
// or a listener fails; 2 for invalid arguments or settings; 3 if the graceful shutdown timed out with exchanges in flight.
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
	"github.com/charmbracelet/log"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/metric"
	"github.com/bronzelever/bronzelever/pkg/router"
	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/version"
)

const (
	exitOK           = 0
	exitFailed       = 1
	exitInvalid      = 2
	exitDrainTimeout = 3
)

type arguments struct {
	Settings string           `arg:"" help:"Settings file: JSON with comments." type:"existingfile"`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Show the version and exit."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes the command until ctx is done and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var parsed arguments
	exitRequested := false
	parser := kong.Must(&parsed,
		kong.Name("blrouter"),
		kong.Description("Routes requests to targets that own keys exclusively. Exit codes: 0 graceful end, 1 failure, "+
			"2 invalid arguments or settings, 3 shutdown timed out with exchanges in flight."),
		kong.Vars{"version": version.String()},
		kong.Writers(out, errOut),
		// --help and --version call this function after printing their text; run then returns exitOK.
		kong.Exit(func(int) { exitRequested = true }),
	)
	_, err := parser.Parse(args)
	if exitRequested {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "blrouter:", err)
		return exitInvalid
	}
	s, findings := settings.Load[settings.Router](parsed.Settings)
	for _, f := range findings {
		_, _ = fmt.Fprintln(errOut, f)
	}
	if findings.Err() != nil {
		return exitInvalid
	}
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "blrouter:", err)
		return exitInvalid
	}
	if parsed.Check {
		_, _ = fmt.Fprintln(out, "settings are valid")
		return exitOK
	}
	return serve(ctx, s, event.NewLogger(errOut, level, "process", "blrouter", "vm", s.VM))
}

func serve(ctx context.Context, s settings.Router, logger *event.Logger) int {
	registry := metric.NewRegistry("bronzelever")
	// An error here only means that the last metrics weren't reported; they are lost either way.
	defer func() { _ = registry.Close() }()
	r, err := router.New(router.Options{Settings: s, Clock: clock.Boottime{}, Log: logger, Metrics: registry})
	if err != nil {
		logger.Emit(event.ProcessFailed, "error", err.Error())
		return exitFailed
	}
	logger.Emit(event.ProcessStarted, "version", version.String())
	err = r.Run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, router.ErrDrainTimeout):
		return exitDrainTimeout
	default:
		logger.Emit(event.ProcessFailed, "error", err.Error())
		return exitFailed
	}
}
