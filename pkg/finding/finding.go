// Package finding collects the problems of an input file with their positions, so that all problems are reported together.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Severity states whether a finding makes the input invalid.
type Severity int

const (
	// Error means that the input is rejected.
	Error Severity = iota
	// Warning means that the input is accepted.
	Warning
	// Change describes how the input differs from what is in force. It isn't a problem by itself.
	Change
)

// String implements fmt.Stringer.
func (s Severity) String() string {
	switch s {
	case Warning:
		return "warning"
	case Change:
		return "change"
	}
	return "error"
}

// Position describes a position in a file. Line and Column start at 1; 0 means unknown.
type Position struct {
	File   string
	Line   int
	Column int
}

// String implements fmt.Stringer. It returns the position as file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is a problem of an input: its position, the path of the setting, what is wrong with it and, optionally, what is allowed.
type Finding struct {
	Severity Severity
	Position Position
	Path     string
	Message  string
	Allowed  string
	// Risky marks a change that takes effect at once and can make requests fail.
	Risky bool
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	severity := f.Severity.String()
	if f.Risky {
		severity = "risky " + severity
	}
	text := fmt.Sprintf("%s: %s: %s: %s", f.Position, severity, f.Path, f.Message)
	if f.Allowed != "" {
		text += " (allowed: " + f.Allowed + ")"
	}
	return text
}

// List is a collection of findings. A nil list is empty.
type List []Finding

// Add appends a finding.
func (l *List) Add(f Finding) {
	*l = append(*l, f)
}

// Errors returns the number of findings with severity Error.
func (l List) Errors() int {
	n := 0
	for _, f := range l {
		if f.Severity == Error {
			n++
		}
	}
	return n
}

// Sort sorts the findings by file, line and column. Findings at the same position keep their order.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i].Position, l[j].Position
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// Error implements error. It returns one line for each finding.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error if it has a finding with severity Error, and nil otherwise.
func (l List) Err() error {
	if l.Errors() == 0 {
		return nil
	}
	return l
}
