package record

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// maxLineBytes limits the length of a line in a replay. The table of a cell with 9,000 slices takes about 2 MB.
const maxLineBytes = 64 << 20

// decisionFunc decodes a recorded input and runs a decision function on it.
type decisionFunc func(now clock.Clock, input json.RawMessage) (any, error)

// Registry maps kinds to decision functions.
type Registry struct {
	functions map[Kind]decisionFunc
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{functions: map[Kind]decisionFunc{}}
}

// Register adds a decision function to the registry. The result of f must depend only on its input and the clock.
func Register[I, D any](r *Registry, kind Kind, f func(now clock.Clock, input I) D) {
	r.functions[kind] = func(now clock.Clock, raw json.RawMessage) (any, error) {
		var input I
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&input); err != nil {
			return nil, err
		}
		return f(now, input), nil
	}
}

// Kinds returns the registered kinds in sorted order.
func (r *Registry) Kinds() []Kind {
	kinds := make([]Kind, 0, len(r.functions))
	for kind := range r.functions {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// Difference is a recorded line whose replay gave a different decision or failed.
type Difference struct {
	// Number is the line number in the file, starting at 1.
	Number   int             `json:"line"`
	Sequence uint64          `json:"seq"`
	Kind     Kind            `json:"kind"`
	Recorded json.RawMessage `json:"recorded"`
	Replayed json.RawMessage `json:"replayed,omitempty"`
	// Error is set if the line couldn't be replayed.
	Error string `json:"error,omitempty"`
}

// Report is the result of a replay.
type Report struct {
	Lines int `json:"lines"`
	// Equal is the number of decisions whose replay gave the recorded result.
	Equal int `json:"equal"`
	// Skipped counts the lines of unregistered kinds, by kind.
	Skipped     map[Kind]int `json:"skipped,omitempty"`
	Differences []Difference `json:"differences,omitempty"`
	// Gaps is the number of missing sequence numbers.
	Gaps uint64 `json:"gaps"`
}

// Replay runs the recorded decisions again, each with the clock at its recorded time. It returns an error only if the input
// can't be read or a line exceeds maxLineBytes; invalid lines and failed decisions are reported as differences.
func Replay(input io.Reader, registry *Registry) (Report, error) {
	report := Report{Skipped: map[Kind]int{}}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	var lastSequence uint64
	for scanner.Scan() {
		report.Lines++
		var line Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			report.Differences = append(report.Differences, Difference{Number: report.Lines, Error: err.Error()})
			continue
		}
		// After a restart of the process, the sequence starts at 1 again.
		if lastSequence > 0 && line.Sequence > lastSequence+1 {
			report.Gaps += line.Sequence - lastSequence - 1
		}
		lastSequence = line.Sequence
		report.replay(line, registry)
	}
	if err := scanner.Err(); err != nil {
		return report, fmt.Errorf("line %d: %w", report.Lines+1, err)
	}
	return report, nil
}

func (r *Report) replay(line Line, registry *Registry) {
	f, ok := registry.functions[line.Kind]
	if !ok {
		r.Skipped[line.Kind]++
		return
	}
	difference := Difference{Number: r.Lines, Sequence: line.Sequence, Kind: line.Kind, Recorded: line.Decision}
	replayed, err := run(f, line)
	switch {
	case err != nil:
		difference.Error = err.Error()
	case equalJSON(replayed, line.Decision):
		r.Equal++
		return
	default:
		difference.Replayed = replayed
	}
	r.Differences = append(r.Differences, difference)
}

// errPanic is wrapped by the error of a decision function that panicked in a replay.
var errPanic = errors.New("decision function panicked")

// run runs a decision function on the input of a line and returns its result as JSON. It converts a panic to an error.
func run(f decisionFunc, line Line) (decision json.RawMessage, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errPanic, p)
		}
	}()
	value, err := f(clock.NewVirtual(line.At), line.Input)
	if err != nil {
		return nil, err
	}
	return json.Marshal(value)
}

// equalJSON reports whether a and b are equal apart from white space. It compares the order of fields too, which both sides
// take from the Go types.
func equalJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
