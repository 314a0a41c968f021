package jsonc

import (
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/finding"
)

type element struct {
	Text string `json:"text"`
}

type document struct {
	Embedded
	Int     int8               `json:"int"`
	Uint    uint64             `json:"uint"`
	Float   float64            `json:"float"`
	Bool    bool               `json:"bool"`
	List    []element          `json:"list"`
	Map     map[string]element `json:"map"`
	Pointer *int               `json:"pointer"`
	Hidden  string             `json:"-"`
}

// Embedded is embedded in document.
type Embedded struct {
	Name string `json:"name"`
}

// Guards against values that are altered or lost during decoding, in particular 64-bit numbers.
func TestDecode(t *testing.T) {
	data := `/* all */ {
		"name": "n\u00e9", "int": -128, "uint": 18446744073709551615, "float": 1e-3, "bool": true, // comment
		"list": [{"text": "a"}, {},], "map": {"k.1": {"text": "b"}}, "pointer": 7,
	}`
	v, index, findings := Decode[document]([]byte(data), "f")
	if len(findings) != 0 {
		t.Fatal(findings)
	}
	if v.Name != "né" || v.Int != -128 || v.Uint != 18446744073709551615 || v.Float != 0.001 || !v.Bool {
		t.Errorf("%+v", v)
	}
	if len(v.List) != 2 || v.List[0].Text != "a" || v.Map["k.1"].Text != "b" || v.Pointer == nil || *v.Pointer != 7 {
		t.Errorf("%+v", v)
	}
	if !index.Has("list[0].text") || index.Has("list[1].text") {
		t.Error("Has doesn't match the values in the document")
	}
	if got := index.Position("list[1].text"); got != (finding.Position{File: "f", Line: 3, Column: 27}) {
		t.Errorf("position of the enclosing value: %v", got)
	}
}

// Guards against invalid values that are accepted, and against findings without line, column and the allowed values.
func TestDecodeFindings(t *testing.T) {
	for data, want := range map[string]string{
		`{"int": 128}`:                `f:1:9: error: int: the number 128 does not fit (allowed: a whole number of at most 7 bits)`,
		`{"uint": -1}`:                `f:1:10: error: uint: the number -1 does not fit (allowed: a whole number from 0 of at most 64 bits)`,
		`{"int": 1.0}`:                `f:1:9: error: int: the number 1.0 does not fit`,
		`{"bool": "true"}`:            `f:1:10: error: bool: found a string (allowed: true or false)`,
		`{"list": {}}`:                `f:1:10: error: list: found an object (allowed: an array)`,
		`{"list": [null]}`:            `f:1:11: error: list[0]: found null (allowed: an object)`,
		`{"list": [{"text": []}]}`:    `f:1:20: error: list[0].text: found an array (allowed: a string)`,
		`{"map": {"a": {}, "a": {}}}`: `f:1:19: error: map.a: duplicate key "a", first given at line 1 (allowed: each key once)`,
		`{"Name": "n"}`:               `f:1:2: error: Name: unknown field "Name"`,
		`{"Hidden": "n"}`:             `f:1:2: error: Hidden: unknown field "Hidden"`,
		`{"name": "é", "x": 1}`:       `f:1:15: error: x: unknown field "x"`,
		``:                            `f:1:1: error: .: syntax error`,
		`{} {}`:                       `f:1:4: error: .: syntax error`,
		strings.Repeat("[", 200_000):  `f:1:101: error: .: the values are nested too deeply (allowed: at most 100 levels)`,
	} {
		_, _, findings := Decode[document]([]byte(data), "f")
		if len(findings) != 1 || !strings.HasPrefix(findings[0].String(), want) {
			t.Errorf("%.40s: want %s\ngot %v", data, want, findings)
		}
	}
}

// Guards against brackets in strings and comments being counted as nesting.
func TestNestingIgnoresStringsAndComments(t *testing.T) {
	data := `{"name": "` + strings.Repeat(`[\"`, 200) + `", /* ` + strings.Repeat("[", 200) + " */ // " + strings.Repeat("{", 200) + "\n}"
	if _, _, findings := Decode[document]([]byte(data), "f"); len(findings) != 0 {
		t.Error(findings)
	}
}

// Guards against findings of checks about values that the decoder has rejected, and against the loss of other findings.
func TestMerge(t *testing.T) {
	_, index, decoded := Decode[document]([]byte(`{"int": "x", "list": 3}`), "f")
	checked := finding.List{{Path: "int", Message: "zero"}, {Path: "list[0].text", Message: "missing"}, {Path: "name", Message: "missing"}}
	merged := index.Merge(decoded, checked)
	if len(merged) != 3 || merged[0].Path != "name" || merged[0].Position.Line != 1 {
		t.Error(merged)
	}
}
