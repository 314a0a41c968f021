// Package logstory finds what the logs of several VMs tell about one request, and the line that decided its outcome.
package logstory

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/bronzelever/bronzelever/pkg/event"
)

// maxLine bounds a line of a log in bytes; longer ones are reported as unreadable.
const maxLine = 1 << 20

// Line is a line of a log that belongs to the request.
type Line struct {
	// Place is the file and the number of the line.
	Place string
	Time  time.Time
	VM    string
	// Event is the number of the event; 0 if the line has none.
	Event int
	// Fields are all fields in their order.
	Fields []Field
}

// Field is a key with its value.
type Field struct {
	Key, Value string
}

// Get returns the first value of a key, empty if there is none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Story is what the logs tell about one request.
type Story struct {
	// Lines are in the order of time.
	Lines []Line
	// Unreadable are the places of lines that name the request but can't be read.
	Unreadable []string
}

// Read adds the lines of a log that belong to a request.
func (s *Story) Read(name string, r io.Reader, request string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	mark := []byte("request=" + request)
	number := 0
	for scanner.Scan() {
		number++
		if !bytes.Contains(scanner.Bytes(), mark) {
			continue
		}
		place := name + ":" + strconv.Itoa(number)
		line, ok := parse(scanner.Bytes())
		if !ok {
			s.Unreadable = append(s.Unreadable, place)
			continue
		}
		if line.Place = place; line.Get("request") == request {
			s.Lines = append(s.Lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s:%d: %w", name, number+1, err)
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return nil
}

func parse(text []byte) (Line, bool) {
	var l Line
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	if !decoder.ScanRecord() {
		return l, false
	}
	for decoder.ScanKeyval() {
		l.Fields = append(l.Fields, Field{string(decoder.Key()), string(decoder.Value())})
	}
	when, err := time.Parse(time.RFC3339Nano, l.Get("time"))
	if decoder.Err() != nil || err != nil {
		return l, false
	}
	l.Time, l.VM = when, l.Get("vm")
	// A line without an event has the number 0.
	l.Event, _ = strconv.Atoi(l.Get("event"))
	return l, true
}

// Deciding returns the line that decided the outcome: the last failed attempt at a target, since the answer after it only tells
// why there was no further one, else the last answer. It returns false if the logs hold neither.
func (s *Story) Deciding() (Line, bool) {
	var attempt, final *Line
	for i := range s.Lines {
		switch event.ID(s.Lines[i].Event) {
		case event.AttemptFailed.ID:
			attempt = &s.Lines[i]
		case event.RequestRefused.ID, event.RequestFailed.ID, event.CallerDisconnected.ID, event.ResponseTruncated.ID:
			final = &s.Lines[i]
		case event.RequestAnswered.ID:
			attempt, final = nil, &s.Lines[i]
		}
	}
	switch {
	case attempt != nil:
		return *attempt, true
	case final != nil:
		return *final, true
	default:
		return Line{}, false
	}
}

// WriteText writes the lines with their time after the first one, and the deciding line.
func (s *Story) WriteText(w io.Writer) {
	for i := range s.Lines {
		l := &s.Lines[i]
		fmt.Fprintf(w, "+%d ms  %s  %s%s\n", l.Time.Sub(s.Lines[0].Time).Milliseconds(), cmp.Or(l.VM, "?"), l.Get("msg"), l.rest())
	}
	for _, place := range s.Unreadable {
		fmt.Fprintf(w, "unreadable: %s\n", place)
	}
	if d, ok := s.Deciding(); ok {
		fmt.Fprintf(w, "decided by event %d, %s\n", d.Event, d.Place)
	} else {
		fmt.Fprintln(w, "no line tells the outcome")
	}
}

// rest returns the fields that WriteText doesn't show otherwise.
func (l *Line) rest() string {
	var out bytes.Buffer
	for _, f := range l.Fields {
		switch f.Key {
		case "time", "level", "msg", "process", "vm", "request":
		default:
			fmt.Fprintf(&out, "  %s=%q", f.Key, f.Value)
		}
	}
	return out.String()
}
