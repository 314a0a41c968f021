package bench

import (
	"context"
	"errors"
	"io"
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/config"
)

// Guards against a default run that may take longer than 8 minutes.
func TestDefaultRunIsBounded(t *testing.T) {
	var sum time.Duration
	for _, m := range measurements {
		if m.limit <= 0 {
			t.Errorf("%s has no limit", m.name)
		}
		if !m.onRequest {
			sum += m.limit
		}
	}
	if sum > 8*time.Minute {
		t.Errorf("the limits add up to %v", sum)
	}
}

// Guards against configurations that the controllers refuse, and against addresses outside the network of the benchmarks.
func TestConfigurationsAreValid(t *testing.T) {
	r := &runner{Options: Options{Examples: filepath.Join("..", "..", "examples")}}
	present, err := r.presentConfig()
	if err != nil {
		t.Fatal(err)
	}
	for name, cfg := range map[string]*config.Config{
		"latency":  latencyConfig(),
		"body":     bodyConfig(),
		"slow":     slowConfig(),
		"overload": overloadConfig(),
		"slopes":   slopeConfig(4, 512),
		"present":  present,
	} {
		if err := cfg.Validate().Err(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		for _, p := range cfg.Pools {
			for _, target := range p.Targets {
				if !strings.HasPrefix(target.Address, network+".") {
					t.Errorf("%s: address %s", name, target.Address)
				}
			}
		}
	}
}

// Guards against a wrong column of /proc/PID/stat where the name of the command has spaces and brackets.
func TestParseCPU(t *testing.T) {
	got, err := parseCPU("7 (a ) b) S 1 7 7 0 -1 4194304 100 0 0 0 12 30 0 0 20 0 9 0 100 1 1")
	if err != nil || got != 42*clockTick {
		t.Errorf("got %v, %v", got, err)
	}
	if _, err := parseCPU("7 (a) S 1"); err == nil {
		t.Error("a short line is accepted")
	}
}

// Guards against wrong slopes.
func TestFit(t *testing.T) {
	l := fit([]float64{1, 2, 4}, []float64{5, 7, 11})
	if math.Abs(l.base-3) > 1e-9 || math.Abs(l.slope-2) > 1e-9 {
		t.Errorf("got %+v", l)
	}
}

// Guards against a measurement that reports the latencies of a phase in which many requests failed.
func TestFailuresVoidASample(t *testing.T) {
	send := func(n int) error {
		if n%20 == 0 {
			return errors.New("refused")
		}
		return nil
	}
	if _, err := sendAtRate(context.Background(), 1000, 100*time.Millisecond, send); err == nil {
		t.Error("5% of failed requests are accepted")
	}
	s, err := sendAtRate(context.Background(), 1000, 100*time.Millisecond, func(int) error { return nil })
	if err != nil || len(s) != 100 {
		t.Errorf("%d latencies, %v", len(s), err)
	}
}

// Guards against a missed bound that isn't counted.
func TestReportCountsMisses(t *testing.T) {
	r := &report{out: io.Discard}
	r.atMost("a", 1, 1, "")
	r.atLeast("b", 1, 1, "")
	r.atMost("c", 2, 1, "")
	r.atLeast("d", 0, 1, "")
	if r.failed != 2 {
		t.Errorf("%d misses", r.failed)
	}
}

// Guards against picks that are never given back, which would make every target look loaded.
func TestLeastOutstanding(t *testing.T) {
	pick := leastOutstanding()
	seen := map[int]bool{}
	var done []func()
	for range slowTargets {
		target, end := pick()
		seen[target] = true
		done = append(done, end)
	}
	if len(seen) != slowTargets {
		t.Errorf("%d targets for %d requests at once", len(seen), slowTargets)
	}
	done[0]()
	if _, end := pick(); end == nil {
		t.Error("no end")
	}
}

// Guards against an unknown name that silently measures nothing.
func TestUnknownName(t *testing.T) {
	err := Run(context.Background(), Options{LogDir: t.TempDir(), Out: io.Discard, Names: []string{"latencies"}})
	if err == nil || !strings.Contains(err.Error(), "latency") {
		t.Errorf("got %v", err)
	}
}
