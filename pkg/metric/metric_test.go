package metric

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// TestRegistry guards against a registry that panics when it is created, against collisions between two registries of one process, and
// against missing metrics.
func TestRegistry(t *testing.T) {
	for range 2 {
		r := NewRegistry("bronzelever")
		scope := r.Scope().SubScope("dispatch")
		scope.Tagged(map[string]string{"cause": "keyed"}).Counter("link_bytes").Inc(3)
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		body := w.Body.String()
		for _, want := range []string{`bronzelever_dispatch_link_bytes{cause="keyed"} 3`, "go_goroutines", "process_resident_memory_bytes"} {
			if !strings.Contains(body, want) {
				t.Errorf("missing %s in\n%s", want, body)
			}
		}
	}
}
