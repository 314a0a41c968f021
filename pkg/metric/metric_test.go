package metric

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a registry that panics at start, and against two registries in one process that collide.
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
