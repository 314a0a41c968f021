// Package admin serves liveness, readiness, metrics and the state dump of a process.
package admin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
)

// Source provides the state of the process for the admin endpoints.
type Source interface {
	// Ready returns nil if the process can receive traffic, or an error with the reason why it can't.
	Ready() error
	// Dump returns the state of the process as a value that can be encoded as JSON. It contains nothing derived from the
	// content of requests that are bound to home regions.
	Dump() any
}

// NewHandler returns the handler for /livez, /readyz, /metrics, /dump and the Go runtime profiles under /debug/pprof/.
func NewHandler(source Source, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		serveReady(w, source)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		serveDump(w, source)
	})
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func serveReady(w http.ResponseWriter, source Source) {
	if err := source.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func serveDump(w http.ResponseWriter, source Source) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A write error means that the client has disconnected.
	_ = encoder.Encode(source.Dump())
}
