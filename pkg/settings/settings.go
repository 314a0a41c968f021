// Package settings loads the static settings of a process: JSON with comments, read once at start.
package settings
