package placing

import (
	"testing"

	"github.com/uber-go/tally/v4"
)

// judgeRefusals returns the share of the urgent requests whose first refusal was wrong: an idle slot of the owner could have answered them
// by their deadline.
func judgeRefusals(r *replay) float64 {
	wrong := 0
	for _, f := range r.refusals {
		t := r.targets[f.owner]
		work := 2*replayHop + replayWork(f.replayRequest, t)
		if f.kind == r.kinds[0] && t.idleFor(work, f.at, f.replayRequest.at.Add(f.kind.deadline)) {
			wrong++
		}
	}
	return float64(wrong) / float64(r.kinds[0].sent)
}

// errorShares returns the number of answers in the histogram of a priority, and the share of those with an error of up to 0.5 s.
func errorShares(scope tally.TestScope, priority string) (int64, float64) {
	var all, close int64
	for bucket, count := range scope.Snapshot().Histograms()["broker.forecast_error+priority="+priority].Values() {
		all += count
		if bucket > -0.5 && bucket <= 0.5 {
			close += count
		}
	}
	return all, float64(close) / float64(max(1, all))
}

// Guards against urgent requests that are refused although an idle slot could have answered them, and against forecasts that are far off.
// The bound for wrong refusals is that of TestShortRequestsAreForecastByTheirOwnWork.
func TestRefusalsAreRight(t *testing.T) {
	for name, specOf := range map[string]func(uint64) replaySpec{"ledger": ledgerSpec, "finder": finderSpec} {
		scope := tally.NewTestScope("", nil)
		spec := specOf(1)
		spec.configure = func(b *Broker) { b.RecordForecastErrors(scope) }
		r := newReplay(spec)
		r.play()
		wrong := judgeRefusals(r)
		spec = specOf(1)
		spec.single = true
		single := newReplay(spec)
		single.play()
		urgent, near := errorShares(scope, "0")
		long, longNear := errorShares(scope, "2")
		t.Logf("%s: %.3f of the urgent requests are refused wrongly, %.3f with one service time; errors up to 0.5 s: %.3f of %d urgent, %.3f of %d long",
			name, wrong, judgeRefusals(single), near, urgent, longNear, long)
		if wrong > 0.02 || near < 0.95 {
			t.Errorf("%s: %.3f of the urgent requests are refused wrongly, %.3f of the forecasts are near", name, wrong, near)
		}
		if others, _ := errorShares(scope, "1"); others > 0 || urgent == 0 || long == 0 {
			t.Errorf("%s: histograms of %d urgent, %d other and %d long answers", name, urgent, others, long)
		}
	}
}
