// Package jsonc is a strict decoder for JSON with comments. It reports unknown fields, duplicate keys and wrong types, and
// returns all findings of a file together, each with line and column. It is used for settings, configuration and
// questionnaires.
package jsonc

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/tailscale/hujson"
)

const (
	// MaxBytes is the maximum size of a file.
	MaxBytes = 64 << 20
	// MaxDepth is the maximum nesting depth. The parser is recursive, so that a malicious file could exhaust the stack
	// without a limit.
	MaxDepth = 100
	// RootPath is the path of the whole document.
	RootPath = "."
)

// Decode decodes data into a value of type T. The index provides the positions of the values for later findings; it is
// never nil.
func Decode[T any](data []byte, file string) (T, *Index, finding.List) {
	var value T
	d := &decoder{index: newIndex(data, file), fields: map[reflect.Type]map[string][]int{}}
	root, ok := d.parse(data)
	if ok {
		d.decodeValue(RootPath, root, reflect.ValueOf(&value).Elem())
	}
	d.findings.Sort()
	return value, d.index, d.findings
}

// parse returns the syntax tree of data. If data can't be parsed, it adds a finding and returns false.
func (d *decoder) parse(data []byte) (*hujson.Value, bool) {
	if len(data) > MaxBytes {
		d.reject(RootPath, 0, "the file is too large", fmt.Sprintf("at most %d bytes", MaxBytes))
		return nil, false
	}
	if offset, deep := findTooDeep(data); deep {
		d.reject(RootPath, offset, "the values are nested too deeply", fmt.Sprintf("at most %d levels", MaxDepth))
		return nil, false
	}
	root, err := hujson.Parse(data)
	if err != nil {
		d.addSyntaxError(err)
		return nil, false
	}
	return &root, true
}

// addSyntaxError adds a finding for a parser error at the position that the error reports.
func (d *decoder) addSyntaxError(err error) {
	position := finding.Position{File: d.index.file, Line: 1, Column: 1}
	// The parser reports the position only in the text of the error.
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &position.Line, &position.Column); scanErr != nil {
		position.Line, position.Column = 1, 1
	}
	d.index.rejected[RootPath] = true
	cause := err
	if inner := errors.Unwrap(err); inner != nil {
		cause = inner
	}
	d.findings.Add(finding.Finding{
		Position: position,
		Path:     RootPath,
		Message:  "syntax error: " + cause.Error(),
		Allowed:  "JSON with comments and trailing commas",
	})
}

// Join appends a field name to a path. The path may be empty or RootPath.
func Join(path, field string) string {
	if path == RootPath || path == "" {
		return field
	}
	return path + "." + field
}

// Element appends an array index to a path.
func Element(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// parent returns the path of the enclosing value.
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i <= 0 {
		return RootPath
	}
	return path[:i]
}

// findTooDeep returns the offset of the first opening bracket that is nested deeper than MaxDepth, and whether there is
// one. It skips strings and comments.
func findTooDeep(data []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		case '{', '[':
			depth++
			if depth > MaxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipString returns the offset of the quote that closes the string starting at i. The offset is at or beyond the end of
// data if the string is not closed.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that starts at i, or i if no comment starts there. It
// returns len(data) if the comment is not closed.
func skipComment(data []byte, i int) int {
	rest := string(data[i:min(i+2, len(data))])
	end := ""
	switch rest {
	case "//":
		end = "\n"
	case "/*":
		end = "*/"
	default:
		return i
	}
	start := i + 2
	n := bytes.Index(data[start:], []byte(end))
	if n < 0 {
		return len(data)
	}
	return start + n + len(end) - 1
}
