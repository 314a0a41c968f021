// Command faults runs the fault scenarios on loopback addresses, each with a separate deployment. It exits with 1 if an outcome that
// KNOWN-RED.txt doesn't list is wrong.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/bronzelever/bronzelever/internal/quickstart"
)

type cli struct {
	Bin       string   `default:"bin" help:"Directory with the binaries."`
	Config    []string `default:"examples/nastri-caruso/config.json,examples/vento-sul/config.json" help:"Configurations to deploy in turn."`
	Logs      string   `help:"Directory for settings files and logs; a temporary one if empty."`
	Prefix    string   `default:"127.1" help:"First half of the loopback addresses."`
	KnownRed  string   `default:"KNOWN-RED.txt" help:"File with the outcomes that are known to be wrong."`
	Scenarios []int    `arg:"" optional:"" help:"Numbers of the scenarios; all if empty."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("faults"), kong.Description("Runs deployments under load and faults."))
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(1)
	}
}

func run(c cli) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Logs == "" {
		dir, err := os.MkdirTemp("", "bronzelever-faults-")
		if err != nil {
			return err
		}
		c.Logs = dir
	}
	return quickstart.Faults(ctx, quickstart.FaultOptions{
		Options:     quickstart.Options{BinDir: c.Bin, LogDir: c.Logs, Out: os.Stdout},
		Prefix:      c.Prefix,
		Scenarios:   c.Scenarios,
		ConfigFiles: c.Config,
		KnownRed:    c.KnownRed,
	})
}
