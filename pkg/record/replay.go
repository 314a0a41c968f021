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

// maxLineBytes bounds one recorded decision at replay. The table of a cell with 9,000 slices takes about 2 MB.
const maxLineBytes = 64 << 20

// decide runs a decision function on a recorded input.
type decide func(now clock.Clock, input json.RawMessage) (any, error)

// Registry holds the decision functions by kind.
type Registry struct {
	functions map[Kind]decide
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{functions: map[Kind]decide{}}
}

// Register adds a decision function. It must depend on its input and the clock alone.
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

// Kinds returns the registered kinds in order.
func (r *Registry) Kinds() []Kind {
	kinds := make([]Kind, 0, len(r.functions))
	for kind := range r.functions {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// Difference is a decision that came out otherwise.
type Difference struct {
	// Number is the line in the file, from 1.
	Number   int             `json:"line"`
	Sequence uint64          `json:"seq"`
	Kind     Kind            `json:"kind"`
	Recorded json.RawMessage `json:"recorded"`
	Replayed json.RawMessage `json:"replayed,omitempty"`
	// Error is set if the line could not be replayed.
	Error string `json:"error,omitempty"`
}

// Report is the result of a replay.
type Report struct {
	Lines int `json:"lines"`
	// Equal is the number of decisions that came out as recorded.
	Equal int `json:"equal"`
	// Skipped counts the lines of kinds that aren't registered.
	Skipped     map[Kind]int `json:"skipped,omitempty"`
	Differences []Difference `json:"differences,omitempty"`
	// Gaps is the number of missing sequence numbers.
	Gaps uint64 `json:"gaps"`
}

// Replay runs the recorded decisions again, each at its recorded instant. It ends early only if the input can't be read.
func Replay(input io.Reader, registry *Registry) (Report, error) {
	report := Report{Skipped: map[Kind]int{}}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	var last uint64
	for scanner.Scan() {
		report.Lines++
		var line Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			report.Differences = append(report.Differences, Difference{Number: report.Lines, Error: err.Error()})
			continue
		}
		// A restarted process counts from 1 again.
		if last > 0 && line.Sequence > last+1 {
			report.Gaps += line.Sequence - last - 1
		}
		last = line.Sequence
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

// errPanic means that the decision function failed on a recorded input.
var errPanic = errors.New("the decision function panicked")

func run(f decide, line Line) (decision json.RawMessage, err error) {
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

// equalJSON compares without white space. The order of fields is that of the Go types on both sides.
func equalJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
