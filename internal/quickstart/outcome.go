package quickstart

import (
	"fmt"
	"io"
)

// outcome is one expected result with its measured figure.
type outcome struct {
	name     string
	measured string
	bound    string
	ok       bool
}

// report collects outcomes and prints each as it becomes known.
type report struct {
	out    io.Writer
	failed int
	// scenario is put before the names of outcomes when they are looked up in known.
	scenario string
	// known holds the outcomes that are listed in KNOWN-RED.txt. They are printed as red and don't count as failed.
	known map[string]bool
	red   int
}

func (r *report) add(o outcome) {
	verdict := "ok"
	switch {
	case o.ok:
	case r.known[r.scenario+": "+o.name]:
		verdict = "RED"
		r.red++
	default:
		verdict = "FAIL"
		r.failed++
	}
	_, _ = fmt.Fprintf(r.out, "%-4s  %-58s %18s  (%s)\n", verdict, o.name, o.measured, o.bound)
}

// note prints a figure without a bound.
func (r *report) note(name, measured string) {
	_, _ = fmt.Fprintf(r.out, "      %-58s %18s\n", name, measured)
}

// atMost adds an outcome that holds while value is at most bound.
func atMost[T int | int64 | float64](r *report, name string, value, bound T, unit string) {
	r.add(outcome{
		name:     name,
		measured: fmt.Sprintf("%v %s", value, unit),
		bound:    fmt.Sprintf("at most %v %s", bound, unit),
		ok:       value <= bound,
	})
}

// step adds an outcome that holds if err is nil.
func (r *report) step(name string, err error) {
	o := outcome{name: name, measured: "done", bound: "no error", ok: err == nil}
	if err != nil {
		o.measured = err.Error()
	}
	r.add(o)
}
