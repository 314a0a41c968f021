// Package record writes decisions and their inputs to a size-limited file, one JSON line each, and replays them: the
// decision functions run again on the recorded inputs under a virtual clock. Inputs and decisions contain topology and load
// data, but nothing derived from the content of requests.
package record

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"
	"sync"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// Kind identifies a decision function.
type Kind string

// Line is the JSON form of a recorded decision.
type Line struct {
	// Sequence counts the decisions of a process from 1. A gap means that lines were dropped or removed by rotation.
	Sequence uint64 `json:"seq"`
	// At is the time of the decision on the VM's boottime clock.
	At       clock.Instant   `json:"at"`
	Kind     Kind            `json:"kind"`
	Input    json.RawMessage `json:"input"`
	Decision json.RawMessage `json:"decision"`
}

const (
	// DefaultMaxBytes is the default size limit of the current file. One rotated file of up to the same size is kept.
	DefaultMaxBytes = 16 << 20
	// queueLength limits the number of lines that wait to be written. Lines are dropped while the queue is full, since a
	// slow disk must not delay decisions.
	queueLength = 256
	// rotatedSuffix is appended to the name of the rotated file.
	rotatedSuffix = ".1"
)

// Recorder writes decisions to a file. The methods of a nil Recorder do nothing.
type Recorder struct {
	path     string
	maxBytes int64
	lines    chan []byte
	done     chan struct{}

	mu       sync.Mutex
	sequence uint64
	dropped  uint64
	closed   bool

	// file, buffer, size and firstErr are used by the write goroutine alone; Close reads firstErr after done is closed.
	file     *os.File
	buffer   *bufio.Writer
	size     int64
	firstErr error
}

// Open returns a Recorder that appends to the file at path and rotates it when the next line would exceed
// maxBytes. If path is empty, Open returns a nil Recorder.
func Open(path string, maxBytes int64) (*Recorder, error) {
	if path == "" {
		return nil, nil
	}
	r := &Recorder{path: path, maxBytes: maxBytes, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	if err := r.openFile(); err != nil {
		return nil, err
	}
	go r.write()
	return r, nil
}

// Record queues a decision for writing. It encodes the values before it returns, since the caller may modify them afterwards,
// and never waits for the disk.
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

// Dropped returns the number of decisions that couldn't be recorded.
func (r *Recorder) Dropped() uint64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Close writes the queued lines, closes the file and returns the first file error since Open.
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
	return r.firstErr
}

// write writes the queued lines until Close. After Open, only its goroutine uses the file.
func (r *Recorder) write() {
	defer close(r.done)
	for line := range r.lines {
		r.append(line)
		if len(r.lines) == 0 {
			r.noteError(r.flush())
		}
	}
	r.noteError(errors.Join(r.flush(), r.closeFile()))
}

func (r *Recorder) append(line []byte) {
	if r.size > 0 && r.size+int64(len(line)) > r.maxBytes {
		r.noteError(r.rotate())
	}
	if r.buffer == nil {
		r.countDropped()
		return
	}
	if _, err := r.buffer.Write(line); err != nil {
		r.noteError(err)
		r.countDropped()
		return
	}
	r.size += int64(len(line))
}

func (r *Recorder) countDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped++
}

// noteError keeps the first error. Recording continues where possible, since a file error must not stop the process.
func (r *Recorder) noteError(err error) {
	if r.firstErr == nil {
		r.firstErr = err
	}
}

func (r *Recorder) openFile() error {
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

// rotate renames the current file, which replaces the previously rotated one, and opens a new file.
func (r *Recorder) rotate() error {
	return errors.Join(r.flush(), r.closeFile(), os.Rename(r.path, r.path+rotatedSuffix), r.openFile())
}
