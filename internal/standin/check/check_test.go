package check

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/bronzelever/bronzelever/internal/standin/target"
	"github.com/bronzelever/bronzelever/pkg/clock"
)

func record(id string, executions ...target.Execution) target.Record {
	return target.Record{
		Summary: target.Summary{Target: id, Slots: 2, ColdSlots: 1, MaxExecuting: 2, MaxOffered: 2, MaxExecutingCold: 1,
			MaxOfferedCold: 1, Executed: uint64(len(executions))},
		Executions: executions,
	}
}

func exec(key, epoch uint64, start, end clock.Instant) target.Execution {
	return target.Execution{KeyHash: key, SliceEpoch: epoch, Start: start, End: end}
}

func order(key string, start, end clock.Instant) target.Execution {
	return target.Execution{OrderKey: key, Start: start, End: end}
}

// Guards against a checker that overlooks a violation or finds one in a lawful history.
func TestHistories(t *testing.T) {
	limits := record("a")
	limits.Summary.MaxExecuting, limits.Summary.MaxExecutingCold = 3, 2
	limits.Summary.Refused.Connections = 1
	offered := record("a")
	offered.Summary.MaxOffered, offered.Summary.MaxOfferedCold = 3, 2
	lost := record("a", exec(1, 1, 0, 1))
	lost.Summary.Executed = 2
	cases := map[string]struct {
		records []target.Record
		want    []Kind
	}{
		"lawful move":                 {[]target.Record{record("a", exec(1, 5, 0, 10), exec(1, 5, 5, 20)), record("b", exec(1, 6, 20, 30))}, nil},
		"back and forth":              {[]target.Record{record("a", exec(1, 5, 0, 10), exec(1, 7, 20, 30)), record("b", exec(1, 6, 10, 20))}, nil},
		"different keys":              {[]target.Record{record("a", exec(1, 5, 0, 10)), record("b", exec(2, 5, 0, 10))}, nil},
		"new epoch, same owner":       {[]target.Record{record("a", exec(1, 5, 0, 10), exec(1, 6, 5, 15), exec(1, 5, 6, 9))}, nil},
		"overlap":                     {[]target.Record{record("a", exec(1, 5, 0, 10)), record("b", exec(1, 6, 9, 12))}, []Kind{Overlap}},
		"overlap of a long execution": {[]target.Record{record("a", exec(1, 5, 0, 50), exec(1, 5, 1, 2)), record("b", exec(1, 6, 9, 12))}, []Kind{Overlap}},
		"overlap without epochs":      {[]target.Record{record("a", exec(1, 0, 0, 10)), record("b", exec(1, 0, 9, 12))}, []Kind{Overlap}},
		"moves without epochs":        {[]target.Record{record("a", exec(1, 0, 0, 10), exec(1, 0, 30, 40)), record("b", exec(1, 0, 10, 12))}, nil},
		"stale": {[]target.Record{record("a", exec(1, 5, 0, 10), exec(1, 5, 30, 40)), record("b", exec(1, 6, 10, 12))},
			[]Kind{Stale}},
		"stale and overlapping": {[]target.Record{record("a", exec(1, 5, 11, 15)), record("b", exec(1, 6, 10, 12))},
			[]Kind{Overlap, Stale}},
		"shared epoch": {[]target.Record{record("a", exec(1, 5, 0, 10)), record("b", exec(1, 5, 10, 12))}, []Kind{SharedEpoch}},
		"repeated order on one target": {[]target.Record{record("a", order("x", 0, 1), order("x", 5, 6), order("y", 2, 3))},
			[]Kind{RepeatedOrder}},
		"repeated order on two targets": {[]target.Record{record("a", order("x", 0, 1)), record("b", order("x", 5, 6))},
			[]Kind{RepeatedOrder}},
		"limits":         {[]target.Record{limits}, []Kind{SlotsExceeded, ColdExceeded, ConnectionsRefused}},
		"offered beyond": {[]target.Record{offered}, []Kind{SlotsExceeded, ColdExceeded}},
		"incomplete":     {[]target.Record{lost}, []Kind{Incomplete}},
	}
	for name, c := range cases {
		result := Records(c.records)
		var got []Kind
		for _, f := range result.Findings {
			got = append(got, f.Kind)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, result.Findings, c.want)
		}
	}
}

// Guards against a collector that loses or doubles executions across polls, ring overflow or a restart.
func TestCollector(t *testing.T) {
	settings := target.Defaults()
	settings.ServiceMillis = 0
	handler := target.New(settings, 8, nil).Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
	defer server.Close()
	collector := NewCollector(server.Client(), server.URL, "http://127.0.0.1:1")
	sent := 0
	poll := func(requests int) {
		t.Helper()
		for range requests {
			response, err := server.Client().Get(fmt.Sprintf("%s/status/k%d", server.URL, sent))
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			sent++
		}
		if failed := collector.Collect(context.Background()); len(failed) != 1 || failed["http://127.0.0.1:1"] == nil {
			t.Errorf("failed targets: %v", failed)
		}
	}
	poll(5)
	poll(0)
	poll(8)
	result := Records(collector.Records())
	if result.Executions != sent || len(result.Findings) != 0 {
		t.Errorf("%d executions of %d, %v", result.Executions, sent, result.Findings)
	}
	handler = target.New(settings, 8, nil).Handler()
	poll(3)
	result = Records(collector.Records())
	if result.Executions != sent || len(result.Findings) != 0 {
		t.Errorf("after the restart: %d executions of %d, %v", result.Executions, sent, result.Findings)
	}
	poll(9)
	if got := Records(collector.Records()).Of(Incomplete); len(got) != 1 {
		t.Errorf("the overflow was not found: %v", got)
	}
}
