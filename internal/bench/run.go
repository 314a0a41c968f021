// Package bench measures real processes on loopback addresses. Each measurement prints its figures beside their bounds, as
// ratios against a baseline of the same run where there is one: absolute times depend on the machine and on what else it
// does.
package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Options of a run.
type Options struct {
	// BinDir holds the binaries.
	BinDir string
	// Examples is the directory with the users' examples.
	Examples string
	// LogDir receives settings files and logs; it is created.
	LogDir string
	Out    io.Writer
	// Names selects measurements; all but the slopes run if it is empty.
	Names []string
}

// runner carries what measurements need.
type runner struct {
	Options
	report *report
}

// measurement is one selectable unit.
type measurement struct {
	name  string
	title string
	limit time.Duration
	// onRequest measurements run only if they are named.
	onRequest bool
	run       func(*runner, context.Context) error
}

// measurements in the order in which they run. The limits of those that run by default add up to less than 8 minutes.
var measurements = []measurement{
	{name: "latency", title: "latency added at 1,000 requests/s", limit: 75 * time.Second, run: (*runner).latency},
	{name: "body", title: "64 MB bodies", limit: 45 * time.Second, run: (*runner).body},
	{name: "control", title: "control at the users' present size, without load", limit: 60 * time.Second, run: (*runner).control},
	{name: "slow", title: "tail latency with slowed targets", limit: 150 * time.Second, run: (*runner).slow},
	{name: "overload", title: "goodput at 2 times overload", limit: 60 * time.Second, run: (*runner).overload},
	{name: "tools", title: "operators' tools", limit: 20 * time.Second, run: (*runner).tools},
	{name: "tables", title: "slopes: tables", limit: 60 * time.Second, onRequest: true, run: (*runner).tables},
	{name: "requests", title: "slopes: processor time per request", limit: 90 * time.Second, onRequest: true, run: (*runner).requests},
	{name: "routers", title: "slopes: routers in a cell", limit: 120 * time.Second, onRequest: true, run: (*runner).routers},
	{name: "slices", title: "slopes: slices in a cell", limit: 120 * time.Second, onRequest: true, run: (*runner).slices},
	{name: "cells", title: "slopes: cells", limit: 120 * time.Second, onRequest: true, run: (*runner).cells},
}

// Names lists the measurements that can be selected.
func Names() []string {
	var names []string
	for _, m := range measurements {
		names = append(names, m.name)
	}
	return names
}

// ErrBoundMissed means that a figure missed its bound.
var ErrBoundMissed = errors.New("a bound was missed")

// Run runs the selected measurements one after the other.
func Run(ctx context.Context, o Options) error {
	for _, name := range o.Names {
		if !slices.Contains(Names(), name) {
			return trace.BadParameter("unknown measurement %q (allowed: %s)", name, strings.Join(Names(), ", "))
		}
	}
	if err := os.MkdirAll(o.LogDir, 0o700); err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, name := range []string{accessKeyEnv, secretKeyEnv} {
		if err := os.Setenv(name, "standin"); err != nil {
			return trace.Wrap(err)
		}
	}
	r := &runner{Options: o, report: &report{out: o.Out}}
	var failures []error
	for _, m := range measurements {
		selected := slices.Contains(o.Names, m.name) || len(o.Names) == 0 && !m.onRequest
		if !selected || ctx.Err() != nil {
			continue
		}
		if err := r.measure(ctx, m); err != nil {
			r.report.note("not measured", "%v", err)
			failures = append(failures, fmt.Errorf("%s: %w", m.name, err))
		}
	}
	if r.report.failed > 0 {
		failures = append(failures, fmt.Errorf("%w: %d figures", ErrBoundMissed, r.report.failed))
	}
	return errors.Join(failures...)
}

func (r *runner) measure(ctx context.Context, m measurement) error {
	ctx, cancel := context.WithTimeout(ctx, m.limit)
	defer cancel()
	r.report.title(m.title)
	began := time.Now()
	err := m.run(r, ctx)
	r.report.note("duration", "%v", time.Since(began).Round(100*time.Millisecond))
	return err
}
