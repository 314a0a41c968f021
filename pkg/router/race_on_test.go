//go:build race

package router

// raceEnabled reports whether the race detector is enabled. The race detector makes sync.Pool drop buffers at random, so that
// garbage which a normal build doesn't produce counts as memory in use.
const raceEnabled = true
