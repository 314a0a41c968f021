// Package logstory collects the log lines of one request from the logs of several VMs and finds the line that determined
// its outcome.
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

// maxLineBytes is the maximum length of a log line. Read returns an error at a longer one.
const maxLineBytes = 1 << 20

// Line is a log line of the request.
type Line struct {
	// Place is the position of the line, as FILE:NUMBER.
	Place string
	Time  time.Time
	VM    string
	// Event is the event number, or 0 if the line has none.
	Event int
	// Fields are all fields of the line, in the order in which they were logged.
	Fields []Field
}

// Field is a key-value pair of a log line.
type Field struct {
	Key, Value string
}

// Get returns the first value of key, or an empty string if the line doesn't have the key.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Story collects the log lines of one request.
type Story struct {
	// Lines are sorted by time.
	Lines []Line
	// Unreadable are the places of lines that contain the request ID but can't be parsed.
	Unreadable []string
}

// Read adds the lines of the log r that belong to request. The places of the lines begin with name.
func (s *Story) Read(name string, r io.Reader, request string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	pattern := []byte("request=" + request)
	lineNumber := 0
	for scanner.Scan() {
		lineNumber++
		if !bytes.Contains(scanner.Bytes(), pattern) {
			continue
		}
		place := name + ":" + strconv.Itoa(lineNumber)
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			s.Unreadable = append(s.Unreadable, place)
			continue
		}
		if line.Place = place; line.Get("request") == request {
			s.Lines = append(s.Lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s:%d: %w", name, lineNumber+1, err)
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return nil
}

// parseLine decodes a logfmt line. It returns false if the line is malformed or has no valid time.
func parseLine(text []byte) (Line, bool) {
	var l Line
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	if !decoder.ScanRecord() {
		return l, false
	}
	for decoder.ScanKeyval() {
		l.Fields = append(l.Fields, Field{string(decoder.Key()), string(decoder.Value())})
	}
	timestamp, err := time.Parse(time.RFC3339Nano, l.Get("time"))
	if decoder.Err() != nil || err != nil {
		return l, false
	}
	l.Time, l.VM = timestamp, l.Get("vm")
	// Event stays 0 if the line has no event number.
	l.Event, _ = strconv.Atoi(l.Get("event"))
	return l, true
}

// Deciding returns the line that determined the outcome of the request. If the last attempt at a target failed, it is the
// line of that attempt, since the error response after it only says why no further attempt was made; otherwise it is the
// line of the last response or of the caller's disconnect. Deciding returns false if the logs contain no such line.
func (s *Story) Deciding() (Line, bool) {
	var failedAttempt, finalLine *Line
	for i := range s.Lines {
		switch event.ID(s.Lines[i].Event) {
		case event.AttemptFailed.ID:
			failedAttempt = &s.Lines[i]
		case event.RequestRefused.ID, event.RequestFailed.ID, event.CallerDisconnected.ID, event.ResponseTruncated.ID:
			finalLine = &s.Lines[i]
		case event.RequestAnswered.ID:
			failedAttempt, finalLine = nil, &s.Lines[i]
		}
	}
	switch {
	case failedAttempt != nil:
		return *failedAttempt, true
	case finalLine != nil:
		return *finalLine, true
	default:
		return Line{}, false
	}
}

// WriteText writes each line with its time offset from the first one, the unreadable lines' places, and the place of the
// line that determined the outcome.
func (s *Story) WriteText(w io.Writer) {
	for i := range s.Lines {
		l := &s.Lines[i]
		fmt.Fprintf(w, "+%d ms  %s  %s%s\n", l.Time.Sub(s.Lines[0].Time).Milliseconds(), cmp.Or(l.VM, "?"), l.Get("msg"), l.otherFields())
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

// otherFields returns the formatted fields for which WriteText has no column of its own, without the fields that it omits.
func (l *Line) otherFields() string {
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
