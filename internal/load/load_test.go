package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/internal/standin/target"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

const testSeed = 7

func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

func fastTarget() *target.Target {
	s := target.Defaults()
	s.Slots, s.ServiceMillis = 100, 1
	return target.New(s, 1024, nil)
}

func run(t *testing.T, duration time.Duration, urls []string, classes ...Class) Report {
	t.Helper()
	report, err := Run(context.Background(), Config{URLs: urls, Classes: classes, Duration: duration, Seed: testSeed})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range report.Classes {
		if c.Sent != c.Answered+c.RefusedNotRun+c.Unknown+c.Failed+c.Unreachable+c.Wrong {
			t.Errorf("the outcomes of class %s don't add up to the sent requests: %+v", c.Name, c)
		}
	}
	return report
}

// Guards against wrong results for correct responses, also when one URL refuses connections, and against classes that aren't sent.
func TestCorrectResponses(t *testing.T) {
	backend := fastTarget()
	url := startServer(t, backend.Handler())
	report := run(t, 300*time.Millisecond, []string{url, "http://127.0.0.1:1"},
		Class{Kind: Read, Rate: 300}, Class{Kind: Order, Rate: 100},
		Class{Kind: Upload, Rate: 30, BundleBytes: 100_001}, Class{Kind: Download, Rate: 30, BundleBytes: 100_001})
	for _, c := range report.Classes {
		if c.Answered == 0 || c.Answered != c.Sent {
			t.Errorf("class %+v", c)
		}
		if c.Latency.P50 <= 0 || c.Latency.P50 > c.Latency.P99 || c.Latency.P99 > c.Latency.Max || c.LongestGap <= 0 {
			t.Errorf("class %s: latency %+v, gap %v", c.Name, c.Latency, c.LongestGap)
		}
	}
	if c, ok := report.Class("read"); !ok || c.Sent < 40 || c.Sent > 160 {
		t.Errorf("%d reads sent in 0.3 s at 300/s", c.Sent)
	}
}

// Guards against an order that runs twice, on one target or on two, without being counted as wrong.
func TestRepeatedExecution(t *testing.T) {
	url := startServer(t, fastTarget().Handler())
	report := run(t, 200*time.Millisecond, []string{url}, Class{Kind: Order, Rate: 200, RepeatShare: 1})
	c := report.Classes[0]
	if c.Repeats == 0 || c.Wrong < c.Repeats {
		t.Errorf("a target that executes repeats passed: %+v", c)
	}
	other := fastTarget()
	settings := other.Settings()
	settings.ID = "other"
	other.Change(settings)
	report = run(t, 200*time.Millisecond, []string{url, startServer(t, other.Handler())}, Class{Kind: Order, Rate: 200, RepeatShare: 1})
	if c := report.Classes[0]; c.Repeats == 0 || c.Wrong < c.Repeats {
		t.Errorf("two targets that both execute an order passed: %+v", c)
	}
}

// Guards against accepting responses that belong to another request, are altered or are silently truncated.
func TestWrongResponses(t *testing.T) {
	backend := fastTarget().Handler()
	swapped := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("X-Request-Id", "another")
		backend.ServeHTTP(w, r)
	})
	altered := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 1000))
	})
	truncated := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		backend.ServeHTTP(recorder, r)
		_, _ = w.Write(recorder.Body.Bytes()[:500])
	})
	cases := map[string]struct {
		handler http.Handler
		class   Class
	}{
		"swapped read":       {swapped, Class{Kind: Read, Rate: 100}},
		"swapped order":      {swapped, Class{Kind: Order, Rate: 100}},
		"swapped upload":     {swapped, Class{Kind: Upload, Rate: 100, BundleBytes: 10}},
		"altered download":   {altered, Class{Kind: Download, Rate: 100, BundleBytes: 1000}},
		"truncated download": {truncated, Class{Kind: Download, Rate: 100, BundleBytes: 1000}},
		"no JSON":            {altered, Class{Kind: Read, Rate: 100}},
	}
	for name, c := range cases {
		got := run(t, 100*time.Millisecond, []string{startServer(t, c.handler)}, c.class).Classes[0]
		if got.Sent == 0 || got.Wrong != got.Sent {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// Guards against outcomes that are counted in the wrong field of the report.
func TestOutcomes(t *testing.T) {
	refuse := func(outcome problem.Outcome) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			problem.Write(w, problem.New(503, problem.CodeOverload, outcome, "test"))
		})
	}
	broken := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte(`{"key":`))
	})
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	class := Class{Kind: Read, Rate: 100}
	cases := map[string]struct {
		url   string
		count func(ClassReport) int
	}{
		"not run":     {startServer(t, refuse(problem.NotRun)), func(c ClassReport) int { return c.RefusedNotRun }},
		"unknown":     {startServer(t, refuse(problem.Unknown)), func(c ClassReport) int { return c.Unknown }},
		"ran":         {startServer(t, refuse(problem.Ran)), func(c ClassReport) int { return c.Failed }},
		"broken body": {startServer(t, broken), func(c ClassReport) int { return c.Unknown }},
		"aborted":     {startServer(t, abort), func(c ClassReport) int { return c.Unknown }},
		"no listener": {"http://127.0.0.1:1", func(c ClassReport) int { return c.Unreachable }},
	}
	for name, c := range cases {
		got := run(t, 100*time.Millisecond, []string{c.url}, class).Classes[0]
		if got.Sent == 0 || c.count(got) != got.Sent {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// Guards against a longest gap that leaves out the time after the last answered request.
func TestGapAndTimeline(t *testing.T) {
	backend := fastTarget()
	handler := backend.Handler()
	start := time.Now()
	url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if time.Since(start) > 200*time.Millisecond {
			problem.Write(w, problem.New(503, problem.CodeNoOwner, problem.NotRun, "test"))
			return
		}
		handler.ServeHTTP(w, r)
	}))
	report, err := Run(context.Background(), Config{URLs: []string{url}, Classes: []Class{{Kind: Read, Rate: 200}},
		Duration: 600 * time.Millisecond, Seed: testSeed, TimelineStep: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	c := report.Classes[0]
	if c.LongestGap < 300*time.Millisecond || c.LongestGap > 600*time.Millisecond {
		t.Errorf("gap %v, want about 400 ms", c.LongestGap)
	}
	if len(c.Timeline) < 5 || c.Timeline[0].Answered == 0 || c.Timeline[4].Answered != 0 || c.Timeline[4].Other == 0 {
		t.Errorf("timeline %+v", c.Timeline)
	}
	var text strings.Builder
	if err := report.WriteText(&text); err != nil || !strings.Contains(text.String(), "read") {
		t.Errorf("text %q, %v", text.String(), err)
	}
	if _, err := json.Marshal(report); err != nil {
		t.Error(err)
	}
}

// Guards against an invalid configuration that is accepted and only shows as an empty report.
func TestConfigErrors(t *testing.T) {
	invalid := []Config{
		{},
		{URLs: []string{"http://127.0.0.1:1"}},
		{URLs: []string{"http://127.0.0.1:1"}, Classes: []Class{{Kind: "other", Rate: 1}}},
		{URLs: []string{"http://127.0.0.1:1"}, Classes: []Class{{Kind: Read}}},
		{URLs: []string{"http://127.0.0.1:1"}, Classes: []Class{{Kind: Read, Rate: 1, Zipf: 0.9}}},
	}
	for i, c := range invalid {
		if _, err := Run(context.Background(), c); err == nil {
			t.Errorf("configuration %d was accepted", i)
		}
	}
}
