package region

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/filter/filtertest"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// unreadableBody is a request body that fails the test when it is read.
type unreadableBody struct {
	t *testing.T
}

func (b unreadableBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, errors.New("body must not be read")
}

func (b unreadableBody) Close() error { return nil }

// Guards against serving a request outside the home regions of its route and tenant, and against reading the body of a
// request before it is rejected.
func TestHomeRegionsAreEnforced(t *testing.T) {
	cases := []struct {
		route, tenant, localRegion string
		home                       []string
		status                     int
	}{
		{"orders", "", "north", nil, 0},
		{"orders", "free", "south", nil, 0},
		{"orders", "northern", "north", []string{"north"}, 0},
		{"orders", "northern", "south", nil, http.StatusMisdirectedRequest},
		{"bound", "", "south", []string{"south"}, 0},
		{"bound", "", "north", nil, http.StatusMisdirectedRequest},
		{"bound", "free", "north", nil, http.StatusMisdirectedRequest},
		{"bound", "southern", "south", []string{"south"}, 0},
		{"bound", "northern", "south", nil, http.StatusBadRequest},
		{"bound", "northern", "north", nil, http.StatusBadRequest},
		{"orders", "stranger", "north", nil, http.StatusBadRequest},
	}
	for _, c := range cases {
		x := filtertest.Route(filtertest.NewExchange(t, "POST", "/orders", nil), c.route)
		x.Request.Body = unreadableBody{t}
		if c.tenant != "" {
			x.Request.Header.Set(filter.HeaderTenant, c.tenant)
		}
		if c.status == 0 {
			filtertest.MustPass(t, New(c.localRegion), x)
			if !slices.Equal(x.HomeRegions, c.home) || x.Tenant != c.tenant {
				t.Errorf("%+v: home %v, tenant %q", c, x.HomeRegions, x.Tenant)
			}
			continue
		}
		if p := filtertest.MustRefuse(t, New(c.localRegion), x); p.Status != c.status {
			t.Errorf("%+v: %v", c, p)
		}
	}
}

// Guards against a 421 response that doesn't tell the caller which regions serve the request.
func TestMisdirectedErrorListsHomeRegions(t *testing.T) {
	x := filtertest.Route(filtertest.NewExchange(t, "POST", "/orders/south", nil), "bound")
	p := filtertest.MustRefuse(t, New("north"), x)
	if p.Code != problem.CodeOtherRegion || !strings.Contains(p.Detail, "south (https://south.example)") {
		t.Error(p)
	}
	if got := x.Header.Get(filter.HeaderHomeRegions); got != "south" {
		t.Errorf("header %q", got)
	}
}

// Guards against using one of several conflicting tenant headers.
func TestConflictingTenantHeadersAreRejected(t *testing.T) {
	x := filtertest.Route(filtertest.NewExchange(t, "POST", "/orders", nil), "orders")
	x.Request.Header[filter.HeaderTenant] = []string{"free", "southern"}
	if p := filtertest.MustRefuse(t, New("north"), x); p.Status != http.StatusBadRequest {
		t.Error(p)
	}
}

// countingHandler counts the requests that reach it.
type countingHandler struct {
	requests int
}

func (h *countingHandler) Handle(context.Context, *wire.Request, io.Reader) (*exchange.Response, error) {
	h.requests++
	return nil, nil
}

// stubViews is an exchange.ViewSource that always returns the same view.
type stubViews struct {
	view *exchange.View
}

func (s stubViews) View() *exchange.View { return s.view }

// Guards against a gateway that serves a request outside its home regions because the entry router checked it with an older
// configuration.
func TestGatewayEnforcesHomeRegions(t *testing.T) {
	view := filtertest.NewExchange(t, "GET", "/plain", nil).View
	for _, c := range []struct {
		request     wire.Request
		localRegion string
		passes      bool
	}{
		{wire.Request{Route: "orders"}, "north", true},
		{wire.Request{Route: "orders", HomeRegions: []string{"south"}}, "north", false},
		{wire.Request{Route: "orders", HomeRegions: []string{"south"}}, "south", true},
		{wire.Request{Route: "bound"}, "north", false},
		{wire.Request{Route: "orders", Tenant: "southern"}, "north", false},
		{wire.Request{Route: "orders", Tenant: "southern"}, "south", true},
		{wire.Request{Route: "newer", Tenant: "newer"}, "north", true},
	} {
		next := &countingHandler{}
		_, err := NewGuard(c.localRegion, stubViews{view}, next).Handle(context.Background(), &c.request, unreadableBody{t})
		if (next.requests == 1) != c.passes || (err == nil) != c.passes {
			t.Errorf("%+v in %s: %v", c.request, c.localRegion, err)
		}
	}
}
