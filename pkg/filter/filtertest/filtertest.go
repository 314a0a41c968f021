// Package filtertest helps to test filters.
package filtertest

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Config is a configuration with two regions, a keyed, an orders and a plain pool.
func Config() *config.Config {
	return &config.Config{
		Version: 1,
		Regions: []config.Region{
			{Name: "north", Domains: []string{"north-a", "north-b"}, CallerURL: "https://north.example"},
			{Name: "south", Domains: []string{"south-a"}, CallerURL: "https://south.example"},
		},
		Pools: []config.Pool{
			{Name: "keyed", Keyed: true, Targets: targets("k", "north-a", "north-b", "south-a")},
			{Name: "orders", Targets: targets("o", "north-a", "north-b", "south-a"), MaxDeadline: 2000},
			{Name: "plain", Targets: targets("p", "north-a", "north-b", "south-a")},
		},
		Routes: []config.Route{
			{Name: "keyed", PathPrefix: "/keyed", Pool: "keyed", Idempotent: true, MaxBodyBytes: 1 << 20,
				Key: config.KeySource{Place: config.KeyInPath, Segment: 1}, Deadline: 1000},
			{Name: "orders", PathPrefix: "/orders", Methods: []string{"POST"}, Pool: "orders", MaxBodyBytes: 1 << 20, Deadline: 1000},
			{Name: "bound", PathPrefix: "/orders/south", Methods: []string{"POST"}, Pool: "orders", HomeRegions: []string{"south"}, MaxBodyBytes: 1 << 20},
			{Name: "plain", PathPrefix: "/plain", Pool: "plain", Idempotent: true, MaxBodyBytes: 128 << 20, Deadline: 1000},
		},
		Tenants: []config.Tenant{
			{Name: "free"},
			{Name: "northern", HomeRegions: []string{"north"}},
			{Name: "southern", HomeRegions: []string{"south"}},
		},
	}
}

func targets(prefix string, domains ...string) []config.Target {
	var out []config.Target
	for i, d := range domains {
		out = append(out, config.Target{ID: prefix + string(rune('1'+i)), Domain: d})
	}
	return out
}

// Exchange returns an exchange for a request, with a snapshot of Config.
func Exchange(t *testing.T, method, url string, body io.Reader) *filter.Exchange {
	t.Helper()
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	if body == nil {
		r.Body = http.NoBody
	}
	return &filter.Exchange{
		Request: r,
		Header:  http.Header{},
		View:    &exchange.View{Config: Config(), VM: "vm-1", Cell: "north"},
	}
}

// Route sets route and pool by the route's name.
func Route(x *filter.Exchange, name string) *filter.Exchange {
	cfg := x.View.Config
	for i := range cfg.Routes {
		if cfg.Routes[i].Name == name {
			x.Route = &cfg.Routes[i]
		}
	}
	x.Pool, _ = cfg.Pool(x.Route.Pool)
	return x
}

// End is the end of a chain. It records whether it was reached and answers 200.
type End struct {
	Reached bool
	Context context.Context
}

// Next is the filter.Next to pass on.
func (e *End) Next(ctx context.Context, _ *filter.Exchange) (*exchange.Response, error) {
	e.Reached = true
	e.Context = ctx
	return &exchange.Response{Head: wire.Response{Status: http.StatusOK}, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// Refused runs a filter that must refuse, and returns the refusal.
func Refused(t *testing.T, f filter.Filter, x *filter.Exchange) *problem.Error {
	t.Helper()
	end := &End{}
	_, err := f.Handle(context.Background(), x, end.Next)
	var p *problem.Error
	if !errors.As(err, &p) {
		t.Fatalf("no refusal but %v", err)
	}
	if end.Reached {
		t.Error("the next filter ran")
	}
	if p.Outcome != problem.NotRun {
		t.Errorf("outcome %s", p.Outcome)
	}
	return p
}

// Passed runs a filter that must call the next one.
func Passed(t *testing.T, f filter.Filter, x *filter.Exchange) *End {
	t.Helper()
	end := &End{}
	response, err := f.Handle(context.Background(), x, end.Next)
	if err != nil || !end.Reached {
		t.Fatalf("refused: %v", err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return end
}
