package record

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

type operands struct {
	A int `json:"a"`
	B int `json:"b"`
}

func newTestRegistry(offset int) *Registry {
	r := NewRegistry()
	Register(r, "divide", func(_ clock.Clock, in operands) int { return in.A/in.B + offset })
	Register(r, "now", func(c clock.Clock, _ struct{}) clock.Instant { return c.Now() })
	return r
}

func openRecorder(t *testing.T, maxBytes int64) (*Recorder, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "decisions")
	r, err := Open(path, maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	return r, path
}

func replayFile(t *testing.T, path string, r *Registry) Report {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	report, err := Replay(bytes.NewReader(data), r)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// Guards against decisions that are lost or altered between recording and replay, and against a replay that doesn't report
// the different results of a changed decision function.
func TestRecordAndReplay(t *testing.T) {
	r, path := openRecorder(t, DefaultMaxBytes)
	for i := range 10 {
		r.Record("divide", clock.Instant(i), operands{A: i * 6, B: 2}, i*3)
	}
	r.Record("now", 1_234, struct{}{}, clock.Instant(1_234))
	r.Record("other", 0, nil, nil)
	if err := r.Close(); err != nil || r.Dropped() != 0 {
		t.Fatal(err, r.Dropped())
	}
	report := replayFile(t, path, newTestRegistry(0))
	if report.Lines != 12 || report.Equal != 11 || len(report.Differences) != 0 || report.Skipped["other"] != 1 {
		t.Errorf("%+v", report)
	}
	report = replayFile(t, path, newTestRegistry(1))
	if len(report.Differences) != 10 || string(report.Differences[9].Replayed) != "28" || report.Differences[9].Number != 10 {
		t.Errorf("%+v", report)
	}
}

// Guards against files that exceed the size limit, and against a rotation that keeps too little.
func TestRotationLimitsFileSize(t *testing.T) {
	const maxBytes = 2_000
	r, path := openRecorder(t, maxBytes)
	for i := range 100 {
		r.Record("divide", 0, operands{A: i, B: 1}, i)
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	total := int64(0)
	for _, name := range []string{path, path + rotatedSuffix} {
		info, err := os.Stat(name)
		if err != nil || info.Size() > maxBytes {
			t.Errorf("%s: %v, %v", name, info, err)
			continue
		}
		total += info.Size()
	}
	if total < maxBytes {
		t.Errorf("%d bytes kept, want at least maxBytes", total)
	}
	if report := replayFile(t, path, newTestRegistry(0)); report.Equal != report.Lines {
		t.Errorf("%+v", report)
	}
}

// Guards against a replay that stops at an invalid line or at a panic in a decision function.
func TestReplayContinuesAfterInvalidLines(t *testing.T) {
	lines := []string{
		`{"seq": 1, "kind": "divide", "input": {"a": 4, "b": 0}, "decision": 0}`,
		`{"seq": 2, "kind": "divide", "input": {"a": 4, "c": 0}, "decision": 0}`,
		`not JSON`,
		`{"seq": 7, "kind": "divide", "input": {"a": 4, "b": 2}, "decision": 2}`,
		`{"seq": 1, "kind": "divide", "input": {"a": 4, "b": 2}, "decision": 2}`,
	}
	report, err := Replay(strings.NewReader(strings.Join(lines, "\n")), newTestRegistry(0))
	if err != nil || report.Equal != 2 || len(report.Differences) != 3 || report.Gaps != 4 {
		t.Errorf("%+v %v", report, err)
	}
	if text := fmt.Sprint(report.Differences[0].Error); !strings.Contains(text, "panicked") {
		t.Error(text)
	}
}

// Guards against a recorder that blocks or crashes its process when it is disabled or closed, or when it is given values that
// can't be encoded.
func TestRecorderNeverStopsTheProcess(t *testing.T) {
	disabled, err := Open("", 1)
	if err != nil || disabled != nil {
		t.Fatal(disabled, err)
	}
	disabled.Record("divide", 0, nil, nil)
	if disabled.Close() != nil || disabled.Dropped() != 0 {
		t.Error("a nil recorder returned an error or counted drops")
	}
	r, _ := openRecorder(t, DefaultMaxBytes)
	r.Record("divide", 0, func() {}, 0)
	if r.Dropped() != 1 {
		t.Errorf("dropped %d", r.Dropped())
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	r.Record("divide", 0, 1, 1)
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
}
