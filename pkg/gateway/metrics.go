package gateway

import "github.com/uber-go/tally/v4"

// metrics carry no label that derives from a request.
type metrics struct {
	requests        tally.Counter
	refusedEstimate tally.Counter
	refusedFull     tally.Counter
	unknown         tally.Counter
	probes          tally.Counter
	grants          tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		requests:        scope.Counter("gateway_requests"),
		refusedEstimate: scope.Counter("gateway_refused_by_estimate"),
		refusedFull:     scope.Counter("gateway_refused_queue_full"),
		unknown:         scope.Counter("gateway_outcomes_unknown"),
		probes:          scope.Counter("gateway_health_probes"),
		grants:          scope.Counter("gateway_grants_sent"),
	}
}
