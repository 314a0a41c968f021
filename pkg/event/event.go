// Package event writes numbered, structured log events. docs/events.md documents every event; a test checks that it matches the
// definitions.
package event

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/charmbracelet/log"
)

// ID is the number of an event. The number of a removed event is never reused.
type ID int

// Level is the severity of an event.
type Level = log.Level

// Definition describes an event of the catalogue.
type Definition struct {
	ID    ID
	Level Level
	// Text is the message. It is constant; variable parts are logged as fields.
	Text string
}

var catalogue = map[ID]Definition{}

// define adds an event to the catalogue. It is called at package initialization and panics if the number is already used.
func define(id ID, level Level, text string) Definition {
	if _, ok := catalogue[id]; ok {
		panic(fmt.Sprintf("event %d is defined twice", id))
	}
	d := Definition{ID: id, Level: level, Text: text}
	catalogue[id] = d
	return d
}

// Catalogue returns the definitions of all events, in no particular order.
func Catalogue() []Definition {
	all := make([]Definition, 0, len(catalogue))
	for _, d := range catalogue {
		all = append(all, d)
	}
	return all
}

// Logger writes events.
type Logger struct {
	out *log.Logger
}

// NewLogger returns a logger that writes events of the given level or above as logfmt lines. fields are key-value pairs that are added
// to each line.
func NewLogger(w io.Writer, level Level, fields ...any) *Logger {
	out := log.NewWithOptions(w, log.Options{
		Level:           level,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})
	return &Logger{out: out.With(fields...)}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return NewLogger(io.Discard, log.FatalLevel)
}

// maxStackBytes bounds the stack trace in an event.
const maxStackBytes = 2 << 10

// LogPanic writes an event for a recovered panic. place names the operation that panicked, and v is the value of recover.
func (l *Logger) LogPanic(place string, v any) {
	stack := debug.Stack()
	l.Emit(PanicRecovered, "place", place, "error", fmt.Sprint(v), "stack", string(stack[:min(len(stack), maxStackBytes)]))
}

// RecoverPanic recovers from a panic and writes an event for it. It must be deferred directly: recover has no effect in a function that a
// deferred function calls.
func (l *Logger) RecoverPanic(place string) {
	if v := recover(); v != nil {
		l.LogPanic(place, v)
	}
}

// Emit writes an event. fields are key-value pairs.
func (l *Logger) Emit(d Definition, fields ...any) {
	l.out.Log(d.Level, d.Text, append([]any{"event", int(d.ID)}, fields...)...)
}
