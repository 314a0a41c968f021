package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Report holds the results of a run.
type Report struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration_ns"`
	Classes  []ClassReport `json:"classes"`
}

// ClassReport holds the outcomes of one class. Every request that was sent has exactly one outcome.
type ClassReport struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Sent includes repeats.
	Sent    int `json:"sent"`
	Repeats int `json:"repeats"`
	// Answered counts complete responses with a 2xx status that belong to their request.
	Answered int `json:"answered"`
	// RefusedNotRun counts refusals that state that the request was not executed.
	RefusedNotRun int `json:"refused_not_run"`
	// Unknown counts broken exchanges, timeouts and refusals with an unknown outcome.
	Unknown int `json:"unknown"`
	// Failed counts responses with an error status to requests that were executed.
	Failed int `json:"failed"`
	// Unreachable counts requests for which no URL accepted a connection.
	Unreachable int `json:"unreachable"`
	// Wrong counts responses that look complete but belong to another request, are altered or show a second execution.
	Wrong         int      `json:"wrong"`
	WrongExamples []string `json:"wrong_examples,omitempty"`
	// Dropped counts arrivals that were not sent because MaxInFlight requests were in flight.
	Dropped int `json:"dropped"`
	// Statuses counts the results by HTTP status and error code, or by the kind of transport error.
	Statuses map[string]int `json:"statuses"`
	// Latency summarizes the latencies of the Answered requests, measured from the intended send time.
	Latency Latency `json:"latency"`
	// LongestGap is the longest time without an answered request between the start and the end of sending.
	LongestGap time.Duration `json:"longest_gap_ns"`
	// Goodput is the class weight times the number of answered requests per second.
	Goodput  float64 `json:"goodput"`
	Timeline []Step  `json:"timeline,omitempty"`
}

// Latency holds latency percentiles and the maximum.
type Latency struct {
	P50  time.Duration `json:"p50_ns"`
	P99  time.Duration `json:"p99_ns"`
	P999 time.Duration `json:"p999_ns"`
	Max  time.Duration `json:"max_ns"`
}

// Step counts the outcomes that became known in one step of the timeline.
type Step struct {
	Answered int `json:"answered"`
	Other    int `json:"other"`
}

// Wrong returns the number of wrong responses over all classes.
func (r *Report) Wrong() int {
	n := 0
	for i := range r.Classes {
		n += r.Classes[i].Wrong
	}
	return n
}

// Goodput returns the weighted goodput over all classes.
func (r *Report) Goodput() float64 {
	sum := 0.0
	for i := range r.Classes {
		sum += r.Classes[i].Goodput
	}
	return sum
}

// Class returns the report of the named class.
func (r *Report) Class(name string) (*ClassReport, bool) {
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return &r.Classes[i], true
		}
	}
	return nil, false
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\tanswered\tnot run\tunknown\tfailed\tunreachable\twrong\tdropped\tp50\tp99\tp99.9\tmax\tgap\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%v\t%v\t\n", c.Name, c.Sent, c.Answered, c.RefusedNotRun,
			c.Unknown, c.Failed, c.Unreachable, c.Wrong, c.Dropped, c.Latency.P50, c.Latency.P99, c.Latency.P999, c.Latency.Max,
			c.LongestGap.Round(time.Millisecond))
	}
	fmt.Fprintf(t, "seed %d, %v, weighted goodput %.1f/s\t\n", r.Seed, r.Duration.Round(time.Millisecond), r.Goodput())
	for _, c := range r.Classes {
		for _, example := range c.WrongExamples {
			fmt.Fprintf(t, "wrong in %s: %s\t\n", c.Name, example)
		}
	}
	return t.Flush()
}
