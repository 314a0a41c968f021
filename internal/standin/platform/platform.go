// Package platform is a stand-in for the platform's services: a table service with the DynamoDB HTTP API, an object store
// with the S3 HTTP API and a lagging VM list. Its behaviour under load and faults is set at run time. It is for tests only.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Default rates of the platform.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// maxBodyBytes is the largest request body that is accepted.
const maxBodyBytes = 16 << 20

// Settings bound the services.
type Settings struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// VMListLag is the time after which a change of the VM list becomes visible.
	VMListLag time.Duration
}

// Platform holds the state that all fronts share.
type Platform struct {
	table   *table
	objects *objects
	vms     *vmList
	writes  *rate.Limiter
	reads   *rate.Limiter

	mu     sync.Mutex
	counts Counts
}

// Counts are the operations so far. Throttled and refused operations are not part of Reads and Writes.
type Counts struct {
	Reads           int `json:"reads"`
	Writes          int `json:"writes"`
	WriteConflicts  int `json:"write_conflicts"`
	ObjectReads     int `json:"object_reads"`
	ObjectWrites    int `json:"object_writes"`
	ThrottledReads  int `json:"throttled_reads"`
	ThrottledWrites int `json:"throttled_writes"`
	LostReplies     int `json:"lost_replies"`
	LateWrites      int `json:"late_writes"`
	VMListReads     int `json:"vm_list_reads"`
}

// New returns a platform without data.
func New(s Settings) *Platform {
	if s.WritesPerSecond <= 0 {
		s.WritesPerSecond = DefaultWritesPerSecond
	}
	if s.ReadsPerSecond <= 0 {
		s.ReadsPerSecond = DefaultReadsPerSecond
	}
	return &Platform{
		table:   newTable(),
		objects: newObjects(),
		vms:     &vmList{lag: s.VMListLag},
		writes:  rate.NewLimiter(rate.Limit(s.WritesPerSecond), s.WritesPerSecond),
		reads:   rate.NewLimiter(rate.Limit(s.ReadsPerSecond), s.ReadsPerSecond),
	}
}

// Counts returns the operations so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) count(change func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}

// SetVMs replaces the VM list; the change becomes visible after the list's lag.
func (p *Platform) SetVMs(vms []VM) {
	p.vms.set(vms, time.Now())
}

// Front is one listener's view of the platform. Faults belong to a front, so that callers behind another listener keep
// their access; this stands for a region that is cut off from the store.
type Front struct {
	platform *Platform
	faults   faultState
	mux      *http.ServeMux
}

// NewFront returns a handler that serves all APIs of the platform.
func (p *Platform) NewFront() *Front {
	f := &Front{platform: p, mux: http.NewServeMux()}
	f.mux.HandleFunc("POST /{$}", f.serveTable)
	f.mux.HandleFunc("GET /vms", f.getVMs)
	f.mux.HandleFunc("PUT /vms", f.putVMs)
	f.mux.HandleFunc("PUT /faults", f.putFaults)
	f.mux.HandleFunc("GET /faults", f.getFaults)
	f.mux.HandleFunc("GET /counts", f.getCounts)
	f.mux.HandleFunc("GET /{bucket}/{key...}", f.getObject)
	f.mux.HandleFunc("PUT /{bucket}/{key...}", f.putObject)
	return f
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	f.mux.ServeHTTP(w, r)
}

func (f *Front) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, f.platform.Counts())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client is gone.
	_ = json.NewEncoder(w).Encode(v)
}

// dropConnection closes the connection without an answer.
func dropConnection() {
	panic(http.ErrAbortHandler)
}
