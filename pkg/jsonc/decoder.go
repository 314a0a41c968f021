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

// decoder decodes a syntax tree into a Go value and collects the findings.
type decoder struct {
	index    *Index
	findings finding.List
	// fields caches the results of the function fieldsOf per type.
	fields map[reflect.Type]map[string][]int
}

func (d *decoder) cachedFields(t reflect.Type) map[string][]int {
	fields, ok := d.fields[t]
	if !ok {
		fields = fieldsOf(t)
		d.fields[t] = fields
	}
	return fields
}

func (d *decoder) addFinding(path string, offset int, message, allowed string) {
	d.findings.Add(finding.Finding{
		Position: d.index.positionAt(offset),
		Path:     path,
		Message:  message,
		Allowed:  allowed,
	})
}

// reject adds a finding for a value that couldn't be decoded and marks its path as rejected. The target keeps its zero
// value.
func (d *decoder) reject(path string, offset int, message, allowed string) {
	d.index.rejected[path] = true
	d.addFinding(path, offset, message, allowed)
}

func (d *decoder) wrongType(path string, v *hujson.Value, want string) {
	d.reject(path, v.StartOffset, "found "+kindName(v.Value.Kind()), want)
}

// decodeValue decodes v into target, which must be settable.
func (d *decoder) decodeValue(path string, v *hujson.Value, target reflect.Value) {
	d.index.offsets[path] = v.StartOffset
	switch target.Kind() {
	case reflect.Pointer:
		d.decodePointer(path, v, target)
	case reflect.Struct:
		d.decodeStruct(path, v, target)
	case reflect.Slice:
		d.decodeSlice(path, v, target)
	case reflect.Map:
		d.decodeMap(path, v, target)
	default:
		d.decodeLiteral(path, v, target)
	}
}

// decodePointer decodes v into a newly allocated element of target. A null leaves target nil.
func (d *decoder) decodePointer(path string, v *hujson.Value, target reflect.Value) {
	if v.Value.Kind() == 'n' {
		return
	}
	target.Set(reflect.New(target.Type().Elem()))
	d.decodeValue(path, v, target.Elem())
}

func (d *decoder) decodeStruct(path string, v *hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(path, v, "an object")
		return
	}
	fields := d.cachedFields(target.Type())
	d.visitMembers(path, object, func(name, memberPath string, m *hujson.ObjectMember) {
		index, known := fields[name]
		if !known {
			d.addFinding(memberPath, m.Name.StartOffset, "unknown field "+strconv.Quote(name), fieldNames(fields))
			return
		}
		d.decodeValue(memberPath, &m.Value, target.FieldByIndex(index))
	})
}

func (d *decoder) decodeMap(path string, v *hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(path, v, "an object")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	d.visitMembers(path, object, func(name, memberPath string, m *hujson.ObjectMember) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(memberPath, &m.Value, element)
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), element)
	})
}

// visitMembers calls visit for each member of object. It reports a duplicate key instead of visiting it.
func (d *decoder) visitMembers(path string, object *hujson.Object, visit func(string, string, *hujson.ObjectMember)) {
	first := map[string]int{}
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		memberPath := Join(path, name)
		if offset, seen := first[name]; seen {
			message := fmt.Sprintf("duplicate key %q, first given at line %d", name, d.index.positionAt(offset).Line)
			d.addFinding(memberPath, m.Name.StartOffset, message, "each key once")
			continue
		}
		first[name] = m.Name.StartOffset
		visit(name, memberPath, m)
	}
}

func (d *decoder) decodeSlice(path string, v *hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(path, v, "an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.decodeValue(Element(path, i), &array.Elements[i], target.Index(i))
	}
}

func (d *decoder) decodeLiteral(path string, v *hujson.Value, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || !decodable(literal.Kind(), target.Kind()) {
		d.wrongType(path, v, expectedType(target))
		return
	}
	switch target.Kind() {
	case reflect.String:
		target.SetString(literal.String())
	case reflect.Bool:
		target.SetBool(literal.Bool())
	default:
		d.decodeNumber(path, v, literal, target)
	}
}

func (d *decoder) decodeNumber(path string, v *hujson.Value, literal hujson.Literal, target reflect.Value) {
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
		d.reject(path, v.StartOffset, "the number "+text+" does not fit", expectedType(target))
	}
}

// decodable reports whether a JSON value of kind have can be decoded into a Go value of kind want.
func decodable(have hujson.Kind, want reflect.Kind) bool {
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

func expectedType(target reflect.Value) string {
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

// fieldsOf returns the field indexes of a struct type by JSON name. Fields of embedded structs count as fields of the outer
// struct.
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
