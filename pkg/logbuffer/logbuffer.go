// Package logbuffer provides an asynchronous writer for log lines that never blocks its callers. Lines beyond its rate limit or its buffer
// are dropped and counted.
package logbuffer

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the lines that are buffered for the output.
	maxPendingBytes = 256 << 10
	// linesPerSecond is the rate limit. A burst may have as many lines as burstSeconds allow.
	linesPerSecond = 60
	burstSeconds   = 5
	// flushInterval is the pause between two writes to the output. Lines are batched meanwhile, since each write costs a system call.
	flushInterval = 200 * time.Millisecond
)

// Writer is an asynchronous io.Writer with a bounded buffer and a rate limit. Each call of Write must pass a whole line.
type Writer struct {
	out        io.Writer
	now        func() time.Time
	mu         sync.Mutex
	pending    bytes.Buffer
	dropped    int
	tokens     float64
	refilledAt time.Time
	closed     bool
	wake       chan struct{}
	done       chan struct{}
}

// New returns a writer that writes lines to out. now returns the current time for the rate limit.
func New(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{out: out, now: now, tokens: linesPerSecond * burstSeconds, refilledAt: now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.flushLoop()
	return w
}

// Write implements io.Writer. It never blocks on the output and never returns an error, also for a dropped line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	now := w.now()
	w.tokens = min(linesPerSecond*burstSeconds, w.tokens+linesPerSecond*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
	if w.tokens < 1 || w.pending.Len()+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	w.tokens--
	w.pending.Write(line)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *Writer) flushLoop() {
	defer close(w.done)
	for range w.wake {
		w.flush()
		time.Sleep(flushInterval)
	}
	w.flush()
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	if w.dropped > 0 {
		lines = fmt.Appendf(lines, "level=warn event=816 msg=\"log lines dropped\" count=%d\n", w.dropped)
		w.dropped = 0
	}
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	// A failing output must not end the process, and there is no other output to report the error to.
	_, _ = w.out.Write(lines)
}

// Close waits until the buffered lines are written, but at most for the given timeout. Lines that are written later are discarded.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	close(w.wake)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
