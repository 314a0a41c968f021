// Package event writes numbered, structured log events. docs/events.md is the catalogue; a test keeps both in step.
package event

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/charmbracelet/log"
)

// ID is the number of an event. Numbers are never reused.
type ID int

// Level is the severity of an event.
type Level = log.Level

// Definition describes an event of the catalogue.
type Definition struct {
	ID    ID
	Level Level
	// Text is the constant message; variable parts are fields.
	Text string
}

var catalogue = map[ID]Definition{}

// define registers an event at package initialization.
func define(id ID, level Level, text string) Definition {
	if _, ok := catalogue[id]; ok {
		panic(fmt.Sprintf("event %d is defined twice", id))
	}
	d := Definition{ID: id, Level: level, Text: text}
	catalogue[id] = d
	return d
}

// Catalogue returns all defined events.
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

// NewLogger returns a logger that writes logfmt lines with the given constant fields.
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

// stackBytes bounds the stack in an event.
const stackBytes = 2 << 10

// Panicked notes a panic that was recovered while place was being handled.
func (l *Logger) Panicked(place string, v any) {
	stack := debug.Stack()
	l.Emit(PanicRecovered, "place", place, "error", fmt.Sprint(v), "stack", string(stack[:min(len(stack), stackBytes)]))
}

// Recovered, when deferred, ends a panic with an event. It must be deferred itself, not be called by a deferred function.
func (l *Logger) Recovered(place string) {
	if v := recover(); v != nil {
		l.Panicked(place, v)
	}
}

// Emit writes an event with key-value fields.
func (l *Logger) Emit(d Definition, fields ...any) {
	l.out.Log(d.Level, d.Text, append([]any{"event", int(d.ID)}, fields...)...)
}
