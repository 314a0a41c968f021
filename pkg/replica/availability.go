package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// outageThreshold is the time without a response of the store after which registrations may have expired only because the store was
// unavailable. A registration expires after three heartbeats of 0.87 s, the last of which may precede the outage by one.
const outageThreshold = 1500 * time.Millisecond

// maxSpans bounds the recorded spans. Only the gap before the newest one matters; older ones are kept in case a report of another VM
// closes that gap.
const maxSpans = 8

// Span is a period in which the store answered at least once every outageThreshold.
type Span struct {
	From, To clock.Instant
}

// availability records when the store answered. It tells an outage of the store from a partition that separates only some VMs from it:
// if the VMs' spans together have no gap, the store was available all the time.
type availability struct {
	// spans are ordered by time, with gaps of more than outageThreshold between them.
	spans []Span
}

// note records a span. Spans may arrive in any order.
func (a *availability) note(s Span) {
	i, _ := slices.BinarySearchFunc(a.spans, s, func(x, y Span) int { return cmp.Compare(x.From, y.From) })
	a.spans = slices.Insert(a.spans, i, s)
	merged := a.spans[:1]
	for _, next := range a.spans[1:] {
		last := &merged[len(merged)-1]
		if next.From.Sub(last.To) > outageThreshold {
			merged = append(merged, next)
			continue
		}
		last.To = max(last.To, next.To)
	}
	a.spans = merged[max(0, len(merged)-maxSpans):]
}

// last returns the newest span, and false if there is none.
func (a *availability) last() (Span, bool) {
	if len(a.spans) == 0 {
		return Span{}, false
	}
	return a.spans[len(a.spans)-1], true
}

// afterOutage reports whether the newest outage ended less than the given time ago.
func (a *availability) afterOutage(now clock.Instant, within time.Duration) bool {
	return len(a.spans) > 1 && now < a.spans[len(a.spans)-1].From.Add(within)
}
