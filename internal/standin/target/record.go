package target

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// maxOrders bounds the order keys whose executions are counted.
const maxOrders = 4096

// recordChunk is the number of executions that are copied at once for an answer, so that a long record doesn't double the
// memory in use.
const recordChunk = 256

// Execution is one executed request. 64-bit numbers are strings in JSON, because JSON numbers lose precision beyond
// 53 bits.
type Execution struct {
	Sequence   uint64 `json:"seq,string"`
	RequestID  string `json:"id"`
	KeyHash    uint64 `json:"key_hash,string"`
	GroupEpoch uint64 `json:"group_epoch,string"`
	SliceEpoch uint64 `json:"slice_epoch,string"`
	OrderKey   string `json:"order,omitempty"`
	// Start and End are CLOCK_BOOTTIME in nanoseconds. End of an execution that was aborted at its deadline or by the loss
	// of its grant is at most that instant: it has no effect afterwards.
	Start clock.Instant `json:"start,string"`
	End   clock.Instant `json:"end,string"`
	// Aborted tells why the execution ended early; empty if it completed.
	Aborted string `json:"aborted,omitempty"`
}

// Reasons for aborted executions.
const (
	abortedCancel   = "cancelled"
	abortedDeadline = "deadline"
	abortedFence    = "grant-lost"
)

// Refusals counts requests and connections that were not executed.
type Refusals struct {
	Shed        int `json:"shed"`
	OlderEpoch  int `json:"older_epoch"`
	NoGrant     int `json:"no_grant"`
	Deadline    int `json:"deadline"`
	Connections int `json:"connections"`
}

// Summary is the part of the record that doesn't grow.
type Summary struct {
	Target string `json:"target"`
	// Started identifies the process: its record starts again after a restart.
	Started clock.Instant `json:"started,string"`
	Slots   int           `json:"slots"`
	// ColdSlots is the limit that MaxExecutingCold is to be compared with.
	ColdSlots int `json:"cold_slots"`
	// Executed counts all executions, also those that the record no longer holds.
	Executed uint64 `json:"executed"`
	// First is the sequence number of the oldest execution that the record still holds.
	First        uint64 `json:"first_seq"`
	Executing    int    `json:"executing"`
	MaxExecuting int    `json:"max_executing"`
	// MaxOffered includes requests that waited or were refused by shedding.
	MaxOffered       int      `json:"max_offered"`
	MaxExecutingCold int      `json:"max_executing_cold"`
	MaxOfferedCold   int      `json:"max_offered_cold"`
	Cold             bool     `json:"cold"`
	Connections      int      `json:"connections"`
	MaxConnections   int      `json:"max_connections"`
	Refused          Refusals `json:"refused"`
	// RepeatedOrders counts the executions of orders that ran here more than once.
	RepeatedOrders map[string]int `json:"repeated_orders,omitempty"`
	// LastStart is the start of the newest execution.
	LastStart clock.Instant `json:"last_start,string"`
	Now       clock.Instant `json:"now,string"`
}

// Record is the body of GET /record.
type Record struct {
	Summary    Summary     `json:"summary"`
	Executions []Execution `json:"executions"`
}

// log holds the newest executions in a ring. Sequence numbers start at 1.
type log struct {
	ring []Execution
	next uint64
}

func newLog(limit int) *log {
	return &log{ring: make([]Execution, 0, limit), next: 1}
}

func (l *log) add(e Execution) {
	e.Sequence = l.next
	l.next++
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[(e.Sequence-1)%uint64(cap(l.ring))] = e
}

func (l *log) first() uint64 {
	return l.next - uint64(len(l.ring))
}

// chunk copies up to recordChunk executions from the given sequence number on.
func (l *log) chunk(from uint64) []Execution {
	from = max(from, l.first())
	var out []Execution
	for ; from < l.next && len(out) < recordChunk; from++ {
		out = append(out, l.ring[(from-1)%uint64(cap(l.ring))])
	}
	return out
}

// orders counts executions by order key; the oldest keys are forgotten.
type orders struct {
	runs map[string]int
	age  []string
}

func (o *orders) add(key string) int {
	if o.runs[key] == 0 {
		if len(o.age) == maxOrders {
			delete(o.runs, o.age[0])
			o.age = o.age[1:]
		}
		o.age = append(o.age, key)
	}
	o.runs[key]++
	return o.runs[key]
}

func (o *orders) repeated() map[string]int {
	out := map[string]int{}
	for key, n := range o.runs {
		if n > 1 {
			out[key] = n
		}
	}
	return out
}

// Summary returns the present summary.
func (t *Target) Summary() Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.summary
	s.Target = t.settings.ID
	s.Started = t.started
	s.Slots = t.settings.Slots
	s.ColdSlots = t.settings.ColdSlots
	s.Executed = t.log.next - 1
	s.First = t.log.first()
	s.Executing = len(t.active)
	s.Cold = t.settings.Cold
	s.RepeatedOrders = t.orders.repeated()
	s.Now = t.clock.Now()
	return s
}

func (t *Target) executionsFrom(seq uint64) []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.log.chunk(seq)
}

// getRecord answers GET /record. ?since=n leaves out executions before sequence number n.
func (t *Target) getRecord(w http.ResponseWriter, r *http.Request) {
	var since uint64
	if raw := r.URL.Query().Get("since"); raw != "" {
		n, err := strconv.ParseUint(raw, 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		since = n
	}
	summary := t.Summary()
	w.Header().Set("Content-Type", "application/json")
	head, err := json.Marshal(summary)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// Write errors mean that the client is gone; they show as an incomplete JSON document.
	_, _ = w.Write([]byte(`{"summary":` + string(head) + `,"executions":[`))
	separator := ""
	for {
		chunk := t.executionsFrom(since)
		if len(chunk) == 0 {
			break
		}
		for i := range chunk {
			line, _ := json.Marshal(&chunk[i])
			_, _ = w.Write([]byte(separator))
			_, _ = w.Write(line)
			separator = ",\n"
		}
		since = chunk[len(chunk)-1].Sequence + 1
	}
	_, _ = w.Write([]byte("]}\n"))
}
