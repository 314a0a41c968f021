package logbuffer

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalledOutput is an output that blocks until release is closed.
type stalledOutput struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

// TestStalledOutputDoesNotBlock guards against requests that wait for the log when its output stalls, and against lines that are dropped
// without being counted.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	out := &stalledOutput{release: make(chan struct{})}
	now := time.Unix(0, 0)
	w := New(out, func() time.Time { return now })
	done := make(chan struct{})
	go func() {
		for i := range 10000 {
			if n, err := fmt.Fprintf(w, "line %d\n", i); n == 0 || err != nil {
				t.Errorf("%d, %v", n, err)
			}
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks")
	}
	close(out.release)
	w.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.String()
	if lines := strings.Count(text, "line "); lines != linesPerSecond*burstSeconds {
		t.Errorf("%d lines were written", lines)
	}
	dropped := 0
	for _, line := range strings.Split(text, "\n") {
		var n int
		if _, count, ok := strings.Cut(line, "count="); ok {
			if _, err := fmt.Sscan(count, &n); err != nil {
				t.Error(err)
			}
			dropped += n
		}
	}
	if dropped != 10000-linesPerSecond*burstSeconds {
		t.Errorf("%d lines are reported as dropped", dropped)
	}
}
