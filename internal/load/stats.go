package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest latency that the histogram holds, in microseconds.
	maxLatency      = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	maxExamples     = 10
)

// outcome is what a client knows about the execution of its request.
type outcome int

const (
	answered outcome = iota
	refusedNotRun
	unknown
	failed
	unreachable
	wrong
)

// result is the outcome of one request.
type result struct {
	outcome outcome
	// status is the HTTP status with the error code, if there is one, or the kind of transport error.
	status string
	// detail describes what is wrong with a response.
	detail string
}

// stats collects the results of one class.
type stats struct {
	mu           sync.Mutex
	report       ClassReport
	latencies    *hdrhistogram.Histogram
	start        time.Time
	lastSuccess  time.Time
	timelineStep time.Duration
}

func newStats(c *Class, start time.Time, step time.Duration) *stats {
	return &stats{
		report:       ClassReport{Name: c.Name, Kind: c.Kind, Statuses: map[string]int{}},
		latencies:    hdrhistogram.New(1, maxLatency, histogramDigits),
		start:        start,
		lastSuccess:  start,
		timelineStep: step,
	}
}

func (s *stats) recordSent(repeat bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Sent++
	if repeat {
		s.report.Repeats++
	}
}

func (s *stats) recordDropped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Dropped++
}

func (s *stats) recordResult(r result, intended, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Statuses[r.status]++
	s.addToTimeline(r, now)
	switch r.outcome {
	case answered:
		s.report.Answered++
		s.recordSuccess(now)
		// The value is within the histogram's range: requests have a timeout, and longer latencies are capped.
		_ = s.latencies.RecordValue(min(now.Sub(intended).Microseconds(), maxLatency))
	case refusedNotRun:
		s.report.RefusedNotRun++
	case unknown:
		s.report.Unknown++
	case failed:
		s.report.Failed++
	case unreachable:
		s.report.Unreachable++
	case wrong:
		s.report.Wrong++
		if len(s.report.WrongExamples) < maxExamples {
			s.report.WrongExamples = append(s.report.WrongExamples, r.detail)
		}
	}
}

func (s *stats) addToTimeline(r result, now time.Time) {
	if s.timelineStep <= 0 {
		return
	}
	i := int(now.Sub(s.start) / s.timelineStep)
	for len(s.report.Timeline) <= i {
		s.report.Timeline = append(s.report.Timeline, Step{})
	}
	if r.outcome == answered {
		s.report.Timeline[i].Answered++
	} else {
		s.report.Timeline[i].Other++
	}
}

func (s *stats) recordSuccess(now time.Time) {
	s.report.LongestGap = max(s.report.LongestGap, now.Sub(s.lastSuccess))
	if now.After(s.lastSuccess) {
		s.lastSuccess = now
	}
}

// summarize computes the report of the class. sendingEnded is the time at which the sending of requests ended.
func (s *stats) summarize(weight int, sendingEnded time.Time) ClassReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	r.LongestGap = max(r.LongestGap, sendingEnded.Sub(s.lastSuccess))
	r.Latency = Latency{
		P50:  micros(s.latencies.ValueAtPercentile(50)),
		P99:  micros(s.latencies.ValueAtPercentile(99)),
		P999: micros(s.latencies.ValueAtPercentile(99.9)),
		Max:  micros(s.latencies.Max()),
	}
	r.Goodput = float64(weight) * float64(r.Answered) / sendingEnded.Sub(s.start).Seconds()
	return r
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// recordMismatch counts a repeat whose response differs from the first one as wrong instead of answered.
func (s *stats) recordMismatch(id, first, second string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Wrong++
	s.report.Answered--
	if len(s.report.WrongExamples) < maxExamples {
		s.report.WrongExamples = append(s.report.WrongExamples, id+": the repeat got a different response: "+first+" and "+second)
	}
}
