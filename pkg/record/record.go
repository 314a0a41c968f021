// Package record keeps a bounded record of decisions: one JSON line per decision with its input, so that the decision code
// can be run again under a virtual clock. Inputs and decisions contain topology and load, nothing that derives from the
// content of requests.
package record

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"
	"sync"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Kind names a decision function.
type Kind string

// Line is one recorded decision.
type Line struct {
	// Sequence counts the decisions of a process from 1. A gap shows lines that were dropped or rotated away.
	Sequence uint64 `json:"seq"`
	// At is the instant of the decision on the boottime clock of the VM.
	At       clock.Instant   `json:"at"`
	Kind     Kind            `json:"kind"`
	Input    json.RawMessage `json:"input"`
	Decision json.RawMessage `json:"decision"`
}

const (
	// DefaultMaxBytes bounds the current file; one older file of the same size is kept.
	DefaultMaxBytes = 16 << 20
	// queueLength bounds the lines that wait for the disk. A full queue drops lines: a slow disk must not delay decisions.
	queueLength = 256
	// oldSuffix is appended to the name of the older file.
	oldSuffix = ".1"
)

// Recorder writes decisions to a file. A nil Recorder records nothing.
type Recorder struct {
	path     string
	maxBytes int64
	lines    chan []byte
	done     chan struct{}

	mu       sync.Mutex
	sequence uint64
	dropped  uint64
	closed   bool

	// file, buffer, size and err belong to the writing goroutine; err is read after done.
	file   *os.File
	buffer *bufio.Writer
	size   int64
	err    error
}

// Open appends to a file and rotates it at maxBytes. An empty path returns a nil Recorder.
func Open(path string, maxBytes int64) (*Recorder, error) {
	if path == "" {
		return nil, nil
	}
	r := &Recorder{path: path, maxBytes: maxBytes, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	if err := r.open(); err != nil {
		return nil, err
	}
	go r.write()
	return r, nil
}

// Record queues a decision. It encodes at once, since the caller may change the values afterwards, and never waits for the
// disk.
func (r *Recorder) Record(kind Kind, at clock.Instant, input, decision any) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.sequence++
	line, err := encode(r.sequence, kind, at, input, decision)
	if err != nil {
		r.dropped++
		return
	}
	select {
	case r.lines <- line:
	default:
		r.dropped++
	}
}

func encode(sequence uint64, kind Kind, at clock.Instant, input, decision any) ([]byte, error) {
	in, err := json.Marshal(input)
	if err != nil {
		return nil, err
	}
	out, err := json.Marshal(decision)
	if err != nil {
		return nil, err
	}
	line, err := json.Marshal(Line{Sequence: sequence, At: at, Kind: kind, Input: in, Decision: out})
	return append(line, '\n'), err
}

// Dropped returns the number of decisions that could not be recorded.
func (r *Recorder) Dropped() uint64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Close writes what is queued and returns the first error of the file.
func (r *Recorder) Close() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.lines)
	}
	r.mu.Unlock()
	<-r.done
	return r.err
}

// write owns the file.
func (r *Recorder) write() {
	defer close(r.done)
	for line := range r.lines {
		r.append(line)
		if len(r.lines) == 0 {
			r.keep(r.flush())
		}
	}
	r.keep(errors.Join(r.flush(), r.closeFile()))
}

func (r *Recorder) append(line []byte) {
	if r.size > 0 && r.size+int64(len(line)) > r.maxBytes {
		r.keep(r.rotate())
	}
	if r.buffer == nil {
		r.drop()
		return
	}
	if _, err := r.buffer.Write(line); err != nil {
		r.keep(err)
		r.drop()
		return
	}
	r.size += int64(len(line))
}

func (r *Recorder) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped++
}

// keep remembers the first error. Recording goes on as far as it can: it must never stop the process.
func (r *Recorder) keep(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *Recorder) open() error {
	file, err := os.OpenFile(r.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	info, err := file.Stat()
	if err != nil {
		return errors.Join(err, file.Close())
	}
	r.file = file
	r.buffer = bufio.NewWriter(file)
	r.size = info.Size()
	return nil
}

func (r *Recorder) flush() error {
	if r.buffer == nil {
		return nil
	}
	return r.buffer.Flush()
}

func (r *Recorder) closeFile() error {
	if r.file == nil {
		return nil
	}
	file := r.file
	r.file = nil
	r.buffer = nil
	return file.Close()
}

// rotate replaces the older file by the current one and starts a new one.
func (r *Recorder) rotate() error {
	return errors.Join(r.flush(), r.closeFile(), os.Rename(r.path, r.path+oldSuffix), r.open())
}
