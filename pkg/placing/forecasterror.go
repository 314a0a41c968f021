package placing

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// forecastErrorBuckets are the buckets of the histograms of forecast errors, in seconds. A negative error means that the answer came
// earlier than forecast.
var forecastErrorBuckets = tally.ValueBuckets{-2, -1, -0.5, -0.2, -0.1, -0.05, -0.02, 0, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// forecastErrorRanks is the number of priorities with a histogram of their own. All others share one, which bounds the labels.
const forecastErrorRanks = 8

// forecastErrors holds a histogram for each kind of request: the time until the answer minus the forecast at admission.
type forecastErrors [forecastErrorRanks + 1]tally.Histogram

// refusedWaitBuckets are the buckets of the histogram of the time that refused requests had waited, in seconds.
var refusedWaitBuckets = tally.ValueBuckets{0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// RecordForecastErrors makes the broker record the errors of its forecasts in histograms of the given scope, by the priority of the route,
// and the time that requests had waited which were admitted and refused later.
func (b *Broker) RecordForecastErrors(scope tally.Scope) {
	errors := &forecastErrors{}
	for i := range errors {
		label := strconv.Itoa(i)
		if i == forecastErrorRanks {
			label = "other"
		}
		errors[i] = scope.SubScope("broker").Tagged(map[string]string{"priority": label}).Histogram("forecast_error", forecastErrorBuckets)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forecastErrors = errors
	b.refusedWait = scope.SubScope("broker").Histogram("refused_wait", refusedWaitBuckets)
}

// setForecast stores the forecast at admission, without the margin. It is kept in milliseconds, which the padding of waiter has room for.
func (w *waiter) setForecast(latency time.Duration) {
	w.forecastMs = int32(min(latency, infinite).Seconds() * 1000 / forecastMargin)
}

// forecastLeft returns the part of the forecast that remains when a request is placed, in milliseconds.
func (w *waiter) forecastLeft(now clock.Instant) int32 {
	waited := w.TimeLeft - w.deadline.Sub(now)
	return w.forecastMs - int32(waited.Milliseconds())
}

// recordForecastError records the error of the forecast for a request that was answered.
func (b *Broker) recordForecastError(p permit, result Result, now clock.Instant) {
	if b.forecastErrors == nil || !result.hasAnswer() {
		return
	}
	took := now.Sub(p.start) - time.Duration(p.forecastLeftMs)*time.Millisecond
	b.forecastErrors[min(int(p.rank), forecastErrorRanks)].RecordValue(took.Seconds())
}

// recordRefusedWait records how long a request has waited that is refused now.
func (b *Broker) recordRefusedWait(w *waiter, now clock.Instant) {
	if b.refusedWait != nil {
		b.refusedWait.RecordValue((w.TimeLeft - w.deadline.Sub(now)).Seconds())
	}
}
