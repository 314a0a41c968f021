package interregion

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/metric"
)

// Guards against metrics with other names than docs/OPERATIONS.md states, and against bytes that are added twice.
func TestMetricsShowTheCounts(t *testing.T) {
	registry := metric.NewRegistry("bronzelever")
	var c Counter
	m := NewMetrics(registry.Scope(), &c)
	for range 2 {
		c.AddSent(Placement, 3)
		c.AddReceived(Store, 5)
		m.Record()
		m.Record()
	}
	if err := registry.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	registry.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`bronzelever_inter_region_bytes{direction="sent",kind="placement"} 6`, `bronzelever_inter_region_bytes{direction="received",kind="store"} 10`,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("missing %s", want)
		}
	}
}
