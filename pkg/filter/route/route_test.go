package route

import (
	"net/http"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/filter/filtertest"
)

// Guards against selecting a route with a shorter prefix, or one whose prefix ends within a path segment.
func TestLongestPrefixIsSelected(t *testing.T) {
	for url, want := range map[string]string{"/orders": "orders", "/orders/": "orders", "/orders/1": "orders", "/orders/south/1": "bound", "/orders/southern": "orders"} {
		x := filtertest.NewExchange(t, "POST", url, nil)
		filtertest.MustPass(t, New(), x)
		if x.Route.Name != want || x.Pool.Name != "orders" {
			t.Errorf("%s: route %s", url, x.Route.Name)
		}
	}
}

// Guards against forwarding requests with an unknown path or a method that the route doesn't allow, and paths that a target
// could resolve to the path of another route.
func TestInvalidPathOrMethodIsRejected(t *testing.T) {
	for url, status := range map[string]int{
		"/":                       http.StatusNotFound,
		"/orderside":              http.StatusNotFound,
		"/plain/../orders/south":  http.StatusBadRequest,
		"/plain/%2e%2e/orders":    http.StatusBadRequest,
		"/plain//x":               http.StatusBadRequest,
		"/orders/%2e/south":       http.StatusBadRequest,
		"//orders/south":          http.StatusBadRequest,
		"/plain/..%2forders":      http.StatusBadRequest,
		"/orders/south/%2e%2e/..": http.StatusBadRequest,
	} {
		x := filtertest.NewExchange(t, "POST", "http://router"+url, nil)
		if p := filtertest.MustRefuse(t, New(), x); p.Status != status {
			t.Errorf("%s: %v", url, p)
		}
	}
	x := filtertest.NewExchange(t, "GET", "/orders", nil)
	if p := filtertest.MustRefuse(t, New(), x); p.Status != http.StatusMethodNotAllowed {
		t.Error(p)
	}
}
