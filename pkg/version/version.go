// Package version provides the version of the running binary.
package version

import "runtime/debug"

// String returns the module version that is recorded in the build information, or "unknown" if there is none.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
