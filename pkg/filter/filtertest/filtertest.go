// Package filtertest provides utilities for testing filters.
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

// Config returns a configuration with two regions and three pools: keyed, orders (non-idempotent) and plain.
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

// targets returns one target for each failure domain.
func targets(prefix string, domains ...string) []config.Target {
	var out []config.Target
	for i, d := range domains {
		out = append(out, config.Target{ID: prefix + string(rune('1'+i)), Domain: d})
	}
	return out
}

// NewExchange returns a filter.NewExchange for a new request. Its view contains Config.
func NewExchange(t *testing.T, method, url string, body io.Reader) *filter.Exchange {
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

// Route sets the route with the given name and its pool in x, and returns x.
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

// Recorder stands for the rest of the chain. It records whether it was called and responds with 200.
type Recorder struct {
	Called  bool
	Context context.Context
}

// Next implements filter.Next.
func (r *Recorder) Next(ctx context.Context, _ *filter.Exchange) (*exchange.Response, error) {
	r.Called = true
	r.Context = ctx
	return &exchange.Response{Head: wire.Response{Status: http.StatusOK}, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// MustRefuse runs a filter and returns its error. It fails the test if the filter accepts the request, calls the next filter
// or reports an outcome other than problem.NotRun.
func MustRefuse(t *testing.T, f filter.Filter, x *filter.Exchange) *problem.Error {
	t.Helper()
	recorder := &Recorder{}
	_, err := f.Handle(context.Background(), x, recorder.Next)
	var p *problem.Error
	if !errors.As(err, &p) {
		t.Fatalf("error is %v, want a *problem.Error", err)
	}
	if recorder.Called {
		t.Error("the filter called the next one although it refused the request")
	}
	if p.Outcome != problem.NotRun {
		t.Errorf("outcome %s", p.Outcome)
	}
	return p
}

// MustPass runs a filter and fails the test unless the filter calls the next one and returns no error.
func MustPass(t *testing.T, f filter.Filter, x *filter.Exchange) *Recorder {
	t.Helper()
	recorder := &Recorder{}
	response, err := f.Handle(context.Background(), x, recorder.Next)
	if err != nil || !recorder.Called {
		t.Fatalf("the filter returned error %v or did not call the next filter", err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return recorder
}
