package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind is the kind of difference in a setting.
type ChangeKind string

const (
	// Added means that the setting exists only in the new configuration.
	Added ChangeKind = "added"
	// Removed means that the setting exists only in the old configuration.
	Removed ChangeKind = "removed"
	// Changed means that the setting has different values in the two configurations.
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations. Path identifies list elements by name
// rather than by index: pools[stato-nastri].targets[sn-01].address.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Path string     `json:"path"`
	// Old and New are JSON values; Old is empty for Added, New for Removed.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String implements fmt.Stringer.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case Removed:
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff lists the differences between two configurations in the order of the fields. It ignores Version, which
// differs between any two configurations, and the order of list elements. A nil configuration counts as empty.
func Diff(older, newer *Config) []Change {
	var d differ
	d.compareStruct("", reflect.ValueOf(orEmpty(older)).Elem(), reflect.ValueOf(orEmpty(newer)).Elem())
	return d.changes
}

func orEmpty(c *Config) *Config {
	if c == nil {
		return &Config{}
	}
	return c
}

type differ struct {
	changes []Change
}

func (d *differ) compare(path string, older, newer reflect.Value) {
	switch older.Kind() {
	case reflect.Struct:
		d.compareStruct(path, older, newer)
	case reflect.Slice:
		d.compareSlice(path, older, newer)
	default:
		if !older.Equal(newer) {
			d.changes = append(d.changes, Change{Kind: Changed, Path: path, Old: encode(older), New: encode(newer)})
		}
	}
}

func (d *differ) compareStruct(path string, older, newer reflect.Value) {
	for i := range older.NumField() {
		name, _, _ := strings.Cut(older.Type().Field(i).Tag.Get("json"), ",")
		if path == "" && name == "version" {
			continue
		}
		d.compare(strings.TrimPrefix(path+"."+name, "."), older.Field(i), newer.Field(i))
	}
}

// compareSlice matches the elements of two lists by name and compares them.
func (d *differ) compareSlice(path string, older, newer reflect.Value) {
	oldNames, oldByName := indexByName(older)
	newNames, newByName := indexByName(newer)
	for _, name := range oldNames {
		if _, ok := newByName[name]; !ok {
			d.changes = append(d.changes, Change{Kind: Removed, Path: elementPath(path, name), Old: encode(oldByName[name])})
		}
	}
	for _, name := range newNames {
		at := elementPath(path, name)
		before, ok := oldByName[name]
		if !ok {
			d.changes = append(d.changes, Change{Kind: Added, Path: at, New: encode(newByName[name])})
			continue
		}
		d.compare(at, before, newByName[name])
	}
}

func elementPath(path, name string) string {
	return path + "[" + name + "]"
}

// indexByName returns the sorted element names and a map from name to element. Among elements with equal names it keeps
// the first.
func indexByName(list reflect.Value) ([]string, map[string]reflect.Value) {
	var names []string
	elements := map[string]reflect.Value{}
	for i := range list.Len() {
		element := list.Index(i)
		name := elementName(element)
		if _, ok := elements[name]; ok {
			continue
		}
		names = append(names, name)
		elements[name] = element
	}
	slices.Sort(names)
	return names, elements
}

// elementName returns the Name or ID of a struct, or the string itself.
func elementName(element reflect.Value) string {
	if element.Kind() == reflect.String {
		return element.String()
	}
	for _, field := range []string{"Name", "ID"} {
		if f := element.FieldByName(field); f.IsValid() {
			return f.String()
		}
	}
	return ""
}

func encode(v reflect.Value) string {
	filled := reflect.New(v.Type()).Elem()
	deepCopyNonNil(filled, v)
	body, err := json.Marshal(filled.Interface())
	if err != nil {
		return err.Error()
	}
	return string(body)
}
