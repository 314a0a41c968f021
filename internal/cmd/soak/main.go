// Command soak runs entry processes on loopback under load and random faults and checks what callers and targets see. It exits with 1
// if it finds a violation or the run fails.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/bronzelever/bronzelever/internal/soak"
)

type cli struct {
	Binary  string        `default:"bin/blentry" help:"The entry process."`
	Seed    uint64        `default:"1" help:"First seed."`
	Seeds   uint64        `default:"1" help:"Number of seeds, one after the other."`
	From    string        `help:"File with seeds to run instead, one a line, each with a remark after it." type:"existingfile"`
	VMs     int           `name:"vms" default:"4" help:"Number of entry processes."`
	Targets int           `default:"6" help:"Number of targets of each service."`
	Faults  time.Duration `default:"15s" help:"Time in which faults are injected."`
	Port    int           `default:"21000" help:"First of ten ports for each entry process."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("soak"), kong.Description("Runs entry processes under load and random faults."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	violated, err := run(ctx, c)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	if err != nil || violated {
		os.Exit(1)
	}
}

// seeds returns the seeds to run: those of the file From, if it is set, otherwise Seeds consecutive ones beginning with Seed.
func (c cli) seeds() ([]uint64, error) {
	var seeds []uint64
	if c.From == "" {
		for i := range c.Seeds {
			seeds = append(seeds, c.Seed+i)
		}
		return seeds, nil
	}
	text, err := os.ReadFile(c.From)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		number, _, _ := strings.Cut(line, " ")
		seed, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.From, err)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func run(ctx context.Context, c cli) (violated bool, err error) {
	seeds, err := c.seeds()
	if err != nil {
		return false, err
	}
	for _, seed := range seeds {
		dir, err := soak.CreateLogDir()
		if err != nil {
			return violated, err
		}
		violations, err := soak.Run(ctx, soak.Options{
			Binary: c.Binary, Seed: seed, VMs: c.VMs, Targets: c.Targets, Faults: c.Faults, FirstPort: c.Port, LogDir: dir, Out: os.Stdout,
		})
		if err != nil {
			return violated, err
		}
		for _, text := range violations {
			violated = true
			fmt.Printf("seed %d: VIOLATION: %s\n", seed, text)
		}
		if len(violations) > 0 {
			fmt.Printf("seed %d: logs are in %s\n", seed, dir)
		}
	}
	return violated, nil
}
