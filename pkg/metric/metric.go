// Package metric collects metrics with tally and serves them in the Prometheus text format.
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

// reportInterval is how often tally passes its values on to the Prometheus registry.
const reportInterval = time.Second

// Registry holds the root scope of a process's metrics and serves the values.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	reporter promreporter.Reporter
}

// NewRegistry returns a registry for metrics whose names start with the given prefix. It also exports the metrics of the Go runtime and the
// process. Registries are independent of each other.
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
		// The names of tally's internal cardinality gauges aren't valid in Prometheus.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the root scope, from which all metrics are created.
func (r *Registry) Scope() tally.Scope {
	return r.scope
}

// Handler returns an HTTP handler that serves the metrics.
func (r *Registry) Handler() http.Handler {
	return r.reporter.HTTPHandler()
}

// Close reports the last values and stops reporting.
func (r *Registry) Close() error {
	return r.closer.Close()
}
