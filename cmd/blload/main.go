// Command blload generates load on routers or targets and checks every response.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/bronzelever/bronzelever/internal/load"
	"github.com/bronzelever/bronzelever/pkg/version"
)

type cli struct {
	Version     kong.VersionFlag `help:"Print the version and exit."`
	URL         []string         `required:"" placeholder:"URL" help:"Base URLs of the entry routers."`
	Class       []string         `required:"" sep:"none" placeholder:"KIND:RATE[,NAME=VALUE...]" help:"A class: read, order, upload or download with its rate per second. Names: name, tenant, path, weight, keys, zipf, repeat, bytes, timeout."`
	Duration    time.Duration    `default:"10s" help:"How long requests are sent."`
	Seed        uint64           `default:"1" help:"Seed of the request sequence."`
	MaxInFlight int              `default:"4096" help:"Requests in flight at most."`
	Timeline    time.Duration    `default:"0s" help:"Step of the timeline in the JSON report; 0 leaves it out."`
	JSON        bool             `name:"json" help:"Print the report as JSON."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("blload"), kong.Vars{"version": version.String()}, kong.Description("Open-loop load generator that checks every answer."))
	wrongAnswers, err := run(c)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if wrongAnswers > 0 {
		fmt.Fprintln(os.Stderr, wrongAnswers, "wrong answers")
		os.Exit(2)
	}
}

func run(c cli) (wrongAnswers int, err error) {
	config := load.Config{
		URLs:         c.URL,
		Duration:     c.Duration,
		Seed:         c.Seed,
		MaxInFlight:  c.MaxInFlight,
		TimelineStep: c.Timeline,
	}
	for _, text := range c.Class {
		class, err := parseClass(text)
		if err != nil {
			return 0, err
		}
		config.Classes = append(config.Classes, class)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	report, err := load.Run(ctx, config)
	if err != nil {
		return 0, err
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return report.Wrong(), encoder.Encode(report)
	}
	return report.Wrong(), report.WriteText(os.Stdout)
}

// parseClass parses a request class of the form KIND:RATE[,NAME=VALUE...].
func parseClass(text string) (load.Class, error) {
	head, options, _ := strings.Cut(text, ",")
	kind, rate, _ := strings.Cut(head, ":")
	class := load.Class{Kind: load.Kind(kind)}
	var err error
	if class.Rate, err = strconv.ParseFloat(rate, 64); err != nil {
		return class, fmt.Errorf("class %q: rate: %w", text, err)
	}
	if options == "" {
		return class, nil
	}
	for option := range strings.SplitSeq(options, ",") {
		name, value, _ := strings.Cut(option, "=")
		if err := setOption(&class, name, value); err != nil {
			return class, fmt.Errorf("class %q: %s: %w", text, name, err)
		}
	}
	return class, nil
}

// setOption sets the field of class that belongs to the option name.
func setOption(class *load.Class, name, value string) (err error) {
	switch name {
	case "name":
		class.Name = value
	case "tenant":
		class.Tenant = value
	case "path":
		class.Path = value
	case "weight":
		class.Weight, err = strconv.Atoi(value)
	case "keys":
		class.Keys, err = strconv.Atoi(value)
	case "zipf":
		class.Zipf, err = strconv.ParseFloat(value, 64)
	case "repeat":
		class.RepeatShare, err = strconv.ParseFloat(value, 64)
	case "bytes":
		class.BundleBytes, err = strconv.ParseInt(value, 10, 64)
	case "timeout":
		class.Timeout, err = time.ParseDuration(value)
	default:
		err = fmt.Errorf("unknown name")
	}
	return err
}
