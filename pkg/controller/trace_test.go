package controller

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/bronzelever/bronzelever/pkg/event"
)

// traceVariable names the environment variable that selects, as "seed routers", the simulation whose events
// TestPrintTrace prints.
const traceVariable = "BRONZELEVER_STORY"

// tracef writes a line about the simulation to the trace.
func (sim *simulation) tracef(format string, args ...any) {
	if sim.trace != nil {
		fmt.Fprintf(sim.trace, "%v %s\n", sim.now, fmt.Sprintf(format, args...))
	}
}

// traceWriter prefixes the lines of a logger with the virtual time.
type traceWriter struct {
	sim *simulation
	out io.Writer
}

func (s traceWriter) Write(p []byte) (int, error) {
	_, err := fmt.Fprintf(s.out, "%v %s", s.sim.now, p)
	return len(p), err
}

func (sim *simulation) logger(name string) *event.Logger {
	if sim.trace == nil {
		return event.Discard()
	}
	return event.NewLogger(traceWriter{sim: sim, out: sim.trace}, log.InfoLevel, "process", name)
}

// TestPrintTrace prints the events of one simulation of TestInvariantsUnderRandomFaults, to find the cause of a
// violation.
func TestPrintTrace(t *testing.T) {
	text := os.Getenv(traceVariable)
	if text == "" {
		t.Skip("only with " + traceVariable)
	}
	fields := strings.Fields(text)
	seed, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	routers, err := strconv.Atoi(fields[1])
	if err != nil {
		t.Fatal(err)
	}
	sim := runRandomFaults(seed, routers, os.Stdout)
	sim.clearFaults()
	sim.runUntil(recoveryBound, sim.complete)
	sim.tracef("%s", sim.describe())
	if sim.violation != "" {
		t.Error(sim.violation)
	}
}
