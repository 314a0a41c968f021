package jsonc

import (
	"bytes"
	"sort"
	"unicode/utf8"

	"github.com/bronzelever/bronzelever/pkg/finding"
)

// Index maps the paths of the values in a document to their positions. An example of a path is
// pools[2].targets[0].address.
type Index struct {
	file    string
	data    []byte
	lines   []int
	offsets map[string]int
	// rejected holds the paths of values that couldn't be decoded.
	rejected map[string]bool
}

func newIndex(data []byte, file string) *Index {
	x := &Index{file: file, data: data, lines: []int{0}, offsets: map[string]int{}, rejected: map[string]bool{}}
	for i := 0; ; {
		n := bytes.IndexByte(data[i:], '\n')
		if n < 0 {
			return x
		}
		i += n + 1
		x.lines = append(x.lines, i)
	}
}

// Has reports whether the document contains a value at the path.
func (x *Index) Has(path string) bool {
	_, ok := x.offsets[path]
	return ok
}

// Position returns the position of the value at the path, or of the nearest enclosing value that the document contains.
func (x *Index) Position(path string) finding.Position {
	for p := path; ; p = parent(p) {
		if offset, ok := x.offsets[p]; ok {
			return x.positionAt(offset)
		}
		if p == RootPath {
			return finding.Position{File: x.file, Line: 1, Column: 1}
		}
	}
}

// Locate sets the positions of findings that have only a path. It modifies list and returns it.
func (x *Index) Locate(list finding.List) finding.List {
	for i := range list {
		if list[i].Position == (finding.Position{}) {
			list[i].Position = x.Position(list[i].Path)
		}
	}
	return list
}

// positionAt converts a byte offset to a position. Columns count characters, not bytes.
func (x *Index) positionAt(offset int) finding.Position {
	line := sort.SearchInts(x.lines, offset+1)
	start := x.lines[line-1]
	return finding.Position{File: x.file, Line: line, Column: 1 + utf8.RuneCount(x.data[start:offset])}
}

// Merge adds the findings of a check to those of the decoder, sets their positions and sorts the result. It omits findings
// of the check about values that the decoder rejected, because the check saw only their zero values.
func (x *Index) Merge(decoded, checked finding.List) finding.List {
	merged := append(finding.List(nil), decoded...)
	for _, f := range x.Locate(checked) {
		if !x.Rejected(f.Path) {
			merged.Add(f)
		}
	}
	merged.Sort()
	return merged
}

// Rejected reports whether the value at the path, or a value that encloses it, couldn't be decoded.
func (x *Index) Rejected(path string) bool {
	for p := path; ; p = parent(p) {
		if x.rejected[p] {
			return true
		}
		if p == RootPath {
			return false
		}
	}
}
