// Command bench measures real processes on loopback addresses and prints the results next to their bounds. It exits with 1 if a result
// misses its bound or a measurement fails.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/bronzelever/bronzelever/internal/bench"
)

type cli struct {
	Names    []string `arg:"" optional:"" help:"Measurements to run: ${names}. Without names all but the slopes run: tables, requests, routers, slices, cells."`
	Bin      string   `default:"bin" help:"Directory with the binaries."`
	Examples string   `default:"examples" help:"Directory with the users' examples."`
	Logs     string   `help:"Directory for settings files and logs; a temporary one if empty."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("bench"), kong.Description("Measures real processes against bounds."),
		kong.Vars{"names": strings.Join(bench.Names(), ", ")})
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(c cli) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Logs == "" {
		dir, err := os.MkdirTemp("", "bronzelever-bench-")
		if err != nil {
			return err
		}
		c.Logs = dir
	}
	return bench.Run(ctx, bench.Options{BinDir: c.Bin, Examples: c.Examples, LogDir: c.Logs, Out: os.Stdout, Names: c.Names})
}
