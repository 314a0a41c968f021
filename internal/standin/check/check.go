// Package check finds violations of exclusive ownership, of at-most-once execution and of limits in the records of several
// stand-in targets. All targets have to run on one machine, because their instants are compared.
package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/bronzelever/bronzelever/internal/standin/target"
)

// Kind is the kind of a finding.
type Kind string

const (
	// Overlap means that two targets executed requests for one key at the same time.
	Overlap Kind = "overlap"
	// Stale means that a request ran under an older slice epoch after one for the same key had started on another target
	// under a newer epoch.
	Stale Kind = "stale"
	// SharedEpoch means that two targets executed requests for one key under the same slice epoch.
	SharedEpoch Kind = "shared-epoch"
	// RepeatedOrder means that an order ran more than once.
	RepeatedOrder Kind = "repeated-order"
	// SlotsExceeded means that a target executed more requests at once than it has slots.
	SlotsExceeded Kind = "slots-exceeded"
	// ColdExceeded means that a cold target executed more than it bears.
	ColdExceeded Kind = "cold-exceeded"
	// ConnectionsRefused means that a target was offered more connections than it accepts.
	ConnectionsRefused Kind = "connections-refused"
	// Incomplete means that a record no longer holds all executions, so that the check may have missed something.
	Incomplete Kind = "incomplete"
)

// Finding is one violation.
type Finding struct {
	Kind   Kind
	Detail string
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	return string(f.Kind) + ": " + f.Detail
}

// Result holds the findings and what they are based on. A test should require that Executions isn't 0.
type Result struct {
	Findings   []Finding
	Executions int
	Keys       int
	Orders     int
	// Moves counts pairs of successive executions of a key on different targets.
	Moves int
}

// Of returns the findings of a kind.
func (r Result) Of(kind Kind) []Finding {
	var out []Finding
	for _, f := range r.Findings {
		if f.Kind == kind {
			out = append(out, f)
		}
	}
	return out
}

func (r *Result) add(kind Kind, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{Kind: kind, Detail: fmt.Sprintf(format, args...)})
}

// run is an execution with its target.
type run struct {
	target string
	target.Execution
}

func (r *run) String() string {
	return fmt.Sprintf("%s (request %s, slice epoch %d, %d to %d)", r.target, r.RequestID, r.SliceEpoch, r.Start, r.End)
}

// Records checks the records of the targets of one pool.
func Records(records []target.Record) Result {
	var result Result
	byKey := map[uint64][]run{}
	byOrder := map[string][]run{}
	for i := range records {
		record := &records[i]
		checkLimits(&result, record)
		for _, e := range record.Executions {
			result.Executions++
			r := run{target: record.Summary.Target, Execution: e}
			if e.KeyHash != 0 {
				byKey[e.KeyHash] = append(byKey[e.KeyHash], r)
			}
			if e.OrderKey != "" {
				byOrder[e.OrderKey] = append(byOrder[e.OrderKey], r)
			}
		}
	}
	result.Keys = len(byKey)
	result.Orders = len(byOrder)
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		checkKey(&result, key, byKey[key])
	}
	for _, order := range slices.Sorted(maps.Keys(byOrder)) {
		checkOrder(&result, order, byOrder[order])
	}
	return result
}

func checkLimits(result *Result, record *target.Record) {
	s := &record.Summary
	if s.MaxExecuting > s.Slots {
		result.add(SlotsExceeded, "%s executed %d requests at once with %d slots", s.Target, s.MaxExecuting, s.Slots)
	}
	if s.MaxExecutingCold > s.ColdSlots {
		result.add(ColdExceeded, "%s executed %d requests at once while cold, it bears %d", s.Target, s.MaxExecutingCold, s.ColdSlots)
	}
	if s.MaxOffered > s.Slots {
		result.add(SlotsExceeded, "%s was offered %d requests at once with %d slots", s.Target, s.MaxOffered, s.Slots)
	}
	if s.MaxOfferedCold > s.ColdSlots {
		result.add(ColdExceeded, "%s was offered %d requests at once while cold, it bears %d", s.Target, s.MaxOfferedCold, s.ColdSlots)
	}
	if s.Refused.Connections > 0 {
		result.add(ConnectionsRefused, "%s refused %d connections", s.Target, s.Refused.Connections)
	}
	if uint64(len(record.Executions)) != s.Executed {
		result.add(Incomplete, "%s executed %d requests, the record holds %d", s.Target, s.Executed, len(record.Executions))
	}
}

// owner is what a target did with one key so far.
type owner struct {
	// latest is the execution that ended last, newest the one with the highest epoch.
	latest run
	newest run
}

// checkKey goes through the executions of one key by their start. For each it looks at what other targets have already
// started.
func checkKey(result *Result, key uint64, runs []run) {
	slices.SortStableFunc(runs, func(a, b run) int { return cmp.Compare(a.Start, b.Start) })
	owners := map[string]*owner{}
	previous := ""
	for _, r := range runs {
		if previous != "" && previous != r.target {
			result.Moves++
		}
		previous = r.target
		for _, name := range slices.Sorted(maps.Keys(owners)) {
			if name != r.target {
				comparePair(result, key, owners[name], r)
			}
		}
		note(owners, r)
	}
}

func comparePair(result *Result, key uint64, other *owner, r run) {
	if other.latest.End > r.Start {
		result.add(Overlap, "key %d: %v began before the end of %v", key, &r, &other.latest)
	}
	switch {
	case r.SliceEpoch < other.newest.SliceEpoch:
		result.add(Stale, "key %d: %v began after %v", key, &r, &other.newest)
	case r.SliceEpoch == other.newest.SliceEpoch && r.SliceEpoch != 0:
		result.add(SharedEpoch, "key %d: %v and %v", key, &r, &other.newest)
	}
}

func note(owners map[string]*owner, r run) {
	o, ok := owners[r.target]
	if !ok {
		owners[r.target] = &owner{latest: r, newest: r}
		return
	}
	if r.End > o.latest.End {
		o.latest = r
	}
	if r.SliceEpoch > o.newest.SliceEpoch {
		o.newest = r
	}
}

// checkOrder counts executions. An aborted execution counts, because it may have had an effect.
func checkOrder(result *Result, order string, runs []run) {
	if len(runs) < 2 {
		return
	}
	result.add(RepeatedOrder, "order %s ran %d times: %v and %v", order, len(runs), &runs[0], &runs[1])
}
