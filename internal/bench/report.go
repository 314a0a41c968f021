package bench

import (
	"fmt"
	"io"
)

// report prints figures with their bounds as they become known.
type report struct {
	out    io.Writer
	failed int
}

func (r *report) title(text string) {
	_, _ = fmt.Fprintf(r.out, "\n%s\n", text)
}

// note prints a figure without a bound.
func (r *report) note(name, format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "      %-62s %s\n", name, fmt.Sprintf(format, args...))
}

// atMost prints a figure that should not exceed its bound.
func (r *report) atMost(name string, value, bound float64, unit string) {
	r.bounded(name, value, bound, unit, "at most", value <= bound)
}

// atLeast prints a figure that should reach its bound.
func (r *report) atLeast(name string, value, bound float64, unit string) {
	r.bounded(name, value, bound, unit, "at least", value >= bound)
}

func (r *report) bounded(name string, value, bound float64, unit, relation string, ok bool) {
	verdict := "ok"
	if !ok {
		verdict = "MISS"
		r.failed++
	}
	_, _ = fmt.Fprintf(r.out, "%-4s  %-62s %.4g %s (%s %g)\n", verdict, name, value, unit, relation, bound)
}
