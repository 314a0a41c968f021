// Package jsonc decodes JSON with comments strictly: unknown fields, duplicate keys and wrong types are findings, and all
// findings of a file are reported together with line and column. Settings, configuration and questionnaire use it.
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
	// MaxBytes bounds the size of a file.
	MaxBytes = 64 << 20
	// MaxDepth bounds the nesting. The parser is recursive; without a bound a hostile file would exhaust the stack.
	MaxDepth = 100
	// RootPath is the path of the whole document.
	RootPath = "."
)

// Decode reads data into a T. The index gives the places of the values for later findings; it is never nil.
func Decode[T any](data []byte, file string) (T, *Index, finding.List) {
	var value T
	d := &decoder{index: newIndex(data, file), fields: map[reflect.Type]map[string][]int{}}
	root, ok := d.parse(data)
	if ok {
		d.value(RootPath, root, reflect.ValueOf(&value).Elem())
	}
	d.findings.Sort()
	return value, d.index, d.findings
}

// parse returns the syntax tree, or adds a finding.
func (d *decoder) parse(data []byte) (*hujson.Value, bool) {
	if len(data) > MaxBytes {
		d.reject(RootPath, 0, "the file is too large", fmt.Sprintf("at most %d bytes", MaxBytes))
		return nil, false
	}
	if offset, deep := tooDeep(data); deep {
		d.reject(RootPath, offset, "the values are nested too deeply", fmt.Sprintf("at most %d levels", MaxDepth))
		return nil, false
	}
	root, err := hujson.Parse(data)
	if err != nil {
		d.addSyntax(err)
		return nil, false
	}
	return &root, true
}

// addSyntax turns a parser error into a finding at its place.
func (d *decoder) addSyntax(err error) {
	place := finding.Position{File: d.index.file, Line: 1, Column: 1}
	// The parser puts the place into the text only.
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d", &place.Line, &place.Column); scanErr != nil {
		place.Line, place.Column = 1, 1
	}
	d.index.rejected[RootPath] = true
	cause := err
	if inner := errors.Unwrap(err); inner != nil {
		cause = inner
	}
	d.findings.Add(finding.Finding{
		Position: place,
		Path:     RootPath,
		Message:  "syntax error: " + cause.Error(),
		Allowed:  "JSON with comments and trailing commas",
	})
}

// Join appends a field name to a path.
func Join(path, field string) string {
	if path == RootPath || path == "" {
		return field
	}
	return path + "." + field
}

// Element appends an index to a path.
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

// tooDeep finds the first bracket beyond MaxDepth, skipping strings and comments.
func tooDeep(data []byte) (int, bool) {
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

// skipString returns the offset of the closing quote.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that starts at i, or i if there is none.
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
