// Command blrouter accepts callers' requests, forwards them to the gateways of their targets, and is the gateway of the
// target groups that it holds.
//
// Exit codes: 0 after a graceful shutdown that cut no request, or after a successful --check; 1 if the process can't start
// or a listener fails; 2 for invalid arguments or settings; 3 if the graceful shutdown timed out with exchanges in flight.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/metric"
	"github.com/bronzelever/bronzelever/pkg/router"
	"github.com/bronzelever/bronzelever/pkg/settings"
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
	os.Exit(run())
}

func run() int {
	var args arguments
	parser := kong.Must(&args,
		kong.Name("blrouter"),
		kong.Description("Routes requests to targets that own keys exclusively. Exit codes: 0 graceful end, 1 failure, "+
			"2 invalid arguments or settings, 3 shutdown timed out with exchanges in flight."),
		kong.Vars{"version": version()},
	)
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "blrouter:", err)
		return exitInvalid
	}
	s, findings := settings.Load[settings.Router](args.Settings)
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, f)
	}
	if findings.Err() != nil {
		return exitInvalid
	}
	if args.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	return serve(s)
}

func serve(s settings.Router) int {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, "blrouter:", err)
		return exitInvalid
	}
	logger := event.NewLogger(os.Stderr, level, "process", "blrouter", "vm", s.VM)
	registry := metric.NewRegistry("bronzelever")
	// Metrics that can't be reported at the end are lost either way.
	defer func() { _ = registry.Close() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	r, err := router.New(router.Options{Settings: s, Clock: clock.Boottime{}, Log: logger, Metrics: registry})
	if err != nil {
		logger.Emit(event.ProcessFailed, "error", err.Error())
		return exitFailed
	}
	logger.Emit(event.ProcessStarted, "version", version())
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

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
