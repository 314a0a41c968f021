// Package metric provides tally metrics in the Prometheus text format.
package metric

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Registry owns the root scope of a process.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	reporter promreporter.Reporter
}

// NewRegistry returns a registry whose metrics start with the given prefix. Each registry is independent of all others.
func NewRegistry(prefix string) *Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		CachedReporter:  reporter,
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts,
		// tally's gauges of its own cardinality have names that Prometheus doesn't allow.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the root scope.
func (r *Registry) Scope() tally.Scope {
	return r.scope
}

// Handler serves the metrics.
func (r *Registry) Handler() http.Handler {
	return r.reporter.HTTPHandler()
}

// Close stops reporting.
func (r *Registry) Close() error {
	return r.closer.Close()
}
