package jsonc

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/tailscale/hujson"
)

// decoder walks the syntax tree and the Go type side by side.
type decoder struct {
	index    *Index
	findings finding.List
	// fields caches fieldsOf.
	fields map[reflect.Type]map[string][]int
}

func (d *decoder) fieldsOf(t reflect.Type) map[string][]int {
	fields, ok := d.fields[t]
	if !ok {
		fields = fieldsOf(t)
		d.fields[t] = fields
	}
	return fields
}

func (d *decoder) add(path string, offset int, message, allowed string) {
	d.findings.Add(finding.Finding{
		Position: d.index.place(offset),
		Path:     path,
		Message:  message,
		Allowed:  allowed,
	})
}

// reject adds a finding about a value that couldn't be decoded and keeps its zero value.
func (d *decoder) reject(path string, offset int, message, allowed string) {
	d.index.rejected[path] = true
	d.add(path, offset, message, allowed)
}

func (d *decoder) wrongType(path string, v *hujson.Value, want string) {
	d.reject(path, v.StartOffset, "found "+kindName(v.Value.Kind()), want)
}

// value decodes v into target, which is settable.
func (d *decoder) value(path string, v *hujson.Value, target reflect.Value) {
	d.index.offsets[path] = v.StartOffset
	switch target.Kind() {
	case reflect.Pointer:
		d.pointer(path, v, target)
	case reflect.Struct:
		d.structure(path, v, target)
	case reflect.Slice:
		d.slice(path, v, target)
	case reflect.Map:
		d.mapping(path, v, target)
	default:
		d.literal(path, v, target)
	}
}

// pointer leaves target nil for null.
func (d *decoder) pointer(path string, v *hujson.Value, target reflect.Value) {
	if v.Value.Kind() == 'n' {
		return
	}
	target.Set(reflect.New(target.Type().Elem()))
	d.value(path, v, target.Elem())
}

func (d *decoder) structure(path string, v *hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(path, v, "an object")
		return
	}
	fields := d.fieldsOf(target.Type())
	d.members(path, object, func(name, memberPath string, m *hujson.ObjectMember) {
		index, known := fields[name]
		if !known {
			d.add(memberPath, m.Name.StartOffset, "unknown field "+strconv.Quote(name), fieldNames(fields))
			return
		}
		d.value(memberPath, &m.Value, target.FieldByIndex(index))
	})
}

func (d *decoder) mapping(path string, v *hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(path, v, "an object")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	d.members(path, object, func(name, memberPath string, m *hujson.ObjectMember) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(memberPath, &m.Value, element)
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), element)
	})
}

// members calls visit for each member and reports duplicates instead of visiting them.
func (d *decoder) members(path string, object *hujson.Object, visit func(string, string, *hujson.ObjectMember)) {
	first := map[string]int{}
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		memberPath := Join(path, name)
		if offset, seen := first[name]; seen {
			message := fmt.Sprintf("duplicate key %q, first given at line %d", name, d.index.place(offset).Line)
			d.add(memberPath, m.Name.StartOffset, message, "each key once")
			continue
		}
		first[name] = m.Name.StartOffset
		visit(name, memberPath, m)
	}
}

func (d *decoder) slice(path string, v *hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(path, v, "an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.value(Element(path, i), &array.Elements[i], target.Index(i))
	}
}

func (d *decoder) literal(path string, v *hujson.Value, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || !fits(literal.Kind(), target.Kind()) {
		d.wrongType(path, v, wantName(target))
		return
	}
	switch target.Kind() {
	case reflect.String:
		target.SetString(literal.String())
	case reflect.Bool:
		target.SetBool(literal.Bool())
	default:
		d.number(path, v, literal, target)
	}
}

func (d *decoder) number(path string, v *hujson.Value, literal hujson.Literal, target reflect.Value) {
	bits := target.Type().Bits()
	text := string(literal)
	var err error
	switch {
	case target.CanInt():
		var n int64
		n, err = strconv.ParseInt(text, 10, bits)
		target.SetInt(n)
	case target.CanUint():
		var n uint64
		n, err = strconv.ParseUint(text, 10, bits)
		target.SetUint(n)
	default:
		var n float64
		n, err = strconv.ParseFloat(text, bits)
		target.SetFloat(n)
	}
	if err != nil {
		target.SetZero()
		d.reject(path, v.StartOffset, "the number "+text+" does not fit", wantName(target))
	}
}

// fits tells whether a JSON kind can be decoded into a Go kind.
func fits(have hujson.Kind, want reflect.Kind) bool {
	switch {
	case want == reflect.String:
		return have == '"'
	case want == reflect.Bool:
		return have == 't' || have == 'f'
	case want >= reflect.Int && want <= reflect.Float64:
		return have == '0'
	}
	return false
}

func wantName(target reflect.Value) string {
	switch {
	case target.Kind() == reflect.String:
		return "a string"
	case target.Kind() == reflect.Bool:
		return "true or false"
	case target.CanInt():
		return fmt.Sprintf("a whole number of at most %d bits", target.Type().Bits()-1)
	case target.CanUint():
		return fmt.Sprintf("a whole number from 0 of at most %d bits", target.Type().Bits())
	case target.CanFloat():
		return "a number"
	}
	return "nothing"
}

func kindName(kind hujson.Kind) string {
	switch kind {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	case '[':
		return "an array"
	}
	return "something else"
}

// fieldsOf maps JSON names to field indexes. Fields of embedded structs count as fields of the outer one.
func fieldsOf(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous && name == "" || !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields[name] = f.Index
	}
	return fields
}

func fieldNames(fields map[string][]int) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
