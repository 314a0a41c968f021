// Command quickstart deploys an example configuration on loopback addresses, sends load, injects faults and checks the outcomes. It
// exits with 1 if an outcome is wrong.
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
	Bin    string `default:"bin" help:"Directory with the binaries."`
	Config string `default:"examples/nastri-caruso/config.json" help:"Configuration to deploy."`
	Logs   string `help:"Directory for settings files and logs; a temporary one if empty."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("quickstart"), kong.Description("Runs an example deployment under load and faults."))
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}

func run(c cli) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Logs == "" {
		dir, err := os.MkdirTemp("", "bronzelever-quickstart-")
		if err != nil {
			return err
		}
		c.Logs = dir
	}
	return quickstart.Run(ctx, quickstart.Options{BinDir: c.Bin, ConfigFile: c.Config, LogDir: c.Logs, Out: os.Stdout})
}
