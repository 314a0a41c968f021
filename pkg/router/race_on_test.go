//go:build race

package router

// raceEnabled tells that the race detector is on. It makes sync.Pool drop buffers at random, so that garbage which a normal
// build doesn't produce counts as memory in use.
const raceEnabled = true
