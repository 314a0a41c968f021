// Package version tells the version of the running binary.
package version

import "runtime/debug"

// String returns the module version that the build recorded, "unknown" without one.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
