// Command blcontroller runs a candidate for the controller of its VM's cell.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"

	"github.com/bronzelever/bronzelever/pkg/admin"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/controller"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/metric"
	"github.com/bronzelever/bronzelever/pkg/peer"
	"github.com/bronzelever/bronzelever/pkg/record"
	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/store/dynamo"
	"github.com/bronzelever/bronzelever/pkg/version"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// stopTimeout limits the graceful shutdown, which marks the term row as released and waits for calls in progress. It is
// also the admin server's limit for reading request headers.
const stopTimeout = 3 * time.Second

type arguments struct {
	Settings string           `arg:"" type:"path" help:"File with the static settings: JSON with comments."`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("blcontroller"),
		kong.Description("Candidate for the controller of a bronzelever cell."),
		kong.Vars{"version": version.String()})
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	static, findings := settings.Load[settings.Controller](args.Settings)
	if err := findings.Err(); err != nil {
		return err
	}
	if args.Check {
		for _, f := range findings {
			fmt.Println(f)
		}
		return nil
	}
	level, err := log.ParseLevel(static.LogLevel)
	if err != nil {
		return err
	}
	logger := event.NewLogger(os.Stderr, level, "process", "blcontroller", "vm", static.VM, "cell", static.Cell)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := serve(ctx, static, logger); err != nil {
		logger.Emit(event.ProcessFailed, "error", err.Error())
		return err
	}
	return nil
}

// process holds the controller and the servers that run until the shutdown.
type process struct {
	controller  *controller.Controller
	server      *peer.Server
	admin       *http.Server
	log         *event.Logger
	serveErrors chan error
}

func serve(ctx context.Context, static settings.Controller, logger *event.Logger) error {
	registry := metric.NewRegistry("bronzelever_controller")
	defer func() { _ = registry.Close() }()
	st, err := dynamo.New(static.Store, registry.Scope())
	if err != nil {
		return err
	}
	defer st.Close()
	client := peer.NewClient(static.VM)
	defer client.Close()
	o := options(static, logger)
	if static.RecordFile != "" {
		recorder, err := record.Open(static.RecordFile, record.DefaultMaxBytes)
		if err != nil {
			return err
		}
		defer func() { _ = recorder.Close() }()
		o.Recorder = recorder
	}
	p := &process{
		controller:  controller.NewController(o, clock.Boottime{}, st, client, registry.Scope()),
		server:      peer.NewServer(static.VM),
		log:         logger,
		serveErrors: make(chan error, 2),
	}
	p.controller.Register(p.server)
	p.admin = &http.Server{Handler: admin.NewHandler(p.controller, registry.Handler()), ReadHeaderTimeout: stopTimeout}
	if err := p.listen(static); err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.controller.Run(runCtx)
	logger.Emit(event.ProcessStarted, "listen", static.Listen, "admin", static.AdminListen)
	select {
	case err = <-p.serveErrors:
		logger.Emit(event.ListenerFailed, "error", err.Error())
	case <-ctx.Done():
	}
	p.shutdown()
	return err
}

func (p *process) listen(static settings.Controller) error {
	peerListener, err := net.Listen("tcp", static.Listen)
	if err != nil {
		return err
	}
	adminListener, err := net.Listen("tcp", static.AdminListen)
	if err != nil {
		return errors.Join(err, peerListener.Close())
	}
	go func() {
		if err := p.server.Serve(peerListener); err != nil {
			p.serveErrors <- err
		}
	}()
	go func() {
		if err := p.admin.Serve(adminListener); !errors.Is(err, http.ErrServerClosed) {
			p.serveErrors <- err
		}
	}()
	return nil
}

// shutdown releases the term first, so that another candidate takes over while this process shuts down.
func (p *process) shutdown() {
	p.log.Emit(event.ProcessDraining)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := errors.Join(p.controller.Stop(ctx), p.server.Shutdown(ctx), p.admin.Shutdown(ctx))
	if err != nil {
		p.log.Emit(event.ProcessStopped, "error", err.Error())
		return
	}
	p.log.Emit(event.ProcessStopped)
}

// options returns the controller's options from its settings, with a random incarnation.
func options(static settings.Controller, logger *event.Logger) controller.Options {
	o := controller.Options{
		VM:          static.VM,
		Cell:        static.Cell,
		Region:      static.Region,
		Domain:      static.Domain,
		Address:     advertisedAddress(static),
		Incarnation: wire.Incarnation(rand.Uint64()),
		Parse:       config.Parse,
		Log:         logger,
	}
	for _, peer := range static.Peers {
		o.Peers = append(o.Peers, controller.Peer{VM: peer.VM, Cell: peer.Cell, Address: peer.Controller})
	}
	return o
}

// advertisedAddress returns the controller address that routers use for this VM: the one in the list of peers if it is
// set there, otherwise the listen address.
func advertisedAddress(static settings.Controller) string {
	for _, peer := range static.Peers {
		if peer.VM == static.VM && peer.Controller != "" {
			return peer.Controller
		}
	}
	return static.Listen
}
