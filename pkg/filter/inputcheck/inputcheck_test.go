package inputcheck

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/filter/filtertest"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

func keyedExchange(t *testing.T, url string, source config.KeySource) *filter.Exchange {
	x := filtertest.Route(filtertest.NewExchange(t, "GET", url, nil), "keyed")
	route := *x.Route
	route.Key = source
	x.Route = &route
	return x
}

// Guards against reading the key from the wrong part of the request, and against not unescaping it.
func TestKeySources(t *testing.T) {
	header := config.KeySource{Place: config.KeyInHeader, Name: "X-Key"}
	query := config.KeySource{Place: config.KeyInQuery, Name: "id"}
	path := config.KeySource{Place: config.KeyInPath, Segment: 1}
	for url, source := range map[string]config.KeySource{"/keyed": header, "/keyed?id=a%2Fb&x=1": query, "/keyed/a%2Fb/c": path} {
		x := keyedExchange(t, url, source)
		x.Request.Header.Set("X-Key", "a/b")
		filtertest.MustPass(t, New(), x)
		if x.Key != "a/b" || x.Body == nil {
			t.Errorf("%s: key %q", url, x.Key)
		}
	}
}

// Guards against accepting a request to a keyed pool whose key is missing, ambiguous, malformed or too long.
func TestInvalidKeyIsRejected(t *testing.T) {
	query := config.KeySource{Place: config.KeyInQuery, Name: "id"}
	for url, code := range map[string]problem.Code{
		"/keyed":           problem.CodeNoKey,
		"/keyed?id=":       problem.CodeNoKey,
		"/keyed?id=a&id=b": problem.CodeBadRequest,
		"/keyed?id=%zz":    problem.CodeBadRequest,
		"/keyed?id=" + strings.Repeat("x", maxKeyBytes+1): problem.CodeBadRequest,
	} {
		if p := filtertest.MustRefuse(t, New(), keyedExchange(t, url, query)); p.Code != code || p.Status != http.StatusBadRequest {
			t.Errorf("%s: %v", url, p)
		}
	}
	x := keyedExchange(t, "/keyed", config.KeySource{Place: config.KeyInHeader, Name: "X-Key"})
	x.Request.Header["X-Key"] = []string{"a", "b"}
	if p := filtertest.MustRefuse(t, New(), x); p.Code != problem.CodeBadRequest {
		t.Error(p)
	}
}

// Guards against forwarding requests whose body or header fields exceed the limits.
func TestOversizedRequestIsRejected(t *testing.T) {
	x := filtertest.Route(filtertest.NewExchange(t, "POST", "/orders", strings.NewReader(strings.Repeat("x", 1<<20+1))), "orders")
	if p := filtertest.MustRefuse(t, New(), x); p.Status != http.StatusRequestEntityTooLarge {
		t.Error(p)
	}
	x = filtertest.Route(filtertest.NewExchange(t, "GET", "/plain", nil), "plain")
	x.Request.Header.Set("X-Large", strings.Repeat("x", MaxHeaderBytes))
	if p := filtertest.MustRefuse(t, New(), x); p.Status != http.StatusRequestHeaderFieldsTooLarge {
		t.Error(p)
	}
	x = filtertest.Route(filtertest.NewExchange(t, "GET", "/plain", nil), "plain")
	for i := range maxHeaderFields + 1 {
		x.Request.Header.Set(fmt.Sprintf("X-%d", i), "1")
	}
	if p := filtertest.MustRefuse(t, New(), x); p.Status != http.StatusRequestHeaderFieldsTooLarge {
		t.Error(p)
	}
}
