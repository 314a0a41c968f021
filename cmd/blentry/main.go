// Command blentry runs on each entry VM of a platform that provides the store and the registrations of targets. It accepts
// requests from callers and forwards them to targets. On one VM at a time, the coordinator, it also assigns keys to targets.
//
// Exit codes: 0 after a graceful shutdown or a successful --check, 1 if the process can't start or a listener fails, 2 for
// invalid arguments or settings.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"

	"github.com/bronzelever/bronzelever/pkg/entry"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/logbuffer"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/version"
	"github.com/bronzelever/bronzelever/platform"
)

const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
	// logFlushTimeout limits the time for writing buffered log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

type arguments struct {
	Settings            string           `arg:"" optional:"" help:"Settings file of the platform. Default: the path in ${env}."`
	Check               bool             `help:"Check the settings and exit."`
	LogLevel            string           `help:"Lowest level of the log lines: debug, info, warn or error." default:"info"`
	Advertise           string           `help:"Address (host:port) at which other VMs reach this one, if it isn't the first internal port." placeholder:"ADDRESS"`
	HedgeExtraShare     float64          `help:"Share of extra requests, 0 to 0.1, that may be sent to a second target while the first one is slow. 0 sends none." default:"0" placeholder:"SHARE"`
	AdmitByValue        bool             `help:"Under overload, let requests that are unlikely to be answered on time wait behind the others, in all pools."`
	LogInterRegionBytes bool             `help:"Write a log line every 5 s with the bytes sent to and received from other regions, by kind."`
	Version             kong.VersionFlag `help:"Show the version and exit."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes the command until the context is done and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	parsed, code, ok := parse(args, out, errOut)
	if !ok {
		return code
	}
	if err := checkHedgeExtraShare(parsed.HedgeExtraShare); err != nil {
		_, _ = fmt.Fprintln(errOut, "blentry:", err)
		return exitInvalid
	}
	settings, findings := platform.LoadSettings(parsed.Settings)
	if err := findings.Err(); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitInvalid
	}
	settings.HedgeExtraShare, settings.AdmitByValue = parsed.HedgeExtraShare, parsed.AdmitByValue
	settings.LogInterRegionBytes = parsed.LogInterRegionBytes
	if err := advertise(&settings, parsed.Advertise); err != nil {
		_, _ = fmt.Fprintln(errOut, "blentry:", err)
		return exitInvalid
	}
	level, err := log.ParseLevel(parsed.LogLevel)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "blentry:", err)
		return exitInvalid
	}
	if parsed.Check {
		_, _ = fmt.Fprintln(out, "settings are valid")
		return exitOK
	}
	buffer := logbuffer.New(out, time.Now)
	defer buffer.Close(logFlushTimeout)
	return serve(ctx, parsed.Settings, settings, event.NewLogger(buffer, level, "process", "blentry", "vm", settings.VM))
}

// advertise sets the address under which other VMs reach this one. An empty address leaves the settings unchanged.
func advertise(settings *entry.Settings, address string) error {
	if address == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("--advertise: %w", err)
	}
	settings.AdvertiseAddress = address
	return nil
}

func checkHedgeExtraShare(share float64) error {
	// NaN is in no range.
	if !(share >= 0 && share <= placing.MaxHedgeExtraShare) {
		return fmt.Errorf("--hedge-extra-share: %v is not between 0 and %v", share, placing.MaxHedgeExtraShare)
	}
	return nil
}

func parse(args []string, out, errOut io.Writer) (arguments, int, bool) {
	var parsed arguments
	exitRequested := false
	parser := kong.Must(&parsed,
		kong.Name("blentry"),
		kong.Description("Serves callers on an entry VM of the prepared platform. Exit codes: 0 graceful shutdown, 1 failure, "+
			"2 invalid arguments or settings."),
		kong.Vars{"version": version.String(), "env": platform.EnvSettings},
		kong.Writers(out, errOut),
		// --help and --version call the exit function after printing their output.
		kong.Exit(func(int) { exitRequested = true }),
	)
	_, err := parser.Parse(args)
	if exitRequested {
		return parsed, exitOK, false
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "blentry:", err)
		return parsed, exitInvalid, false
	}
	if parsed.Settings == "" {
		parsed.Settings = os.Getenv(platform.EnvSettings)
	}
	return parsed, exitOK, true
}

func serve(ctx context.Context, path string, settings entry.Settings, logger *event.Logger) int {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	reload := make(chan struct{}, 1)
	go func() {
		for range hangup {
			reload <- struct{}{}
		}
	}()
	logger.Emit(event.ProcessStarted, "version", version.String())
	interRegion := &interregion.Counter{}
	err := entry.Run(ctx, entry.Options{
		InterRegion: interRegion,
		Settings:    settings, Store: platform.NewCountedStore(settings.StoreAddress, interRegion.Flow(interregion.Store)), Decoder: platform.Decoder{},
		Tables:   entry.Tables{Operator: platform.TableOperator, Targets: platform.TableTargets},
		Protocol: platform.Dialect{}, ReadyPath: platform.PathReady, Log: logger, Reload: reload,
		CheckSettings: func() error {
			_, findings := platform.LoadSettings(path)
			return findings.Err()
		},
	})
	if err != nil {
		logger.Emit(event.ProcessFailed, "error", err.Error())
		return exitFailed
	}
	return exitOK
}
