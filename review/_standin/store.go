package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the settings of the sites name them.
const (
	rowBytes     = 65536
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
	maxListRows  = 500
	txTime       = 5 * time.Millisecond
	answerTime   = 4 * time.Millisecond
	historyTime  = 20 * time.Second
)

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

type change struct {
	row row
	at  time.Time
}

// store is a stand-in of the platform's store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	ver     uint64
	history []change
	started time.Time
	// refused counts the transactions that were refused because a value was larger than a row may be.
	refused int
	// onTx, if set, is called with each transaction that takes effect, with the store locked.
	onTx func(puts []row)
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, started: time.Now()}
}

// set writes or, with a nil value, removes a row of the operator or of a target. It returns when the store has acknowledged it.
func (s *store) set(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	r := row{Table: table, Key: key, Ver: s.ver}
	if value == nil {
		delete(s.rows, rowKey{table, "", key})
		r.Tombstone = true
	} else {
		text, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		r.Value = text
		s.rows[rowKey{table, "", key}] = r
	}
	s.note(r)
}

func (s *store) note(r row) {
	now := time.Now()
	s.history = append(s.history, change{r, now})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.history = s.history[1:]
	}
}

// size returns the size of the value of a row of the system's own.
func (s *store) size(table, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range s.rows {
		if k.table == table && k.key == key {
			return len(r.Value)
		}
	}
	return 0
}

// value returns the value of a row of the system's own.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range s.rows {
		if k.table == table && k.key == key {
			return r.Value
		}
	}
	return nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	case "/-/rows-tx":
		s.tx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxListRows {
		limit = maxListRows
	}
	s.mu.Lock()
	list := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			list = append(list, v)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	truncated, size := false, 0
	for i := range list {
		size += len(list[i].Value)
		if i == limit || size > 1<<20 {
			list, truncated = list[:i], true
			break
		}
	}
	s.write(w, http.StatusOK, map[string]any{"rows": list, "truncated": truncated, "ver": ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	s.mu.Lock()
	if len(s.history) > 0 && s.history[0].row.Ver > after+1 && after < s.ver {
		s.mu.Unlock()
		s.write(w, http.StatusGone, map[string]any{})
		return
	}
	list := []row{}
	for _, c := range s.history {
		if c.row.Ver > after && c.row.Table == q.Get("table") && c.row.Part == q.Get("part") {
			list = append(list, c.row)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	s.write(w, http.StatusOK, map[string]any{"rows": list, "ver": ver})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expected_rev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxTxBytes)).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, p := range append(append([]row{}, t.Puts...), t.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		total += len(p.Value)
		if len(p.Value) > rowBytes {
			s.refused++
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
	}
	if len(t.Expected)+len(t.Puts)+len(t.Remove) > maxTxEntries || total > maxTxBytes {
		s.refused++
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	current, conflict := []row{}, false
	for _, e := range t.Expected {
		have := s.rows[rowKey{e.Table, e.Part, e.Key}]
		conflict = conflict || have.Ver != e.Ver
		if have.Ver != 0 {
			current = append(current, have)
		}
	}
	if conflict {
		s.writeLocked(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver})
		return
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver = s.ver
		s.rows[rowKey{p.Table, p.Part, p.Key}] = p
		s.note(p)
	}
	for _, p := range t.Remove {
		delete(s.rows, rowKey{p.Table, p.Part, p.Key})
		s.note(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Tombstone: true})
	}
	if s.onTx != nil {
		s.onTx(t.Puts)
	}
	s.writeLocked(w, http.StatusOK, map[string]any{"ver": s.ver})
}

func (s *store) write(w http.ResponseWriter, status int, body map[string]any) {
	s.writeLocked(w, status, body)
}

func (s *store) writeLocked(w http.ResponseWriter, status int, body map[string]any) {
	body["now_s"] = time.Since(s.started).Seconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
