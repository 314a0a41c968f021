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

// outcome is what a client can say about its request.
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
	// status is an HTTP status with an error code, or the kind of a transport error.
	status string
	// detail explains a wrong answer.
	detail string
}

// stats collects the results of one class.
type stats struct {
	mu          sync.Mutex
	report      ClassReport
	latencies   *hdrhistogram.Histogram
	start       time.Time
	lastSuccess time.Time
	step        time.Duration
}

func newStats(c *Class, start time.Time, step time.Duration) *stats {
	return &stats{
		report:      ClassReport{Name: c.Name, Kind: c.Kind, Statuses: map[string]int{}},
		latencies:   hdrhistogram.New(1, maxLatency, histogramDigits),
		start:       start,
		lastSuccess: start,
		step:        step,
	}
}

func (s *stats) sent(repeat bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Sent++
	if repeat {
		s.report.Repeats++
	}
}

func (s *stats) dropped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Dropped++
}

func (s *stats) add(r result, intended, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Statuses[r.status]++
	s.addToTimeline(r, now)
	switch r.outcome {
	case answered:
		s.report.Answered++
		s.noteSuccess(now)
		// The value is within the histogram's range, because requests have a time-out.
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
	if s.step <= 0 {
		return
	}
	i := int(now.Sub(s.start) / s.step)
	for len(s.report.Timeline) <= i {
		s.report.Timeline = append(s.report.Timeline, Step{})
	}
	if r.outcome == answered {
		s.report.Timeline[i].Answered++
	} else {
		s.report.Timeline[i].Other++
	}
}

func (s *stats) noteSuccess(now time.Time) {
	s.report.LongestGap = max(s.report.LongestGap, now.Sub(s.lastSuccess))
	if now.After(s.lastSuccess) {
		s.lastSuccess = now
	}
}

// finish computes the summary. sendingEnded is when the last request was sent.
func (s *stats) finish(weight int, sendingEnded time.Time) ClassReport {
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

// addMismatch counts a repeat whose answer differs from the first one.
func (s *stats) addMismatch(id, first, second string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Wrong++
	s.report.Answered--
	if len(s.report.WrongExamples) < maxExamples {
		s.report.WrongExamples = append(s.report.WrongExamples, id+": the repeat was answered differently: "+first+" and "+second)
	}
}
