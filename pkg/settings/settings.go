// Package settings loads the static settings of a process from a JSON file with comments, which is read once at startup.
// docs/settings.md describes every field.
package settings

import (
	"os"

	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/jsonc"
)

// Validator is implemented by settings that validate their own values. Validate returns findings that carry only paths;
// Parse adds their positions in the file.
type Validator interface {
	Validate() finding.List
}

// Load reads a settings file. The value may be used only if the findings contain no error (see finding.List.Err).
func Load[T any](path string) (T, finding.List) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, finding.List{{
			Position: finding.Position{File: path},
			Path:     jsonc.RootPath,
			Message:  "cannot read the file: " + err.Error(),
			Allowed:  "a readable file",
		}}
	}
	return Parse[T](data, path)
}

// Parse decodes and validates settings. It returns the findings of both steps together.
func Parse[T any](data []byte, file string) (T, finding.List) {
	value, index, decoded := jsonc.Decode[T](data, file)
	if d, ok := any(&value).(Defaulter); ok {
		d.SetDefaults()
	}
	v, ok := any(value).(Validator)
	if !ok {
		return value, decoded
	}
	return value, index.Merge(decoded, v.Validate())
}

// Defaulter is implemented by settings with defaults for fields that are missing from the file.
type Defaulter interface {
	SetDefaults()
}
