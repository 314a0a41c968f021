package metric

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a registry that panics on creation or serves names that Prometheus can't parse.
func TestHandlerServesCounters(t *testing.T) {
	r := NewRegistry("bronzelever_test")
	r.Scope().Counter("some.requests").Inc(3)
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	r.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	if body := recorder.Body.String(); !strings.Contains(body, "bronzelever_test_some_requests 3") {
		t.Errorf("the counter is missing in:\n%s", body)
	}
}
