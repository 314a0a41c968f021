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

// unreadable fails the test if a body is read.
type unreadable struct {
	t *testing.T
}

func (u unreadable) Read([]byte) (int, error) {
	u.t.Error("the body was read")
	return 0, errors.New("read")
}

func (u unreadable) Close() error { return nil }

// Guards against data outside its home regions: the binding of route and tenant, and the refusal before the body.
func TestGuard(t *testing.T) {
	cases := []struct {
		route, tenant, own string
		home               []string
		status             int
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
		x := filtertest.Route(filtertest.Exchange(t, "POST", "/orders", nil), c.route)
		x.Request.Body = unreadable{t}
		if c.tenant != "" {
			x.Request.Header.Set(filter.HeaderTenant, c.tenant)
		}
		if c.status == 0 {
			filtertest.Passed(t, New(c.own), x)
			if !slices.Equal(x.HomeRegions, c.home) || x.Tenant != c.tenant {
				t.Errorf("%+v: home %v, tenant %q", c, x.HomeRegions, x.Tenant)
			}
			continue
		}
		if p := filtertest.Refused(t, New(c.own), x); p.Status != c.status {
			t.Errorf("%+v: %v", c, p)
		}
	}
}

// Guards against a 421 that doesn't tell the caller where to go.
func TestMisdirectedNamesRegions(t *testing.T) {
	x := filtertest.Route(filtertest.Exchange(t, "POST", "/orders/south", nil), "bound")
	p := filtertest.Refused(t, New("north"), x)
	if p.Code != problem.CodeOtherRegion || !strings.Contains(p.Detail, "south (https://south.example)") {
		t.Error(p)
	}
	if got := x.Header.Get(filter.HeaderHomeRegions); got != "south" {
		t.Errorf("header %q", got)
	}
}

// Guards against a tenant that is chosen among conflicting headers.
func TestConflictingTenants(t *testing.T) {
	x := filtertest.Route(filtertest.Exchange(t, "POST", "/orders", nil), "orders")
	x.Request.Header[filter.HeaderTenant] = []string{"free", "southern"}
	if p := filtertest.Refused(t, New("north"), x); p.Status != http.StatusBadRequest {
		t.Error(p)
	}
}

type reached struct {
	n int
}

func (r *reached) Handle(context.Context, *wire.Request, io.Reader) (*exchange.Response, error) {
	r.n++
	return nil, nil
}

type views struct {
	view *exchange.View
}

func (v views) View() *exchange.View { return v.view }

// Guards against an entry router with an older configuration that sends a bound request to another region.
func TestGatewayGuard(t *testing.T) {
	view := filtertest.Exchange(t, "GET", "/plain", nil).View
	for _, c := range []struct {
		request wire.Request
		own     string
		passes  bool
	}{
		{wire.Request{Route: "orders"}, "north", true},
		{wire.Request{Route: "orders", HomeRegions: []string{"south"}}, "north", false},
		{wire.Request{Route: "orders", HomeRegions: []string{"south"}}, "south", true},
		{wire.Request{Route: "bound"}, "north", false},
		{wire.Request{Route: "orders", Tenant: "southern"}, "north", false},
		{wire.Request{Route: "orders", Tenant: "southern"}, "south", true},
		{wire.Request{Route: "newer", Tenant: "newer"}, "north", true},
	} {
		next := &reached{}
		_, err := NewGuard(c.own, views{view}, next).Handle(context.Background(), &c.request, unreadable{t})
		if (next.n == 1) != c.passes || (err == nil) != c.passes {
			t.Errorf("%+v in %s: %v", c.request, c.own, err)
		}
	}
}
