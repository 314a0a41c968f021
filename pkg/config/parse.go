package config

import (
	"bytes"
	"encoding/json"
	"reflect"

	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/jsonc"
)

// Parse reads a configuration in JSON with comments and validates it. The configuration may be applied only if the
// findings contain no error (finding.List.Err).
func Parse(data []byte, file string) (*Config, finding.List) {
	c, index, decoded := jsonc.Decode[Config](data, file)
	return &c, index.Merge(decoded, c.Validate())
}

// Marshal encodes a configuration as JSON. The encoding is deterministic: equal configurations give equal bytes.
func Marshal(c *Config) ([]byte, error) {
	filled := reflect.New(reflect.TypeFor[Config]()).Elem()
	deepCopyNonNil(filled, reflect.ValueOf(*c))
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "\t")
	if err := encoder.Encode(filled.Interface()); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Clone returns a deep copy of c, with nil slices replaced by empty ones.
func (c *Config) Clone() *Config {
	clone := reflect.New(reflect.TypeFor[Config]())
	deepCopyNonNil(clone.Elem(), reflect.ValueOf(*c))
	return clone.Interface().(*Config)
}

// deepCopyNonNil makes a deep copy and replaces nil slices with empty ones, since the strict decoder rejects null.
func deepCopyNonNil(to, from reflect.Value) {
	switch from.Kind() {
	case reflect.Struct:
		for i := range from.NumField() {
			deepCopyNonNil(to.Field(i), from.Field(i))
		}
	case reflect.Slice:
		to.Set(reflect.MakeSlice(from.Type(), from.Len(), from.Len()))
		for i := range from.Len() {
			deepCopyNonNil(to.Index(i), from.Index(i))
		}
	default:
		to.Set(from)
	}
}
