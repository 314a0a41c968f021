package idempotency

import (
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/filter/filtertest"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

// Guards against accepting a non-idempotent request without a valid idempotency key: a repetition of it couldn't be
// recognized.
func TestNonIdempotentRouteRequiresKey(t *testing.T) {
	for _, c := range []struct {
		values []string
		code   problem.Code
	}{
		{nil, problem.CodeNoIdempotency},
		{[]string{""}, problem.CodeNoIdempotency},
		{[]string{"a", "b"}, problem.CodeBadRequest},
		{[]string{strings.Repeat("x", maxKeyBytes+1)}, problem.CodeBadRequest},
	} {
		x := filtertest.Route(filtertest.NewExchange(t, "POST", "/orders", nil), "orders")
		x.Request.Header[filter.HeaderIdempotencyKey] = c.values
		if p := filtertest.MustRefuse(t, New(), x); p.Code != c.code {
			t.Errorf("%v: %v", c.values, p)
		}
	}
	x := filtertest.Route(filtertest.NewExchange(t, "POST", "/orders", nil), "orders")
	x.Request.Header.Set(filter.HeaderIdempotencyKey, "k1")
	filtertest.MustPass(t, New(), x)
	if x.IdempotencyKey != "k1" {
		t.Errorf("idempotency key is %q, want k1", x.IdempotencyKey)
	}
	filtertest.MustPass(t, New(), filtertest.Route(filtertest.NewExchange(t, "GET", "/plain", nil), "plain"))
}
